//! Gang scheduling: tasks that can only work together.
//!
//! All runs of a gang have the same number. An incomplete gang takes capacity without
//! doing any work, so the other members are stopped as soon as one is missing.

use log::info;

use crate::engine::Engine;
use crate::id::{OccurrenceRef, RunRef};
use crate::membership::peer::PeerKey;
use crate::owner::job::Job;
use crate::owner::task::{Holder, Placement};
use crate::placement::Choice;
use crate::shard::Stage;
use crate::time::Moment;

impl Engine {
    /// Gives all members of the gangs that are about to be placed the same last run
    /// number, so that their next runs have the same number too.
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

    /// Stops the other members of a gang after one of its runs was lost.
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
                others = rest.len(); "gang is incomplete; stopping the other members");
        }
        for (holder, run) in rest {
            self.stop_at(now, holder, run);
        }
    }

    /// Returns the runs at a peer of gangs with a missing member, which are being stopped.
    ///
    /// During the takeover of a shard, the other members may not have been reported yet.
    pub(crate) fn partial_gang_runs_at(&self, peer: PeerKey) -> Vec<RunRef> {
        let known = |job: &&Job| {
            let shard = self.shards.owned.get(&self.shards.shard_of(job.id.job));
            let is_open = shard.is_some_and(|shard| matches!(shard.stage, Stage::Open));
            is_open || !job.is_stored()
        };
        let mut runs = Vec::new();
        for job in self.jobs.values().filter(known) {
            let is_partial = |task: usize| {
                let members = job.gang_members(task);
                members.into_iter().any(|member| job.tasks[member].is_waiting())
            };
            for (position, task) in job.tasks.iter().enumerate() {
                let there =
                    |it: &&Placement| it.holder == Holder::Peer(peer) && !it.ending;
                if task.placement().filter(there).is_some() && is_partial(position) {
                    runs.push(job.run_ref(position));
                }
            }
        }
        runs
    }

    /// Stops the gangs of which an earlier owner has started only some members or lost
    /// one.
    pub(crate) fn stop_partial_gangs(&mut self, now: Moment) {
        let mut partial = Vec::new();
        for job in self.jobs.values().filter(|job| job.is_stored()) {
            for task in 0..job.tasks.len() {
                let waits = job.tasks[task].is_waiting();
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
