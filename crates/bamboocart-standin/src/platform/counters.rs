//! Counters of the calls to the platform.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::{Deserialize, Serialize};

/// The counters of a running platform.
#[derive(Debug, Default)]
pub struct Counters {
    /// Appends that took effect.
    pub appends: AtomicU64,
    /// Appends that took effect but whose answer was dropped by a fault.
    pub dropped_answers: AtomicU64,
    /// Appends that were rejected by the rate limit.
    pub limited_appends: AtomicU64,
    /// Reads of the log, counted when they arrive.
    pub reads: AtomicU64,
    /// Reads of the instance list.
    pub lists: AtomicU64,
    /// Registrations and removals of instances.
    pub registrations: AtomicU64,
    /// Calls that got an error or no answer because of an outage or a cut domain.
    pub faulted: AtomicU64,
}

/// The body of `GET /counters`: totals since the start of the platform.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Appends that took effect.
    pub appends: u64,
    /// Appends that took effect but whose answer was dropped by a fault.
    pub dropped_answers: u64,
    /// Appends that were rejected by the rate limit.
    pub limited_appends: u64,
    /// Reads of the log, counted when they arrive.
    pub reads: u64,
    /// Reads of the instance list.
    pub lists: u64,
    /// Registrations and removals of instances.
    pub registrations: u64,
    /// Calls that got an error or no answer because of an outage or a cut domain.
    pub faulted: u64,
}

impl Counters {
    /// Increments a counter.
    pub fn add(counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the current values; they may stem from slightly different times.
    pub fn counts(&self) -> Counts {
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        Counts {
            appends: load(&self.appends),
            dropped_answers: load(&self.dropped_answers),
            limited_appends: load(&self.limited_appends),
            reads: load(&self.reads),
            lists: load(&self.lists),
            registrations: load(&self.registrations),
            faulted: load(&self.faulted),
        }
    }
}
