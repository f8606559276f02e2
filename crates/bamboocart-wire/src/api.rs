//! The JSON bodies of the HTTP interfaces for callers, targets and operators.

use bamboocart_core::id::{
    Attempt, ConfigVersion, CustomerName, InstanceName, KindName, SubmissionId, TaskIndex,
};
use bamboocart_core::outcome::{Outcome, RefusalCode};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use crate::text::Utf8;

/// The body of `POST /v1/requests`.
#[serde_as]
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestBody {
    /// The id that the caller chose; an instance generates one if it is absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub submission: Option<SubmissionId>,
    /// The customer that the request is for.
    pub customer: CustomerName,
    /// The request kind.
    pub kind: KindName,
    /// The time until the answer is needed, in milliseconds; by default that of the kind.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// The payload for the target, as UTF-8 text.
    #[serde_as(as = "Utf8")]
    pub payload: Bytes,
    /// The number of tickets to return with the answer.
    #[serde(default)]
    pub want_tickets: u16,
}

/// The body of `POST /v1/jobs`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobBody {
    /// The id that the caller chose; an instance generates one if it is absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub submission: Option<SubmissionId>,
    /// The customer that the job is for.
    pub customer: CustomerName,
    /// The request kind.
    pub kind: KindName,
    /// The time until the answer is needed, in milliseconds; by default that of the kind.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// The tasks, each of which yields one result.
    pub tasks: Vec<TaskBody>,
    /// The number of tickets to return with the answer.
    #[serde(default)]
    pub want_tickets: u16,
}

/// One task of a job.
#[serde_as]
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskBody {
    /// The payload for the target, as UTF-8 text.
    #[serde_as(as = "Utf8")]
    pub payload: Bytes,
    /// The caller's estimate of the processors that the task needs.
    #[serde(default)]
    pub cpus: u32,
    /// The caller's estimate of the memory that the task needs, in MB.
    #[serde(default)]
    pub memory_mb: u64,
    /// The run time that the caller expects, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub declared_ms: Option<u64>,
}

/// The body of `POST /v1/tickets`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TicketBody {
    /// The number of tickets to issue.
    pub count: u16,
}

/// The body of `POST /v1/cancellations`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CancelBody {
    /// The submissions to cancel.
    pub submissions: Vec<SubmissionId>,
}

/// The answer to a request or a job.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AnswerBody {
    /// The submission that is answered.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub submission: Option<SubmissionId>,
    /// How the submission ended.
    pub outcome: OutcomeName,
    /// A stable, machine-readable code of the outcome.
    pub code: String,
    /// A human-readable reason with the remedy.
    pub message: String,
    /// The results of all tasks, or none.
    #[serde(default)]
    pub results: Vec<ResultBody>,
    /// The version of the configuration that the decision is based on.
    pub config_version: ConfigVersion,
    /// The instance that answered for the submission.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub owner: Option<InstanceName>,
    /// The number of attempts that were sent to targets.
    #[serde(default)]
    pub attempts: u32,
    /// The time after which a retry can succeed, if it can.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// New tickets, if the caller asked for some.
    #[serde(default)]
    pub tickets: Vec<SubmissionId>,
}

/// The kind of an outcome.
#[derive(
    Debug, Copy, Clone, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum OutcomeName {
    /// Every task completed with a result.
    Complete,
    /// The submission was started and definitely failed.
    Failed,
    /// The submission was not run.
    Refused,
    /// The caller cancelled the submission.
    Cancelled,
    /// The submission may have run.
    Unknown,
}

/// The result of one task.
#[serde_as]
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct ResultBody {
    /// The position of the task in its submission.
    pub task: TaskIndex,
    /// The result of the target, as UTF-8 text.
    #[serde_as(as = "Utf8")]
    pub body: Bytes,
}

/// The parts of an answer that do not depend on the outcome.
#[derive(Debug, Clone, Default)]
pub struct AnswerContext {
    /// The submission that is answered.
    pub submission: Option<SubmissionId>,
    /// The version of the configuration that the decision is based on.
    pub config_version: ConfigVersion,
    /// The instance that answered for the submission.
    pub owner: Option<InstanceName>,
    /// The number of attempts that were sent to targets.
    pub attempts: u32,
    /// New tickets for the caller.
    pub tickets: Vec<SubmissionId>,
}

impl AnswerBody {
    /// Creates the HTTP status and the body for an outcome.
    pub fn new(outcome: Outcome, context: AnswerContext) -> (u16, Self) {
        let mut body = Self {
            submission: context.submission,
            outcome: OutcomeName::Complete,
            code: answer_code(&outcome),
            message: String::new(),
            results: Vec::new(),
            config_version: context.config_version,
            owner: context.owner,
            attempts: context.attempts,
            retry_after_ms: None,
            tickets: context.tickets,
        };
        let status = body.set_outcome(outcome);
        (status, body)
    }

    /// Sets the fields that depend on the outcome and returns its HTTP status.
    fn set_outcome(&mut self, outcome: Outcome) -> u16 {
        match outcome {
            Outcome::Complete(results) => {
                let body = |r: bamboocart_core::outcome::TaskResult| ResultBody {
                    task: r.task,
                    body: r.body,
                };
                self.results = results.into_iter().map(body).collect();
                200
            }
            Outcome::Failed(code) => {
                self.outcome = OutcomeName::Failed;
                self.message = code.remedy().into();
                502
            }
            Outcome::Refused(refusal) => {
                self.outcome = OutcomeName::Refused;
                self.message = refusal.code.remedy().into();
                self.retry_after_ms = refusal.retry_after_ms;
                refusal.code.http_status()
            }
            Outcome::Cancelled { started } => {
                self.outcome = OutcomeName::Cancelled;
                self.message = match started {
                    true => "cancelled; some tasks had been started",
                    false => "cancelled; not run",
                }
                .into();
                409
            }
            Outcome::Unknown(code) => {
                self.outcome = OutcomeName::Unknown;
                self.message = code.remedy().into();
                504
            }
        }
    }
}

/// Returns the stable code of an outcome.
pub fn answer_code(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Complete(_) => "complete".into(),
        Outcome::Failed(code) => code_name(code),
        Outcome::Refused(refusal) => code_name(&refusal.code),
        Outcome::Cancelled { started: true } => "cancelled-started".into(),
        Outcome::Cancelled { started: false } => "cancelled-not-run".into(),
        Outcome::Unknown(code) => code_name(code),
    }
}

/// Returns the name of a code as in JSON.
fn code_name<T: Serialize>(code: &T) -> String {
    match serde_json::to_value(code) {
        Ok(serde_json::Value::String(name)) => name,
        _ => "unnamed".into(),
    }
}

/// Returns the HTTP status and the body for a request that never became a submission.
///
/// A `detail` that is not empty is appended to the message.
pub fn refuse_early(code: RefusalCode, detail: &str) -> (u16, AnswerBody) {
    let refusal = bamboocart_core::outcome::Refusal { code, retry_after_ms: None };
    let (status, mut body) =
        AnswerBody::new(Outcome::Refused(refusal), AnswerContext::default());
    if !detail.is_empty() {
        body.message = format!("{}: {detail}", body.message);
    }
    (status, body)
}

/// The body of `POST /run` to a target.
#[serde_as]
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RunBody {
    /// The submission that the task belongs to.
    pub submission: SubmissionId,
    /// The position of the task in its submission.
    pub task: TaskIndex,
    /// The number of this attempt at the task.
    pub attempt: Attempt,
    /// The request kind.
    pub kind: KindName,
    /// The payload that the caller sent.
    #[serde_as(as = "Utf8")]
    pub payload: Bytes,
    /// The time left until the deadline, in milliseconds.
    pub deadline_ms: u64,
    /// The lease that the task runs under, if the target is a worker.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<LeaseProof>,
}

/// The lease and fencing token that a worker checks before it starts a task.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct LeaseProof {
    /// The id of the lease.
    pub lease: u64,
    /// The fencing token of the lease.
    pub token: u64,
}

/// The response of a target to `POST /run`, with status 200, 500 or 503.
#[serde_as]
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RunAnswer {
    /// The submission that the task belongs to.
    pub submission: SubmissionId,
    /// The position of the task in its submission.
    pub task: TaskIndex,
    /// The attempt that this response belongs to.
    pub attempt: Attempt,
    /// Whether the task was started.
    pub started: bool,
    /// Why there is no result.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub code: Option<String>,
    /// The result, as UTF-8 text.
    #[serde(default)]
    #[serde_as(as = "Option<Utf8>")]
    pub result: Option<Bytes>,
}

/// The body of `POST /leases` to a worker.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LeaseBody {
    /// The instance and incarnation that hold the lease.
    pub holder: String,
    /// The number of slots requested.
    pub slots: u32,
    /// The time until the lease expires unless it is renewed, in milliseconds.
    pub ttl_ms: u64,
}

/// The response of a worker to a lease request or renewal.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LeaseAnswer {
    /// The id of the lease.
    pub lease: u64,
    /// The fencing token, which grows with each grant.
    pub token: u64,
    /// The number of slots granted.
    pub slots: u32,
    /// The time until the lease expires, in milliseconds.
    pub expires_in_ms: u64,
}

/// The response of a target to `GET /live`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TargetStatus {
    /// Whether the target is leaving and accepts no new work.
    pub leaving: bool,
    /// The number of slots of the target.
    pub slots: u32,
    /// The number of slots in use.
    pub busy: u32,
}
