//! Ends of runs that stay on the lists of minions until the job's owner has recorded
//! them.

use std::collections::BTreeMap;
use std::mem;

use log::warn;

use crate::engine::Engine;
use crate::holder::MAX_LISTED_ENDS;
use crate::holder::minion::{HoldState, MinionKey};
use crate::id::{MinionId, RunRef};
use crate::membership::peer::PeerKey;
use crate::message::{EndReport, Message};
use crate::owner::task::Holder;
use crate::shard::{Shard, ShardId};
use crate::time::Moment;
use crate::timing::{END_REPORT_INTERVAL_MS, UNCONFIRMED_RETENTION_MS};

/// The most ends that are kept of processes of minions that have ended, or whose lease has
/// expired.
const MAX_DETACHED: usize = 4_096;

/// The age of the oldest unconfirmed end from which a full list does not wait for its owner
/// any longer.
const FULL_LIST_PATIENCE_MS: u64 = 500;

/// The ends on one minion's list that are not confirmed yet.
#[derive(Debug, Default)]
pub(crate) struct UnconfirmedEnds {
    /// The number of the last end that was processed.
    seen: u64,
    /// The number of ends on the list when the minion last sent it.
    listed: usize,
    /// The unconfirmed ends by number.
    ends: BTreeMap<u64, UnconfirmedEnd>,
}

/// An end that is not confirmed yet.
#[derive(Debug, Clone)]
struct UnconfirmedEnd {
    /// The report to the owner.
    report: EndReport,
    /// When it was found.
    since: Moment,
    /// When it was last reported to the owner.
    reported: Moment,
    /// Whether the job is known to be stored.
    stored: bool,
    /// Whether it may only be confirmed after the minion's lease has expired, from when
    /// on the end no longer counts.
    deferred: bool,
}

impl UnconfirmedEnds {
    /// Marks an end as processed, and returns whether it is new.
    pub(crate) fn observe(&mut self, number: u64) -> bool {
        let new = number > self.seen;
        self.seen = number.max(self.seen);
        new
    }

    /// Records the number of ends on the list that the minion has just sent.
    pub(crate) fn note_listed(&mut self, listed: usize) {
        self.listed = listed;
    }

    /// Returns the number of ends on the list when the minion last sent it.
    pub(crate) fn listed(&self) -> usize {
        self.listed
    }

    /// Returns the number of unconfirmed ends.
    pub(crate) fn len(&self) -> usize {
        self.ends.len()
    }

    /// Returns the age of the oldest unconfirmed end in milliseconds, if there is one.
    pub(crate) fn oldest_ms(&self, now: Moment) -> Option<u64> {
        self.ends.first_key_value().map(|(_, end)| now.since(end.since))
    }

    /// Returns whether the oldest unconfirmed end has waited for its owner for long.
    pub(crate) fn is_overdue(&self, now: Moment) -> bool {
        self.oldest_ms(now).is_some_and(|age_ms| age_ms >= FULL_LIST_PATIENCE_MS)
    }

    /// Removes and returns the unconfirmed ends, so that the minion may forget them.
    pub(crate) fn take_ends(&mut self) -> Self {
        Self { ends: mem::take(&mut self.ends), ..Self::default() }
    }

    /// Adds an end that has to be confirmed.
    pub(crate) fn insert(
        &mut self,
        now: Moment,
        number: u64,
        report: EndReport,
        stored: bool,
    ) {
        let end =
            UnconfirmedEnd { report, since: now, reported: now, stored, deferred: false };
        self.ends.insert(number, end);
    }

    /// Returns the number of the end up to which the minion may forget all ends.
    pub(crate) fn last_seen(&self) -> u64 {
        self.ends.first_key_value().map_or(self.seen, |(&first, _)| first - 1)
    }

    /// Returns whether all ends are confirmed.
    pub(crate) fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Confirms the end of a run, and returns whether it was unconfirmed.
    fn confirm(&mut self, run: RunRef) -> bool {
        let before = self.ends.len();
        self.ends.retain(|_, end| end.report.run != run || end.deferred);
        self.ends.len() < before
    }

    /// Defers the confirmation of an end until the lease has expired.
    fn defer(&mut self, run: RunRef) {
        let ends = self.ends.values_mut().filter(|end| end.report.run == run);
        ends.for_each(|end| end.deferred = true);
    }

    /// Returns whether an end waits for the lease to expire.
    pub(crate) fn awaits_lease_expiry(&self) -> bool {
        self.ends.values().any(|end| end.deferred)
    }

    /// Confirms the ends that were deferred, since the lease has expired.
    pub(crate) fn confirm_deferred(&mut self) {
        self.ends.retain(|_, end| !end.deferred);
    }

    /// Confirms all ends.
    fn confirm_all(&mut self) {
        self.ends.clear();
    }

    /// Returns the reports of the ends that owners may confirm.
    fn reports(&self) -> impl Iterator<Item = &EndReport> {
        self.ends.values().filter(|end| !end.deferred).map(|end| &end.report)
    }

    /// Returns the ends to report to the owner: those that are due, or all.
    fn take_due(&mut self, now: Moment, all: bool) -> Vec<UnconfirmedEnd> {
        let ends = self.ends.values_mut();
        ends.filter_map(|end| end.take_report(now, all).then(|| end.clone())).collect()
    }
}

impl UnconfirmedEnd {
    /// Returns whether the end is still wanted: its job is known to be stored, or may still
    /// turn out to be.
    fn is_wanted(&self, now: Moment) -> bool {
        self.stored || now.since(self.since) < UNCONFIRMED_RETENTION_MS
    }

    /// Returns whether a report of the end is due, and records it as made.
    fn take_report(&mut self, now: Moment, all: bool) -> bool {
        let due = all || now.since(self.reported) >= END_REPORT_INTERVAL_MS;
        if due && !self.deferred {
            self.reported = now;
        }
        due && !self.deferred
    }
}

/// The unconfirmed ends of processes of minions that have ended, and of minions whose full
/// lists were cleared after the lease had expired.
///
/// No minion lists them any more, so that only this instance knows them. If it loses them,
/// their tasks may start again: an end counts only if it was confirmed before the lease of
/// its minion expired.
#[derive(Debug, Default)]
pub(crate) struct DetachedEnds {
    ends: BTreeMap<RunRef, DetachedEnd>,
}

/// An end of a process that has ended.
#[derive(Debug)]
struct DetachedEnd {
    minion: MinionKey,
    minion_id: MinionId,
    end: UnconfirmedEnd,
}

impl DetachedEnds {
    /// Returns whether the ends of another full list may be added.
    pub(crate) fn has_room(&self) -> bool {
        self.ends.len() + MAX_LISTED_ENDS <= MAX_DETACHED
    }

    /// Adds the ends of a process that has ended, or of a list that is cleared.
    ///
    /// Those that were deferred are dropped: their tasks were started again, and they no
    /// longer count without a list that has them.
    pub(crate) fn extend(
        &mut self,
        minion: MinionKey,
        id: &MinionId,
        ends: UnconfirmedEnds,
    ) {
        for end in ends.ends.into_values().filter(|end| !end.deferred) {
            let run = end.report.run;
            self.ends.insert(run, DetachedEnd { minion, minion_id: id.clone(), end });
        }
    }

    /// Removes the end of a run that is confirmed or no longer counts.
    fn remove(&mut self, run: RunRef) {
        self.ends.remove(&run);
    }

    /// Drops the ends that no owner has claimed in time, and some if there are too many.
    fn expire(&mut self, now: Moment) {
        self.ends.retain(|_, detached| detached.end.is_wanted(now));
        while self.ends.len() > MAX_DETACHED {
            let dropped = self.ends.pop_first();
            warn!(target: "minion", end:? = dropped;
                "too many unconfirmed ends of ended processes; dropping one");
        }
    }

    /// Returns the reports of all ends, with their minions.
    fn reports(&self) -> impl Iterator<Item = (&MinionId, &EndReport)> {
        self.ends.values().map(|it| (&it.minion_id, &it.end.report))
    }

    /// Returns the ends to report to their owners, with their minions: those that are due,
    /// or all.
    fn take_due(
        &mut self,
        now: Moment,
        all: bool,
    ) -> Vec<(MinionKey, MinionId, EndReport)> {
        let ends = self.ends.values_mut();
        ends.filter_map(|DetachedEnd { minion, minion_id, end }| {
            let due = end.take_report(now, all);
            due.then(|| (*minion, minion_id.clone(), end.report.clone()))
        })
        .collect()
    }
}

impl Engine {
    /// Confirms the end of a run, so that its minion may drop it from its list.
    pub(crate) fn confirm_end(&mut self, now: Moment, run: RunRef) {
        self.detached_ends.remove(run);
        for key in self.minions.held_keys().to_vec() {
            let Some(held) = self.minions.arena[key].held.as_mut() else { continue };
            if held.unconfirmed.confirm(run)
                && let HoldState::Due(due) = held.hold
            {
                held.hold = HoldState::Due(due.min(now));
            }
        }
    }

    /// Confirms all ends that were kept because it was not known whether jobs are stored.
    pub(crate) fn confirm_all_ends(&mut self) {
        self.detached_ends = DetachedEnds::default();
        for key in self.minions.held_keys().to_vec() {
            if let Some(held) = self.minions.arena[key].held.as_mut() {
                held.unconfirmed.confirm_all();
            }
        }
    }

    /// Keeps an end from being confirmed for as long as it counts.
    pub(crate) fn defer_confirmation(&mut self, run: RunRef) {
        self.detached_ends.remove(run);
        for key in self.minions.held_keys().to_vec() {
            if let Some(held) = self.minions.arena[key].held.as_mut() {
                held.unconfirmed.defer(run);
            }
        }
    }

    /// Keeps the unconfirmed ends of a process of a minion that has ended, until their
    /// owners confirm them.
    pub(crate) fn detach_ends(&mut self, key: MinionKey, ends: UnconfirmedEnds) {
        let id = &self.minions.arena[key].entry.id;
        self.detached_ends.extend(key, id, ends);
    }

    /// Returns the messages that report the unconfirmed ends of a shard to its owner.
    pub(crate) fn unconfirmed_ends_of(&self, shard: ShardId) -> Vec<Message> {
        let held = self.minions.held().flat_map(|(_, minion, held)| {
            let reports = held.unconfirmed.reports();
            reports.map(move |report| (&minion.entry.id, report))
        });
        let ends = held.chain(self.detached_ends.reports());
        let ends =
            ends.filter(|(_, report)| self.shards.shard_of(report.run.task.job) == shard);
        ends.map(|(minion, report)| {
            let (minion, report) = (minion.clone(), report.clone());
            Message::Ended { minion, report }
        })
        .collect()
    }

    /// Reports unconfirmed ends to the owners of their shards: those that are due, or
    /// all.
    pub(crate) fn report_unconfirmed(&mut self, now: Moment, all: bool) {
        if !self.shards.have_stored_jobs() {
            return;
        }
        for key in self.minions.held_keys().to_vec() {
            let Some(held) = self.minions.arena[key].held.as_mut() else { continue };
            if held.unconfirmed.is_empty() {
                continue;
            }
            for end in held.unconfirmed.take_due(now, all) {
                self.report_stored_end(now, key, end.report);
            }
        }
        self.detached_ends.expire(now);
        for (key, id, report) in self.detached_ends.take_due(now, all) {
            self.report_end_to_shard(now, key, &id, report);
        }
    }

    /// Reports the end of a run of a stored job to the owner of its shard.
    pub(crate) fn report_stored_end(
        &mut self,
        now: Moment,
        key: MinionKey,
        report: EndReport,
    ) {
        let minion = self.minions.arena[key].entry.id.clone();
        self.report_end_to_shard(now, key, &minion, report);
    }

    /// Reports the end of a run to the owner of its shard; its minion may have been removed.
    fn report_end_to_shard(
        &mut self,
        now: Moment,
        key: MinionKey,
        minion: &MinionId,
        report: EndReport,
    ) {
        let shard = self.shards.shard_of(report.run.task.job);
        let owner = self.shards.owner(shard);
        // The owner that the log names takes precedence, since members may not yet agree
        // on the next one.
        let claimer = self.shards.announced_owners.get(&shard).copied();
        let member = owner.and_then(|owner| self.peers.key_of(owner));
        let responsive = |&peer: &PeerKey| self.is_peer_responsive(now, peer);
        let peer = claimer.filter(responsive).or(member.filter(responsive));
        let own = owner == Some(&self.member)
            || self.shards.owned.get(&shard).is_some_and(Shard::is_claimed);
        match peer {
            Some(peer) if !own || claimer == Some(peer) => {
                self.send(peer, Message::Ended { minion: minion.clone(), report });
            }
            _ if own => self.stored_run_ended(now, Holder::Local(key), report),
            _ => {}
        }
    }
}
