//! What the load generator records.

use std::net::SocketAddr;

use bamboocart_core::id::{CustomerName, KindName, SubmissionId, TaskIndex};
use bamboocart_core::time::Timestamp;
use bamboocart_wire::api::AnswerBody;
use serde::{Deserialize, Serialize};

/// One call of a caller and its answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CallRecord {
    /// A text that is unique for the submission and part of its tasks' payloads.
    pub mark: String,
    /// The id that the submission was sent under, if it had one.
    #[serde(rename = "asked", default, skip_serializing_if = "Option::is_none")]
    pub submission_id: Option<SubmissionId>,
    /// What the call was for.
    pub purpose: Purpose,
    /// The customer.
    pub customer: CustomerName,
    /// The request kind.
    pub kind: KindName,
    /// Whether the submission is a job.
    pub job: bool,
    /// The number of tasks.
    pub tasks: u16,
    /// The instance that was called.
    pub instance: SocketAddr,
    /// The time at which the submission was due to be sent for the first time.
    pub due_us: Timestamp,
    /// The time of the call.
    pub sent_us: Timestamp,
    /// The time of the answer, or of giving up.
    pub ended_us: Timestamp,
    /// The run time of the longest task plus one round trip.
    pub ideal_us: u64,
    /// The deadline, counted from the time of the call.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// The answer, if there was one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer: Option<AnswerBody>,
    /// Why there is no answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error: Option<String>,
}

/// What a call was for.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Purpose {
    /// To submit.
    Submit,
    /// To submit again under the same id.
    Resubmit,
    /// To cancel.
    Cancel,
}

/// Returns the mark of one task of a submission.
pub fn task_mark(mark: &str, task: TaskIndex) -> String {
    format!("{mark}-{}", task.0)
}
