//! Jobs as clients describe them, and the states that clients see.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::effect::RequestKey;
use crate::id::{JobId, SharedStr};
use crate::operator::catalog::Queue;
use crate::resources::Resources;

/// A client's request to run a job.
#[derive(Debug, Clone)]
pub struct Submission {
    /// Identifies the request in the answer.
    pub request: RequestKey,
    /// The queue to which host and path of the request belong.
    pub queue: Arc<Queue>,
    /// The job to run or to store.
    pub job: NewJob,
    /// How long the client waits for the answer, in milliseconds.
    pub timeout_ms: u64,
}

/// A job as the client describes it, together with the id that it chose.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NewJob {
    /// The id that the client chose, which repeated requests share.
    pub id: JobId,
    /// The task description that every task receives, passed on unchanged.
    pub spec: SharedStr,
    /// The steps; each depends only on earlier ones.
    pub steps: Vec<Step>,
    /// Whether the request is answered when the job ends, and the job is not stored.
    pub best_effort: bool,
    /// The schedule, if the steps run more than once.
    pub repeat: Option<Repeat>,
}

/// The schedule of a job that runs more than once.
#[derive(Debug, Copy, Clone, PartialEq, Serialize, Deserialize)]
pub struct Repeat {
    /// The number of occurrences.
    pub count: u32,
    /// When the first occurrence is due, in milliseconds since the Unix epoch.
    pub first_unix_ms: u64,
    /// The time from one occurrence to the next, in milliseconds.
    pub interval_ms: u64,
}

impl Repeat {
    /// Returns when an occurrence is due, in milliseconds since the Unix epoch.
    pub(crate) fn due_unix_ms(self, occurrence: u32) -> u64 {
        let offset_ms = self.interval_ms.saturating_mul(u64::from(occurrence));
        self.first_unix_ms.saturating_add(offset_ms)
    }
}

/// A step of a job: tasks that differ only in their index.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// The number of tasks, which are indexed from 0.
    pub count: u16,
    /// The resources that each task requires.
    pub need: Resources,
    /// The client's estimate of the run time of a task, in milliseconds.
    pub estimate_ms: u64,
    /// Indexes of the steps whose tasks have to be done first.
    pub after: Vec<u16>,
    /// The label that a minion must have to run the tasks, if any.
    pub required_label: Option<Box<str>>,
    /// The rack that has the data, on which the tasks run faster than elsewhere.
    pub data_rack: Option<Box<str>>,
    /// The maximum number of tasks of the step on one minion, if limited.
    pub max_per_minion: Option<u16>,
    /// Whether the tasks form a gang: they only make progress when all run at the same
    /// time.
    pub gang: bool,
    /// Whether the tasks run faster when all are on one rack.
    pub rack_local: bool,
    /// Whether the tasks run until the job is cancelled, so that a run that ends is
    /// started again.
    pub long_running: bool,
}

impl Step {
    /// Returns whether the tasks may only run on the minions that the owner has chosen.
    pub(crate) fn is_pinned(&self) -> bool {
        self.required_label.is_some()
            || self.data_rack.is_some()
            || self.max_per_minion.is_some()
            || self.gang
            || self.rack_local
    }

    /// Returns the estimate against which progress is checked, in milliseconds; 0 if the
    /// progress of a run tells nothing.
    pub(crate) fn progress_estimate_ms(&self) -> u64 {
        // A member of a gang makes no progress while it waits for the others.
        let waits_for_others = self.gang && self.count > 1;
        if self.long_running || waits_for_others { 0 } else { self.estimate_ms }
    }
}

/// The state of a job as clients see it.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub enum JobState {
    /// No task has started.
    Pending,
    /// At least one task has started.
    Active,
    /// All tasks are done.
    Completed,
    /// A task has failed as often as its queue allows.
    Failed,
    /// A client cancelled the job.
    Cancelled,
}

impl JobState {
    /// Returns whether the state can no longer change.
    pub(crate) fn is_final(self) -> bool {
        match self {
            Self::Completed | Self::Failed | Self::Cancelled => true,
            Self::Pending | Self::Active => false,
        }
    }
}

/// Returns the length of the critical path: the longest sum of estimates along dependent
/// steps, in milliseconds.
pub(crate) fn critical_path_ms(steps: &[Step]) -> u64 {
    let mut ends: Vec<u64> = Vec::with_capacity(steps.len());
    for step in steps {
        let start = step.after.iter().map(|&earlier| ends[usize::from(earlier)]).max();
        ends.push(start.unwrap_or(0) + step.estimate_ms);
    }
    ends.into_iter().max().unwrap_or(0)
}
