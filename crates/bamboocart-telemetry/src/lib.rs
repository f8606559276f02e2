//! Logs, metrics and traces.

pub mod buffer;
pub mod job_metrics;
pub mod lines;
pub mod logs;
pub mod metrics;
#[cfg(feature = "traces")]
pub mod trace;
pub mod utc;
