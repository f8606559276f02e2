//! Helpers for tests that call stand-ins over HTTP.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bamboocart_standin::target::{
    Fleet, MinionSettings, WorkerSettings, minion_settings, worker_settings,
};
use bpaf::Parser;
use serde_json::{Value, json};

/// The time after which a call counts as unanswered.
pub const NO_ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// The time within which calls must be answered and conditions must hold.
const TIMEOUT: Duration = Duration::from_secs(10);

/// The HTTP status and the JSON body of an answer.
pub type Answer = (u16, Value);

/// Sends a call and panics if it is not answered.
pub fn call(method: &str, address: SocketAddr, path: &str, body: &Value) -> Answer {
    try_call(method, address, path, body, TIMEOUT).unwrap()
}

/// Sends a call and returns whether it stays without a valid answer.
pub fn is_unanswered(
    method: &str,
    address: SocketAddr,
    path: &str,
    body: &Value,
) -> bool {
    try_call(method, address, path, body, NO_ANSWER_TIMEOUT).is_err()
}

/// Sends a call and fails if there is no valid answer within the timeout.
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

/// Waits until a condition holds, and panics after the timeout.
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

/// Returns the body of `POST /run` for the only task of submission `number`.
pub fn run_body(number: u32, run_ms: u64) -> Value {
    json!({
        "submission": key(number), "task": 0, "attempt": 1, "kind": "bay-check",
        "payload": json!({ "run_ms": run_ms }).to_string(), "deadline_ms": 1_000,
    })
}

/// Returns a caller key that ends in `number`.
pub fn key(number: u32) -> String {
    format!("01900000-0000-7000-8000-{number:012x}")
}
