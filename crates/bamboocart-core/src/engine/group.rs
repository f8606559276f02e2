//! The queue, the placement and the health of one target group.

use crate::engine::names::{CustomerKey, KindKey};
use crate::engine::record::QueuedTask;
use crate::engine::{Engine, Setup};
use crate::health::GroupHealth;
use crate::id::GroupName;
use crate::placement::Placement;
use crate::queue::FairQueue;
use crate::target::TargetKey;
use crate::time::US_PER_MS;

/// The state of one target group.
#[derive(Debug)]
pub struct Group {
    pub queue: FairQueue<QueuedTask, CustomerKey>,
    /// The arrival number of the next task, for the account.
    pub next_arrival: u64,
    /// The slots and expected run times of the targets.
    pub placement: Placement<KindKey>,
    /// The outlier ejection of the targets.
    pub health: GroupHealth,
    /// The targets that wait for a probe.
    pub probation: Vec<TargetKey>,
    /// The request kinds of the group, in the order of the configuration.
    pub kinds: Vec<KindKey>,
    /// Whether any of the request kinds is idempotent.
    pub has_idempotent: bool,
}

impl Group {
    /// Creates a group without targets.
    fn new(setup: &Setup) -> Self {
        Self {
            queue: FairQueue::new(setup.queue_tasks),
            next_arrival: 0,
            placement: Placement::new(setup.policy),
            health: GroupHealth::default(),
            probation: vec![],
            kinds: vec![],
            has_idempotent: false,
        }
    }
}

impl Engine {
    /// Updates the request kinds and customers to the configuration.
    pub(super) fn configure_kinds(&mut self) {
        for (name, kind) in &self.config.request_kind {
            let key = self.kinds.key(name);
            let shortest_us = kind.shortest_run_ms * US_PER_MS;
            self.estimator.set_kind(key, shortest_us, kind.longest_run_ms * US_PER_MS);
        }
        for name in self.config.quota.keys() {
            self.customers.key(name);
        }
    }

    /// Updates the target groups to the configuration.
    ///
    /// A group that is no longer configured is kept while tasks are queued in it. It is
    /// then removed when a later configuration comes into force.
    pub(super) fn configure_groups(&mut self) {
        let config = self.config.clone();
        for name in config.target_group.keys() {
            let state = self
                .groups
                .entry(name.clone())
                .or_insert_with(|| Group::new(&self.setup));
            for priority in config.priority.values() {
                state.queue.set_floor(priority.rank, priority.floor_percent);
            }
            let kinds = config.request_kind.iter().filter(|(_, kind)| {
                let service = config.service.get(&kind.service);
                service.is_some_and(|service| service.target_group == *name)
            });
            state.has_idempotent = kinds.clone().any(|(_, kind)| kind.idempotent);
            state.kinds = kinds.filter_map(|(name, _)| self.kinds.find(name)).collect();
            for kind_name in config.request_kind.keys() {
                if let Some(key) = self.kinds.find(kind_name) {
                    state.placement.set_prior(key, self.estimator.kind_us(key, None));
                }
            }
        }
        let stale = |name: &GroupName, group: &Group| {
            !config.target_group.contains_key(name) && group.queue.is_empty()
        };
        self.groups.retain(|name, group| !stale(name, group));
    }
}
