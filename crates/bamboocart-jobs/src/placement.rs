//! Which minion a task goes to.

use rand::Rng;
use rand::rngs::SmallRng;

use crate::job::Job;
use crate::minion::MinionKey;
use crate::peer::PeerKey;
use crate::resources::Resources;
use crate::time::Moment;

/// How far two expected run times may differ by chance. Without it, instances that see the
/// same room would all choose the same minion.
const JITTER: f64 = 0.04;

/// A minion with free room.
#[derive(Debug, Clone)]
pub(crate) struct Candidate {
    /// Where the minion is held.
    pub(crate) site: Site,
    /// The minion.
    pub(crate) minion: MinionKey,
    /// Its free room.
    pub(crate) free: Resources,
    /// The expected run time over the estimate.
    pub(crate) pace: f64,
    /// The time that an order and the report of its end take longer than on an own minion.
    pub(crate) hop_ms: f64,
}

/// Where a minion is held.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub(crate) enum Site {
    /// By this instance.
    Local,
    /// By a peer.
    Peer(PeerKey),
}

/// The choice for one task of a job.
#[derive(Debug, Copy, Clone)]
pub(crate) struct Choice {
    /// The position of the task in its job.
    pub(crate) task: usize,
    /// The position of the candidate.
    pub(crate) candidate: usize,
}

/// Chooses a candidate for each waiting task of a job, with the earliest expected finish,
/// and takes the room away from the candidates.
///
/// Candidates on which a task would miss the job's latency objective are left out as long as
/// nothing of the job has started: it is better to wait for a faster one, and then to refuse
/// in time. Tasks without a candidate are left out.
pub(crate) fn choose(
    job: &Job,
    candidates: &mut [Candidate],
    fits_service: impl Fn(&Job, usize, MinionKey) -> bool,
    rng: &mut SmallRng,
    now: Moment,
) -> Vec<Choice> {
    let limit = if job.ordered {
        job.deadline
    } else {
        job.deadline.min(job.arrived + job.objective_ms)
    };
    let left_ms = limit.since(now) as f64;
    let mut choices = Vec::new();
    for task in 0..job.tasks.len() {
        if job.tasks[task].state != crate::job::TaskState::Waiting {
            continue;
        }
        let step = job.step_of(task);
        let estimate_ms = step.estimate_ms as f64;
        let best = candidates
            .iter()
            .enumerate()
            .filter(|(_, candidate)| step.need.fits(candidate.free))
            .filter(|(_, candidate)| fits_service(job, task, candidate.minion))
            .map(|(position, candidate)| {
                (position, estimate_ms * candidate.pace + candidate.hop_ms)
            })
            .filter(|&(_, finish_ms)| finish_ms <= left_ms)
            .map(|(position, finish_ms)| {
                (position, finish_ms * (1.0 + JITTER * rng.random::<f64>()))
            })
            .min_by(|(_, a), (_, b)| a.total_cmp(b));
        if let Some((position, _)) = best {
            let room = &mut candidates[position].free;
            *room = room.minus(step.need);
            choices.push(Choice { task, candidate: position });
        }
    }
    choices
}
