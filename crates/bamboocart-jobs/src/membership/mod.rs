//! Group membership, and what follows from it: the minions that this instance holds, its
//! shards and its neighbours.

pub(crate) mod assignment;
pub(crate) mod authority;
pub(crate) mod introduction;
pub(crate) mod member;
pub(crate) mod minion_list;
pub(crate) mod neighbours;
pub(crate) mod peer;

use log::info;

use crate::engine::Engine;
use crate::holder::minion::{Assignee, Minion, MinionEntry, MinionKey};
use crate::membership::assignment::{fencing_token, holder_of};
use crate::membership::member::Member;
use crate::membership::neighbours::neighbours;
use crate::membership::peer::{Peer, PeerKey};
use crate::message::Message;
use crate::operator::catalog::Catalog;
use crate::time::Moment;

/// How long a minion that the list has dropped is still used while it answers. Entries
/// that expired while the store was unavailable are back within two seconds of its
/// return.
const UNLISTED_MS: u64 = 3_000;

/// How long a peer that the group has dropped counts as a member after its last frame.
const MEMBER_SILENCE_MS: u64 = 1_000;

/// The pause before a minion that was lost to a higher fencing token is taken back under
/// the same generation of the group.
const RETAKE_MS: u64 = 1_000;

/// The age of a join below which an instance certainly reaches the store.
const STORE_REACHED_MS: u64 = 1_000;

/// The age of a join from which on an instance does not reach the store. If the store is
/// unavailable for all instances, all notice it within half a second of each other.
const STORE_LOST_MS: u64 = 3_000;

/// How long a new instance waits for a first frame from members that the group names,
/// before it takes minions without them. Opening a link takes some tens of milliseconds.
const FIRST_FRAME_TIMEOUT_MS: u64 = 400;

/// How long a peer is kept that the group does not list and that sends no frames.
const PEER_MEMORY_MS: u64 = 10_000;

/// The longest time between two reviews. A review goes through every minion of the site,
/// which is too expensive for every event.
const REVIEW_INTERVAL_MS: u64 = 100;

/// The shortest time between two reports of how many stored jobs have not started.
const PENDING_INTERVAL_MS: u64 = 500;

/// The state on which the last review of members and minions was based.
#[derive(Debug, Default)]
pub(crate) struct Review {
    /// The latest generation of the group; 0 until the store has sent one.
    generation: u64,
    /// The members that minions were last assigned to, sorted.
    members: Vec<Member>,
    /// The members that shards were last assigned to, sorted.
    shard_members: Vec<Member>,
    /// The number of minions when they were last assigned.
    minions: usize,
    /// The time of the last review.
    at: Moment,
    /// Whether a change calls for a review now.
    due: bool,
    /// Whether the group has named this instance as a member.
    pub(crate) joined: bool,
    /// Whether this instance has left the group.
    left: bool,
    /// When peers last got a report of how many stored jobs have not started.
    pending_reported_at: Moment,
    /// Whether that report named any.
    pending: bool,
}

impl Engine {
    /// Sets the members of the group as of a generation.
    ///
    /// The group keeps an instance for some time after it has ended. An earlier
    /// incarnation of a peer or of this instance is not taken for a peer, since its
    /// address reaches the present incarnation.
    pub fn set_members(&mut self, now: Moment, generation: u64, members: &[Member]) {
        for peer in self.peers.arena.values_mut() {
            peer.listed = false;
        }
        for member in members.iter().filter(|member| member.name != self.member.name) {
            let newest = members
                .iter()
                .filter(|other| other.name == member.name)
                .all(|other| other.incarnation <= member.incarnation);
            if newest {
                let key = self.peers.insert(member, now);
                let peer = &mut self.peers.arena[key];
                peer.listed = true;
                peer.joined = true;
            }
        }
        // An earlier incarnation of this instance that the group has not dropped yet
        // counts as this one: the same minions are assigned to both.
        self.review.joined |= members.iter().any(|it| it.name == self.member.name);
        if generation != self.review.generation {
            info!(target: "peer", generation, members = members.len(),
                joined = self.review.joined; "group changed");
        }
        self.review.generation = self.review.generation.max(generation);
        self.review.due = true;
        self.advance(now);
    }

    /// Releases all minions; this instance's jobs go on, on minions that peers hold.
    pub fn leave(&mut self, now: Moment) {
        self.review.left = true;
        self.review.due = true;
        self.broadcast(&Message::Leaving);
        self.advance(now);
    }

    /// Records that a peer releases all its minions.
    pub(crate) fn peer_leaving(&mut self, peer: PeerKey) {
        if let Some(peer) = self.peers.arena.get_mut(peer) {
            info!(target: "peer", peer:% = peer.member; "peer leaves");
            peer.leaving = true;
            self.review.due = true;
        }
    }

    /// Reviews all members and minions if something has changed or the last review is too
    /// old.
    pub(crate) fn review(&mut self, now: Moment) {
        let minions = self.minions.arena.len();
        let due = self.review.due
            || minions != self.review.minions
            || now.since(self.review.at) >= REVIEW_INTERVAL_MS;
        if !due {
            return;
        }
        self.review.due = false;
        self.review.at = now;
        self.forget_peers(now);
        self.introduce_members(now);
        self.peers.expire_queries(now);
        self.requeue_lost(now);
        self.note_engaged();
        self.assign(now);
        self.review_shards(now);
        self.log_empty_domains();
        self.report_pending(now);
    }

    /// Reports to peers how many stored jobs have not started, if any.
    fn report_pending(&mut self, now: Moment) {
        if now.since(self.review.pending_reported_at) < PENDING_INTERVAL_MS {
            return;
        }
        let pending = self.pending_stored();
        if !pending.is_empty() || self.review.pending {
            self.review.pending_reported_at = now;
            self.review.pending = !pending.is_empty();
            self.broadcast(&Message::Pending(pending));
        }
    }

    /// Sends the state that came from the store to a peer that the store does not answer.
    pub(crate) fn send_state(&mut self, now: Moment, peer: PeerKey) {
        if self.catalog.version == 0 {
            return;
        }
        let listed = |minion: &&Minion| {
            minion.unlisted.is_none() && minion.invalid_since.is_none()
        };
        let minions = self.minions.arena.values().filter(listed);
        let state = Message::StateTransfer {
            catalog: Catalog::clone(&self.catalog),
            minions: minions.map(|minion| minion.entry.clone()).collect(),
        };
        if let Some(peer) = self.peers.arena.get_mut(peer) {
            info!(target: "peer", peer:% = peer.member;
                "sending the store's state to a peer that the store does not answer");
            peer.send_state(now, state);
        }
    }

    /// Accepts the store's state from a peer, if this instance got none from the store.
    ///
    /// Several peers send theirs, and some may have been cut off from the store for a while:
    /// a later version replaces an earlier one, which may have queues that were removed.
    pub(crate) fn take_state(
        &mut self,
        now: Moment,
        catalog: Catalog,
        minions: Vec<MinionEntry>,
    ) {
        let known = self.catalog.version;
        if known > 0 && (!self.state_from_peer || catalog.version <= known) {
            return;
        }
        info!(target: "config", version = catalog.version, minions = minions.len();
            "taking the store's state from a peer");
        self.adopt_catalog(catalog);
        self.state_from_peer = true;
        if self.minions.arena.is_empty() {
            self.update_minions(now, minions);
        }
    }

    /// Removes the peers that the group does not list and that have long been silent.
    fn forget_peers(&mut self, now: Moment) {
        let peers = self.peers.arena.iter();
        let gone: Vec<PeerKey> = peers
            .filter(|(_, peer)| {
                let heard = peer.last_frame_at.unwrap_or(peer.known_since);
                !peer.listed && now.since(heard) > PEER_MEMORY_MS
            })
            .map(|(key, _)| key)
            .collect();
        for key in gone {
            self.peers.remove(key);
        }
    }

    /// Records the peers with which runs are shared; only these need frames often.
    fn note_engaged(&mut self) {
        for peer in self.peers.arena.values_mut() {
            peer.shares_runs = false;
        }
        let owned = self.jobs.values().flat_map(|job| &job.tasks);
        let owned = owned.filter_map(|task| task.placement()?.holder.peer());
        let held = self.minions.held().flat_map(|(_, _, held)| held.runs.values());
        let held = held.filter_map(|run| run.owner.peer());
        for key in owned.chain(held) {
            if let Some(peer) = self.peers.arena.get_mut(key) {
                peer.shares_runs = true;
            }
        }
    }

    /// Assigns minions and shards to the members, and takes or releases minions
    /// accordingly.
    fn assign(&mut self, now: Moment) {
        let members = self.members(now);
        let minions = self.minions.arena.len();
        let changed = members != self.review.members || minions != self.review.minions;
        if changed {
            self.review.members = members;
            self.choose_neighbours();
        }
        let owners = self.shard_members(now);
        if owners != self.review.shard_members {
            self.shards.assign(&owners);
            self.review.shard_members = owners;
        }
        let keys: Vec<MinionKey> = self.minions.arena.keys().collect();
        for key in keys {
            self.assign_minion(now, key, changed);
        }
        self.review.minions = self.minions.arena.len();
    }

    /// Returns the members that hold minions, sorted.
    ///
    /// A peer that the group has dropped stays a member while its frames arrive: it may
    /// have lost only the store, and moving its minions would gain nothing. An instance
    /// that the group does not name yet takes no minions from working members: after a
    /// loss of all instances, the first ones would take all minions from each other in
    /// turn.
    fn members(&self, now: Moment) -> Vec<Member> {
        let sends_frames = |peer: &Peer| {
            peer.last_frame_at.is_some_and(|heard| now.since(heard) < MEMBER_SILENCE_MS)
        };
        let new = |peer: &Peer| now.since(peer.known_since) < FIRST_FRAME_TIMEOUT_MS;
        let present = |peer: &&Peer| !peer.leaving && !peer.replaced;
        let peers = || self.peers.arena.values().filter(present);
        let established = self.review.joined
            || peers().any(|peer| peer.joined && (sends_frames(peer) || new(peer)));
        let mut members: Vec<Member> = peers()
            .filter(|peer| peer.listed || sends_frames(peer))
            .filter(|peer| peer.joined || !established)
            .map(|peer| peer.member.clone())
            .collect();
        if !self.review.left && (self.review.joined || !established) {
            members.push(self.member.clone());
        }
        members.sort();
        members
    }

    /// Returns the members that may own shards: those that reach the store, unless none
    /// does.
    ///
    /// The jobs of a single instance that the store does not answer could not go on, nor
    /// could it accept new ones. While no member reaches the store, all keep their
    /// shards.
    fn shard_members(&self, now: Moment) -> Vec<Member> {
        // A member whose frames do not arrive may still reach the store from the other
        // side of a network partition, and act as an owner.
        let age_ms = |member: &Member| {
            let joined_at = match *member == self.member {
                true => self.shards.joined_at,
                false => {
                    let peer = self.peers.arena.get(self.peers.key_of(member)?)?;
                    peer.joined_at.filter(|_| peer.is_responsive(now))
                }
            };
            joined_at.map(|at| now.since(at))
        };
        let members = &self.review.members;
        let reaches = |age_ms: u64| age_ms < STORE_REACHED_MS;
        let any_reaches = members.iter().any(|it| age_ms(it).is_some_and(reaches));
        let lost = |member: &Member| {
            any_reaches && age_ms(member).is_some_and(|age_ms| age_ms >= STORE_LOST_MS)
        };
        members.iter().filter(|member| !lost(member)).cloned().collect()
    }

    /// Chooses the peers whose free capacity this instance receives.
    pub(crate) fn choose_neighbours(&mut self) {
        let is_evacuated = |domain: &str| self.evacuations.is_in_force(domain);
        let chosen = neighbours(&self.member, &self.review.members, is_evacuated);
        for peer in self.peers.arena.values_mut() {
            peer.set_neighbour(chosen.contains(&&peer.member));
        }
    }

    /// Takes, releases or removes one minion according to its assignment and the list.
    fn assign_minion(&mut self, now: Moment, key: MinionKey, members_changed: bool) {
        let minion = &mut self.minions.arena[key];
        let dropped = minion.unlisted.is_some_and(|at| now.since(at) > UNLISTED_MS)
            || minion.is_lost_while_invalid(UNLISTED_MS, now);
        if dropped {
            let id = minion.entry.id.clone();
            self.release_minion(now, key);
            self.minions.arena.remove(key);
            self.minions.by_id.remove(&id);
            return;
        }
        if members_changed {
            let entry = &minion.entry;
            let holder =
                holder_of(&entry.id, &entry.failure_domain, &self.review.members);
            minion.assignee = match holder {
                Some(holder) if *holder == self.member => Assignee::Own,
                Some(holder) => {
                    let peer = self.peers.key_of(holder);
                    peer.map_or(Assignee::Nobody, Assignee::Peer)
                }
                None => Assignee::Nobody,
            };
        }
        match (minion.assignee == Assignee::Own, minion.held.is_some()) {
            (true, false) => {
                if let Some(token) = self.next_token(now, key) {
                    self.hold_minion(now, key, token);
                }
            }
            (false, true) => self.release_minion(now, key),
            (true, true) | (false, false) => {}
        }
    }

    /// Returns the fencing token for a minion that is to be held.
    ///
    /// Returns none before the store has sent a generation, and while the minion was lost
    /// to a higher token and must not be taken back yet.
    fn next_token(&self, now: Moment, key: MinionKey) -> Option<u64> {
        let generation = self.review.generation;
        if generation == 0 {
            return None;
        }
        let first = fencing_token(generation, 0, &self.member);
        let Some(lost) = self.minions.arena[key].lost else { return Some(first) };
        let next = self.token_above(lost.fencing_token)?;
        let waited = now.since(lost.at) >= RETAKE_MS;
        (waited || next == first).then_some(next)
    }

    /// Returns the lowest fencing token of this instance above `token`, if the present
    /// generation has one.
    pub(crate) fn token_above(&self, token: u64) -> Option<u64> {
        let own = |attempt| fencing_token(self.review.generation, attempt, &self.member);
        (0..=u8::MAX).map(own).find(|&next| next > token)
    }
}
