//! The rate limit of appends.

use std::sync::Mutex;

use bamboocart_core::time::Timestamp;

const US_PER_S: u64 = 1_000_000;

/// The longest wait that is accepted; an append that would wait longer is rejected.
const MAX_WAIT_US: u64 = 500_000;

/// Spaces appends evenly, without bursts.
#[derive(Debug)]
pub struct RateLimiter {
    /// The interval between two appends.
    interval_us: u64,
    /// The time at which the next append may take effect at the earliest.
    next: Mutex<Timestamp>,
}

impl RateLimiter {
    /// Creates a limit of `per_s` appends per second, at least 1.
    pub fn new(per_s: u32) -> Self {
        let interval_us = US_PER_S / u64::from(per_s.max(1));
        Self { interval_us, next: Mutex::default() }
    }

    /// Returns how long an append has to wait in microseconds, or `None` if that would be
    /// longer than 500 ms.
    pub fn admit(&self, now: Timestamp) -> Option<u64> {
        let mut next = self.next.lock().expect("no holder of the lock panics");
        let effective_at = (*next).max(now);
        let wait_us = effective_at.us_since(now);
        if wait_us > MAX_WAIT_US {
            return None;
        }
        *next = effective_at.plus_us(self.interval_us);
        Some(wait_us)
    }
}
