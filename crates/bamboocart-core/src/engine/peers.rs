//! What instances do for each other.

use std::sync::Arc;

use slotmap::{Key, KeyData, new_key_type};

use crate::engine::record::{Asker, AttemptState, Origin, QueuedTask, RunPlace};
use crate::engine::{Effect, Engine, Reply, SendOrder};
use crate::id::{ConfigVersion, GroupName, InstanceName};
use crate::membership::{Change, ChangeKind, Heartbeat, PeerInfo, PeerState};
use crate::message::{Ask, Message, OfferedTask};
use crate::outcome::{Outcome, UnknownCode};
use crate::ownership::Owner;
use crate::queue::Pick;
use crate::target::{AttemptKey, SendReport, TurnAway};
use crate::time::Timestamp;

/// The time beyond a deadline for which a peer's answer is awaited.
const ANSWER_GRACE_MS: u64 = 3_000;

/// The time that a question about a submission may take.
const QUESTION_MS: u64 = 3_000;

/// The deadline of a forwarded submission that names none.
const DEFAULT_DEADLINE_MS: u64 = 30_000;

/// The time between greetings to the seed addresses while no peer is known.
const GREET_EVERY_MS: u64 = 1_000;

/// The handovers that a newly live peer is told, more than the planned stops of an hour.
const TOLD_SUCCESSIONS: usize = 256;

/// The time after the first heartbeats in which peers tell about handovers: one heartbeat
/// of this instance to another failure domain, and the answer to it.
const ACQUAINTED_MS: u64 = 1_000;

/// The time after the start at which an instance is ready without the list or the claims,
/// since it is to serve tickets while the platform is down.
const READY_AFTER_MS: u64 = 5_000;

new_key_type! {
    /// The key of a message that waits for an answer.
    pub struct PendingKey;
}

/// A message to a peer that waits for an answer.
#[derive(Debug)]
pub struct Pending {
    /// The peer.
    peer: Owner,
    /// When the answer is given up.
    until: Timestamp,
    /// What the answer is for.
    about: About,
}

impl Pending {
    /// Returns the name of the peer.
    pub fn peer_name(&self) -> &InstanceName {
        &self.peer.instance
    }
}

/// What an answer is for.
#[derive(Debug)]
enum About {
    /// A caller's wish that was forwarded to the owner of a submission.
    Forward {
        /// The caller.
        asker: Asker,
        /// The wish, for giving it to another peer if it certainly did not arrive.
        ask: Ask,
    },
    /// A task that a peer runs.
    Offer(AttemptKey),
}

impl Engine {
    /// Takes in a message of a peer.
    pub(super) fn peer_message(
        &mut self,
        now: Timestamp,
        from: &Owner,
        message: Message,
        effects: &mut Vec<Effect>,
    ) {
        let peers = &mut self.membership.peers;
        let changes = peers.touched(&from.instance, from.incarnation, now);
        self.peers_changed(now, &changes, effects);
        match message {
            Message::Heartbeat(beat) => self.heartbeat(now, beat, effects),
            Message::Forward { correlation, ask } => {
                let asker = Asker::Peer { peer: from.clone(), correlation };
                self.asked(now, asker, ask, effects);
            }
            Message::Answer { correlation, reply } => {
                self.answered(correlation, *reply, effects);
            }
            Message::Offer { correlation, task } => {
                self.offered(now, from, correlation, task, effects);
            }
            Message::Ran { correlation, report } => {
                self.ran(now, correlation, report, effects);
            }
            Message::Cancel { correlation } => {
                self.offer_cancelled(from, correlation, effects);
            }
            Message::ConfigFetch => {
                self.share_config(&from.instance, effects);
            }
            Message::ConfigSet { version, text, plans_since } => {
                self.config_from_peer(now, version, &text, plans_since, effects);
            }
            Message::HandOver(part) => self.handed_over(now, from, *part, effects),
            Message::HandOverTaken { from: owner } => {
                self.hand_over_taken(from, &owner, effects);
            }
            Message::Succession { from, to } => {
                self.succeeded(now, from, to, effects);
            }
        }
    }

    /// Notes that a message to a peer was not acknowledged.
    ///
    /// A message that may have arrived keeps waiting for its answer.
    pub(super) fn peer_undelivered(
        &mut self,
        now: Timestamp,
        correlation: u64,
        certain: bool,
        effects: &mut Vec<Effect>,
    ) {
        let key = self.pending_key(correlation);
        if certain && let Some(pending) = self.take_pending(key) {
            self.give_up(now, pending, true, effects);
        }
    }

    /// Sends a caller's wish to the owner of a submission.
    ///
    /// A wish that a peer has forwarded is not passed on, so that differing views cannot
    /// send it round in circles.
    pub(super) fn forward(
        &mut self,
        now: Timestamp,
        asker: Asker,
        owner: &Owner,
        ask: Ask,
        effects: &mut Vec<Effect>,
    ) {
        if let Asker::Peer { peer, correlation } = &asker {
            if self.tell_successor(&peer.instance, effects) {
                let (peer, correlation) = (peer.instance.clone(), *correlation);
                effects.push(Effect::EndSpan { peer, correlation });
            } else {
                self.answer_unknown(&asker, &ask, UnknownCode::OwnerGone, effects);
            }
            return;
        }
        let wait_ms = match &ask {
            Ask::Submit(submission) => {
                let kind = self.config.request_kind.get(&submission.kind);
                let default_ms =
                    kind.map_or(DEFAULT_DEADLINE_MS, |kind| kind.deadline_ms);
                submission
                    .deadline_ms
                    .unwrap_or(default_ms)
                    .saturating_add(ANSWER_GRACE_MS)
            }
            Ask::Query(_) | Ask::Cancel(_) => QUESTION_MS,
        };
        let until = now.plus_ms(wait_ms);
        let about = About::Forward { asker, ask: ask.clone() };
        let key = self.add_pending(Pending { peer: owner.clone(), until, about });
        let correlation = self.correlation(key);
        let message = Message::Forward { correlation, ask };
        self.tell_tracked(&owner.instance, Some(correlation), message, effects);
    }

    /// Sends a message to a peer that is known.
    pub(super) fn tell(
        &self,
        peer: &InstanceName,
        message: Message,
        effects: &mut Vec<Effect>,
    ) {
        self.tell_tracked(peer, None, message, effects);
    }

    /// Sends a message to a peer and learns whether it was taken.
    fn tell_tracked(
        &self,
        peer: &InstanceName,
        correlation: Option<u64>,
        message: Message,
        effects: &mut Vec<Effect>,
    ) {
        let Some(peer) = self.membership.peers.get(peer) else { return };
        let address = peer.info.address.clone();
        effects.push(Effect::Peer { address, correlation, message });
    }

    /// Does what is due towards peers.
    pub(super) fn peers_round(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        let changes = self.membership.peers.tick(now);
        self.peers_changed(now, &changes, effects);
        self.link_peers(effects);
        let due = self.membership.peers.due_beats(now);
        for info in due {
            self.beat(&info.address, effects);
        }
        let alone = self.membership.peers.iter().next().is_none();
        if alone && now.ms_since(self.greeted_at) >= GREET_EVERY_MS {
            self.greeted_at = now;
            for seed in self.setup.seeds.clone() {
                self.beat(&seed, effects);
            }
        }
        let newest = self.membership.peers.serving().max_by_key(|p| p.config_version);
        let newest = newest.filter(|peer| peer.config_version > self.config_version);
        if let Some(name) = newest.map(|peer| peer.info.name.clone()) {
            self.fetch_config(now, &name, effects);
        }
    }

    /// Sends a heartbeat.
    fn beat(&mut self, address: &Arc<str>, effects: &mut Vec<Effect>) {
        let free_slots = self.free_slots();
        let (leaving, version) = (self.is_leaving(), self.config_version);
        let beat = self.membership.peers.beat(leaving, version, free_slots);
        let message = Message::Heartbeat(beat);
        effects.push(Effect::Peer {
            address: address.clone(),
            correlation: None,
            message,
        });
    }

    /// Sends a heartbeat to every peer at once, for news that cannot wait.
    pub(super) fn beat_all(&mut self, effects: &mut Vec<Effect>) {
        let peers = self.membership.peers.iter().filter(|peer| peer.is_live());
        let addresses: Vec<Arc<str>> = peers.map(|p| p.info.address.clone()).collect();
        for address in addresses {
            self.beat(&address, effects);
        }
    }

    /// Asks a peer for its configuration, at most once a second.
    ///
    /// The log usually delivers a new version first; the peer serves while it is down.
    fn fetch_config(
        &mut self,
        now: Timestamp,
        peer: &InstanceName,
        effects: &mut Vec<Effect>,
    ) {
        if now.ms_since(self.fetched_at) < GREET_EVERY_MS {
            return;
        }
        self.fetched_at = now;
        self.tell(peer, Message::ConfigFetch, effects);
    }

    /// Tells the links about a change of addresses.
    fn link_peers(&mut self, effects: &mut Vec<Effect>) {
        let peers = self.membership.peers.iter().map(|peer| peer.info.address.clone());
        let addresses: Vec<Arc<str>> =
            peers.chain(self.setup.seeds.iter().cloned()).collect();
        if addresses != self.linked {
            self.linked.clone_from(&addresses);
            effects.push(Effect::Peers(addresses));
        }
    }

    /// Takes in a heartbeat.
    fn heartbeat(&mut self, now: Timestamp, beat: Heartbeat, effects: &mut Vec<Effect>) {
        let name = beat.info.name.clone();
        if beat.config_version == self.config_version {
            for (group, &free) in self.config.target_group.keys().zip(&beat.free_slots) {
                // Half, because other instances read the same number.
                self.credits.insert((name.clone(), group.clone()), free.div_ceil(2));
            }
        }
        let changes = self.membership.peers.heard(beat, now);
        self.peers_changed(now, &changes, effects);
        self.dispatch_all(now, effects);
    }

    /// Acts on changes among the peers.
    pub(super) fn peers_changed(
        &mut self,
        now: Timestamp,
        changes: &[Change],
        effects: &mut Vec<Effect>,
    ) {
        for change in changes {
            self.fleet_changed = true;
            match change.kind {
                ChangeKind::Dead => {
                    let owner = Owner::new(change.name.clone(), change.incarnation);
                    self.credits.retain(|(peer, _), _| *peer != change.name);
                    self.assembly.forget(&owner);
                    self.peer_died(now, &owner, effects);
                }
                ChangeKind::Leaving => {
                    self.credits.retain(|(peer, _), _| *peer != change.name);
                }
                ChangeKind::Live => self.tell_successions(&change.name, effects),
                ChangeKind::Suspect => {}
            }
        }
        if !changes.is_empty() {
            let live = self.membership.peers.serving().count() + 1;
            self.quotas.set_live_instances(u32::try_from(live).unwrap_or(u32::MAX), now);
        }
    }

    /// Gives up the messages that wait for an incarnation which is dead.
    fn peer_died(&mut self, now: Timestamp, owner: &Owner, effects: &mut Vec<Effect>) {
        let waiting = self.pending.iter().filter(|(_, pending)| pending.peer == *owner);
        let keys: Vec<PendingKey> = waiting.map(|(key, _)| key).collect();
        for key in keys {
            if let Some(pending) = self.take_pending(key) {
                self.give_up(now, pending, false, effects);
            }
        }
    }

    /// Gives up the messages whose answer is overdue.
    pub(super) fn expire_pending(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        while let Some(&(until, key)) = self.pending_until.first() {
            if until > now {
                return;
            }
            if let Some(pending) = self.take_pending(key) {
                self.give_up(now, pending, false, effects);
            }
        }
    }

    /// Returns the number that a message carries, by which its answer finds back.
    ///
    /// Keys repeat in each run of an instance. Peers send late answers to an earlier run
    /// to the address that a later one has taken over, and the later run must not take
    /// them for answers to its own messages.
    fn correlation(&self, key: PendingKey) -> u64 {
        key.data().as_ffi() ^ self.correlation_mask()
    }

    /// Returns the message that a number belongs to, which is none of this run's if the
    /// number is an earlier run's.
    fn pending_key(&self, correlation: u64) -> PendingKey {
        KeyData::from_ffi(correlation ^ self.correlation_mask()).into()
    }

    /// Returns a number that differs in all its parts between the runs of an instance.
    fn correlation_mask(&self) -> u64 {
        let hash = blake3::hash(&self.me.incarnation.0.to_le_bytes());
        let mut mask = [0; 8];
        mask.copy_from_slice(&hash.as_bytes()[..8]);
        u64::from_le_bytes(mask)
    }

    /// Tells a peer that is newly live about the handovers that it may have missed.
    fn tell_successions(&self, peer: &InstanceName, effects: &mut Vec<Effect>) {
        for (from, to) in self.successions.latest(TOLD_SUCCESSIONS) {
            let (from, to) = (from.clone(), to.clone());
            self.tell(peer, Message::Succession { from, to }, effects);
        }
    }

    /// Announces that this instance is ready once it is configured and knows the others.
    ///
    /// An instance that has just started takes the owners of other ids for gone until it
    /// has heard its peers, so a balancer must not use it before.
    pub(super) fn announce_ready(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        if self.ready || self.is_leaving() || self.config_version.0 == 0 {
            return;
        }
        let mut peers = self.membership.peers.iter();
        let listed = self.membership.list_version() > 0 && self.claims_seen;
        let unheard = peers.any(|peer| peer.state == PeerState::Learned);
        if !listed || unheard {
            self.acquainted_at = None;
        } else {
            self.acquainted_at = self.acquainted_at.or(Some(now));
        }
        let settled =
            self.acquainted_at.is_some_and(|at| now.ms_since(at) >= ACQUAINTED_MS);
        let late = now.ms_since(self.started_at) >= READY_AFTER_MS;
        if settled || late {
            self.ready = true;
            effects.push(Effect::Ready);
        }
    }

    /// Learns of a handover and gives the forwards to the old owner to the new one.
    ///
    /// The old owner has answered what it knew, and an answer that is still on its way is
    /// the same as the successor's. A submission without an id may have been started
    /// under one that is not known here, so it keeps waiting.
    fn succeeded(
        &mut self,
        now: Timestamp,
        from: Owner,
        to: Owner,
        effects: &mut Vec<Effect>,
    ) {
        self.successions.learn(from.clone(), to);
        let moves = |pending: &Pending| match &pending.about {
            About::Forward { ask, .. } => pending.peer == from && ask.has_id(),
            About::Offer(_) => false,
        };
        let waiting = self.pending.iter().filter(|(_, pending)| moves(pending));
        let keys: Vec<PendingKey> = waiting.map(|(key, _)| key).collect();
        for key in keys {
            if let Some(Pending { about: About::Forward { asker, ask }, .. }) =
                self.take_pending(key)
            {
                self.asked(now, asker, ask, effects);
            }
        }
    }

    /// Adds a message that waits for an answer.
    fn add_pending(&mut self, pending: Pending) -> PendingKey {
        let until = pending.until;
        let key = self.pending.insert(pending);
        self.pending_until.insert((until, key));
        key
    }

    /// Removes a message that waits for an answer.
    fn take_pending(&mut self, key: PendingKey) -> Option<Pending> {
        let pending = self.pending.remove(key)?;
        self.pending_until.remove(&(pending.until, key));
        Some(pending)
    }

    /// Ends the wait for an answer that will not come.
    fn give_up(
        &mut self,
        now: Timestamp,
        pending: Pending,
        not_sent: bool,
        effects: &mut Vec<Effect>,
    ) {
        match pending.about {
            About::Forward { asker, ask } => match ask {
                // A submission without an id has no other copy.
                Ask::Submit(submission) if not_sent && submission.id.is_none() => {
                    self.submit(now, asker, *submission, effects);
                }
                ask => {
                    self.answer_unknown(&asker, &ask, UnknownCode::OwnerSilent, effects)
                }
            },
            About::Offer(attempt) => {
                let report =
                    if not_sent { SendReport::NotSent } else { SendReport::Lost };
                self.send_finished(now, attempt, report, effects);
            }
        }
    }

    /// Tells a caller that the outcome is not known.
    fn answer_unknown(
        &mut self,
        asker: &Asker,
        ask: &Ask,
        code: UnknownCode,
        effects: &mut Vec<Effect>,
    ) {
        let (submission, want) = match ask {
            Ask::Submit(submission) => (submission.id.clone(), submission.want_tickets),
            Ask::Query(id) | Ask::Cancel(id) => (Some(id.clone()), 0),
        };
        let reply = Reply::Outcome {
            submission,
            outcome: Outcome::Unknown(code),
            config_version: self.config_version,
            owner: self.me.instance.clone(),
            attempts: 0,
            tickets: self.issue_tickets(want),
        };
        self.reply_with(asker, reply, effects);
    }

    /// Takes in a wish that a peer has forwarded.
    fn asked(
        &mut self,
        now: Timestamp,
        asker: Asker,
        ask: Ask,
        effects: &mut Vec<Effect>,
    ) {
        match ask {
            Ask::Submit(submission) => self.submit(now, asker, *submission, effects),
            Ask::Query(id) => self.query(now, asker, id, effects),
            Ask::Cancel(id) => self.cancel(now, asker, id, effects),
        }
    }

    /// Passes the owner's answer on to the caller.
    fn answered(&mut self, correlation: u64, reply: Reply, effects: &mut Vec<Effect>) {
        let key = self.pending_key(correlation);
        let Some(Pending { about: About::Forward { asker, .. }, .. }) =
            self.take_pending(key)
        else {
            self.late_answers += 1;
            return;
        };
        self.reply_with(&asker, reply, effects);
    }

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
        let Some(attempt) = self.start(now, name, &next, place, false) else { return };
        if let Some(pending) = self.pending.get_mut(pending) {
            pending.about = About::Offer(attempt);
        }
        let Some(task) = self.offered_task(now, name, next.key) else { return };
        let correlation = self.correlation(pending);
        let message = Message::Offer { correlation, task };
        self.tell_tracked(&peer.name, Some(correlation), message, effects);
    }

    /// Describes a task for a peer.
    fn offered_task(
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
    fn offered(
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
    fn ran(
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
    fn offer_cancelled(&mut self, from: &Owner, number: u64, effects: &mut Vec<Effect>) {
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
    fn free_slots(&self) -> Vec<u32> {
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

    /// Returns the newest version that a peer has reported.
    pub(super) fn newest_peer_version(&self) -> ConfigVersion {
        let versions = self.membership.peers.serving().map(|peer| peer.config_version);
        versions.max().unwrap_or_default()
    }
}
