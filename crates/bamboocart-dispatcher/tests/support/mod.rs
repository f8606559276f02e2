//! A running system for tests: stand-ins in process, and dispatchers as processes.
//!
//! Everything listens on loopback ports that the system chooses, and everything that a
//! [`Cluster`] starts ends when it is dropped.
// Each test program uses a part of the fixture.
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
    Summary, account_batches, check_run, check_run_with, evidence,
};
pub use self::versions::{
    IN_FORCE_TIMEOUT, VersionWatch, append_publication, policy_changes, publication,
    version_of, wait_for_at_least, wait_for_version, weights,
};

/// The pause between two looks at a condition.
const POLL: Duration = Duration::from_millis(20);

/// The time in which an instance notices that a peer is dead, with a margin.
pub const PEER_DEAD_TIMEOUT: Duration = Duration::from_secs(8);

/// The time in which full service has to return after a fault: the nine seconds in which
/// a configuration is in force and the five seconds until a peer is dead or live again.
pub const RECOVERY_TIMEOUT: Duration = Duration::from_secs(14);

/// The time in which a caller ends: its last call, and the start of its thread on a busy
/// machine.
pub const CALLER_END_TIMEOUT: Duration = Duration::from_secs(60);

/// Waits until a condition holds and fails the test at the limit.
pub fn wait_until(what: &str, limit: Duration, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < limit, "{what}: not within {limit:?}");
        std::thread::sleep(POLL);
    }
}

/// Waits until a thread has ended and returns its result, or fails the test at the limit.
pub fn join<T>(what: &str, limit: Duration, thread: JoinHandle<T>) -> T {
    let result = bamboocart_standin::join::within(limit, thread);
    let result = result.unwrap_or_else(|| panic!("{what}: not within {limit:?}"));
    result.unwrap_or_else(|panic| std::panic::resume_unwind(panic))
}

/// Lets a fault last for a time that the design page names.
pub fn sleep(duration: Duration) {
    std::thread::sleep(duration);
}

/// Returns the seed of a run: the test's own, or that of the environment.
pub fn test_seed(own: u64) -> u64 {
    number("BAMBOOCART_TEST_SEED").unwrap_or(own)
}

/// Returns the factor by which runs are longer than in their short form.
pub fn test_length() -> u64 {
    number("BAMBOOCART_TEST_LENGTH").unwrap_or(1).max(1)
}

/// Reads a number from the environment.
fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}
