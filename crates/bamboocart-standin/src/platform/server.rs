//! The HTTP interface of the platform.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use bamboocart_core::id::InstanceName;
use bamboocart_platform::{Appended, InstanceEntry};
use bpaf::Bpaf;

use crate::clock;
use crate::http::{Call, HttpServer, Method, Result};

use super::counters::Counters;
use super::faults::{FaultBody, Faults, Verdict};
use super::instances::Instances;
use super::rate_limit::RateLimiter;
use super::stream::{Range, Streams};

/// The largest number of calls in progress; more are answered with 503.
const CALLS_MAX: usize = 1_024;

/// The header in which a caller names its failure domain.
const DOMAIN_HEADER: &str = "x-failure-domain";

/// The settings of the platform.
#[derive(Debug, Clone, Bpaf)]
pub struct Settings {
    /// Loopback port to listen on, 0 for any
    #[bpaf(argument("PORT"), fallback(0), display_fallback)]
    pub port: u16,
    /// Time that records are kept
    #[bpaf(argument("MS"), fallback(3_600_000), display_fallback)]
    pub retention_ms: u64,
    /// Limit of appends per second
    #[bpaf(argument("N"), fallback(300), display_fallback)]
    pub appends_per_s: u32,
    /// Time that an append takes
    #[bpaf(argument("MS"), fallback(5), display_fallback)]
    pub append_ms: u64,
    /// Lag of the instance list
    #[bpaf(argument("MS"), fallback(1_000), display_fallback)]
    pub list_lag_ms: u64,
}

/// A running platform, stopped when it is dropped.
pub struct PlatformServer {
    /// The HTTP server.
    server: HttpServer,
}

impl PlatformServer {
    /// Starts the platform.
    pub fn start(settings: &Settings) -> Result<Self> {
        let state = Arc::new(State {
            append_ms: settings.append_ms,
            pace: RateLimiter::new(settings.appends_per_s),
            streams: Streams::new(settings.retention_ms),
            instances: Instances::new(settings.list_lag_ms),
            faults: Faults::default(),
            counters: Counters::default(),
            calls: AtomicUsize::new(0),
        });
        let server = HttpServer::start(settings.port, move |call| accept(&state, call))?;
        Ok(Self { server })
    }

    /// Returns where the platform listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }
}

/// What the handlers share.
struct State {
    /// The time that an append takes.
    append_ms: u64,
    /// The limit of appends.
    pace: RateLimiter,
    /// The log.
    streams: Streams,
    /// The instance list.
    instances: Instances,
    /// The fault switches.
    faults: Faults,
    /// The counters.
    counters: Counters,
    /// The calls in progress.
    calls: AtomicUsize,
}

/// Serves a call in a thread of its own, because reads and appends wait.
fn accept(state: &Arc<State>, call: Call) {
    if state.calls.fetch_add(1, Ordering::Relaxed) >= CALLS_MAX {
        state.calls.fetch_sub(1, Ordering::Relaxed);
        return call.fail(503, "too many calls in progress; retry later");
    }
    let state = Arc::clone(state);
    thread::spawn(move || {
        serve(&state, call);
        state.calls.fetch_sub(1, Ordering::Relaxed);
    });
}

/// Serves a call.
fn serve(state: &State, mut call: Call) {
    let (method, path) = call.route();
    let path: Vec<&str> = path.iter().map(String::as_str).collect();
    match (&method, path.as_slice()) {
        (&Method::POST, ["faults"]) => return set_faults(state, call),
        (&Method::GET, ["counters"]) => {
            return call.answer(200, &state.counters.counts());
        }
        _ => {}
    }
    let domain = call.header(DOMAIN_HEADER).map(str::to_owned);
    if state.faults.verdict(clock::now(), domain.as_deref()) != Verdict::Serve {
        return finish(state, call, domain.as_deref(), Reply::unavailable());
    }
    let reply = match (&method, path.as_slice()) {
        (&Method::POST, ["streams", name, "records"]) => append(state, &mut call, name),
        (&Method::GET, ["streams", name, "records"]) => read(state, &call, name),
        (&Method::GET, ["instances"]) => list(state, &call),
        (&Method::PUT, ["instances", name]) => register(state, &mut call, name),
        (&Method::DELETE, ["instances", name]) => remove(state, name),
        _ => Reply::error(404, "no such path"),
    };
    finish(state, call, domain.as_deref(), reply);
}

/// Answers a call, unless a fault prevents it.
///
/// The fault is looked up again because it may have begun while the call waited.
fn finish(state: &State, call: Call, domain: Option<&str>, reply: Reply) {
    thread::sleep(Duration::from_millis(state.faults.slow_ms()));
    let verdict = state.faults.verdict(clock::now(), domain);
    if verdict != Verdict::Serve {
        Counters::add(&state.counters.faulted);
    }
    match verdict {
        Verdict::Withhold => call.withhold(),
        Verdict::Error => call.fail(503, "the platform is down"),
        Verdict::Serve if reply.lost => call.withhold(),
        Verdict::Serve => call.answer(reply.status, &reply.body),
    }
}

/// What a call is answered with.
struct Reply {
    /// The HTTP status.
    status: u16,
    /// The body.
    body: serde_json::Value,
    /// Whether the answer is lost.
    lost: bool,
}

impl Reply {
    /// Creates a reply of success.
    fn ok(body: &impl serde::Serialize) -> Self {
        let body = serde_json::to_value(body).unwrap_or_default();
        Self { status: 200, body, lost: false }
    }

    /// Creates a reply with an error text.
    fn error(status: u16, message: &str) -> Self {
        Self { status, body: serde_json::json!({ "message": message }), lost: false }
    }

    /// Creates the reply to a call that a fault prevented from being served.
    fn unavailable() -> Self {
        Self::error(503, "the platform is down")
    }
}

/// Sets fault switches.
fn set_faults(state: &State, mut call: Call) {
    match call.body_json::<FaultBody>() {
        Ok(body) => {
            let now = clock::now();
            if let Some(frozen) = body.freeze_list {
                state.instances.set_frozen(now, frozen);
            }
            state.faults.set(now, body);
            call.answer(200, &serde_json::json!({}));
        }
        Err(message) => call.fail(400, &message),
    }
}

/// Appends a record.
fn append(state: &State, call: &mut Call, stream: &str) -> Reply {
    let body = match call.body_text() {
        Ok(body) => body,
        Err(error) => return Reply::error(400, &error.to_string()),
    };
    let Some(wait_us) = state.pace.admit(clock::now()) else {
        Counters::add(&state.counters.limited_appends);
        return Reply::error(503, "too many appends; retry later");
    };
    thread::sleep(Duration::from_micros(wait_us));
    let late_ms = state.faults.take_lateness_ms(stream);
    thread::sleep(Duration::from_millis(state.append_ms + late_ms));
    let offset = state.streams.append(stream, body);
    Counters::add(&state.counters.appends);
    let lost = state.faults.take_dropped_answer(stream);
    if lost {
        Counters::add(&state.counters.dropped_answers);
    }
    Reply { lost, ..Reply::ok(&Appended { offset }) }
}

/// Reads records.
fn read(state: &State, call: &Call, stream: &str) -> Reply {
    Counters::add(&state.counters.reads);
    let limit = call.query_number("limit").unwrap_or(u64::from(u16::MAX));
    let range = Range {
        from: call.query_number("from").unwrap_or(0),
        limit: usize::try_from(limit).unwrap_or(usize::MAX),
        wait_ms: call.query_number("wait_ms").unwrap_or(0),
    };
    Reply::ok(&state.streams.read(stream, range))
}

/// Reads the instance list.
fn list(state: &State, call: &Call) -> Reply {
    Counters::add(&state.counters.lists);
    let known = call.query_number("known").unwrap_or(0);
    Reply::ok(&state.instances.list(clock::now(), known))
}

/// Registers or updates an instance.
fn register(state: &State, call: &mut Call, name: &str) -> Reply {
    Counters::add(&state.counters.registrations);
    match call.body_json::<InstanceEntry>() {
        Ok(entry) if entry.name.as_str() == name => {
            state.instances.put(clock::now(), entry);
            Reply::ok(&serde_json::json!({}))
        }
        Ok(_) => Reply::error(400, "the names in path and body differ"),
        Err(message) => Reply::error(400, &message),
    }
}

/// Removes an instance.
fn remove(state: &State, name: &str) -> Reply {
    Counters::add(&state.counters.registrations);
    state.instances.remove(clock::now(), &InstanceName::from(name));
    Reply::ok(&serde_json::json!({}))
}
