//! A bound on the systems that run at the same time.

use std::sync::{Condvar, Mutex, PoisonError};

/// The systems of one test program that run at the same time.
///
/// Each has some ten processes and stand-ins with hundreds of threads. More of them than
/// a machine can carry would turn limits on recovery into limits on the machine.
const SYSTEMS: usize = 3;

/// The number of running systems.
static RUNNING: Mutex<usize> = Mutex::new(0);

/// Wakes those that wait for a permit.
static ENDED: Condvar = Condvar::new();

/// The right to run a system, until it is dropped.
#[derive(Debug)]
pub struct Permit(());

impl Permit {
    /// Waits for a permit.
    pub fn wait() -> Self {
        let running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
        let mut running = ENDED
            .wait_while(running, |running| *running >= SYSTEMS)
            .unwrap_or_else(PoisonError::into_inner);
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
