//! Tests of the settings and of the commands that call an instance, which is a fake.

mod fake;

use std::process::Command;

use serde_json::{Value, json};
use yare::parameterized;

use self::fake::{
    Platform, closed_address, entry, platform, run, run_text, serve, status,
};

/// The id of the submissions in these tests.
const ID: &str = "0194f3a0-0000-7000-8000-000000000001";

/// The answer of an instance to a submission.
fn answer(outcome: &str) -> Value {
    json!({
        "submission": ID, "outcome": outcome, "code": "c", "message": "m",
        "results": [], "config_version": 1,
    })
}

// Guards against reporting only the first of several invalid settings.
#[parameterized(
    all_flags = { &["submit", "--platform", "x", "--instance", "localhost",
        "--timeout-ms", "0", "--log-level", "loud", "--deadline-ms", "x"], &[],
        &["--platform", "--instance", "--timeout-ms", "--log-level", "--deadline-ms",
          "--payload", "--customer", "--kind"] },
    environment = { &["drain"], &[("BAMBOOCART_INSTANCE", "x"),
        ("BAMBOOCART_TIMEOUT_MS", "soon")], &["--instance", "--timeout-ms"] },
    missing_platform = { &["publish", "f", "--base", "x"], &[], &["--platform", "--base"] },
    missing_tasks = { &["job", "--tasks", "/no/such/file"], &[],
        &["--instance", "--tasks", "--customer", "--kind"] },
    bad_ids = { &["cancel", "one", "two"], &[], &["--instance", "ID: `one`", "ID: `two`"] },
    bad_source = { &["show", "--from", "memory"], &[], &["--from"] },
    bad_shell = { &["completion", "csh"], &[], &["SHELL"] },
)]
fn all_setting_faults_are_reported_at_once(
    args: &[&str],
    variables: &[(&str, &str)],
    expected: &[&str],
) {
    let (exit, result) = run(args, variables);
    let faults = result["faults"].as_array().unwrap();
    assert_eq!(exit, 1);
    assert_eq!(faults.len(), expected.len(), "{result:#}");
    for expected in expected {
        let named = |fault: &Value| fault.as_str().unwrap().starts_with(expected);
        assert!(faults.iter().any(named), "{expected} in {result:#}");
    }
}

// Guards against an exit code that makes scripts treat a submission which may have run
// as one that did not.
#[parameterized(
    complete = { 200, "complete", 0 },
    refused = { 503, "refused", 6 },
    failed = { 502, "failed", 7 },
    cancelled = { 409, "cancelled", 8 },
    unknown = { 504, "unknown", 9 },
)]
fn exit_code_tells_the_outcome(http: u16, outcome: &'static str, exit: i32) {
    let instance = serve(move |method, path, body| {
        let body: Value = serde_json::from_str(&body).unwrap();
        assert_eq!((method, path), ("POST", "/v1/requests"));
        assert_eq!((&body["submission"], &body["payload"]), (&json!(ID), &json!("p")));
        (http, answer(outcome))
    });
    let args = ["submit", "--submission", ID, "--customer", "c", "--kind", "k"];
    let variables = [("BAMBOOCART_INSTANCE", &*instance), ("BAMBOOCART_PAYLOAD", "p")];
    let (code, result) = run(&args, &variables);
    assert_eq!((code, &result["outcome"]), (exit, &json!(outcome)));
}

// Guards against a lost answer being reported as "not run", or without the id that is
// needed to retry.
#[parameterized(unreadable = { 200 }, server_error = { 502 }, gateway_timeout = { 504 })]
fn lost_answer_is_unknown_and_names_the_id(http: u16) {
    let instance = serve(move |_, _, _| (http, json!("half an answer")));
    let name = format!("tasks-{}-{http}.json", std::process::id());
    let file = std::env::temp_dir().join(name);
    std::fs::write(&file, r#"[{"payload": "p"}]"#).unwrap();
    let tasks = file.to_str().unwrap();
    let args = ["job", "--customer", "c", "--kind", "k", "--tasks", tasks];
    let (exit, result) = run(&args, &[("BAMBOOCART_INSTANCE", &instance)]);
    std::fs::remove_file(&file).unwrap();
    assert_eq!(exit, 9);
    assert!(result["error"].as_str().unwrap().contains("--submission"));
    assert_eq!(result["submission"].as_str().unwrap().len(), ID.len());
}

// Guards against reporting "may have run" although nothing was sent or the path does not
// exist.
#[parameterized(refused_connection = { None }, not_found = { Some(404) })]
fn submission_without_effect_is_not_unknown(http: Option<u16>) {
    let instance = match http {
        Some(http) => serve(move |_, _, _| (http, json!(0))),
        None => closed_address(),
    };
    let args = ["submit", "--customer", "c", "--kind", "k", "--payload", "p"];
    assert_eq!(run(&args, &[("BAMBOOCART_INSTANCE", &instance)]).0, 5);
}

// Guards against a failed cancellation that prevents the remaining ones.
#[test]
fn every_submission_is_cancelled() {
    let mut calls = 0;
    let instance = serve(move |method, path, _| {
        assert_eq!((method, path), ("DELETE", format!("/v1/submissions/{ID}").as_str()));
        calls += 1;
        if calls == 1 { (500, json!(0)) } else { (409, answer("cancelled")) }
    });
    let (exit, result) = run(&["cancel", ID, ID, "--instance", &instance], &[]);
    assert_eq!(exit, 5);
    assert!(result["answers"][0]["error"].is_string());
    assert_eq!(result["answers"][1]["outcome"], "cancelled");
}

// Guards against an unresponsive instance hiding the state of the others.
#[test]
fn status_lists_every_instance() {
    let one = serve(|_, _, _| (200, status("one", 3)));
    let instances = vec![entry("one", &one), entry("two", &closed_address())];
    let (address, _) = platform(Platform { instances, ..Platform::default() });
    let (exit, result) = run(&["status", "--platform", &address], &[]);
    assert_eq!(exit, 5);
    assert_eq!(result["instances"][0]["config_version"], 3);
    assert_eq!(result["silent"], json!(["two"]));
    let (exit, text) = run_text(&["status", "--instance", &one], &[]);
    assert_eq!(exit, 0);
    assert!(text.starts_with("one in a: serving, version 3, 0 of 0 peers"), "{text}");
}

// Guards against commands that call a path which the instance does not serve.
#[parameterized(
    drain = { &["drain"], "POST /v1/drain", json!({ "state": "draining" }), 0 },
    show = { &["show", "--from", "instance"], "GET /v1/config",
        json!({ "config_version": 4, "set": {} }), 0 },
)]
fn command_calls_its_path(args: &[&str], call: &'static str, body: Value, exit: i32) {
    let instance = serve(move |method, path, _| match format!("{method} {path}") {
        seen if seen == call => (200, body.clone()),
        seen => (404, json!(seen)),
    });
    let (code, result) = run(args, &[("BAMBOOCART_INSTANCE", &instance)]);
    assert_eq!(code, exit, "{result:#}");
}

// Guards against reporting an account as verified whose records were only fetched and
// cannot be decoded.
#[test]
fn fetched_account_is_not_called_verified() {
    let log = vec!["a".to_owned(); 5];
    let (address, _) = platform(Platform { log, start: 1, ..Platform::default() });
    let (exit, result) = run(&["account", "verify", "--platform", &address], &[]);
    assert_eq!(exit, 10);
    assert_eq!((&result["records"], &result["start"]), (&json!(4), &json!(1)));
    assert_eq!(result["is_verified"], false);
}

// Guards against a help text without exit codes and variables, and against missing
// completion scripts.
#[test]
fn help_and_completion_are_there() {
    for command in
        ["check", "diff", "publish", "show", "status", "drain", "submit", "job"]
    {
        let (exit, help) = run_text(&[command, "--help"], &[]);
        assert_eq!(exit, 0);
        assert!(help.contains("Exit codes"), "{help}");
        assert!(help.contains("BAMBOOCART_JSON"), "{help}");
    }
    for (value, is_json) in [("1", true), ("0", false), ("maybe", false)] {
        let variables = [("BAMBOOCART_JSON", value)];
        let (exit, text) = run_text(&["completion", "bash"], &variables);
        assert_eq!(text.starts_with('{'), is_json, "{text}");
        assert_eq!(exit, i32::from(value == "maybe"));
    }
    for shell in ["bash", "zsh", "fish", "elvish"] {
        let (exit, script) = run_text(&["completion", shell], &[]);
        assert_eq!(exit, 0);
        assert!(script.contains("bpaf-complete"), "{script}");
    }
}

// Guards against a panic when the reader of the output, such as `head`, has exited.
#[parameterized(
    help = { &["submit", "--help"] },
    completion = { &["completion", "bash"] },
)]
fn closed_output_ends_the_command(args: &[&str]) {
    let (reader, writer) = std::io::pipe().unwrap();
    drop(reader);
    let program = Command::new(env!("CARGO_BIN_EXE_bamboocart"));
    let output = { program }.args(args).stdout(writer).output().unwrap();
    assert_eq!(String::from_utf8_lossy(&output.stderr), "");
}
