//! Resubmission storms and cancellation waves.

use std::time::Duration;

use crossbeam::channel::Sender;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::history::Purpose;

use super::flight::{CallOrder, Flights};

/// Calls that concern many waiting submissions at once.
pub struct Wave {
    /// The time between waves.
    every: Option<Duration>,
    /// When the next one is due.
    next: Duration,
    /// The share of waiting submissions that it reaches.
    share: f64,
    /// What its calls are for.
    purpose: Purpose,
}

impl Wave {
    /// Creates waves at equal intervals, or none.
    pub fn new(every_ms: Option<u64>, share: f64, purpose: Purpose) -> Self {
        let every = every_ms.map(|ms| Duration::from_millis(ms.max(1)));
        Self { every, next: every.unwrap_or_default(), share, purpose }
    }

    /// Issues a wave if it is due, and returns the number of calls that found no room.
    pub fn issue(
        &mut self,
        elapsed: Duration,
        flights: &Flights,
        orders: &Sender<CallOrder>,
        rng: &mut SmallRng,
    ) -> u64 {
        let Some(every) = self.every.filter(|_| elapsed >= self.next) else { return 0 };
        self.next = elapsed + every;
        let share = self.share;
        let calls = flights.wave(self.purpose, || rng.random::<f64>() < share);
        calls.into_iter().map(|call| u64::from(orders.try_send(call).is_err())).sum()
    }
}
