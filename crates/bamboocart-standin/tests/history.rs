//! The checker finds every planted violation and accepts correct histories.

use bamboocart_core::time::Timestamp;
use bamboocart_standin::history::{CallRecord, History, Policy, TargetEvent, check};
use serde_json::{Value, json};

/// A history and the names of the violations that it contains.
struct Case {
    name: &'static str,
    /// Events as time in ms, event, submission number, attempt.
    events: &'static [(u64, &'static str, u32, u8)],
    /// Calls of submission 1, a job with two tasks unless the case says otherwise.
    sends: Vec<Value>,
    violations: &'static [&'static str],
}

/// Returns a caller's key.
fn key(number: u32) -> String {
    format!("01900000-0000-7000-8000-{number:012x}")
}

/// Creates an event of task 0, or of task 1 if the attempt is 10 or more.
fn event(
    sequence: usize,
    &(ms, what, number, attempt): &(u64, &str, u32, u8),
) -> TargetEvent {
    let task = u16::from(attempt >= 10);
    let run = json!({
        "submission": key(number), "task": task, "attempt": attempt % 10,
        "kind": if number == 7 { "bay-check" } else { "release-order" },
    });
    let run = if number == 0 { Value::Null } else { run };
    let event = json!({
        "sequence": sequence, "at_us": Timestamp::from_ms(ms), "target": "m-1",
        "what": what, "run": run,
    });
    serde_json::from_value(event).unwrap()
}

/// Creates a call from 0 ms to `ended_ms` that was answered with an outcome.
fn send(ended_ms: u64, outcome: &str, code: &str, results: &[(u32, u16, u16)]) -> Value {
    let result = |&(number, position, task): &(u32, u16, u16)| {
        let body = json!({ "submission": key(number), "task": task }).to_string();
        json!({ "task": position, "body": body })
    };
    let results: Vec<Value> = results.iter().map(result).collect();
    json!({
        "mark": "r-1", "asked": key(1), "purpose": "submit", "customer": "c",
        "kind": "release-order", "job": true, "tasks": 2, "instance": "127.0.0.1:1",
        "due_us": 0, "sent_us": 0, "ended_us": ended_ms * 1_000, "ideal_us": 1,
        "answer": {
            "submission": key(1), "outcome": outcome, "code": code, "message": "",
            "results": results, "config_version": 1,
        },
    })
}

/// Changes fields of a call.
fn with(mut send: Value, fields: Value) -> Value {
    for (name, value) in fields.as_object().unwrap() {
        send[name] = value.clone();
    }
    send
}

/// A complete run of both tasks of submission 1.
const BOTH: &[(u64, &str, u32, u8)] = &[
    (1, "started", 1, 1),
    (2, "started", 1, 11),
    (8, "finished", 1, 1),
    (9, "finished", 1, 11),
];

/// Returns the answer to a complete run.
fn complete() -> Value {
    send(10, "complete", "complete", &[(1, 0, 0), (1, 1, 1)])
}

/// Returns a refusal.
fn refused(ended_ms: u64) -> Value {
    send(ended_ms, "refused", "overloaded", &[])
}

/// Returns all cases.
fn cases() -> Vec<Case> {
    let case = |name, events, sends, violations| Case { name, events, sends, violations };
    let late = json!({ "sent_us": 11_000, "purpose": "resubmit" });
    let one_task = json!({ "job": false, "tasks": 1 });
    vec![
        case("complete", BOTH, vec![complete()], &[]),
        case("remembered", BOTH, vec![complete(), with(complete(), late.clone())], &[]),
        case(
            "started twice",
            &[(1, "started", 2, 1), (2, "started", 2, 1)],
            vec![],
            &["started-twice"],
        ),
        case(
            "started again under another attempt",
            &[(1, "started", 2, 1), (2, "started", 2, 2)],
            vec![],
            &["started-twice"],
        ),
        case("hedged", &[(1, "started", 7, 1), (2, "started", 7, 2)], vec![], &[]),
        case(
            "hedged under one attempt",
            &[(1, "started", 7, 1), (2, "started", 7, 1)],
            vec![],
            &["started-twice"],
        ),
        case(
            "job task of a repeatable kind resent",
            &[(1, "started", 7, 1), (2, "started", 7, 11), (3, "started", 7, 12)],
            vec![],
            &["started-twice"],
        ),
        case(
            "refused after a start",
            &[(1, "started", 1, 1)],
            vec![refused(5)],
            &["not-run-but-started"],
        ),
        case(
            "refused before a start",
            &[(9, "started", 1, 1)],
            vec![refused(5)],
            &["not-run-but-started"],
        ),
        case("refused and not run", &[(1, "started", 2, 1)], vec![refused(5)], &[]),
        case(
            "refused at both calls and started by the second",
            &[(12, "started", 1, 1)],
            vec![refused(5), with(refused(20), late.clone())],
            &["not-run-but-started"],
        ),
        case(
            "refused and lost at the second call",
            &[(12, "started", 1, 1)],
            vec![refused(5), with(send(20, "unknown", "target-lost", &[]), late)],
            &[],
        ),
        case(
            "cancelled as not run and started by the open call",
            &[(9, "started", 1, 1)],
            vec![
                send(20, "unknown", "target-lost", &[]),
                with(
                    send(5, "cancelled", "cancelled-not-run", &[]),
                    json!({ "purpose": "cancel", "sent_us": 4_000 }),
                ),
            ],
            &["not-run-but-started"],
        ),
        case(
            "refused cancellation of a running submission",
            &[(1, "started", 1, 1)],
            vec![with(refused(5), json!({ "purpose": "cancel" }))],
            &[],
        ),
        case(
            "missing result",
            BOTH,
            vec![send(10, "complete", "complete", &[(1, 0, 0)])],
            &["missing-results"],
        ),
        case(
            "doubled result",
            BOTH,
            vec![send(10, "complete", "complete", &[(1, 0, 0), (1, 0, 0)])],
            &["missing-results"],
        ),
        case(
            "result of another submission",
            BOTH,
            vec![send(10, "complete", "complete", &[(1, 0, 0), (2, 1, 1)])],
            &["foreign-answer"],
        ),
        case(
            "crossed results",
            BOTH,
            vec![send(10, "complete", "complete", &[(1, 0, 1), (1, 1, 0)])],
            &["foreign-answer", "foreign-answer"],
        ),
        case(
            "answer to another submission",
            BOTH,
            vec![with(complete(), json!({ "asked": key(3), "tasks": 0 }))],
            &["foreign-answer", "missing-results", "foreign-answer", "foreign-answer"],
        ),
        case(
            "unfinished task",
            &[(1, "started", 1, 1), (8, "finished", 1, 1), (9, "started", 1, 11)],
            vec![complete()],
            &["complete-without-finish"],
        ),
        case(
            "unfinished request",
            &[(1, "started", 1, 1), (2, "failed", 1, 1)],
            vec![with(send(10, "complete", "complete", &[(1, 0, 0)]), one_task)],
            &["complete-without-finish"],
        ),
        case(
            "start long after leaving",
            &[(1, "leaving", 0, 0), (5_002, "started", 2, 1)],
            vec![],
            &["started-while-leaving"],
        ),
        case(
            "start soon after leaving",
            &[(1, "leaving", 0, 0), (5_001, "started", 2, 1)],
            vec![],
            &[],
        ),
        case(
            "start after a restart",
            &[(1, "leaving", 0, 0), (2, "restarted", 0, 0), (9_000, "started", 2, 1)],
            vec![],
            &[],
        ),
    ]
}

/// Guards against a checker that misses a violation or reports a correct history.
#[test]
fn planted_violations_are_found() {
    let policy = Policy { repeatable: ["bay-check".into()].into() };
    for case in cases() {
        let events = case.events.iter().enumerate();
        let sends = case.sends.into_iter();
        let evidence = History {
            events: events.map(|(sequence, e)| event(sequence, e)).collect(),
            dropped: 0,
            calls: sends.map(|send| serde_json::from_value(send).unwrap()).collect(),
        };
        assert_eq!(names(&evidence, &policy), case.violations, "{}", case.name);
    }
}

/// Guards against one task that is run under two ids, which only its mark can show.
#[test]
fn mark_shows_a_second_id() {
    let events = [(1, "started", 1, 1), (2, "started", 2, 1)];
    let events = events.iter().enumerate();
    let mut events: Vec<_> = events.map(|(sequence, e)| event(sequence, e)).collect();
    for event in &mut events {
        event.run.as_mut().unwrap().mark = Some("r-1-0".into());
    }
    let evidence = History { events, ..History::default() };
    assert_eq!(names(&evidence, &Policy::default()), ["started-twice"]);
}

/// Guards against a pass on a history that lacks events.
#[test]
fn missing_events_are_reported() {
    let evidence = History { dropped: 1, ..History::default() };
    assert_eq!(names(&evidence, &Policy::default()), ["incomplete-history"]);
}

/// Returns the names of the violations in a history.
fn names(evidence: &History, policy: &Policy) -> Vec<String> {
    let name = |violation| serde_json::to_value(violation).unwrap()["violation"].clone();
    let found = check(evidence, policy).into_iter().map(name);
    found.map(|name| name.as_str().unwrap().to_owned()).collect()
}

/// Guards against a record format that cannot be read back.
#[test]
fn send_records_survive_the_file() {
    let record: CallRecord = serde_json::from_value(complete()).unwrap();
    let line = serde_json::to_string(&record).unwrap();
    let read: CallRecord = serde_json::from_str(&line).unwrap();
    assert_eq!(serde_json::to_string(&read).unwrap(), line);
}
