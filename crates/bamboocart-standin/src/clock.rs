//! The wall clock, read as the core's `Timestamp`.

use std::time::{SystemTime, UNIX_EPOCH};

use bamboocart_core::time::Timestamp;

/// Returns the current time.
pub fn now() -> Timestamp {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Timestamp::from_us(u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX))
}
