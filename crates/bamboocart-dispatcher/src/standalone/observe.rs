//! What the engine, the links and the calls to the log report, recorded as metrics.

use bamboocart_core::engine::{Answered, Observation, Started, StartedAfter};
use bamboocart_core::id::{CustomerName, KindName};
use bamboocart_core::outcome::Outcome;
use bamboocart_peer::CutCounts;
use bamboocart_telemetry::metrics::{
    ANSWERS, AnswerCost, CONFIG_DELAY_SECONDS, CUSTOMER_LABEL, EJECTIONS, HEDGES,
    KIND_LABEL, LINK_CUTS, LINK_MESSAGES, LOG_CALLS, QUEUE_WAIT_SECONDS, RETRIES, STARTS,
    record_answer,
};
use bamboocart_wire::api::answer_code;
use metrics::{counter, histogram};

/// The label value for customers and request kinds that no configuration had.
const UNKNOWN: &str = "unknown";

/// The microseconds of a second.
const US_PER_SECOND: f64 = 1e6;

/// A call to the platform's log.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum LogCall {
    /// A record is appended.
    Append,
    /// Records are read.
    Read,
}

/// What became of a message to a peer.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum LinkEnd {
    /// The peer took it.
    Acknowledged,
    /// It was certainly not taken.
    NotSent,
    /// It may have been taken.
    Unknown,
}

/// Sets the counters whose labels are fixed to 0, so that their first increase is seen.
pub fn register() {
    for call in [LogCall::Append, LogCall::Read] {
        for result in ["ok", "error"] {
            counter!(LOG_CALLS, "operation" => call.name(), "result" => result)
                .increment(0);
        }
    }
    for end in [LinkEnd::Acknowledged, LinkEnd::NotSent, LinkEnd::Unknown] {
        counter!(LINK_MESSAGES, "delivery" => end.name()).increment(0);
    }
}

/// Records what the engine has measured.
pub fn record(observation: &Observation) {
    match observation {
        Observation::Answered(answered) => record_answered(answered),
        Observation::Started(started) => record_started(started),
        Observation::Hedged { kind, won } => {
            let won = if *won { "true" } else { "false" };
            counter!(HEDGES, KIND_LABEL => kind.to_string(), "won" => won).increment(1);
        }
        Observation::Ejected { group } => {
            counter!(EJECTIONS, "group" => group.to_string()).increment(1);
        }
        Observation::ConfigDelayed { delay_us } => {
            histogram!(CONFIG_DELAY_SECONDS).record(*delay_us as f64 / US_PER_SECOND);
        }
    }
}

/// Counts an answer of this instance.
pub fn count_answer(
    customer: Option<&CustomerName>,
    kind: Option<&KindName>,
    outcome: &Outcome,
) {
    let labels = [
        (KIND_LABEL, kind.map_or(UNKNOWN, KindName::as_str).to_owned()),
        (CUSTOMER_LABEL, customer.map_or(UNKNOWN, CustomerName::as_str).to_owned()),
        ("outcome", outcome.name().to_owned()),
        ("code", answer_code(outcome)),
    ];
    counter!(ANSWERS, &labels).increment(1);
}

/// Counts a call to the log by whether it was answered.
pub fn count_log_call(call: LogCall, ok: bool) {
    let result = if ok { "ok" } else { "error" };
    counter!(LOG_CALLS, "operation" => call.name(), "result" => result).increment(1);
}

/// Counts a message to a peer.
pub fn count_link_message(end: LinkEnd) {
    counter!(LINK_MESSAGES, "delivery" => end.name()).increment(1);
}

/// Sets the counters of inbound connections that were cut off.
pub fn set_cuts(counts: &CutCounts) {
    for (reason, count) in [
        ("too-many-connections", counts.too_many_connections),
        ("no-preface", counts.no_preface),
        ("protocol", counts.protocol),
        ("malformed", counts.malformed),
        ("oversized", counts.oversized),
        ("slow-message", counts.slow_message),
        ("idle", counts.idle),
    ] {
        counter!(LINK_CUTS, "reason" => reason).absolute(count);
    }
}

impl LogCall {
    /// Returns the value of the label.
    const fn name(self) -> &'static str {
        match self {
            Self::Append => "append",
            Self::Read => "read",
        }
    }
}

impl LinkEnd {
    /// Returns the value of the label.
    const fn name(self) -> &'static str {
        match self {
            Self::Acknowledged => "acknowledged",
            Self::NotSent => "not-sent",
            Self::Unknown => "unknown",
        }
    }
}

/// Records an answer, and what a complete one took.
fn record_answered(answered: &Answered) {
    let Answered { customer, kind, outcome, cost } = answered;
    count_answer(customer.as_ref(), kind.as_ref(), outcome);
    let (Some(kind), Some(customer), Some(cost)) = (kind, customer, cost) else { return };
    let cost = AnswerCost {
        response_us: cost.response_us,
        ideal_us: cost.ideal_us,
        // A send and its answer count as one exchange; each task needs one.
        messages_sent: u64::from(cost.sends),
        messages_needed: u64::from(cost.tasks),
    };
    record_answer(kind.as_str(), customer.as_str(), cost);
}

/// Records the start of a task.
fn record_started(started: &Started) {
    let Started { group, kind, reason, after } = started;
    let group = group.to_string();
    counter!(STARTS, "group" => group.clone(), "reason" => reason.name()).increment(1);
    match after {
        StartedAfter::Admission { priority, wait_us } => {
            let priority = priority.to_string();
            histogram!(QUEUE_WAIT_SECONDS, "group" => group, "priority" => priority)
                .record(*wait_us as f64 / US_PER_SECOND);
        }
        StartedAfter::Send { report } => {
            counter!(RETRIES, KIND_LABEL => kind.to_string(), "cause" => *report)
                .increment(1);
        }
        StartedAfter::Straggler => {}
    }
}
