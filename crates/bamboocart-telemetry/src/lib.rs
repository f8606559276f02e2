//! Logs, metrics and traces, none of which blocks the threads that serve requests.

pub mod buffer;
pub mod job_metrics;
pub mod lines;
pub mod logs;
pub mod metrics;
pub mod recorder;
#[cfg(feature = "traces")]
pub mod trace;
pub mod traffic;
pub mod utc;
