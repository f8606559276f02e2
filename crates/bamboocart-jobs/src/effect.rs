//! What the engine asks its surroundings to do.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::advice::AdviceOrder;
use crate::id::{Checkpoint, MinionId, RunRef, SharedStr};
use crate::minion::MinionKey;
use crate::shard::ShardId;
use crate::stored_job::LogRecord;
use crate::submission::JobState;

/// A client's request that waits for its answer, numbered by the caller of the engine.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Ord, PartialOrd, Hash)]
pub struct RequestKey(pub u64);

/// An action for the shell around the engine.
#[derive(Debug, Clone)]
pub enum Effect {
    /// Answers a request.
    Answer(RequestKey, Answer),
    /// Starts a run.
    Start(StartOrder),
    /// Stops a run.
    Stop(StopOrder),
    /// Renews the lease of a minion and waits for ends.
    Hold(HoldOrder),
    /// Reads the log of a shard.
    ReadLog(LogRead),
    /// Appends to the log of a shard.
    Append(LogAppend),
    /// Tells the store that there are stored jobs, for instances that start later.
    RecordStoredJobUse,
    /// Asks which minions may run a step.
    Advise(AdviceOrder),
}

/// The answer to a request.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The job is stored and will run.
    Accepted,
    /// The job has ended.
    Ended(JobState),
    /// The state of a job that is known.
    State(JobState),
    /// The request was cancelled.
    Cancelled,
    /// Nothing of the job has run or will run.
    Refused {
        /// When the client may come back.
        retry_after_s: u64,
    },
    /// The instance cannot take this work; nothing of it has run or will run.
    Unavailable,
    /// The job was started and given up; it may be sent again.
    GivenUp,
    /// No such job.
    Unknown,
}

/// The minion that a call goes to.
#[derive(Debug, Clone)]
pub struct Target {
    /// The minion.
    pub minion: MinionKey,
    /// Its id, which the call names as the intended incarnation.
    pub id: MinionId,
    /// Where it listens.
    pub address: SocketAddr,
    /// The fencing token.
    pub fencing_token: u64,
}

/// An order to start a run.
#[derive(Debug, Clone)]
pub struct StartOrder {
    /// The minion.
    pub target: Target,
    /// The run.
    pub run: RunRef,
    /// What the client sent for the task.
    pub spec: SharedStr,
    /// The end of the lease on the minion's clock.
    pub lease_until_ms: u64,
    /// What an earlier run has saved.
    pub checkpoint: Checkpoint,
    /// The ticket that allows the run, if its queue needs one.
    pub ticket: Option<SharedStr>,
}

/// An order to stop a run.
#[derive(Debug, Clone)]
pub struct StopOrder {
    /// The minion.
    pub target: Target,
    /// The run.
    pub run: RunRef,
}

/// The number of a call to the log of a shard, unique for an engine.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub struct LogCallNumber(pub u64);

/// An order to read the log of a shard.
#[derive(Debug, Clone)]
pub struct LogRead {
    /// The call, which its answer names.
    pub number: LogCallNumber,
    /// The shard.
    pub shard: ShardId,
    /// The first offset to read.
    pub from_offset: u64,
}

/// An order to append to the log of a shard.
#[derive(Debug, Clone)]
pub struct LogAppend {
    /// The call, which its answer names.
    pub number: LogCallNumber,
    /// The shard.
    pub shard: ShardId,
    /// The offset at which the log has to end, or nothing is written.
    pub at_offset: u64,
    /// The records.
    pub records: Vec<LogRecord>,
}

/// The number of a call that holds a minion, unique for an engine.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub struct HoldNumber(pub u64);

/// An order to renew the lease of a minion and to wait for a run to end.
#[derive(Debug, Clone)]
pub struct HoldOrder {
    /// The number, which its answer names.
    pub number: HoldNumber,
    /// The minion.
    pub target: Target,
    /// The end of the lease on the minion's clock, unless that clock is not known yet.
    pub lease_until_ms: Option<u64>,
    /// The number of the last end that is taken note of.
    pub last_seen: u64,
    /// How long the call may wait for an end.
    pub wait_ms: u64,
}
