//! Bounded waits for the ends of threads.

use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// The pause between two looks at a thread.
const POLL: Duration = Duration::from_millis(5);

/// The time that a thread has to end after it was told to.
const END_TIMEOUT: Duration = Duration::from_secs(10);

/// Waits for the end of a thread, or returns nothing when the time is over.
pub fn join_with_timeout<T>(
    limit: Duration,
    thread: JoinHandle<T>,
) -> Option<thread::Result<T>> {
    let start = Instant::now();
    while !thread.is_finished() {
        if start.elapsed() >= limit {
            return None;
        }
        thread::sleep(POLL);
    }
    Some(thread.join())
}

/// Waits for the end of a thread that was told to end, and reports one that does not.
///
/// The thread is then left behind, so that whoever waits can go on.
pub fn join_or_report(what: &str, thread: JoinHandle<()>) {
    if join_with_timeout(END_TIMEOUT, thread).is_none() {
        // A test that hangs shows no log lines.
        eprintln!("the thread of {what} did not end within {END_TIMEOUT:?}");
    }
}
