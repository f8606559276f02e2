//! The HTTP interface for callers and operators.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bamboocart_core::engine::{Event, NewSubmission, Reply, TaskSpec, WaiterId};
use bamboocart_core::id::SubmissionId;
use bamboocart_core::outcome::{Outcome, Refusal, RefusalCode};
use bamboocart_telemetry::lines::LineSink;
use bamboocart_telemetry::logs::REQUEST_ID;
use bamboocart_telemetry::recorder::PageRecorder;
use bamboocart_telemetry::trace::{TRACEPARENT, Tracer, traceparent_of};
use bamboocart_wire::api::{
    AnswerBody, AnswerContext, CancelBody, JobBody, RequestBody, TaskBody, TicketBody,
    refuse_early,
};
use bamboocart_wire::status::ConfigBody;
use bytes::Bytes;
use crossbeam::channel::Sender;
use fastrace::Span;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::{Method, Request, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::standalone::gauges;
use crate::standalone::observe::count_answer;
use crate::standalone::waiters::Waiters;

/// The time within which the body of a request must arrive.
const BODY_TIMEOUT_MS: u64 = 10_000;

/// The longest wait for the engine's status before the metrics are rendered without it.
const STATUS_TIMEOUT_MS: u64 = 1_000;

/// The largest number of tickets in one answer; larger counts are reduced to it.
const MAX_TICKETS: u16 = 1_024;

/// The largest number of submissions in one list of cancellations.
const MAX_CANCELLATIONS: usize = 10_000;

/// The largest number of tasks in a job.
const MAX_TASKS: usize = 240;

/// The state that all routes share.
pub struct Context {
    /// Renders the metrics.
    pub metrics: PageRecorder,
    /// The sinks of log and trace lines, by name.
    pub lines: Vec<(&'static str, LineSink)>,
    /// Starts the spans of requests.
    pub tracer: Tracer,
    /// Whether the instance admits submissions.
    pub ready: Arc<AtomicBool>,
    /// The queue of the engine's events.
    pub events: Sender<Event>,
    /// The callers and operators that wait for replies.
    pub waiters: Arc<Waiters>,
    /// The largest number of open connections; further ones wait to be accepted.
    pub max_connections: usize,
    /// The largest size of a request body; larger ones are refused.
    pub max_body_bytes: usize,
}

/// An HTTP response with its whole body.
type Answer = Response<Full<Bytes>>;

/// A result whose error is the response to send.
type Result<T> = std::result::Result<T, Box<Answer>>;

/// Handles one request and returns its response.
pub async fn route(context: &Context, request: Request<Incoming>) -> Answer {
    let path = request.uri().path().to_owned();
    let method = request.method().clone();
    let submission = path.strip_prefix("/v1/submissions/");
    let answer = match (&method, path.as_str(), submission) {
        (&Method::POST, "/v1/requests", _) => submit_request(context, request).await,
        (&Method::POST, "/v1/jobs", _) => submit_job(context, request).await,
        (&Method::POST, "/v1/tickets", _) => issue_tickets(context, request).await,
        (&Method::GET, _, Some(id)) => query(context, id).await,
        (&Method::DELETE, _, Some(id)) => cancel(context, id).await,
        (&Method::POST, "/v1/cancellations", _) => cancel_many(context, request).await,
        (&Method::GET, "/v1/status", _) => {
            ask_engine(context, |waiter| Event::Status { waiter }).await
        }
        (&Method::GET, "/v1/config", _) => {
            ask_engine(context, |waiter| Event::Config { waiter }).await
        }
        (&Method::POST, "/v1/drain", _) => drain(context),
        (&Method::GET, "/metrics", _) => Ok(metrics(context).await),
        (&Method::GET, "/live", _) => Ok(json(200, &serde_json::json!({"live": true}))),
        (&Method::GET, "/ready", _) => Ok(readiness(context)),
        _ => Ok(json(404, &serde_json::json!({"code": "no-such-path"}))),
    };
    answer.unwrap_or_else(|answer| *answer)
}

/// Handles `POST /v1/requests`.
async fn submit_request(context: &Context, request: Request<Incoming>) -> Result<Answer> {
    let span = context.tracer.start_span("entry", traceparent(&request));
    let body: RequestBody = read_json(context, request).await?;
    tag_span(&span, body.submission.as_ref());
    let submission = NewSubmission {
        id: body.submission,
        customer: body.customer,
        kind: body.kind,
        deadline_ms: body.deadline_ms,
        tasks: vec![TaskSpec { payload: body.payload, ..TaskSpec::default() }],
        job: false,
        want_tickets: body.want_tickets.min(MAX_TICKETS),
        traceparent: traceparent_of(&span).map(Arc::from),
    };
    ask_engine(context, |waiter| Event::Submit { waiter, submission }).await
}

/// Handles `POST /v1/jobs`.
async fn submit_job(context: &Context, request: Request<Incoming>) -> Result<Answer> {
    let span = context.tracer.start_span("entry", traceparent(&request));
    let body: JobBody = read_json(context, request).await?;
    tag_span(&span, body.submission.as_ref());
    if body.tasks.is_empty() || body.tasks.len() > MAX_TASKS {
        let detail = format!("a job has 1 to {MAX_TASKS} tasks");
        return Err(refusal(RefusalCode::Malformed, &detail));
    }
    let submission = NewSubmission {
        id: body.submission,
        customer: body.customer,
        kind: body.kind,
        deadline_ms: body.deadline_ms,
        tasks: body.tasks.into_iter().map(task_spec).collect(),
        job: true,
        want_tickets: body.want_tickets.min(MAX_TICKETS),
        traceparent: traceparent_of(&span).map(Arc::from),
    };
    ask_engine(context, |waiter| Event::Submit { waiter, submission }).await
}

/// Handles `POST /v1/tickets`.
async fn issue_tickets(context: &Context, request: Request<Incoming>) -> Result<Answer> {
    let TicketBody { count } = read_json(context, request).await?;
    let count = count.min(MAX_TICKETS);
    ask_engine(context, |waiter| Event::IssueTickets { waiter, count }).await
}

/// Handles `GET /v1/submissions/{id}`.
async fn query(context: &Context, id: &str) -> Result<Answer> {
    let id = parse_id(id)?;
    ask_engine(context, |waiter| Event::Query { waiter, id }).await
}

/// Handles `DELETE /v1/submissions/{id}`.
async fn cancel(context: &Context, id: &str) -> Result<Answer> {
    let id = parse_id(id)?;
    ask_engine(context, |waiter| Event::Cancel { waiter, id }).await
}

/// Handles `POST /v1/cancellations`.
async fn cancel_many(context: &Context, request: Request<Incoming>) -> Result<Answer> {
    let body: CancelBody = read_json(context, request).await?;
    if body.submissions.len() > MAX_CANCELLATIONS {
        let detail = format!("at most {MAX_CANCELLATIONS} submissions at a time");
        return Err(refusal(RefusalCode::Malformed, &detail));
    }
    let mut answers = Vec::with_capacity(body.submissions.len());
    for id in body.submissions {
        let (waiter, reply) = context.waiters.add();
        if context.events.try_send(Event::Cancel { waiter, id }).is_err() {
            context.waiters.remove(waiter);
            return Err(refusal(RefusalCode::Overloaded, "the instance is at its limit"));
        }
        answers.push(reply);
    }
    let mut bodies = Vec::with_capacity(answers.len());
    for reply in answers {
        if let Ok(Reply::Outcome { submission, outcome, .. }) = reply.await {
            let context = AnswerContext { submission, ..AnswerContext::default() };
            bodies.push(AnswerBody::new(outcome, context).1);
        }
    }
    Ok(json(200, &serde_json::json!({ "answers": bodies })))
}

/// Handles `POST /v1/drain`.
fn drain(context: &Context) -> Result<Answer> {
    match context.events.try_send(Event::Drain) {
        Ok(()) => Ok(json(202, &serde_json::json!({ "draining": true }))),
        Err(_) => Err(refusal(RefusalCode::Overloaded, "the instance is at its limit")),
    }
}

/// Handles `GET /metrics`.
///
/// If the engine is too slow, its gauges keep their old values.
async fn metrics(context: &Context) -> Answer {
    let (waiter, reply) = context.waiters.add();
    if context.events.try_send(Event::Status { waiter }).is_err() {
        context.waiters.remove(waiter);
    } else if let Ok(Ok(Reply::Status(status))) =
        tokio::time::timeout(Duration::from_millis(STATUS_TIMEOUT_MS), reply).await
    {
        gauges::set_state(&status);
    }
    gauges::set_dropped_lines(&context.lines);
    text(200, context.metrics.render())
}

/// Handles `GET /ready`.
fn readiness(context: &Context) -> Answer {
    let ready = context.ready.load(Ordering::Acquire);
    json(if ready { 200 } else { 503 }, &serde_json::json!({ "ready": ready }))
}

/// Sends an event to the engine and waits for its reply, which comes at the deadline of
/// the submission at the latest.
async fn ask_engine(
    context: &Context,
    event: impl FnOnce(WaiterId) -> Event,
) -> Result<Answer> {
    let (waiter, reply) = context.waiters.add();
    if context.events.try_send(event(waiter)).is_err() {
        context.waiters.remove(waiter);
        return Err(refusal(RefusalCode::Overloaded, "the instance is at its limit"));
    }
    match reply.await {
        Ok(reply) => Ok(render(reply)),
        Err(_) => Ok(json(504, &serde_json::json!({"code": "instance-stopped"}))),
    }
}

/// Converts a reply of the engine into a response.
fn render(reply: Reply) -> Answer {
    match reply {
        Reply::Status(status) => json(200, &status),
        Reply::Config { version, .. } if version.0 == 0 => {
            json(200, &ConfigBody::default())
        }
        Reply::Config { version, text } => match serde_json::from_str(&text) {
            Ok(set) => json(200, &ConfigBody { config_version: version, set }),
            Err(error) => json(500, &serde_json::json!({ "code": error.to_string() })),
        },
        Reply::Tickets(tickets) => json(200, &serde_json::json!({"tickets": tickets})),
        Reply::Outcome {
            submission,
            outcome,
            config_version,
            owner,
            attempts,
            tickets,
        } => {
            let context = AnswerContext {
                submission,
                config_version,
                owner: Some(owner),
                attempts,
                tickets,
            };
            let (status, body) = AnswerBody::new(outcome, context);
            if let Some(id) = &body.submission {
                log::debug!(request_id:% = id; "answered {} with {status}", body.code);
            }
            with_retry_after(json(status, &body), body.retry_after_ms)
        }
    }
}

/// Adds the `Retry-After` header in whole seconds, rounded up, if a retry is useful.
fn with_retry_after(mut answer: Answer, retry_after_ms: Option<u64>) -> Answer {
    if let Some(ms) = retry_after_ms {
        let seconds = ms.div_ceil(1_000);
        answer.headers_mut().insert(hyper::header::RETRY_AFTER, seconds.into());
    }
    answer
}

/// Reads a JSON body within the limits of size and time.
async fn read_json<T: DeserializeOwned>(
    context: &Context,
    request: Request<Incoming>,
) -> Result<T> {
    let body = Limited::new(request.into_body(), context.max_body_bytes).collect();
    let timeout = Duration::from_millis(BODY_TIMEOUT_MS);
    let bytes = match tokio::time::timeout(timeout, body).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            let detail = format!("the limit is {} bytes", context.max_body_bytes);
            return Err(refusal(RefusalCode::TooLarge, &detail));
        }
        Ok(Err(error)) => {
            return Err(refusal(RefusalCode::Malformed, &error.to_string()));
        }
        Err(_) => {
            return Err(refusal(RefusalCode::Malformed, "the body came too slowly"));
        }
    };
    serde_json::from_slice(&bytes)
        .map_err(|error| refusal(RefusalCode::Malformed, &error.to_string()))
}

/// Parses the submission id in a path.
fn parse_id(text: &str) -> Result<SubmissionId> {
    text.parse().map_err(|error: bamboocart_core::id::ParseIdError| {
        refusal(RefusalCode::Malformed, &error.to_string())
    })
}

/// Returns the response to a request that is refused before it becomes a submission, and
/// counts it.
fn refusal(code: RefusalCode, detail: &str) -> Box<Answer> {
    let refusal = Refusal { code, retry_after_ms: None };
    count_answer(None, None, &Outcome::Refused(refusal));
    let (status, body) = refuse_early(code, detail);
    Box::new(json(status, &body))
}

/// Adds the submission id that the caller has chosen to its span.
fn tag_span(span: &Span, id: Option<&SubmissionId>) {
    span.add_properties(|| id.map(|id| (REQUEST_ID, id.to_string())));
}

/// Returns the `traceparent` header of a request.
fn traceparent(request: &Request<Incoming>) -> Option<&str> {
    request.headers().get(TRACEPARENT)?.to_str().ok()
}

/// Converts a task of a request body into a task of the engine.
fn task_spec(body: TaskBody) -> TaskSpec {
    TaskSpec {
        payload: body.payload,
        cpus: body.cpus,
        memory_mb: body.memory_mb,
        declared_ms: body.declared_ms,
    }
}

/// Returns a response in the Prometheus text format.
fn text(status: u16, body: String) -> Answer {
    let mut answer = Response::new(Full::new(Bytes::from(body)));
    *answer.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
    let value = hyper::header::HeaderValue::from_static("text/plain; version=0.0.4");
    answer.headers_mut().insert(CONTENT_TYPE, value);
    answer
}

/// Returns a JSON response.
fn json<T: Serialize>(status: u16, body: &T) -> Answer {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let mut answer = Response::new(Full::new(Bytes::from(bytes)));
    *answer.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
    let value = hyper::header::HeaderValue::from_static("application/json");
    answer.headers_mut().insert(CONTENT_TYPE, value);
    answer
}
