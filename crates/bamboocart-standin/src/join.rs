//! Joining threads with a timeout.

use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// The interval at which a thread is checked for its end.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The time that a thread may take to end after the request to stop.
const END_TIMEOUT: Duration = Duration::from_secs(10);

/// Joins a thread, or returns `None` if it has not ended within `limit`.
pub fn join_with_timeout<T>(
    limit: Duration,
    thread: JoinHandle<T>,
) -> Option<thread::Result<T>> {
    let start = Instant::now();
    while !thread.is_finished() {
        if start.elapsed() >= limit {
            return None;
        }
        thread::sleep(POLL_INTERVAL);
    }
    Some(thread.join())
}

/// Joins a thread that was asked to end, and reports one that does not end within 10 s.
///
/// Such a thread is detached, so that the caller does not hang. `what` names the thread's
/// work in the message.
pub fn join_or_report(what: &str, thread: JoinHandle<()>) {
    if join_with_timeout(END_TIMEOUT, thread).is_none() {
        // Printed instead of logged, since a test that hangs shows no log lines.
        eprintln!("the thread of {what} did not end within {END_TIMEOUT:?}");
    }
}
