//! Decisions on jobs whose tasks run on shared minions, without I/O and without a clock.
//!
//! The [`Engine`] of an instance plays two parts. As an *owner* it accepts jobs and places
//! their tasks. As a *holder* it starts, renews and stops the runs on the minions that are
//! assigned to it, for its own jobs and for those of its peers.

mod adoption;
mod assignment;
mod backlog;
mod catalog;
mod clock;
mod effect;
mod engine;
mod holder;
mod id;
mod job;
mod member;
mod membership;
mod message;
mod minion;
mod neighbours;
mod orders;
mod outcome;
mod owner;
mod pace;
mod peer;
mod placement;
mod placing;
mod resources;
mod suspicion;
mod time;
pub mod timing;

pub use self::catalog::{Catalog, Queue, Service, WireLimits};
pub use self::effect::{
    Answer, Effect, HoldNumber, HoldOrder, RequestKey, StartOrder, StopOrder, Target,
};
pub use self::engine::{Engine, Status};
pub use self::holder::{ActiveRun, EndedRun, HoldAnswer, HoldReply};
pub use self::id::{
    JobId, MemberId, MinionId, ParseIdError, RunRef, ServiceName, TaskRef,
};
pub use self::job::{JobState, NewJob, Step, Submission};
pub use self::member::{Member, ParseMemberError};
pub use self::message::{Frame, Message, RoomReport, RunEnd};
pub use self::minion::{MinionEntry, MinionKey, MinionState};
pub use self::orders::StartAnswer;
pub use self::peer::PeerKey;
pub use self::resources::Resources;
pub use self::time::Moment;
