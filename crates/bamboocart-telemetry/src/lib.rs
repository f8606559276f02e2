//! Logs, metrics and traces.

pub mod buffer;
pub mod job_metrics;
pub mod lines;
pub mod logs;
pub mod metrics;
pub mod recorder;
#[cfg(feature = "traces")]
pub mod trace;
pub mod utc;
