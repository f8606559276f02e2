//! The outcomes of submissions.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::id::TaskIndex;

/// The outcome of a submission.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// Every task has a result.
    Complete(Vec<TaskResult>),
    /// At least one task was started and the submission ended in a definite failure.
    Failed(FailureCode),
    /// No task was started.
    Refused(Refusal),
    /// The caller cancelled the submission.
    Cancelled {
        /// Whether any task may have been started before the cancellation.
        started: bool,
    },
    /// Tasks may have been started, and how they ended is not known.
    Unknown(UnknownCode),
}

impl Outcome {
    /// Returns the stable name of the outcome.
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Complete(_) => "complete",
            Self::Failed(_) => "failed",
            Self::Refused(_) => "refused",
            Self::Cancelled { .. } => "cancelled",
            Self::Unknown(_) => "unknown",
        }
    }

    /// Returns the outcome without the results of the tasks.
    pub fn without_results(&self) -> Self {
        match self {
            Self::Complete(_) => Self::Complete(vec![]),
            other => other.clone(),
        }
    }
}

/// The result of one task.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct TaskResult {
    /// The position of the task in its submission.
    pub task: TaskIndex,
    /// The result that the target returned.
    pub body: Bytes,
}

/// Why a submission failed after at least one start.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FailureCode {
    /// A target reported that a task failed.
    TaskFailed,
    /// A task of a job was lost with its target, and job tasks are never started again.
    TaskLost,
    /// The deadline passed when some tasks were finished and others were not started.
    DeadlinePassed,
}

/// Why a submission was refused before anything was started.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalCode {
    /// The request cannot be parsed.
    Malformed,
    /// The request exceeds a size limit.
    TooLarge,
    /// The customer has no quota in the configuration in force.
    UnknownCustomer,
    /// The request kind is not in the configuration in force.
    UnknownKind,
    /// No target can ever run the task.
    CanNeverRun,
    /// The customer's quota is used up.
    QuotaExhausted,
    /// The queue, the registry or another bounded table is at its limit.
    Overloaded,
    /// The deadline cannot be met.
    DeadlineUnreachable,
    /// No usable target is known.
    NoTarget,
    /// The instance is draining and no peer can accept the submission.
    Draining,
    /// No configuration is in force yet.
    NotConfigured,
    /// The submission id was already used with different content.
    IdReused,
}

/// A refusal, with the time after which a retry may succeed.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// The reason for the refusal.
    pub code: RefusalCode,
    /// The time after which a retry may succeed, if such a time is known.
    pub retry_after_ms: Option<u64>,
}

/// Why the outcome of a submission is not known.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UnknownCode {
    /// The instance that owns the submission is gone.
    OwnerGone,
    /// The owner did not answer before the timeout.
    OwnerSilent,
    /// A target was lost when it may already have started the task.
    TargetLost,
    /// The deadline passed while a task was running.
    StillRunning,
    /// The submission is older than the records that its owner keeps.
    Forgotten,
    /// This instance knows no claim that covers the time in the caller's key.
    NoClaim,
    /// The time in the caller's key is ahead of the owner's clock.
    ClockAhead,
    /// The owner was asked for the state of a submission that it has never received.
    NeverSeen,
}

impl RefusalCode {
    /// Returns the HTTP status for the refusal.
    pub const fn http_status(self) -> u16 {
        match self {
            Self::Malformed => 400,
            Self::TooLarge => 413,
            Self::UnknownCustomer | Self::UnknownKind | Self::CanNeverRun => 422,
            Self::IdReused => 409,
            Self::QuotaExhausted => 429,
            Self::Overloaded
            | Self::DeadlineUnreachable
            | Self::NoTarget
            | Self::Draining
            | Self::NotConfigured => 503,
        }
    }

    /// Returns what the caller can do about the refusal.
    pub const fn remedy(self) -> &'static str {
        match self {
            Self::Malformed => "not run; correct the request and send it again",
            Self::TooLarge => "not run; split the job or shorten the payload",
            Self::UnknownCustomer => "not run; ask the operators for a quota",
            Self::UnknownKind => {
                "not run; use a request kind of the published configuration"
            }
            Self::CanNeverRun => "not run; ask for no more than one target offers",
            Self::QuotaExhausted => {
                "not run; retry after the given time under a fresh id"
            }
            Self::Overloaded => "not run; retry after the given time under a fresh id",
            Self::DeadlineUnreachable => {
                "not run; allow a later deadline or retry later under a fresh id"
            }
            Self::NoTarget => "not run; retry after the given time under a fresh id",
            Self::Draining => "not run; send the request to another instance",
            Self::NotConfigured => "not run; send the request to another instance",
            Self::IdReused => {
                "not run with this content; use a fresh id for other content"
            }
        }
    }
}

impl UnknownCode {
    /// Returns what the caller can do about the missing outcome.
    pub const fn remedy(self) -> &'static str {
        match self {
            Self::OwnerGone => {
                "it may have run; if this id was never sent before, take a fresh ticket"
            }
            Self::OwnerSilent => "it may have run; ask again with the same id",
            Self::TargetLost => {
                "it may have run; check with the service before resubmitting"
            }
            Self::StillRunning => "it has started; ask again with the same id",
            Self::Forgotten => "it may have run; the record has expired",
            Self::NoClaim => {
                "the owner of this id is not known here; if it was never sent before, use \
                 a ticket"
            }
            Self::ClockAhead => {
                "the time in this id lies ahead; correct the caller's clock"
            }
            Self::NeverSeen => "the owner has not received it; send it if it is to run",
        }
    }
}

impl FailureCode {
    /// Returns what the caller can do about the failure.
    pub const fn remedy(self) -> &'static str {
        match self {
            Self::TaskFailed => {
                "a task failed; correct it and submit it under a fresh id"
            }
            Self::TaskLost => "a task was lost; submit the job under a fresh id",
            Self::DeadlinePassed => "allow a later deadline and use a fresh id",
        }
    }
}
