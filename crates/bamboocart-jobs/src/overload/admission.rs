//! Whether a job that has to wait is accepted.

use std::collections::BTreeSet;

/// The factor by which an estimate has to exceed its limit before jobs are refused.
///
/// A refusal that was not needed costs a caller the answer; a job that is accepted and then
/// refused costs a wait of a quarter of its objective. So it takes more to refuse.
const REFUSE_FACTOR: f64 = 1.5;

/// When a job can be expected to start and to end, and by when it has to, in milliseconds
/// from now.
#[derive(Debug, Copy, Clone, PartialEq)]
pub struct Prospect {
    /// The expected wait for the start of its first task.
    pub start_ms: f64,
    /// The time up to which it may wait for that.
    pub start_limit_ms: f64,
    /// The expected time until its last task has ended.
    pub finish_ms: f64,
    /// The time up to which that meets its objective.
    pub finish_limit_ms: f64,
}

/// What becomes of a job.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum Verdict {
    /// It waits for room.
    Accept,
    /// It is refused at once.
    Refuse,
}

/// The decisions so far, so that a verdict does not change with each estimate.
#[derive(Debug, Default)]
pub struct Admission {
    /// The priorities of which the last job was refused.
    refusing: BTreeSet<u8>,
}

impl Admission {
    /// Decides on a job of a priority.
    ///
    /// Once jobs of a priority are refused, the next one is accepted only if its estimate
    /// keeps the limits without the factor.
    pub fn decide(&mut self, priority: u8, prospect: Prospect) -> Verdict {
        let ratio = |estimate_ms: f64, limit_ms: f64| estimate_ms / limit_ms.max(1.0);
        let worst = ratio(prospect.start_ms, prospect.start_limit_ms)
            .max(ratio(prospect.finish_ms, prospect.finish_limit_ms));
        let refusing = self.refusing.contains(&priority);
        let factor = if refusing { 1.0 } else { REFUSE_FACTOR };
        match worst > factor {
            true => {
                self.refusing.insert(priority);
                Verdict::Refuse
            }
            false => {
                self.refusing.remove(&priority);
                Verdict::Accept
            }
        }
    }
}
