//! Submissions on their way in, and answers on their way out.

use std::cmp::Reverse;

use crate::config::RequestKind;
use crate::engine::record::{Record, SubmissionKey, Task, TaskState};
use crate::engine::{Effect, Engine, NewSubmission, QueuedTask, Reply, WaiterId};
use crate::id::{Attempt, GroupName, SubmissionId, TaskIndex};
use crate::outcome::{
    FailureCode, Outcome, Refusal, RefusalCode, TaskResult, UnknownCode,
};
use crate::time::Timestamp;

/// What was looked up for a submission that may be accepted.
pub(super) struct Admitted {
    /// Its request kind.
    kind: RequestKind,
    /// The target group that runs it.
    group: GroupName,
}

/// What a reply about a submission says.
struct Verdict {
    /// The submission.
    id: SubmissionId,
    /// The outcome.
    outcome: Outcome,
    /// The number of sends to targets.
    attempts: u32,
}

impl Engine {
    /// Takes in a submission.
    pub(super) fn submit(
        &mut self,
        now: Timestamp,
        waiter: WaiterId,
        mut submission: NewSubmission,
        effects: &mut Vec<Effect>,
    ) {
        let id = match submission.id.take() {
            Some(id) => id,
            None => SubmissionId::Ticket(self.issue_ticket()),
        };
        if let Some(&key) = self.index.get(&id) {
            self.join(key, waiter, submission.want_tickets, effects);
            return;
        }
        match self.admit(&submission) {
            Ok(Admitted { kind, group }) => {
                self.accept(now, waiter, id, submission, Admitted { kind, group });
                self.dispatch_all(now, effects);
            }
            Err(code) => {
                let refusal = Refusal { code, retry_after_ms: None };
                let verdict =
                    Verdict { id, outcome: Outcome::Refused(refusal), attempts: 0 };
                self.reply(waiter, verdict, 0, effects);
            }
        }
    }

    /// Tells the state of a submission to someone who asked.
    pub(super) fn query(
        &mut self,
        waiter: WaiterId,
        id: &SubmissionId,
        effects: &mut Vec<Effect>,
    ) {
        let record = self.index.get(id).map(|&key| &self.records[key]);
        let (outcome, attempts) = match record {
            None => (Outcome::Unknown(UnknownCode::NeverSeen), 0),
            Some(record) => match &record.outcome {
                Some(outcome) => (outcome.clone(), record.attempts),
                None => (Outcome::Unknown(UnknownCode::StillRunning), record.attempts),
            },
        };
        let verdict = Verdict { id: id.clone(), outcome, attempts };
        self.reply(waiter, verdict, 0, effects);
    }

    /// Cancels a submission that has not ended.
    pub(super) fn cancel(
        &mut self,
        now: Timestamp,
        waiter: WaiterId,
        id: &SubmissionId,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(&key) = self.index.get(id)
            && self.records[key].outcome.is_none()
        {
            let started = self.records[key].started;
            self.finish(key, Outcome::Cancelled { started }, effects);
            self.dispatch_all(now, effects);
        }
        self.query(waiter, id, effects);
    }

    /// Ends what has reached its deadline.
    pub(super) fn expire(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        while let Some(&Reverse((at, key))) = self.deadlines.peek() {
            if at > now {
                return;
            }
            self.deadlines.pop();
            self.deadline_passed(key, effects);
        }
    }

    /// Ends a submission, answers everyone who waits, and gives up its other tasks.
    pub(super) fn finish(
        &mut self,
        key: SubmissionKey,
        outcome: Outcome,
        effects: &mut Vec<Effect>,
    ) {
        self.drop_tasks(key, effects);
        let record = &mut self.records[key];
        record.outcome = Some(outcome.clone());
        let waiters = std::mem::take(&mut record.waiters);
        let (id, attempts) = (record.id.clone(), record.attempts);
        for (waiter, want) in waiters {
            let verdict = Verdict { id: id.clone(), outcome: outcome.clone(), attempts };
            self.reply(waiter, verdict, want, effects);
        }
    }

    /// Ends a submission whose tasks all have a result.
    pub(super) fn complete(&mut self, key: SubmissionKey, effects: &mut Vec<Effect>) {
        let result = |(index, task): (usize, &Task)| match &task.state {
            TaskState::Done(body) => {
                Some(TaskResult { task: TaskIndex(index as u16), body: body.clone() })
            }
            _ => None,
        };
        let results =
            self.records[key].tasks.iter().enumerate().filter_map(result).collect();
        self.finish(key, Outcome::Complete(results), effects);
    }

    /// Sends a reply to someone who waits.
    fn reply(
        &mut self,
        waiter: WaiterId,
        verdict: Verdict,
        want_tickets: u16,
        effects: &mut Vec<Effect>,
    ) {
        let reply = Reply::Outcome {
            submission: Some(verdict.id),
            outcome: verdict.outcome,
            config_version: self.config_version,
            owner: self.identity.instance.clone(),
            attempts: verdict.attempts,
            tickets: self.issue_tickets(want_tickets),
        };
        effects.push(Effect::Answer { waiter, reply });
    }

    /// Answers a resubmission from the record, or lets it wait for the answer.
    fn join(
        &mut self,
        key: SubmissionKey,
        waiter: WaiterId,
        want_tickets: u16,
        effects: &mut Vec<Effect>,
    ) {
        let record = &mut self.records[key];
        let Some(outcome) = record.outcome.clone() else {
            record.waiters.push((waiter, want_tickets));
            return;
        };
        let (id, attempts) = (record.id.clone(), record.attempts);
        let verdict = Verdict { id, outcome, attempts };
        self.reply(waiter, verdict, want_tickets, effects);
    }

    /// Decides whether a new submission is accepted.
    fn admit(&self, submission: &NewSubmission) -> Result<Admitted, RefusalCode> {
        if self.config_version.0 == 0 {
            return Err(RefusalCode::NotConfigured);
        }
        if !self.config.quota.contains_key(&submission.customer) {
            return Err(RefusalCode::UnknownCustomer);
        }
        let kind = self.config.request_kind.get(&submission.kind);
        let kind = kind.ok_or(RefusalCode::UnknownKind)?;
        let service = self.config.service.get(&kind.service);
        let service = service.ok_or(RefusalCode::UnknownKind)?;
        Ok(Admitted { kind: kind.clone(), group: service.target_group.clone() })
    }

    /// Records a submission and queues its tasks.
    fn accept(
        &mut self,
        now: Timestamp,
        waiter: WaiterId,
        id: SubmissionId,
        submission: NewSubmission,
        admitted: Admitted,
    ) {
        let Admitted { kind, group } = admitted;
        let deadline = now.plus_ms(submission.deadline_ms.unwrap_or(kind.deadline_ms));
        let queued =
            |spec| Task { spec, state: TaskState::Queued, sends: Attempt::default() };
        let tasks: Vec<Task> = submission.tasks.into_iter().map(queued).collect();
        let count = tasks.len();
        let key = self.records.insert(Record {
            id: id.clone(),
            customer: submission.customer,
            kind: submission.kind,
            group: group.clone(),
            job: submission.job,
            idempotent: kind.idempotent,
            unfinished: count,
            tasks,
            attempts: 0,
            started: false,
            deadline,
            waiters: vec![(waiter, submission.want_tickets)],
            outcome: None,
            traceparent: submission.traceparent,
        });
        self.index.insert(id, key);
        self.deadlines.push(Reverse((deadline, key)));
        let queue = self.queues.entry(group).or_default();
        queue.extend((0..count).map(|task| QueuedTask { submission: key, task }));
    }

    /// Ends a submission at its deadline, or tells its callers that it is still running.
    fn deadline_passed(&mut self, key: SubmissionKey, effects: &mut Vec<Effect>) {
        let Some(record) = self.records.get_mut(key) else { return };
        match (&record.outcome, record.started) {
            (Some(_), _) => {}
            (None, false) => {
                let code = RefusalCode::DeadlineUnreachable;
                let refusal = Refusal { code, retry_after_ms: None };
                self.finish(key, Outcome::Refused(refusal), effects);
            }
            (None, true) if record.job => {
                self.finish(key, Outcome::Failed(FailureCode::DeadlinePassed), effects);
            }
            (None, true) => {
                let waiters = std::mem::take(&mut record.waiters);
                let (id, attempts) = (record.id.clone(), record.attempts);
                for (waiter, want) in waiters {
                    let outcome = Outcome::Unknown(UnknownCode::StillRunning);
                    let verdict = Verdict { id: id.clone(), outcome, attempts };
                    self.reply(waiter, verdict, want, effects);
                }
            }
        }
    }

    /// Gives up the tasks of a submission that have no result.
    fn drop_tasks(&mut self, key: SubmissionKey, effects: &mut Vec<Effect>) {
        let record = &mut self.records[key];
        for (index, task) in record.tasks.iter_mut().enumerate() {
            match task.state {
                TaskState::Done(_) | TaskState::Dropped => continue,
                TaskState::Sent(attempt) => {
                    if let Some(target) = self
                        .attempts
                        .get(attempt)
                        .and_then(|a| self.targets.get(a.target))
                    {
                        effects.push(Effect::Stop {
                            address: target.listed.address.clone(),
                            submission: record.id.clone(),
                            task: TaskIndex(index as u16),
                        });
                    }
                }
                TaskState::Queued => {}
            }
            task.state = TaskState::Dropped;
        }
    }
}
