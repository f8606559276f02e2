//! The usage report of a worker, which lags behind the actual usage.

use std::collections::VecDeque;

use bamboocart_core::time::Timestamp;
use serde::{Deserialize, Serialize};

/// The largest number of kept samples; the oldest are dropped beyond it.
const MAX_SAMPLES: usize = 65_536;

/// The recent samples of one worker.
#[derive(Debug, Default)]
pub struct Usage {
    /// The samples, oldest first.
    samples: VecDeque<UsageBody>,
}

/// The body of `GET /usage`.
#[derive(Debug, Copy, Clone, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct UsageBody {
    /// The time that the report describes, in Unix time.
    pub as_of_ms: u64,
    /// The number of slots of the worker.
    pub slots: u32,
    /// The number of slots that ran a task.
    pub busy: u32,
    /// The number of slots that were under a lease.
    pub leased: u32,
}

impl Usage {
    /// Adds a sample, which must not be older than the one before.
    pub fn add(&mut self, sample: UsageBody) {
        self.samples.push_back(sample);
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
    }

    /// Returns the usage as it was `lag_ms` before `now`, and drops older samples.
    pub fn report(&mut self, now: Timestamp, lag_ms: u64) -> UsageBody {
        let as_of_ms = now.as_ms().saturating_sub(lag_ms);
        while self.samples.get(1).is_some_and(|next| next.as_of_ms <= as_of_ms) {
            self.samples.pop_front();
        }
        let oldest = self.samples.front().copied().unwrap_or_default();
        UsageBody { as_of_ms, ..oldest }
    }
}
