//! The command `submit`.

use std::ops::RangeInclusive;

use bamboocart_core::id::SubmissionId;
use bamboocart_wire::api::{AnswerBody, RequestBody};
use bpaf::Bpaf;
use bytes::Bytes;
use serde::Serialize;
use snafu::ResultExt;
use uuid::Uuid;

use crate::error::{Result, UnansweredSnafu};
use crate::instance::InstanceClient;
use crate::report::{EXIT_CODES, Exit, Report};
use crate::settings::{Common, SettingErrors};
use crate::trace::Trace;

/// The accepted deadlines, up to one day.
pub const DEADLINE_RANGE_MS: RangeInclusive<u64> = 1..=86_400_000;

/// Submit a request and print its answer
///
/// The id is printed when no answer arrives, so that the same submission can be asked
/// for again.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command("submit"), footer(EXIT_CODES))]
pub struct Submit {
    /// Settings of every command
    #[bpaf(external(crate::settings::common))]
    pub common: Common,
    /// Settings of a submission
    #[bpaf(external(crate::commands::submit::submission))]
    submission: Submission,
    /// What the target receives
    #[bpaf(long, env("BAMBOOCART_PAYLOAD"), argument("TEXT"))]
    payload: Option<String>,
}

/// Settings of a submission
#[derive(Debug, Clone, Bpaf)]
pub struct Submission {
    /// Customer that the submission is for, one with a quota in the configuration
    #[bpaf(long, env("BAMBOOCART_CUSTOMER"), argument("NAME"))]
    customer: Option<String>,
    /// Request kind of the configuration
    #[bpaf(long, env("BAMBOOCART_KIND"), argument("NAME"))]
    kind: Option<String>,
    /// Time in milliseconds until the answer is needed (default that of the request kind)
    #[bpaf(long, env("BAMBOOCART_DEADLINE_MS"), argument("MS"))]
    deadline_ms: Option<String>,
    /// Id to submit under, a ticket or a UUID of version 7 (default a new UUID); an id
    /// that was used before returns its first answer
    #[bpaf(long, env("BAMBOOCART_SUBMISSION"), argument("ID"))]
    submission: Option<String>,
}

/// The validated settings of a request or a job.
#[derive(Debug, Clone)]
pub struct CheckedSubmission {
    /// The customer that the submission is for.
    pub customer: String,
    /// The name of the request kind.
    pub kind: String,
    /// The time until the answer is needed; by default that of the request kind.
    pub deadline_ms: Option<u64>,
    /// The id, which is new unless the caller gave one.
    pub id: SubmissionId,
}

impl Submit {
    /// Runs the command.
    pub fn run(&self) -> Result<Report> {
        let mut errors = SettingErrors::default();
        let settings = self.common.check(&mut errors);
        let address = errors.require("--instance", settings.instance);
        let payload = errors.require("--payload", self.payload.clone());
        let submission = self.submission.check(&mut errors);
        let (Some(address), Some(payload), Some(submission)) =
            (address, payload, submission)
        else {
            return Err(errors.into_error());
        };
        errors.finish()?;
        let body = RequestBody {
            submission: Some(submission.id.clone()),
            customer: submission.customer.into(),
            kind: submission.kind.into(),
            deadline_ms: submission.deadline_ms,
            payload: Bytes::from(payload),
            want_tickets: 0,
        };
        let trace = Trace::start();
        let answer =
            InstanceClient::new(address, settings.timeout_ms).request(&body, trace);
        report(answer, &submission.id, trace)
    }
}

impl Submission {
    /// Validates the settings; errors are added to `errors`.
    pub fn check(&self, errors: &mut SettingErrors) -> Option<CheckedSubmission> {
        let form = "a ticket as it was issued, or a UUID of version 7";
        let id = self.submission.as_deref();
        let id = match errors.parse("--submission", form, id) {
            None => SubmissionId::CallerKey(Uuid::now_v7()),
            Some(id) => id,
        };
        let deadline = self.deadline_ms.as_deref();
        let deadline_ms = errors.number("--deadline-ms", deadline, DEADLINE_RANGE_MS);
        let customer = errors.require("--customer", self.customer.clone());
        let kind = errors.require("--kind", self.kind.clone());
        Some(CheckedSubmission { customer: customer?, kind: kind?, deadline_ms, id })
    }
}

/// An answer with its trace id.
#[derive(Debug, Serialize)]
struct TracedAnswer {
    trace_id: String,
    #[serde(flatten)]
    answer: AnswerBody,
}

/// Reports the outcome of a submission; without an answer, fails with the id.
pub fn report(
    answer: Result<AnswerBody>,
    id: &SubmissionId,
    trace: Trace,
) -> Result<Report> {
    let answer = match answer {
        Err(error) if error.had_no_effect() => return Err(error),
        answer => answer.context(UnansweredSnafu {
            submission: id.to_string(),
            trace_id: trace.to_string(),
        })?,
    };
    let mut lines = vec![format!("{id}: {} (trace {trace})", answer.code)];
    lines.extend((!answer.message.is_empty()).then(|| answer.message.clone()));
    let results = answer.results.iter();
    lines.extend(
        results.map(|r| format!("{}: {}", r.task.0, String::from_utf8_lossy(&r.body))),
    );
    let exit = Exit::from(answer.outcome);
    let traced = TracedAnswer { trace_id: trace.to_string(), answer };
    Ok(Report::new(exit, traced, lines.join("\n")))
}
