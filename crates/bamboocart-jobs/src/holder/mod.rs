//! The holder role: leases, runs and their ends on the minions that this instance holds.

pub(crate) mod adoption;
pub(crate) mod clock;
pub(crate) mod confirm;
pub(crate) mod minion;
pub(crate) mod orders;
pub(crate) mod pace;
pub(crate) mod retry_budget;
pub(crate) mod round_trip;
pub(crate) mod run_lists;
pub(crate) mod suspicion;

use std::collections::BTreeSet;
use std::mem;

use log::{info, warn};

use crate::effect::{Effect, HoldNumber, HoldOrder, StopOrder};
use crate::engine::Engine;
use crate::holder::confirm::UnconfirmedEnds;
use crate::holder::minion::{
    HeldMinion, HoldState, LostHold, Minion, MinionKey, Run, RunOwner, RunPhase,
    UnsettledRuns,
};
use crate::holder::suspicion::Progress;
use crate::id::{Checkpoint, MinionId, RunRef};
use crate::message::{CapacityReport, EndReport, Message, RunEnd};
use crate::owner::task::Holder;
use crate::time::Moment;
use crate::timing::{
    HOLD_INTERVAL_MS, HOLD_RETRY_MS, HOLD_SLACK_MS, HOLD_WAIT_MS, LATE_ORDER_MS,
    MAX_LEASE_MS, UNCONFIRMED_PAUSE_MS, UNEXTENDED_WAIT_MS,
};

/// The most ends in one answer to a hold. A minion lists further ones only once it has
/// forgotten earlier ones.
pub const MAX_LISTED_ENDS: usize = 500;

/// The answer to a hold.
#[derive(Debug, Clone)]
pub enum HoldAnswer {
    /// The lists of the minion's runs.
    Reply(HoldReply),
    /// Another holder has used a higher fencing token.
    Fenced,
    /// Another incarnation of the minion answered; it has done nothing.
    WrongIncarnation,
    /// The minion is not healthy; it has done nothing.
    Unhealthy,
    /// No answer; the request may still be carried out.
    Lost,
}

/// The lists of runs with which a minion answers a hold.
#[derive(Debug, Clone, Default)]
pub struct HoldReply {
    /// When the minion's process started, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// The reading of the minion's steady clock.
    pub clock_ms: u64,
    /// All runs that are active.
    pub active: Vec<ActiveRun>,
    /// The first ends that no hold has allowed the minion to forget, at most
    /// [`MAX_LISTED_ENDS`].
    pub ended: Vec<EndedRun>,
}

/// An active run, as its minion lists it.
#[derive(Debug, Clone)]
pub struct ActiveRun {
    /// The run, with the number of its start.
    pub run: RunRef,
    /// How much of its work is done.
    pub done_percent: u8,
    /// The last state that the run has saved.
    pub checkpoint: Checkpoint,
}

/// An end of a run, as its minion lists it.
#[derive(Debug, Clone)]
pub struct EndedRun {
    /// The number of the end, which rises by one with each end.
    pub number: u64,
    /// Which run ended, and how.
    pub report: EndReport,
    /// Whether the minion ended it because the lease had expired.
    pub lease_expired: bool,
}

impl Engine {
    /// Handles the answer to a hold; an answer to any but the last hold changes nothing.
    pub fn hold_answered(
        &mut self,
        now: Moment,
        key: MinionKey,
        number: HoldNumber,
        answer: HoldAnswer,
    ) {
        let minion = self.minions.arena.get_mut(key);
        let Some(held) = minion.and_then(|minion| minion.held.as_mut()) else { return };
        let fencing_token = held.fencing_token;
        let (sent, wait_ms) = match held.hold {
            HoldState::Sent { number: last, at, wait_ms } if last == number => {
                (at, wait_ms)
            }
            HoldState::Sent { .. } | HoldState::Due(_) => return,
        };
        match answer {
            HoldAnswer::Reply(reply) => {
                // A hold returns earlier than after its wait if the list has an end.
                if reply.ended.is_empty() {
                    held.round_trip.observe(now.since(sent).saturating_sub(wait_ms));
                }
                held.hold = HoldState::Due(now);
                held.last_answer = now;
                held.start_unanswered = false;
                if held.missed_holds > 0 {
                    held.missed_holds = 0;
                    info!(target: "minion", minion:% = self.minions.arena[key].entry.id;
                        "minion answers holds again");
                }
                self.process_reply(now, key, sent, reply);
                self.delay_next_hold(now, key);
            }
            HoldAnswer::Fenced => self.lose_minion(now, key, fencing_token),
            HoldAnswer::WrongIncarnation | HoldAnswer::Unhealthy | HoldAnswer::Lost => {
                held.missed_holds += 1;
                let pause_ms = if held.missed_holds == 1 { 0 } else { HOLD_RETRY_MS };
                held.hold = HoldState::Due(now + pause_ms);
                if held.missed_holds == 1 {
                    warn!(target: "minion", minion:% = self.minions.arena[key].entry.id,
                        answer:? = answer; "hold failed; repeating it");
                }
            }
        }
        self.advance(now);
    }

    /// Returns the state of a minion if it is held under `fencing_token`.
    pub(crate) fn held(
        &mut self,
        key: MinionKey,
        fencing_token: u64,
    ) -> Option<&mut HeldMinion> {
        let held = self.minions.arena.get_mut(key)?.held.as_mut()?;
        (held.fencing_token == fencing_token).then_some(held)
    }

    /// Processes the lists in a minion's answer.
    fn process_reply(
        &mut self,
        now: Moment,
        key: MinionKey,
        sent: Moment,
        reply: HoldReply,
    ) {
        let Some(held) = self.minions.arena[key].held.as_mut() else { return };
        let first = held.incarnation.is_none();
        let restarted = held.incarnation.is_some_and(|known| known != reply.incarnation);
        if restarted {
            return self.hold_restarted(now, key, &reply.active);
        }
        let minion = &mut self.minions.arena[key];
        let (minion, Some(held)) = (&minion.entry.id, minion.held.as_mut()) else {
            return;
        };
        held.incarnation = Some(reply.incarnation);
        held.clock.observe(reply.clock_ms, now);
        if first {
            // An earlier holder may have renewed the lease just before this hold.
            held.lease_until_ms = held.lease_until_ms.max(reply.clock_ms + MAX_LEASE_MS);
        }
        let clock_ms = reply.clock_ms;
        held.active_listed = reply.active.len();
        held.unconfirmed.note_listed(reply.ended.len());
        let all_listed = reply.ended.len() < MAX_LISTED_ENDS;
        let mut ended = reply.ended;
        ended.sort_by_key(|end| end.number);
        ended.retain(|end| held.unconfirmed.observe(end.number));
        for end in ended.iter().filter(|end| end.lease_expired) {
            let run = end.report.run;
            info!(target: "minion", minion:% = minion, run:% = run.task,
                number = run.run; "run ended because its lease expired");
        }
        for found in &reply.active {
            if let Some(run) = held.runs.get_mut(&found.run) {
                run.checkpoint.update(&found.checkpoint);
            }
        }
        let newly_held = first && !held.restarted;
        match newly_held {
            true => self.adopt(now, key, &reply.active, &ended),
            false => ended.into_iter().for_each(|end| self.record_end(now, key, end)),
        }
        if first && !newly_held {
            self.announce_kept_runs(key, &reply.active);
        }
        self.check_progress(now, key, &reply.active);
        self.reconcile_runs(now, key, (sent, clock_ms), &reply.active, all_listed);
        self.capacity_changed();
    }

    /// Records the end of a run.
    fn record_end(&mut self, now: Moment, key: MinionKey, end: EndedRun) {
        let minion = &mut self.minions.arena[key];
        let Some(held) = minion.held.as_mut() else { return };
        let Some(run) = held.runs.remove(&end.report.run) else {
            return self.record_unknown_end(now, key, end);
        };
        let stored = run.epoch > 0;
        let unowned = matches!(run.owner, RunOwner::Unclaimed | RunOwner::Nobody);
        let maybe_stored = !stored && unowned && self.shards.may_have_stored_jobs();
        if stored || maybe_stored {
            held.unconfirmed.insert(now, end.number, end.report.clone(), stored);
        }
        let elapsed_ms = now.since(run.since);
        match end.report.end {
            RunEnd::Done if run.estimate_ms > 0 && run.began_cold => {
                let warm_ms = run.estimate_ms as f64 * minion.pace.ratio();
                self.cold_pace.observe(elapsed_ms, warm_ms as u64);
            }
            RunEnd::Done if run.estimate_ms > 0 => {
                let expected_ms = run.estimate_ms as f64 * minion.pace.ratio();
                let progress = Progress { elapsed_ms, expected_ms, done_percent: 100 };
                if !progress.is_slow() {
                    held.suspicion.clear();
                }
                minion.pace.observe(elapsed_ms, run.estimate_ms);
                self.pace.observe(elapsed_ms, run.estimate_ms);
            }
            RunEnd::Failed => {
                if held.suspicion.note_failure(end.report.run.task.job, now) {
                    warn!(target: "minion", minion:% = minion.entry.id;
                        "minion fails runs of several jobs; pausing new work on it");
                }
            }
            RunEnd::Done | RunEnd::Void | RunEnd::Crashed => {}
        }
        if !stored {
            self.report_end(now, key, run.owner, end.report.clone());
        }
        if stored || maybe_stored {
            self.report_stored_end(now, key, end.report);
        }
    }

    /// Records the end of a run that is not known here; its job may be a stored one.
    fn record_unknown_end(&mut self, now: Moment, key: MinionKey, end: EndedRun) {
        let EndedRun { number, report, .. } = end;
        let held = self.minions.arena.get_mut(key).and_then(|it| it.held.as_mut());
        let Some(held) = held.filter(|_| self.shards.may_have_stored_jobs()) else {
            return;
        };
        held.unconfirmed.insert(now, number, report.clone(), false);
        self.report_stored_end(now, key, report);
    }

    /// Delays the next hold while ends have to stay on the list, since it would return at
    /// once.
    fn delay_next_hold(&mut self, now: Moment, key: MinionKey) {
        let held = self.minions.arena.get_mut(key).and_then(|it| it.held.as_mut());
        if let Some(held) = held
            && !held.unconfirmed.is_empty()
        {
            held.hold = HoldState::Due(now + UNCONFIRMED_PAUSE_MS);
        }
    }

    /// Checks whether active runs are stalled or slow, and stops the stalled ones, so
    /// that their owners can place them elsewhere.
    fn check_progress(&mut self, now: Moment, key: MinionKey, active: &[ActiveRun]) {
        let minion = &mut self.minions.arena[key];
        let pace = minion.pace.ratio();
        let cold_pace = pace * self.cold_pace.ratio();
        let Some(held) = minion.held.as_mut() else { return };
        for found in active {
            let Some(run) = held.runs.get_mut(&found.run) else { continue };
            if run.estimate_ms == 0 || run.phase != RunPhase::Active {
                continue;
            }
            let pace = if run.began_cold { cold_pace } else { pace };
            let progress = Progress {
                elapsed_ms: now.since(run.since),
                expected_ms: run.estimate_ms as f64 * pace,
                done_percent: found.done_percent,
            };
            let stalled = progress.is_stalled();
            if (stalled || progress.is_slow()) && held.suspicion.suspect(now) {
                warn!(target: "minion", minion:% = minion.entry.id,
                    run:% = found.run.task, progress:? = progress;
                    "minion stalls or is slow; pausing new work on it");
            }
            if stalled {
                run.request_stop(now);
            }
        }
    }

    /// Reconciles the expected runs of a minion with those that it lists, from the time at
    /// which the list was requested and the reading of the minion's clock.
    ///
    /// A run that is not listed is gone only if the minion has listed all of its ends.
    fn reconcile_runs(
        &mut self,
        now: Moment,
        key: MinionKey,
        (sent, clock_ms): (Moment, u64),
        active: &[ActiveRun],
        all_listed: bool,
    ) {
        let minion = &mut self.minions.arena[key];
        let Some(held) = minion.held.as_mut() else { return };
        let listed: BTreeSet<RunRef> = active.iter().map(|found| found.run).collect();
        let mut gone = Vec::new();
        for (&run_ref, run) in &mut held.runs {
            if listed.contains(&run_ref) {
                run.crashed = false;
                if run.phase == RunPhase::Starting {
                    run.note_listed(now);
                }
                continue;
            }
            if run.listed_since.is_none() && clock_ms > run.lease_until_ms + LATE_ORDER_MS
            {
                run.listed_since = Some(now);
            }
            if all_listed && run.listed_since.is_some_and(|settled| sent > settled) {
                let end = if run.crashed { RunEnd::Crashed } else { RunEnd::Void };
                let checkpoint = run.checkpoint.clone();
                gone.push((run.owner, EndReport { run: run_ref, end, checkpoint }));
            }
        }
        for &found in &listed {
            held.runs.entry(found).or_insert_with(|| {
                warn!(target: "minion", minion:% = minion.entry.id, run:% = found.task,
                    number = found.run; "stopping an unexpected run");
                Run::unexpected(now)
            });
        }
        for (owner, report) in gone {
            if let Some(held) = self.minions.arena[key].held.as_mut() {
                held.runs.remove(&report.run);
            }
            self.report_end(now, key, owner, report);
        }
    }

    /// Holds the new incarnation of a minion, under a higher fencing token.
    ///
    /// The earlier process has ended with its runs, but the new one may have begun them, or
    /// may still do: it takes orders that were on their way. They are refused once it has
    /// seen the higher token, so only the lists in its answer to the next hold tell which
    /// runs are gone.
    ///
    /// The new incarnation numbers its ends from the start again, so an earlier hold that
    /// arrives late would otherwise make it forget ends that no holder has seen. It lists no
    /// ends of the earlier process, so those are kept here until their owners confirm them.
    fn hold_restarted(&mut self, now: Moment, key: MinionKey, active: &[ActiveRun]) {
        let minion = &self.minions.arena[key];
        let Some(held) = minion.held.as_ref() else { return };
        log_restart(&minion.entry.id, held, active);
        let earlier_token = held.fencing_token;
        let Some(token) = self.token_above(earlier_token) else {
            return self.lose_minion(now, key, earlier_token);
        };
        let Some(held) = self.minions.arena[key].held.as_mut() else { return };
        let mut runs = mem::take(&mut held.runs);
        runs.values_mut().for_each(|run| run.note_restart(now));
        let ends = mem::take(&mut held.unconfirmed);
        let round_trip = held.round_trip;
        *held = HeldMinion {
            runs,
            round_trip,
            restarted: true,
            ..HeldMinion::new(token, now)
        };
        self.detach_ends(key, ends);
    }

    /// Reports the end of a run to its owner.
    pub(crate) fn report_end(
        &mut self,
        now: Moment,
        key: MinionKey,
        owner: RunOwner,
        report: EndReport,
    ) {
        match owner {
            RunOwner::Local => {
                self.run_ended(now, Holder::Local(key), report);
            }
            RunOwner::Peer(peer) => {
                let minion = self.minions.arena[key].entry.id.clone();
                self.send(peer, Message::Ended { minion, report });
            }
            RunOwner::Unclaimed => {
                let minion = self.minions.arena[key].entry.id.clone();
                self.broadcast(&Message::Ended { minion, report });
            }
            RunOwner::Nobody => {}
        }
    }

    /// Starts to hold a minion under `fencing_token`.
    pub(crate) fn hold_minion(
        &mut self,
        now: Moment,
        key: MinionKey,
        fencing_token: u64,
    ) {
        self.minions.hold(key, HeldMinion::new(fencing_token, now));
    }

    /// Releases a minion, which another instance is to hold from now on.
    pub(crate) fn release_minion(&mut self, now: Moment, key: MinionKey) {
        let Some(held) = self.minions.release(key) else { return };
        let minion = &self.minions.arena[key];
        info!(target: "minion", minion:% = minion.entry.id, token = held.fencing_token,
            runs = held.runs.len(); "minion released");
        for (run_ref, run) in held.runs {
            match run.owner {
                RunOwner::Local => self.holder_lost(now, Holder::Local(key), run_ref),
                RunOwner::Peer(peer) => self.send(peer, Message::Released(run_ref)),
                RunOwner::Unclaimed | RunOwner::Nobody => {}
            }
        }
        self.capacity_changed();
    }

    /// Releases a minion that refuses calls because it has seen a higher fencing token.
    pub(crate) fn lose_minion(
        &mut self,
        now: Moment,
        key: MinionKey,
        fencing_token: u64,
    ) {
        if self.held(key, fencing_token).is_none() {
            return;
        }
        warn!(target: "minion", minion:% = self.minions.arena[key].entry.id,
            token = fencing_token; "another instance holds the minion");
        self.release_minion(now, key);
        self.minions.arena[key].lost = Some(LostHold { fencing_token, at: now });
    }

    /// Sends the holds and stops that are due.
    pub(crate) fn send_due(&mut self, now: Moment) {
        for key in self.minions.held_keys().to_vec() {
            let may_clear = self.detached_ends.has_room();
            let minion = &mut self.minions.arena[key];
            let Some(held) = minion.held.as_mut() else { continue };
            let token = held.fencing_token;
            for (&run_ref, run) in &mut held.runs {
                if let RunPhase::StopDue(due) = run.phase
                    && due <= now
                {
                    run.phase = RunPhase::Stopping;
                    run.stop_sent.get_or_insert(now);
                    let timeout_ms = held.round_trip.order_timeout_ms();
                    let target = minion.entry.target(key, token, timeout_ms);
                    self.effects.push(Effect::Stop(StopOrder { target, run: run_ref }));
                }
            }
            if let HoldState::Due(due) = held.hold
                && due <= now
            {
                self.last_hold.0 += 1;
                let number = self.last_hold;
                log_full_list(now, &minion.entry.id, held);
                let cleared = may_clear.then(|| held.clear_list(now)).flatten();
                let lease_until_ms = match cleared {
                    None => held.renew_lease(now),
                    Some(ends) => {
                        log_cleared_list(&minion.entry.id, &ends);
                        self.detached_ends.extend(key, &minion.entry.id, ends);
                        None
                    }
                };
                log_unsettled(&minion.entry.id, held);
                let timeout_ms = held.round_trip.hold_timeout_ms();
                let longest_ms = HOLD_WAIT_MS.min(HOLD_INTERVAL_MS - timeout_ms);
                let wait_ms = match held.next_end_ms(minion.pace.ratio(), now) {
                    _ if held.incarnation.is_none() || held.missed_holds > 0 => 0,
                    // The minion gets starts as soon as its list is known to be shorter.
                    _ if held.is_list_full() && held.unconfirmed.listed() > 0 => 0,
                    _ if !held.may_extend_lease() => UNEXTENDED_WAIT_MS,
                    Some(end_ms) => longest_ms.min(end_ms + HOLD_SLACK_MS),
                    None => longest_ms,
                };
                held.hold = HoldState::Sent { number, at: now, wait_ms };
                // A restart may be why the last hold failed, and the new process numbers
                // its ends from the start again.
                let last_seen = match held.missed_holds {
                    0 => held.unconfirmed.last_seen(),
                    _ => 0,
                };
                self.effects.push(Effect::Hold(HoldOrder {
                    number,
                    target: minion.entry.target(key, token, timeout_ms),
                    lease_until_ms,
                    last_seen,
                    wait_ms,
                }));
            }
        }
    }

    /// Returns the free capacity of the minions that this instance holds.
    pub(crate) fn free_capacity(&self, now: Moment) -> Vec<CapacityReport> {
        let report = |(_, minion, _): (MinionKey, &Minion, &HeldMinion)| {
            let free = minion.free(now).filter(|free| free.cpu_millicores > 0)?;
            Some(CapacityReport {
                minion: minion.entry.id.clone(),
                free,
                pace_permille: (minion.expected_pace(self.cold_pace, now) * 1000.0)
                    as u32,
            })
        };
        self.minions.held().filter_map(report).collect()
    }
}

/// Logs that a minion has restarted, with the number of runs that it had, of those whose
/// start was not answered, and of those that the new process lists as active.
fn log_restart(minion: &MinionId, held: &HeldMinion, active: &[ActiveRun]) {
    let unanswered =
        held.runs.values().filter(|run| run.phase == RunPhase::Starting).count();
    let known = |found: &&ActiveRun| held.runs.contains_key(&found.run);
    let listed = active.iter().filter(known).count();
    warn!(target: "minion", minion:% = minion, runs = held.runs.len(), unanswered, listed;
        "minion restarted");
}

/// Logs the first hold of a minion that gets no starts because its list of ends is full, and
/// the first one after that.
fn log_full_list(now: Moment, minion: &MinionId, held: &mut HeldMinion) {
    let full = held.is_list_full();
    if mem::replace(&mut held.full_list_logged, full) == full {
        return;
    }
    let ends = &held.unconfirmed;
    let (listed, unconfirmed) = (ends.listed(), ends.len());
    match full {
        true => warn!(target: "minion", minion:% = minion, listed, unconfirmed,
            oldest_ms = ends.oldest_ms(now), runs = held.runs.len();
            "minion gets no starts until ends on its list are confirmed"),
        false => info!(target: "minion", minion:% = minion, listed, unconfirmed;
            "minion gets starts again"),
    }
}

/// Logs that the ends of a full list no longer count, if there are any.
fn log_cleared_list(minion: &MinionId, ends: &UnconfirmedEnds) {
    if !ends.is_empty() {
        warn!(target: "minion", minion:% = minion, ends = ends.len();
            "lease has expired; ends that no owner has confirmed are kept here only");
    }
}

/// Logs the first hold that withholds the renewal of a lease because runs are unclaimed or
/// being stopped.
fn log_unsettled(minion: &MinionId, held: &mut HeldMinion) {
    let unsettled = held.unsettled_runs();
    let logged = mem::replace(&mut held.unsettled_logged, !unsettled.is_empty());
    if logged || unsettled.is_empty() {
        return;
    }
    let UnsettledRuns { unclaimed, stopping } = unsettled;
    info!(target: "minion", minion:% = minion, token = held.fencing_token, unclaimed,
        stopping; "lease renewal withheld because of unsettled runs");
}
