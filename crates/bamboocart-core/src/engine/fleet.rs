//! The targets that an instance knows.

use std::collections::HashSet;

use crate::config::Role;
use crate::engine::{Effect, Engine, LeaseGrant, LeaseOrder, ListedTarget};
use crate::id::{GroupName, TargetName};
use crate::target::{SendReport, TargetKey, TurnAway};
use crate::time::Timestamp;

/// The time for which a target gets nothing after it turned a send away.
const TURN_AWAY_BACKOFF_MS: u64 = 50;

/// The time before the end of a lease at which it is renewed.
const LEASE_RENEW_AHEAD_MS: u64 = 3_000;

/// A target that this instance knows.
#[derive(Debug)]
pub(super) struct Target {
    /// What the list says.
    pub listed: ListedTarget,
    /// The number of sends that have not ended.
    pub in_use: u32,
    /// The time before which nothing is sent.
    pub not_before: Timestamp,
    /// The lease, on a worker.
    pub lease: Option<HeldLease>,
    /// Whether a lease request is on its way.
    pub lease_pending: bool,
}

/// A lease with the time of its end.
#[derive(Debug, Copy, Clone)]
pub(super) struct HeldLease {
    /// The grant.
    pub grant: LeaseGrant,
    /// When the lease lapses.
    pub until: Timestamp,
}

impl Target {
    /// Creates the state of a target that was just listed.
    fn new(listed: ListedTarget) -> Self {
        Self {
            listed,
            in_use: 0,
            not_before: Timestamp::default(),
            lease: None,
            lease_pending: false,
        }
    }

    /// Returns the lease to send along with a task.
    pub fn lease_grant(&self) -> Option<LeaseGrant> {
        self.lease.map(|held| held.grant)
    }

    /// Returns the number of slots that can be used now.
    fn usable_slots(&self, now: Timestamp) -> u32 {
        match (self.listed.role, self.lease) {
            _ if self.listed.leaving || now < self.not_before => 0,
            (Role::Worker, Some(held)) if now < held.until => held.grant.slots,
            (Role::Worker, _) => 0,
            _ => self.listed.slots,
        }
    }

    /// Takes note of the end of a send.
    pub fn note_report(&mut self, now: Timestamp, report: &SendReport) {
        match report {
            SendReport::TurnedAway(TurnAway::Leaving) => self.listed.leaving = true,
            SendReport::TurnedAway(TurnAway::Lease) => self.lease = None,
            SendReport::TurnedAway(TurnAway::Busy) | SendReport::NotSent => {
                self.not_before = now.plus_ms(TURN_AWAY_BACKOFF_MS);
            }
            _ => {}
        }
    }
}

impl Engine {
    /// Takes in the platform's list.
    pub(super) fn listed(
        &mut self,
        now: Timestamp,
        listed: Vec<ListedTarget>,
        effects: &mut Vec<Effect>,
    ) {
        let names: HashSet<TargetName> = listed.iter().map(|t| t.name.clone()).collect();
        self.targets.retain(|_, t| names.contains(&t.listed.name) || t.in_use > 0);
        for new in listed {
            match self.targets.values_mut().find(|t| t.listed.name == new.name) {
                Some(known) => known.listed = new,
                None => {
                    self.targets.insert(Target::new(new));
                }
            }
        }
        self.renew_leases(now, effects);
        self.dispatch_all(now, effects);
    }

    /// Takes in a worker's answer to a lease request.
    pub(super) fn lease_answered(
        &mut self,
        now: Timestamp,
        key: TargetKey,
        grant: Option<LeaseGrant>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(target) = self.targets.get_mut(key) else { return };
        target.lease_pending = false;
        match grant {
            Some(grant) => {
                let until = now.plus_ms(grant.expires_in_ms);
                target.lease = Some(HeldLease { grant, until });
            }
            None => target.not_before = now.plus_ms(TURN_AWAY_BACKOFF_MS),
        }
        self.dispatch_all(now, effects);
    }

    /// Asks for the leases that are missing or about to lapse.
    pub(super) fn renew_leases(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        for (key, target) in &mut self.targets {
            let due = match target.lease {
                _ if target.listed.role != Role::Worker || target.lease_pending => false,
                _ if target.listed.leaving || now < target.not_before => false,
                Some(held) => now.plus_ms(LEASE_RENEW_AHEAD_MS) >= held.until,
                None => true,
            };
            if !due {
                continue;
            }
            target.lease_pending = true;
            effects.push(Effect::Lease(LeaseOrder {
                target: key,
                address: target.listed.address.clone(),
                slots: target.listed.slots,
                renew: target
                    .lease
                    .filter(|held| now < held.until)
                    .map(|held| held.grant),
            }));
        }
    }

    /// Returns the target of a group with the most free slots.
    pub(super) fn free_target(
        &self,
        now: Timestamp,
        group: &GroupName,
    ) -> Option<TargetKey> {
        let group = self.config.target_group.get(group)?;
        let free =
            |target: &Target| target.usable_slots(now).saturating_sub(target.in_use);
        self.targets
            .iter()
            .filter(|(_, t)| {
                t.listed.role == group.role && t.listed.service == group.service
            })
            .filter(|(_, t)| group.failure_domains.contains(&t.listed.domain))
            .filter(|(_, t)| free(t) > 0)
            .max_by_key(|(_, t)| free(t))
            .map(|(key, _)| key)
    }
}
