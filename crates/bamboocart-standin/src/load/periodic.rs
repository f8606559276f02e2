//! Periodic resubmission storms and bursts of cancellations.

use std::time::Duration;

use crossbeam::channel::Sender;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::history::Purpose;

use super::in_flight::{InFlightSubmissions, QueuedCall};

/// Periodic bursts of calls, each for a random share of the submissions in flight.
pub struct PeriodicCalls {
    /// The time between bursts; `None` if there are none.
    interval: Option<Duration>,
    /// When the next burst is due, from the start of the run.
    next_due: Duration,
    /// The probability with which a burst includes a submission in flight.
    share: f64,
    /// The purpose of the calls.
    purpose: Purpose,
}

impl PeriodicCalls {
    /// Creates bursts at an interval of at least 1 ms, or none.
    pub fn new(every_ms: Option<u64>, share: f64, purpose: Purpose) -> Self {
        let interval = every_ms.map(|ms| Duration::from_millis(ms.max(1)));
        Self { interval, next_due: interval.unwrap_or_default(), share, purpose }
    }

    /// Queues the calls of a burst if one is due.
    ///
    /// Returns the number of calls that were dropped because the queue was full.
    pub fn issue(
        &mut self,
        elapsed: Duration,
        in_flight: &InFlightSubmissions,
        call_queue: &Sender<QueuedCall>,
        rng: &mut SmallRng,
    ) -> u64 {
        let Some(interval) = self.interval.filter(|_| elapsed >= self.next_due) else {
            return 0;
        };
        self.next_due = elapsed + interval;
        let share = self.share;
        let calls = in_flight.select(self.purpose, || rng.random::<f64>() < share);
        calls.into_iter().map(|call| u64::from(call_queue.try_send(call).is_err())).sum()
    }
}
