//! Handover of the active runs of a shard from one owner to the next.

use std::mem;

use log::{info, warn};

use crate::engine::Engine;
use crate::holder::minion::{MinionKey, RunOwner};
use crate::id::RunRef;
use crate::membership::peer::PeerKey;
use crate::message::{Message, ShardRun};
use crate::owner::task::{Holder, Placement, TaskState};
use crate::shard::{LostRun, ShardId, Stage};
use crate::time::Moment;

impl Engine {
    /// Processes the announcement of a shard's new owner, and reports the runs of the
    /// shard to it.
    pub(crate) fn shard_taken(
        &mut self,
        now: Moment,
        peer: PeerKey,
        shard: ShardId,
        epoch: u64,
    ) {
        self.shards.note_stored_jobs();
        if !self.shards.note_epoch(shard, epoch) {
            return;
        }
        if self
            .shards
            .owned
            .get(&shard)
            .is_some_and(|it| it.is_claimed() && it.epoch < epoch)
        {
            self.lose_shard(now, shard);
        }
        self.shards.announced_owners.insert(shard, peer);
        self.reassign_shard_runs(now, shard, epoch, RunOwner::Peer(peer));
        let reports = self.shard_report(peer, shard);
        if let Some(peer) = self.peers.arena.get_mut(peer) {
            reports.into_iter().for_each(|report| peer.push_required(report));
        }
    }

    /// Returns the reports of the runs of all shards that a peer has taken over, in case an
    /// earlier report was lost with the link.
    pub(crate) fn shard_reports_to(&self, peer: PeerKey) -> Vec<Message> {
        let taken = self.shards.announced_owners.iter();
        let taken = taken.filter(|&(_, &owner)| owner == peer);
        taken.flat_map(|(&shard, _)| self.shard_report(peer, shard)).collect()
    }

    /// Returns the report of a shard to its new owner: the unconfirmed ends of its runs, and
    /// the runs that are active.
    ///
    /// The ends come first. With the list of active runs, the owner knows all that this
    /// instance does, and may start the other tasks again. The announcements tell it the
    /// fencing tokens, since an earlier holder of a minion may report the same runs.
    fn shard_report(&self, peer: PeerKey, shard: ShardId) -> Vec<Message> {
        let epoch = self.shards.known_epoch(shard);
        let runs = self.runs_of_shard(peer, shard, epoch);
        let reported = runs.iter().map(|it| (it.minion.clone(), it.run));
        let unclaimed = self.unclaimed_runs().into_iter();
        let unclaimed =
            unclaimed.filter(|(_, run)| self.shards.shard_of(run.task.job) == shard);
        let announcements = self.announcements(reported.chain(unclaimed));
        let mut report = self.unconfirmed_ends_of(shard);
        report.push(Message::ShardRuns { shard, epoch, runs });
        report.extend(announcements);
        report
    }

    /// Returns the runs of a shard on held minions that belong to its owner.
    fn runs_of_shard(&self, peer: PeerKey, shard: ShardId, epoch: u64) -> Vec<ShardRun> {
        let held = self.minions.held();
        let runs = held.flat_map(|(_, minion, held)| {
            held.runs.iter().map(move |(&run_ref, run)| (minion, run_ref, run))
        });
        runs.filter(|(_, run_ref, run)| {
            let owned = run.owner == RunOwner::Peer(peer) && run.epoch == epoch;
            owned && self.shards.shard_of(run_ref.task.job) == shard
        })
        .map(|(minion, run, entry)| ShardRun {
            run,
            minion: minion.entry.id.clone(),
            checkpoint: entry.checkpoint.clone(),
        })
        .collect()
    }

    /// Assigns all runs of a shard on held minions to its new owner, and returns them.
    pub(crate) fn reassign_shard_runs(
        &mut self,
        now: Moment,
        shard: ShardId,
        epoch: u64,
        owner: RunOwner,
    ) -> Vec<(MinionKey, ShardRun)> {
        let mut found = Vec::new();
        for key in self.minions.held_keys().to_vec() {
            let minion = &mut self.minions.arena[key];
            let Some(held) = minion.held.as_mut() else { continue };
            for (&run_ref, run) in &mut held.runs {
                let stored = run.epoch > 0 && run.epoch <= epoch;
                if !stored || self.shards.shard_of(run_ref.task.job) != shard {
                    continue;
                }
                run.owner = owner;
                run.epoch = epoch;
                run.reassigned = now;
                let run = ShardRun {
                    run: run_ref,
                    minion: minion.entry.id.clone(),
                    checkpoint: run.checkpoint.clone(),
                };
                found.push((key, run));
            }
        }
        found
    }

    /// Processes a holder's report of the runs of a shard.
    pub(crate) fn shard_runs(
        &mut self,
        now: Moment,
        peer: PeerKey,
        id: ShardId,
        epoch: u64,
        runs: Vec<ShardRun>,
    ) {
        let Some(shard) = self.shards.owned.get_mut(&id) else { return };
        if shard.epoch != epoch {
            return;
        }
        if let Stage::Reconciling(reconciliation) = &mut shard.stage {
            reconciliation.awaited.remove(&peer);
        }
        for run in runs {
            self.adopt_shard_run(now, Holder::Peer(peer), run);
        }
    }

    /// Adopts a run of an earlier owner on a minion that this instance holds.
    ///
    /// The fencing token is noted with it, so that the report of an earlier holder, which
    /// may still arrive, doesn't replace this instance.
    pub(crate) fn adopt_own_run(&mut self, now: Moment, key: MinionKey, found: ShardRun) {
        let (run, minion) = (found.run, found.minion.clone());
        self.adopt_shard_run(now, Holder::Local(key), found);
        let held = self.minions.arena[key].held.as_ref();
        if let Some(fencing_token) = held.map(|held| held.fencing_token) {
            self.claim(run, None, &minion, fencing_token);
        }
    }

    /// Adopts a run that an earlier owner has ordered, or stops it if it is of no use.
    pub(crate) fn adopt_shard_run(
        &mut self,
        now: Moment,
        holder: Holder,
        found: ShardRun,
    ) {
        let ShardRun { run, minion, checkpoint } = found;
        let key = self.minions.by_id.get(&minion).copied();
        let held_here = key.is_some_and(|key| self.minions.arena[key].held.is_some());
        let job = self.jobs.get_mut(&run.task.occurrence_ref());
        let task = job.and_then(|job| Some((job.position(run.task)?, job)));
        let wanted = match task {
            Some((task, job)) => {
                let entry = &mut job.tasks[task];
                entry.checkpoint.update(&checkpoint);
                let current = entry.last_run == run.run;
                match entry.state() {
                    TaskState::Placed(mut placement) if current => {
                        // A holder that has announced the run is a later one than any that
                        // reports it.
                        if placement.fencing_token == 0 {
                            if placement.holder != holder {
                                info!(target: "job", request_id:% = run.task.job,
                                    run:% = run.task, number = run.run, minion:% = minion,
                                    held_here, earlier:? = placement.holder,
                                    reported:? = holder;
                                    "a report replaces the holder of a run");
                            }
                            placement.holder = holder;
                        }
                        if placement.holder == holder {
                            placement.gone_at = None;
                        }
                        entry.place(run.run, placement);
                        true
                    }
                    TaskState::Waiting | TaskState::Blocked => {
                        entry.last_run = entry.last_run.max(run.run);
                        let usable = entry.last_run == run.run;
                        if usable {
                            let placement = Placement::new(holder, key, now);
                            entry.place(run.run, placement);
                            job.start_ordered = true;
                        }
                        usable
                    }
                    TaskState::Placed(_) | TaskState::Done => false,
                }
            }
            None => false,
        };
        if !wanted {
            warn!(target: "job", request_id:% = run.task.job, run:% = run.task;
                "stopping a run of an earlier owner that is not needed");
            self.stop_at(now, holder, run);
        }
    }

    /// Schedules the stops, at a given time, of all runs of a shard that another instance
    /// owns.
    ///
    /// The next owner may not know of a holder that has lost the store, which would renew
    /// the runs for as long as this instance is alive. The delay lets holders learn of the
    /// next owner first.
    pub(crate) fn schedule_stops(&mut self, stop_at: Moment, id: ShardId) {
        let Some(shard) = self.shards.owned.get(&id) else { return };
        let jobs = shard.jobs.keys().flat_map(|&job| self.jobs.occurrences(job));
        let runs = jobs.flat_map(|job| {
            let placed = job.tasks.iter().enumerate();
            placed.filter_map(|(position, task)| {
                Some((task.placement()?.holder, job.run_ref(position)))
            })
        });
        let stops = runs.map(|(holder, run)| LostRun { shard: id, holder, run, stop_at });
        let stops: Vec<LostRun> = stops.collect();
        self.shards.lost_runs.extend(stops);
    }

    /// Stops the runs of lost shards that are due and that no next owner has taken over.
    pub(crate) fn stop_lost_runs(&mut self, now: Moment) {
        let lost = mem::take(&mut self.shards.lost_runs);
        let (due, later) = lost.into_iter().partition(|lost| lost.stop_at <= now);
        self.shards.lost_runs = later;
        let due: Vec<LostRun> = due;
        for LostRun { shard, holder, run, .. } in due {
            let owned_again = self.shards.owned.contains_key(&shard);
            match holder {
                _ if owned_again => {}
                Holder::Local(key) if !self.owns_run(key, run) => {}
                Holder::Local(_) | Holder::Peer(_) => self.stop_at(now, holder, run),
            }
        }
    }

    /// Returns whether this instance is the owner of a run on a minion that it holds.
    fn owns_run(&self, key: MinionKey, run: RunRef) -> bool {
        let held = self.minions.arena.get(key).and_then(|minion| minion.held.as_ref());
        let entry = held.and_then(|held| held.runs.get(&run));
        entry.is_some_and(|it| it.owner == RunOwner::Local)
    }
}
