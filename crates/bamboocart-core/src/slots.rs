//! The free slots of peers, as their messages tell.

use std::collections::{BTreeMap, VecDeque};

use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::id::{ConfigVersion, InstanceName};
use crate::time::{Timestamp, US_PER_MS};

/// The targets of a group that a report names at most, which keeps it under 150 bytes
/// with two groups of four request kinds.
pub const MAX_REPORTED_TARGETS: usize = 4;

/// The time for which a peer's last free slots are not asked for after a bounce, and
/// after which a report is replaced by the number of a heartbeat.
///
/// Without the first, 9 % of the tasks were bounced in a simulation of 120 % of capacity,
/// since all instances with a queue ask for the same slot.
pub const REPORT_STALE_MS: u64 = 1_000;

/// The time after a report within which the last free slot of a target may be asked for.
///
/// At 80 % of capacity an instance gets a task of its own about every 12 ms.
const FRESH_MS: u64 = 5;

/// The time after an offer in which reports may not know of it yet.
///
/// Without it, a peer that sends many messages at once was offered its free slots again
/// with each of them: 944 tasks in one wave of cancellations.
const UNSEEN_MS: u64 = 20;

/// The time that an offer takes longer than a start on an own target.
const HOP_US: u64 = 1_000;

/// The divisor of the gain that an offer needs: estimates that differ by less than an
/// eighth count as equal, as they do among own targets.
const GAIN_DIVISOR: u64 = 8;

/// The free slots of an instance, which it sends along with its messages.
#[derive(Debug, Clone, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct SlotReport {
    /// When it was made, by the clock of the sender.
    pub made_at: Timestamp,
    /// The configuration whose order `groups` and `run_ms` follow.
    pub config_version: ConfigVersion,
    /// The fastest targets with free slots of each target group, at most
    /// [`MAX_REPORTED_TARGETS`].
    pub groups: Vec<Vec<FreeTarget>>,
}

/// A target with free slots.
#[derive(Debug, Clone, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct FreeTarget {
    /// The number of free slots.
    pub free: u32,
    /// The expected run time of each request kind of the group; empty if it is not known.
    pub run_ms: Vec<u32>,
}

/// What a task needs of a peer.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub struct SlotQuery {
    /// The position of the target group in the configuration.
    pub group: usize,
    /// The position of the request kind among those of the group.
    pub kind: usize,
    /// The expected run time on the best free target of this instance, if it has one.
    pub own_us: Option<u64>,
}

/// A slot that a task can be offered to.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct PeerSlot {
    /// The peer.
    pub peer: InstanceName,
    /// The position of the target group.
    group: usize,
    /// The position of the target in the report.
    target: usize,
}

/// The free slots of all peers.
#[derive(Debug, Default)]
pub struct PeerSlots {
    views: BTreeMap<InstanceName, View>,
}

/// The free slots of one peer.
#[derive(Debug, Default)]
struct View {
    /// The latest report, less the slots that tasks were offered to since.
    report: SlotReport,
    /// When the report was heard.
    heard_at: Timestamp,
    /// When the peer bounced a task last.
    bounced_at: Option<Timestamp>,
    /// The offers that reports may not know of yet, with their groups.
    unseen: VecDeque<(Timestamp, usize)>,
}

impl PeerSlots {
    /// Takes in a report unless a later one has overtaken it.
    pub fn note_report(
        &mut self,
        peer: &InstanceName,
        report: SlotReport,
        now: Timestamp,
    ) {
        let view = self.views.entry(peer.clone()).or_default();
        // A report that follows a long silence counts in any case, because the clock of
        // the peer may have been set back.
        if report.made_at > view.report.made_at || view.is_stale(now) {
            view.report = report;
            view.heard_at = now;
            view.subtract_unseen(now);
        }
    }

    /// Takes in the numbers of free slots of a heartbeat, if they are the latest news.
    pub fn note_heartbeat(
        &mut self,
        peer: &InstanceName,
        config_version: ConfigVersion,
        free_slots: &[u32],
        now: Timestamp,
    ) {
        let view = self.views.entry(peer.clone()).or_default();
        if !view.is_stale(now) {
            return;
        }
        // Half, because other instances read the same number.
        let half = |&free: &u32| FreeTarget { free: free.div_ceil(2), run_ms: vec![] };
        let groups = free_slots.iter().map(|free| vec![half(free)]).collect();
        view.report = SlotReport { made_at: view.report.made_at, config_version, groups };
        view.heard_at = now;
    }

    /// Notes that a peer bounced a task.
    pub fn note_rejection(&mut self, peer: &InstanceName, now: Timestamp) {
        if let Some(view) = self.views.get_mut(peer) {
            view.bounced_at = Some(now);
        }
    }

    /// Forgets a peer that takes no new work.
    pub fn forget(&mut self, peer: &InstanceName) {
        self.views.remove(peer);
    }

    /// Returns half of the free slots of a group, because other instances count them too.
    pub fn free_share(&self, group: usize) -> u32 {
        let groups = self.views.values().filter_map(|view| view.report.groups.get(group));
        let free = groups.map(|group| group.iter().map(|target| target.free).sum());
        free.map(|free: u32| free.div_ceil(2)).sum()
    }

    /// Chooses the slot with the earliest expected finish, if it is earlier than on the
    /// own target by more than the hop.
    ///
    /// Near-equal slots are chosen at random, so that several owners do not all pick the
    /// same one. While an own slot is free, and after a bounce, the last free slot of a
    /// target is left to its user, which usually fills it before an offer arrives. If an
    /// own slot is free, this does not hold just after a report.
    pub fn choose(
        &self,
        wanted: SlotQuery,
        config_version: ConfigVersion,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Option<PeerSlot> {
        let limit_us = wanted.own_us.map(|us| us.saturating_sub(us / GAIN_DIVISOR));
        let candidates: Vec<Candidate<'_>> = self
            .candidates(wanted, config_version, now)
            .filter(|it| limit_us.is_none_or(|limit| it.run_us + HOP_US < limit))
            .collect();
        let fastest_us = candidates.iter().map(|it| it.run_us).min()?;
        let near_us = fastest_us.saturating_add(fastest_us / GAIN_DIVISOR);
        let near = || candidates.iter().filter(|it| it.run_us <= near_us);
        let slots: u32 = near().map(|it| it.free).sum();
        let mut left = rng.random_range(0..slots);
        let drawn = near().find(|it| {
            let found = left < it.free;
            left = left.saturating_sub(it.free);
            found
        })?;
        let (peer, target) = (drawn.peer.clone(), drawn.target);
        Some(PeerSlot { peer, group: wanted.group, target })
    }

    /// Counts a slot as used until a report that knows of the offer.
    pub fn reserve(&mut self, slot: &PeerSlot, now: Timestamp) {
        let Some(view) = self.views.get_mut(&slot.peer) else { return };
        view.forget_seen(now);
        view.unseen.push_back((now, slot.group));
        let group = view.report.groups.get_mut(slot.group);
        if let Some(target) = group.and_then(|group| group.get_mut(slot.target)) {
            target.free = target.free.saturating_sub(1);
        }
    }

    /// Returns the targets with slots that may be asked for.
    fn candidates(
        &self,
        wanted: SlotQuery,
        config_version: ConfigVersion,
        now: Timestamp,
    ) -> impl Iterator<Item = Candidate<'_>> {
        let current = move |view: &View| view.report.config_version == config_version;
        let views = self.views.iter().filter(move |(_, view)| current(view));
        views.flat_map(move |(peer, view)| {
            let left = wanted.own_us.is_some() && !view.is_fresh(now);
            let withheld = u32::from(left || view.has_bounced(now));
            let group = view.report.groups.get(wanted.group);
            let targets = group.into_iter().flatten().enumerate();
            targets.filter_map(move |(target, row)| {
                let free = row.free.saturating_sub(withheld);
                let run_ms = row.run_ms.get(wanted.kind).copied().unwrap_or(u32::MAX);
                let run_us = u64::from(run_ms) * US_PER_MS;
                (free > 0).then_some(Candidate { peer, target, free, run_us })
            })
        })
    }
}

impl View {
    /// Takes the slots of recent offers out of a report, fastest targets first, because
    /// these were asked for.
    fn subtract_unseen(&mut self, now: Timestamp) {
        self.forget_seen(now);
        for &(_, group) in &self.unseen {
            let targets = self.report.groups.get_mut(group).into_iter().flatten();
            if let Some(target) = { targets }.find(|target| target.free > 0) {
                target.free -= 1;
            }
        }
    }

    /// Forgets the offers that every further report knows of.
    fn forget_seen(&mut self, now: Timestamp) {
        let is_seen = |&(at, _): &(Timestamp, usize)| now.ms_since(at) >= UNSEEN_MS;
        while self.unseen.front().is_some_and(is_seen) {
            self.unseen.pop_front();
        }
    }

    /// Reports whether the last free slots are probably still free.
    fn is_fresh(&self, now: Timestamp) -> bool {
        now.ms_since(self.heard_at) < FRESH_MS
    }

    /// Reports whether nothing was heard for long.
    fn is_stale(&self, now: Timestamp) -> bool {
        now.ms_since(self.heard_at) >= REPORT_STALE_MS
    }

    /// Reports whether the peer bounced a task a short time ago.
    fn has_bounced(&self, now: Timestamp) -> bool {
        self.bounced_at.is_some_and(|at| now.ms_since(at) < REPORT_STALE_MS)
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
