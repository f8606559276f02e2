//! The fault switches of targets do what they say, and nothing more.

mod common;

use std::net::{SocketAddr, TcpStream};
use std::thread;

use bamboocart_platform::Platform;
use bamboocart_standin::history::EventKind;
use bamboocart_standin::platform::{PlatformServer, settings};
use bamboocart_standin::target::Fleet;
use bpaf::Parser;
use common::{
    NO_ANSWER_TIMEOUT, address, call, is_unanswered, minions, run_body, wait_for,
};
use serde_json::{Value, json};
use ureq::Agent;
use yare::parameterized;

/// Sets faults of all targets by way of the control port.
fn faults(fleet: &Fleet, body: Value) {
    assert_eq!(call("POST", fleet.control_address(), "/faults", &body).0, 200);
}

/// Returns the recorded events.
fn events(fleet: &Fleet) -> Vec<EventKind> {
    let page = call("GET", fleet.control_address(), "/history?from=0", &Value::Null).1;
    let page: bamboocart_standin::history::HistoryPage =
        serde_json::from_value(page).unwrap();
    page.events.iter().map(|event| event.kind).collect()
}

/// Creates a client that keeps connections open.
fn client() -> Agent {
    Agent::config_builder().timeout_global(Some(NO_ANSWER_TIMEOUT)).build().into()
}

/// Returns whether a target answers on a client's connection.
fn answers(client: &Agent, target: SocketAddr) -> bool {
    let answer = client.get(format!("http://{target}/live")).call();
    answer.and_then(|mut answer| answer.body_mut().read_to_vec()).is_ok()
}

/// Guards against switches that change what a target runs, records or answers wrongly.
#[parameterized(
    none = { json!({}), Some(200), &[EventKind::Started, EventKind::Finished] },
    fail_all = { json!({ "fail_all": true }), Some(500), &[EventKind::Started, EventKind::Failed] },
    drop_answer = { json!({ "drop_answer": true }), None, &[EventKind::Started, EventKind::Finished] },
    announced = {
        json!({ "leaving": "announce" }), Some(200),
        &[EventKind::Leaving, EventKind::Started, EventKind::Finished],
    },
    rejecting = { json!({ "leaving": "reject" }), Some(503), &[EventKind::Leaving] },
    another_target = {
        json!({ "targets": ["minion-9"], "fail_all": true }), Some(200),
        &[EventKind::Started, EventKind::Finished],
    },
)]
fn switch_decides_answer_and_record(
    body: Value,
    status: Option<u16>,
    expected: &[EventKind],
) {
    let fleet = minions(&["--count", "1"]);
    faults(&fleet, body);
    let target = address(&fleet, 0);
    match status {
        Some(status) => {
            assert_eq!(call("POST", target, "/run", &run_body(1, 1)).0, status)
        }
        None => assert!(is_unanswered("POST", target, "/run", &run_body(1, 1))),
    }
    assert_eq!(events(&fleet), expected);
}

/// Guards against a delay that is not applied.
#[test]
fn delay_holds_back_answers() {
    let fleet = minions(&["--count", "1"]);
    faults(&fleet, json!({ "delay_ms": 2_000 }));
    assert!(is_unanswered("GET", address(&fleet, 0), "/live", &Value::Null));
    faults(&fleet, json!({ "delay_ms": 0 }));
    assert_eq!(call("GET", address(&fleet, 0), "/live", &Value::Null).0, 200);
}

/// Guards against a refusal that accepts the connection or lasts forever.
#[test]
fn refused_connections_never_open() {
    let fleet = minions(&["--count", "1"]);
    let target = address(&fleet, 0);
    faults(&fleet, json!({ "refuse": true }));
    wait_for("the refusal", || TcpStream::connect(target).is_err());
    faults(&fleet, json!({ "refuse": false }));
    wait_for("the end of the refusal", || answers(&client(), target));
}

/// Guards against a freeze that loses what was sent meanwhile.
#[test]
fn frozen_target_answers_later() {
    let fleet = minions(&["--count", "1"]);
    let target = address(&fleet, 0);
    faults(&fleet, json!({ "freeze": true }));
    let waiting = thread::spawn(move || call("GET", target, "/live", &Value::Null));
    assert!(is_unanswered("GET", target, "/live", &Value::Null));
    faults(&fleet, json!({ "freeze": false }));
    assert_eq!(waiting.join().unwrap().0, 200);
}

/// Guards against silence that hits new connections or spares old ones.
#[test]
fn silence_hits_only_open_connections() {
    let fleet = minions(&["--count", "1"]);
    let target = address(&fleet, 0);
    let old = client();
    assert!(answers(&old, target));
    faults(&fleet, json!({ "silent": true }));
    assert!(!answers(&old, target));
    assert!(answers(&client(), target));
}

/// Guards against silent connections that count as open after their callers have left.
#[test]
fn silent_connections_end_with_their_callers() {
    let fleet = minions(&["--count", "1", "--connections", "1"]);
    let target = address(&fleet, 0);
    let old = client();
    assert!(answers(&old, target));
    faults(&fleet, json!({ "silent": true }));
    drop(old);
    wait_for("a free connection", || answers(&client(), target));
}

/// Guards against more connections than the target's bound.
#[test]
fn connections_are_bounded() {
    let fleet = minions(&["--count", "1", "--connections", "1"]);
    let target = address(&fleet, 0);
    let first = client();
    assert!(answers(&first, target));
    assert!(!answers(&client(), target));
    assert!(answers(&first, target));
    drop(first);
    wait_for("a free connection", || answers(&client(), target));
}

/// Guards against a death that finishes tasks, stays in the list or cannot be undone.
#[test]
fn dead_target_loses_its_tasks() {
    let flags = settings().to_options().run_inner(&["--list-lag-ms", "0"]).unwrap();
    let platform = PlatformServer::start(&flags).unwrap();
    let listed = || {
        let platform = Platform::new(&platform.address().to_string());
        platform.instances().unwrap().entries.pop().map(|entry| entry.incarnation)
    };
    let address_flag = platform.address().to_string();
    let fleet = minions(&["--count", "1", "--platform", &address_flag]);
    let target = address(&fleet, 0);
    let before = listed().unwrap();
    let lost = thread::spawn(move || {
        attohttpc::post(format!("http://{target}/run"))
            .json(&run_body(1, 60_000))
            .unwrap()
            .send()
            .is_err()
    });
    wait_for("the start", || fleet.members().rows()[0].busy == 1);
    faults(&fleet, json!({ "die": true }));
    assert!(lost.join().unwrap());
    wait_for("the refusal", || TcpStream::connect(target).is_err());
    wait_for("the removal", || listed().is_none());
    faults(&fleet, json!({ "die": false }));
    wait_for("the restart", || answers(&client(), target));
    wait_for("the registration", || listed().is_some_and(|after| after > before));
    assert_eq!(
        events(&fleet),
        [EventKind::Started, EventKind::Died, EventKind::Restarted]
    );
}
