//! The choice of minions for the waiting tasks of a job.

pub(crate) mod advice;
pub(crate) mod capacity_query;
pub(crate) mod capacity_search;
pub(crate) mod scheduling;

use std::ops::Range;

use rand::Rng;
use rand::rngs::SmallRng;

use crate::holder::minion::MinionKey;
use crate::membership::peer::PeerKey;
use crate::owner::job::Job;
use crate::owner::submission::Step;
use crate::resources::Resources;
use crate::time::Moment;

/// Relative random variation of the expected run times. Without it, instances that see
/// the same free capacity would all choose the same minion.
const JITTER: f64 = 0.04;

/// A minion with free capacity, as the placement sees it.
#[derive(Debug, Clone)]
pub(crate) struct Candidate {
    /// The holder of the minion.
    pub(crate) holder: CandidateHolder,
    pub(crate) minion: MinionKey,
    /// Its free capacity, less the tasks chosen for it so far.
    pub(crate) free: Resources,
    /// The expected ratio of run time to estimate.
    pub(crate) pace: f64,
    /// The time by which an order and the report of its end take longer than on a minion
    /// that this instance holds.
    pub(crate) hop_ms: f64,
}

/// The instance that holds a candidate.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub(crate) enum CandidateHolder {
    /// This instance.
    Local,
    /// A peer.
    Peer(PeerKey),
}

/// The minion chosen for one task of a job.
#[derive(Debug, Copy, Clone)]
pub(crate) struct Choice {
    /// Index of the task in its job.
    pub(crate) task: usize,
    /// Index of the candidate.
    pub(crate) candidate: usize,
    /// The resources that the task takes there.
    pub(crate) need: Resources,
}

/// How well a minion suits a task.
#[derive(Debug, Copy, Clone)]
pub(crate) struct Suitability {
    /// The run time there over that on an equally fast minion near the data.
    pub(crate) distance_factor: f64,
    /// A number that identifies the rack, for comparison only.
    pub(crate) rack: Option<u64>,
    /// The resources that the task takes there: all of them if it has to run alone.
    pub(crate) need: Resources,
}

/// Chooses minions for the waiting tasks of a job.
///
/// Tasks are assigned one by one to the candidate with the earliest expected finish, and
/// left out if there is none. A gang gets all of its minions or none: a part of it would
/// occupy capacity without doing any work. Candidates on which a task would miss its
/// deadline are skipped: it is better to wait for a faster one, and then to refuse the
/// job in time.
pub(crate) struct TaskPlacer<'a, F> {
    pub(crate) job: &'a Job,
    /// The minions with free capacity, which the choices reduce.
    pub(crate) candidates: &'a mut [Candidate],
    /// Returns how well a minion suits a task; none if the task may not run there.
    pub(crate) suits: F,
    /// The source of the random variation.
    pub(crate) rng: &'a mut SmallRng,
    pub(crate) now: Moment,
    /// The usual ratio of run time to estimate.
    pub(crate) typical_pace: f64,
}

impl<F: Fn(&Job, usize, MinionKey) -> Option<Suitability>> TaskPlacer<'_, F> {
    /// Chooses minions for all waiting tasks.
    pub(crate) fn choose(&mut self) -> Vec<Choice> {
        let mut choices = Vec::new();
        let mut first = 0;
        let job = self.job;
        for step in &job.steps {
            let tasks = first..first + usize::from(step.count);
            first = tasks.end;
            if job.tasks[tasks.clone()].iter().all(|it| !it.is_waiting()) {
                continue;
            }
            match step.gang {
                true => choices.extend(self.choose_gang(step, tasks)),
                false => choices.extend(self.choose_each(step, tasks, None)),
            }
        }
        choices
    }

    /// Chooses minions for all tasks of a gang, or for none. If the step is faster on one
    /// rack, the racks with enough capacity are tried first.
    fn choose_gang(&mut self, step: &Step, tasks: Range<usize>) -> Vec<Choice> {
        let waiting = |task: usize| self.job.tasks[task].is_waiting();
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

    /// Chooses minions for waiting tasks one by one, on one rack if one is given.
    fn choose_each(
        &mut self,
        step: &Step,
        tasks: Range<usize>,
        rack: Option<u64>,
    ) -> Vec<Choice> {
        let mut choices: Vec<Choice> = Vec::new();
        for task in tasks {
            if !self.job.tasks[task].is_waiting() {
                continue;
            }
            let best = self.best_candidate(step, task, rack, &choices);
            if let Some(choice) = best {
                let free = &mut self.candidates[choice.candidate].free;
                *free = free.minus(choice.need);
                choices.push(choice);
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
        chosen: &[Choice],
    ) -> Option<Choice> {
        let expected_ms = step.estimate_ms as f64 * self.typical_pace;
        let limit = self.job.place_by(expected_ms, self.now);
        let left_ms = limit.map(|limit| limit.since(self.now) as f64);
        let mut best: Option<(Choice, f64)> = None;
        for position in 0..self.candidates.len() {
            let candidate = &self.candidates[position];
            if !step.need.fits(candidate.free) {
                continue;
            }
            let suits = (self.suits)(self.job, task, candidate.minion);
            let Some(suits) = suits.filter(|it| rack.is_none() || it.rack == rack) else {
                continue;
            };
            if !suits.need.fits(candidate.free) {
                continue;
            }
            let full = step.max_per_minion.is_some_and(|limit| {
                self.siblings_on(candidate.minion, task, chosen) >= usize::from(limit)
            });
            let run_ms = step.estimate_ms as f64 * candidate.pace * suits.distance_factor;
            let finish_ms = run_ms + candidate.hop_ms;
            if full || left_ms.is_some_and(|left_ms| finish_ms > left_ms) {
                continue;
            }
            let score = finish_ms * (1.0 + JITTER * self.rng.random::<f64>());
            if best.is_none_or(|(_, least)| score < least) {
                let choice = Choice { task, candidate: position, need: suits.need };
                best = Some((choice, score));
            }
        }
        best.map(|(choice, _)| choice)
    }

    /// Returns how many tasks of a task's step are placed on a minion or chosen for it.
    fn siblings_on(&self, minion: MinionKey, task: usize, chosen: &[Choice]) -> usize {
        let chosen = chosen.iter().map(|it| self.candidates[it.candidate].minion);
        let chosen = chosen.filter(|&it| it == minion).count();
        self.job.tasks_on(minion, task) + chosen
    }
}
