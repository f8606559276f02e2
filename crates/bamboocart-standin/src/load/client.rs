//! The HTTP client for the calls to instances.

use std::net::SocketAddr;
use std::time::Duration;

use bamboocart_core::id::SubmissionId;
use bamboocart_wire::api::{AnswerBody, JobBody, RequestBody};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use ureq::http::Response;
use ureq::{Agent, Body, Error};

use super::plan::PlannedSubmission;

/// The time that an idle connection is kept.
///
/// An instance may close a connection that was idle for longer.
const MAX_IDLE_AGE: Duration = Duration::from_secs(2);

/// The largest accepted body of an answer.
const MAX_ANSWER_BYTES: u64 = 16 * 1024 * 1024;

/// A client for the caller interface of instances.
#[derive(Debug, Clone)]
pub struct Client {
    /// The HTTP agent with its connection pool.
    agent: Agent,
    /// The deadline of each submission; `None` for that of the request kind.
    deadline_ms: Option<u64>,
}

/// The answer to `POST /v1/tickets`.
#[derive(Debug, Deserialize)]
struct TicketsAnswer {
    tickets: Vec<SubmissionId>,
}

impl Client {
    /// Creates a client for up to `callers` concurrent calls.
    ///
    /// A call fails after `timeout_ms`; HTTP error statuses count as answers.
    pub fn new(timeout_ms: u64, callers: u32, deadline_ms: Option<u64>) -> Self {
        let config = Agent::config_builder()
            .timeout_global(Some(Duration::from_millis(timeout_ms)))
            .http_status_as_error(false)
            .max_idle_age(MAX_IDLE_AGE)
            .max_idle_connections(callers as usize)
            .max_idle_connections_per_host(callers as usize)
            .build();
        Self { agent: config.into(), deadline_ms }
    }

    /// Submits a request or a job, under an id if there is one.
    pub fn submit(
        &self,
        instance: SocketAddr,
        planned: &PlannedSubmission,
        id: Option<SubmissionId>,
        want_tickets: u16,
    ) -> Result<AnswerBody, Error> {
        let customer = planned.customer.clone();
        let kind = planned.kind.clone();
        let deadline_ms = self.deadline_ms;
        let response = match planned.job {
            true => {
                let tasks = planned.task_bodies();
                let submission = id;
                let body = JobBody {
                    submission,
                    customer,
                    kind,
                    deadline_ms,
                    tasks,
                    want_tickets,
                };
                self.agent.post(format!("http://{instance}/v1/jobs")).send_json(body)
            }
            false => {
                let payload = planned.payload(Default::default()).into();
                let body = RequestBody {
                    submission: id,
                    customer,
                    kind,
                    deadline_ms,
                    payload,
                    want_tickets,
                };
                self.agent.post(format!("http://{instance}/v1/requests")).send_json(body)
            }
        };
        parse(response?)
    }

    /// Cancels a submission and returns its outcome.
    pub fn cancel(
        &self,
        instance: SocketAddr,
        id: &SubmissionId,
    ) -> Result<AnswerBody, Error> {
        let url = format!("http://{instance}/v1/submissions/{id}");
        parse(self.agent.delete(url).call()?)
    }

    /// Fetches tickets.
    pub fn tickets(
        &self,
        instance: SocketAddr,
        count: u16,
    ) -> Result<Vec<SubmissionId>, Error> {
        let url = format!("http://{instance}/v1/tickets");
        let body = serde_json::json!({ "count": count });
        parse::<TicketsAnswer>(self.agent.post(url).send_json(body)?).map(|a| a.tickets)
    }
}

/// Parses a JSON answer, whatever its HTTP status.
fn parse<T: DeserializeOwned>(mut response: Response<Body>) -> Result<T, Error> {
    response.body_mut().with_config().limit(MAX_ANSWER_BYTES).read_json()
}
