//! Dispatch: taking tasks from the queues and starting them on free slots.

use rand::rngs::SmallRng;

use crate::account::StartReason;
use crate::engine::account_appender::start_reason;
use crate::engine::record::{
    AttemptState, Origin, QueuedTask, Record, RunPlace, Task, TaskState,
};
use crate::engine::{
    Effect, Engine, KindKey, Observation, SendOrder, Started, StartedAfter,
};
use crate::id::{Attempt, GroupName, TaskIndex};
use crate::ownership::Stage;
use crate::queue::Pick;
use crate::slots::{PeerSlot, SlotQuery};
use crate::target::{AttemptKey, TargetKey};
use crate::time::{Timestamp, US_PER_MS};

/// A task that the queue has picked, with the reason and its queue position.
pub(super) type NextTask = Pick<QueuedTask, crate::engine::CustomerKey>;

/// A free slot for a task, on this instance or on a peer.
enum FreeSlot {
    /// On a target of this instance.
    Own(TargetKey),
    /// On a peer, with the expected run time on a free target of this instance, if it has
    /// one.
    Peer(PeerSlot, Option<u64>),
}

impl Engine {
    /// Starts queued tasks of every group while there are free slots.
    pub(super) fn dispatch_all(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        let waiting = self.groups.iter().filter(|(_, group)| !group.queue.is_empty());
        let names: Vec<GroupName> = waiting.map(|(name, _)| name.clone()).collect();
        for name in names {
            self.dispatch(now, &name, effects);
        }
    }

    /// Starts queued tasks of one group while there are free slots.
    pub(super) fn dispatch(
        &mut self,
        now: Timestamp,
        name: &GroupName,
        effects: &mut Vec<Effect>,
    ) {
        // After a pause of the process, the ends of sends are handled before the next
        // tick, and tasks that peers rejected return to the queue. Neither may start a
        // task whose deadline can no longer be met.
        self.expire_queues(now, effects);
        self.start_probes(now, name, effects);
        while let Some((next, slot)) = self.next_task(now, name) {
            match slot {
                FreeSlot::Own(target) => {
                    self.start_on_target(now, name, next, (target, false), effects);
                }
                FreeSlot::Peer(slot, own_us) => {
                    self.start_on_peer(now, name, next, (&slot, own_us), effects);
                }
            }
        }
    }

    /// Takes the next task that a free slot exists for, with the slot that is expected to
    /// finish it first.
    fn next_task(
        &mut self,
        now: Timestamp,
        name: &GroupName,
    ) -> Option<(NextTask, FreeSlot)> {
        let group = self.groups.get_mut(name)?;
        if group.queue.is_empty() {
            return None;
        }
        let position = self.config.target_group.keys().position(|it| it == name);
        let lends = self.setup.lend;
        let (version, peer_slots) = (self.config_version, &self.peer_slots);
        let on_peer = |kind, own_us, rng: &mut SmallRng| {
            let wanted = SlotQuery { group: position.filter(|_| lends)?, kind, own_us };
            peer_slots.choose(wanted, version, now, rng)
        };
        let (placement, rng) = (&group.placement, &mut self.rng);
        // Avoids searching a queue without any free slot at each event.
        if placement.free_slots() == 0 && on_peer(0, None, rng).is_none() {
            return None;
        }
        let (ownership, estimator, kinds) =
            (&self.ownership, &self.estimator, &group.kinds);
        let mut chosen = None;
        let next = group.queue.pick(|queued| {
            let Some((kind, task)) = find_task(ownership, queued) else { return false };
            let fresh = placement.pick(kind, &task.tried, rng);
            let own = fresh.or_else(|| placement.pick(kind, &[], rng));
            let own_us = own.map(|target| estimator.target_us(kind, target).mean_us);
            let kind = kinds.iter().position(|&it| it == kind).unwrap_or(usize::MAX);
            let stays = own.is_some() && task.rejected_by_peer;
            let peer = if stays { None } else { on_peer(kind, own_us, rng) };
            chosen = match peer {
                Some(slot) => Some(FreeSlot::Peer(slot, own_us)),
                None => own.map(FreeSlot::Own),
            };
            chosen.is_some()
        })?;
        if let Some(FreeSlot::Peer(slot, _)) = &chosen {
            self.peer_slots.reserve(slot, now);
        }
        Some((next, chosen?))
    }

    /// Sends one task as a probe to each target on probation.
    ///
    /// Tasks of non-idempotent kinds are used only if the group has no idempotent request
    /// kind, since its ejected targets would otherwise never return.
    fn start_probes(
        &mut self,
        now: Timestamp,
        name: &GroupName,
        effects: &mut Vec<Effect>,
    ) {
        let Some(group) = self.groups.get_mut(name) else { return };
        let targets = std::mem::take(&mut group.probation);
        for target in targets {
            let next = self.next_probe(name, target);
            let Some(group) = self.groups.get_mut(name) else { return };
            match next {
                Some(next) => {
                    group.health.start_probe(target);
                    self.start_on_target(now, name, next, (target, true), effects);
                }
                None => group.probation.push(target),
            }
        }
    }

    /// Takes the next task that may serve as a probe of a target.
    fn next_probe(&mut self, name: &GroupName, target: TargetKey) -> Option<NextTask> {
        let group = self.groups.get_mut(name)?;
        let usable = self.targets.get(target).is_some_and(|target| target.slots > 0);
        if !usable || group.queue.is_empty() {
            return None;
        }
        let (ownership, any) = (&self.ownership, !group.has_idempotent);
        group.queue.pick(|queued| {
            let record = ownership.get(queued.submission);
            any || record.is_some_and(|r| r.rules.idempotent && !r.rules.job)
        })
    }

    /// Starts a task on a target of this instance.
    fn start_on_target(
        &mut self,
        now: Timestamp,
        name: &GroupName,
        next: NextTask,
        (target, probe): (TargetKey, bool),
        effects: &mut Vec<Effect>,
    ) {
        let place = RunPlace::Target(target);
        let Some(attempt) = self.start(now, name, &next, (place, probe), effects) else {
            return;
        };
        self.order_send(now, attempt, effects);
    }

    /// Registers a new attempt for a task that was taken from the queue.
    pub(super) fn start(
        &mut self,
        now: Timestamp,
        name: &GroupName,
        next: &NextTask,
        (run_place, probe): (RunPlace, bool),
        effects: &mut Vec<Effect>,
    ) -> Option<AttemptKey> {
        let record = self.ownership.get_mut(next.key.submission)?;
        let (kind, submission) = (record.kind, record.id.clone());
        let (priority, arrived) = (record.priority.clone(), record.arrived);
        let task = record.tasks.get_mut(usize::from(next.key.task))?;
        if task.sends == Attempt::default() {
            self.retry_budget.deposit();
            self.hedge_budget.deposit();
        }
        task.sends = Attempt(task.sends.0.saturating_add(1));
        task.position = Some(next.position);
        record.attempts += 1;
        record.in_flight += 1;
        let declared_us = task.spec.declared_ms.map(|ms| ms.saturating_mul(US_PER_MS));
        let number = task.sends;
        let reason = start_reason(next.reason, task.ran_before);
        let after = match task.requeued_after.take() {
            None => StartedAfter::Admission { priority, wait_us: now.us_since(arrived) },
            Some(report) => StartedAfter::Send { report },
        };
        let attempt = self.attempts.insert(AttemptState {
            origin: Origin::Own { task: next.key, declared_us },
            place: run_place,
            group: name.clone(),
            kind,
            sent: now,
            probe,
            hedge: false,
            number,
            submission,
            task: TaskIndex(next.key.task),
        });
        task.state = TaskState::Sent { first: attempt, second: None };
        self.record_started(now, next.key, (number, run_place), reason);
        self.observe_start(name, kind, (reason, after), effects);
        self.schedule_hedge(now, next.key.submission, attempt);
        Some(attempt)
    }

    /// Reports the start of a task to the metrics.
    pub(super) fn observe_start(
        &self,
        group: &GroupName,
        kind: KindKey,
        (reason, after): (StartReason, StartedAfter),
        effects: &mut Vec<Effect>,
    ) {
        let Some(kind) = self.kinds.name(kind).cloned() else { return };
        let started = Started { group: group.clone(), kind, reason, after };
        effects.push(Effect::Observed(Observation::Started(started)));
    }

    /// Emits the send of an attempt to a target of this instance and takes the slot.
    pub(super) fn order_send(
        &mut self,
        now: Timestamp,
        attempt: AttemptKey,
        effects: &mut Vec<Effect>,
    ) {
        let Some(state) = self.attempts.get(attempt) else { return };
        let (RunPlace::Target(target_key), Origin::Own { task: queued, .. }) =
            (state.place, &state.origin)
        else {
            return;
        };
        let Some(target) = self.targets.get(target_key) else { return };
        let Some(record) = self.ownership.get(queued.submission) else { return };
        let Some(task) = record.tasks.get(usize::from(queued.task)) else { return };
        effects.push(Effect::Send(SendOrder {
            attempt,
            address: target.info.address.clone(),
            submission: state.submission.clone(),
            task: state.task,
            number: task.sends,
            kind: self.kinds.name(state.kind).cloned().unwrap_or_else(|| "".into()),
            idempotent: record.rules.idempotent,
            payload: task.spec.payload.clone(),
            deadline_ms: record.deadline.ms_since(now),
            lease: target.lease_grant(),
            traceparent: record.traceparent.clone(),
        }));
        let group = self.groups.get_mut(&state.group);
        group.into_iter().for_each(|group| group.placement.acquire(target_key));
    }

    /// Stops a send whose result is no longer needed.
    ///
    /// The slot stays taken until the target's answer shows that the task has ended.
    pub(super) fn stop_attempt(
        &mut self,
        attempt: AttemptKey,
        effects: &mut Vec<Effect>,
    ) {
        let Some(state) = self.attempts.get(attempt) else { return };
        match state.place {
            RunPlace::Target(target) => {
                let Some(target) = self.targets.get(target) else { return };
                effects.push(Effect::Stop {
                    address: target.info.address.clone(),
                    submission: state.submission.clone(),
                    task: state.task,
                });
            }
            RunPlace::Peer(pending) => self.cancel_offer(pending, effects),
        }
    }
}

/// Returns the request kind and the task of a queue entry.
fn find_task(ownership: &Stage<Record>, queued: QueuedTask) -> Option<(KindKey, &Task)> {
    let record = ownership.get(queued.submission)?;
    Some((record.kind, record.tasks.get(usize::from(queued.task))?))
}
