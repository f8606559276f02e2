//! Stored jobs and the log records from which they are rebuilt.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::id::{Checkpoint, JobId, MemberId, RunRef, TaskRef};
use crate::message::{EndReport, RunEnd};
use crate::operator::catalog::Queue;
use crate::owner::submission::{JobState, NewJob};
use crate::owner::task::MAX_CRASHES;

/// Number of recent occurrences for which it is kept which runs have done their tasks.
const DONE_RUNS_OCCURRENCES: u32 = 3;

/// A record of a shard's log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LogRecord {
    /// An instance has become the owner of the shard.
    Owned {
        /// The epoch of the ownership, one above the last.
        epoch: u64,
        /// The instance that claims the shard.
        owner: MemberId,
    },
    /// A job with its whole state; a later record replaces an earlier one.
    Job(Box<StoredJob>),
    /// A run has ended as done or failed.
    Ended(EndReport),
    /// A client has cancelled the job.
    Cancelled(JobId),
    /// How many minions have crashed under runs of the tasks of a job; follows its record.
    Crashes(JobId, BTreeMap<TaskRef, u32>),
}

/// A job that outlives the process of its owner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoredJob {
    /// The queue as it was when the job was accepted.
    pub queue: Queue,
    /// The job as submitted, without its steps and task description once it has ended.
    pub job: NewJob,
    /// When the job was accepted, in milliseconds since the Unix epoch.
    pub accepted_unix_ms: u64,
    /// The first occurrence that has not ended.
    pub first_open: u32,
    /// The tasks of occurrences from `first_open` on of which runs have ended.
    pub progress: BTreeMap<u32, Vec<TaskProgress>>,
    /// The final state, if the job has ended.
    pub outcome: Option<JobState>,
    /// The runs that have done the tasks of the last completed occurrences.
    pub done_runs: BTreeMap<TaskRef, u64>,
    /// The number of minions that have crashed under runs of a task. They follow in a
    /// record of their own, since earlier records of jobs do not have them.
    #[serde(skip)]
    pub crashes: BTreeMap<TaskRef, u32>,
}

/// The progress of a task according to the ends of its runs.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TaskProgress {
    /// Whether a run of the task has ended as done.
    pub done: bool,
    /// Number of runs that ended as failed.
    pub failures: u32,
    /// Number of the highest run that has ended.
    pub last_run: u64,
    /// The checkpoint that its runs have saved.
    pub checkpoint: Checkpoint,
}

impl StoredJob {
    /// Creates a job that has just been accepted.
    pub(crate) fn new(queue: Queue, job: NewJob, accepted_unix_ms: u64) -> Self {
        Self {
            queue,
            job,
            accepted_unix_ms,
            first_open: 0,
            progress: BTreeMap::new(),
            outcome: None,
            done_runs: BTreeMap::new(),
            crashes: BTreeMap::new(),
        }
    }

    /// Returns the number of times that the steps run.
    pub(crate) fn occurrences(&self) -> u32 {
        self.job.repeat.map_or(1, |repeat| repeat.count)
    }

    /// Returns the state according to the ends of runs.
    pub(crate) fn state(&self) -> JobState {
        let started = self.first_open > 0 || !self.progress.is_empty();
        let open = if started { JobState::Active } else { JobState::Pending };
        self.outcome.unwrap_or(open)
    }

    pub(crate) fn is_occurrence_done(&self, occurrence: u32) -> bool {
        let done = |tasks: &Vec<TaskProgress>| tasks.iter().all(|task| task.done);
        occurrence < self.first_open || self.progress.get(&occurrence).is_some_and(done)
    }

    /// Returns whether the end of a run that is done must be ignored: the run was
    /// considered lost, and another one has done its task.
    pub(crate) fn is_superseded(&self, run: RunRef) -> bool {
        self.done_runs.get(&run.task).is_some_and(|&done| done != run.run)
    }

    /// Ends the job and drops the data that only its tasks need.
    pub(crate) fn close(&mut self, outcome: JobState) {
        self.outcome = Some(outcome);
        self.job.steps = Vec::new();
        self.job.spec = "".into();
        self.progress.clear();
        self.crashes.clear();
    }

    /// Applies the end of a run; in a gang, the end of one run applies to all members.
    pub(crate) fn apply_end(&mut self, report: &EndReport) {
        let EndReport { run, end, checkpoint } = report;
        let (run, end) = (*run, *end);
        let occurrence = run.task.occurrence;
        let step = self.job.steps.get(usize::from(run.task.step));
        let Some(step) = step.filter(|_| occurrence >= self.first_open) else { return };
        let (gang, long_running) = (step.gang, step.long_running);
        let Some(position) = self.position(run.task) else { return };
        let first = position - usize::from(run.task.index);
        let members = if gang {
            first..first + usize::from(step.count)
        } else {
            position..position + 1
        };
        let count = self.job.steps.iter().map(|step| usize::from(step.count)).sum();
        let tasks = self.progress.entry(occurrence);
        let tasks = tasks.or_insert_with(|| vec![TaskProgress::default(); count]);
        let mut failures = 0;
        let mut crashed = false;
        for task in &mut tasks[members] {
            let counts = match end {
                // One end as done does all members of a gang, also those whose run of the same
                // number has crashed or failed.
                RunEnd::Done => run.run >= task.last_run,
                // An end may be reported again before its holder learns that it is confirmed.
                RunEnd::Failed | RunEnd::Crashed | RunEnd::Void => {
                    run.run > task.last_run
                }
            };
            if !counts {
                continue;
            }
            task.last_run = run.run;
            task.checkpoint.update(checkpoint);
            match end {
                RunEnd::Crashed => crashed = true,
                // Long-running tasks are started again however they end.
                _ if long_running => {}
                RunEnd::Done => task.done = true,
                RunEnd::Failed => task.failures += 1,
                RunEnd::Void => {}
            }
            failures = failures.max(task.failures);
        }
        if crashed {
            *self.crashes.entry(run.task).or_default() += 1;
        }
        match () {
            () if failures >= self.queue.max_attempts => self.close(JobState::Failed),
            () if self.crashes_of(run.task) >= MAX_CRASHES => {
                self.close(JobState::Failed)
            }
            () => self.advance(),
        }
    }

    /// Returns the number of minions that have crashed under runs of a task.
    pub(crate) fn crashes_of(&self, task: TaskRef) -> u32 {
        self.crashes.get(&task).copied().unwrap_or(0)
    }

    /// Applies the numbers of crashes that an earlier owner has recorded.
    pub(crate) fn apply_crashes(&mut self, recorded: &BTreeMap<TaskRef, u32>) {
        for (&task, &count) in recorded {
            let known = self.crashes.entry(task).or_default();
            *known = count.max(*known);
        }
    }

    /// Returns the index of a task among all tasks of an occurrence.
    fn position(&self, task: TaskRef) -> Option<usize> {
        let steps = &self.job.steps;
        let step = steps.get(usize::from(task.step))?;
        let earlier = &steps[..usize::from(task.step)];
        let before: usize = earlier.iter().map(|step| usize::from(step.count)).sum();
        (task.index < step.count).then(|| before + usize::from(task.index))
    }

    /// Records which runs have done the tasks of the first open occurrence.
    fn note_done_runs(&mut self) {
        let Some(tasks) = self.progress.get(&self.first_open) else { return };
        let counts = self.job.steps.iter().map(|step| step.count);
        let places = (0..)
            .zip(counts)
            .flat_map(|(step, count)| (0..count).map(move |index| (step, index)));
        let (job, occurrence) = (self.job.id, self.first_open);
        self.done_runs
            .retain(|task, _| task.occurrence + DONE_RUNS_OCCURRENCES > occurrence);
        for ((step, index), task) in places.zip(tasks) {
            self.done_runs
                .insert(TaskRef { job, occurrence, step, index }, task.last_run);
        }
    }

    /// Skips the occurrences that are done, and completes the job after the last one.
    fn advance(&mut self) {
        while self.first_open < self.occurrences()
            && self.is_occurrence_done(self.first_open)
        {
            self.note_done_runs();
            self.progress.remove(&self.first_open);
            self.first_open += 1;
        }
        if self.first_open >= self.occurrences() {
            self.close(JobState::Completed);
        }
    }
}
