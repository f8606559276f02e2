//! Metric names, and the setup of the metrics page that Prometheus scrapes.

use std::time::Duration;

use metrics::{Unit, counter, histogram};
use snafu::{OptionExt, Snafu};

use crate::recorder::PageRecorder;

/// The result of installing the metrics recorder.
pub type Result<T, E = MetricsError> = std::result::Result<T, E>;

/// Defines a constant for each metric name, and a table of all metrics.
///
/// The descriptions serve as docs and as the `HELP` lines of the page.
macro_rules! metrics {
    ($($kind:ident $unit:ident $name:ident = $text:literal, $doc:literal;)*) => {
        $(
            #[doc = $doc]
            pub const $name: &str = $text;
        )*

        /// All metrics of a standalone dispatcher, as the metrics page describes them.
        pub const METRICS: &[Metric] = &[$(Metric {
            name: $name,
            kind: MetricKind::$kind,
            unit: Unit::$unit,
            description: $doc,
        },)*];
    };
}

metrics! {
    Histogram Count RESPONSE_OVER_IDEAL = "bamboocart_response_time_over_ideal",
        "Response time over the ideal, by request kind and customer.";
    Histogram Count MESSAGES_OVER_NEEDED = "bamboocart_messages_over_needed",
        "Messages sent over messages needed, by request kind and customer.";
    Counter Count MESSAGES_SENT = "bamboocart_messages_sent_total",
        "Messages sent for answered submissions, by request kind and customer.";
    Counter Count MESSAGES_NEEDED = "bamboocart_messages_needed_total",
        "Messages needed for answered submissions, by request kind and customer.";
    Histogram Seconds RESPONSE_SECONDS = "bamboocart_response_seconds",
        "Time from arrival to answer, by request kind and customer.";
    Counter Count ANSWERS = "bamboocart_answers_total",
        "Answers, by request kind, customer, outcome and code.";
    Counter Count STARTS = "bamboocart_starts_total",
        "Task starts, by target group and scheduling reason.";
    Histogram Seconds QUEUE_WAIT_SECONDS = "bamboocart_queue_wait_seconds",
        "Time from admission to the first send of a task, by target group and priority.";
    Gauge Count QUEUED_TASKS = "bamboocart_queued_tasks",
        "Tasks that wait, by target group.";
    Gauge Count IN_FLIGHT_TASKS = "bamboocart_in_flight_tasks",
        "Tasks that are admitted and unfinished, by customer.";
    Gauge Count REGISTRY_SUBMISSIONS = "bamboocart_registry_submissions",
        "Submissions in the registry, with the answered and refused ones.";
    Counter Count RETRIES = "bamboocart_retries_total",
        "Sends after the first of a task except hedges, by request kind and cause.";
    Counter Count HEDGES = "bamboocart_hedges_total",
        "Hedges that ended, by request kind and whether the hedge won.";
    Counter Count DROPPED_ANSWERS = "bamboocart_dropped_answers_total",
        "Late or crossed answers from targets that were dropped.";
    Gauge Count TARGETS = "bamboocart_targets",
        "Targets that this instance uses, by target group and state.";
    Counter Count EJECTIONS = "bamboocart_ejections_total",
        "Ejections of targets, by target group.";
    Gauge Count LEASES_HELD = "bamboocart_leases_held",
        "Leases that this instance holds on workers.";
    Gauge Count PEERS = "bamboocart_peers",
        "Known peers, by state.";
    Counter Count LINK_MESSAGES = "bamboocart_link_messages_total",
        "Messages to peers, by delivery.";
    Counter Count LINK_CUTS = "bamboocart_link_cuts_total",
        "Inbound connections of peers that were cut off, by reason.";
    Gauge Count CONFIG_VERSION = "bamboocart_config_version",
        "Version of the configuration in force.";
    Histogram Seconds CONFIG_DELAY_SECONDS = "bamboocart_config_delay_seconds",
        "Time from a publication's append to its being in force here.";
    Gauge Seconds CLAIM_AHEAD_SECONDS = "bamboocart_claim_ahead_seconds",
        "Time until the first of this instance's claims on caller keys ends, 0 for none.";
    Counter Count LOG_CALLS = "bamboocart_log_calls_total",
        "Calls to the platform's log, by operation and result.";
    Gauge Count ACCOUNT_BUFFERED = "bamboocart_account_buffered_entries",
        "Account entries that are not known to be in the log.";
    Counter Count ACCOUNT_DROPPED = "bamboocart_account_dropped_total",
        "Account entries that were dropped and replaced by a gap.";
    Gauge Count OPEN_SUBMISSIONS = "bamboocart_open_submissions",
        "Submissions without an answer.";
    Gauge Count RUNNING_SENDS = "bamboocart_running_sends",
        "Sends to targets that have not ended.";
    Gauge Count SLOTS = "bamboocart_slots",
        "Slots that this instance may use, by target group.";
    Gauge Count FREE_SLOTS = "bamboocart_free_slots",
        "Slots that are free, by target group.";
    Gauge Count EJECTED_TARGETS = "bamboocart_ejected_targets",
        "Targets that are ejected, by target group.";
    Gauge Count LIST_STALE = "bamboocart_list_stale",
        "Whether the platform's instance list is out of date, 1 or 0.";
    Gauge Count LINES_DROPPED = "bamboocart_lines_dropped",
        "Log and trace lines that were dropped, by output.";
}

/// The label with the request kind.
pub const KIND_LABEL: &str = "kind";

/// The label with the name of the customer.
pub const CUSTOMER_LABEL: &str = "customer";

/// The type of a metric in the Prometheus sense.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum MetricKind {
    /// A count that only grows while the process runs.
    Counter,
    /// A value that may rise and fall.
    Gauge,
    /// A distribution of values over buckets.
    Histogram,
}

/// The description of a metric.
#[derive(Debug, Copy, Clone)]
pub struct Metric {
    /// The name on the metrics page.
    pub name: &'static str,
    /// The type of the metric.
    pub kind: MetricKind,
    /// The unit of its values, which selects the bounds of a histogram's buckets.
    pub unit: Unit,
    /// The text of its `HELP` line.
    pub description: &'static str,
}

/// The time and the messages that an answered submission took, and their ideals.
#[derive(Debug, Copy, Clone)]
pub struct AnswerCost {
    /// The time from the arrival of the submission to its answer.
    pub response_us: u64,
    /// The shortest response time that was possible.
    pub ideal_us: u64,
    /// The number of messages that were sent for the submission.
    pub messages_sent: u64,
    /// The smallest number of messages that yields an answer.
    pub messages_needed: u64,
}

/// Records the two measures by which customers assess the system: response time and
/// messages, each relative to the ideal.
///
/// Labels must come from the configuration in force, which bounds their number. Use one
/// fixed text for unknown names.
pub fn record_answer(kind: &str, customer: &str, cost: AnswerCost) {
    let labels = [(KIND_LABEL, kind.to_owned()), (CUSTOMER_LABEL, customer.to_owned())];
    let seconds = Duration::from_micros(cost.response_us).as_secs_f64();
    let response = ratio(cost.response_us, cost.ideal_us);
    let messages = ratio(cost.messages_sent, cost.messages_needed);
    histogram!(RESPONSE_SECONDS, &labels).record(seconds);
    histogram!(RESPONSE_OVER_IDEAL, &labels).record(response);
    histogram!(MESSAGES_OVER_NEEDED, &labels).record(messages);
    counter!(MESSAGES_SENT, &labels).increment(cost.messages_sent);
    counter!(MESSAGES_NEEDED, &labels).increment(cost.messages_needed);
}

/// An error while installing the metrics recorder.
#[derive(Debug, Snafu)]
pub enum MetricsError {
    /// The process already has a metrics recorder.
    #[snafu(display("a recorder is already installed; install one per process"))]
    Installed,
}

/// Installs a recorder of these metrics for the process and returns it, to render the
/// page.
///
/// Fails if a recorder is already installed.
pub fn install(metrics: &'static [Metric]) -> Result<PageRecorder> {
    let recorder = PageRecorder::new(metrics);
    metrics::set_global_recorder(recorder.clone()).ok().context(InstalledSnafu)?;
    Ok(recorder)
}

/// Returns the ratio of `actual` to `ideal`; an ideal of 0 counts as 1.
fn ratio(actual: u64, ideal: u64) -> f64 {
    actual as f64 / ideal.max(1) as f64
}
