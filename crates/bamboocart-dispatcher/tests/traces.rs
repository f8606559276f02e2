//! A request has one trace through all its hops.

mod support;

use std::fs;

use bamboocart_cli::run;
use serde_json::{Value, json};
use support::{Cluster, ClusterSettings, RECOVERY, call, wait_until};

/// The directory of the spans.
const SPANS: &str = env!("CARGO_TARGET_TMPDIR");

/// A span and the instance that recorded it.
#[derive(Debug, Clone)]
struct Hop {
    instance: String,
    name: String,
    span: String,
    parent: String,
    request_id: String,
}

/// Returns the path of an instance's spans.
fn path(name: &str) -> String {
    format!("{SPANS}/spans-{name}")
}

/// Reads the spans of a trace from the file of an instance.
fn hops(instance: &str, trace: &str) -> Vec<Hop> {
    let text = fs::read_to_string(path(instance)).unwrap();
    let complete = text.rsplit_once('\n').map_or("", |(lines, _)| lines);
    let lines = complete.lines().map(|line| serde_json::from_str::<Value>(line).unwrap());
    let mut hops = Vec::new();
    for line in lines {
        let resource = &line["resourceSpans"][0];
        let identity = &resource["resource"]["attributes"][1]["value"]["stringValue"];
        assert_eq!(identity, instance);
        let spans = resource["scopeSpans"][0]["spans"].as_array().unwrap().iter();
        hops.extend(spans.filter(|span| span["traceId"] == trace).map(|span| {
            let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
            let mut attributes = span["attributes"].as_array().unwrap().iter();
            let id = attributes.find(|pair| pair["key"] == "request_id");
            Hop {
                instance: instance.into(),
                name: text(&span["name"]),
                span: text(&span["spanId"]),
                parent: text(&span["parentSpanId"]),
                request_id: id.map(|it| text(&it["value"]["stringValue"])).unwrap(),
            }
        }));
    }
    hops
}

/// Guards against a hop that starts a trace of its own or is not recorded: a request
/// that its entry instance forwards has the spans entry, owner and target in one trace,
/// each the child of the one before.
#[test]
fn forwarded_request_has_one_trace() {
    let names = ["i-0", "i-1", "i-2"];
    for name in names {
        // The file of an earlier run, which may not be there.
        let _ = fs::remove_file(path(name));
    }
    let flags =
        vec!["--trace-file", concat!(env!("CARGO_TARGET_TMPDIR"), "/spans-{name}")];
    let cluster = Cluster::start(ClusterSettings { flags, ..Default::default() });
    let entry = cluster.instances[0].address.to_string();
    // The owner of a ticket is the instance that issued it, and others forward.
    let (_, body) =
        call("POST", cluster.instances[1].address, "/v1/tickets", &json!({ "count": 1 }));
    let ticket = body["tickets"][0].as_str().unwrap();
    let report = run(&[
        "submit",
        "--instance",
        &entry,
        "--customer",
        "float-storage",
        "--kind",
        "release-order",
        "--payload",
        r#"{"run_ms":1}"#,
        "--submission",
        ticket,
    ]);
    let answer = report.unwrap().json;
    assert_eq!((&answer["code"], &answer["owner"]), (&json!("complete"), &json!("i-1")));
    let trace = answer["trace_id"].as_str().unwrap();
    let all = || names.iter().flat_map(|name| hops(name, trace)).collect::<Vec<_>>();
    wait_until("the spans of the trace", RECOVERY, || all().len() >= 3);
    let all = all();
    let find = |name: &str| all.iter().find(|hop| hop.name == name).unwrap().clone();
    let (entry, owner, target) = (find("entry"), find("owner"), find("target"));
    assert_eq!(all.len(), 3, "{all:?}");
    assert_eq!((&*entry.instance, &*owner.instance), ("i-0", "i-1"));
    assert_eq!((&owner.parent, &target.parent), (&entry.span, &owner.span));
    assert!(all.iter().all(|hop| hop.request_id == answer["submission"]), "{all:?}");
}
