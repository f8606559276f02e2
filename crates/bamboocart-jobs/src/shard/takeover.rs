//! Takeover of shards: how an instance becomes the owner of a shard, and gives it up.
//!
//! The log decides who the owner is: a new owner appends a record on the condition that
//! the log still ends where the owner has read to. The earlier owner learns of it from a
//! message or from its next append. Until then, it may only act while it is a member of
//! the group. The new owner places nothing until all runs of the earlier one are known or
//! gone.

use std::mem;

use log::{info, warn};

use crate::effect::{Effect, LogCallNumber, LogRead};
use crate::engine::Engine;
use crate::holder::minion::RunOwner;
use crate::id::{JobId, OccurrenceRef};
use crate::membership::peer::{Peer, PeerKey};
use crate::message::Message;
use crate::owner::submission::JobState;
use crate::shard::shard_log::{AppendAnswer, AppendOutcome, ShardLog};
use crate::shard::stored_job::LogRecord;
use crate::shard::{
    Reading, Reconciliation, Shard, ShardId, Stage, StoreLimits, TailCheck,
};
use crate::time::Moment;
use crate::timing::{LOST_SHARD_STOP_DELAY_MS, RECONCILE_TIMEOUT_MS, RUN_GONE_MS};

/// Delay before a read of a log that was not answered is sent again.
const READ_RETRY_DELAY_MS: u64 = 200;

/// The result of reading a log.
#[derive(Debug, Clone)]
pub enum LogPage {
    /// Records in order, without those that cannot be decoded.
    Records {
        /// The records that could be decoded.
        records: Vec<LogRecord>,
        /// The offset behind the last record of the page.
        next_offset: u64,
        /// The offset behind the last record of the log.
        end_offset: u64,
    },
    /// The records at the requested offset have expired.
    Expired {
        /// The offset of the first record that is kept.
        first_offset: u64,
    },
    /// No answer arrived, or one that cannot be decoded.
    Lost,
}

impl Engine {
    /// Sets the limits of the platform's store, which must be the same at all instances.
    pub fn set_store_limits(&mut self, limits: StoreLimits) {
        self.shards.set_limits(limits);
    }

    /// Sets the wall-clock time, in milliseconds since the Unix epoch.
    pub fn set_wall_clock(&mut self, now: Moment, unix_ms: u64) {
        self.wall_offset_ms = unix_ms as i64 - now.0 as i64;
    }

    /// Records that the store has answered a join that this instance sent at `sent`.
    pub fn joined(&mut self, sent: Moment) {
        self.shards.joined_at = self.shards.joined_at.max(Some(sent));
    }

    /// Records whether any job was ever stored, as far as the store knows.
    ///
    /// Until this is known, ends that are found on minions are not confirmed: they may be
    /// the only trace of tasks that are done.
    pub fn stored_jobs_known(&mut self, now: Moment, used: bool) {
        match used {
            true => self.shards.note_stored_jobs(),
            false if self.shards.note_no_stored_jobs() => self.confirm_all_ends(),
            false => {}
        }
        self.advance(now);
    }

    /// Gives up a shard. Its runs continue for the next owner, unless `stop_runs` is set.
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

    /// Gives up a shard that another instance owns.
    ///
    /// Members may not agree yet on the owner. The shard is not taken back at once, or
    /// two of them would take it over in turn.
    pub(crate) fn lose_shard(&mut self, now: Moment, id: ShardId) {
        self.schedule_stops(now + LOST_SHARD_STOP_DELAY_MS, id);
        self.drop_shard(now, id, false);
        self.shards.lost_at.insert(id, now);
    }

    /// Issues the log calls that are due, and opens shards whose takeover is complete.
    pub(crate) fn drive_shards(&mut self, now: Moment) {
        self.stop_lost_runs(now);
        // The log whose last append is the oldest comes first; otherwise, some would
        // starve.
        let owned = self.shards.owned.iter();
        let mut waits: Vec<(Moment, ShardId)> =
            owned.map(|(&id, shard)| (shard.log.sent_at(), id)).collect();
        waits.sort_unstable();
        let rate_per_s = self.shards.appends_per_s();
        self.shards.budget.refill(now, rate_per_s);
        for (_, id) in waits {
            let number = self.shards.next_log_call();
            let Some(shard) = self.shards.owned.get_mut(&id) else { continue };
            if let Some(from_offset) = shard.take_read(now, number) {
                let read = LogRead { number, shard: id, from_offset };
                self.effects.push(Effect::ReadLog(read));
            } else if shard.is_append_due(now)
                && self.shards.budget.take()
                && let Some(append) = shard.take_append(now, id, number)
            {
                self.effects.push(Effect::Append(append));
            }
            self.open_reconciled(now, id);
            self.begin_due(now, id);
        }
    }

    /// Returns when [`Engine::drive_shards`] has to be called next, if a log call is due.
    pub(crate) fn shards_due(&self) -> Option<Moment> {
        let budget_due = self.shards.budget.due(self.shards.appends_per_s());
        let due = self.shards.owned.values().filter_map(Shard::due).min();
        due.map(|due| due.max(budget_due))
    }

    /// Processes the answer to a read of a log.
    pub fn log_read(
        &mut self,
        now: Moment,
        id: ShardId,
        number: LogCallNumber,
        page: LogPage,
    ) {
        let Some(shard) = self.shards.owned.get_mut(&id) else { return };
        if shard.tail_check.as_ref().is_some_and(|check| check.call == Some(number)) {
            self.checked(now, id, page);
            return self.advance(now);
        }
        let Stage::Reading(reading) = &mut shard.stage else { return };
        // The answer to a read from before the shard was dropped and taken back does not end
        // the present one.
        if reading.call != Some(number) {
            return;
        }
        reading.call = None;
        match page {
            LogPage::Lost => reading.not_before = now + READ_RETRY_DELAY_MS,
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

    /// Continues the takeover after the log was read to its end.
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

    /// Queues the record that makes this instance the owner.
    pub(crate) fn claim_shard(&mut self, id: ShardId) {
        let owner = self.member.id();
        let Some(shard) = self.shards.owned.get_mut(&id) else { return };
        shard.stage = Stage::Claiming;
        shard.log.push(LogRecord::Owned { epoch: shard.epoch + 1, owner });
    }

    /// Processes the answer to an append.
    pub fn log_appended(
        &mut self,
        now: Moment,
        id: ShardId,
        number: LogCallNumber,
        answer: AppendAnswer,
    ) {
        let Some(shard) = self.shards.owned.get_mut(&id) else { return };
        match shard.log.answered(now, number, answer) {
            AppendOutcome::Written(records) => self.commit(now, id, records),
            AppendOutcome::Pending => {}
            AppendOutcome::Conflict { offset } => {
                info!(target: "shard", shard = id.0, offset;
                    "log has grown unexpectedly; reading its new records");
                shard.tail_check =
                    Some(TailCheck { call: None, not_before: now, offset });
            }
        }
        self.advance(now);
    }

    /// Determines from the log's records whether an append was carried out or another
    /// instance has written.
    fn checked(&mut self, now: Moment, id: ShardId, page: LogPage) {
        let Some(shard) = self.shards.owned.get_mut(&id) else { return };
        let Some(check) = &mut shard.tail_check else { return };
        check.call = None;
        let records = match page {
            LogPage::Records { records, .. } => records,
            LogPage::Expired { .. } => Vec::new(),
            LogPage::Lost => {
                check.not_before = now + READ_RETRY_DELAY_MS;
                return;
            }
        };
        shard.tail_check = None;
        match shard.log.resolve(&records) {
            AppendOutcome::Written(records) => self.commit(now, id, records),
            AppendOutcome::Pending => {
                if let Stage::Reconciling(reconciliation) = &mut shard.stage {
                    reconciliation.log_checked = true;
                }
            }
            AppendOutcome::Conflict { offset } if shard.is_claimed() => {
                warn!(target: "shard", shard = id.0, epoch = shard.epoch, offset;
                    "another instance has written to the log; giving the shard up");
                self.lose_shard(now, id);
            }
            AppendOutcome::Conflict { offset } => {
                shard.log = ShardLog::default();
                shard.stage = Stage::Reading(Reading::from_offset(offset, now));
            }
        }
    }

    /// Continues the takeover after the log has taken the claim of this instance.
    pub(crate) fn claimed(&mut self, now: Moment, id: ShardId) {
        let present = |(key, peer): (PeerKey, &Peer)| {
            let present = !peer.replaced && !peer.leaving && peer.is_present(now);
            present.then_some(key)
        };
        let awaited = self.peers.arena.iter().filter_map(present).collect();
        let Some(shard) = self.shards.owned.get_mut(&id) else { return };
        shard.epoch += 1;
        let epoch = shard.epoch;
        shard.stage = Stage::Reconciling(Reconciliation {
            since: now,
            awaited,
            log_checked: false,
        });
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
        for (key, run) in self.reassign_shard_runs(now, id, epoch, RunOwner::Local) {
            self.adopt_own_run(now, key, run);
        }
        self.claim_found_runs(id);
        for (requester, job, op) in ops {
            self.perform_op(now, requester, job, op);
        }
    }

    /// Opens a shard for placement once its holders have reported their runs and those of
    /// lost holders are gone.
    fn open_reconciled(&mut self, now: Moment, id: ShardId) {
        let Some(shard) = self.shards.owned.get_mut(&id) else { return };
        let Stage::Reconciling(reconciliation) = &mut shard.stage else { return };
        let peers = &self.peers.arena;
        reconciliation.awaited.retain(|&key| {
            peers.get(key).is_some_and(|peer| !peer.replaced && peer.is_present(now))
        });
        let waited_ms = now.since(reconciliation.since);
        let reconciled = reconciliation.awaited.is_empty() && waited_ms >= RUN_GONE_MS;
        let timed_out = waited_ms >= RECONCILE_TIMEOUT_MS;
        // A later owner may have come and gone during a wait for silent members.
        if timed_out && !reconciled && !reconciliation.log_checked {
            shard.check_tail(now);
            return;
        }
        if reconciled || timed_out {
            info!(target: "shard", shard = id.0, epoch = shard.epoch, waited_ms,
                silent = reconciliation.awaited.len(); "shard open");
            shard.stage = Stage::Open;
            self.placement_due = true;
            self.stop_partial_gangs(now);
        }
    }

    /// Returns whether the tasks of a job may be placed; for stored jobs, only by the
    /// owner of their shard, as long as their ends could be kept.
    pub(crate) fn may_place(&self, now: Moment, id: OccurrenceRef) -> bool {
        let Some(job) = self.jobs.get(&id) else { return false };
        if !job.is_stored() {
            return true;
        }
        let shard = self.shards.owned.get(&self.shards.shard_of(id.job));
        let open = |shard: &Shard| matches!(shard.stage, Stage::Open);
        // The log takes no ends of tasks that last, other than crashes.
        let lasts = job.steps.iter().all(|step| step.long_running);
        shard.is_some_and(|shard| open(shard) && (lasts || shard.may_start(now)))
            && self.has_authority(now)
    }

    /// Returns the number of stored jobs of this instance that have not started, by
    /// queue.
    pub(crate) fn pending_stored(&self) -> Vec<(Box<str>, u64)> {
        let mut pending: Vec<(Box<str>, u64)> = Vec::new();
        let waits = |job: &&crate::owner::job::Job| {
            job.is_stored() && job.state() == JobState::Pending
        };
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
