//! Scheduling of jobs whose tasks run on shared minions, without I/O and without a clock.
//!
//! The [`Engine`] of an instance has two roles. As an *owner* it accepts jobs and places
//! their tasks. As a *holder* it has the leases on the minions that are assigned to it,
//! and starts, renews and stops their runs, for its own jobs and for those of its peers.
//!
//! The modules are grouped by the role that decides:
//!
//! - `operator`: what operators have published, such as the configuration.
//! - `membership`: which instances and minions there are, and who holds which minion.
//! - `owner`: jobs, their tasks and their answers.
//! - `overload`: what waits and what is turned away while there is too little room.
//! - `placement`: which minion runs a waiting task.
//! - `holder`: the leases and runs on minions.
//! - `shard`: stored jobs, their logs and their owners.
//!
//! [`Engine`] passes inputs to them. The types that several roles share stand beside it.

mod effect;
mod engine;
mod event_loop;
mod holder;
mod id;
mod membership;
mod message;
mod operator;
pub mod overload;
mod owner;
mod placement;
mod resources;
mod shard;
mod time;
pub mod timing;
mod token_bucket;

pub use self::effect::{
    Answer, Effect, HoldNumber, HoldOrder, LogAppend, LogCallNumber, LogRead, RequestKey,
    StartOrder, StopOrder, Target,
};
pub use self::engine::{Engine, Status};
pub use self::holder::adoption::Claim;
pub use self::holder::minion::{MinionEntry, MinionKey, MinionState};
pub use self::holder::orders::{RejectionCause, RunOrder, StartAnswer};
pub use self::holder::{ActiveRun, EndedRun, HoldAnswer, HoldReply, MAX_LISTED_ENDS};
pub use self::id::{
    Checkpoint, JobId, MemberId, MinionId, OccurrenceRef, ParseIdError, RunRef,
    ServiceName, TaskRef,
};
pub use self::membership::member::{Member, ParseMemberError};
pub use self::membership::minion_list::MinionChange;
pub use self::membership::peer::PeerKey;
pub use self::message::{CapacityReport, EndReport, Frame, Message, RunEnd, ShardRun};
pub use self::operator::catalog::{Catalog, Queue, Service, WireLimits};
pub use self::operator::check;
pub use self::operator::evacuation::{
    EvacuationNotice, EvacuationRequest, EvacuationStatus, OperatorChange, OperatorPage,
};
pub use self::overload::{OverloadPolicy, OverloadStatus, ParsePolicyError};
pub use self::owner::submission::{JobState, NewJob, Repeat, Step, Submission};
pub use self::placement::advice::{
    AdviceAnswer, AdviceNumber, AdviceOrder, AdviceRules, StepRef,
};
pub use self::resources::Resources;
pub use self::shard::job_op::{JobOp, OpNumber, OpReply};
pub use self::shard::shard_log::AppendAnswer;
pub use self::shard::stored_job::{LogRecord, StoredJob, TaskProgress};
pub use self::shard::takeover::LogPage;
pub use self::shard::{ShardId, StoreLimits};
pub use self::time::Moment;
