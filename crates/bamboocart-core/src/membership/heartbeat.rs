//! How often heartbeats are sent.

use crate::id::InstanceName;

/// The time between heartbeats to a peer of the own failure domain.
pub const SAME_DOMAIN_HEARTBEAT_MS: u64 = 1_000;

/// The time between heartbeats to a peer of another failure domain.
///
/// It leaves half a second for timers and links before the peer would become suspect.
pub const CROSS_DOMAIN_HEARTBEAT_MS: u64 = 2_500;

/// The time between heartbeats to a dead peer, which find the end of a partition.
///
/// A version that only peers can tell has to be in force within nine seconds of that end,
/// of which the links may take two for their backoff and the exchange one. With 10 s it
/// took longer in two of three runs.
pub const DEAD_PEER_HEARTBEAT_MS: u64 = 4_000;

/// The size of a heartbeat with its frame headers.
pub const HEARTBEAT_BYTES: u64 = 120;

/// The control traffic that a node may cause, sent and received.
pub const CONTROL_BUDGET_BYTES_PER_S: u64 = 7_000;

/// The number of groups of peers that get their heartbeats at different times, so that
/// these do not leave in one burst.
pub(super) const PHASES: u64 = 8;

/// Returns the group of a peer, from 1 to [`PHASES`].
pub(super) fn phase(name: &InstanceName) -> u64 {
    u64::from(blake3::hash(name.as_str().as_bytes()).as_bytes()[0]) % PHASES + 1
}

/// Returns the time between heartbeats to a peer of the own failure domain.
///
/// It is [`SAME_DOMAIN_HEARTBEAT_MS`] unless that would break the budget, counting that each peer
/// sends as much as it receives. It never exceeds [`CROSS_DOMAIN_HEARTBEAT_MS`].
pub const fn same_domain_heartbeat_ms(own_peers: usize, other_peers: usize) -> u64 {
    let beats_per_s = CONTROL_BUDGET_BYTES_PER_S / HEARTBEAT_BYTES / 2;
    let other_per_s = (other_peers as u64 * 1_000).div_ceil(CROSS_DOMAIN_HEARTBEAT_MS);
    if other_per_s >= beats_per_s {
        return CROSS_DOMAIN_HEARTBEAT_MS;
    }
    let left_per_s = beats_per_s - other_per_s;
    let needed_ms = (own_peers as u64 * 1_000).div_ceil(left_per_s);
    if needed_ms < SAME_DOMAIN_HEARTBEAT_MS {
        SAME_DOMAIN_HEARTBEAT_MS
    } else if needed_ms > CROSS_DOMAIN_HEARTBEAT_MS {
        CROSS_DOMAIN_HEARTBEAT_MS
    } else {
        needed_ms
    }
}
