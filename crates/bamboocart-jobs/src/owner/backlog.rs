//! The delay after which a refused client may retry.

use rand::Rng;
use rand::rngs::SmallRng;

use crate::owner::job::Job;
use crate::owner::task::TaskState;

/// The shortest delay that a refused client is asked to wait.
const MIN_RETRY_S: u64 = 1;

/// The longest delay for the first of the refused clients to retry; the load changes
/// within seconds.
const MAX_DRAIN_S: f64 = 5.0;

/// The waiting work of an instance, and how many tasks it runs at a time.
#[derive(Debug, Default, Copy, Clone)]
pub(crate) struct Backlog {
    /// The sum of the expected run times of all waiting and blocked tasks.
    waiting_ms: f64,
    /// The number of tasks that are placed.
    running: usize,
}

impl Backlog {
    /// Sums up the work of jobs; `typical_pace` is the usual ratio of run time to
    /// estimate.
    pub(crate) fn of<'a>(jobs: impl Iterator<Item = &'a Job>, typical_pace: f64) -> Self {
        let mut backlog = Self::default();
        for job in jobs {
            for task in 0..job.tasks.len() {
                match job.tasks[task].state() {
                    TaskState::Placed(_) => backlog.running += 1,
                    TaskState::Waiting | TaskState::Blocked => {
                        let estimate_ms = job.step_of(task).estimate_ms as f64;
                        backlog.waiting_ms += estimate_ms * typical_pace;
                    }
                    TaskState::Done => {}
                }
            }
        }
        backlog
    }

    /// Returns after how many seconds a refused client may retry.
    ///
    /// Clients that are refused in a burst return when the work ahead of them is done,
    /// spread over as long again, so that they do not form the next burst.
    pub(crate) fn retry_after_s(self, rng: &mut SmallRng) -> u64 {
        let drain_s = self.waiting_ms / 1_000.0 / self.running.max(1) as f64;
        let drain_s = drain_s.min(MAX_DRAIN_S);
        let spread_s = rng.random::<f64>() * (drain_s + MIN_RETRY_S as f64);
        ((drain_s + spread_s).ceil() as u64).max(MIN_RETRY_S)
    }
}
