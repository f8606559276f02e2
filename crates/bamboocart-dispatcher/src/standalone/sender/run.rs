//! The sends of tasks to targets.

use std::time::Duration;

use bamboocart_core::engine::{LeaseGrant, SendOrder};
use bamboocart_core::target::{RejectReason, SendReport};
use bamboocart_telemetry::logs::REQUEST_ID;
use bamboocart_telemetry::trace::{TRACEPARENT, traceparent_of};
use bamboocart_wire::api::{LeaseProof, RunAnswer, RunBody};
use hyper::header::HeaderValue;

use super::CallContext;
use super::client::{CallError, Result, decode_json, json_request};

/// The time after the deadline for which a send still waits for its answer.
const ANSWER_GRACE_MS: u64 = 2_000;

/// The header by which a target recognizes a task that it has received before.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Sends a task, waits for its end and returns the report for the engine.
pub async fn send(calls: &CallContext, order: SendOrder) -> SendReport {
    let address = order.address.clone();
    let body = RunBody {
        submission: order.submission,
        task: order.task,
        attempt: order.number,
        kind: order.kind,
        payload: order.payload,
        deadline_ms: order.deadline_ms,
        lease: order.lease.map(lease_proof),
    };
    let parent = order.traceparent.as_deref();
    let task = body.task.0;
    match exchange(calls, &address, &body, (order.idempotent, parent)).await {
        Ok(answer) => send_report(&body, answer),
        Err(error) if error.is_never_sent() => {
            log::debug!(
                request_id:% = body.submission;
                "could not send task {task} to {address}: {error}"
            );
            SendReport::NotSent
        }
        Err(error) => {
            log::info!(
                request_id:% = body.submission;
                "no answer from {address} for task {task}, which may have run: {error}"
            );
            SendReport::Lost
        }
    }
}

/// Sends a task and reads the answer, within a span of its own.
async fn exchange(
    calls: &CallContext,
    address: &str,
    body: &RunBody,
    (idempotent, parent): (bool, Option<&str>),
) -> Result<RunAnswer, CallError> {
    let pool = if idempotent { &calls.pooled } else { &calls.fresh };
    let span = calls.tracer.start_span("target", parent);
    let span = span.with_property(|| (REQUEST_ID, body.submission.to_string()));
    let mut request = json_request(format!("http://{address}/run"), body)?;
    let headers = request.headers_mut();
    let key = format!("{}/{}", body.submission, body.task.0);
    if let Ok(key) = HeaderValue::from_maybe_shared(key) {
        headers.insert(IDEMPOTENCY_KEY, key);
    }
    let parent = traceparent_of(&span).map(HeaderValue::from_maybe_shared);
    if let Some(Ok(parent)) = parent {
        headers.insert(TRACEPARENT, parent);
    }
    let limit = Duration::from_millis(body.deadline_ms + ANSWER_GRACE_MS);
    decode_json(&pool.call(request, limit).await?)
}

/// Converts a target's answer into a report.
///
/// An answer for another task or attempt counts as lost.
fn send_report(body: &RunBody, answer: RunAnswer) -> SendReport {
    let expected = (&body.submission, body.task, body.attempt);
    let code = answer.code.as_deref();
    match (answer.started, answer.result) {
        _ if (&answer.submission, answer.task, answer.attempt) != expected => {
            SendReport::Lost
        }
        (true, Some(result)) => SendReport::Result(result),
        (true, None) => SendReport::TaskFailed,
        (false, _) if code == Some("leaving") => {
            SendReport::Rejected(RejectReason::Leaving)
        }
        (false, _) if code == Some("lease") => SendReport::Rejected(RejectReason::Lease),
        (false, _) => SendReport::Rejected(RejectReason::Busy),
    }
}

/// Returns the lease and fencing token that a worker checks before it starts a task.
fn lease_proof(grant: LeaseGrant) -> LeaseProof {
    LeaseProof { lease: grant.lease, token: grant.fencing_token }
}
