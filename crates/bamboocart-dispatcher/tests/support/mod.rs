//! A running system for tests, with stand-ins in this process and instances as processes
//! of their own.
//!
//! Everything listens on free loopback ports, and everything that a [`Cluster`] starts
//! ends when it is dropped.
// Each test program uses only a part of the fixture.
#![allow(dead_code, unused_imports)]

mod balanced;
mod callers;
mod claims;
mod cluster;
mod config;
mod fault_run;
mod forward;
mod http;
mod load;
mod permit;
mod process;
mod run_check;
mod sockets;
mod versions;

use std::thread::JoinHandle;
use std::time::{Duration, Instant};

pub use self::balanced::{
    BalancedCallers, RequestSpec, agent, is_ready, now, submit, wait_for_keys,
};
pub use self::callers::{Callers, SubmissionSpec};
pub use self::claims::{Claims, HeldRanges, started_keys};
pub use self::cluster::{Cluster, ClusterSettings};
pub use self::config::{base_config, config_text, publish, register};
pub use self::fault_run::{Fault, FaultRun};
pub use self::forward::{LinkMode, Net, Node};
pub use self::http::{call, try_call};
pub use self::load::{Load, RunningLoad, spawn_caller};
pub use self::process::Instance;
pub use self::run_check::{
    Summary, account_batches, check_run, check_run_with, collect_history,
};
pub use self::versions::{
    IN_FORCE_TIMEOUT, VersionWatch, append_publication, policy_changes, publication,
    version_of, wait_for_at_least, wait_for_version, weights,
};

/// The interval at which conditions are polled.
const POLL: Duration = Duration::from_millis(20);

/// The time within which an instance detects that a peer is dead, with a margin.
pub const PEER_DEAD_TIMEOUT: Duration = Duration::from_secs(8);

/// The time within which full service must return after a fault: 9 s until a
/// configuration is in force and 5 s until a peer is dead or live again.
pub const RECOVERY_TIMEOUT: Duration = Duration::from_secs(14);

/// The time within which a caller must end: the time of its last call, and of the start
/// of its thread on a busy machine.
pub const CALLER_END_TIMEOUT: Duration = Duration::from_secs(60);

/// Waits until a condition holds, and panics if it does not hold within the limit.
pub fn wait_until(what: &str, limit: Duration, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < limit, "{what}: not within {limit:?}");
        std::thread::sleep(POLL);
    }
}

/// Waits until a thread has ended and returns its result.
///
/// Panics if the thread does not end within the limit, or with its own panic.
pub fn join<T>(what: &str, limit: Duration, thread: JoinHandle<T>) -> T {
    let result = bamboocart_standin::join::join_with_timeout(limit, thread);
    let result = result.unwrap_or_else(|| panic!("{what}: not within {limit:?}"));
    result.unwrap_or_else(|panic| std::panic::resume_unwind(panic))
}

/// Sleeps while a fault lasts, for a time that the design documentation states.
pub fn sleep(duration: Duration) {
    std::thread::sleep(duration);
}

/// Returns the seed in `BAMBOOCART_TEST_SEED`, or else the test's own.
pub fn test_seed(own: u64) -> u64 {
    env_number("BAMBOOCART_TEST_SEED").unwrap_or(own)
}

/// Returns the factor by which runs are longer than the short form, from
/// `BAMBOOCART_TEST_LENGTH`.
pub fn test_length() -> u64 {
    env_number("BAMBOOCART_TEST_LENGTH").unwrap_or(1).max(1)
}

/// Parses a number from an environment variable.
fn env_number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}
