//! What the owner of a shard keeps, and for how long.

use crate::engine::Engine;
use crate::id::RunRef;
use crate::shard::ShardId;
use crate::stored_job::LogRecord;
use crate::time::Moment;

/// How long the outcome of a stored job is known.
const OUTCOME_MEMORY_MS: u64 = 180_000;

/// The time between two looks for jobs whose records in the log would expire.
const UPKEEP_INTERVAL_MS: u64 = 5_000;

/// The share of the time for which records are kept after which a job is written again.
const REWRITE_SHARE: u64 = 3;

/// The most runs of a shard that are remembered as taken for lost.
const MAX_SUPERSEDED: usize = 2_048;

/// How long the runs are known that have done the tasks of a job that has ended.
const DONE_RUNS_MEMORY_MS: u64 = 30_000;

impl Engine {
    /// Remembers a run of a stored job that is taken for lost. If it is done nevertheless, its
    /// end must not be noted.
    pub(crate) fn note_superseded(&mut self, run: RunRef) {
        let id = self.shards.shard_of(run.task.job);
        if let Some(shard) = self.shards.owned.get_mut(&id) {
            shard.superseded.insert(run);
            while shard.superseded.len() > MAX_SUPERSEDED {
                shard.superseded.pop_first();
            }
        }
    }

    /// Writes jobs again before their records expire, and forgets old outcomes.
    pub(crate) fn maintain_records(&mut self, now: Moment, id: ShardId) {
        let rewrite_ms = self.shards.retention_ms() / REWRITE_SHARE;
        let Some(shard) = self.shards.owned.get_mut(&id) else { return };
        // A record that is written again must not lack an end that is being written.
        let idle = shard.is_claimed() && shard.log.is_idle();
        if !idle || now.since(shard.maintained_at) < UPKEEP_INTERVAL_MS {
            return;
        }
        shard.maintained_at = now;
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
}
