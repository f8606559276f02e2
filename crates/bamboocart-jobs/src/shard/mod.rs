//! Shards: partitions of the stored jobs, each with its own log and owner.

pub(crate) mod job_op;
pub(crate) mod ops;
pub(crate) mod retention;
pub(crate) mod shard_log;
pub(crate) mod shard_runs;
pub(crate) mod stored;
pub(crate) mod stored_job;
pub(crate) mod takeover;

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::effect::{LogAppend, LogCallNumber};
use crate::id::{JobId, RunRef};
use crate::membership::assignment::shard_owner;
use crate::membership::member::Member;
use crate::membership::peer::PeerKey;
use crate::message::{EndReport, RunEnd};
use crate::owner::submission::JobState;
use crate::owner::task::Holder;
use crate::shard::job_op::{JobOp, Requester};
use crate::shard::shard_log::ShardLog;
use crate::shard::stored_job::{LogRecord, StoredJob};
use crate::time::Moment;
use crate::token_bucket::TokenBucket;

/// Number of shards if the platform sets none.
const DEFAULT_SHARDS: u16 = 24;

/// Maximum number of appends that may be sent at once after an idle period.
const BURST_APPENDS: f64 = 8.0;

/// Maximum number of shards; a larger number of partitions is not used in full.
const MAX_SHARDS: u16 = 64;

/// Share of the store's write rate that the appends of all instances may use.
const WRITE_SHARE: f64 = 0.5;

/// Write rate of the store if the platform sets none.
const DEFAULT_WRITES_PER_S: u64 = 600;

/// The number of ends that wait for a stalled log from which the shard starts no further
/// tasks. Their minions have to list these ends until the log has them.
const MAX_ENDS_OF_STALLED_LOG: usize = 32;

/// Retention time of records in the log if the platform sets none.
const DEFAULT_RETENTION_MS: u64 = 300_000;

/// The number of a shard, which is also its partition of the log's topic.
#[derive(
    Debug, Copy, Clone, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize,
)]
pub struct ShardId(pub u16);

/// Limits of the platform's store, which all instances have to know alike.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub struct StoreLimits {
    /// The number of partitions of a topic, each of which holds the log of one shard.
    pub partitions: u16,
    /// The number of writes per second that all instances together may make.
    pub writes_per_s: u64,
    /// How long the store keeps records, in milliseconds.
    pub retention_ms: u64,
}

impl Default for StoreLimits {
    fn default() -> Self {
        Self {
            partitions: DEFAULT_SHARDS,
            writes_per_s: DEFAULT_WRITES_PER_S,
            retention_ms: DEFAULT_RETENTION_MS,
        }
    }
}

/// All shards, as seen by one instance.
#[derive(Debug)]
pub(crate) struct Shards {
    /// The limits of the store.
    limits: StoreLimits,
    /// The shards that this instance owns or is taking over.
    pub(crate) owned: BTreeMap<ShardId, Shard>,
    /// The assigned owner of each shard among the members, indexed by shard.
    owners: Vec<Option<Member>>,
    /// The highest known epoch of each shard's owner.
    epochs: BTreeMap<ShardId, u64>,
    /// The peer that last announced itself as the owner, by shard.
    pub(crate) announced_owners: BTreeMap<ShardId, PeerKey>,
    /// When each shard was last lost to another instance.
    pub(crate) lost_at: BTreeMap<ShardId, Moment>,
    /// The runs of lost shards that have to be stopped.
    pub(crate) lost_runs: Vec<LostRun>,
    /// Whether there are stored jobs.
    stored_jobs: StoredJobsPresence,
    /// Whether this instance has recorded in the store that there are stored jobs.
    pub(crate) stored_jobs_reported: bool,
    /// The number of the last call to a log.
    last_log_call: LogCallNumber,
    /// The rate limit of appends. Without tokens, records are queued, and one append takes
    /// all of them. All instances together stay below the store's write rate.
    pub(crate) budget: TokenBucket,
    /// When this instance sent its last join that the store answered.
    pub(crate) joined_at: Option<Moment>,
    /// When this instance last had the authority to act as an owner.
    pub(crate) authority_at: Moment,
}

/// A run of a shard that this instance has lost to another one.
#[derive(Debug, Copy, Clone)]
pub(crate) struct LostRun {
    pub(crate) shard: ShardId,
    /// The holder of the run, as far as this instance knows.
    pub(crate) holder: Holder,
    pub(crate) run: RunRef,
    /// When it is stopped.
    pub(crate) stop_at: Moment,
}

/// The holder that waits until the end of a run is stored.
#[derive(Debug, Copy, Clone)]
pub(crate) struct Reporter {
    pub(crate) holder: Holder,
    /// The last end of the run that is being written.
    pub(crate) end: RunEnd,
}

impl Default for Shards {
    fn default() -> Self {
        Self {
            limits: StoreLimits::default(),
            owned: BTreeMap::new(),
            owners: Vec::new(),
            epochs: BTreeMap::new(),
            announced_owners: BTreeMap::new(),
            lost_at: BTreeMap::new(),
            lost_runs: Vec::new(),
            stored_jobs: StoredJobsPresence::Unknown,
            stored_jobs_reported: false,
            last_log_call: LogCallNumber(0),
            budget: TokenBucket::new(BURST_APPENDS),
            joined_at: None,
            authority_at: Moment::default(),
        }
    }
}

/// Whether there are stored jobs. As long as there are none, the ends of runs need no
/// confirmation.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
enum StoredJobsPresence {
    /// The store has not answered yet.
    Unknown,
    /// No job was ever stored.
    Unused,
    /// Jobs have been stored.
    Used,
}

impl Shards {
    /// Returns whether it is certain that there are stored jobs.
    pub(crate) fn have_stored_jobs(&self) -> bool {
        self.stored_jobs == StoredJobsPresence::Used
    }

    pub(crate) fn may_have_stored_jobs(&self) -> bool {
        self.stored_jobs != StoredJobsPresence::Unused
    }

    pub(crate) fn note_stored_jobs(&mut self) {
        self.stored_jobs = StoredJobsPresence::Used;
    }

    /// Records that no job was ever stored, and returns whether this was unknown before.
    pub(crate) fn note_no_stored_jobs(&mut self) -> bool {
        let news = self.stored_jobs == StoredJobsPresence::Unknown;
        if news {
            self.stored_jobs = StoredJobsPresence::Unused;
        }
        news
    }

    /// Sets the limits of the store; all instances have to use the same number of shards.
    pub(crate) fn set_limits(&mut self, limits: StoreLimits) {
        let partitions = limits.partitions.clamp(1, MAX_SHARDS);
        self.limits = StoreLimits { partitions, ..limits };
    }

    /// Returns the shard of a job, which is fixed by the job's id.
    pub(crate) fn shard_of(&self, job: JobId) -> ShardId {
        ShardId((job.hash() % u64::from(self.limits.partitions)) as u16)
    }

    pub(crate) fn ids(&self) -> impl Iterator<Item = ShardId> + use<> {
        (0..self.limits.partitions).map(ShardId)
    }

    /// Returns the member to which a shard is assigned.
    pub(crate) fn owner(&self, shard: ShardId) -> Option<&Member> {
        self.owners.get(usize::from(shard.0))?.as_ref()
    }

    /// Assigns the shards to the members.
    pub(crate) fn assign(&mut self, members: &[Member]) {
        let owner = |shard| shard_owner(shard, members).cloned();
        self.owners = self.ids().map(owner).collect();
    }

    /// Records an epoch of a shard's owner, and returns whether it is the highest known
    /// one.
    pub(crate) fn note_epoch(&mut self, shard: ShardId, epoch: u64) -> bool {
        let known = self.epochs.entry(shard).or_default();
        *known = epoch.max(*known);
        *known == epoch
    }

    /// Returns the highest known epoch of a shard's owner, or 0.
    pub(crate) fn known_epoch(&self, shard: ShardId) -> u64 {
        self.epochs.get(&shard).copied().unwrap_or_default()
    }

    pub(crate) fn next_log_call(&mut self) -> LogCallNumber {
        self.last_log_call.0 += 1;
        self.last_log_call
    }

    /// Returns the number of appends that this instance may send per second, in
    /// proportion to the shards that it owns.
    pub(crate) fn appends_per_s(&self) -> f64 {
        let own = self.owned.len() as f64 / f64::from(self.limits.partitions);
        self.limits.writes_per_s as f64 * WRITE_SHARE * own
    }

    /// Returns how long the store keeps records, in milliseconds.
    pub(crate) fn retention_ms(&self) -> u64 {
        self.limits.retention_ms
    }
}

/// A shard that this instance owns or is taking over.
#[derive(Debug)]
pub(crate) struct Shard {
    /// The stage of the takeover.
    pub(crate) stage: Stage,
    /// The highest epoch in the log; from the claim on, that of this instance.
    pub(crate) epoch: u64,
    /// The stored jobs of the shard, including ended ones that are still kept.
    pub(crate) jobs: BTreeMap<JobId, StoredEntry>,
    /// The writer of the shard's log.
    pub(crate) log: ShardLog,
    /// Operations that are queued until the takeover has ended.
    pub(crate) queued_ops: Vec<(Requester, JobId, JobOp)>,
    /// The requesters that wait until a job is stored.
    pub(crate) accept_waiters: BTreeMap<JobId, Vec<Requester>>,
    /// The requesters that wait until a cancel is stored.
    pub(crate) cancel_waiters: BTreeMap<JobId, Vec<Requester>>,
    /// The runs that were considered lost and whose tasks were started again.
    pub(crate) superseded: BTreeSet<RunRef>,
    /// The reporters of ends that are being written.
    pub(crate) reporters: BTreeMap<RunRef, Reporter>,
    /// The next occurrences of repeated jobs, by their due time in milliseconds since the
    /// Unix epoch.
    pub(crate) schedule: BTreeSet<(u64, JobId)>,
    /// The read that checks a log that has grown although nobody else should write to it,
    /// if one is needed.
    pub(crate) tail_check: Option<TailCheck>,
    /// When the jobs were last checked for records that will expire.
    pub(crate) maintained_at: Moment,
}

/// A stage of the takeover of a shard.
#[derive(Debug)]
pub(crate) enum Stage {
    /// The log is being read.
    Reading(Reading),
    /// The log has been read and has no open jobs; the shard is claimed once an operation
    /// or the report of an end needs its owner.
    Unclaimed,
    /// The record that names this instance as the owner is being written.
    Claiming,
    /// The holders are asked for the runs of the shard; no task is placed yet.
    Reconciling(Reconciliation),
    /// Tasks may be placed.
    Open,
}

/// The progress of reading a log.
#[derive(Debug)]
pub(crate) struct Reading {
    /// The call in progress; none if one is to be sent.
    pub(crate) call: Option<LogCallNumber>,
    /// The offset from which to read.
    pub(crate) next_offset: u64,
    /// The earliest time of the next call.
    pub(crate) not_before: Moment,
}

/// A read of the records behind the known end of a log.
#[derive(Debug)]
pub(crate) struct TailCheck {
    /// The call in progress; none if one is to be sent.
    pub(crate) call: Option<LogCallNumber>,
    /// The known end of the log.
    pub(crate) offset: u64,
    /// The earliest time of the next call.
    pub(crate) not_before: Moment,
}

/// The wait for the runs that holders report.
#[derive(Debug)]
pub(crate) struct Reconciliation {
    pub(crate) since: Moment,
    /// The peers that have not reported their runs yet.
    pub(crate) awaited: BTreeSet<PeerKey>,
    /// Whether the log was read again after the wait and has no record of a later owner.
    pub(crate) log_checked: bool,
}

/// A stored job in the memory of its owner.
#[derive(Debug)]
pub(crate) struct StoredEntry {
    /// The job according to the log.
    pub(crate) job: StoredJob,
    /// When the last full record of the job was written.
    pub(crate) written_at: Moment,
    /// When the job ended, if it has.
    pub(crate) closed_at: Option<Moment>,
    /// The first occurrence that has not begun.
    pub(crate) next_occurrence: u32,
}

impl Shard {
    /// Creates a shard whose log is read from an offset on.
    pub(crate) fn new(next_offset: u64, now: Moment) -> Self {
        Self {
            stage: Stage::Reading(Reading::from_offset(next_offset, now)),
            epoch: 0,
            jobs: BTreeMap::new(),
            log: ShardLog::default(),
            queued_ops: Vec::new(),
            accept_waiters: BTreeMap::new(),
            cancel_waiters: BTreeMap::new(),
            superseded: BTreeSet::new(),
            reporters: BTreeMap::new(),
            schedule: BTreeSet::new(),
            tail_check: None,
            maintained_at: now,
        }
    }

    /// Returns the offset of the read that is due, if any, and records the call.
    pub(crate) fn take_read(
        &mut self,
        now: Moment,
        number: LogCallNumber,
    ) -> Option<u64> {
        let (call, not_before, offset) = match (&mut self.tail_check, &mut self.stage) {
            (Some(check), _) => (&mut check.call, check.not_before, check.offset),
            (None, Stage::Reading(reading)) => {
                (&mut reading.call, reading.not_before, reading.next_offset)
            }
            (None, _) => return None,
        };
        let due = call.is_none() && not_before <= now;
        due.then(|| {
            *call = Some(number);
            offset
        })
    }

    /// Has the records behind the known end of the log read, unless they already are being
    /// read or an append is in progress, whose answer moves that end.
    pub(crate) fn check_tail(&mut self, now: Moment) {
        if !self.log.is_append_in_progress() {
            let offset = self.log.end_offset();
            let check = TailCheck { call: None, not_before: now, offset };
            self.tail_check.get_or_insert(check);
        }
    }

    /// Returns the append that is due, if any.
    pub(crate) fn take_append(
        &mut self,
        now: Moment,
        id: ShardId,
        number: LogCallNumber,
    ) -> Option<LogAppend> {
        self.log.take_append(now, id, number)
    }

    pub(crate) fn is_append_due(&self, now: Moment) -> bool {
        let ready = self.tail_check.is_none() && !matches!(self.stage, Stage::Reading(_));
        ready && self.log.due().is_some_and(|due| due <= now)
    }

    /// Returns when a call to the log is due, if any.
    pub(crate) fn due(&self) -> Option<Moment> {
        match (&self.tail_check, &self.stage) {
            (Some(check), _) => check.call.is_none().then_some(check.not_before),
            (None, Stage::Reading(reading)) => {
                reading.call.is_none().then_some(reading.not_before)
            }
            (None, _) => self.log.due(),
        }
    }

    /// Returns whether the log names this instance as its owner.
    pub(crate) fn is_claimed(&self) -> bool {
        matches!(self.stage, Stage::Reconciling(_) | Stage::Open)
    }

    /// Returns whether the end of a further run could be kept: the log takes records, or few
    /// ends wait for it.
    pub(crate) fn may_start(&self, now: Moment) -> bool {
        !self.log.is_stalled(now) || self.reporters.len() < MAX_ENDS_OF_STALLED_LOG
    }

    /// Applies a record of the log, before this instance owns the shard.
    pub(crate) fn replay(&mut self, now: Moment, record: &LogRecord) {
        match record {
            LogRecord::Owned { epoch, .. } => self.epoch = self.epoch.max(*epoch),
            LogRecord::Job(job) => {
                // The state from earlier records is at least as new.
                let entry = self.jobs.entry(job.job.id);
                entry.or_insert_with(|| StoredEntry::new(StoredJob::clone(job), now));
            }
            LogRecord::Ended(report) => {
                if let Some(entry) = self.jobs.get_mut(&report.run.task.job) {
                    entry.apply_end(now, report);
                }
            }
            LogRecord::Cancelled(id) => {
                if let Some(entry) = self.jobs.get_mut(id) {
                    entry.close(now, JobState::Cancelled);
                }
            }
            LogRecord::Crashes(id, crashes) => {
                if let Some(entry) = self.jobs.get_mut(id) {
                    entry.job.apply_crashes(crashes);
                }
            }
        }
    }

    /// Removes and returns all requesters that wait for this instance as the owner.
    pub(crate) fn take_requesters(&mut self) -> Vec<Requester> {
        let ops = std::mem::take(&mut self.queued_ops).into_iter();
        let accept_waiters =
            std::mem::take(&mut self.accept_waiters).into_values().flatten();
        let cancel_waiters =
            std::mem::take(&mut self.cancel_waiters).into_values().flatten();
        ops.map(|(requester, ..)| requester)
            .chain(accept_waiters)
            .chain(cancel_waiters)
            .collect()
    }
}

impl Reading {
    pub(crate) fn from_offset(next_offset: u64, now: Moment) -> Self {
        Self { call: None, next_offset, not_before: now }
    }
}

impl StoredEntry {
    /// Creates the entry of a job whose record has just been read or written.
    pub(crate) fn new(job: StoredJob, now: Moment) -> Self {
        let next_occurrence = job.first_open;
        let closed_at = job.outcome.map(|_| now);
        Self { job, written_at: now, closed_at, next_occurrence }
    }

    /// Applies the end of a run.
    pub(crate) fn apply_end(&mut self, now: Moment, report: &EndReport) {
        self.job.apply_end(report);
        if self.job.outcome.is_some() {
            self.closed_at.get_or_insert(now);
        }
    }

    /// Ends the job, unless it has already ended.
    pub(crate) fn close(&mut self, now: Moment, outcome: JobState) {
        if self.job.outcome.is_none() {
            self.job.close(outcome);
            self.closed_at = Some(now);
        }
    }
}
