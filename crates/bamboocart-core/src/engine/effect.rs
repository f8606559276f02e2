//! What an instance wants done.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::account::StartReason;
use crate::config::Snapshot;
use crate::engine::{LeaseGrant, Status, WaiterId};
use crate::id::{
    Attempt, ConfigVersion, CustomerName, GroupName, Incarnation, InstanceName, KindName,
    PriorityName, SubmissionId, TargetName, TaskIndex,
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
    PeerMessage {
        /// The peer's address for links.
        address: Arc<str>,
        /// The number that `PeerUndelivered` names, if the sender needs to know.
        correlation: Option<u64>,
        /// The message.
        envelope: Envelope,
    },
    /// A submission that a peer has forwarded or a task that it has lent is answered.
    EndSpan {
        /// The peer.
        peer: InstanceName,
        /// The peer's number for the answer.
        correlation: u64,
    },
    /// Read the whole instance list, since the one in force is another.
    RereadList,
    /// The peers have changed.
    PeersChanged(Vec<Arc<str>>),
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
    /// A peer has sent what the reader of the log can go on from, if it has to.
    SnapshotReceived(Box<Snapshot>),
    /// A configuration is in force.
    ConfigInForce {
        /// Its version.
        version: ConfigVersion,
    },
    /// Something that operators should act on.
    Warn(String),
    /// Something that happens in normal operation.
    Info(String),
    /// Something was measured.
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

/// Something that is measured.
#[derive(Debug, Clone)]
pub enum Observation {
    /// A submission was answered.
    Answered(Answered),
    /// A task was sent to a target or offered to a peer.
    Started(Started),
    /// A hedge ended.
    Hedged {
        /// The request kind.
        kind: KindName,
        /// Whether the submission took the hedge's result.
        won: bool,
    },
    /// A target was ejected.
    Ejected {
        /// The target group.
        group: GroupName,
    },
    /// A publication that was appended while the instance ran came into force.
    ConfigDelayed {
        /// The time since the append, by the clocks of the log and of the instance.
        delay_us: u64,
    },
}

/// An answer that this instance has decided.
#[derive(Debug, Clone)]
pub struct Answered {
    /// The customer, unless no configuration had it.
    pub customer: Option<CustomerName>,
    /// The request kind, unless no configuration had it.
    pub kind: Option<KindName>,
    /// The outcome, without results.
    pub outcome: Outcome,
    /// What a complete answer took.
    pub cost: Option<AnswerCost>,
}

/// What a complete answer took.
#[derive(Debug, Copy, Clone)]
pub struct AnswerCost {
    /// The time from arrival to answer.
    pub response_us: u64,
    /// The run time of the longest task, which no scheduler can undercut.
    pub ideal_us: u64,
    /// The sends to targets.
    pub sends: u32,
    /// The tasks, which is the number of sends needed.
    pub tasks: u32,
}

/// The start of a task.
#[derive(Debug, Clone)]
pub struct Started {
    /// The target group.
    pub group: GroupName,
    /// The request kind.
    pub kind: KindName,
    /// Why the task was next.
    pub reason: StartReason,
    /// What it follows.
    pub after: StartedAfter,
}

/// What the start of a task follows.
#[derive(Debug, Clone)]
pub enum StartedAfter {
    /// The admission of its submission.
    Admission {
        /// The priority.
        priority: PriorityName,
        /// The time since then.
        wait_us: u64,
    },
    /// The end of an earlier send.
    Send {
        /// The name of the report on that send.
        report: &'static str,
    },
    /// Nothing; it is the hedge of a send that has not ended.
    Straggler,
}
