//! The search for minions that suit a waiting task and whose free capacity is not known.
//!
//! An instance knows all minions, but the free capacity only of those that it or a
//! neighbour holds. A task may need others: those with a label or of a size that only some
//! have, or more minions than the neighbours hold.

use std::collections::BTreeMap;

use log::info;

use crate::engine::Engine;
use crate::id::OccurrenceRef;
use crate::job::Job;
use crate::minion::{Assignee, Minion, MinionKey};
use crate::peer::PeerKey;
use crate::scheduling::suitability;
use crate::time::Moment;

/// Number of suitable minions of known free capacity that are enough for a task: if all of
/// them are full, others probably are as well.
const ENOUGH_MINIONS: usize = 8;

/// The pause between the first two searches for a job. It doubles with each further one.
const FIRST_PAUSE_MS: u64 = 100;

/// The longest pause between two searches for a job.
const LONGEST_PAUSE_MS: u64 = 1_600;

/// Maximum number of searches in one scheduling pass; each goes through all minions.
const MAX_SEARCHES_PER_PASS: usize = 8;

/// The searches for a job since a task of it was last placed.
#[derive(Debug, Default, Copy, Clone)]
pub(crate) struct SearchState {
    /// When the next search may follow.
    next_at: Moment,
    /// The pause after the last search; 0 before the first.
    pause_ms: u64,
    /// Whether the last search has found too few minions of known free capacity, and others.
    lacks_reports: bool,
}

impl SearchState {
    /// Returns whether the last search has found too few minions of known free capacity
    /// although there are others.
    pub(crate) fn lacks_reports(&self) -> bool {
        self.lacks_reports
    }

    /// Records that a task of the job was placed: the next search follows soon if others
    /// still wait.
    pub(crate) fn note_placement(&mut self, now: Moment) {
        let next_at = self.next_at.min(now + FIRST_PAUSE_MS);
        *self = Self { next_at, ..Self::default() };
    }

    /// Records a search, after which other jobs get their turn.
    fn note_search(&mut self, now: Moment, lacks_reports: bool) {
        let pause_ms = (2 * self.pause_ms).clamp(FIRST_PAUSE_MS, LONGEST_PAUSE_MS);
        *self = Self { next_at: now + pause_ms, pause_ms, lacks_reports };
    }
}

/// What some minions offer to a step when nothing else runs on them.
#[derive(Debug, Default, Copy, Clone)]
struct Supply {
    /// The number of minions.
    minions: usize,
    /// The number of tasks of the step that fit on them.
    slots: usize,
}

impl Supply {
    /// Adds a minion.
    fn add(&mut self, slots: usize) {
        self.minions += 1;
        self.slots = self.slots.saturating_add(slots);
    }
}

/// The waiting tasks of a step.
#[derive(Debug, Copy, Clone)]
struct Demand {
    /// The position of the first of them in the job.
    first: usize,
    /// Their number.
    tasks: usize,
}

/// The minions that suit the waiting tasks of a step.
#[derive(Debug, Default)]
struct Survey {
    /// Those whose free capacity is known. Not all are counted if they are enough.
    known: Supply,
    /// The others, by holder.
    unknown: BTreeMap<PeerKey, Supply>,
}

impl Survey {
    /// Returns whether the minions of known capacity are enough for a step.
    fn is_enough(&self, demand: Demand) -> bool {
        self.known.minions >= ENOUGH_MINIONS && self.known.slots >= demand.tasks
    }
}

impl Engine {
    /// Searches for minions for the jobs of a scheduling pass that still have waiting tasks.
    pub(crate) fn search_capacity(&mut self, now: Moment, order: &[OccurrenceRef]) {
        let due = |id: &&OccurrenceRef| {
            self.jobs.get(id).is_some_and(|job| job.search.next_at <= now)
        };
        let due: Vec<OccurrenceRef> =
            order.iter().filter(due).take(MAX_SEARCHES_PER_PASS).copied().collect();
        for id in due {
            self.search_for_job(now, id);
        }
    }

    /// Searches for minions for the waiting tasks of a job.
    fn search_for_job(&mut self, now: Moment, id: OccurrenceRef) {
        let Some(job) = self.jobs.get(&id) else { return };
        let mut lacks_reports = false;
        for demand in demands(job) {
            let survey = self.survey(now, job, demand);
            if !survey.is_enough(demand) && !survey.unknown.is_empty() {
                lacks_reports = true;
                log_search(job, demand, &survey);
            }
        }
        if let Some(job) = self.jobs.get_mut(&id) {
            job.search.note_search(now, lacks_reports);
        }
    }

    /// Returns the minions that suit the waiting tasks of a step, whatever runs on them.
    fn survey(&self, now: Moment, job: &Job, demand: Demand) -> Survey {
        let mut survey = Survey::default();
        for (key, minion) in &self.minions.arena {
            let slots = self.slots(now, job, demand, key, minion);
            if slots == 0 {
                continue;
            }
            match minion.assignee {
                _ if minion.held.is_some() => survey.known.add(slots),
                Assignee::Peer(peer) if self.reports_capacity(peer) => {
                    survey.known.add(slots);
                }
                Assignee::Peer(peer) => {
                    survey.unknown.entry(peer).or_default().add(slots)
                }
                Assignee::Own | Assignee::Nobody => {}
            }
            if survey.is_enough(demand) {
                break;
            }
        }
        survey
    }

    /// Returns how many waiting tasks of a step a minion can run when nothing else runs
    /// there; 0 if it does not suit them.
    fn slots(
        &self,
        now: Moment,
        job: &Job,
        demand: Demand,
        key: MinionKey,
        minion: &Minion,
    ) -> usize {
        let task = demand.first;
        if !minion.is_ready() || minion.unlisted.is_some() {
            return 0;
        }
        let suits = suitability(&self.minions, self.remote_factor, now, job, task, key);
        let Some(suits) = suits else { return 0 };
        let step = job.step_of(task);
        let run_ms =
            step.estimate_ms as f64 * minion.pace.ratio() * suits.distance_factor;
        if job.finish_by().is_some_and(|limit| run_ms > limit.since(now) as f64) {
            return 0;
        }
        let slots = suits.need.times_in(minion.entry.capacity) as usize;
        let allowed = step.max_per_minion.map_or(usize::MAX, |limit| {
            usize::from(limit).saturating_sub(job.tasks_on(key, task))
        });
        slots.min(allowed)
    }

    /// Returns whether a peer reports its free capacity to this instance.
    fn reports_capacity(&self, peer: PeerKey) -> bool {
        self.peers.arena.get(peer).is_some_and(|peer| peer.is_neighbour())
    }
}

/// Returns the waiting tasks of a job, by step.
fn demands(job: &Job) -> Vec<Demand> {
    let mut demands: Vec<Demand> = Vec::new();
    let waiting = (0..job.tasks.len()).filter(|&task| job.tasks[task].is_waiting());
    for task in waiting {
        match demands.last_mut() {
            Some(last) if job.tasks[last.first].step == job.tasks[task].step => {
                last.tasks += 1;
            }
            _ => demands.push(Demand { first: task, tasks: 1 }),
        }
    }
    demands
}

/// Logs that tasks wait while there are minions whose free capacity is not known.
fn log_search(job: &Job, demand: Demand, survey: &Survey) {
    let unknown: usize = survey.unknown.values().map(|supply| supply.minions).sum();
    info!(target: "job", request_id:% = job.id.job, step = job.tasks[demand.first].step,
        tasks = demand.tasks, known = survey.known.minions, unknown,
        holders = survey.unknown.len(), pause_ms = job.search.pause_ms;
        "tasks wait beside minions whose free capacity is not known");
}
