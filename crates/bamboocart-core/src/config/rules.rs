//! The rules that the objects of a set must satisfy together.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;

use petgraph::algo::tarjan_scc;
use petgraph::graphmap::DiGraphMap;

use super::{
    ConfigSet, Fault, ObjectPath, Priority, Quota, RequestKind, Resend, Role, Section,
    Service, StopPlan, TargetGroup,
};
use crate::id::DomainName;

/// The maximum duration in a field, one day, so that sums of durations cannot overflow.
const MAX_TIME_MS: u64 = 24 * 60 * 60 * 1_000;

/// The maximum memory of a target, about 1 PB; a larger value is a mistake in the unit.
const MAX_MEMORY_MB: u64 = 1 << 30;

/// The maximum length of a name, which also limits the length of tickets.
const MAX_NAME_CHARS: usize = 64;

/// The share of starts that all floors together may reserve.
const FULL_PERCENT: u32 = 100;

/// Returns all faults of a set.
///
/// `unreadable` names objects that exist in the files but could not be read into the set.
pub(super) fn faults(
    set: &ConfigSet,
    unreadable: &BTreeSet<(Section, String)>,
) -> Vec<Fault> {
    let mut rules = Rules { set, unreadable, faults: Vec::new() };
    set.service.iter().for_each(|(name, object)| rules.service(name.as_str(), object));
    set.request_kind.iter().for_each(|(name, o)| rules.request_kind(name.as_str(), o));
    set.priority.iter().for_each(|(name, object)| rules.priority(name.as_str(), object));
    set.target_group.iter().for_each(|(name, o)| rules.target_group(name.as_str(), o));
    set.stop_plan
        .iter()
        .for_each(|(name, object)| rules.stop_plan(name.as_str(), object));
    set.quota.iter().for_each(|(name, object)| rules.quota(name.as_str(), object));
    rules.ranks();
    rules.floors();
    rules.plan_cycles();
    rules.faults
}

/// Checks one set and collects its faults.
struct Rules<'a> {
    set: &'a ConfigSet,
    /// Objects that exist in the files but could not be read into the set.
    unreadable: &'a BTreeSet<(Section, String)>,
    faults: Vec<Fault>,
}

impl Rules<'_> {
    fn service(&mut self, name: &str, service: &Service) {
        let path = self.object(Section::Service, name);
        let group = service.target_group.as_str();
        self.reference(path.field("target_group"), Section::TargetGroup, group);
        self.at_least_one(path.field("slots"), service.slots.into());
        self.at_least_one(path.field("connections"), service.connections.into());
        if service.connections < service.slots {
            self.fault(
                path.field("connections"),
                format!(
                    "{} connections cannot fill {} slots",
                    service.connections, service.slots
                ),
                "allow at least one connection for each slot",
            );
        }
    }

    fn request_kind(&mut self, name: &str, kind: &RequestKind) {
        let path = self.object(Section::RequestKind, name);
        let priority = kind.priority.as_str();
        self.reference(path.field("service"), Section::Service, kind.service.as_str());
        self.reference(path.field("priority"), Section::Priority, priority);
        self.time(path.field("deadline_ms"), kind.deadline_ms);
        // 0 is valid here, because a run may be shorter than a millisecond.
        self.time(path.field("shortest_run_ms"), kind.shortest_run_ms.max(1));
        self.time(path.field("longest_run_ms"), kind.longest_run_ms);
        if kind.longest_run_ms < kind.shortest_run_ms {
            self.fault(
                path.field("longest_run_ms"),
                "the longest run time is below the shortest",
                "swap the two or correct one of them",
            );
        }
        if kind.deadline_ms < kind.shortest_run_ms {
            self.fault(
                path.field("deadline_ms"),
                format!(
                    "the deadline of {} ms is below the shortest run time of {} ms",
                    kind.deadline_ms, kind.shortest_run_ms
                ),
                "allow at least the shortest run time",
            );
        }
        if kind.resend == Resend::Budgeted && !kind.idempotent {
            self.fault(
                path.field("resend"),
                "a request kind that is not idempotent must not be sent again",
                "use resend = \"never\", or idempotent = true if running it twice is harmless",
            );
        }
        if kind.hedge && !kind.idempotent {
            self.fault(
                path.field("hedge"),
                "a request kind that is not idempotent must not be hedged",
                "use hedge = false, or idempotent = true if running it twice is harmless",
            );
        }
        self.reachable(path.field("service"), kind);
    }

    /// Checks that a request kind has targets in every failure domain of the set.
    fn reachable(&mut self, path: ObjectPath, kind: &RequestKind) {
        let service = self.set.service.get(&kind.service);
        let group = service.and_then(|s| self.set.target_group.get(&s.target_group));
        let Some(group) = group else { return };
        let groups = self.set.target_group.values();
        let domains: BTreeSet<&DomainName> =
            groups.flat_map(|group| &group.failure_domains).collect();
        for domain in domains {
            if !group.failure_domains.contains(domain) {
                self.fault(
                    path.clone(),
                    format!("it has no target in failure domain {domain}"),
                    format!("add {domain} to the target group of its service"),
                );
            }
        }
    }

    fn priority(&mut self, name: &str, priority: &Priority) {
        let path = self.object(Section::Priority, name);
        if u32::from(priority.floor_percent) > FULL_PERCENT {
            self.fault(
                path.field("floor_percent"),
                format!("a floor cannot be {} percent", priority.floor_percent),
                "use a number from 0 to 100",
            );
        }
    }

    /// Checks that ranks are distinct, because equal ranks leave the order undefined.
    fn ranks(&mut self) {
        let mut priority_by_rank = BTreeMap::new();
        for (name, priority) in &self.set.priority {
            let path = ObjectPath::object(Section::Priority, name.as_str()).field("rank");
            if let Some(first) = priority_by_rank.insert(priority.rank, name) {
                self.fault(
                    path,
                    format!("priority {first} has rank {} too", priority.rank),
                    "give each priority a different rank",
                );
            }
        }
    }

    /// Checks that all floors together reserve at most 100 percent of the starts.
    fn floors(&mut self) {
        let floors = self.set.priority.values().map(|p| u32::from(p.floor_percent));
        let sum: u32 = floors.sum();
        let last = self.set.priority.iter().rfind(|(_, p)| p.floor_percent > 0);
        if let Some((name, _)) = last.filter(|_| sum > FULL_PERCENT) {
            self.fault(
                ObjectPath::object(Section::Priority, name.as_str())
                    .field("floor_percent"),
                format!("the floors of all priorities add up to {sum} percent"),
                "lower them to at most 100 percent in total",
            );
        }
    }

    fn target_group(&mut self, name: &str, group: &TargetGroup) {
        let path = self.object(Section::TargetGroup, name);
        self.name(path.field("service"), group.service.as_str());
        let domains = path.field("failure_domains");
        self.distinct(&domains, &group.failure_domains);
        for (item, domain) in group.failure_domains.iter().enumerate() {
            self.name(domains.item(item), domain.as_str());
        }
        if group.failure_domains.is_empty() {
            self.fault(
                domains,
                "the target group is in no failure domain",
                "name at least one",
            );
        }
        if group.role == Role::Dispatcher {
            self.fault(
                path.field("role"),
                "instances of the system cannot be targets",
                "use \"minion\" or \"worker\"",
            );
        }
        if let Some(cpus) = group.cpus {
            self.at_least_one(path.field("cpus"), cpus.into());
        }
        if let Some(memory_mb) = group.memory_mb {
            self.in_range(path.field("memory_mb"), memory_mb, MAX_MEMORY_MB);
        }
    }

    fn stop_plan(&mut self, name: &str, plan: &StopPlan) {
        let path = self.object(Section::StopPlan, name);
        self.distinct(&path.field("targets"), &plan.targets);
        self.distinct(&path.field("instances"), &plan.instances);
        self.distinct(&path.field("after"), &plan.after);
        self.time(path.field("drain_ms"), plan.drain_ms);
        let members = plan.targets.len() + plan.instances.len();
        if members == 0 {
            self.fault(
                path.clone(),
                "the plan stops nothing",
                "name targets or instances, or remove the plan",
            );
        }
        if !(1..=members.max(1)).contains(&(plan.at_once as usize)) {
            self.fault(
                path.field("at_once"),
                format!("{} of {members} members cannot stop at once", plan.at_once),
                "use a number from 1 to the number of members",
            );
        }
        for (item, other) in plan.after.iter().enumerate() {
            let path = path.field("after").item(item);
            self.reference(path, Section::StopPlan, other.as_str());
        }
    }

    /// Checks that no stop plan waits for itself, directly or through other plans.
    fn plan_cycles(&mut self) {
        let mut graph = DiGraphMap::<&str, ()>::new();
        for (name, plan) in &self.set.stop_plan {
            for other in &plan.after {
                graph.add_edge(name.as_str(), other.as_str(), ());
            }
        }
        for mut cycle in tarjan_scc(&graph) {
            cycle.sort_unstable();
            let first = cycle[0];
            if cycle.len() == 1 && !graph.contains_edge(first, first) {
                continue;
            }
            self.fault(
                ObjectPath::object(Section::StopPlan, first).field("after"),
                format!("stop plans wait for each other: {}", cycle.join(", ")),
                "remove one of the `after` entries in the cycle",
            );
        }
    }

    fn quota(&mut self, name: &str, quota: &Quota) {
        let path = self.object(Section::Quota, name);
        self.at_least_one(path.field("weight"), quota.weight.into());
        self.at_least_one(path.field("starts_per_s"), quota.starts_per_s.into());
        self.at_least_one(path.field("burst"), quota.burst.into());
        self.at_least_one(path.field("in_flight"), quota.in_flight.into());
    }

    /// Checks the name of an object and returns the path of the object.
    fn object(&mut self, section: Section, name: &str) -> ObjectPath {
        let path = ObjectPath::object(section, name);
        self.name(path.clone(), name);
        path
    }

    /// Checks a name; dots are not allowed, because they separate the parts of tickets.
    fn name(&mut self, path: ObjectPath, name: &str) {
        let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_');
        let usable = !name.is_empty() && name.chars().all(plain);
        if !usable || name.len() > MAX_NAME_CHARS {
            self.fault(
                path,
                format!("`{name}` is not a usable name"),
                "use 1 to 64 letters, digits, hyphens and underscores",
            );
        }
    }

    /// Checks that a referenced object exists.
    fn reference(&mut self, path: ObjectPath, section: Section, name: &str) {
        let exists = match section {
            Section::Service => self.set.service.contains_key(&name.into()),
            Section::RequestKind => self.set.request_kind.contains_key(&name.into()),
            Section::Priority => self.set.priority.contains_key(&name.into()),
            Section::TargetGroup => self.set.target_group.contains_key(&name.into()),
            Section::StopPlan => self.set.stop_plan.contains_key(&name.into()),
            Section::Quota => self.set.quota.contains_key(&name.into()),
        };
        if !exists && !self.unreadable.contains(&(section, name.to_owned())) {
            self.fault(
                path,
                format!("there is no {section}.{name}"),
                format!("add [{section}.{name}] or correct the name"),
            );
        }
    }

    /// Checks that a list contains no duplicates.
    fn distinct<T: Ord + Display>(&mut self, path: &ObjectPath, items: &[T]) {
        let mut seen = BTreeSet::new();
        for (item, name) in items.iter().enumerate() {
            if !seen.insert(name) {
                let message = format!("{name} is listed twice");
                self.fault(path.item(item), message, "remove one of the two");
            }
        }
    }

    /// Checks that a duration is neither zero nor above [`MAX_TIME_MS`].
    fn time(&mut self, path: ObjectPath, ms: u64) {
        self.in_range(path, ms, MAX_TIME_MS);
    }

    /// Checks that a number is not zero.
    fn at_least_one(&mut self, path: ObjectPath, size: u64) {
        self.in_range(path, size, u64::MAX);
    }

    /// Checks that a number is neither zero nor above a limit.
    fn in_range(&mut self, path: ObjectPath, size: u64, max: u64) {
        let field = path.field.clone().unwrap_or_default();
        match size {
            0 => self.fault(
                path,
                format!("`{field}` is 0, so nothing could run"),
                "use at least 1",
            ),
            _ if size > max => self.fault(
                path,
                format!("`{field}` is {size}, which is too large"),
                format!("use at most {max}"),
            ),
            _ => {}
        }
    }

    fn fault(
        &mut self,
        path: ObjectPath,
        message: impl Into<String>,
        remedy: impl Into<String>,
    ) {
        self.faults.push(Fault { path, message: message.into(), remedy: remedy.into() });
    }
}
