//! The schedule by which stop plans make members leave.

use std::collections::{BTreeMap, BTreeSet};

use crate::config::StopPlan;
use crate::id::{Incarnation, InstanceName, StopPlanName, TargetName};
use crate::time::Timestamp;

/// A member of a stop plan.
#[derive(Debug, Clone, Eq, PartialEq, Ord, PartialOrd, Hash)]
pub enum Member {
    /// A minion or worker.
    Target(TargetName),
    /// An instance of the system.
    Instance(InstanceName),
}

/// The time window in which one member of a stop plan stops.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct ScheduledStop {
    /// The stop plan that schedules it.
    pub plan: StopPlanName,
    /// The member that stops.
    pub member: Member,
    /// When the member begins to leave.
    pub from: Timestamp,
    /// When the member must have finished its work.
    pub until: Timestamp,
}

impl ScheduledStop {
    /// Reports whether an incarnation of the member has to leave by now.
    ///
    /// A process that started after the stop began is the replacement of the one that had
    /// to stop, so the plan does not apply to it.
    pub fn applies(&self, incarnation: Incarnation, now: Timestamp) -> bool {
        self.from <= now && incarnation.0 < self.from.as_us()
    }
}

/// The scheduled stops of every member of every stop plan.
///
/// The schedule depends only on the plans and on the times at which they came into force,
/// so every instance computes the same one without exchanging messages.
#[derive(Debug, Clone, Default, Eq, PartialEq)]
pub struct StopSchedule {
    stops: Vec<ScheduledStop>,
}

impl StopSchedule {
    /// Computes the schedule.
    ///
    /// `since` returns when the publication that brought a plan into force was appended
    /// to the log. A plan begins at that time or when the last plan of its `after` ends,
    /// whichever is later. Its targets stop first, then its instances, in batches of
    /// `at_once` members, each batch `drain_ms` after the previous one. Plans that wait
    /// for each other in a cycle never begin.
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
            ends.insert(name, schedule_plan(&mut stops, name, plan, begin));
        }
        Self { stops }
    }

    /// Returns every scheduled stop, those of a plan after those of the plans in its
    /// `after`.
    pub fn stops(&self) -> &[ScheduledStop] {
        &self.stops
    }

    /// Returns the scheduled stops that have begun, including ended ones.
    pub fn begun(&self, now: Timestamp) -> impl Iterator<Item = &ScheduledStop> {
        self.stops.iter().filter(move |stop| stop.from <= now)
    }

    /// Returns the scheduled stop that makes an incarnation of a member leave by now.
    pub fn leaving(
        &self,
        member: &Member,
        incarnation: Incarnation,
        now: Timestamp,
    ) -> Option<&ScheduledStop> {
        self.stops
            .iter()
            .find(|stop| stop.member == *member && stop.applies(incarnation, now))
    }

    /// Reports whether an incarnation of a member has to leave within `ahead_ms`.
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

/// Schedules the members of one plan and returns the end of the plan.
fn schedule_plan(
    stops: &mut Vec<ScheduledStop>,
    name: &StopPlanName,
    plan: &StopPlan,
    begin: Timestamp,
) -> Timestamp {
    let targets = plan.targets.iter().cloned().map(Member::Target);
    let instances = plan.instances.iter().cloned().map(Member::Instance);
    let at_once = plan.at_once.max(1) as usize;
    let mut end = begin;
    for (position, member) in targets.chain(instances).enumerate() {
        let from = begin.plus_ms((position / at_once) as u64 * plan.drain_ms);
        let until = from.plus_ms(plan.drain_ms);
        stops.push(ScheduledStop { plan: name.clone(), member, from, until });
        end = until;
    }
    end
}
