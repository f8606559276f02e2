//! The owner role for stored jobs: client operations, and the effects of records that the
//! log has taken.

use std::sync::Arc;

use log::{info, warn};

use crate::effect::Answer;
use crate::engine::Engine;
use crate::id::{JobId, OccurrenceRef, RunRef};
use crate::message::{EndReport, Message, RunEnd};
use crate::owner::gone::RunGone;
use crate::owner::job::Job;
use crate::owner::submission::{JobState, NewJob};
use crate::owner::task::{Holder, Placement, TaskState, tasks_of};
use crate::shard::job_op::{JobOp, OpReply, Requester};
use crate::shard::stored_job::{LogRecord, StoredJob};
use crate::shard::{Reporter, Shard, ShardId, Stage, StoredEntry};
use crate::time::Moment;

/// Maximum number of jobs of a shard that have not ended; further ones are refused.
const MAX_OPEN_JOBS: usize = 4_096;

/// Maximum number of operations queued during a takeover; further ones are rejected as if
/// this instance were not the owner.
const MAX_QUEUED_OPS: usize = 1_024;

/// Retry delay for clients that are refused because too many jobs are open.
const FULL_RETRY_AFTER_S: u64 = 2;

impl Engine {
    /// Carries out an operation as the owner of a job, or queues it until the takeover
    /// has ended.
    pub(crate) fn receive_op(
        &mut self,
        now: Moment,
        requester: Requester,
        id: JobId,
        op: JobOp,
    ) {
        if matches!(op, JobOp::Submit { .. }) {
            self.shards.note_stored_jobs();
        }
        let shard_id = self.shards.shard_of(id);
        let authority = self.has_authority(now);
        let Some(shard) = self.shards.owned.get_mut(&shard_id).filter(|_| authority)
        else {
            return self.reply(now, requester, None);
        };
        match shard.stage {
            Stage::Reconciling(_) | Stage::Open => {
                self.perform_op(now, requester, id, op)
            }
            _ if shard.queued_ops.len() >= MAX_QUEUED_OPS => {
                self.reply(now, requester, None)
            }
            Stage::Unclaimed => {
                shard.queued_ops.push((requester, id, op));
                self.claim_shard(shard_id);
            }
            Stage::Reading(_) | Stage::Claiming => {
                shard.queued_ops.push((requester, id, op))
            }
        }
    }

    /// Carries out an operation as the owner of a job.
    pub(crate) fn perform_op(
        &mut self,
        now: Moment,
        requester: Requester,
        id: JobId,
        op: JobOp,
    ) {
        let in_memory = self.in_memory_state(id);
        let cancelled_before = self.outcomes.get(id) == Some(JobState::Cancelled);
        let unix_ms = self.unix_ms(now);
        let shard_id = self.shards.shard_of(id);
        let Some(shard) = self.shards.owned.get_mut(&shard_id) else { return };
        let reply = match op {
            JobOp::State => {
                let known = shard.jobs.get(&id).map(|entry| entry.job.state());
                let state = known.map(|state| match in_memory {
                    Some(in_memory) if !state.is_final() => in_memory,
                    _ => state,
                });
                let state = state.map_or(Answer::Unknown, Answer::State);
                return self.reply(now, requester, Some(state));
            }
            JobOp::Cancel => shard.cancel(requester, id),
            JobOp::Submit { queue, job } => {
                let stored = StoredJob::new(*queue, *job, unix_ms);
                shard.submit(requester, stored, cancelled_before)
            }
        };
        if reply == Some(Answer::Unknown) {
            // A job must not run if its cancel arrived before the job.
            self.outcomes.record_cancelled(now, id);
        }
        if reply.is_some() {
            self.reply(now, requester, reply);
        }
    }

    /// Answers an operation; none tells that this instance is not the owner.
    pub(crate) fn reply(&mut self, now: Moment, requester: Requester, reply: OpReply) {
        match requester {
            Requester::Local(number) => self.op_answered(now, number, reply),
            Requester::Peer(peer, number) => {
                self.send(peer, Message::OpReply { number, reply });
            }
        }
    }

    /// Applies records that the log has taken.
    pub(crate) fn commit(&mut self, now: Moment, id: ShardId, records: Vec<LogRecord>) {
        for record in records {
            match record {
                LogRecord::Owned { .. } => self.claimed(now, id),
                LogRecord::Job(job) => self.job_stored(now, id, *job),
                LogRecord::Ended(report) => self.end_stored(now, id, &report),
                LogRecord::Cancelled(job) => self.cancel_stored(now, id, job),
                LogRecord::Crashes(..) => {}
            }
        }
    }

    /// Processes a job that the log has taken: accepts it and lets its tasks begin.
    fn job_stored(&mut self, now: Moment, id: ShardId, job: StoredJob) {
        let Some(shard) = self.shards.owned.get_mut(&id) else { return };
        let job_id = job.job.id;
        if let Some(entry) = shard.jobs.get_mut(&job_id) {
            entry.written_at = now;
            return;
        }
        info!(target: "job", request_id:% = job_id, queue = &*job.queue.name, shard = id.0,
            steps = job.job.steps.len(); "job stored");
        shard.jobs.insert(job_id, StoredEntry::new(job, now));
        let requesters = shard.accept_waiters.remove(&job_id).unwrap_or_default();
        self.begin_stored(now, id, job_id);
        for requester in requesters {
            self.reply(now, requester, Some(Answer::Accepted));
        }
    }

    /// Queues the tasks of a stored job, or schedules its next occurrence if the job
    /// repeats.
    pub(crate) fn begin_stored(&mut self, now: Moment, id: ShardId, job_id: JobId) {
        let Some(shard) = self.shards.owned.get_mut(&id) else { return };
        let Some(entry) = shard.jobs.get(&job_id) else { return };
        match entry.job.job.repeat {
            _ if entry.job.outcome.is_some() => {}
            Some(repeat) => {
                let due_unix_ms = repeat.due_unix_ms(entry.next_occurrence);
                shard.schedule.insert((due_unix_ms, job_id));
            }
            None => self.begin_occurrence(now, id, job_id, 0),
        }
    }

    /// Begins all occurrences that are due.
    pub(crate) fn begin_due(&mut self, now: Moment, id: ShardId) {
        let unix_ms = self.unix_ms(now);
        loop {
            let Some(shard) = self.shards.owned.get_mut(&id) else { return };
            let Some(&(due_unix_ms, job_id)) = shard.schedule.first() else { return };
            if due_unix_ms > unix_ms {
                return;
            }
            shard.schedule.pop_first();
            let Some(entry) = shard.jobs.get_mut(&job_id) else { continue };
            let occurrence = entry.next_occurrence;
            let Some(repeat) = entry.job.job.repeat else { continue };
            if entry.job.outcome.is_some() || occurrence >= repeat.count {
                continue;
            }
            entry.next_occurrence += 1;
            let next = entry.next_occurrence;
            if next < repeat.count {
                shard.schedule.insert((repeat.due_unix_ms(next), job_id));
            }
            self.begin_occurrence(now, id, job_id, occurrence);
        }
    }

    /// Queues the tasks of one occurrence of a job, with the progress that the log has.
    fn begin_occurrence(
        &mut self,
        now: Moment,
        id: ShardId,
        job_id: JobId,
        occurrence: u32,
    ) {
        let unix_ms = self.unix_ms(now);
        let Some(shard) = self.shards.owned.get(&id) else { return };
        let Some(entry) = shard.jobs.get(&job_id) else { return };
        let stored = &entry.job;
        if stored.is_occurrence_done(occurrence) {
            return;
        }
        let began_unix_ms = match stored.job.repeat {
            Some(repeat) => repeat.due_unix_ms(occurrence),
            None => stored.accepted_unix_ms,
        };
        let age_ms = unix_ms.saturating_sub(began_unix_ms);
        let arrived = Moment(now.0.saturating_sub(age_ms));
        let queue = self.catalog.queue(&stored.queue.name).cloned();
        let queue = queue.unwrap_or_else(|| Arc::new(stored.queue.clone()));
        let mut tasks = tasks_of(&stored.job.steps);
        if let Some(progress) = stored.progress.get(&occurrence) {
            for (task, known) in tasks.iter_mut().zip(progress) {
                if known.done {
                    task.complete();
                }
                task.failures = known.failures;
                task.last_run = known.last_run;
                task.checkpoint.clone_from(&known.checkpoint);
            }
        }
        let key = OccurrenceRef { job: job_id, occurrence };
        for task in &mut tasks {
            task.crashes = stored.crashes_of(task.task_ref(key));
        }
        let content = (stored.job.spec.clone(), stored.job.steps.clone(), tasks);
        let pace = self.pace.ratio();
        let epoch = shard.epoch;
        let job = Job::stored(key, queue, content, pace, arrived, epoch);
        self.enqueue_job(job.rank());
        self.jobs.insert(job);
    }

    /// Processes the end of a run of a stored job; ends that must not be lost are written
    /// to the log first.
    ///
    /// The holder keeps the end on the minion's list until the owner confirms it: after
    /// the end has left the list, nobody could find out any more that the task is done.
    pub(crate) fn stored_run_ended(
        &mut self,
        now: Moment,
        holder: Holder,
        report: EndReport,
    ) {
        let EndReport { run, end, .. } = report;
        let shard_id = self.shards.shard_of(run.task.job);
        let Some(shard) = self.shards.owned.get_mut(&shard_id) else { return };
        if matches!(shard.stage, Stage::Unclaimed) {
            // Another owner may have written to the log since it was read.
            return self.claim_shard(shard_id);
        }
        if !shard.is_claimed() || !shard.log.has_room() {
            return;
        }
        let job = self.jobs.get_mut(&run.task.occurrence_ref());
        let job = job.filter(|job| job.is_stored());
        let found = job.and_then(|job| Some((job.position(run.task)?, job)));
        if let Some(reporter) = shard.reporters.get_mut(&run) {
            reporter.holder = holder;
            let lasting = found.is_some_and(|(task, job)| job.step_of(task).long_running);
            // A run that counts as crashed may be done all the same, if its order was
            // carried out afterwards.
            if end == RunEnd::Done && reporter.end != end && !lasting {
                reporter.end = end;
                shard.log.push(LogRecord::Ended(report));
            }
            return;
        }
        let Some((task, job)) = found else {
            let known = shard.jobs.get(&run.task.job);
            let superseded = shard.superseded.contains(&run)
                || known.is_some_and(|entry| entry.job.is_superseded(run));
            return match end == RunEnd::Done && superseded {
                true => self.defer_confirmation_at_holder(holder, run),
                false => self.confirm_end_at_holder(now, holder, run),
            };
        };
        let long_running = job.step_of(task).long_running;
        let entry = &mut job.tasks[task];
        entry.checkpoint.update(&report.checkpoint);
        let current = entry.last_run == run.run;
        // Long-running tasks are started again however they end, but not after crashes.
        let recorded = match end {
            RunEnd::Done | RunEnd::Failed => !long_running,
            RunEnd::Crashed => true,
            RunEnd::Void => false,
        };
        match end {
            RunEnd::Done if !long_running && run.run < entry.last_run => {
                warn!(target: "job", request_id:% = run.task.job, run:% = run.task,
                    number = run.run, current = entry.last_run;
                    "a run that was considered lost is done");
                shard.superseded.insert(run);
                self.defer_confirmation_at_holder(holder, run);
            }
            _ if entry.state() == TaskState::Done => {
                self.confirm_end_at_holder(now, holder, run)
            }
            RunEnd::Failed | RunEnd::Crashed if run.run < entry.last_run => {
                self.confirm_end_at_holder(now, holder, run)
            }
            _ if recorded => {
                if run.run >= entry.last_run {
                    // The task must not be placed while its end is being written, even if
                    // this owner did not know of the run.
                    let placement = Placement::new(holder, None, now);
                    let known = entry.placement().copied().unwrap_or(placement);
                    entry.place(run.run, Placement { ending: true, ..known });
                }
                shard.reporters.insert(run, Reporter { holder, end });
                shard.log.push(LogRecord::Ended(report));
            }
            RunEnd::Done | RunEnd::Failed | RunEnd::Crashed | RunEnd::Void => {
                info!(target: "job", request_id:% = run.task.job, run:% = run.task,
                    end:? = end; "task is queued again after the end of its run");
                if current {
                    self.requeue(now, RunGone::ended(&report));
                }
                self.confirm_end_at_holder(now, holder, run);
            }
        }
    }

    /// Tells a holder not to confirm the end of a superseded run until the lease on the
    /// minion has lapsed, from when on the end no longer counts.
    fn defer_confirmation_at_holder(&mut self, holder: Holder, run: RunRef) {
        match holder {
            Holder::Local(_) => self.defer_confirmation(run),
            Holder::Peer(peer) => self.send(peer, Message::EndSuperseded(run)),
        }
    }

    /// Tells a holder that an end may leave the minion's list.
    pub(crate) fn confirm_end_at_holder(
        &mut self,
        now: Moment,
        holder: Holder,
        run: RunRef,
    ) {
        match holder {
            Holder::Local(_) => self.confirm_end(now, run),
            Holder::Peer(peer) => self.send(peer, Message::EndConfirmed(run)),
        }
    }

    /// Processes the end of a run that the log has taken.
    fn end_stored(&mut self, now: Moment, id: ShardId, report: &EndReport) {
        let run = report.run;
        let Some(shard) = self.shards.owned.get_mut(&id) else { return };
        let reporter = shard.reporters.get(&run).copied();
        // The end as done of the same run follows in the log.
        let is_followed = reporter.is_some_and(|reporter| reporter.end != report.end);
        if !is_followed {
            shard.reporters.remove(&run);
        }
        let outcome = shard.jobs.get_mut(&run.task.job).and_then(|entry| {
            entry.apply_end(now, report);
            entry.job.outcome
        });
        if let Some(Reporter { holder, .. }) = reporter.filter(|_| !is_followed) {
            self.confirm_end_at_holder(now, holder, run);
        }
        match outcome {
            Some(outcome) => {
                info!(target: "job", request_id:% = run.task.job, outcome:? = outcome;
                    "stored job ended");
                self.drop_occurrences(now, run.task.job, true);
            }
            // The task must not be placed before.
            None if is_followed => {}
            None => self.apply_end_in_memory(now, report),
        }
    }

    /// Applies the end of a run to the occurrence in memory.
    fn apply_end_in_memory(&mut self, now: Moment, report: &EndReport) {
        let EndReport { run, end, .. } = *report;
        let occurrence = run.task.occurrence_ref();
        let Some(job) = self.jobs.get_mut(&occurrence) else { return };
        let Some(task) = job.position(run.task) else { return };
        match end {
            RunEnd::Done => {
                for task in job.gang_members(task) {
                    job.tasks[task].complete();
                }
                job.unblock();
                let rank = job.rank();
                match () {
                    () if job.is_done() => {
                        self.waiting.remove(&rank);
                        self.jobs.remove(&occurrence);
                    }
                    () if job.is_waiting() => self.enqueue_job(rank),
                    () => {}
                }
            }
            RunEnd::Crashed => {
                job.tasks[task].crashes += 1;
                self.requeue(now, RunGone::ended(report));
            }
            RunEnd::Failed | RunEnd::Void => {
                job.tasks[task].failures += 1;
                self.requeue(now, RunGone::ended(report));
            }
        }
    }

    /// Processes a cancel that the log has taken.
    fn cancel_stored(&mut self, now: Moment, id: ShardId, job: JobId) {
        let Some(shard) = self.shards.owned.get_mut(&id) else { return };
        if let Some(entry) = shard.jobs.get_mut(&job) {
            entry.close(now, JobState::Cancelled);
        }
        let requesters = shard.cancel_waiters.remove(&job).unwrap_or_default();
        info!(target: "job", request_id:% = job; "stored job cancelled");
        self.drop_occurrences(now, job, true);
        for requester in requesters {
            self.reply(now, requester, Some(Answer::Cancelled));
        }
    }

    /// Drops all occurrences of a stored job, and stops their runs if `stop` is set.
    pub(crate) fn drop_occurrences(&mut self, now: Moment, id: JobId, stop: bool) {
        let occurrences: Vec<OccurrenceRef> =
            self.jobs.occurrences(id).map(|job| job.id).collect();
        for key in occurrences {
            let Some(job) = self.jobs.remove(&key) else { continue };
            self.waiting.remove(&job.rank());
            if stop {
                self.stop_runs(now, &job);
            }
        }
    }

    /// Returns the state of a stored job according to its occurrences in memory.
    fn in_memory_state(&self, id: JobId) -> Option<JobState> {
        let states = self.jobs.occurrences(id).map(Job::state);
        states.max_by_key(|&state| state == JobState::Active)
    }

    /// Returns the wall-clock time, in milliseconds since the Unix epoch.
    pub(crate) fn unix_ms(&self, now: Moment) -> u64 {
        now.0.saturating_add_signed(self.wall_offset_ms)
    }
}

impl Shard {
    /// Starts to cancel a job, and returns the answer if no write is needed.
    fn cancel(&mut self, requester: Requester, id: JobId) -> OpReply {
        match self.jobs.get(&id) {
            Some(entry) if entry.job.outcome.is_some() => Some(Answer::Cancelled),
            None if !self.accept_waiters.contains_key(&id) => Some(Answer::Unknown),
            Some(_) | None => {
                let waiting = self.cancel_waiters.entry(id).or_default();
                if waiting.is_empty() {
                    self.log.push(LogRecord::Cancelled(id));
                }
                waiting.push(requester);
                None
            }
        }
    }

    /// Starts to store a job, and returns the answer if no write is needed.
    fn submit(
        &mut self,
        requester: Requester,
        stored: StoredJob,
        cancelled_before: bool,
    ) -> OpReply {
        let id = stored.job.id;
        if self.jobs.contains_key(&id) {
            info!(target: "job", request_id:% = id; "stored job was submitted again");
            return Some(Answer::Accepted);
        }
        if let Some(waiting) = self.accept_waiters.get_mut(&id) {
            waiting.push(requester);
            return None;
        }
        let open = self.jobs.values().filter(|entry| entry.job.outcome.is_none()).count();
        if open + self.accept_waiters.len() >= MAX_OPEN_JOBS || !self.log.has_room() {
            warn!(target: "job", request_id:% = id, open;
                "too many stored jobs are open; the new one is refused");
            return Some(Answer::Refused { retry_after_s: FULL_RETRY_AFTER_S });
        }
        self.accept_waiters.insert(id, vec![requester]);
        self.log.push(LogRecord::Job(Box::new(stored)));
        if cancelled_before {
            self.log.push(LogRecord::Cancelled(id));
        }
        None
    }
}

pub(crate) fn submit_op(queue: &crate::operator::catalog::Queue, job: NewJob) -> JobOp {
    JobOp::Submit { queue: Box::new(queue.clone()), job: Box::new(job) }
}
