//! Evidence that a run of a task is gone: it is not active and cannot begin any more.
//!
//! A task is placed again only with evidence about its last run. Each constructor states
//! where the evidence comes from, so a new way to free a task has to name its reason.

use crate::engine::Engine;
use crate::holder::orders::Rejection;
use crate::id::RunRef;
use crate::message::EndReport;
use crate::owner::job::Job;
use crate::owner::task::Holder;
use crate::time::Moment;
use crate::timing::{RUN_GONE_MS, STORED_RUN_GONE_MS};

/// Evidence that a run is gone.
#[derive(Debug, Copy, Clone)]
pub(crate) struct RunGone {
    run: RunRef,
    evidence: Evidence,
}

/// Where the evidence that a run is gone comes from.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub(crate) enum Evidence {
    /// Its order has not left this instance.
    NotSent,
    /// The minion has rejected the only order to start it, or the holder has not sent one.
    Rejected,
    /// The minion lists its end, or does not list it although no order can be carried out
    /// any more.
    Ended,
    /// Its holder has lost the minion for longer than a lease lasts.
    MinionLost,
    /// Its holder has been silent for so long that no lease lasts that it may have
    /// extended.
    HolderSilent,
}

impl RunGone {
    /// Returns the evidence for a run whose order is still with its owner.
    pub(crate) fn not_sent(run: RunRef) -> Self {
        Self { run, evidence: Evidence::NotSent }
    }

    /// Returns the evidence from the answer of a minion that this instance holds.
    pub(crate) fn rejected(rejection: Rejection) -> Self {
        Self { run: rejection.run(), evidence: Evidence::Rejected }
    }

    /// Returns the evidence from a holder's message [`Message::StartRejected`], which it
    /// sends with a [`Rejection`] only, or if it has sent no order.
    ///
    /// [`Message::StartRejected`]: crate::message::Message::StartRejected
    pub(crate) fn rejected_by_holder(run: RunRef) -> Self {
        Self { run, evidence: Evidence::Rejected }
    }

    /// Returns the evidence from the end of a run on its minion.
    pub(crate) fn ended(report: &EndReport) -> Self {
        Self { run: report.run, evidence: Evidence::Ended }
    }

    /// Returns the run that is gone.
    pub(crate) fn run(&self) -> RunRef {
        self.run
    }

    /// Returns where the evidence comes from.
    pub(crate) fn evidence(&self) -> Evidence {
        self.evidence
    }
}

impl Engine {
    /// Returns the placed runs that are gone because their holders are lost.
    ///
    /// No message tells that these runs have ended, so the evidence is a span of time: the
    /// longest for which a lease may last after the last sign of the holder.
    pub(crate) fn lost_runs(&self, now: Moment) -> Vec<(Holder, RunGone)> {
        let mut lost = Vec::new();
        for job in self.jobs.values() {
            for (position, task) in job.tasks.iter().enumerate() {
                // An end that is being written to the log is known; the log decides.
                let placement = task.placement().filter(|placement| !placement.ending);
                let Some(placement) = placement else { continue };
                let silent = match placement.holder {
                    Holder::Peer(peer) => {
                        let peer = self.peers.arena.get(peer);
                        let silence_ms = gone_after_ms(job);
                        peer.is_none_or(|peer| peer.is_gone(silence_ms, now))
                    }
                    Holder::Local(_) => false,
                };
                let evidence = match placement.gone_at {
                    _ if silent => Evidence::HolderSilent,
                    Some(gone_at) if gone_at <= now => Evidence::MinionLost,
                    Some(_) | None => continue,
                };
                let gone = RunGone { run: job.run_ref(position), evidence };
                lost.push((placement.holder, gone));
            }
        }
        lost
    }
}

/// Returns the silence of a holder, in milliseconds, after which none of its runs of a
/// job is active and none can be found to be done any more.
pub(crate) fn gone_after_ms(job: &Job) -> u64 {
    if job.is_stored() { STORED_RUN_GONE_MS } else { RUN_GONE_MS }
}
