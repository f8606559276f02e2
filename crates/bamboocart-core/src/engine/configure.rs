//! Putting configurations in force and exchanging them with peers.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;

use crate::config::{ConfigSet, LogPosition, check_set};
use crate::engine::{Effect, Engine, Observation};
use crate::id::{ConfigVersion, InstanceName, StopPlanName};
use crate::membership::StopSchedule;
use crate::message::Message;
use crate::time::Timestamp;

/// The start of a stop plan whose publication time is no longer known.
///
/// Its turns lie before the start of every running process, so it stops nobody.
const UNKNOWN_PLAN_START: Timestamp = Timestamp::from_us(0);

impl Engine {
    /// Handles a configuration that the log has put in force.
    ///
    /// If a peer has already sent this version, the log only adds its time of
    /// publication.
    pub(super) fn config_published(
        &mut self,
        now: Timestamp,
        version: ConfigVersion,
        set: Arc<ConfigSet>,
        published_at: Option<Timestamp>,
        effects: &mut Vec<Effect>,
    ) {
        if version > self.config_version {
            let plans_since =
                self.plans_since(&set, published_at.unwrap_or(UNKNOWN_PLAN_START));
            self.put_in_force(now, version, set, plans_since, effects);
        }
        if version == self.config_version {
            self.observe_delay(published_at, effects);
        }
    }

    /// Reports how long the configuration in force took from its append, once that time
    /// is known.
    ///
    /// A publication from before the start of this instance says nothing about the delay.
    fn observe_delay(&mut self, since: Option<Timestamp>, effects: &mut Vec<Effect>) {
        let Some(since) = since.filter(|&since| since >= self.started_at) else { return };
        if let Some(in_force_at) = self.config_applied_at.take() {
            let delay_us = in_force_at.us_since(since);
            let observation = Observation::ConfigDelayed { delay_us };
            effects.push(Effect::Observed(observation));
        }
    }

    /// Handles the progress of the log reader.
    ///
    /// Peers receive the latest position, so that an instance that has read nothing of
    /// the log can validate its next record even if all earlier ones have expired.
    pub(super) fn log_read(&mut self, position: LogPosition) {
        let known = self.log_position.as_ref().map(|known| known.covers_until);
        if known < Some(position.covers_until) {
            self.log_position = Some(position);
        }
    }

    /// Handles a configuration that a peer has in force.
    pub(super) fn config_from_peer(
        &mut self,
        now: Timestamp,
        (version, text): (ConfigVersion, Bytes),
        plans_since: BTreeMap<StopPlanName, Timestamp>,
        position: Option<LogPosition>,
        effects: &mut Vec<Effect>,
    ) {
        if version <= self.config_version {
            return;
        }
        let set = match serde_json::from_slice::<ConfigSet>(&text) {
            Ok(set) => set,
            Err(error) => {
                let warning =
                    format!("ignoring configuration {version} from a peer: {error}");
                effects.push(Effect::Warn(warning));
                return;
            }
        };
        match check_set(&set) {
            Ok(()) => {
                if let Some(position) = position.filter(|it| it.version == version) {
                    self.log_read(position.clone());
                    let snapshot = position.with_set(set.clone());
                    effects.push(Effect::SnapshotReceived(Box::new(snapshot)));
                }
                self.put_in_force(now, version, Arc::new(set), plans_since, effects);
            }
            Err(faults) => effects.push(Effect::Warn(format!(
                "ignoring configuration {version} from a peer: it has {} faults",
                faults.len()
            ))),
        }
    }

    /// Sends the configuration in force to a peer that requested it.
    pub(super) fn share_config(&self, to: &InstanceName, effects: &mut Vec<Effect>) {
        if self.config_version.0 == 0 {
            return;
        }
        let plans = self.plans_since.iter();
        let position = self.log_position.as_ref();
        let message = Message::ConfigSet {
            version: self.config_version,
            text: Bytes::from(self.config.to_json()),
            plans_since: plans.map(|(name, at)| (name.clone(), *at)).collect(),
            position: position.filter(|it| it.version == self.config_version).cloned(),
        };
        self.tell(to, message, effects);
    }

    /// Returns when each plan of a new set came into force.
    ///
    /// A plan that is unchanged from the previous set keeps its time, so that publishing
    /// something else does not restart it.
    fn plans_since(
        &self,
        set: &ConfigSet,
        since: Timestamp,
    ) -> BTreeMap<StopPlanName, Timestamp> {
        let unchanged = |name: &StopPlanName| {
            let before = self.config.stop_plan.get(name);
            before.filter(|before| set.stop_plan.get(name) == Some(before))
        };
        let entry = |name: &StopPlanName| {
            let kept = unchanged(name).and_then(|_| self.plans_since.get(name));
            (name.clone(), kept.copied().unwrap_or(since))
        };
        set.stop_plan.keys().map(entry).collect()
    }

    /// Replaces the configuration in force.
    fn put_in_force(
        &mut self,
        now: Timestamp,
        version: ConfigVersion,
        set: Arc<ConfigSet>,
        plans_since: BTreeMap<StopPlanName, Timestamp>,
        effects: &mut Vec<Effect>,
    ) {
        self.config = set;
        self.record_policy_change(now, self.config_version, version);
        self.config_version = version;
        self.config_applied_at = Some(now);
        self.plans_since = plans_since;
        let start_of = |name: &StopPlanName| self.plans_since.get(name).copied();
        self.stops = StopSchedule::new(&self.config.stop_plan, |name| {
            start_of(name).unwrap_or(UNKNOWN_PLAN_START)
        });
        self.quotas.configure(&self.config.quota, now);
        self.configure_kinds();
        self.configure_groups();
        self.fleet_changed = true;
        self.sync_targets(now);
        effects.push(Effect::ConfigInForce { version });
        self.dispatch_all(now, effects);
    }
}
