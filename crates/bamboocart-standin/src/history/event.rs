//! The events that targets record.

use std::sync::Arc;

use bamboocart_core::id::{Attempt, InstanceName, KindName, SubmissionId, TaskIndex};
use bamboocart_core::time::Timestamp;
use serde::{Deserialize, Serialize};

/// An event at a target, in the JSON form of `GET /history`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TargetEvent {
    /// The position in the order of events at all targets of one process.
    pub sequence: u64,
    /// The wall-clock time of the event.
    pub at_us: Timestamp,
    /// The name of the target.
    pub target: InstanceName,
    /// The kind of the event.
    #[serde(rename = "what")]
    pub kind: EventKind,
    /// The run that the event concerns; `None` if it concerns the whole target.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub run: Option<RunId>,
}

/// The kind of an event at a target.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EventKind {
    /// A task was started.
    Started,
    /// A task ended with a result.
    Finished,
    /// A task ended with a failure.
    Failed,
    /// A task was stopped before its end.
    Stopped,
    /// The target was put into the leaving state.
    Leaving,
    /// The target crashed and lost its running tasks.
    Died,
    /// The target restarted under a new incarnation.
    Restarted,
}

/// One run of a task, as its target received it.
#[derive(Debug, Clone, Eq, PartialEq, Hash, Serialize, Deserialize)]
pub struct RunId {
    /// The id that the submission was sent under.
    pub submission: SubmissionId,
    /// The position of the task in its submission, from 0.
    pub task: TaskIndex,
    /// The attempt number, which differs between resent and hedged runs.
    pub attempt: Attempt,
    /// The request kind of the submission.
    pub kind: KindName,
    /// The correlation text in the payload, which is the same under every submission id.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub mark: Option<Arc<str>>,
}

/// The body of `GET /history`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HistoryPage {
    /// The events, oldest first.
    pub events: Vec<TargetEvent>,
    /// The sequence number from which the next page starts.
    pub next: u64,
    /// The number of events that were dropped because the history is full.
    pub dropped: u64,
}
