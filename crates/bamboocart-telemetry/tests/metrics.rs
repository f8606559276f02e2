//! Tests of the metrics page.

use std::collections::HashSet;

use bamboocart_telemetry::metrics::{
    AnswerCost, CONFIG_VERSION, KIND_LABEL, METRICS, MetricKind, RESPONSE_SECONDS,
    record_answer,
};
use bamboocart_telemetry::recorder::PageRecorder;

/// Guards against a page that lacks the response time or the messages relative to the
/// ideal, the measures by which customers assess the system.
#[test]
fn the_page_shows_both_measures_by_kind_and_customer() {
    let recorder = PageRecorder::new(METRICS);
    let cost = AnswerCost {
        response_us: 150_000,
        ideal_us: 100_000,
        messages_sent: 6,
        messages_needed: 4,
    };
    metrics::with_local_recorder(&recorder, || {
        record_answer("exam-slot", "thai", cost);
    });
    let page = recorder.render();
    for (name, bucket, value) in [
        ("response_time_over_ideal_sum", "", "1.5"),
        ("messages_over_needed_bucket", r#",le="1.35""#, "0"),
        ("messages_over_needed_bucket", r#",le="1.5""#, "1"),
        ("messages_sent_total", "", "6"),
        ("messages_needed_total", "", "4"),
    ] {
        let labels = format!(r#"kind="exam-slot",customer="thai"{bucket}"#);
        let line = format!("bamboocart_{name}{{{labels}}} {value}");
        assert!(page.lines().any(|found| found == line), "no `{line}` in:\n{page}");
    }
}

/// Guards against two metrics with one name and against names that break the conventions
/// of Prometheus.
#[test]
fn names_are_unique_and_conventional() {
    let mut seen = HashSet::new();
    for metric in METRICS {
        assert!(seen.insert(metric.name), "{} is defined twice", metric.name);
        assert!(metric.name.starts_with("bamboocart_"), "{}", metric.name);
        let is_counter = metric.kind == MetricKind::Counter;
        assert_eq!(metric.name.ends_with("_total"), is_counter, "{}", metric.name);
    }
}

/// Guards against a page that a parser of the text format rejects: a histogram without
/// its last bucket, unescaped quotes in labels, or a value without a description.
#[test]
fn the_page_has_the_text_format() {
    let recorder = PageRecorder::new(METRICS);
    metrics::with_local_recorder(&recorder, || {
        metrics::histogram!(RESPONSE_SECONDS, KIND_LABEL => "a\"b").record(0.04);
        metrics::histogram!(RESPONSE_SECONDS, KIND_LABEL => "a\"b").record(99.0);
        metrics::gauge!(CONFIG_VERSION).set(7.0);
    });
    let page = recorder.render();
    for line in [
        "# TYPE bamboocart_response_seconds histogram",
        r#"bamboocart_response_seconds_bucket{kind="a\"b",le="0.03"} 0"#,
        r#"bamboocart_response_seconds_bucket{kind="a\"b",le="0.05"} 1"#,
        r#"bamboocart_response_seconds_bucket{kind="a\"b",le="+Inf"} 2"#,
        r#"bamboocart_response_seconds_sum{kind="a\"b"} 99.04"#,
        r#"bamboocart_response_seconds_count{kind="a\"b"} 2"#,
        "# TYPE bamboocart_config_version gauge",
        "bamboocart_config_version 7",
    ] {
        assert!(page.lines().any(|found| found == line), "no `{line}` in:\n{page}");
    }
}
