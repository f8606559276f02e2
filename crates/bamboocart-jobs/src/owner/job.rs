//! Jobs that have not ended, as their owner sees them.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::effect::RequestKey;
use crate::holder::minion::MinionKey;
use crate::id::{OccurrenceRef, RunRef, SharedStr, TaskRef};
use crate::operator::catalog::Queue;
use crate::overload::OverloadPolicy;
use crate::owner::submission::{JobState, Step, Submission, critical_path_ms};
use crate::owner::task::{Task, TaskState, tasks_of};
use crate::placement::advice::StepAdvice;
use crate::placement::capacity_search::SearchState;
use crate::time::Moment;

/// The divisor of the latency objective that gives the longest wait of a job for its
/// first start. A job that waits longer cannot meet the objective any more.
const WAIT_DIVISOR: u64 = 4;

/// An occurrence of a job that has not ended.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) id: OccurrenceRef,
    pub(crate) queue: Arc<Queue>,
    /// The text that every task receives from the client.
    pub(crate) spec: SharedStr,
    pub(crate) steps: Vec<Step>,
    /// The tasks of all steps, in the order of steps and indexes.
    pub(crate) tasks: Vec<Task>,
    /// The requests that wait for the end of the job.
    pub(crate) requests: Vec<RequestKey>,
    /// When the job arrived, or when the occurrence was due.
    pub(crate) arrived: Moment,
    /// The latency objective, counted from the arrival.
    pub(crate) objective_ms: u64,
    /// How the job competes with others for room.
    pub(crate) policy: OverloadPolicy,
    /// What of the job survives the process of its owner.
    pub(crate) durability: Durability,
    /// Whether the start of a task was requested.
    pub(crate) start_ordered: bool,
    /// The verdicts of the advice service by step, if the queue takes advice.
    pub(crate) advice: BTreeMap<u16, StepAdvice>,
    /// The search for minions whose free capacity is not known.
    pub(crate) search: SearchState,
}

/// What of a job survives the process of its owner.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub(crate) enum Durability {
    /// Nothing; the client sends the job again.
    BestEffort {
        /// When the client stops waiting.
        deadline: Moment,
    },
    /// The job and the ends of its runs are in the shard's log; the job has no deadline.
    Stored {
        /// The ownership epoch of its shard, which start requests carry.
        epoch: u64,
    },
}

/// The size of the range of run numbers that each owner of a shard has for a task. A new
/// owner may not know all runs that an earlier one has started.
const RUNS_PER_EPOCH: u64 = 1_000;

/// The position of a job in the order in which waiting jobs are placed.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Ord, PartialOrd)]
pub(crate) struct Rank {
    /// The priority rank of the queue; 0 is the most urgent.
    priority: u8,
    /// Whether no task has started, if jobs that have begun come first.
    waits_to_begin: bool,
    /// The time up to which the job may wait for its first start.
    start_by: Moment,
    pub(crate) job: OccurrenceRef,
}

impl Job {
    /// Creates a job that is not stored; `typical_pace` is the usual ratio of run time to
    /// estimate, with which its objective grows.
    pub(crate) fn best_effort(
        submission: Submission,
        typical_pace: f64,
        policy: OverloadPolicy,
        now: Moment,
    ) -> Self {
        let Submission { request, queue, job, timeout_ms } = submission;
        Self {
            id: job.id.into(),
            objective_ms: objective_ms(&queue, &job.steps, typical_pace),
            queue,
            spec: job.spec,
            tasks: tasks_of(&job.steps),
            steps: job.steps,
            requests: vec![request],
            arrived: now,
            policy,
            durability: Durability::BestEffort { deadline: now + timeout_ms },
            start_ordered: false,
            advice: BTreeMap::new(),
            search: SearchState::default(),
        }
    }

    /// Creates an occurrence of a stored job, which is owned under `epoch`.
    pub(crate) fn stored(
        id: OccurrenceRef,
        queue: Arc<Queue>,
        (spec, steps, tasks): (SharedStr, Vec<Step>, Vec<Task>),
        typical_pace: f64,
        arrived: Moment,
        epoch: u64,
    ) -> Self {
        let mut job = Self {
            id,
            objective_ms: objective_ms(&queue, &steps, typical_pace),
            queue,
            spec,
            steps,
            tasks,
            requests: Vec::new(),
            arrived,
            policy: OverloadPolicy::default(),
            durability: Durability::Stored { epoch },
            start_ordered: false,
            advice: BTreeMap::new(),
            search: SearchState::default(),
        };
        job.start_ordered = job.tasks.iter().any(|task| task.last_run > 0);
        job.unblock();
        job
    }

    /// Returns whether the job is stored.
    pub(crate) fn is_stored(&self) -> bool {
        matches!(self.durability, Durability::Stored { .. })
    }

    /// Returns the epoch that start requests of the job carry; 0 if it is not stored.
    pub(crate) fn epoch(&self) -> u64 {
        match self.durability {
            Durability::Stored { epoch } => epoch,
            Durability::BestEffort { .. } => 0,
        }
    }

    /// Returns the number of the next run of a task, above its last known run and in the
    /// range of the present owner.
    pub(crate) fn next_run(&self, last_run: u64) -> u64 {
        let base = self.epoch().saturating_sub(1) * RUNS_PER_EPOCH;
        last_run.max(base) + 1
    }

    /// Returns when the client stops waiting, if one waits.
    pub(crate) fn deadline(&self) -> Option<Moment> {
        match self.durability {
            Durability::BestEffort { deadline } => Some(deadline),
            Durability::Stored { .. } => None,
        }
    }

    /// Adds a request that waits for the end of the job, and extends the deadline to
    /// `until`.
    pub(crate) fn join(&mut self, request: RequestKey, until: Moment) {
        self.requests.push(request);
        if let Durability::BestEffort { deadline } = &mut self.durability {
            *deadline = until.max(*deadline);
        }
    }

    /// Returns the step of a task.
    pub(crate) fn step_of(&self, task: usize) -> &Step {
        &self.steps[usize::from(self.tasks[task].step)]
    }

    /// Returns the ticket that a run of a task on a minion needs, if one is needed and
    /// known.
    pub(crate) fn ticket(
        &self,
        task: usize,
        minion: MinionKey,
        now: Moment,
    ) -> Option<SharedStr> {
        let advice = self.advice.get(&self.tasks[task].step)?;
        advice.ticket(minion, now).cloned()
    }

    /// Returns the reference to a task.
    pub(crate) fn task_ref(&self, task: usize) -> TaskRef {
        self.tasks[task].task_ref(self.id)
    }

    /// Returns the reference to the last run of a task.
    pub(crate) fn run_ref(&self, task: usize) -> RunRef {
        RunRef { task: self.task_ref(task), run: self.tasks[task].last_run }
    }

    /// Returns the position of a task in this job.
    pub(crate) fn position(&self, task: TaskRef) -> Option<usize> {
        self.tasks.iter().position(|t| t.step == task.step && t.index == task.index)
    }

    /// Returns the positions of all members of a task's gang, or of the task alone if its
    /// step is not a gang.
    pub(crate) fn gang_members(&self, task: usize) -> Vec<usize> {
        if !self.step_of(task).gang {
            return vec![task];
        }
        let step = self.tasks[task].step;
        (0..self.tasks.len()).filter(|&other| self.tasks[other].step == step).collect()
    }

    /// Returns how many tasks of a task's step are placed on a minion.
    pub(crate) fn tasks_on(&self, minion: MinionKey, task: usize) -> usize {
        let step = self.tasks[task].step;
        let siblings = self.tasks.iter().filter(|other| other.step == step);
        let placed = siblings.filter_map(|task| task.placement()?.minion);
        placed.filter(|&it| it == minion).count()
    }

    /// Returns when the job is refused unless the start of a task was requested.
    pub(crate) fn start_by(&self) -> Moment {
        self.arrived + self.objective_ms / WAIT_DIVISOR
    }

    /// Returns when the job is given up, or refused if no start was requested; none if it
    /// has no deadline.
    pub(crate) fn ends_by(&self) -> Option<Moment> {
        let deadline = self.deadline()?;
        Some(if self.start_ordered { deadline } else { self.start_by() })
    }

    /// Returns the time by which a task that is placed now has to end, if the job has a
    /// deadline.
    ///
    /// Before the first start, only minions that can meet the objective are considered.
    pub(crate) fn finish_by(&self) -> Option<Moment> {
        let deadline = self.deadline()?;
        let objective = self.arrived + self.objective_ms;
        Some(if self.start_ordered { deadline } else { deadline.min(objective) })
    }

    /// Returns the time by which a task that is expected to run for `expected_ms` has to end,
    /// if it is placed now and the job has a deadline.
    ///
    /// A job that has begun keeps to its objective for as long as it can still be met:
    /// waiting for a fast minion then ends it sooner than a slow one.
    pub(crate) fn place_by(&self, expected_ms: f64, now: Moment) -> Option<Moment> {
        let objective = self.arrived + self.objective_ms;
        let keeps = self.policy == OverloadPolicy::ByCost
            && objective.since(now) as f64 >= expected_ms;
        self.finish_by().map(|limit| if keeps { limit.min(objective) } else { limit })
    }

    /// Returns the longest estimate of the tasks of all steps, in milliseconds.
    pub(crate) fn longest_run_ms(&self) -> f64 {
        critical_path_ms(&self.steps) as f64
    }

    /// Returns the job's position in the order of waiting jobs: by priority, then those that
    /// have begun if the policy says so, then by the time up to which they may wait for their
    /// first start.
    ///
    /// The capacity that a job has taken is lost for others if its last tasks come too late.
    pub(crate) fn rank(&self) -> Rank {
        let begun_first = self.policy == OverloadPolicy::ByCost;
        Rank {
            priority: self.queue.priority,
            waits_to_begin: begun_first && !self.start_ordered,
            start_by: self.start_by(),
            job: self.id,
        }
    }

    /// Returns whether any task can be placed.
    pub(crate) fn is_waiting(&self) -> bool {
        self.tasks.iter().any(Task::is_waiting)
    }

    /// Returns whether all tasks that can be placed pause after rejected starts.
    pub(crate) fn is_paused(&self, now: Moment) -> bool {
        let mut waiting = self.tasks.iter().filter(|task| task.is_waiting());
        waiting.all(|task| task.backoff.is_paused(now))
    }

    /// Returns whether all tasks are done.
    pub(crate) fn is_done(&self) -> bool {
        self.tasks.iter().all(|task| task.state() == TaskState::Done)
    }

    /// Unblocks the tasks of the steps whose dependencies are done.
    pub(crate) fn unblock(&mut self) {
        let done: Vec<bool> = (0..self.steps.len())
            .map(|step| {
                let of_step = |task: &&Task| usize::from(task.step) == step;
                self.tasks.iter().filter(of_step).all(|t| t.state() == TaskState::Done)
            })
            .collect();
        for task in &mut self.tasks {
            let after = &self.steps[usize::from(task.step)].after;
            let ready = after.iter().all(|&step| done[usize::from(step)]);
            if ready {
                task.unblock();
            }
        }
    }

    /// Returns the state that clients see.
    pub(crate) fn state(&self) -> JobState {
        if self.start_ordered { JobState::Active } else { JobState::Pending }
    }
}

/// Returns the latency objective of a job.
fn objective_ms(queue: &Queue, steps: &[Step], typical_pace: f64) -> u64 {
    let chain_ms = critical_path_ms(steps) as f64;
    (queue.slack_factor * chain_ms * typical_pace) as u64 + queue.target_latency_ms
}

/// Returns how long a job may wait for its first start.
pub(crate) fn wait_limit_ms(queue: &Queue, steps: &[Step], typical_pace: f64) -> u64 {
    objective_ms(queue, steps, typical_pace) / WAIT_DIVISOR
}
