//! The records of calls that callers write.

use std::net::SocketAddr;

use bamboocart_core::id::{CustomerName, KindName, SubmissionId, TaskIndex};
use bamboocart_core::time::Timestamp;
use bamboocart_wire::api::AnswerBody;
use serde::{Deserialize, Serialize};

/// A call to an instance and its answer, in the JSON form of the history file.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CallRecord {
    /// A unique correlation text, contained in the payloads of the submission's tasks.
    pub mark: String,
    /// The id that the submission was sent under; `None` if the instance assigns it.
    #[serde(rename = "asked", default, skip_serializing_if = "Option::is_none")]
    pub submission_id: Option<SubmissionId>,
    /// Whether the call submits, resubmits or cancels.
    pub purpose: Purpose,
    /// The customer on whose behalf the call was made.
    pub customer: CustomerName,
    /// The request kind of the submission.
    pub kind: KindName,
    /// Whether the submission is a job rather than a single request.
    pub job: bool,
    /// The number of tasks of the submission; 1 for a request.
    pub tasks: u16,
    /// The address of the instance that was called.
    pub instance: SocketAddr,
    /// The time at which the plan scheduled the first call of the submission.
    pub due_us: Timestamp,
    /// The time at which the call was sent.
    pub sent_us: Timestamp,
    /// The time at which the answer arrived or the call failed.
    pub ended_us: Timestamp,
    /// The run time of the longest task plus one round trip, in microseconds.
    pub ideal_us: u64,
    /// The deadline, counted from the time of the call; `None` for that of the kind.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// The answer; `None` if the call failed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer: Option<AnswerBody>,
    /// The error of a call without an answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error: Option<String>,
}

/// The purpose of a call.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Purpose {
    /// The first call that submits.
    Submit,
    /// A repeated submission under the same id.
    Resubmit,
    /// A cancellation of the submission.
    Cancel,
}

/// Returns the mark of one task of a submission.
pub fn task_mark(mark: &str, task: TaskIndex) -> String {
    format!("{mark}-{}", task.0)
}
