//! Tests of the checks on arrival.

use bamboocart_core::admission::{Context, check, start_margin_us};
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
    margin_us: 50_000,
    work_ahead_us: 600_000,
    slots: 10,
    queue_room: 10,
    registry_room: 1,
    quota: Ok(()),
};

fn refused(code: RefusalCode, retry_after_ms: Option<u64>) -> Result<(), Refusal> {
    Err(Refusal { code, retry_after_ms })
}

/// Guards against a check that is left out, against temporary reasons that hide permanent
/// ones, and against retry times where no retry can succeed.
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
        Context { queue_room: 9, ..PASSES }, refused(RefusalCode::Overloaded, Some(60)),
    },
    registry_is_full = {
        Context { registry_room: 0, work_ahead_us: 0, ..PASSES },
        refused(RefusalCode::Overloaded, Some(50)),
    },
    starts_too_late_behind_others = {
        Context { work_ahead_us: 1_200_000, ..PASSES },
        refused(RefusalCode::DeadlineUnreachable, Some(60)),
    },
    starts_too_late_for_a_probable_run = {
        Context { margin_us: 60_000, ..PASSES },
        refused(RefusalCode::DeadlineUnreachable, Some(50)),
    },
    too_large_for_its_deadline = {
        Context { own_work_us: 4_000_000, ..PASSES },
        refused(RefusalCode::DeadlineUnreachable, None),
    },
    unknown_fastest_run_refuses_nothing = {
        Context { fastest_us: None, margin_us: 0, work_ahead_us: 1_100_000, ..PASSES }, Ok(()),
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

/// Guards against targets that are filled with runs which end after their deadline, and
/// against refusals of every request whose deadline is short for its kind.
#[parameterized(
    probable_run = { 3_000, 900, Some(50), 900 },
    at_most_half_of_the_time = { 1_000, 900, Some(50), 500 },
    never_below_the_fastest_run = { 1_000, 900, Some(700), 700 },
    nothing_learned = { 3_000, 0, None, 0 },
)]
fn margin(time_left_us: u64, p95_us: u64, fastest_us: Option<u64>, expected_us: u64) {
    assert_eq!(start_margin_us(time_left_us, p95_us, fastest_us), expected_us);
}
