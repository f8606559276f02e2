//! The table of jobs that have not ended.

use std::collections::{BTreeMap, BTreeSet};

use crate::id::{JobId, OccurrenceRef};
use crate::owner::job::Job;

/// The jobs that have not ended, with an index of those that have a deadline.
///
/// Thousands of stored jobs may wait for hours after a loss of all instances, so the work
/// at every event has to be limited to jobs with a deadline.
#[derive(Debug, Default)]
pub(crate) struct JobTable {
    jobs: BTreeMap<OccurrenceRef, Job>,
    /// The jobs that have a deadline.
    with_deadline: BTreeSet<OccurrenceRef>,
}

impl JobTable {
    pub(crate) fn insert(&mut self, job: Job) {
        if job.ends_by().is_some() {
            self.with_deadline.insert(job.id);
        }
        self.jobs.insert(job.id, job);
    }

    pub(crate) fn remove(&mut self, id: &OccurrenceRef) -> Option<Job> {
        self.with_deadline.remove(id);
        self.jobs.remove(id)
    }

    pub(crate) fn get(&self, id: &OccurrenceRef) -> Option<&Job> {
        self.jobs.get(id)
    }

    pub(crate) fn get_mut(&mut self, id: &OccurrenceRef) -> Option<&mut Job> {
        self.jobs.get_mut(id)
    }

    pub(crate) fn values(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// Returns the jobs that have a deadline.
    pub(crate) fn with_deadline(&self) -> impl Iterator<Item = &Job> {
        self.with_deadline.iter().filter_map(|id| self.jobs.get(id))
    }

    /// Returns all occurrences of a job that have not ended.
    pub(crate) fn occurrences(&self, job: JobId) -> impl Iterator<Item = &Job> {
        let first = OccurrenceRef { job, occurrence: 0 };
        let last = OccurrenceRef { job, occurrence: u32::MAX };
        self.jobs.range(first..=last).map(|(_, job)| job)
    }

    pub(crate) fn len(&self) -> usize {
        self.jobs.len()
    }
}
