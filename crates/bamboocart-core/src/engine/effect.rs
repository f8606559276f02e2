//! The effects: the actions that the engine asks its caller to carry out.

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

/// An action to be carried out outside the core.
#[derive(Debug)]
pub enum Effect {
    /// Reply to a waiter.
    Answer {
        /// The caller or operator that waits for the reply.
        waiter: WaiterId,
        /// The reply to deliver.
        reply: Reply,
    },
    /// Send a task to a target.
    Send(SendOrder),
    /// Stop a task at a target, since its result is no longer needed.
    Stop {
        /// The target's address.
        address: Arc<str>,
        /// The submission that the task belongs to.
        submission: SubmissionId,
        /// The position of the task in its submission.
        task: TaskIndex,
    },
    /// Request, renew or return a lease of a worker.
    Lease(LeaseOrder),
    /// Probe a target for its state.
    Probe(ProbeOrder),
    /// Send a message to a peer.
    PeerMessage {
        /// The address at which the peer accepts links.
        address: Arc<str>,
        /// The correlation id for the reports `PeerDelivered` and `PeerUndelivered`, or
        /// `None` if the sender needs no report.
        correlation: Option<u64>,
        /// The message with what is sent along.
        envelope: Envelope,
    },
    /// End the trace span of a request that a peer forwarded or a task that it offloaded
    /// here, since it is answered.
    EndSpan {
        /// The peer that sent the request or the task.
        peer: InstanceName,
        /// The peer's correlation id for the answer.
        correlation: u64,
    },
    /// Read the whole instance list, since the applied version is not the current one.
    RereadList,
    /// Connect to this set of peer addresses, which replaces the previous one.
    PeersChanged(Vec<Arc<str>>),
    /// Append a record to a stream of the log; the append may fail, or succeed without a
    /// confirmation.
    Append {
        /// The name of the stream.
        stream: &'static str,
        /// The record as text.
        body: String,
    },
    /// Append a batch to the account, and report the result as `AccountAppended`.
    AppendAccount {
        /// The number of the batch, which the report repeats.
        number: u64,
        /// The batch as the text of one record.
        text: Arc<str>,
    },
    /// Report readiness to the balancer, which may then send submissions.
    Ready,
    /// A peer has sent a snapshot of the configuration, from which the reader of the log
    /// can resume if the records before it have expired.
    SnapshotReceived(Box<Snapshot>),
    /// A configuration came into force.
    ConfigInForce {
        /// The version that came into force.
        version: ConfigVersion,
    },
    /// Log a warning that operators should act on.
    Warn(String),
    /// Log an event of normal operation.
    Info(String),
    /// Record a measurement.
    Observed(Observation),
    /// End readiness, since a planned stop has begun.
    Leaving,
    /// Stop the process, since the instance has finished everything.
    Drained,
}

/// A reply to a waiter, or to a peer that has forwarded a request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Reply {
    /// The answer about a submission.
    Outcome {
        /// The id of the submission, or `None` if it was refused before it got one.
        submission: Option<SubmissionId>,
        /// What became of the submission.
        outcome: Outcome,
        /// The version of the configuration in force when the answer was given.
        config_version: ConfigVersion,
        /// The instance that answers for the submission.
        owner: InstanceName,
        /// The number of sends to targets so far.
        attempts: u32,
        /// Fresh tickets for later submissions, as many as the caller wanted at most.
        tickets: Vec<SubmissionId>,
    },
    /// Fresh tickets for later submissions.
    Tickets(Vec<SubmissionId>),
    /// The state of the instance.
    Status(Box<Status>),
    /// The configuration in force.
    Config {
        /// The version of the configuration, 0 if there is none.
        version: ConfigVersion,
        /// The configuration set as canonical JSON.
        text: String,
    },
}

/// The send of a task to a target.
#[derive(Debug, Clone)]
pub struct SendOrder {
    /// The key that identifies the send in its report.
    pub attempt: AttemptKey,
    /// The target's address.
    pub address: Arc<str>,
    /// The submission that the task belongs to.
    pub submission: SubmissionId,
    /// The position of the task in its submission.
    pub task: TaskIndex,
    /// The number of the send among those of the task, counted from 1.
    pub number: Attempt,
    /// The request kind of the submission.
    pub kind: KindName,
    /// Whether the kind is idempotent, which decides which connections may be used.
    pub idempotent: bool,
    /// The bytes that the target receives.
    pub payload: Bytes,
    /// The time left until the deadline of the submission.
    pub deadline_ms: u64,
    /// The lease that the send relies on, if the target is a worker.
    pub lease: Option<LeaseGrant>,
    /// The trace that the submission belongs to, as a `traceparent` header.
    pub traceparent: Option<Arc<str>>,
}

/// A lease to request, renew or return.
#[derive(Debug, Clone)]
pub struct LeaseOrder {
    /// The key of the worker.
    pub target: TargetKey,
    /// The worker's address.
    pub address: Arc<str>,
    /// The number of slots to request; 0 returns the lease.
    pub slots: u32,
    /// The lease to renew or return, or `None` to request a new one.
    pub held: Option<LeaseGrant>,
}

/// A probe of a target, which asks it for its state.
#[derive(Debug, Clone)]
pub struct ProbeOrder {
    /// The name of the target to probe.
    pub target: TargetName,
    /// The run of the target's process that the probe is meant for.
    pub incarnation: Incarnation,
    /// The address to probe.
    pub address: Arc<str>,
}

/// A measurement to be recorded in the metrics.
#[derive(Debug, Clone)]
pub enum Observation {
    /// A submission was answered.
    Answered(Answered),
    /// A task was sent to a target or offered to a peer.
    Started(Started),
    /// A hedge ended.
    Hedged {
        /// The request kind of the hedged task.
        kind: KindName,
        /// Whether the hedge finished first, so that the submission took its result.
        won: bool,
    },
    /// A target was ejected.
    Ejected {
        /// The target group that the target belongs to.
        group: GroupName,
    },
    /// A configuration that was appended while the instance ran came into force.
    ConfigDelayed {
        /// The time since the append, by the clocks of the log and of the instance.
        delay_us: u64,
    },
}

/// An answer that this instance has decided on.
#[derive(Debug, Clone)]
pub struct Answered {
    /// The customer, unless no configuration has named it.
    pub customer: Option<CustomerName>,
    /// The request kind, unless no configuration has named it.
    pub kind: Option<KindName>,
    /// The outcome, without results.
    pub outcome: Outcome,
    /// The time and the sends that a complete answer took.
    pub cost: Option<AnswerCost>,
}

/// The time and the sends that a complete answer took.
#[derive(Debug, Copy, Clone)]
pub struct AnswerCost {
    /// The time from arrival to answer.
    pub response_us: u64,
    /// The run time of the longest task, which no scheduler can undercut.
    pub ideal_us: u64,
    /// The number of sends to targets.
    pub sends: u32,
    /// The number of tasks, which is the number of sends needed.
    pub tasks: u32,
}

/// The start of a task.
#[derive(Debug, Clone)]
pub struct Started {
    /// The target group that runs the task.
    pub group: GroupName,
    /// The request kind of the task.
    pub kind: KindName,
    /// Why the task was next, as the account states it.
    pub reason: StartReason,
    /// What preceded the start.
    pub after: StartedAfter,
}

/// What preceded the start of a task.
#[derive(Debug, Clone)]
pub enum StartedAfter {
    /// The admission of its submission.
    Admission {
        /// The priority of the submission.
        priority: PriorityName,
        /// The time from the arrival of the submission to the start.
        wait_us: u64,
    },
    /// The end of an earlier send, after which the task was queued again.
    Send {
        /// The stable name of the report on that send.
        report: &'static str,
    },
    /// A send that has not ended, of which this start is the hedge.
    Straggler,
}
