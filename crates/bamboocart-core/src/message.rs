//! Messages that instances exchange.

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

/// A message and the slot report that travels with it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender's free slots, on messages for which [`Message::carries_slots`] holds.
    pub slots: Option<SlotReport>,
    /// The payload.
    pub message: Message,
}

/// A message from one instance to another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Message {
    /// Announces periodically that the sender is alive.
    Heartbeat(Heartbeat),
    /// Forwards a caller's request to the owner of the submission.
    Forward {
        /// The sender's number for matching the answer.
        correlation: u64,
        /// The request of the caller.
        request: CallerRequest,
    },
    /// Answers a `Forward`.
    Answer {
        /// The number from the `Forward`.
        correlation: u64,
        /// The owner's reply to the caller.
        reply: Box<Reply>,
    },
    /// Asks a peer with a free slot to run a task of the sender.
    Offer {
        /// The owner's number for matching the report.
        correlation: u64,
        /// The task to run.
        task: OfferedTask,
    },
    /// Reports the end of an offered task; a report of rejection means that the peer
    /// declined to run it.
    TaskReport {
        /// The number that the owner gave.
        correlation: u64,
        /// The result of the send to the target.
        report: SendReport,
    },
    /// Withdraws an offered task that the owner no longer needs.
    Cancel {
        /// The number that the owner gave.
        correlation: u64,
    },
    /// Requests the receiver's configuration in force.
    ConfigFetch,
    /// Answers a `ConfigFetch` with the configuration in force.
    ConfigSet {
        /// The version of the configuration.
        version: ConfigVersion,
        /// The configuration set as canonical JSON.
        text: Bytes,
        /// The time at which each stop plan came into force.
        plans_since: Vec<(StopPlanName, Timestamp)>,
        /// The position up to which the log was read with this version in force, if
        /// known.
        position: Option<LogPosition>,
    },
    /// Transfers a part of a stopping instance's registry to its successor.
    HandoverPart(Box<HandoverPart>),
    /// Acknowledges that the sender has taken over the registry of an owner.
    HandoverAccepted {
        /// The owner that handed over.
        from: Owner,
    },
    /// Announces that an owner has handed over to another one.
    Succession {
        /// The owner that handed over.
        from: Owner,
        /// The owner that took over.
        to: Owner,
    },
    /// Declines for good to take over the registry of an owner, because the sender is
    /// stopping itself.
    HandoverDeclined {
        /// The owner that wants to hand over.
        from: Owner,
    },
}

/// A caller's request about a submission.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum CallerRequest {
    /// Runs a submission.
    Submit(Box<NewSubmission>),
    /// Returns the state of a submission.
    Query(SubmissionId),
    /// Cancels a submission.
    Cancel(SubmissionId),
}

impl Message {
    /// Reports whether the message carries the sender's free slots.
    ///
    /// These are the messages that are frequent under load, so the reports stay fresh.
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
    /// Reports whether the request names a submission id, so that repeating it is safe.
    pub fn has_id(&self) -> bool {
        match self {
            Self::Submit(submission) => submission.id.is_some(),
            Self::Query(_) | Self::Cancel(_) => true,
        }
    }
}

/// A task that the owner offers to a peer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct OfferedTask {
    /// The target group in which to run the task.
    pub group: GroupName,
    /// The submission that the task belongs to.
    pub submission: SubmissionId,
    /// The position of the task in its submission.
    pub task: TaskIndex,
    /// The number of this send of the task, as the target sees it.
    pub attempt: Attempt,
    /// The request kind, which selects the run-time estimate.
    pub kind: KindName,
    /// Whether the task may run more than once without side effects.
    pub idempotent: bool,
    /// The request body for the target.
    pub payload: Bytes,
    /// The time left until the deadline when the offer is made.
    pub deadline_ms: u64,
    /// The expected run time on a free target of the owner, which the peer's estimate
    /// must not exceed; `None` accepts any.
    pub owner_estimate_us: Option<u64>,
    /// The W3C `traceparent` of the submission's trace.
    pub traceparent: Option<Arc<str>>,
}
