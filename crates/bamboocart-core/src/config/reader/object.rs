//! Reads the configuration objects of each type.

use super::fields::Fields;
use crate::config::{
    ConfigSet, Priority, Quota, RequestKind, Section, Service, StopPlan, TargetGroup,
};

/// A configuration object of any type.
pub(super) enum Object {
    Service(Service),
    RequestKind(RequestKind),
    Priority(Priority),
    TargetGroup(TargetGroup),
    StopPlan(StopPlan),
    Quota(Quota),
}

impl Object {
    /// Reads an object of the given type, or reports its faults and returns `None`.
    pub(super) fn read(section: Section, fields: &mut Fields<'_, '_>) -> Option<Self> {
        match section {
            Section::Service => read_service(fields).map(Self::Service),
            Section::RequestKind => read_request_kind(fields).map(Self::RequestKind),
            Section::Priority => read_priority(fields).map(Self::Priority),
            Section::TargetGroup => read_target_group(fields).map(Self::TargetGroup),
            Section::StopPlan => read_stop_plan(fields).map(Self::StopPlan),
            Section::Quota => read_quota(fields).map(Self::Quota),
        }
    }

    /// Adds the object to a set.
    pub(super) fn insert(self, name: &str, set: &mut ConfigSet) {
        match self {
            Self::Service(object) => drop(set.service.insert(name.into(), object)),
            Self::RequestKind(object) => {
                drop(set.request_kind.insert(name.into(), object))
            }
            Self::Priority(object) => drop(set.priority.insert(name.into(), object)),
            Self::TargetGroup(object) => {
                drop(set.target_group.insert(name.into(), object))
            }
            Self::StopPlan(object) => drop(set.stop_plan.insert(name.into(), object)),
            Self::Quota(object) => drop(set.quota.insert(name.into(), object)),
        }
    }
}

fn read_service(fields: &mut Fields<'_, '_>) -> Option<Service> {
    let target_group = fields.required("target_group");
    let slots = fields.required("slots");
    let connections = fields.required("connections");
    Some(Service {
        target_group: target_group?,
        slots: slots?,
        connections: connections?,
    })
}

fn read_request_kind(fields: &mut Fields<'_, '_>) -> Option<RequestKind> {
    let service = fields.required("service");
    let priority = fields.required("priority");
    let idempotent = fields.optional("idempotent");
    let resend = fields.optional("resend");
    let hedge = fields.optional("hedge");
    let deadline_ms = fields.required("deadline_ms");
    let shortest_run_ms = fields.required("shortest_run_ms");
    let longest_run_ms = fields.required("longest_run_ms");
    Some(RequestKind {
        service: service?,
        priority: priority?,
        idempotent: idempotent?,
        resend: resend?,
        hedge: hedge?,
        deadline_ms: deadline_ms?,
        shortest_run_ms: shortest_run_ms?,
        longest_run_ms: longest_run_ms?,
    })
}

fn read_priority(fields: &mut Fields<'_, '_>) -> Option<Priority> {
    let rank = fields.required("rank");
    let floor_percent = fields.optional("floor_percent");
    Some(Priority { rank: rank?, floor_percent: floor_percent? })
}

fn read_target_group(fields: &mut Fields<'_, '_>) -> Option<TargetGroup> {
    let role = fields.required("role");
    let service = fields.required("service");
    let failure_domains = fields.required("failure_domains");
    let cpus = fields.optional("cpus");
    let memory_mb = fields.optional("memory_mb");
    Some(TargetGroup {
        role: role?,
        service: service?,
        failure_domains: failure_domains?,
        cpus: cpus?,
        memory_mb: memory_mb?,
    })
}

fn read_stop_plan(fields: &mut Fields<'_, '_>) -> Option<StopPlan> {
    let targets = fields.optional("targets");
    let instances = fields.optional("instances");
    let drain_ms = fields.required("drain_ms");
    let at_once = fields.required("at_once");
    let after = fields.optional("after");
    Some(StopPlan {
        targets: targets?,
        instances: instances?,
        drain_ms: drain_ms?,
        at_once: at_once?,
        after: after?,
    })
}

fn read_quota(fields: &mut Fields<'_, '_>) -> Option<Quota> {
    let weight = fields.required("weight");
    let starts_per_s = fields.required("starts_per_s");
    let burst = fields.required("burst");
    let in_flight = fields.required("in_flight");
    Some(Quota {
        weight: weight?,
        starts_per_s: starts_per_s?,
        burst: burst?,
        in_flight: in_flight?,
    })
}
