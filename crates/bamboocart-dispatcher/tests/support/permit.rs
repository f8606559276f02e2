//! A limit on the number of systems that run at the same time.

use std::sync::{Condvar, Mutex, PoisonError};
use std::time::Duration;

/// The largest number of systems that one test program runs at the same time.
///
/// Each has about ten processes, and stand-ins with hundreds of threads. With more than a
/// machine can run, limits on recovery times would measure the machine.
const MAX_RUNNING_CLUSTERS: usize = 3;

/// The longest wait for the end of another system, which is longer than every test
/// program in its long form.
const ACQUIRE_TIMEOUT: Duration = Duration::from_secs(1_800);

/// The number of running systems.
static RUNNING: Mutex<usize> = Mutex::new(0);

/// Signals the end of a system to those that wait for a permit.
static ENDED: Condvar = Condvar::new();

/// The permit to run a system, released when it is dropped.
#[derive(Debug)]
pub struct Permit(());

impl Permit {
    /// Waits for a permit, and panics if no other system ends in time.
    pub fn acquire() -> Self {
        let running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
        let full = |running: &mut usize| *running >= MAX_RUNNING_CLUSTERS;
        let (mut running, waited) = ENDED
            .wait_timeout_while(running, ACQUIRE_TIMEOUT, full)
            .unwrap_or_else(PoisonError::into_inner);
        assert!(
            !waited.timed_out(),
            "no other system has ended within {ACQUIRE_TIMEOUT:?}"
        );
        *running += 1;
        Self(())
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        *RUNNING.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        ENDED.notify_one();
    }
}
