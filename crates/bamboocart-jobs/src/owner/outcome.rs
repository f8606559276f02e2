//! Outcomes of recent jobs, to answer repeated requests and state queries.

use std::collections::{HashMap, VecDeque};

use crate::id::JobId;
use crate::owner::submission::JobState;
use crate::time::Moment;
use crate::timing::OUTCOME_RETENTION_MS;

/// Maximum number of outcomes that are kept; the oldest is dropped first.
const MAX_OUTCOMES: usize = 16_384;

/// The outcomes of recent jobs, bounded by age and number.
#[derive(Debug, Default)]
pub(crate) struct Outcomes {
    by_job: HashMap<JobId, Outcome>,
    /// The jobs, ordered by the time at which their outcomes were recorded.
    order: VecDeque<(Moment, JobId)>,
}

#[derive(Debug, Copy, Clone)]
struct Outcome {
    /// The final state of the job.
    state: JobState,
    /// Whether the job belonged to this instance. For a job that a peer was asked to
    /// cancel, it is unknown whether anybody ever submitted it.
    owned: bool,
}

impl Outcomes {
    pub(crate) fn record(&mut self, now: Moment, job: JobId, state: JobState) {
        self.insert(now, job, Outcome { state, owned: true });
    }

    /// Records that a job was cancelled at another instance, so that it does not start if
    /// its request arrives again.
    pub(crate) fn record_cancelled(&mut self, now: Moment, job: JobId) {
        if !self.by_job.contains_key(&job) {
            let state = JobState::Cancelled;
            self.insert(now, job, Outcome { state, owned: false });
        }
    }

    /// Returns the jobs that clients have cancelled although this instance did not own them.
    pub(crate) fn cancelled_elsewhere(&self) -> Vec<JobId> {
        let cancelled =
            |outcome: &Outcome| !outcome.owned && outcome.state == JobState::Cancelled;
        let jobs = self.order.iter().map(|&(_, job)| job);
        jobs.filter(|job| self.by_job.get(job).is_some_and(cancelled)).collect()
    }

    /// Returns how a job ended, if that is known.
    pub(crate) fn get(&self, job: JobId) -> Option<JobState> {
        self.by_job.get(&job).map(|outcome| outcome.state)
    }

    /// Returns how a job of this instance ended, if that is known.
    pub(crate) fn get_owned(&self, job: JobId) -> Option<JobState> {
        let outcome = self.by_job.get(&job).filter(|outcome| outcome.owned);
        outcome.map(|outcome| outcome.state)
    }

    /// Inserts an outcome, and drops those that are too old or exceed the maximum number.
    fn insert(&mut self, now: Moment, job: JobId, outcome: Outcome) {
        self.by_job.insert(job, outcome);
        self.order.push_back((now, job));
        while let Some(&(at, oldest)) = self.order.front()
            && (now.since(at) > OUTCOME_RETENTION_MS || self.order.len() > MAX_OUTCOMES)
        {
            self.order.pop_front();
            self.by_job.remove(&oldest);
        }
    }
}
