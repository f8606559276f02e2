//! The peer table: failure detection of the other instances by their heartbeats.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::heartbeat;
use crate::id::{ConfigVersion, DomainName, Incarnation, InstanceName};
use crate::time::Timestamp;

/// The silence after which a live peer is suspect.
pub const SUSPECT_MS: u64 = 3_000;

/// The silence after which a peer is dead.
pub const DEAD_MS: u64 = 5_000;

/// The time for which a dead incarnation must send messages without a gap before it is
/// live again, so that a flapping link does not reassign targets back and forth.
pub const RETURN_MS: u64 = 3_000;

/// The maximum number of peers in the table.
///
/// When the table is full, a new peer evicts the dead peer whose last message is the
/// oldest; without a dead peer, the new one is not added.
pub const MAX_PEERS: usize = 1_024;

/// The maximum number of known peers in a heartbeat, which keeps it near 120 bytes.
pub const MAX_KNOWN_PEERS: usize = 1;

/// The share of heartbeats that carry a known peer while the list is readable, as a
/// shift: one in four.
///
/// The list names every peer then, and a known peer takes a third of a heartbeat.
const KNOWN_PEER_SHIFT: u32 = 2;

/// The odd multiplier of the hash that selects the heartbeats that carry a known peer.
///
/// Hashing the heartbeat number gives each recipient some of them, whatever the number of
/// recipients is.
const HASH_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// The silence after which a dead peer that the list does not name is removed.
const DEAD_RETENTION_MS: u64 = 600_000;

/// The time between two ticks beyond which this process is taken to have been paused.
const LOCAL_PAUSE_MS: u64 = 2_000;

/// The identity and address of an instance.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct PeerInfo {
    /// The name, which stays the same across restarts.
    pub name: InstanceName,
    /// The run of its process; a later run has a higher value.
    pub incarnation: Incarnation,
    /// The failure domain in which it runs.
    pub domain: DomainName,
    /// The address for links between instances, as IP address and port.
    #[serde(with = "super::address")]
    pub address: Arc<str>,
}

/// The message that an instance sends periodically to each peer.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The identity and address of the sender.
    pub info: PeerInfo,
    /// Whether the sender is draining.
    pub leaving: bool,
    /// The version of the sender's configuration in force.
    pub config_version: ConfigVersion,
    /// The free slots of the targets that the sender uses, for each target group in the
    /// order of the configuration `config_version`.
    pub free_slots: Vec<u32>,
    /// Live peers of the sender, at most [`MAX_KNOWN_PEERS`], in rotation.
    ///
    /// They let instances discover each other while the list cannot be read.
    pub known_peers: Vec<PeerInfo>,
}

/// The state of a peer according to the failure detector.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerState {
    /// Named by the list or by another peer, but no message has arrived yet.
    Learned,
    /// A message arrived within [`SUSPECT_MS`].
    Live,
    /// Silent for [`SUSPECT_MS`]; its targets stay assigned to it.
    Suspect,
    /// Silent for [`DEAD_MS`]; its targets are reassigned.
    Dead,
    /// Sends messages again after it was dead, so far for less than [`RETURN_MS`].
    Returning,
}

/// A change of a peer's state that other modules have to act on.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct PeerChange {
    /// The peer's name.
    pub name: InstanceName,
    /// The incarnation whose state changed.
    pub incarnation: Incarnation,
    /// The new state.
    pub kind: PeerChangeKind,
}

/// The kind of a [`PeerChange`].
#[derive(Debug, Copy, Clone, Eq, PartialEq, Hash)]
pub enum PeerChangeKind {
    /// It has become live.
    Live,
    /// It has become suspect: it is silent and may be dead.
    Suspect,
    /// It has become dead, or a later incarnation has replaced it.
    Dead,
    /// It has started to leave and takes no new work.
    Leaving,
}

/// Another instance, with what is known about its latest incarnation.
#[derive(Debug, Clone)]
pub struct Peer {
    /// The identity and address of the latest incarnation.
    pub info: PeerInfo,
    /// The state according to the failure detector.
    pub state: PeerState,
    /// Whether it is leaving; this is never reset for an incarnation.
    pub leaving: bool,
    /// The version of its configuration in force, as of its last heartbeat.
    pub config_version: ConfigVersion,
    /// The free slots of its targets for each target group, as of its last heartbeat.
    pub free_slots: Vec<u32>,
    /// Whether the list in force names it.
    pub(super) listed: bool,
    /// When a message last arrived from it or, before the first one, when it was learned.
    heard_at: Timestamp,
    /// Since when a returning peer has sent messages without a gap.
    returning_since: Timestamp,
    /// When the next heartbeat to it is due.
    next_heartbeat_at: Timestamp,
    /// Whether a heartbeat has been sent to it.
    heartbeat_sent: bool,
}

impl Peer {
    /// Creates a peer that has been learned of and has sent no message.
    fn new(info: PeerInfo, now: Timestamp) -> Self {
        Self {
            info,
            state: PeerState::Learned,
            leaving: false,
            config_version: ConfigVersion::default(),
            free_slots: vec![],
            listed: false,
            heard_at: now,
            returning_since: now,
            next_heartbeat_at: now,
            heartbeat_sent: false,
        }
    }

    /// Reports whether the peer counts as running, which a suspect one does.
    pub fn is_live(&self) -> bool {
        matches!(self.state, PeerState::Live | PeerState::Suspect)
    }

    /// Reports whether the peer counts as running and is not leaving.
    pub fn is_serving(&self) -> bool {
        self.is_live() && !self.leaving
    }
}

/// The other instances by name, each with its latest incarnation.
#[derive(Debug)]
pub struct Peers {
    me: PeerInfo,
    peers: BTreeMap<InstanceName, Peer>,
    ticked_at: Timestamp,
    /// Since when this process has been running without a pause.
    listening_since: Timestamp,
    /// The known peer that a heartbeat carried last.
    last_known_peer: Option<InstanceName>,
    /// The number of heartbeats built so far, which wraps around.
    heartbeat_count: u64,
}

impl Peers {
    /// Creates the empty table of an instance.
    pub fn new(me: PeerInfo, now: Timestamp) -> Self {
        Self {
            me,
            peers: BTreeMap::new(),
            ticked_at: now,
            listening_since: now,
            last_known_peer: None,
            heartbeat_count: 0,
        }
    }

    /// Returns the identity and address of this instance.
    pub fn me(&self) -> &PeerInfo {
        &self.me
    }

    /// Returns every known peer in any state, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Returns a known peer in any state.
    pub fn get(&self, name: &InstanceName) -> Option<&Peer> {
        self.peers.get(name)
    }

    /// Returns the running incarnation of an instance, which may be this one.
    pub fn live_incarnation(&self, name: &InstanceName) -> Option<Incarnation> {
        if *name == self.me.name {
            return Some(self.me.incarnation);
        }
        let peer = self.peers.get(name).filter(|peer| peer.is_live());
        peer.map(|peer| peer.info.incarnation)
    }

    /// Returns the peers that count as running and are not leaving.
    pub fn serving(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(|peer| peer.is_serving())
    }

    /// Returns the peers that send messages, including those that returned too recently
    /// to count as running.
    pub fn reachable(&self) -> impl Iterator<Item = &Peer> {
        let is_reachable = |it: &&Peer| it.is_live() || it.state == PeerState::Returning;
        self.peers.values().filter(is_reachable)
    }

    /// Applies a heartbeat and the known peers in it.
    pub fn note_heartbeat(
        &mut self,
        heartbeat: Heartbeat,
        now: Timestamp,
    ) -> Vec<PeerChange> {
        let mut changes = vec![];
        for info in heartbeat.known_peers.into_iter().take(MAX_KNOWN_PEERS) {
            self.learn(info, now, &mut changes);
        }
        let name = heartbeat.info.name.clone();
        let incarnation = heartbeat.info.incarnation;
        self.learn(heartbeat.info, now, &mut changes);
        let peer = self.peers.get_mut(&name);
        let Some(peer) = peer.filter(|peer| peer.info.incarnation == incarnation) else {
            return changes;
        };
        peer.config_version = heartbeat.config_version;
        peer.free_slots = heartbeat.free_slots;
        mark_leaving(peer, heartbeat.leaving, &mut changes);
        mark_heard(peer, now, &mut changes);
        changes
    }

    /// Records the arrival of a message other than a heartbeat, which also shows that the
    /// incarnation is running.
    pub fn note_message(
        &mut self,
        name: &InstanceName,
        incarnation: Incarnation,
        now: Timestamp,
    ) -> Vec<PeerChange> {
        let mut changes = vec![];
        match self.peers.get_mut(name) {
            Some(peer) if peer.info.incarnation == incarnation => {
                mark_heard(peer, now, &mut changes);
            }
            _ => {}
        }
        changes
    }

    /// Advances the states by the time that has passed, and removes peers that have been
    /// dead for long.
    ///
    /// Call it about every 100 ms. A gap of more than 2 s is taken for a pause of this
    /// process.
    pub fn tick(&mut self, now: Timestamp) -> Vec<PeerChange> {
        // Silence during a pause of this process is no evidence against the peers.
        if now.ms_since(self.ticked_at) > LOCAL_PAUSE_MS {
            self.listening_since = now;
        }
        self.ticked_at = now;
        let mut changes = vec![];
        for peer in self.peers.values_mut() {
            let silent_ms = now.ms_since(peer.heard_at.max(self.listening_since));
            apply_silence(peer, silent_ms, now, &mut changes);
        }
        self.peers.retain(|_, peer| {
            let expired = now.ms_since(peer.heard_at) > DEAD_RETENTION_MS;
            peer.listed || peer.state != PeerState::Dead || !expired
        });
        changes
    }

    /// Returns the peers to which a heartbeat is due, and schedules their next one.
    pub fn due_heartbeats(&mut self, now: Timestamp) -> Vec<PeerInfo> {
        let same_domain = |peer: &Peer| peer.info.domain == self.me.domain;
        let alive = |peer: &&Peer| peer.state != PeerState::Dead;
        let same_domain_count =
            self.peers.values().filter(alive).filter(|p| same_domain(p)).count();
        let all_count = self.peers.values().filter(alive).count();
        let same_domain_ms = heartbeat::same_domain_heartbeat_ms(
            same_domain_count,
            all_count - same_domain_count,
        );
        let mut due = vec![];
        for peer in self.peers.values_mut().filter(|peer| peer.next_heartbeat_at <= now) {
            let every_ms = match peer.state {
                PeerState::Dead => heartbeat::DEAD_PEER_HEARTBEAT_MS,
                _ if peer.info.domain == self.me.domain => same_domain_ms,
                _ => heartbeat::CROSS_DOMAIN_HEARTBEAT_MS,
            };
            let wait_ms = match std::mem::replace(&mut peer.heartbeat_sent, true) {
                true => every_ms,
                false => every_ms * heartbeat::phase(&peer.info.name) / heartbeat::PHASES,
            };
            let next = peer.next_heartbeat_at.plus_ms(wait_ms);
            peer.next_heartbeat_at = if next > now { next } else { now.plus_ms(wait_ms) };
            due.push(peer.info.clone());
        }
        due
    }

    /// Builds a heartbeat of this instance.
    ///
    /// Every heartbeat carries a known peer while the list is stale, one in four
    /// otherwise.
    pub fn heartbeat(
        &mut self,
        (leaving, list_is_stale): (bool, bool),
        config_version: ConfigVersion,
        free_slots: Vec<u32>,
    ) -> Heartbeat {
        self.heartbeat_count = self.heartbeat_count.wrapping_add(1);
        let carries = list_is_stale || carries_known_peer(self.heartbeat_count);
        let known_peers = if carries { self.next_known_peer() } else { None };
        let known_peers = known_peers.into_iter().collect();
        let info = self.me.clone();
        Heartbeat { info, leaving, config_version, free_slots, known_peers }
    }

    /// Learns of an incarnation that a list or another instance names.
    ///
    /// A later incarnation replaces an earlier one at once.
    pub(super) fn learn(
        &mut self,
        info: PeerInfo,
        now: Timestamp,
        changes: &mut Vec<PeerChange>,
    ) {
        if info.name == self.me.name {
            return;
        }
        match self.peers.get_mut(&info.name) {
            Some(peer) if info.incarnation > peer.info.incarnation => {
                if peer.is_live() {
                    changes.push(change(PeerChangeKind::Dead, peer));
                }
                *peer = Peer::new(info, now);
            }
            Some(_) => {}
            None => self.insert(Peer::new(info, now)),
        }
    }

    /// Applies a peer's state in the list, or its absence from it.
    ///
    /// Absence alone does not make a peer leave: a peer that is gone becomes silent, and
    /// one that still answers is missing from the list by mistake.
    pub(super) fn set_listed(
        &mut self,
        name: &InstanceName,
        listed: bool,
        leaving: bool,
        changes: &mut Vec<PeerChange>,
    ) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.listed = listed;
            mark_leaving(peer, leaving, changes);
        }
    }

    /// Marks an incarnation as leaving, for example because of a stop plan.
    pub fn mark_leaving(
        &mut self,
        name: &InstanceName,
        incarnation: Incarnation,
    ) -> Vec<PeerChange> {
        let mut changes = vec![];
        match self.peers.get_mut(name) {
            Some(peer) if peer.info.incarnation == incarnation => {
                mark_leaving(peer, true, &mut changes);
            }
            _ => {}
        }
        changes
    }

    /// Returns the next peer to put into a heartbeat, in rotation by name.
    ///
    /// Only live peers qualify, so that instances do not keep passing a dead peer on to
    /// each other.
    fn next_known_peer(&mut self) -> Option<PeerInfo> {
        let is_live = |peer: &&Peer| peer.state == PeerState::Live;
        let after = |peer: &&Peer| Some(&peer.info.name) > self.last_known_peer.as_ref();
        let next = self.peers.values().filter(is_live).find(after);
        let info = next.or_else(|| self.peers.values().find(is_live))?.info.clone();
        self.last_known_peer = Some(info.name.clone());
        Some(info)
    }

    /// Adds a peer unless the table is full of peers that are not dead.
    fn insert(&mut self, peer: Peer) {
        if self.make_room() {
            self.peers.insert(peer.info.name.clone(), peer);
        }
    }

    /// Evicts a dead peer if the table is full, and reports whether there is room.
    fn make_room(&mut self) -> bool {
        if self.peers.len() < MAX_PEERS {
            return true;
        }
        let dead = self.peers.values().filter(|peer| peer.state == PeerState::Dead);
        let oldest = dead.min_by_key(|peer| peer.heard_at);
        let Some(name) = oldest.map(|peer| peer.info.name.clone()) else {
            return false;
        };
        self.peers.remove(&name);
        true
    }
}

/// Records that a message of a peer arrived, and advances its state.
fn mark_heard(peer: &mut Peer, now: Timestamp, changes: &mut Vec<PeerChange>) {
    peer.heard_at = peer.heard_at.max(now);
    match peer.state {
        PeerState::Learned => {
            peer.state = PeerState::Live;
            changes.push(change(PeerChangeKind::Live, peer));
        }
        PeerState::Suspect => {
            peer.state = PeerState::Live;
        }
        PeerState::Dead => {
            peer.state = PeerState::Returning;
            peer.returning_since = now;
            peer.next_heartbeat_at = now;
        }
        PeerState::Returning if now.ms_since(peer.returning_since) >= RETURN_MS => {
            peer.state = PeerState::Live;
            changes.push(change(PeerChangeKind::Live, peer));
        }
        PeerState::Returning | PeerState::Live => {}
    }
}

/// Advances the state of a peer by its silence.
fn apply_silence(
    peer: &mut Peer,
    silent_ms: u64,
    now: Timestamp,
    changes: &mut Vec<PeerChange>,
) {
    match peer.state {
        PeerState::Live | PeerState::Suspect if silent_ms >= DEAD_MS => {
            peer.state = PeerState::Dead;
            changes.push(change(PeerChangeKind::Dead, peer));
        }
        PeerState::Live if silent_ms >= SUSPECT_MS => {
            peer.state = PeerState::Suspect;
            changes.push(change(PeerChangeKind::Suspect, peer));
        }
        PeerState::Learned if silent_ms >= DEAD_MS => {
            peer.state = PeerState::Dead;
        }
        PeerState::Returning if silent_ms >= DEAD_MS => {
            peer.state = PeerState::Dead;
        }
        PeerState::Returning if silent_ms >= SUSPECT_MS => {
            peer.returning_since = now;
        }
        _ => {}
    }
}

/// Marks a peer as leaving, which only a later incarnation resets.
fn mark_leaving(peer: &mut Peer, leaving: bool, changes: &mut Vec<PeerChange>) {
    if leaving && !peer.leaving {
        peer.leaving = true;
        changes.push(change(PeerChangeKind::Leaving, peer));
    }
}

fn change(kind: PeerChangeKind, peer: &Peer) -> PeerChange {
    let PeerInfo { name, incarnation, .. } = peer.info.clone();
    PeerChange { name, incarnation, kind }
}

/// Reports whether the heartbeat of this number carries a known peer although the list is
/// readable.
fn carries_known_peer(number: u64) -> bool {
    let mixed = number.wrapping_mul(HASH_MULTIPLIER);
    let mixed = (mixed ^ mixed >> 32).wrapping_mul(HASH_MULTIPLIER);
    mixed >> (u64::BITS - KNOWN_PEER_SHIFT) == 0
}
