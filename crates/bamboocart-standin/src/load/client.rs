//! The calls to instances.

use std::net::SocketAddr;
use std::time::Duration;

use bamboocart_core::id::SubmissionId;
use bamboocart_wire::api::{AnswerBody, JobBody, RequestBody};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use ureq::http::Response;
use ureq::{Agent, Body, Error};

use super::plan::PlannedSubmission;

/// The time that an idle connection is kept; a longer one may be closed by the instance.
const IDLE_AGE: Duration = Duration::from_secs(2);

/// The longest body of an answer.
const ANSWER_BYTES_MAX: u64 = 16 * 1024 * 1024;

/// A client for the interface towards callers.
#[derive(Debug, Clone)]
pub struct Client {
    /// The connections.
    agent: Agent,
    /// The deadline of each submission.
    deadline_ms: Option<u64>,
}

/// The answer to `POST /v1/tickets`.
#[derive(Debug, Deserialize)]
struct TicketsAnswer {
    /// The tickets.
    tickets: Vec<SubmissionId>,
}

impl Client {
    /// Creates a client for up to `callers` calls at the same time.
    pub fn new(timeout_ms: u64, callers: u32, deadline_ms: Option<u64>) -> Self {
        let config = Agent::config_builder()
            .timeout_global(Some(Duration::from_millis(timeout_ms)))
            .http_status_as_error(false)
            .max_idle_age(IDLE_AGE)
            .max_idle_connections(callers as usize)
            .max_idle_connections_per_host(callers as usize)
            .build();
        Self { agent: config.into(), deadline_ms }
    }

    /// Submits a request or a job.
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
        read(response?)
    }

    /// Cancels a submission.
    pub fn cancel(
        &self,
        instance: SocketAddr,
        id: &SubmissionId,
    ) -> Result<AnswerBody, Error> {
        let url = format!("http://{instance}/v1/submissions/{id}");
        read(self.agent.delete(url).call()?)
    }

    /// Asks for tickets.
    pub fn tickets(
        &self,
        instance: SocketAddr,
        count: u16,
    ) -> Result<Vec<SubmissionId>, Error> {
        let url = format!("http://{instance}/v1/tickets");
        let body = serde_json::json!({ "count": count });
        read::<TicketsAnswer>(self.agent.post(url).send_json(body)?).map(|a| a.tickets)
    }
}

/// Reads a JSON answer, whatever its status.
fn read<T: DeserializeOwned>(mut response: Response<Body>) -> Result<T, Error> {
    response.body_mut().with_config().limit(ANSWER_BYTES_MAX).read_json()
}
