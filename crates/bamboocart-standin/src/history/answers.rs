//! Checks of the answers against the starts and finishes at the targets.

use std::collections::HashMap;

use bamboocart_core::id::{SubmissionId, TaskIndex};
use bamboocart_core::time::Timestamp;
use bamboocart_wire::api::{AnswerBody, OutcomeName, ResultBody};
use serde::Deserialize;

use super::call::{CallRecord, Purpose, task_mark};
use super::index::Index;
use super::violation::Violation;

/// The answer code that claims a cancelled submission was not run.
const CANCELLED_NOT_RUN: &str = "cancelled-not-run";

/// Finds answers that claim "not run" for submissions that were started.
///
/// Reports the earliest unexplained start of each such answer.
pub fn not_run_but_started(calls: &[CallRecord], index: &Index) -> Vec<Violation> {
    let by_mark = submissions_by_mark(calls);
    let mut found = Vec::new();
    for call in calls {
        let Some(answer) = call.answer.as_ref().filter(|a| says_not_run(call, a)) else {
            continue;
        };
        let others = by_mark.get(call.mark.as_str()).map_or(&[][..], Vec::as_slice);
        let starts = index.start_times(call).into_iter();
        let unexplained = starts.filter(|start| !is_explained(call, others, *start));
        found.extend(unexplained.min().map(|started_us| Violation::NotRunButStarted {
            mark: call.mark.clone(),
            code: answer.code.clone(),
            answered_us: call.ended_us,
            started_us,
        }));
    }
    found
}

/// Returns whether another call for the same submission accounts for a start.
///
/// A start before the answer always contradicts it. A later start is accounted for by a
/// call that was still open when the submission was refused, or that was sent after the
/// cancellation.
fn is_explained(call: &CallRecord, others: &[&CallRecord], start: Timestamp) -> bool {
    let explains = |other: &CallRecord| match call.purpose {
        Purpose::Cancel => other.sent_us > call.sent_us,
        Purpose::Submit | Purpose::Resubmit => other.ended_us > call.ended_us,
    };
    let mut others = others.iter().filter(|other| !std::ptr::eq(**other, call));
    start > call.ended_us && others.any(|o| o.sent_us <= start && explains(o))
}

/// Finds answers to another submission or task, and complete answers that lack results.
pub fn wrong_answers(calls: &[CallRecord], index: &Index) -> Vec<Violation> {
    calls.iter().flat_map(|call| wrong_answer(call, index)).collect()
}

/// Returns the violations in the answer to one call.
fn wrong_answer(call: &CallRecord, index: &Index) -> Vec<Violation> {
    let Some(answer) = &call.answer else { return Vec::new() };
    let foreign =
        |found: String| Violation::ForeignAnswer { mark: call.mark.clone(), found };
    let mut found = Vec::new();
    match (&call.submission_id, &answer.submission) {
        (Some(asked), Some(answered)) if asked != answered => {
            found.push(foreign(answered.to_string()));
        }
        _ => {}
    }
    if answer.outcome != OutcomeName::Complete {
        return found;
    }
    let mut tasks: Vec<TaskIndex> = answer.results.iter().map(|r| r.task).collect();
    tasks.sort();
    if !tasks.iter().copied().eq((0..call.tasks).map(TaskIndex)) {
        found.push(Violation::MissingResults { mark: call.mark.clone(), tasks });
    }
    let foreign_results =
        answer.results.iter().filter(|r| !belongs_to_task(call, answer, r));
    let text = |r: &ResultBody| String::from_utf8_lossy(&r.body).into_owned();
    found.extend(foreign_results.map(|result| foreign(text(result))));
    let unfinished =
        (0..call.tasks).map(TaskIndex).filter(|task| !index.is_finished(call, *task));
    found.extend(
        unfinished.map(|task| Violation::CompleteWithoutFinish {
            mark: call.mark.clone(),
            task,
        }),
    );
    found
}

/// The fields of a target's result that identify its task.
#[derive(Debug, Deserialize)]
struct ResultIds {
    submission: SubmissionId,
    task: TaskIndex,
    /// The mark in the task's payload; `None` if the payload had none.
    mark: Option<String>,
}

/// Returns whether the body of a result names the task that the result is reported for.
fn belongs_to_task(call: &CallRecord, answer: &AnswerBody, result: &ResultBody) -> bool {
    let Ok(ids) = serde_json::from_slice::<ResultIds>(&result.body) else { return false };
    let expected = call.submission_id.as_ref().or(answer.submission.as_ref());
    expected.is_none_or(|id| *id == ids.submission)
        && ids.task == result.task
        && ids.mark.is_none_or(|mark| mark == task_mark(&call.mark, result.task))
}

/// Returns whether an answer claims that no task was started.
///
/// A refused cancellation makes no claim about the submission itself.
fn says_not_run(call: &CallRecord, answer: &AnswerBody) -> bool {
    match answer.outcome {
        OutcomeName::Refused => call.purpose != Purpose::Cancel,
        OutcomeName::Cancelled => answer.code == CANCELLED_NOT_RUN,
        _ => false,
    }
}

/// Groups the calls that submit or resubmit by submission.
fn submissions_by_mark(calls: &[CallRecord]) -> HashMap<&str, Vec<&CallRecord>> {
    let mut by_mark: HashMap<&str, Vec<&CallRecord>> = HashMap::new();
    for call in calls.iter().filter(|call| call.purpose != Purpose::Cancel) {
        by_mark.entry(&call.mark).or_default().push(call);
    }
    by_mark
}
