//! What waits, and what is turned away, while there is too little room.
//!
//! The load patterns are a wave of work that is larger than what fits, one kind of request
//! that presses, and the return of callers after an outage. Each part of the policy is a type
//! of its own without an engine: what is kept free for urgent jobs ([`headroom`]), when
//! waiting work will get room ([`drain`]), and whether a job is accepted ([`admission`]).

pub mod admission;
pub mod drain;
pub mod headroom;

use std::collections::BTreeMap;
use std::str::FromStr;

use log::info;
use snafu::Snafu;

use crate::effect::Answer;
use crate::engine::Engine;
use crate::id::OccurrenceRef;
use crate::overload::admission::{Admission, Prospect, Verdict};
use crate::overload::drain::DrainMeter;
use crate::overload::headroom::Headroom;
use crate::owner::job::Job;
use crate::time::Moment;

/// Maximum number of waiting jobs that an estimate counts. More of them are ahead of a job
/// only if it has no prospect anyway.
const MAX_COUNTED_JOBS: usize = 256;

/// How an instance decides which jobs wait while there is too little room.
#[derive(Debug, Default, Copy, Clone, Eq, PartialEq)]
pub enum OverloadPolicy {
    /// By priority, then by the time by which a job has to start. A job is refused once that
    /// time has passed.
    #[default]
    ByStartTime,
    /// By what it costs callers: within a priority, jobs that have begun come first; room for
    /// a wide job is kept free for more urgent priorities; and a job without a prospect of
    /// room in time is refused at once.
    ByCost,
}

/// An error from parsing the name of a policy.
#[derive(Debug, Clone, Eq, PartialEq, Snafu)]
#[snafu(display("`{name}` is not an overload policy; use `by-start-time` or `by-cost`"))]
pub struct ParsePolicyError {
    /// The text that is no name of a policy.
    name: String,
}

impl FromStr for OverloadPolicy {
    type Err = ParsePolicyError;

    fn from_str(name: &str) -> Result<Self, ParsePolicyError> {
        match name {
            "by-start-time" => Ok(Self::ByStartTime),
            "by-cost" => Ok(Self::ByCost),
            _ => ParsePolicySnafu { name }.fail(),
        }
    }
}

/// What the policy has done to the jobs of a priority, as operators see it.
#[derive(Debug, Default, Copy, Clone, Eq, PartialEq)]
pub struct OverloadStatus {
    /// The priority rank; 0 is the most urgent.
    pub priority: u8,
    /// The estimated wait of the last job that had to wait, in milliseconds.
    pub wait_ms: u64,
    /// The number of jobs that were refused at once, without a prospect.
    pub refused_at_once: u64,
    /// The number of jobs that were refused after they had waited.
    pub refused_after_wait: u64,
    /// The number of times that room was withheld from a job for more urgent ones.
    pub withheld: u64,
}

/// The state of the policy.
#[derive(Debug, Default)]
pub(crate) struct Overload {
    pub(crate) policy: OverloadPolicy,
    pub(crate) headroom: Headroom,
    pub(crate) drain: DrainMeter,
    admission: Admission,
    status: BTreeMap<u8, OverloadStatus>,
}

impl Overload {
    /// Returns whether the policy goes by what a delay costs callers.
    pub(crate) fn is_by_cost(&self) -> bool {
        self.policy == OverloadPolicy::ByCost
    }

    /// Records a job that has arrived.
    pub(crate) fn note_arrival(&mut self, job: &Job, now: Moment) {
        if !self.is_by_cost() {
            return;
        }
        let Some(step) = job.steps.iter().max_by_key(|step| step.count) else { return };
        let (queue, tasks) = (&job.queue, usize::from(step.count));
        self.headroom.note_arrival(&queue.service, queue.priority, tasks, step.need, now);
        self.drain.note_arrival(queue.priority, tasks, now);
    }

    /// Records a scheduling pass, as [`DrainMeter::note_pass`] does. Nothing reads the meter
    /// under other policies, and passes follow every event.
    pub(crate) fn note_pass(&mut self, placed: usize, is_waiting: bool, now: Moment) {
        if self.is_by_cost() {
            self.drain.note_pass(placed, is_waiting, now);
        }
    }

    /// Returns the status of a priority, to be changed.
    pub(crate) fn status_of(&mut self, priority: u8) -> &mut OverloadStatus {
        let new = OverloadStatus { priority, ..OverloadStatus::default() };
        self.status.entry(priority).or_insert(new)
    }
}

impl Engine {
    /// Sets how the jobs that arrive from now on compete for room.
    pub fn set_overload_policy(&mut self, policy: OverloadPolicy) {
        self.overload.policy = policy;
    }

    /// Returns what the policy has done, by priority.
    pub fn overload_status(&self) -> Vec<OverloadStatus> {
        self.overload.status.values().copied().collect()
    }

    /// Decides on a job that has just arrived and has to wait: room is kept free for the next
    /// ones of its priority, and it is refused if nothing of it could be placed and it has no
    /// prospect of room in time.
    ///
    /// Nothing was ordered for a job that is refused, so it has certainly not run.
    pub(crate) fn decide_on_waiting(&mut self, now: Moment, id: OccurrenceRef) {
        if !self.overload.is_by_cost() {
            return;
        }
        let Some(job) = self.jobs.get(&id).filter(|job| job.is_waiting()) else { return };
        self.overload.headroom.note_shortage(&job.queue.service, job.queue.priority, now);
        let undecided = |job: &&Job| !job.start_ordered && !job.is_stored();
        let Some(job) = self.jobs.get(&id).filter(undecided) else { return };
        let Some(prospect) = self.prospect(now, job) else { return };
        let priority = job.queue.priority;
        let estimate_ms = prospect.start_ms as u64;
        self.overload.status_of(priority).wait_ms = estimate_ms;
        if self.overload.admission.decide(priority, prospect) == Verdict::Accept {
            return;
        }
        self.overload.status_of(priority).refused_at_once += 1;
        let limit_ms = prospect.start_limit_ms as u64;
        info!(target: "job", request_id:% = id.job, priority, estimate_ms, limit_ms,
            finish_ms = prospect.finish_ms as u64,
            finish_limit_ms = prospect.finish_limit_ms as u64,
            reason = "no prospect of room in time"; "job refused");
        let retry_after_s = self.retry_after_s();
        self.end_job(now, id, Some(Answer::Refused { retry_after_s }), "no prospect");
    }

    /// Returns when a job that waits can be expected to start and to have all tasks placed;
    /// none if that is not known.
    fn prospect(&self, now: Moment, job: &Job) -> Option<Prospect> {
        // The clients of the jobs ahead may be gone.
        if self.event_loop.is_late(now) {
            return None;
        }
        let rank = job.rank();
        let ahead = self.waiting.iter().take_while(|other| **other < rank);
        let ahead = ahead.take(MAX_COUNTED_JOBS).filter_map(|it| self.jobs.get(&it.job));
        let waiting = |job: &Job| job.tasks.iter().filter(|it| it.is_waiting()).count();
        let ahead: usize = ahead.map(waiting).sum();
        let priority = job.queue.priority;
        let run_ms = job.longest_run_ms() * self.pace.ratio();
        Some(Prospect {
            start_ms: self.overload.drain.wait_ms(priority, ahead + 1, now)?,
            start_limit_ms: job.start_by().since(now) as f64,
            finish_ms: self.overload.drain.wait_ms(
                priority,
                ahead + waiting(job),
                now,
            )? + run_ms,
            finish_limit_ms: (job.arrived + job.objective_ms).since(now) as f64,
        })
    }
}
