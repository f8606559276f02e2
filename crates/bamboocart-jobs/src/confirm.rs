//! Ends of runs that stay on minions' lists until the owner of the job has noted them.

use std::collections::BTreeMap;

use log::warn;

use crate::engine::Engine;
use crate::id::RunRef;
use crate::message::{EndReport, Message};
use crate::minion::{HoldState, MinionKey};
use crate::peer::PeerKey;
use crate::shard::Shard;
use crate::task::Holder;
use crate::time::Moment;
use crate::timing::{END_REPORT_INTERVAL_MS, UNCONFIRMED_RETENTION_MS};

/// The most ends of a minion that may wait. A minion lists 500 at a time; more would hide
/// new ones.
const MAX_UNCONFIRMED: usize = 300;

/// The ends of one minion that wait to be noted.
#[derive(Debug, Default)]
pub(crate) struct Unconfirmed {
    /// The number of the last end that was looked at.
    seen: u64,
    /// The ends that wait, by their numbers.
    ends: BTreeMap<u64, UnconfirmedEnd>,
}

/// An end that waits to be noted.
#[derive(Debug, Clone)]
struct UnconfirmedEnd {
    /// What is reported.
    report: EndReport,
    /// When it was found.
    since: Moment,
    /// When the owner was last told.
    reported: Moment,
    /// Whether it is certain that the job is stored.
    stored: bool,
    /// Whether it may only be noted once the minion's lease has lapsed, from when on it does
    /// not count any more.
    void: bool,
}

impl Unconfirmed {
    /// Returns whether an end was not looked at before, and notes that it is now.
    pub(crate) fn see(&mut self, number: u64) -> bool {
        let new = number > self.seen;
        self.seen = number.max(self.seen);
        new
    }

    /// Lets an end wait.
    pub(crate) fn insert(
        &mut self,
        now: Moment,
        number: u64,
        report: EndReport,
        stored: bool,
    ) {
        let end =
            UnconfirmedEnd { report, since: now, reported: now, stored, void: false };
        self.ends.insert(number, end);
    }

    /// Returns the number of the last end up to which the minion may forget all.
    pub(crate) fn last_seen(&self) -> u64 {
        self.ends.first_key_value().map_or(self.seen, |(&first, _)| first - 1)
    }

    /// Returns whether no end waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Notes an end, and returns whether it has waited.
    fn confirm(&mut self, run: RunRef) -> bool {
        let before = self.ends.len();
        self.ends.retain(|_, end| end.report.run != run || end.void);
        self.ends.len() < before
    }

    /// Notes that an end must not be noted before the lease has lapsed.
    fn avoid(&mut self, run: RunRef) {
        let ends = self.ends.values_mut().filter(|end| end.report.run == run);
        ends.for_each(|end| end.void = true);
    }

    /// Returns whether the lease has to lapse.
    pub(crate) fn needs_lapse(&self) -> bool {
        self.ends.values().any(|end| end.void)
    }

    /// Notes the ends that had to wait for the lapse of the lease.
    pub(crate) fn note_lapse(&mut self) {
        self.ends.retain(|_, end| !end.void);
    }

    /// Notes all ends.
    fn note_all(&mut self) {
        self.ends.clear();
    }

    /// Notes the ends that nobody claims, and the oldest if too many wait.
    fn expire(&mut self, now: Moment) {
        self.ends.retain(|_, end| {
            end.stored || end.void || now.since(end.since) < UNCONFIRMED_RETENTION_MS
        });
        while self.ends.len() > MAX_UNCONFIRMED {
            let oldest = self.ends.pop_first();
            warn!(target: "minion", end:? = oldest; "too many ends wait; one is forgotten");
        }
    }

    /// Returns the ends that the owner is to be told, all or those that are due.
    fn take_due(&mut self, now: Moment, all: bool) -> Vec<UnconfirmedEnd> {
        let due = self.ends.values_mut().filter(|end| {
            let due = all || now.since(end.reported) >= END_REPORT_INTERVAL_MS;
            due && !end.void
        });
        due.map(|end| {
            end.reported = now;
            end.clone()
        })
        .collect()
    }
}

impl Engine {
    /// Notes the end of a run, which may leave its minion's list.
    pub(crate) fn confirm(&mut self, now: Moment, run: RunRef) {
        for key in self.minions.held_keys().to_vec() {
            let Some(held) = self.minions.arena[key].held.as_mut() else { continue };
            if held.unconfirmed.confirm(run)
                && let HoldState::Due(due) = held.hold
            {
                held.hold = HoldState::Due(due.min(now));
            }
        }
    }

    /// Notes all ends that wait because it was not known whether jobs are stored.
    pub(crate) fn confirm_all(&mut self) {
        for key in self.minions.held_keys().to_vec() {
            if let Some(held) = self.minions.arena[key].held.as_mut() {
                held.unconfirmed.note_all();
            }
        }
    }

    /// Keeps an end from being noted as long as it counts.
    pub(crate) fn avoid_end(&mut self, run: RunRef) {
        for key in self.minions.held_keys().to_vec() {
            if let Some(held) = self.minions.arena[key].held.as_mut() {
                held.unconfirmed.avoid(run);
            }
        }
    }

    /// Tells the owners of shards of the ends that wait.
    pub(crate) fn report_unconfirmed(&mut self, now: Moment, all: bool) {
        if !self.shards.have_stored_jobs() {
            return;
        }
        for key in self.minions.held_keys().to_vec() {
            let Some(held) = self.minions.arena[key].held.as_mut() else { continue };
            if held.unconfirmed.is_empty() {
                continue;
            }
            held.unconfirmed.expire(now);
            for end in held.unconfirmed.take_due(now, all) {
                self.report_stored_end(now, key, end.report);
            }
        }
    }

    /// Tells the owner of a shard of the end of a run.
    pub(crate) fn report_stored_end(
        &mut self,
        now: Moment,
        key: MinionKey,
        report: EndReport,
    ) {
        let shard = self.shards.shard_of(report.run.task.job);
        let owner = self.shards.owner(shard);
        // The one that the log names comes first: members may not agree yet on the next one.
        let claimer = self.shards.announced_owners.get(&shard).copied();
        let member = owner.and_then(|owner| self.peers.key_of(owner));
        let heard = |&peer: &PeerKey| self.is_peer_responsive(now, peer);
        let peer = claimer.filter(heard).or(member.filter(heard));
        let own = owner == Some(&self.member)
            || self.shards.owned.get(&shard).is_some_and(Shard::is_claimed);
        match peer {
            Some(peer) if !own || claimer == Some(peer) => {
                let minion = self.minions.arena[key].entry.id.clone();
                self.send(peer, Message::Ended { minion, report });
            }
            _ if own => self.stored_run_ended(now, Holder::Local(key), report),
            _ => {}
        }
    }
}
