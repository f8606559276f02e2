//! Admission: planning how a submission is run, or refusing it.

use crate::admission::{self, Context};
use crate::config::{RequestKind, TargetGroup};
use crate::engine::names::{CustomerKey, KindKey};
use crate::engine::{Engine, NewSubmission};
use crate::id::{ConfigVersion, GroupName, PriorityName};
use crate::outcome::Refusal;
use crate::retry::SendRules;
use crate::time::{Timestamp, US_PER_MS};

/// How a submission will be run.
#[derive(Debug, Clone)]
pub struct Plan {
    pub customer: CustomerKey,
    pub kind: KindKey,
    pub group: GroupName,
    pub priority: PriorityName,
    /// The rules for retries and hedges.
    pub rules: SendRules,
    pub rank: u8,
    /// The weight of the customer in fair queueing.
    pub weight: u32,
    /// The expected run time of each task.
    pub costs_us: Vec<u32>,
    /// The configuration that the plan is based on.
    pub config_version: ConfigVersion,
    pub deadline: Timestamp,
    /// The latest start that can still end in time.
    pub start_by: Timestamp,
}

impl Engine {
    /// Plans a submission, or returns the reason to refuse it.
    pub(super) fn plan(
        &mut self,
        now: Timestamp,
        submission: &NewSubmission,
    ) -> Result<Plan, Refusal> {
        let config = self.config.clone();
        let quota = config.quota.get(&submission.customer);
        let kind = config.request_kind.get(&submission.kind);
        let kind_key = self.kinds.find(&submission.kind).unwrap_or_default();
        let customer = self.customers.find(&submission.customer).unwrap_or_default();
        let group_name = kind
            .and_then(|kind| config.service.get(&kind.service))
            .map(|service| service.target_group.clone());
        let target_group = group_name.as_ref().and_then(|n| config.target_group.get(n));
        let priority = kind.and_then(|kind| config.priority.get(&kind.priority));
        let rank = priority.map_or(u8::MAX, |priority| priority.rank);
        let costs_us: Vec<u32> = submission
            .tasks
            .iter()
            .map(|task| {
                let declared_us = task.declared_ms.map(|ms| ms.saturating_mul(US_PER_MS));
                let cost_us = self.estimator.kind_us(kind_key, declared_us);
                u32::try_from(cost_us.max(1)).unwrap_or(u32::MAX)
            })
            .collect();
        let default_ms = kind.map_or(0, |kind| kind.deadline_ms);
        let time_left_ms = submission.deadline_ms.unwrap_or(default_ms);
        let fastest_us = self.estimator.fastest_us(kind_key);
        let learned_p95_us = self.estimator.learned_p95_us(kind_key);
        let time_left_us = time_left_ms.saturating_mul(US_PER_MS);
        let needed_us = admission::needed_us(learned_p95_us, fastest_us, time_left_us);
        let tasks = submission.tasks.len() as u32;
        let group = group_name.as_ref().and_then(|name| self.groups.get(name));
        let slots = group_name.as_ref().map_or(0, |name| self.usable_slots(name));
        admission::check(&Context {
            configured: self.config_version.0 > 0,
            draining: !self.ownership.is_serving(),
            customer_known: quota.is_some(),
            kind_known: target_group.is_some() && priority.is_some(),
            can_run: target_group.is_some_and(|group| fits(submission, group)),
            tasks,
            own_work_us: costs_us.iter().map(|&us| u64::from(us)).sum(),
            time_left_us,
            fastest_us,
            needed_us,
            work_ahead_us: group.map_or(0, |group| group.queue.work_ahead_us(rank)),
            slots,
            free_queue_capacity: group.map_or(0, |group| group.queue.free_capacity()),
            free_registry_capacity: self
                .setup
                .limits
                .max_open
                .saturating_sub(self.ownership.open()),
            quota: self.quotas.check(&submission.customer, tasks, now),
        })?;
        let deadline = now.plus_ms(time_left_ms);
        let start_by_us = deadline.as_us().saturating_sub(needed_us);
        Ok(Plan {
            customer,
            kind: kind_key,
            group: group_name.unwrap_or_else(|| "".into()),
            priority: kind.map_or_else(|| "".into(), |kind| kind.priority.clone()),
            rules: kind.map_or(NO_RULES, |kind| rules(kind, submission.job)),
            rank,
            weight: quota.map_or(1, |quota| quota.weight),
            costs_us,
            config_version: self.config_version,
            deadline,
            start_by: Timestamp::from_us(start_by_us),
        })
    }

    /// Returns the slots that tasks of a group can use: those of this instance and those
    /// that peers have reported as free.
    fn usable_slots(&self, group: &GroupName) -> u32 {
        let own = self.own_slots(group);
        own.saturating_add(self.peer_share(group))
    }
}

/// The rules for a submission whose request kind is unknown and which is never sent.
const NO_RULES: SendRules = SendRules {
    idempotent: false,
    resend: crate::config::Resend::Never,
    hedge: false,
    job: true,
};

/// Returns the rules for retries and hedges of a request kind.
fn rules(kind: &RequestKind, job: bool) -> SendRules {
    let RequestKind { idempotent, resend, hedge, .. } = *kind;
    SendRules { idempotent, resend, hedge, job }
}

/// Reports whether each task fits on the largest target of a group.
fn fits(submission: &NewSubmission, group: &TargetGroup) -> bool {
    submission.tasks.iter().all(|task| {
        group.cpus.is_none_or(|cpus| task.cpus <= cpus)
            && group.memory_mb.is_none_or(|memory_mb| task.memory_mb <= memory_mb)
    })
}
