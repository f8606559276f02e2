//! The state that the owner of a submission keeps for it.

use std::sync::Arc;

use bytes::Bytes;

use crate::config::Resend;
use crate::engine::names::{CustomerKey, KindKey};
use crate::engine::{TaskSpec, WaiterId};
use crate::id::{
    Attempt, ConfigVersion, GroupName, PriorityName, SubmissionId, TaskIndex,
};
use crate::outcome::Outcome;
use crate::ownership::Owner;
use crate::queue::QueuePosition;
use crate::retry::SendRules;
use crate::target::{AttemptKey, TargetKey};
use crate::time::Timestamp;

pub use crate::ownership::SubmissionKey;

/// The number of targets that a task avoids after they did not start it.
const MAX_TRIED_TARGETS: usize = 3;

/// The origin of a request: a caller or a peer that forwards it.
#[derive(Debug, Clone, Eq, PartialEq)]
pub enum Requester {
    /// A caller that is connected to this instance.
    Caller(WaiterId),
    /// A peer that forwards the request of a caller.
    Peer {
        peer: Owner,
        /// The peer's correlation id for the answer.
        correlation: u64,
    },
}

impl From<WaiterId> for Requester {
    fn from(waiter: WaiterId) -> Self {
        Self::Caller(waiter)
    }
}

/// A submission that this instance owns.
#[derive(Debug)]
pub struct Record {
    pub id: SubmissionId,
    pub customer: CustomerKey,
    pub kind: KindKey,
    /// The target group that runs its tasks.
    pub group: GroupName,
    pub priority: PriorityName,
    /// The rules for retries and hedges.
    pub rules: SendRules,
    /// The tasks; empty once the submission has ended.
    pub tasks: Vec<Task>,
    /// The number of tasks without a result.
    pub unfinished: usize,
    /// The number of sends so far.
    pub attempts: u32,
    /// The number of sends that have not ended.
    pub in_flight: u32,
    /// Whether any send that has ended may have started a task.
    pub started: bool,
    /// The configuration that was in force at its admission.
    pub config_version: ConfigVersion,
    pub arrived: Timestamp,
    /// When the answer is needed.
    pub deadline: Timestamp,
    /// The longest run of a completed task so far.
    pub longest_us: u64,
    /// The requesters that wait for the answer, each with the number of tickets it wants.
    pub waiters: Vec<(Requester, u16)>,
    /// The final outcome, once there is one.
    pub outcome: Option<Outcome>,
    /// The trace that the submission belongs to, as a `traceparent` header.
    pub traceparent: Option<Arc<str>>,
}

/// A task of a submission.
#[derive(Debug)]
pub struct Task {
    pub spec: TaskSpec,
    pub state: TaskState,
    /// The number of sends so far.
    pub sends: Attempt,
    /// The latest targets that did not start it, oldest first.
    pub tried: Vec<TargetKey>,
    /// Whether it was queued again although it may have run.
    pub ran_before: bool,
    /// The name of the report on the send after which it was queued again.
    pub requeued_after: Option<&'static str>,
    /// Whether a peer rejected it, so that a free slot of this instance takes precedence.
    pub rejected_by_peer: bool,
    /// The queue position that it had when it was taken out.
    pub position: Option<QueuePosition<CustomerKey>>,
}

impl Record {
    /// Creates the record of a submission that was taken over with its answer.
    pub fn answered(id: SubmissionId, outcome: Outcome) -> Self {
        let rules = SendRules {
            idempotent: false,
            resend: Resend::Never,
            hedge: false,
            job: true,
        };
        Self {
            id,
            customer: CustomerKey::default(),
            kind: KindKey::default(),
            group: "".into(),
            priority: "".into(),
            rules,
            tasks: vec![],
            unfinished: 0,
            attempts: 0,
            in_flight: 0,
            started: false,
            config_version: ConfigVersion::default(),
            arrived: Timestamp::default(),
            deadline: Timestamp::default(),
            longest_us: 0,
            waiters: vec![],
            outcome: Some(outcome),
            traceparent: None,
        }
    }

    /// Reports whether any task may have been started.
    pub fn may_have_started(&self) -> bool {
        self.started || self.in_flight > 0
    }
}

impl Task {
    pub fn queued(spec: TaskSpec) -> Self {
        let (state, sends) = (TaskState::Queued, Attempt::default());
        Self {
            spec,
            state,
            sends,
            tried: vec![],
            ran_before: false,
            requeued_after: None,
            rejected_by_peer: false,
            position: None,
        }
    }

    /// Remembers a target that did not start the task.
    pub fn avoid(&mut self, target: TargetKey) {
        if self.tried.len() == MAX_TRIED_TARGETS {
            self.tried.remove(0);
        }
        self.tried.push(target);
    }

    /// Returns the sends that have not ended.
    pub fn sent(&self) -> impl Iterator<Item = AttemptKey> + use<> {
        let (first, second) = match self.state {
            TaskState::Sent { first, second } => (Some(first), second),
            _ => (None, None),
        };
        first.into_iter().chain(second)
    }
}

/// The state of a task.
#[derive(Debug, Clone)]
pub enum TaskState {
    /// It waits for a slot.
    Queued,
    /// It was sent to a target, and perhaps hedged with a second send.
    Sent {
        /// The earlier of the sends that have not ended.
        first: AttemptKey,
        /// The hedge.
        second: Option<AttemptKey>,
    },
    /// It has a result.
    Done(Bytes),
    /// It was dropped because the submission has ended.
    Dropped,
}

/// The key of a task in the queue.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Hash)]
pub struct QueuedTask {
    pub submission: SubmissionKey,
    /// The position of the task in its submission.
    pub task: u16,
}

/// A send that has not ended.
#[derive(Debug, Clone)]
pub struct AttemptState {
    /// On whose behalf the task is sent.
    pub origin: Origin,
    pub place: RunPlace,
    pub group: GroupName,
    pub kind: KindKey,
    /// When the send was ordered.
    pub sent: Timestamp,
    /// Whether the send probes a target on probation.
    pub probe: bool,
    pub hedge: bool,
    /// The number of the send among those of its task, counted from 1.
    pub number: Attempt,
    pub submission: SubmissionId,
    /// The position of the task in its submission.
    pub task: TaskIndex,
}

/// On whose behalf a task is sent.
#[derive(Debug, Clone)]
pub enum Origin {
    /// A submission of this instance.
    Own {
        task: QueuedTask,
        /// The run time that the caller expects.
        declared_us: Option<u64>,
    },
    /// A submission of a peer, which has offered the task.
    Peer {
        owner: Owner,
        /// The owner's correlation id for the report.
        correlation: u64,
    },
}

/// Where a task runs.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum RunPlace {
    /// On a target that this instance uses.
    Target(TargetKey),
    /// On a target that a peer uses, with the message that offered the task.
    Peer(crate::engine::PendingKey),
}
