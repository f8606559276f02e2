//! How an instance becomes the owner of shards, and stops being it.
//!
//! The log decides who the owner is: a new one appends a record under the condition that the
//! log still ends where it has read to. An earlier owner learns of it from a message or from
//! its next append. Until then it may only act while it is a member of the group, and a new
//! one places nothing until the runs of an earlier one are known or gone.

use std::mem;

use log::{info, warn};

use crate::effect::{Effect, LogCallNumber, LogRead};
use crate::engine::Engine;
use crate::id::{JobId, OccurrenceRef};
use crate::message::Message;
use crate::minion::RunOwner;
use crate::peer::{Peer, PeerKey};
use crate::shard::{
    Reading, Reconciliation, Shard, ShardId, Stage, StoreLimits, TailCheck,
};
use crate::shard_log::{AppendAnswer, AppendOutcome, ShardLog};
use crate::stored_job::LogRecord;
use crate::submission::JobState;
use crate::time::Moment;
use crate::timing::{RECONCILE_TIMEOUT_MS, RUN_GONE_MS};

/// The pause before a read of a log that was not answered is sent again.
const READ_RETRY_MS: u64 = 200;

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
    pub fn stored_jobs_known(&mut self, now: Moment, used: bool) {
        match used {
            true => self.shards.note_stored_jobs(),
            false if self.shards.note_no_stored_jobs() => self.confirm_all_ends(),
            false => {}
        }
        self.advance(now);
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
            self.drop_occurrences(now, job, stop_runs);
        }
        for requester in shard.take_requesters() {
            self.reply(now, requester, None);
        }
    }

    /// Gives up a shard that another instance owns. Members may not agree yet on whose it is;
    /// it is not taken back at once, or two of them would take it in turn.
    pub(crate) fn lose_shard(&mut self, now: Moment, id: ShardId) {
        self.drop_shard(now, id, false);
        self.shards.lost_at.insert(id, now);
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
                let read = LogRead { number: ticket, shard: id, from_offset };
                self.effects.push(Effect::ReadLog(read));
            } else if shard.is_append_due(now)
                && self.shards.budget.take()
                && let Some(append) = shard.take_append(now, id, ticket)
            {
                self.effects.push(Effect::Append(append));
            }
            self.open_reconciled(now, id);
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
        ticket: LogCallNumber,
        page: LogPage,
    ) {
        let Some(shard) = self.shards.owned.get_mut(&id) else { return };
        if shard.tail_check.as_ref().is_some_and(|check| check.ticket == Some(ticket)) {
            self.checked(now, id, page);
            return self.advance(now);
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
        self.advance(now);
    }

    /// Goes on when the log was read to its end.
    fn log_known(&mut self, id: ShardId, end_offset: u64) {
        if end_offset > 0 {
            self.shards.note_stored_jobs();
        }
        let Some(shard) = self.shards.owned.get_mut(&id) else { return };
        shard.log = ShardLog::new(end_offset);
        shard.stage = Stage::Unclaimed;
        let open = shard.jobs.values().any(|entry| entry.job.outcome.is_none());
        if open || !shard.queued_ops.is_empty() {
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
        ticket: LogCallNumber,
        answer: AppendAnswer,
    ) {
        let Some(shard) = self.shards.owned.get_mut(&id) else { return };
        match shard.log.answered(now, ticket, answer) {
            AppendOutcome::Written(records) => self.commit(now, id, records),
            AppendOutcome::Pending => {}
            AppendOutcome::Conflict { offset } => {
                info!(target: "shard", shard = id.0, offset; "the log has grown");
                shard.tail_check =
                    Some(TailCheck { ticket: None, not_before: now, offset });
            }
        }
        self.advance(now);
    }

    /// Finds out from the log's records whether an append was carried out, or who else has
    /// written.
    fn checked(&mut self, now: Moment, id: ShardId, page: LogPage) {
        let Some(shard) = self.shards.owned.get_mut(&id) else { return };
        let Some(check) = &mut shard.tail_check else { return };
        check.ticket = None;
        let records = match page {
            LogPage::Records { records, .. } => records,
            LogPage::Expired { .. } => Vec::new(),
            LogPage::Lost => {
                check.not_before = now + READ_RETRY_MS;
                return;
            }
        };
        shard.tail_check = None;
        match shard.log.resolve(&records) {
            AppendOutcome::Written(records) => self.commit(now, id, records),
            AppendOutcome::Pending => {}
            AppendOutcome::Conflict { offset } if shard.is_claimed() => {
                warn!(target: "shard", shard = id.0, epoch = shard.epoch, offset;
                    "another instance has written to the log");
                self.lose_shard(now, id);
            }
            AppendOutcome::Conflict { offset } => {
                shard.log = ShardLog::default();
                shard.stage = Stage::Reading(Reading::from_offset(offset, now));
            }
        }
    }

    /// Goes on when the log names this instance as the owner.
    pub(crate) fn claimed(&mut self, now: Moment, id: ShardId) {
        let present = |(key, peer): (PeerKey, &Peer)| {
            let present = !peer.replaced && !peer.leaving && peer.is_present(now);
            present.then_some(key)
        };
        let awaited = self.peers.arena.iter().filter_map(present).collect();
        let Some(shard) = self.shards.owned.get_mut(&id) else { return };
        shard.epoch += 1;
        let epoch = shard.epoch;
        shard.stage = Stage::Reconciling(Reconciliation { since: now, awaited });
        let open: Vec<JobId> = shard
            .jobs
            .iter()
            .filter(|(_, entry)| entry.job.outcome.is_none())
            .map(|(&job, _)| job)
            .collect();
        if open.is_empty() {
            shard.stage = Stage::Open;
        }
        let ops = mem::take(&mut shard.queued_ops);
        info!(target: "shard", shard = id.0, epoch, jobs = shard.jobs.len(),
            open = open.len(); "shard owned");
        self.shards.note_stored_jobs();
        if !self.shards.stored_jobs_reported {
            self.shards.stored_jobs_reported = true;
            self.effects.push(Effect::RecordStoredJobUse);
        }
        self.shards.note_epoch(id, epoch);
        self.shards.announced_owners.remove(&id);
        for job in open {
            self.begin_stored(now, id, job);
        }
        self.begin_due(now, id);
        self.broadcast(&Message::ShardTaken { shard: id, epoch });
        for (holder, run) in self.reassign_shard_runs(now, id, epoch, RunOwner::Local) {
            self.adopt_shard_run(now, holder, run);
        }
        for (requester, job, op) in ops {
            self.perform_op(now, requester, job, op);
        }
    }

    /// Lets the tasks of a shard be placed once holders have told their runs and those of
    /// lost holders are gone.
    fn open_reconciled(&mut self, now: Moment, id: ShardId) {
        let Some(shard) = self.shards.owned.get_mut(&id) else { return };
        let Stage::Reconciling(settling) = &mut shard.stage else { return };
        let peers = &self.peers.arena;
        settling.awaited.retain(|&key| {
            peers.get(key).is_some_and(|peer| !peer.replaced && peer.is_present(now))
        });
        let waited_ms = now.since(settling.since);
        let settled = settling.awaited.is_empty() && waited_ms >= RUN_GONE_MS;
        if settled || waited_ms >= RECONCILE_TIMEOUT_MS {
            info!(target: "shard", shard = id.0, epoch = shard.epoch, waited_ms,
                silent = settling.awaited.len(); "shard open");
            shard.stage = Stage::Open;
            self.placement_due = true;
            self.stop_partial_gangs(now);
        }
    }

    /// Returns whether the tasks of a job may be placed; those of stored jobs only by the
    /// owner of their shard.
    pub(crate) fn may_place(&self, now: Moment, id: OccurrenceRef) -> bool {
        let Some(job) = self.jobs.get(&id) else { return false };
        if !job.is_stored() {
            return true;
        }
        let shard = self.shards.owned.get(&self.shards.shard_of(id.job));
        shard.is_some_and(|shard| matches!(shard.stage, Stage::Open))
            && self.has_authority(now)
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
