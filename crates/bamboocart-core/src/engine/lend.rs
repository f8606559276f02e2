//! Tasks that instances run for each other.

use slotmap::Key;

use crate::engine::forward::{ANSWER_GRACE_MS, About, Pending, PendingKey};
use crate::engine::record::{AttemptState, Origin, QueuedTask, RunPlace};
use crate::engine::{Effect, Engine, SendOrder};
use crate::id::GroupName;
use crate::membership::PeerInfo;
use crate::message::{Message, OfferedTask};
use crate::ownership::Owner;
use crate::queue::Pick;
use crate::target::{AttemptKey, SendReport, TurnAway};
use crate::time::Timestamp;

impl Engine {
    /// Takes the next task that a peer has a free slot for.
    pub(super) fn next_lent(
        &mut self,
        name: &GroupName,
    ) -> Option<(Pick<QueuedTask, crate::engine::CustomerKey>, PeerInfo)> {
        let group = self.groups.get_mut(name)?;
        if !self.setup.lend || group.queue.is_empty() {
            return None;
        }
        let peers = self.membership.peers.serving().filter_map(|peer| {
            let credit = (peer.info.name.clone(), name.clone());
            let slots = self.credits.get(&credit).copied().filter(|&slots| slots > 0)?;
            Some((slots, peer.info.clone()))
        });
        let (_, peer) = peers.max_by_key(|(slots, peer)| (*slots, peer.name.clone()))?;
        let next = group.queue.pick(|_| true)?;
        let credit = (peer.name.clone(), name.clone());
        self.credits.entry(credit).and_modify(|slots| *slots -= 1);
        Some((next, peer))
    }

    /// Offers a queued task to a peer.
    pub(super) fn start_on_peer(
        &mut self,
        now: Timestamp,
        name: &GroupName,
        next: Pick<QueuedTask, crate::engine::CustomerKey>,
        peer: &PeerInfo,
        effects: &mut Vec<Effect>,
    ) {
        let owner = Owner::new(peer.name.clone(), peer.incarnation);
        let Some(record) = self.tenure.get(next.key.submission) else { return };
        let until = record.deadline.plus_ms(ANSWER_GRACE_MS);
        let about = About::Offer(AttemptKey::null());
        let pending = self.add_pending(Pending { peer: owner, until, about });
        let place = RunPlace::Peer(pending);
        let Some(attempt) = self.start(now, name, &next, (place, false), effects) else {
            return;
        };
        if let Some(pending) = self.pending.get_mut(pending) {
            pending.about = About::Offer(attempt);
        }
        let Some(task) = self.offered_task(now, name, next.key) else { return };
        let correlation = self.correlation(pending);
        let message = Message::Offer { correlation, task };
        self.tell_tracked(&peer.name, Some(correlation), message, effects);
    }

    /// Describes a task for a peer.
    pub(super) fn offered_task(
        &self,
        now: Timestamp,
        group: &GroupName,
        queued: QueuedTask,
    ) -> Option<OfferedTask> {
        let record = self.tenure.get(queued.submission)?;
        let task = record.tasks.get(usize::from(queued.task))?;
        Some(OfferedTask {
            group: group.clone(),
            submission: record.id.clone(),
            task: crate::id::TaskIndex(queued.task),
            number: task.sends,
            kind: self.kinds.name(record.kind)?.clone(),
            idempotent: record.rules.idempotent,
            payload: task.spec.payload.clone(),
            deadline_ms: record.deadline.ms_since(now),
            traceparent: record.traceparent.clone(),
        })
    }

    /// Tells a peer that an offered task is no longer needed.
    pub(super) fn cancel_offer(&self, key: PendingKey, effects: &mut Vec<Effect>) {
        let Some(pending) = self.pending.get(key) else { return };
        let correlation = self.correlation(key);
        self.tell(&pending.peer.instance, Message::Cancel { correlation }, effects);
    }

    /// Runs a peer's task on a free slot at once, or bounces it.
    pub(super) fn offered(
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
            .and_then(|key| Some((key, self.targets.get(key)?)));
        let Some((target_key, target)) = target else {
            let report = SendReport::TurnedAway(TurnAway::Busy);
            self.tell(&from.instance, Message::Ran { correlation, report }, effects);
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
            number: task.number,
            submission: task.submission.clone(),
            task: task.task,
        });
        if let Some(group) = self.groups.get_mut(&task.group) {
            group.placement.take(target_key);
        }
        effects.push(Effect::Send(SendOrder {
            attempt,
            address,
            submission: task.submission,
            task: task.task,
            number: task.number,
            kind: task.kind,
            idempotent: task.idempotent,
            payload: task.payload,
            deadline_ms: task.deadline_ms,
            lease,
            traceparent: task.traceparent,
        }));
    }

    /// Takes in the end of a task that a peer ran.
    pub(super) fn ran(
        &mut self,
        now: Timestamp,
        correlation: u64,
        report: SendReport,
        effects: &mut Vec<Effect>,
    ) {
        let key = self.pending_key(correlation);
        let Some(Pending { peer, about: About::Offer(attempt), .. }) =
            self.take_pending(key)
        else {
            self.late_answers += 1;
            return;
        };
        let group = self.attempts.get(attempt).map(|state| state.group.clone());
        if let Some(credit) =
            group.and_then(|group| self.credits.get_mut(&(peer.instance, group)))
        {
            match report {
                // A bounced task shows that the number of free slots was out of date.
                SendReport::TurnedAway(_) | SendReport::NotSent => *credit = 0,
                _ => *credit += 1,
            }
        }
        self.send_finished(now, attempt, report, effects);
    }

    /// Stops a peer's task that is no longer needed.
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

    /// Returns the free slots for each target group, in the order of the configuration.
    pub(super) fn free_slots(&self) -> Vec<u32> {
        let groups = self.config.target_group.keys().map(|name| self.groups.get(name));
        let free = |group: Option<&crate::engine::Group>| {
            let idle = group.filter(|group| group.queue.is_empty());
            idle.map_or(0, |group| group.placement.free_slots())
        };
        groups.map(free).collect()
    }

    /// Returns the slots of a group that peers have reported free.
    pub(super) fn peer_slots(&self, group: &GroupName) -> u32 {
        if !self.setup.lend {
            return 0;
        }
        let credits = self.credits.iter().filter(|((_, name), _)| name == group);
        credits.map(|(_, &slots)| slots).sum()
    }
}
