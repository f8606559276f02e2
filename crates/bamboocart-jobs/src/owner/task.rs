//! Tasks of a job and the placement of their runs, as seen by the job's owner.

use crate::holder::minion::MinionKey;
use crate::id::{Checkpoint, OccurrenceRef, TaskRef};
use crate::membership::peer::PeerKey;
use crate::owner::gone::RunGone;
use crate::owner::start_backoff::StartBackoff;
use crate::owner::submission::Step;
use crate::time::Moment;

#[derive(Debug, Clone)]
pub(crate) struct Task {
    /// Index of the step.
    pub(crate) step: u16,
    /// Index of the task within its step.
    pub(crate) index: u16,
    /// The state, which changes only through the methods of this module: a task waits
    /// again only with evidence that its last run is gone.
    state: TaskState,
    /// Number of its last run; 0 before the first.
    pub(crate) last_run: u64,
    /// Number of runs that ended as failed.
    pub(crate) failures: u32,
    /// Number of minions that have crashed under its runs.
    pub(crate) crashes: u32,
    /// The minion on which its last run ended without a result.
    pub(crate) avoided: Option<AvoidedMinion>,
    /// The pause after starts that were answered as malformed.
    pub(crate) backoff: StartBackoff,
    /// The checkpoint that its runs have saved.
    pub(crate) checkpoint: Checkpoint,
}

/// The state of a task.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub(crate) enum TaskState {
    /// A step on which it depends is not done.
    Blocked,
    /// It may be placed on a minion.
    Waiting,
    /// A run of it is ordered or active.
    Placed(Placement),
    /// A run of it has ended as done.
    Done,
}

/// Number of minions that may crash under a task before its job fails.
///
/// After the first crash, which has other causes more often than not, the task runs alone.
pub(crate) const MAX_CRASHES: u32 = 3;

impl Task {
    /// Returns the reference to this task of an occurrence.
    pub(crate) fn task_ref(&self, occurrence: OccurrenceRef) -> TaskRef {
        let OccurrenceRef { job, occurrence } = occurrence;
        TaskRef { job, occurrence, step: self.step, index: self.index }
    }

    /// Returns whether another minion is tried before this one.
    pub(crate) fn avoids(&self, minion: MinionKey, now: Moment) -> bool {
        self.avoided.is_some_and(|it| it.minion == minion && now < it.until)
    }

    /// Returns whether the task may be the cause of a crash, so that it has to run alone.
    pub(crate) fn is_suspect(&self) -> bool {
        self.crashes > 0
    }

    /// Returns the state.
    pub(crate) fn state(&self) -> TaskState {
        self.state
    }

    /// Lets a blocked task be placed, since the steps on which it depends are done.
    pub(crate) fn unblock(&mut self) {
        if self.state == TaskState::Blocked {
            self.state = TaskState::Waiting;
        }
    }

    /// Records that a run of the task is ordered or was found, which becomes its last one.
    pub(crate) fn place(&mut self, run: u64, placement: Placement) {
        self.last_run = run;
        self.state = TaskState::Placed(placement);
    }

    /// Lets the task be placed again, because its last run is gone. Changes nothing unless
    /// the evidence is about the present run.
    pub(crate) fn free(&mut self, gone: &RunGone) {
        if self.placement().is_some() && self.last_run == gone.run().run {
            self.state = TaskState::Waiting;
        }
    }

    /// Records that a run of the task has ended as done.
    pub(crate) fn complete(&mut self) {
        self.state = TaskState::Done;
    }

    pub(crate) fn is_waiting(&self) -> bool {
        self.state == TaskState::Waiting
    }

    /// Returns the placement of the current run, if there is one.
    pub(crate) fn placement(&self) -> Option<&Placement> {
        match &self.state {
            TaskState::Placed(placement) => Some(placement),
            TaskState::Blocked | TaskState::Waiting | TaskState::Done => None,
        }
    }

    /// Returns the placement of the current run for modification, if there is one.
    pub(crate) fn placement_mut(&mut self) -> Option<&mut Placement> {
        match &mut self.state {
            TaskState::Placed(placement) => Some(placement),
            TaskState::Blocked | TaskState::Waiting | TaskState::Done => None,
        }
    }
}

/// The placement of a run.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub(crate) struct Placement {
    /// The instance that holds the minion.
    pub(crate) holder: Holder,
    /// The chosen minion; the holder may have used another one.
    pub(crate) minion: Option<MinionKey>,
    /// The fencing token of the last holder that announced the run; 0 if none did.
    pub(crate) fencing_token: u64,
    /// When the run was ordered; at a peer, the send time of the frame with the order.
    pub(crate) since: Moment,
    /// The time at which the run is certainly gone, if its holder is lost.
    pub(crate) gone_at: Option<Moment>,
    /// Whether the end of the run is being written to the log.
    pub(crate) ending: bool,
}

impl Placement {
    /// Creates the placement of a run that is ordered now.
    pub(crate) fn new(holder: Holder, minion: Option<MinionKey>, now: Moment) -> Self {
        Self {
            holder,
            minion,
            fencing_token: 0,
            since: now,
            gone_at: None,
            ending: false,
        }
    }
}

/// The instance that holds the minion of a run.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub(crate) enum Holder {
    /// This instance holds the minion.
    Local(MinionKey),
    /// A peer holds the minion.
    Peer(PeerKey),
}

impl Holder {
    pub(crate) fn peer(self) -> Option<PeerKey> {
        match self {
            Self::Peer(peer) => Some(peer),
            Self::Local(_) => None,
        }
    }
}

/// A minion that a task does not use for a while, so that another one is tried.
#[derive(Debug, Copy, Clone)]
pub(crate) struct AvoidedMinion {
    pub(crate) minion: MinionKey,
    /// Until when another minion is waited for; there may be none that suits the task.
    pub(crate) until: Moment,
}

/// Returns the tasks of all steps. Those of steps without dependencies may be placed at
/// once.
pub(crate) fn tasks_of(steps: &[Step]) -> Vec<Task> {
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
            crashes: 0,
            avoided: None,
            backoff: StartBackoff::default(),
            checkpoint: Checkpoint::default(),
        }));
    }
    tasks
}
