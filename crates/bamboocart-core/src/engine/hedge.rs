//! Hedging: second sends of stragglers.

use crate::account::StartReason;
use crate::engine::record::{AttemptState, Origin, RunPlace, SubmissionKey, TaskState};
use crate::engine::{Effect, Engine, StartedAfter};
use crate::id::Attempt;
use crate::retry::hedge_after_us;
use crate::target::AttemptKey;
use crate::time::Timestamp;

impl Engine {
    /// Schedules the hedge of a send, if its rules allow one.
    pub(super) fn schedule_hedge(
        &mut self,
        now: Timestamp,
        submission: SubmissionKey,
        attempt: AttemptKey,
    ) {
        if !self.setup.hedge {
            return;
        }
        let Some(record) = self.ownership.get(submission) else { return };
        let p95_us = self.estimator.p95_us(record.kind);
        let after_us = p95_us.and_then(|p95_us| hedge_after_us(record.rules, p95_us));
        if let Some(after_us) = after_us {
            self.hedges_due.insert((now.plus_us(after_us), attempt));
        }
    }

    /// Sends the hedges that are due.
    pub(super) fn send_hedges(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        while let Some(&(at, attempt)) = self.hedges_due.first() {
            if at > now {
                return;
            }
            self.hedges_due.pop_first();
            self.send_hedge(now, attempt, effects);
        }
    }

    /// Sends a second copy of a task whose first send has not ended.
    ///
    /// Nothing is sent while tasks are queued, since a hedge must not take the slot of a
    /// first send.
    fn send_hedge(
        &mut self,
        now: Timestamp,
        first: AttemptKey,
        effects: &mut Vec<Effect>,
    ) {
        let Some(state) = self.attempts.get(first) else { return };
        let Origin::Own { task: queued, declared_us } = state.origin else { return };
        let slow = match state.place {
            RunPlace::Target(target) => Some(target),
            RunPlace::Peer(_) => None,
        };
        let (name, kind) = (state.group.clone(), state.kind);
        let Some(group) = self.groups.get(&name) else { return };
        if !group.queue.is_empty() {
            return;
        }
        let target = group.placement.pick(state.kind, slow.as_slice(), &mut self.rng);
        let Some(target) = target.filter(|_| self.hedge_budget.try_withdraw()) else {
            return;
        };
        let Some(record) = self.ownership.get_mut(queued.submission) else { return };
        let Some(task) = record.tasks.get_mut(usize::from(queued.task)) else { return };
        if !matches!(task.state, TaskState::Sent { second: None, .. }) {
            return;
        }
        task.sends = Attempt(task.sends.0.saturating_add(1));
        let number = task.sends;
        record.attempts += 1;
        record.in_flight += 1;
        let second = self.attempts.insert(AttemptState {
            origin: Origin::Own { task: queued, declared_us },
            place: RunPlace::Target(target),
            sent: now,
            probe: false,
            hedge: true,
            number: task.sends,
            ..state.clone()
        });
        task.state = TaskState::Sent { first, second: Some(second) };
        let send = (number, RunPlace::Target(target));
        self.record_started(now, queued, send, StartReason::Hedge);
        let start = (StartReason::Hedge, StartedAfter::Straggler);
        self.observe_start(&name, kind, start, effects);
        self.order_send(now, second, effects);
    }
}
