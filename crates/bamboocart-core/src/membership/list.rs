//! Merging the platform's list with this instance's own observations.

use std::collections::BTreeSet;

use super::assign;
use super::peers::{PeerChange, PeerInfo, PeerState, Peers};
use super::stop::{Member, StopSchedule};
use super::targets::{TargetInfo, Targets};
use crate::id::{DomainName, InstanceName, TargetName};
use crate::time::Timestamp;

/// The age of the list beyond which it is stale and targets are probed directly.
pub const LIST_STALE_MS: u64 = 3_000;

/// The platform's list of members, each with a flag for whether it is leaving.
#[derive(Debug, Clone, Default)]
pub struct MemberList {
    /// The version, which increases with each change.
    pub version: u64,
    /// The time of the state that the list describes, by the platform's clock.
    pub as_of_ms: u64,
    /// The instances of the system.
    pub instances: Vec<(PeerInfo, bool)>,
    /// The minions and workers of all failure domains.
    pub targets: Vec<(TargetInfo, bool)>,
}

/// The result of merging a list.
#[derive(Debug, Clone, Eq, PartialEq)]
pub enum ListVerdict {
    /// The list is in force, with these changes of peers.
    Applied(Vec<PeerChange>),
    /// The list describes an earlier state than the one in force and is ignored.
    Older,
    /// The list is ignored because it lacks more than half of the instances or of the
    /// targets, and at least half of those are not known to be silent.
    Implausible,
}

/// The known instances and targets, with the version of the list in force.
#[derive(Debug)]
pub struct Membership {
    /// The other instances, as their heartbeats show them.
    pub peers: Peers,
    /// The targets, with their probes and answers.
    pub targets: Targets,
    version: u64,
    as_of_ms: u64,
    /// When the time that the list describes last advanced.
    fresh_at: Option<Timestamp>,
    /// The known targets that are absent from the last list, if it was implausible.
    missing: BTreeSet<TargetName>,
}

impl Membership {
    /// Creates the membership of an instance that knows no other member.
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

    /// Returns the version of the list in force, or 0 if there is none.
    pub fn list_version(&self) -> u64 {
        self.version
    }

    /// Notes that the platform's list has not changed up to `as_of_ms`.
    ///
    /// Returns whether `version` is in force; if not, the whole list must be read.
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

    /// Reports whether the list is too old to rely on, so that targets must be probed.
    pub fn is_stale(&self, now: Timestamp) -> bool {
        self.fresh_at.is_none_or(|at| now.ms_since(at) > LIST_STALE_MS)
    }

    /// Returns the instance that a target is assigned to, in the view of this instance.
    ///
    /// `leaving` states whether this instance is draining, which reassigns its targets to
    /// the others. Two instances may use the same target while their views differ.
    pub fn assigned_instance(
        &self,
        target: &TargetInfo,
        leaving: bool,
    ) -> Option<&PeerInfo> {
        assigned_instance(&self.peers, target, leaving)
    }

    /// Reports whether a target is assigned to this instance, which then uses it.
    pub fn uses(&self, target: &TargetInfo, leaving: bool) -> bool {
        uses(&self.peers, target, leaving)
    }

    /// Returns the targets to probe now and records the probes as sent.
    ///
    /// While the list is stale, these are the targets for which `used` holds and those
    /// that are absent from an implausible list. Orphans that are assigned to this
    /// instance are always probed.
    pub fn due_probes(
        &mut self,
        now: Timestamp,
        used: impl Fn(&TargetInfo) -> bool,
    ) -> Vec<TargetInfo> {
        let (stale, missing) = (self.is_stale(now), &self.missing);
        let (peers, served) = (&self.peers, self.served_domains());
        let assigned = |info: &TargetInfo| uses(peers, info, false);
        self.targets.due_probes(now, |info| {
            let in_doubt = stale && (used(info) || missing.contains(&info.name));
            in_doubt || (!served.contains(&info.domain) && assigned(info))
        })
    }

    /// Returns the orphans that answer the probes of this instance.
    ///
    /// An orphan is a target in a failure domain without a serving instance. The whole
    /// failure domain may be partitioned off, and a send to the target would then be
    /// lost, so an instance uses only orphans that answer its probes.
    pub fn responsive_orphans(&self, now: Timestamp) -> BTreeSet<TargetName> {
        let served = self.served_domains();
        let orphans =
            self.targets.serving().filter(|it| !served.contains(&it.info.domain));
        let names = orphans.map(|target| &target.info.name);
        names.filter(|name| self.targets.is_responsive(name, now)).cloned().collect()
    }

    /// Reports whether a target's failure domain has a serving instance, this one
    /// included.
    pub fn has_local_instance(&self, target: &TargetInfo) -> bool {
        let domain = &target.domain;
        let mut serving = self.peers.serving();
        *domain == self.peers.me().domain || serving.any(|it| it.info.domain == *domain)
    }

    /// Returns the failure domains with a serving instance, the own one included.
    fn served_domains(&self) -> BTreeSet<DomainName> {
        let serving = self.peers.serving().map(|peer| &peer.info.domain);
        serving.chain([&self.peers.me().domain]).cloned().collect()
    }

    /// Marks the members whose scheduled stop has begun as leaving.
    ///
    /// Returns the targets that are newly leaving, and the changes of instances.
    pub fn apply_stops(
        &mut self,
        schedule: &StopSchedule,
        now: Timestamp,
    ) -> (Vec<TargetName>, Vec<PeerChange>) {
        let mut changes = vec![];
        for stop in schedule.begun(now) {
            let Member::Instance(name) = &stop.member else {
                continue;
            };
            let incarnation = self.peers.get(name).map(|peer| peer.info.incarnation);
            if let Some(incarnation) = incarnation.filter(|&it| stop.applies(it, now)) {
                changes.extend(self.peers.mark_leaving(name, incarnation));
            }
        }
        (self.targets.apply_stops(schedule, now), changes)
    }

    /// Merges a list and puts it in force unless it is outdated or implausible.
    pub fn merge_list(&mut self, list: MemberList, now: Timestamp) -> ListVerdict {
        let time = (list.version, list.as_of_ms);
        if list.version < self.version || time < (self.version, self.as_of_ms) {
            return ListVerdict::Older;
        }
        let instances: BTreeSet<InstanceName> =
            list.instances.iter().map(|(info, _)| info.name.clone()).collect();
        let targets: BTreeSet<TargetName> =
            list.targets.iter().map(|(info, _)| info.name.clone()).collect();
        if self.lacks_live_instances(&instances) || self.lacks_live_targets(&targets, now)
        {
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
            self.targets.apply_listed(info, leaving);
        }
        self.targets.retire(now, |name| targets.contains(name));
        self.missing.clear();
        self.apply_instances(list.instances, &instances, now, &mut changes);
        ListVerdict::Applied(changes)
    }

    /// Applies the instances of a list that is put in force.
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
        let absent: Vec<InstanceName> = self
            .peers
            .iter()
            .filter(|peer| peer.listed && !names.contains(&peer.info.name))
            .map(|peer| peer.info.name.clone())
            .collect();
        for name in absent {
            self.peers.set_listed(&name, false, false, changes);
        }
    }

    /// Reports whether a list lacks too many instances that still answer.
    fn lacks_live_instances(&self, names: &BTreeSet<InstanceName>) -> bool {
        let known = self.peers.iter().filter(|peer| peer.listed);
        is_implausible(known.map(|peer| {
            let silent = peer.state == PeerState::Dead;
            (names.contains(&peer.info.name), silent)
        }))
    }

    /// Reports whether a list lacks too many targets that are not known to be silent.
    fn lacks_live_targets(&self, names: &BTreeSet<TargetName>, now: Timestamp) -> bool {
        is_implausible(
            self.targets
                .iter()
                .map(|target| (names.contains(&target.info.name), target.is_silent(now))),
        )
    }
}

/// Reports whether a list is implausible: more than half of the members are absent, and
/// at least half of the absent ones are not known to be silent.
///
/// Each member is given as (named in the list, silent). While such a list is ignored, the
/// one in force becomes stale, so targets are probed and the probes decide which of them
/// are gone.
fn is_implausible(members: impl Iterator<Item = (bool, bool)>) -> bool {
    let (mut known, mut absent, mut silent) = (0, 0, 0);
    for (is_named, is_silent) in members {
        known += 1;
        absent += usize::from(!is_named);
        silent += usize::from(!is_named && is_silent);
    }
    absent * 2 > known && silent * 2 <= absent
}

/// Returns the instance that a target is assigned to, in the view of these peers.
fn assigned_instance<'a>(
    peers: &'a Peers,
    target: &TargetInfo,
    leaving: bool,
) -> Option<&'a PeerInfo> {
    let others = peers.serving().map(|peer| &peer.info);
    let own = (!leaving).then_some(peers.me());
    assign::assigned_instance(&target.name, &target.domain, others.chain(own))
}

/// Reports whether a target is assigned to this instance.
fn uses(peers: &Peers, target: &TargetInfo, leaving: bool) -> bool {
    assigned_instance(peers, target, leaving) == Some(peers.me())
}
