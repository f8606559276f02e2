//! What the owner of a submission keeps about it.

use std::sync::Arc;

use bytes::Bytes;
use slotmap::new_key_type;

use crate::engine::{TaskSpec, WaiterId};
use crate::id::{Attempt, CustomerName, GroupName, KindName, SubmissionId};
use crate::outcome::Outcome;
use crate::target::{AttemptKey, TargetKey};
use crate::time::Timestamp;

new_key_type! {
    /// The key of a submission in the arena of its owner.
    pub struct SubmissionKey;
}

/// A submission that this incarnation owns.
#[derive(Debug)]
pub struct Record {
    /// The id.
    pub id: SubmissionId,
    /// The customer.
    pub customer: CustomerName,
    /// The request kind.
    pub kind: KindName,
    /// The target group that runs it.
    pub group: GroupName,
    /// Whether the submission is a job.
    pub job: bool,
    /// Whether running a task twice does no harm.
    pub idempotent: bool,
    /// The tasks.
    pub tasks: Vec<Task>,
    /// The number of tasks without a result.
    pub unfinished: usize,
    /// The number of sends so far.
    pub attempts: u32,
    /// Whether any send may have started a task.
    pub started: bool,
    /// When the answer is needed.
    pub deadline: Timestamp,
    /// Who waits for the answer, with the number of tickets that each wants.
    pub waiters: Vec<(WaiterId, u16)>,
    /// The final outcome.
    pub outcome: Option<Outcome>,
    /// The trace that the submission belongs to.
    pub traceparent: Option<Arc<str>>,
}

/// A task of a submission.
#[derive(Debug)]
pub struct Task {
    /// What the caller sent.
    pub spec: TaskSpec,
    /// Where the task is.
    pub state: TaskState,
    /// The number of sends so far.
    pub sends: Attempt,
}

/// Where a task is.
#[derive(Debug, Clone)]
pub enum TaskState {
    /// Waiting for a slot.
    Queued,
    /// Sent to a target.
    Sent(AttemptKey),
    /// Finished with a result.
    Done(Bytes),
    /// Given up, because the submission has ended.
    Dropped,
}

/// A send that has not ended.
#[derive(Debug, Clone)]
pub struct AttemptState {
    /// The submission.
    pub submission: SubmissionKey,
    /// The position of the task in its submission.
    pub task: usize,
    /// The target.
    pub target: TargetKey,
    /// When the send was ordered.
    pub sent: Timestamp,
}
