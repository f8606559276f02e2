//! A request has one trace through all its hops.

mod support;

use std::fs;

use bamboocart_cli::run;
use serde_json::{Value, json};
use support::{Cluster, ClusterSettings, RECOVERY_TIMEOUT, call, wait_until};
use yare::parameterized;

/// The directory of the span files.
const SPANS_DIR: &str = env!("CARGO_TARGET_TMPDIR");

/// A span and the instance that recorded it.
#[derive(Debug, Clone)]
struct Hop {
    instance: String,
    name: String,
    span_id: String,
    parent_id: String,
    request_id: String,
}

/// Returns the path of the span file of an instance in a case.
fn path(case: &str, name: &str) -> String {
    format!("{SPANS_DIR}/spans-{case}-{name}")
}

/// Reads the spans of a trace from the span file of an instance.
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
                span_id: text(&span["spanId"]),
                parent_id: text(&span["parentSpanId"]),
                request_id: id.map(|it| text(&it["value"]["stringValue"])).unwrap(),
            }
        }));
    }
    hops
}

/// The expected route of a request through the instances.
struct Route {
    /// The name of the case in the paths of its span files.
    case: &'static str,
    /// The number of minions; the first one is used by `i-0`.
    minions: &'static str,
    /// The index of the instance that receives the request; `i-1` has issued the ticket.
    entry: usize,
    /// The spans and the instances that record them, each the child of the previous one.
    hops: &'static [(&'static str, &'static str)],
}

/// Guards against a hop that starts a trace of its own or is not recorded: a request
/// records one span for each hop in a single trace.
#[parameterized(
    forwarded = { Route {
        case: "forwarded",
        minions: "6",
        entry: 0,
        hops: &[("entry", "i-0"), ("owner", "i-1"), ("target", "i-1")],
    } },
    lent = { Route {
        case: "lent",
        minions: "1",
        entry: 1,
        hops: &[("entry", "i-1"), ("lender", "i-0"), ("target", "i-0")],
    } },
    forwarded_and_lent = { Route {
        case: "both",
        minions: "1",
        entry: 2,
        hops: &[
            ("entry", "i-2"), ("owner", "i-1"), ("lender", "i-0"), ("target", "i-0"),
        ],
    } },
)]
fn request_has_one_trace(route: Route) {
    let names = ["i-0", "i-1", "i-2"];
    for name in names {
        // The file of an earlier run, which may not exist.
        let _ = fs::remove_file(path(route.case, name));
    }
    let cluster = Cluster::start(ClusterSettings {
        flags: vec!["--trace-file", path(route.case, "{name}").leak()],
        minions: vec!["--count", route.minions],
        ..Default::default()
    });
    // The owner has no minion of its own in some cases, and refuses requests until a peer
    // has reported free slots to it.
    let mut answer = Value::Null;
    wait_until("a complete answer", RECOVERY_TIMEOUT, || {
        answer = submit(&cluster, route.entry);
        answer["code"] == "complete"
    });
    assert_eq!(answer["owner"], "i-1");
    let trace = answer["trace_id"].as_str().unwrap();
    let all = || {
        let hops = names.iter().flat_map(|name| hops(route.case, name, trace));
        hops.collect::<Vec<_>>()
    };
    let find = |all: &[Hop], (name, instance): (&str, &str)| {
        let mut hops = all.iter().filter(|hop| hop.name == name);
        hops.find(|hop| hop.instance == instance).cloned()
    };
    wait_until("the spans of the trace", RECOVERY_TIMEOUT, || {
        let all = all();
        route.hops.iter().all(|&hop| find(&all, hop).is_some())
    });
    let all = all();
    assert!(all.iter().all(|hop| hop.request_id == answer["submission"]), "{all:?}");
    let mut parent: Option<Hop> = None;
    for &hop in route.hops {
        let hop = find(&all, hop).unwrap();
        // The caller has a span, which is the first parent and is not recorded.
        assert_eq!(hop.parent_id.len(), 16, "{all:?}");
        assert!(parent.is_none_or(|it| it.span_id == hop.parent_id), "{all:?}");
        parent = Some(hop);
    }
    // A peer whose reported free slots were outdated rejects an offer, which is a hop
    // too.
    let others = all.iter().filter(|hop| {
        let name_and_instance = (hop.name.as_str(), hop.instance.as_str());
        !route.hops.contains(&name_and_instance)
    });
    let others: Vec<&Hop> = others.collect();
    let is_rejected_offer = |hop: &&Hop| {
        hop.name == "lender" && all.iter().all(|other| other.parent_id != hop.span_id)
    };
    assert!(others.iter().all(is_rejected_offer), "{all:?}");
    assert_eq!(
        all.len(),
        route.hops.len() + others.len(),
        "a hop has two spans: {all:?}"
    );
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
