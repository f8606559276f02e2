//! Learned run times.

use std::collections::BTreeMap;

use slotmap::SecondaryMap;

use crate::histogram::Histogram;
use crate::target::TargetKey;

/// The weight of a new run time in a mean that rests on many.
const MEAN_GAIN: f64 = 0.125;

/// The weight of a new run time in a deviation.
const DEVIATION_GAIN: f64 = 0.25;

/// The number of run times that a prior counts for.
///
/// A prior that counted for more would keep a wrong declaration alive for longer.
const PRIOR_SAMPLES: u32 = 2;

/// The largest factor by which one run time counts as longer than the mean.
///
/// Otherwise a single straggler makes a target look slow, and a target that looks slow
/// gets few chances to correct the estimate.
const MAX_STEP: f64 = 8.0;

/// The run times that a quantile needs before it replaces the declaration.
const QUANTILE_SAMPLES: u32 = 20;

/// The bounds of the learned ratio of run time to declaration.
const DECLARED_RATIO: std::ops::RangeInclusive<f64> = 0.001..=1_000.0;

/// The run times of request kinds and of targets.
///
/// `K` identifies a request kind. There is one row for each request kind and one for each
/// pair of target and request kind that was measured. When the rows of pairs are used up,
/// further pairs are estimated by their request kind alone.
#[derive(Debug, Clone)]
pub struct Estimator<K> {
    max_rows: usize,
    rows: usize,
    kinds: BTreeMap<K, Kind>,
    targets: SecondaryMap<TargetKey, Vec<(K, Average)>>,
}

/// The end of a run, as far as the estimate is concerned.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum RunEnd {
    /// The target returned the result.
    Completed,
    /// The run failed or was lost.
    Failed,
}

/// An expected run time.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub struct Estimate {
    /// The mean.
    pub mean_us: u64,
    /// The mean distance from the mean.
    pub deviation_us: u64,
}

impl<K: Copy + Ord> Estimator<K> {
    /// Creates an estimator that holds at most `max_rows` pairs of target and kind.
    pub fn new(max_rows: usize) -> Self {
        Self { max_rows, rows: 0, kinds: BTreeMap::new(), targets: SecondaryMap::new() }
    }

    /// Sets the declared run times of a request kind; what was learned stays.
    ///
    /// The prior is the geometric mean, because run times span orders of magnitude.
    pub fn set_kind(&mut self, kind: K, shortest_us: u64, longest_us: u64) {
        let (shortest_us, longest_us) = (shortest_us.max(1), longest_us.max(1));
        let prior_us = (shortest_us as f64 * longest_us as f64).sqrt();
        let row = self.kinds.entry(kind).or_insert_with(|| Kind::new(prior_us));
        if row.run.samples == 0 {
            row.run = Average::new(prior_us);
        }
        row.declared_us = (shortest_us, longest_us.max(shortest_us));
    }

    /// Removes a request kind that is no longer in the configuration.
    pub fn forget_kind(&mut self, kind: K) {
        self.kinds.remove(&kind);
        for rows in self.targets.values_mut() {
            rows.retain(|(other, _)| *other != kind);
        }
        self.rows = self.targets.values().map(Vec::len).sum();
    }

    /// Removes a target that has left.
    pub fn forget_target(&mut self, target: TargetKey) {
        if let Some(rows) = self.targets.remove(target) {
            self.rows -= rows.len();
        }
    }

    /// Returns the expected run time of a task wherever it runs.
    ///
    /// `declared_us` is the task's own declaration. It is clamped to that of its request
    /// kind and corrected by the ratio that declarations were found to be off by.
    pub fn kind_us(&self, kind: K, declared_us: Option<u64>) -> u64 {
        let Some(row) = self.kinds.get(&kind) else {
            return declared_us.unwrap_or(0);
        };
        match declared_us {
            Some(declared_us) => round(row.clamp(declared_us) * row.ratio.mean),
            None => round(row.run.mean),
        }
    }

    /// Returns the expected run time of a request kind on a target.
    pub fn target_us(&self, kind: K, target: TargetKey) -> Estimate {
        match (self.row(kind, target), self.kinds.get(&kind)) {
            (Some(average), _) => average.estimate(),
            (None, Some(row)) => row.run.estimate(),
            (None, None) => Estimate { mean_us: 0, deviation_us: 0 },
        }
    }

    /// Returns the time within which 95% of a request kind's runs end.
    ///
    /// Until enough runs have ended it is the longest declared time.
    pub fn p95_us(&self, kind: K) -> Option<u64> {
        let row = self.kinds.get(&kind)?;
        let learned = row.learned_quantile(95).map(|(_, above_us)| above_us);
        Some(learned.unwrap_or(row.declared_us.1))
    }

    /// Returns the time within which 95% of a request kind's runs end, once it is known.
    ///
    /// There is no prior, for the same reason as in [`Self::fastest_us`].
    pub fn learned_p95_us(&self, kind: K) -> Option<u64> {
        let (_, above_us) = self.kinds.get(&kind)?.learned_quantile(95)?;
        Some(above_us)
    }

    /// Returns the time that almost no run of a request kind undercuts, once it is known.
    ///
    /// It is the first percentile of recent runs. There is no prior, because a
    /// declaration that is too long would refuse requests that could be served.
    pub fn fastest_us(&self, kind: K) -> Option<u64> {
        let (below_us, _) = self.kinds.get(&kind)?.learned_quantile(1)?;
        Some(below_us)
    }

    /// Learns from a run.
    ///
    /// A failed run counts only for its target, and only if it took longer than expected:
    /// a target that fails fast must not look fast.
    pub fn record(
        &mut self,
        kind: K,
        target: TargetKey,
        declared_us: Option<u64>,
        run_us: u64,
        end: RunEnd,
    ) {
        if end == RunEnd::Failed && run_us <= self.target_us(kind, target).mean_us {
            return;
        }
        let Some(row) = self.kinds.get_mut(&kind) else {
            return;
        };
        let prior_us = row.run.mean;
        if end == RunEnd::Completed {
            row.record(declared_us, run_us);
        }
        if let Some(average) = self.row_mut(kind, target, prior_us) {
            average.record(run_us as f64);
        }
    }

    /// Returns the row of a pair.
    fn row(&self, kind: K, target: TargetKey) -> Option<&Average> {
        let rows = self.targets.get(target)?;
        rows.iter().find(|(other, _)| *other == kind).map(|(_, average)| average)
    }

    /// Returns the row of a pair and creates it if there is room.
    fn row_mut(
        &mut self,
        kind: K,
        target: TargetKey,
        prior_us: f64,
    ) -> Option<&mut Average> {
        let known = self.row(kind, target).is_some();
        if !known && self.rows >= self.max_rows {
            return None;
        }
        let rows = self.targets.entry(target)?.or_default();
        if !known {
            rows.push((kind, Average::new(prior_us)));
            self.rows += 1;
        }
        let row = rows.iter_mut().find(|(other, _)| *other == kind);
        row.map(|(_, average)| average)
    }
}

/// What is known of a request kind.
#[derive(Debug, Clone)]
struct Kind {
    declared_us: (u64, u64),
    run: Average,
    /// The run time over the task's declaration.
    ratio: Average,
    runs: Histogram,
}

impl Kind {
    /// Creates a row without measurements.
    fn new(prior_us: f64) -> Self {
        Self {
            declared_us: (1, 1),
            run: Average::new(prior_us),
            ratio: Average::new(1.0),
            runs: Histogram::default(),
        }
    }

    /// Learns from a completed run.
    fn record(&mut self, declared_us: Option<u64>, run_us: u64) {
        self.run.record(run_us as f64);
        self.runs.record(run_us);
        if let Some(declared_us) = declared_us {
            let ratio = run_us as f64 / self.clamp(declared_us);
            self.ratio
                .record(ratio.clamp(*DECLARED_RATIO.start(), *DECLARED_RATIO.end()));
        }
    }

    /// Clamps a task's declaration to that of its request kind.
    fn clamp(&self, declared_us: u64) -> f64 {
        declared_us.clamp(self.declared_us.0, self.declared_us.1) as f64
    }

    /// Returns a quantile if enough runs have ended.
    fn learned_quantile(&self, percent: u32) -> Option<(u64, u64)> {
        let known = self.runs.total() >= QUANTILE_SAMPLES;
        known.then(|| self.runs.quantile_us(percent)).flatten()
    }
}

/// An exponentially weighted mean and deviation.
#[derive(Debug, Copy, Clone)]
struct Average {
    mean: f64,
    deviation: f64,
    samples: u32,
}

impl Average {
    /// Creates an average that rests on its prior.
    fn new(prior: f64) -> Self {
        Self { mean: prior, deviation: prior / 2.0, samples: 0 }
    }

    /// Adds a value.
    fn record(&mut self, value: f64) {
        let value = value.min(self.mean * MAX_STEP);
        let gain = 1.0 / f64::from(self.samples.saturating_add(PRIOR_SAMPLES + 1));
        let distance = value - self.mean;
        self.mean += distance * gain.max(MEAN_GAIN);
        self.deviation += (distance.abs() - self.deviation) * DEVIATION_GAIN;
        self.samples = self.samples.saturating_add(1);
    }

    /// Returns the average in whole microseconds.
    fn estimate(&self) -> Estimate {
        Estimate { mean_us: round(self.mean), deviation_us: round(self.deviation) }
    }
}

/// Rounds to whole microseconds.
fn round(us: f64) -> u64 {
    us.round() as u64
}
