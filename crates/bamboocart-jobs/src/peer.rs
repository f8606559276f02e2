//! Peers: what was heard of them, the room they reported, and what waits for them.

use std::collections::HashMap;

use slotmap::{SlotMap, new_key_type};

use crate::id::{MemberId, MinionId, RunRef};
use crate::member::Member;
use crate::message::{CapacityReport, Frame, Message};
use crate::resources::Resources;
use crate::time::Moment;
use crate::timing::{
    FRAME_INTERVAL_MS, HOLDER_SILENCE_MS, IDLE_FRAME_INTERVAL_MS, REPORT_INTERVAL_MS,
    REPORTS_PER_S,
};

new_key_type! {
    /// A peer.
    pub struct PeerKey;
}

/// The messages that wait for one peer at the most; it gets no more until some are sent.
pub(crate) const OUTBOX_MESSAGES: usize = 4_096;

/// The time between two transfers of state to a peer; one is as large as the configuration.
const STATE_INTERVAL_MS: u64 = 1_000;

/// A peer.
#[derive(Debug)]
pub(crate) struct Peer {
    /// The peer as the group knows it.
    pub(crate) member: Member,
    /// Whether the group has it.
    pub(crate) listed: bool,
    /// Whether the group has ever had it.
    pub(crate) joined: bool,
    /// When it was first heard of.
    pub(crate) known_since: Moment,
    /// Whether it has given up its minions.
    pub(crate) leaving: bool,
    /// Whether a later incarnation of the instance was heard of. The entry stays for a while,
    /// since runs that this one has started may still be active.
    pub(crate) replaced: bool,
    /// Whether this instance looks at its free room.
    neighbour: bool,
    /// Whether it wants to hear of this instance's free room.
    wants_capacity: bool,
    /// When it made the last join that the store has answered.
    pub(crate) joined_at: Option<Moment>,
    /// When it was last told what the store has told this instance.
    state_sent: Option<Moment>,
    /// Whether runs of one of the two are on minions of the other.
    pub(crate) shares_runs: bool,
    /// Whether a link to it is open; messages wait until one is.
    link_open: bool,
    /// When a frame last arrived.
    pub(crate) last_frame_at: Option<Moment>,
    /// The sending time of its last frame, on its clock.
    pub(crate) last_frame_sent_ms: u64,
    /// The sending time of our last frame that it has echoed, on our clock.
    pub(crate) last_echoed_at: Option<Moment>,
    /// The room that it reported, less what was offered since.
    pub(crate) rooms: Vec<CapacityReport>,
    /// Its stored jobs that have not started, by queue.
    pub(crate) pending: Vec<(Box<str>, u64)>,
    /// What was offered and may not be part of the last report yet.
    reservations: Vec<Reservation>,
    /// The messages that wait.
    outbox: Vec<Message>,
    /// When the last frame was sent.
    sent: Option<Moment>,
    /// When the last report was sent.
    reported: Option<Moment>,
    /// Whether the free room has changed since the last report.
    pub(crate) report_due: bool,
}

/// How this instance stands with the store, as its frames tell.
#[derive(Debug, Copy, Clone)]
pub(crate) struct StoreStatus {
    /// Whether it knows no configuration.
    pub(crate) needs_state: bool,
    /// When it made the last join that the store has answered.
    pub(crate) joined_at: Option<Moment>,
}

/// Room that was offered to a task.
#[derive(Debug)]
struct Reservation {
    /// When.
    at: Moment,
    /// The minion.
    minion: MinionId,
    /// The room.
    need: Resources,
}

impl Peer {
    /// Creates a peer that nothing was heard of.
    fn new(member: Member, now: Moment) -> Self {
        Self {
            member,
            listed: false,
            joined: false,
            known_since: now,
            leaving: false,
            replaced: false,
            neighbour: false,
            wants_capacity: false,
            joined_at: None,
            state_sent: None,
            shares_runs: false,
            link_open: false,
            last_frame_at: None,
            last_frame_sent_ms: 0,
            last_echoed_at: None,
            rooms: Vec::new(),
            pending: Vec::new(),
            reservations: Vec::new(),
            outbox: Vec::new(),
            sent: None,
            reported: None,
            report_due: true,
        }
    }

    /// Returns whether work may be offered to the peer.
    pub(crate) fn is_responsive(&self, now: Moment) -> bool {
        !self.replaced
            && self
                .last_frame_at
                .is_some_and(|heard| now.since(heard) < HOLDER_SILENCE_MS)
    }

    /// Returns whether the peer takes part: the group names it, or it is heard.
    pub(crate) fn is_present(&self, now: Moment) -> bool {
        self.listed || self.is_responsive(now)
    }

    /// Notes whether this instance looks at the peer's free room.
    pub(crate) fn set_neighbour(&mut self, neighbour: bool) {
        self.neighbour = neighbour;
        if !neighbour {
            self.rooms.clear();
        }
    }

    /// Returns whether state may be sent to a peer that needs it; again if it still does
    /// after some time.
    pub(crate) fn is_state_due(&self, now: Moment) -> bool {
        self.state_sent.is_none_or(|sent| now.since(sent) >= STATE_INTERVAL_MS)
    }

    /// Queues a transfer of state.
    pub(crate) fn send_state(&mut self, now: Moment, state: Message) {
        if self.push(state) {
            self.state_sent = Some(now);
        }
    }

    /// Queues a message; false means that too many wait and it is not sent.
    pub(crate) fn push(&mut self, message: Message) -> bool {
        let fits = self.outbox.len() < OUTBOX_MESSAGES;
        if fits {
            self.outbox.push(message);
        }
        fits
    }

    /// Notes that room was offered to a task.
    pub(crate) fn reserve(&mut self, minion: &MinionId, need: Resources, now: Moment) {
        self.reservations.push(Reservation { at: now, minion: minion.clone(), need });
        take_room(&mut self.rooms, minion, need);
    }

    /// Notes a frame's times.
    pub(crate) fn note_frame(&mut self, frame: &Frame, now: Moment) {
        self.last_frame_at = Some(now);
        self.last_frame_sent_ms = frame.sent_ms;
        self.report_due |= frame.wants_capacity && !self.wants_capacity;
        self.wants_capacity = frame.wants_capacity;
        let joined_at =
            frame.join_age_ms.map(|age_ms| Moment(now.0.saturating_sub(age_ms)));
        self.joined_at = joined_at.or(self.joined_at);
        let echo = Moment(frame.echo_ms);
        if frame.echo_ms > 0 && echo <= now {
            self.last_echoed_at = self.last_echoed_at.max(Some(echo));
        }
    }

    /// Replaces the reported room, less the offers that the report cannot know of.
    pub(crate) fn report(&mut self, rooms: Vec<CapacityReport>) {
        self.rooms = rooms;
        let known = self.last_echoed_at.unwrap_or_default();
        self.reservations.retain(|reservation| reservation.at > known);
        for reservation in &self.reservations {
            take_room(&mut self.rooms, &reservation.minion, reservation.need);
        }
    }

    /// Forgets the room of a minion until the next report.
    pub(crate) fn forget_room(&mut self, minion: &MinionId) {
        self.rooms.retain(|room| room.minion != *minion);
    }

    /// Notes that a link was opened.
    pub(crate) fn open_link(&mut self) {
        self.link_open = true;
        self.report_due = true;
    }

    /// Notes that the link was lost, and returns the starts that wait; they were certainly
    /// not sent.
    pub(crate) fn lose_link(&mut self) -> Vec<RunRef> {
        self.link_open = false;
        self.rooms.clear();
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

    /// Returns whether none of the runs that this peer started can be left: it has been
    /// silent for so long that it has stopped them or that their leases have lapsed.
    pub(crate) fn is_gone(&self, silence_ms: u64, now: Moment) -> bool {
        now.since(self.last_frame_at.unwrap_or_default()) > silence_ms
    }

    /// Returns when the next frame is due.
    fn frame_due(&self, report_interval_ms: u64) -> Moment {
        if !self.link_open {
            return Moment(u64::MAX);
        }
        let Some(sent) = self.sent else { return Moment::default() };
        if !self.outbox.is_empty() {
            return Moment::default();
        }
        let active = self.neighbour || self.wants_capacity || self.shares_runs;
        let beat = sent + if active { FRAME_INTERVAL_MS } else { IDLE_FRAME_INTERVAL_MS };
        match self.report_due && self.wants_capacity {
            true => beat.min(self.reported.unwrap_or_default() + report_interval_ms),
            false => beat,
        }
    }

    /// Returns the frame that is due, if one is.
    fn take_frame(
        &mut self,
        rooms: &[CapacityReport],
        report_interval_ms: u64,
        store_status: StoreStatus,
        now: Moment,
    ) -> Option<Frame> {
        if self.frame_due(report_interval_ms) > now {
            return None;
        }
        let mut messages = std::mem::take(&mut self.outbox);
        let last_report = self.reported.unwrap_or_default();
        let report = self.report_due && self.wants_capacity;
        if report && now.since(last_report) >= report_interval_ms {
            self.report_due = false;
            self.reported = Some(now);
            messages.push(Message::FreeCapacity(rooms.to_vec()));
        }
        self.sent = Some(now);
        Some(Frame {
            sent_ms: now.0,
            echo_ms: self.last_frame_sent_ms,
            wants_capacity: self.neighbour,
            needs_state: store_status.needs_state,
            join_age_ms: store_status.joined_at.map(|at| now.since(at)),
            messages,
        })
    }
}

/// Takes room away from a report.
fn take_room(rooms: &mut [CapacityReport], minion: &MinionId, need: Resources) {
    if let Some(room) = rooms.iter_mut().find(|room| room.minion == *minion) {
        room.free = room.free.minus(need);
    }
}

/// All peers.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    /// The peers.
    pub(crate) arena: SlotMap<PeerKey, Peer>,
    /// The keys by member.
    by_id: HashMap<MemberId, PeerKey>,
}

impl Peers {
    /// Returns the peer for a member, which is added if it is new. Earlier incarnations of
    /// the same instance have ended, and their part in the group passes to it.
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

    /// Returns when the next frame to any peer is due.
    pub(crate) fn frame_due(&self) -> Moment {
        let interval_ms = self.report_interval_ms();
        let due = self.arena.values().map(|peer| peer.frame_due(interval_ms));
        due.min().unwrap_or(Moment(u64::MAX))
    }

    /// Returns the frames that are due. `rooms` is the room that is reported.
    pub(crate) fn take_frames(
        &mut self,
        rooms: &[CapacityReport],
        store_status: StoreStatus,
        now: Moment,
    ) -> Vec<(PeerKey, Frame)> {
        let interval_ms = self.report_interval_ms();
        let peers = self.arena.iter_mut();
        peers
            .filter_map(|(key, peer)| {
                Some((key, peer.take_frame(rooms, interval_ms, store_status, now)?))
            })
            .collect()
    }

    /// Returns the shortest time between two reports to a peer.
    fn report_interval_ms(&self) -> u64 {
        let receivers = self.arena.values().filter(|peer| peer.wants_capacity).count();
        (receivers as u64 * 1_000 / REPORTS_PER_S).max(REPORT_INTERVAL_MS)
    }

    /// Returns the peer that a member is.
    pub(crate) fn key_of(&self, member: &Member) -> Option<PeerKey> {
        self.by_id.get(&member.id()).copied()
    }

    /// Removes a peer.
    pub(crate) fn remove(&mut self, key: PeerKey) {
        if let Some(peer) = self.arena.remove(key) {
            self.by_id.remove(&peer.member.id());
        }
    }
}
