//! Minions that fail, stall or slow down although they answer.

use crate::id::JobId;
use crate::time::Moment;

/// The failures in a row, of different jobs, that make a minion suspect. One job's failures
/// may be the job's own fault.
const FAILED_JOBS: usize = 2;

/// How many times as long as expected a run may take before its minion is suspect.
/// Estimates are often off by a factor of two.
const SLOW_FACTOR: f64 = 3.0;

/// The time by which a run may exceed its expected end anyway.
const SLOW_SLACK_MS: f64 = 40.0;

/// The time after which a run that has made no progress counts as stalled, at the earliest.
const STALL_MS: u64 = 150;

/// The share of its work that a run is expected to have done when it counts as stalled.
const STALL_EXPECTED_PERCENT: f64 = 30.0;

/// The progress below which a run counts as stalled.
const STALL_PERCENT: u8 = 5;

/// The pause before a suspect minion gets a task to prove itself; it doubles per failure.
const FIRST_PAUSE_MS: u64 = 500;

/// The longest pause.
const MAX_PAUSE_MS: u64 = 4_000;

/// What speaks against a minion.
#[derive(Debug, Default, Clone)]
pub(crate) struct Suspicion {
    /// The jobs whose runs failed since the last run that ended well.
    failed: Vec<JobId>,
    /// The pause before the next task, if the minion is suspect.
    pause_ms: Option<u64>,
    /// When the next task may be sent, if the minion is suspect.
    retry_at: Moment,
}

/// How far a run has come.
#[derive(Debug, Copy, Clone)]
pub(crate) struct Progress {
    /// The time since its start.
    pub(crate) elapsed_ms: u64,
    /// The expected run time.
    pub(crate) expected_ms: f64,
    /// The share of the work that is done.
    pub(crate) done_percent: u8,
}

impl Progress {
    /// Returns whether the run stands still.
    pub(crate) fn is_stalled(&self) -> bool {
        let expected_percent = self.elapsed_ms as f64 * 100.0 / self.expected_ms;
        self.elapsed_ms >= STALL_MS
            && expected_percent >= STALL_EXPECTED_PERCENT
            && self.done_percent < STALL_PERCENT
    }

    /// Returns whether the run takes much longer than expected.
    pub(crate) fn is_slow(&self) -> bool {
        self.elapsed_ms as f64 > SLOW_FACTOR * self.expected_ms + SLOW_SLACK_MS
    }
}

impl Suspicion {
    /// Notes a run that ended well and as fast as expected.
    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }

    /// Notes a failed run; returns whether the minion has become suspect.
    pub(crate) fn note_failure(&mut self, job: JobId, now: Moment) -> bool {
        if !self.failed.contains(&job) {
            self.failed.push(job);
        }
        let convicted = self.failed.len() >= FAILED_JOBS || self.pause_ms.is_some();
        convicted && self.suspect(now)
    }

    /// Makes the minion suspect, or prolongs the pause; returns whether it was not before.
    pub(crate) fn suspect(&mut self, now: Moment) -> bool {
        let first = self.pause_ms.is_none();
        if first || now >= self.retry_at {
            let pause_ms = self.pause_ms.map_or(FIRST_PAUSE_MS, |pause| pause * 2);
            let pause_ms = pause_ms.min(MAX_PAUSE_MS);
            self.pause_ms = Some(pause_ms);
            self.retry_at = now + pause_ms;
        }
        first
    }

    /// Returns whether the minion may get a further task next to `runs` active ones.
    pub(crate) fn allows(&self, runs: usize, now: Moment) -> bool {
        self.pause_ms.is_none() || (runs == 0 && now >= self.retry_at)
    }
}
