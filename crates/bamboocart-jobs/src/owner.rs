//! The owner's part: jobs, their answers, and the placement of their tasks.

use log::{info, warn};

use crate::backlog::Backlog;
use crate::effect::{Answer, Effect, RequestKey};
use crate::engine::Engine;
use crate::id::{JobId, MinionId, RunRef};
use crate::job::{Holder, Job, JobState, Rank, Submission, TaskState};
use crate::message::{Message, RunEnd};
use crate::time::Moment;

/// The most jobs at the same time; more are refused.
const MAX_JOBS: usize = 4_096;

/// The step by which run numbers rise when a minion has seen higher ones.
const RUN_NUMBER_STEP: u64 = 16;

/// How many times as long as its objective a job may last that a stopping instance takes.
/// Estimates are often off by a factor of two, and a run may have to be repeated.
const STOP_MARGIN: u64 = 3;

impl Engine {
    /// Takes a request to run a job; an answer follows as an effect.
    pub fn submit(&mut self, now: Moment, submission: Submission) {
        let request = submission.request;
        let id = submission.job.id;
        if let Some(outcome) = self.outcomes.of(id) {
            info!(target: "job", request_id:% = id, outcome:? = outcome;
                "repeated request gets the known outcome");
            return self.answer(request, Answer::Ended(outcome));
        }
        if let Some(job) = self.jobs.get_mut(&id) {
            info!(target: "job", request_id:% = id; "repeated request joins the job");
            job.requests.push(request);
            job.deadline = job.deadline.max(now + submission.patience_ms);
            self.job_of_request.insert(request, id);
            return;
        }
        if let Some(reason) = self.refusal(&submission) {
            warn!(target: "job", request_id:% = id, reason; "job refused");
            return self.answer(request, Answer::Unavailable);
        }
        let job = Job::new(submission, self.pace.ratio(), now);
        let longest_ms = STOP_MARGIN * job.objective_ms;
        if self.ends_at.is_some_and(|end| now + longest_ms > end) {
            warn!(target: "job", request_id:% = id, objective_ms = job.objective_ms,
                reason = "the instance stops before the job can end"; "job refused");
            return self.answer(request, Answer::Unavailable);
        }
        info!(target: "job", request_id:% = id, queue = &*job.queue.name,
            tasks = job.tasks.len(), objective_ms = job.objective_ms,
            config = self.catalog.version; "job accepted");
        self.job_of_request.insert(request, id);
        self.wait(job.rank());
        self.jobs.insert(id, job);
        self.settle(now);
    }

    /// Returns why a job cannot be taken at all.
    fn refusal(&self, submission: &Submission) -> Option<&'static str> {
        match () {
            () if self.jobs.len() >= MAX_JOBS => Some("too many jobs"),
            () if !submission.job.best_effort => Some("stored jobs are not supported"),
            () => submission.job.unsupported,
        }
    }

    /// Notes that the client of a request is gone.
    pub fn abandon(&mut self, now: Moment, request: RequestKey) {
        let Some(id) = self.job_of_request.remove(&request) else { return };
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.requests.retain(|&waiting| waiting != request);
        if job.requests.is_empty() {
            self.end_job(now, id, None, "client left");
        }
        self.settle(now);
    }

    /// Cancels a job, and returns whether this instance knew it. Peers hear of a job that it
    /// does not know, since any of them may own it or get its request again.
    pub fn cancel(&mut self, now: Moment, id: JobId) -> bool {
        let known = self.state(id).is_some();
        if !self.cancel_own(now, id) && !known {
            info!(target: "job", request_id:% = id; "peers are asked to cancel a job");
            self.outcomes.record_cancelled(now, id);
            self.broadcast(&Message::Cancel(id));
        }
        self.settle(now);
        known
    }

    /// Cancels a job for a client of a peer.
    pub(crate) fn cancel_for_peer(&mut self, now: Moment, id: JobId) {
        if !self.cancel_own(now, id) {
            self.outcomes.record_cancelled(now, id);
        }
    }

    /// Cancels a job of this instance, and returns whether it has not ended before.
    fn cancel_own(&mut self, now: Moment, id: JobId) -> bool {
        let active = self.jobs.contains_key(&id);
        if active {
            let outcome = Some(Answer::Ended(JobState::Cancelled));
            self.end_job(now, id, outcome, "cancelled");
            self.outcomes.record(now, id, JobState::Cancelled);
        }
        active
    }

    /// Returns the state of a job, if it is known.
    pub fn state(&self, id: JobId) -> Option<JobState> {
        let active = self.jobs.get(&id).map(Job::state);
        active.or_else(|| self.outcomes.of_owned(id))
    }

    /// Returns how many jobs of a queue have not started.
    pub fn pending(&self, queue: &str) -> usize {
        let pending = |job: &&Job| !job.ordered && *job.queue.name == *queue;
        self.jobs.values().filter(pending).count()
    }

    /// Queues an answer.
    fn answer(&mut self, request: RequestKey, answer: Answer) {
        self.effects.push(Effect::Answer(request, answer));
    }

    /// Ends a job: stops what runs and answers its requests.
    fn end_job(&mut self, now: Moment, id: JobId, answer: Option<Answer>, why: &str) {
        let Some(job) = self.jobs.remove(&id) else { return };
        self.waiting.remove(&job.rank());
        let done = job.tasks.iter().filter(|t| t.state == TaskState::Done).count();
        info!(target: "job", request_id:% = id, why, answer:? = answer, done,
            tasks = job.tasks.len(), age_ms = now.since(job.arrived),
            objective_ms = job.objective_ms; "job ended");
        for task in 0..job.tasks.len() {
            if let Some(placement) = job.tasks[task].placement() {
                let run = job.run_ref(task);
                match placement.holder {
                    Holder::Local(key) => self.stop_run(now, key, run),
                    Holder::Peer(peer) => self.send(peer, Message::Stop(run)),
                }
            }
        }
        for request in job.requests {
            self.job_of_request.remove(&request);
            if let Some(answer) = answer {
                self.answer(request, answer);
            }
        }
    }

    /// Returns the task of a run, if the run is its current one at this holder.
    ///
    /// A job that was sent again has runs of the same numbers under its earlier owner, so
    /// that the number alone does not tell.
    pub(crate) fn current(
        &mut self,
        run: RunRef,
        holder: Holder,
    ) -> Option<(&mut Job, usize)> {
        let (job, task) = self.placed(run)?;
        let placement = job.tasks[task].placement()?;
        (placement.holder == holder).then_some((job, task))
    }

    /// Returns the task of a run, if its current run has this number.
    pub(crate) fn placed(&mut self, run: RunRef) -> Option<(&mut Job, usize)> {
        let job = self.jobs.get_mut(&run.task.job)?;
        let task = job.position(run.task)?;
        let placed = job.tasks[task].placement().is_some();
        (placed && job.tasks[task].last_run == run.run).then_some((job, task))
    }

    /// Lets a job wait for the placement of tasks.
    fn wait(&mut self, rank: Rank) {
        self.waiting.insert(rank);
        self.placement_due = true;
    }

    /// Lets a task wait for another placement.
    pub(crate) fn requeue(&mut self, run: RunRef) {
        let Some((job, task)) = self.placed(run) else { return };
        job.tasks[task].avoid = job.tasks[task].placement().and_then(|it| it.minion);
        job.tasks[task].state = TaskState::Waiting;
        let rank = job.rank();
        self.wait(rank);
    }

    /// Takes the end of a run of an own job.
    pub(crate) fn run_ended(
        &mut self,
        now: Moment,
        holder: Holder,
        run: RunRef,
        end: RunEnd,
    ) {
        let Some((job, task)) = self.current(run, holder) else { return };
        match end {
            RunEnd::Done => {
                job.tasks[task].state = TaskState::Done;
                if job.is_done() {
                    let id = job.id;
                    let answer = Some(Answer::Ended(JobState::Completed));
                    self.end_job(now, id, answer, "all tasks are done");
                    self.outcomes.record(now, id, JobState::Completed);
                } else {
                    job.unblock();
                    let rank = job.rank();
                    if job.is_waiting() {
                        self.wait(rank);
                    }
                }
            }
            RunEnd::Failed => {
                job.tasks[task].failures += 1;
                let failures = job.tasks[task].failures;
                info!(target: "job", request_id:% = run.task.job, run:% = run.task,
                    failures, limit = job.queue.max_attempts; "run failed");
                if failures >= job.queue.max_attempts {
                    let id = job.id;
                    let answer = Some(Answer::Ended(JobState::Failed));
                    self.end_job(now, id, answer, "a task failed too often");
                    self.outcomes.record(now, id, JobState::Failed);
                } else {
                    self.requeue(run);
                }
            }
            RunEnd::Void => {
                info!(target: "job", request_id:% = run.task.job, run:% = run.task;
                    "run is void and waits again");
                self.requeue(run);
            }
        }
    }

    /// Takes note that a run was not started.
    pub(crate) fn run_bounced(&mut self, holder: Holder, run: RunRef, outdated: bool) {
        let Some((job, task)) = self.current(run, holder) else { return };
        let minion = job.tasks[task].placement().and_then(|it| it.minion);
        if outdated {
            job.tasks[task].last_run += RUN_NUMBER_STEP;
        }
        job.tasks[task].state = TaskState::Waiting;
        let rank = job.rank();
        self.wait(rank);
        if let Holder::Peer(peer) = holder
            && let Some(minion) = minion.and_then(|key| self.minions.arena.get(key))
            && let Some(peer) = self.peers.arena.get_mut(peer)
        {
            peer.forget_room(&minion.entry.id);
        }
    }

    /// Takes note that a holder has started a run on another minion than the named one.
    pub(crate) fn run_moved(&mut self, holder: Holder, run: RunRef, minion: &MinionId) {
        let key = self.minions.by_id.get(minion).copied();
        if let Some((job, task)) = self.current(run, holder)
            && let Some(placement) = job.tasks[task].placement_mut()
        {
            placement.minion = key;
        }
    }

    /// Refuses, gives up and requeues what has run out of time.
    pub(crate) fn expire(&mut self, now: Moment) {
        let mut ends = Vec::new();
        let mut gone = Vec::new();
        for job in self.jobs.values() {
            if job.ends_by() <= now {
                ends.push((job.id, job.ordered));
                continue;
            }
            for position in 0..job.tasks.len() {
                let Some(placement) = job.tasks[position].placement() else { continue };
                let silent = match placement.holder {
                    Holder::Peer(peer) => {
                        let peer = self.peers.arena.get(peer);
                        peer.is_none_or(|peer| peer.is_gone(now))
                    }
                    Holder::Local(_) => false,
                };
                if silent || placement.gone_at.is_some_and(|gone_at| gone_at <= now) {
                    gone.push(job.run_ref(position));
                }
            }
        }
        for run in gone {
            warn!(target: "job", request_id:% = run.task.job, run:% = run.task;
                "the holder of a run is lost");
            self.requeue(run);
        }
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
                    let retry_after_s = backlog.retry_after_s(&mut self.rng);
                    let answer = Answer::Refused { retry_after_s };
                    self.end_job(now, id, Some(answer), "no room in time");
                }
            }
        }
    }
}
