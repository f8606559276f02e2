//! Records of concurrent runs, and the checker of the invariants on them.

mod answers;
mod check;
mod event;
mod index;
mod send;
mod starts;
mod violation;

pub use self::check::{History, Policy, check};
pub use self::event::{EventKind, HistoryPage, RunId, TargetEvent};
pub use self::send::{CallRecord, Purpose, task_mark};
pub use self::violation::Violation;
