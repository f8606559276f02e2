//! What an instance can learn.

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

/// Something that happened outside the core.
#[derive(Debug)]
pub enum Event {
    /// A caller sent a submission.
    Submit {
        /// Who waits for the answer.
        waiter: WaiterId,
        /// The submission.
        submission: NewSubmission,
    },
    /// A caller asked for tickets.
    IssueTickets {
        /// Who waits for the tickets.
        waiter: WaiterId,
        /// The number of tickets.
        count: u16,
    },
    /// A caller asked for the state of a submission.
    Query {
        /// Who waits for the state.
        waiter: WaiterId,
        /// The submission.
        id: SubmissionId,
    },
    /// A caller cancelled a submission.
    Cancel {
        /// Who waits for the confirmation.
        waiter: WaiterId,
        /// The submission.
        id: SubmissionId,
    },
    /// An operator asked for the state of the instance.
    Status {
        /// Who waits for the state.
        waiter: WaiterId,
    },
    /// A send to a target ended.
    SendFinished {
        /// The send.
        attempt: AttemptKey,
        /// How it ended.
        report: SendReport,
    },
    /// A worker answered a lease request, or did not.
    LeaseAnswered {
        /// The worker.
        target: TargetKey,
        /// The grant, if there is one.
        grant: Option<LeaseGrant>,
    },
    /// The platform's instance list was read.
    ListRead(MemberList),
    /// The platform's instance list has not changed since it was read.
    ListUnchanged {
        /// Its version.
        version: u64,
        /// The time that it describes, by the platform's clock.
        as_of_ms: u64,
    },
    /// A target answered a probe.
    Probed(ProbeAnswer),
    /// A configuration was accepted.
    ConfigAccepted {
        /// Its version.
        version: ConfigVersion,
        /// Its objects.
        set: Arc<ConfigSet>,
        /// When it was published, or `None` if that was too long ago to be known.
        published_at: Option<Timestamp>,
    },
    /// The stream of configurations was read further.
    ConfigRead(LogPosition),
    /// An operator asked for the configuration in force.
    Config {
        /// Who waits for it.
        waiter: WaiterId,
    },
    /// Records of the stream of claims were read.
    ClaimsRead(ClaimPage),
    /// A message of a peer arrived.
    PeerMessage {
        /// The peer.
        from: Owner,
        /// The message.
        envelope: Envelope,
    },
    /// A message to a peer was not acknowledged.
    PeerUndelivered {
        /// The number of the message.
        correlation: u64,
        /// Whether the peer certainly did not take the message.
        certain: bool,
    },
    /// A peer has taken a part of a handover; other messages are not reported.
    PeerDelivered {
        /// The number of the message.
        correlation: u64,
    },
    /// An append to the account has ended.
    AccountAppended {
        /// The number of the batch.
        number: u64,
        /// Whether the log has confirmed it.
        confirmed: bool,
    },
    /// A message is to be sent to a peer.
    TellPeer {
        /// The peer.
        to: InstanceName,
        /// The message.
        message: Box<Message>,
    },
    /// The instance is to stop.
    Drain,
    /// Time has passed.
    Tick,
}

/// Someone who waits for a reply.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Hash)]
pub struct WaiterId(pub u64);

/// A submission as it arrives.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct NewSubmission {
    /// The caller's id, or `None` if the instance is to issue one.
    pub id: Option<SubmissionId>,
    /// The customer.
    pub customer: CustomerName,
    /// The request kind.
    pub kind: KindName,
    /// The time until the answer is needed, or `None` for the kind's own.
    pub deadline_ms: Option<u64>,
    /// The tasks; a request has one.
    pub tasks: Vec<TaskSpec>,
    /// Whether the submission is a job, whose tasks are never sent twice.
    pub job: bool,
    /// The number of tickets to return with the answer.
    pub want_tickets: u16,
    /// The trace that the submission belongs to, as a `traceparent` header.
    pub traceparent: Option<Arc<str>>,
}

/// One task as it arrives.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct TaskSpec {
    /// What the target receives.
    pub payload: Bytes,
    /// The processors that the caller thinks the task needs.
    pub cpus: u32,
    /// The memory that the caller thinks the task needs.
    pub memory_mb: u64,
    /// The run time that the caller expects.
    pub declared_ms: Option<u64>,
}

/// A lease on slots of a worker.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub struct LeaseGrant {
    /// The lease.
    pub lease: u64,
    /// The fencing token.
    pub fencing_token: u64,
    /// The number of slots.
    pub slots: u32,
    /// The time until the lease lapses, counted from when it was asked for.
    pub expires_in_ms: u64,
}

/// The answer of a target to a probe.
#[derive(Debug, Clone)]
pub struct ProbeAnswer {
    /// The target.
    pub target: TargetName,
    /// The run of its process that was probed.
    pub incarnation: Incarnation,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// Records of the stream of claims.
#[derive(Debug, Clone)]
pub struct ClaimPage {
    /// The offset of the oldest record that the log still keeps.
    pub start: u64,
    /// The records: offset, time of the append in milliseconds and body.
    pub records: Vec<(u64, u64, String)>,
}
