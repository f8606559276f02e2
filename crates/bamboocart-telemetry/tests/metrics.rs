//! The page of metrics.

use std::collections::HashSet;

use bamboocart_telemetry::metrics::{
    AnswerCost, METRICS, MetricKind, describe, record_answer, recorder,
};

/// Guards against a page without the measures that customers judge the system by.
#[test]
fn the_page_shows_both_measures_by_kind_and_customer() {
    let recorder = recorder().unwrap();
    let page = recorder.handle();
    let cost = AnswerCost {
        response_us: 150_000,
        ideal_us: 100_000,
        messages_sent: 6,
        messages_needed: 4,
    };
    metrics::with_local_recorder(&recorder, || {
        describe();
        record_answer("exam-slot", "thai", cost);
    });
    let page = page.render();
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

/// Guards against two metrics under one name and against names that break conventions.
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
