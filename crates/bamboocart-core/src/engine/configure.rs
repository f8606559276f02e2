//! Configurations on their way into force.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;

use crate::config::{ConfigSet, LogPosition, check_set};
use crate::engine::{Effect, Engine, Observation};
use crate::id::{ConfigVersion, InstanceName, StopPlanName};
use crate::membership::StopSchedule;
use crate::message::Message;
use crate::time::Timestamp;

/// The beginning of stop plans whose publication is not known any more.
///
/// Their turns lie before the start of every running process, so they stop nobody.
const LONG_AGO: Timestamp = Timestamp::from_us(0);

impl Engine {
    /// Takes in a configuration that the log has put in force.
    ///
    /// A version that a peer has told about before only gets its time from the log.
    pub(super) fn config_published(
        &mut self,
        now: Timestamp,
        version: ConfigVersion,
        set: Arc<ConfigSet>,
        published_at: Option<Timestamp>,
        effects: &mut Vec<Effect>,
    ) {
        if version > self.config_version {
            let begun = self.plans_since(&set, published_at.unwrap_or(LONG_AGO));
            self.put_in_force(now, version, set, begun, effects);
        }
        if version == self.config_version {
            self.observe_delay(published_at, effects);
        }
    }

    /// Reports how long the configuration in force took, once its append is known.
    ///
    /// A publication from before the start of this instance says nothing about delays.
    fn observe_delay(&mut self, since: Option<Timestamp>, effects: &mut Vec<Effect>) {
        let Some(since) = since.filter(|&since| since >= self.started_at) else { return };
        if let Some(in_force_at) = self.delay_from.take() {
            let delay_us = in_force_at.us_since(since);
            let observation = Observation::ConfigDelayed { delay_us };
            effects.push(Effect::Observed(observation));
        }
    }

    /// Takes in how far the log was read.
    ///
    /// Peers get the latest position, so that one that has read nothing of the log can
    /// judge its next record when all earlier ones have expired.
    pub(super) fn log_read(&mut self, position: LogPosition) {
        let known = self.log_position.as_ref().map(|known| known.covers_until);
        if known < Some(position.covers_until) {
            self.log_position = Some(position);
        }
    }

    /// Takes in a configuration that a peer has in force.
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
                    format!("configuration {version} of a peer: {error}; ignored");
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
                "configuration {version} of a peer has {} faults; ignored",
                faults.len()
            ))),
        }
    }

    /// Sends the configuration in force to a peer that lacks it.
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

    /// Returns since when each plan of a new set is in force.
    ///
    /// A plan that the set before has unchanged keeps its time, so that a publication of
    /// something else does not begin it anew.
    fn plans_since(
        &self,
        set: &ConfigSet,
        since: Timestamp,
    ) -> BTreeMap<StopPlanName, Timestamp> {
        let unchanged = |name: &StopPlanName| {
            let before = self.config.stop_plan.get(name);
            before.filter(|before| set.stop_plan.get(name) == Some(before))
        };
        let begun = |name: &StopPlanName| {
            let kept = unchanged(name).and_then(|_| self.plans_since.get(name));
            (name.clone(), kept.copied().unwrap_or(since))
        };
        set.stop_plan.keys().map(begun).collect()
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
        self.note_policy(now, self.config_version, version);
        self.config_version = version;
        self.delay_from = Some(now);
        self.plans_since = plans_since;
        let begun = |name: &StopPlanName| self.plans_since.get(name).copied();
        self.stops = StopSchedule::new(&self.config.stop_plan, |name| {
            begun(name).unwrap_or(LONG_AGO)
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
