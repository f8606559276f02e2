//! Which tasks are sent again, and how often.

use crate::config::Resend;
use crate::target::SendReport;

/// The retries that are allowed for each 100 first sends.
pub const RETRY_PERCENT: u32 = 10;

/// The hedges that are allowed for each 100 first sends.
pub const HEDGE_PERCENT: u32 = 3;

/// The retries that a new instance may use before it has earned any.
///
/// Without them, the loss of a target under low load would always lose its requests.
pub const RETRY_RESERVE: u32 = 10;

/// The number of unused retries or hedges that are kept.
///
/// More would allow a burst of sends to targets that have just become overloaded.
pub const MAX_SAVED_SENDS: u32 = 100;

/// The credit that one send costs; a first send earns its percentage.
const CREDIT_PER_SEND: u32 = 100;

/// A budget of further sends as a share of first sends.
#[derive(Debug, Clone)]
pub struct SendBudget {
    percent: u32,
    credit: u32,
}

impl SendBudget {
    /// Creates a budget of `percent` of first sends that starts with `reserve` sends.
    pub fn new(percent: u32, reserve: u32) -> Self {
        let credit = reserve.min(MAX_SAVED_SENDS) * CREDIT_PER_SEND;
        Self { percent, credit }
    }

    /// Creates the budget for sends that may repeat a start.
    pub fn for_retries() -> Self {
        Self::new(RETRY_PERCENT, RETRY_RESERVE)
    }

    /// Creates the budget for hedges.
    pub fn for_hedges() -> Self {
        Self::new(HEDGE_PERCENT, 0)
    }

    /// Counts the first send of a task.
    pub fn deposit(&mut self) {
        let credit = self.credit.saturating_add(self.percent);
        self.credit = credit.min(MAX_SAVED_SENDS * CREDIT_PER_SEND);
    }

    /// Takes one further send and returns whether the budget allows it.
    pub fn try_withdraw(&mut self) -> bool {
        let rest = self.credit.checked_sub(CREDIT_PER_SEND);
        self.credit = rest.unwrap_or(self.credit);
        rest.is_some()
    }
}

/// What a request kind and its submission say about further sends.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub struct SendRules {
    /// Whether running the task twice does no harm.
    pub idempotent: bool,
    /// Whether a send that may have started is sent again.
    pub resend: Resend,
    /// Whether a straggler is sent to a second target.
    pub hedge: bool,
    /// Whether the task belongs to a job.
    pub job: bool,
}

/// What may follow the end of a send.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Hash)]
pub enum NextSend {
    /// Nothing: the task has its result.
    Done,
    /// Another send, because the task provably did not start.
    Unbudgeted,
    /// Another send if the retry budget allows it.
    Budgeted,
    /// Nothing: the task may have started and must not start twice.
    Never,
}

/// Returns what may follow a send that ended with `report`.
pub fn next_send(report: &SendReport, rules: SendRules) -> NextSend {
    let may_repeat = rules.idempotent && rules.resend == Resend::Budgeted && !rules.job;
    match report {
        SendReport::Result(_) => NextSend::Done,
        SendReport::Rejected(_) | SendReport::NotSent => NextSend::Unbudgeted,
        SendReport::TaskFailed | SendReport::Lost if may_repeat => NextSend::Budgeted,
        SendReport::TaskFailed | SendReport::Lost => NextSend::Never,
    }
}

/// Returns when a straggler may be sent to a second target, counted from its first send.
///
/// `p95_us` is the time within which 95% of the request kind's runs end.
pub fn hedge_after_us(rules: SendRules, p95_us: u64) -> Option<u64> {
    let may_hedge = rules.idempotent && rules.hedge && !rules.job;
    may_hedge.then(|| p95_us.saturating_add(p95_us / 2))
}
