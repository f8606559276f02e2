//! Invariants that clients and minions can observe.

use std::collections::{HashMap, HashSet};

use bamboocart_jobs::{JobId, RunEnd, RunRef, TaskRef};

use crate::minion::ConfirmedEnd;

/// The number of failed attempts of a task after which its job fails.
pub(crate) const MAX_ATTEMPTS: u64 = 3;

/// The number of minions that have to crash under a task before its job may fail.
const CRASHES_TO_FAIL: u64 = 2;

/// The number of crashes after which a task has to be given up.
const CRASH_LIMIT: u64 = 3;

/// The number of starts after [`CRASH_LIMIT`] crashes that break the rule.
const STARTS_AFTER_CRASHES: u64 = 3;

/// The time after which every instance has to know an accepted job.
const VISIBLE_US: u64 = 3_000_000;

/// The time after which no run may start in an evacuated failure domain.
const EVACUATE_US: u64 = 5_000_000;

/// Observes events and records each violation of an invariant.
#[derive(Debug, Default)]
pub(crate) struct InvariantChecker {
    /// The active runs of each task, with the indices of their minions.
    active: HashMap<TaskRef, Vec<(u64, usize)>>,
    /// The jobs that clients have sent.
    sent: HashSet<JobId>,
    /// The jobs that have had a task start.
    started: HashSet<JobId>,
    /// The jobs that were refused at their first attempt.
    refused: HashSet<JobId>,
    /// The start of the latest run of each task.
    last_start_us: HashMap<TaskRef, u64>,
    /// The tasks with a run that ended as done.
    done: HashSet<TaskRef>,
    /// The tasks of stored jobs whose end as done was confirmed to the minion.
    confirmed_done: HashSet<TaskRef>,
    /// The number of failed runs of each task.
    failures: HashMap<TaskRef, u64>,
    /// The number of minions that have crashed under each task.
    crashes: HashMap<TaskRef, u64>,
    /// The number of starts of each task after [`CRASH_LIMIT`] crashes.
    starts_after_crashes: HashMap<TaskRef, u64>,
    /// When the evacuations in force were acknowledged, by the index of the failure domain.
    evacuated_us: HashMap<usize, u64>,
    /// The violations in the order in which they occurred.
    pub(crate) violations: Vec<String>,
}

impl InvariantChecker {
    /// Records that a client sends a job.
    pub(crate) fn note_sent(&mut self, job: JobId) {
        self.sent.insert(job);
    }

    /// Records that a minion has started a run.
    ///
    /// The job must have been sent and not refused, no end of the task as done may be
    /// confirmed, and no other run of the task may be active.
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
        if self.crashes.get(&run.task).is_some_and(|&count| count >= CRASH_LIMIT) {
            let starts = self.starts_after_crashes.entry(run.task).or_default();
            *starts += 1;
            if *starts >= STARTS_AFTER_CRASHES {
                self.violations
                    .push(format!("{at_ms} ms: {} goes on crashing minions", run.task));
            }
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

    /// Records that a run was started on a minion without the label that its task requires.
    pub(crate) fn note_wrong_label(&mut self, now_us: u64, run: RunRef) {
        let at_ms = now_us / 1_000;
        let violation = format!("{at_ms} ms: {} runs without its label", run.task);
        self.violations.push(violation);
    }

    /// Records that the store has acknowledged the evacuation of a failure domain.
    pub(crate) fn note_evacuated(&mut self, now_us: u64, domain: usize) {
        self.evacuated_us.insert(domain, now_us);
    }

    /// Records that a failure domain was taken back.
    pub(crate) fn note_taken_back(&mut self, domain: usize) {
        self.evacuated_us.remove(&domain);
    }

    /// Records the failure domain in which a run was started, by an order that came in time.
    /// It must not have been evacuated for longer than [`EVACUATE_US`].
    pub(crate) fn note_domain(&mut self, now_us: u64, run: RunRef, domain: usize) {
        let acknowledged_us = self.evacuated_us.get(&domain);
        if acknowledged_us.is_some_and(|&at_us| now_us > at_us + EVACUATE_US) {
            let at_ms = now_us / 1_000;
            self.violations.push(format!(
                "{at_ms} ms: {} starts in an evacuated failure domain",
                run.task
            ));
        }
    }

    /// Records that a run is no longer active.
    pub(crate) fn note_inactive(&mut self, run: RunRef, minion: usize) {
        if let Some(active) = self.active.get_mut(&run.task) {
            active.retain(|&entry| entry != (run.run, minion));
        }
    }

    /// Records that a client was told that its job has not run.
    ///
    /// This must hold if the refusal answers the first attempt.
    pub(crate) fn note_refusal(&mut self, now_us: u64, job: JobId, first_attempt: bool) {
        if first_attempt && self.started.contains(&job) {
            let at_ms = now_us / 1_000;
            self.violations.push(format!("{at_ms} ms: {job} refused though started"));
        }
        if first_attempt {
            self.refused.insert(job);
        }
    }

    /// Records how a run ended by itself.
    pub(crate) fn note_end(&mut self, run: RunRef, end: RunEnd) {
        match end {
            RunEnd::Done => {
                self.done.insert(run.task);
            }
            RunEnd::Failed => *self.failures.entry(run.task).or_default() += 1,
            RunEnd::Void | RunEnd::Crashed => {}
        }
    }

    /// Records that an end of a run of a stored job was confirmed to its minion.
    ///
    /// An end as done must not be confirmed if the task has started again since.
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

    /// Records that a stored job was reported as completed, and checks that its tasks are
    /// done.
    ///
    /// A gang is done as soon as one of its tasks is.
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

    /// Records that a minion has crashed under an active run.
    pub(crate) fn note_crash(&mut self, run: RunRef) {
        *self.crashes.entry(run.task).or_default() += 1;
    }

    /// Records that a stored job was reported as failed, which needs a task with
    /// [`MAX_ATTEMPTS`] failed runs, or one under which [`CRASHES_TO_FAIL`] minions have
    /// crashed.
    pub(crate) fn note_failed(&mut self, now_us: u64, job: JobId) {
        let most = |counts: &HashMap<TaskRef, u64>| {
            let of_job = counts.iter().filter(|(task, _)| task.job == job);
            of_job.map(|(_, &count)| count).max().unwrap_or(0)
        };
        let crashed = most(&self.crashes) >= CRASHES_TO_FAIL;
        if most(&self.failures) < MAX_ATTEMPTS && !crashed {
            let at_ms = now_us / 1_000;
            self.violations
                .push(format!("{at_ms} ms: {job} is shown as failed without cause"));
        }
    }

    /// Records that an instance did not know an accepted job, which must not happen later
    /// than [`VISIBLE_US`] after its acceptance.
    pub(crate) fn note_unknown(&mut self, now_us: u64, job: JobId, accepted_us: u64) {
        if now_us > accepted_us + VISIBLE_US {
            let at_ms = now_us / 1_000;
            self.violations
                .push(format!("{at_ms} ms: {job} was accepted and is not known"));
        }
    }
}
