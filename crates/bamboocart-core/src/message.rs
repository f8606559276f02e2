//! The messages between instances.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::config::LogPosition;
use crate::engine::{NewSubmission, Reply};
use crate::id::{
    Attempt, ConfigVersion, GroupName, KindName, StopPlanName, SubmissionId, TaskIndex,
};
use crate::membership::Heartbeat;
use crate::ownership::{HandoverPart, Owner};
use crate::slots::SlotReport;
use crate::target::SendReport;
use crate::time::Timestamp;

/// A message with what its sender tells along with it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Envelope {
    /// The free slots of the sender.
    pub slots: Option<SlotReport>,
    /// The message.
    pub message: Message,
}

/// A message from one instance to another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Message {
    /// The sender is alive.
    Heartbeat(Heartbeat),
    /// A caller asks the owner of a submission for something.
    Forward {
        /// The sender's number for the answer.
        correlation: u64,
        /// What is asked for.
        request: CallerRequest,
    },
    /// The answer to `Forward`.
    Answer {
        /// The number that the asking instance gave.
        correlation: u64,
        /// The answer.
        reply: Box<Reply>,
    },
    /// The owner asks a peer with a free slot to run a task.
    Offer {
        /// The owner's number for the report.
        correlation: u64,
        /// The task.
        task: OfferedTask,
    },
    /// The end of an offered task, which was bounced if it says that it was turned away.
    TaskReport {
        /// The number that the owner gave.
        correlation: u64,
        /// How the send ended.
        report: SendReport,
    },
    /// The owner no longer needs an offered task.
    Cancel {
        /// The number that the owner gave.
        correlation: u64,
    },
    /// The sender asks for the configuration in force.
    ConfigFetch,
    /// The configuration in force.
    ConfigSet {
        /// The version.
        version: ConfigVersion,
        /// The set as canonical JSON.
        text: Bytes,
        /// Since when each stop plan is in force.
        plans_since: Vec<(StopPlanName, Timestamp)>,
        /// How far the log was read with this version in force, if that is known.
        position: Option<LogPosition>,
    },
    /// A part of a stopping instance's registry.
    HandoverPart(Box<HandoverPart>),
    /// The receiver has taken over the registry of an owner.
    HandoverAccepted {
        /// The owner that handed over.
        from: Owner,
    },
    /// An owner has handed over to another one.
    Succession {
        /// The owner that handed over.
        from: Owner,
        /// Its successor.
        to: Owner,
    },
    /// The receiver is stopping and never takes over the registry of an owner.
    HandoverDeclined {
        /// The owner that wants to hand over.
        from: Owner,
    },
}

/// What a caller asks for.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum CallerRequest {
    /// To run a submission.
    Submit(Box<NewSubmission>),
    /// To tell the state of a submission.
    Query(SubmissionId),
    /// To cancel a submission.
    Cancel(SubmissionId),
}

impl Message {
    /// Reports whether the message is frequent under load, so that the free slots that it
    /// carries are fresh.
    pub fn carries_slots(&self) -> bool {
        matches!(
            self,
            Self::Forward { .. }
                | Self::Answer { .. }
                | Self::Offer { .. }
                | Self::TaskReport { .. }
        )
    }
}

impl CallerRequest {
    /// Reports whether the caller has named a submission, so that asking again is safe.
    pub fn has_id(&self) -> bool {
        match self {
            Self::Submit(submission) => submission.id.is_some(),
            Self::Query(_) | Self::Cancel(_) => true,
        }
    }
}

/// A task that a peer is asked to run.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct OfferedTask {
    /// The target group.
    pub group: GroupName,
    /// The submission.
    pub submission: SubmissionId,
    /// The position of the task in its submission.
    pub task: TaskIndex,
    /// The number of the send.
    pub attempt: Attempt,
    /// The request kind.
    pub kind: KindName,
    /// Whether running the task twice does no harm.
    pub idempotent: bool,
    /// What the target receives.
    pub payload: Bytes,
    /// The time that is left.
    pub deadline_ms: u64,
    /// The expected run time on a free target of the owner, which the peer's has to
    /// undercut.
    pub owner_estimate_us: Option<u64>,
    /// The trace that the submission belongs to.
    pub traceparent: Option<Arc<str>>,
}
