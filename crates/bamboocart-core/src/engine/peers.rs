//! Peers: message handling, heartbeats, readiness and handover announcements.

use std::sync::Arc;

use crate::engine::record::Requester;
use crate::engine::{Effect, Engine};
use crate::id::{ConfigVersion, InstanceName};
use crate::membership::{Heartbeat, PeerChange, PeerChangeKind, PeerState};
use crate::message::{Envelope, Message};
use crate::ownership::Owner;
use crate::time::Timestamp;

/// The shortest time between heartbeats to the seed addresses while no peer is known, and
/// between requests for a configuration.
const CONTACT_INTERVAL_MS: u64 = 1_000;

/// The number of handovers that are sent to a newly live peer, which exceeds the planned
/// stops of an hour.
const MAX_SUCCESSIONS_SENT: usize = 256;

/// The time after the first heartbeats of all peers within which they report handovers.
///
/// It covers one heartbeat of this instance to another failure domain, and the answer to
/// it.
const SUCCESSION_SYNC_MS: u64 = 1_000;

/// The time after the start at which an instance is ready even without the list or the
/// claims, since it has to serve tickets while the platform is down.
const READY_AFTER_MS: u64 = 5_000;

impl Engine {
    /// Handles a message of a peer.
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
            Message::Heartbeat(beat) => self.heartbeat_received(now, beat, effects),
            Message::Forward { correlation, request: ask } => {
                let requester = Requester::Peer { peer: from.clone(), correlation };
                self.request_received(now, requester, ask, effects);
            }
            Message::Answer { correlation, reply } => {
                self.answer_received(correlation, *reply, effects);
            }
            Message::Offer { correlation, task } => {
                self.offer_received(now, from, correlation, task, effects);
            }
            Message::TaskReport { correlation, report } => {
                self.offer_finished(now, correlation, report, effects);
            }
            Message::Cancel { correlation } => {
                self.offer_cancelled(from, correlation, effects);
            }
            Message::ConfigFetch => {
                self.share_config(&from.instance, effects);
            }
            Message::ConfigSet { version, text, plans_since, position } => {
                let plans_since = plans_since.into_iter().collect();
                let set = (version, text);
                self.config_from_peer(now, set, plans_since, position, effects);
            }
            Message::HandoverPart(part) => {
                self.handover_part_received(now, from, *part, effects)
            }
            Message::HandoverAccepted { from: owner } => {
                self.hand_over_taken(from, &owner, effects);
            }
            Message::HandoverDeclined { from: owner } => {
                self.hand_over_declined(now, from, &owner, effects);
            }
            Message::Succession { from, to } => {
                self.succession_received(now, from, to, effects);
            }
        }
        if has_slots {
            self.dispatch_all(now, effects);
        }
    }

    /// Sends a message to a peer, unless the peer is unknown.
    pub(super) fn tell(
        &self,
        peer: &InstanceName,
        message: Message,
        effects: &mut Vec<Effect>,
    ) {
        self.tell_tracked(peer, None, message, effects);
    }

    /// Sends a message to a peer, whose delivery is reported if `correlation` is given.
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

    /// Does the periodic work on peers: liveness, links, heartbeats and configurations.
    pub(super) fn maintain_peers(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        let changes = self.membership.peers.tick(now);
        self.peers_changed(now, &changes, effects);
        self.update_links(effects);
        let due = self.membership.peers.due_heartbeats(now);
        let list_is_stale = self.membership.is_stale(now);
        for info in due {
            self.send_heartbeat(&info.address, list_is_stale, effects);
        }
        let has_no_peer = self.membership.peers.iter().next().is_none();
        if has_no_peer && now.ms_since(self.seeds_contacted_at) >= CONTACT_INTERVAL_MS {
            self.seeds_contacted_at = now;
            for seed in self.setup.seeds.clone() {
                self.send_heartbeat(&seed, list_is_stale, effects);
            }
        }
        let newest = self.membership.peers.reachable().max_by_key(|p| p.config_version);
        let newest = newest.filter(|peer| peer.config_version > self.config_version);
        if let Some(name) = newest.map(|peer| peer.info.name.clone()) {
            self.fetch_config(now, &name, effects);
        }
    }

    fn send_heartbeat(
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

    /// Sends a heartbeat to every live peer at once, for changes that cannot wait for the
    /// next regular one.
    pub(super) fn send_heartbeats(&mut self, effects: &mut Vec<Effect>) {
        let peers = self.membership.peers.iter().filter(|peer| peer.is_live());
        let addresses: Vec<Arc<str>> = peers.map(|p| p.info.address.clone()).collect();
        for address in addresses {
            self.send_heartbeat(&address, false, effects);
        }
    }

    /// Requests the configuration of a peer, at most once a second.
    ///
    /// The log usually delivers a new version first. The peer is the source while the log
    /// is down.
    fn fetch_config(
        &mut self,
        now: Timestamp,
        peer: &InstanceName,
        effects: &mut Vec<Effect>,
    ) {
        if now.ms_since(self.config_fetched_at) < CONTACT_INTERVAL_MS {
            return;
        }
        self.config_fetched_at = now;
        self.tell(peer, Message::ConfigFetch, effects);
    }

    /// Emits the peer addresses if they have changed.
    fn update_links(&mut self, effects: &mut Vec<Effect>) {
        let peers = self.membership.peers.iter().map(|peer| peer.info.address.clone());
        let addresses: Vec<Arc<str>> =
            peers.chain(self.setup.seeds.iter().cloned()).collect();
        if addresses != self.linked_addresses {
            self.linked_addresses.clone_from(&addresses);
            effects.push(Effect::PeersChanged(addresses));
        }
    }

    /// Handles a heartbeat.
    fn heartbeat_received(
        &mut self,
        now: Timestamp,
        beat: Heartbeat,
        effects: &mut Vec<Effect>,
    ) {
        let (version, free_slots) = (beat.config_version, beat.free_slots.clone());
        let sender = Owner::new(beat.info.name.clone(), beat.info.incarnation);
        let changes = self.membership.peers.note_heartbeat(beat, now);
        self.peers_changed(now, &changes, effects);
        if self.serves(&sender) {
            self.peer_slots.note_heartbeat(&sender.instance, version, &free_slots, now);
        }
        self.dispatch_all(now, effects);
    }

    /// Reports whether the incarnation that sent a message is current and takes new work.
    fn serves(&self, sender: &Owner) -> bool {
        let peer = self.membership.peers.get(&sender.instance);
        let current = peer.filter(|peer| peer.info.incarnation == sender.incarnation);
        current.is_some_and(|peer| peer.is_serving())
    }

    /// Handles changes in the state of peers.
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

    /// Tells a newly live peer about the handovers that it may have missed.
    fn tell_successions(&self, peer: &InstanceName, effects: &mut Vec<Effect>) {
        for (from, to) in self.successions.latest(MAX_SUCCESSIONS_SENT) {
            let (from, to) = (from.clone(), to.clone());
            self.tell(peer, Message::Succession { from, to }, effects);
        }
    }

    /// Announces readiness once the instance is configured and knows its peers.
    ///
    /// An instance that has just started takes the owners of other ids for gone until it
    /// has heard from its peers, so the balancer must not use it before.
    pub(super) fn announce_ready(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        if self.ready || self.is_leaving() || self.config_version.0 == 0 {
            return;
        }
        let mut peers = self.membership.peers.iter();
        let listed = self.membership.list_version() > 0 && self.claims_seen;
        let unheard = peers.any(|peer| peer.state == PeerState::Learned);
        if !listed || unheard {
            self.peers_known_at = None;
        } else {
            self.peers_known_at = self.peers_known_at.or(Some(now));
        }
        let settled =
            self.peers_known_at.is_some_and(|at| now.ms_since(at) >= SUCCESSION_SYNC_MS);
        let late = now.ms_since(self.started_at) >= READY_AFTER_MS;
        if settled || late {
            self.ready = true;
            effects.push(Effect::Ready);
        }
    }

    /// Returns the newest configuration version that a reachable peer has reported.
    pub(super) fn newest_peer_version(&self) -> ConfigVersion {
        let versions = self.membership.peers.reachable().map(|peer| peer.config_version);
        versions.max().unwrap_or_default()
    }
}
