//! Actions that the engine asks its caller to carry out.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::holder::minion::MinionKey;
use crate::id::{Checkpoint, MinionId, RunRef, SharedStr};
use crate::owner::submission::JobState;
use crate::placement::advice::AdviceOrder;
use crate::shard::ShardId;
use crate::shard::stored_job::LogRecord;

/// A client request that waits for its answer, numbered by the caller of the engine.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Ord, PartialOrd, Hash)]
pub struct RequestKey(pub u64);

/// An action for the caller of the engine.
#[derive(Debug, Clone)]
pub enum Effect {
    /// Answers a client's request.
    Answer(RequestKey, Answer),
    /// Starts a run on a minion.
    Start(StartOrder),
    /// Stops a run on a minion.
    Stop(StopOrder),
    /// Renews the lease on a minion and waits for runs to end.
    Hold(HoldOrder),
    /// Reads the log of a shard.
    ReadLog(LogRead),
    /// Appends to the log of a shard.
    Append(LogAppend),
    /// Records in the store that stored jobs exist, for instances that start later.
    RecordStoredJobUse,
    /// Asks the advice service which minions may run a step.
    Advise(AdviceOrder),
}

/// The answer to a client's request.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The job is stored and will run.
    Accepted,
    /// The job has ended in the given state.
    Ended(JobState),
    /// The state of the job that the request asks about.
    State(JobState),
    /// The request was cancelled.
    Cancelled,
    /// The job was refused; nothing of it has run or will run.
    Refused {
        /// After how many seconds the client may retry.
        retry_after_s: u64,
    },
    /// The instance cannot take this work; nothing of it has run or will run.
    Unavailable,
    /// The job was started and then given up; the client may send it again.
    GivenUp,
    /// The job that the request asks about is not known.
    Unknown,
}

/// The minion that a call is sent to.
#[derive(Debug, Clone)]
pub struct Target {
    /// The key of the minion, passed back with the answer.
    pub minion: MinionKey,
    /// Its id, which the call carries to name the intended incarnation.
    pub id: MinionId,
    /// The address where it listens.
    pub address: SocketAddr,
    /// The fencing token of the caller's hold; the minion refuses a call with a lower
    /// token than the highest that it has seen.
    pub fencing_token: u64,
    /// How long the answer may take, beyond the wait of a hold.
    pub timeout_ms: u64,
}

/// A request to start a run.
#[derive(Debug, Clone)]
pub struct StartOrder {
    /// The minion that starts it.
    pub target: Target,
    /// The run, with the number of the start.
    pub run: RunRef,
    /// What the client sent for the task.
    pub spec: SharedStr,
    /// The end of the lease that the start carries, on the minion's clock.
    pub lease_until_ms: u64,
    /// What an earlier run of the task has saved.
    pub checkpoint: Checkpoint,
    /// The ticket that permits the run, if its queue needs one.
    pub ticket: Option<SharedStr>,
}

/// A request to stop a run.
#[derive(Debug, Clone)]
pub struct StopOrder {
    /// The minion that runs it.
    pub target: Target,
    /// The run, with the number of its start.
    pub run: RunRef,
}

/// The number of a call to the log of a shard, unique within an engine.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub struct LogCallNumber(pub u64);

/// A request to read the log of a shard.
#[derive(Debug, Clone)]
pub struct LogRead {
    /// The number of the call, passed back with its answer.
    pub number: LogCallNumber,
    /// The shard whose log is read.
    pub shard: ShardId,
    /// The first offset to read.
    pub from_offset: u64,
}

/// A request to append to the log of a shard.
#[derive(Debug, Clone)]
pub struct LogAppend {
    /// The number of the call, passed back with its answer.
    pub number: LogCallNumber,
    /// The shard whose log is written.
    pub shard: ShardId,
    /// The offset at which the log has to end; otherwise nothing is written.
    pub at_offset: u64,
    /// The records to append, in order.
    pub records: Vec<LogRecord>,
}

/// The number of a hold, unique within an engine.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub struct HoldNumber(pub u64);

/// A hold: a long-poll request that renews the lease on a minion and waits for a run to
/// end.
#[derive(Debug, Clone)]
pub struct HoldOrder {
    /// The number of the hold, passed back with its answer.
    pub number: HoldNumber,
    /// The minion that is held.
    pub target: Target,
    /// The end of the lease on the minion's clock, unless that clock is not known yet.
    pub lease_until_ms: Option<u64>,
    /// The number of the end up to which the minion may forget all ends.
    pub last_seen: u64,
    /// How long the call may wait for a run to end.
    pub wait_ms: u64,
}
