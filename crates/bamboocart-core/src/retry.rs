//! Retries and hedges: which tasks are sent again, and how often.

use crate::config::Resend;
use crate::target::SendReport;

/// The number of retries that are allowed for each 100 first sends.
pub const RETRY_PERCENT: u32 = 10;

/// The number of hedges that are allowed for each 100 first sends.
pub const HEDGE_PERCENT: u32 = 3;

/// The number of retries that a new instance may use before any first send.
///
/// Without this reserve, the loss of a target under low load would always lose its
/// requests.
pub const RETRY_RESERVE: u32 = 10;

/// The highest number of unused retries or hedges that a budget accumulates.
///
/// More would allow a burst of sends to targets that have just become overloaded.
pub const MAX_SAVED_SENDS: u32 = 100;

/// The credit that one retry or hedge costs; each first send deposits the percentage.
const CREDIT_PER_SEND: u32 = 100;

/// A budget that limits retries or hedges to a percentage of first sends.
#[derive(Debug, Clone)]
pub struct SendBudget {
    percent: u32,
    credit: u32,
}

impl SendBudget {
    /// Creates a budget of `percent` of first sends with an initial balance of `reserve`
    /// sends, at most [`MAX_SAVED_SENDS`].
    pub fn new(percent: u32, reserve: u32) -> Self {
        let credit = reserve.min(MAX_SAVED_SENDS) * CREDIT_PER_SEND;
        Self { percent, credit }
    }

    /// Creates the budget for retries, which may repeat a start.
    pub fn for_retries() -> Self {
        Self::new(RETRY_PERCENT, RETRY_RESERVE)
    }

    /// Creates the budget for hedges, which has no reserve.
    pub fn for_hedges() -> Self {
        Self::new(HEDGE_PERCENT, 0)
    }

    /// Deposits the credit for the first send of a task.
    pub fn deposit(&mut self) {
        let credit = self.credit.saturating_add(self.percent);
        self.credit = credit.min(MAX_SAVED_SENDS * CREDIT_PER_SEND);
    }

    /// Withdraws the credit for one retry or hedge and returns whether the balance
    /// allowed it.
    pub fn try_withdraw(&mut self) -> bool {
        let rest = self.credit.checked_sub(CREDIT_PER_SEND);
        self.credit = rest.unwrap_or(self.credit);
        rest.is_some()
    }
}

/// The properties of a request kind and its submission that decide on retries and hedges.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub struct SendRules {
    /// Whether the task may safely run twice.
    pub idempotent: bool,
    /// Whether a task that may have been started is sent again.
    pub resend: Resend,
    /// Whether a straggler is hedged by a send to a second target.
    pub hedge: bool,
    /// Whether the task belongs to a job, which rules out both.
    pub job: bool,
}

/// The rule for another send after the end of a send.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Hash)]
pub enum NextSend {
    /// No other send, because the task has its result.
    Done,
    /// Another send outside the retry budget, because the task provably did not start.
    Unbudgeted,
    /// Another send if the retry budget allows it, because the task may have started.
    Budgeted,
    /// No other send, because the task may have started and must not start twice.
    Never,
}

/// Returns the rule for another send after one that ended with `report`.
pub fn next_send(report: &SendReport, rules: SendRules) -> NextSend {
    let may_repeat = rules.idempotent && rules.resend == Resend::Budgeted && !rules.job;
    match report {
        SendReport::Result(_) => NextSend::Done,
        SendReport::Rejected(_) | SendReport::NotSent => NextSend::Unbudgeted,
        SendReport::TaskFailed | SendReport::Lost if may_repeat => NextSend::Budgeted,
        SendReport::TaskFailed | SendReport::Lost => NextSend::Never,
    }
}

/// Returns the time after its first send at which a straggler may be hedged, or `None` if
/// it must not be.
///
/// `p95_us` is the 95th percentile of the request kind's run times.
pub fn hedge_after_us(rules: SendRules, p95_us: u64) -> Option<u64> {
    let may_hedge = rules.idempotent && rules.hedge && !rules.job;
    may_hedge.then(|| p95_us.saturating_add(p95_us / 2))
}
