//! Retention of the records and outcomes of a shard by its owner.

use crate::engine::Engine;
use crate::id::RunRef;
use crate::shard::ShardId;
use crate::shard::stored_job::LogRecord;
use crate::time::Moment;

/// How long the outcome of a stored job is kept.
const STORED_OUTCOME_RETENTION_MS: u64 = 180_000;

/// Interval at which jobs are checked for records in the log that will expire.
const MAINTENANCE_INTERVAL_MS: u64 = 5_000;

/// Part of the log's retention time, as a divisor, after which a job is written again.
const REWRITE_DIVISOR: u64 = 3;

/// Maximum number of superseded runs that are kept for a shard.
const MAX_SUPERSEDED: usize = 2_048;

/// How long it is kept which runs have done the tasks of a job after its end.
const DONE_RUNS_RETENTION_MS: u64 = 30_000;

impl Engine {
    /// Records a run of a stored job that is considered lost. If it turns out to be done,
    /// its end must not be confirmed.
    pub(crate) fn note_superseded(&mut self, run: RunRef) {
        let id = self.shards.shard_of(run.task.job);
        if let Some(shard) = self.shards.owned.get_mut(&id) {
            shard.superseded.insert(run);
            while shard.superseded.len() > MAX_SUPERSEDED {
                shard.superseded.pop_first();
            }
        }
    }

    /// Writes jobs again before their records expire, and drops old outcomes.
    pub(crate) fn maintain_records(&mut self, now: Moment, id: ShardId) {
        let rewrite_ms = self.shards.retention_ms() / REWRITE_DIVISOR;
        let Some(shard) = self.shards.owned.get_mut(&id) else { return };
        // A job may only be written again when no append is queued or in progress; its
        // record would lack the ends that are being written.
        let idle = shard.is_claimed() && shard.log.is_idle();
        if !idle || now.since(shard.maintained_at) < MAINTENANCE_INTERVAL_MS {
            return;
        }
        shard.maintained_at = now;
        shard.jobs.retain(|_, entry| {
            entry.closed_at.is_none_or(|at| now.since(at) < STORED_OUTCOME_RETENTION_MS)
        });
        for entry in shard.jobs.values_mut() {
            if entry.closed_at.is_some_and(|at| now.since(at) >= DONE_RUNS_RETENTION_MS) {
                entry.job.done_runs.clear();
            }
            if now.since(entry.written_at) >= rewrite_ms {
                entry.written_at = now;
                shard.log.push(LogRecord::Job(Box::new(entry.job.clone())));
                if !entry.job.crashes.is_empty() {
                    let crashes = entry.job.crashes.clone();
                    shard.log.push(LogRecord::Crashes(entry.job.job.id, crashes));
                }
            }
        }
    }
}
