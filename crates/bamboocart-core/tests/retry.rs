//! Tests of the rules for further sends.

use bamboocart_core::config::Resend;
use bamboocart_core::retry::{
    MAX_SAVED_SENDS, NextSend, SendBudget, SendRules, hedge_after_us, next_send,
};
use bamboocart_core::target::{RejectReason, SendReport};
use bytes::Bytes;
use yare::parameterized;

/// Guards against a second start of a task that must start once, and against lost sends
/// that could have been repeated. The columns are all combinations of `idempotent`,
/// `resend = budgeted` and `job`, the last one changing fastest.
#[parameterized(
    result = { SendReport::Result(Bytes::new()), "dddddddd" },
    task_failed = { SendReport::TaskFailed, "nnnnnnbn" },
    lost = { SendReport::Lost, "nnnnnnbn" },
    not_sent = { SendReport::NotSent, "eeeeeeee" },
    busy = { SendReport::Rejected(RejectReason::Busy), "eeeeeeee" },
    leaving = { SendReport::Rejected(RejectReason::Leaving), "eeeeeeee" },
    lease = { SendReport::Rejected(RejectReason::Lease), "eeeeeeee" },
)]
fn further_sends(report: SendReport, expected: &str) {
    for (bits, expected) in expected.chars().enumerate() {
        let rules = SendRules {
            idempotent: bits & 4 != 0,
            resend: if bits & 2 != 0 { Resend::Budgeted } else { Resend::Never },
            hedge: true,
            job: bits & 1 != 0,
        };
        let got = match next_send(&report, rules) {
            NextSend::Done => 'd',
            NextSend::Unbudgeted => 'e',
            NextSend::Budgeted => 'b',
            NextSend::Never => 'n',
        };
        assert_eq!(got, expected, "{rules:?}");
    }
}

/// Guards against hedges of tasks that must not run twice.
#[test]
fn hedges() {
    for bits in 0..8 {
        let rules = SendRules {
            idempotent: bits & 4 != 0,
            resend: Resend::Budgeted,
            hedge: bits & 2 != 0,
            job: bits & 1 != 0,
        };
        let expected = (bits == 6).then_some(150);
        assert_eq!(hedge_after_us(rules, 100), expected, "{rules:?}");
    }
}

/// Guards against budgets that are exceeded, that round a share away, or that save up for
/// a storm of retries.
#[parameterized(
    hedges = { SendBudget::for_hedges(), 1_000, 30 },
    hedges_at_low_load = { SendBudget::for_hedges(), 33, 0 },
    retries = { SendBudget::for_retries(), 500, 60 },
    retries_of_a_new_instance = { SendBudget::for_retries(), 0, 10 },
    saved_up = { SendBudget::for_retries(), 1_000_000, MAX_SAVED_SENDS },
)]
fn budgets(budget: SendBudget, first_sends: u32, expected: u32) {
    let mut budget = budget;
    (0..first_sends).for_each(|_| budget.deposit());
    let taken = (0..10_000).filter(|_| budget.try_withdraw()).count();
    assert_eq!(taken, expected as usize);
}
