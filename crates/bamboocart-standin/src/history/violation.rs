//! The violations that the history check reports.

use bamboocart_core::id::{Attempt, InstanceName, SubmissionId, TaskIndex};
use bamboocart_core::time::Timestamp;
use serde::Serialize;
use snafu::Snafu;

/// A violated invariant; its kebab-case name is part of the report.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Snafu)]
#[serde(tag = "violation", rename_all = "kebab-case")]
pub enum Violation {
    /// Events are missing, so that the history cannot prove the absence of violations.
    #[snafu(display("{dropped} events are missing from the history; shorten the run"))]
    IncompleteHistory {
        /// The number of events that the targets dropped.
        dropped: u64,
    },
    /// A task was started more than once.
    #[snafu(display("task {task:?} of {submission} was started again: {starts:?}"))]
    StartedTwice {
        /// The submission id of the first start.
        submission: SubmissionId,
        /// The position of the task in its submission.
        task: TaskIndex,
        /// The targets and attempt numbers of all starts.
        starts: Vec<(InstanceName, Attempt)>,
    },
    /// A submission that was answered "not run" was started.
    #[snafu(display("{mark} was answered {code} at {answered_us:?} but was started"))]
    NotRunButStarted {
        /// The mark of the submission.
        mark: String,
        /// The code of the answer.
        code: String,
        /// The time at which the answer arrived.
        answered_us: Timestamp,
        /// The time of the earliest start that no other call accounts for.
        started_us: Timestamp,
    },
    /// A complete answer lacks results.
    #[snafu(display("the complete answer to {mark} has results for {tasks:?} only"))]
    MissingResults {
        /// The mark of the submission.
        mark: String,
        /// The tasks that have results, with repetitions.
        tasks: Vec<TaskIndex>,
    },
    /// An answer belongs to another submission or task.
    #[snafu(display("{mark} received an answer of another submission or task: {found}"))]
    ForeignAnswer {
        /// The mark of the submission that was asked for.
        mark: String,
        /// The submission id or the body of the result that was received instead.
        found: String,
    },
    /// A complete answer was given for a task that no target finished.
    #[snafu(display("{mark} was answered complete but task {task:?} was not finished"))]
    CompleteWithoutFinish {
        /// The mark of the submission.
        mark: String,
        /// The position of the unfinished task in the submission.
        task: TaskIndex,
    },
    /// A target started a task too long after it was put into the leaving state.
    #[snafu(display(
        "{target} started {submission} {late_ms} ms after it began leaving"
    ))]
    StartedWhileLeaving {
        /// The name of the target.
        target: InstanceName,
        /// The id of the submission that was started.
        submission: SubmissionId,
        /// The time from the leaving state to the start.
        late_ms: u64,
    },
}
