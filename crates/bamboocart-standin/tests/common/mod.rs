//! Helpers for tests that talk to stand-ins over HTTP.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bamboocart_standin::target::{
    Fleet, MinionSettings, WorkerSettings, minion_settings, worker_settings,
};
use bpaf::Parser;
use serde_json::{Value, json};

/// The time that a test waits for an answer that it expects not to come.
pub const NO_ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// The longest time that a test waits for something to happen.
const TIMEOUT: Duration = Duration::from_secs(10);

/// A status and a body.
pub type Answer = (u16, Value);

/// Sends a call that has to be answered.
pub fn call(method: &str, address: SocketAddr, path: &str, body: &Value) -> Answer {
    try_call(method, address, path, body, TIMEOUT).unwrap()
}

/// Sends a call that must not be answered, and returns whether it was not.
pub fn is_unanswered(
    method: &str,
    address: SocketAddr,
    path: &str,
    body: &Value,
) -> bool {
    try_call(method, address, path, body, NO_ANSWER_TIMEOUT).is_err()
}

/// Sends a call and fails if there is no answer in time.
fn try_call(
    method: &str,
    address: SocketAddr,
    path: &str,
    body: &Value,
    timeout: Duration,
) -> attohttpc::Result<Answer> {
    let method = method.parse().unwrap();
    let url = format!("http://{address}{path}");
    let request = attohttpc::RequestBuilder::new(method, url).timeout(timeout);
    let response = request.json(body).unwrap().send()?;
    Ok((response.status().as_u16(), response.json()?))
}

/// Waits until a condition holds.
pub fn wait_for(what: &str, condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < TIMEOUT, "{what} did not happen");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Starts minions from command line flags.
pub fn minions(flags: &[&str]) -> Fleet {
    let settings: MinionSettings =
        minion_settings().to_options().run_inner(flags).unwrap();
    Fleet::start(&settings.fleet, &settings.target_spec()).unwrap()
}

/// Starts workers from command line flags.
pub fn workers(flags: &[&str]) -> Fleet {
    let settings: WorkerSettings =
        worker_settings().to_options().run_inner(flags).unwrap();
    Fleet::start(&settings.fleet, &settings.target_spec()).unwrap()
}

/// Returns the address of a target.
pub fn address(fleet: &Fleet, index: usize) -> SocketAddr {
    fleet.members().rows()[index].address.parse().unwrap()
}

/// Returns the body of `POST /run` for a task of its own submission.
pub fn run_body(number: u32, run_ms: u64) -> Value {
    json!({
        "submission": key(number), "task": 0, "attempt": 1, "kind": "bay-check",
        "payload": json!({ "run_ms": run_ms }).to_string(), "deadline_ms": 1_000,
    })
}

/// Returns a caller's key.
pub fn key(number: u32) -> String {
    format!("01900000-0000-7000-8000-{number:012x}")
}
