//! Shards: parts of the stored jobs, each with a log and an owner of its own.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::assignment::shard_owner;
use crate::effect::{LogAppend, LogCallNumber};
use crate::id::{JobId, RunRef};
use crate::job_op::{JobOp, Requester};
use crate::member::Member;
use crate::message::EndReport;
use crate::peer::PeerKey;
use crate::shard_log::ShardLog;
use crate::stored_job::{LogRecord, StoredJob};
use crate::submission::JobState;
use crate::task::Holder;
use crate::time::Moment;
use crate::write_budget::WriteBudget;

/// The number of shards where the platform names none.
const DEFAULT_SHARDS: u16 = 24;

/// The most shards.
const MAX_SHARDS: u16 = 64;

/// The share of the store's writes that appends of all instances may use.
const WRITE_SHARE: f64 = 0.5;

/// The writes of the store in a second where the platform names none.
const DEFAULT_WRITES_PER_S: u64 = 600;

/// The time for which records stay in the log where the platform names none.
const DEFAULT_KEEP_MS: u64 = 300_000;

/// A part of the stored jobs.
#[derive(
    Debug, Copy, Clone, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize,
)]
pub struct ShardId(pub u16);

/// What the platform's store allows.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub struct StoreLimits {
    /// The partitions of a topic, each of which holds the log of one shard.
    pub partitions: u16,
    /// The writes in a second of all instances together.
    pub writes_per_s: u64,
    /// How long records are kept.
    pub retention_ms: u64,
}

impl Default for StoreLimits {
    fn default() -> Self {
        Self {
            partitions: DEFAULT_SHARDS,
            writes_per_s: DEFAULT_WRITES_PER_S,
            retention_ms: DEFAULT_KEEP_MS,
        }
    }
}

/// All shards, as one instance sees them.
#[derive(Debug)]
pub(crate) struct Shards {
    /// What the store allows.
    limits: StoreLimits,
    /// The shards that this instance owns or is taking over.
    pub(crate) owned: BTreeMap<ShardId, Shard>,
    /// The owner of each shard among the members, in the order of shards.
    owners: Vec<Option<Member>>,
    /// The highest epoch of an owner of each shard that was heard of.
    epochs: BTreeMap<ShardId, u64>,
    /// The instances that have last told that they own a shard.
    pub(crate) announced_owners: BTreeMap<ShardId, PeerKey>,
    /// When shards were last lost to other instances.
    pub(crate) lost_at: BTreeMap<ShardId, Moment>,
    /// Whether there are stored jobs.
    stored_jobs: StoredJobsPresence,
    /// Whether this instance has told the store that there are.
    pub(crate) stored_jobs_reported: bool,
    /// The last call to a log.
    last_ticket: LogCallNumber,
    /// The appends that may be sent.
    pub(crate) budget: WriteBudget,
    /// When the join was sent that the store answered last.
    pub(crate) joined_at: Option<Moment>,
    /// When this instance last was allowed to act as an owner.
    pub(crate) authority_at: Moment,
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
            stored_jobs: StoredJobsPresence::Unknown,
            stored_jobs_reported: false,
            last_ticket: LogCallNumber(0),
            budget: WriteBudget::default(),
            joined_at: None,
            authority_at: Moment::default(),
        }
    }
}

/// Whether there are stored jobs. As long as there are none, no end needs a confirmation.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
enum StoredJobsPresence {
    /// The store has not told yet.
    Unknown,
    /// None was ever stored.
    Unused,
    /// Some were.
    Used,
}

impl Shards {
    /// Returns whether there are stored jobs for certain.
    pub(crate) fn have_stored_jobs(&self) -> bool {
        self.stored_jobs == StoredJobsPresence::Used
    }

    /// Returns whether there may be stored jobs.
    pub(crate) fn may_have_stored_jobs(&self) -> bool {
        self.stored_jobs != StoredJobsPresence::Unused
    }

    /// Notes that there are stored jobs.
    pub(crate) fn note_stored_jobs(&mut self) {
        self.stored_jobs = StoredJobsPresence::Used;
    }

    /// Notes that the store has never had stored jobs, and returns whether this is news.
    pub(crate) fn note_no_stored_jobs(&mut self) -> bool {
        let news = self.stored_jobs == StoredJobsPresence::Unknown;
        if news {
            self.stored_jobs = StoredJobsPresence::Unused;
        }
        news
    }

    /// Sets what the store allows; all instances have to use the same number of shards.
    pub(crate) fn set_limits(&mut self, limits: StoreLimits) {
        let partitions = limits.partitions.clamp(1, MAX_SHARDS);
        self.limits = StoreLimits { partitions, ..limits };
    }

    /// Returns the shard of a job.
    pub(crate) fn shard_of(&self, job: JobId) -> ShardId {
        ShardId((job.hash() % u64::from(self.limits.partitions)) as u16)
    }

    /// Returns all shards.
    pub(crate) fn ids(&self) -> impl Iterator<Item = ShardId> + use<> {
        (0..self.limits.partitions).map(ShardId)
    }

    /// Returns the member that owns a shard.
    pub(crate) fn owner(&self, shard: ShardId) -> Option<&Member> {
        self.owners.get(usize::from(shard.0))?.as_ref()
    }

    /// Deals the shards out to the members.
    pub(crate) fn assign(&mut self, members: &[Member]) {
        let owner = |shard| shard_owner(shard, members).cloned();
        self.owners = self.ids().map(owner).collect();
    }

    /// Notes an epoch of a shard's owner, and returns whether none is higher.
    pub(crate) fn note_epoch(&mut self, shard: ShardId, epoch: u64) -> bool {
        let known = self.epochs.entry(shard).or_default();
        *known = epoch.max(*known);
        *known == epoch
    }

    /// Returns the number of a new call to a log.
    pub(crate) fn next_ticket(&mut self) -> LogCallNumber {
        self.last_ticket.0 += 1;
        self.last_ticket
    }

    /// Returns the appends that this instance may send in a second.
    pub(crate) fn appends_per_s(&self) -> f64 {
        let own = self.owned.len() as f64 / f64::from(self.limits.partitions);
        self.limits.writes_per_s as f64 * WRITE_SHARE * own
    }

    /// Returns how long records are kept.
    pub(crate) fn retention_ms(&self) -> u64 {
        self.limits.retention_ms
    }
}

/// A shard that this instance owns or is taking over.
#[derive(Debug)]
pub(crate) struct Shard {
    /// How far the takeover has come.
    pub(crate) stage: Stage,
    /// The highest epoch in the log; the own one from the claim on.
    pub(crate) epoch: u64,
    /// The jobs.
    pub(crate) jobs: BTreeMap<JobId, StoredEntry>,
    /// The writer of the log.
    pub(crate) log: ShardLog,
    /// What waits for the end of the takeover.
    pub(crate) queued_ops: Vec<(Requester, JobId, JobOp)>,
    /// Who waits until a job is stored.
    pub(crate) accept_waiters: BTreeMap<JobId, Vec<Requester>>,
    /// Who waits until a cancel is stored.
    pub(crate) cancel_waiters: BTreeMap<JobId, Vec<Requester>>,
    /// The runs that were taken for lost, and whose tasks were started again.
    pub(crate) superseded: BTreeSet<RunRef>,
    /// Who waits until the end of a run is stored.
    pub(crate) reporters: BTreeMap<RunRef, Holder>,
    /// The next occurrences of jobs that run more than once, by the time at which they are
    /// due in milliseconds since the Unix epoch.
    pub(crate) schedule: BTreeSet<(u64, JobId)>,
    /// The look at a log that has grown although nobody else should write to it.
    pub(crate) tail_check: Option<TailCheck>,
    /// When jobs were last looked through for records that would expire.
    pub(crate) maintained_at: Moment,
}

/// How far the takeover of a shard has come.
#[derive(Debug)]
pub(crate) enum Stage {
    /// The log is being read.
    Reading(Reading),
    /// The log is empty; the shard is claimed when a job comes.
    Unclaimed,
    /// The record of the new owner is being written.
    Claiming,
    /// Holders are asked what runs.
    Reconciling(Reconciliation),
    /// Tasks are placed.
    Open,
}

/// The reading of a log.
#[derive(Debug)]
pub(crate) struct Reading {
    /// The call, unless it is to be sent again.
    pub(crate) ticket: Option<LogCallNumber>,
    /// The offset to read from.
    pub(crate) next_offset: u64,
    /// The next call is not sent before.
    pub(crate) not_before: Moment,
}

/// A look at the records behind the known end of a log.
#[derive(Debug)]
pub(crate) struct TailCheck {
    /// The call, unless it is to be sent again.
    pub(crate) ticket: Option<LogCallNumber>,
    /// The known end.
    pub(crate) offset: u64,
    /// The next call is not sent before.
    pub(crate) not_before: Moment,
}

/// The wait for what holders know.
#[derive(Debug)]
pub(crate) struct Reconciliation {
    /// When the shard was claimed.
    pub(crate) since: Moment,
    /// The peers that have not told their runs.
    pub(crate) awaited: BTreeSet<PeerKey>,
}

/// A stored job in the memory of its owner.
#[derive(Debug)]
pub(crate) struct StoredEntry {
    /// The job as the log has it.
    pub(crate) job: StoredJob,
    /// When the log got its last full record.
    pub(crate) written_at: Moment,
    /// When it ended, if it has.
    pub(crate) closed_at: Option<Moment>,
    /// The first occurrence that has not begun.
    pub(crate) next_occurrence: u32,
}

impl Shard {
    /// Creates a shard whose log is to be read from an offset on.
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

    /// Returns the offset from which the log is to be read now, if it is, and notes the call.
    pub(crate) fn take_read(
        &mut self,
        now: Moment,
        ticket: LogCallNumber,
    ) -> Option<u64> {
        let (call, not_before, offset) = match (&mut self.tail_check, &mut self.stage) {
            (Some(check), _) => (&mut check.ticket, check.not_before, check.offset),
            (None, Stage::Reading(reading)) => {
                (&mut reading.ticket, reading.not_before, reading.next_offset)
            }
            (None, _) => return None,
        };
        let due = call.is_none() && not_before <= now;
        due.then(|| {
            *call = Some(ticket);
            offset
        })
    }

    /// Returns the append that is due, if one is.
    pub(crate) fn take_append(
        &mut self,
        now: Moment,
        id: ShardId,
        ticket: LogCallNumber,
    ) -> Option<LogAppend> {
        self.log.take_append(now, id, ticket)
    }

    /// Returns whether an append is due.
    pub(crate) fn is_append_due(&self, now: Moment) -> bool {
        let ready = self.tail_check.is_none() && !matches!(self.stage, Stage::Reading(_));
        ready && self.log.due().is_some_and(|due| due <= now)
    }

    /// Returns when a call to the log is due, if one is.
    pub(crate) fn due(&self) -> Option<Moment> {
        match (&self.tail_check, &self.stage) {
            (Some(check), _) => check.ticket.is_none().then_some(check.not_before),
            (None, Stage::Reading(reading)) => {
                reading.ticket.is_none().then_some(reading.not_before)
            }
            (None, _) => self.log.due(),
        }
    }

    /// Returns whether the log names this instance as its owner.
    pub(crate) fn is_claimed(&self) -> bool {
        matches!(self.stage, Stage::Reconciling(_) | Stage::Open)
    }

    /// Takes a record of the log, before this instance owns the shard.
    pub(crate) fn replay(&mut self, now: Moment, record: &LogRecord) {
        match record {
            LogRecord::Owned { epoch, .. } => self.epoch = self.epoch.max(*epoch),
            LogRecord::Job(job) => {
                // What earlier records have told is at least as new.
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
        }
    }

    /// Returns everybody who waits for this instance as the owner.
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
    /// Creates a reading that begins at an offset.
    pub(crate) fn from_offset(next_offset: u64, now: Moment) -> Self {
        Self { ticket: None, next_offset, not_before: now }
    }
}

impl StoredEntry {
    /// Creates the entry of a job that the log has just taken.
    pub(crate) fn new(job: StoredJob, now: Moment) -> Self {
        let next_occurrence = job.first_open;
        let closed_at = job.outcome.map(|_| now);
        Self { job, written_at: now, closed_at, next_occurrence }
    }

    /// Takes the end of a run.
    pub(crate) fn apply_end(&mut self, now: Moment, report: &EndReport) {
        self.job.apply_end(report);
        if self.job.outcome.is_some() {
            self.closed_at.get_or_insert(now);
        }
    }

    /// Ends the job, unless it has ended.
    pub(crate) fn close(&mut self, now: Moment, outcome: JobState) {
        if self.job.outcome.is_none() {
            self.job.close(outcome);
            self.closed_at = Some(now);
        }
    }
}
