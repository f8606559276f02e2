//! What the account records.

use serde::{Deserialize, Serialize};

use crate::id::{
    Attempt, ConfigVersion, CustomerName, GroupName, KindName, SubmissionId, TargetName,
    TaskIndex,
};
use crate::outcome::{FailureCode, Outcome, RefusalCode, UnknownCode};
use crate::time::Timestamp;

/// One entry of an incarnation's account.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The position in the incarnation's account, from 1.
    pub sequence: u64,
    /// When it happened, never before the entry in front of it.
    pub at: Timestamp,
    /// What happened.
    pub fact: Fact,
}

/// What happened.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fact {
    /// Tasks entered a queue.
    Admitted {
        /// What it is about.
        subject: Subject,
        /// The tasks.
        tasks: TaskRange,
        /// What decides when each of them starts.
        #[serde(rename = "claim")]
        params: SchedulingParams,
    },
    /// A submission was refused as not run, on arrival or out of the queue.
    Refused {
        /// The submission, if its id could be read.
        submission: Option<SubmissionId>,
        /// The customer as far as it is known.
        customer: CustomerName,
        /// The request kind as far as it is known.
        kind: KindName,
        /// The configuration in force.
        config: ConfigVersion,
        /// The reason.
        code: RefusalCode,
    },
    /// A task was sent to a target.
    Started {
        /// What it is about.
        subject: Subject,
        /// The task.
        task: TaskIndex,
        /// The number of the send.
        attempt: Attempt,
        /// Where it was sent.
        target: TargetName,
        /// Why this task was next.
        reason: StartReason,
    },
    /// A send ended.
    Finished {
        /// What it is about.
        subject: Subject,
        /// The task.
        task: TaskIndex,
        /// The number of the send.
        attempt: Attempt,
        /// How it ended.
        result: FinishResult,
    },
    /// The caller was answered; the submission's other tasks leave the queue.
    Answered {
        /// What it is about.
        subject: Subject,
        /// The answer.
        answer: AnswerKind,
    },
    /// The caller cancelled; the submission's waiting tasks leave the queue.
    Cancelled {
        /// What it is about.
        subject: Subject,
        /// Whether the caller was told that tasks may have been started.
        started: bool,
    },
    /// Another configuration came into force.
    PolicyChange {
        /// The configuration before.
        from: ConfigVersion,
        /// The configuration from now on.
        to: ConfigVersion,
    },
    /// Entries were dropped.
    Gap(Gap),
}

/// What an entry is about.
#[derive(Debug, Clone, Eq, PartialEq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Subject {
    /// The submission.
    pub submission: SubmissionId,
    /// The customer.
    pub customer: CustomerName,
    /// The request kind.
    pub kind: KindName,
    /// The configuration that the decision was based on.
    pub config: ConfigVersion,
}

/// Consecutive tasks of a submission.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskRange {
    /// The first task.
    pub first: TaskIndex,
    /// The number of tasks.
    pub count: u16,
}

/// What decides when a task starts, fixed at its admission.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SchedulingParams {
    /// The queue, named after its target group.
    pub queue: GroupName,
    /// The rank of the priority; 0 goes first.
    pub rank: u8,
    /// The customer's weight within the priority.
    pub weight: u32,
    /// The expected run time of each task, which is charged once, at its first start.
    pub cost_us: u64,
    /// The arrival number in the queue, which rises with each admission.
    pub arrival: u64,
}

/// Why a task was started before the others that wait.
#[derive(
    Debug, Copy, Clone, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum StartReason {
    /// It was next by rank, fair share and arrival.
    Order,
    /// Its priority was below its reserved share of starts.
    Floor,
    /// The tasks before it did not fit the free slots.
    Fit,
    /// It was turned away by a target before it started there.
    Requeued,
    /// A further send of a task that was sent before.
    Retry,
    /// A second send of a straggler.
    Hedge,
}

impl StartReason {
    /// Returns the name that the account states.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Order => "order",
            Self::Floor => "floor",
            Self::Fit => "fit",
            Self::Requeued => "requeued",
            Self::Retry => "retry",
            Self::Hedge => "hedge",
        }
    }
}

/// How a send ended.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FinishResult {
    /// The target returned a result.
    Complete,
    /// The target reported a failure.
    Failed,
    /// The target certainly did not start the task; it waits again unless it ran before.
    NotStarted,
    /// The task may have run.
    Lost,
    /// The task was stopped.
    Stopped,
}

/// The answer to a submission.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AnswerKind {
    /// Every task has a result.
    Complete,
    /// A definite failure after a start.
    Failed(FailureCode),
    /// Not run.
    Refused(RefusalCode),
    /// Cancelled by the caller.
    Cancelled,
    /// It may have run.
    Unknown(UnknownCode),
}

impl From<&Outcome> for AnswerKind {
    fn from(outcome: &Outcome) -> Self {
        match outcome {
            Outcome::Complete(_) => Self::Complete,
            Outcome::Failed(code) => Self::Failed(*code),
            Outcome::Refused(refusal) => Self::Refused(refusal.code),
            Outcome::Cancelled { .. } => Self::Cancelled,
            Outcome::Unknown(code) => Self::Unknown(*code),
        }
    }
}

/// The bounds of dropped entries; the gap's own entry comes right after them.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Gap {
    /// The first dropped entry.
    pub first_sequence: u64,
    /// The last dropped entry.
    pub last_sequence: u64,
    /// The time of the first dropped entry.
    pub from: Timestamp,
    /// The time of the last dropped entry.
    pub until: Timestamp,
}
