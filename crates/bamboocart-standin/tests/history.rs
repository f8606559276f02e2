//! Tests that the checker finds every injected violation and accepts correct histories.

use bamboocart_core::time::Timestamp;
use bamboocart_standin::history::{CallRecord, History, Policy, TargetEvent, check};
use serde_json::{Value, json};

/// A history and the names of the violations in it.
struct Case {
    name: &'static str,
    /// Events as time in ms, kind, submission number and attempt; see `event`.
    events: &'static [(u64, &'static str, u32, u8)],
    /// Calls of submission 1, a job with two tasks unless the case says otherwise.
    calls: Vec<Value>,
    violations: &'static [&'static str],
}

/// Returns the caller key of a submission.
fn key(number: u32) -> String {
    format!("01900000-0000-7000-8000-{number:012x}")
}

/// Creates an event of a run, or of the target if the submission number is 0.
///
/// An attempt of 10 or more stands for task 1, and its last digit is the attempt number.
/// Submission 7 has the repeatable request kind `bay-check`.
fn event(
    sequence: usize,
    &(ms, kind, number, attempt): &(u64, &str, u32, u8),
) -> TargetEvent {
    let task = u16::from(attempt >= 10);
    let run = json!({
        "submission": key(number), "task": task, "attempt": attempt % 10,
        "kind": if number == 7 { "bay-check" } else { "release-order" },
    });
    let run = if number == 0 { Value::Null } else { run };
    let event = json!({
        "sequence": sequence, "at_us": Timestamp::from_ms(ms), "target": "m-1",
        "what": kind, "run": run,
    });
    serde_json::from_value(event).unwrap()
}

/// Creates a record of a call for submission 1 from 0 ms to `ended_ms`.
///
/// Each result is given as the submission and the task in its body, with the task that it
/// is reported for in between.
fn call(ended_ms: u64, outcome: &str, code: &str, results: &[(u32, u16, u16)]) -> Value {
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

/// Replaces fields of a call record.
fn with_fields(mut call: Value, fields: Value) -> Value {
    for (name, value) in fields.as_object().unwrap() {
        call[name] = value.clone();
    }
    call
}

/// The events of a complete run of both tasks of submission 1.
const BOTH_TASKS_RUN: &[(u64, &str, u32, u8)] = &[
    (1, "started", 1, 1),
    (2, "started", 1, 11),
    (8, "finished", 1, 1),
    (9, "finished", 1, 11),
];

/// Returns a call that was answered complete.
fn complete() -> Value {
    call(10, "complete", "complete", &[(1, 0, 0), (1, 1, 1)])
}

/// Returns a call that was refused.
fn refused(ended_ms: u64) -> Value {
    call(ended_ms, "refused", "overloaded", &[])
}

fn cases() -> Vec<Case> {
    let case = |name, events, calls, violations| Case { name, events, calls, violations };
    let later = json!({ "sent_us": 11_000, "purpose": "resubmit" });
    let one_task = json!({ "job": false, "tasks": 1 });
    vec![
        case("complete", BOTH_TASKS_RUN, vec![complete()], &[]),
        case(
            "remembered",
            BOTH_TASKS_RUN,
            vec![complete(), with_fields(complete(), later.clone())],
            &[],
        ),
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
            vec![refused(5), with_fields(refused(20), later.clone())],
            &["not-run-but-started"],
        ),
        case(
            "refused and lost at the second call",
            &[(12, "started", 1, 1)],
            vec![refused(5), with_fields(call(20, "unknown", "target-lost", &[]), later)],
            &[],
        ),
        case(
            "cancelled as not run and started by the open call",
            &[(9, "started", 1, 1)],
            vec![
                call(20, "unknown", "target-lost", &[]),
                with_fields(
                    call(5, "cancelled", "cancelled-not-run", &[]),
                    json!({ "purpose": "cancel", "sent_us": 4_000 }),
                ),
            ],
            &["not-run-but-started"],
        ),
        case(
            "refused cancellation of a running submission",
            &[(1, "started", 1, 1)],
            vec![with_fields(refused(5), json!({ "purpose": "cancel" }))],
            &[],
        ),
        case(
            "missing result",
            BOTH_TASKS_RUN,
            vec![call(10, "complete", "complete", &[(1, 0, 0)])],
            &["missing-results"],
        ),
        case(
            "doubled result",
            BOTH_TASKS_RUN,
            vec![call(10, "complete", "complete", &[(1, 0, 0), (1, 0, 0)])],
            &["missing-results"],
        ),
        case(
            "result of another submission",
            BOTH_TASKS_RUN,
            vec![call(10, "complete", "complete", &[(1, 0, 0), (2, 1, 1)])],
            &["foreign-answer"],
        ),
        case(
            "crossed results",
            BOTH_TASKS_RUN,
            vec![call(10, "complete", "complete", &[(1, 0, 1), (1, 1, 0)])],
            &["foreign-answer", "foreign-answer"],
        ),
        case(
            "answer to another submission",
            BOTH_TASKS_RUN,
            vec![with_fields(complete(), json!({ "asked": key(3), "tasks": 0 }))],
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
            vec![with_fields(call(10, "complete", "complete", &[(1, 0, 0)]), one_task)],
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
fn injected_violations_are_found() {
    let policy = Policy { repeatable: ["bay-check".into()].into() };
    for case in cases() {
        let events = case.events.iter().enumerate();
        let calls = case.calls.into_iter();
        let history = History {
            events: events.map(|(sequence, e)| event(sequence, e)).collect(),
            dropped: 0,
            calls: calls.map(|call| serde_json::from_value(call).unwrap()).collect(),
        };
        assert_eq!(names(&history, &policy), case.violations, "{}", case.name);
    }
}

/// Guards against a missed repetition of a task that ran under two submission ids, which
/// only its mark reveals.
#[test]
fn mark_reveals_a_second_id() {
    let events = [(1, "started", 1, 1), (2, "started", 2, 1)];
    let events = events.iter().enumerate();
    let mut events: Vec<_> = events.map(|(sequence, e)| event(sequence, e)).collect();
    for event in &mut events {
        event.run.as_mut().unwrap().mark = Some("r-1-0".into());
    }
    let history = History { events, ..History::default() };
    assert_eq!(names(&history, &Policy::default()), ["started-twice"]);
}

/// Guards against a checker that accepts a history with missing events.
#[test]
fn missing_events_are_reported() {
    let history = History { dropped: 1, ..History::default() };
    assert_eq!(names(&history, &Policy::default()), ["incomplete-history"]);
}

/// Checks a history and returns the names of its violations.
fn names(history: &History, policy: &Policy) -> Vec<String> {
    let name = |violation| serde_json::to_value(violation).unwrap()["violation"].clone();
    let found = check(history, policy).into_iter().map(name);
    found.map(|name| name.as_str().unwrap().to_owned()).collect()
}

/// Guards against a format of call records that cannot be parsed again.
#[test]
fn call_records_round_trip() {
    let record: CallRecord = serde_json::from_value(complete()).unwrap();
    let line = serde_json::to_string(&record).unwrap();
    let read: CallRecord = serde_json::from_str(&line).unwrap();
    assert_eq!(serde_json::to_string(&read).unwrap(), line);
}
