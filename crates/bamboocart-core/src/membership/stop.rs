//! Which members are leaving by a stop plan.

use std::collections::{BTreeMap, BTreeSet};

use crate::config::StopPlan;
use crate::id::{Incarnation, InstanceName, StopPlanName, TargetName};
use crate::time::Timestamp;

/// A member of a stop plan.
#[derive(Debug, Clone, Eq, PartialEq, Ord, PartialOrd, Hash)]
pub enum Member {
    /// A target.
    Target(TargetName),
    /// An instance.
    Instance(InstanceName),
}

/// The turn of one member to stop.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct ScheduledStop {
    /// The plan.
    pub plan: StopPlanName,
    /// The member.
    pub member: Member,
    /// When the member begins to leave.
    pub from: Timestamp,
    /// When the member must have finished its work.
    pub until: Timestamp,
}

impl ScheduledStop {
    /// Reports whether the plan makes an incarnation of the member leave.
    ///
    /// A process that was started after the turn began is the replacement for which the
    /// old one stopped, so the plan does not apply to it.
    pub fn applies(&self, incarnation: Incarnation, now: Timestamp) -> bool {
        self.from <= now && incarnation.0 < self.from.as_us()
    }
}

/// The turns of every member of every stop plan.
///
/// They follow from the plans and the time since when these are in force alone, so that
/// every instance arrives at the same turns without messages.
#[derive(Debug, Clone, Default, Eq, PartialEq)]
pub struct StopSchedule {
    stops: Vec<ScheduledStop>,
}

impl StopSchedule {
    /// Computes the turns. `since` returns when the publication that brought a plan into
    /// force was appended to the log.
    ///
    /// A plan begins at that time or at the end of the last plan of its `after`. Its
    /// targets stop first, then its instances, `at_once` members together, each group
    /// `drain_ms` after the previous one. Plans that wait for each other never begin.
    pub fn new(
        plans: &BTreeMap<StopPlanName, StopPlan>,
        since: impl Fn(&StopPlanName) -> Timestamp,
    ) -> Self {
        let mut ends: BTreeMap<&StopPlanName, Timestamp> = BTreeMap::new();
        let mut waiting: BTreeSet<&StopPlanName> = plans.keys().collect();
        let mut stops = vec![];
        loop {
            let ready = waiting.iter().copied().find(|&name| {
                plans[name].after.iter().all(|other| !waiting.contains(other))
            });
            let Some(name) = ready else {
                break;
            };
            waiting.remove(name);
            let plan = &plans[name];
            let begin = plan
                .after
                .iter()
                .filter_map(|other| ends.get(other).copied())
                .fold(since(name), Timestamp::max);
            ends.insert(name, add_turns(&mut stops, name, plan, begin));
        }
        Self { stops }
    }

    /// Returns every turn.
    pub fn stops(&self) -> &[ScheduledStop] {
        &self.stops
    }

    /// Returns the turns that have begun.
    pub fn begun(&self, now: Timestamp) -> impl Iterator<Item = &ScheduledStop> {
        self.stops.iter().filter(move |turn| turn.from <= now)
    }

    /// Returns the turn that makes an incarnation of a member leave.
    pub fn leaving(
        &self,
        member: &Member,
        incarnation: Incarnation,
        now: Timestamp,
    ) -> Option<&ScheduledStop> {
        self.stops
            .iter()
            .find(|turn| turn.member == *member && turn.applies(incarnation, now))
    }

    /// Reports whether a member begins to leave within `ahead_ms`.
    pub fn leaves_soon(
        &self,
        member: &Member,
        incarnation: Incarnation,
        now: Timestamp,
        ahead_ms: u64,
    ) -> bool {
        self.leaving(member, incarnation, now.plus_ms(ahead_ms)).is_some()
    }
}

/// Adds the turns of one plan and returns its end.
fn add_turns(
    stops: &mut Vec<ScheduledStop>,
    name: &StopPlanName,
    plan: &StopPlan,
    begin: Timestamp,
) -> Timestamp {
    let targets = plan.targets.iter().cloned().map(Member::Target);
    let instances = plan.instances.iter().cloned().map(Member::Instance);
    let at_once = plan.at_once.max(1) as usize;
    let mut end = begin;
    for (place, member) in targets.chain(instances).enumerate() {
        let from = begin.plus_ms((place / at_once) as u64 * plan.drain_ms);
        let until = from.plus_ms(plan.drain_ms);
        stops.push(ScheduledStop { plan: name.clone(), member, from, until });
        end = until;
    }
    end
}
