//! Minions, and the state that the holder of a minion keeps.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use slotmap::{SlotMap, new_key_type};

use crate::effect::{HoldNumber, Target};
use crate::holder::MAX_LISTED_ENDS;
use crate::holder::adoption::Adoption;
use crate::holder::clock::ClockEstimate;
use crate::holder::confirm::UnconfirmedEnds;
use crate::holder::orders::StartPayload;
use crate::holder::pace::Pace;
use crate::holder::round_trip::RoundTrip;
use crate::holder::suspicion::Suspicion;
use crate::id::{Checkpoint, MinionId, RunRef, ServiceName, TaskRef};
use crate::membership::peer::PeerKey;
use crate::resources::Resources;
use crate::time::Moment;
use crate::timing::{CLAIM_WINDOW_MS, LEASE_MS, SHARED_CLAIM_WINDOW_MS};

/// The entries of a minion's list of ends that are kept free for runs of orders that are
/// carried out late.
const RESERVED_LIST_ENTRIES: usize = 20;

/// The index of the rack in the labels.
const RACK_LABEL: usize = 1;

new_key_type! {
    /// The key of a minion that is or was in the platform's list.
    pub struct MinionKey;
}

/// A minion, as the platform's list describes it.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct MinionEntry {
    /// The id, unique in the list.
    pub id: MinionId,
    /// The service that the minion runs tasks for.
    pub service: ServiceName,
    /// The address where it listens.
    pub address: SocketAddr,
    /// The failure domain that it runs in.
    pub failure_domain: Box<str>,
    /// Whether it takes new work.
    pub state: MinionState,
    /// The resources that its runs share.
    pub capacity: Resources,
    /// Its kind and its rack, in this order. A step can require one of them.
    pub labels: Vec<Box<str>>,
    /// When its process started, in milliseconds since the Unix epoch.
    pub incarnation: u64,
}

/// Whether a minion takes new work.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub enum MinionState {
    /// It takes new work.
    Ready,
    /// It is leaving and takes no new work.
    Draining,
}

impl MinionEntry {
    /// Returns the rack, if the entry names one.
    pub(crate) fn rack(&self) -> Option<&str> {
        self.labels.get(RACK_LABEL).map(|label| &**label)
    }

    /// Returns the target of calls to this minion under a fencing token.
    pub(crate) fn target(
        &self,
        key: MinionKey,
        fencing_token: u64,
        timeout_ms: u64,
    ) -> Target {
        let Self { id, address, .. } = self;
        Target {
            minion: key,
            id: id.clone(),
            address: *address,
            fencing_token,
            timeout_ms,
        }
    }
}

/// A minion, with the state of its hold if this instance is the holder.
#[derive(Debug)]
pub(crate) struct Minion {
    /// The last entry of the platform's list.
    pub(crate) entry: MinionEntry,
    /// When the list dropped it; none while it is listed.
    pub(crate) unlisted: Option<Moment>,
    /// Since when its newest entry is invalid; none while it is valid.
    pub(crate) invalid_since: Option<Moment>,
    /// Whether its failure domain is evacuated, so that no run may start on it.
    pub(crate) evacuated: bool,
    /// The member to which it is assigned.
    pub(crate) assignee: Assignee,
    /// The learned ratio of run time to estimate; a higher one means a slower minion.
    pub(crate) pace: Pace,
    /// The rest of its cold start, if its entry tells of one.
    pub(crate) cold: Option<ColdStart>,
    /// The state of the hold, if this instance is the holder.
    pub(crate) held: Option<HeldMinion>,
    /// The hold that was last lost to another holder, if any.
    pub(crate) lost: Option<LostHold>,
}

/// The time for which a minion is slow after it has started.
#[derive(Debug, Copy, Clone)]
pub(crate) struct ColdStart {
    /// What the entry of the minion says is left.
    pub(crate) left_ms: u64,
    /// When it is over.
    pub(crate) until: Moment,
}

/// The member to which a minion is assigned.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub(crate) enum Assignee {
    /// None: there are no members, or the minion was just listed.
    Nobody,
    /// This instance.
    Own,
    /// A peer.
    Peer(PeerKey),
}

/// A hold that ended because another holder had used a higher fencing token.
#[derive(Debug, Copy, Clone)]
pub(crate) struct LostHold {
    /// The token that was too low.
    pub(crate) fencing_token: u64,
    /// When it was refused.
    pub(crate) at: Moment,
}

/// The state that the holder of a minion keeps.
#[derive(Debug)]
pub(crate) struct HeldMinion {
    /// The fencing token of all calls to the minion.
    pub(crate) fencing_token: u64,
    /// The incarnation that answers holds; none before the first answer.
    pub(crate) incarnation: Option<u64>,
    /// Whether this instance held the minion before its last restart, so that it knows all
    /// runs there that an owner may want.
    pub(crate) restarted: bool,
    /// The estimate of the minion's clock.
    pub(crate) clock: ClockEstimate,
    /// The ends that were processed, and those that have to stay on the minion's list.
    pub(crate) unconfirmed: UnconfirmedEnds,
    /// The runs that take capacity. A task may have several of them: an order that a minion
    /// carries out late begins a run beside a wanted one.
    pub(crate) runs: BTreeMap<RunRef, Run>,
    /// The runs that were found at the first answer, until all of them are claimed or
    /// stopped.
    pub(crate) adoption: Option<Adoption>,
    /// Whether the renewals with unsettled runs were logged, which is done once until
    /// all runs are settled.
    pub(crate) unsettled_logged: bool,
    /// Whether it was logged that the list of ends is full, which is done once until it no
    /// longer is.
    pub(crate) full_list_logged: bool,
    /// The contents of start requests that may have to be sent again.
    pub(crate) retryable_starts: BTreeMap<RunRef, StartPayload>,
    /// The latest end of a lease that was requested, on the minion's clock.
    pub(crate) lease_until_ms: u64,
    /// The state of the hold call.
    pub(crate) hold: HoldState,
    /// The earliest time of the next start.
    pub(crate) blocked_until: Moment,
    /// When a hold was last answered; before the first answer, when the minion was taken.
    pub(crate) last_answer: Moment,
    /// Whether a start was not answered, nor any hold since it was sent. A minion that
    /// does answer holds has lost a single request, which blocks only the capacity for
    /// that run.
    pub(crate) start_unanswered: bool,
    /// The number of active runs when the minion last sent its list.
    pub(crate) active_listed: usize,
    /// The number of holds in a row that failed.
    pub(crate) missed_holds: u32,
    /// The estimate of the round trip of calls.
    pub(crate) round_trip: RoundTrip,
    /// The signs that the minion is faulty or slow.
    pub(crate) suspicion: Suspicion,
    /// Whether the event loop of this instance is late, so that a client may be gone for
    /// whose job it runs tasks here.
    pub(crate) event_loop_late: bool,
}

/// The number of runs on a minion that no live owner is known to want.
#[derive(Debug, Default, Copy, Clone, Eq, PartialEq)]
pub(crate) struct UnsettledRuns {
    /// The found runs that no owner has claimed.
    pub(crate) unclaimed: usize,
    /// The runs whose stop is due or was sent, and not confirmed by the minion.
    pub(crate) stopping: usize,
}

impl UnsettledRuns {
    /// Returns whether there are none.
    pub(crate) fn is_empty(self) -> bool {
        self == Self::default()
    }
}

/// The state of the hold call to a minion.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub(crate) enum HoldState {
    /// None is in flight; the next is sent at the given time.
    Due(Moment),
    /// One is in flight. Answers to earlier ones, from before the minion was released and
    /// taken back, may still arrive; their lists are older than the last call.
    Sent {
        /// The number of the call.
        number: HoldNumber,
        /// When it was sent.
        at: Moment,
        /// How long it waits for a run to end.
        wait_ms: u64,
    },
}

/// A run on a minion, as its holder sees it.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    /// The owner of its job.
    pub(crate) owner: RunOwner,
    /// The resources that it takes.
    pub(crate) need: Resources,
    /// The client's estimate of its run time; 0 if unknown, as for a run that began under
    /// another holder.
    pub(crate) estimate_ms: u64,
    /// When its start was requested, or when it was found on the minion.
    pub(crate) since: Moment,
    /// Whether the minion was cold then, so that its run time says nothing about the minion.
    pub(crate) began_cold: bool,
    /// When the present owner took over its shard. The owner counts as alive at this
    /// time, since its first frames may echo none.
    pub(crate) reassigned: Moment,
    pub(crate) phase: RunPhase,
    /// When its stop was first sent.
    pub(crate) stop_sent: Option<Moment>,
    /// Whether the minion has confirmed its last stop.
    pub(crate) stop_confirmed: bool,
    /// The number of stops that were not answered or were rejected.
    pub(crate) failed_stops: u32,
    /// Whether it was started on another minion than its owner had chosen.
    pub(crate) moved: bool,
    /// Whether the start request was sent a second time.
    pub(crate) retried: bool,
    /// When the minion's list became authoritative for this run: if the answer to a later
    /// hold does not list it, the run is gone.
    pub(crate) listed_since: Option<Moment>,
    /// Whether the minion has restarted since the start was ordered, and has not listed the
    /// run since.
    pub(crate) crashed: bool,
    /// The end of the lease that its start carried, on the minion's clock.
    pub(crate) lease_until_ms: u64,
    /// The ownership epoch of its shard; 0 if its job is not stored.
    pub(crate) epoch: u64,
    /// The last state that it has saved.
    pub(crate) checkpoint: Checkpoint,
}

/// The owner of a run.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub(crate) enum RunOwner {
    /// This instance.
    Local,
    /// A peer.
    Peer(PeerKey),
    /// Not known yet: the run was found on the minion, and no owner has claimed it.
    Unclaimed,
    /// None: the run was not expected on the minion and is to be stopped.
    Nobody,
}

impl Run {
    /// Creates a run that was found on a minion.
    pub(crate) fn found(now: Moment) -> Self {
        Self {
            owner: RunOwner::Unclaimed,
            need: Resources::default(),
            estimate_ms: 0,
            since: now,
            began_cold: false,
            reassigned: Moment::default(),
            phase: RunPhase::Active,
            stop_sent: None,
            stop_confirmed: false,
            failed_stops: 0,
            moved: false,
            retried: false,
            listed_since: Some(now),
            crashed: false,
            lease_until_ms: 0,
            epoch: 0,
            checkpoint: Checkpoint::default(),
        }
    }

    /// Creates a run that was found on a minion although its holder has not ordered it; it
    /// is to be stopped.
    pub(crate) fn unexpected(now: Moment) -> Self {
        let (owner, phase) = (RunOwner::Nobody, RunPhase::StopDue(now));
        Self { owner, phase, ..Self::found(now) }
    }

    /// Records that the minion has taken the start, so that its list shows the run.
    pub(crate) fn note_listed(&mut self, now: Moment) {
        self.phase = RunPhase::Active;
        self.listed_since = Some(now);
    }

    /// Records that the minion has restarted: the run is gone unless the new process lists
    /// it in its answer to a hold, all of which are sent after the restart was noticed.
    pub(crate) fn note_restart(&mut self, now: Moment) {
        self.listed_since = Some(Moment::default());
        self.crashed = true;
        self.lease_until_ms = 0;
        self.phase = match self.phase {
            // The answers to earlier calls are ignored.
            RunPhase::Starting | RunPhase::Active => RunPhase::Active,
            RunPhase::StopDue(_) | RunPhase::Stopping => RunPhase::StopDue(now),
        };
        self.stop_confirmed = false;
    }

    /// Requests a stop unless one is pending, and returns whether it was needed.
    pub(crate) fn request_stop(&mut self, now: Moment) -> bool {
        let needed = matches!(self.phase, RunPhase::Starting | RunPhase::Active);
        if needed {
            self.phase = RunPhase::StopDue(now);
            self.stop_confirmed = false;
            self.listed_since = None;
        }
        needed
    }
}

impl RunOwner {
    /// Returns the peer that owns the run, if a peer does.
    pub(crate) fn peer(self) -> Option<PeerKey> {
        match self {
            Self::Peer(peer) => Some(peer),
            Self::Local | Self::Unclaimed | Self::Nobody => None,
        }
    }
}

/// The progress of the start and stop requests for a run.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub(crate) enum RunPhase {
    /// The start was sent and not answered yet.
    Starting,
    /// The minion runs it.
    Active,
    /// The start was not answered, or a stop was requested; it is sent at the given time.
    StopDue(Moment),
    /// A stop was sent.
    Stopping,
}

/// All minions.
#[derive(Debug, Default)]
pub(crate) struct Minions {
    /// The minions by key.
    pub(crate) arena: SlotMap<MinionKey, Minion>,
    /// The keys of the minions by id.
    pub(crate) by_id: HashMap<MinionId, MinionKey>,
    /// The minions that this instance holds. On large sites they are a small part of all
    /// minions, so the work at every event is limited to them.
    held: Vec<MinionKey>,
}

impl Minions {
    /// Returns the keys of the minions that this instance holds.
    pub(crate) fn held_keys(&self) -> &[MinionKey] {
        &self.held
    }

    /// Returns the minions that this instance holds, with the state of their holds.
    pub(crate) fn held(&self) -> impl Iterator<Item = (MinionKey, &Minion, &HeldMinion)> {
        self.held.iter().filter_map(|&key| {
            let minion = self.arena.get(key)?;
            Some((key, minion, minion.held.as_ref()?))
        })
    }

    /// Returns whether any run of a task is on a minion that this instance holds.
    pub(crate) fn hold_run_of(&self, task: TaskRef) -> bool {
        self.held().any(|(_, _, held)| held.has_run_of(task))
    }

    /// Starts to hold a minion, or replaces the state of its hold.
    pub(crate) fn hold(&mut self, key: MinionKey, held: HeldMinion) {
        if self.arena[key].held.replace(held).is_none() {
            self.held.push(key);
        }
    }

    /// Ends the hold of a minion and returns its state.
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
            invalid_since: None,
            evacuated: false,
            assignee: Assignee::Nobody,
            pace: Pace::default(),
            cold: None,
            held: None,
            lost: None,
        }
    }

    /// Returns whether the process that answers holds is the one that the list names, or a
    /// later one. Leases on the clock of an earlier process may last longer in the present
    /// one.
    pub(crate) fn holds_present_process(&self) -> bool {
        let known = self.held.as_ref().and_then(|held| held.incarnation);
        known.is_some_and(|known| known >= self.entry.incarnation)
    }

    /// Returns whether it is slow because it has started lately.
    pub(crate) fn is_cold(&self, now: Moment) -> bool {
        self.cold.is_some_and(|cold| now < cold.until)
    }

    /// Returns the expected ratio of run time to estimate of a run that starts now;
    /// `cold_pace` is the factor on the run times of cold minions.
    pub(crate) fn expected_pace(&self, cold_pace: Pace, now: Moment) -> f64 {
        let cold_factor = if self.is_cold(now) { cold_pace.ratio() } else { 1.0 };
        self.pace.ratio() * cold_factor
    }

    /// Returns whether its newest entry is valid and says that it takes new work, and its
    /// failure domain is not evacuated.
    pub(crate) fn is_ready(&self) -> bool {
        self.entry.state == MinionState::Ready
            && self.invalid_since.is_none()
            && !self.evacuated
    }

    /// Returns whether the process that the entry names has answered a hold.
    pub(crate) fn is_confirmed(&self) -> bool {
        let known = self.held.as_ref().and_then(|held| held.incarnation);
        known == Some(self.entry.incarnation)
    }

    /// Returns whether its entry has been invalid and its holds unanswered for `limit_ms`.
    pub(crate) fn is_lost_while_invalid(&self, limit_ms: u64, now: Moment) -> bool {
        let expired = |at: Moment| now.since(at) > limit_ms;
        let silent = self.held.as_ref().is_some_and(|held| expired(held.last_answer));
        silent && self.invalid_since.is_some_and(expired)
    }

    /// Returns the free capacity for new runs, or none if the minion may get no starts
    /// now.
    pub(crate) fn free(&self, now: Moment) -> Option<Resources> {
        let held = self.held.as_ref()?;
        let usable = self.is_ready()
            && self.holds_present_process()
            && held.missed_holds == 0
            && !held.start_unanswered
            && !held.is_list_full()
            && !held.unconfirmed.awaits_lease_expiry()
            && held.may_extend_lease()
            && !held.has_unowned_runs()
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
            restarted: false,
            clock: ClockEstimate::default(),
            unconfirmed: UnconfirmedEnds::default(),
            runs: BTreeMap::new(),
            adoption: None,
            unsettled_logged: false,
            full_list_logged: false,
            retryable_starts: BTreeMap::new(),
            lease_until_ms: 0,
            hold: HoldState::Due(now),
            blocked_until: Moment::default(),
            last_answer: now,
            start_unanswered: false,
            active_listed: 0,
            missed_holds: 0,
            round_trip: RoundTrip::default(),
            suspicion: Suspicion::default(),
            event_loop_late: false,
        }
    }

    /// Returns whether any run of a task is on the minion.
    pub(crate) fn has_run_of(&self, task: TaskRef) -> bool {
        let [first, last] = [u64::MIN, u64::MAX].map(|run| RunRef { task, run });
        self.runs.range(first..=last).next().is_some()
    }

    /// Returns in how many milliseconds the next run is expected to end, if that is
    /// known; `pace` is the expected ratio of run time to estimate.
    pub(crate) fn next_end_ms(&self, pace: f64, now: Moment) -> Option<u64> {
        let known = self.runs.values().filter(|run| run.estimate_ms > 0);
        let left_ms = known.map(|run| {
            let expected_ms = (run.estimate_ms as f64 * pace) as u64;
            (run.since + expected_ms).since(now)
        });
        left_ms.min()
    }

    /// Returns whether the ends of the present runs may fill the minion's list, so that it
    /// gets no further start. Ends beyond a full list are hidden, and their runs are neither
    /// listed as active nor as ended.
    ///
    /// Runs that last or wait for other members of a gang count only while there are ends on
    /// the list: many of them fit on a minion, and they do not end soon.
    pub(crate) fn is_list_full(&self) -> bool {
        const LIMIT: usize = MAX_LISTED_ENDS - RESERVED_LIST_ENTRIES;
        let listed = self.unconfirmed.listed();
        let ending = self.runs.values().filter(|run| run.estimate_ms > 0).count();
        listed + ending >= LIMIT || (listed > 0 && listed + self.runs.len() >= LIMIT)
    }

    /// Returns whether the lease is to expire, so that a full list can be cleared: its
    /// owners have not confirmed the ends in time, and nothing runs on the minion.
    fn awaits_clearing(&self, now: Moment) -> bool {
        let starting = |run: &Run| run.phase == RunPhase::Starting;
        self.is_list_full()
            && self.unconfirmed.is_overdue(now)
            && self.active_listed == 0
            && !self.runs.values().any(starting)
    }

    /// Returns the ends of a full list that is to be cleared, once the lease has expired:
    /// they no longer count, so that the minion may forget them. Returns no ends before
    /// that, while the lease must not be renewed.
    ///
    /// Returns none if nothing is to be cleared and the lease is renewed as usual.
    pub(crate) fn clear_list(&mut self, now: Moment) -> Option<UnconfirmedEnds> {
        if !self.awaits_clearing(now) {
            return None;
        }
        let clock_ms = self.clock.read(now);
        // The estimated clock is never ahead of the minion's.
        let expired = clock_ms.is_some_and(|clock_ms| clock_ms > self.lease_until_ms);
        let ends = expired.then(|| self.unconfirmed.take_ends());
        Some(ends.unwrap_or_default())
    }

    /// Returns the end of the lease that a hold requests now; none if the minion's clock
    /// is unknown or the lease must not be extended.
    ///
    /// The lease of a minion without runs is left to expire if its list has ends that
    /// count for as long as the lease lasts.
    pub(crate) fn renew_lease(&mut self, now: Moment) -> Option<u64> {
        let clock_ms = self.clock.read(now)?;
        if self.unconfirmed.awaits_lease_expiry() && self.runs.is_empty() {
            // The estimated clock is never ahead of the minion's, so the lease has
            // expired.
            if clock_ms > self.lease_until_ms {
                self.unconfirmed.confirm_deferred();
            }
            return None;
        }
        self.extend_lease(now)
    }

    /// Returns the end of a lease that begins now; none if the minion's clock is unknown
    /// or a run on the minion must not be extended.
    pub(crate) fn extend_lease(&mut self, now: Moment) -> Option<u64> {
        let until_ms = self.clock.read(now)? + LEASE_MS;
        if !self.may_extend_lease() {
            return None;
        }
        self.lease_until_ms = self.lease_until_ms.max(until_ms);
        Some(until_ms)
    }

    /// Returns whether the lease may be extended.
    ///
    /// A lease covers all runs on the minion, so each of them has to have an owner that
    /// is known to be alive and to want it. Runs of a dead owner would otherwise outlast
    /// the time after which its clients send their jobs again. This instance counts as
    /// alive for its own runs while its event loop is timely.
    pub(crate) fn may_extend_lease(&self) -> bool {
        let own = |run: &Run| run.owner == RunOwner::Local;
        let own_late = self.event_loop_late && self.runs.values().any(own);
        self.unsettled_runs().is_empty() && !own_late
    }

    /// Returns how long after they were found the runs that no owner has claimed are
    /// stopped.
    pub(crate) fn claim_window_ms(&self) -> u64 {
        let owned = |run: &Run| matches!(run.owner, RunOwner::Local | RunOwner::Peer(_));
        let shared = self.runs.values().any(owned);
        if shared { SHARED_CLAIM_WINDOW_MS } else { CLAIM_WINDOW_MS }
    }

    /// Counts the runs that are unclaimed or being stopped.
    pub(crate) fn unsettled_runs(&self) -> UnsettledRuns {
        let mut count = UnsettledRuns::default();
        for run in self.runs.values() {
            match run.phase {
                RunPhase::StopDue(_) => count.stopping += 1,
                RunPhase::Stopping if !run.stop_confirmed => count.stopping += 1,
                RunPhase::Active if run.owner == RunOwner::Unclaimed => {
                    count.unclaimed += 1;
                }
                RunPhase::Starting | RunPhase::Active | RunPhase::Stopping => {}
            }
        }
        count
    }

    /// Returns whether there are runs without a known owner, whose needs are not known
    /// either. They take capacity until the minion no longer lists them.
    pub(crate) fn has_unowned_runs(&self) -> bool {
        let unowned =
            |run: &Run| matches!(run.owner, RunOwner::Unclaimed | RunOwner::Nobody);
        self.runs.values().any(unowned)
    }

    /// Returns the resources that the runs take.
    pub(crate) fn used(&self) -> Resources {
        self.runs.values().fold(Resources::default(), |sum, run| sum.plus(run.need))
    }
}
