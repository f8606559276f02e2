//! The rules about answers.

use std::collections::HashMap;

use bamboocart_core::id::{SubmissionId, TaskIndex};
use bamboocart_core::time::Timestamp;
use bamboocart_wire::api::{AnswerBody, OutcomeName, ResultBody};
use serde::Deserialize;

use super::index::Index;
use super::send::{CallRecord, Purpose, task_mark};
use super::violation::Violation;

/// The code of a cancellation that says "not run".
const CANCELLED_NOT_RUN: &str = "cancelled-not-run";

/// Finds answers that say "not run" for submissions that were started.
pub fn not_run_but_started(sends: &[CallRecord], index: &Index) -> Vec<Violation> {
    let by_mark = submissions_by_mark(sends);
    let mut found = Vec::new();
    for send in sends {
        let Some(answer) = send.answer.as_ref().filter(|a| says_not_run(send, a)) else {
            continue;
        };
        let others = by_mark.get(send.mark.as_str()).map_or(&[][..], Vec::as_slice);
        let starts = index.start_times(send).into_iter();
        let unexplained = starts.filter(|start| !is_explained(send, others, *start));
        found.extend(unexplained.min().map(|started_us| Violation::NotRunButStarted {
            mark: send.mark.clone(),
            code: answer.code.clone(),
            answered_us: send.ended_us,
            started_us,
        }));
    }
    found
}

/// Returns whether another call of the same submission explains a start.
///
/// A start before the answer always contradicts it. A later one is explained by a call
/// that was still open when a submission was refused, or that followed a cancellation.
fn is_explained(send: &CallRecord, others: &[&CallRecord], start: Timestamp) -> bool {
    let explains = |other: &CallRecord| match send.purpose {
        Purpose::Cancel => other.sent_us > send.sent_us,
        Purpose::Submit | Purpose::Resubmit => other.ended_us > send.ended_us,
    };
    let mut others = others.iter().filter(|other| !std::ptr::eq(**other, send));
    start > send.ended_us && others.any(|o| o.sent_us <= start && explains(o))
}

/// Finds answers that belong to something else or are not complete as they claim.
pub fn wrong_answers(sends: &[CallRecord], index: &Index) -> Vec<Violation> {
    sends.iter().flat_map(|send| wrong_answer(send, index)).collect()
}

/// Finds what is wrong with one answer.
fn wrong_answer(send: &CallRecord, index: &Index) -> Vec<Violation> {
    let Some(answer) = &send.answer else { return Vec::new() };
    let foreign =
        |found: String| Violation::ForeignAnswer { mark: send.mark.clone(), found };
    let mut found = Vec::new();
    match (&send.submission_id, &answer.submission) {
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
    if !tasks.iter().copied().eq((0..send.tasks).map(TaskIndex)) {
        found.push(Violation::MissingResults { mark: send.mark.clone(), tasks });
    }
    let foreign_results = answer.results.iter().filter(|r| !is_own(send, answer, r));
    let text = |r: &ResultBody| String::from_utf8_lossy(&r.body).into_owned();
    found.extend(foreign_results.map(|result| foreign(text(result))));
    let unfinished =
        (0..send.tasks).map(TaskIndex).filter(|task| !index.is_finished(send, *task));
    found.extend(
        unfinished.map(|task| Violation::CompleteWithoutFinish {
            mark: send.mark.clone(),
            task,
        }),
    );
    found
}

/// The part of a stand-in's result that identifies its task.
#[derive(Debug, Deserialize)]
struct ResultIds {
    /// The submission.
    submission: SubmissionId,
    /// The position of the task.
    task: TaskIndex,
    /// The mark of the task.
    mark: Option<String>,
}

/// Returns whether a result belongs to the task that it is given for.
fn is_own(send: &CallRecord, answer: &AnswerBody, result: &ResultBody) -> bool {
    let Ok(ids) = serde_json::from_slice::<ResultIds>(&result.body) else { return false };
    let expected = send.submission_id.as_ref().or(answer.submission.as_ref());
    expected.is_none_or(|id| *id == ids.submission)
        && ids.task == result.task
        && ids.mark.is_none_or(|mark| mark == task_mark(&send.mark, result.task))
}

/// Returns whether an answer says that nothing was started.
///
/// The refusal of a cancellation says nothing about the submission.
fn says_not_run(send: &CallRecord, answer: &AnswerBody) -> bool {
    match answer.outcome {
        OutcomeName::Refused => send.purpose != Purpose::Cancel,
        OutcomeName::Cancelled => answer.code == CANCELLED_NOT_RUN,
        _ => false,
    }
}

/// Groups the calls that submit, by submission.
fn submissions_by_mark(sends: &[CallRecord]) -> HashMap<&str, Vec<&CallRecord>> {
    let mut by_mark: HashMap<&str, Vec<&CallRecord>> = HashMap::new();
    for send in sends.iter().filter(|send| send.purpose != Purpose::Cancel) {
        by_mark.entry(&send.mark).or_default().push(send);
    }
    by_mark
}
