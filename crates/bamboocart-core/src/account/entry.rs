//! The entries of the account.

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
    /// The position in the incarnation's account, counted from 1.
    pub sequence: u64,
    /// When the event was recorded, never earlier than the previous entry.
    pub at: Timestamp,
    /// The recorded event.
    pub fact: Fact,
}

/// An event that the account records.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fact {
    /// Tasks were added to a queue.
    Admitted {
        /// The submission that the tasks belong to.
        subject: Subject,
        /// The admitted tasks.
        tasks: TaskRange,
        /// The scheduling parameters, which apply to each of the tasks.
        #[serde(rename = "claim")]
        params: SchedulingParams,
    },
    /// A submission was refused without being run, on arrival or while it was queued.
    Refused {
        /// The submission, or `None` if its id could not be read.
        submission: Option<SubmissionId>,
        /// The customer, as far as it is known.
        customer: CustomerName,
        /// The request kind, as far as it is known.
        kind: KindName,
        /// The version of the configuration in force.
        config: ConfigVersion,
        /// The reason for the refusal.
        code: RefusalCode,
    },
    /// A task was sent to a target.
    Started {
        /// The submission that the task belongs to.
        subject: Subject,
        /// The position of the task in its submission.
        task: TaskIndex,
        /// The number of this attempt.
        attempt: Attempt,
        /// The target that the task was sent to.
        target: TargetName,
        /// Why this task was started before the others in the queue.
        reason: StartReason,
    },
    /// An attempt to run a task ended.
    Finished {
        /// The submission that the task belongs to.
        subject: Subject,
        /// The position of the task in its submission.
        task: TaskIndex,
        /// The number of the attempt that ended.
        attempt: Attempt,
        /// How the attempt ended.
        result: FinishResult,
    },
    /// The caller got its answer; the remaining tasks of the submission leave the queue.
    Answered {
        /// The submission that was answered.
        subject: Subject,
        /// The outcome that was reported to the caller.
        answer: AnswerKind,
    },
    /// The caller cancelled; the waiting tasks of the submission leave the queue.
    Cancelled {
        /// The submission that was cancelled.
        subject: Subject,
        /// Whether the answer to the caller said that tasks may have been started.
        started: bool,
    },
    /// A new version of the configuration came into force.
    PolicyChange {
        /// The version that was in force until now.
        from: ConfigVersion,
        /// The version that is in force from this entry on.
        to: ConfigVersion,
    },
    /// Entries were dropped, for example because the buffer was full.
    Gap(Gap),
}

/// The submission that an entry is about.
#[derive(Debug, Clone, Eq, PartialEq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Subject {
    /// The id of the submission.
    pub submission: SubmissionId,
    /// The customer that sent the submission.
    pub customer: CustomerName,
    /// The request kind of the submission.
    pub kind: KindName,
    /// The version of the configuration that the decision was based on.
    pub config: ConfigVersion,
}

/// Consecutive tasks of a submission.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskRange {
    /// The first task of the range.
    pub first: TaskIndex,
    /// The number of tasks in the range.
    pub count: u16,
}

/// The parameters that decide when a task starts, fixed at its admission.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SchedulingParams {
    /// The name of the queue, which is that of its target group.
    pub queue: GroupName,
    /// The rank of the priority; lower ranks start first.
    pub rank: u8,
    /// The customer's weight within the priority.
    pub weight: u32,
    /// The expected run time of each task, charged once to the customer's share when the
    /// task first starts.
    pub cost_us: u64,
    /// The arrival number in the queue, which increases with each admission.
    pub arrival: u64,
}

/// Why a task was started before the other waiting tasks.
#[derive(
    Debug, Copy, Clone, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum StartReason {
    /// It was next by rank, fair share and arrival.
    Order,
    /// Its priority had received less than its reserved share of starts.
    Floor,
    /// The tasks ahead of it did not fit the free slots.
    Fit,
    /// A target had rejected it before it started there, so it was queued again.
    Requeued,
    /// It is another attempt of a task that was sent before.
    Retry,
    /// It is a second, parallel attempt of a straggler.
    Hedge,
}

impl StartReason {
    /// Returns the name of the reason, as in JSON.
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

/// How an attempt ended.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FinishResult {
    /// The target returned a result.
    Complete,
    /// The target reported that the task failed.
    Failed,
    /// The target certainly did not start the task; it is queued again unless an earlier
    /// attempt may have run.
    NotStarted,
    /// The outcome is unknown; the task may have run.
    Lost,
    /// The task was stopped before it returned a result.
    Stopped,
}

/// The outcome of a submission that was reported to the caller.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AnswerKind {
    /// Every task has a result.
    Complete,
    /// A task was started and definitely failed.
    Failed(FailureCode),
    /// No task was run.
    Refused(RefusalCode),
    /// The caller cancelled the submission.
    Cancelled,
    /// The outcome is unknown; tasks may have run.
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

/// A range of dropped entries; the entry that records the gap follows it directly.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Gap {
    /// The sequence number of the first dropped entry.
    pub first_sequence: u64,
    /// The sequence number of the last dropped entry.
    pub last_sequence: u64,
    /// The time of the first dropped entry.
    pub from: Timestamp,
    /// The time of the last dropped entry.
    pub until: Timestamp,
}
