//! Metric names of an instance that runs jobs on the platform's minions.

use metrics::Unit;

use crate::metrics::{Metric, MetricKind};

/// The label with the name of a queue.
pub const QUEUE_LABEL: &str = "queue";

/// The label with the result of a job or a call.
pub const OUTCOME_LABEL: &str = "outcome";

/// The label with the kind of a call to a minion.
pub const CALL_LABEL: &str = "call";

/// Time from the arrival of a job to its answer, by queue and outcome.
pub const JOB_SECONDS: &str = "bamboocart_job_seconds";

/// The number of calls to minions, by call and outcome.
pub const MINION_CALLS: &str = "bamboocart_minion_calls_total";

/// Time from a call to a minion to its answer, by call.
///
/// Holds are long polls: the minion answers them when a run ends, so they take longer.
pub const MINION_CALL_SECONDS: &str = "bamboocart_minion_call_seconds";

/// The number of frames passed to links between instances.
pub const FRAMES_SENT: &str = "bamboocart_frames_sent_total";

/// The number of frames dropped because the queue of a link was full.
pub const FRAMES_LOST: &str = "bamboocart_frames_lost_total";

/// The number of bytes sent and received, by purpose and direction.
pub const BYTES: &str = "bamboocart_bytes_total";

/// The label with what bytes are for.
pub const PURPOSE_LABEL: &str = "purpose";

/// The label with the direction of bytes.
pub const DIRECTION_LABEL: &str = "direction";

/// Time that a frame waits until its link takes it.
pub const FRAME_WAIT_SECONDS: &str = "bamboocart_frame_wait_seconds";

/// The version of the configuration that the instance applies.
pub const CONFIG_VERSION: &str = "bamboocart_config_in_force";

/// The number of jobs that have not ended.
pub const OPEN_JOBS: &str = "bamboocart_open_jobs";

/// The number of jobs with tasks that wait for free capacity.
pub const WAITING_JOBS: &str = "bamboocart_waiting_jobs";

/// The number of minions in the platform's list.
pub const LISTED_MINIONS: &str = "bamboocart_listed_minions";

/// The number of jobs with tasks that wait beside minions whose free capacity is not known.
pub const SEARCHING_JOBS: &str = "bamboocart_searching_jobs";

/// The number of minions whose lease this instance holds.
pub const HELD_MINIONS: &str = "bamboocart_held_minions";

/// The number of peers from which a frame arrived recently.
pub const LIVE_PEERS: &str = "bamboocart_live_peers";

/// The number of ends on the lists of held minions that no owner has confirmed.
pub const UNCONFIRMED_ENDS: &str = "bamboocart_unconfirmed_ends";

/// The number of held minions that get no starts because their list of ends is full.
pub const FULL_END_LISTS: &str = "bamboocart_full_end_lists";

/// The number of owned shards whose log takes no records.
pub const STALLED_LOGS: &str = "bamboocart_stalled_logs";

/// Whether the evacuation of a failure domain is in force (1) or was taken back (0), by
/// failure domain. Domains that were never evacuated are left out.
pub const EVACUATIONS: &str = "bamboocart_evacuations";

/// The number of runs that are left on minions of an evacuated failure domain that this
/// instance holds, by failure domain.
pub const EVACUATED_RUNS: &str = "bamboocart_evacuated_runs";

/// The label with the name of a failure domain.
pub const DOMAIN_LABEL: &str = "failure_domain";

/// The estimated wait of the last job that had to wait for room, by priority, in
/// milliseconds.
pub const OVERLOAD_WAIT_MS: &str = "bamboocart_overload_wait_ms";

/// The number of jobs that were refused on arrival, by priority.
pub const REFUSED_AT_ONCE: &str = "bamboocart_overload_refused_at_once";

/// The number of jobs that were refused after they had waited, by priority.
pub const REFUSED_AFTER_WAIT: &str = "bamboocart_overload_refused_after_wait";

/// The number of times that room was withheld for more urgent jobs, by priority.
pub const WITHHELD: &str = "bamboocart_overload_withheld";

/// The label with the priority rank of a queue.
pub const PRIORITY_LABEL: &str = "priority";

/// The number of log lines dropped because the buffer was full.
pub const LINES_DROPPED: &str = "bamboocart_log_lines_dropped";

/// All metrics of this kind of instance, as the metrics page describes them.
pub const METRICS: &[Metric] = &[
    histogram(JOB_SECONDS, "Time from arrival to answer, by queue and outcome."),
    counter(MINION_CALLS, "Calls to minions, by call and outcome."),
    histogram(MINION_CALL_SECONDS, "Time from a call to its answer, by call."),
    counter(FRAMES_SENT, "Frames that were handed to links."),
    counter(FRAMES_LOST, "Frames that were lost because a link was full."),
    counter(BYTES, "Bytes sent and received, by purpose and direction."),
    histogram(FRAME_WAIT_SECONDS, "Time that frames wait until their link takes them."),
    gauge(CONFIG_VERSION, "The version of the configuration in force."),
    gauge(OPEN_JOBS, "Jobs that have not ended."),
    gauge(WAITING_JOBS, "Jobs with tasks that wait for room."),
    gauge(SEARCHING_JOBS, "Jobs that wait beside minions of unknown free capacity."),
    gauge(LISTED_MINIONS, "Minions in the platform's list."),
    gauge(HELD_MINIONS, "Minions that this instance holds."),
    gauge(LIVE_PEERS, "Peers that were heard lately."),
    gauge(UNCONFIRMED_ENDS, "Ends on the lists of held minions without confirmation."),
    gauge(FULL_END_LISTS, "Held minions without starts because their list is full."),
    gauge(STALLED_LOGS, "Owned shards whose log takes no records."),
    gauge(EVACUATIONS, "Whether the evacuation of a failure domain is in force."),
    gauge(EVACUATED_RUNS, "Runs that are left in an evacuated failure domain."),
    gauge(OVERLOAD_WAIT_MS, "Estimated wait of the last job that had to wait for room."),
    gauge(REFUSED_AT_ONCE, "Jobs that were refused on arrival."),
    gauge(REFUSED_AFTER_WAIT, "Jobs that were refused after they had waited."),
    gauge(WITHHELD, "Times that room was withheld for more urgent jobs."),
    gauge(LINES_DROPPED, "Log lines that were dropped."),
];

/// Returns the description of a histogram of times in seconds.
const fn histogram(name: &'static str, description: &'static str) -> Metric {
    Metric { name, kind: MetricKind::Histogram, unit: Unit::Seconds, description }
}

const fn counter(name: &'static str, description: &'static str) -> Metric {
    Metric { name, kind: MetricKind::Counter, unit: Unit::Count, description }
}

const fn gauge(name: &'static str, description: &'static str) -> Metric {
    Metric { name, kind: MetricKind::Gauge, unit: Unit::Count, description }
}
