//! What the engine writes to the account.

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
/// Two appends a second for each instance leave most of the log's several hundred to
/// others.
const BATCH_EVERY_MS: u64 = 500;

/// The time after which a failed append is repeated.
const RETRY_MS: u64 = 1_000;

/// The account of this incarnation on its way to the log.
#[derive(Debug)]
pub struct Ledger {
    /// The entries.
    chain: AccountWriter,
    /// Whether a batch is being appended.
    appending: bool,
    /// When the next batch may be formed.
    next_at: Timestamp,
}

impl Ledger {
    /// Starts the account of an incarnation.
    pub fn new(chain: AccountWriter) -> Self {
        Self { chain, appending: false, next_at: Timestamp::default() }
    }

    /// Adds an entry.
    pub fn record(&mut self, now: Timestamp, fact: Fact) {
        self.chain.record(now, fact);
    }

    /// Ends the account.
    pub fn close(&mut self, now: Timestamp) {
        self.chain.close(now);
        self.next_at = now;
    }

    /// Reports whether everything is in the log, the end included.
    pub fn is_finished(&self) -> bool {
        self.chain.is_finished()
    }

    /// Returns the entries that are not known to be in the log.
    pub fn buffered(&self) -> usize {
        self.chain.buffered()
    }

    /// Returns the entries that were dropped so far.
    pub fn dropped(&self) -> u64 {
        self.chain.dropped()
    }

    /// Orders the append of the next batch if one is due.
    fn append(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        let due = now >= self.next_at || self.chain.buffered() >= MAX_BATCH_ENTRIES;
        if self.appending || !due {
            return;
        }
        if let Some(batch) = self.chain.next_batch(now) {
            self.appending = true;
            self.next_at = now.plus_ms(BATCH_EVERY_MS);
            effects
                .push(Effect::AppendAccount { number: batch.number, text: batch.text });
        }
    }

    /// Takes in the end of an append.
    fn appended(&mut self, now: Timestamp, number: u64, confirmed: bool) {
        self.appending = false;
        match confirmed {
            true => self.chain.confirm_append(number),
            false => self.next_at = now.plus_ms(RETRY_MS),
        }
    }
}

impl Engine {
    /// Appends what is due to the account.
    pub(super) fn append_account(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        self.ledger.append(now, effects);
    }

    /// Takes in the end of an append to the account.
    pub(super) fn account_appended(
        &mut self,
        now: Timestamp,
        number: u64,
        confirmed: bool,
        effects: &mut Vec<Effect>,
    ) {
        self.ledger.appended(now, number, confirmed);
        if confirmed {
            self.ledger.append(now, effects);
        }
    }

    /// Records that the tasks of a submission entered their queue.
    pub(super) fn note_admitted(
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
            self.ledger.record(now, Fact::Admitted { subject, tasks, params });
        }
    }

    /// Records a refusal on arrival.
    pub(super) fn note_refused(
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
        self.ledger.record(now, fact);
    }

    /// Records that a task was sent to a target or offered to a peer.
    pub(super) fn note_started(
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
        self.ledger.record(now, fact);
    }

    /// Records the end of a send.
    pub(super) fn note_finished(
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
        self.ledger.record(now, Fact::Finished { subject, task, attempt, result });
    }

    /// Records the answer to a submission.
    pub(super) fn note_answered(
        &mut self,
        now: Timestamp,
        key: SubmissionKey,
        outcome: &Outcome,
    ) {
        let Some(subject) = self.subject(key) else { return };
        if let Outcome::Cancelled { started } = *outcome {
            let subject = subject.clone();
            self.ledger.record(now, Fact::Cancelled { subject, started });
        }
        let answer = AnswerKind::from(outcome);
        self.ledger.record(now, Fact::Answered { subject, answer });
    }

    /// Records that another configuration came into force.
    pub(super) fn note_policy(
        &mut self,
        now: Timestamp,
        from: ConfigVersion,
        to: ConfigVersion,
    ) {
        self.ledger.record(now, Fact::PolicyChange { from, to });
    }

    /// Describes a submission of this instance.
    fn subject(&self, key: SubmissionKey) -> Option<Subject> {
        let record = self.tenure.get(key)?;
        Some(Subject {
            submission: record.id.clone(),
            customer: self.customers.name(record.customer)?.clone(),
            kind: self.kinds.name(record.kind)?.clone(),
            config: record.config_version,
        })
    }
}

/// Returns the reason of a start, as the account states it.
pub(super) fn start_reason(pick: PickReason, ran_before: bool) -> StartReason {
    match pick {
        _ if ran_before => StartReason::Retry,
        PickReason::Order => StartReason::Order,
        PickReason::Floor => StartReason::Floor,
        PickReason::Fit => StartReason::Fit,
        PickReason::Requeued => StartReason::Requeued,
    }
}
