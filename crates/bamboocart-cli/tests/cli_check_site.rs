//! Tests of the command `check-site`.

mod fake;

use std::fs;
use std::path::PathBuf;

use serde_json::{Value, json};
use yare::parameterized;

use self::fake::run_text;

/// Returns a valid configuration with two queues.
fn valid() -> Value {
    json!({
        "version": 7,
        "routes": [
            { "name": "r-1", "host": "a.example", "path_prefix": "/q/", "service": "s",
              "priority": 0, "max_attempts": 2, "slack_factor": 1.6,
              "target_latency_ms": 60 },
            { "name": "r-2", "host": "a.example", "path_prefix": "/q/long/",
              "service": "s", "priority": 2, "max_attempts": 4, "slack_factor": 1.6,
              "target_latency_ms": 60 },
        ],
        "services": [{ "name": "s", "admission_check": true }],
        "limits": { "max_body_bytes": 262144 },
    })
}

/// Writes a configuration and returns its path.
fn file(name: &str, bytes: &[u8]) -> String {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("check-site");
    fs::create_dir_all(&folder).unwrap();
    let path = folder.join(format!("{name}.json"));
    fs::write(&path, bytes).unwrap();
    path.display().to_string()
}

/// Guards against findings in a configuration that is as it should be.
#[test]
fn a_valid_configuration_has_no_findings() {
    let path = file("valid", valid().to_string().as_bytes());
    let (code, text) = run_text(&["check-site", &path], &[]);
    assert_eq!(code, 0, "{text}");
    assert!(text.starts_with("no faults: 2 queues, 1 services"), "{text}");
}

/// Guards against mistakes that are found one at a time, twice, or not at all.
#[test]
fn all_mistakes_are_found_in_one_run() {
    let mut config = valid();
    let route = |name: &str, changes: Value| {
        let mut route = json!({
            "name": name, "host": format!("{name}.example"), "path_prefix": "/",
            "service": "s", "max_attempts": 1, "slack_factor": 1.6,
        });
        for (key, value) in changes.as_object().unwrap() {
            route[key] = value.clone();
        }
        route
    };
    config["routes"] = json!([
        route("hidden", json!({ "host": "b.example", "path_prefix": "/x/" })),
        route("hiding", json!({ "host": "B.example", "path_prefix": "/x/" })),
        route("twin", json!({ "host": "c.example" })),
        route("twin", json!({ "host": "d.example" })),
        route("astray", json!({ "service": "nowhere" })),
        route("port", json!({ "host": "e.example:80" })),
        route("relative", json!({ "path_prefix": "x/" })),
        route("hopeless", json!({ "max_attempts": 0 })),
        route("negative", json!({ "slack_factor": -1.0 })),
        route("nothing", json!({ "slack_factor": 0.0 })),
        route("tight", json!({ "slack_factor": 0.5, "target_latency_ms": 60 })),
        route("ticket", json!({ "advice": { "decision_ms": 5, "validity_ms": 50 } })),
    ]);
    config["services"] = json!([{ "name": "s" }, { "name": "s" }, { "name": "unused" }]);
    config["limits"] = json!({ "max_body_bytes": 0, "idle_timeout_ms": 100 });
    let path = file("mistakes", config.to_string().as_bytes());
    let (code, text) = run_text(&["check-site", &path], &[]);
    assert_eq!(code, 2, "{text}");
    for mistake in [
        "queue `hidden` (no. 1): queue `hiding` has the same host and prefix",
        "queue `twin` (no. 4): an earlier queue has this name",
        "queue `astray` (no. 5): there is no service `nowhere`",
        "queue `port` (no. 6): no request has the host `e.example:80`",
        "queue `relative` (no. 7): no path begins with `x/`",
        "queue `hopeless` (no. 8): jobs have no attempt",
        "queue `negative` (no. 9): the slack factor -1 gives no objective",
        "queue `nothing` (no. 10): the objective of every job is 0 ms",
        "queue `tight` (no. 11): with the slack factor 0.5, jobs of more than 120 ms",
        "queue `ticket` (no. 12): tickets are valid for 50 ms only",
        "service `s` (no. 2): an earlier service has this name",
        "service `unused` (no. 3): no queue uses it",
        "limits: with `max_body_bytes` 0, no request is accepted",
        "limits: connections are closed as idle before",
    ] {
        assert_eq!(text.matches(mistake).count(), 1, "{mistake}: {text}");
    }
    assert_eq!(text.lines().count(), 14, "{text}");
}

/// A change of the valid configuration, and what is said about it.
struct Change {
    pointer: &'static str,
    value: Value,
    said: &'static str,
}

/// Guards against differences that are missed, or told without their effect.
#[parameterized(
    version = { Change {
        pointer: "/version", value: json!(9), said: "version: 7 becomes 9",
    } },
    lower_version = { Change {
        pointer: "/version", value: json!(6),
        said: "version: 7 becomes 6; it takes no effect, since the version has to rise",
    } },
    priority = { Change {
        pointer: "/routes/0/priority", value: json!(3),
        said: "queue `r-1`: priority 0 becomes 3",
    } },
    address = { Change {
        pointer: "/routes/1/path_prefix", value: json!("/z/"),
        said: "queue `r-2`: address a.example/q/long/ becomes a.example/z/",
    } },
    renamed = { Change {
        pointer: "/routes/1/name", value: json!("r-3"),
        said: "queue `r-2`: removed; new requests get 404, and its open jobs go on\n\
               queue `r-3`: added for a.example/q/long/ on service `s`",
    } },
    admission = { Change {
        pointer: "/services/0/admission_check", value: json!(false),
        said: "service `s`: admission check true becomes false",
    } },
    same_meaning = { Change {
        pointer: "/routes/0/host", value: json!("A.Example"),
        said: "equal to the configuration in force",
    } },
)]
fn differences_are_told(change: Change) {
    let before = valid();
    let mut after = before.clone();
    *after.pointer_mut(change.pointer).unwrap() = change.value;
    let name = change.pointer.replace('/', "-") + &after["version"].to_string();
    let in_force = file(&format!("before{name}"), before.to_string().as_bytes());
    let next = file(&format!("after{name}"), after.to_string().as_bytes());
    let (code, text) = run_text(&["check-site", "--in-force", &in_force, &next], &[]);
    assert_eq!(code, 0, "{text}");
    let said: Vec<&str> = text.lines().skip(1).collect();
    assert_eq!(said.join("\n").trim_end(), change.said, "{text}");
}

/// Guards against a program that ends without a message, or with one that tells neither
/// position nor remedy, on bytes that are no configuration.
#[parameterized(
    empty = { b"" },
    no_json = { b"version=1" },
    wrong_type = { b"{\"version\":\"one\"}" },
    nested = { &[b'['; 100_000] },
    not_text = { b"\xff\xfe\x00" },
)]
fn bytes_that_are_no_configuration_are_refused(bytes: &[u8]) {
    let path = file(&format!("bytes-{}", bytes.len()), bytes);
    let (code, text) = run_text(&["check-site", &path], &[]);
    assert_eq!(code, 2, "{text}");
    assert!(text.contains("line") && text.contains("publish a valid one"), "{text}");
}
