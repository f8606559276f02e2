//! Records of concurrent runs.

mod event;

pub use self::event::{HistoryPage, RunId, TargetEvent, What};
