//! Reports of simulations.

use std::fmt::{self, Display, Formatter};
use std::ops::Range;

/// The result of simulating a scenario with a seed.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// The results of each kind of job, in the order of the scenario.
    pub kinds: Vec<KindReport>,
    /// The violations of invariants, each with its time and what happened.
    pub violations: Vec<String>,
    /// The number of starts that minions rejected for lack of free capacity.
    pub rejected_starts: u64,
    /// The number of runs that ended as void because a lease expired.
    pub void_runs: u64,
    /// The number of runs that started.
    pub runs: u64,
    /// The number of frames between instances.
    pub frames: u64,
    /// The number of calls to minions.
    pub minion_calls: u64,
    /// The number of appends that reached the logs of the store.
    pub appends: u64,
    /// The number of bytes that crossed the links of instances, in either direction; 0 if
    /// the scenario has no links.
    pub link_bytes: u64,
    /// The scores by the second in which the jobs were first sent.
    pub seconds: Vec<SecondReport>,
}

/// The scores of the jobs that were first sent in the same second.
#[derive(Debug, Copy, Clone, Default)]
pub struct SecondReport {
    /// The score that was earned.
    pub earned: f64,
    /// The score if all jobs had completed within their objective.
    pub max_earned: f64,
}

/// The results of a kind of job.
#[derive(Debug, Clone, Default)]
pub struct KindReport {
    /// The name of the kind.
    pub name: String,
    /// The number of jobs that clients sent.
    pub sent: u64,
    /// The number of jobs that completed within their objective.
    pub in_time: u64,
    /// The number of jobs that completed late, but early enough for a part of their
    /// score.
    pub late: u64,
    /// The number of jobs that were refused or answered as unavailable.
    pub refused: u64,
    /// The score that was earned.
    pub earned: f64,
    /// The score if all jobs had completed within their objective.
    pub max_earned: f64,
    /// The response times of completed jobs, in milliseconds.
    pub latencies_ms: Vec<u64>,
}

impl Report {
    /// Returns the share of the possible score that was earned, from 0 to 1.
    pub fn credit(&self) -> f64 {
        let earned: f64 = self.kinds.iter().map(|kind| kind.earned).sum();
        let max_earned: f64 = self.kinds.iter().map(|kind| kind.max_earned).sum();
        earned / max_earned.max(f64::MIN_POSITIVE)
    }
}

impl Report {
    /// Returns the share of the possible score that was earned by jobs that were first
    /// sent in some seconds, from 0 to 1.
    pub fn credit_of(&self, seconds: Range<usize>) -> f64 {
        let seconds = self.seconds.iter().take(seconds.end).skip(seconds.start);
        let (earned, max_earned) = seconds.fold((0.0, 0.0), |(earned, max), second| {
            (earned + second.earned, max + second.max_earned)
        });
        earned / max_earned.max(f64::MIN_POSITIVE)
    }

    /// Returns the scores of the jobs that are first sent in a second.
    pub(crate) fn second_mut(&mut self, second: usize) -> &mut SecondReport {
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, SecondReport::default());
        }
        &mut self.seconds[second]
    }
}

impl KindReport {
    /// Returns a quantile of the response times of completed jobs, 0 if there are none.
    pub fn latency_ms(&self, quantile: f64) -> u64 {
        let mut sorted = self.latencies_ms.clone();
        sorted.sort_unstable();
        let position = (sorted.len().saturating_sub(1)) as f64 * quantile;
        sorted.get(position as usize).copied().unwrap_or(0)
    }
}

impl Display for Report {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "credit {:.3}, broken rules {}",
            self.credit(),
            self.violations.len()
        )?;
        writeln!(
            f,
            "runs {}, void {}, rejected starts {}, calls to minions {}, frames {}, \
             appends {}, bytes on links {}",
            self.runs,
            self.void_runs,
            self.rejected_starts,
            self.minion_calls,
            self.frames,
            self.appends,
            self.link_bytes
        )?;
        for kind in &self.kinds {
            writeln!(
                f,
                "{:16} sent {:6} in time {:6} late {:5} refused {:5} credit {:.3} \
                 p50 {} ms p99 {} ms",
                kind.name,
                kind.sent,
                kind.in_time,
                kind.late,
                kind.refused,
                kind.earned / kind.max_earned.max(f64::MIN_POSITIVE),
                kind.latency_ms(0.5),
                kind.latency_ms(0.99)
            )?;
        }
        for violation in self.violations.iter().take(10) {
            writeln!(f, "BROKEN {violation}")?;
        }
        Ok(())
    }
}
