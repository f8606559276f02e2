//! What an instance wants done.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::engine::{LeaseGrant, Status, WaiterId};
use crate::id::{
    Attempt, ConfigVersion, CustomerName, Incarnation, InstanceName, KindName,
    SubmissionId, TargetName, TaskIndex,
};
use crate::message::Envelope;
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
    /// Ask a worker for a lease, renew one or return one.
    Lease(LeaseOrder),
    /// Ask a target for its state.
    Probe(ProbeOrder),
    /// Send a message to a peer.
    Peer {
        /// The peer's address for links.
        address: Arc<str>,
        /// The number that `PeerUndelivered` names, if the sender needs to know.
        correlation: Option<u64>,
        /// The message.
        envelope: Envelope,
    },
    /// A submission that a peer has forwarded is answered.
    EndSpan {
        /// The peer.
        peer: InstanceName,
        /// The peer's number for the answer.
        correlation: u64,
    },
    /// Read the whole instance list, since the one in force is another.
    RereadList,
    /// The peers have changed.
    Peers(Vec<Arc<str>>),
    /// Append a record to a stream of the log; it may fail or take effect unseen.
    Append {
        /// The stream.
        stream: &'static str,
        /// The record.
        body: String,
    },
    /// Append a batch to the account, and report the end of the append.
    AppendAccount {
        /// The number of the batch.
        number: u64,
        /// The record.
        text: Arc<str>,
    },
    /// The balancer may send submissions.
    Ready,
    /// A configuration is in force.
    ConfigInForce {
        /// Its version.
        version: ConfigVersion,
    },
    /// Something that operators should act on.
    Warn(String),
    /// Something that happens in normal operation.
    Note(String),
    /// A submission ended.
    Observed(Observation),
    /// The instance no longer admits submissions and readiness ends.
    Leaving,
    /// The instance has finished everything and may stop.
    Drained,
}

/// A reply to someone who waits.
#[derive(Debug, Clone, Serialize, Deserialize)]
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
    /// The state of the instance.
    Status(Box<Status>),
    /// The configuration in force.
    Config {
        /// Its version; 0 for none.
        version: ConfigVersion,
        /// The set as canonical JSON.
        text: String,
    },
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

/// A lease to be asked for, renewed or returned.
#[derive(Debug, Clone)]
pub struct LeaseOrder {
    /// The worker.
    pub target: TargetKey,
    /// The worker's address.
    pub address: Arc<str>,
    /// The slots to ask for; 0 returns the lease.
    pub slots: u32,
    /// The lease to renew or return, or `None` to ask for a new one.
    pub held: Option<LeaseGrant>,
}

/// A target to be asked for its state.
#[derive(Debug, Clone)]
pub struct ProbeOrder {
    /// The target.
    pub target: TargetName,
    /// The run of its process.
    pub incarnation: Incarnation,
    /// Its address.
    pub address: Arc<str>,
}

/// What is measured of a submission that ended.
#[derive(Debug, Clone)]
pub struct Observation {
    /// The customer.
    pub customer: CustomerName,
    /// The request kind.
    pub kind: KindName,
    /// The name of the outcome.
    pub outcome: &'static str,
    /// The time from arrival to answer.
    pub response_us: u64,
    /// The run time of the longest task, which no scheduler can undercut.
    pub ideal_us: u64,
    /// The sends to targets.
    pub sends: u32,
    /// The tasks, which is the number of sends needed.
    pub tasks: u32,
}
