//! Logs, metrics and traces.

pub mod lines;
pub mod logs;
pub mod metrics;
pub mod trace;
pub mod utc;
