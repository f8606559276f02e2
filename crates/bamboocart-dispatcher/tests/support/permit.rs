//! A bound on the systems that run at the same time.

use std::sync::{Condvar, Mutex, PoisonError};
use std::time::Duration;

/// The systems of one test program that run at the same time.
///
/// Each has some ten processes and stand-ins with hundreds of threads. More of them than
/// a machine can carry would turn limits on recovery into limits on the machine.
const SYSTEMS: usize = 3;

/// The time in which another system ends, longer than every test program in its long
/// form.
const LIMIT: Duration = Duration::from_secs(1_800);

/// The number of running systems.
static RUNNING: Mutex<usize> = Mutex::new(0);

/// Wakes those that wait for a permit.
static ENDED: Condvar = Condvar::new();

/// The right to run a system, until it is dropped.
#[derive(Debug)]
pub struct Permit(());

impl Permit {
    /// Waits for a permit.
    pub fn acquire() -> Self {
        let running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
        let full = |running: &mut usize| *running >= SYSTEMS;
        let (mut running, waited) = ENDED
            .wait_timeout_while(running, LIMIT, full)
            .unwrap_or_else(PoisonError::into_inner);
        assert!(!waited.timed_out(), "no other system has ended within {LIMIT:?}");
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
