//! Offloading: tasks that an instance offers to peers with free slots.

use slotmap::Key;

use crate::engine::dispatch::NextTask;
use crate::engine::forward::{ANSWER_GRACE_MS, Pending, PendingKey, Purpose};
use crate::engine::record::{AttemptState, Origin, QueuedTask, RunPlace};
use crate::engine::{Effect, Engine, Group, KindKey, SendOrder};
use crate::id::GroupName;
use crate::message::{Message, OfferedTask};
use crate::ownership::Owner;
use crate::slots::{FreeTarget, MAX_REPORTED_TARGETS, PeerSlot, SlotReport};
use crate::target::{AttemptKey, RejectReason, SendReport, TargetKey};
use crate::time::{Timestamp, US_PER_MS};

impl Engine {
    /// Offers a queued task to a peer.
    pub(super) fn start_on_peer(
        &mut self,
        now: Timestamp,
        name: &GroupName,
        next: NextTask,
        (slot, own_us): (&PeerSlot, Option<u64>),
        effects: &mut Vec<Effect>,
    ) {
        let Some(peer) = self.membership.peers.get(&slot.peer) else { return };
        let owner = Owner::new(slot.peer.clone(), peer.info.incarnation);
        let Some(record) = self.ownership.get(next.key.submission) else { return };
        let until = record.deadline.plus_ms(ANSWER_GRACE_MS);
        let purpose = Purpose::Offer(AttemptKey::null());
        let pending = self.add_pending(Pending { peer: owner, until, purpose });
        let place = RunPlace::Peer(pending);
        let Some(attempt) = self.start(now, name, &next, (place, false), effects) else {
            return;
        };
        if let Some(pending) = self.pending.get_mut(pending) {
            pending.purpose = Purpose::Offer(attempt);
        }
        let Some(task) = self.offered_task(now, name, next.key, own_us) else { return };
        let correlation = self.correlation(pending);
        let message = Message::Offer { correlation, task };
        self.tell_tracked(&slot.peer, Some(correlation), message, effects);
    }

    /// Describes a task for an offer to a peer.
    pub(super) fn offered_task(
        &self,
        now: Timestamp,
        group: &GroupName,
        queued: QueuedTask,
        owner_estimate_us: Option<u64>,
    ) -> Option<OfferedTask> {
        let record = self.ownership.get(queued.submission)?;
        let task = record.tasks.get(usize::from(queued.task))?;
        Some(OfferedTask {
            group: group.clone(),
            submission: record.id.clone(),
            task: crate::id::TaskIndex(queued.task),
            attempt: task.sends,
            kind: self.kinds.name(record.kind)?.clone(),
            idempotent: record.rules.idempotent,
            payload: task.spec.payload.clone(),
            deadline_ms: record.deadline.ms_since(now),
            owner_estimate_us,
            traceparent: record.traceparent.clone(),
        })
    }

    /// Tells a peer that an offered task is no longer needed.
    pub(super) fn cancel_offer(&self, key: PendingKey, effects: &mut Vec<Effect>) {
        let Some(pending) = self.pending.get(key) else { return };
        let correlation = self.correlation(key);
        self.tell(&pending.peer.instance, Message::Cancel { correlation }, effects);
    }

    /// Runs a task that a peer offers at once on a free slot, or rejects it if no slot
    /// promises an earlier finish than the owner's.
    pub(super) fn offer_received(
        &mut self,
        now: Timestamp,
        from: &Owner,
        correlation: u64,
        task: OfferedTask,
        effects: &mut Vec<Effect>,
    ) {
        let kind = self.kinds.find(&task.kind).unwrap_or_default();
        let group = self.groups.get(&task.group).filter(|group| group.queue.is_empty());
        let target = group
            .filter(|_| !self.is_leaving())
            .and_then(|group| group.placement.pick(kind, &[], &mut self.rng))
            .filter(|&key| {
                let expected_us = self.estimator.target_us(kind, key).mean_us;
                task.owner_estimate_us
                    .is_none_or(|owner_estimate_us| expected_us <= owner_estimate_us)
            })
            .and_then(|key| Some((key, self.targets.get(key)?)));
        let Some((target_key, target)) = target else {
            let report = SendReport::Rejected(RejectReason::Busy);
            let peer = from.instance.clone();
            effects.push(Effect::EndSpan { peer, correlation });
            self.tell(
                &from.instance,
                Message::TaskReport { correlation, report },
                effects,
            );
            return;
        };
        let (address, lease) = (target.info.address.clone(), target.lease_grant());
        let attempt = self.attempts.insert(AttemptState {
            origin: Origin::Peer { owner: from.clone(), correlation },
            place: RunPlace::Target(target_key),
            group: task.group.clone(),
            kind,
            sent: now,
            probe: false,
            hedge: false,
            number: task.attempt,
            submission: task.submission.clone(),
            task: task.task,
        });
        if let Some(group) = self.groups.get_mut(&task.group) {
            group.placement.acquire(target_key);
        }
        effects.push(Effect::Send(SendOrder {
            attempt,
            address,
            submission: task.submission,
            task: task.task,
            number: task.attempt,
            kind: task.kind,
            idempotent: task.idempotent,
            payload: task.payload,
            deadline_ms: task.deadline_ms,
            lease,
            traceparent: task.traceparent,
        }));
    }

    /// Handles the end of a task that a peer ran or rejected.
    pub(super) fn offer_finished(
        &mut self,
        now: Timestamp,
        correlation: u64,
        report: SendReport,
        effects: &mut Vec<Effect>,
    ) {
        let key = self.pending_key(correlation);
        let Some(Pending { peer, purpose: Purpose::Offer(attempt), .. }) =
            self.take_pending(key)
        else {
            self.late_answers += 1;
            return;
        };
        if matches!(report, SendReport::Rejected(_) | SendReport::NotSent) {
            self.peer_slots.note_rejection(&peer.instance, now);
        }
        self.send_finished(now, attempt, report, effects);
    }

    /// Stops an offered task that its owner no longer needs.
    pub(super) fn offer_cancelled(
        &mut self,
        from: &Owner,
        number: u64,
        effects: &mut Vec<Effect>,
    ) {
        let found = self.attempts.iter().find(|(_, state)| match &state.origin {
            Origin::Peer { owner, correlation } => {
                owner == from && *correlation == number
            }
            Origin::Own { .. } => false,
        });
        if let Some((attempt, _)) = found {
            self.stop_attempt(attempt, effects);
        }
    }

    /// Returns the number of free slots of each target group, in the order of the
    /// configuration; 0 for groups with queued tasks.
    pub(super) fn free_slots(&self) -> Vec<u32> {
        let groups = self.config.target_group.keys().map(|name| self.groups.get(name));
        let free = |group: Option<&crate::engine::Group>| {
            let idle = group.filter(|group| group.queue.is_empty());
            idle.map_or(0, |group| group.placement.free_slots())
        };
        groups.map(free).collect()
    }

    /// Adds the slot report to the messages that carry one.
    pub(super) fn report_slots(&self, now: Timestamp, effects: &mut [Effect]) {
        let envelopes = effects.iter_mut().filter_map(|effect| match effect {
            Effect::PeerMessage { envelope, .. } => Some(envelope),
            _ => None,
        });
        let carriers = envelopes.filter(|envelope| envelope.message.carries_slots());
        let mut report = None;
        for envelope in carriers {
            let report = report.get_or_insert_with(|| self.slot_report(now));
            envelope.slots = Some(report.clone());
        }
    }

    /// Returns the report on free slots for peers.
    fn slot_report(&self, now: Timestamp) -> SlotReport {
        let groups = self.config.target_group.keys();
        let groups = groups.map(|name| {
            self.groups.get(name).map_or(vec![], |group| {
                match group.queue.is_empty() && !self.is_leaving() {
                    true => self.free_targets(group),
                    false => vec![],
                }
            })
        });
        let config_version = self.config_version;
        SlotReport { made_at: now, config_version, groups: groups.collect() }
    }

    /// Describes the fastest targets of a group that have free slots.
    fn free_targets(&self, group: &Group) -> Vec<FreeTarget> {
        let fastest = group.placement.fastest(&group.kinds, MAX_REPORTED_TARGETS);
        let run_ms = |kind: KindKey, target: TargetKey| {
            let run_us = self.estimator.target_us(kind, target).mean_us;
            u32::try_from(run_us / US_PER_MS).unwrap_or(u32::MAX)
        };
        let describe = |(target, free): (TargetKey, u32)| {
            let kinds = group.kinds.iter();
            FreeTarget { free, run_ms: kinds.map(|&kind| run_ms(kind, target)).collect() }
        };
        fastest.into_iter().map(describe).collect()
    }

    /// Returns the number of a group's slots at peers that this instance can count on.
    pub(super) fn peer_share(&self, group: &GroupName) -> u32 {
        let position = self.config.target_group.keys().position(|name| name == group);
        let position = position.filter(|_| self.setup.lend);
        position.map_or(0, |position| self.peer_slots.free_share(position))
    }
}
