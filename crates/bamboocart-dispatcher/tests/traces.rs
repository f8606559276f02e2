//! A request has one trace through all its hops.

mod support;

use std::fs;

use bamboocart_cli::run;
use serde_json::{Value, json};
use support::{Cluster, ClusterSettings, RECOVERY_TIMEOUT, call, wait_until};
use yare::parameterized;

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

/// Returns the path of an instance's spans in a case.
fn path(case: &str, name: &str) -> String {
    format!("{SPANS}/spans-{case}-{name}")
}

/// Reads the spans of a trace from the file of an instance.
fn hops(case: &str, instance: &str, trace: &str) -> Vec<Hop> {
    let text = fs::read_to_string(path(case, instance)).unwrap();
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

/// A ticket's way through the instances.
struct Way {
    /// The name of the case, for the files of its spans.
    case: &'static str,
    /// The number of minions, of which the first one is used by `i-0`.
    minions: &'static str,
    /// The instance that gets the request; `i-1` has issued the ticket.
    entry: usize,
    /// The spans and where they are recorded, each the child of the one before.
    hops: &'static [(&'static str, &'static str)],
}

/// Guards against a hop that starts a trace of its own or is not recorded: a request
/// leaves one span for each hop in one trace.
#[parameterized(
    forwarded = { Way {
        case: "forwarded",
        minions: "6",
        entry: 0,
        hops: &[("entry", "i-0"), ("owner", "i-1"), ("target", "i-1")],
    } },
    lent = { Way {
        case: "lent",
        minions: "1",
        entry: 1,
        hops: &[("entry", "i-1"), ("lender", "i-0"), ("target", "i-0")],
    } },
    forwarded_and_lent = { Way {
        case: "both",
        minions: "1",
        entry: 2,
        hops: &[
            ("entry", "i-2"), ("owner", "i-1"), ("lender", "i-0"), ("target", "i-0"),
        ],
    } },
)]
fn request_has_one_trace(way: Way) {
    let names = ["i-0", "i-1", "i-2"];
    for name in names {
        // The file of an earlier run, which may not be there.
        let _ = fs::remove_file(path(way.case, name));
    }
    let cluster = Cluster::start(ClusterSettings {
        flags: vec!["--trace-file", path(way.case, "{name}").leak()],
        minions: vec!["--count", way.minions],
        ..Default::default()
    });
    // The owner has no minion of its own in some cases, and refuses until a peer has told
    // it about free slots.
    let mut answer = Value::Null;
    wait_until("a complete answer", RECOVERY_TIMEOUT, || {
        answer = submit(&cluster, way.entry);
        answer["code"] == "complete"
    });
    assert_eq!(answer["owner"], "i-1");
    let trace = answer["trace_id"].as_str().unwrap();
    let all = || {
        let hops = names.iter().flat_map(|name| hops(way.case, name, trace));
        hops.collect::<Vec<_>>()
    };
    let find = |all: &[Hop], (name, instance): (&str, &str)| {
        let mut hops = all.iter().filter(|hop| hop.name == name);
        hops.find(|hop| hop.instance == instance).cloned()
    };
    wait_until("the spans of the trace", RECOVERY_TIMEOUT, || {
        let all = all();
        way.hops.iter().all(|&hop| find(&all, hop).is_some())
    });
    let all = all();
    assert!(all.iter().all(|hop| hop.request_id == answer["submission"]), "{all:?}");
    let mut parent: Option<Hop> = None;
    for &hop in way.hops {
        let hop = find(&all, hop).unwrap();
        // The caller has a span, which it does not record.
        assert_eq!(hop.parent.len(), 16, "{all:?}");
        assert!(parent.is_none_or(|it| it.span == hop.parent), "{all:?}");
        parent = Some(hop);
    }
    // A peer whose free slots were out of date bounces an offer, which is a hop as well.
    let others = all.iter().filter(|hop| {
        let place = (hop.name.as_str(), hop.instance.as_str());
        !way.hops.contains(&place)
    });
    let others: Vec<&Hop> = others.collect();
    let bounced = |hop: &&Hop| {
        hop.name == "lender" && all.iter().all(|other| other.parent != hop.span)
    };
    assert!(others.iter().all(bounced), "{all:?}");
    assert_eq!(all.len(), way.hops.len() + others.len(), "a hop has two spans: {all:?}");
}

/// Submits a request under a fresh ticket of `i-1` and returns the answer.
fn submit(cluster: &Cluster, entry: usize) -> Value {
    let count = json!({ "count": 1 });
    let (_, body) = call("POST", cluster.instances[1].address, "/v1/tickets", &count);
    let ticket = body["tickets"][0].as_str().unwrap();
    let entry = cluster.instances[entry].address.to_string();
    let to = ["submit", "--instance", &entry, "--submission", ticket];
    let what = ["--customer", "float-storage", "--kind", "release-order"];
    let payload = ["--payload", r#"{"run_ms":1}"#];
    run(&[&to[..], &what, &payload].concat()).unwrap().json
}
