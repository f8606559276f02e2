//! The end of sends: learning from the report and moving the task on.

use crate::engine::record::{AttemptState, Origin, QueuedTask, RunPlace, TaskState};
use crate::engine::{Effect, Engine, Observation};
use crate::estimate::RunEnd;
use crate::health::{HealthStatus, StartResult};
use crate::membership::LeavingSource;
use crate::message::Message;
use crate::outcome::{FailureCode, Outcome, UnknownCode};
use crate::retry::{NextSend, next_send};
use crate::target::{AttemptKey, RejectReason, SendReport, TargetKey};
use crate::time::Timestamp;

/// The end of a send of a task that this instance owns.
struct Ended {
    attempt: AttemptKey,
    task: QueuedTask,
    /// The target, unless a peer ran the task.
    target: Option<TargetKey>,
    /// The time from the start of the send to its end.
    run_us: u64,
}

impl Engine {
    /// Handles the end of a send.
    pub(super) fn send_finished(
        &mut self,
        now: Timestamp,
        attempt: AttemptKey,
        report: SendReport,
        effects: &mut Vec<Effect>,
    ) {
        let Some(state) = self.attempts.remove(attempt) else {
            self.late_answers += 1;
            return;
        };
        let run_us = now.us_since(state.sent);
        let target = match state.place {
            RunPlace::Target(target) => Some(target),
            RunPlace::Peer(_) => None,
        };
        if let Some(target) = target {
            self.update_target(now, target, &state, &report, effects);
        }
        let group = state.group.clone();
        match state.origin {
            Origin::Own { task, .. } => {
                let stopped = self.is_stopped(task, attempt);
                let won = !stopped && matches!(report, SendReport::Result(_));
                if state.hedge
                    && let Some(kind) = self.kinds.name(state.kind).cloned()
                {
                    effects.push(Effect::Observed(Observation::Hedged { kind, won }));
                }
                self.record_finished(now, task, (&state, stopped), &report);
                let ended = Ended { attempt, task, target, run_us };
                self.task_ended(now, &ended, report, effects);
            }
            Origin::Peer { owner, correlation } => {
                let message = Message::TaskReport { correlation, report };
                let peer = owner.instance.clone();
                effects.push(Effect::EndSpan { peer, correlation });
                self.tell(&owner.instance, message, effects);
            }
        }
        self.dispatch(now, &group, effects);
    }

    /// Updates what is known about a target from the end of a send.
    fn update_target(
        &mut self,
        now: Timestamp,
        key: TargetKey,
        state: &AttemptState,
        report: &SendReport,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(group) = self.groups.get_mut(&state.group) {
            group.placement.release(key);
        }
        let Some(target) = self.targets.get(key) else { return };
        let info = target.info.clone();
        if !matches!(report, SendReport::NotSent | SendReport::Lost) {
            self.membership.targets.note_send_answer(&info.name);
        }
        self.learn_run_time(now, key, state, report);
        self.learn_health(now, key, state, report, effects);
        match report {
            SendReport::Rejected(RejectReason::Leaving) => {
                let source = LeavingSource::TaskRejected;
                self.membership.targets.mark_leaving(
                    &info.name,
                    info.incarnation,
                    source,
                );
                self.fleet_changed = true;
                self.retire(key);
            }
            SendReport::Rejected(RejectReason::Lease) => self.drop_lease(key),
            _ => {}
        }
    }

    /// Records the run time of a send that was started.
    fn learn_run_time(
        &mut self,
        now: Timestamp,
        key: TargetKey,
        state: &AttemptState,
        report: &SendReport,
    ) {
        let end = match report {
            SendReport::Result(_) => RunEnd::Completed,
            SendReport::TaskFailed | SendReport::Lost => RunEnd::Failed,
            SendReport::Rejected(_) | SendReport::NotSent => return,
        };
        let declared_us = match state.origin {
            Origin::Own { declared_us, .. } => declared_us,
            Origin::Peer { .. } => None,
        };
        let run_us = now.us_since(state.sent);
        self.estimator.record(state.kind, key, declared_us, run_us, end);
        let expected_us = self.estimator.target_us(state.kind, key).mean_us;
        let prior_us = self.estimator.kind_us(state.kind, None);
        if let Some(group) = self.groups.get_mut(&state.group) {
            group.placement.set_expected(state.kind, key, expected_us);
            group.placement.set_prior(state.kind, prior_us);
        }
    }

    /// Updates the health of a target, and ejects it if it fails too often.
    fn learn_health(
        &mut self,
        now: Timestamp,
        key: TargetKey,
        state: &AttemptState,
        report: &SendReport,
        effects: &mut Vec<Effect>,
    ) {
        let Some(group) = self.groups.get_mut(&state.group) else { return };
        let (health, rng) = (&mut group.health, &mut self.rng);
        let ejections = health.ejections();
        let end = match report {
            SendReport::Result(_) => Some(StartResult::Succeeded),
            SendReport::TaskFailed | SendReport::Lost | SendReport::NotSent => {
                Some(StartResult::Failed)
            }
            SendReport::Rejected(_) => None,
        };
        match end {
            Some(_) if !self.setup.eject => {}
            Some(end) if state.probe => health.record_probe(key, end, now, rng),
            Some(end) => health.record(key, end, now, rng),
            None => {}
        }
        // A task whose connection was refused is sent elsewhere at once; this target gets
        // the next one only after a backoff.
        if matches!(
            report,
            SendReport::Rejected(RejectReason::Busy) | SendReport::NotSent
        ) {
            health.record_busy(key, now, rng);
        }
        if health.ejections() > ejections {
            let group = state.group.clone();
            effects.push(Effect::Observed(Observation::Ejected { group }));
        }
        self.apply_health_status(&state.group, key);
    }

    /// Updates the placement to the health status of a target.
    pub(super) fn apply_health_status(
        &mut self,
        name: &crate::id::GroupName,
        key: TargetKey,
    ) {
        let Some(group) = self.groups.get_mut(name) else { return };
        let status = group.health.status(key);
        group.placement.set_usable(key, status == Some(HealthStatus::Healthy));
        group.probation.retain(|&other| other != key);
        if status == Some(HealthStatus::Probation) {
            group.probation.push(key);
        }
    }

    /// Moves a task of this instance on after one of its sends has ended.
    fn task_ended(
        &mut self,
        now: Timestamp,
        ended: &Ended,
        report: SendReport,
        effects: &mut Vec<Effect>,
    ) {
        let key = ended.task.submission;
        let Some(record) = self.ownership.get_mut(key) else { return };
        record.in_flight = record.in_flight.saturating_sub(1);
        let may_have_started =
            !matches!(report, SendReport::Rejected(_) | SendReport::NotSent);
        record.started |= may_have_started;
        let task = record.tasks.get_mut(usize::from(ended.task.task));
        let Some(task) = task.filter(|task| task.sent().any(|a| a == ended.attempt))
        else {
            self.late_answers += 1;
            return;
        };
        let other = task.sent().find(|&attempt| attempt != ended.attempt);
        let next = next_send(&report, record.rules);
        match (next, other, report) {
            (NextSend::Done, _, SendReport::Result(body)) => {
                task.state = TaskState::Done(body);
                record.unfinished -= 1;
                record.longest_us = record.longest_us.max(ended.run_us);
                let unfinished = record.unfinished;
                if let Some(other) = other {
                    self.stop_attempt(other, effects);
                }
                if unfinished == 0 {
                    self.complete(now, key, effects);
                }
            }
            (_, Some(first), _) => task.state = TaskState::Sent { first, second: None },
            (NextSend::Unbudgeted, None, report) => {
                self.requeue(ended, (false, report.name()));
            }
            (NextSend::Budgeted, None, ref report)
                if self.retry_budget.try_withdraw() =>
            {
                self.requeue(ended, (true, report.name()));
            }
            (_, None, SendReport::Lost) if record.rules.job => {
                let outcome = Outcome::Failed(FailureCode::TaskLost);
                self.finish(now, key, outcome, effects);
            }
            (_, None, SendReport::Lost) => {
                let outcome = Outcome::Unknown(UnknownCode::TargetLost);
                self.finish(now, key, outcome, effects);
            }
            (_, None, _) => {
                let outcome = Outcome::Failed(FailureCode::TaskFailed);
                self.finish(now, key, outcome, effects);
            }
        }
    }

    /// Reports whether a send was stopped because its submission has ended, or its task
    /// no longer needs it.
    fn is_stopped(&self, task: QueuedTask, attempt: AttemptKey) -> bool {
        let record = self.ownership.get(task.submission);
        let task = record.and_then(|record| record.tasks.get(usize::from(task.task)));
        task.is_none_or(|task| task.sent().all(|other| other != attempt))
    }

    /// Puts a task back into the queue at its previous position.
    fn requeue(&mut self, ended: &Ended, (may_have_run, report): (bool, &'static str)) {
        let Some(record) = self.ownership.get_mut(ended.task.submission) else { return };
        let group = record.group.clone();
        let Some(task) = record.tasks.get_mut(usize::from(ended.task.task)) else {
            return;
        };
        task.state = TaskState::Queued;
        task.ran_before |= may_have_run;
        task.requeued_after = Some(report);
        match ended.target {
            Some(target) => task.avoid(target),
            None => task.rejected_by_peer = true,
        }
        let position = task.position;
        if let (Some(group), Some(position)) = (self.groups.get_mut(&group), position) {
            // The task left the queue when it was sent, so its key is not a duplicate.
            let _ = group.queue.requeue(ended.task, position);
        }
    }
}
