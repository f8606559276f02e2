//! What targets record.

use std::sync::Arc;

use bamboocart_core::id::{Attempt, InstanceName, KindName, SubmissionId, TaskIndex};
use bamboocart_core::time::Timestamp;
use serde::{Deserialize, Serialize};

/// One event at a target.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TargetEvent {
    /// The position in the order of all targets of a process.
    pub sequence: u64,
    /// The time of the event.
    pub at_us: Timestamp,
    /// The target.
    pub target: InstanceName,
    /// What happened.
    #[serde(rename = "what")]
    pub kind: EventKind,
    /// The run that it happened to, if it concerns one run.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub run: Option<RunId>,
}

/// What happened at a target.
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
    /// The target was set leaving.
    Leaving,
    /// The target died with the tasks that it was running.
    Died,
    /// The target came back under a new incarnation.
    Restarted,
}

/// A send of a task, as its target sees it.
#[derive(Debug, Clone, Eq, PartialEq, Hash, Serialize, Deserialize)]
pub struct RunId {
    /// The submission.
    pub submission: SubmissionId,
    /// The position of the task in its submission.
    pub task: TaskIndex,
    /// The number of the send.
    pub attempt: Attempt,
    /// The request kind.
    pub kind: KindName,
    /// The text in the payload that marks the task, whatever id it was sent under.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub mark: Option<Arc<str>>,
}

/// The body of `GET /history`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HistoryPage {
    /// The events, oldest first.
    pub events: Vec<TargetEvent>,
    /// The sequence to read on from.
    pub next: u64,
    /// The number of events that were not kept because the history is full.
    pub dropped: u64,
}
