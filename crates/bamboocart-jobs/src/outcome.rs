//! Outcomes of jobs, for copies of their requests and questions about them.

use std::collections::{HashMap, VecDeque};

use crate::id::JobId;
use crate::submission::JobState;
use crate::time::Moment;
use crate::timing::OUTCOME_RETENTION_MS;

/// The most outcomes that are remembered.
const MAX_OUTCOMES: usize = 16_384;

/// The outcomes of the last jobs.
#[derive(Debug, Default)]
pub(crate) struct Outcomes {
    /// The outcomes.
    by_job: HashMap<JobId, Outcome>,
    /// The jobs in order of the age of their outcomes.
    order: VecDeque<(Moment, JobId)>,
}

/// The outcome of a job.
#[derive(Debug, Copy, Clone)]
struct Outcome {
    /// How it ended.
    state: JobState,
    /// Whether this instance had the job. Of a job that a peer was asked to cancel, it is
    /// not known whether anybody ever submitted it.
    owned: bool,
}

impl Outcomes {
    /// Records the outcome of a job of this instance.
    pub(crate) fn record(&mut self, now: Moment, job: JobId, state: JobState) {
        self.insert(now, job, Outcome { state, owned: true });
    }

    /// Records that a job was cancelled at some instance, so that it does not start when its
    /// request comes again.
    pub(crate) fn record_cancelled(&mut self, now: Moment, job: JobId) {
        if !self.by_job.contains_key(&job) {
            let state = JobState::Cancelled;
            self.insert(now, job, Outcome { state, owned: false });
        }
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

    /// Inserts an outcome and drops those that are too old or too many.
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
