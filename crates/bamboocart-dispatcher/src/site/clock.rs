//! The clocks of the process.

use std::time::{SystemTime, UNIX_EPOCH};

use bamboocart_jobs::Moment;
use rustix::time::{ClockId, clock_gettime};

/// Returns the monotonic time, including the time that the system was suspended.
pub fn now() -> Moment {
    let time = clock_gettime(ClockId::Boottime);
    Moment(time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000)
}

/// Returns the wall-clock time in milliseconds since the Unix epoch, or 0 before it.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}
