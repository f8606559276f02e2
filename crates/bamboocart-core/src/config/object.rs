//! The types of configuration objects.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::id::{
    CustomerName, DomainName, GroupName, InstanceName, KindName, PriorityName,
    ServiceName, StopPlanName, TargetName,
};

/// A complete set of configuration objects, which are checked and published together.
#[derive(Debug, Clone, Eq, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ConfigSet {
    /// The services by name.
    pub service: BTreeMap<ServiceName, Service>,
    /// The request kinds by name.
    pub request_kind: BTreeMap<KindName, RequestKind>,
    /// The priorities by name.
    pub priority: BTreeMap<PriorityName, Priority>,
    /// The target groups by name.
    pub target_group: BTreeMap<GroupName, TargetGroup>,
    /// The stop plans by name.
    pub stop_plan: BTreeMap<StopPlanName, StopPlan>,
    /// The quotas by customer.
    pub quota: BTreeMap<CustomerName, Quota>,
}

/// A service, which runs requests on the targets of one group.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The group of the targets that run the service.
    pub target_group: GroupName,
    /// The number of tasks that one target runs concurrently; at least 1.
    pub slots: u32,
    /// The number of connections that one target accepts; at least `slots`.
    pub connections: u32,
}

/// A kind of request or job.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestKind {
    /// The service that runs requests of this kind.
    pub service: ServiceName,
    /// The priority of requests of this kind.
    pub priority: PriorityName,
    /// Whether running a request more than once is harmless.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether a task that may have started is sent again; needs `idempotent`.
    #[serde(default)]
    pub resend: Resend,
    /// Whether a straggler is also sent to a second target; needs `idempotent`.
    #[serde(default)]
    pub hedge: bool,
    /// The deadline of a request that does not state one.
    pub deadline_ms: u64,
    /// The shortest expected run time of a task.
    pub shortest_run_ms: u64,
    /// The longest expected run time of a task.
    pub longest_run_ms: u64,
}

/// Whether a task that may have started is sent again.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Resend {
    /// It is never sent again.
    #[default]
    Never,
    /// It is sent again as long as the retry budget allows it.
    Budgeted,
}

/// A priority of request kinds.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Priority {
    /// The rank, distinct for each priority; lower ranks start first.
    pub rank: u8,
    /// The share of starts that is reserved for this priority under contention; the
    /// floors of all priorities add up to at most 100.
    #[serde(default)]
    pub floor_percent: u8,
}

/// A set of targets, selected from the platform's instance list.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetGroup {
    /// The role of the members in the list.
    pub role: Role,
    /// The service label of the members in the list.
    pub service: ServiceName,
    /// The failure domains that members are taken from.
    pub failure_domains: Vec<DomainName>,
    /// The number of processors of the largest member, for rejecting tasks that can never
    /// run.
    #[serde(default)]
    pub cpus: Option<u32>,
    /// The memory of the largest member, for rejecting tasks that can never run.
    #[serde(default)]
    pub memory_mb: Option<u64>,
}

/// The role of a machine in the platform's instance list.
#[derive(
    Debug, Copy, Clone, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// An instance of the system.
    Dispatcher,
    /// A minion, which is a back end of a service.
    Minion,
    /// A worker, which is a machine of the platform that runs tasks under leases.
    Worker,
}

/// A planned stop of targets or instances.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StopPlan {
    /// The targets to stop, in order.
    #[serde(default)]
    pub targets: Vec<TargetName>,
    /// The instances to stop, in order.
    #[serde(default)]
    pub instances: Vec<InstanceName>,
    /// The time that each member has for draining.
    pub drain_ms: u64,
    /// The maximum number of members that stop at the same time.
    pub at_once: u32,
    /// The plans that must be finished before this one starts.
    #[serde(default)]
    pub after: Vec<StopPlanName>,
}

/// The resource limits of a customer.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Quota {
    /// The customer's weight relative to other customers at the same priority.
    pub weight: u32,
    /// The sustained rate of task starts over all instances, as the refill of a token
    /// bucket.
    pub starts_per_s: u32,
    /// The size of the token bucket, in task starts.
    pub burst: u32,
    /// The maximum number of unfinished tasks.
    pub in_flight: u32,
}
