//! The metrics page shows what an instance did.

mod support;

use std::net::SocketAddr;

use bamboocart_telemetry::metrics::METRICS;
use serde_json::{Value, json};
use support::{
    Cluster, ClusterSettings, RECOVERY_TIMEOUT, base_config, call, publish,
    wait_for_keys, wait_until,
};

/// A sample of the page: the series (name and labels as written) and its value.
type Sample = (String, f64);

/// Reads the samples on the metrics page of an instance.
fn scrape(address: SocketAddr) -> Vec<Sample> {
    let page = ureq::get(format!("http://{address}/metrics")).call().unwrap();
    let page = page.into_body().read_to_string().unwrap();
    let lines = page.lines().filter(|line| !line.is_empty() && !line.starts_with('#'));
    let sample = |line: &str| {
        let (series, value) = line.rsplit_once(' ').unwrap();
        (series.to_owned(), value.parse().unwrap())
    };
    lines.map(sample).collect()
}

/// Returns the sum of the samples whose series start with a prefix, if there are any.
fn sum(page: &[Sample], series: &str) -> Option<f64> {
    let found = page.iter().filter(|(name, _)| name.starts_with(series));
    found.map(|(_, value)| *value).reduce(|a, b| a + b)
}

/// Returns whether a page has a sample of a metric, which may be a histogram.
fn has_sample(page: &[Sample], metric: &str) -> bool {
    page.iter().any(|(series, _)| {
        let rest = series.strip_prefix(metric);
        rest.is_some_and(|it| ["", "{", "_count"].iter().any(|end| it.starts_with(end)))
    })
}

/// Sends a request and returns the code of its answer.
fn request(address: SocketAddr, (customer, kind): (&str, &str), run_ms: u64) -> Value {
    let payload = json!({ "run_ms": run_ms }).to_string();
    let body = json!({ "customer": customer, "kind": kind, "payload": payload });
    call("POST", address, "/v1/requests", &body).1["code"].clone()
}

/// A metric that has no sample before a fault or rare event, and how to cause the event.
struct ProvokedMetric {
    /// The name of the metric.
    metric: &'static str,
    /// Causes the event.
    provoke: fn(&Cluster),
    /// The series that the event increases, and by how much at least.
    min_increase: (&'static str, f64),
}

/// All metrics that have no sample after a run without faults.
const PROVOKED_METRICS: [ProvokedMetric; 4] = [
    ProvokedMetric {
        metric: "bamboocart_config_delay_seconds",
        provoke: publish_again,
        min_increase: ("bamboocart_config_delay_seconds_count", 1.0),
    },
    ProvokedMetric {
        metric: "bamboocart_hedges_total",
        provoke: hedge_a_straggler,
        min_increase: ("bamboocart_hedges_total{kind=\"tag-lookup\",won=\"", 1.0),
    },
    ProvokedMetric {
        metric: "bamboocart_retries_total",
        provoke: refuse_connections,
        min_increase: (
            "bamboocart_retries_total{kind=\"bay-check\",cause=\"not-sent\"}",
            1.0,
        ),
    },
    // Has a sample of 0 from the start; the refused connections above also cause an
    // ejection.
    ProvokedMetric {
        metric: "bamboocart_ejections_total",
        provoke: |_| {},
        min_increase: ("bamboocart_ejections_total{group=\"minions\"}", 1.0),
    },
];

/// Publishes another configuration while the instances run.
fn publish_again(cluster: &Cluster) {
    let mut set = base_config();
    set.quota.values_mut().for_each(|quota| quota.weight += 1);
    publish(cluster.platform.address(), &set);
}

/// Runs short requests until run times are known and a hedge is allowed, then a long one.
fn hedge_a_straggler(cluster: &Cluster) {
    let address = cluster.instances[0].address;
    for run_ms in [[5; 50].as_slice(), &[400]].concat() {
        assert_eq!(request(address, ("float-storage", "tag-lookup"), run_ms), "complete");
    }
}

/// Makes one of the instance's two minions refuse connections while a job needs both.
fn refuse_connections(cluster: &Cluster) {
    cluster.set_target_faults(&json!({ "targets": ["minion-0"], "refuse": true }));
    let address = cluster.instances[0].address;
    let task = json!({ "payload": "{\"run_ms\":20}", "cpus": 1, "memory_mb": 64 });
    let tasks = vec![task; 64];
    let job = json!({ "customer": "float-storage", "kind": "bay-check", "tasks": tasks });
    wait_until("an ejection", RECOVERY_TIMEOUT, || {
        call("POST", address, "/v1/jobs", &job);
        let page = scrape(address);
        sum(&page, "bamboocart_ejections_total{group=\"minions\"}") > Some(0.0)
    });
    cluster.set_target_faults(&json!({ "targets": ["minion-0"], "refuse": false }));
}

/// Guards against a metric that is documented but never set, so that an alert on it never
/// fires, and against values that do not match what happened.
#[test]
fn every_metric_has_a_sample() {
    let cluster = Cluster::start(ClusterSettings::default());
    wait_for_keys(&cluster);
    let address = cluster.instances[0].address;
    let at_start = scrape(address);
    for _ in 0..8 {
        let release_order = ("float-storage", "release-order");
        assert_eq!(request(address, release_order, 5), "complete");
    }
    assert_eq!(request(address, ("float-storage", "haul-plan"), 5), "complete");
    assert_eq!(request(address, ("nobody", "bay-check"), 5), "unknown-customer");
    assert_eq!(request(address, ("float-storage", "no-kind"), 5), "unknown-kind");
    assert_eq!(call("POST", address, "/v1/requests", &json!({ "a": 1 })).0, 400);

    let page = scrape(address);
    let has = |metric: &str| has_sample(&page, metric);
    let missing = METRICS.iter().map(|metric| metric.name).filter(|name| !has(name));
    let expected = PROVOKED_METRICS.iter().map(|it| it.metric).filter(|name| !has(name));
    let (mut missing, mut expected) = (Vec::from_iter(missing), Vec::from_iter(expected));
    missing.sort_unstable();
    expected.sort_unstable();
    assert_eq!(missing, expected, "metrics without a sample");

    let release = "kind=\"release-order\",customer=\"float-storage\"";
    let answers = "bamboocart_answers_total";
    let rows = [
        (format!("{answers}{{{release},outcome=\"complete\",code=\"complete\"}}"), 8.0),
        (
            format!(
                "{answers}{{kind=\"bay-check\",customer=\"unknown\",outcome=\"refused\",\
                 code=\"unknown-customer\"}}"
            ),
            1.0,
        ),
        (
            format!(
                "{answers}{{kind=\"unknown\",customer=\"float-storage\",\
                 outcome=\"refused\",code=\"unknown-kind\"}}"
            ),
            1.0,
        ),
        (
            format!(
                "{answers}{{kind=\"unknown\",customer=\"unknown\",outcome=\"refused\",\
                 code=\"malformed\"}}"
            ),
            1.0,
        ),
        ("bamboocart_starts_total{group=\"minions\",reason=\"order\"}".into(), 8.0),
        ("bamboocart_starts_total{group=\"workers\",reason=\"order\"}".into(), 1.0),
        (
            "bamboocart_queue_wait_seconds_count{group=\"minions\",priority=\"release\"}"
                .into(),
            8.0,
        ),
        ("bamboocart_registry_submissions".into(), 9.0),
        ("bamboocart_in_flight_tasks{customer=\"float-storage\"}".into(), 0.0),
        ("bamboocart_leases_held".into(), 1.0),
        ("bamboocart_account_dropped_total".into(), 0.0),
        ("bamboocart_link_cuts_total".into(), 0.0),
    ];
    for (series, increase) in rows {
        let before = sum(&at_start, &series).unwrap_or_default();
        let is_gauge = ["leases_held", "in_flight"].iter().any(|it| series.contains(it));
        let expected = if is_gauge { increase } else { before + increase };
        assert_eq!(sum(&page, &series), Some(expected), "{series}");
    }
    for series in [
        "bamboocart_log_calls_total{operation=\"append\",result=\"ok\"}",
        "bamboocart_log_calls_total{operation=\"read\",result=\"ok\"}",
        "bamboocart_link_messages_total{delivery=\"acknowledged\"}",
        "bamboocart_claim_ahead_seconds",
    ] {
        assert!(sum(&page, series) > Some(0.0), "{series} in {page:?}");
    }

    for ProvokedMetric { metric, provoke, min_increase: (series, increase) } in
        PROVOKED_METRICS
    {
        let before = sum(&page, series).unwrap_or_default();
        provoke(&cluster);
        wait_until(metric, RECOVERY_TIMEOUT, || {
            sum(&scrape(address), series).is_some_and(|now| now >= before + increase)
        });
    }
}
