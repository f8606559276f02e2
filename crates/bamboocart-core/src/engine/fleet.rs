//! The targets that this instance uses, with their slots and leases.

use std::collections::BTreeMap;

use crate::config::Role;
use crate::engine::{Effect, Engine, LeaseGrant, LeaseOrder, ProbeAnswer, ProbeOrder};
use crate::id::{GroupName, TargetName};
use crate::membership::{ListVerdict, MemberList, TargetInfo};
use crate::target::TargetKey;
use crate::time::Timestamp;

/// The time before the expiry of a lease at which it is renewed.
///
/// It leaves time for one renewal that gets no answer, which takes 2 s, and for a second
/// one.
const LEASE_RENEW_AHEAD_MS: u64 = 5_000;

/// The time before the expiry of a lease from which nothing is started under it, so that
/// a start does not arrive after the expiry.
const LEASE_MARGIN_MS: u64 = 500;

/// The delay after which a refused lease is requested again.
const LEASE_RETRY_MS: u64 = 500;

/// A target that this instance uses, or has used until its last send ends.
#[derive(Debug)]
pub struct Target {
    /// What the platform's list says about it.
    pub info: TargetInfo,
    pub group: GroupName,
    /// The slots that may be used now.
    pub slots: u32,
    /// Whether nothing more is sent to it.
    pub retired: bool,
    /// The lease, if the target is a worker and has granted one.
    lease: Option<HeldLease>,
    /// When the unanswered lease request was sent, if there is one.
    lease_requested_at: Option<Timestamp>,
    /// The earliest time for the next lease request.
    lease_retry_at: Timestamp,
}

/// A lease with its expiry.
#[derive(Debug, Copy, Clone)]
struct HeldLease {
    grant: LeaseGrant,
    /// When the lease expires.
    until: Timestamp,
}

impl Target {
    /// Creates the state of a target that this instance begins to use.
    fn new(info: TargetInfo, group: GroupName) -> Self {
        Self {
            info,
            group,
            slots: 0,
            retired: false,
            lease: None,
            lease_requested_at: None,
            lease_retry_at: Timestamp::default(),
        }
    }

    /// Returns the lease to send along with a task.
    pub fn lease_grant(&self) -> Option<LeaseGrant> {
        self.lease.map(|held| held.grant)
    }

    /// Returns the number of slots that may be used at the time `now`.
    fn slots_at(&self, now: Timestamp) -> u32 {
        match (self.info.role, self.lease) {
            _ if self.retired => 0,
            (Role::Worker, Some(held)) if now.plus_ms(LEASE_MARGIN_MS) < held.until => {
                held.grant.slots
            }
            (Role::Worker, _) => 0,
            _ => self.info.slots,
        }
    }
}

impl Engine {
    /// Handles the platform's instance list.
    pub(super) fn list_read(
        &mut self,
        now: Timestamp,
        list: MemberList,
        effects: &mut Vec<Effect>,
    ) {
        let before = self.membership.list_version();
        match self.membership.merge_list(list, now) {
            ListVerdict::Applied(changes) => {
                self.fleet_changed |= self.membership.list_version() != before;
                self.peers_changed(now, &changes, effects);
            }
            ListVerdict::Older => {}
            ListVerdict::Implausible => effects.push(Effect::Warn(
                "the instance list lacks more than half of the known members and is \
                 ignored; check the platform"
                    .into(),
            )),
        }
        self.sync_targets(now);
        self.renew_leases(now, effects);
        self.dispatch_all(now, effects);
    }

    /// Handles the answer of a target to a probe.
    pub(super) fn probe_answered(
        &mut self,
        now: Timestamp,
        answer: &ProbeAnswer,
        effects: &mut Vec<Effect>,
    ) {
        let ProbeAnswer { target, incarnation, leaving } = answer;
        let changed = self.membership.targets.note_probe_answer(
            target,
            *incarnation,
            *leaving,
            now,
        );
        if changed {
            self.fleet_changed = true;
            self.sync_targets(now);
            self.dispatch_all(now, effects);
        }
    }

    /// Probes orphans and, while the list is stale, other targets.
    pub(super) fn probe_targets(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        let orphans = self.membership.responsive_orphans(now);
        self.fleet_changed |= orphans != self.orphans;
        self.orphans = orphans;
        let used = |info: &TargetInfo| self.target_names.contains_key(&info.name);
        for info in self.membership.due_probes(now, used) {
            let TargetInfo { name, incarnation, address, .. } = info;
            effects.push(Effect::Probe(ProbeOrder {
                target: name,
                incarnation,
                address,
            }));
        }
    }

    /// Updates the set of targets in use to the list, the peers and the configuration.
    pub(super) fn sync_targets(&mut self, now: Timestamp) {
        if std::mem::take(&mut self.fleet_changed) {
            let wanted = self.wanted_targets();
            self.retire_unwanted(&wanted);
            for (info, group) in wanted.into_values() {
                self.use_target(info, group);
            }
        }
        let keys: Vec<TargetKey> = self.targets.keys().collect();
        for key in keys {
            self.refresh_slots(now, key);
        }
    }

    /// Returns the targets that this instance should use, with their groups.
    ///
    /// A stopping instance adds no targets and keeps those that it has.
    fn wanted_targets(&self) -> BTreeMap<TargetName, (TargetInfo, GroupName)> {
        let leaving = self.is_leaving();
        let mut wanted = BTreeMap::new();
        for target in self.membership.targets.iter().filter(|it| it.is_serving()) {
            let info = &target.info;
            let mut groups = self.config.target_group.iter();
            let group = groups.find(|(_, group)| {
                group.role == info.role
                    && group.service == info.service
                    && group.failure_domains.contains(&info.domain)
            });
            let Some((group, _)) = group else { continue };
            let mine = match leaving {
                true => self.target_names.contains_key(&info.name),
                false => {
                    let reached = self.orphans.contains(&info.name);
                    (reached || self.membership.has_local_instance(info))
                        && self.membership.uses(info, false)
                }
            };
            if mine {
                wanted.insert(info.name.clone(), (info.clone(), group.clone()));
            }
        }
        wanted
    }

    /// Retires the targets that are no longer wanted, or not in their present run or
    /// group.
    fn retire_unwanted(
        &mut self,
        wanted: &BTreeMap<TargetName, (TargetInfo, GroupName)>,
    ) {
        let unwanted: Vec<TargetKey> = self
            .targets
            .iter()
            .filter(|(_, target)| {
                wanted.get(&target.info.name).is_none_or(|(info, group)| {
                    info.incarnation != target.info.incarnation || *group != target.group
                })
            })
            .map(|(key, _)| key)
            .collect();
        for key in unwanted {
            self.retire(key);
        }
    }

    /// Starts using a target, or updates one that is in use.
    fn use_target(&mut self, info: TargetInfo, group: GroupName) {
        if let Some(&key) = self.target_names.get(&info.name) {
            if let Some(target) = self.targets.get_mut(key) {
                target.info = info;
            }
            return;
        }
        let name = info.name.clone();
        let key = self.targets.insert(Target::new(info, group.clone()));
        self.target_names.insert(name, key);
        if let Some(group) = self.groups.get_mut(&group) {
            group.placement.set_slots(key, 0);
            group.health.add(key);
        }
    }

    /// Retires a target, so that nothing more is sent to it.
    pub(super) fn retire(&mut self, key: TargetKey) {
        let Some(target) = self.targets.get_mut(key) else { return };
        target.retired = true;
        if self.target_names.get(&target.info.name) == Some(&key) {
            self.target_names.remove(&target.info.name);
        }
    }

    /// Updates the slots of a target, and removes it once it is retired and idle.
    fn refresh_slots(&mut self, now: Timestamp, key: TargetKey) {
        let Some(target) = self.targets.get_mut(key) else { return };
        let slots = target.slots_at(now);
        let (changed, retired) = (slots != target.slots, target.retired);
        target.slots = slots;
        let group_name = target.group.clone();
        let Some(group) = self.groups.get_mut(&group_name) else {
            self.targets.remove(key);
            return;
        };
        if changed {
            group.placement.set_slots(key, slots);
        }
        if !retired || group.placement.in_use(key) > 0 {
            return;
        }
        group.placement.remove(key);
        let reopened = group.health.remove(key);
        group.probation.retain(|&other| other != key);
        self.estimator.forget_target(key);
        for other in reopened {
            self.apply_health_status(&group_name, other);
        }
        match self.targets.get(key).and_then(|target| target.lease) {
            Some(held) => self.lease_returns.push((key, held.grant)),
            None => {
                self.targets.remove(key);
            }
        }
    }

    /// Ends the target backoffs whose time has passed.
    pub(super) fn end_backoffs(&mut self, now: Timestamp) {
        let names: Vec<GroupName> = self.groups.keys().cloned().collect();
        for name in names {
            while let Some(key) =
                self.groups.get_mut(&name).and_then(|group| group.health.pop_due(now))
            {
                self.apply_health_status(&name, key);
            }
        }
    }

    /// Handles the answer of a worker to a lease request.
    pub(super) fn lease_answered(
        &mut self,
        now: Timestamp,
        key: TargetKey,
        grant: Option<LeaseGrant>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(target) = self.targets.get_mut(key) else { return };
        let requested_at = target.lease_requested_at.take().unwrap_or(now);
        match grant {
            Some(grant) => {
                let until = requested_at.plus_ms(grant.expires_in_ms);
                target.lease = Some(HeldLease { grant, until });
            }
            None => target.lease_retry_at = now.plus_ms(LEASE_RETRY_MS),
        }
        let group = target.group.clone();
        self.refresh_slots(now, key);
        self.dispatch(now, &group, effects);
    }

    /// Drops a lease that the worker no longer accepts.
    pub(super) fn drop_lease(&mut self, key: TargetKey) {
        let Some(target) = self.targets.get_mut(key) else { return };
        target.lease = None;
        target.slots = 0;
        let group = target.group.clone();
        if let Some(group) = self.groups.get_mut(&group) {
            group.placement.set_slots(key, 0);
        }
    }

    /// Requests leases that are missing or about to expire, and returns unused ones.
    pub(super) fn renew_leases(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        for (key, grant) in std::mem::take(&mut self.lease_returns) {
            let Some(target) = self.targets.remove(key) else { continue };
            let (address, held) = (target.info.address, Some(grant));
            effects.push(Effect::Lease(LeaseOrder {
                target: key,
                address,
                slots: 0,
                held,
            }));
        }
        for (key, target) in &mut self.targets {
            let held = target.lease.filter(|held| now < held.until);
            let due = match held {
                _ if target.info.role != Role::Worker || target.retired => false,
                _ if target.lease_requested_at.is_some()
                    || now < target.lease_retry_at =>
                {
                    false
                }
                Some(held) => now.plus_ms(LEASE_RENEW_AHEAD_MS) >= held.until,
                None => true,
            };
            if !due {
                continue;
            }
            target.lease_requested_at = Some(now);
            effects.push(Effect::Lease(LeaseOrder {
                target: key,
                address: target.info.address.clone(),
                slots: target.info.slots,
                held: held.map(|held| held.grant),
            }));
        }
    }

    /// Returns the number of leases that have not expired.
    pub(super) fn leases_held(&self, now: Timestamp) -> usize {
        let leases = self.targets.values().filter_map(|target| target.lease);
        leases.filter(|held| now < held.until).count()
    }

    /// Returns the usable slots of the group's targets that this instance uses.
    pub(super) fn own_slots(&self, group: &GroupName) -> u32 {
        let members = self.targets.values().filter(|target| target.group == *group);
        members.map(|target| target.slots).sum()
    }
}
