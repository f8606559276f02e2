//! Tests of trace contexts and of the file with spans.

use std::fs::File;
use std::time::Duration;

use bamboocart_telemetry::lines::LineSink;
use bamboocart_telemetry::trace::{
    OtlpReporter, SAMPLING_DENOMINATOR, Tracer, format_traceparent, parse_traceparent,
    traceparent_of,
};
use fastrace::collector::SpanContext;
use serde_json::Value;
use yare::parameterized;

const TRACE: &str = "0af7651916cd43dd8448eb211c80319c";

/// Guards against valid headers that break a trace, and malformed ones that are accepted.
#[parameterized(
    sampled = { "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", true },
    unsampled = { "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00", true },
    later_version = { "01-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01-x", true },
    extra_field = { "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01-x", false },
    no_version = { "ff-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", false },
    zero_trace = { "00-00000000000000000000000000000000-b7ad6b7169203331-01", false },
    zero_span = { "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01", false },
    upper_case = { "00-0AF7651916CD43DD8448EB211C80319C-b7ad6b7169203331-01", false },
    sign = { "00-+af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", false },
    short = { "00-0af7651916cd43dd8448eb211c80319-b7ad6b7169203331-01", false },
    empty = { "", false },
)]
fn parses_traceparent(header: &str, valid: bool) {
    let context = parse_traceparent(header);
    assert_eq!(context.is_some(), valid);
    if let Some(context) = context.filter(|_| header.starts_with("00")) {
        assert_eq!(format_traceparent(&context), header);
    }
}

/// Guards against hops that start a new trace or lose the sampling decision.
#[parameterized(recorded = { "01" }, not_recorded = { "00" })]
fn a_hop_continues_the_trace(flags: &str) {
    let parent = format!("00-{TRACE}-b7ad6b7169203331-{flags}");
    let span = Tracer::new(0).start_span("forward", Some(&parent));
    let child = traceparent_of(&span).unwrap();
    assert_ne!(child, parent);
    assert!(child.starts_with(&format!("00-{TRACE}-")), "{child}");
    assert!(child.ends_with(&format!("-{flags}")), "{child}");
}

/// Guards against a sampling rate that samples all traces or none.
#[parameterized(
    none = { 0, 0..=0 },
    half = { 5_000, 400..=600 },
    all = { 10_000, 1_000..=1_000 },
)]
fn new_traces_are_sampled(per_10k: u16, expected: std::ops::RangeInclusive<usize>) {
    assert_eq!(SAMPLING_DENOMINATOR, 10_000);
    let tracer = Tracer::new(per_10k);
    let sampled = (0..1_000)
        .filter_map(|_| SpanContext::from_span(&tracer.start_span("entry", None)))
        .filter(|context| context.sampled)
        .count();
    assert!(expected.contains(&sampled), "{sampled} of 1,000");
}

/// Guards against spans in the file that cannot be linked to their parent.
#[test]
fn spans_are_written_as_otlp_lines() {
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("spans.jsonl");
    let sink = LineSink::start(File::create(&path).unwrap()).unwrap();
    OtlpReporter::new(sink.clone(), "dispatcher", "a1").install();
    let entry = Tracer::new(10_000).start_span("entry", None);
    let header = traceparent_of(&entry).unwrap();
    let forward = Tracer::new(0)
        .start_span("forward", Some(&header))
        .with_property(|| ("customer", "x".repeat(1_000)));
    drop(forward);
    drop(entry);
    fastrace::flush();
    assert!(sink.flush(Duration::from_secs(20)));

    let text = std::fs::read_to_string(&path).unwrap();
    let lines: Vec<Value> =
        text.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
    let resource = &lines[0]["resourceSpans"][0]["resource"]["attributes"];
    assert_eq!(resource[1]["value"]["stringValue"], "a1");
    let find = |name: &str| {
        lines
            .iter()
            .flat_map(|line| {
                line["resourceSpans"][0]["scopeSpans"][0]["spans"].as_array()
            })
            .flatten()
            .find(|span| {
                span["name"] == name && header.contains(span["traceId"].as_str().unwrap())
            })
            .unwrap_or_else(|| panic!("no span {name} in:\n{text}"))
    };
    let (entry, forward) = (find("entry"), find("forward"));
    assert_eq!(forward["parentSpanId"], entry["spanId"]);
    assert_eq!(entry.get("parentSpanId"), None);
    let value = forward["attributes"][0]["value"]["stringValue"].as_str().unwrap();
    assert_eq!(value.len(), 256);
}
