//! Scheduling of jobs whose tasks run on shared minions, without I/O and without a clock.
//!
//! The [`Engine`] of an instance has two roles. As an *owner* it accepts jobs and places
//! their tasks. As a *holder* it has the leases on the minions that are assigned to it,
//! and starts, renews and stops their runs, for its own jobs and for those of its peers.

mod adoption;
mod advice;
mod assignment;
mod authority;
mod backlog;
mod capacity_query;
mod capacity_search;
mod catalog;
mod clock;
mod confirm;
mod effect;
mod engine;
mod event_loop;
mod gang;
mod gone;
mod holder;
mod id;
mod job;
mod job_op;
mod job_table;
mod member;
mod membership;
mod message;
mod minion;
mod minion_list;
mod neighbours;
mod ops;
mod orders;
mod outcome;
mod owner;
mod pace;
mod peer;
mod placement;
mod resources;
mod retention;
mod retry_budget;
mod round_trip;
mod run_lists;
mod scheduling;
mod shard;
mod shard_log;
mod shard_runs;
mod start_backoff;
mod stored;
mod stored_job;
mod submission;
mod suspicion;
mod takeover;
mod task;
mod time;
pub mod timing;
mod token_bucket;

pub use self::adoption::Claim;
pub use self::advice::{AdviceAnswer, AdviceNumber, AdviceOrder, AdviceRules, StepRef};
pub use self::catalog::{Catalog, Queue, Service, WireLimits};
pub use self::effect::{
    Answer, Effect, HoldNumber, HoldOrder, LogAppend, LogCallNumber, LogRead, RequestKey,
    StartOrder, StopOrder, Target,
};
pub use self::engine::{Engine, Status};
pub use self::holder::{ActiveRun, EndedRun, HoldAnswer, HoldReply, MAX_LISTED_ENDS};
pub use self::id::{
    Checkpoint, JobId, MemberId, MinionId, OccurrenceRef, ParseIdError, RunRef,
    ServiceName, TaskRef,
};
pub use self::job_op::{JobOp, OpNumber, OpReply};
pub use self::member::{Member, ParseMemberError};
pub use self::message::{CapacityReport, EndReport, Frame, Message, RunEnd, ShardRun};
pub use self::minion::{MinionEntry, MinionKey, MinionState};
pub use self::minion_list::MinionChange;
pub use self::orders::{RejectionCause, RunOrder, StartAnswer};
pub use self::peer::PeerKey;
pub use self::resources::Resources;
pub use self::shard::{ShardId, StoreLimits};
pub use self::shard_log::AppendAnswer;
pub use self::stored_job::{LogRecord, StoredJob, TaskProgress};
pub use self::submission::{JobState, NewJob, Repeat, Step, Submission};
pub use self::takeover::LogPage;
pub use self::time::Moment;
