//! What an instance wants done.

use std::sync::Arc;

use bytes::Bytes;

use crate::engine::{LeaseGrant, WaiterId};
use crate::id::{
    Attempt, ConfigVersion, InstanceName, KindName, SubmissionId, TaskIndex,
};
use crate::outcome::Outcome;
use crate::target::{AttemptKey, TargetKey};

/// Something that has to be done outside the core.
#[derive(Debug)]
pub enum Effect {
    /// Reply to someone who waits.
    Answer {
        /// Who waits.
        waiter: WaiterId,
        /// The reply.
        reply: Reply,
    },
    /// Send a task to a target.
    Send(SendOrder),
    /// Stop a task at a target.
    Stop {
        /// The target's address.
        address: Arc<str>,
        /// The submission.
        submission: SubmissionId,
        /// The position of the task in its submission.
        task: TaskIndex,
    },
    /// Ask a worker for a lease, or renew one.
    Lease(LeaseOrder),
}

/// A reply to someone who waits.
#[derive(Debug, Clone)]
pub enum Reply {
    /// The answer to a submission.
    Outcome {
        /// The submission.
        submission: Option<SubmissionId>,
        /// The outcome.
        outcome: Outcome,
        /// The configuration that decided.
        config_version: ConfigVersion,
        /// The instance that answers for the submission.
        owner: InstanceName,
        /// The number of sends to targets.
        attempts: u32,
        /// Fresh tickets.
        tickets: Vec<SubmissionId>,
    },
    /// Fresh tickets.
    Tickets(Vec<SubmissionId>),
}

/// A task to be sent to a target.
#[derive(Debug, Clone)]
pub struct SendOrder {
    /// The send.
    pub attempt: AttemptKey,
    /// The target's address.
    pub address: Arc<str>,
    /// The submission.
    pub submission: SubmissionId,
    /// The position of the task in its submission.
    pub task: TaskIndex,
    /// The number of the send.
    pub number: Attempt,
    /// The request kind.
    pub kind: KindName,
    /// Whether the kind is idempotent, which decides which connections may be used.
    pub idempotent: bool,
    /// What the target receives.
    pub payload: Bytes,
    /// The time that is left.
    pub deadline_ms: u64,
    /// The lease, on a worker.
    pub lease: Option<LeaseGrant>,
    /// The trace that the submission belongs to.
    pub traceparent: Option<Arc<str>>,
}

/// A lease to be asked for or renewed.
#[derive(Debug, Clone)]
pub struct LeaseOrder {
    /// The worker.
    pub target: TargetKey,
    /// The worker's address.
    pub address: Arc<str>,
    /// The slots to ask for.
    pub slots: u32,
    /// The lease to renew, or `None` to ask for a new one.
    pub renew: Option<LeaseGrant>,
}
