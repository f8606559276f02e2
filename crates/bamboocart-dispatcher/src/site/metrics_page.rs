//! The metrics of this instance, and the page that exposes them.

use std::time::Duration;

use bamboocart_jobs::{Answer, EvacuationStatus, HoldAnswer, JobState, StartAnswer};
use bamboocart_telemetry::buffer::LineBuffer;
use bamboocart_telemetry::job_metrics::{
    CALL_LABEL, CONFIG_VERSION, DOMAIN_LABEL, EVACUATED_RUNS, EVACUATIONS,
    FULL_END_LISTS, HELD_MINIONS, JOB_SECONDS, LINES_DROPPED, LISTED_MINIONS, LIVE_PEERS,
    METRICS, MINION_CALL_SECONDS, MINION_CALLS, OPEN_JOBS, OUTCOME_LABEL,
    OVERLOAD_WAIT_MS, PRIORITY_LABEL, QUEUE_LABEL, REFUSED_AFTER_WAIT, REFUSED_AT_ONCE,
    SEARCHING_JOBS, STALLED_LOGS, UNCONFIRMED_ENDS, WAITING_JOBS, WITHHELD,
};
use bamboocart_telemetry::metrics::{MetricsError, install};
use bamboocart_telemetry::recorder::PageRecorder;
use metrics::{counter, gauge, histogram};

use crate::site::driver::Driver;

/// The recorder of all metrics, with the log buffer whose drops it reports.
#[derive(Clone)]
pub struct MetricsPage {
    recorder: PageRecorder,
    lines: LineBuffer,
}

impl MetricsPage {
    /// Installs the recorder for the metrics of this process.
    ///
    /// Returns an error if a recorder is installed already.
    pub fn install(lines: LineBuffer) -> Result<Self, MetricsError> {
        Ok(Self { recorder: install(METRICS)?, lines })
    }

    /// Updates the gauges from the engine and returns the metrics in text format.
    pub fn render(&self, driver: &Driver) -> String {
        let status = driver.read_engine(|engine, now| engine.status(now));
        gauge!(CONFIG_VERSION).set(status.config_version as f64);
        gauge!(OPEN_JOBS).set(status.jobs as f64);
        gauge!(WAITING_JOBS).set(status.waiting as f64);
        gauge!(SEARCHING_JOBS).set(status.searching as f64);
        gauge!(LISTED_MINIONS).set(status.minions as f64);
        gauge!(HELD_MINIONS).set(status.held as f64);
        gauge!(LIVE_PEERS).set(status.peers as f64);
        gauge!(UNCONFIRMED_ENDS).set(status.unconfirmed_ends as f64);
        gauge!(FULL_END_LISTS).set(status.full_lists as f64);
        gauge!(STALLED_LOGS).set(status.stalled_logs as f64);
        gauge!(LINES_DROPPED).set(self.lines.dropped() as f64);
        let evacuations = driver.read_engine(|engine, _| engine.evacuation_status());
        for EvacuationStatus { failure_domain, in_force, runs } in evacuations {
            let label = [(DOMAIN_LABEL, failure_domain.into_string())];
            let left = if in_force { runs } else { 0 };
            gauge!(EVACUATIONS, &label).set(f64::from(u8::from(in_force)));
            gauge!(EVACUATED_RUNS, &label).set(left as f64);
        }
        for status in driver.read_engine(|engine, _| engine.overload_status()) {
            let label = [(PRIORITY_LABEL, status.priority.to_string())];
            gauge!(OVERLOAD_WAIT_MS, &label).set(status.wait_ms as f64);
            gauge!(REFUSED_AT_ONCE, &label).set(status.refused_at_once as f64);
            gauge!(REFUSED_AFTER_WAIT, &label).set(status.refused_after_wait as f64);
            gauge!(WITHHELD, &label).set(status.withheld as f64);
        }
        self.recorder.render()
    }
}

/// Records the answer to a submission and the time since its arrival.
pub fn record_answer(queue: &str, answer: Answer, took: Duration) {
    let outcome = match answer {
        Answer::Accepted => "stored",
        Answer::Ended(JobState::Completed) => "completed",
        Answer::Ended(JobState::Cancelled) | Answer::Cancelled => "cancelled",
        Answer::Ended(_) => "failed",
        Answer::State(_) => "state",
        Answer::Refused { .. } => "refused",
        Answer::Unavailable => "unavailable",
        Answer::GivenUp => "given up",
        Answer::Unknown => "unknown",
    };
    let labels = [(QUEUE_LABEL, queue.to_owned()), (OUTCOME_LABEL, outcome.to_owned())];
    histogram!(JOB_SECONDS, &labels).record(took.as_secs_f64());
}

/// Records the answer to a start or a stop, and the time of the call.
pub fn record_order(call: &'static str, answer: StartAnswer, took: Duration) {
    let outcome = match answer {
        StartAnswer::Started => "taken",
        StartAnswer::Fenced => "fenced",
        StartAnswer::Outdated => "outdated",
        StartAnswer::Late => "late",
        StartAnswer::NoRoom => "no room",
        StartAnswer::BadTicket => "bad ticket",
        StartAnswer::Unhealthy => "unhealthy",
        StartAnswer::WrongIncarnation => "wrong incarnation",
        StartAnswer::Invalid => "invalid",
        StartAnswer::Lost => "lost",
    };
    record_call(call, outcome, took);
}

/// Records the answer to a hold and the time of the call, which includes the wait.
pub fn record_hold(answer: &HoldAnswer, took: Duration) {
    let outcome = match answer {
        HoldAnswer::Reply(_) => "taken",
        HoldAnswer::Fenced => "fenced",
        HoldAnswer::WrongIncarnation => "wrong incarnation",
        HoldAnswer::Unhealthy => "unhealthy",
        HoldAnswer::Lost => "lost",
    };
    record_call("hold", outcome, took);
}

/// Records a call to a minion.
fn record_call(call: &'static str, outcome: &'static str, took: Duration) {
    counter!(MINION_CALLS, CALL_LABEL => call, OUTCOME_LABEL => outcome).increment(1);
    histogram!(MINION_CALL_SECONDS, CALL_LABEL => call).record(took.as_secs_f64());
}
