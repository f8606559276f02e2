//! Jobs and their tasks, as their owner sees them.

use std::sync::Arc;

use crate::catalog::Queue;
use crate::effect::RequestKey;
use crate::id::{JobId, RunRef, TaskRef, Text};
use crate::minion::MinionKey;
use crate::peer::PeerKey;
use crate::resources::Resources;
use crate::time::Moment;

/// A request to run a job.
#[derive(Debug, Clone)]
pub struct Submission {
    /// The request.
    pub request: RequestKey,
    /// The queue that it belongs to.
    pub queue: Arc<Queue>,
    /// The job.
    pub job: NewJob,
    /// How long the client waits for the answer.
    pub patience_ms: u64,
}

/// A job as the client describes it.
#[derive(Debug, Clone)]
pub struct NewJob {
    /// The id that the client chose.
    pub id: JobId,
    /// What every task receives.
    pub spec: Text,
    /// The steps; each names earlier ones only.
    pub steps: Vec<Step>,
    /// Whether the job is answered at its end and not stored.
    pub best_effort: bool,
    /// A feature that the job asks for and this version lacks.
    pub unsupported: Option<&'static str>,
}

/// A step of a job: tasks that differ only in their number.
#[derive(Debug, Clone, Default)]
pub struct Step {
    /// The number of tasks.
    pub count: u16,
    /// What each task needs.
    pub need: Resources,
    /// The client's estimate of the run time of a task.
    pub estimate_ms: u64,
    /// The steps whose tasks have to be done first.
    pub after: Vec<u16>,
    /// The label that a minion must have.
    pub required_label: Option<Box<str>>,
}

/// The state of a job as clients see it.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum JobState {
    /// Nothing has started.
    Pending,
    /// A task has started.
    Active,
    /// All tasks are done.
    Completed,
    /// A task has failed too often.
    Failed,
    /// The client cancelled the job.
    Cancelled,
}

/// A job that has not ended.
#[derive(Debug)]
pub(crate) struct Job {
    /// The id.
    pub(crate) id: JobId,
    /// The queue.
    pub(crate) queue: Arc<Queue>,
    /// What every task receives.
    pub(crate) spec: Text,
    /// The steps.
    pub(crate) steps: Vec<Step>,
    /// The tasks of all steps, in order.
    pub(crate) tasks: Vec<Task>,
    /// The requests that wait for the end.
    pub(crate) requests: Vec<RequestKey>,
    /// When the job arrived.
    pub(crate) arrived: Moment,
    /// The latency objective.
    pub(crate) objective_ms: u64,
    /// When the client stops waiting.
    pub(crate) deadline: Moment,
    /// Whether a start was ordered.
    pub(crate) ordered: bool,
}

/// The place of a job in the order of those that wait.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Ord, PartialOrd)]
pub(crate) struct Rank {
    /// The rank of the queue; 0 comes first.
    priority: u8,
    /// The latest start that meets the objective.
    start_by: Moment,
    /// The job.
    pub(crate) job: JobId,
}

/// A task of a job.
#[derive(Debug, Clone)]
pub(crate) struct Task {
    /// The step.
    pub(crate) step: u16,
    /// The number within the step.
    pub(crate) index: u16,
    /// Where the task stands.
    pub(crate) state: TaskState,
    /// The number of its last run.
    pub(crate) last_run: u64,
    /// How often it ended as failed.
    pub(crate) failures: u32,
    /// The minion on which its last run ended without a result.
    pub(crate) avoid: Option<MinionKey>,
}

/// Where a task stands.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub(crate) enum TaskState {
    /// An earlier step is not done.
    Blocked,
    /// It may be placed.
    Waiting,
    /// A run of it is ordered.
    Placed(Placement),
    /// It is done.
    Done,
}

impl Task {
    /// Returns where its run is ordered, if one is.
    pub(crate) fn placement(&self) -> Option<&Placement> {
        match &self.state {
            TaskState::Placed(placement) => Some(placement),
            TaskState::Blocked | TaskState::Waiting | TaskState::Done => None,
        }
    }

    /// Returns where its run is ordered, if one is, to change it.
    pub(crate) fn placement_mut(&mut self) -> Option<&mut Placement> {
        match &mut self.state {
            TaskState::Placed(placement) => Some(placement),
            TaskState::Blocked | TaskState::Waiting | TaskState::Done => None,
        }
    }
}

/// Where a run of a task is ordered.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub(crate) struct Placement {
    /// Who holds the minion.
    pub(crate) holder: Holder,
    /// The minion that was chosen; the holder may have taken another.
    pub(crate) minion: Option<MinionKey>,
    /// The fencing token of the last holder that announced the run; 0 if none did.
    pub(crate) fencing_token: u64,
    /// When the run was ordered.
    pub(crate) since: Moment,
    /// When the run is gone for certain, if its holder is lost.
    pub(crate) gone_at: Option<Moment>,
}

/// Who holds the minion of a run.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub(crate) enum Holder {
    /// This instance.
    Local(MinionKey),
    /// A peer.
    Peer(PeerKey),
}

impl Holder {
    /// Returns the peer that holds the minion, if it is one.
    pub(crate) fn peer(self) -> Option<PeerKey> {
        match self {
            Self::Peer(peer) => Some(peer),
            Self::Local(_) => None,
        }
    }
}

/// The share of the latency objective that a job may wait for its first start; what waits
/// longer cannot meet the objective any more.
const WAIT_SHARE: u64 = 4;

impl Job {
    /// Creates a job from a submission; its objective follows how long tasks usually run,
    /// over their estimates.
    pub(crate) fn new(submission: Submission, typical_pace: f64, now: Moment) -> Self {
        let Submission { request, queue, job, patience_ms } = submission;
        let tasks = tasks_of(&job.steps);
        let chain_ms = longest_chain_ms(&job.steps) as f64;
        let objective_ms = (queue.slack_factor * chain_ms * typical_pace) as u64
            + queue.target_latency_ms;
        Self {
            id: job.id,
            queue,
            spec: job.spec,
            steps: job.steps,
            tasks,
            requests: vec![request],
            arrived: now,
            objective_ms,
            deadline: now + patience_ms,
            ordered: false,
        }
    }

    /// Returns the step of a task.
    pub(crate) fn step_of(&self, task: usize) -> &Step {
        &self.steps[usize::from(self.tasks[task].step)]
    }

    /// Returns the full name of a task.
    pub(crate) fn task_ref(&self, task: usize) -> TaskRef {
        let Task { step, index, .. } = self.tasks[task];
        TaskRef { job: self.id, occurrence: 0, step, index }
    }

    /// Returns the last run of a task.
    pub(crate) fn run_ref(&self, task: usize) -> RunRef {
        RunRef { task: self.task_ref(task), run: self.tasks[task].last_run }
    }

    /// Returns the position of a task by its name.
    pub(crate) fn position(&self, task: TaskRef) -> Option<usize> {
        self.tasks.iter().position(|t| t.step == task.step && t.index == task.index)
    }

    /// Returns when the job is refused if nothing of it was ordered.
    pub(crate) fn start_by(&self) -> Moment {
        self.arrived + self.objective_ms / WAIT_SHARE
    }

    /// Returns when the job is given up, or refused if nothing of it was ordered.
    pub(crate) fn ends_by(&self) -> Moment {
        if self.ordered { self.deadline } else { self.start_by() }
    }

    /// Returns the place in the order of jobs that wait: more urgent queues first, then
    /// the earliest latest start.
    pub(crate) fn rank(&self) -> Rank {
        Rank { priority: self.queue.priority, start_by: self.start_by(), job: self.id }
    }

    /// Returns whether a task may be placed.
    pub(crate) fn is_waiting(&self) -> bool {
        self.tasks.iter().any(|task| task.state == TaskState::Waiting)
    }

    /// Returns whether all tasks are done.
    pub(crate) fn is_done(&self) -> bool {
        self.tasks.iter().all(|task| task.state == TaskState::Done)
    }

    /// Lets the tasks of steps wait whose earlier steps are done.
    pub(crate) fn unblock(&mut self) {
        let done: Vec<bool> = (0..self.steps.len())
            .map(|step| {
                let of_step = |task: &&Task| usize::from(task.step) == step;
                self.tasks.iter().filter(of_step).all(|t| t.state == TaskState::Done)
            })
            .collect();
        for task in &mut self.tasks {
            let after = &self.steps[usize::from(task.step)].after;
            let ready = after.iter().all(|&step| done[usize::from(step)]);
            if task.state == TaskState::Blocked && ready {
                task.state = TaskState::Waiting;
            }
        }
    }

    /// Returns the state as clients see it.
    pub(crate) fn state(&self) -> JobState {
        if self.ordered { JobState::Active } else { JobState::Pending }
    }
}

/// Returns the tasks of all steps; those of first steps may be placed.
fn tasks_of(steps: &[Step]) -> Vec<Task> {
    let mut tasks = Vec::new();
    for (number, step) in steps.iter().enumerate() {
        let state =
            if step.after.is_empty() { TaskState::Waiting } else { TaskState::Blocked };
        tasks.extend((0..step.count).map(|index| Task {
            step: number as u16,
            index,
            state,
            last_run: 0,
            failures: 0,
            avoid: None,
        }));
    }
    tasks
}

/// Returns the longest sum of estimates along dependent steps.
fn longest_chain_ms(steps: &[Step]) -> u64 {
    let mut ends: Vec<u64> = Vec::with_capacity(steps.len());
    for step in steps {
        let start = step.after.iter().map(|&earlier| ends[usize::from(earlier)]).max();
        ends.push(start.unwrap_or(0) + step.estimate_ms);
    }
    ends.into_iter().max().unwrap_or(0)
}
