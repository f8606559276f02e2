//! Writing the account: which entries the engine records, and their append to the log.

use crate::account::{
    AccountWriter, AnswerKind, Fact, FinishResult, MAX_BATCH_ENTRIES, SchedulingParams,
    StartReason, Subject, TaskRange,
};
use crate::engine::admit::Plan;
use crate::engine::record::{AttemptState, QueuedTask, RunPlace, SubmissionKey};
use crate::engine::{Effect, Engine, NewSubmission};
use crate::id::{Attempt, ConfigVersion, SubmissionId, TargetName, TaskIndex};
use crate::outcome::{Outcome, Refusal};
use crate::queue::PickReason;
use crate::target::SendReport;
use crate::time::Timestamp;

/// The longest time that an entry waits for its batch to be formed.
///
/// At two appends a second, each instance leaves most of the log's several hundred to
/// others.
const BATCH_INTERVAL_MS: u64 = 500;

/// The delay after which a failed append is repeated.
const APPEND_RETRY_MS: u64 = 1_000;

/// Writes the account of this incarnation to the log, one batch at a time.
#[derive(Debug)]
pub struct AccountAppender {
    /// The entries that are not known to be in the log.
    chain: AccountWriter,
    /// Whether an append is in progress.
    appending: bool,
    /// The earliest time for the next batch.
    next_at: Timestamp,
}

impl AccountAppender {
    pub fn new(chain: AccountWriter) -> Self {
        Self { chain, appending: false, next_at: Timestamp::default() }
    }

    pub fn record(&mut self, now: Timestamp, fact: Fact) {
        self.chain.record(now, fact);
    }

    /// Ends the account; its last batch is due at once.
    pub fn close(&mut self, now: Timestamp) {
        self.chain.close(now);
        self.next_at = now;
    }

    /// Reports whether everything is in the log, the end included.
    pub fn is_finished(&self) -> bool {
        self.chain.is_finished()
    }

    /// Returns the number of entries that are not known to be in the log.
    pub fn buffered(&self) -> usize {
        self.chain.buffered()
    }

    /// Returns the number of entries that were dropped so far.
    pub fn dropped(&self) -> u64 {
        self.chain.dropped()
    }

    /// Emits the append of the next batch if one is due.
    fn append(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        let due = now >= self.next_at || self.chain.buffered() >= MAX_BATCH_ENTRIES;
        if self.appending || !due {
            return;
        }
        if let Some(batch) = self.chain.next_batch(now) {
            self.appending = true;
            self.next_at = now.plus_ms(BATCH_INTERVAL_MS);
            effects
                .push(Effect::AppendAccount { number: batch.number, text: batch.text });
        }
    }

    /// Handles the end of an append.
    fn appended(&mut self, now: Timestamp, number: u64, confirmed: bool) {
        self.appending = false;
        match confirmed {
            true => self.chain.confirm_append(number),
            false => self.next_at = now.plus_ms(APPEND_RETRY_MS),
        }
    }
}

impl Engine {
    /// Appends the entries that are due.
    pub(super) fn append_account(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        self.account.append(now, effects);
    }

    /// Handles the end of an append to the account.
    pub(super) fn account_appended(
        &mut self,
        now: Timestamp,
        number: u64,
        confirmed: bool,
        effects: &mut Vec<Effect>,
    ) {
        self.account.appended(now, number, confirmed);
        if confirmed {
            self.account.append(now, effects);
        }
    }

    /// Records that the tasks of a submission entered their queue, with one entry for
    /// each run of tasks of equal cost.
    pub(super) fn record_admitted(
        &mut self,
        now: Timestamp,
        key: SubmissionKey,
        plan: &Plan,
    ) {
        let Some(subject) = self.subject(key) else { return };
        let Some(group) = self.groups.get_mut(&plan.group) else { return };
        let mut first = 0;
        for costs in plan.costs_us.chunk_by(|a, b| a == b) {
            let count = u16::try_from(costs.len()).unwrap_or(u16::MAX);
            let arrival = group.next_arrival;
            group.next_arrival += u64::from(count);
            let params = SchedulingParams {
                queue: plan.group.clone(),
                rank: plan.rank,
                weight: plan.weight,
                cost_us: costs.first().copied().unwrap_or_default().into(),
                arrival,
            };
            let tasks = TaskRange { first: TaskIndex(first), count };
            first += count;
            let subject = subject.clone();
            self.account.record(now, Fact::Admitted { subject, tasks, params });
        }
    }

    /// Records a refusal on arrival.
    pub(super) fn record_refused(
        &mut self,
        now: Timestamp,
        id: Option<SubmissionId>,
        submission: &NewSubmission,
        refusal: Refusal,
    ) {
        let fact = Fact::Refused {
            submission: id,
            customer: submission.customer.clone(),
            kind: submission.kind.clone(),
            config: self.config_version,
            code: refusal.code,
        };
        self.account.record(now, fact);
    }

    /// Records that a task was sent to a target or offered to a peer.
    pub(super) fn record_started(
        &mut self,
        now: Timestamp,
        queued: QueuedTask,
        (number, place): (Attempt, RunPlace),
        reason: StartReason,
    ) {
        let Some(subject) = self.subject(queued.submission) else { return };
        let target = match place {
            RunPlace::Target(key) => {
                self.targets.get(key).map(|target| target.info.name.clone())
            }
            RunPlace::Peer(key) => self.pending.get(key).map(|pending| {
                TargetName::from(format!("instance {}", pending.peer_name()))
            }),
        };
        let fact = Fact::Started {
            subject,
            task: TaskIndex(queued.task),
            attempt: number,
            target: target.unwrap_or_else(|| "unknown".into()),
            reason,
        };
        self.account.record(now, fact);
    }

    /// Records the end of a send.
    pub(super) fn record_finished(
        &mut self,
        now: Timestamp,
        queued: QueuedTask,
        (state, stopped): (&AttemptState, bool),
        report: &SendReport,
    ) {
        let Some(subject) = self.subject(queued.submission) else { return };
        let result = match report {
            SendReport::Rejected(_) | SendReport::NotSent => FinishResult::NotStarted,
            SendReport::Result(_) => FinishResult::Complete,
            _ if stopped => FinishResult::Stopped,
            SendReport::TaskFailed => FinishResult::Failed,
            SendReport::Lost => FinishResult::Lost,
        };
        let (task, attempt) = (state.task, state.number);
        self.account.record(now, Fact::Finished { subject, task, attempt, result });
    }

    /// Records the answer to a submission, after its cancellation if it was cancelled.
    pub(super) fn record_answered(
        &mut self,
        now: Timestamp,
        key: SubmissionKey,
        outcome: &Outcome,
    ) {
        let Some(subject) = self.subject(key) else { return };
        if let Outcome::Cancelled { started } = *outcome {
            let subject = subject.clone();
            self.account.record(now, Fact::Cancelled { subject, started });
        }
        let answer = AnswerKind::from(outcome);
        self.account.record(now, Fact::Answered { subject, answer });
    }

    /// Records that another configuration came into force.
    pub(super) fn record_policy_change(
        &mut self,
        now: Timestamp,
        from: ConfigVersion,
        to: ConfigVersion,
    ) {
        self.account.record(now, Fact::PolicyChange { from, to });
    }

    /// Returns the description of a submission that entries refer to.
    fn subject(&self, key: SubmissionKey) -> Option<Subject> {
        let record = self.ownership.get(key)?;
        Some(Subject {
            submission: record.id.clone(),
            customer: self.customers.name(record.customer)?.clone(),
            kind: self.kinds.name(record.kind)?.clone(),
            config: record.config_version,
        })
    }
}

/// Returns the reason of a start as the account states it.
pub(super) fn start_reason(pick: PickReason, ran_before: bool) -> StartReason {
    match pick {
        _ if ran_before => StartReason::Retry,
        PickReason::Order => StartReason::Order,
        PickReason::Floor => StartReason::Floor,
        PickReason::Fit => StartReason::Fit,
        PickReason::Requeued => StartReason::Requeued,
    }
}
