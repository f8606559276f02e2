//! The kinds of configuration objects.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::id::{
    CustomerName, DomainName, GroupName, InstanceName, KindName, PriorityName,
    ServiceName, StopPlanName, TargetName,
};

/// A whole set of objects, which is checked and published together.
#[derive(Debug, Clone, Eq, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ConfigSet {
    /// The services.
    pub service: BTreeMap<ServiceName, Service>,
    /// The request kinds.
    pub request_kind: BTreeMap<KindName, RequestKind>,
    /// The priorities.
    pub priority: BTreeMap<PriorityName, Priority>,
    /// The target groups.
    pub target_group: BTreeMap<GroupName, TargetGroup>,
    /// The stop plans.
    pub stop_plan: BTreeMap<StopPlanName, StopPlan>,
    /// The quotas, one for each customer.
    pub quota: BTreeMap<CustomerName, Quota>,
}

/// Something that runs requests, on the targets of one group.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The targets that run the service.
    pub target_group: GroupName,
    /// The number of tasks that one target runs at the same time.
    pub slots: u32,
    /// The number of connections that one target accepts.
    pub connections: u32,
}

/// A kind of request or job.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestKind {
    /// The service that runs it.
    pub service: ServiceName,
    /// Its priority.
    pub priority: PriorityName,
    /// Whether running it twice does no harm.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether a send that may have started is sent again.
    #[serde(default)]
    pub resend: Resend,
    /// Whether a straggler is sent to a second target.
    #[serde(default)]
    pub hedge: bool,
    /// The deadline of a request that brings none.
    pub deadline_ms: u64,
    /// The shortest run time that is expected.
    pub shortest_run_ms: u64,
    /// The longest run time that is expected.
    pub longest_run_ms: u64,
}

/// Whether a send that may have started is sent again.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Resend {
    /// Never.
    #[default]
    Never,
    /// Within the retry budget.
    Budgeted,
}

/// A class of urgency.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Priority {
    /// The rank; 0 goes first.
    pub rank: u8,
    /// The share of starts under contention that is kept for this priority.
    #[serde(default)]
    pub floor_percent: u8,
}

/// A set of targets, selected from the platform's instance list.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetGroup {
    /// The role that members have in the list.
    pub role: Role,
    /// The service label that members have in the list.
    pub service: ServiceName,
    /// The failure domains that members are taken from.
    pub failure_domains: Vec<DomainName>,
    /// The processors of the largest member, for checking what can ever run.
    #[serde(default)]
    pub cpus: Option<u32>,
    /// The memory of the largest member, for checking what can ever run.
    #[serde(default)]
    pub memory_mb: Option<u64>,
}

/// The role of a machine in the platform's instance list.
#[derive(
    Debug, Copy, Clone, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// An entry instance of the system.
    Dispatcher,
    /// A back end of a service.
    Minion,
    /// A worker of the platform.
    Worker,
}

/// A planned stop of targets or instances.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StopPlan {
    /// The targets to stop, in this order.
    #[serde(default)]
    pub targets: Vec<TargetName>,
    /// The instances to stop, in this order.
    #[serde(default)]
    pub instances: Vec<InstanceName>,
    /// The time that each member has to finish its work.
    pub drain_ms: u64,
    /// The number of members that stop at the same time.
    pub at_once: u32,
    /// The plans that must have ended before this one starts.
    #[serde(default)]
    pub after: Vec<StopPlanName>,
}

/// What a customer may use.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Quota {
    /// The customer's share relative to others of the same priority.
    pub weight: u32,
    /// The task starts that are allowed each second.
    pub starts_per_s: u32,
    /// The task starts that may be saved up.
    pub burst: u32,
    /// The unfinished tasks that are allowed at the same time.
    pub in_flight: u32,
}
