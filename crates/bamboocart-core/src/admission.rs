//! The checks that a submission passes on arrival.

use crate::outcome::{Refusal, RefusalCode};
use crate::quota::{self, QuotaError};
use crate::time::US_PER_MS;

/// The result of the checks.
pub type Result<T = (), E = Refusal> = std::result::Result<T, E>;

/// The wait that is advised when targets or a configuration are missing.
///
/// Membership and configuration are learned anew about once a second.
pub const NOT_READY_RETRY_MS: u64 = 1_000;

/// The shortest wait that is advised when the instance is overloaded.
pub const SHORTEST_OVERLOAD_RETRY_MS: u64 = 50;

/// The longest wait that is advised when the instance is overloaded.
pub const LONGEST_OVERLOAD_RETRY_MS: u64 = 5_000;

/// What the checks need to know of a submission and of the instance.
#[derive(Debug, Copy, Clone)]
pub struct Context {
    /// Whether a configuration is in force.
    pub configured: bool,
    /// Whether the instance is stopping.
    pub draining: bool,
    /// Whether the customer has a quota.
    pub customer_known: bool,
    /// Whether the request kind is configured.
    pub kind_known: bool,
    /// Whether each task fits on the largest target.
    pub can_run: bool,
    /// The number of tasks, 1 for a request.
    pub tasks: u32,
    /// The expected run time of all tasks together.
    pub own_work_us: u64,
    /// The time until the deadline.
    pub time_left_us: u64,
    /// The run time that almost no task of the request kind undercuts, if it is known.
    pub fastest_us: Option<u64>,
    /// The time that a task must have from its start to its deadline.
    pub needed_us: u64,
    /// The expected run time of the tasks that are queued ahead.
    pub work_ahead_us: u64,
    /// The slots of the usable targets, which is the work done per unit of time.
    pub slots: u32,
    /// The number of tasks that the queue has room for.
    pub queue_room: usize,
    /// The number of submissions that the registry has room for.
    pub registry_room: usize,
    /// What the quota says.
    pub quota: quota::Result<()>,
}

/// Checks a submission and names the first reason to refuse it.
///
/// Reasons that hold whenever the request is sent come first. The quota comes last, so
/// that a submission that is refused for another reason takes nothing from it.
pub fn check(context: &Context) -> Result {
    check_request(context)?;
    check_room(context)?;
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

/// Checks that there are targets and room for the whole submission.
fn check_room(context: &Context) -> Result {
    if context.slots == 0 {
        return Err(refusal(RefusalCode::NoTarget, Some(NOT_READY_RETRY_MS)));
    }
    let queue_is_full = context.queue_room < context.tasks as usize;
    if queue_is_full || context.registry_room == 0 {
        let wait_ms = context.work_ahead_us / u64::from(context.slots) / US_PER_MS;
        return Err(refusal(RefusalCode::Overloaded, Some(clamp(wait_ms))));
    }
    Ok(())
}

/// Checks that the last task is expected to start while it can still end in time.
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
    // Waiting helps only as far as the queued work goes, not against the job's own size.
    let late_us = start_us - latest_start_us;
    let can_improve = late_us <= context.work_ahead_us / slots;
    let retry_after_ms = can_improve.then(|| clamp(late_us.div_ceil(US_PER_MS)));
    Err(refusal(RefusalCode::DeadlineUnreachable, retry_after_ms))
}

/// Returns the time that a task must have from its start to its deadline.
///
/// A task that is started later would usually hold a slot and still be late. A deadline
/// that is shorter than usual runs leaves half of its time for the queue, since the
/// caller may know that the task is short.
pub fn needed_us(
    usual_us: Option<u64>,
    fastest_us: Option<u64>,
    time_left_us: u64,
) -> u64 {
    let usual_us = usual_us.unwrap_or(0).min(time_left_us / 2);
    usual_us.max(fastest_us.unwrap_or(0))
}

/// Clamps the wait that is advised for overload.
fn clamp(wait_ms: u64) -> u64 {
    wait_ms.clamp(SHORTEST_OVERLOAD_RETRY_MS, LONGEST_OVERLOAD_RETRY_MS)
}

/// Creates a refusal.
fn refusal(code: RefusalCode, retry_after_ms: Option<u64>) -> Refusal {
    Refusal { code, retry_after_ms }
}
