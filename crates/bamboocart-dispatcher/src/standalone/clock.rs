//! The clock of a process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use bamboocart_core::time::Timestamp;

/// A clock that starts at the system's time and never steps back.
#[derive(Debug, Copy, Clone)]
pub struct Clock {
    /// The system's time at the start.
    start: Timestamp,
    /// The monotonic time at the start.
    origin: Instant,
}

impl Clock {
    /// Starts a clock.
    pub fn start() -> Self {
        let since_epoch =
            SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let us = u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX);
        Self { start: Timestamp::from_us(us), origin: Instant::now() }
    }

    /// Returns the time.
    pub fn now(&self) -> Timestamp {
        let us = u64::try_from(self.origin.elapsed().as_micros()).unwrap_or(u64::MAX);
        self.start.plus_us(us)
    }
}
