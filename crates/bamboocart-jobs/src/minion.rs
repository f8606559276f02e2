//! Minions, and what the holder of one knows of it.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use slotmap::{SlotMap, new_key_type};

use crate::clock::ClockEstimate;
use crate::confirm::UnconfirmedEnds;
use crate::effect::{HoldNumber, Target};
use crate::id::{Checkpoint, MinionId, RunRef, ServiceName, TaskRef};
use crate::orders::StartContent;
use crate::pace::Pace;
use crate::peer::PeerKey;
use crate::resources::Resources;
use crate::suspicion::Suspicion;
use crate::time::Moment;
use crate::timing::LEASE_MS;

/// The position of the rack among the labels.
const RACK_LABEL: usize = 1;

new_key_type! {
    /// A minion that is or was in the platform's list.
    pub struct MinionKey;
}

/// A minion as the platform's list has it.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct MinionEntry {
    /// The id.
    pub id: MinionId,
    /// The service.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// The failure domain.
    pub failure_domain: Box<str>,
    /// Whether it takes new work.
    pub state: MinionState,
    /// What it has.
    pub capacity: Resources,
    /// Its kind and its rack, in this order.
    pub labels: Vec<Box<str>>,
    /// When its process started, in milliseconds since the Unix epoch.
    pub incarnation: u64,
}

/// Whether a minion takes new work.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub enum MinionState {
    /// It takes new work.
    Ready,
    /// It is leaving.
    Draining,
}

impl MinionEntry {
    /// Returns the rack, if the entry names one.
    pub(crate) fn rack(&self) -> Option<&str> {
        self.labels.get(RACK_LABEL).map(|label| &**label)
    }

    /// Returns the address of calls to this minion.
    pub(crate) fn target(&self, key: MinionKey, fencing_token: u64) -> Target {
        let Self { id, address, .. } = self;
        Target { minion: key, id: id.clone(), address: *address, fencing_token }
    }
}

/// A minion, with what this instance knows of it as its holder.
#[derive(Debug)]
pub(crate) struct Minion {
    /// The entry of the list.
    pub(crate) entry: MinionEntry,
    /// When the list dropped it, if it did.
    pub(crate) unlisted: Option<Moment>,
    /// Whether the members make this instance its holder.
    pub(crate) assigned: bool,
    /// How fast it is.
    pub(crate) pace: Pace,
    /// What the holder knows, if this instance is the holder.
    pub(crate) held: Option<HeldMinion>,
    /// The fencing token with which the minion was lost to another holder, if it was.
    pub(crate) lost: Option<LostHold>,
}

/// A hold that another holder's fencing token has ended.
#[derive(Debug, Copy, Clone)]
pub(crate) struct LostHold {
    /// The token that was too low.
    pub(crate) fencing_token: u64,
    /// When it was refused.
    pub(crate) at: Moment,
}

/// What the holder of a minion knows.
#[derive(Debug)]
pub(crate) struct HeldMinion {
    /// The fencing token of all orders.
    pub(crate) fencing_token: u64,
    /// The incarnation that answered, once one has.
    pub(crate) incarnation: Option<u64>,
    /// The minion's clock.
    pub(crate) clock: ClockEstimate,
    /// The ends that were looked at, and those that are to stay on the minion's list.
    pub(crate) unconfirmed: UnconfirmedEnds,
    /// The runs whose room is taken.
    pub(crate) runs: BTreeMap<TaskRef, Run>,
    /// What the client sent for tasks whose starts may have to be sent again.
    pub(crate) retryable_starts: BTreeMap<RunRef, StartContent>,
    /// The latest end of a lease that was asked for, on the minion's clock.
    pub(crate) lease_until_ms: u64,
    /// The call that holds the minion.
    pub(crate) hold: HoldState,
    /// No start is sent before.
    pub(crate) blocked_until: Moment,
    /// When a hold was last answered.
    pub(crate) last_answer: Moment,
    /// Whether a start was not answered, and no hold since it was sent. A minion that answers
    /// holds has lost a single order, which costs it no more than that order's room.
    pub(crate) start_unanswered: bool,
    /// The holds in a row that got no answer.
    pub(crate) missed_holds: u32,
    /// What speaks against it.
    pub(crate) suspicion: Suspicion,
}

/// The state of the call that holds a minion.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub(crate) enum HoldState {
    /// None is under way; the next is sent at the given time.
    Due(Moment),
    /// One was sent. Answers to earlier ones may still come, from before the minion was
    /// given up and taken back; their lists are older than the last call.
    Sent {
        /// Which one.
        number: HoldNumber,
        /// When.
        at: Moment,
    },
}

/// A run on a minion, as its holder sees it.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    /// The number of the run.
    pub(crate) run: u64,
    /// Whose job it belongs to.
    pub(crate) owner: RunOwner,
    /// The room that it takes.
    pub(crate) need: Resources,
    /// The client's estimate of its run time; 0 if it began under another holder.
    pub(crate) estimate_ms: u64,
    /// When it was ordered or found.
    pub(crate) since: Moment,
    /// When its owner has claimed it, if it was found.
    pub(crate) claimed: Moment,
    /// How far the order has come.
    pub(crate) phase: RunPhase,
    /// Whether the start was sent again.
    pub(crate) retried: bool,
    /// From when on the minion's list is complete in respect of this run: a hold that was
    /// sent later and does not list it shows that it is gone.
    pub(crate) listed_since: Option<Moment>,
    /// The lease that its start carried, on the minion's clock.
    pub(crate) lease_until_ms: u64,
    /// The epoch of its owner, if it belongs to a stored job; 0 otherwise.
    pub(crate) epoch: u64,
    /// What it has saved.
    pub(crate) checkpoint: Checkpoint,
}

/// The owner of a run.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub(crate) enum RunOwner {
    /// This instance.
    Local,
    /// A peer.
    Peer(PeerKey),
    /// Found on the minion; nobody has claimed it yet.
    Unclaimed,
    /// Nobody wants it any more.
    Nobody,
}

impl Run {
    /// Creates a run that was found on a minion.
    pub(crate) fn found(run: u64, now: Moment) -> Self {
        Self {
            run,
            owner: RunOwner::Unclaimed,
            need: Resources::default(),
            estimate_ms: 0,
            since: now,
            claimed: Moment::default(),
            phase: RunPhase::Active,
            retried: false,
            listed_since: Some(now),
            lease_until_ms: 0,
            epoch: 0,
            checkpoint: Checkpoint::default(),
        }
    }

    /// Returns the full name of the run of a task.
    pub(crate) fn run_ref(&self, task: TaskRef) -> RunRef {
        RunRef { task, run: self.run }
    }

    /// Notes that the minion has taken the start.
    pub(crate) fn note_listed(&mut self, now: Moment) {
        self.phase = RunPhase::Active;
        self.listed_since = Some(now);
    }

    /// Asks for a stop, unless one is under way, and returns whether it was needed.
    pub(crate) fn request_stop(&mut self, now: Moment) -> bool {
        let needed = matches!(self.phase, RunPhase::Starting | RunPhase::Active);
        if needed {
            self.phase = RunPhase::StopDue(now);
            self.listed_since = None;
        }
        needed
    }
}

impl RunOwner {
    /// Returns the peer that owns the run, if it is one.
    pub(crate) fn peer(self) -> Option<PeerKey> {
        match self {
            Self::Peer(peer) => Some(peer),
            Self::Local | Self::Unclaimed | Self::Nobody => None,
        }
    }
}

/// How far the orders for a run have come.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub(crate) enum RunPhase {
    /// The start was sent.
    Starting,
    /// The minion runs it.
    Active,
    /// The start was not answered, or a stop is wanted; a stop is sent when due.
    StopDue(Moment),
    /// A stop was sent.
    Stopping,
}

/// All minions.
#[derive(Debug, Default)]
pub(crate) struct Minions {
    /// The minions.
    pub(crate) arena: SlotMap<MinionKey, Minion>,
    /// The keys by id.
    pub(crate) by_id: HashMap<MinionId, MinionKey>,
    /// The minions that this instance holds; a small part of all on large sites, so that
    /// work at every event has to keep to them.
    held: Vec<MinionKey>,
}

impl Minions {
    /// Returns the keys of the minions that this instance holds.
    pub(crate) fn held_keys(&self) -> &[MinionKey] {
        &self.held
    }

    /// Returns the minions that this instance holds, with what it knows as their holder.
    pub(crate) fn held(&self) -> impl Iterator<Item = (MinionKey, &Minion, &HeldMinion)> {
        self.held.iter().filter_map(|&key| {
            let minion = self.arena.get(key)?;
            Some((key, minion, minion.held.as_ref()?))
        })
    }

    /// Begins to hold a minion.
    pub(crate) fn hold(&mut self, key: MinionKey, held: HeldMinion) {
        if self.arena[key].held.replace(held).is_none() {
            self.held.push(key);
        }
    }

    /// Gives up a minion and returns what was known of it.
    pub(crate) fn release(&mut self, key: MinionKey) -> Option<HeldMinion> {
        self.held.retain(|&held| held != key);
        self.arena.get_mut(key)?.held.take()
    }
}

impl Minion {
    /// Creates a minion that was just listed.
    pub(crate) fn new(entry: MinionEntry) -> Self {
        Self {
            entry,
            unlisted: None,
            assigned: false,
            pace: Pace::default(),
            held: None,
            lost: None,
        }
    }

    /// Returns the free room for new starts, or nothing if there may be none.
    pub(crate) fn free(&self, now: Moment) -> Option<Resources> {
        let held = self.held.as_ref()?;
        let usable = self.entry.state == MinionState::Ready
            && held.incarnation.is_some()
            && held.missed_holds == 0
            && !held.start_unanswered
            && !held.unconfirmed.awaits_lease_expiry()
            && now >= held.blocked_until
            && held.suspicion.allows(held.runs.len(), now);
        usable.then(|| self.entry.capacity.minus(held.used()))
    }
}

impl HeldMinion {
    /// Creates the state of a hold that begins now.
    pub(crate) fn new(fencing_token: u64, now: Moment) -> Self {
        Self {
            fencing_token,
            incarnation: None,
            clock: ClockEstimate::default(),
            unconfirmed: UnconfirmedEnds::default(),
            runs: BTreeMap::new(),
            retryable_starts: BTreeMap::new(),
            lease_until_ms: 0,
            hold: HoldState::Due(now),
            blocked_until: Moment::default(),
            last_answer: Moment::default(),
            start_unanswered: false,
            missed_holds: 0,
            suspicion: Suspicion::default(),
        }
    }

    /// Returns in how many milliseconds the next run is expected to end, if that is known;
    /// `pace` is the expected run time over the estimate.
    pub(crate) fn next_end_ms(&self, pace: f64, now: Moment) -> Option<u64> {
        let known = self.runs.values().filter(|run| run.estimate_ms > 0);
        let left_ms = known.map(|run| {
            let expected_ms = (run.estimate_ms as f64 * pace) as u64;
            (run.since + expected_ms).since(now)
        });
        left_ms.min()
    }

    /// Returns the end of the lease that is asked for now, if the minion's clock is known and
    /// the lease is to be renewed.
    ///
    /// The lease of a minion without runs is left to lapse where ends are on its list that
    /// count as long as it has not.
    pub(crate) fn renew_lease(&mut self, now: Moment) -> Option<u64> {
        let clock_ms = self.clock.read(now)?;
        if self.unconfirmed.awaits_lease_expiry() && self.runs.is_empty() {
            // The clock is estimated too low rather than too high.
            if clock_ms > self.lease_until_ms {
                self.unconfirmed.confirm_deferred();
            }
            return None;
        }
        let until_ms = clock_ms + LEASE_MS;
        self.lease_until_ms = self.lease_until_ms.max(until_ms);
        Some(until_ms)
    }

    /// Returns the room that runs take.
    pub(crate) fn used(&self) -> Resources {
        self.runs.values().fold(Resources::default(), |sum, run| sum.plus(run.need))
    }
}
