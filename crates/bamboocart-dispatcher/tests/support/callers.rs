//! Callers that record what they sent and what they were answered.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bamboocart_core::id::{SubmissionId, TaskIndex};
use bamboocart_core::time::Timestamp;
use bamboocart_standin::clock;
use bamboocart_standin::history::{Purpose, SendRecord, task_mark};
use bamboocart_wire::api::AnswerBody;
use serde_json::{Value, json};
use ureq::{Agent, Body, Error, http::Response};

/// The time that a caller waits for an answer: the longest deadline and what an instance
/// adds to it.
const PATIENCE: Duration = Duration::from_secs(20);

/// One submission of a caller.
#[derive(Debug, Clone)]
pub struct SubmissionSpec {
    /// A text that is unique for the submission.
    pub mark: String,
    /// The id, if the caller has one.
    pub id: Option<SubmissionId>,
    /// The request kind.
    pub kind: &'static str,
    /// The run time of each task; more than one makes a job.
    pub run_ms: Vec<u64>,
    /// The deadline, if it is not the request kind's.
    pub deadline_ms: Option<u64>,
}

impl SubmissionSpec {
    /// Describes a submission under an id.
    pub fn new(id: SubmissionId, kind: &'static str, run_ms: &[u64]) -> Self {
        static NUMBER: AtomicU64 = AtomicU64::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let mark = format!("{:x}-{number}", clock::now().as_us());
        Self { mark, id: Some(id), kind, run_ms: run_ms.into(), deadline_ms: None }
    }

    /// Returns the submission with a deadline of its own.
    pub fn with_deadline(self, deadline_ms: u64) -> Self {
        Self { deadline_ms: Some(deadline_ms), ..self }
    }

    /// Returns whether the submission is sent as a job.
    pub fn is_job(&self) -> bool {
        self.run_ms.len() > 1
    }

    /// Returns path and body of the call that submits it.
    pub fn body(&self) -> (&'static str, Value) {
        let payload = |task: usize| {
            let mark = task_mark(&self.mark, TaskIndex(task as u16));
            json!({ "run_ms": self.run_ms[task], "mark": mark }).to_string()
        };
        let mut body = json!({ "customer": "float-storage", "kind": self.kind });
        body["submission"] = json!(self.id);
        body["deadline_ms"] = json!(self.deadline_ms);
        if !self.is_job() {
            body["payload"] = json!(payload(0));
            return ("/v1/requests", body);
        }
        let task = |task| json!({ "payload": payload(task), "cpus": 1, "memory_mb": 64 });
        body["tasks"] = (0..self.run_ms.len()).map(task).collect();
        ("/v1/jobs", body)
    }
}

impl SubmissionSpec {
    /// Describes a call about the submission that has no answer yet.
    pub fn record(
        &self,
        instance: SocketAddr,
        purpose: Purpose,
        sent_us: Timestamp,
    ) -> SendRecord {
        SendRecord {
            mark: self.mark.clone(),
            asked: self.id.clone(),
            purpose,
            customer: "float-storage".into(),
            kind: self.kind.into(),
            job: self.is_job(),
            tasks: self.run_ms.len() as u16,
            instance,
            due_us: sent_us,
            sent_us,
            ended_us: sent_us,
            ideal_us: 0,
            deadline_ms: self.deadline_ms,
            answer: None,
            error: None,
        }
    }
}

/// Callers that share a record.
pub struct Callers {
    agent: Agent,
    records: Mutex<Vec<SendRecord>>,
}

impl Callers {
    /// Creates callers without a record.
    pub fn new() -> Arc<Self> {
        let agent = Agent::config_builder()
            .timeout_global(Some(PATIENCE))
            .http_status_as_error(false)
            .max_idle_age(Duration::from_secs(2))
            .build()
            .into();
        Arc::new(Self { agent, records: Mutex::default() })
    }

    /// Submits, waits for the answer and records both.
    pub fn submit(
        &self,
        at: SocketAddr,
        work: &SubmissionSpec,
        purpose: Purpose,
    ) -> SendRecord {
        let (path, body) = work.body();
        let call = || self.agent.post(format!("http://{at}{path}")).send_json(&body);
        self.record(at, work, purpose, call)
    }

    /// Cancels, waits for the answer and records both.
    pub fn cancel(&self, at: SocketAddr, work: &SubmissionSpec) -> SendRecord {
        let id = work.id.as_ref().expect("only a submission with an id is cancelled");
        let url = format!("http://{at}/v1/submissions/{id}");
        self.record(at, work, Purpose::Cancel, || self.agent.delete(url).call())
    }

    /// Asks for the state of a submission.
    pub fn query(&self, at: SocketAddr, id: &SubmissionId) -> Option<AnswerBody> {
        let url = format!("http://{at}/v1/submissions/{id}");
        read(self.agent.get(url).call()).ok()
    }

    /// Takes tickets of an instance.
    pub fn tickets(&self, at: SocketAddr, count: usize) -> Vec<SubmissionId> {
        let url = format!("http://{at}/v1/tickets");
        let response = self.agent.post(url).send_json(json!({ "count": count }));
        let body: Value = response.unwrap().body_mut().read_json().unwrap();
        serde_json::from_value(body["tickets"].clone()).unwrap()
    }

    /// Adds answers that were received in another way.
    pub fn add_record(&self, record: SendRecord) {
        self.records.lock().unwrap().push(record);
    }

    /// Returns what was recorded so far.
    pub fn records(&self) -> Vec<SendRecord> {
        self.records.lock().unwrap().clone()
    }

    /// Makes a call and records it.
    fn record(
        &self,
        instance: SocketAddr,
        work: &SubmissionSpec,
        purpose: Purpose,
        call: impl FnOnce() -> Result<Response<Body>, Error>,
    ) -> SendRecord {
        let sent_us = clock::now();
        let answer = read(call());
        let (answer, error) = match answer {
            Ok(answer) => (Some(answer), None),
            Err(error) => (None, Some(error)),
        };
        let record = SendRecord {
            ended_us: clock::now(),
            answer,
            error,
            ..work.record(instance, purpose, sent_us)
        };
        self.add_record(record.clone());
        record
    }
}

/// Reads the body of an answer, whatever its status.
fn read(response: Result<Response<Body>, Error>) -> Result<AnswerBody, String> {
    let mut response = response.map_err(|error| error.to_string())?;
    response.body_mut().read_json().map_err(|error| error.to_string())
}
