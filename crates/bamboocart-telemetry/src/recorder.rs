//! A metrics recorder that renders a page in the text format of Prometheus.
//!
//! The usual exporter calibrates a clock against the processor's when it is created. That
//! takes up to 200 ms, during which a small instance serves no requests. This recorder
//! needs neither a clock nor periodic upkeep.

use std::collections::BTreeMap;
use std::fmt::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use metrics::{
    Counter, Gauge, GaugeFn, Histogram, HistogramFn, Key, KeyName, Label, Metadata,
    Recorder, SharedString, Unit,
};
use metrics_util::registry::{Registry, Storage};

use crate::metrics::{Metric, MetricKind};

/// The upper bounds of the buckets for ratios to an ideal, which are at least 1.
const RATIO_BOUNDS: &[f64] =
    &[1.0, 1.05, 1.1, 1.2, 1.35, 1.5, 1.75, 2.0, 2.5, 3.0, 4.0, 6.0, 10.0, 30.0];

/// The upper bounds of the buckets for times in seconds, from a network round trip to the
/// longest tasks.
const SECONDS_BOUNDS: &[f64] =
    &[0.001, 0.003, 0.01, 0.03, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0];

/// Records metrics and renders their page; clones share the values.
#[derive(Clone)]
pub struct PageRecorder {
    /// The values by metric name and labels.
    registry: Arc<Registry<Key, MetricStorage>>,
    /// The metrics that get `HELP` and `TYPE` lines on the page.
    metrics: &'static [Metric],
}

impl PageRecorder {
    /// Creates a recorder with the descriptions of these metrics.
    ///
    /// Other metrics are rendered as well, without a description and with buckets for
    /// ratios.
    pub fn new(metrics: &'static [Metric]) -> Self {
        Self { registry: Arc::new(Registry::new(MetricStorage { metrics })), metrics }
    }

    /// Renders the page, sorted by metric name.
    pub fn render(&self) -> String {
        let mut samples: BTreeMap<String, String> = BTreeMap::new();
        self.registry.visit_counters(|key, value| {
            let count = value.load(Ordering::Relaxed);
            let page = samples.entry(key.name().to_owned()).or_default();
            write_sample(page, key.name(), &format_labels(key, None), count);
        });
        self.registry.visit_gauges(|key, value| {
            let value = f64::from_bits(value.load(Ordering::Relaxed));
            let page = samples.entry(key.name().to_owned()).or_default();
            write_sample(page, key.name(), &format_labels(key, None), value);
        });
        self.registry.visit_histograms(|key, buckets| {
            buckets.render(key, samples.entry(key.name().to_owned()).or_default());
        });
        let mut page = String::new();
        for (name, lines) in samples {
            if let Some(metric) = self.metrics.iter().find(|metric| metric.name == name) {
                let word = match metric.kind {
                    MetricKind::Counter => "counter",
                    MetricKind::Gauge => "gauge",
                    MetricKind::Histogram => "histogram",
                };
                let text = metric.description;
                page.push_str(&format!("# HELP {name} {text}\n# TYPE {name} {word}\n"));
            }
            page.push_str(&lines);
        }
        page
    }
}

impl fmt::Debug for PageRecorder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PageRecorder").finish_non_exhaustive()
    }
}

/// Descriptions come from the table of metrics; those of the facade are ignored.
impl Recorder for PageRecorder {
    fn describe_counter(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn describe_gauge(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn describe_histogram(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn register_counter(&self, key: &Key, _: &Metadata<'_>) -> Counter {
        self.registry.get_or_create_counter(key, |it| Counter::from_arc(Arc::clone(it)))
    }

    fn register_gauge(&self, key: &Key, _: &Metadata<'_>) -> Gauge {
        self.registry.get_or_create_gauge(key, |it| Gauge::from_arc(Arc::clone(it)))
    }

    fn register_histogram(&self, key: &Key, _: &Metadata<'_>) -> Histogram {
        self.registry
            .get_or_create_histogram(key, |it| Histogram::from_arc(Arc::clone(it)))
    }
}

/// Allocates the values of metrics.
struct MetricStorage {
    metrics: &'static [Metric],
}

impl Storage<Key> for MetricStorage {
    type Counter = Arc<AtomicU64>;
    type Gauge = Arc<AtomicU64>;
    type Histogram = Arc<Buckets>;

    fn counter(&self, _: &Key) -> Self::Counter {
        Arc::default()
    }

    fn gauge(&self, _: &Key) -> Self::Gauge {
        Arc::default()
    }

    fn histogram(&self, key: &Key) -> Self::Histogram {
        let metric = self.metrics.iter().find(|metric| metric.name == key.name());
        let bounds = match metric.map(|metric| metric.unit) {
            Some(Unit::Seconds) => SECONDS_BOUNDS,
            _ => RATIO_BOUNDS,
        };
        Arc::new(Buckets::new(bounds))
    }
}

/// A histogram with fixed buckets.
struct Buckets {
    /// The inclusive upper bounds of all buckets but the last, which is unbounded.
    bounds: &'static [f64],
    /// The number of values in each bucket, not cumulated.
    counts: Vec<AtomicU64>,
    /// The bits of the sum of all values, an `f64`.
    sum: AtomicU64,
}

impl Buckets {
    fn new(bounds: &'static [f64]) -> Self {
        let counts = (0..=bounds.len()).map(|_| AtomicU64::new(0)).collect();
        Self { bounds, counts, sum: AtomicU64::new(0) }
    }

    /// Appends the cumulative buckets, the sum and the count to the page.
    fn render(&self, key: &Key, page: &mut String) {
        let name = format!("{}_bucket", key.name());
        let mut total = 0;
        for (position, count) in self.counts.iter().enumerate() {
            total += count.load(Ordering::Relaxed);
            let bound = self.bounds.get(position).copied().unwrap_or(f64::INFINITY);
            let bound = if bound.is_finite() { bound.to_string() } else { "+Inf".into() };
            write_sample(page, &name, &format_labels(key, Some(&bound)), total);
        }
        let sum = f64::from_bits(self.sum.load(Ordering::Relaxed));
        write_sample(
            page,
            &format!("{}_sum", key.name()),
            &format_labels(key, None),
            sum,
        );
        write_sample(
            page,
            &format!("{}_count", key.name()),
            &format_labels(key, None),
            total,
        );
    }
}

impl HistogramFn for Buckets {
    fn record(&self, value: f64) {
        let position = self.bounds.partition_point(|&bound| bound < value);
        self.counts[position].fetch_add(1, Ordering::Relaxed);
        GaugeFn::increment(&self.sum, value);
    }
}

/// Appends a sample to the page.
fn write_sample(page: &mut String, name: &str, labels: &str, value: impl fmt::Display) {
    // Writing to a string cannot fail.
    let _ = writeln!(page, "{name}{labels} {value}");
}

/// Formats the labels of a metric, with the upper bound of a bucket if given.
fn format_labels(key: &Key, bound: Option<&str>) -> String {
    let pair = |name: &str, value: &str| {
        let value = value.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n");
        format!("{name}=\"{value}\"")
    };
    let own = key.labels().map(|label: &Label| pair(label.key(), label.value()));
    let all: Vec<String> = own.chain(bound.map(|bound| pair("le", bound))).collect();
    if all.is_empty() { String::new() } else { format!("{{{}}}", all.join(",")) }
}
