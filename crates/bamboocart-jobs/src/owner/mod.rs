//! The owner role of an instance: accepting jobs, answering their requests, and tracking
//! the placement of their tasks.

pub(crate) mod backlog;
pub(crate) mod gang;
pub(crate) mod gone;
pub(crate) mod job;
pub(crate) mod job_table;
pub(crate) mod outcome;
pub(crate) mod start_backoff;
pub(crate) mod submission;
pub(crate) mod task;

use log::{info, warn};

use crate::effect::{Answer, Effect, RequestKey};
use crate::engine::Engine;
use crate::holder::orders::RejectionCause;
use crate::id::{JobId, MinionId, OccurrenceRef, RunRef};
use crate::membership::peer::PeerKey;
use crate::message::{EndReport, Message, RunEnd};
use crate::owner::backlog::Backlog;
use crate::owner::gone::RunGone;
use crate::owner::job::{Job, Rank};
use crate::owner::start_backoff::StartBackoff;
use crate::owner::submission::{JobState, Submission};
use crate::owner::task::{AvoidedMinion, Holder, MAX_CRASHES, TaskState};
use crate::shard::stored::submit_op;
use crate::time::Moment;
use crate::timing::AVOID_MS;

/// Maximum number of jobs in memory; further ones are answered as unavailable.
const MAX_JOBS: usize = 4_096;

/// Increment of the run number after a minion has reported a higher one.
const RUN_NUMBER_STEP: u64 = 16;

/// Upper bound of the duration of a job, as a multiple of its objective, by which a
/// stopping instance decides whether to accept it. Estimates are often off by a factor of
/// two, and a run may have to be repeated.
const STOP_DURATION_FACTOR: u64 = 3;

impl Engine {
    /// Accepts or refuses a request to run a job; the answer follows as an effect.
    pub fn submit(&mut self, now: Moment, submission: Submission) {
        let request = submission.request;
        let id = submission.job.id;
        if !submission.job.best_effort {
            let op = submit_op(&submission.queue, submission.job);
            self.start_op(now, request, id, op, submission.timeout_ms);
            return self.advance(now);
        }
        if let Some(outcome) = self.outcomes.get(id) {
            info!(target: "job", request_id:% = id, outcome:? = outcome;
                "repeated request is answered with the known outcome");
            return self.answer(request, Answer::Ended(outcome));
        }
        if let Some(job) = self.jobs.get_mut(&id.into()) {
            info!(target: "job", request_id:% = id; "repeated request joins the job");
            job.join(request, now + submission.timeout_ms);
            self.job_of_request.insert(request, id.into());
            return;
        }
        if self.is_service_evacuated(&submission.queue.service) {
            let reason = "all failure domains of the service are evacuated";
            info!(target: "job", request_id:% = id, reason; "job refused");
            let retry_after_s = self.retry_after_s();
            return self.answer(request, Answer::Refused { retry_after_s });
        }
        if self.jobs.len() >= MAX_JOBS {
            let reason = "too many jobs";
            warn!(target: "job", request_id:% = id, reason; "job refused");
            return self.answer(request, Answer::Unavailable);
        }
        let policy = self.overload.policy;
        let job = Job::best_effort(submission, self.pace.ratio(), policy, now);
        let longest_ms = STOP_DURATION_FACTOR * job.objective_ms;
        if self.ends_at.is_some_and(|end| now + longest_ms > end) {
            warn!(target: "job", request_id:% = id, objective_ms = job.objective_ms,
                reason = "the instance stops before the job can end"; "job refused");
            return self.answer(request, Answer::Unavailable);
        }
        info!(target: "job", request_id:% = id, queue = &*job.queue.name,
            tasks = job.tasks.len(), objective_ms = job.objective_ms,
            config = self.catalog.version; "job accepted");
        self.job_of_request.insert(request, job.id);
        self.overload.note_arrival(&job, now);
        self.enqueue_job(job.rank());
        let id = job.id;
        self.jobs.insert(job);
        self.advance(now);
        self.decide_on_waiting(now, id);
    }

    /// Handles the disconnect of the client of a request.
    ///
    /// A best-effort job is ended once no request waits for it.
    pub fn abandon(&mut self, now: Moment, request: RequestKey) {
        self.abandon_op(request);
        let Some(id) = self.job_of_request.remove(&request) else { return };
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.requests.retain(|&waiting| waiting != request);
        if job.requests.is_empty() {
            self.end_job(now, id, None, "client left");
        }
        self.advance(now);
    }

    /// Cancels a job, and returns whether this instance knew it.
    ///
    /// A cancel for an unknown job is broadcast, since any peer may own the job or
    /// receive its request later.
    pub fn cancel(&mut self, now: Moment, id: JobId) -> bool {
        let known = self.state(id).is_some();
        if !self.cancel_own(now, id) && !known {
            info!(target: "job", request_id:% = id;
                "job is unknown here; asking the peers to cancel it");
            self.outcomes.record_cancelled(now, id);
            self.broadcast(&Message::Cancel(id));
        }
        self.advance(now);
        known
    }

    /// Cancels a job on behalf of a client of a peer.
    pub(crate) fn cancel_for_peer(&mut self, now: Moment, id: JobId) {
        if !self.cancel_own(now, id) {
            self.outcomes.record_cancelled(now, id);
        }
    }

    /// Cancels a best-effort job of this instance, and returns whether it was active.
    fn cancel_own(&mut self, now: Moment, id: JobId) -> bool {
        let key = OccurrenceRef::from(id);
        let active = self.jobs.get(&key).is_some_and(|job| !job.is_stored());
        if active {
            let outcome = Some(Answer::Ended(JobState::Cancelled));
            self.end_job(now, key, outcome, "cancelled");
            self.outcomes.record(now, id, JobState::Cancelled);
        }
        active
    }

    /// Returns the state of a best-effort job of this instance, if it is known.
    pub fn state(&self, id: JobId) -> Option<JobState> {
        let active = self.jobs.get(&id.into()).filter(|job| !job.is_stored());
        active.map(Job::state).or_else(|| self.outcomes.get_owned(id))
    }

    /// Queues the answer to a client's request as an effect.
    pub(crate) fn answer(&mut self, request: RequestKey, answer: Answer) {
        self.effects.push(Effect::Answer(request, answer));
    }

    /// Ends a job: stops its runs and answers its requests.
    pub(crate) fn end_job(
        &mut self,
        now: Moment,
        id: OccurrenceRef,
        answer: Option<Answer>,
        why: &str,
    ) {
        let Some(job) = self.jobs.remove(&id) else { return };
        self.waiting.remove(&job.rank());
        let done = job.tasks.iter().filter(|t| t.state() == TaskState::Done).count();
        info!(target: "job", request_id:% = id.job, why, answer:? = answer, done,
            tasks = job.tasks.len(), age_ms = now.since(job.arrived),
            objective_ms = job.objective_ms; "job ended");
        self.stop_runs(now, &job);
        for request in job.requests {
            self.job_of_request.remove(&request);
            if let Some(answer) = answer {
                self.answer(request, answer);
            }
        }
    }

    pub(crate) fn stop_runs(&mut self, now: Moment, job: &Job) {
        for task in 0..job.tasks.len() {
            if let Some(placement) = job.tasks[task].placement() {
                self.stop_at(now, placement.holder, job.run_ref(task));
            }
        }
    }

    /// Returns the task of a run, if it is the current run of the task at this holder.
    ///
    /// The number alone is not enough: a job that was sent again has runs with the same
    /// numbers under its earlier owner.
    pub(crate) fn current_task(
        &mut self,
        run: RunRef,
        holder: Holder,
    ) -> Option<(&mut Job, usize)> {
        let (job, task) = self.placed_task(run)?;
        let placement = job.tasks[task].placement()?;
        (placement.holder == holder).then_some((job, task))
    }

    /// Returns the task of a run, if the current run of the task has the same number.
    pub(crate) fn placed_task(&mut self, run: RunRef) -> Option<(&mut Job, usize)> {
        let job = self.jobs.get_mut(&run.task.occurrence_ref())?;
        let task = job.position(run.task)?;
        let placed = job.tasks[task].placement().is_some();
        (placed && job.tasks[task].last_run == run.run).then_some((job, task))
    }

    /// Adds a job to the queue of jobs with tasks to place.
    pub(crate) fn enqueue_job(&mut self, rank: Rank) {
        self.waiting.insert(rank);
        self.placement_due = true;
    }

    /// Returns a task to the queue after its run has ended without a result.
    pub(crate) fn requeue(&mut self, now: Moment, gone: RunGone) {
        let run = gone.run();
        let Some((job, task)) = self.placed_task(run) else { return };
        let minion = job.tasks[task].placement().and_then(|it| it.minion);
        let avoided = |minion| AvoidedMinion { minion, until: now + AVOID_MS };
        job.tasks[task].avoided = minion.map(avoided);
        job.tasks[task].backoff = StartBackoff::default();
        job.tasks[task].free(&gone);
        let rank = job.rank();
        self.enqueue_job(rank);
        self.stop_gang(now, run);
    }

    /// Processes a peer's report of the end of a run on a minion.
    pub(crate) fn end_reported(
        &mut self,
        now: Moment,
        peer: PeerKey,
        minion: &MinionId,
        report: EndReport,
    ) {
        let holder = Holder::Peer(peer);
        let job = self.jobs.get(&report.run.task.occurrence_ref());
        let job = job.filter(|job| !job.is_stored());
        let task = job.and_then(|job| Some(&job.tasks[job.position(report.run.task)?]));
        let placed_on = task.and_then(|task| task.placement()?.minion);
        let key = self.minions.by_id.get(minion).copied();
        match job.is_some() {
            true if placed_on.is_some() && placed_on != key => {
                info!(target: "job", request_id:% = report.run.task.job,
                    run:% = report.run.task, minion:% = minion;
                    "ignoring the end of a run of an earlier owner");
            }
            true => self.run_ended(now, holder, report),
            false if self.shards.have_stored_jobs() => {
                self.stored_run_ended(now, holder, report);
            }
            false => {}
        }
    }

    /// Processes the end of a run of a job of this instance.
    pub(crate) fn run_ended(&mut self, now: Moment, holder: Holder, report: EndReport) {
        let job = self.jobs.get(&report.run.task.occurrence_ref());
        if job.is_some_and(Job::is_stored) {
            return self.stored_run_ended(now, holder, report);
        }
        let gone = RunGone::ended(&report);
        let EndReport { run, end, checkpoint } = report;
        let Some((job, task)) = self.current_task(run, holder) else { return };
        job.tasks[task].checkpoint.update(&checkpoint);
        match end {
            RunEnd::Done => {
                for member in job.gang_members(task) {
                    job.tasks[member].complete();
                }
                if job.is_done() {
                    let id = job.id;
                    let answer = Some(Answer::Ended(JobState::Completed));
                    self.end_job(now, id, answer, "all tasks are done");
                    self.outcomes.record(now, id.job, JobState::Completed);
                } else {
                    job.unblock();
                    let rank = job.rank();
                    if job.is_waiting() {
                        self.enqueue_job(rank);
                    }
                }
            }
            RunEnd::Failed => {
                let members = job.gang_members(task);
                members.into_iter().for_each(|member| job.tasks[member].failures += 1);
                let failures = job.tasks[task].failures;
                info!(target: "job", request_id:% = run.task.job, run:% = run.task,
                    failures, limit = job.queue.max_attempts; "run failed");
                match failures >= job.queue.max_attempts {
                    true => self.fail_job(now, run, "a task failed too often"),
                    false => self.requeue(now, gone),
                }
            }
            RunEnd::Crashed => {
                job.tasks[task].crashes += 1;
                let crashes = job.tasks[task].crashes;
                info!(target: "job", request_id:% = run.task.job, run:% = run.task,
                    number = run.run, crashes, limit = MAX_CRASHES;
                    "minion crashed under a run");
                match crashes >= MAX_CRASHES {
                    true => self.fail_job(now, run, "minions crashed under a task"),
                    false => self.requeue(now, gone),
                }
            }
            RunEnd::Void => {
                info!(target: "job", request_id:% = run.task.job, run:% = run.task,
                    number = run.run; "run is void and waits again");
                self.requeue(now, gone);
            }
        }
    }

    /// Ends the best-effort job of a run as failed.
    fn fail_job(&mut self, now: Moment, run: RunRef, why: &str) {
        let id = run.task.occurrence_ref();
        let answer = Some(Answer::Ended(JobState::Failed));
        self.end_job(now, id, answer, why);
        self.outcomes.record(now, id.job, JobState::Failed);
    }

    /// Processes the report that a run was not started.
    pub(crate) fn start_rejected(
        &mut self,
        now: Moment,
        holder: Holder,
        gone: RunGone,
        cause: RejectionCause,
    ) {
        let run = gone.run();
        let Some((job, task)) = self.current_task(run, holder) else { return };
        info!(target: "job", request_id:% = run.task.job, run:% = run.task,
            number = run.run, cause:?; "run was not started and waits again");
        let minion = job.tasks[task].placement().and_then(|it| it.minion);
        // The minion may have rejected the ticket.
        let step = job.tasks[task].step;
        if let (Some(minion), Some(advice)) = (minion, job.advice.get_mut(&step)) {
            advice.forget(minion);
        }
        job.tasks[task].free(&gone);
        match cause {
            RejectionCause::Unavailable => {}
            RejectionCause::Outdated => job.tasks[task].last_run += RUN_NUMBER_STEP,
            RejectionCause::Malformed => {
                job.tasks[task].backoff.note_malformed(minion, now);
            }
        }
        let rank = job.rank();
        self.enqueue_job(rank);
        if let Holder::Peer(peer) = holder
            && let Some(minion) = minion.and_then(|key| self.minions.arena.get(key))
            && let Some(peer) = self.peers.arena.get_mut(peer)
        {
            peer.clear_capacity(&minion.entry.id);
        }
        self.stop_gang(now, run);
    }

    /// Updates the placement of a run that its holder has started on another minion.
    pub(crate) fn run_moved(&mut self, holder: Holder, run: RunRef, minion: &MinionId) {
        let key = self.minions.by_id.get(minion).copied();
        if let Some((job, task)) = self.current_task(run, holder)
            && let Some(placement) = job.tasks[task].placement_mut()
        {
            placement.minion = key;
        }
    }

    /// Returns after how many seconds the client of a refused job may retry.
    pub(crate) fn retry_after_s(&mut self) -> u64 {
        let backlog = Backlog::of(self.jobs.values(), self.pace.ratio());
        backlog.retry_after_s(&mut self.rng)
    }

    /// Refuses jobs that have not started in time, and gives up those past their
    /// deadline.
    pub(crate) fn expire(&mut self, now: Moment) {
        let over = |job: &&Job| job.ends_by().is_some_and(|end| end <= now);
        let over = self.jobs.with_deadline().filter(over);
        let ends: Vec<(OccurrenceRef, bool)> =
            over.map(|job| (job.id, job.start_ordered)).collect();
        if ends.is_empty() {
            return;
        }
        let backlog = Backlog::of(self.jobs.values(), self.pace.ratio());
        for (id, ordered) in ends {
            match ordered {
                true => {
                    let answer = Some(Answer::GivenUp);
                    self.end_job(now, id, answer, "deadline");
                }
                false => {
                    if let Some(job) = self.jobs.get(&id) {
                        let priority = job.queue.priority;
                        self.overload.status_of(priority).refused_after_wait += 1;
                    }
                    let retry_after_s = backlog.retry_after_s(&mut self.rng);
                    let answer = Answer::Refused { retry_after_s };
                    self.end_job(now, id, Some(answer), "no room in time");
                }
            }
        }
    }

    /// Ends all best-effort jobs whose clients wait, because the instance stops now.
    ///
    /// Clients learn at once that they have to send their jobs again, and the runs are
    /// stopped before those arrive elsewhere.
    pub fn give_up_requests(&mut self, now: Moment) {
        let open = self.jobs.values().filter(|job| !job.requests.is_empty());
        let open: Vec<(OccurrenceRef, bool)> =
            open.map(|job| (job.id, job.start_ordered)).collect();
        for (id, ordered) in open {
            let answer = if ordered { Answer::GivenUp } else { Answer::Unavailable };
            self.end_job(now, id, Some(answer), "the instance stops");
        }
        self.advance(now);
    }

    /// Returns the tasks to the queue whose runs are lost with their holders.
    pub(crate) fn requeue_lost(&mut self, now: Moment) {
        for (holder, gone) in self.lost_runs(now) {
            let run = gone.run();
            warn!(target: "job", request_id:% = run.task.job, run:% = run.task,
                number = run.run, evidence:? = gone.evidence();
                "holder of a run is lost; the task is queued again");
            // The holder may be alive and have the run after all.
            self.stop_at(now, holder, run);
            self.note_superseded(run);
            self.requeue(now, gone);
        }
    }
}
