//! What an instance can learn.

use std::sync::Arc;

use bytes::Bytes;

use crate::config::{ConfigSet, Role};
use crate::id::{
    ConfigVersion, CustomerName, DomainName, Incarnation, KindName, ServiceName,
    SubmissionId, TargetName,
};
use crate::target::{AttemptKey, SendReport, TargetKey};

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
    Listed(Vec<ListedTarget>),
    /// A configuration came into force.
    ConfigAccepted {
        /// Its version.
        version: ConfigVersion,
        /// Its objects.
        set: Arc<ConfigSet>,
    },
    /// Time has passed.
    Tick,
}

/// Someone who waits for a reply.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Hash)]
pub struct WaiterId(pub u64);

/// A submission as it arrives.
#[derive(Debug, Clone)]
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
#[derive(Debug, Clone, Default)]
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
    pub token: u64,
    /// The number of slots.
    pub slots: u32,
    /// The time until the lease lapses, counted from when it was asked for.
    pub expires_in_ms: u64,
}

/// A target in the platform's instance list.
#[derive(Debug, Clone)]
pub struct ListedTarget {
    /// The name.
    pub name: TargetName,
    /// The role.
    pub role: Role,
    /// The service label.
    pub service: ServiceName,
    /// The failure domain.
    pub domain: DomainName,
    /// The address for HTTP.
    pub address: Arc<str>,
    /// The slots.
    pub slots: u32,
    /// The processors.
    pub cpus: u32,
    /// The memory.
    pub memory_mb: u64,
    /// Whether the list says that the target is leaving.
    pub leaving: bool,
    /// The run of the target's process.
    pub incarnation: Incarnation,
}
