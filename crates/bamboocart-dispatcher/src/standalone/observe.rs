//! The metrics that are recorded as events happen: in the engine, on links to peers and
//! in calls to the log.

use bamboocart_core::engine::{Answered, Observation, Started, StartedAfter};
use bamboocart_core::id::{CustomerName, KindName};
use bamboocart_core::outcome::Outcome;
use bamboocart_peer::DisconnectCounts;
use bamboocart_telemetry::metrics::{
    ANSWERS, AnswerCost, CONFIG_DELAY_SECONDS, CUSTOMER_LABEL, EJECTIONS, HEDGES,
    KIND_LABEL, LINK_CUTS, LINK_MESSAGES, LOG_CALLS, QUEUE_WAIT_SECONDS, RETRIES, STARTS,
    record_answer,
};
use bamboocart_wire::api::answer_code;
use metrics::{counter, histogram};

/// The label value for customers and request kinds that no configuration names.
const UNKNOWN: &str = "unknown";

const US_PER_SECOND: f64 = 1e6;

/// The operation of a call to the platform's log.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum LogCall {
    /// The append of one record.
    Append,
    /// The read of a page of records.
    Read,
}

/// The result of sending a message to a peer.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum MessageDelivery {
    /// The peer has acknowledged the message.
    Acknowledged,
    /// The peer certainly has not received the message.
    NotSent,
    /// The peer may have received the message.
    Unknown,
}

/// Initializes the counters with fixed labels to 0, so that monitoring sees their first
/// increase.
pub fn register() {
    for call in [LogCall::Append, LogCall::Read] {
        for result in ["ok", "error"] {
            counter!(LOG_CALLS, "operation" => call.name(), "result" => result)
                .increment(0);
        }
    }
    for delivery in [
        MessageDelivery::Acknowledged,
        MessageDelivery::NotSent,
        MessageDelivery::Unknown,
    ] {
        counter!(LINK_MESSAGES, "delivery" => delivery.name()).increment(0);
    }
}

/// Records an observation of the engine.
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

/// Counts an answer that this instance gives.
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

/// Counts a call to the log; `ok` is false for a call that failed.
pub fn count_log_call(call: LogCall, ok: bool) {
    let result = if ok { "ok" } else { "error" };
    counter!(LOG_CALLS, "operation" => call.name(), "result" => result).increment(1);
}

/// Counts a message to a peer by the result of sending it.
pub fn count_link_message(delivery: MessageDelivery) {
    counter!(LINK_MESSAGES, "delivery" => delivery.name()).increment(1);
}

/// Sets the counters of inbound connections that were closed, by reason.
pub fn set_link_cuts(counts: &DisconnectCounts) {
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
    /// Returns the value of the `operation` label.
    const fn name(self) -> &'static str {
        match self {
            Self::Append => "append",
            Self::Read => "read",
        }
    }
}

impl MessageDelivery {
    /// Returns the value of the `delivery` label.
    const fn name(self) -> &'static str {
        match self {
            Self::Acknowledged => "acknowledged",
            Self::NotSent => "not-sent",
            Self::Unknown => "unknown",
        }
    }
}

/// Records an answer, and the response time and messages of a complete one.
fn record_answered(answered: &Answered) {
    let Answered { customer, kind, outcome, cost } = answered;
    count_answer(customer.as_ref(), kind.as_ref(), outcome);
    let (Some(kind), Some(customer), Some(cost)) = (kind, customer, cost) else { return };
    let cost = AnswerCost {
        response_us: cost.response_us,
        ideal_us: cost.ideal_us,
        // A send with its answer counts as one message. Each task needs one.
        messages_sent: u64::from(cost.sends),
        messages_needed: u64::from(cost.tasks),
    };
    record_answer(kind.as_str(), customer.as_str(), cost);
}

/// Records the start of a task, with its queue wait or the cause of its retry.
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
