//! Jobs as clients describe them.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::catalog::Queue;
use crate::effect::RequestKey;
use crate::id::{JobId, SharedStr};
use crate::resources::Resources;

/// A request to run a job.
#[derive(Debug, Clone)]
pub struct Submission {
    /// The request.
    pub request: RequestKey,
    /// The queue that it belongs to.
    pub queue: Arc<Queue>,
    /// The job.
    pub job: NewJob,
    /// How long the client waits for the answer.
    pub timeout_ms: u64,
}

/// A job as the client describes it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NewJob {
    /// The id that the client chose.
    pub id: JobId,
    /// What every task receives.
    pub spec: SharedStr,
    /// The steps; each names earlier ones only.
    pub steps: Vec<Step>,
    /// Whether the job is answered at its end and not stored.
    pub best_effort: bool,
    /// When the steps run, if that is more than once.
    pub repeat: Option<Repeat>,
}

/// The times of a job that runs more than once.
#[derive(Debug, Copy, Clone, PartialEq, Serialize, Deserialize)]
pub struct Repeat {
    /// How often the steps run.
    pub count: u32,
    /// When they run first, in milliseconds since the Unix epoch.
    pub first_unix_ms: u64,
    /// The time from one occurrence to the next.
    pub interval_ms: u64,
}

impl Repeat {
    /// Returns when an occurrence is due, in milliseconds since the Unix epoch.
    pub(crate) fn due_unix_ms(self, occurrence: u32) -> u64 {
        let offset_ms = self.interval_ms.saturating_mul(u64::from(occurrence));
        self.first_unix_ms.saturating_add(offset_ms)
    }
}

/// A step of a job: tasks that differ only in their number.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// The number of tasks.
    pub count: u16,
    /// What each task needs.
    pub need: Resources,
    /// The client's estimate of the run time of a task.
    pub estimate_ms: u64,
    /// The steps whose tasks have to be done first.
    pub after: Vec<u16>,
    /// The label that a minion must have.
    pub required_label: Option<Box<str>>,
    /// The rack on which the tasks run faster than elsewhere.
    pub data_rack: Option<Box<str>>,
    /// The most tasks of the step that may run on one minion.
    pub max_per_minion: Option<u16>,
    /// Whether the tasks work only together.
    pub gang: bool,
    /// Whether the tasks are faster when all run on one rack.
    pub rack_local: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
}

impl Step {
    /// Returns whether only minions that were chosen for this step may run its tasks.
    pub(crate) fn is_pinned(&self) -> bool {
        self.required_label.is_some()
            || self.data_rack.is_some()
            || self.max_per_minion.is_some()
            || self.gang
            || self.rack_local
    }

    /// Returns the estimate by which progress is judged; 0 where a run tells nothing.
    pub(crate) fn progress_estimate_ms(&self) -> u64 {
        if self.long_running || self.gang { 0 } else { self.estimate_ms }
    }
}

/// The state of a job as clients see it.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub enum JobState {
    /// Nothing has started.
    Pending,
    /// A task has started.
    Active,
    /// All tasks are done.
    Completed,
    /// A task has failed too often.
    Failed,
    /// The client cancelled the job.
    Cancelled,
}

impl JobState {
    /// Returns whether nothing can change the state any more.
    pub(crate) fn is_final(self) -> bool {
        match self {
            Self::Completed | Self::Failed | Self::Cancelled => true,
            Self::Pending | Self::Active => false,
        }
    }
}

/// Returns the longest sum of estimates along dependent steps.
pub(crate) fn critical_path_ms(steps: &[Step]) -> u64 {
    let mut ends: Vec<u64> = Vec::with_capacity(steps.len());
    for step in steps {
        let start = step.after.iter().map(|&earlier| ends[usize::from(earlier)]).max();
        ends.push(start.unwrap_or(0) + step.estimate_ms);
    }
    ends.into_iter().max().unwrap_or(0)
}
