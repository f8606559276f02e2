//! When a refused client may come back.

use rand::Rng;
use rand::rngs::SmallRng;

use crate::job::Job;
use crate::task::TaskState;

/// The shortest time that a refused client is asked to wait.
const MIN_RETRY_S: u64 = 1;

/// The longest time until which the first of the refused clients are asked to wait; loads
/// change within seconds.
const MAX_CLEAR_S: f64 = 5.0;

/// The work of an instance that waits, against what it gets done.
#[derive(Debug, Default, Copy, Clone)]
pub(crate) struct Backlog {
    /// The expected run times of all tasks that wait.
    waiting_ms: f64,
    /// The tasks that run.
    running: usize,
}

impl Backlog {
    /// Sums up the work of jobs; `typical_pace` is the usual run time over the estimate.
    pub(crate) fn of<'a>(jobs: impl Iterator<Item = &'a Job>, typical_pace: f64) -> Self {
        let mut backlog = Self::default();
        for job in jobs {
            for task in 0..job.tasks.len() {
                match job.tasks[task].state {
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

    /// Returns after how many seconds a refused client may come back.
    ///
    /// Answers bursts: clients that are refused together return when the work before them is
    /// done, spread over as long again, instead of as the next burst.
    pub(crate) fn retry_after_s(self, rng: &mut SmallRng) -> u64 {
        let clear_s = self.waiting_ms / 1_000.0 / self.running.max(1) as f64;
        let clear_s = clear_s.min(MAX_CLEAR_S);
        let spread_s = rng.random::<f64>() * (clear_s + MIN_RETRY_S as f64);
        ((clear_s + spread_s).ceil() as u64).max(MIN_RETRY_S)
    }
}
