//! What instances tell each other about themselves.

use std::sync::Arc;

use crate::engine::record::Asker;
use crate::engine::{Effect, Engine};
use crate::id::{ConfigVersion, InstanceName};
use crate::membership::{Heartbeat, PeerChange, PeerChangeKind, PeerState};
use crate::message::{Envelope, Message};
use crate::ownership::Owner;
use crate::time::Timestamp;

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

impl Engine {
    /// Takes in a message of a peer.
    pub(super) fn peer_message(
        &mut self,
        now: Timestamp,
        from: &Owner,
        envelope: Envelope,
        effects: &mut Vec<Effect>,
    ) {
        let peers = &mut self.membership.peers;
        let changes = peers.note_message(&from.instance, from.incarnation, now);
        self.peers_changed(now, &changes, effects);
        let has_slots = envelope.slots.is_some();
        if let Some(report) = envelope.slots.filter(|_| self.serves(from)) {
            self.peer_slots.note_report(&from.instance, report, now);
        }
        match envelope.message {
            Message::Heartbeat(beat) => self.heartbeat(now, beat, effects),
            Message::Forward { correlation, request: ask } => {
                let asker = Asker::Peer { peer: from.clone(), correlation };
                self.asked(now, asker, ask, effects);
            }
            Message::Answer { correlation, reply } => {
                self.answered(correlation, *reply, effects);
            }
            Message::Offer { correlation, task } => {
                self.offered(now, from, correlation, task, effects);
            }
            Message::TaskReport { correlation, report } => {
                self.ran(now, correlation, report, effects);
            }
            Message::Cancel { correlation } => {
                self.offer_cancelled(from, correlation, effects);
            }
            Message::ConfigFetch => {
                self.share_config(&from.instance, effects);
            }
            Message::ConfigSet { version, text, plans_since, position } => {
                let begun = plans_since.into_iter().collect();
                let set = (version, text);
                self.config_from_peer(now, set, begun, position, effects);
            }
            Message::HandoverPart(part) => self.handed_over(now, from, *part, effects),
            Message::HandoverAccepted { from: owner } => {
                self.hand_over_taken(from, &owner, effects);
            }
            Message::HandoverDeclined { from: owner } => {
                self.hand_over_declined(now, from, &owner, effects);
            }
            Message::Succession { from, to } => {
                self.succeeded(now, from, to, effects);
            }
        }
        if has_slots {
            self.dispatch_all(now, effects);
        }
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
    pub(super) fn tell_tracked(
        &self,
        peer: &InstanceName,
        correlation: Option<u64>,
        message: Message,
        effects: &mut Vec<Effect>,
    ) {
        let Some(peer) = self.membership.peers.get(peer) else { return };
        let address = peer.info.address.clone();
        let envelope = Envelope { slots: None, message };
        effects.push(Effect::PeerMessage { address, correlation, envelope });
    }

    /// Does what is due towards peers.
    pub(super) fn peers_round(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        let changes = self.membership.peers.tick(now);
        self.peers_changed(now, &changes, effects);
        self.link_peers(effects);
        let due = self.membership.peers.due_heartbeats(now);
        let list_is_stale = self.membership.is_stale(now);
        for info in due {
            self.beat(&info.address, list_is_stale, effects);
        }
        let alone = self.membership.peers.iter().next().is_none();
        if alone && now.ms_since(self.greeted_at) >= GREET_EVERY_MS {
            self.greeted_at = now;
            for seed in self.setup.seeds.clone() {
                self.beat(&seed, list_is_stale, effects);
            }
        }
        let newest = self.membership.peers.reachable().max_by_key(|p| p.config_version);
        let newest = newest.filter(|peer| peer.config_version > self.config_version);
        if let Some(name) = newest.map(|peer| peer.info.name.clone()) {
            self.fetch_config(now, &name, effects);
        }
    }

    /// Sends a heartbeat.
    fn beat(
        &mut self,
        address: &Arc<str>,
        list_is_stale: bool,
        effects: &mut Vec<Effect>,
    ) {
        let free_slots = self.free_slots();
        let state = (self.is_leaving(), list_is_stale);
        let version = self.config_version;
        let beat = self.membership.peers.heartbeat(state, version, free_slots);
        let envelope = Envelope { slots: None, message: Message::Heartbeat(beat) };
        effects.push(Effect::PeerMessage {
            address: address.clone(),
            correlation: None,
            envelope,
        });
    }

    /// Sends a heartbeat to every peer at once, for news that cannot wait.
    pub(super) fn beat_all(&mut self, effects: &mut Vec<Effect>) {
        let peers = self.membership.peers.iter().filter(|peer| peer.is_live());
        let addresses: Vec<Arc<str>> = peers.map(|p| p.info.address.clone()).collect();
        for address in addresses {
            self.beat(&address, false, effects);
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
            effects.push(Effect::PeersChanged(addresses));
        }
    }

    /// Takes in a heartbeat.
    fn heartbeat(&mut self, now: Timestamp, beat: Heartbeat, effects: &mut Vec<Effect>) {
        let (version, free_slots) = (beat.config_version, beat.free_slots.clone());
        let sender = Owner::new(beat.info.name.clone(), beat.info.incarnation);
        let changes = self.membership.peers.note_heartbeat(beat, now);
        self.peers_changed(now, &changes, effects);
        if self.serves(&sender) {
            self.peer_slots.note_heartbeat(&sender.instance, version, &free_slots, now);
        }
        self.dispatch_all(now, effects);
    }

    /// Reports whether a peer takes new work in the run that sent a message.
    fn serves(&self, sender: &Owner) -> bool {
        let peer = self.membership.peers.get(&sender.instance);
        let current = peer.filter(|peer| peer.info.incarnation == sender.incarnation);
        current.is_some_and(|peer| peer.is_serving())
    }

    /// Acts on changes among the peers.
    pub(super) fn peers_changed(
        &mut self,
        now: Timestamp,
        changes: &[PeerChange],
        effects: &mut Vec<Effect>,
    ) {
        for change in changes {
            self.fleet_changed = true;
            match change.kind {
                PeerChangeKind::Dead => {
                    let owner = Owner::new(change.name.clone(), change.incarnation);
                    self.peer_slots.forget(&change.name);
                    self.assembly.forget(&owner);
                    self.peer_died(now, &owner, effects);
                }
                PeerChangeKind::Leaving => self.peer_slots.forget(&change.name),
                PeerChangeKind::Live => self.tell_successions(&change.name, effects),
                PeerChangeKind::Suspect => {}
            }
        }
        if !changes.is_empty() {
            let live = self.membership.peers.serving().count() + 1;
            self.quotas.set_live_instances(u32::try_from(live).unwrap_or(u32::MAX), now);
        }
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

    /// Returns the newest version that a peer has reported.
    pub(super) fn newest_peer_version(&self) -> ConfigVersion {
        let versions = self.membership.peers.reachable().map(|peer| peer.config_version);
        versions.max().unwrap_or_default()
    }
}
