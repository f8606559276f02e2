//! Groups the calls of a run by submission.

use std::collections::BTreeMap;

use bamboocart_core::id::KindName;
use bamboocart_wire::api::{AnswerBody, OutcomeName};
use serde::Deserialize;

use crate::history::{CallRecord, Purpose};

/// A submission as seen through all calls that submitted it.
#[derive(Debug, Clone)]
pub struct ObservedSubmission {
    /// The request kind of the submission.
    pub kind: KindName,
    /// The number of tasks; 1 for a request.
    pub tasks: u16,
    /// The scheduled time of the first call.
    pub due_us: u64,
    /// The run time of the longest task at speed 1, plus one round trip.
    pub ideal_us: u64,
    /// The time at which the first complete answer arrived, if any did.
    pub complete_us: Option<u64>,
    /// The run time of the longest task on the target that ran it, if the results say it.
    pub own_run_us: Option<u64>,
    /// The outcome and code of the last answer, or `unanswered` if the last call failed.
    pub outcome: String,
    /// The largest number of sends to targets that any answer reports.
    pub attempts: u32,
}

/// The field of a target's result that gives the run time of the task.
#[derive(Debug, Deserialize)]
struct ResultRunTime {
    run_ms: u64,
}

/// Groups the calls by submission, ordered by scheduled time; cancellations are left out.
pub fn group_by_submission(records: &[CallRecord]) -> Vec<ObservedSubmission> {
    let mut by_mark: BTreeMap<&str, ObservedSubmission> = BTreeMap::new();
    for record in records.iter().filter(|record| record.purpose != Purpose::Cancel) {
        let observed =
            by_mark.entry(&record.mark).or_insert_with(|| ObservedSubmission {
                kind: record.kind.clone(),
                tasks: record.tasks,
                due_us: record.due_us.as_us(),
                ideal_us: record.ideal_us,
                complete_us: None,
                own_run_us: None,
                outcome: String::new(),
                attempts: 0,
            });
        observed.add(record);
    }
    let mut observed: Vec<ObservedSubmission> = by_mark.into_values().collect();
    observed.sort_by_key(|observed| observed.due_us);
    observed
}

impl ObservedSubmission {
    /// Adds a call; calls after the first complete answer are ignored.
    fn add(&mut self, record: &CallRecord) {
        if self.complete_us.is_some() {
            return;
        }
        let Some(answer) = &record.answer else {
            self.outcome = "unanswered".into();
            return;
        };
        self.attempts = self.attempts.max(answer.attempts);
        self.outcome = format!("{}/{}", name(answer.outcome), answer.code);
        if answer.outcome == OutcomeName::Complete {
            self.complete_us = Some(record.ended_us.as_us());
            self.own_run_us = own_run_us(answer);
        }
    }
}

/// Returns the name of an outcome in the report.
fn name(outcome: OutcomeName) -> &'static str {
    match outcome {
        OutcomeName::Complete => "complete",
        OutcomeName::Failed => "failed",
        OutcomeName::Refused => "refused",
        OutcomeName::Cancelled => "cancelled",
        OutcomeName::Unknown => "unknown",
    }
}

/// Returns the run time of the longest task whose result gives one.
fn own_run_us(answer: &AnswerBody) -> Option<u64> {
    let run_ms =
        |body: &[u8]| Some(serde_json::from_slice::<ResultRunTime>(body).ok()?.run_ms);
    let longest_ms = answer.results.iter().filter_map(|r| run_ms(&r.body)).max();
    longest_ms.map(|ms| ms * 1_000)
}
