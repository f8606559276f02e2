//! Targets and the answers that they give.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use slotmap::new_key_type;

new_key_type! {
    /// The key of a target in the arena of its instance.
    pub struct TargetKey;
    /// The key of a send in the arena of its instance.
    pub struct AttemptKey;
}

/// How a send to a target ended, as seen by the sender.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub enum SendReport {
    /// The target returned the result.
    Result(Bytes),
    /// The target started the task and reported a failure.
    TaskFailed,
    /// The target turned the task away before it started.
    Rejected(RejectReason),
    /// Nothing was sent, for example because the connection was refused.
    NotSent,
    /// The task may have been started and no answer arrived.
    Lost,
}

impl SendReport {
    /// Returns the stable name of the report.
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Result(_) => "result",
            Self::TaskFailed => "task-failed",
            Self::Rejected(RejectReason::Busy) => "busy",
            Self::Rejected(RejectReason::Leaving) => "leaving",
            Self::Rejected(RejectReason::Lease) => "lease",
            Self::NotSent => "not-sent",
            Self::Lost => "lost",
        }
    }
}

/// Why a target turned a task away.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub enum RejectReason {
    /// Every slot is in use.
    Busy,
    /// The target is leaving.
    Leaving,
    /// The lease is not current.
    Lease,
}
