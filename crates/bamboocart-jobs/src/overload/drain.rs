//! When waiting tasks get room.

use std::collections::BTreeMap;

use crate::time::Moment;

/// The time after which an observation counts for about a third. Bursts last seconds.
const MEMORY_MS: f64 = 400.0;

/// How much time with waiting tasks has to be observed before an estimate is made.
const MIN_OBSERVED_MS: f64 = 40.0;

/// The smallest rate, in tasks per millisecond, that an estimate divides by.
const MIN_RATE: f64 = 1e-4;

/// The rate at which tasks get room at an instance while others wait, and the rates at which
/// tasks arrive, both with exponentially decaying weights.
#[derive(Debug, Default)]
pub struct DrainMeter {
    /// The time during which tasks waited, in milliseconds.
    waiting_ms: f64,
    /// The number of tasks that were placed in that time.
    placed: f64,
    /// Whether tasks were waiting after the last pass.
    is_waiting: bool,
    /// The time of the last pass.
    passed_at: Moment,
    /// The tasks that have arrived, by priority, and the time up to which they have decayed.
    arrived: BTreeMap<u8, (f64, Moment)>,
}

impl DrainMeter {
    /// Records a scheduling pass that has placed some tasks; `is_waiting` tells whether others
    /// still wait for room.
    pub fn note_pass(&mut self, placed: usize, is_waiting: bool, now: Moment) {
        let elapsed_ms = now.since(self.passed_at) as f64;
        let decay = (-elapsed_ms / MEMORY_MS).exp();
        self.waiting_ms *= decay;
        self.placed *= decay;
        if self.is_waiting {
            self.waiting_ms += elapsed_ms.min(MEMORY_MS);
            self.placed += placed as f64;
        }
        self.is_waiting = is_waiting;
        self.passed_at = now;
    }

    /// Records tasks that have arrived.
    pub fn note_arrival(&mut self, priority: u8, tasks: usize, now: Moment) {
        let (count, at) = self.arrived.entry(priority).or_insert((0.0, now));
        *count = decayed(*count, *at, now) + tasks as f64;
        *at = now;
    }

    /// Returns the expected time, in milliseconds, until so many tasks have got room; none if
    /// too little was observed.
    ///
    /// Tasks of more urgent priorities go on arriving and take their part of the room.
    pub fn wait_ms(&self, priority: u8, tasks: usize, now: Moment) -> Option<f64> {
        if self.waiting_ms < MIN_OBSERVED_MS {
            return None;
        }
        let urgent = self.arrived.range(..priority);
        let urgent: f64 = urgent.map(|(_, &(count, at))| decayed(count, at, now)).sum();
        let rate = self.placed / self.waiting_ms - urgent / MEMORY_MS;
        Some(tasks as f64 / rate.max(MIN_RATE))
    }
}

/// Returns what is left of a count after the time since then.
fn decayed(count: f64, at: Moment, now: Moment) -> f64 {
    count * (-(now.since(at) as f64) / MEMORY_MS).exp()
}
