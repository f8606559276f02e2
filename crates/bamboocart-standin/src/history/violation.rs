//! What is wrong with a history.

use bamboocart_core::id::{Attempt, InstanceName, SubmissionId, TaskIndex};
use bamboocart_core::time::Timestamp;
use serde::Serialize;
use snafu::Snafu;

/// A violation of an invariant.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Snafu)]
#[serde(tag = "violation", rename_all = "kebab-case")]
pub enum Violation {
    /// The history cannot show that nothing was violated.
    #[snafu(display("{dropped} events are missing from the history; shorten the run"))]
    IncompleteHistory {
        /// The number of missing events.
        dropped: u64,
    },
    /// A task was started more than once.
    #[snafu(display("task {task:?} of {submission} was started again: {starts:?}"))]
    StartedTwice {
        /// The submission of the first start.
        submission: SubmissionId,
        /// The task.
        task: TaskIndex,
        /// The targets and attempts of all starts.
        starts: Vec<(InstanceName, Attempt)>,
    },
    /// A submission that was answered "not run" was started.
    #[snafu(display("{mark} was answered {code} at {answered_us:?} and was started"))]
    NotRunButStarted {
        /// The submission.
        mark: String,
        /// The code of the answer.
        code: String,
        /// The time of the answer.
        answered_us: Timestamp,
        /// The time of the start.
        started_us: Timestamp,
    },
    /// A complete answer lacks results.
    #[snafu(display("the complete answer to {mark} has results for {tasks:?} only"))]
    MissingResults {
        /// The submission.
        mark: String,
        /// The tasks that have results.
        tasks: Vec<TaskIndex>,
    },
    /// An answer belongs to another submission or task.
    #[snafu(display("{mark} received an answer of another submission or task: {found}"))]
    ForeignAnswer {
        /// The submission.
        mark: String,
        /// What was received.
        found: String,
    },
    /// A complete answer was given for a task that no target finished.
    #[snafu(display("{mark} was answered complete and task {task:?} was not finished"))]
    CompleteWithoutFinish {
        /// The submission.
        mark: String,
        /// The task.
        task: TaskIndex,
    },
    /// A target was given work too long after it was set leaving.
    #[snafu(display("{target} started {submission} {late_ms} ms after it was leaving"))]
    StartedWhileLeaving {
        /// The target.
        target: InstanceName,
        /// The submission.
        submission: SubmissionId,
        /// The time since the target was set leaving.
        late_ms: u64,
    },
}
