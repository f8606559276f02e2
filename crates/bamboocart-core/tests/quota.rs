//! Tests of quotas.

use std::collections::BTreeMap;

use bamboocart_core::config::Quota;
use bamboocart_core::id::CustomerName;
use bamboocart_core::quota::{QuotaError, QuotaTable};
use bamboocart_core::time::Timestamp;
use yare::parameterized;

const RATE: fn(u64) -> QuotaError = |retry_after_ms| QuotaError::Rate { retry_after_ms };
const IN_FLIGHT: QuotaError = QuotaError::InFlight { retry_after_ms: 250 };

fn table(starts_per_s: u32, burst: u32, in_flight: u32, live: u32) -> QuotaTable {
    let mut table = QuotaTable::default();
    table.set_live_instances(live, Timestamp::from_ms(0));
    table.configure(&quotas(starts_per_s, burst, in_flight), Timestamp::from_ms(0));
    table
}

fn quotas(
    starts_per_s: u32,
    burst: u32,
    in_flight: u32,
) -> BTreeMap<CustomerName, Quota> {
    [(customer(), Quota { weight: 1, starts_per_s, burst, in_flight })].into()
}

fn customer() -> CustomerName {
    "zarqa".into()
}

/// A step of a test, with its time in milliseconds where it has one.
enum Step {
    Admit(u64, u32, Result<(), QuotaError>),
    Finish(u32),
    Live(u64, u32),
}
use Step::{Admit, Finish, Live};

/// Guards against quotas that admit too much, that admit only a part of a job, that
/// report a wrong retry time, or that block a customer for ever.
#[parameterized(
    burst_then_rate = { table(10, 3, 99, 1), vec![
        Admit(0, 2, Ok(())), Admit(0, 2, Err(RATE(100))), Admit(99, 2, Err(RATE(1))),
        Admit(100, 2, Ok(())), Admit(100, 1, Err(RATE(100))),
    ]},
    saves_up_no_more_than_the_burst = { table(10, 3, 99, 1), vec![
        Admit(60_000, 3, Ok(())), Admit(60_000, 1, Err(RATE(100))),
    ]},
    in_flight = { table(10, 9, 3, 1), vec![
        Admit(0, 2, Ok(())), Admit(0, 2, Err(IN_FLIGHT)), Finish(1), Admit(0, 2, Ok(())),
    ]},
    refused_job_takes_nothing = { table(10, 5, 99, 1), vec![
        Admit(0, 3, Ok(())), Admit(0, 5, Err(RATE(300))), Admit(0, 2, Ok(())),
    ]},
    divided_by_instances = { table(10, 8, 99, 4), vec![
        Admit(0, 2, Ok(())), Admit(0, 1, Err(RATE(400))), Admit(400, 1, Ok(())),
    ]},
    job_above_the_share_is_paid_back = { table(10, 8, 8, 4), vec![
        Admit(0, 8, Ok(())), Admit(0, 1, Err(IN_FLIGHT)), Finish(8),
        Admit(0, 1, Err(RATE(2_800))), Admit(2_800, 1, Ok(())),
    ]},
    job_above_the_quota_can_never_run = { table(10, 8, 99, 1), vec![
        Admit(0, 9, Err(QuotaError::TooLarge)),
    ]},
    survivors_take_over_the_rate = { table(10, 4, 99, 4), vec![
        Admit(0, 1, Ok(())), Live(400, 1), Admit(400, 4, Err(RATE(300))),
        Admit(700, 4, Ok(())),
    ]},
    joining_instances_shrink_the_burst = { table(10, 8, 99, 1), vec![
        Live(0, 8), Admit(0, 1, Ok(())), Admit(0, 1, Err(RATE(800))),
    ]},
    small_quota_stays_usable = { table(1, 1, 1, 7), vec![
        Admit(0, 1, Ok(())), Finish(1), Admit(6_999, 1, Err(RATE(1))),
        Admit(7_000, 1, Ok(())),
    ]},
    time_going_back_adds_nothing = { table(10, 1, 99, 1), vec![
        Admit(50, 1, Ok(())), Admit(40, 1, Err(RATE(100))), Admit(50, 1, Err(RATE(100))),
    ]},
)]
fn limits(table: QuotaTable, steps: Vec<Step>) {
    let mut table = table;
    for (at, step) in steps.into_iter().enumerate() {
        match step {
            Admit(ms, tasks, expected) => {
                let got = table.admit(&customer(), tasks, Timestamp::from_ms(ms));
                assert_eq!(got, expected, "step {at}");
            }
            Finish(tasks) => table.finish(&customer(), tasks),
            Live(ms, live) => table.set_live_instances(live, Timestamp::from_ms(ms)),
        }
    }
}

/// Guards against rounding losses that starve a customer whose bucket is checked often.
#[test]
fn frequent_checks_lose_no_tokens() {
    let mut table = table(3, 1, u32::MAX, 7);
    let admitted = (0..7_000_000_u64)
        .step_by(10)
        .filter(|&us| table.admit(&customer(), 1, Timestamp::from_us(us)).is_ok())
        .count();
    assert_eq!(admitted, 3);
}

/// Guards against losing the in-flight count when a quota is removed and published again.
#[test]
fn reconfiguration_keeps_the_count() {
    let mut table = table(10, 9, 3, 1);
    let now = Timestamp::from_ms(0);
    assert_eq!(table.admit(&customer(), 3, now), Ok(()));
    table.configure(&BTreeMap::new(), now);
    assert_eq!(table.check(&customer(), 1, now), Err(QuotaError::UnknownCustomer));
    table.configure(&quotas(10, 9, 4), now);
    assert_eq!(table.in_flight(&customer()), 3);
    assert_eq!(table.admit(&customer(), 2, now), Err(IN_FLIGHT));
    assert_eq!(table.admit(&customer(), 1, now), Ok(()));
}
