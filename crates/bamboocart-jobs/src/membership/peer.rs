//! Peers: their liveness, the free capacity they reported, and the messages queued for
//! them.

use std::collections::{BTreeSet, HashMap};

use log::{error, info, warn};
use slotmap::{SlotMap, new_key_type};

use crate::id::{MemberId, MinionId, RunRef};
use crate::membership::member::Member;
use crate::message::{CapacityReport, Frame, Message};
use crate::operator::evacuation::EvacuationNotice;
use crate::placement::capacity_query::CapacityQuery;
use crate::resources::Resources;
use crate::time::Moment;
use crate::timing::{
    FRAME_INTERVAL_MS, HOLDER_SILENCE_MS, IDLE_FRAME_INTERVAL_MS, REPORT_INTERVAL_MS,
    REPORTS_PER_S,
};

new_key_type! {
    /// Identifies a peer within an engine.
    pub struct PeerKey;
}

/// Maximum number of messages queued for one peer; further ones are dropped until some
/// are sent.
pub(crate) const OUTBOX_MESSAGES: usize = 4_096;

/// Minimum interval between two state transfers to a peer; each is as large as the
/// configuration.
const STATE_TRANSFER_INTERVAL_MS: u64 = 1_000;

/// Another instance, with what this one knows of it.
#[derive(Debug)]
pub(crate) struct Peer {
    /// The entry of the peer in the group.
    pub(crate) member: Member,
    /// Whether the group currently lists it, according to the store or, while the store does
    /// not answer, to a peer.
    pub(crate) listed: bool,
    /// Whether the group has ever listed it or an earlier incarnation.
    pub(crate) joined: bool,
    /// When this instance first learned of it.
    pub(crate) known_since: Moment,
    /// Whether it is leaving and has given up its minions.
    pub(crate) leaving: bool,
    /// Whether a later incarnation of the instance is known. The entry stays for a while,
    /// since runs that this one has started may still be active.
    pub(crate) replaced: bool,
    /// Whether this instance always uses the free capacity that the peer reports.
    neighbour: bool,
    /// The query of its free capacity while it is no neighbour.
    pub(crate) query: CapacityQuery,
    /// What the frames to it have said about reports of its free capacity.
    subscription: Subscription,
    /// Whether it requests reports of this instance's free capacity.
    wants_capacity: bool,
    /// When the peer sent its last join that the store answered.
    pub(crate) joined_at: Option<Moment>,
    /// When it was last sent the state that the store has given this instance.
    state_sent: Option<Moment>,
    /// Whether either of the two instances owns runs on minions that the other holds.
    pub(crate) shares_runs: bool,
    /// Whether a link to it is open; messages are queued until one is.
    link_open: bool,
    /// The revision of the notices of evacuations that it was told on this link; 0 if none.
    told_evacuations: u64,
    /// The members that it was told of on this link, since the store does not answer it.
    introduced: BTreeSet<MemberId>,
    /// When the last frame from it arrived.
    pub(crate) last_frame_at: Option<Moment>,
    /// Send time of its last frame, on its clock.
    pub(crate) last_frame_sent_ms: u64,
    /// Starts and claims in frames that it sent before this time, on its clock, do not
    /// count: it has been told since which of its runs are here.
    pub(crate) orders_after_ms: u64,
    /// Send time of the last of our frames that it has echoed, on our clock.
    pub(crate) last_echoed_at: Option<Moment>,
    /// The free capacity that it reported, less later reservations.
    pub(crate) free_capacity: Vec<CapacityReport>,
    /// The free capacity that it reported, to which its next changes apply.
    capacity_base: Vec<CapacityReport>,
    /// The number of its stored jobs that have not started, by queue.
    pub(crate) pending: Vec<(Box<str>, u64)>,
    /// Reservations that the last report may not include yet.
    reservations: Vec<Reservation>,
    /// The queued messages.
    outbox: Vec<Message>,
    /// The number of messages dropped since the last frame because the queue was full.
    dropped_messages: u64,
    /// When the last frame was sent to it.
    sent: Option<Moment>,
    /// The send time that the last frame to it states.
    last_stamp: Option<Moment>,
    /// When the last report of free capacity was sent to it.
    reported: Option<Moment>,
    /// What that report told it; none if the next report has to be complete.
    reported_capacity: Option<Vec<CapacityReport>>,
    /// Whether the free capacity has changed since the last report.
    pub(crate) report_due: bool,
}

/// What an instance has told a peer about reports of the peer's free capacity.
///
/// Only the first report that follows a request is complete, so what a peer has reported may
/// not be forgotten while it takes the request for granted.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
enum Subscription {
    /// Reports were never requested.
    Never,
    /// Reports are requested.
    Active,
    /// Reports were requested, and then forgotten: the next frame withdraws the request, so
    /// that the one after it gets a complete report.
    Forgotten,
    /// The request was withdrawn; reports that still arrive do not count.
    Withdrawn,
}

/// The status of this instance towards the store, as its frames report it.
#[derive(Debug, Copy, Clone)]
pub(crate) struct StoreStatus {
    /// Whether it has no configuration yet.
    pub(crate) needs_state: bool,
    /// When this instance sent its last join that the store answered.
    pub(crate) joined_at: Option<Moment>,
}

/// When a frame from a peer was sent.
#[derive(Debug, Copy, Clone)]
pub(crate) struct FrameTimes {
    /// The send time on the clock of the peer.
    pub(crate) sent_ms: u64,
    /// When this instance sent the last frame that the peer had received.
    pub(crate) echo: Moment,
    /// Whether a later frame of the peer has arrived before, on a newer connection.
    pub(crate) overtaken: bool,
}

/// Resources of a minion that a start order to a peer will take.
#[derive(Debug)]
struct Reservation {
    /// When the order was queued.
    at: Moment,
    minion: MinionId,
    /// The resources that the task requires.
    need: Resources,
}

impl Peer {
    /// Creates a peer from which no frame has arrived.
    fn new(member: Member, now: Moment) -> Self {
        Self {
            member,
            listed: false,
            joined: false,
            known_since: now,
            leaving: false,
            replaced: false,
            neighbour: false,
            query: CapacityQuery::default(),
            subscription: Subscription::Never,
            wants_capacity: false,
            joined_at: None,
            state_sent: None,
            shares_runs: false,
            link_open: false,
            told_evacuations: 0,
            introduced: BTreeSet::new(),
            last_frame_at: None,
            last_frame_sent_ms: 0,
            orders_after_ms: 0,
            last_echoed_at: None,
            free_capacity: Vec::new(),
            capacity_base: Vec::new(),
            pending: Vec::new(),
            reservations: Vec::new(),
            outbox: Vec::new(),
            dropped_messages: 0,
            sent: None,
            last_stamp: None,
            reported: None,
            reported_capacity: None,
            report_due: true,
        }
    }

    /// Returns whether tasks may be placed on the peer's minions. An order that waits for a
    /// link would arrive after its task was started elsewhere.
    pub(crate) fn takes_orders(&self, now: Moment) -> bool {
        self.link_open && self.is_responsive(now)
    }

    /// Returns whether frames of the peer arrive.
    pub(crate) fn is_responsive(&self, now: Moment) -> bool {
        !self.replaced
            && self
                .last_frame_at
                .is_some_and(|heard| now.since(heard) < HOLDER_SILENCE_MS)
    }

    /// Returns whether the peer counts as present: the group lists it, or it is
    /// responsive.
    pub(crate) fn is_present(&self, now: Moment) -> bool {
        self.listed || self.is_responsive(now)
    }

    /// Sets whether this instance always uses the free capacity that the peer reports.
    pub(crate) fn set_neighbour(&mut self, neighbour: bool) {
        self.neighbour = neighbour;
    }

    /// Returns whether this instance uses the free capacity that the peer reports.
    pub(crate) fn reports_capacity(&self) -> bool {
        self.neighbour || self.query.is_open()
    }

    /// Returns whether its free capacity may be asked for now.
    pub(crate) fn may_query(&self, now: Moment) -> bool {
        self.link_open && !self.leaving && !self.replaced && self.query.may_open(now)
    }

    /// Returns whether a state transfer to a peer that needs one is due. It is repeated
    /// after an interval if the peer still needs it.
    pub(crate) fn is_state_due(&self, now: Moment) -> bool {
        self.state_sent.is_none_or(|sent| now.since(sent) >= STATE_TRANSFER_INTERVAL_MS)
    }

    /// Queues a state transfer.
    pub(crate) fn send_state(&mut self, now: Moment, state: Message) {
        if self.push(state) {
            self.state_sent = Some(now);
        }
    }

    /// Queues a message; returns false if the queue is full and the message is dropped.
    ///
    /// The first drop is logged here, and the number of all drops with the next frame.
    pub(crate) fn push(&mut self, message: Message) -> bool {
        let fits = self.outbox.len() < OUTBOX_MESSAGES;
        if fits {
            self.outbox.push(message);
            return true;
        }
        if self.dropped_messages == 0 {
            error!(target: "peer", peer:% = self.member;
                "outgoing queue is full; message dropped");
        }
        self.dropped_messages += 1;
        false
    }

    /// Removes a start order that is still queued, and returns whether there was one.
    pub(crate) fn cancel_start(&mut self, run: RunRef) -> bool {
        let before = self.outbox.len();
        self.outbox
            .retain(|it| !matches!(it, Message::Start { order, .. } if order.run == run));
        self.outbox.len() < before
    }

    /// Queues a message that restores what may have been lost with an earlier link; it is
    /// not dropped if the queue is full.
    pub(crate) fn push_required(&mut self, message: Message) {
        self.outbox.push(message);
    }

    /// Queues the notices of evacuations unless it was told this revision of them on its
    /// link.
    pub(crate) fn tell_evacuations(
        &mut self,
        revision: u64,
        notices: &[EvacuationNotice],
    ) {
        if self.link_open && self.told_evacuations < revision {
            self.told_evacuations = revision;
            self.push_required(Message::Evacuations(notices.to_vec()));
        }
    }

    /// Queues the names of members, except for those that it was told of on its link.
    pub(crate) fn introduce(&mut self, members: impl Iterator<Item = Member>) {
        if !self.link_open {
            return;
        }
        let known = &mut self.introduced;
        let news: Vec<Member> = members.filter(|it| known.insert(it.id())).collect();
        if !news.is_empty() {
            info!(target: "peer", peer:% = self.member, members = news.len();
                "naming new members to a peer that the store does not answer");
            self.push_required(Message::Members(news));
        }
    }

    /// Returns the send time that the next frame to it states, if it is sent now.
    ///
    /// No two frames state the same time, so an echo tells exactly which of them the peer
    /// had received.
    pub(crate) fn next_stamp(&self, now: Moment) -> Moment {
        self.last_stamp.map_or(now, |last| now.max(last + 1))
    }

    /// Reserves capacity on a minion of the peer for a task that is ordered there.
    pub(crate) fn reserve(&mut self, minion: &MinionId, need: Resources, now: Moment) {
        self.reservations.push(Reservation { at: now, minion: minion.clone(), need });
        subtract_capacity(&mut self.free_capacity, minion, need);
    }

    /// Records the times and flags of a received frame.
    pub(crate) fn note_frame(&mut self, frame: &Frame, now: Moment) {
        self.last_frame_at = Some(now);
        // A frame of an earlier connection may arrive after later ones.
        self.last_frame_sent_ms = self.last_frame_sent_ms.max(frame.sent_ms);
        if frame.wants_capacity && !self.wants_capacity {
            self.report_due = true;
            self.reported_capacity = None;
        }
        self.wants_capacity = frame.wants_capacity;
        let joined_at =
            frame.join_age_ms.map(|age_ms| Moment(now.0.saturating_sub(age_ms)));
        self.joined_at = joined_at.or(self.joined_at);
        let echo = Moment(frame.echo_ms);
        // Of several frames in a millisecond, all but the first state later times.
        let is_known = echo <= now || self.last_stamp.is_some_and(|last| echo <= last);
        if frame.echo_ms > 0 && is_known {
            self.last_echoed_at = self.last_echoed_at.max(Some(echo.min(now)));
        }
    }

    /// Replaces the reported capacity, less the reservations made after the last frame
    /// that the peer has echoed: the report cannot include those.
    ///
    /// Reports that were on their way when they were no longer requested are ignored.
    pub(crate) fn report(&mut self, capacity: Vec<CapacityReport>) {
        if self.subscription == Subscription::Withdrawn {
            return;
        }
        self.capacity_base = capacity;
        self.update_free_capacity();
    }

    /// Applies changes to the reported capacity, as [`Peer::report`] does.
    pub(crate) fn report_changes(&mut self, changes: Vec<CapacityReport>) {
        if self.subscription == Subscription::Withdrawn {
            return;
        }
        for change in changes {
            self.capacity_base.retain(|report| report.minion != change.minion);
            if change.free != Resources::default() {
                self.capacity_base.push(change);
            }
        }
        self.update_free_capacity();
    }

    /// Computes the free capacity from the last reports and the later reservations.
    fn update_free_capacity(&mut self) {
        self.free_capacity.clone_from(&self.capacity_base);
        let known = self.last_echoed_at.unwrap_or_default();
        self.reservations.retain(|reservation| reservation.at > known);
        for reservation in &self.reservations {
            subtract_capacity(
                &mut self.free_capacity,
                &reservation.minion,
                reservation.need,
            );
        }
    }

    /// Returns whether what the frames to the peer have said about reports is out of date.
    fn is_subscription_due(&self) -> bool {
        match self.subscription {
            Subscription::Never | Subscription::Withdrawn => self.reports_capacity(),
            Subscription::Active => !self.reports_capacity(),
            Subscription::Forgotten => true,
        }
    }

    /// Returns whether the next frame to the peer requests reports, and records that it is
    /// sent.
    fn update_subscription(&mut self) -> bool {
        let requested =
            self.reports_capacity() && self.subscription != Subscription::Forgotten;
        self.subscription = match self.subscription {
            _ if requested => Subscription::Active,
            Subscription::Never => Subscription::Never,
            Subscription::Active | Subscription::Forgotten | Subscription::Withdrawn => {
                self.forget_capacity();
                Subscription::Withdrawn
            }
        };
        requested
    }

    /// Forgets the capacity that the peer reported.
    fn forget_capacity(&mut self) {
        self.free_capacity.clear();
        self.capacity_base.clear();
    }

    /// Treats a minion as full until the next report.
    pub(crate) fn clear_capacity(&mut self, minion: &MinionId) {
        self.free_capacity.retain(|report| report.minion != *minion);
    }

    /// Records that a link was opened, on which the peer is told all of its runs.
    pub(crate) fn open_link(&mut self) {
        self.link_open = true;
        self.told_evacuations = 0;
        self.introduced.clear();
        self.orders_after_ms = self.last_frame_sent_ms;
        self.report_due = true;
        self.reported_capacity = None;
    }

    /// Records that the link was lost, and returns the runs of the queued start orders,
    /// which were certainly not sent.
    pub(crate) fn lose_link(&mut self) -> Vec<RunRef> {
        self.link_open = false;
        self.forget_capacity();
        if self.subscription == Subscription::Active {
            self.subscription = Subscription::Forgotten;
        }
        self.reservations.clear();
        let mut unsent = Vec::new();
        self.outbox.retain(|message| match message {
            Message::Start { order, .. } => {
                unsent.push(order.run);
                false
            }
            _ => true,
        });
        unsent
    }

    /// Returns whether none of the runs that this peer started can be active any more:
    /// after this silence, it has stopped them or their leases have expired.
    pub(crate) fn is_gone(&self, silence_ms: u64, now: Moment) -> bool {
        now.since(self.last_frame_at.unwrap_or_default()) > silence_ms
    }

    /// Returns when the next frame to the peer is due.
    fn frame_due(&self, report_interval_ms: u64) -> Moment {
        if !self.link_open {
            return Moment(u64::MAX);
        }
        let Some(sent) = self.sent else { return Moment::default() };
        if !self.outbox.is_empty() || self.is_subscription_due() {
            return Moment::default();
        }
        let active = self.reports_capacity() || self.wants_capacity || self.shares_runs;
        let heartbeat =
            sent + if active { FRAME_INTERVAL_MS } else { IDLE_FRAME_INTERVAL_MS };
        let report = self.report_due_at(report_interval_ms);
        report.map_or(heartbeat, |report| heartbeat.min(report))
    }

    /// Returns when the next report of free capacity to the peer is due, if it gets one. A
    /// complete one follows a request, and a task may wait for it.
    fn report_due_at(&self, interval_ms: u64) -> Option<Moment> {
        if !self.report_due || !self.wants_capacity {
            return None;
        }
        let complete = self.reported_capacity.is_none();
        let interval_ms = if complete { REPORT_INTERVAL_MS } else { interval_ms };
        Some(self.reported.unwrap_or_default() + interval_ms)
    }

    /// Returns the next frame to the peer, if one is due.
    fn take_frame(
        &mut self,
        capacity: &[CapacityReport],
        report_interval_ms: u64,
        store_status: StoreStatus,
        now: Moment,
    ) -> Option<Frame> {
        if self.frame_due(report_interval_ms) > now {
            return None;
        }
        let mut messages = std::mem::take(&mut self.outbox);
        let dropped = std::mem::take(&mut self.dropped_messages);
        if dropped > 0 {
            warn!(target: "peer", peer:% = self.member, dropped;
                "messages were dropped before this frame");
        }
        if self.report_due_at(report_interval_ms).is_some_and(|due| due <= now) {
            self.report_due = false;
            self.reported = Some(now);
            messages.push(match &self.reported_capacity {
                Some(known) => {
                    Message::CapacityChanges(capacity_changes(known, capacity))
                }
                None => Message::FreeCapacity(capacity.to_vec()),
            });
            self.reported_capacity = Some(capacity.to_vec());
        }
        let stamp = self.next_stamp(now);
        self.last_stamp = Some(stamp);
        self.sent = Some(now);
        let mut frame = Frame {
            sent_ms: stamp.0,
            echo_ms: self.last_frame_sent_ms,
            wants_capacity: self.update_subscription(),
            needs_state: store_status.needs_state,
            join_age_ms: store_status.joined_at.map(|at| now.since(at)),
            messages,
        };
        frame.omit_repeated_specs();
        Some(frame)
    }
}

/// Returns the reports that differ from the known ones, and empty ones for minions without
/// free capacity.
fn capacity_changes(
    known: &[CapacityReport],
    capacity: &[CapacityReport],
) -> Vec<CapacityReport> {
    let changed = capacity.iter().filter(|report| !known.contains(report)).cloned();
    let is_full = |before: &&CapacityReport| {
        capacity.iter().all(|report| report.minion != before.minion)
    };
    let full = known.iter().filter(is_full).map(|before| CapacityReport {
        minion: before.minion.clone(),
        free: Resources::default(),
        pace_permille: 0,
    });
    changed.chain(full).collect()
}

/// Subtracts a task's resources from the reported capacity of a minion.
fn subtract_capacity(
    capacity: &mut [CapacityReport],
    minion: &MinionId,
    need: Resources,
) {
    if let Some(report) = capacity.iter_mut().find(|report| report.minion == *minion) {
        report.free = report.free.minus(need);
    }
}

/// All peers that this instance knows.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    pub(crate) arena: SlotMap<PeerKey, Peer>,
    by_id: HashMap<MemberId, PeerKey>,
}

impl Peers {
    /// Returns the peer for a member, which is added if it is new.
    ///
    /// Earlier incarnations of the same instance are marked as replaced, and the new one
    /// counts as having joined the group if one of them has.
    pub(crate) fn insert(&mut self, member: &Member, now: Moment) -> PeerKey {
        let mut joined = false;
        for peer in self.arena.values_mut() {
            let earlier = peer.member.incarnation < member.incarnation;
            if peer.member.name == member.name && earlier {
                joined |= peer.joined;
                peer.replaced = true;
                peer.listed = false;
                peer.link_open = false;
            }
        }
        let arena = &mut self.arena;
        let key = self.by_id.entry(member.id());
        *key.or_insert_with(|| {
            let mut peer = Peer::new(member.clone(), now);
            peer.joined = joined;
            arena.insert(peer)
        })
    }

    /// Closes the queries of free capacity whose time is over.
    pub(crate) fn expire_queries(&mut self, now: Moment) {
        self.arena.values_mut().for_each(|peer| peer.query.expire(now));
    }

    /// Returns when the next frame to any peer is due.
    pub(crate) fn frame_due(&self) -> Moment {
        let interval_ms = self.report_interval_ms();
        let due = self.arena.values().map(|peer| peer.frame_due(interval_ms));
        due.min().unwrap_or(Moment(u64::MAX))
    }

    /// Returns the frames that are due; `capacity` is the free capacity to report.
    pub(crate) fn take_frames(
        &mut self,
        capacity: &[CapacityReport],
        store_status: StoreStatus,
        now: Moment,
    ) -> Vec<(PeerKey, Frame)> {
        let interval_ms = self.report_interval_ms();
        let peers = self.arena.iter_mut();
        peers
            .filter_map(|(key, peer)| {
                Some((key, peer.take_frame(capacity, interval_ms, store_status, now)?))
            })
            .collect()
    }

    /// Returns the minimum interval between two reports to a peer, which grows with the
    /// number of receivers.
    fn report_interval_ms(&self) -> u64 {
        let receivers = self.arena.values().filter(|peer| peer.wants_capacity).count();
        (receivers as u64 * 1_000 / REPORTS_PER_S).max(REPORT_INTERVAL_MS)
    }

    /// Returns the key of the peer for a member, if it is known.
    pub(crate) fn key_of(&self, member: &Member) -> Option<PeerKey> {
        self.by_id.get(&member.id()).copied()
    }

    /// Returns whether a later incarnation of the same instance is known.
    pub(crate) fn is_replaced(&self, member: &Member) -> bool {
        self.arena.values().any(|peer| {
            let later = peer.member.incarnation > member.incarnation;
            peer.member.name == member.name && later
        })
    }

    pub(crate) fn remove(&mut self, key: PeerKey) {
        if let Some(peer) = self.arena.remove(key) {
            self.by_id.remove(&peer.member.id());
        }
    }
}
