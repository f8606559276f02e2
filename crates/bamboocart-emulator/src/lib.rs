//! An emulator of a whole system in virtual time: engines of many instances, minions,
//! clients, the group of the store, and failures, all from one seed.
//!
//! It runs the decisions of `bamboocart_jobs` without sockets, thousands of times faster
//! than real processes, and checks the rules that clients and minions can observe.

mod checks;
mod compare;
mod day;
mod minion;
mod outcome;
mod plot;
mod report;
mod trace;
mod world;

pub use self::compare::{Comparison, Row, Verdict};
pub use self::day::{Day, DayError, JobKind, Trouble};
pub use self::outcome::{Outcome, OutcomeError, Outcomes};
pub use self::plot::credits_svg;
pub use self::report::{KindReport, Report};
pub use self::trace::trace;
pub use self::world::run;
