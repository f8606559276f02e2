//! Tests of publishing against a fake platform.

mod fake;

use bamboocart_core::config::{ConfigRecord, ConfigSet, Publication, PublicationId};
use bamboocart_core::id::ConfigVersion;
use serde_json::json;
use uuid::Uuid;
use yare::parameterized;

use self::fake::{Platform, entry, platform, run, run_text, serve, status};

/// The configuration that the tests publish.
const SAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/amman");

/// Another configuration, to compare with.
const OTHER: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/thailand");

/// The publication id that the tests pass explicitly.
const ID: &str = "0194f3a0-0000-7000-8000-000000000001";

/// Returns the record of another operator's publication, which is an empty set.
fn rival(base: u64) -> String {
    ConfigRecord::Publish(Publication {
        publication: PublicationId(Uuid::from_u128(7)),
        base: ConfigVersion(base),
        set: ConfigSet::default(),
    })
    .to_body()
}

/// The platform before a publication, further arguments, and the expected result.
struct Case {
    platform: Platform,
    args: &'static [&'static str],
    exit: i32,
    records: usize,
}

// Each case guards against a publication that takes effect twice, or that is reported to
// its operator differently than the readers of the log see it.
#[parameterized(
    first = { Case { platform: Platform::default(), args: &[], exit: 0, records: 1 } },
    second = { Case { platform: Platform { log: vec![rival(0)], ..Platform::default() },
        args: &[], exit: 0, records: 2 } },
    lost_answer = { Case {
        platform: Platform { lose_answers: 1, ..Platform::default() },
        args: &[], exit: 0, records: 1 } },
    failed_append = { Case {
        platform: Platform { fail_appends: 1, ..Platform::default() },
        args: &[], exit: 0, records: 1 } },
    lost_race = { Case {
        platform: Platform { rival: Some(rival(0)), ..Platform::default() },
        args: &[], exit: 3, records: 2 } },
    lost_race_and_answer = { Case {
        platform: Platform { rival: Some(rival(0)), lose_answers: 1, ..Platform::default() },
        args: &[], exit: 3, records: 2 } },
    stale_base = { Case {
        platform: Platform { log: vec![rival(0)], ..Platform::default() },
        args: &["--base", "0"], exit: 3, records: 2 } },
    expired_log = { Case {
        platform: Platform { log: vec![rival(0); 3], start: 2, ..Platform::default() },
        args: &[], exit: 5, records: 3 } },
    faulty_files = { Case { platform: Platform::default(),
        args: &["no-such-file.toml"], exit: 2, records: 0 } },
)]
fn publication_takes_effect_at_most_once(case: Case) {
    let (address, state) = platform(case.platform);
    let args = [&["publish", "--platform", &address, SAMPLE], case.args].concat();
    let (exit, result) = run(&args, &[]);
    assert_eq!(exit, case.exit, "{result:#}");
    assert_eq!(state.lock().unwrap().log.len(), case.records);
    if exit == 0 {
        assert_eq!(result["config_version"], case.records, "{result:#}");
    }
}

// Guards against a manual retry being appended again, both for a publication that was
// accepted and for one that was not.
#[parameterized(winner = { None, 0, 1 }, loser = { Some(rival(0)), 3, 2 })]
fn repeated_run_finds_its_publication(rival: Option<String>, exit: i32, records: usize) {
    let (address, state) = platform(Platform { rival, ..Platform::default() });
    let args = ["publish", "--publication", ID, SAMPLE];
    let variables = [("BAMBOOCART_PLATFORM", address.as_str())];
    for _ in 0..2 {
        assert_eq!(run(&args, &variables).0, exit);
        assert_eq!(state.lock().unwrap().log.len(), records);
    }
}

// Guards against a set that is altered by the log, and against publishing an unchanged
// set as a new version.
#[test]
fn published_set_is_shown_and_compared() {
    let (address, state) = platform(Platform::default());
    let variables = [("BAMBOOCART_PLATFORM", address.as_str())];
    assert_eq!(run(&["publish", SAMPLE], &variables).0, 0);
    assert_eq!(run(&["publish", SAMPLE], &variables).1["config_version"], 1);
    assert_eq!(state.lock().unwrap().log.len(), 1);
    let (_, shown) = run(&["show"], &variables);
    assert_eq!(shown["config_version"], 1);
    assert_eq!(shown["set"]["service"]["float-yard"]["slots"], 8);
    assert!(run_text(&["show"], &variables).1.contains("[request_kind.release-order]"));
    assert_eq!(run(&["diff", SAMPLE], &variables).1["changes"], json!([]));
    let (_, other) = run_text(&["diff", OTHER], &variables);
    assert!(other.contains("removed service.float-yard\n"), "{other}");
    let (_, local) = run_text(&["diff", "--old", SAMPLE, OTHER], &[]);
    assert_eq!(local, other);
}

/// Starts a fake instance that has version 1 in force from its third status response on.
fn slow_instance(name: &'static str) -> String {
    let mut calls = 0;
    serve(move |_, _, _| {
        calls += 1;
        (200, status(name, u64::from(calls > 2)))
    })
}

// Guards against reporting "in force everywhere" when the list names no instance.
#[test]
fn empty_instance_list_is_no_success() {
    let (address, _) = platform(Platform::default());
    let variables = [("BAMBOOCART_PLATFORM", address.as_str()), ("BAMBOOCART_WAIT", "1")];
    let (exit, result) = run(&["publish", SAMPLE], &variables);
    assert_eq!(exit, 4, "{result:#}");
    assert!(result["spread"]["error"].is_string());
}

// Guards against reporting success while an instance still has an older version. The
// second case takes the 9 s within which a version must be in force everywhere.
#[parameterized(everywhere = { false, 0 }, one_is_behind = { true, 4 })]
fn waiting_names_the_instances_that_are_behind(with_old: bool, exit: i32) {
    let old = serve(|_, _, _| (200, status("old", 0)));
    let mut instances = vec![entry("new", &slow_instance("new"))];
    instances.extend(with_old.then(|| entry("old", &old)));
    let (address, _) = platform(Platform { instances, ..Platform::default() });
    let (code, result) = run(&["publish", "--wait", "--platform", &address, SAMPLE], &[]);
    assert_eq!(code, exit, "{result:#}");
    assert_eq!(result["spread"]["ready"], json!(["new"]));
    let pending = if with_old { json!({ "old": 0 }) } else { json!({}) };
    assert_eq!(result["spread"]["pending"], pending);
}
