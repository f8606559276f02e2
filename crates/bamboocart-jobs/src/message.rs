//! Messages between instances.

use serde::{Deserialize, Serialize};

use crate::adoption::Claim;
use crate::catalog::Catalog;
use crate::id::{Checkpoint, JobId, MinionId, RunRef};
use crate::job_op::{JobOp, OpNumber, OpReply};
use crate::minion::MinionEntry;
use crate::orders::RunOrder;
use crate::resources::Resources;
use crate::shard::ShardId;

/// A batch of messages to one peer.
///
/// The two times let the receiver bound how long ago the sender heard of it, whatever the
/// delay of the frame.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Frame {
    /// The sender's clock.
    pub sent_ms: u64,
    /// The `sent_ms` of the last frame that the sender got from the receiver, or 0.
    pub echo_ms: u64,
    /// Whether the sender wants to hear of the receiver's free room.
    pub wants_capacity: bool,
    /// Whether the sender knows no configuration, because the store does not answer it.
    pub needs_state: bool,
    /// How long ago the sender made the last join that the store has answered, in
    /// milliseconds; none if there was none.
    pub join_age_ms: Option<u64>,
    /// The messages, in order.
    pub messages: Vec<Message>,
}

/// A message between instances.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Message {
    /// The free room of the minions that the sender holds.
    FreeCapacity(Vec<CapacityReport>),
    /// Asks the receiver to start a run on a minion that it holds.
    Start {
        /// The minion that the sender expects to be best.
        minion: MinionId,
        /// The run and what it needs.
        order: Box<RunOrder>,
    },
    /// Asks the receiver to stop a run.
    Stop(RunRef),
    /// Tells an owner that a run was not started and will not be.
    StartRejected {
        /// The run.
        run: RunRef,
        /// Whether the number of the run was too low for the minion.
        outdated: bool,
    },
    /// Tells an owner that a run was started on another minion than the named one.
    Moved {
        /// The run.
        run: RunRef,
        /// The minion.
        minion: MinionId,
    },
    /// Tells an owner how a run ended.
    Ended {
        /// Where the run was. A job that was sent again has runs of the same numbers under its
        /// earlier owner, possibly on other minions of the same holder.
        minion: MinionId,
        /// How it ended.
        report: EndReport,
    },
    /// Tells a holder that the end of a run is stored, or of no use any more.
    EndConfirmed(RunRef),
    /// Tells a holder that a run is done that was taken for lost, so that its task was started
    /// again: its end must not be noted as long as it counts.
    EndSuperseded(RunRef),
    /// Asks the owner of a stored job for something.
    OpRequest {
        /// The operation, which its answer names.
        number: OpNumber,
        /// The job.
        id: JobId,
        /// What is asked.
        op: JobOp,
    },
    /// Answers an operation.
    OpReply {
        /// The operation.
        number: OpNumber,
        /// The answer.
        reply: OpReply,
    },
    /// Tells holders that the sender owns a shard, and asks for its runs.
    ShardTaken {
        /// The shard.
        shard: ShardId,
        /// The number of the ownership.
        epoch: u64,
    },
    /// Tells the new owner of a shard all its runs on minions that the sender holds.
    ShardRuns {
        /// The shard.
        shard: ShardId,
        /// The number of the ownership.
        epoch: u64,
        /// The runs.
        runs: Vec<ShardRun>,
    },
    /// The numbers of the sender's jobs that have not started, by queue.
    Pending(Vec<(Box<str>, u64)>),
    /// Tells an owner all of its runs on minions that the sender holds, when a new link is
    /// opened: ends and releases may be lost with the earlier one.
    HeldRuns(Vec<RunRef>),
    /// Tells a holder all runs that the sender has placed there and still wants, when a new
    /// link is opened: starts and stops may be lost with the earlier one.
    WantedRuns(Vec<RunRef>),
    /// Tells peers that a client has cancelled a job that the sender does not own.
    Cancel(JobId),
    /// Passes what the store has told the sender on to a peer that it does not answer.
    StateTransfer {
        /// The configuration in force.
        catalog: Catalog,
        /// The list of minions.
        minions: Vec<MinionEntry>,
    },
    /// Tells peers that the sender gives up all its minions.
    Leaving,
    /// Tells an owner that the sender no longer holds the minion of a run.
    Released(RunRef),
    /// Announces what a new holder found on a minion.
    Adopted {
        /// The minion.
        minion: MinionId,
        /// The token under which the sender holds it.
        fencing_token: u64,
        /// The runs that are active.
        active: Vec<RunRef>,
        /// The runs that have ended.
        ended: Vec<EndReport>,
    },
    /// Tells a new holder that a run belongs to the sender.
    Claimed {
        /// The minion.
        minion: MinionId,
        /// The run.
        run: RunRef,
        /// What it needs, and under which epoch.
        claim: Claim,
    },
}

/// A run of a stored job.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ShardRun {
    /// The run.
    pub run: RunRef,
    /// Where it is.
    pub minion: MinionId,
    /// What it has saved.
    pub checkpoint: Checkpoint,
}

/// The free room of one minion.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CapacityReport {
    /// The minion.
    pub minion: MinionId,
    /// What is free.
    pub free: Resources,
    /// The learned run time over the estimate, in thousandths.
    pub pace_permille: u32,
}

/// The end of a run, as its holder reports it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndReport {
    /// The run.
    pub run: RunRef,
    /// How it ended.
    pub end: RunEnd,
    /// What it has saved.
    pub checkpoint: Checkpoint,
}

/// How a run ended.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub enum RunEnd {
    /// The task is done.
    Done,
    /// The task failed through its own fault or its minion's.
    Failed,
    /// The run was stopped, its lease lapsed, or it never began.
    Void,
}
