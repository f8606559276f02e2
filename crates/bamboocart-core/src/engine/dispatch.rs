//! Tasks on their way to targets and back.

use crate::engine::record::{AttemptState, SubmissionKey, TaskState};
use crate::engine::{Effect, Engine, QueuedTask, SendOrder};
use crate::id::{Attempt, GroupName, TaskIndex};
use crate::outcome::{FailureCode, Outcome, UnknownCode};
use crate::target::{AttemptKey, SendReport, TargetKey, TurnAway};
use crate::time::Timestamp;

impl Engine {
    /// Starts queued tasks of every group while there are free slots.
    pub(super) fn dispatch_all(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        let groups: Vec<GroupName> = self.queues.keys().cloned().collect();
        for group in groups {
            self.dispatch(now, &group, effects);
        }
    }

    /// Starts queued tasks of one group while there are free slots.
    fn dispatch(&mut self, now: Timestamp, group: &GroupName, effects: &mut Vec<Effect>) {
        while let Some(target) = self.free_target(now, group) {
            let Some(next) = self.queues.get_mut(group).and_then(|q| q.pop_front())
            else {
                return;
            };
            self.start(now, next, target, effects);
        }
    }

    /// Orders the send of a task to a target.
    fn start(
        &mut self,
        now: Timestamp,
        next: QueuedTask,
        target_key: TargetKey,
        effects: &mut Vec<Effect>,
    ) {
        let Some(record) = self.records.get_mut(next.submission) else { return };
        let task = &mut record.tasks[next.task];
        if !matches!(task.state, TaskState::Queued) {
            return;
        }
        let target = &mut self.targets[target_key];
        target.in_use += 1;
        task.sends = Attempt(task.sends.0.saturating_add(1));
        record.attempts += 1;
        record.started = true;
        let attempt = self.attempts.insert(AttemptState {
            submission: next.submission,
            task: next.task,
            target: target_key,
            sent: now,
        });
        task.state = TaskState::Sent(attempt);
        effects.push(Effect::Send(SendOrder {
            attempt,
            address: target.listed.address.clone(),
            submission: record.id.clone(),
            task: TaskIndex(next.task as u16),
            number: task.sends,
            kind: record.kind.clone(),
            idempotent: record.idempotent,
            payload: task.spec.payload.clone(),
            deadline_ms: record.deadline.ms_since(now),
            lease: target.lease_grant(),
            traceparent: record.traceparent.clone(),
        }));
    }

    /// Takes in the end of a send.
    pub(super) fn send_finished(
        &mut self,
        now: Timestamp,
        attempt: AttemptKey,
        report: SendReport,
        effects: &mut Vec<Effect>,
    ) {
        let Some(state) = self.attempts.remove(attempt) else { return };
        if let Some(target) = self.targets.get_mut(state.target) {
            target.in_use = target.in_use.saturating_sub(1);
            target.note_report(now, &report);
        }
        let current = self.records.get(state.submission).is_some_and(|record| {
            matches!(record.tasks[state.task].state, TaskState::Sent(a) if a == attempt)
        });
        if current {
            self.task_ended(state.submission, state.task, report, effects);
        }
        self.dispatch_all(now, effects);
    }

    /// Moves a task on after its send ended.
    fn task_ended(
        &mut self,
        key: SubmissionKey,
        task: usize,
        report: SendReport,
        effects: &mut Vec<Effect>,
    ) {
        let record = &mut self.records[key];
        match report {
            SendReport::Result(body) => {
                record.tasks[task].state = TaskState::Done(body);
                record.unfinished -= 1;
                if record.unfinished == 0 {
                    self.complete(key, effects);
                }
            }
            SendReport::TaskFailed => {
                self.finish(key, Outcome::Failed(FailureCode::TaskFailed), effects);
            }
            SendReport::TurnedAway(
                TurnAway::Busy | TurnAway::Leaving | TurnAway::Lease,
            )
            | SendReport::NotSent => {
                record.tasks[task].state = TaskState::Queued;
                let queue = self.queues.entry(record.group.clone()).or_default();
                queue.push_front(QueuedTask { submission: key, task });
            }
            SendReport::Lost if record.job => {
                self.finish(key, Outcome::Failed(FailureCode::TaskLost), effects);
            }
            SendReport::Lost => {
                self.finish(key, Outcome::Unknown(UnknownCode::TargetLost), effects);
            }
        }
    }
}
