//! The rules that clients and minions can observe.

use std::collections::{HashMap, HashSet};

use bamboocart_jobs::{JobId, RunRef, TaskRef};

/// Records what happens and notes each broken rule.
#[derive(Debug, Default)]
pub(crate) struct Checks {
    /// The active runs of each task, with their minions.
    active: HashMap<TaskRef, Vec<(u64, usize)>>,
    /// The jobs that clients have sent.
    sent: HashSet<JobId>,
    /// The jobs of which a task has started.
    started: HashSet<JobId>,
    /// The jobs all of whose attempts were refused so far.
    refused: HashSet<JobId>,
    /// What was broken.
    pub(crate) broken: Vec<String>,
}

impl Checks {
    pub(crate) fn sent(&mut self, job: JobId) {
        self.sent.insert(job);
    }

    /// Notes that a minion has begun a run.
    pub(crate) fn started(&mut self, now_us: u64, run: RunRef, minion: usize) {
        let at_ms = now_us / 1_000;
        if !self.sent.contains(&run.task.job) {
            self.broken.push(format!("{at_ms} ms: {} was never asked for", run.task));
        }
        if self.refused.contains(&run.task.job) {
            self.broken.push(format!("{at_ms} ms: {} starts though refused", run.task));
        }
        self.started.insert(run.task.job);
        let active = self.active.entry(run.task).or_default();
        if let Some((other, where_)) = active.first() {
            self.broken.push(format!(
                "{at_ms} ms: {} runs twice: {other} on {where_}, {} on {minion}",
                run.task, run.run
            ));
        }
        active.push((run.run, minion));
    }

    /// Notes that a run is no longer active.
    pub(crate) fn ended(&mut self, run: RunRef, minion: usize) {
        if let Some(active) = self.active.get_mut(&run.task) {
            active.retain(|&entry| entry != (run.run, minion));
        }
    }

    /// Notes that a client was told that its job has not run.
    pub(crate) fn refused(&mut self, now_us: u64, job: JobId, first_attempt: bool) {
        if first_attempt && self.started.contains(&job) {
            let at_ms = now_us / 1_000;
            self.broken.push(format!("{at_ms} ms: {job} refused though started"));
        }
        if first_attempt {
            self.refused.insert(job);
        }
    }
}
