//! Answers: queries, cancellations, deadlines and the end of submissions.

use crate::engine::record::{Record, Requester, SubmissionKey, Task, TaskState};
use crate::engine::submit::unknown_code;
use crate::engine::{
    AnswerCost, Answered, Effect, Engine, NewSubmission, Observation, Reply,
};
use crate::id::{SubmissionId, TaskIndex};
use crate::message::{CallerRequest, Message};
use crate::outcome::{
    FailureCode, Outcome, Refusal, RefusalCode, TaskResult, UnknownCode,
};
use crate::ownership::Resolved;
use crate::time::Timestamp;

/// The answer about a submission.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The submission, unless it was refused before it got an id.
    pub id: Option<SubmissionId>,
    pub outcome: Outcome,
    pub attempts: u32,
}

impl Answer {
    /// Creates the answer that the outcome is not known.
    pub fn unknown(id: SubmissionId, code: UnknownCode) -> Self {
        Self { id: Some(id), outcome: Outcome::Unknown(code), attempts: 0 }
    }

    /// Creates the answer that the submission is refused and was not run.
    pub fn refused(id: SubmissionId, refusal: Refusal) -> Self {
        Self { id: Some(id), outcome: Outcome::Refused(refusal), attempts: 0 }
    }
}

impl Engine {
    /// Answers a query for the state of a submission.
    pub(super) fn query(
        &mut self,
        now: Timestamp,
        requester: Requester,
        id: SubmissionId,
        effects: &mut Vec<Effect>,
    ) {
        match self.resolve(&id) {
            Resolved::Local(_) => {
                let answer = self.state_of(id);
                self.reply(&requester, answer, 0, effects);
            }
            Resolved::Remote(owner) => {
                self.forward(now, requester, &owner, CallerRequest::Query(id), effects);
            }
            Resolved::Gone(owner) if self.is_handing_over(&owner) => {
                self.defer(requester, CallerRequest::Query(id), effects);
            }
            unresolved => {
                let answer = Answer::unknown(id, unknown_code(&unresolved));
                self.reply(&requester, answer, 0, effects);
            }
        }
    }

    /// Cancels a submission that has not ended, and answers with its state.
    pub(super) fn cancel(
        &mut self,
        now: Timestamp,
        requester: Requester,
        id: SubmissionId,
        effects: &mut Vec<Effect>,
    ) {
        let mine = match self.resolve(&id) {
            Resolved::Remote(owner) => {
                self.forward(now, requester, &owner, CallerRequest::Cancel(id), effects);
                return;
            }
            Resolved::Gone(owner) if self.is_handing_over(&owner) => {
                self.defer(requester, CallerRequest::Cancel(id), effects);
                return;
            }
            resolved => matches!(resolved, Resolved::Local(_)),
        };
        let open = self.ownership.find(&id).filter(|_| mine);
        let open = open.and_then(|key| Some((key, self.ownership.get(key)?)));
        if let Some((key, record)) = open.filter(|(_, record)| record.outcome.is_none()) {
            let started = record.may_have_started();
            let outcome = Outcome::Cancelled { started };
            self.finish(now, key, outcome, effects);
            self.dispatch_all(now, effects);
        }
        self.query(now, requester, id, effects);
    }

    /// Returns the state of a submission that this instance owns.
    fn state_of(&self, id: SubmissionId) -> Answer {
        if let Some(refusal) = self.ownership.refusal(&id) {
            return Answer::refused(id, refusal);
        }
        let record = self.ownership.find(&id).and_then(|key| self.ownership.get(key));
        match record {
            None => Answer::unknown(id, UnknownCode::NeverSeen),
            Some(Record { outcome, attempts, .. }) => {
                let running = Outcome::Unknown(UnknownCode::StillRunning);
                let outcome = outcome.clone().unwrap_or(running);
                Answer { id: Some(id), outcome, attempts: *attempts }
            }
        }
    }

    /// Ends the submissions whose deadline has passed or can no longer be met.
    pub(super) fn expire_deadlines(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        while let Some(&(at, key)) = self.deadlines.first() {
            if at > now {
                break;
            }
            self.deadlines.pop_first();
            self.deadline_passed(now, key, effects);
        }
        self.expire_queues(now, effects);
    }

    /// Ends submissions with a queued task that can no longer start in time.
    pub(super) fn expire_queues(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        let pop = |engine: &mut Self| {
            let mut groups = engine.groups.values_mut();
            groups.find_map(|group| group.queue.pop_expired(now))
        };
        while let Some(task) = pop(self) {
            self.deadline_passed(now, task.submission, effects);
        }
    }

    /// Refuses a submission that cannot meet its deadline and has started nothing, or
    /// answers its callers that it is still running.
    fn deadline_passed(
        &mut self,
        now: Timestamp,
        key: SubmissionKey,
        effects: &mut Vec<Effect>,
    ) {
        let Some(record) = self.ownership.get_mut(key) else { return };
        match (&record.outcome, record.may_have_started()) {
            (Some(_), _) => {}
            (None, false) => {
                let code = RefusalCode::DeadlineUnreachable;
                let refusal = Refusal { code, retry_after_ms: None };
                self.finish(now, key, Outcome::Refused(refusal), effects);
            }
            (None, true) if record.rules.job || record.in_flight == 0 => {
                let outcome = Outcome::Failed(FailureCode::DeadlinePassed);
                self.finish(now, key, outcome, effects);
            }
            (None, true) => {
                let waiters = std::mem::take(&mut record.waiters);
                let answer = Answer {
                    id: Some(record.id.clone()),
                    outcome: Outcome::Unknown(UnknownCode::StillRunning),
                    attempts: record.attempts,
                };
                let (customer, kind) = (record.customer, record.kind);
                effects.push(Effect::Observed(Observation::Answered(Answered {
                    customer: self.customers.name(customer).cloned(),
                    kind: self.kinds.name(kind).cloned(),
                    outcome: answer.outcome.clone(),
                    cost: None,
                })));
                for (requester, want) in waiters {
                    self.reply(&requester, answer.clone(), want, effects);
                }
            }
        }
    }

    /// Ends a submission whose tasks all have a result.
    pub(super) fn complete(
        &mut self,
        now: Timestamp,
        key: SubmissionKey,
        effects: &mut Vec<Effect>,
    ) {
        let Some(record) = self.ownership.get(key) else { return };
        let result = |(index, task): (usize, &Task)| match &task.state {
            TaskState::Done(body) => {
                Some(TaskResult { task: TaskIndex(index as u16), body: body.clone() })
            }
            _ => None,
        };
        let results = record.tasks.iter().enumerate().filter_map(result).collect();
        self.finish(now, key, Outcome::Complete(results), effects);
    }

    /// Ends a submission: answers all waiters and drops its remaining tasks.
    pub(super) fn finish(
        &mut self,
        now: Timestamp,
        key: SubmissionKey,
        outcome: Outcome,
        effects: &mut Vec<Effect>,
    ) {
        self.drop_tasks(key, effects);
        let Some(record) = self.ownership.get_mut(key) else { return };
        record.outcome = Some(outcome.clone());
        let waiters = std::mem::take(&mut record.waiters);
        let (customer, kind) = (record.customer, record.kind);
        let tasks = record.tasks.len() as u32;
        // Frees the payloads; an ended record only serves its answer.
        record.tasks = vec![];
        let (deadline, arrived) = (record.deadline, record.arrived);
        let longest_us = record.longest_us;
        let answer =
            Answer { id: Some(record.id.clone()), outcome, attempts: record.attempts };
        self.deadlines.remove(&(deadline, key));
        self.record_answered(now, key, &answer.outcome);
        self.ownership.close(key, now);
        if let Some(name) = self.customers.name(customer) {
            self.quotas.finish(name, tasks);
            let cost = AnswerCost {
                response_us: now.us_since(arrived),
                ideal_us: longest_us,
                sends: answer.attempts,
                tasks,
            };
            let complete = matches!(answer.outcome, Outcome::Complete(_));
            effects.push(Effect::Observed(Observation::Answered(Answered {
                customer: Some(name.clone()),
                kind: self.kinds.name(kind).cloned(),
                outcome: answer.outcome.without_results(),
                cost: complete.then_some(cost),
            })));
        }
        for (requester, want) in waiters {
            self.reply(&requester, answer.clone(), want, effects);
        }
    }

    /// Reports an answer to a submission that was not admitted here.
    ///
    /// Customers and kinds that no configuration has named are left out, so that callers
    /// cannot add label values to the metrics.
    pub(super) fn observe_answer(
        &self,
        submission: &NewSubmission,
        outcome: &Outcome,
        effects: &mut Vec<Effect>,
    ) {
        let customer = self.customers.find(&submission.customer);
        let kind = self.kinds.find(&submission.kind);
        effects.push(Effect::Observed(Observation::Answered(Answered {
            customer: customer.map(|_| submission.customer.clone()),
            kind: kind.map(|_| submission.kind.clone()),
            outcome: outcome.without_results(),
            cost: None,
        })));
    }

    /// Sends an answer to a requester, with fresh tickets.
    pub(super) fn reply(
        &mut self,
        requester: &Requester,
        answer: Answer,
        want_tickets: u16,
        effects: &mut Vec<Effect>,
    ) {
        let reply = Reply::Outcome {
            submission: answer.id,
            outcome: answer.outcome,
            config_version: self.config_version,
            owner: self.me.instance.clone(),
            attempts: answer.attempts,
            tickets: self.issue_tickets(want_tickets),
        };
        self.reply_with(requester, reply, effects);
    }

    /// Sends a reply to a requester, which is a caller or a peer.
    pub(super) fn reply_with(
        &mut self,
        requester: &Requester,
        reply: Reply,
        effects: &mut Vec<Effect>,
    ) {
        match requester {
            Requester::Caller(waiter) => {
                effects.push(Effect::Answer { waiter: *waiter, reply });
            }
            Requester::Peer { peer, correlation } => {
                effects.push(Effect::EndSpan {
                    peer: peer.instance.clone(),
                    correlation: *correlation,
                });
                let (correlation, reply) = (*correlation, Box::new(reply));
                self.tell(
                    &peer.instance,
                    Message::Answer { correlation, reply },
                    effects,
                );
            }
        }
    }

    /// Issues tickets of this incarnation, or none once it stops admitting.
    pub(super) fn issue_tickets(&mut self, count: u16) -> Vec<SubmissionId> {
        let count = if self.ownership.is_serving() { count } else { 0 };
        (0..count).map(|_| SubmissionId::Ticket(self.issuer.issue())).collect()
    }

    /// Drops the tasks of a submission that have no result: removes them from the queue
    /// and stops their sends.
    fn drop_tasks(&mut self, key: SubmissionKey, effects: &mut Vec<Effect>) {
        let Some(record) = self.ownership.get_mut(key) else { return };
        let mut sent = vec![];
        let mut queued = vec![];
        for (index, task) in record.tasks.iter_mut().enumerate() {
            sent.extend(task.sent());
            match task.state {
                TaskState::Done(_) | TaskState::Dropped => continue,
                TaskState::Queued => queued.push(index as u16),
                TaskState::Sent { .. } => {}
            }
            task.state = TaskState::Dropped;
        }
        let group = record.group.clone();
        if let Some(group) = self.groups.get_mut(&group) {
            for task in queued {
                group.queue.cancel(super::record::QueuedTask { submission: key, task });
            }
        }
        for attempt in sent {
            self.stop_attempt(attempt, effects);
        }
    }
}
