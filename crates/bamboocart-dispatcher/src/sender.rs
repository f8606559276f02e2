//! The threads that talk to targets.

use std::collections::HashSet;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use bamboocart_core::engine::{
    Event, LeaseGrant, LeaseOrder, ProbeAnswer, ProbeOrder, SendOrder,
};
use bamboocart_core::id::{SubmissionId, TaskIndex};
use bamboocart_core::target::{SendReport, TurnAway};
use bamboocart_telemetry::logs::REQUEST_ID;
use bamboocart_telemetry::trace::{TRACEPARENT, Tracer, traceparent_of};
use bamboocart_wire::api::{
    LeaseAnswer, LeaseBody, LeaseProof, RunAnswer, RunBody, TargetStatus,
};
use crossbeam::channel::{Receiver, Sender};
use ureq::config::AutoHeaderValue;
use ureq::http::StatusCode;
use ureq::unversioned::transport::DefaultConnector;
use ureq::{Agent, Timeout};

use crate::resolver::AddressResolver;

/// The time that a connection attempt to a target may take.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// The time beyond the deadline for which the answer of a started task is awaited.
const ANSWER_GRACE_MS: u64 = 2_000;

/// The time that a lease or stop call may take.
const CALL_TIMEOUT_MS: u64 = 2_000;

/// The time that a target has to answer a probe.
const PROBE_TIMEOUT_MS: u64 = 1_000;

/// The pauses before a stop is repeated that came before its task at the target.
///
/// A stop and the send of its task travel on different connections. A stop that overtook
/// the task would let it run to its end although its submission has ended.
const STOP_AGAIN_MS: [u64; 6] = [20, 40, 80, 160, 320, 640];

/// The repetitions of a stop for which a send that another thread has just taken from the
/// queue may still be missing from the table of open sends.
const UNSEEN_REPEATS: usize = 2;

/// The time without a renewal after which a lease lapses.
const LEASE_TTL_MS: u64 = 10_000;

/// The idle time after which a connection is not used for a non-idempotent task.
///
/// A connection that has gone silent would turn the outcome of the task into "unknown".
const FRESH_IDLE_MS: u64 = 1_000;

/// The idle time after which a connection is not used at all.
const POOL_IDLE_MS: u64 = 10_000;

/// The stack of a sender thread, which runs shallow code only.
const STACK_BYTES: usize = 256 << 10;

/// Work for the sender threads.
#[derive(Debug)]
pub enum Outbound {
    /// Send a task.
    Send(SendOrder),
    /// Ask for a lease, renew or return one.
    Lease(LeaseOrder),
    /// Ask a target for its state.
    Probe(ProbeOrder),
    /// Stop a task.
    Stop {
        /// The target's address.
        address: Arc<str>,
        /// The submission.
        submission: SubmissionId,
        /// The position of the task in its submission.
        task: TaskIndex,
    },
}

/// The connections that sender threads share.
#[derive(Clone)]
struct Pools {
    /// For idempotent tasks and control calls.
    pooled: Agent,
    /// For non-idempotent tasks, which only take connections that were just in use.
    fresh: Agent,
    /// The holder of leases: instance and incarnation.
    holder: Arc<str>,
    /// Starts the spans of sends.
    tracer: Tracer,
    /// The sends whose answer is awaited, at most one for each thread.
    open: Arc<Mutex<HashSet<SendKey>>>,
}

/// Identifies a send: the address of the target, the submission and the task.
type SendKey = (Arc<str>, SubmissionId, TaskIndex);

impl Pools {
    /// Locks the table of open sends, which stays usable after a panic in another thread.
    fn open_sends(&self) -> MutexGuard<'_, HashSet<SendKey>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Starts `count` sender threads that end when `work` is closed.
pub fn start(
    count: usize,
    connections_per_target: usize,
    (holder, tracer): (&str, Tracer),
    work: &Receiver<Outbound>,
    events: &Sender<Event>,
) -> io::Result<Vec<JoinHandle<()>>> {
    let pools = Pools {
        pooled: agent(POOL_IDLE_MS, connections_per_target),
        fresh: agent(FRESH_IDLE_MS, connections_per_target),
        holder: holder.into(),
        tracer,
        open: Arc::default(),
    };
    let spawn = |index| {
        let (pools, work, events) = (pools.clone(), work.clone(), events.clone());
        std::thread::Builder::new()
            .name(format!("sender-{index}"))
            .stack_size(STACK_BYTES)
            .spawn(move || serve(&pools, &work, &events))
    };
    (0..count).map(spawn).collect()
}

/// Does work until the queue is closed.
fn serve(pools: &Pools, work: &Receiver<Outbound>, events: &Sender<Event>) {
    for item in work {
        let event = match item {
            Outbound::Send(order) => {
                let attempt = order.attempt;
                let key = (order.address.clone(), order.submission.clone(), order.task);
                pools.open_sends().insert(key.clone());
                let report = send(pools, order);
                pools.open_sends().remove(&key);
                Event::SendFinished { attempt, report }
            }
            Outbound::Lease(order) => {
                Event::LeaseAnswered { target: order.target, grant: lease(pools, &order) }
            }
            Outbound::Probe(order) => match probe(pools, order) {
                Some(answer) => Event::Probed(answer),
                None => continue,
            },
            Outbound::Stop { address, submission, task } => {
                stop(pools, &(address, submission, task));
                continue;
            }
        };
        if events.send(event).is_err() {
            return;
        }
    }
}

/// Creates a pool of connections.
fn agent(idle_ms: u64, per_target: usize) -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        // Targets use neither header, and lease renewals are control traffic.
        .user_agent(AutoHeaderValue::None)
        .accept(AutoHeaderValue::None)
        .max_redirects(0)
        .timeout_connect(Some(Duration::from_millis(CONNECT_TIMEOUT_MS)))
        .max_idle_age(Duration::from_millis(idle_ms))
        .max_idle_connections(4_096)
        .max_idle_connections_per_host(per_target)
        .build();
    Agent::with_parts(config, DefaultConnector::default(), AddressResolver)
}

/// Sends a task and waits for its end.
fn send(pools: &Pools, order: SendOrder) -> SendReport {
    let agent = if order.idempotent { &pools.pooled } else { &pools.fresh };
    let timeout = Duration::from_millis(order.deadline_ms + ANSWER_GRACE_MS);
    let span = pools.tracer.hop("target", order.traceparent.as_deref());
    let span = span.with_property(|| (REQUEST_ID, order.submission.to_string()));
    let mut request = agent
        .post(format!("http://{}/run", order.address))
        .config()
        .timeout_global(Some(timeout))
        .build()
        .header("idempotency-key", format!("{}/{}", order.submission, order.task.0));
    if let Some(parent) = traceparent_of(&span) {
        request = request.header(TRACEPARENT, parent);
    }
    let body = RunBody {
        submission: order.submission,
        task: order.task,
        attempt: order.number,
        kind: order.kind,
        payload: order.payload,
        deadline_ms: order.deadline_ms,
        lease: order.lease.map(proof),
    };
    let mut response = match request.send_json(&body) {
        Ok(response) => response,
        Err(error) if never_sent(&error) => {
            log::debug!(
                request_id:% = body.submission;
                "task {} was not sent to {}: {error}", body.task.0, order.address
            );
            return SendReport::NotSent;
        }
        Err(error) => return lost(&body, &order.address, &error),
    };
    match response.body_mut().read_json::<RunAnswer>() {
        Ok(answer) => report(&body, answer),
        Err(error) => lost(&body, &order.address, &error),
    }
}

/// Logs that the answer of a target did not arrive, so that the task may have run.
fn lost(body: &RunBody, address: &str, error: &ureq::Error) -> SendReport {
    log::info!(
        request_id:% = body.submission;
        "no answer of {address} for task {}, which may have run: {error}", body.task.0
    );
    SendReport::Lost
}

/// Turns a target's answer into a report, unless it answers something else.
fn report(body: &RunBody, answer: RunAnswer) -> SendReport {
    let expected = (&body.submission, body.task, body.attempt);
    let code = answer.code.as_deref();
    match (answer.started, answer.result) {
        _ if (&answer.submission, answer.task, answer.attempt) != expected => {
            SendReport::Lost
        }
        (true, Some(result)) => SendReport::Result(result),
        (true, None) => SendReport::TaskFailed,
        (false, _) if code == Some("leaving") => {
            SendReport::TurnedAway(TurnAway::Leaving)
        }
        (false, _) if code == Some("lease") => SendReport::TurnedAway(TurnAway::Lease),
        (false, _) => SendReport::TurnedAway(TurnAway::Busy),
    }
}

/// Tells whether an error proves that nothing reached the target.
fn never_sent(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => true,
        ureq::Error::Timeout(Timeout::Connect | Timeout::Resolve) => true,
        ureq::Error::Io(error) => error.kind() == io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}

/// Asks a target for its state.
fn probe(pools: &Pools, order: ProbeOrder) -> Option<ProbeAnswer> {
    let mut response = pools
        .pooled
        .get(format!("http://{}/live", order.address))
        .config()
        .timeout_global(Some(Duration::from_millis(PROBE_TIMEOUT_MS)))
        .build()
        .call()
        .ok()?;
    let status: TargetStatus = response.body_mut().read_json().ok()?;
    let ProbeOrder { target, incarnation, .. } = order;
    Some(ProbeAnswer { target, incarnation, leaving: status.leaving })
}

/// Asks a worker for a lease, renews or returns one.
fn lease(pools: &Pools, order: &LeaseOrder) -> Option<LeaseGrant> {
    let url = match order.held {
        Some(held) if order.slots == 0 => {
            return_lease(pools, &order.address, held);
            return None;
        }
        Some(held) => format!("http://{}/leases/{}/renew", order.address, held.lease),
        None => format!("http://{}/leases", order.address),
    };
    let body = LeaseBody {
        holder: pools.holder.to_string(),
        slots: order.slots,
        ttl_ms: LEASE_TTL_MS,
    };
    let mut response = pools
        .pooled
        .post(url)
        .config()
        .timeout_global(Some(Duration::from_millis(CALL_TIMEOUT_MS)))
        .build()
        .send_json(&body)
        .ok()?;
    if !response.status().is_success() {
        return None;
    }
    let answer: LeaseAnswer = response.body_mut().read_json().ok()?;
    Some(LeaseGrant {
        lease: answer.lease,
        token: answer.token,
        slots: answer.slots,
        expires_in_ms: answer.expires_in_ms,
    })
}

/// Returns a lease, which otherwise lapses by itself.
fn return_lease(pools: &Pools, address: &str, held: LeaseGrant) {
    let result = pools
        .pooled
        .delete(format!("http://{address}/leases/{}", held.lease))
        .config()
        .timeout_global(Some(Duration::from_millis(CALL_TIMEOUT_MS)))
        .build()
        .call();
    if let Err(error) = result {
        log::debug!("could not return a lease to {address}: {error}");
    }
}

/// Asks a target to stop a task; the answer to the send tells what came of it.
///
/// The stop is repeated for a short time if the target does not know the task while its
/// send is open.
fn stop(pools: &Pools, key: &SendKey) {
    let mut found = stop_once(pools, key);
    for (repeat, pause_ms) in STOP_AGAIN_MS.into_iter().enumerate() {
        if found {
            return;
        }
        std::thread::sleep(Duration::from_millis(pause_ms));
        match pools.open_sends().contains(key) {
            false if repeat >= UNSEEN_REPEATS => return,
            false => continue,
            true => {}
        }
        found = stop_once(pools, key);
    }
}

/// Asks a target once to stop a task, and returns whether there is nothing left to stop
/// or no way to do so.
fn stop_once(pools: &Pools, (address, submission, task): &SendKey) -> bool {
    let result = pools
        .pooled
        .delete(format!("http://{address}/run/{submission}/{}", task.0))
        .config()
        .timeout_global(Some(Duration::from_millis(CALL_TIMEOUT_MS)))
        .build()
        .call();
    match result {
        Ok(response) => response.status() != StatusCode::NOT_FOUND,
        Err(error) => {
            log::debug!(
                request_id:% = submission; "could not stop task {}: {error}", task.0
            );
            true
        }
    }
}

/// Returns what a worker checks before it starts a task.
fn proof(grant: LeaseGrant) -> LeaseProof {
    LeaseProof { lease: grant.lease, token: grant.token }
}
