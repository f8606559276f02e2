//! Starting and stopping runs on the minions that this instance holds.

use std::mem;

use log::{info, warn};
use serde::{Deserialize, Serialize};

use crate::effect::{Effect, StartOrder, Target};
use crate::engine::Engine;
use crate::holder::minion::{Minion, MinionKey, Run, RunOwner, RunPhase};
use crate::id::{Checkpoint, MinionId, RunRef, ServiceName, SharedStr};
use crate::membership::member::Member;
use crate::membership::peer::{FrameTimes, PeerKey};
use crate::message::Message;
use crate::owner::gone::RunGone;
use crate::owner::task::Holder;
use crate::resources::Resources;
use crate::time::Moment;
use crate::timing::{
    HOLD_RETRY_MS, MAX_STOP_RETRY_MS, NO_ROOM_BACKOFF_MS, OWNER_SILENCE_MS,
    UNHEALTHY_BACKOFF_MS,
};

/// Maximum number of starts that wait for the end of an earlier run to be rejected.
const MAX_DEFERRED_REJECTIONS: usize = 256;

/// A minion's answer to a start or stop order.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum StartAnswer {
    /// The minion has carried out the order.
    Started,
    /// A holder with a higher fencing token has taken the minion.
    Fenced,
    /// The run number is not higher than that of an earlier run.
    Outdated,
    /// The lease had expired when the order arrived.
    Late,
    /// The minion lacks the resources for the task.
    NoRoom,
    /// The ticket is missing or not valid for this minion.
    BadTicket,
    /// The minion is unhealthy and has done nothing.
    Unhealthy,
    /// Another incarnation of the minion answered and has done nothing.
    WrongIncarnation,
    /// The minion considers the order malformed and has done nothing.
    Invalid,
    /// No answer arrived in time; the order may still be carried out.
    Lost,
}

/// What the answer to a start tells about the run.
#[derive(Debug, Copy, Clone)]
enum StartVerdict {
    /// It is or was active, and the minion's lists tell the rest.
    Listed,
    /// It may be active or begin later; nothing tells whether the order arrived.
    Unanswered,
    /// It may be active or begin later: the minion has rejected the last order, which says
    /// nothing about an earlier one.
    MayBegin,
    /// It may be active under another holder, which finds it on the minion.
    MinionLost,
    /// It cannot begin.
    Rejected(Rejection),
}

impl StartAnswer {
    /// Returns what this answer tells about a run; `repeated` tells whether an earlier
    /// order to start it was not answered.
    fn verdict(self, run: RunRef, repeated: bool) -> StartVerdict {
        match (self, repeated) {
            // A run that the first order began makes the second one outdated.
            (Self::Started, _) | (Self::Outdated, true) => StartVerdict::Listed,
            (Self::Lost, _) => StartVerdict::Unanswered,
            (Self::Fenced, true) => StartVerdict::MinionLost,
            (
                Self::Late
                | Self::NoRoom
                | Self::BadTicket
                | Self::Unhealthy
                | Self::WrongIncarnation
                | Self::Invalid,
                true,
            ) => StartVerdict::MayBegin,
            (
                Self::Fenced
                | Self::Outdated
                | Self::Late
                | Self::NoRoom
                | Self::BadTicket
                | Self::Unhealthy
                | Self::WrongIncarnation
                | Self::Invalid,
                false,
            ) => StartVerdict::Rejected(Rejection { run, answer: self }),
        }
    }
}

/// The rejection of the only order to start a run, so that the run cannot begin.
#[derive(Debug, Copy, Clone)]
pub(crate) struct Rejection {
    run: RunRef,
    answer: StartAnswer,
}

impl Rejection {
    /// Returns the run that cannot begin.
    pub(crate) fn run(self) -> RunRef {
        self.run
    }

    /// Returns the cause, as the owner of the run distinguishes it.
    fn cause(self) -> RejectionCause {
        match self.answer {
            StartAnswer::Outdated => RejectionCause::Outdated,
            StartAnswer::Invalid => RejectionCause::Malformed,
            StartAnswer::Started
            | StartAnswer::Fenced
            | StartAnswer::Late
            | StartAnswer::NoRoom
            | StartAnswer::BadTicket
            | StartAnswer::Unhealthy
            | StartAnswer::WrongIncarnation
            | StartAnswer::Lost => RejectionCause::Unavailable,
        }
    }
}

/// Why a run was not started, as far as its owner acts on it.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub enum RejectionCause {
    /// The minion or its holder did not take the order at that time.
    Unavailable,
    /// The minion has already seen a run of the task with this or a higher number.
    Outdated,
    /// The minion considers the order malformed. No run has failed, so it counts as no
    /// attempt.
    Malformed,
}

/// An order to start a run, which the owner of a job sends to the holder of a minion.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RunOrder {
    /// The task and the number of the run.
    pub run: RunRef,
    /// The resources that the task requires.
    pub need: Resources,
    /// The client's estimate of the run time; 0 if progress is not checked.
    pub estimate_ms: u64,
    /// The task description from the client, passed on unchanged.
    pub spec: SharedStr,
    /// The checkpoint that an earlier run has saved.
    pub checkpoint: Checkpoint,
    /// The epoch of the shard's owner; 0 if the job is not stored.
    pub epoch: u64,
    /// Whether the run must not be moved to another minion of the service.
    pub pinned: bool,
    /// The ticket that permits the run on the chosen minion, if the queue requires one.
    pub ticket: Option<SharedStr>,
}

/// The part of a start order that is kept until the start is answered, to send it again.
#[derive(Debug, Clone)]
pub(crate) struct StartPayload {
    /// The task description from the client.
    spec: SharedStr,
    /// The checkpoint that an earlier run has saved.
    checkpoint: Checkpoint,
    /// The ticket that permits the run, if the queue requires one.
    ticket: Option<SharedStr>,
}

impl StartPayload {
    /// Builds the order that starts a run.
    fn order(self, target: Target, run: RunRef, lease_until_ms: u64) -> StartOrder {
        let Self { spec, checkpoint, ticket } = self;
        StartOrder { target, run, spec, lease_until_ms, checkpoint, ticket }
    }
}

impl Engine {
    /// Processes the answer to a start that carried `fencing_token`.
    pub fn start_answered(
        &mut self,
        now: Moment,
        key: MinionKey,
        fencing_token: u64,
        run: RunRef,
        answer: StartAnswer,
    ) {
        // A start of a silent owner is not sent again.
        self.stop_orphans(now);
        if let Some(held) = self.held(key, fencing_token)
            && let payload = held.retryable_starts.remove(&run)
            && let Some(entry) = held.runs.get_mut(&run)
            && entry.phase == RunPhase::Starting
        {
            let (owner, repeated) = (entry.owner, entry.retried);
            match answer {
                StartAnswer::Lost => held.round_trip.note_timeout(),
                _ if repeated => {}
                _ => held.round_trip.observe(now.since(entry.since)),
            }
            match answer.verdict(run, repeated) {
                StartVerdict::Listed => entry.note_listed(now),
                StartVerdict::Unanswered => {
                    held.start_unanswered |= held.last_answer <= entry.since;
                    self.retry_start(now, key, run, payload);
                }
                StartVerdict::MayBegin => {
                    entry.phase = RunPhase::StopDue(now);
                    held.blocked_until = now + backoff_ms(answer);
                }
                // The run is released with the minion.
                StartVerdict::MinionLost => {}
                StartVerdict::Rejected(rejection) => {
                    held.runs.remove(&run);
                    held.blocked_until = now + backoff_ms(answer);
                    self.report_start_rejected(now, key, owner, rejection);
                }
            }
            if answer != StartAnswer::Started {
                let minion = self.minions.arena[key].entry.id.as_str();
                info!(target: "minion", minion, run:% = run.task, number = run.run,
                    answer:? = answer, repeated; "start not taken");
            }
        }
        if answer == StartAnswer::Fenced {
            self.lose_minion(now, key, fencing_token);
        }
        self.advance(now);
    }

    /// Sends an unanswered start again, once; after that, the run is stopped.
    ///
    /// Some minions leave orders unanswered and carry them out late. A second order is
    /// safe because the same run cannot begin twice on a minion, and it costs less than a
    /// stop and another placement.
    fn retry_start(
        &mut self,
        now: Moment,
        key: MinionKey,
        run: RunRef,
        payload: Option<StartPayload>,
    ) {
        let minion = &mut self.minions.arena[key];
        let present = minion.holds_present_process();
        let evacuated = minion.evacuated;
        let Some(held) = minion.held.as_mut() else { return };
        let lease_until_ms = held.extend_lease(now).filter(|_| present);
        let Some(entry) = held.runs.get_mut(&run) else { return };
        let (Some(payload), Some(lease_until_ms)) = (payload, lease_until_ms) else {
            entry.phase = RunPhase::StopDue(now);
            return;
        };
        // Without a repeat, the lists of the minion tell whether the run has begun, and
        // its order expires if it has not.
        if evacuated || !self.retry_budget.take() {
            return;
        }
        entry.retried = true;
        entry.lease_until_ms = lease_until_ms;
        let timeout_ms = held.round_trip.order_timeout_ms();
        let target = minion.entry.target(key, held.fencing_token, timeout_ms);
        let order = payload.order(target, run, lease_until_ms);
        self.effects.push(Effect::Start(order));
    }

    /// Processes the answer to a stop that carried `fencing_token`.
    ///
    /// Once the minion has accepted the stop, the run can no longer begin.
    pub fn stop_answered(
        &mut self,
        now: Moment,
        key: MinionKey,
        fencing_token: u64,
        run: RunRef,
        answer: StartAnswer,
    ) {
        if let Some(held) = self.held(key, fencing_token)
            && let Some(entry) = held.runs.get_mut(&run)
        {
            let failed = entry.failed_stops;
            let since_ms = now.since(entry.stop_sent.unwrap_or(now));
            match answer {
                StartAnswer::Lost => held.round_trip.note_timeout(),
                _ if failed > 0 => {}
                _ => held.round_trip.observe(since_ms),
            }
            if answer == StartAnswer::Started {
                entry.listed_since = Some(now);
                entry.stop_confirmed = true;
                entry.failed_stops = 0;
            } else {
                let pause_ms = stop_pause_ms(entry.failed_stops);
                entry.phase = RunPhase::StopDue(now + pause_ms);
                entry.failed_stops += 1;
            }
            // One line for the first of several failures, and one for the success.
            let minion = self.minions.arena[key].entry.id.as_str();
            match answer {
                StartAnswer::Started if failed > 0 => {
                    info!(target: "minion", minion, run:% = run.task, number = run.run,
                        failed, since_ms; "repeated stop is confirmed");
                }
                StartAnswer::Started => {}
                _ if failed == 0 => {
                    warn!(target: "minion", minion, run:% = run.task, number = run.run,
                        answer:? = answer, since_ms; "stop not taken; repeating it");
                }
                _ => {}
            }
        }
        if answer == StartAnswer::Fenced {
            self.lose_minion(now, key, fencing_token);
        }
        self.advance(now);
    }

    /// Reports to the owner of a run that it was not started.
    pub(crate) fn report_start_rejected(
        &mut self,
        now: Moment,
        key: MinionKey,
        owner: RunOwner,
        rejection: Rejection,
    ) {
        let (run, cause) = (rejection.run(), rejection.cause());
        match owner {
            RunOwner::Local => {
                let gone = RunGone::rejected(rejection);
                self.start_rejected(now, Holder::Local(key), gone, cause);
            }
            RunOwner::Peer(peer) => {
                self.send(peer, Message::StartRejected { run, cause });
            }
            RunOwner::Unclaimed | RunOwner::Nobody => {}
        }
    }

    /// Starts a run on a minion.
    ///
    /// Returns false if the minion is not held, its failure domain is evacuated, its clock is
    /// not known yet, its lease must not be extended, its list of ends may become full, or a
    /// run of the task is already on it.
    pub(crate) fn start_run(
        &mut self,
        now: Moment,
        key: MinionKey,
        order: RunOrder,
        owner: RunOwner,
    ) -> bool {
        let minion = &mut self.minions.arena[key];
        let evacuated = minion.evacuated;
        let began_cold = minion.is_cold(now);
        let Some(held) = minion.held.as_mut() else { return false };
        if evacuated || held.has_run_of(order.run.task) || held.is_list_full() {
            return false;
        }
        let Some(lease_until_ms) = held.extend_lease(now) else { return false };
        if order.epoch > 0 {
            self.shards.note_stored_jobs();
        }
        held.runs.insert(
            order.run,
            Run {
                owner,
                need: order.need,
                estimate_ms: order.estimate_ms,
                since: now,
                began_cold,
                reassigned: Moment::default(),
                phase: RunPhase::Starting,
                stop_sent: None,
                stop_confirmed: false,
                failed_stops: 0,
                moved: false,
                retried: false,
                listed_since: None,
                crashed: false,
                lease_until_ms,
                epoch: order.epoch,
                checkpoint: order.checkpoint.clone(),
            },
        );
        let RunOrder { run, spec, checkpoint, ticket, .. } = order;
        let payload = StartPayload { spec, checkpoint, ticket };
        held.retryable_starts.insert(run, payload.clone());
        let timeout_ms = held.round_trip.order_timeout_ms();
        let target = minion.entry.target(key, held.fencing_token, timeout_ms);
        let order = payload.order(target, run, lease_until_ms);
        self.effects.push(Effect::Start(order));
        self.retry_budget.earn();
        self.capacity_changed();
        true
    }

    /// Stops a run, at a peer if that holds the minion. An order that is still queued is not
    /// sent.
    pub(crate) fn stop_at(&mut self, now: Moment, holder: Holder, run: RunRef) {
        match holder {
            Holder::Local(key) => self.stop_run(now, key, run),
            Holder::Peer(peer) => {
                let queue = self.peers.arena.get_mut(peer);
                let was_queued = queue.is_some_and(|peer| peer.cancel_start(run));
                if !was_queued {
                    self.send(peer, Message::Stop(run));
                }
            }
        }
    }

    /// Stops a run on a held minion, if it is still there.
    pub(crate) fn stop_run(&mut self, now: Moment, key: MinionKey, run: RunRef) {
        let held = self.minions.arena.get_mut(key).and_then(|m| m.held.as_mut());
        if let Some(entry) = held.and_then(|held| held.runs.get_mut(&run)) {
            entry.request_stop(now);
        }
    }

    /// Processes a peer's order to start a run.
    ///
    /// The holder knows the free capacity best: if the named minion is full, the fastest
    /// other minion of the same service with enough of it is used, unless the order is
    /// pinned.
    pub(crate) fn start_for_peer(
        &mut self,
        now: Moment,
        peer: PeerKey,
        times: FrameTimes,
        minion: &MinionId,
        order: RunOrder,
    ) {
        let run = order.run;
        // An order that was buffered for long may reach this instance after the owner has
        // given up on it. Only the echo of its own frame tells, because later frames may
        // arrive first on a new connection.
        let late = now.since(times.echo) > OWNER_SILENCE_MS;
        let overtaken = self.is_answered(peer, times);
        let shard = self.shards.shard_of(run.task.job);
        let outdated = order.epoch > 0 && !self.shards.note_epoch(shard, order.epoch);
        // An earlier run of the task may be about to end here.
        let present = self.minions.hold_run_of(run.task);
        match () {
            () if outdated || late || overtaken => {
                return self.send(
                    peer,
                    Message::StartRejected { run, cause: RejectionCause::Unavailable },
                );
            }
            () if present => return self.defer_rejection(peer, run),
            () => {}
        }
        let named = self.minions.by_id.get(minion).copied();
        let service = named.map(|key| self.minions.arena[key].entry.service.clone());
        let fits = |key: &MinionKey| {
            let free = self.minions.arena[*key].free(now);
            free.is_some_and(|free| order.need.fits(free))
        };
        let chosen = named.filter(fits).or_else(|| {
            let service = service.as_ref().filter(|_| !order.pinned)?;
            self.fastest_with_free_resources(now, service, order.need)
        });
        let started = chosen
            .is_some_and(|key| self.start_run(now, key, order, RunOwner::Peer(peer)));
        match chosen {
            Some(key) if started && Some(key) != named => {
                let minion = &mut self.minions.arena[key];
                let held = minion.held.as_mut();
                if let Some(entry) = held.and_then(|held| held.runs.get_mut(&run)) {
                    entry.moved = true;
                }
                let minion = minion.entry.id.clone();
                self.send(peer, Message::Moved { run, minion });
            }
            Some(_) if started => {}
            _ => self.send(
                peer,
                Message::StartRejected { run, cause: RejectionCause::Unavailable },
            ),
        }
    }

    /// Rejects a start as soon as no earlier run of its task is on a held minion any more.
    /// Its owner would place the task elsewhere at once, beside that run.
    fn defer_rejection(&mut self, peer: PeerKey, run: RunRef) {
        info!(target: "minion", run:% = run.task, number = run.run;
            "an earlier run of the task is here; its start waits to be rejected");
        self.deferred_rejections.push((peer, run));
        if self.deferred_rejections.len() > MAX_DEFERRED_REJECTIONS {
            let (peer, run) = self.deferred_rejections.remove(0);
            // The owner waits for as long as the earlier run may last.
            self.send(peer, Message::Released(run));
        }
    }

    /// Sends the rejections of starts whose tasks have no earlier run here any more.
    pub(crate) fn send_deferred_rejections(&mut self) {
        let (later, due): (Vec<_>, Vec<_>) = mem::take(&mut self.deferred_rejections)
            .into_iter()
            .partition(|(_, run)| self.minions.hold_run_of(run.task));
        self.deferred_rejections = later;
        for (peer, run) in due {
            self.send(
                peer,
                Message::StartRejected { run, cause: RejectionCause::Unavailable },
            );
        }
    }

    /// Refuses the starts and claims in frames that a peer sent before `sent_ms` on its
    /// clock. They may arrive late on an earlier connection, after an answer about their
    /// runs.
    pub(crate) fn refuse_earlier_orders(&mut self, peer: PeerKey, sent_ms: u64) {
        if let Some(peer) = self.peers.arena.get_mut(peer) {
            peer.orders_after_ms = peer.orders_after_ms.max(sent_ms);
        }
    }

    /// Returns whether a frame of a peer was sent before an answer about all of its runs,
    /// so that its starts and claims no longer count.
    pub(crate) fn is_answered(&self, peer: PeerKey, times: FrameTimes) -> bool {
        let peer = self.peers.arena.get(peer);
        peer.is_some_and(|peer| times.sent_ms < peer.orders_after_ms)
    }

    /// Returns the fastest held minion of a service with enough free capacity.
    fn fastest_with_free_resources(
        &self,
        now: Moment,
        service: &ServiceName,
        need: Resources,
    ) -> Option<MinionKey> {
        self.minions
            .held()
            .filter(|(_, minion, _)| minion.entry.service == *service)
            .filter(|(_, minion, _)| minion.free(now).is_some_and(|free| need.fits(free)))
            .min_by(|(_, a, _), (_, b, _)| {
                let pace = |minion: &Minion| minion.expected_pace(self.cold_pace, now);
                pace(a).total_cmp(&pace(b))
            })
            .map(|(key, ..)| key)
    }

    /// Stops a run on behalf of the peer that owns it.
    pub(crate) fn stop_for_peer(&mut self, now: Moment, peer: PeerKey, run: RunRef) {
        let found = self.minions.held().find_map(|(key, _, held)| {
            let entry = held.runs.get(&run)?;
            (entry.owner == RunOwner::Peer(peer)).then_some(key)
        });
        match found {
            Some(key) => self.stop_run(now, key, run),
            // The run may be active under another holder, so it must not be reported as
            // void.
            None => {
                let owner = self.member_of(peer).map(Member::to_string);
                info!(target: "minion", run:% = run.task, number = run.run,
                    peer:? = owner; "run to stop is not here; releasing it");
                self.send(peer, Message::Released(run));
            }
        }
    }
}

/// Returns the delay before a stop is sent again, in milliseconds. The first repeat is sent
/// at once; the lease of the minion is not renewed until a stop is answered.
fn stop_pause_ms(failed: u32) -> u64 {
    match failed {
        0 => 0,
        _ => (HOLD_RETRY_MS << (failed - 1).min(8)).min(MAX_STOP_RETRY_MS),
    }
}

/// Returns how long a minion gets no further start after it has rejected one, in
/// milliseconds.
fn backoff_ms(answer: StartAnswer) -> u64 {
    match answer {
        StartAnswer::NoRoom | StartAnswer::Late => NO_ROOM_BACKOFF_MS,
        // The resources are still free for other tasks.
        StartAnswer::BadTicket | StartAnswer::Invalid => 0,
        StartAnswer::Unhealthy | StartAnswer::WrongIncarnation => UNHEALTHY_BACKOFF_MS,
        StartAnswer::Started
        | StartAnswer::Outdated
        | StartAnswer::Fenced
        | StartAnswer::Lost => 0,
    }
}
