//! The engine of an instance: its state, its inputs and its outputs.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::mem;
use std::net::SocketAddr;
use std::sync::Arc;

use log::{info, warn};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::effect::{Effect, HoldNumber, RequestKey};
use crate::event_loop::{EventLoop, TICK_MS};
use crate::holder::confirm::DetachedEnds;
use crate::holder::minion::{HoldState, Minions, RunOwner, RunPhase};
use crate::holder::orders::RejectionCause;
use crate::holder::pace::Pace;
use crate::holder::retry_budget::RetryBudget;
use crate::id::{OccurrenceRef, RunRef};
use crate::membership::Review;
use crate::membership::member::Member;
use crate::membership::peer::{FrameTimes, PeerKey, Peers, StoreStatus};
use crate::message::{EndReport, Frame, Message};
use crate::operator::catalog::Catalog;
use crate::operator::evacuation::Evacuations;
use crate::overload::Overload;
use crate::owner::gone::RunGone;
use crate::owner::job::Rank;
use crate::owner::job_table::JobTable;
use crate::owner::outcome::Outcomes;
use crate::owner::task::Holder;
use crate::placement::advice::AdviceCalls;
use crate::placement::capacity_search::BURST_QUERIES;
use crate::shard::Shards;
use crate::shard::job_op::{OpNumber, OpenOp, Requester};
use crate::time::Moment;
use crate::timing::OWNER_SILENCE_MS;
use crate::token_bucket::TokenBucket;

/// The delay of a tick from which on it is logged. It is half the age up to which an owner
/// counts as alive.
const LATE_TICK_MS: u64 = OWNER_SILENCE_MS / 2;

/// The scheduler of one instance.
///
/// Callers pass the time with each event, carry out the effects that
/// [`Engine::take_effects`] returns, send the frames that [`Engine::take_frames`]
/// returns, and call [`Engine::tick`] at [`Engine::next_due`].
#[derive(Debug)]
pub struct Engine {
    /// This instance.
    pub(crate) member: Member,
    pub(crate) catalog: Arc<Catalog>,
    /// The failure domains that operators have evacuated.
    pub(crate) evacuations: Evacuations,
    /// Whether the configuration and the minions come from a peer, not from the store.
    pub(crate) state_from_peer: bool,
    pub(crate) minions: Minions,
    pub(crate) peers: Peers,
    /// The jobs that have not ended.
    pub(crate) jobs: JobTable,
    /// The jobs with waiting tasks, the most urgent first.
    pub(crate) waiting: BTreeSet<Rank>,
    /// The jobs that open requests wait for.
    pub(crate) job_of_request: HashMap<RequestKey, OccurrenceRef>,
    /// The outcomes of jobs that have ended.
    pub(crate) outcomes: Outcomes,
    /// The shards of stored jobs.
    pub(crate) shards: Shards,
    /// The operations on stored jobs that clients of this instance wait for.
    pub(crate) ops: BTreeMap<OpNumber, OpenOp>,
    /// The number of the last operation that was sent.
    pub(crate) last_op: OpNumber,
    pub(crate) advice_calls: AdviceCalls,
    /// The time of day minus the steady clock.
    pub(crate) wall_offset_ms: i64,
    /// The factor on the run time of tasks that are remote from their data or each other.
    pub(crate) remote_factor: f64,
    /// The learned ratio of run time to estimate over all tasks.
    pub(crate) pace: Pace,
    /// The learned factor on the run times of minions that are cold.
    pub(crate) cold_pace: Pace,
    /// What waits and what is turned away while there is too little room.
    pub(crate) overload: Overload,
    /// The state on which the last review of members and minions was based.
    pub(crate) review: Review,
    /// Whether tasks or free capacity may have been added since tasks were last placed.
    pub(crate) placement_due: bool,
    /// When this instance stops, if it is draining; jobs that may last longer are
    /// refused.
    pub(crate) ends_at: Option<Moment>,
    /// The number of the last hold that was sent.
    pub(crate) last_hold: HoldNumber,
    pub(crate) event_loop: EventLoop,
    /// The rate limit of queries of free capacity that place no task.
    pub(crate) query_budget: TokenBucket,
    /// The budget for starts that are sent again.
    pub(crate) retry_budget: RetryBudget,
    /// The ends that no minion lists any more, and no owner has confirmed.
    pub(crate) detached_ends: DetachedEnds,
    /// The starts of peers that are rejected after the end of an earlier run of their task.
    pub(crate) deferred_rejections: Vec<(PeerKey, RunRef)>,
    /// The actions that the caller has not taken yet.
    pub(crate) effects: Vec<Effect>,
    /// Breaks ties, and spreads the delays after which refused clients retry.
    pub(crate) rng: SmallRng,
}

/// A summary of the engine's state for operators and the readiness check.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub struct Status {
    /// The version of the configuration in force; 0 if there is none.
    pub config_version: u64,
    /// The number of jobs that have not ended.
    pub jobs: usize,
    /// The number of jobs with waiting tasks.
    pub waiting: usize,
    /// The number of jobs with tasks that wait beside minions whose free capacity is not
    /// known.
    pub searching: usize,
    /// The number of known minions, of any holder.
    pub minions: usize,
    /// The number of minions that this instance holds.
    pub held: usize,
    /// The number of peers from which a frame arrived lately.
    pub peers: usize,
    /// The number of ends on the lists of held minions that no owner has confirmed.
    pub unconfirmed_ends: usize,
    /// The number of held minions that get no starts because their list of ends is full.
    pub full_lists: usize,
    /// The number of owned shards whose log takes no records.
    pub stalled_logs: usize,
}

impl Engine {
    /// Creates the engine of an instance; `seed` determines how it breaks ties.
    pub fn new(member: Member, seed: u64) -> Self {
        Self {
            member,
            catalog: Arc::default(),
            evacuations: Evacuations::default(),
            state_from_peer: false,
            minions: Minions::default(),
            peers: Peers::default(),
            jobs: JobTable::default(),
            waiting: BTreeSet::new(),
            job_of_request: HashMap::new(),
            outcomes: Outcomes::default(),
            shards: Shards::default(),
            ops: BTreeMap::new(),
            last_op: OpNumber::default(),
            advice_calls: AdviceCalls::default(),
            wall_offset_ms: 0,
            remote_factor: 1.0,
            pace: Pace::default(),
            cold_pace: Pace::default(),
            overload: Overload::default(),
            review: Review::default(),
            placement_due: false,
            ends_at: None,
            last_hold: HoldNumber(0),
            event_loop: EventLoop::default(),
            query_budget: TokenBucket::new(BURST_QUERIES),
            retry_budget: RetryBudget::default(),
            detached_ends: DetachedEnds::default(),
            deferred_rejections: Vec::new(),
            effects: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Sets the factor on the run time of tasks that are remote from their data or from
    /// each other; values below 1 count as 1.
    pub fn set_remote_factor(&mut self, remote_factor: f64) {
        self.remote_factor = remote_factor.max(1.0);
    }

    /// Returns the configuration in force.
    pub fn catalog(&self) -> &Arc<Catalog> {
        &self.catalog
    }

    /// Puts a configuration from the store in force, unless its version or a later one
    /// already is.
    pub fn set_catalog(&mut self, catalog: Catalog) {
        self.state_from_peer = false;
        self.adopt_catalog(catalog);
    }

    /// Puts a configuration in force, unless its version or a later one already is.
    pub(crate) fn adopt_catalog(&mut self, catalog: Catalog) {
        if catalog.version > self.catalog.version {
            info!(target: "config", version = catalog.version,
                before = self.catalog.version, queues = catalog.queues.len();
                "configuration in force");
            self.catalog = Arc::new(catalog);
        }
    }

    /// Returns the peers to connect to, with their addresses.
    ///
    /// Incarnations that a later one has replaced are left out.
    pub fn peers(&self) -> Vec<(PeerKey, SocketAddr)> {
        let peers = self.peers.arena.iter().filter(|(_, peer)| !peer.replaced);
        peers.map(|(key, peer)| (key, peer.member.address)).collect()
    }

    /// Returns the key of a peer, which is added if it is new.
    pub fn peer(&mut self, now: Moment, member: &Member) -> PeerKey {
        self.peers.insert(member, now)
    }

    /// Returns the group member that a peer is, unless the peer was removed.
    pub fn member_of(&self, peer: PeerKey) -> Option<&Member> {
        self.peers.arena.get(peer).map(|peer| &peer.member)
    }

    /// Handles a new link to a peer: sends what may have been lost with the earlier one.
    pub fn link_opened(&mut self, peer: PeerKey) {
        let moved = self.moved_runs_of(peer);
        let runs = self.held_runs_of(peer);
        let wanted = self.runs_placed_at(peer);
        let reports = self.shard_reports_to(peer);
        let unclaimed = self.announcements(self.unclaimed_runs().into_iter());
        let incomplete = self.partial_gang_runs_at(peer);
        let cancelled = self.outcomes.cancelled_elsewhere();
        self.evacuations.note_link();
        if let Some(peer) = self.peers.arena.get_mut(peer) {
            peer.open_link();
            for (run, minion) in moved {
                peer.push_required(Message::Moved { run, minion });
            }
            peer.push_required(Message::HeldRuns(runs));
            peer.push_required(Message::WantedRuns(wanted));
            for run in incomplete {
                peer.push_required(Message::Stop(run));
            }
            for message in reports.into_iter().chain(unclaimed) {
                peer.push_required(message);
            }
            for job in cancelled {
                peer.push_required(Message::Cancel(job));
            }
            for (&shard, owned) in &self.shards.owned {
                if owned.is_claimed() {
                    peer.push_required(Message::ShardTaken { shard, epoch: owned.epoch });
                }
            }
        }
    }

    /// Handles the loss of the link to a peer, or of a frame on it: start requests that were
    /// not sent are taken back, and no frame is returned until the link is opened again.
    pub fn link_lost(&mut self, now: Moment, peer: PeerKey) {
        let Some(entry) = self.peers.arena.get_mut(peer) else { return };
        let unsent = entry.lose_link();
        for run in unsent {
            let gone = RunGone::not_sent(run);
            let cause = RejectionCause::Unavailable;
            self.start_rejected(now, Holder::Peer(peer), gone, cause);
        }
        self.advance(now);
    }

    /// Returns whether a peer has not echoed a frame for more than `silence_ms`, counted
    /// from the opening of the link at the earliest.
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

    /// Handles a frame from a peer.
    pub fn frame_arrived(&mut self, now: Moment, peer: PeerKey, mut frame: Frame) {
        frame.restore_specs();
        let messages = mem::take(&mut frame.messages);
        let Some(entry) = self.peers.arena.get_mut(peer) else { return };
        let first = entry.last_frame_at.is_none();
        entry.note_frame(&frame, now);
        if first {
            info!(target: "peer", peer:% = entry.member; "first frame from a peer");
        }
        let times = FrameTimes {
            sent_ms: frame.sent_ms,
            echo: Moment(frame.echo_ms),
            overtaken: frame.sent_ms < entry.last_frame_sent_ms,
        };
        let needs_state = frame.needs_state && entry.is_state_due(now);
        if first {
            self.introduce_members(now);
        }
        if needs_state {
            self.send_state(now, peer);
        }
        // A start extends the lease of its minion, which must have no run of a silent owner.
        self.stop_orphans(now);
        for message in messages {
            self.handle_message(now, peer, times, message);
        }
        self.advance(now);
    }

    /// Handles one message of a frame.
    fn handle_message(
        &mut self,
        now: Moment,
        peer: PeerKey,
        times: FrameTimes,
        message: Message,
    ) {
        match message {
            Message::StartRejected { run, .. }
            | Message::Released(run)
            | Message::Moved { run, .. }
            | Message::Ended { report: EndReport { run, .. }, .. }
                if self.predates_order(run, peer, times) =>
            {
                info!(target: "job", request_id:% = run.task.job, run:% = run.task,
                    number = run.run;
                    "ignoring a message about a run from before its order");
            }
            // The lists of runs on the newer connection take their place.
            Message::Released(_) | Message::HeldRuns(_) | Message::WantedRuns(_)
                if times.overtaken =>
            {
                info!(target: "peer", peer:? = peer;
                    "ignoring a release or a list of runs on an earlier connection");
            }
            Message::Claimed { run, .. } if self.is_answered(peer, times) => {
                info!(target: "minion", run:% = run.task, number = run.run;
                    "ignoring a claim from before a stop or a list of wanted runs");
            }
            Message::FreeCapacity(reports) => {
                if let Some(peer) = self.peers.arena.get_mut(peer) {
                    peer.report(reports);
                    self.placement_due = true;
                }
            }
            Message::CapacityChanges(changes) => {
                if let Some(peer) = self.peers.arena.get_mut(peer) {
                    peer.report_changes(changes);
                    self.placement_due = true;
                }
            }
            Message::Start { minion, order }
            | Message::StartSibling { minion, order } => {
                self.start_for_peer(now, peer, times, &minion, *order);
            }
            Message::Stop(run) => {
                self.refuse_earlier_orders(peer, times.sent_ms);
                self.stop_for_peer(now, peer, run);
            }
            Message::StartRejected { run, cause } => {
                let gone = RunGone::rejected_by_holder(run);
                self.start_rejected(now, Holder::Peer(peer), gone, cause);
            }
            Message::Ended { minion, report } => {
                self.end_reported(now, peer, &minion, report);
            }
            Message::EndConfirmed(run) => self.confirm_end(now, run),
            Message::EndSuperseded(run) => self.defer_confirmation(run),
            Message::OpRequest { number, id, op } => {
                self.receive_op(now, Requester::Peer(peer, number), id, op);
            }
            Message::OpReply { number, reply } => self.op_answered(now, number, reply),
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
                self.claimed_by_peer(peer, &minion, run, claim);
            }
            Message::HeldRuns(runs) => self.reconcile(now, peer, &runs, times.echo),
            Message::WantedRuns(runs) => {
                self.refuse_earlier_orders(peer, times.sent_ms);
                self.stop_unwanted(now, peer, &runs);
            }
            Message::StateTransfer { catalog, minions } => {
                self.take_state(now, catalog, minions);
            }
            Message::Cancel(job) => self.cancel_for_peer(now, job),
            Message::Leaving => self.peer_leaving(peer),
            Message::Evacuations(notices) => self.evacuations_reported(notices),
            Message::Members(members) => self.members_introduced(now, peer, &members),
        }
    }

    /// Starts to drain: from now on, jobs are refused that may not end before `ends_at`.
    pub fn drain(&mut self, ends_at: Moment) {
        self.ends_at = Some(ends_at);
    }

    /// Does the work that is due.
    pub fn tick(&mut self, now: Moment) {
        self.note_tick(now);
        // Capacity may be free again because the backoff of a minion is over.
        self.placement_due = true;
        self.advance(now);
    }

    /// Records a tick, and logs one that is much too late.
    fn note_tick(&mut self, now: Moment) {
        let late_ms = self.event_loop.tick(now);
        if late_ms >= LATE_TICK_MS {
            warn!(target: "process", late_ms, held = self.minions.held_keys().len(),
                jobs = self.jobs.len(); "the event loop is late");
        }
    }

    /// Returns when [`Engine::tick`] has work to do, at most 100 ms from now.
    pub fn next_due(&self, now: Moment) -> Moment {
        let mut due = now + TICK_MS;
        for job in self.jobs.with_deadline() {
            due = due.min(job.ends_by().unwrap_or(due));
        }
        due = due.min(self.ops_due().unwrap_or(due));
        due = due.min(self.shards_due().unwrap_or(due));
        due = due.min(self.advice_calls.due().unwrap_or(due));
        for (_, _, held) in self.minions.held() {
            if let HoldState::Due(at) = held.hold {
                due = due.min(at);
            }
            let claim_window_ms = held.claim_window_ms();
            for run in held.runs.values() {
                match run.phase {
                    RunPhase::StopDue(at) => due = due.min(at),
                    RunPhase::Active if run.owner == RunOwner::Unclaimed => {
                        due = due.min(run.since + claim_window_ms + 1);
                    }
                    RunPhase::Starting | RunPhase::Active | RunPhase::Stopping => {}
                }
            }
            if held.blocked_until > now {
                due = due.min(held.blocked_until);
            }
        }
        self.peers.frame_due().min(due)
    }

    /// Returns the actions to carry out, in order, and removes them.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        mem::take(&mut self.effects)
    }

    /// Returns the frames that are due, for sending.
    pub fn take_frames(&mut self, now: Moment) -> Vec<(PeerKey, Frame)> {
        if self.peers.frame_due() > now {
            return Vec::new();
        }
        let reports = self.free_capacity(now);
        let needs_state = self.catalog.version == 0;
        let store_status = StoreStatus { needs_state, joined_at: self.shards.joined_at };
        self.peers.take_frames(&reports, store_status, now)
    }

    /// Returns a summary of the engine's state.
    pub fn status(&self, now: Moment) -> Status {
        let peers = self.peers.arena.values();
        let held = || self.minions.held().map(|(_, _, held)| held);
        let logs = self.shards.owned.values().map(|shard| &shard.log);
        Status {
            config_version: self.catalog.version,
            jobs: self.jobs.len(),
            waiting: self.waiting.len(),
            searching: self.jobs.values().filter(|it| it.search.lacks_reports()).count(),
            minions: self.minions.arena.len(),
            held: self.minions.held_keys().len(),
            peers: peers.filter(|peer| peer.is_responsive(now)).count(),
            unconfirmed_ends: held().map(|held| held.unconfirmed.len()).sum(),
            full_lists: held().filter(|held| held.is_list_full()).count(),
            stalled_logs: logs.filter(|log| log.is_stalled(now)).count(),
        }
    }

    /// Queues a message to a peer for the next frame; it is dropped if the queue is full.
    pub(crate) fn send(&mut self, peer: PeerKey, message: Message) {
        if let Some(peer) = self.peers.arena.get_mut(peer) {
            peer.push(message);
        }
    }

    /// Queues a message to all peers for the next frames.
    pub(crate) fn broadcast(&mut self, message: &Message) {
        for peer in self.peers.arena.values_mut() {
            peer.push(message.clone());
        }
    }

    /// Returns whether work may be offered to a peer.
    pub(crate) fn is_peer_responsive(&self, now: Moment, peer: PeerKey) -> bool {
        self.peers.arena.get(peer).is_some_and(|peer| peer.is_responsive(now))
    }

    /// Records that the free capacity has changed.
    pub(crate) fn capacity_changed(&mut self) {
        self.placement_due = true;
        for peer in self.peers.arena.values_mut() {
            peer.report_due = true;
        }
    }

    /// Does all work that is due after an event.
    ///
    /// Runs without an owner come first, so that an instance that resumes after a
    /// suspension stops them before it renews any lease.
    pub(crate) fn advance(&mut self, now: Moment) {
        self.stop_orphans(now);
        self.send_deferred_rejections();
        self.expire(now);
        self.review(now);
        self.drive_ops(now);
        self.drive_shards(now);
        self.report_unconfirmed(now, false);
        self.place(now);
        self.drive_advice(now);
        self.send_due(now);
        self.tell_evacuations();
    }
}
