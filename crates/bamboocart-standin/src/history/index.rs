//! An index of starts and finishes by submission id and by mark.

use std::collections::{HashMap, HashSet};

use bamboocart_core::id::{SubmissionId, TaskIndex};
use bamboocart_core::time::Timestamp;

use super::call::{CallRecord, task_mark};
use super::event::{EventKind, RunId, TargetEvent};

/// A key under which a task is found.
///
/// The mark identifies a task even if the system ran it under several submission ids.
/// Tasks without a mark are found by their id.
#[derive(Debug, Clone, Eq, PartialEq, Hash)]
pub enum TaskKey {
    /// The mark in the payload of the task.
    Mark(String),
    /// The submission id and the position of the task in the submission.
    Id(SubmissionId, TaskIndex),
}

/// The starts and finishes in a history, by task.
#[derive(Debug, Default)]
pub struct Index<'a> {
    /// The starts; a start with a mark is listed under its mark and under its id.
    starts: HashMap<TaskKey, Vec<&'a TargetEvent>>,
    /// The keys of the tasks that were finished.
    finished: HashSet<TaskKey>,
}

impl<'a> Index<'a> {
    /// Indexes events, whose order is kept within each task.
    pub fn new(events: &'a [TargetEvent]) -> Self {
        let mut index = Self::default();
        for event in events {
            let keys = event.run.iter().flat_map(keys_of_run);
            match event.kind {
                EventKind::Started => {
                    keys.for_each(|key| index.starts.entry(key).or_default().push(event));
                }
                EventKind::Finished => index.finished.extend(keys),
                _ => {}
            }
        }
        index
    }

    /// Returns the starts of every task, once for each of its keys.
    pub fn all_starts(&self) -> impl Iterator<Item = (&TaskKey, &[&'a TargetEvent])> {
        self.starts.iter().map(|(key, starts)| (key, starts.as_slice()))
    }

    /// Returns the times at which any task of a submission was started.
    pub fn start_times(&self, call: &CallRecord) -> Vec<Timestamp> {
        let tasks = (0..call.tasks).map(TaskIndex);
        let keys = tasks.flat_map(|task| keys_of_call(call, task));
        let starts = keys.filter_map(|key| self.starts.get(&key)).flatten();
        starts.map(|start| start.at_us).collect()
    }

    /// Returns whether a task of a submission was finished.
    pub fn is_finished(&self, call: &CallRecord, task: TaskIndex) -> bool {
        keys_of_call(call, task).any(|key| self.finished.contains(&key))
    }
}

/// Returns the keys under which a run is indexed.
fn keys_of_run(run: &RunId) -> impl Iterator<Item = TaskKey> {
    let by_mark = run.mark.as_ref().map(|mark| TaskKey::Mark(mark.to_string()));
    by_mark.into_iter().chain([TaskKey::Id(run.submission.clone(), run.task)])
}

/// Returns the keys under which a task of a call may be indexed.
fn keys_of_call(call: &CallRecord, task: TaskIndex) -> impl Iterator<Item = TaskKey> {
    let by_id = call.submission_id.clone().map(|id| TaskKey::Id(id, task));
    [TaskKey::Mark(task_mark(&call.mark, task))].into_iter().chain(by_id)
}
