//! The clock of a process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use bamboocart_core::time::Timestamp;

/// A monotonic clock that is set to the system's time once, at its start.
#[derive(Debug, Copy, Clone)]
pub struct Clock {
    /// The system's time when the clock was started.
    start: Timestamp,
    /// The monotonic time when the clock was started.
    origin: Instant,
}

impl Clock {
    /// Starts a clock at the system's time.
    pub fn start() -> Self {
        let since_epoch =
            SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let us = u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX);
        Self { start: Timestamp::from_us(us), origin: Instant::now() }
    }

    /// Returns the system's time at the start plus the monotonic time since then.
    pub fn now(&self) -> Timestamp {
        let us = u64::try_from(self.origin.elapsed().as_micros()).unwrap_or(u64::MAX);
        self.start.plus_us(us)
    }
}
