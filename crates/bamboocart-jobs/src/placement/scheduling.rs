//! Scheduling: placing the waiting tasks of all jobs on minions with free capacity.

use log::info;

use crate::engine::Engine;
use crate::holder::minion::{MinionKey, Minions, RunOwner};
use crate::holder::orders::RunOrder;
use crate::id::OccurrenceRef;
use crate::membership::assignment::hash;
use crate::message::Message;
use crate::owner::gone::RunGone;
use crate::owner::job::{Job, Rank};
use crate::owner::task::{Holder, Placement};
use crate::placement::{Candidate, CandidateHolder, Choice, Suitability, TaskPlacer};
use crate::time::Moment;

/// Additional time that an order to a peer takes, compared with one to a minion that this
/// instance holds.
const PEER_HOP_MS: f64 = 4.0;

/// Maximum number of jobs that one scheduling pass considers. After the loss of all
/// instances, thousands of stored jobs wait, and the free capacity at one moment serves
/// only a few.
const MAX_JOBS_PER_PASS: usize = 256;

/// Number of consecutive jobs without a placement after which a pass ends.
const MAX_UNPLACED_IN_ROW: usize = 32;

impl Engine {
    /// Places waiting tasks in the order of their jobs, if tasks or capacity have been
    /// added since the last pass.
    pub(crate) fn place(&mut self, now: Moment) {
        if self.waiting.is_empty() {
            return self.overload.note_pass(0, false, now);
        }
        if !self.placement_due {
            return;
        }
        let mut candidates = self.candidates(now);
        let ready = self.waiting.iter().map(|rank| rank.job);
        let ready = ready.filter(|&id| self.may_place(now, id));
        let ready =
            ready.filter(|id| !self.jobs.get(id).is_some_and(|it| it.is_paused(now)));
        let order: Vec<OccurrenceRef> = ready.take(MAX_JOBS_PER_PASS).collect();
        let (mut placed_tasks, mut unplaced_in_row) = (0, 0);
        for &id in &order {
            if candidates.is_empty() || unplaced_in_row >= MAX_UNPLACED_IN_ROW {
                break;
            }
            let placed = self.place_job(now, id, &mut candidates);
            placed_tasks += placed;
            unplaced_in_row = if placed > 0 { 0 } else { unplaced_in_row + 1 };
        }
        self.overload.note_pass(placed_tasks, !self.waiting.is_empty(), now);
        self.search_capacity(now, &order);
        self.placement_due = false;
    }

    /// Places as many waiting tasks of a job as the free capacity allows, and returns their
    /// number.
    ///
    /// More urgent jobs come first, so that the remaining tasks of a wide job get the
    /// next free capacity.
    fn place_job(
        &mut self,
        now: Moment,
        id: OccurrenceRef,
        candidates: &mut [Candidate],
    ) -> usize {
        let Some(job) = self.jobs.get(&id) else { return 0 };
        if self.is_withheld(now, job, candidates) {
            let priority = job.queue.priority;
            self.overload.status_of(priority).withheld += 1;
            return 0;
        }
        let (minions, remote_factor) = (&self.minions, self.remote_factor);
        let suits = |job: &Job, task: usize, key: MinionKey| {
            suitability(minions, remote_factor, now, job, task, key)
        };
        let rng = &mut self.rng;
        let rank = job.rank();
        let typical_pace = self.pace.ratio();
        let mut choices =
            TaskPlacer { job, candidates, suits, rng, now, typical_pace }.choose();
        drop_early_choices(&self.minions, job, &mut choices);
        let waiting = job.tasks.iter().filter(|task| task.is_waiting()).count();
        match choices.len() == waiting {
            true => {
                self.waiting.remove(&job.rank());
            }
            false => self.queue_advice_call(id),
        }
        self.align_gang_runs(id, &choices);
        for &choice in &choices {
            let candidate = candidates[choice.candidate].clone();
            self.place_task(now, id, choice, &candidate);
        }
        self.update_rank(id, rank);
        choices.len()
    }

    /// Moves a waiting job to its new position after its first tasks were placed.
    fn update_rank(&mut self, id: OccurrenceRef, before: Rank) {
        let rank = self.jobs.get(&id).map(Job::rank);
        if let Some(rank) = rank.filter(|rank| *rank != before)
            && self.waiting.remove(&before)
        {
            self.waiting.insert(rank);
        }
    }

    /// Returns whether the free capacity is kept for jobs that are more urgent than this one.
    ///
    /// Stored jobs have no deadline, and take part in no reservation.
    fn is_withheld(&self, now: Moment, job: &Job, candidates: &[Candidate]) -> bool {
        if !self.overload.is_by_cost() || job.is_stored() {
            return false;
        }
        let queue = &job.queue;
        let headroom = &self.overload.headroom;
        let reserved = headroom.reserved_from(&queue.service, queue.priority, now);
        let free = || candidates.iter().map(|candidate| candidate.free);
        reserved.is_some_and(|reserved| !reserved.is_exceeded_by(free()))
    }

    /// Orders a run of a task on the chosen minion.
    fn place_task(
        &mut self,
        now: Moment,
        id: OccurrenceRef,
        choice: Choice,
        candidate: &Candidate,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let holder = match candidate.holder {
            CandidateHolder::Local => Holder::Local(candidate.minion),
            CandidateHolder::Peer(peer) => Holder::Peer(peer),
        };
        job.start_ordered = true;
        job.search.note_placement(now);
        let number = job.next_run(job.tasks[choice.task].last_run);
        let ordered_at = match candidate.holder {
            CandidateHolder::Local => now,
            CandidateHolder::Peer(peer) => {
                self.peers.arena.get(peer).map_or(now, |peer| peer.next_stamp(now))
            }
        };
        let placement = Placement::new(holder, Some(candidate.minion), ordered_at);
        job.tasks[choice.task].place(number, placement);
        let run = job.run_ref(choice.task);
        let step = job.step_of(choice.task);
        let need = choice.need;
        let order = RunOrder {
            run,
            need,
            estimate_ms: step.progress_estimate_ms(),
            spec: job.spec.clone(),
            checkpoint: job.tasks[choice.task].checkpoint.clone(),
            epoch: job.epoch(),
            pinned: step.is_pinned() || job.queue.advice.is_some(),
            ticket: job.ticket(choice.task, candidate.minion, now),
        };
        let minion = self.minions.arena[candidate.minion].entry.id.clone();
        info!(target: "job", request_id:% = id.job, run:% = run.task, number = run.run,
            minion:% = minion, pace = candidate.pace,
            local = candidate.holder == CandidateHolder::Local; "task placed");
        match candidate.holder {
            CandidateHolder::Local => {
                if !self.start_run(now, candidate.minion, order, RunOwner::Local) {
                    self.requeue(now, RunGone::not_sent(run));
                }
            }
            CandidateHolder::Peer(key) => {
                if let Some(peer) = self.peers.arena.get_mut(key) {
                    peer.reserve(&minion, need, now);
                    peer.shares_runs = true;
                    if peer.query.note_use(now) {
                        self.query_budget.put_back();
                    }
                }
                self.send(key, Message::Start { minion, order: Box::new(order) });
            }
        }
    }

    /// Returns the minions with free capacity that this instance or a responsive peer
    /// holds.
    ///
    /// There are none while the event loop is late: the client of a job may be gone.
    fn candidates(&self, now: Moment) -> Vec<Candidate> {
        let mut candidates = Vec::new();
        if self.event_loop.is_late(now) {
            return candidates;
        }
        for (key, minion, _) in self.minions.held() {
            if let Some(free) = minion.free(now)
                && free.cpu_millicores > 0
            {
                let pace = minion.expected_pace(self.cold_pace, now);
                let holder = CandidateHolder::Local;
                candidates.push(Candidate {
                    holder,
                    minion: key,
                    free,
                    pace,
                    hop_ms: 0.0,
                });
            }
        }
        let hop_ms = self.hop_ms();
        for (peer_key, peer) in &self.peers.arena {
            if !peer.takes_orders(now) {
                continue;
            }
            for report in &peer.free_capacity {
                let Some(&minion) = self.minions.by_id.get(&report.minion) else {
                    continue;
                };
                candidates.push(Candidate {
                    holder: CandidateHolder::Peer(peer_key),
                    minion,
                    free: report.free,
                    pace: f64::from(report.pace_permille) / 1000.0,
                    hop_ms,
                });
            }
        }
        candidates
    }

    /// Returns the additional time that an order to a peer takes, in milliseconds.
    ///
    /// It crosses the link of this instance as calls to its own minions do, so it takes at
    /// least as long. On a link with a queue, this keeps tasks on its own minions.
    fn hop_ms(&self) -> f64 {
        let round_trips = self.minions.held().map(|(_, _, held)| held.round_trip);
        let (sum_ms, count) = round_trips
            .fold((0.0, 0), |(sum_ms, count), it| (sum_ms + it.smoothed_ms(), count + 1));
        PEER_HOP_MS.max(sum_ms / f64::from(count.max(1)))
    }
}

/// Returns how well a minion suits a task, whatever else runs there; none if the task may not
/// run there.
pub(crate) fn suitability(
    minions: &Minions,
    remote_factor: f64,
    now: Moment,
    job: &Job,
    task: usize,
    key: MinionKey,
) -> Option<Suitability> {
    let minion = minions.arena.get(key)?;
    let entry = &minion.entry;
    let step = job.step_of(task);
    let label = step.required_label.as_ref();
    let allowed = job.queue.advice.is_none() || job.ticket(task, key, now).is_some();
    let usable = allowed
        && !minion.evacuated
        && entry.service == job.queue.service
        && !job.tasks[task].avoids(key, now)
        && job.tasks[task].backoff.allows(key, now)
        && label.is_none_or(|label| entry.labels.contains(label));
    let data_rack = step.data_rack.as_ref();
    let near = data_rack.is_none_or(|rack| entry.labels.contains(rack));
    let distance_factor = if near { 1.0 } else { remote_factor };
    let rack = entry.rack().map(|rack| hash(rack.as_bytes()));
    let need = match job.tasks[task].is_suspect() {
        true if !step.need.fits(entry.capacity) => return None,
        true => entry.capacity,
        false => step.need,
    };
    usable.then_some(Suitability { distance_factor, rack, need })
}

/// Drops the choices for tasks of which a run is still on a minion that this instance
/// holds: one that is being stopped, or one of an earlier submission of the job at another
/// instance. Of a gang, all choices are dropped.
fn drop_early_choices(minions: &Minions, job: &Job, choices: &mut Vec<Choice>) {
    let has_run = |choice: &&Choice| minions.hold_run_of(job.task_ref(choice.task));
    let early = choices.iter().filter(has_run);
    let early: Vec<usize> =
        early.flat_map(|choice| job.gang_members(choice.task)).collect();
    choices.retain(|choice| !early.contains(&choice.task));
}
