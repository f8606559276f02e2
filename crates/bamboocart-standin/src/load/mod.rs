//! An open-loop load generator that measures responses against the ideal.

mod caller;
mod client;
mod flight;
mod plan;
mod recorder;
mod run;
mod settings;
mod summary;
mod tickets;
mod wave;

pub use self::plan::{Plan, PlannedSubmission};
pub use self::run::{Error, Result, run};
pub use self::settings::{IdSource, Settings, settings};
pub use self::summary::{KindSummary, Summary};
