//! Messages between instances.

use std::mem;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::holder::adoption::Claim;
use crate::holder::minion::MinionEntry;
use crate::holder::orders::{RejectionCause, RunOrder};
use crate::id::{Checkpoint, JobId, MinionId, RunRef, SharedStr};
use crate::membership::member::Member;
use crate::operator::catalog::Catalog;
use crate::operator::evacuation::EvacuationNotice;
use crate::resources::Resources;
use crate::shard::ShardId;
use crate::shard::job_op::{JobOp, OpNumber, OpReply};

/// A batch of messages to one peer, which also serves as a heartbeat.
///
/// From `echo_ms` the receiver can bound how long ago the sender got its last frame,
/// whatever the delay of this one.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Frame {
    /// When the frame was sent, on the sender's clock.
    pub sent_ms: u64,
    /// The `sent_ms` of the last frame that the sender got from the receiver; 0 if none.
    pub echo_ms: u64,
    /// Whether the sender wants reports of the receiver's free capacity.
    pub wants_capacity: bool,
    /// Whether the sender has no configuration, because the store does not answer it.
    pub needs_state: bool,
    /// The age of the sender's last join of the group that the store has answered; none
    /// if there was none.
    pub join_age_ms: Option<u64>,
    /// The messages, in the order in which they have to be handled.
    pub messages: Vec<Message>,
}

/// A message between instances.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Message {
    /// Reports the free capacity of all minions that the sender holds.
    FreeCapacity(Vec<CapacityReport>),
    /// Asks the receiver to start a run on a minion that it holds.
    Start {
        /// The minion that the sender has chosen.
        minion: MinionId,
        /// The run and what is needed to start it.
        order: Box<RunOrder>,
    },
    /// Asks the receiver to stop a run.
    Stop(RunRef),
    /// Tells an owner that a run was not started and will not be.
    StartRejected {
        /// The run that was rejected.
        run: RunRef,
        /// Why it was not started.
        cause: RejectionCause,
    },
    /// Tells an owner that a run was started on another minion than it had chosen.
    Moved {
        /// The run that was started.
        run: RunRef,
        /// The minion on which it was started.
        minion: MinionId,
    },
    /// Tells an owner how a run ended.
    Ended {
        /// The minion of the run. If a client has sent a job again, its earlier owner may
        /// have runs of the same numbers, possibly on other minions of the same holder.
        minion: MinionId,
        /// The run and how it ended.
        report: EndReport,
    },
    /// Tells a holder that the end of a run is stored or no longer needed.
    EndConfirmed(RunRef),
    /// Tells a holder that a run is done that was considered lost, so that its task was
    /// started again. The holder must not confirm its end for as long as the end counts.
    EndSuperseded(RunRef),
    /// Asks the owner of a stored job for an operation.
    OpRequest {
        /// The number of the operation, which the reply carries.
        number: OpNumber,
        /// The job that the operation applies to.
        id: JobId,
        /// The requested operation.
        op: JobOp,
    },
    /// Answers the request for an operation.
    OpReply {
        /// The number of the operation, from the request.
        number: OpNumber,
        /// The answer; none if the sender is not the owner.
        reply: OpReply,
    },
    /// Tells holders that the sender owns a shard, and asks for the shard's runs.
    ShardTaken {
        /// The shard that the sender has claimed.
        shard: ShardId,
        /// The epoch of the ownership, which rises with each owner.
        epoch: u64,
    },
    /// Tells the new owner of a shard all runs of the shard on minions that the sender
    /// holds.
    ShardRuns {
        /// The shard that the receiver has claimed.
        shard: ShardId,
        /// The epoch of the ownership that this message answers.
        epoch: u64,
        /// The runs, which the receiver adopts or stops.
        runs: Vec<ShardRun>,
    },
    /// Reports how many stored jobs of the sender have not started, by queue.
    Pending(Vec<(Box<str>, u64)>),
    /// Tells an owner all of its runs on minions that the sender holds.
    ///
    /// Sent when a new link is opened, since ends and releases may be lost with the old
    /// one.
    HeldRuns(Vec<RunRef>),
    /// Tells a holder all runs that the sender has placed there and still wants.
    ///
    /// Sent when a new link is opened, since starts and stops may be lost with the old
    /// one.
    WantedRuns(Vec<RunRef>),
    /// Tells peers that a client has cancelled a job that the sender does not own.
    Cancel(JobId),
    /// Passes the state that the sender got from the store on to a peer that the store
    /// does not answer.
    StateTransfer {
        /// The configuration in force at the sender.
        catalog: Catalog,
        /// The platform's list of minions.
        minions: Vec<MinionEntry>,
    },
    /// Tells peers that the sender releases all its minions.
    Leaving,
    /// Tells an owner that the sender does not hold the minion of a run any more.
    Released(RunRef),
    /// Announces runs on a minion and the fencing token of its holder to their owners.
    ///
    /// Sent by a new holder that has found the runs. It also follows [`Message::ShardRuns`],
    /// which has no tokens.
    Adopted {
        /// The minion that the sender now holds.
        minion: MinionId,
        /// The fencing token under which the sender holds it.
        fencing_token: u64,
        /// The runs that were active.
        active: Vec<RunRef>,
        /// The ends of runs on the minion's list.
        ended: Vec<EndReport>,
    },
    /// Tells a new holder that the sender owns a run.
    Claimed {
        /// The minion of the run.
        minion: MinionId,
        /// The run that the sender claims.
        run: RunRef,
        /// The resources of the run and the epoch of its owner.
        claim: Claim,
    },
    /// Reports the free capacity of the minions that differ from the last report on the
    /// same link.
    CapacityChanges(Vec<CapacityReport>),
    /// A [`Message::Start`] without the task description, which is that of the last start
    /// before it in the same frame.
    StartSibling {
        /// The minion that the sender has chosen.
        minion: MinionId,
        /// The run and what is needed to start it; its task description is empty.
        order: Box<RunOrder>,
    },
    /// Passes on what operators have requested about the evacuation of failure domains.
    ///
    /// Sent only once there was such a request, since instances of earlier versions cannot
    /// decode it.
    Evacuations(Vec<EvacuationNotice>),
    /// Names members that may have joined the group since the receiver's last join.
    ///
    /// Sent only to peers that the store does not answer, since instances of earlier versions
    /// cannot decode it.
    Members(Vec<Member>),
}

impl Frame {
    /// Leaves out the task description of each start that has that of the start before it.
    ///
    /// The tasks of a job are placed together, often several of them on one peer, and their
    /// description is most of a start.
    pub(crate) fn omit_repeated_specs(&mut self) {
        let mut last: Option<SharedStr> = None;
        for message in &mut self.messages {
            let Message::Start { minion, order } = message else { continue };
            match &last {
                Some(spec) if *spec == order.spec && !spec.is_empty() => {
                    let order = RunOrder { spec: "".into(), ..(**order).clone() };
                    let (minion, order) = (minion.clone(), Box::new(order));
                    *message = Message::StartSibling { minion, order };
                }
                _ => last = Some(Arc::clone(&order.spec)),
            }
        }
    }

    /// Restores the task descriptions that [`Frame::omit_repeated_specs`] has left out.
    ///
    /// A start without one before it is dropped; no frame of an instance has one.
    pub(crate) fn restore_specs(&mut self) {
        let mut last: Option<SharedStr> = None;
        let messages = mem::take(&mut self.messages).into_iter();
        let restored = messages.filter_map(|message| match message {
            Message::Start { minion, order } => {
                last = Some(Arc::clone(&order.spec));
                Some(Message::Start { minion, order })
            }
            Message::StartSibling { minion, mut order } => {
                order.spec = last.clone()?;
                Some(Message::Start { minion, order })
            }
            other => Some(other),
        });
        self.messages = restored.collect();
    }
}

impl Message {
    /// Returns the name of this kind of message, for metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::FreeCapacity(_) | Self::CapacityChanges(_) => "message-free-capacity",
            Self::Start { .. } | Self::StartSibling { .. } => "message-start",
            Self::Stop(_) => "message-stop",
            Self::StartRejected { .. } => "message-start-rejected",
            Self::Moved { .. } => "message-moved",
            Self::Ended { .. } => "message-ended",
            Self::EndConfirmed(_) | Self::EndSuperseded(_) => "message-end-confirmed",
            Self::OpRequest { .. } | Self::OpReply { .. } => "message-operation",
            Self::ShardTaken { .. } | Self::ShardRuns { .. } => "message-shard",
            Self::Pending(_) => "message-pending",
            Self::HeldRuns(_) | Self::WantedRuns(_) => "message-run-list",
            Self::Cancel(_) => "message-cancel",
            Self::StateTransfer { .. } => "message-state",
            Self::Evacuations(_) => "message-evacuations",
            Self::Members(_) => "message-members",
            Self::Leaving | Self::Released(_) => "message-released",
            Self::Adopted { .. } | Self::Claimed { .. } => "message-adoption",
        }
    }
}

/// A run of a stored job, as its holder reports it to a new owner of the shard.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ShardRun {
    /// The run, with the number of its start.
    pub run: RunRef,
    /// The minion that it is on.
    pub minion: MinionId,
    /// The last state that the run has saved.
    pub checkpoint: Checkpoint,
}

/// The free capacity of one minion.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct CapacityReport {
    /// The minion that the sender holds.
    pub minion: MinionId,
    /// The resources that no run takes; none if the minion takes no work.
    pub free: Resources,
    /// The learned ratio of run time to estimate, in thousandths.
    pub pace_permille: u32,
}

/// The end of a run, as its holder reports it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndReport {
    /// The run, with the number of its start.
    pub run: RunRef,
    /// How it ended.
    pub end: RunEnd,
    /// The last state that the run has saved.
    pub checkpoint: Checkpoint,
}

/// How a run ended.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub enum RunEnd {
    /// The task is done.
    Done,
    /// The task failed through its own fault or its minion's.
    Failed,
    /// The run was stopped, its lease expired, or it never began.
    Void,
    /// Its minion crashed while the run was active or its start was under way.
    Crashed,
}
