//! Tests of the admission checks.

use bamboocart_core::admission::{Context, check, needed_us};
use bamboocart_core::outcome::{Refusal, RefusalCode};
use bamboocart_core::quota::QuotaError;
use yare::parameterized;

/// A job of 10 tasks of 100 ms that passes all checks.
const PASSES: Context = Context {
    configured: true,
    draining: false,
    customer_known: true,
    kind_known: true,
    can_run: true,
    tasks: 10,
    own_work_us: 1_000_000,
    time_left_us: 200_000,
    fastest_us: Some(50_000),
    needed_us: 50_000,
    work_ahead_us: 600_000,
    slots: 10,
    free_queue_capacity: 10,
    free_registry_capacity: 1,
    quota: Ok(()),
};

fn refused(code: RefusalCode, retry_after_ms: Option<u64>) -> Result<(), Refusal> {
    Err(Refusal { code, retry_after_ms })
}

/// Guards against a check that is left out, against temporary reasons that hide permanent
/// ones, and against advised retries that cannot succeed.
#[parameterized(
    passes = { PASSES, Ok(()) },
    not_configured = {
        Context { configured: false, customer_known: false, ..PASSES },
        refused(RefusalCode::NotConfigured, Some(1_000)),
    },
    unknown_customer = {
        Context { customer_known: false, draining: true, ..PASSES },
        refused(RefusalCode::UnknownCustomer, None),
    },
    unknown_kind = {
        Context { kind_known: false, slots: 0, ..PASSES },
        refused(RefusalCode::UnknownKind, None),
    },
    can_never_run = {
        Context { can_run: false, slots: 0, ..PASSES },
        refused(RefusalCode::CanNeverRun, None),
    },
    draining = {
        Context { draining: true, ..PASSES }, refused(RefusalCode::Draining, Some(1_000)),
    },
    shorter_than_the_fastest_run = {
        Context { time_left_us: 49_999, ..PASSES },
        refused(RefusalCode::DeadlineUnreachable, None),
    },
    no_target = {
        Context { slots: 0, ..PASSES }, refused(RefusalCode::NoTarget, Some(1_000)),
    },
    queue_has_no_room_for_the_whole_job = {
        Context { free_queue_capacity: 9, ..PASSES },
        refused(RefusalCode::Overloaded, Some(60)),
    },
    registry_is_full = {
        Context { free_registry_capacity: 0, work_ahead_us: 0, ..PASSES },
        refused(RefusalCode::Overloaded, Some(50)),
    },
    starts_too_late_behind_others = {
        Context { work_ahead_us: 1_200_000, ..PASSES },
        refused(RefusalCode::DeadlineUnreachable, Some(60)),
    },
    too_large_for_its_deadline = {
        Context { own_work_us: 4_000_000, ..PASSES },
        refused(RefusalCode::DeadlineUnreachable, None),
    },
    unknown_fastest_run_refuses_nothing = {
        Context { fastest_us: None, needed_us: 0, work_ahead_us: 1_100_000, ..PASSES },
        Ok(()),
    },
    quota_exhausted = {
        Context { quota: Err(QuotaError::Rate { retry_after_ms: 7 }), ..PASSES },
        refused(RefusalCode::QuotaExhausted, Some(7)),
    },
    above_the_quota = {
        Context { quota: Err(QuotaError::TooLarge), ..PASSES },
        refused(RefusalCode::QuotaExhausted, None),
    },
)]
fn checks(context: Context, expected: Result<(), Refusal>) {
    assert_eq!(check(&context), expected);
}

/// Guards against admitting tasks that would start too late to end in time, and against
/// refusing short deadlines that could be met.
#[parameterized(
    nothing_is_known = { None, None, 1_000, 0 },
    only_the_fastest_is_known = { None, Some(50), 1_000, 50 },
    usual_runs_fit = { Some(400), Some(50), 1_000, 400 },
    deadline_is_short = { Some(900), Some(50), 1_000, 500 },
    deadline_is_shorter_than_two_fastest_runs = { Some(900), Some(50), 80, 50 },
)]
fn leaves_time_to_run(
    learned_p95_us: Option<u64>,
    fastest_us: Option<u64>,
    time_left_us: u64,
    expected_us: u64,
) {
    assert_eq!(needed_us(learned_p95_us, fastest_us, time_left_us), expected_us);
}
