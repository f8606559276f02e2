//! The tasks of a submission, as the entries describe them.

use std::collections::BTreeMap;

use super::entry::SchedulingParams;
use crate::id::{CustomerName, TaskIndex};

/// The tasks of one submission.
#[derive(Debug, Default)]
pub(super) struct Tasks {
    /// The claims of its admissions, with their customer.
    pub(super) claims: Vec<(CustomerName, SchedulingParams)>,
    /// The tasks.
    pub(super) states: BTreeMap<TaskIndex, Task>,
    /// Whether its tasks left the queue without a start.
    pub(super) cancelled: bool,
}

/// One task.
#[derive(Debug)]
pub(super) struct Task {
    /// The position of its claim.
    pub(super) claim: usize,
    /// Where it is.
    pub(super) place: Place,
    /// The sends so far.
    pub(super) starts: u32,
    /// The sends that have not ended.
    pub(super) running: u32,
    /// Whether a send ended and may have run.
    pub(super) ran: bool,
}

impl Task {
    /// Creates a task that waits.
    pub(super) fn waiting(claim: usize) -> Self {
        Self { claim, place: Place::Queued, starts: 0, running: 0, ran: false }
    }
}

/// Where a task is.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub(super) enum Place {
    /// In its queue.
    Queued,
    /// Sent at least once.
    Sent,
    /// Out of its queue without a start.
    Withdrawn,
}
