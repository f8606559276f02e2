//! Tasks of a job, as its owner sees them.

use crate::id::Checkpoint;
use crate::minion::MinionKey;
use crate::peer::PeerKey;
use crate::submission::Step;
use crate::time::Moment;

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
    /// What its last run has saved.
    pub(crate) checkpoint: Checkpoint,
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
    /// Returns whether it may be placed.
    pub(crate) fn is_waiting(&self) -> bool {
        self.state == TaskState::Waiting
    }

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
    /// Whether its end is being written to the log.
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

/// Returns the tasks of all steps; those of first steps may be placed.
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
            avoid: None,
            checkpoint: Checkpoint::default(),
        }));
    }
    tasks
}
