//! The free slots of peers, as reported in their messages.

use std::collections::{BTreeMap, VecDeque};

use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::id::{ConfigVersion, InstanceName};
use crate::time::{Timestamp, US_PER_MS};

/// The highest number of targets that a report names for each group.
///
/// It keeps a report on two groups of four request kinds each within 150 bytes.
pub const MAX_REPORTED_TARGETS: usize = 4;

/// The time after a rejected offer in which the last free slot of the peer's targets gets
/// no further offers, and the age at which the counts of a heartbeat replace a report.
///
/// Without the pause after a rejection, 9 % of the tasks were rejected in a simulation at
/// 120 % of capacity, because all instances with a queue offer tasks to the same slot.
pub const REPORT_STALE_MS: u64 = 1_000;

/// The time after a report in which an instance with a free slot of its own may still
/// offer a task to the last free slot of a target.
///
/// At 80 % of capacity a peer gets a task of its own about every 12 ms, which would take
/// the slot.
const REPORT_FRESH_MS: u64 = 5;

/// The time after an offer in which reports of the peer may not account for it yet.
///
/// Without it, a peer that sends many messages at once was offered tasks for the same
/// free slots after each message: 944 tasks in one wave of cancellations.
const OFFER_UNSEEN_MS: u64 = 20;

/// The time that a start by an offer takes longer than a start on a target of this
/// instance.
const OFFER_OVERHEAD_US: u64 = 1_000;

/// The divisor of an estimate that gives the gain an offer needs.
///
/// Estimates that differ by less than an eighth count as equal, as they do among the
/// targets of this instance.
const MIN_GAIN_DIVISOR: u64 = 8;

/// The free slots of an instance, which it attaches to its messages.
#[derive(Debug, Clone, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct SlotReport {
    /// The time of the report by the sender's clock.
    pub made_at: Timestamp,
    /// The configuration that defines the order of `groups` and `run_ms`.
    pub config_version: ConfigVersion,
    /// For each target group, its fastest targets with free slots, at most
    /// [`MAX_REPORTED_TARGETS`].
    pub groups: Vec<Vec<FreeTarget>>,
}

/// A target with free slots in a report.
#[derive(Debug, Clone, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct FreeTarget {
    /// The number of free slots of the target.
    pub free: u32,
    /// The expected run time of each request kind of the group; empty if it is unknown.
    pub run_ms: Vec<u32>,
}

/// The criteria for a peer's slot that a task can be offered to.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub struct SlotQuery {
    /// The position of the target group in the configuration.
    pub group: usize,
    /// The position of the request kind among those of the group.
    pub kind: usize,
    /// The expected run time on the fastest free target of this instance, if it has one.
    pub own_us: Option<u64>,
}

/// A peer's slot that a task can be offered to.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct PeerSlot {
    /// The peer that uses the target.
    pub peer: InstanceName,
    /// The position of the target group in the configuration.
    group: usize,
    /// The position of the target in the report.
    target: usize,
}

/// The free slots of all peers.
#[derive(Debug, Default)]
pub struct PeerSlots {
    peers: BTreeMap<InstanceName, PeerState>,
}

/// The free slots of one peer.
#[derive(Debug, Default)]
struct PeerState {
    /// The latest report, less the slots that were offered tasks since.
    report: SlotReport,
    /// When the report was received, by the clock of this instance.
    received_at: Timestamp,
    /// When the peer last rejected an offered task.
    rejected_at: Option<Timestamp>,
    /// The offers that reports may not account for yet, oldest first, with their groups.
    recent_offers: VecDeque<(Timestamp, usize)>,
}

impl PeerSlots {
    /// Stores a report unless a later one was received before it.
    pub fn note_report(
        &mut self,
        peer: &InstanceName,
        report: SlotReport,
        now: Timestamp,
    ) {
        let state = self.peers.entry(peer.clone()).or_default();
        // A report that follows a long silence is always stored, because the clock of the
        // peer may have been set back.
        if report.made_at > state.report.made_at || state.is_stale(now) {
            state.report = report;
            state.received_at = now;
            state.subtract_recent_offers(now);
        }
    }

    /// Stores the free slots of each group from a heartbeat if the report is stale.
    pub fn note_heartbeat(
        &mut self,
        peer: &InstanceName,
        config_version: ConfigVersion,
        free_slots: &[u32],
        now: Timestamp,
    ) {
        let state = self.peers.entry(peer.clone()).or_default();
        if !state.is_stale(now) {
            return;
        }
        // Half of them, because other instances receive the same numbers.
        let half = |&free: &u32| FreeTarget { free: free.div_ceil(2), run_ms: vec![] };
        let groups = free_slots.iter().map(|free| vec![half(free)]).collect();
        state.report =
            SlotReport { made_at: state.report.made_at, config_version, groups };
        state.received_at = now;
    }

    /// Records that a peer rejected an offered task.
    pub fn note_rejection(&mut self, peer: &InstanceName, now: Timestamp) {
        if let Some(state) = self.peers.get_mut(peer) {
            state.rejected_at = Some(now);
        }
    }

    /// Removes a peer that accepts no new work.
    pub fn forget(&mut self, peer: &InstanceName) {
        self.peers.remove(peer);
    }

    /// Returns the free slots of a group that this instance may count on.
    ///
    /// It is half of them, because other instances count on them too.
    pub fn free_share(&self, group: usize) -> u32 {
        let groups =
            self.peers.values().filter_map(|state| state.report.groups.get(group));
        let free = groups.map(|group| group.iter().map(|target| target.free).sum());
        free.map(|free: u32| free.div_ceil(2)).sum()
    }

    /// Chooses the slot with the earliest expected finish, if it is earlier than on a
    /// free target of this instance by more than the overhead of an offer.
    ///
    /// Nearly equal slots are chosen at random, so that several owners do not all pick
    /// the same one. The last free slot of a target is left to the peer, which usually
    /// fills it before an offer arrives, in two cases: for a time after the peer rejected
    /// an offer, and while this instance has a free slot itself, except just after a
    /// report.
    pub fn choose(
        &self,
        query: SlotQuery,
        config_version: ConfigVersion,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Option<PeerSlot> {
        let limit_us = query.own_us.map(|us| us.saturating_sub(us / MIN_GAIN_DIVISOR));
        let candidates: Vec<Candidate<'_>> = self
            .candidates(query, config_version, now)
            .filter(|it| {
                limit_us.is_none_or(|limit| it.run_us + OFFER_OVERHEAD_US < limit)
            })
            .collect();
        let fastest_us = candidates.iter().map(|it| it.run_us).min()?;
        let near_us = fastest_us.saturating_add(fastest_us / MIN_GAIN_DIVISOR);
        let near = || candidates.iter().filter(|it| it.run_us <= near_us);
        let slots: u32 = near().map(|it| it.free).sum();
        let mut left = rng.random_range(0..slots);
        let drawn = near().find(|it| {
            let found = left < it.free;
            left = left.saturating_sub(it.free);
            found
        })?;
        let (peer, target) = (drawn.peer.clone(), drawn.target);
        Some(PeerSlot { peer, group: query.group, target })
    }

    /// Reserves a slot for an offer, until a report accounts for it.
    pub fn reserve(&mut self, slot: &PeerSlot, now: Timestamp) {
        let Some(state) = self.peers.get_mut(&slot.peer) else { return };
        state.remove_seen_offers(now);
        state.recent_offers.push_back((now, slot.group));
        let group = state.report.groups.get_mut(slot.group);
        if let Some(target) = group.and_then(|group| group.get_mut(slot.target)) {
            target.free = target.free.saturating_sub(1);
        }
    }

    /// Returns the targets with slots that tasks may be offered to.
    fn candidates(
        &self,
        query: SlotQuery,
        config_version: ConfigVersion,
        now: Timestamp,
    ) -> impl Iterator<Item = Candidate<'_>> {
        let current =
            move |state: &PeerState| state.report.config_version == config_version;
        let peers = self.peers.iter().filter(move |(_, state)| current(state));
        peers.flat_map(move |(peer, state)| {
            let keep_last = query.own_us.is_some() && !state.is_fresh(now);
            let withheld = u32::from(keep_last || state.has_rejected(now));
            let group = state.report.groups.get(query.group);
            let targets = group.into_iter().flatten().enumerate();
            targets.filter_map(move |(target, row)| {
                let free = row.free.saturating_sub(withheld);
                let run_ms = row.run_ms.get(query.kind).copied().unwrap_or(u32::MAX);
                let run_us = u64::from(run_ms) * US_PER_MS;
                (free > 0).then_some(Candidate { peer, target, free, run_us })
            })
        })
    }
}

impl PeerState {
    /// Subtracts the slots of recent offers from a report, fastest targets first, because
    /// offers choose these.
    fn subtract_recent_offers(&mut self, now: Timestamp) {
        self.remove_seen_offers(now);
        for &(_, group) in &self.recent_offers {
            let targets = self.report.groups.get_mut(group).into_iter().flatten();
            if let Some(target) = { targets }.find(|target| target.free > 0) {
                target.free -= 1;
            }
        }
    }

    /// Removes the offers that every further report accounts for.
    fn remove_seen_offers(&mut self, now: Timestamp) {
        let is_seen = |&(at, _): &(Timestamp, usize)| now.ms_since(at) >= OFFER_UNSEEN_MS;
        while self.recent_offers.front().is_some_and(is_seen) {
            self.recent_offers.pop_front();
        }
    }

    /// Reports whether the report is so recent that last free slots are probably still
    /// free.
    fn is_fresh(&self, now: Timestamp) -> bool {
        now.ms_since(self.received_at) < REPORT_FRESH_MS
    }

    /// Reports whether the last report is so old that any report or heartbeat replaces
    /// it.
    fn is_stale(&self, now: Timestamp) -> bool {
        now.ms_since(self.received_at) >= REPORT_STALE_MS
    }

    /// Reports whether the peer rejected an offered task a short time ago.
    fn has_rejected(&self, now: Timestamp) -> bool {
        self.rejected_at.is_some_and(|at| now.ms_since(at) < REPORT_STALE_MS)
    }
}

/// A target with slots that a task can be offered to.
#[derive(Debug, Copy, Clone)]
struct Candidate<'a> {
    peer: &'a InstanceName,
    target: usize,
    free: u32,
    run_us: u64,
}
