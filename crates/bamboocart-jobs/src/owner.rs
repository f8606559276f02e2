//! The owner's part: jobs, their answers, and the placement of their tasks.

use log::{info, warn};

use crate::backlog::Backlog;
use crate::effect::{Answer, Effect, RequestKey};
use crate::engine::Engine;
use crate::holder::RunOrder;
use crate::id::{JobId, MinionId, RunRef};
use crate::job::{Holder, Job, JobState, Placement, Rank, Submission, TaskState};
use crate::message::{Message, RunEnd};
use crate::minion::{MinionKey, RunOwner};
use crate::peer::PeerKey;
use crate::placement::{self, Candidate, Choice, Site};
use crate::resources::Resources;
use crate::time::Moment;
use crate::timing::RUN_GONE_MS;

/// The most jobs at the same time; more are refused.
const MAX_JOBS: usize = 4_096;

/// The step by which run numbers rise when a minion has seen higher ones.
const RUN_NUMBER_STEP: u64 = 16;

/// How many times as long as its objective a job may last that a stopping instance takes.
/// Estimates are often off by a factor of two, and a run may have to be repeated.
const STOP_MARGIN: u64 = 3;

/// The time that an order to a peer takes longer than one to an own minion.
const HOP_MS: f64 = 4.0;

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
            if let TaskState::Placed(placement) = job.tasks[task].state {
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
    fn current(&mut self, run: RunRef, holder: Holder) -> Option<(&mut Job, usize)> {
        let (job, task) = self.placed(run)?;
        let TaskState::Placed(placement) = job.tasks[task].state else { return None };
        (placement.holder == holder).then_some((job, task))
    }

    /// Returns the task of a run, if its current run has this number.
    fn placed(&mut self, run: RunRef) -> Option<(&mut Job, usize)> {
        let job = self.jobs.get_mut(&run.task.job)?;
        let task = job.position(run.task)?;
        let placed = matches!(job.tasks[task].state, TaskState::Placed(_));
        (placed && job.tasks[task].last_run == run.run).then_some((job, task))
    }

    /// Lets a job wait for the placement of tasks.
    fn wait(&mut self, rank: Rank) {
        self.waiting.insert(rank);
        self.placement_due = true;
    }

    /// Lets a task wait for another placement.
    fn requeue(&mut self, run: RunRef) {
        let Some((job, task)) = self.placed(run) else { return };
        if let TaskState::Placed(placement) = job.tasks[task].state {
            job.tasks[task].avoid = placement.minion;
        }
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
        let mut minion = None;
        if let TaskState::Placed(placement) = job.tasks[task].state {
            minion = placement.minion;
        }
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
            && let TaskState::Placed(placement) = &mut job.tasks[task].state
        {
            placement.minion = key;
        }
    }

    /// Notes that the holder of a run has lost the minion; a new one may adopt the run.
    ///
    /// Until then, or until the run is gone for certain, the task is not placed again.
    pub(crate) fn holder_lost(&mut self, now: Moment, holder: Holder, run: RunRef) {
        if let Some((job, task)) = self.current(run, holder)
            && let TaskState::Placed(placement) = &mut job.tasks[task].state
        {
            placement.gone_at.get_or_insert(now + RUN_GONE_MS);
            info!(target: "job", request_id:% = run.task.job, run:% = run.task,
                holder:? = holder; "the holder of a run has lost the minion");
        }
    }

    /// Claims a run that a new holder has found, if it is current; returns what it needs.
    ///
    /// Announcements can arrive late: one of an earlier holder must not replace a later one,
    /// nor this instance while it holds the minion under a higher token itself.
    pub(crate) fn claim(
        &mut self,
        run: RunRef,
        peer: Option<PeerKey>,
        minion: &MinionId,
        fencing_token: u64,
    ) -> Option<Resources> {
        let key = self.minions.by_id.get(minion).copied()?;
        let own_token = self.minions.arena[key].held.as_ref().map(|h| h.fencing_token);
        if own_token.is_some_and(|own_token| own_token > fencing_token) {
            return None;
        }
        let (job, task) = self.placed(run)?;
        let TaskState::Placed(placement) = &mut job.tasks[task].state else {
            return None;
        };
        if placement.minion != Some(key) || placement.fencing_token > fencing_token {
            return None;
        }
        placement.fencing_token = fencing_token;
        placement.holder = peer.map_or(Holder::Local(key), Holder::Peer);
        placement.gone_at = None;
        Some(job.step_of(task).need)
    }

    /// Takes a peer's announcement of what it found on a minion.
    pub(crate) fn adopted_by_peer(
        &mut self,
        now: Moment,
        peer: PeerKey,
        (minion, fencing_token): (&MinionId, u64),
        active: Vec<RunRef>,
        ended: Vec<(RunRef, RunEnd)>,
    ) {
        for run in active {
            if let Some(need) = self.claim(run, Some(peer), minion, fencing_token) {
                let minion = minion.clone();
                self.send(peer, Message::Claimed { minion, run, need });
            }
        }
        for (run, end) in ended {
            if self.claim(run, Some(peer), minion, fencing_token).is_some() {
                self.run_ended(now, Holder::Peer(peer), run, end);
            }
        }
    }

    /// Treats the runs at a holder as lost that the holder does not list, if it had the
    /// order when it made the list.
    pub(crate) fn reconcile(
        &mut self,
        now: Moment,
        peer: PeerKey,
        listed: &[RunRef],
        echo: Moment,
    ) {
        let missing: Vec<RunRef> = self
            .runs_at_peer(peer)
            .into_iter()
            .filter(|run| !listed.contains(run))
            .filter(|&run| self.placed_by(run, echo))
            .collect();
        for run in missing {
            self.holder_lost(now, Holder::Peer(peer), run);
        }
    }

    /// Returns whether a run was placed at `moment` or before.
    fn placed_by(&self, run: RunRef, moment: Moment) -> bool {
        let job = self.jobs.get(&run.task.job);
        let task = job.and_then(|job| Some(&job.tasks[job.position(run.task)?]));
        task.is_some_and(|task| match task.state {
            TaskState::Placed(placement) => placement.since <= moment,
            TaskState::Blocked | TaskState::Waiting | TaskState::Done => false,
        })
    }

    /// Returns the runs that are placed at a peer.
    pub(crate) fn runs_at_peer(&self, peer: PeerKey) -> Vec<RunRef> {
        let mut runs = Vec::new();
        for job in self.jobs.values() {
            for (position, task) in job.tasks.iter().enumerate() {
                if let TaskState::Placed(placement) = task.state
                    && placement.holder == Holder::Peer(peer)
                {
                    runs.push(job.run_ref(position));
                }
            }
        }
        runs
    }

    /// Refuses, gives up and requeues what has run out of time.
    pub(crate) fn expire(&mut self, now: Moment) {
        let mut ends = Vec::new();
        let mut gone = Vec::new();
        for job in self.jobs.values() {
            let age_limit = if job.ordered { job.deadline } else { job.start_by() };
            if age_limit <= now {
                ends.push((job.id, job.ordered));
                continue;
            }
            for position in 0..job.tasks.len() {
                let run = job.run_ref(position);
                let TaskState::Placed(placement) = job.tasks[position].state else {
                    continue;
                };
                let silent = match placement.holder {
                    Holder::Peer(peer) => {
                        let peer = self.peers.arena.get(peer);
                        peer.is_none_or(|peer| peer.is_gone(now))
                    }
                    Holder::Local(_) => false,
                };
                if silent || placement.gone_at.is_some_and(|gone_at| gone_at <= now) {
                    gone.push(run);
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

    /// Places the waiting tasks in the order of their jobs, if tasks or room have come since
    /// the last time.
    pub(crate) fn place(&mut self, now: Moment) {
        if self.waiting.is_empty() || !self.placement_due {
            return;
        }
        let mut candidates = self.candidates(now);
        let order: Vec<JobId> = self.waiting.iter().map(|rank| rank.job).collect();
        for id in order {
            if candidates.is_empty() {
                break;
            }
            self.place_job(now, id, &mut candidates);
        }
        self.placement_due = false;
    }

    /// Places the waiting tasks of a job as far as there is room. More urgent jobs come
    /// first, so that what is left of a wide one takes the next room.
    fn place_job(&mut self, now: Moment, id: JobId, candidates: &mut [Candidate]) {
        let Some(job) = self.jobs.get(&id) else { return };
        let arena = &self.minions.arena;
        let suits = |job: &Job, task: usize, key: MinionKey| {
            let Some(minion) = arena.get(key) else { return false };
            let label = job.step_of(task).required_label.as_ref();
            minion.entry.service == job.queue.service
                && job.tasks[task].avoid != Some(key)
                && label.is_none_or(|label| minion.entry.labels.contains(label))
        };
        let choices = placement::choose(job, candidates, suits, &mut self.rng, now);
        let waiting =
            job.tasks.iter().filter(|task| task.state == TaskState::Waiting).count();
        if choices.len() == waiting {
            self.waiting.remove(&job.rank());
        }
        for choice in choices {
            let candidate = candidates[choice.candidate].clone();
            self.place_task(now, id, choice, &candidate);
        }
    }

    /// Orders a run of a task on the chosen minion.
    fn place_task(
        &mut self,
        now: Moment,
        id: JobId,
        choice: Choice,
        candidate: &Candidate,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let holder = match candidate.site {
            Site::Local => Holder::Local(candidate.minion),
            Site::Peer(peer) => Holder::Peer(peer),
        };
        job.ordered = true;
        job.tasks[choice.task].last_run += 1;
        job.tasks[choice.task].state = TaskState::Placed(Placement {
            holder,
            minion: Some(candidate.minion),
            fencing_token: 0,
            since: now,
            gone_at: None,
        });
        let run = job.run_ref(choice.task);
        let step = job.step_of(choice.task);
        let (need, estimate_ms) = (step.need, step.estimate_ms);
        let spec = job.spec.clone();
        let minion = self.minions.arena[candidate.minion].entry.id.clone();
        info!(target: "job", request_id:% = id, run:% = run.task, number = run.run,
            minion:% = minion, pace = candidate.pace,
            local = candidate.site == Site::Local; "task placed");
        match candidate.site {
            Site::Local => {
                let order = RunOrder { run, need, estimate_ms, spec };
                if !self.start_run(now, candidate.minion, order, RunOwner::Local) {
                    self.requeue(run);
                }
            }
            Site::Peer(key) => {
                if let Some(peer) = self.peers.arena.get_mut(key) {
                    peer.offer(&minion, need, now);
                    peer.engaged = true;
                }
                self.send(key, Message::Start { run, minion, need, estimate_ms, spec });
            }
        }
    }

    /// Returns the minions with free room, of this instance and of its peers.
    fn candidates(&self, now: Moment) -> Vec<Candidate> {
        let mut candidates = Vec::new();
        for (key, minion, _) in self.minions.held() {
            if let Some(free) = minion.free(now)
                && free.cpu_millicores > 0
            {
                let pace = minion.pace.ratio();
                let site = Site::Local;
                candidates.push(Candidate { site, minion: key, free, pace, hop_ms: 0.0 });
            }
        }
        for (peer_key, peer) in &self.peers.arena {
            if !peer.is_responsive(now) {
                continue;
            }
            for room in &peer.rooms {
                let Some(&minion) = self.minions.by_id.get(&room.minion) else {
                    continue;
                };
                candidates.push(Candidate {
                    site: Site::Peer(peer_key),
                    minion,
                    free: room.free,
                    pace: f64::from(room.pace_permille) / 1000.0,
                    hop_ms: HOP_MS,
                });
            }
        }
        candidates
    }
}
