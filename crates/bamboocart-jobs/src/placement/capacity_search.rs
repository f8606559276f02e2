//! The search for minions that suit a waiting task and whose free capacity is not known.
//!
//! An instance knows all minions, but the free capacity only of those that it or a
//! neighbour holds. A task may need others: those with a label or of a size that only some
//! have, or more minions than the neighbours hold. The holders of some of these are asked to
//! report their free capacity for a while.

use std::collections::BTreeMap;

use log::info;
use rand::seq::SliceRandom;

use crate::engine::Engine;
use crate::holder::minion::{Assignee, Minion, MinionKey};
use crate::id::OccurrenceRef;
use crate::membership::peer::PeerKey;
use crate::owner::job::Job;
use crate::placement::scheduling::suitability;
use crate::time::Moment;

/// Number of suitable minions of known free capacity that are enough for a task: if all of
/// them are full, others probably are as well.
const ENOUGH_MINIONS: usize = 8;

/// The pause between the first two searches for a job. It doubles with each further one.
const FIRST_PAUSE_MS: u64 = 100;

/// The longest pause between two searches for a job.
const LONGEST_PAUSE_MS: u64 = 1_600;

/// How long tasks of a stored job wait for minions of known free capacity, however many there
/// are, before others are tried. All of the former may be taken by tasks that last.
const PATIENCE_MS: u64 = 500;

/// Number of holders that a search asks, unless the tasks need more.
const QUERIES_PER_SEARCH: usize = 3;

/// Number of tasks for which a gang seeks minions, as a multiple of its tasks: some of the
/// minions are full.
const GANG_SUPPLY_FACTOR: usize = 2;

/// Maximum number of queries per second that place no task. Queries that do are not limited.
const QUERIES_PER_S: f64 = 10.0;

/// Maximum number of queries that may be sent at once: a large gang needs many holders.
pub(crate) const BURST_QUERIES: f64 = 128.0;

/// Maximum number of searches in one scheduling pass; each goes through all minions.
const MAX_SEARCHES_PER_PASS: usize = 8;

/// The searches for a job since a task of it was last placed.
#[derive(Debug, Default, Copy, Clone)]
pub(crate) struct SearchState {
    /// When the first of them took place.
    first_at: Option<Moment>,
    /// When the next one may follow.
    next_at: Moment,
    /// The pause after the last one; 0 before the first.
    pause_ms: u64,
    /// Whether the last one has found too few minions of known free capacity, and others.
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
        let first_at = self.first_at.or(Some(now));
        let pause_ms = (2 * self.pause_ms).clamp(FIRST_PAUSE_MS, LONGEST_PAUSE_MS);
        *self = Self { first_at, next_at: now + pause_ms, pause_ms, lacks_reports };
    }

    /// Returns whether a search for a job is due.
    fn is_due(&self, job: &Job, now: Moment) -> bool {
        self.next_at <= now && job.is_waiting()
    }

    /// Returns whether tasks of the job have waited so long that minions of unknown free
    /// capacity are tried however many others there are.
    fn has_waited(&self, now: Moment) -> bool {
        self.first_at.is_some_and(|first_at| now.since(first_at) >= PATIENCE_MS)
    }
}

/// What a minion offers to a step when nothing else runs on it.
#[derive(Debug, Copy, Clone)]
struct Fit {
    /// The number of tasks of the step that fit on it.
    slots: usize,
    /// Whether it is near the data of the step.
    near: bool,
}

/// What some minions offer to a step when nothing else runs on them.
#[derive(Debug, Default, Copy, Clone)]
struct Supply {
    /// The number of minions.
    minions: usize,
    /// The number of tasks of the step that fit on them.
    slots: usize,
    /// Whether one of them is near the data of the step.
    near: bool,
}

impl Supply {
    /// Adds a minion.
    fn add(&mut self, fit: Fit) {
        self.minions += 1;
        self.slots = self.slots.saturating_add(fit.slots);
        self.near |= fit.near;
    }
}

/// The waiting tasks of a step.
#[derive(Debug, Copy, Clone)]
struct Demand {
    /// The position of the first of them in the job.
    first: usize,
    /// The number of the step.
    step: u16,
    /// The number of the tasks.
    tasks: usize,
    /// Whether they have to be placed together.
    gang: bool,
}

/// The minions that suit the waiting tasks of a step.
#[derive(Debug, Default)]
struct Survey {
    /// Those whose free capacity is known.
    known: Supply,
    /// The others, by holder.
    unknown: BTreeMap<PeerKey, Supply>,
}

impl Demand {
    /// Returns the number of tasks for which minions are sought.
    fn wanted_slots(self) -> usize {
        if self.gang { GANG_SUPPLY_FACTOR * self.tasks } else { self.tasks }
    }
}

impl Survey {
    /// Returns whether the minions of known free capacity are enough for a step.
    fn is_enough(&self, demand: Demand) -> bool {
        self.known.minions >= ENOUGH_MINIONS && self.known.slots >= demand.wanted_slots()
    }

    /// Returns for how many tasks the holders of the other minions are asked; none if they
    /// are not. A gang that is larger than the whole service can never be placed.
    ///
    /// If the patience of a job is over, the minions of known free capacity count as full.
    fn missing_slots(&self, demand: Demand, patience_is_over: bool) -> Option<usize> {
        let slots = self.unknown.values().map(|supply| supply.slots);
        let slots = slots.fold(self.known.slots, usize::saturating_add);
        let wanted = demand.wanted_slots();
        match () {
            () if self.unknown.is_empty() => None,
            () if demand.gang && slots < demand.tasks => None,
            () if demand.gang && patience_is_over => Some(wanted),
            () if !self.is_enough(demand) => {
                Some(wanted.saturating_sub(self.known.slots))
            }
            () => patience_is_over.then_some(0),
        }
    }
}

impl Engine {
    /// Searches for minions for the jobs of a scheduling pass that still have waiting tasks,
    /// and asks the holders of some for their free capacity.
    pub(crate) fn search_capacity(&mut self, now: Moment, order: &[OccurrenceRef]) {
        if self.event_loop.is_late(now) {
            return;
        }
        let due = |id: &&OccurrenceRef| {
            self.jobs.get(id).is_some_and(|job| job.search.is_due(job, now))
        };
        let due: Vec<OccurrenceRef> =
            order.iter().filter(due).take(MAX_SEARCHES_PER_PASS).copied().collect();
        self.query_budget.refill(now, QUERIES_PER_S);
        for id in due {
            self.search_for_job(now, id);
        }
    }

    /// Searches for minions for the waiting tasks of a job.
    fn search_for_job(&mut self, now: Moment, id: OccurrenceRef) {
        let Some(job) = self.jobs.get(&id) else { return };
        let patience_is_over = job.is_stored() && job.search.has_waited(now);
        let surveys = demands(job).into_iter().filter_map(|demand| {
            let survey = self.survey(now, job, demand, patience_is_over);
            let missing_slots = survey.missing_slots(demand, patience_is_over)?;
            Some((demand, survey, missing_slots))
        });
        let surveys: Vec<(Demand, Survey, usize)> = surveys.collect();
        let lacks_reports = !surveys.is_empty();
        for (demand, survey, missing_slots) in surveys {
            let asked = self.ask_holders(now, &survey, missing_slots);
            if asked > 0 {
                log_search(id, demand, &survey, asked);
            }
        }
        if let Some(job) = self.jobs.get_mut(&id) {
            job.search.note_search(now, lacks_reports);
        }
    }

    /// Asks holders of suitable minions for their free capacity, and returns how many.
    ///
    /// All that have to run so many tasks are asked at once, and some if that is 0.
    fn ask_holders(
        &mut self,
        now: Moment,
        survey: &Survey,
        missing_slots: usize,
    ) -> usize {
        let askable = survey.unknown.iter().filter(|(peer, _)| {
            self.peers.arena.get(**peer).is_some_and(|peer| peer.may_query(now))
        });
        let mut askable: Vec<(PeerKey, Supply)> =
            askable.map(|(&peer, &supply)| (peer, supply)).collect();
        // Owners that wait for the same minions begin with different holders.
        askable.shuffle(&mut self.rng);
        askable.sort_by_key(|(_, supply)| !supply.near);
        let (mut slots, mut asked) = (0_usize, 0);
        for (peer, supply) in askable {
            let is_enough = asked >= QUERIES_PER_SEARCH && slots >= missing_slots;
            if is_enough || !self.query_budget.take() {
                break;
            }
            if let Some(peer) = self.peers.arena.get_mut(peer) {
                peer.query.open(now);
            }
            slots = slots.saturating_add(supply.slots);
            asked += 1;
        }
        asked
    }

    /// Returns the minions that suit the waiting tasks of a step, whatever runs on them.
    /// Unless all are counted, it ends once those of known free capacity are enough.
    fn survey(&self, now: Moment, job: &Job, demand: Demand, all: bool) -> Survey {
        let mut survey = Survey::default();
        for (key, minion) in &self.minions.arena {
            let Some(fit) = self.fit(now, job, demand, key, minion) else { continue };
            match minion.assignee {
                _ if minion.held.is_some() => survey.known.add(fit),
                Assignee::Peer(peer) => match self.peers.arena.get(peer) {
                    Some(holder) if !holder.reports_capacity() => {
                        survey.unknown.entry(peer).or_default().add(fit);
                    }
                    Some(holder) if holder.takes_orders(now) => survey.known.add(fit),
                    // No task can be placed there now.
                    Some(_) | None => {}
                },
                Assignee::Own | Assignee::Nobody => {}
            }
            if !all && survey.is_enough(demand) {
                break;
            }
        }
        survey
    }

    /// Returns what a minion offers to the waiting tasks of a step when nothing else runs
    /// there; none if it does not suit them.
    fn fit(
        &self,
        now: Moment,
        job: &Job,
        demand: Demand,
        key: MinionKey,
        minion: &Minion,
    ) -> Option<Fit> {
        let task = demand.first;
        if !minion.is_ready() || minion.unlisted.is_some() {
            return None;
        }
        let suits = suitability(&self.minions, self.remote_factor, now, job, task, key)?;
        let step = job.step_of(task);
        let run_ms = step.estimate_ms as f64
            * minion.expected_pace(self.cold_pace, now)
            * suits.distance_factor;
        if job.finish_by().is_some_and(|limit| run_ms > limit.since(now) as f64) {
            return None;
        }
        let slots = suits.need.times_in(minion.entry.capacity) as usize;
        let allowed = step.max_per_minion.map_or(usize::MAX, |limit| {
            usize::from(limit).saturating_sub(job.tasks_on(key, task))
        });
        let slots = slots.min(allowed);
        (slots > 0).then_some(Fit { slots, near: suits.distance_factor <= 1.0 })
    }
}

/// Returns the waiting tasks of a job, by step.
fn demands(job: &Job) -> Vec<Demand> {
    let mut demands: Vec<Demand> = Vec::new();
    let waiting = (0..job.tasks.len()).filter(|&task| job.tasks[task].is_waiting());
    for first in waiting {
        let step = job.tasks[first].step;
        match demands.last_mut() {
            Some(last) if last.step == step => last.tasks += 1,
            _ => {
                let gang = job.step_of(first).gang;
                demands.push(Demand { first, step, tasks: 1, gang });
            }
        }
    }
    demands
}

/// Logs that the holders of minions are asked for their free capacity, since tasks wait.
fn log_search(id: OccurrenceRef, demand: Demand, survey: &Survey, asked: usize) {
    let unknown: usize = survey.unknown.values().map(|supply| supply.minions).sum();
    info!(target: "job", request_id:% = id.job, step = demand.step, tasks = demand.tasks,
        known = survey.known.minions, unknown, holders = survey.unknown.len(), asked;
        "tasks wait beside minions whose free capacity is not known; asking their holders");
}
