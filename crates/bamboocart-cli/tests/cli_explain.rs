//! Tests of the command `explain`.

mod fake;

use std::fs;
use std::io::Write;
use std::path::PathBuf;
use std::process::{Command, Stdio};

use yare::parameterized;

use self::fake::run_text;

const ID: &str = "7142b572b947d251";

/// Lines of the instance that accepted a job, one of another job and one without JSON.
const OWNER: &str = r#"{"message":"instance starts","instance":"sahab-1","time":"2026-12-04T10:00:00.000000Z"}
{"message":"job accepted","request_id":"7142b572b947d251","tasks":2,"time":"2026-12-04T10:00:01.000000Z"}
{"message":"task placed","request_id":"7142b572b947d251","run":"7142b572b947d251.0.0.0","minion":"m-3","time":"2026-12-04T10:00:01.001000Z"}
{"message":"task placed","request_id":"0000000000000001","time":"2026-12-04T10:00:01.002000Z"}
not a line of a log about 7142b572b947d251
{"message":"job ended","request_id":"7142b572b947d251","why":"all tasks are done","answer":"Some(Ended(Completed))","done":2,"tasks":2,"age_ms":126,"time":"2026-12-04T10:00:01.127000Z"}
"#;

/// A line of the instance that holds the minion of a task of that job.
const HOLDER: &str = r#"{"message":"start not taken","run":"7142b572b947d251.0.0.1","minion":"m-9","answer":"NoRoom","time":"2026-12-04T10:00:01.050000Z"}
"#;

/// Writes a log and returns its path.
fn log(name: &str, text: &str) -> String {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("explain");
    fs::create_dir_all(&folder).unwrap();
    let path = folder.join(format!("{name}.log"));
    fs::write(&path, text).unwrap();
    path.display().to_string()
}

/// Guards against lines that are out of order, missing or about other requests.
#[test]
fn lines_are_in_order_across_instances() {
    let files = [log("marka-2", HOLDER), log("sahab-1", OWNER)];
    let (code, text) = run_text(&["explain", ID, &files[0], &files[1]], &[]);
    assert_eq!(code, 0, "{text}");
    let lines: Vec<&str> = text.lines().collect();
    for (line, parts) in lines.iter().zip([
        ["sahab-1", "job accepted", "tasks=2"],
        ["sahab-1", "task placed", "minion=m-3"],
        ["marka-2", "start not taken", "answer=NoRoom"],
        ["sahab-1", "job ended", "why=all tasks are done"],
        ["accepted 1, placed 1", "sahab-1 ended it after 126 ms", "2 of 2 tasks done"],
    ]) {
        assert!(parts.iter().all(|part| line.contains(part)), "{parts:?} in `{line}`");
    }
    assert_eq!(lines.len(), 5, "{text}");
}

/// Lines about the evacuation of a failure domain, from before, during and after the job.
const OPERATOR: &str = r#"{"target":"operator","message":"evacuation in force","failure_domain":"marka","offset":3,"time":"2026-12-04T09:00:00.000000Z"}
{"target":"operator","message":"failure domain taken back","failure_domain":"marka","offset":4,"time":"2026-12-04T09:30:00.000000Z"}
{"target":"operator","message":"evacuation in force","failure_domain":"qastal","offset":5,"time":"2026-12-04T09:40:00.000000Z"}
{"target":"operator","message":"evacuation in force","failure_domain":"marka","offset":6,"time":"2026-12-04T10:00:01.060000Z"}
{"target":"operator","message":"failure domain taken back","failure_domain":"marka","offset":7,"time":"2026-12-04T11:00:00.000000Z"}
"#;

/// Guards against an evacuation that explains where tasks were placed and isn't shown.
#[test]
fn evacuations_during_the_job_are_shown() {
    let files = [log("marka-3", OPERATOR), log("sahab-2", OWNER)];
    let (code, text) = run_text(&["explain", ID, &files[0], &files[1]], &[]);
    assert_eq!(code, 0, "{text}");
    let shown: Vec<&str> =
        text.lines().filter(|line| line.contains("failure_domain")).collect();
    assert_eq!(shown.len(), 3, "{text}");
    for (line, parts) in shown.iter().zip([
        ["taken back", "marka", "offset=4"],
        ["evacuation in force", "qastal", "offset=5"],
        ["evacuation in force", "marka", "offset=6"],
    ]) {
        assert!(parts.iter().all(|part| line.contains(part)), "{parts:?} in `{line}`");
    }
}

/// Guards against attributing all lines of one stream to one instance although each has
/// the name of its instance as a prefix.
#[test]
fn standard_input_may_mix_instances() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_bamboocart"))
        .args(["explain", ID])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let prefix = |name: &str, text: &str| -> String {
        text.lines().map(|line| format!("  1.5 {name} {line}\n")).collect()
    };
    let text = prefix("sahab-1", OWNER) + &prefix("marka-2", HOLDER);
    child.stdin.take().unwrap().write_all(text.as_bytes()).unwrap();
    let output = child.wait_with_output().unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.success(), "{text}");
    let holder = text.lines().find(|line| line.contains("start not taken")).unwrap();
    assert!(holder.contains("marka-2"), "{holder}");
}

/// Guards against reporting success when no line matches or a file is missing.
#[parameterized(
    unknown_id = { "0000000000000009", true, 5, "no line names" },
    missing_file = { ID, false, 1, "cannot read the log" },
)]
fn errors_are_reported(id: &str, exists: bool, code: i32, message: &str) {
    let path = if exists { log("sahab-2", OWNER) } else { "/no/such/file".into() };
    let (found, text) = run_text(&["explain", id, &path], &[]);
    assert_eq!(found, code, "{text}");
    assert!(text.contains(message), "{text}");
}
