//! Checks of the starts of tasks.

use std::collections::{HashMap, HashSet};

use bamboocart_core::id::{Attempt, InstanceName, SubmissionId};
use bamboocart_core::time::Timestamp;

use super::check::{History, Policy};
use super::event::{EventKind, RunId, TargetEvent};
use super::index::Index;
use super::violation::Violation;

/// The time after which a leaving target must receive no more tasks.
const LEAVING_GRACE_MS: u64 = 5_000;

/// Finds tasks that were started more than once.
///
/// A request of a repeatable kind may be started again under the same id and another
/// attempt number; a task of a job may not.
pub fn started_twice(
    history: &History,
    index: &Index,
    policy: &Policy,
) -> Vec<Violation> {
    let jobs = jobs(history);
    let mut reported = HashSet::new();
    let mut found = Vec::new();
    for (_, starts) in index.all_starts() {
        let runs: Vec<&RunId> = starts.iter().filter_map(|s| s.run.as_ref()).collect();
        let [first, _, ..] = runs.as_slice() else { continue };
        let allowed = policy.repeatable.contains(&first.kind)
            && !jobs.contains(&first.submission)
            && is_one_id_with_distinct_attempts(&runs);
        if allowed || !reported.insert(starts[0].sequence_key()) {
            continue;
        }
        found.push(Violation::StartedTwice {
            submission: first.submission.clone(),
            task: first.task,
            starts: starts.iter().zip(&runs).map(|(s, r)| describe(s, r)).collect(),
        });
    }
    found
}

/// Finds starts at targets that had been leaving for more than the grace period.
pub fn started_while_leaving(events: &[TargetEvent]) -> Vec<Violation> {
    let mut leaving: HashMap<&InstanceName, Timestamp> = HashMap::new();
    let mut found = Vec::new();
    for event in events {
        match (event.kind, &event.run) {
            (EventKind::Leaving, _) => {
                leaving.entry(&event.target).or_insert(event.at_us);
            }
            (EventKind::Restarted, _) => {
                leaving.remove(&event.target);
            }
            (EventKind::Started, Some(run)) => {
                let since = leaving.get(&event.target);
                let late_ms = since.map_or(0, |since| event.at_us.ms_since(*since));
                if late_ms > LEAVING_GRACE_MS {
                    found.push(Violation::StartedWhileLeaving {
                        target: event.target.clone(),
                        submission: run.submission.clone(),
                        late_ms,
                    });
                }
            }
            _ => {}
        }
    }
    found
}

impl TargetEvent {
    /// Returns a key that is unique among the events of all processes.
    fn sequence_key(&self) -> (InstanceName, u64) {
        (self.target.clone(), self.sequence)
    }
}

/// Returns the ids of jobs: submissions sent as a job or run with several tasks.
fn jobs(history: &History) -> HashSet<SubmissionId> {
    let sent = history.calls.iter().filter(|call| call.job);
    let answered = |call: &super::call::CallRecord| {
        call.answer.as_ref().and_then(|answer| answer.submission.clone())
    };
    let sent =
        sent.flat_map(|call| [call.submission_id.clone(), answered(call)]).flatten();
    let runs = history.events.iter().filter_map(|event| event.run.as_ref());
    let several = runs.filter(|run| run.task.0 > 0).map(|run| run.submission.clone());
    sent.chain(several).collect()
}

/// Returns whether all runs have the same submission id and distinct attempt numbers.
fn is_one_id_with_distinct_attempts(runs: &[&RunId]) -> bool {
    let attempts: HashSet<Attempt> = runs.iter().map(|run| run.attempt).collect();
    let same_id = runs.iter().all(|run| run.submission == runs[0].submission);
    same_id && attempts.len() == runs.len()
}

/// Returns the target and the attempt number of a start.
fn describe(start: &TargetEvent, run: &RunId) -> (InstanceName, Attempt) {
    (start.target.clone(), run.attempt)
}
