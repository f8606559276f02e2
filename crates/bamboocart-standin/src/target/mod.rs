//! Minions and workers: many targets in one process, each on a port of its own.

mod control;
mod faults;
mod fleet;
mod journal;
mod lease_calls;
mod leases;
mod lifecycle;
mod member;
mod registrar;
mod run_time;
mod settings;
mod timer;
mod usage;

pub use self::control::TargetRow;
pub use self::faults::{FaultBody, LeavingMode};
pub use self::fleet::Fleet;
pub use self::leases::{LeaseGrant, Leases};
pub use self::run_time::{PayloadHints, RunTimes};
pub use self::settings::{
    CommaSeparated, FleetSettings, KindRunTime, MinionSettings, WorkerSettings,
    minion_settings, worker_settings,
};
pub use self::usage::UsageBody;
