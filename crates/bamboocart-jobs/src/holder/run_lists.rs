//! The lists of runs that two instances exchange on each new link, since messages may have
//! been lost with the earlier one, and the checks for messages that arrive late.

use std::collections::BTreeSet;

use log::info;

use crate::engine::Engine;
use crate::holder::minion::RunOwner;
use crate::id::{MinionId, RunRef};
use crate::membership::member::Member;
use crate::membership::peer::{FrameTimes, PeerKey};
use crate::message::Message;
use crate::owner::job::Job;
use crate::owner::task::{Holder, Placement};
use crate::time::Moment;

impl Engine {
    /// Returns the runs on held minions that belong to a peer, or may belong to it
    /// because no owner has claimed them yet.
    pub(crate) fn held_runs_of(&self, peer: PeerKey) -> Vec<RunRef> {
        let held = self.minions.held();
        held.flat_map(|(_, _, held)| &held.runs)
            .filter(|(_, run)| {
                matches!(run.owner, RunOwner::Unclaimed)
                    || run.owner == RunOwner::Peer(peer)
            })
            .map(|(&run, _)| run)
            .collect()
    }

    /// Returns the runs of a peer that were started on another minion than it had chosen,
    /// with that minion.
    pub(crate) fn moved_runs_of(&self, peer: PeerKey) -> Vec<(RunRef, MinionId)> {
        let held = self.minions.held();
        let runs = held.flat_map(|(_, minion, held)| {
            held.runs.iter().map(move |(&run_ref, run)| (&minion.entry.id, run_ref, run))
        });
        runs.filter(|(_, _, run)| run.moved && run.owner == RunOwner::Peer(peer))
            .map(|(minion, run_ref, _)| (run_ref, minion.clone()))
            .collect()
    }

    /// Returns the runs of this instance's jobs that are placed at a peer.
    pub(crate) fn runs_placed_at(&self, peer: PeerKey) -> Vec<RunRef> {
        let mut runs = Vec::new();
        for job in self.jobs.values() {
            for (position, task) in job.tasks.iter().enumerate() {
                if task.placement().is_some_and(|it| it.holder == Holder::Peer(peer)) {
                    runs.push(job.run_ref(position));
                }
            }
        }
        runs
    }

    /// Treats runs as lost that their holder does not list, if it had received their
    /// start request when it made the list.
    pub(crate) fn reconcile(
        &mut self,
        now: Moment,
        peer: PeerKey,
        listed: &[RunRef],
        echo: Moment,
    ) {
        let missing: Vec<RunRef> = self
            .runs_placed_at(peer)
            .into_iter()
            .filter(|run| !listed.contains(run))
            .filter(|&run| self.was_placed_by(run, echo))
            .collect();
        for run in missing {
            self.holder_lost(now, Holder::Peer(peer), run);
        }
    }

    /// Stops the runs of a peer that it no longer wants, and releases those that it wants
    /// but that are on no minion held by this instance.
    pub(crate) fn stop_unwanted(
        &mut self,
        now: Moment,
        peer: PeerKey,
        wanted: &[RunRef],
    ) {
        let mut here = BTreeSet::new();
        for key in self.minions.held_keys().to_vec() {
            let Some(held) = self.minions.arena[key].held.as_mut() else { continue };
            for (&run_ref, run) in &mut held.runs {
                let owned = run.owner == RunOwner::Peer(peer);
                // The claim of the peer may still be on its way.
                if owned || run.owner == RunOwner::Unclaimed {
                    here.insert(run_ref);
                }
                if owned && !wanted.contains(&run_ref) && run.request_stop(now) {
                    info!(target: "minion", run:% = run_ref.task, number = run_ref.run;
                        "stopping a run that its owner no longer wants");
                }
            }
        }
        for &run in wanted.iter().filter(|run| !here.contains(run)) {
            let owner = self.member_of(peer).map(Member::to_string);
            info!(target: "minion", run:% = run.task, number = run.run, peer:? = owner;
                "wanted run is not here; releasing it");
            self.send(peer, Message::Released(run));
        }
    }

    /// Returns whether a peer sent a frame before it had received the order of a run of a
    /// best-effort job that is placed there. A message in it is about a run of the same
    /// number that an earlier submission of the job had.
    pub(crate) fn predates_order(
        &self,
        run: RunRef,
        peer: PeerKey,
        times: FrameTimes,
    ) -> bool {
        let job = self.jobs.get(&run.task.occurrence_ref());
        if job.is_none_or(Job::is_stored) {
            return false;
        }
        self.placement_of(run).is_some_and(|placement| {
            let ordered = placement.fencing_token == 0;
            let there = placement.holder == Holder::Peer(peer);
            ordered && there && times.echo < placement.since
        })
    }

    /// Returns whether a run was placed no later than `moment`.
    fn was_placed_by(&self, run: RunRef, moment: Moment) -> bool {
        self.placement_of(run).is_some_and(|placement| placement.since <= moment)
    }

    /// Returns the placement of the present run of a task, whatever its number.
    fn placement_of(&self, run: RunRef) -> Option<&Placement> {
        let job = self.jobs.get(&run.task.occurrence_ref())?;
        job.tasks[job.position(run.task)?].placement()
    }
}
