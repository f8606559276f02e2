//! The wall clock, read as a [`Timestamp`].

use std::time::{SystemTime, UNIX_EPOCH};

use bamboocart_core::time::Timestamp;

/// Returns the current wall-clock time, or 0 if the clock is set before 1970.
pub fn now() -> Timestamp {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Timestamp::from_us(u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX))
}
