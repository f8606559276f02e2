//! How an instance becomes the owner of shards, and stops being it.
//!
//! The log decides who the owner is: a new one appends a record under the condition that the
//! log still ends where it has read to. An earlier owner learns of it from a message or from
//! its next append. Until then it may only act while it is a member of the group, and a new
//! one places nothing until the runs of an earlier one are known or gone.

use std::mem;

use log::{info, warn};

use crate::effect::{Effect, LogRead, LogTicket};
use crate::engine::Engine;
use crate::id::{JobId, OccurrenceRef, RunRef};
use crate::message::{Message, ShardRun};
use crate::minion::RunOwner;
use crate::peer::{Peer, PeerKey};
use crate::shard::{Check, Reading, Settling, Shard, ShardId, Stage, StoreLimits};
use crate::shard_log::{AppendAnswer, AppendOutcome, ShardLog};
use crate::stored_job::LogRecord;
use crate::submission::JobState;
use crate::task::{Holder, Placement, TaskState};
use crate::time::Moment;
use crate::timing::{
    AUTHORITY_GRACE_MS, JOIN_AUTHORITY_MS, OWNER_SILENCE_MS, RUN_GONE_MS, SETTLE_LIMIT_MS,
};

/// The pause before a shard that another instance has taken is taken back.
const RETAKE_MS: u64 = 1_000;

/// The pause before a read of a log that was not answered is sent again.
const READ_RETRY_MS: u64 = 200;

/// How long the outcome of a stored job is known.
const OUTCOME_MEMORY_MS: u64 = 180_000;

/// How long the runs are known that have done the tasks of a job that has ended.
const DONE_RUNS_MEMORY_MS: u64 = 30_000;

/// The most runs of a shard that are remembered as taken for lost.
const MAX_SUPERSEDED: usize = 2_048;

/// The time between two looks for jobs whose records in the log would expire.
const UPKEEP_INTERVAL_MS: u64 = 5_000;

/// The share of the time for which records are kept after which a job is written again.
const REWRITE_SHARE: u64 = 3;

/// What a read of a log has returned.
#[derive(Debug, Clone)]
pub enum LogPage {
    /// Records, in order; those that cannot be read are left out.
    Records {
        /// The records.
        records: Vec<LogRecord>,
        /// The offset behind them.
        next_offset: u64,
        /// The offset behind the last record of the log.
        end_offset: u64,
    },
    /// The records at this offset have expired.
    Expired {
        /// The first that is kept.
        first_offset: u64,
    },
    /// No answer, or one that nothing can be read from.
    Lost,
}

impl Engine {
    /// Sets what the platform's store allows; all instances have to be told the same.
    pub fn set_store_limits(&mut self, limits: StoreLimits) {
        self.shards.set_limits(limits);
    }

    /// Sets the time of day, in milliseconds since the Unix epoch.
    pub fn set_wall_clock(&mut self, now: Moment, unix_ms: u64) {
        self.wall_offset_ms = unix_ms as i64 - now.0 as i64;
    }

    /// Notes that the store has answered a join of this instance, sent at `sent`.
    pub fn joined(&mut self, sent: Moment) {
        self.shards.joined_at = self.shards.joined_at.max(Some(sent));
    }

    /// Takes whether the store has ever had stored jobs, as far as it remembers.
    ///
    /// Until this is known, the ends that are found on minions are not noted: they may be all
    /// that is left of tasks that are done.
    pub fn stored_use_known(&mut self, now: Moment, used: bool) {
        match used {
            true => self.shards.note_use(),
            false if self.shards.note_no_use() => self.confirm_all(),
            false => {}
        }
        self.settle(now);
    }

    /// Returns whether this instance may act as the owner of its shards.
    ///
    /// No other instance takes them while the group names this one, or while all members hear
    /// it: the latter lets jobs go on while the store is away.
    pub(crate) fn has_authority(&self, now: Moment) -> bool {
        let Some(joined_at) = self.shards.joined_at else { return false };
        let members = self.peers.arena.values();
        let mut members =
            members.filter(|peer| peer.listed && !peer.ended && !peer.leaving);
        let heard = |peer: &Peer| {
            peer.echoed.is_some_and(|echoed| now.since(echoed) < OWNER_SILENCE_MS)
        };
        self.review.joined
            && (now.since(joined_at) < JOIN_AUTHORITY_MS || members.all(heard))
    }

    /// Takes and gives up shards, as the members decide.
    pub(crate) fn review_shards(&mut self, now: Moment) {
        // An instance that was suspended has to take its shards over again, whether or not it
        // has authority by now: others may have taken note of the ends of its runs.
        if now.since(self.shards.authority_at) >= AUTHORITY_GRACE_MS {
            for id in self.shards.ids() {
                self.drop_shard(now, id, true);
            }
        }
        if !self.has_authority(now) {
            return;
        }
        self.shards.authority_at = now;
        for id in self.shards.ids() {
            let own = self.shards.owner(id) == Some(&self.member);
            let lost_at = self.shards.lost.get(&id);
            let resting = lost_at.is_some_and(|&at| now.since(at) < RETAKE_MS);
            match (own, self.shards.owned.contains_key(&id)) {
                (true, false) if resting => {}
                (true, false) => {
                    self.shards.owned.insert(id, Shard::new(0, now));
                }
                (false, true) => self.drop_shard(now, id, false),
                (true, true) => self.keep_records(now, id),
                (false, false) => {}
            }
        }
    }

    /// Gives up a shard. Its runs go on for the next owner, unless they are to be stopped.
    pub(crate) fn drop_shard(&mut self, now: Moment, id: ShardId, stop_runs: bool) {
        let Some(mut shard) = self.shards.owned.remove(&id) else { return };
        if shard.epoch > 0 {
            info!(target: "shard", shard = id.0, epoch = shard.epoch,
                jobs = shard.jobs.len(), stop_runs; "shard given up");
        }
        let jobs: Vec<JobId> = shard.jobs.keys().copied().collect();
        for job in jobs {
            self.drop_live(now, job, stop_runs);
        }
        for requester in shard.take_requesters() {
            self.tell(now, requester, None);
        }
    }

    /// Gives up a shard that another instance owns. Members may not agree yet on whose it is;
    /// it is not taken back at once, or two of them would take it in turn.
    fn lose_shard(&mut self, now: Moment, id: ShardId) {
        self.drop_shard(now, id, false);
        self.shards.lost.insert(id, now);
    }

    /// Makes the calls to logs that are due, and lets tasks be placed where the takeover has
    /// ended.
    pub(crate) fn drive_shards(&mut self, now: Moment) {
        // The log that has waited longest comes first, or some would never get a turn.
        let owned = self.shards.owned.iter();
        let mut waits: Vec<(Moment, ShardId)> =
            owned.map(|(&id, shard)| (shard.log.sent_at(), id)).collect();
        waits.sort_unstable();
        let rate_per_s = self.shards.appends_per_s();
        self.shards.budget.refill(now, rate_per_s);
        for (_, id) in waits {
            let ticket = self.shards.next_ticket();
            let Some(shard) = self.shards.owned.get_mut(&id) else { continue };
            if let Some(from_offset) = shard.take_read(now, ticket) {
                let read = LogRead { ticket, shard: id, from_offset };
                self.effects.push(Effect::ReadLog(read));
            } else if shard.is_append_due(now)
                && self.shards.budget.take()
                && let Some(append) = shard.take_append(now, id, ticket)
            {
                self.effects.push(Effect::Append(append));
            }
            self.open_settled(now, id);
            self.begin_due(now, id);
        }
    }

    /// Returns when [`Engine::drive_shards`] has something to do.
    pub(crate) fn shards_due(&self) -> Option<Moment> {
        let budget_due = self.shards.budget.due(self.shards.appends_per_s());
        let due = self.shards.owned.values().filter_map(Shard::due).min();
        due.map(|due| due.max(budget_due))
    }

    /// Takes the answer to a read of a log.
    pub fn log_read(
        &mut self,
        now: Moment,
        id: ShardId,
        ticket: LogTicket,
        page: LogPage,
    ) {
        let Some(shard) = self.shards.owned.get_mut(&id) else { return };
        if shard.check.as_ref().is_some_and(|check| check.ticket == Some(ticket)) {
            self.checked(now, id, page);
            return self.settle(now);
        }
        let Stage::Reading(reading) = &mut shard.stage else { return };
        if reading.ticket.take() != Some(ticket) {
            return;
        }
        match page {
            LogPage::Lost => reading.not_before = now + READ_RETRY_MS,
            LogPage::Expired { first_offset } => reading.next_offset = first_offset,
            LogPage::Records { records, next_offset, end_offset } => {
                reading.next_offset = next_offset;
                for record in &records {
                    shard.replay(now, record);
                }
                if next_offset >= end_offset {
                    self.log_known(id, next_offset);
                }
            }
        }
        self.settle(now);
    }

    /// Goes on when the log was read to its end.
    fn log_known(&mut self, id: ShardId, end_offset: u64) {
        if end_offset > 0 {
            self.shards.note_use();
        }
        let Some(shard) = self.shards.owned.get_mut(&id) else { return };
        shard.log = ShardLog::new(end_offset);
        shard.stage = Stage::Dormant;
        let open = shard.jobs.values().any(|entry| entry.job.outcome.is_none());
        if open || !shard.ops.is_empty() {
            self.claim_shard(id);
        }
    }

    /// Begins to write the record that makes this instance the owner.
    pub(crate) fn claim_shard(&mut self, id: ShardId) {
        let owner = self.member.id();
        let Some(shard) = self.shards.owned.get_mut(&id) else { return };
        shard.stage = Stage::Claiming;
        shard.log.push(LogRecord::Owned { epoch: shard.epoch + 1, owner });
    }

    /// Takes the answer to an append.
    pub fn log_appended(
        &mut self,
        now: Moment,
        id: ShardId,
        ticket: LogTicket,
        answer: AppendAnswer,
    ) {
        let Some(shard) = self.shards.owned.get_mut(&id) else { return };
        match shard.log.answered(now, ticket, answer) {
            AppendOutcome::Written(records) => self.commit(now, id, records),
            AppendOutcome::Undecided => {}
            AppendOutcome::Unclear { offset } => {
                info!(target: "shard", shard = id.0, offset; "the log has grown");
                shard.check = Some(Check { ticket: None, not_before: now, offset });
            }
        }
        self.settle(now);
    }

    /// Finds out from the log's records whether an append was carried out, or who else has
    /// written.
    fn checked(&mut self, now: Moment, id: ShardId, page: LogPage) {
        let Some(shard) = self.shards.owned.get_mut(&id) else { return };
        let Some(check) = &mut shard.check else { return };
        check.ticket = None;
        let records = match page {
            LogPage::Records { records, .. } => records,
            LogPage::Expired { .. } => Vec::new(),
            LogPage::Lost => {
                check.not_before = now + READ_RETRY_MS;
                return;
            }
        };
        shard.check = None;
        match shard.log.resolve(&records) {
            AppendOutcome::Written(records) => self.commit(now, id, records),
            AppendOutcome::Undecided => {}
            AppendOutcome::Unclear { offset } if shard.is_claimed() => {
                warn!(target: "shard", shard = id.0, epoch = shard.epoch, offset;
                    "another instance has written to the log");
                self.lose_shard(now, id);
            }
            AppendOutcome::Unclear { offset } => {
                shard.log = ShardLog::default();
                shard.stage = Stage::Reading(Reading::from_offset(offset, now));
            }
        }
    }

    /// Goes on when the log names this instance as the owner.
    pub(crate) fn claimed(&mut self, now: Moment, id: ShardId) {
        let present = |(key, peer): (PeerKey, &Peer)| {
            let present = !peer.ended && !peer.leaving && peer.is_present(now);
            present.then_some(key)
        };
        let awaited = self.peers.arena.iter().filter_map(present).collect();
        let Some(shard) = self.shards.owned.get_mut(&id) else { return };
        shard.epoch += 1;
        let epoch = shard.epoch;
        shard.stage = Stage::Settling(Settling { since: now, awaited });
        let open: Vec<JobId> = shard
            .jobs
            .iter()
            .filter(|(_, entry)| entry.job.outcome.is_none())
            .map(|(&job, _)| job)
            .collect();
        if open.is_empty() {
            shard.stage = Stage::Open;
        }
        let ops = mem::take(&mut shard.ops);
        info!(target: "shard", shard = id.0, epoch, jobs = shard.jobs.len(),
            open = open.len(); "shard owned");
        self.shards.note_use();
        if !self.shards.marked {
            self.shards.marked = true;
            self.effects.push(Effect::MarkUse);
        }
        self.shards.note_epoch(id, epoch);
        self.shards.claimers.remove(&id);
        for job in open {
            self.begin_stored(now, id, job);
        }
        self.begin_due(now, id);
        self.broadcast(&Message::ShardTaken { shard: id, epoch });
        for (holder, run) in self.runs_of_shard(now, id, epoch, RunOwner::Local) {
            self.take_run(now, holder, run);
        }
        for (requester, job, op) in ops {
            self.perform(now, requester, job, op);
        }
    }

    /// Takes note of a new owner of a shard, and tells it the runs of the shard.
    pub(crate) fn shard_taken(
        &mut self,
        now: Moment,
        peer: PeerKey,
        shard: ShardId,
        epoch: u64,
    ) {
        self.shards.note_use();
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
        self.shards.claimers.insert(shard, peer);
        let runs = self.runs_of_shard(now, shard, epoch, RunOwner::Peer(peer));
        let runs = runs.into_iter().map(|(_, run)| run).collect();
        self.send(peer, Message::ShardRuns { shard, epoch, runs });
        self.report_unconfirmed(now, true);
    }

    /// Gives all runs of a shard on held minions to its new owner, and returns them.
    fn runs_of_shard(
        &mut self,
        now: Moment,
        shard: ShardId,
        epoch: u64,
        owner: RunOwner,
    ) -> Vec<(Holder, ShardRun)> {
        let mut found = Vec::new();
        for key in self.minions.held_keys().to_vec() {
            let minion = &mut self.minions.arena[key];
            let Some(held) = minion.held.as_mut() else { continue };
            for (&task, run) in &mut held.runs {
                let stored = run.epoch > 0 && run.epoch <= epoch;
                if !stored || self.shards.of(task.job) != shard {
                    continue;
                }
                run.owner = owner;
                run.epoch = epoch;
                run.claimed = now;
                let run = ShardRun {
                    run: run.run_ref(task),
                    minion: minion.entry.id.clone(),
                    checkpoint: run.checkpoint.clone(),
                };
                found.push((Holder::Local(key), run));
            }
        }
        found
    }

    /// Takes what a holder has told of the runs of a shard.
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
        if let Stage::Settling(settling) = &mut shard.stage {
            settling.awaited.remove(&peer);
        }
        for run in runs {
            self.take_run(now, Holder::Peer(peer), run);
        }
    }

    /// Takes over a run that an earlier owner has ordered, or stops it if it is of no use.
    fn take_run(&mut self, now: Moment, holder: Holder, found: ShardRun) {
        let ShardRun { run, minion, checkpoint } = found;
        let key = self.minions.by_id.get(&minion).copied();
        let job = self.jobs.get_mut(&run.task.occurrence_ref());
        let task = job.and_then(|job| Some((job.position(run.task)?, job)));
        let wanted = match task {
            Some((task, job)) => {
                let entry = &mut job.tasks[task];
                entry.checkpoint.update(&checkpoint);
                match &mut entry.state {
                    TaskState::Placed(placement) if entry.last_run == run.run => {
                        placement.holder = holder;
                        true
                    }
                    TaskState::Waiting | TaskState::Blocked => {
                        entry.last_run = entry.last_run.max(run.run);
                        let usable = entry.last_run == run.run;
                        if usable {
                            let placement = Placement::new(holder, key, now);
                            entry.state = TaskState::Placed(placement);
                            job.ordered = true;
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
                "run of an earlier owner is stopped");
            self.stop_at(now, holder, run);
        }
    }

    /// Lets the tasks of a shard be placed once holders have told their runs and those of
    /// lost holders are gone.
    fn open_settled(&mut self, now: Moment, id: ShardId) {
        let Some(shard) = self.shards.owned.get_mut(&id) else { return };
        let Stage::Settling(settling) = &mut shard.stage else { return };
        let peers = &self.peers.arena;
        settling.awaited.retain(|&key| {
            peers.get(key).is_some_and(|peer| !peer.ended && peer.is_present(now))
        });
        let waited_ms = now.since(settling.since);
        let settled = settling.awaited.is_empty() && waited_ms >= RUN_GONE_MS;
        if settled || waited_ms >= SETTLE_LIMIT_MS {
            info!(target: "shard", shard = id.0, epoch = shard.epoch, waited_ms,
                silent = settling.awaited.len(); "shard open");
            shard.stage = Stage::Open;
            self.placement_due = true;
            self.break_partial_gangs(now);
        }
    }

    /// Returns whether the tasks of a job may be placed; those of stored jobs only by the
    /// owner of their shard.
    pub(crate) fn may_place(&self, now: Moment, id: OccurrenceRef) -> bool {
        let Some(job) = self.jobs.get(&id) else { return false };
        if !job.is_stored() {
            return true;
        }
        let shard = self.shards.owned.get(&self.shards.of(id.job));
        shard.is_some_and(|shard| matches!(shard.stage, Stage::Open))
            && self.has_authority(now)
    }

    /// Remembers a run of a stored job that is taken for lost. If it is done nevertheless, its
    /// end must not be noted.
    pub(crate) fn note_superseded(&mut self, run: RunRef) {
        let id = self.shards.of(run.task.job);
        if let Some(shard) = self.shards.owned.get_mut(&id) {
            shard.superseded.insert(run);
            while shard.superseded.len() > MAX_SUPERSEDED {
                shard.superseded.pop_first();
            }
        }
    }

    /// Writes jobs again before their records expire, and forgets old outcomes.
    fn keep_records(&mut self, now: Moment, id: ShardId) {
        let rewrite_ms = self.shards.keep_ms() / REWRITE_SHARE;
        let Some(shard) = self.shards.owned.get_mut(&id) else { return };
        // A record that is written again must not lack an end that is being written.
        let idle = shard.is_claimed() && shard.log.is_idle();
        if !idle || now.since(shard.kept_at) < UPKEEP_INTERVAL_MS {
            return;
        }
        shard.kept_at = now;
        shard.jobs.retain(|_, entry| {
            entry.closed_at.is_none_or(|at| now.since(at) < OUTCOME_MEMORY_MS)
        });
        for entry in shard.jobs.values_mut() {
            if entry.closed_at.is_some_and(|at| now.since(at) >= DONE_RUNS_MEMORY_MS) {
                entry.job.done_runs.clear();
            }
            if now.since(entry.written_at) >= rewrite_ms {
                entry.written_at = now;
                shard.log.push(LogRecord::Job(Box::new(entry.job.clone())));
            }
        }
    }

    /// Returns the jobs of queues that have not started, among the stored ones here.
    pub(crate) fn pending_stored(&self) -> Vec<(Box<str>, u64)> {
        let mut pending: Vec<(Box<str>, u64)> = Vec::new();
        let waits =
            |job: &&crate::job::Job| job.is_stored() && job.state() == JobState::Pending;
        for job in self.jobs.values().filter(waits) {
            let name = &job.queue.name;
            match pending.iter_mut().find(|(queue, _)| queue == name) {
                Some((_, count)) => *count += 1,
                None => pending.push((name.clone(), 1)),
            }
        }
        pending
    }
}
