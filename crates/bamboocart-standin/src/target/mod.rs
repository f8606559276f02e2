//! Minions and workers: many targets in one process, each on a port of its own.

mod control;
mod faults;
mod fleet;
mod journal;
mod lease_calls;
mod leases;
mod life;
mod member;
mod registrar;
mod run_time;
mod settings;
mod timer;
mod usage;

pub use self::control::TargetRow;
pub use self::faults::{FaultBody, Leaving};
pub use self::fleet::Fleet;
pub use self::leases::{Grant, Leases};
pub use self::run_time::{PayloadHints, RunTimes};
pub use self::settings::{
    FleetSettings, KindRunTime, Listed, MinionSettings, WorkerSettings, minion_settings,
    worker_settings,
};
pub use self::usage::UsageBody;
