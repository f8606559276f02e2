//! The other instances, as their heartbeats show them.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::heartbeat;
use crate::id::{ConfigVersion, DomainName, Incarnation, InstanceName};
use crate::time::Timestamp;

/// The silence after which a peer is suspect.
pub const SUSPECT_MS: u64 = 3_000;

/// The silence after which a peer is dead.
pub const DEAD_MS: u64 = 5_000;

/// The time that a dead incarnation must be heard without a break before it is live
/// again, so that a bad link does not move targets back and forth.
pub const RETURN_MS: u64 = 3_000;

/// The number of peers that are known at most.
///
/// When the table is full, the dead peer that was heard of the longest time ago makes
/// room; if there is none, a new peer is not added.
pub const MAX_PEERS: usize = 1_024;

/// The peers that a heartbeat tells about, which keeps it near 120 bytes.
pub const MAX_KNOWN_PEERS: usize = 1;

/// The share of heartbeats that tell about a peer while the list is read, as a shift: one
/// in four. The list names every peer then, and a peer takes a third of a heartbeat.
const TELL_SHIFT: u32 = 2;

/// The factor that scatters the heartbeats that tell about a peer, so that each recipient
/// gets some of them whatever the number of recipients is.
const SCATTER: u64 = 0x9E37_79B9_7F4A_7C15;

/// The time after which a dead peer that the list does not name is forgotten.
const FORGET_MS: u64 = 600_000;

/// The pause between two ticks that means that this process did not run.
const PAUSE_MS: u64 = 2_000;

/// What identifies an instance and how it is reached.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct PeerInfo {
    /// The name.
    pub name: InstanceName,
    /// The run of its process.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its address for links between instances, as IP and port.
    #[serde(with = "super::address")]
    pub address: Arc<str>,
}

/// What an instance tells another one regularly.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub info: PeerInfo,
    /// Whether the sender is draining.
    pub leaving: bool,
    /// The sender's configuration in force.
    pub config_version: ConfigVersion,
    /// The free slots of the targets that the sender uses, for each target group in the
    /// order of the configuration that `config_version` names.
    pub free_slots: Vec<u32>,
    /// Peers that the sender hears, at most [`MAX_KNOWN_PEERS`], in rotation.
    pub known_peers: Vec<PeerInfo>,
}

/// How an instance seems to be.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerState {
    /// Named by others and not heard yet.
    Learned,
    /// Heard within [`SUSPECT_MS`].
    Live,
    /// Silent for [`SUSPECT_MS`]; it keeps its targets.
    Suspect,
    /// Silent for [`DEAD_MS`].
    Dead,
    /// Heard again after it was dead, for less than [`RETURN_MS`].
    Returning,
}

/// A change of an incarnation that decisions depend on.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct PeerChange {
    /// The name of the instance.
    pub name: InstanceName,
    /// The incarnation that changed.
    pub incarnation: Incarnation,
    /// What has become of it.
    pub kind: PeerChangeKind,
}

/// What has become of an incarnation.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Hash)]
pub enum PeerChangeKind {
    /// It is live from now on.
    Live,
    /// It is silent and may be dead.
    Suspect,
    /// It is dead, or a later incarnation has replaced it.
    Dead,
    /// It is leaving.
    Leaving,
}

/// Another instance.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Its identity and address.
    pub info: PeerInfo,
    /// How it seems to be.
    pub state: PeerState,
    /// Whether it is leaving, which is final for its incarnation.
    pub leaving: bool,
    /// Its configuration in force, as last heard.
    pub config_version: ConfigVersion,
    /// The free slots of its targets for each target group, as last heard.
    pub free_slots: Vec<u32>,
    /// Whether the list in force names it.
    pub(super) listed: bool,
    /// When it was heard or, before that, heard of.
    heard_at: Timestamp,
    /// Since when a returning peer is heard.
    returning_since: Timestamp,
    /// When it gets the next heartbeat.
    beat_at: Timestamp,
    /// Whether it got a heartbeat.
    beaten: bool,
}

impl Peer {
    /// Creates a peer that was heard of.
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
            beat_at: now,
            beaten: false,
        }
    }

    /// Reports whether the peer counts as running: live or merely suspect.
    pub fn is_live(&self) -> bool {
        matches!(self.state, PeerState::Live | PeerState::Suspect)
    }

    /// Reports whether the peer counts as running and takes new work.
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
    /// Since when this process has been able to hear others.
    listening_since: Timestamp,
    /// The peer that the last heartbeat told about.
    told: Option<InstanceName>,
    /// The heartbeats so far.
    beats: u64,
}

impl Peers {
    /// Creates the table of an instance that knows nobody.
    pub fn new(me: PeerInfo, now: Timestamp) -> Self {
        Self {
            me,
            peers: BTreeMap::new(),
            ticked_at: now,
            listening_since: now,
            told: None,
            beats: 0,
        }
    }

    /// Returns this instance.
    pub fn me(&self) -> &PeerInfo {
        &self.me
    }

    /// Returns every known peer by name.
    pub fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Returns a peer.
    pub fn get(&self, name: &InstanceName) -> Option<&Peer> {
        self.peers.get(name)
    }

    /// Returns the live incarnation of an instance, this one included.
    pub fn live_incarnation(&self, name: &InstanceName) -> Option<Incarnation> {
        if *name == self.me.name {
            return Some(self.me.incarnation);
        }
        let peer = self.peers.get(name).filter(|peer| peer.is_live());
        peer.map(|peer| peer.info.incarnation)
    }

    /// Returns the peers that are live and take new work.
    pub fn serving(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(|peer| peer.is_serving())
    }

    /// Returns the peers that are heard, among them those that returned too recently to
    /// count as live.
    pub fn reachable(&self) -> impl Iterator<Item = &Peer> {
        let is_heard = |it: &&Peer| it.is_live() || it.state == PeerState::Returning;
        self.peers.values().filter(is_heard)
    }

    /// Notes a heartbeat.
    pub fn note_heartbeat(&mut self, beat: Heartbeat, now: Timestamp) -> Vec<PeerChange> {
        let mut changes = vec![];
        for info in beat.known_peers.into_iter().take(MAX_KNOWN_PEERS) {
            self.learn(info, now, &mut changes);
        }
        let name = beat.info.name.clone();
        let incarnation = beat.info.incarnation;
        self.learn(beat.info, now, &mut changes);
        let peer = self.peers.get_mut(&name);
        let Some(peer) = peer.filter(|peer| peer.info.incarnation == incarnation) else {
            return changes;
        };
        peer.config_version = beat.config_version;
        peer.free_slots = beat.free_slots;
        mark_leaving(peer, beat.leaving, &mut changes);
        revive(peer, now, &mut changes);
        changes
    }

    /// Notes that another message of an incarnation arrived.
    pub fn note_message(
        &mut self,
        name: &InstanceName,
        incarnation: Incarnation,
        now: Timestamp,
    ) -> Vec<PeerChange> {
        let mut changes = vec![];
        match self.peers.get_mut(name) {
            Some(peer) if peer.info.incarnation == incarnation => {
                revive(peer, now, &mut changes);
            }
            _ => {}
        }
        changes
    }

    /// Advances the states by the time that has passed; call it about every 100 ms.
    pub fn tick(&mut self, now: Timestamp) -> Vec<PeerChange> {
        // After an own pause the silence of the others says nothing.
        if now.ms_since(self.ticked_at) > PAUSE_MS {
            self.listening_since = now;
        }
        self.ticked_at = now;
        let mut changes = vec![];
        for peer in self.peers.values_mut() {
            let silent_ms = now.ms_since(peer.heard_at.max(self.listening_since));
            age(peer, silent_ms, now, &mut changes);
        }
        self.peers.retain(|_, peer| {
            let forgotten = now.ms_since(peer.heard_at) > FORGET_MS;
            peer.listed || peer.state != PeerState::Dead || !forgotten
        });
        changes
    }

    /// Returns the peers that get a heartbeat now, and notes that they got it.
    pub fn due_heartbeats(&mut self, now: Timestamp) -> Vec<PeerInfo> {
        let own = |peer: &Peer| peer.info.domain == self.me.domain;
        let alive = |peer: &&Peer| peer.state != PeerState::Dead;
        let own_count = self.peers.values().filter(alive).filter(|p| own(p)).count();
        let all_count = self.peers.values().filter(alive).count();
        let own_ms =
            heartbeat::same_domain_heartbeat_ms(own_count, all_count - own_count);
        let mut due = vec![];
        for peer in self.peers.values_mut().filter(|peer| peer.beat_at <= now) {
            let every_ms = match peer.state {
                PeerState::Dead => heartbeat::DEAD_PEER_HEARTBEAT_MS,
                _ if peer.info.domain == self.me.domain => own_ms,
                _ => heartbeat::CROSS_DOMAIN_HEARTBEAT_MS,
            };
            let wait_ms = match std::mem::replace(&mut peer.beaten, true) {
                true => every_ms,
                false => every_ms * heartbeat::phase(&peer.info.name) / heartbeat::PHASES,
            };
            let next = peer.beat_at.plus_ms(wait_ms);
            peer.beat_at = if next > now { next } else { now.plus_ms(wait_ms) };
            due.push(peer.info.clone());
        }
        due
    }

    /// Builds the heartbeat of this instance.
    ///
    /// Each tells about a peer if this instance cannot read the list.
    pub fn heartbeat(
        &mut self,
        (leaving, list_is_stale): (bool, bool),
        config_version: ConfigVersion,
        free_slots: Vec<u32>,
    ) -> Heartbeat {
        self.beats = self.beats.wrapping_add(1);
        let tells = list_is_stale || is_chosen(self.beats);
        let known_peers = if tells { self.next_told() } else { None };
        let known_peers = known_peers.into_iter().collect();
        let info = self.me.clone();
        Heartbeat { info, leaving, config_version, free_slots, known_peers }
    }

    /// Notes that a list or another instance names an incarnation.
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

    /// Applies what the list says about a peer, or its absence from the list.
    ///
    /// Absence alone does not make a peer leave: one that is gone falls silent, and one
    /// that answers was left out by mistake.
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

    /// Marks an incarnation as leaving, for example by a stop plan.
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

    /// Returns the next peer to tell others about; only peers that are heard here, so
    /// that news of a dead peer does not go round for ever.
    fn next_told(&mut self) -> Option<PeerInfo> {
        let heard = |peer: &&Peer| peer.state == PeerState::Live;
        let after = |peer: &&Peer| Some(&peer.info.name) > self.told.as_ref();
        let next = self.peers.values().filter(heard).find(after);
        let info = next.or_else(|| self.peers.values().find(heard))?.info.clone();
        self.told = Some(info.name.clone());
        Some(info)
    }

    /// Adds a peer if there is room.
    fn insert(&mut self, peer: Peer) {
        if self.make_room() {
            self.peers.insert(peer.info.name.clone(), peer);
        }
    }

    /// Makes room for a peer and reports whether there is any.
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

/// Notes that a peer was heard.
fn revive(peer: &mut Peer, now: Timestamp, changes: &mut Vec<PeerChange>) {
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
            peer.beat_at = now;
        }
        PeerState::Returning if now.ms_since(peer.returning_since) >= RETURN_MS => {
            peer.state = PeerState::Live;
            changes.push(change(PeerChangeKind::Live, peer));
        }
        PeerState::Returning | PeerState::Live => {}
    }
}

/// Moves a silent peer on.
fn age(peer: &mut Peer, silent_ms: u64, now: Timestamp, changes: &mut Vec<PeerChange>) {
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

/// Marks a peer as leaving; nothing but a later incarnation takes that back.
fn mark_leaving(peer: &mut Peer, leaving: bool, changes: &mut Vec<PeerChange>) {
    if leaving && !peer.leaving {
        peer.leaving = true;
        changes.push(change(PeerChangeKind::Leaving, peer));
    }
}

/// Builds a change of a peer.
fn change(kind: PeerChangeKind, peer: &Peer) -> PeerChange {
    let PeerInfo { name, incarnation, .. } = peer.info.clone();
    PeerChange { name, incarnation, kind }
}

/// Returns whether a heartbeat tells about a peer.
fn is_chosen(number: u64) -> bool {
    let mixed = number.wrapping_mul(SCATTER);
    let mixed = (mixed ^ mixed >> 32).wrapping_mul(SCATTER);
    mixed >> (u64::BITS - TELL_SHIFT) == 0
}
