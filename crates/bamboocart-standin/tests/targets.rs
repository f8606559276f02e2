//! Tests of the slots, leases and histories of minions and workers.

mod common;

use std::net::SocketAddr;
use std::sync::Barrier;
use std::thread;

use bamboocart_standin::history::EventKind;
use bamboocart_standin::target::Fleet;
use common::{Answer, address, call, key, minions, run_body, wait_for, workers};
use serde_json::{Value, json};

/// Returns the events in the history of a fleet.
fn events(fleet: &Fleet) -> Vec<EventKind> {
    let page = fleet.members().history(0, usize::MAX);
    page.events.iter().map(|event| event.kind).collect()
}

/// Returns whether a target runs exactly `count` tasks.
fn is_busy(fleet: &Fleet, index: usize, count: u32) -> bool {
    fleet.members().rows()[index].busy == count
}

/// Asks a worker for a lease.
fn lease(worker: SocketAddr, holder: &str, slots: u32, ttl_ms: u64) -> Answer {
    let body = json!({ "holder": holder, "slots": slots, "ttl_ms": ttl_ms });
    call("POST", worker, "/leases", &body)
}

/// Returns the body of a run under a lease.
fn leased_body(number: u32, run_ms: u64, lease: &Value) -> Value {
    let mut body = run_body(number, run_ms);
    body["lease"] = json!({ "lease": lease["lease"], "token": lease["token"] });
    body
}

/// Guards against results that do not identify their task, and against missing events.
#[test]
fn run_returns_its_own_ids() {
    let fleet = minions(&["--count", "1"]);
    let (status, answer) = call("POST", address(&fleet, 0), "/run", &run_body(7, 20));
    assert_eq!((status, &answer["started"]), (200, &json!(true)));
    let result: Value = serde_json::from_str(answer["result"].as_str().unwrap()).unwrap();
    assert_eq!(result["submission"], key(7));
    assert_eq!((&result["task"], &result["run_ms"]), (&json!(0), &json!(20)));
    assert_eq!(events(&fleet), [EventKind::Started, EventKind::Finished]);
}

/// Guards against more running tasks than slots, and a stop that does not free its slot.
#[test]
fn slots_limit_the_running_tasks() {
    let fleet = minions(&["--count", "1", "--slots", "1"]);
    let minion = address(&fleet, 0);
    let long = thread::spawn(move || call("POST", minion, "/run", &run_body(1, 60_000)));
    wait_for("the start", || is_busy(&fleet, 0, 1));
    let (status, answer) = call("POST", minion, "/run", &run_body(2, 1));
    assert_eq!((status, &answer["code"]), (503, &json!("busy")));
    assert_eq!(answer["started"], false);
    let live = call("GET", minion, "/live", &Value::Null).1;
    assert_eq!(live, json!({ "leaving": false, "slots": 1, "busy": 1 }));
    let path = format!("/run/{}/0", key(1));
    assert_eq!(call("DELETE", minion, &path, &Value::Null).0, 200);
    let (status, answer) = long.join().unwrap();
    assert_eq!((status, &answer["code"]), (500, &json!("stopped")));
    assert_eq!(call("POST", minion, "/run", &run_body(3, 1)).0, 200);
    let expected =
        [EventKind::Started, EventKind::Stopped, EventKind::Started, EventKind::Finished];
    assert_eq!(events(&fleet), expected);
}

/// Guards against starts without a lease, with a stale fencing token, or beyond the slots
/// of the lease.
#[test]
fn starts_need_a_current_token() {
    let fleet = workers(&["--count", "1", "--slots", "2"]);
    let worker = address(&fleet, 0);
    let (_, old) = lease(worker, "a", 1, 60_000);
    let (_, new) = lease(worker, "a", 1, 60_000);
    assert_eq!(old["lease"], new["lease"]);
    assert!(old["token"].as_u64() < new["token"].as_u64());
    let code = |body: &Value| call("POST", worker, "/run", body).1["code"].clone();
    assert_eq!(code(&run_body(1, 1)), "lease");
    assert_eq!(code(&leased_body(2, 1, &old)), "lease");
    assert_eq!(code(&leased_body(3, 1, &new)), Value::Null);
    let long = leased_body(4, 60_000, &new);
    let running = thread::spawn(move || call("POST", worker, "/run", &long));
    wait_for("the start", || is_busy(&fleet, 0, 1));
    assert_eq!(code(&leased_body(5, 1, &new)), "busy");
    let path = format!("/leases/{}", new["lease"]);
    assert_eq!(call("DELETE", worker, &path, &Value::Null).0, 200);
    assert_eq!(running.join().unwrap().1["code"], "lease");
}

/// Guards against tasks, leases and slots that outlive the expiry of the lease.
#[test]
fn expiry_stops_tasks_and_frees_slots() {
    let fleet = workers(&["--count", "1", "--slots", "1"]);
    let worker = address(&fleet, 0);
    let (_, held) = lease(worker, "a", 1, 1_000);
    assert_eq!(lease(worker, "b", 1, 1_000).0, 503);
    let (status, answer) = call("POST", worker, "/run", &leased_body(1, 60_000, &held));
    assert_eq!((status, &answer["code"]), (500, &json!("lease")));
    assert_eq!(events(&fleet), [EventKind::Started, EventKind::Stopped]);
    let renewal = format!("/leases/{}/renew", held["lease"]);
    assert_eq!(call("POST", worker, &renewal, &json!({})).0, 404);
    assert_eq!(lease(worker, "b", 1, 1_000).0, 200);
}

/// Guards against a renewal that does not extend the lease.
#[test]
fn renewal_extends_the_lease() {
    let fleet = workers(&["--count", "1", "--slots", "1", "--usage-lag-ms", "0"]);
    let worker = address(&fleet, 0);
    let (_, held) = lease(worker, "a", 1, 1_000);
    let renewal = format!("/leases/{}/renew", held["lease"]);
    let body = leased_body(1, 1_500, &held);
    let running = thread::spawn(move || call("POST", worker, "/run", &body));
    wait_for("the start", || is_busy(&fleet, 0, 1));
    while !running.is_finished() {
        assert_eq!(call("POST", worker, &renewal, &json!({})).0, 200);
        thread::sleep(std::time::Duration::from_millis(50));
    }
    assert_eq!(running.join().unwrap().0, 200);
    let usage = call("GET", worker, "/usage", &Value::Null).1;
    assert_eq!((&usage["busy"], &usage["leased"]), (&json!(0), &json!(1)));
}

/// Guards against connections that are accepted but never served when many open at once.
#[test]
fn simultaneous_connections_are_all_served() {
    const CONNECTIONS: usize = 48;
    let fleet = minions(&["--count", "1"]);
    let minion = address(&fleet, 0);
    let barrier = Barrier::new(CONNECTIONS);
    let answered = Barrier::new(CONNECTIONS);
    thread::scope(|scope| {
        for _ in 0..CONNECTIONS {
            scope.spawn(|| {
                let agent: ureq::Agent = ureq::Agent::config_builder()
                    .timeout_global(Some(std::time::Duration::from_secs(5)))
                    .build()
                    .into();
                barrier.wait();
                let answer = agent.get(format!("http://{minion}/live")).call();
                let answer = answer.and_then(|mut a| a.body_mut().read_to_string());
                answered.wait();
                answer.expect("an answer while the other connections stay open");
            });
        }
    });
}
