//! Heartbeat intervals.

use crate::id::InstanceName;

/// The interval of heartbeats to a peer of the same failure domain, unless the budget
/// demands a longer one.
pub const SAME_DOMAIN_HEARTBEAT_MS: u64 = 1_000;

/// The interval of heartbeats to a peer of another failure domain.
///
/// It leaves 500 ms for timer and link delays before the peer would become suspect.
pub const CROSS_DOMAIN_HEARTBEAT_MS: u64 = 2_500;

/// The interval of heartbeats to a dead peer, which detect the end of a partition.
///
/// A configuration version that is available only from peers must be in force within 9 s
/// of that end, of which the backoff of the links may take 2 s and the exchange 1 s. An
/// interval of 10 s exceeded that bound in two of three runs.
pub const DEAD_PEER_HEARTBEAT_MS: u64 = 4_000;

/// The upper bound on the size of a heartbeat, including its frame headers.
pub const HEARTBEAT_BYTES: u64 = 120;

/// The budget for the heartbeat traffic of an instance, sent and received.
pub const CONTROL_BUDGET_BYTES_PER_S: u64 = 7_000;

/// The number of phases over which the first heartbeats to peers are spread, to avoid
/// sending them in one burst.
pub(super) const PHASES: u64 = 8;

/// Returns the phase of a peer, from 1 to [`PHASES`].
pub(super) fn phase(name: &InstanceName) -> u64 {
    u64::from(blake3::hash(name.as_str().as_bytes()).as_bytes()[0]) % PHASES + 1
}

/// Returns the interval of heartbeats to a peer of the same failure domain.
///
/// It is [`SAME_DOMAIN_HEARTBEAT_MS`] unless that would exceed
/// [`CONTROL_BUDGET_BYTES_PER_S`], assuming that each peer sends as much as it receives.
/// It never exceeds [`CROSS_DOMAIN_HEARTBEAT_MS`].
pub const fn same_domain_heartbeat_ms(
    same_domain_peers: usize,
    other_domain_peers: usize,
) -> u64 {
    let heartbeats_per_s = CONTROL_BUDGET_BYTES_PER_S / HEARTBEAT_BYTES / 2;
    let other_per_s =
        (other_domain_peers as u64 * 1_000).div_ceil(CROSS_DOMAIN_HEARTBEAT_MS);
    if other_per_s >= heartbeats_per_s {
        return CROSS_DOMAIN_HEARTBEAT_MS;
    }
    let left_per_s = heartbeats_per_s - other_per_s;
    let needed_ms = (same_domain_peers as u64 * 1_000).div_ceil(left_per_s);
    if needed_ms < SAME_DOMAIN_HEARTBEAT_MS {
        SAME_DOMAIN_HEARTBEAT_MS
    } else if needed_ms > CROSS_DOMAIN_HEARTBEAT_MS {
        CROSS_DOMAIN_HEARTBEAT_MS
    } else {
        needed_ms
    }
}
