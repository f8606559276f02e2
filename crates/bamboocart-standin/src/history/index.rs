//! Starts and finishes by submission and by mark.

use std::collections::{HashMap, HashSet};

use bamboocart_core::id::{SubmissionId, TaskIndex};
use bamboocart_core::time::Timestamp;

use super::event::{EventKind, RunId, TargetEvent};
use super::send::{CallRecord, task_mark};

/// Identifies a task.
///
/// The mark identifies a task even when the system ran it under several ids. The id is
/// used for tasks without a mark.
#[derive(Debug, Clone, Eq, PartialEq, Hash)]
pub enum TaskKey {
    /// The mark in the payload.
    Mark(String),
    /// The id.
    Id(SubmissionId, TaskIndex),
}

/// Starts and finishes by task.
#[derive(Debug, Default)]
pub struct Index<'a> {
    /// The starts, each found by its mark and by its id.
    starts: HashMap<TaskKey, Vec<&'a TargetEvent>>,
    /// The tasks that were finished.
    finished: HashSet<TaskKey>,
}

impl<'a> Index<'a> {
    /// Creates an index of events.
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

    /// Returns the starts of every task.
    pub fn all_starts(&self) -> impl Iterator<Item = (&TaskKey, &[&'a TargetEvent])> {
        self.starts.iter().map(|(key, starts)| (key, starts.as_slice()))
    }

    /// Returns the times at which any task of a submission was started.
    pub fn start_times(&self, send: &CallRecord) -> Vec<Timestamp> {
        let tasks = (0..send.tasks).map(TaskIndex);
        let keys = tasks.flat_map(|task| keys_of_send(send, task));
        let starts = keys.filter_map(|key| self.starts.get(&key)).flatten();
        starts.map(|start| start.at_us).collect()
    }

    /// Returns whether a task of a submission was finished.
    pub fn is_finished(&self, send: &CallRecord, task: TaskIndex) -> bool {
        keys_of_send(send, task).any(|key| self.finished.contains(&key))
    }
}

/// Returns the keys that a run is found by.
fn keys_of_run(run: &RunId) -> impl Iterator<Item = TaskKey> {
    let by_mark = run.mark.as_ref().map(|mark| TaskKey::Mark(mark.to_string()));
    by_mark.into_iter().chain([TaskKey::Id(run.submission.clone(), run.task)])
}

/// Returns the keys that a task of a submission is found by.
fn keys_of_send(send: &CallRecord, task: TaskIndex) -> impl Iterator<Item = TaskKey> {
    let by_id = send.submission_id.clone().map(|id| TaskKey::Id(id, task));
    [TaskKey::Mark(task_mark(&send.mark, task))].into_iter().chain(by_id)
}
