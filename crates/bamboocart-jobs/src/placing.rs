//! Placing the tasks that wait.

use log::info;

use crate::engine::Engine;
use crate::id::JobId;
use crate::job::{Holder, Job, Placement, TaskState};
use crate::message::Message;
use crate::minion::{MinionKey, RunOwner};
use crate::orders::RunOrder;
use crate::placement::{self, Candidate, Choice, Site};
use crate::time::Moment;

/// The time that an order to a peer takes longer than one to an own minion.
const HOP_MS: f64 = 4.0;

impl Engine {
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
