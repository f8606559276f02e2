//! Starts and stops of runs on the minions that this instance holds.

use log::info;
use serde::{Deserialize, Serialize};

use crate::effect::{Effect, StartOrder, Target};
use crate::engine::Engine;
use crate::id::{Checkpoint, MinionId, RunRef, ServiceName, SharedStr};
use crate::message::{EndReport, Message, RunEnd};
use crate::minion::{MinionKey, Run, RunOwner, RunPhase};
use crate::peer::PeerKey;
use crate::resources::Resources;
use crate::task::Holder;
use crate::time::Moment;
use crate::timing::{
    HOLD_RETRY_MS, LEASE_MS, NO_ROOM_BACKOFF_MS, OWNER_SILENCE_MS, UNHEALTHY_BACKOFF_MS,
};

/// The answer to a start.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum StartAnswer {
    /// The run is there.
    Started,
    /// Another holder has used a higher fencing token.
    Fenced,
    /// The number of the run is not above that of an earlier run.
    Outdated,
    /// The lease had ended when the order arrived.
    Late,
    /// The task does not fit.
    NoRoom,
    /// The ticket is missing or not valid for this minion.
    BadTicket,
    /// The minion is not healthy and has done nothing.
    Unhealthy,
    /// Another incarnation answered and has done nothing.
    WrongIncarnation,
    /// The minion finds the order malformed.
    Invalid,
    /// No answer; the order may still be carried out.
    Lost,
}

/// A run that a minion is to start.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RunOrder {
    /// The run.
    pub run: RunRef,
    /// What the task needs.
    pub need: Resources,
    /// The client's estimate of the run time; 0 where progress is not judged.
    pub estimate_ms: u64,
    /// What the client sent for the task.
    pub spec: SharedStr,
    /// What an earlier run has saved.
    pub checkpoint: Checkpoint,
    /// The epoch of the owner of a stored job; 0 if the job is not stored.
    pub epoch: u64,
    /// Whether only the chosen minion will do.
    pub pinned: bool,
    /// The ticket that allows the run there, if its queue needs one.
    pub ticket: Option<SharedStr>,
}

/// What a start carries for its task.
#[derive(Debug, Clone)]
pub(crate) struct StartPayload {
    /// What the client sent for the task.
    spec: SharedStr,
    /// What an earlier run has saved.
    checkpoint: Checkpoint,
    /// The ticket that allows the run, if its queue needs one.
    ticket: Option<SharedStr>,
}

impl StartPayload {
    /// Returns the start of a run.
    fn order(self, target: Target, run: RunRef, lease_until_ms: u64) -> StartOrder {
        let Self { spec, checkpoint, ticket } = self;
        StartOrder { target, run, spec, lease_until_ms, checkpoint, ticket }
    }
}

impl Engine {
    /// Takes the answer to a start that carried `fencing_token`.
    pub fn start_answered(
        &mut self,
        now: Moment,
        key: MinionKey,
        fencing_token: u64,
        run: RunRef,
        answer: StartAnswer,
    ) {
        if let Some(held) = self.held(key, fencing_token)
            && let content = held.retryable_starts.remove(&run)
            && let Some(entry) = held.runs.get_mut(&run.task)
            && entry.run == run.run
            && entry.phase == RunPhase::Starting
        {
            let owner = entry.owner;
            match answer {
                StartAnswer::Started => entry.note_listed(now),
                // The first order was carried out after all; the lists tell how it ended.
                StartAnswer::Outdated if entry.retried => entry.note_listed(now),
                StartAnswer::Lost => {
                    held.start_unanswered |= held.last_answer <= entry.since;
                    self.retry_start(now, key, run, content);
                }
                _ => {
                    held.runs.remove(&run.task);
                    held.blocked_until = now + backoff_ms(answer);
                    self.report_not_started(now, key, owner, run, answer);
                }
            }
            if answer != StartAnswer::Started {
                let minion = self.minions.arena[key].entry.id.as_str();
                info!(target: "minion", minion, run:% = run.task, answer:? = answer;
                    "start not taken");
            }
        }
        if answer == StartAnswer::Fenced {
            self.lose_minion(now, key, fencing_token);
        }
        self.advance(now);
    }

    /// Sends a start again that was not answered, once; then the run is stopped.
    ///
    /// Answers minions that leave some orders unanswered and carry them out late: the same run
    /// cannot begin twice on a minion, so that a second order is safe, and it costs less than
    /// a stop and another placement.
    fn retry_start(
        &mut self,
        now: Moment,
        key: MinionKey,
        run: RunRef,
        content: Option<StartPayload>,
    ) {
        let minion = &mut self.minions.arena[key];
        let Some(held) = minion.held.as_mut() else { return };
        let Some(entry) = held.runs.get_mut(&run.task) else { return };
        let (Some(content), Some(clock_ms)) = (content, held.clock.read(now)) else {
            entry.phase = RunPhase::StopDue(now);
            return;
        };
        let lease_until_ms = clock_ms + LEASE_MS;
        entry.retried = true;
        entry.lease_until_ms = lease_until_ms;
        held.lease_until_ms = held.lease_until_ms.max(lease_until_ms);
        let target = minion.entry.target(key, held.fencing_token);
        let order = content.order(target, run, lease_until_ms);
        self.effects.push(Effect::Start(order));
    }

    /// Takes the answer to a stop that carried `fencing_token`.
    ///
    /// When the minion has taken the stop, the run can no longer begin.
    pub fn stop_answered(
        &mut self,
        now: Moment,
        key: MinionKey,
        fencing_token: u64,
        run: RunRef,
        answer: StartAnswer,
    ) {
        if let Some(held) = self.held(key, fencing_token)
            && let Some(entry) = held.runs.get_mut(&run.task)
            && entry.run == run.run
        {
            if answer == StartAnswer::Started {
                entry.listed_since = Some(now);
            } else {
                entry.phase = RunPhase::StopDue(now + HOLD_RETRY_MS);
            }
        }
        if answer == StartAnswer::Fenced {
            self.lose_minion(now, key, fencing_token);
        }
        self.advance(now);
    }

    /// Tells the owner of a run that it was not started.
    pub(crate) fn report_not_started(
        &mut self,
        now: Moment,
        key: MinionKey,
        owner: RunOwner,
        run: RunRef,
        answer: StartAnswer,
    ) {
        let outdated = answer == StartAnswer::Outdated;
        match (owner, answer) {
            (_, StartAnswer::Invalid) => {
                let (end, checkpoint) = (RunEnd::Failed, Checkpoint::default());
                self.report_end(now, key, owner, EndReport { run, end, checkpoint });
            }
            (RunOwner::Local, _) => {
                self.run_not_started(now, Holder::Local(key), run, outdated);
            }
            (RunOwner::Peer(peer), _) => {
                self.send(peer, Message::StartRejected { run, outdated });
            }
            (RunOwner::Unclaimed | RunOwner::Nobody, _) => {}
        }
    }

    /// Starts a run on a minion that has room for it.
    pub(crate) fn start_run(
        &mut self,
        now: Moment,
        key: MinionKey,
        order: RunOrder,
        owner: RunOwner,
    ) -> bool {
        let minion = &mut self.minions.arena[key];
        let Some(held) = minion.held.as_mut() else { return false };
        let Some(clock_ms) = held.clock.read(now) else { return false };
        if held.runs.contains_key(&order.run.task) {
            return false;
        }
        if order.epoch > 0 {
            self.shards.note_stored_jobs();
        }
        let lease_until_ms = clock_ms + LEASE_MS;
        held.lease_until_ms = held.lease_until_ms.max(lease_until_ms);
        held.runs.insert(
            order.run.task,
            Run {
                run: order.run.run,
                owner,
                need: order.need,
                estimate_ms: order.estimate_ms,
                since: now,
                claimed: Moment::default(),
                phase: RunPhase::Starting,
                retried: false,
                listed_since: None,
                lease_until_ms,
                epoch: order.epoch,
                checkpoint: order.checkpoint.clone(),
            },
        );
        let RunOrder { run, spec, checkpoint, ticket, .. } = order;
        let content = StartPayload { spec, checkpoint, ticket };
        held.retryable_starts.insert(run, content.clone());
        let target = minion.entry.target(key, held.fencing_token);
        let order = content.order(target, run, lease_until_ms);
        self.effects.push(Effect::Start(order));
        self.capacity_changed();
        true
    }

    /// Stops a run wherever it is.
    pub(crate) fn stop_at(&mut self, now: Moment, holder: Holder, run: RunRef) {
        match holder {
            Holder::Local(key) => self.stop_run(now, key, run),
            Holder::Peer(peer) => self.send(peer, Message::Stop(run)),
        }
    }

    /// Stops a run on a held minion.
    pub(crate) fn stop_run(&mut self, now: Moment, key: MinionKey, run: RunRef) {
        let held = self.minions.arena.get_mut(key).and_then(|m| m.held.as_mut());
        let entry = held.and_then(|held| held.runs.get_mut(&run.task));
        if let Some(entry) = entry.filter(|entry| entry.run == run.run) {
            entry.request_stop(now);
        }
    }

    /// Takes a peer's order to start a run.
    ///
    /// The holder knows the room best: if the named minion is full, any other of the same
    /// service with room serves, the fastest first.
    pub(crate) fn start_for_peer(
        &mut self,
        now: Moment,
        peer: PeerKey,
        echo: Moment,
        minion: &MinionId,
        order: RunOrder,
    ) {
        let run = order.run;
        // An order that has waited in a buffer may be older than the owner's patience. Only
        // the echo of its own frame tells: later frames may come first on a new connection.
        let late = now.since(echo) > OWNER_SILENCE_MS;
        let shard = self.shards.shard_of(run.task.job);
        let outdated = order.epoch > 0 && !self.shards.note_epoch(shard, order.epoch);
        if outdated || late {
            return self.send(peer, Message::StartRejected { run, outdated: false });
        }
        let named = self.minions.by_id.get(minion).copied();
        let service = named.map(|key| self.minions.arena[key].entry.service.clone());
        let fits = |key: &MinionKey| {
            let free = self.minions.arena[*key].free(now);
            free.is_some_and(|free| order.need.fits(free))
        };
        let chosen = named.filter(fits).or_else(|| {
            let service = service.as_ref().filter(|_| !order.pinned)?;
            self.fastest_with_room(now, service, order.need)
        });
        let started = chosen
            .is_some_and(|key| self.start_run(now, key, order, RunOwner::Peer(peer)));
        match chosen {
            Some(key) if started && Some(key) != named => {
                let minion = self.minions.arena[key].entry.id.clone();
                self.send(peer, Message::Moved { run, minion });
            }
            Some(_) if started => {}
            _ => self.send(peer, Message::StartRejected { run, outdated: false }),
        }
    }

    /// Returns the fastest held minion of a service with room.
    fn fastest_with_room(
        &self,
        now: Moment,
        service: &ServiceName,
        need: Resources,
    ) -> Option<MinionKey> {
        self.minions
            .held()
            .filter(|(_, minion, _)| minion.entry.service == *service)
            .filter(|(_, minion, _)| minion.free(now).is_some_and(|free| need.fits(free)))
            .min_by(|(_, a, _), (_, b, _)| a.pace.ratio().total_cmp(&b.pace.ratio()))
            .map(|(key, ..)| key)
    }

    /// Stops a run for the peer that owns it.
    pub(crate) fn stop_for_peer(&mut self, now: Moment, peer: PeerKey, run: RunRef) {
        let found = self.minions.held().find_map(|(key, _, held)| {
            let entry = held.runs.get(&run.task)?;
            let own = entry.run == run.run && entry.owner == RunOwner::Peer(peer);
            own.then_some(key)
        });
        match found {
            Some(key) => self.stop_run(now, key, run),
            // It may be active under another holder, so that it is not known to be void.
            None => self.send(peer, Message::Released(run)),
        }
    }
}

/// Returns how long a minion gets no further start after it has not taken one.
fn backoff_ms(answer: StartAnswer) -> u64 {
    match answer {
        StartAnswer::NoRoom | StartAnswer::Late => NO_ROOM_BACKOFF_MS,
        // The room is there for others.
        StartAnswer::BadTicket => 0,
        StartAnswer::Unhealthy | StartAnswer::WrongIncarnation => UNHEALTHY_BACKOFF_MS,
        StartAnswer::Started
        | StartAnswer::Outdated
        | StartAnswer::Invalid
        | StartAnswer::Fenced
        | StartAnswer::Lost => 0,
    }
}
