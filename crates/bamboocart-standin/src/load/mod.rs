//! An open-loop load generator that compares response times with the ideal.
//!
//! Open loop: submissions are sent when the plan schedules them, whether or not earlier
//! ones are answered.

mod caller;
mod client;
mod in_flight;
mod periodic;
mod plan;
mod recorder;
mod run;
mod settings;
mod summary;
mod tickets;

pub use self::plan::{Plan, PlannedSubmission};
pub use self::run::{Error, Result, run};
pub use self::settings::{IdSource, Settings, settings};
pub use self::summary::{KindSummary, Summary};
