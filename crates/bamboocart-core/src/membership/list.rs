//! Merging the platform's list with what this instance sees itself.

use std::collections::BTreeSet;

use super::assign;
use super::peers::{PeerChange, PeerInfo, PeerState, Peers};
use super::stop::{Member, StopSchedule};
use super::targets::{TargetInfo, Targets};
use crate::id::{DomainName, InstanceName, TargetName};
use crate::time::Timestamp;

/// The age of the list after which targets are probed directly.
pub const LIST_STALE_MS: u64 = 3_000;

/// The platform's list, each member with whether it is leaving.
#[derive(Debug, Clone, Default)]
pub struct MemberList {
    /// The number that grows with each change.
    pub version: u64,
    /// The time that the list describes, by the platform's clock.
    pub as_of_ms: u64,
    /// The instances of the system.
    pub instances: Vec<(PeerInfo, bool)>,
    /// The targets.
    pub targets: Vec<(TargetInfo, bool)>,
}

/// What became of a list.
#[derive(Debug, Clone, Eq, PartialEq)]
pub enum ListVerdict {
    /// It is in force.
    Applied(Vec<PeerChange>),
    /// It describes an earlier state than the one in force.
    Older,
    /// It lacks more than half of the instances or of the targets, and most of those
    /// are not known to be silent.
    Implausible,
}

/// The instances and targets, with the list in force.
#[derive(Debug)]
pub struct Membership {
    /// The other instances.
    pub peers: Peers,
    /// The targets.
    pub targets: Targets,
    version: u64,
    as_of_ms: u64,
    /// When the list last described a later time than before.
    fresh_at: Option<Timestamp>,
    /// The targets that the last, doubtful list does not name.
    missing: BTreeSet<TargetName>,
}

impl Membership {
    /// Creates the membership of an instance that knows nobody.
    pub fn new(me: PeerInfo, now: Timestamp) -> Self {
        Self {
            peers: Peers::new(me, now),
            targets: Targets::default(),
            version: 0,
            as_of_ms: 0,
            fresh_at: None,
            missing: BTreeSet::new(),
        }
    }

    /// Returns the version of the list in force, 0 for none.
    pub fn list_version(&self) -> u64 {
        self.version
    }

    /// Notes that the list in force is still the platform's, as of a later time.
    ///
    /// Returns whether `version` is in force; if not, the whole list is needed.
    pub fn confirm_list(&mut self, version: u64, as_of_ms: u64, now: Timestamp) -> bool {
        if version != self.version {
            return false;
        }
        if as_of_ms > self.as_of_ms {
            self.as_of_ms = as_of_ms;
            self.fresh_at = Some(now);
        }
        true
    }

    /// Reports whether targets have to be probed.
    pub fn is_stale(&self, now: Timestamp) -> bool {
        self.fresh_at.is_none_or(|at| now.ms_since(at) > LIST_STALE_MS)
    }

    /// Returns the instance that uses a target in this instance's view.
    ///
    /// `leaving` says whether this instance is draining, so that its targets move to the
    /// others. Two instances may use the same target while their views differ.
    pub fn assigned_instance(
        &self,
        target: &TargetInfo,
        leaving: bool,
    ) -> Option<&PeerInfo> {
        assigned_instance(&self.peers, target, leaving)
    }

    /// Reports whether this instance uses a target.
    pub fn uses(&self, target: &TargetInfo, leaving: bool) -> bool {
        uses(&self.peers, target, leaving)
    }

    /// Returns the targets to probe now and notes that they are probed.
    ///
    /// While the list is stale, they are the targets that `used` selects as used by this
    /// instance and those that a doubtful list lacks. Orphans of this instance are always
    /// probed.
    pub fn due_probes(
        &mut self,
        now: Timestamp,
        used: impl Fn(&TargetInfo) -> bool,
    ) -> Vec<TargetInfo> {
        let (stale, missing) = (self.is_stale(now), &self.missing);
        let (peers, homes) = (&self.peers, self.homes());
        let mine = |info: &TargetInfo| uses(peers, info, false);
        self.targets.due_probes(now, |info| {
            let in_doubt = stale && (used(info) || missing.contains(&info.name));
            in_doubt || (!homes.contains(&info.domain) && mine(info))
        })
    }

    /// Returns the orphans that answer probes.
    ///
    /// An orphan is a target of a failure domain without a serving instance. The whole
    /// failure domain may be cut off, and then a send to the target would be lost. An
    /// instance therefore uses only orphans that answer it.
    pub fn responsive_orphans(&self, now: Timestamp) -> BTreeSet<TargetName> {
        let homes = self.homes();
        let orphans =
            self.targets.serving().filter(|it| !homes.contains(&it.info.domain));
        let names = orphans.map(|target| &target.info.name);
        names.filter(|name| self.targets.is_responsive(name, now)).cloned().collect()
    }

    /// Reports whether a target's failure domain has a serving instance.
    pub fn has_local_instance(&self, target: &TargetInfo) -> bool {
        let domain = &target.domain;
        let mut serving = self.peers.serving();
        *domain == self.peers.me().domain || serving.any(|it| it.info.domain == *domain)
    }

    /// Returns the failure domains with a serving instance.
    fn homes(&self) -> BTreeSet<DomainName> {
        let serving = self.peers.serving().map(|peer| &peer.info.domain);
        serving.chain([&self.peers.me().domain]).cloned().collect()
    }

    /// Marks the members that a stop plan has reached and returns the new ones.
    pub fn apply_stops(
        &mut self,
        schedule: &StopSchedule,
        now: Timestamp,
    ) -> (Vec<TargetName>, Vec<PeerChange>) {
        let mut changes = vec![];
        for turn in schedule.begun(now) {
            let Member::Instance(name) = &turn.member else {
                continue;
            };
            let incarnation = self.peers.get(name).map(|peer| peer.info.incarnation);
            if let Some(incarnation) = incarnation.filter(|&it| turn.applies(it, now)) {
                changes.extend(self.peers.mark_leaving(name, incarnation));
            }
        }
        (self.targets.apply_stops(schedule, now), changes)
    }

    /// Merges a list.
    pub fn merge_list(&mut self, list: MemberList, now: Timestamp) -> ListVerdict {
        let time = (list.version, list.as_of_ms);
        if list.version < self.version || time < (self.version, self.as_of_ms) {
            return ListVerdict::Older;
        }
        let instances: BTreeSet<InstanceName> =
            list.instances.iter().map(|(info, _)| info.name.clone()).collect();
        let targets: BTreeSet<TargetName> =
            list.targets.iter().map(|(info, _)| info.name.clone()).collect();
        if self.doubts_instances(&instances) || self.doubts_targets(&targets, now) {
            let known = self.targets.iter().map(|target| &target.info.name);
            self.missing = known.filter(|&it| !targets.contains(it)).cloned().collect();
            return ListVerdict::Implausible;
        }
        if list.as_of_ms > self.as_of_ms || self.fresh_at.is_none() {
            self.fresh_at = Some(now);
        }
        (self.version, self.as_of_ms) = time;
        let mut changes = vec![];
        for (info, leaving) in list.targets {
            self.targets.list(info, leaving);
        }
        self.targets.retire(now, |name| targets.contains(name));
        self.missing.clear();
        self.apply_instances(list.instances, &instances, now, &mut changes);
        ListVerdict::Applied(changes)
    }

    /// Applies the instances of a list.
    fn apply_instances(
        &mut self,
        listed: Vec<(PeerInfo, bool)>,
        names: &BTreeSet<InstanceName>,
        now: Timestamp,
        changes: &mut Vec<PeerChange>,
    ) {
        for (info, leaving) in listed {
            let (name, incarnation) = (info.name.clone(), info.incarnation);
            self.peers.learn(info, now, changes);
            let current = self.peers.get(&name).map(|peer| peer.info.incarnation);
            let leaving = leaving && current == Some(incarnation);
            self.peers.set_listed(&name, true, leaving, changes);
        }
        let gone: Vec<InstanceName> = self
            .peers
            .iter()
            .filter(|peer| peer.listed && !names.contains(&peer.info.name))
            .map(|peer| peer.info.name.clone())
            .collect();
        for name in gone {
            self.peers.set_listed(&name, false, false, changes);
        }
    }

    /// Reports whether a list lacks too many instances that are not silent.
    fn doubts_instances(&self, names: &BTreeSet<InstanceName>) -> bool {
        let known = self.peers.iter().filter(|peer| peer.listed);
        doubts(known.map(|peer| {
            let silent = peer.state == PeerState::Dead;
            (names.contains(&peer.info.name), silent)
        }))
    }

    /// Reports whether a list lacks too many targets that are not silent.
    fn doubts_targets(&self, names: &BTreeSet<TargetName>, now: Timestamp) -> bool {
        doubts(
            self.targets
                .iter()
                .map(|target| (names.contains(&target.info.name), target.is_silent(now))),
        )
    }
}

/// Reports whether more than half of the members are not named, and half or more of
/// those are not known to be silent. The members are given as (named, silent).
///
/// While such a list is ignored, the one in force grows stale, so that targets are
/// probed and the question is settled.
fn doubts(members: impl Iterator<Item = (bool, bool)>) -> bool {
    let (mut known, mut removed, mut silent) = (0, 0, 0);
    for (is_named, is_silent) in members {
        known += 1;
        removed += usize::from(!is_named);
        silent += usize::from(!is_named && is_silent);
    }
    removed * 2 > known && silent * 2 <= removed
}

/// Returns the instance that uses a target in the view of an instance.
fn assigned_instance<'a>(
    peers: &'a Peers,
    target: &TargetInfo,
    leaving: bool,
) -> Option<&'a PeerInfo> {
    let others = peers.serving().map(|peer| &peer.info);
    let own = (!leaving).then_some(peers.me());
    assign::assigned_instance(&target.name, &target.domain, others.chain(own))
}

/// Reports whether an instance uses a target.
fn uses(peers: &Peers, target: &TargetInfo, leaving: bool) -> bool {
    assigned_instance(peers, target, leaving) == Some(peers.me())
}
