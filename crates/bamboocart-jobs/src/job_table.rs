//! The jobs that have not ended.

use std::collections::{BTreeMap, BTreeSet};

use crate::id::{JobId, OccurrenceRef};
use crate::job::Job;

/// The jobs that have not ended, with an index of those that run out of time.
///
/// Thousands of stored jobs may wait for hours after a loss of all instances; work at every
/// event has to keep to the others.
#[derive(Debug, Default)]
pub(crate) struct JobTable {
    /// All jobs.
    jobs: BTreeMap<OccurrenceRef, Job>,
    /// The jobs that run out of time.
    timed: BTreeSet<OccurrenceRef>,
}

impl JobTable {
    /// Adds a job.
    pub(crate) fn insert(&mut self, job: Job) {
        if job.ends_by().is_some() {
            self.timed.insert(job.id);
        }
        self.jobs.insert(job.id, job);
    }

    /// Removes a job.
    pub(crate) fn remove(&mut self, id: &OccurrenceRef) -> Option<Job> {
        self.timed.remove(id);
        self.jobs.remove(id)
    }

    /// Returns a job.
    pub(crate) fn get(&self, id: &OccurrenceRef) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// Returns a job, to change it.
    pub(crate) fn get_mut(&mut self, id: &OccurrenceRef) -> Option<&mut Job> {
        self.jobs.get_mut(id)
    }

    /// Returns all jobs.
    pub(crate) fn values(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// Returns the jobs that run out of time.
    pub(crate) fn with_deadline(&self) -> impl Iterator<Item = &Job> {
        self.timed.iter().filter_map(|id| self.jobs.get(id))
    }

    /// Returns the occurrences of a job.
    pub(crate) fn occurrences(&self, job: JobId) -> impl Iterator<Item = &Job> {
        let first = OccurrenceRef { job, occurrence: 0 };
        let last = OccurrenceRef { job, occurrence: u32::MAX };
        self.jobs.range(first..=last).map(|(_, job)| job)
    }

    /// Returns the number of jobs.
    pub(crate) fn len(&self) -> usize {
        self.jobs.len()
    }
}
