//! Callers that submit one request after another, with or without a load balancer.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bamboocart_core::id::{SubmissionId, TaskIndex};
use bamboocart_core::time::Timestamp;
use bamboocart_standin::history::{CallRecord, Purpose, task_mark};
use bamboocart_wire::api::{AnswerBody, OutcomeName, RequestBody};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;
use uuid::Uuid;

use super::cluster::Cluster;
use super::http::try_call;
use super::{CALLER_END_TIMEOUT, RECOVERY_TIMEOUT, join, wait_until};

/// The interval of the load balancer's readiness checks, and the timeout of each.
const READINESS_INTERVAL: Duration = Duration::from_millis(100);

/// The longest time that a caller waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);

/// The largest number of unused tickets that a group of callers keeps.
const MAX_TICKETS: usize = 256;

/// The longest run time of a request.
const MAX_RUN_MS: u64 = 120;

/// The request kind of all calls, which is not idempotent.
const KIND: &str = "release-order";

/// The number of the next group, which makes its marks unique in this process.
static NEXT_GROUP: AtomicU64 = AtomicU64::new(0);

/// A group of callers, stopped when it is dropped.
pub struct BalancedCallers {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<Vec<CallRecord>>>,
    balancer: Option<JoinHandle<()>>,
}

/// The state that the callers of a group share.
struct Shared {
    stop: AtomicBool,
    /// The addresses of the instances whose processes run.
    running: RwLock<Vec<SocketAddr>>,
    /// The instances that passed the latest readiness check.
    ready: RwLock<Vec<SocketAddr>>,
    /// The unused tickets.
    tickets: Mutex<VecDeque<SubmissionId>>,
    /// Whether callers only use instances that are ready.
    balanced: bool,
    group: u64,
}

impl BalancedCallers {
    /// Starts `count` callers, which only use instances that are ready if `balanced`.
    pub fn start(
        count: u64,
        balanced: bool,
        seed: u64,
        instances: Vec<SocketAddr>,
    ) -> Self {
        let shared = Arc::new(Shared {
            stop: AtomicBool::new(false),
            running: RwLock::new(instances.clone()),
            ready: RwLock::new(instances),
            tickets: Mutex::default(),
            balanced,
            group: NEXT_GROUP.fetch_add(1, Ordering::Relaxed),
        });
        let thread = |index| {
            let shared = shared.clone();
            std::thread::spawn(move || call_until_stop(&shared, index, seed))
        };
        let threads = (0..count).map(thread).collect();
        let watched = shared.clone();
        let balancer = std::thread::spawn(move || watch_readiness(&watched));
        Self { shared, threads, balancer: Some(balancer) }
    }

    /// Replaces the addresses of the instances whose processes run.
    pub fn set_running(&self, instances: Vec<SocketAddr>) {
        *self.shared.running.write().unwrap() = instances;
    }

    /// Stops the callers and returns the records of their calls and the unused tickets.
    pub fn stop(mut self) -> (Vec<CallRecord>, Vec<SubmissionId>) {
        self.shared.stop.store(true, Ordering::Relaxed);
        let threads = std::mem::take(&mut self.threads);
        let end = |it| join("the end of a caller", CALLER_END_TIMEOUT, it);
        let records = threads.into_iter().flat_map(end).collect();
        let balancer = self.balancer.take();
        balancer
            .into_iter()
            .for_each(|it| join("the balancer's end", CALLER_END_TIMEOUT, it));
        let tickets = std::mem::take(&mut *self.shared.tickets.lock().unwrap());
        (records, tickets.into())
    }
}

impl Drop for BalancedCallers {
    /// Stops the callers of a failed test. They would otherwise load the machine and use
    /// up memory until the last test of the program ends.
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::Relaxed);
    }
}

/// Checks the readiness of the instances in turn, as a load balancer does.
fn watch_readiness(shared: &Shared) {
    while !shared.stop.load(Ordering::Relaxed) {
        let running = shared.running.read().unwrap().clone();
        let is_ready = |address: &SocketAddr| {
            let answer =
                try_call("GET", *address, "/ready", &Value::Null, READINESS_INTERVAL);
            answer.is_some_and(|(status, _)| status == 200)
        };
        *shared.ready.write().unwrap() = running.into_iter().filter(is_ready).collect();
        std::thread::sleep(READINESS_INTERVAL);
    }
}

/// Submits requests one after another, each at random with a ticket, with a caller key or
/// without an id.
fn call_until_stop(shared: &Shared, index: u64, seed: u64) -> Vec<CallRecord> {
    let mut rng = SmallRng::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(index));
    let agent = agent();
    let mut records = vec![];
    while !shared.stop.load(Ordering::Relaxed) {
        let list = if shared.balanced { &shared.ready } else { &shared.running };
        let candidates = list.read().unwrap().clone();
        if candidates.is_empty() {
            std::thread::sleep(READINESS_INTERVAL);
            continue;
        }
        let instance = candidates[rng.random_range(0..candidates.len())];
        let id = match rng.random_range(0..3) {
            0 => shared.tickets.lock().unwrap().pop_front(),
            1 => Some(SubmissionId::CallerKey(Uuid::now_v7())),
            _ => None,
        };
        let mark = format!("g{}-{index}-{}", shared.group, records.len());
        let run_ms = rng.random_range(1..=MAX_RUN_MS);
        let request = RequestSpec { mark, run_ms, id, purpose: Purpose::Submit };
        let mut record = submit(&agent, instance, &request);
        if let Some(answer) = &mut record.answer {
            let mut tickets = shared.tickets.lock().unwrap();
            let free = MAX_TICKETS.saturating_sub(tickets.len());
            tickets.extend(std::mem::take(&mut answer.tickets).into_iter().take(free));
        }
        records.push(record);
    }
    records
}

/// A request to submit.
#[derive(Debug, Clone)]
pub struct RequestSpec {
    /// The text by which the history identifies the request.
    pub mark: String,
    /// The time that the target takes to run the task.
    pub run_ms: u64,
    /// The submission id, if the request is sent with one.
    pub id: Option<SubmissionId>,
    /// Whether this is the first submission or a later call for the same one.
    pub purpose: Purpose,
}

impl RequestSpec {
    /// Describes the first submission of a request.
    pub fn new(mark: impl Into<String>, run_ms: u64, id: Option<SubmissionId>) -> Self {
        Self { mark: mark.into(), run_ms, id, purpose: Purpose::Submit }
    }
}

/// Returns whether an instance answers `GET /ready` with success within 2 s.
pub fn is_ready(address: SocketAddr) -> bool {
    let answer = try_call("GET", address, "/ready", &Value::Null, Duration::from_secs(2));
    answer.is_some_and(|(status, _)| status == 200)
}

/// Waits until every instance is ready and knows the owner of every caller key.
pub fn wait_for_keys(cluster: &Cluster) {
    let agent = agent();
    let mut number = 0;
    wait_until("the owners of caller keys", RECOVERY_TIMEOUT, || {
        cluster.addresses().into_iter().all(|address| {
            is_ready(address)
                && (0..64).all(|_| {
                    number += 1;
                    let key = SubmissionId::CallerKey(Uuid::now_v7());
                    let request = RequestSpec::new(format!("key-{number}"), 1, Some(key));
                    let answer = submit(&agent, address, &request).answer;
                    answer.is_some_and(|it| it.outcome == OutcomeName::Complete)
                })
        })
    });
}

/// Creates an HTTP client with persistent connections, as callers use it.
pub fn agent() -> ureq::Agent {
    let config = ureq::Agent::config_builder();
    config.timeout_global(Some(ANSWER_TIMEOUT)).http_status_as_error(false).build().into()
}

/// Submits a request and returns the record of the call.
pub fn submit(
    agent: &ureq::Agent,
    instance: SocketAddr,
    request: &RequestSpec,
) -> CallRecord {
    let mark = task_mark(&request.mark, TaskIndex(0));
    let payload =
        serde_json::json!({ "run_ms": request.run_ms, "mark": mark }).to_string();
    let body = RequestBody {
        submission: request.id.clone(),
        customer: "float-storage".into(),
        kind: KIND.into(),
        deadline_ms: None,
        payload: payload.into(),
        want_tickets: 2,
    };
    let sent_us = now();
    let url = format!("http://{instance}/v1/requests");
    let answer = agent.post(url).send_json(&body);
    let answer =
        answer.and_then(|mut answer| answer.body_mut().read_json::<AnswerBody>());
    let (answer, error) = match answer {
        Ok(answer) => (Some(answer), None),
        Err(error) => (None, Some(error.to_string())),
    };
    CallRecord {
        mark: request.mark.clone(),
        submission_id: request.id.clone(),
        purpose: request.purpose,
        customer: body.customer,
        kind: body.kind,
        job: false,
        tasks: 1,
        instance,
        due_us: sent_us,
        sent_us,
        ended_us: now(),
        ideal_us: request.run_ms * 1_000,
        deadline_ms: None,
        answer,
        error,
    }
}

/// Returns the system's time, at which calls are recorded.
pub fn now() -> Timestamp {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    Timestamp::from_us(u64::try_from(since_epoch.as_micros()).unwrap())
}
