//! Callers that record their calls and the answers.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bamboocart_core::id::{SubmissionId, TaskIndex};
use bamboocart_core::time::Timestamp;
use bamboocart_standin::clock;
use bamboocart_standin::history::{CallRecord, Purpose, task_mark};
use bamboocart_wire::api::AnswerBody;
use serde_json::{Value, json};
use ureq::{Agent, Body, Error, http::Response};

/// The longest time that a caller waits for an answer: the longest deadline and the time
/// that an instance adds to it.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// A submission to make.
#[derive(Debug, Clone)]
pub struct SubmissionSpec {
    /// The unique text by which the history identifies the submission.
    pub mark: String,
    /// The submission id, if the caller has chosen one.
    pub id: Option<SubmissionId>,
    /// The name of the request kind.
    pub kind: &'static str,
    /// The run time of each task; more than one task makes a job.
    pub run_ms: Vec<u64>,
    /// The deadline, if it is not the default of the request kind.
    pub deadline_ms: Option<u64>,
}

impl SubmissionSpec {
    /// Describes a submission under an id, with a new mark.
    pub fn new(id: SubmissionId, kind: &'static str, run_ms: &[u64]) -> Self {
        static NUMBER: AtomicU64 = AtomicU64::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let mark = format!("{:x}-{number}", clock::now().as_us());
        Self { mark, id: Some(id), kind, run_ms: run_ms.into(), deadline_ms: None }
    }

    /// Replaces the default deadline of the request kind.
    pub fn with_deadline(self, deadline_ms: u64) -> Self {
        Self { deadline_ms: Some(deadline_ms), ..self }
    }

    /// Returns whether the submission is a job, which has several tasks.
    pub fn is_job(&self) -> bool {
        self.run_ms.len() > 1
    }

    /// Returns the path and the body of the call that submits it.
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
    /// Returns the record of a call for this submission, without an answer.
    pub fn record(
        &self,
        instance: SocketAddr,
        purpose: Purpose,
        sent_us: Timestamp,
    ) -> CallRecord {
        CallRecord {
            mark: self.mark.clone(),
            submission_id: self.id.clone(),
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

/// Callers that record their calls in one list.
pub struct Callers {
    agent: Agent,
    records: Mutex<Vec<CallRecord>>,
}

impl Callers {
    /// Creates callers that have made no calls.
    pub fn new() -> Arc<Self> {
        let agent = Agent::config_builder()
            .timeout_global(Some(ANSWER_TIMEOUT))
            .http_status_as_error(false)
            .max_idle_age(Duration::from_secs(2))
            .build()
            .into();
        Arc::new(Self { agent, records: Mutex::default() })
    }

    /// Submits, waits for the answer, and records the call.
    pub fn submit(
        &self,
        at: SocketAddr,
        spec: &SubmissionSpec,
        purpose: Purpose,
    ) -> CallRecord {
        let (path, body) = spec.body();
        let call = || self.agent.post(format!("http://{at}{path}")).send_json(&body);
        self.record(at, spec, purpose, call)
    }

    /// Cancels, waits for the answer, and records the call.
    ///
    /// Panics if the submission has no id.
    pub fn cancel(&self, at: SocketAddr, spec: &SubmissionSpec) -> CallRecord {
        let id = spec.id.as_ref().expect("only a submission with an id is cancelled");
        let url = format!("http://{at}/v1/submissions/{id}");
        self.record(at, spec, Purpose::Cancel, || self.agent.delete(url).call())
    }

    /// Queries the state of a submission without recording the call, and returns `None`
    /// if there is no answer.
    pub fn query(&self, at: SocketAddr, id: &SubmissionId) -> Option<AnswerBody> {
        let url = format!("http://{at}/v1/submissions/{id}");
        decode_answer(self.agent.get(url).call()).ok()
    }

    /// Requests tickets from an instance.
    pub fn tickets(&self, at: SocketAddr, count: usize) -> Vec<SubmissionId> {
        let url = format!("http://{at}/v1/tickets");
        let response = self.agent.post(url).send_json(json!({ "count": count }));
        let body: Value = response.unwrap().body_mut().read_json().unwrap();
        serde_json::from_value(body["tickets"].clone()).unwrap()
    }

    /// Adds the record of a call that was made by other means.
    pub fn add_record(&self, record: CallRecord) {
        self.records.lock().unwrap().push(record);
    }

    /// Returns the records of all calls so far.
    pub fn records(&self) -> Vec<CallRecord> {
        self.records.lock().unwrap().clone()
    }

    /// Makes a call, records it, and returns the record.
    fn record(
        &self,
        instance: SocketAddr,
        spec: &SubmissionSpec,
        purpose: Purpose,
        call: impl FnOnce() -> Result<Response<Body>, Error>,
    ) -> CallRecord {
        let sent_us = clock::now();
        let answer = decode_answer(call());
        let (answer, error) = match answer {
            Ok(answer) => (Some(answer), None),
            Err(error) => (None, Some(error)),
        };
        let record = CallRecord {
            ended_us: clock::now(),
            answer,
            error,
            ..spec.record(instance, purpose, sent_us)
        };
        self.add_record(record.clone());
        record
    }
}

/// Decodes the body of an answer, whatever its status.
fn decode_answer(response: Result<Response<Body>, Error>) -> Result<AnswerBody, String> {
    let mut response = response.map_err(|error| error.to_string())?;
    response.body_mut().read_json().map_err(|error| error.to_string())
}
