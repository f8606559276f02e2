//! Names of the metrics of an instance that runs jobs on the platform's minions.

use metrics::Unit;

use crate::metrics::{Metric, MetricKind};

/// The label for the queue.
pub const QUEUE_LABEL: &str = "queue";

/// The label for what came of something.
pub const OUTCOME_LABEL: &str = "outcome";

/// The label for the kind of call.
pub const CALL_LABEL: &str = "call";

/// Time from the arrival of a job to its answer, by queue and outcome.
pub const JOB_SECONDS: &str = "bamboocart_job_seconds";

/// Calls to minions, by call and outcome.
pub const MINION_CALLS: &str = "bamboocart_minion_calls_total";

/// Time from a call to a minion to its answer, by call; holds wait for runs to end.
pub const MINION_CALL_SECONDS: &str = "bamboocart_minion_call_seconds";

/// Frames that were handed to links.
pub const FRAMES_SENT: &str = "bamboocart_frames_sent_total";

/// Frames that were lost because a link was full.
pub const FRAMES_LOST: &str = "bamboocart_frames_lost_total";

/// The version of the configuration in force.
pub const CONFIG_VERSION: &str = "bamboocart_config_in_force";

/// Jobs that have not ended.
pub const OPEN_JOBS: &str = "bamboocart_open_jobs";

/// Jobs with tasks that wait for room.
pub const WAITING_JOBS: &str = "bamboocart_waiting_jobs";

/// Minions in the platform's list.
pub const LISTED_MINIONS: &str = "bamboocart_listed_minions";

/// Minions that this instance holds.
pub const HELD_MINIONS: &str = "bamboocart_held_minions";

/// Peers that were heard lately.
pub const LIVE_PEERS: &str = "bamboocart_live_peers";

/// Log lines that were dropped because the buffer was full.
pub const LINES_DROPPED: &str = "bamboocart_log_lines_dropped";

/// All metrics of this kind of instance.
pub const METRICS: &[Metric] = &[
    histogram(JOB_SECONDS, "Time from arrival to answer, by queue and outcome."),
    counter(MINION_CALLS, "Calls to minions, by call and outcome."),
    histogram(MINION_CALL_SECONDS, "Time from a call to its answer, by call."),
    counter(FRAMES_SENT, "Frames that were handed to links."),
    counter(FRAMES_LOST, "Frames that were lost because a link was full."),
    gauge(CONFIG_VERSION, "The version of the configuration in force."),
    gauge(OPEN_JOBS, "Jobs that have not ended."),
    gauge(WAITING_JOBS, "Jobs with tasks that wait for room."),
    gauge(LISTED_MINIONS, "Minions in the platform's list."),
    gauge(HELD_MINIONS, "Minions that this instance holds."),
    gauge(LIVE_PEERS, "Peers that were heard lately."),
    gauge(LINES_DROPPED, "Log lines that were dropped."),
];

/// Describes a histogram of times.
const fn histogram(name: &'static str, description: &'static str) -> Metric {
    Metric { name, kind: MetricKind::Histogram, unit: Unit::Seconds, description }
}

/// Describes a counter.
const fn counter(name: &'static str, description: &'static str) -> Metric {
    Metric { name, kind: MetricKind::Counter, unit: Unit::Count, description }
}

/// Describes a gauge.
const fn gauge(name: &'static str, description: &'static str) -> Metric {
    Metric { name, kind: MetricKind::Gauge, unit: Unit::Count, description }
}
