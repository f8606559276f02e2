//! Detection of minions that fail, stall or slow down although they answer.

use crate::id::JobId;
use crate::time::Moment;

/// Number of different jobs with consecutive failures that makes a minion suspect. The
/// failures of a single job may be the job's own fault.
const SUSPECT_FAILED_JOBS: usize = 2;

/// Multiple of the expected run time after which a run makes its minion suspect.
/// Estimates are often off by a factor of two.
const SLOW_FACTOR: f64 = 3.0;

/// Time by which a run may exceed that limit without making its minion suspect.
const SLOW_SLACK_MS: f64 = 40.0;

/// Minimum run time after which a run without progress counts as stalled.
const STALL_MS: u64 = 150;

/// Percentage of the expected run time that has to pass before a run counts as stalled.
const STALL_EXPECTED_PERCENT: f64 = 30.0;

/// Progress, in percent, below which a run counts as stalled.
const STALL_PERCENT: u8 = 5;

/// Initial time for which a suspect minion gets no task; after it, one task probes the
/// minion. It doubles with each failure.
const INITIAL_BACKOFF_MS: u64 = 500;

/// Upper bound of that time.
const MAX_BACKOFF_MS: u64 = 4_000;

/// The evidence that a minion is faulty, and the backoff that follows from it.
#[derive(Debug, Default, Clone)]
pub(crate) struct Suspicion {
    /// The jobs with failed runs since the last run that succeeded.
    failed: Vec<JobId>,
    /// The current backoff, if the minion is suspect.
    backoff_ms: Option<u64>,
    /// When the next task may be sent, if the minion is suspect.
    retry_at: Moment,
}

/// The progress of a run.
#[derive(Debug, Copy, Clone)]
pub(crate) struct Progress {
    /// The time since its start.
    pub(crate) elapsed_ms: u64,
    /// The expected run time.
    pub(crate) expected_ms: f64,
    /// The share of its work that is done, in percent.
    pub(crate) done_percent: u8,
}

impl Progress {
    /// Returns whether the run makes no progress.
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
    /// Records a run that succeeded in about the expected time, which clears the
    /// suspicion.
    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }

    /// Records a failed run, and returns whether it has made the minion suspect.
    pub(crate) fn note_failure(&mut self, job: JobId, now: Moment) -> bool {
        if !self.failed.contains(&job) {
            self.failed.push(job);
        }
        let is_suspect =
            self.failed.len() >= SUSPECT_FAILED_JOBS || self.backoff_ms.is_some();
        is_suspect && self.suspect(now)
    }

    /// Makes the minion suspect, or extends the backoff, and returns whether it was not
    /// suspect before.
    pub(crate) fn suspect(&mut self, now: Moment) -> bool {
        let first = self.backoff_ms.is_none();
        if first || now >= self.retry_at {
            let backoff_ms =
                self.backoff_ms.map_or(INITIAL_BACKOFF_MS, |backoff_ms| backoff_ms * 2);
            let backoff_ms = backoff_ms.min(MAX_BACKOFF_MS);
            self.backoff_ms = Some(backoff_ms);
            self.retry_at = now + backoff_ms;
        }
        first
    }

    /// Returns whether the minion may get another task in addition to `runs` active ones.
    pub(crate) fn allows(&self, runs: usize, now: Moment) -> bool {
        self.backoff_ms.is_none() || (runs == 0 && now >= self.retry_at)
    }
}
