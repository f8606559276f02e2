//! What the owner of a submission keeps about it.

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

/// The targets that a task avoids after they did not start it.
const TRIED: usize = 3;

/// Someone who asked for something.
#[derive(Debug, Clone, Eq, PartialEq)]
pub enum Asker {
    /// A caller that is connected to this instance.
    Caller(WaiterId),
    /// A peer that forwards a caller's wish.
    Peer {
        /// The peer.
        peer: Owner,
        /// The peer's number for the answer.
        correlation: u64,
    },
}

impl From<WaiterId> for Asker {
    fn from(waiter: WaiterId) -> Self {
        Self::Caller(waiter)
    }
}

/// A submission that this instance owns.
#[derive(Debug)]
pub struct Record {
    /// The id.
    pub id: SubmissionId,
    /// The customer.
    pub customer: CustomerKey,
    /// The request kind.
    pub kind: KindKey,
    /// The target group that runs it.
    pub group: GroupName,
    /// The priority.
    pub priority: PriorityName,
    /// Which further sends are allowed.
    pub rules: SendRules,
    /// The tasks; empty for a submission that was taken over with its answer.
    pub tasks: Vec<Task>,
    /// The number of tasks without a result.
    pub unfinished: usize,
    /// The number of sends so far.
    pub attempts: u32,
    /// The number of sends that have not ended.
    pub in_flight: u32,
    /// Whether any send that has ended may have started a task.
    pub started: bool,
    /// The configuration that decided on its admission.
    pub config_version: ConfigVersion,
    /// When it arrived.
    pub arrived: Timestamp,
    /// When the answer is needed.
    pub deadline: Timestamp,
    /// The longest run of a task so far.
    pub longest_us: u64,
    /// Who waits for the answer, with the number of tickets that each wants.
    pub waiters: Vec<(Asker, u16)>,
    /// The final outcome.
    pub outcome: Option<Outcome>,
    /// The trace that the submission belongs to.
    pub traceparent: Option<Arc<str>>,
}

/// A task of a submission.
#[derive(Debug)]
pub struct Task {
    /// What the caller sent.
    pub spec: TaskSpec,
    /// Where the task is.
    pub state: TaskState,
    /// The number of sends so far.
    pub sends: Attempt,
    /// The targets that did not start it, latest last.
    pub tried: Vec<TargetKey>,
    /// Whether it waits again although it may have run.
    pub ran_before: bool,
    /// The name of the report on the send after which it waits again.
    pub waits_after: Option<&'static str>,
    /// Whether a peer bounced it, so that a free slot of this instance goes first.
    pub bounced: bool,
    /// The place that it had in the queue when it was taken out.
    pub place: Option<QueuePosition<CustomerKey>>,
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
    /// Creates a task that waits for a slot.
    pub fn queued(spec: TaskSpec) -> Self {
        let (state, sends) = (TaskState::Queued, Attempt::default());
        Self {
            spec,
            state,
            sends,
            tried: vec![],
            ran_before: false,
            waits_after: None,
            bounced: false,
            place: None,
        }
    }

    /// Notes that a target did not start the task.
    pub fn avoid(&mut self, target: TargetKey) {
        if self.tried.len() == TRIED {
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

/// Where a task is.
#[derive(Debug, Clone)]
pub enum TaskState {
    /// Waiting for a slot.
    Queued,
    /// Sent to a target, and perhaps hedged with a second send.
    Sent {
        /// The send that has lasted longer.
        first: AttemptKey,
        /// The hedge.
        second: Option<AttemptKey>,
    },
    /// Finished with a result.
    Done(Bytes),
    /// Given up, because the submission has ended.
    Dropped,
}

/// A task that waits for a slot.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Hash)]
pub struct QueuedTask {
    /// The submission.
    pub submission: SubmissionKey,
    /// The position of the task in its submission.
    pub task: u16,
}

/// A send that has not ended.
#[derive(Debug, Clone)]
pub struct AttemptState {
    /// On whose behalf the task is sent.
    pub origin: Origin,
    /// Where it runs.
    pub place: RunPlace,
    /// The target group.
    pub group: GroupName,
    /// The request kind.
    pub kind: KindKey,
    /// When the send was ordered.
    pub sent: Timestamp,
    /// Whether the send probes a target.
    pub probe: bool,
    /// Whether the send is a hedge.
    pub hedge: bool,
    /// The number of the send among those of its task.
    pub number: Attempt,
    /// The submission.
    pub submission: SubmissionId,
    /// The position of the task in its submission.
    pub task: TaskIndex,
}

/// On whose behalf a task is sent.
#[derive(Debug, Clone)]
pub enum Origin {
    /// A submission of this instance, with the place that the task had in the queue.
    Own {
        /// The task.
        task: QueuedTask,
        /// The run time that the caller expects.
        declared_us: Option<u64>,
    },
    /// A submission of a peer.
    Peer {
        /// The owner.
        owner: Owner,
        /// The owner's number for the report.
        correlation: u64,
    },
}

/// Where a task runs.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum RunPlace {
    /// On a target that this instance uses.
    Target(TargetKey),
    /// On a target that a peer uses; the message that asked for it.
    Peer(crate::engine::PendingKey),
}
