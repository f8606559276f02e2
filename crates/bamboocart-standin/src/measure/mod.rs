//! The steps of a measurement around a load run: set-up, faults, scores and tables.

mod await_service;
mod client_cost;
mod fault;
mod ideal;
mod recovery;
mod register;
mod score;
mod submissions;
mod table;

pub use self::await_service::{AwaitSettings, await_service, await_settings};
pub use self::client_cost::{CostSettings, compare_clients, cost_settings};
pub use self::fault::{FaultSettings, fault_settings, set_fault};
pub use self::ideal::{Arrival, ScheduledEndUs, SlotClass, schedule};
pub use self::recovery::{Response, recovery_ms};
pub use self::register::{RegisterSettings, register, register_settings};
pub use self::score::{Score, ScoreSettings, score, score_settings};
pub use self::submissions::{ObservedSubmission, group_by_submission};
pub use self::table::{TableSettings, print_table, table_settings};

/// The result of a measurement step, whose error ends the program.
pub type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;
