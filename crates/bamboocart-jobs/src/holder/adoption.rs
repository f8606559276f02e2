//! Adoption of runs by a new holder of a minion, and cleanup of runs without an owner.

use std::collections::BTreeMap;

use log::{info, warn};
use serde::{Deserialize, Serialize};

use crate::engine::Engine;
use crate::holder::minion::{HeldMinion, MinionKey, Run, RunOwner};
use crate::holder::{ActiveRun, EndedRun};
use crate::id::{MinionId, RunRef};
use crate::membership::member::Member;
use crate::membership::peer::PeerKey;
use crate::message::{EndReport, Message};
use crate::owner::gone::gone_after_ms;
use crate::owner::task::{Holder, Placement};
use crate::resources::Resources;
use crate::shard::{ShardId, Stage};
use crate::time::Moment;
use crate::timing::OWNER_SILENCE_MS;

/// An owner's claim to a run that a new holder has found.
#[derive(Debug, Copy, Clone, Serialize, Deserialize)]
pub struct Claim {
    /// The resources that the task needs.
    pub need: Resources,
    /// The ownership epoch of the job's shard; 0 if the job is not stored.
    pub epoch: u64,
}

/// The runs that were found on a minion when it was first held.
#[derive(Debug, Copy, Clone)]
pub(crate) struct Adoption {
    /// When the runs were found.
    at: Moment,
    /// The number of runs that were found.
    found: usize,
    /// The number of them that were claimed.
    claimed: usize,
}

impl HeldMinion {
    /// Logs the adoption once every run that was found has been claimed or stopped, or
    /// has ended.
    fn log_settled_adoption(&mut self, now: Moment, minion: &MinionId) {
        let Some(Adoption { at, found, claimed }) = self.adoption else { return };
        if self.unsettled_runs().unclaimed == 0 {
            self.adoption = None;
            info!(target: "minion", minion:% = minion, token = self.fencing_token,
                claimed, unclaimed = found - claimed, after_ms = now.since(at);
                "found runs settled");
        }
    }
}

impl Engine {
    /// Adopts the runs on a newly held minion and announces them to their owners.
    pub(crate) fn adopt(
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
            let mut run = Run::found(now);
            run.checkpoint.clone_from(&found.checkpoint);
            held.runs.insert(found.run, run);
        }
        held.adoption = (!active.is_empty()).then_some(Adoption {
            at: now,
            found: active.len(),
            claimed: 0,
        });
        let active: Vec<RunRef> = active.iter().map(|found| found.run).collect();
        if self.shards.may_have_stored_jobs() {
            for end in ended {
                held.unconfirmed.insert(now, end.number, end.report.clone(), false);
            }
        }
        let ended: Vec<EndReport> = ended.iter().map(|end| end.report.clone()).collect();
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
            self.claim_own(key, run);
        }
        for report in ended {
            if self.claim(report.run, None, &minion, fencing_token).is_some() {
                self.run_ended(now, Holder::Local(key), report);
            }
        }
        self.report_unconfirmed(now, true);
    }

    /// Claims a run that was found on a held minion for this instance, if it is the current
    /// run of its task.
    fn claim_own(&mut self, key: MinionKey, run: RunRef) {
        let minion = &self.minions.arena[key];
        let Some(held) = minion.held.as_ref() else { return };
        let (id, fencing_token) = (minion.entry.id.clone(), held.fencing_token);
        if let Some(claim) = self.claim(run, None, &id, fencing_token) {
            self.run_claimed(key, run, RunOwner::Local, claim);
        }
    }

    /// Claims the runs of a shard that were found before this instance owned it.
    pub(crate) fn claim_found_runs(&mut self, shard: ShardId) {
        for (minion, run) in self.unclaimed_runs() {
            if self.shards.shard_of(run.task.job) == shard
                && let Some(&key) = self.minions.by_id.get(&minion)
            {
                self.claim_own(key, run);
            }
        }
    }

    /// Returns the runs on held minions that no owner has claimed, with their minions.
    pub(crate) fn unclaimed_runs(&self) -> Vec<(MinionId, RunRef)> {
        let held = self.minions.held();
        let runs = held.flat_map(|(_, minion, held)| {
            let unclaimed =
                held.runs.iter().filter(|(_, run)| run.owner == RunOwner::Unclaimed);
            unclaimed.map(|(&run, _)| (minion.entry.id.clone(), run))
        });
        runs.collect()
    }

    /// Returns the announcements of active runs under the fencing tokens of their minions,
    /// one for each minion.
    pub(crate) fn announcements(
        &self,
        runs: impl Iterator<Item = (MinionId, RunRef)>,
    ) -> Vec<Message> {
        let mut by_minion: BTreeMap<MinionId, Vec<RunRef>> = BTreeMap::new();
        for (minion, run) in runs {
            by_minion.entry(minion).or_default().push(run);
        }
        let announcement = |(minion, active): (MinionId, Vec<RunRef>)| {
            let key = self.minions.by_id.get(&minion)?;
            let fencing_token = self.minions.arena[*key].held.as_ref()?.fencing_token;
            Some(Message::Adopted { minion, fencing_token, active, ended: Vec::new() })
        };
        by_minion.into_iter().filter_map(announcement).collect()
    }

    /// Announces the runs that go on after a restart of their minion to their owners, under
    /// the higher fencing token: another instance may have held the minion in between.
    pub(crate) fn announce_kept_runs(&mut self, key: MinionKey, active: &[ActiveRun]) {
        let minion = self.minions.arena[key].entry.id.clone();
        let Some(held) = self.minions.arena[key].held.as_ref() else { return };
        let fencing_token = held.fencing_token;
        let owned = active
            .iter()
            .filter_map(|found| Some((found.run, held.runs.get(&found.run)?.owner)));
        let owned: Vec<(RunRef, RunOwner)> = owned.collect();
        for (run, owner) in owned {
            match owner {
                RunOwner::Local => {
                    self.claim(run, None, &minion, fencing_token);
                }
                RunOwner::Peer(peer) => {
                    let (active, ended) = (vec![run], Vec::new());
                    let minion = minion.clone();
                    let adopted =
                        Message::Adopted { minion, fencing_token, active, ended };
                    self.send(peer, adopted);
                }
                RunOwner::Unclaimed | RunOwner::Nobody => {}
            }
        }
    }

    /// Records the owner of a run that was found on a minion.
    ///
    /// Returns false if the run is not there, has another owner, or is claimed under an
    /// outdated epoch. A repeated claim changes nothing.
    pub(crate) fn run_claimed(
        &mut self,
        key: MinionKey,
        run: RunRef,
        owner: RunOwner,
        claim: Claim,
    ) -> bool {
        // A later owner of the shard received no report of this run and starts the task
        // again.
        let shard = self.shards.shard_of(run.task.job);
        if claim.epoch > 0 && !self.shards.note_epoch(shard, claim.epoch) {
            return false;
        }
        let Some(held) = self.minions.arena[key].held.as_mut() else { return false };
        match held.runs.get_mut(&run) {
            Some(entry) if entry.owner == RunOwner::Unclaimed => {
                entry.owner = owner;
                entry.need = claim.need;
                entry.epoch = claim.epoch;
                if let Some(adoption) = &mut held.adoption {
                    adoption.claimed += 1;
                }
                true
            }
            Some(entry) => entry.owner == owner,
            None => false,
        }
    }

    /// Handles a peer's claim to a run that this instance found.
    pub(crate) fn claimed_by_peer(
        &mut self,
        peer: PeerKey,
        minion: &MinionId,
        run: RunRef,
        claim: Claim,
    ) {
        let owner = RunOwner::Peer(peer);
        let key = self.minions.by_id.get(minion).copied();
        if !key.is_some_and(|key| self.run_claimed(key, run, owner, claim)) {
            // The run's end was sent before, or another instance holds the minion by now.
            let claimer = self.member_of(peer).map(Member::to_string);
            info!(target: "minion", minion:% = minion, run:% = run.task,
                number = run.run, peer:? = claimer;
                "claimed run is not here; releasing it");
            self.send(peer, Message::Released(run));
        }
    }

    /// Stops the runs whose owner has been silent for too long, and those that no owner
    /// has claimed in time, logs the adoptions that are settled, and notes whether runs of
    /// this instance may be extended.
    pub(crate) fn stop_orphans(&mut self, now: Moment) {
        let peers = &self.peers.arena;
        let last_echo = |peer: PeerKey| peers.get(peer).and_then(|it| it.last_echoed_at);
        let silent = |peer: PeerKey, reassigned: Moment| {
            let echoed = last_echo(peer).unwrap_or_default();
            now.since(echoed.max(reassigned)) > OWNER_SILENCE_MS
        };
        let event_loop_late = self.event_loop.is_late(now);
        for key in self.minions.held_keys().to_vec() {
            let minion = &mut self.minions.arena[key];
            let Some(held) = minion.held.as_mut() else { continue };
            held.event_loop_late = event_loop_late;
            let claim_window_ms = held.claim_window_ms();
            for (run_ref, run) in &mut held.runs {
                let orphan = match run.owner {
                    RunOwner::Peer(peer) => silent(peer, run.reassigned),
                    RunOwner::Unclaimed => now.since(run.since) > claim_window_ms,
                    RunOwner::Local | RunOwner::Nobody => false,
                };
                if orphan && run.request_stop(now) {
                    let echo = run.owner.peer().and_then(last_echo);
                    let echo_age_ms = echo.map(|echo| now.since(echo));
                    warn!(target: "minion", minion:% = minion.entry.id,
                        run:% = run_ref.task, number = run_ref.run, owner:? = run.owner, echo_age_ms,
                        age_ms = now.since(run.since);
                        "stopping a run without a live owner");
                }
            }
            held.log_settled_adoption(now, &minion.entry.id);
        }
    }

    /// Records that the holder of a run has lost the minion; a new holder may adopt the
    /// run.
    ///
    /// The task is not placed again before that, or before the run has certainly ended.
    pub(crate) fn holder_lost(&mut self, now: Moment, holder: Holder, run: RunRef) {
        if let Some((job, task)) = self.current_task(run, holder)
            && let gone_ms = gone_after_ms(job)
            && let Some(placement) = job.tasks[task].placement_mut()
        {
            placement.gone_at.get_or_insert(now + gone_ms);
            let minion = placement.minion.and_then(|key| self.minions.arena.get(key));
            let minion = minion.map(|minion| minion.entry.id.as_str());
            let peer = holder.peer().and_then(|peer| self.member_of(peer));
            let peer = peer.map(Member::to_string);
            info!(target: "job", request_id:% = run.task.job, run:% = run.task,
                number = run.run, minion, peer:? = peer;
                "the holder of a run has lost the minion");
        }
    }

    /// Claims a run that a new holder has found, if it is the current run of its task.
    ///
    /// Announcements can arrive late: an earlier holder must not replace a later one, nor
    /// this instance while it holds the minion under a higher fencing token itself.
    pub(crate) fn claim(
        &mut self,
        run: RunRef,
        peer: Option<PeerKey>,
        minion: &MinionId,
        fencing_token: u64,
    ) -> Option<Claim> {
        let key = self.minions.by_id.get(minion).copied()?;
        let held = self.minions.arena[key].held.as_ref();
        // A peer may have the token of this instance, since it holds only a hash of the
        // member; the minion refuses neither of the two.
        let outranked = held.is_some_and(|held| match peer {
            Some(_) => held.fencing_token >= fencing_token,
            None => held.fencing_token > fencing_token,
        });
        if outranked {
            return None;
        }
        self.adopt_current_run(run, key);
        let (job, task) = self.placed_task(run)?;
        let placement = job.tasks[task].placement_mut()?;
        if placement.minion != Some(key) || placement.fencing_token > fencing_token {
            return None;
        }
        placement.fencing_token = fencing_token;
        placement.holder = peer.map_or(Holder::Local(key), Holder::Peer);
        placement.gone_at = None;
        Some(Claim { need: job.step_of(task).need, epoch: job.epoch() })
    }

    /// Makes a run the current one of its task if the shard is being taken over, when the
    /// runs of the earlier owner become known.
    fn adopt_current_run(&mut self, run: RunRef, key: MinionKey) {
        let id = run.task.occurrence_ref();
        let Some(job) = self.jobs.get_mut(&id).filter(|job| job.is_stored()) else {
            return;
        };
        let shard = self.shards.owned.get(&self.shards.shard_of(id.job));
        let settling = shard.is_some_and(|it| matches!(it.stage, Stage::Reconciling(_)));
        let Some(task) = job.position(run.task).filter(|_| settling) else { return };
        let entry = &mut job.tasks[task];
        if entry.is_waiting() && run.run >= entry.last_run {
            let placement =
                Placement::new(Holder::Local(key), Some(key), Moment::default());
            entry.place(run.run, placement);
            job.start_ordered = true;
        }
    }

    /// Handles a peer's announcement of the runs that it found on a minion.
    pub(crate) fn adopted_by_peer(
        &mut self,
        now: Moment,
        peer: PeerKey,
        (minion, fencing_token): (&MinionId, u64),
        active: Vec<RunRef>,
        ended: Vec<EndReport>,
    ) {
        for run in active {
            if let Some(claim) = self.claim(run, Some(peer), minion, fencing_token) {
                let minion = minion.clone();
                self.send(peer, Message::Claimed { minion, run, claim });
            }
        }
        for report in ended {
            if self.claim(report.run, Some(peer), minion, fencing_token).is_some() {
                self.run_ended(now, Holder::Peer(peer), report);
            }
        }
    }
}
