//! The engine of an instance.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::mem;
use std::net::SocketAddr;
use std::sync::Arc;

use log::info;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::advice::Advisor;
use crate::catalog::Catalog;
use crate::effect::{Effect, HoldNumber, RequestKey};
use crate::id::{MinionId, OccurrenceRef};
use crate::job::Rank;
use crate::job_op::{OpNumber, OpenOp, Requester};
use crate::job_table::JobTable;
use crate::member::Member;
use crate::membership::Review;
use crate::message::{Frame, Message};
use crate::minion::{HoldState, Minion, MinionEntry, Minions, RunPhase};
use crate::outcome::Outcomes;
use crate::pace::Pace;
use crate::peer::{PeerKey, Peers, StoreStatus};
use crate::shard::Shards;
use crate::task::Holder;
use crate::time::Moment;

/// The longest time between two ticks.
const TICK_MS: u64 = 100;

/// All decisions of one instance.
///
/// Callers pass the time with each event, carry out the effects that
/// [`Engine::take_effects`] returns, send the frames that [`Engine::take_frames`] returns,
/// and call [`Engine::tick`] at [`Engine::next_due`].
#[derive(Debug)]
pub struct Engine {
    /// This instance.
    pub(crate) member: Member,
    /// The configuration in force.
    pub(crate) catalog: Arc<Catalog>,
    /// The minions.
    pub(crate) minions: Minions,
    /// The peers.
    pub(crate) peers: Peers,
    /// The jobs that have not ended.
    pub(crate) jobs: JobTable,
    /// The jobs with waiting tasks, in their order.
    pub(crate) waiting: BTreeSet<Rank>,
    /// The jobs of requests that wait.
    pub(crate) job_of_request: HashMap<RequestKey, OccurrenceRef>,
    /// The outcomes of jobs that have ended.
    pub(crate) outcomes: Outcomes,
    /// The shards of stored jobs.
    pub(crate) shards: Shards,
    /// The operations on stored jobs that have no answer yet.
    pub(crate) ops: BTreeMap<OpNumber, OpenOp>,
    /// The number of the last operation.
    pub(crate) last_op: OpNumber,
    /// The calls for advice.
    pub(crate) advisor: Advisor,
    /// The time of day less the steady clock.
    pub(crate) wall_offset_ms: i64,
    /// How many times as long tasks take away from their data or from each other.
    pub(crate) remote_factor: f64,
    /// The run times of all tasks over their estimates.
    pub(crate) pace: Pace,
    /// What members and minions were when they were last looked at.
    pub(crate) review: Review,
    /// Whether tasks or room have come since tasks were last placed.
    pub(crate) placement_due: bool,
    /// When this instance stops, if it does; jobs that may last longer are refused.
    pub(crate) ends_at: Option<Moment>,
    /// The number of the last call that holds a minion.
    pub(crate) last_hold: HoldNumber,
    /// The actions that wait.
    pub(crate) effects: Vec<Effect>,
    /// Breaks ties.
    pub(crate) rng: SmallRng,
}

/// A summary for operators and readiness.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub struct Status {
    /// The version of the configuration; 0 means none.
    pub config_version: u64,
    /// The jobs that have not ended.
    pub jobs: usize,
    /// The jobs with tasks that wait.
    pub waiting: usize,
    /// The minions in the list.
    pub minions: usize,
    /// The minions that this instance holds.
    pub held: usize,
    /// The peers that were heard lately.
    pub peers: usize,
}

impl Engine {
    /// Creates the engine of an instance; `seed` breaks ties.
    pub fn new(member: Member, seed: u64) -> Self {
        Self {
            member,
            catalog: Arc::default(),
            minions: Minions::default(),
            peers: Peers::default(),
            jobs: JobTable::default(),
            waiting: BTreeSet::new(),
            job_of_request: HashMap::new(),
            outcomes: Outcomes::default(),
            shards: Shards::default(),
            ops: BTreeMap::new(),
            last_op: OpNumber::default(),
            advisor: Advisor::default(),
            wall_offset_ms: 0,
            remote_factor: 1.0,
            pace: Pace::default(),
            review: Review::default(),
            placement_due: false,
            ends_at: None,
            last_hold: HoldNumber(0),
            effects: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Sets how many times as long tasks take away from their data or from each other.
    pub fn set_remote_factor(&mut self, remote_factor: f64) {
        self.remote_factor = remote_factor.max(1.0);
    }

    /// Returns the configuration in force.
    pub fn catalog(&self) -> &Arc<Catalog> {
        &self.catalog
    }

    /// Puts a configuration in force, unless it or a later one is.
    pub fn set_catalog(&mut self, catalog: Catalog) {
        if catalog.version > self.catalog.version {
            info!(target: "config", version = catalog.version,
                before = self.catalog.version, queues = catalog.queues.len();
                "configuration in force");
            self.catalog = Arc::new(catalog);
        }
    }

    /// Takes new entries of the list of minions.
    pub fn list_minions(&mut self, now: Moment, entries: Vec<MinionEntry>) {
        for entry in entries {
            match self.minions.by_id.get(&entry.id) {
                Some(&key) => {
                    let minion = &mut self.minions.arena[key];
                    if minion.entry.state != entry.state {
                        info!(target: "minion", minion:% = entry.id,
                            state:? = entry.state; "minion changes its state");
                    }
                    minion.entry = entry;
                    minion.unlisted = None;
                }
                None => {
                    let id = entry.id.clone();
                    let key = self.minions.arena.insert(Minion::new(entry));
                    self.minions.by_id.insert(id, key);
                }
            }
        }
        self.settle(now);
    }

    /// Notes that the list has dropped a minion.
    pub fn unlist_minion(&mut self, now: Moment, id: &MinionId) {
        if let Some(&key) = self.minions.by_id.get(id) {
            self.minions.arena[key].unlisted.get_or_insert(now);
            info!(target: "minion", minion:% = id; "minion left the list");
        }
    }

    /// Returns the ids of all minions that the list has not dropped.
    pub fn listed_minions(&self) -> Vec<MinionId> {
        let listed = |minion: &&Minion| minion.unlisted.is_none();
        let minions = self.minions.arena.values().filter(listed);
        minions.map(|minion| minion.entry.id.clone()).collect()
    }

    /// Returns the peers and their addresses.
    pub fn peers(&self) -> Vec<(PeerKey, SocketAddr)> {
        let peers = self.peers.arena.iter().filter(|(_, peer)| !peer.replaced);
        peers.map(|(key, peer)| (key, peer.member.address)).collect()
    }

    /// Returns the key of the peer that a link comes from.
    pub fn peer(&mut self, now: Moment, member: &Member) -> PeerKey {
        self.peers.insert(member, now)
    }

    /// Returns a peer as a member of the group.
    pub fn member_of(&self, peer: PeerKey) -> Option<&Member> {
        self.peers.arena.get(peer).map(|peer| &peer.member)
    }

    /// Notes that a link to a peer was opened.
    pub fn link_opened(&mut self, peer: PeerKey) {
        let runs = self.runs_of_peer(peer);
        let wanted = self.runs_at_peer(peer);
        if let Some(peer) = self.peers.arena.get_mut(peer) {
            peer.open_link();
            peer.push(Message::Runs(runs));
            peer.push(Message::Wanted(wanted));
            for (&shard, owned) in &self.shards.owned {
                if owned.is_claimed() {
                    peer.push(Message::ShardTaken { shard, epoch: owned.epoch });
                }
            }
        }
    }

    /// Notes that the link to a peer was lost.
    pub fn link_lost(&mut self, now: Moment, peer: PeerKey) {
        let Some(entry) = self.peers.arena.get_mut(peer) else { return };
        let unsent = entry.lose_link();
        for run in unsent {
            self.start_rejected(now, Holder::Peer(peer), run, false);
        }
        self.settle(now);
    }

    /// Returns whether a peer has not echoed any frame for `silence_ms`, counted from the
    /// opening of the link at the earliest.
    pub fn is_link_silent(
        &self,
        now: Moment,
        peer: PeerKey,
        opened: Moment,
        silence_ms: u64,
    ) -> bool {
        let echoed = self.peers.arena.get(peer).and_then(|peer| peer.last_echoed_at);
        now.since(echoed.unwrap_or_default().max(opened)) > silence_ms
    }

    /// Takes a frame of a peer.
    pub fn frame_arrived(&mut self, now: Moment, peer: PeerKey, mut frame: Frame) {
        let messages = mem::take(&mut frame.messages);
        let Some(entry) = self.peers.arena.get_mut(peer) else { return };
        let first = entry.last_frame_at.is_none();
        entry.note_frame(&frame, now);
        if first {
            info!(target: "peer", peer:% = entry.member; "peer heard");
        }
        if frame.needs_state && entry.is_state_due(now) {
            self.send_state(now, peer);
        }
        for message in messages {
            self.take_message(now, peer, Moment(frame.echo_ms), message);
        }
        self.settle(now);
    }

    /// Takes a message of a peer.
    fn take_message(
        &mut self,
        now: Moment,
        peer: PeerKey,
        echo: Moment,
        message: Message,
    ) {
        match message {
            Message::Rooms(rooms) => {
                if let Some(peer) = self.peers.arena.get_mut(peer) {
                    peer.report(rooms);
                    self.placement_due = true;
                }
            }
            Message::Start { minion, order } => {
                self.start_for_peer(now, peer, echo, &minion, *order);
            }
            Message::Stop(run) => self.stop_for_peer(now, peer, run),
            Message::Bounced { run, outdated } => {
                self.start_rejected(now, Holder::Peer(peer), run, outdated);
            }
            Message::Ended { minion, report } => {
                self.end_reported(now, peer, &minion, report);
            }
            Message::EndNoted(run) => self.confirm(now, run),
            Message::EndVoid(run) => self.avoid_end(run),
            Message::Ask { number, id, op } => {
                self.receive_op(now, Requester::Peer(peer, number), id, op);
            }
            Message::Told { number, reply } => self.op_answered(now, number, reply),
            Message::ShardTaken { shard, epoch } => {
                self.shard_taken(now, peer, shard, epoch);
            }
            Message::ShardRuns { shard, epoch, runs } => {
                self.shard_runs(now, peer, shard, epoch, runs);
            }
            Message::Pending(pending) => {
                if let Some(peer) = self.peers.arena.get_mut(peer) {
                    peer.pending = pending;
                }
            }
            Message::Moved { run, minion } => {
                self.run_moved(Holder::Peer(peer), run, &minion);
            }
            Message::Released(run) => self.holder_lost(now, Holder::Peer(peer), run),
            Message::Adopted { minion, fencing_token, active, ended } => {
                let held = (&minion, fencing_token);
                self.adopted_by_peer(now, peer, held, active, ended);
            }
            Message::Claimed { minion, run, claim } => {
                self.claimed_by_peer(now, peer, &minion, run, claim);
            }
            Message::Runs(runs) => self.reconcile(now, peer, &runs, echo),
            Message::Wanted(runs) => self.keep_wanted(now, peer, &runs),
            Message::StateTransfer { catalog, minions } => {
                self.take_state(now, catalog, minions);
            }
            Message::Cancel(job) => self.cancel_for_peer(now, job),
            Message::Leaving => self.peer_leaves(peer),
        }
    }

    /// Takes only jobs from now on that can end before `ends_at`.
    pub fn drain(&mut self, ends_at: Moment) {
        self.ends_at = Some(ends_at);
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Moment) {
        // Room may have come back because a pause of a minion is over.
        self.placement_due = true;
        self.settle(now);
    }

    /// Returns when [`Engine::tick`] has something to do.
    pub fn next_due(&self, now: Moment) -> Moment {
        let mut due = now + TICK_MS;
        for job in self.jobs.timed() {
            due = due.min(job.ends_by().unwrap_or(due));
        }
        due = due.min(self.ops_due().unwrap_or(due));
        due = due.min(self.shards_due().unwrap_or(due));
        due = due.min(self.advisor.due().unwrap_or(due));
        for (_, _, held) in self.minions.held() {
            if let HoldState::Due(at) = held.hold {
                due = due.min(at);
            }
            for run in held.runs.values() {
                if let RunPhase::StopDue(at) = run.phase {
                    due = due.min(at);
                }
            }
            if held.blocked_until > now {
                due = due.min(held.blocked_until);
            }
        }
        self.peers.frame_due().min(due)
    }

    /// Returns the actions that wait.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        mem::take(&mut self.effects)
    }

    /// Returns the frames that are due.
    pub fn take_frames(&mut self, now: Moment) -> Vec<(PeerKey, Frame)> {
        if self.peers.frame_due() > now {
            return Vec::new();
        }
        let rooms = self.rooms(now);
        let needs_state = self.catalog.version == 0;
        let standing = StoreStatus { needs_state, joined_at: self.shards.joined_at };
        self.peers.take_frames(&rooms, standing, now)
    }

    /// Returns a summary.
    pub fn status(&self, now: Moment) -> Status {
        let peers = self.peers.arena.values();
        Status {
            config_version: self.catalog.version,
            jobs: self.jobs.len(),
            waiting: self.waiting.len(),
            minions: self.minions.arena.len(),
            held: self.minions.held_keys().len(),
            peers: peers.filter(|peer| peer.is_responsive(now)).count(),
        }
    }

    /// Sends a message to a peer with the next frame.
    pub(crate) fn send(&mut self, peer: PeerKey, message: Message) {
        if let Some(peer) = self.peers.arena.get_mut(peer)
            && !peer.push(message)
        {
            log::error!(target: "peer", peer:% = peer.member; "too many messages wait");
        }
    }

    /// Sends a message to all peers with the next frames.
    pub(crate) fn broadcast(&mut self, message: &Message) {
        for peer in self.peers.arena.values_mut() {
            peer.push(message.clone());
        }
    }

    /// Returns whether work may be offered to a peer.
    pub(crate) fn is_peer_responsive(&self, now: Moment, peer: PeerKey) -> bool {
        self.peers.arena.get(peer).is_some_and(|peer| peer.is_responsive(now))
    }

    /// Notes that the free room has changed.
    pub(crate) fn rooms_changed(&mut self) {
        self.placement_due = true;
        for peer in self.peers.arena.values_mut() {
            peer.report_due = true;
        }
    }

    /// Brings everything up to date after an event. Runs without an owner come first, so
    /// that an instance that wakes up stops them before it renews any lease.
    pub(crate) fn settle(&mut self, now: Moment) {
        self.stop_orphans(now);
        self.expire(now);
        self.review(now);
        self.drive_ops(now);
        self.drive_shards(now);
        self.report_unconfirmed(now, false);
        self.place(now);
        self.drive_advice(now);
        self.send_due(now);
    }
}
