//! Admission control: the checks that a submission passes on arrival.

use crate::outcome::{Refusal, RefusalCode};
use crate::quota::{self, QuotaError};
use crate::time::US_PER_MS;

/// The result of an admission check; the error is the refusal to return.
pub type Result<T = (), E = Refusal> = std::result::Result<T, E>;

/// The retry delay that is advised while the configuration or targets are missing, or
/// while the instance drains.
///
/// Membership and configuration are refreshed about once a second.
pub const NOT_READY_RETRY_MS: u64 = 1_000;

/// The shortest retry delay that is advised when the instance is overloaded.
pub const SHORTEST_OVERLOAD_RETRY_MS: u64 = 50;

/// The longest retry delay that is advised when the instance is overloaded.
pub const LONGEST_OVERLOAD_RETRY_MS: u64 = 5_000;

/// The facts about a submission and the instance that the checks depend on.
#[derive(Debug, Copy, Clone)]
pub struct Context {
    /// Whether a configuration is in force.
    pub configured: bool,
    /// Whether the instance is draining and admits nothing more.
    pub draining: bool,
    /// Whether the customer has a quota.
    pub customer_known: bool,
    /// Whether the request kind is configured.
    pub kind_known: bool,
    /// Whether each task fits on the largest target of the group.
    pub can_run: bool,
    /// The number of tasks, 1 for a request.
    pub tasks: u32,
    /// The expected run time of all tasks of the submission together.
    pub own_work_us: u64,
    /// The time until the deadline of the submission.
    pub time_left_us: u64,
    /// The run time that almost no task of the request kind undercuts, if it is known.
    pub fastest_us: Option<u64>,
    /// The time that a task must have from its start to its deadline, see [`needed_us`].
    pub needed_us: u64,
    /// The expected run time of the tasks that are queued ahead.
    pub work_ahead_us: u64,
    /// The slots of the usable targets, and so the work that is done per unit of time.
    pub slots: u32,
    /// The number of further tasks that the queue has room for.
    pub free_queue_capacity: usize,
    /// The number of further submissions that the registry has room for.
    pub free_registry_capacity: usize,
    /// The result of the check against the customer's quota.
    pub quota: quota::Result<()>,
}

/// Checks a submission and returns the first reason to refuse it.
///
/// Reasons that hold whenever the submission is sent come first. The quota comes last, so
/// that a submission that is refused for another reason does not consume any of it.
pub fn check(context: &Context) -> Result {
    check_request(context)?;
    check_capacity(context)?;
    check_deadline(context)?;
    context.quota.map_err(|error| match error {
        QuotaError::UnknownCustomer => refusal(RefusalCode::UnknownCustomer, None),
        _ => refusal(RefusalCode::QuotaExhausted, error.retry_after_ms()),
    })
}

/// Checks what does not depend on the load.
fn check_request(context: &Context) -> Result {
    let too_short = context.fastest_us.unwrap_or(0) > context.time_left_us;
    match context {
        Context { configured: false, .. } => {
            Err(refusal(RefusalCode::NotConfigured, Some(NOT_READY_RETRY_MS)))
        }
        Context { customer_known: false, .. } => {
            Err(refusal(RefusalCode::UnknownCustomer, None))
        }
        Context { kind_known: false, .. } => Err(refusal(RefusalCode::UnknownKind, None)),
        Context { can_run: false, .. } => Err(refusal(RefusalCode::CanNeverRun, None)),
        Context { draining: true, .. } => {
            Err(refusal(RefusalCode::Draining, Some(NOT_READY_RETRY_MS)))
        }
        _ if too_short => Err(refusal(RefusalCode::DeadlineUnreachable, None)),
        _ => Ok(()),
    }
}

/// Checks that there are targets and that the whole submission fits into the queue and
/// the registry.
fn check_capacity(context: &Context) -> Result {
    if context.slots == 0 {
        return Err(refusal(RefusalCode::NoTarget, Some(NOT_READY_RETRY_MS)));
    }
    let queue_is_full = context.free_queue_capacity < context.tasks as usize;
    if queue_is_full || context.free_registry_capacity == 0 {
        let wait_ms = context.work_ahead_us / u64::from(context.slots) / US_PER_MS;
        return Err(refusal(RefusalCode::Overloaded, Some(clamp(wait_ms))));
    }
    Ok(())
}

/// Checks that the last task is expected to start early enough to end in time.
fn check_deadline(context: &Context) -> Result {
    let slots = u64::from(context.slots.max(1));
    let last_task_us = context.own_work_us / u64::from(context.tasks.max(1));
    let work_before_us =
        context.work_ahead_us.saturating_add(context.own_work_us - last_task_us);
    let start_us = work_before_us / slots;
    let latest_start_us = context.time_left_us.saturating_sub(context.needed_us);
    if start_us <= latest_start_us {
        return Ok(());
    }
    // A later retry saves at most the wait for the work queued ahead. It cannot make up
    // for the size of the submission itself.
    let late_us = start_us - latest_start_us;
    let can_improve = late_us <= context.work_ahead_us / slots;
    let retry_after_ms = can_improve.then(|| clamp(late_us.div_ceil(US_PER_MS)));
    Err(refusal(RefusalCode::DeadlineUnreachable, retry_after_ms))
}

/// Returns the time that a task must have from its start to its deadline.
///
/// A task that starts later would usually occupy a slot and still miss the deadline. If
/// the deadline is shorter than usual runs, half of the time is left for the queue, since
/// the caller may know that the task is short.
pub fn needed_us(
    learned_p95_us: Option<u64>,
    fastest_us: Option<u64>,
    time_left_us: u64,
) -> u64 {
    let learned_p95_us = learned_p95_us.unwrap_or(0).min(time_left_us / 2);
    learned_p95_us.max(fastest_us.unwrap_or(0))
}

/// Clamps a retry delay that is advised under overload to its bounds.
fn clamp(wait_ms: u64) -> u64 {
    wait_ms.clamp(SHORTEST_OVERLOAD_RETRY_MS, LONGEST_OVERLOAD_RETRY_MS)
}

fn refusal(code: RefusalCode, retry_after_ms: Option<u64>) -> Refusal {
    Refusal { code, retry_after_ms }
}
