//! Which minions the tasks of a job go to.

use std::ops::Range;

use rand::Rng;
use rand::rngs::SmallRng;

use crate::job::Job;
use crate::minion::MinionKey;
use crate::peer::PeerKey;
use crate::resources::Resources;
use crate::submission::Step;
use crate::task::TaskState;
use crate::time::Moment;

/// How far two expected run times may differ by chance. Without it, instances that see the
/// same room would all choose the same minion.
const JITTER: f64 = 0.04;

/// A minion with free room.
#[derive(Debug, Clone)]
pub(crate) struct Candidate {
    /// Where the minion is held.
    pub(crate) holder: CandidateHolder,
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
pub(crate) enum CandidateHolder {
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

/// What is known of a minion for one task.
#[derive(Debug, Copy, Clone)]
pub(crate) struct Suitability {
    /// The run time there over that on an equally fast minion near the data.
    pub(crate) distance_factor: f64,
    /// The rack, as a number that only tells racks apart.
    pub(crate) rack: Option<u64>,
}

/// Chooses minions for the waiting tasks of a job.
///
/// Tasks take the earliest expected finish one by one, and those without a candidate are left
/// out. A gang takes all of its minions or none: a part of it would hold room without doing
/// any work. Candidates on which a task would miss its time are left out: it is better to
/// wait for a faster one, and then to refuse in time.
pub(crate) struct TaskPlacer<'a, F> {
    /// The job.
    pub(crate) job: &'a Job,
    /// The minions with room; the choices take room away.
    pub(crate) candidates: &'a mut [Candidate],
    /// Says whether, and how well, a task may run on a minion.
    pub(crate) suits: F,
    /// Breaks ties.
    pub(crate) rng: &'a mut SmallRng,
    /// The present time.
    pub(crate) now: Moment,
}

impl<F: Fn(&Job, usize, MinionKey) -> Option<Suitability>> TaskPlacer<'_, F> {
    /// Chooses for all waiting tasks.
    pub(crate) fn choose(&mut self) -> Vec<Choice> {
        let mut choices = Vec::new();
        let mut first = 0;
        let job = self.job;
        for step in &job.steps {
            let tasks = first..first + usize::from(step.count);
            first = tasks.end;
            if job.tasks[tasks.clone()].iter().all(|it| it.state != TaskState::Waiting) {
                continue;
            }
            match step.gang {
                true => choices.extend(self.choose_gang(step, tasks)),
                false => choices.extend(self.choose_each(step, tasks, None)),
            }
        }
        choices
    }

    /// Chooses for all tasks of a gang, or for none; on one rack if that is faster and there
    /// is one with enough room.
    fn choose_gang(&mut self, step: &Step, tasks: Range<usize>) -> Vec<Choice> {
        let waiting = |task: usize| self.job.tasks[task].state == TaskState::Waiting;
        if !tasks.clone().all(waiting) {
            return Vec::new();
        }
        let racks = if step.rack_local { self.racks(tasks.start) } else { Vec::new() };
        let tries = racks.into_iter().map(Some).chain([None]);
        for rack in tries {
            let before: Vec<Resources> =
                self.candidates.iter().map(|it| it.free).collect();
            let choices = self.choose_each(step, tasks.clone(), rack);
            if choices.len() == tasks.len() {
                return choices;
            }
            for (candidate, free) in self.candidates.iter_mut().zip(before) {
                candidate.free = free;
            }
        }
        Vec::new()
    }

    /// Returns the racks of suitable minions, those with the most free processors first.
    fn racks(&self, task: usize) -> Vec<u64> {
        let mut racks: Vec<(u64, u64)> = Vec::new();
        for candidate in &*self.candidates {
            let suits = (self.suits)(self.job, task, candidate.minion);
            let Some(rack) = suits.and_then(|suits| suits.rack) else { continue };
            let free = u64::from(candidate.free.cpu_millicores);
            match racks.iter_mut().find(|(known, _)| *known == rack) {
                Some((_, sum)) => *sum += free,
                None => racks.push((rack, free)),
            }
        }
        racks.sort_by_key(|&(_, free)| std::cmp::Reverse(free));
        racks.into_iter().map(|(rack, _)| rack).collect()
    }

    /// Chooses for waiting tasks one by one, on one rack if one is given.
    fn choose_each(
        &mut self,
        step: &Step,
        tasks: Range<usize>,
        rack: Option<u64>,
    ) -> Vec<Choice> {
        let mut choices: Vec<Choice> = Vec::new();
        for task in tasks.clone() {
            if self.job.tasks[task].state != TaskState::Waiting {
                continue;
            }
            let best = self.best_candidate(step, task, rack, &tasks, &choices);
            if let Some(candidate) = best {
                let room = &mut self.candidates[candidate].free;
                *room = room.minus(step.need);
                choices.push(Choice { task, candidate });
            }
        }
        choices
    }

    /// Returns the candidate with the earliest expected finish for a task.
    fn best_candidate(
        &mut self,
        step: &Step,
        task: usize,
        rack: Option<u64>,
        siblings: &Range<usize>,
        chosen: &[Choice],
    ) -> Option<usize> {
        let left_ms = self.job.finish_by().map(|limit| limit.since(self.now) as f64);
        let mut best: Option<(usize, f64)> = None;
        for position in 0..self.candidates.len() {
            let candidate = &self.candidates[position];
            if !step.need.fits(candidate.free) {
                continue;
            }
            let suits = (self.suits)(self.job, task, candidate.minion);
            let Some(suits) = suits.filter(|it| rack.is_none() || it.rack == rack) else {
                continue;
            };
            let full = step.max_per_minion.is_some_and(|limit| {
                self.siblings_on(candidate.minion, siblings, chosen) >= usize::from(limit)
            });
            let run_ms = step.estimate_ms as f64 * candidate.pace * suits.distance_factor;
            let finish_ms = run_ms + candidate.hop_ms;
            if full || left_ms.is_some_and(|left_ms| finish_ms > left_ms) {
                continue;
            }
            let score = finish_ms * (1.0 + JITTER * self.rng.random::<f64>());
            if best.is_none_or(|(_, least)| score < least) {
                best = Some((position, score));
            }
        }
        best.map(|(position, _)| position)
    }

    /// Returns how many tasks of a step are placed or chosen for a minion.
    fn siblings_on(
        &self,
        minion: MinionKey,
        siblings: &Range<usize>,
        chosen: &[Choice],
    ) -> usize {
        let placed = self.job.tasks[siblings.clone()].iter();
        let placed = placed.filter_map(|task| task.placement()?.minion);
        let chosen = chosen.iter().map(|it| self.candidates[it.candidate].minion);
        placed.chain(chosen).filter(|&it| it == minion).count()
    }
}
