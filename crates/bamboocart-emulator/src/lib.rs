//! An emulator of a whole system in virtual time: engines of many instances, minions,
//! clients, the group of the store, and failures, all from one seed.
//!
//! It runs the decisions of `bamboocart_jobs` without sockets, thousands of times faster
//! than real processes, and checks the rules that clients and minions can observe.

mod compare;
mod invariants;
mod minion;
mod outcome;
mod plot;
mod report;
mod scenario;
mod simulation;
mod trace;

pub use self::compare::{Comparison, ComparisonRow, Verdict};
pub use self::outcome::{Outcome, OutcomeError, Outcomes};
pub use self::plot::credits_svg;
pub use self::report::{KindReport, Report};
pub use self::scenario::{Fault, JobKind, Scenario, ScenarioError};
pub use self::simulation::simulate;
pub use self::trace::install_trace;
