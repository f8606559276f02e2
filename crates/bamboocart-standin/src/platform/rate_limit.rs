//! The limit on appends per second.

use std::sync::Mutex;

use bamboocart_core::time::Timestamp;

/// Microseconds in a second.
const US_PER_S: u64 = 1_000_000;

/// The longest time that an append waits for its turn before it is turned away.
const QUEUE_US_MAX: u64 = 500_000;

/// Spaces appends evenly.
#[derive(Debug)]
pub struct RateLimiter {
    /// The time between two appends.
    interval_us: u64,
    /// The time at which the next append may take effect.
    next: Mutex<Timestamp>,
}

impl RateLimiter {
    /// Creates a limit of `per_s` appends per second.
    pub fn new(per_s: u32) -> Self {
        let interval_us = US_PER_S / u64::from(per_s.max(1));
        Self { interval_us, next: Mutex::default() }
    }

    /// Returns how long an append has to wait, or `None` if too many wait already.
    pub fn admit(&self, now: Timestamp) -> Option<u64> {
        let mut next = self.next.lock().expect("no holder of the lock panics");
        let turn = (*next).max(now);
        let wait_us = turn.us_since(now);
        if wait_us > QUEUE_US_MAX {
            return None;
        }
        *next = turn.plus_us(self.interval_us);
        Some(wait_us)
    }
}
