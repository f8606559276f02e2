//! The state of a submission's tasks in the replay.

use std::collections::BTreeMap;

use super::entry::SchedulingParams;
use crate::id::{CustomerName, TaskIndex};

/// The tasks of one submission.
#[derive(Debug, Default)]
pub(super) struct SubmissionTasks {
    /// The customer and the scheduling parameters of each admission.
    pub(super) admissions: Vec<(CustomerName, SchedulingParams)>,
    pub(super) by_index: BTreeMap<TaskIndex, Task>,
    /// Whether its waiting tasks were removed from the queue without a start.
    pub(super) cancelled: bool,
}

/// The state of one task.
#[derive(Debug)]
pub(super) struct Task {
    /// The index of its admission in [`SubmissionTasks::admissions`].
    pub(super) admission: usize,
    pub(super) state: TaskState,
    /// The number of attempts so far.
    pub(super) starts: u32,
    /// The number of attempts that have not ended.
    pub(super) running: u32,
    /// Whether an attempt that has ended may have run.
    pub(super) ran: bool,
}

impl Task {
    /// Creates a task that waits in its queue.
    pub(super) fn waiting(admission: usize) -> Self {
        Self { admission, state: TaskState::Queued, starts: 0, running: 0, ran: false }
    }
}

/// Whether a task waits or was sent.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub(super) enum TaskState {
    /// It waits in its queue.
    Queued,
    /// It was sent at least once and does not wait.
    Sent,
    /// It was removed from its queue without a start.
    Withdrawn,
}
