//! Tasks that work only together.
//!
//! All runs of a gang carry one number. A part of a gang holds room without doing any work,
//! so that the rest is stopped as soon as one member is not there.

use log::info;

use crate::engine::Engine;
use crate::id::{OccurrenceRef, RunRef};
use crate::placement::Choice;
use crate::task::TaskState;
use crate::time::Moment;

impl Engine {
    /// Lets all members of the gangs that are about to be placed take the same run number.
    pub(crate) fn align_gang_runs(&mut self, id: OccurrenceRef, choices: &[Choice]) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        for choice in choices {
            if !job.step_of(choice.task).gang {
                continue;
            }
            let members = job.gang_members(choice.task);
            let last_run = members.iter().map(|&task| job.tasks[task].last_run).max();
            for task in members {
                job.tasks[task].last_run = last_run.unwrap_or(0);
            }
        }
    }

    /// Stops the other members of a gang when one of them is not there any more.
    pub(crate) fn stop_gang(&mut self, now: Moment, run: RunRef) {
        let Some(job) = self.jobs.get(&run.task.occurrence_ref()) else { return };
        let Some(task) = job.position(run.task) else { return };
        if !job.step_of(task).gang {
            return;
        }
        let mut rest = Vec::new();
        for other in job.gang_members(task).into_iter().filter(|&other| other != task) {
            if let Some(placement) = job.tasks[other].placement().filter(|it| !it.ending)
            {
                rest.push((placement.holder, job.run_ref(other)));
            }
        }
        if !rest.is_empty() {
            info!(target: "job", request_id:% = run.task.job, run:% = run.task,
                others = rest.len(); "gang is not complete");
        }
        for (holder, run) in rest {
            self.stop_at(now, holder, run);
        }
    }

    /// Stops the gangs of which an earlier owner has started only a part, or lost one.
    pub(crate) fn stop_partial_gangs(&mut self, now: Moment) {
        let mut partial = Vec::new();
        for job in self.jobs.values().filter(|job| job.is_stored()) {
            for task in 0..job.tasks.len() {
                let waits = job.tasks[task].state == TaskState::Waiting;
                if waits && job.step_of(task).gang {
                    partial.push(job.run_ref(task));
                }
            }
        }
        for run in partial {
            self.stop_gang(now, run);
        }
    }
}
