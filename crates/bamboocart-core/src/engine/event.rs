//! The events: the inputs of the engine.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::config::{ConfigSet, LogPosition};
use crate::id::{
    ConfigVersion, CustomerName, Incarnation, InstanceName, KindName, SubmissionId,
    TargetName,
};
use crate::membership::MemberList;
use crate::message::{Envelope, Message};
use crate::ownership::Owner;
use crate::target::{AttemptKey, SendReport, TargetKey};
use crate::time::Timestamp;

/// An input from outside the core.
#[derive(Debug)]
pub enum Event {
    /// A caller sent a submission.
    Submit {
        /// Who waits for the answer.
        waiter: WaiterId,
        /// The submission as it was received, not checked against the configuration.
        submission: NewSubmission,
    },
    /// A caller requested tickets.
    IssueTickets {
        /// Who waits for the tickets.
        waiter: WaiterId,
        /// The number of tickets to issue.
        count: u16,
    },
    /// A caller queried the state of a submission.
    Query {
        /// Who waits for the state.
        waiter: WaiterId,
        /// The ticket or caller key of the submission.
        id: SubmissionId,
    },
    /// A caller cancelled a submission.
    Cancel {
        /// Who waits for the confirmation.
        waiter: WaiterId,
        /// The ticket or caller key of the submission.
        id: SubmissionId,
    },
    /// An operator queried the state of the instance.
    Status {
        /// Who waits for the state.
        waiter: WaiterId,
    },
    /// A send to a target ended.
    SendFinished {
        /// The key of the send, from its `SendOrder`.
        attempt: AttemptKey,
        /// How it ended.
        report: SendReport,
    },
    /// A worker answered a lease request, or the request failed.
    LeaseAnswered {
        /// The key of the worker, from the `LeaseOrder`.
        target: TargetKey,
        /// The granted lease, or `None` if the request was refused or got no answer.
        grant: Option<LeaseGrant>,
    },
    /// The platform's instance list was read.
    ListRead(MemberList),
    /// The platform's instance list has not changed since it was last read.
    ListUnchanged {
        /// The version of the list.
        version: u64,
        /// The time that the list describes, by the platform's clock, in Unix
        /// milliseconds.
        as_of_ms: u64,
    },
    /// A target answered a probe.
    Probed(ProbeAnswer),
    /// The log has put a configuration in force.
    ConfigAccepted {
        /// The version of the configuration.
        version: ConfigVersion,
        /// The objects of the configuration.
        set: Arc<ConfigSet>,
        /// When it was published, or `None` if that was too long ago to be known.
        published_at: Option<Timestamp>,
    },
    /// The reader of the configuration stream has made progress.
    ConfigRead(LogPosition),
    /// An operator requested the configuration in force.
    Config {
        /// Who waits for it.
        waiter: WaiterId,
    },
    /// Records of the stream of claims were read.
    ClaimsRead(ClaimPage),
    /// A message from a peer arrived.
    PeerMessage {
        /// The incarnation of the peer that sent it.
        from: Owner,
        /// The message with what was sent along.
        envelope: Envelope,
    },
    /// A message to a peer was not acknowledged.
    PeerUndelivered {
        /// The correlation id of the message.
        correlation: u64,
        /// Whether the peer certainly did not receive the message, so that it is safe to
        /// send it to another.
        certain: bool,
    },
    /// A peer has received a part of a handover; the delivery of other messages is not
    /// reported.
    PeerDelivered {
        /// The correlation id of the message.
        correlation: u64,
    },
    /// An append to the account ended.
    AccountAppended {
        /// The number of the batch, from `AppendAccount`.
        number: u64,
        /// Whether the log has confirmed the append; otherwise the batch is appended
        /// again.
        confirmed: bool,
    },
    /// A message is to be sent to a peer, as decided outside the engine.
    TellPeer {
        /// The receiver; the message is dropped if it is not a known peer.
        to: InstanceName,
        /// The message to send.
        message: Box<Message>,
    },
    /// A planned stop of the instance was requested.
    Drain,
    /// Time has passed, see [`Engine::next_due`](crate::engine::Engine::next_due).
    Tick,
}

/// Identifies a caller or operator that waits for a reply.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Hash)]
pub struct WaiterId(pub u64);

/// A submission as received from a caller.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct NewSubmission {
    /// The ticket or caller key that the caller sent, or `None` if the instance is to
    /// issue a ticket.
    pub id: Option<SubmissionId>,
    /// The customer whose quota the submission counts against.
    pub customer: CustomerName,
    /// The request kind, which determines the target group and the priority.
    pub kind: KindName,
    /// The time until the answer is needed, or `None` for the default of the kind.
    pub deadline_ms: Option<u64>,
    /// The tasks, of which a request has exactly one.
    pub tasks: Vec<TaskSpec>,
    /// Whether the submission is a job, whose tasks are never sent twice.
    pub job: bool,
    /// The number of tickets to return with the answer.
    pub want_tickets: u16,
    /// The trace that the submission belongs to, as a `traceparent` header.
    pub traceparent: Option<Arc<str>>,
}

/// A task as received from a caller.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct TaskSpec {
    /// The bytes that the target receives.
    pub payload: Bytes,
    /// The number of processors that the caller expects the task to need.
    pub cpus: u32,
    /// The memory that the caller expects the task to need.
    pub memory_mb: u64,
    /// The run time that the caller expects, if it declares one.
    pub declared_ms: Option<u64>,
}

/// A lease on slots of a worker.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub struct LeaseGrant {
    /// The id of the lease.
    pub lease: u64,
    /// The fencing token, by which the worker rejects sends under an outdated lease.
    pub fencing_token: u64,
    /// The number of slots that the lease covers.
    pub slots: u32,
    /// The time until the lease expires, counted from when it was requested.
    pub expires_in_ms: u64,
}

/// The answer of a target to a probe.
#[derive(Debug, Clone)]
pub struct ProbeAnswer {
    /// The name of the target.
    pub target: TargetName,
    /// The run of its process that was probed.
    pub incarnation: Incarnation,
    /// Whether the target is draining and takes no further tasks.
    pub leaving: bool,
}

/// A page of records from the stream of claims.
#[derive(Debug, Clone)]
pub struct ClaimPage {
    /// The offset of the oldest record that the log still keeps.
    pub start: u64,
    /// The records, each with its offset, the time of the append in Unix milliseconds,
    /// and its body.
    pub records: Vec<(u64, u64, String)>,
}
