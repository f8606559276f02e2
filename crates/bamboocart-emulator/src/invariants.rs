//! The rules that clients and minions can observe.

use std::collections::{HashMap, HashSet};

use bamboocart_jobs::{JobId, RunEnd, RunRef, TaskRef};

use crate::minion::ConfirmedEnd;

/// How often a task may fail before its job has.
pub(crate) const MAX_ATTEMPTS: u64 = 3;

/// The time after which all instances have to know an accepted job.
const VISIBLE_US: u64 = 3_000_000;

/// Records what happens and notes each broken rule.
#[derive(Debug, Default)]
pub(crate) struct InvariantChecker {
    /// The active runs of each task, with their minions.
    active: HashMap<TaskRef, Vec<(u64, usize)>>,
    /// The jobs that clients have sent.
    sent: HashSet<JobId>,
    /// The jobs of which a task has started.
    started: HashSet<JobId>,
    /// The jobs all of whose attempts were refused so far.
    refused: HashSet<JobId>,
    /// When the last run of each task began.
    last_start_us: HashMap<TaskRef, u64>,
    /// The tasks of which a run has ended as done.
    done: HashSet<TaskRef>,
    /// The tasks of stored jobs of which the end as done was taken note of.
    confirmed_done: HashSet<TaskRef>,
    /// The runs of each task that have ended as failed.
    failures: HashMap<TaskRef, u64>,
    /// What was broken.
    pub(crate) violations: Vec<String>,
}

impl InvariantChecker {
    pub(crate) fn note_sent(&mut self, job: JobId) {
        self.sent.insert(job);
    }

    /// Notes that a minion has begun a run.
    pub(crate) fn note_start(&mut self, now_us: u64, run: RunRef, minion: usize) {
        let at_ms = now_us / 1_000;
        if !self.sent.contains(&run.task.job) {
            self.violations.push(format!("{at_ms} ms: {} was never asked for", run.task));
        }
        if self.refused.contains(&run.task.job) {
            self.violations
                .push(format!("{at_ms} ms: {} starts though refused", run.task));
        }
        if self.confirmed_done.contains(&run.task) {
            self.violations.push(format!("{at_ms} ms: {} starts though done", run.task));
        }
        self.last_start_us.insert(run.task, now_us);
        self.started.insert(run.task.job);
        let active = self.active.entry(run.task).or_default();
        if let Some((other, other_minion)) = active.first() {
            self.violations.push(format!(
                "{at_ms} ms: {} runs twice: {other} on {other_minion}, {} on {minion}",
                run.task, run.run
            ));
        }
        active.push((run.run, minion));
    }

    /// Notes that a run is no longer active.
    pub(crate) fn note_inactive(&mut self, run: RunRef, minion: usize) {
        if let Some(active) = self.active.get_mut(&run.task) {
            active.retain(|&entry| entry != (run.run, minion));
        }
    }

    /// Notes that a client was told that its job has not run.
    pub(crate) fn note_refusal(&mut self, now_us: u64, job: JobId, first_attempt: bool) {
        if first_attempt && self.started.contains(&job) {
            let at_ms = now_us / 1_000;
            self.violations.push(format!("{at_ms} ms: {job} refused though started"));
        }
        if first_attempt {
            self.refused.insert(job);
        }
    }

    /// Notes how a run has ended by itself.
    pub(crate) fn note_end(&mut self, run: RunRef, end: RunEnd) {
        match end {
            RunEnd::Done => {
                self.done.insert(run.task);
            }
            RunEnd::Failed => *self.failures.entry(run.task).or_default() += 1,
            RunEnd::Void => {}
        }
    }

    /// Notes that the end of a run of a stored job was taken note of.
    pub(crate) fn note_confirmed_end(&mut self, now_us: u64, confirmed: &ConfirmedEnd) {
        if confirmed.end != RunEnd::Done {
            return;
        }
        let task = confirmed.run.task;
        if self.last_start_us.get(&task).is_some_and(|&start| start > confirmed.at_us) {
            let at_ms = now_us / 1_000;
            self.violations.push(format!(
                "{at_ms} ms: {task} is noted as done and was started since"
            ));
        }
        self.confirmed_done.insert(task);
    }

    /// Notes that a stored job was shown as completed.
    pub(crate) fn note_completed(
        &mut self,
        now_us: u64,
        job: JobId,
        tasks: &[(u16, u16)],
        gang: bool,
    ) {
        let missing = tasks.iter().filter(|&&(step, index)| {
            let member = |index| TaskRef { job, occurrence: 0, step, index };
            let any =
                || tasks.iter().any(|&(_, index)| self.done.contains(&member(index)));
            let done = self.done.contains(&member(index)) || (gang && any());
            !done
        });
        let missing = missing.count();
        if missing > 0 {
            let at_ms = now_us / 1_000;
            self.violations.push(format!(
                "{at_ms} ms: {job} is shown as completed, but {missing} tasks are not done"
            ));
        }
    }

    /// Notes that a stored job was shown as failed.
    pub(crate) fn note_failed(&mut self, now_us: u64, job: JobId) {
        let failures = self.failures.iter().filter(|(task, _)| task.job == job);
        if failures.map(|(_, &failures)| failures).max() < Some(MAX_ATTEMPTS) {
            let at_ms = now_us / 1_000;
            self.violations
                .push(format!("{at_ms} ms: {job} is shown as failed without cause"));
        }
    }

    /// Notes that an instance did not know a job that was accepted some time before.
    pub(crate) fn note_unknown(&mut self, now_us: u64, job: JobId, accepted_us: u64) {
        if now_us > accepted_us + VISIBLE_US {
            let at_ms = now_us / 1_000;
            self.violations
                .push(format!("{at_ms} ms: {job} was accepted and is not known"));
        }
    }
}
