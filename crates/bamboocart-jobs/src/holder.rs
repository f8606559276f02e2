//! The holder's part: runs, leases and ends on the minions that this instance holds.

use std::collections::BTreeSet;

use log::{info, warn};

use crate::effect::{Effect, HoldNumber, HoldOrder, StartOrder, StopOrder};
use crate::engine::Engine;
use crate::id::{MinionId, RunRef, ServiceName, Text};
use crate::job::Holder;
use crate::message::{Message, RoomReport, RunEnd};
use crate::minion::{
    Held, HoldState, LostHold, Minion, MinionKey, Run, RunOwner, RunPhase,
};
use crate::peer::PeerKey;
use crate::resources::Resources;
use crate::suspicion::Progress;
use crate::time::Moment;
use crate::timing::{
    CLAIM_MS, HOLD_RETRY_MS, HOLD_SLACK_MS, HOLD_WAIT_MS, LATE_ORDER_MS, LEASE_MS,
    OWNER_SILENCE_MS, ROOM_BACKOFF_MS, SUSPECT_MS,
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
    /// The minion is not healthy and has done nothing.
    Unhealthy,
    /// Another incarnation answered and has done nothing.
    WrongIncarnation,
    /// The minion finds the order malformed.
    Invalid,
    /// No answer; the order may still be carried out.
    Lost,
}

/// The answer to a hold or to a stop.
#[derive(Debug, Clone)]
pub enum HoldAnswer {
    /// The minion's runs.
    Reply(HoldReply),
    /// Another holder has used a higher fencing token.
    Fenced,
    /// Another incarnation answered and has done nothing.
    WrongIncarnation,
    /// The minion is not healthy and has done nothing.
    Unhealthy,
    /// No answer; the order may still be carried out.
    Lost,
}

/// What a minion says of its runs.
#[derive(Debug, Clone, Default)]
pub struct HoldReply {
    /// When its process started, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Its steady clock.
    pub clock_ms: u64,
    /// The runs that are active.
    pub active: Vec<ActiveRun>,
    /// The ends that were not taken note of.
    pub ended: Vec<EndedRun>,
}

/// A run that is active.
#[derive(Debug, Copy, Clone)]
pub struct ActiveRun {
    /// The run.
    pub run: RunRef,
    /// How much of its work is done.
    pub done_percent: u8,
}

/// A run that has ended.
#[derive(Debug, Copy, Clone)]
pub struct EndedRun {
    /// The number of the end, which rises by one with each end.
    pub number: u64,
    /// The run.
    pub run: RunRef,
    /// How it ended.
    pub end: RunEnd,
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
        let held = self.held(key, fencing_token);
        let spec = held.and_then(|held| held.unsettled.remove(&run));
        if let Some(held) = self.held(key, fencing_token)
            && let Some(entry) = held.runs.get_mut(&run.task)
            && entry.run == run.run
            && entry.phase == RunPhase::Starting
        {
            let owner = entry.owner;
            match answer {
                StartAnswer::Started => entry.settle(now),
                // The first order was carried out after all; the lists tell how it ended.
                StartAnswer::Outdated if entry.retried => entry.settle(now),
                StartAnswer::Lost => {
                    held.unanswered |= held.answered <= entry.since;
                    self.retry_start(now, key, run, spec);
                }
                _ => {
                    held.runs.remove(&run.task);
                    held.blocked_until = now + backoff_ms(answer);
                    self.bounce(now, key, owner, run, answer);
                }
            }
            if answer != StartAnswer::Started {
                let minion = self.minions.arena[key].entry.id.as_str();
                info!(target: "minion", minion, run:% = run.task, answer:? = answer;
                    "start not taken");
            }
        }
        if answer == StartAnswer::Fenced {
            self.lose(now, key, fencing_token);
        }
        self.settle(now);
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
        spec: Option<Text>,
    ) {
        let minion = &mut self.minions.arena[key];
        let Some(held) = minion.held.as_mut() else { return };
        let Some(entry) = held.runs.get_mut(&run.task) else { return };
        let (Some(spec), Some(clock_ms)) = (spec, held.clock.read(now)) else {
            entry.phase = RunPhase::StopDue(now);
            return;
        };
        entry.retried = true;
        entry.lease_until_ms = clock_ms + LEASE_MS;
        let lease_until_ms = entry.lease_until_ms;
        let token = held.fencing_token;
        let target = minion.target(key, token);
        self.effects.push(Effect::Start(StartOrder {
            target,
            run,
            spec,
            lease_until_ms,
        }));
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
                entry.settled = Some(now);
            } else {
                entry.phase = RunPhase::StopDue(now + HOLD_RETRY_MS);
            }
        }
        if answer == StartAnswer::Fenced {
            self.lose(now, key, fencing_token);
        }
        self.settle(now);
    }

    /// Takes the answer to a hold; that of an earlier one than the last changes nothing.
    pub fn hold_answered(
        &mut self,
        now: Moment,
        key: MinionKey,
        number: HoldNumber,
        answer: HoldAnswer,
    ) {
        let minion = self.minions.arena.get_mut(key);
        let Some(held) = minion.and_then(|minion| minion.held.as_mut()) else { return };
        let fencing_token = held.fencing_token;
        let sent = match held.hold {
            HoldState::Sent { number: last, at } if last == number => at,
            HoldState::Sent { .. } | HoldState::Due(_) => return,
        };
        match answer {
            HoldAnswer::Reply(reply) => {
                held.hold = HoldState::Due(now);
                held.answered = now;
                held.unanswered = false;
                if held.missed > 0 {
                    held.missed = 0;
                    info!(target: "minion", minion:% = self.minions.arena[key].entry.id;
                        "minion answers again");
                }
                self.take_reply(now, key, sent, reply);
            }
            HoldAnswer::Fenced => self.lose(now, key, fencing_token),
            HoldAnswer::WrongIncarnation | HoldAnswer::Unhealthy | HoldAnswer::Lost => {
                held.missed += 1;
                let pause_ms = if held.missed == 1 { 0 } else { HOLD_RETRY_MS };
                held.hold = HoldState::Due(now + pause_ms);
                if held.missed == 1 {
                    warn!(target: "minion", minion:% = self.minions.arena[key].entry.id,
                        answer:? = answer; "minion does not answer");
                }
            }
        }
        self.settle(now);
    }

    /// Returns what is known of a minion that is held under `fencing_token`.
    fn held(&mut self, key: MinionKey, fencing_token: u64) -> Option<&mut Held> {
        let held = self.minions.arena.get_mut(key)?.held.as_mut()?;
        (held.fencing_token == fencing_token).then_some(held)
    }

    /// Works through a minion's lists.
    fn take_reply(
        &mut self,
        now: Moment,
        key: MinionKey,
        sent: Moment,
        reply: HoldReply,
    ) {
        let Some(held) = self.minions.arena[key].held.as_mut() else { return };
        let first = held.incarnation.is_none();
        let reborn = held.incarnation.is_some_and(|known| known != reply.incarnation);
        if reborn {
            self.forget_incarnation(now, key);
        }
        let Some(held) = self.minions.arena[key].held.as_mut() else { return };
        held.incarnation = Some(reply.incarnation);
        held.clock.observe(reply.clock_ms, now);
        let clock_ms = reply.clock_ms;
        let mut ended = reply.ended;
        ended.retain(|end| end.number > held.last_seen);
        held.last_seen =
            ended.iter().map(|end| end.number).fold(held.last_seen, u64::max);
        if first {
            self.adopt(now, key, &reply.active, &ended);
        }
        for end in ended {
            self.note_end(now, key, end);
        }
        self.judge_progress(now, key, &reply.active);
        self.compare(now, key, sent, clock_ms, &reply.active);
        self.rooms_changed();
    }

    /// Takes over the runs that a new holder finds, and announces them to their owners.
    fn adopt(
        &mut self,
        now: Moment,
        key: MinionKey,
        active: &[ActiveRun],
        ended: &[EndedRun],
    ) {
        let minion = self.minions.arena[key].entry.id.clone();
        let Some(held) = self.minions.arena[key].held.as_mut() else { return };
        let fencing_token = held.fencing_token;
        info!(target: "minion", minion:% = minion, token = fencing_token,
            runs = active.len(), ends = ended.len(); "minion held");
        for found in active {
            held.runs.insert(found.run.task, Run::found(found.run.run, now));
        }
        let active: Vec<RunRef> = active.iter().map(|found| found.run).collect();
        let ended: Vec<_> = ended.iter().map(|end| (end.run, end.end)).collect();
        if active.is_empty() && ended.is_empty() {
            return;
        }
        self.broadcast(&Message::Adopted {
            minion: minion.clone(),
            fencing_token,
            active: active.clone(),
            ended: ended.clone(),
        });
        for run in active {
            if let Some(need) = self.claim(run, None, &minion, fencing_token) {
                self.claimed(now, key, run, RunOwner::Local, need);
            }
        }
        for (run, end) in ended {
            if self.claim(run, None, &minion, fencing_token).is_some() {
                self.run_ended(now, Holder::Local(key), run, end);
            }
        }
    }

    /// Notes the owner of a run that was found on a minion.
    fn claimed(
        &mut self,
        now: Moment,
        key: MinionKey,
        run: RunRef,
        owner: RunOwner,
        need: Resources,
    ) -> bool {
        let held = self.minions.arena[key].held.as_mut();
        let entry = held.and_then(|held| held.runs.get_mut(&run.task));
        match entry {
            Some(entry) if entry.run == run.run && entry.owner == RunOwner::Unclaimed => {
                entry.owner = owner;
                entry.need = need;
                entry.claimed = now;
                true
            }
            _ => false,
        }
    }

    /// Takes a peer's claim of a run that this instance found.
    pub(crate) fn claimed_by_peer(
        &mut self,
        now: Moment,
        peer: PeerKey,
        minion: &MinionId,
        run: RunRef,
        need: Resources,
    ) {
        let owner = RunOwner::Peer(peer);
        let key = self.minions.by_id.get(minion).copied();
        if !key.is_some_and(|key| self.claimed(now, key, run, owner, need)) {
            // Its end was sent before, or another instance holds the minion by now.
            let claimer = self.peers.arena.get(peer).map(|peer| peer.member.to_string());
            info!(target: "minion", run:% = run.task, peer:? = claimer;
                "claimed run is not here");
            self.send(peer, Message::Released(run));
        }
    }

    /// Takes note of the end of a run.
    fn note_end(&mut self, now: Moment, key: MinionKey, end: EndedRun) {
        let minion = &mut self.minions.arena[key];
        let Some(held) = minion.held.as_mut() else { return };
        let known = held.runs.get(&end.run.task).filter(|run| run.run == end.run.run);
        let Some(&run) = known else { return };
        held.runs.remove(&end.run.task);
        let elapsed_ms = now.since(run.since);
        match end.end {
            RunEnd::Done if run.estimate_ms > 0 => {
                let expected_ms = run.estimate_ms as f64 * minion.pace.ratio();
                let progress = Progress { elapsed_ms, expected_ms, done_percent: 100 };
                if !progress.is_slow() {
                    held.suspicion.clear();
                }
                minion.pace.observe(elapsed_ms, run.estimate_ms);
                self.pace.observe(elapsed_ms, run.estimate_ms);
            }
            RunEnd::Failed => {
                if held.suspicion.note_failure(end.run.task.job, now) {
                    warn!(target: "minion", minion:% = minion.entry.id;
                        "minion fails runs of several jobs; it gets no work for a while");
                }
            }
            RunEnd::Done | RunEnd::Void => {}
        }
        self.report_end(now, key, run.owner, end.run, end.end);
    }

    /// Finds out whether active runs stand still or take too long. Runs that stand still are
    /// stopped, so that their owners can place them elsewhere.
    fn judge_progress(&mut self, now: Moment, key: MinionKey, active: &[ActiveRun]) {
        let minion = &mut self.minions.arena[key];
        let pace = minion.pace.ratio();
        let Some(held) = minion.held.as_mut() else { return };
        for found in active {
            let known = held.runs.get_mut(&found.run.task);
            let Some(run) = known.filter(|run| run.run == found.run.run) else {
                continue;
            };
            if run.estimate_ms == 0 || run.phase != RunPhase::Active {
                continue;
            }
            let progress = Progress {
                elapsed_ms: now.since(run.since),
                expected_ms: run.estimate_ms as f64 * pace,
                done_percent: found.done_percent,
            };
            let stalled = progress.is_stalled();
            if (stalled || progress.is_slow()) && held.suspicion.suspect(now) {
                warn!(target: "minion", minion:% = minion.entry.id,
                    run:% = found.run.task, progress:? = progress;
                    "minion stalls or is slow; it gets no work for a while");
            }
            if stalled {
                run.want_stop(now);
            }
        }
    }

    /// Compares the runs that should be there with those that are.
    fn compare(
        &mut self,
        now: Moment,
        key: MinionKey,
        sent: Moment,
        clock_ms: u64,
        active: &[ActiveRun],
    ) {
        let Some(held) = self.minions.arena[key].held.as_mut() else { return };
        let listed: BTreeSet<RunRef> = active.iter().map(|found| found.run).collect();
        let mut gone = Vec::new();
        for (&task, run) in &mut held.runs {
            let run_ref = RunRef { task, run: run.run };
            if listed.contains(&run_ref) {
                if run.phase == RunPhase::Starting {
                    run.settle(now);
                }
                continue;
            }
            if run.settled.is_none() && clock_ms > run.lease_until_ms + LATE_ORDER_MS {
                run.settled = Some(now);
            }
            if run.settled.is_some_and(|settled| sent > settled) {
                gone.push((run_ref, run.owner));
            }
        }
        for found in &listed {
            let task = found.task;
            let known = held.runs.get(&task).is_some_and(|run| run.run >= found.run);
            if !known {
                let mut stray = Run::found(found.run, now);
                stray.owner = RunOwner::Nobody;
                stray.phase = RunPhase::StopDue(now);
                held.runs.insert(task, stray);
                warn!(target: "minion", run:% = task; "unexpected run is stopped");
            }
        }
        for (run, owner) in gone {
            if let Some(held) = self.minions.arena[key].held.as_mut() {
                held.runs.remove(&run.task);
            }
            self.report_end(now, key, owner, run, RunEnd::Void);
        }
    }

    /// Forgets what an earlier incarnation of a minion ran.
    fn forget_incarnation(&mut self, now: Moment, key: MinionKey) {
        let minion = &mut self.minions.arena[key];
        warn!(target: "minion", minion:% = minion.entry.id; "minion started again");
        let Some(held) = minion.held.take() else { return };
        let mut fresh = Held::new(held.fencing_token, held.since);
        fresh.hold = held.hold;
        minion.held = Some(fresh);
        for (task, run) in held.runs {
            let run_ref = RunRef { task, run: run.run };
            self.report_end(now, key, run.owner, run_ref, RunEnd::Void);
        }
    }

    /// Tells the owner of a run how it ended.
    fn report_end(
        &mut self,
        now: Moment,
        key: MinionKey,
        owner: RunOwner,
        run: RunRef,
        end: RunEnd,
    ) {
        match owner {
            RunOwner::Local => self.run_ended(now, Holder::Local(key), run, end),
            RunOwner::Peer(peer) => self.send(peer, Message::Ended { run, end }),
            RunOwner::Unclaimed => self.broadcast(&Message::Ended { run, end }),
            RunOwner::Nobody => {}
        }
    }

    /// Tells the owner of a run that it was not started.
    fn bounce(
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
                self.report_end(now, key, owner, run, RunEnd::Failed);
            }
            (RunOwner::Local, _) => {
                self.run_bounced(Holder::Local(key), run, outdated);
            }
            (RunOwner::Peer(peer), _) => {
                self.send(peer, Message::Bounced { run, outdated });
            }
            (RunOwner::Unclaimed | RunOwner::Nobody, _) => {}
        }
    }

    /// Begins to hold a minion.
    pub(crate) fn hold(&mut self, now: Moment, key: MinionKey, fencing_token: u64) {
        self.minions.hold(key, Held::new(fencing_token, now));
    }

    /// Gives up a minion that another instance holds from now on.
    pub(crate) fn release(&mut self, now: Moment, key: MinionKey) {
        let Some(held) = self.minions.give_up(key) else { return };
        let minion = &self.minions.arena[key];
        info!(target: "minion", minion:% = minion.entry.id, token = held.fencing_token,
            runs = held.runs.len(); "minion released");
        for (task, run) in held.runs {
            let run_ref = RunRef { task, run: run.run };
            match run.owner {
                RunOwner::Local => self.holder_lost(now, Holder::Local(key), run_ref),
                RunOwner::Peer(peer) => self.send(peer, Message::Released(run_ref)),
                RunOwner::Unclaimed | RunOwner::Nobody => {}
            }
        }
        self.rooms_changed();
    }

    /// Gives up a minion whose orders are refused because of a higher fencing token.
    fn lose(&mut self, now: Moment, key: MinionKey, fencing_token: u64) {
        if self.held(key, fencing_token).is_none() {
            return;
        }
        warn!(target: "minion", minion:% = self.minions.arena[key].entry.id,
            token = fencing_token; "another instance holds the minion");
        self.release(now, key);
        self.minions.arena[key].lost = Some(LostHold { fencing_token, at: now });
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
        let lease_until_ms = clock_ms + LEASE_MS;
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
                settled: None,
                lease_until_ms,
            },
        );
        held.unsettled.insert(order.run, order.spec.clone());
        let token = held.fencing_token;
        let target = minion.target(key, token);
        self.effects.push(Effect::Start(StartOrder {
            target,
            run: order.run,
            spec: order.spec,
            lease_until_ms,
        }));
        self.rooms_changed();
        true
    }

    /// Stops a run on a held minion.
    pub(crate) fn stop_run(&mut self, now: Moment, key: MinionKey, run: RunRef) {
        let held = self.minions.arena.get_mut(key).and_then(|m| m.held.as_mut());
        let entry = held.and_then(|held| held.runs.get_mut(&run.task));
        if let Some(entry) = entry.filter(|entry| entry.run == run.run) {
            entry.want_stop(now);
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
        minion: &MinionId,
        order: RunOrder,
    ) {
        let run = order.run;
        // An order that has waited in a buffer may be older than the owner's patience.
        let echoed = self.peers.arena.get(peer).and_then(|peer| peer.echoed);
        if echoed.is_none_or(|echoed| now.since(echoed) > OWNER_SILENCE_MS) {
            return self.send(peer, Message::Bounced { run, outdated: false });
        }
        let named = self.minions.by_id.get(minion).copied();
        let service = named.map(|key| self.minions.arena[key].entry.service.clone());
        let fits = |key: &MinionKey| {
            let free = self.minions.arena[*key].free(now);
            free.is_some_and(|free| order.need.fits(free))
        };
        let chosen = named.filter(fits).or_else(|| {
            let service = service.as_ref()?;
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
            _ => self.send(peer, Message::Bounced { run, outdated: false }),
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

    /// Stops the runs of a peer that it does not want any more, and releases those that it
    /// wants and that are not here.
    pub(crate) fn keep_wanted(&mut self, now: Moment, peer: PeerKey, wanted: &[RunRef]) {
        let mut here = BTreeSet::new();
        for key in self.minions.held_keys().to_vec() {
            let Some(held) = self.minions.arena[key].held.as_mut() else { continue };
            for (&task, run) in &mut held.runs {
                let run_ref = RunRef { task, run: run.run };
                if run.owner != RunOwner::Peer(peer) {
                    continue;
                }
                here.insert(run_ref);
                if !wanted.contains(&run_ref) && run.want_stop(now) {
                    info!(target: "minion", run:% = task; "unwanted run is stopped");
                }
            }
        }
        for &run in wanted.iter().filter(|run| !here.contains(run)) {
            self.send(peer, Message::Released(run));
        }
    }

    /// Stops the runs of owners that were not heard of in time, and those that nobody has
    /// claimed.
    pub(crate) fn stop_orphans(&mut self, now: Moment) {
        let peers = &self.peers.arena;
        let silent = |peer: PeerKey, claimed: Moment| {
            let echoed = peers.get(peer).and_then(|peer| peer.echoed);
            now.since(echoed.unwrap_or_default().max(claimed)) > OWNER_SILENCE_MS
        };
        for key in self.minions.held_keys().to_vec() {
            let Some(held) = self.minions.arena[key].held.as_mut() else { continue };
            for (task, run) in &mut held.runs {
                let orphan = match run.owner {
                    RunOwner::Peer(peer) => silent(peer, run.claimed),
                    RunOwner::Unclaimed => now.since(run.since) > CLAIM_MS,
                    RunOwner::Local | RunOwner::Nobody => false,
                };
                if orphan && run.want_stop(now) {
                    warn!(target: "minion", run:% = task, owner:? = run.owner;
                        "run without an owner is stopped");
                }
            }
        }
    }

    /// Sends the holds and stops that are due.
    pub(crate) fn send_due(&mut self, now: Moment) {
        for key in self.minions.held_keys().to_vec() {
            let minion = &mut self.minions.arena[key];
            let address = |token| crate::effect::Target {
                minion: key,
                id: minion.entry.id.clone(),
                address: minion.entry.address,
                fencing_token: token,
            };
            let pace = minion.pace.ratio();
            let Some(held) = minion.held.as_mut() else { continue };
            let token = held.fencing_token;
            let wait_ms = held
                .next_end_ms(pace, now)
                .map_or(HOLD_WAIT_MS, |end_ms| HOLD_WAIT_MS.min(end_ms + HOLD_SLACK_MS));
            for (&task, run) in &mut held.runs {
                if let RunPhase::StopDue(due) = run.phase
                    && due <= now
                {
                    run.phase = RunPhase::Stopping(now);
                    let run = RunRef { task, run: run.run };
                    let order = StopOrder { target: address(token), run };
                    self.effects.push(Effect::Stop(order));
                }
            }
            if let HoldState::Due(due) = held.hold
                && due <= now
            {
                self.last_hold.0 += 1;
                let number = self.last_hold;
                held.hold = HoldState::Sent { number, at: now };
                let first = held.incarnation.is_none();
                self.effects.push(Effect::Hold(HoldOrder {
                    number,
                    target: address(token),
                    lease_until_ms: held.clock.read(now).map(|clock| clock + LEASE_MS),
                    last_seen: held.last_seen,
                    wait_ms: if first || held.missed > 0 { 0 } else { wait_ms },
                }));
            }
        }
    }

    /// Returns the free room of the minions that this instance holds.
    pub(crate) fn rooms(&self, now: Moment) -> Vec<RoomReport> {
        let report = |(_, minion, _): (MinionKey, &Minion, &Held)| {
            let free = minion.free(now).filter(|free| free.cpu_millicores > 0)?;
            Some(RoomReport {
                minion: minion.entry.id.clone(),
                free,
                pace_permille: (minion.pace.ratio() * 1000.0) as u32,
            })
        };
        self.minions.held().filter_map(report).collect()
    }

    /// Returns the runs on held minions that belong to a peer, or may do so because nobody
    /// has claimed them yet.
    pub(crate) fn runs_of_peer(&self, peer: PeerKey) -> Vec<RunRef> {
        let held = self.minions.held();
        held.flat_map(|(_, _, held)| &held.runs)
            .filter(|(_, run)| {
                matches!(run.owner, RunOwner::Unclaimed)
                    || run.owner == RunOwner::Peer(peer)
            })
            .map(|(&task, run)| RunRef { task, run: run.run })
            .collect()
    }
}

/// A run that a minion is to start.
#[derive(Debug, Clone)]
pub(crate) struct RunOrder {
    /// The run.
    pub(crate) run: RunRef,
    /// What the task needs.
    pub(crate) need: Resources,
    /// The client's estimate of the run time.
    pub(crate) estimate_ms: u64,
    /// What the client sent for the task.
    pub(crate) spec: Text,
}

impl Run {
    /// Creates a run that was found on a minion.
    fn found(run: u64, now: Moment) -> Self {
        Self {
            run,
            owner: RunOwner::Unclaimed,
            need: Resources::default(),
            estimate_ms: 0,
            since: now,
            claimed: Moment::default(),
            phase: RunPhase::Active,
            retried: false,
            settled: Some(now),
            lease_until_ms: 0,
        }
    }

    /// Notes that the minion has taken the start.
    fn settle(&mut self, now: Moment) {
        self.phase = RunPhase::Active;
        self.settled = Some(now);
    }

    /// Asks for a stop, unless one is under way, and returns whether it was needed.
    fn want_stop(&mut self, now: Moment) -> bool {
        let needed = matches!(self.phase, RunPhase::Starting | RunPhase::Active);
        if needed {
            self.phase = RunPhase::StopDue(now);
            self.settled = None;
        }
        needed
    }
}

/// Returns how long a minion gets no further start after it has not taken one.
fn backoff_ms(answer: StartAnswer) -> u64 {
    match answer {
        StartAnswer::NoRoom | StartAnswer::Late => ROOM_BACKOFF_MS,
        StartAnswer::Started
        | StartAnswer::Outdated
        | StartAnswer::Invalid
        | StartAnswer::Fenced => 0,
        StartAnswer::Unhealthy | StartAnswer::WrongIncarnation | StartAnswer::Lost => {
            SUSPECT_MS
        }
    }
}
