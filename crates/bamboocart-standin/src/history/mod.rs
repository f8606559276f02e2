//! Recorded histories of concurrent runs, and a checker of their invariants.

mod answers;
mod call;
mod check;
mod event;
mod index;
mod starts;
mod violation;

pub use self::call::{CallRecord, Purpose, task_mark};
pub use self::check::{History, Policy, check};
pub use self::event::{EventKind, HistoryPage, RunId, TargetEvent};
pub use self::violation::Violation;
