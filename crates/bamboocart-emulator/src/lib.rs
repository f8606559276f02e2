//! A deterministic discrete-event simulation of a whole system in virtual time.
//!
//! It covers the engines of many instances, minions, clients, the store with its group,
//! and injected faults, all derived from one seed. The engines of `bamboocart_jobs` run
//! without sockets, thousands of times faster than real processes, and the simulation
//! checks the invariants that clients and minions can observe.

mod compare;
mod fault;
mod invariants;
mod minion;
mod outcome;
mod plot;
mod report;
mod scenario;
mod simulation;
mod trace;

pub use self::compare::{Comparison, ComparisonRow, Verdict};
pub use self::fault::{Fault, Rejection};
pub use self::outcome::{Outcome, OutcomeError, Outcomes};
pub use self::plot::credits_svg;
pub use self::report::{KindReport, Report, SecondReport};
pub use self::scenario::{Domain, JobKind, Links, Scenario, ScenarioError};
pub use self::simulation::simulate;
pub use self::trace::install_trace;
