//! The HTTP interface of the platform.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use bamboocart_core::id::InstanceName;
use bamboocart_platform::{AppendResult, InstanceEntry};
use bpaf::Bpaf;

use crate::clock;
use crate::http::{Call, HttpServer, Method, Result};

use super::counters::Counters;
use super::faults::{FaultAction, FaultBody, Faults};
use super::hold::Hold;
use super::instances::Instances;
use super::rate_limit::RateLimiter;
use super::stream::{ReadRequest, Streams};

/// The largest number of calls in progress; further ones are answered with 503.
const MAX_CALLS: usize = 1_024;

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

/// A running platform, stopped on drop.
pub struct PlatformServer {
    server: HttpServer,
    state: Arc<State>,
}

impl PlatformServer {
    /// Starts an empty platform; fails if it cannot listen on its port.
    pub fn start(settings: &Settings) -> Result<Self> {
        let state = Arc::new(State {
            append_ms: settings.append_ms,
            rate_limiter: RateLimiter::new(settings.appends_per_s),
            streams: Streams::new(settings.retention_ms),
            instances: Instances::new(settings.list_lag_ms),
            faults: Faults::default(),
            hold: Hold::default(),
            counters: Counters::default(),
            calls: AtomicUsize::new(0),
        });
        let shared = Arc::clone(&state);
        let server = HttpServer::start(settings.port, move |call| accept(&shared, call))?;
        Ok(Self { server, state })
    }

    /// Returns the address that the platform listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the bodies of the appends that are held back by the fault switch
    /// `hold_stream`, oldest first.
    pub fn held_appends(&self) -> Vec<String> {
        self.state.hold.held()
    }
}

impl Drop for PlatformServer {
    /// Ends the threads of held appends.
    fn drop(&mut self) {
        self.state.hold.set_stream(String::new());
    }
}

/// The state that all handlers share.
struct State {
    /// The time that every append takes at least.
    append_ms: u64,
    rate_limiter: RateLimiter,
    streams: Streams,
    instances: Instances,
    faults: Faults,
    hold: Hold,
    counters: Counters,
    /// The number of calls in progress.
    calls: AtomicUsize,
}

/// Serves a call in a thread of its own, because reads and appends block.
fn accept(state: &Arc<State>, call: Call) {
    if state.calls.fetch_add(1, Ordering::Relaxed) >= MAX_CALLS {
        state.calls.fetch_sub(1, Ordering::Relaxed);
        return call.fail(503, "too many calls in progress; retry later");
    }
    let state = Arc::clone(state);
    thread::spawn(move || {
        serve(&state, call);
        state.calls.fetch_sub(1, Ordering::Relaxed);
    });
}

/// Routes a call; the control calls are served also during faults.
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
    if state.faults.action_for(clock::now(), domain.as_deref()) != FaultAction::Serve {
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
/// The faults are checked again, since one may have begun while the call waited.
fn finish(state: &State, call: Call, domain: Option<&str>, reply: Reply) {
    thread::sleep(Duration::from_millis(state.faults.slow_ms()));
    let action = state.faults.action_for(clock::now(), domain);
    if action != FaultAction::Serve {
        Counters::add(&state.counters.faulted);
    }
    match action {
        FaultAction::Withhold => call.withhold(),
        FaultAction::Error => call.fail(503, "the platform is down"),
        FaultAction::Serve if reply.dropped => call.withhold(),
        FaultAction::Serve => call.answer(reply.status, &reply.body),
    }
}

/// The answer to a call.
struct Reply {
    /// The HTTP status.
    status: u16,
    body: serde_json::Value,
    /// Whether the answer is dropped instead of sent.
    dropped: bool,
}

impl Reply {
    /// Creates an answer with status 200.
    fn ok(body: &impl serde::Serialize) -> Self {
        let body = serde_json::to_value(body).unwrap_or_default();
        Self { status: 200, body, dropped: false }
    }

    /// Creates an answer with an error message.
    fn error(status: u16, message: &str) -> Self {
        Self { status, body: serde_json::json!({ "message": message }), dropped: false }
    }

    /// Creates the answer to a call that is not served because of a fault.
    fn unavailable() -> Self {
        Self::error(503, "the platform is down")
    }
}

/// Sets the fault switches that the body names.
fn set_faults(state: &State, mut call: Call) {
    match call.body_json::<FaultBody>() {
        Ok(body) => {
            let now = clock::now();
            if let Some(frozen) = body.freeze_list {
                state.instances.set_frozen(now, frozen);
            }
            if let Some(stream) = &body.hold_stream {
                state.hold.set_stream(stream.clone());
            }
            state.hold.release(body.release_appends.unwrap_or(0));
            state.faults.set(now, body);
            call.answer(200, &serde_json::json!({}));
        }
        Err(message) => call.fail(400, &message),
    }
}

/// Appends a record, after the waits of the rate limit, the append time and faults.
fn append(state: &State, call: &mut Call, stream: &str) -> Reply {
    let body = match call.body_text() {
        Ok(body) => body,
        Err(error) => return Reply::error(400, &error.to_string()),
    };
    let Some(wait_us) = state.rate_limiter.admit(clock::now()) else {
        Counters::add(&state.counters.limited_appends);
        return Reply::error(503, "too many appends; retry later");
    };
    thread::sleep(Duration::from_micros(wait_us));
    state.hold.wait(stream, &body);
    let delay_ms = state.faults.take_append_delay_ms(stream);
    thread::sleep(Duration::from_millis(state.append_ms + delay_ms));
    let offset = state.streams.append(stream, body);
    Counters::add(&state.counters.appends);
    let dropped = state.faults.take_answer_drop(stream);
    if dropped {
        Counters::add(&state.counters.dropped_answers);
    }
    Reply { dropped, ..Reply::ok(&AppendResult { offset }) }
}

/// Reads records of a stream, waiting if asked to.
fn read(state: &State, call: &Call, stream: &str) -> Reply {
    Counters::add(&state.counters.reads);
    let limit = call.query_number("limit").unwrap_or(u64::from(u16::MAX));
    let request = ReadRequest {
        from: call.query_number("from").unwrap_or(0),
        limit: usize::try_from(limit).unwrap_or(usize::MAX),
        wait_ms: call.query_number("wait_ms").unwrap_or(0),
    };
    Reply::ok(&state.streams.read(stream, request))
}

/// Returns the published instance list.
fn list(state: &State, call: &Call) -> Reply {
    Counters::add(&state.counters.lists);
    let known = call.query_number("known").unwrap_or(0);
    Reply::ok(&state.instances.list(clock::now(), known))
}

/// Registers an instance or replaces its entry.
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

/// Removes an instance from the list.
fn remove(state: &State, name: &str) -> Reply {
    Counters::add(&state.counters.registrations);
    state.instances.remove(clock::now(), &InstanceName::from(name));
    Reply::ok(&serde_json::json!({}))
}
