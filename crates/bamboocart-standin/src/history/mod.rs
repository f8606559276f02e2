//! Records of concurrent runs, and the checker of the invariants on them.

mod answers;
mod check;
mod event;
mod index;
mod send;
mod starts;
mod violation;

pub use self::check::{Evidence, Policy, check};
pub use self::event::{HistoryPage, RunId, TargetEvent, What};
pub use self::send::{Purpose, SendRecord, task_mark};
pub use self::violation::Violation;
