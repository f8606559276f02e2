//! The assignment of targets to instances, and the choice of a successor.

use super::peers::{Peer, PeerInfo, PeerState, Peers};
use crate::id::{DomainName, InstanceName, TargetName};

/// Returns the instance that a target is assigned to, by rendezvous hashing.
///
/// It is the instance with the highest weight among the serving instances of the target's
/// failure domain, or among all of them if the failure domain has none. When an instance
/// joins or leaves, only the targets that it gains or loses are reassigned.
pub fn assigned_instance<'a>(
    target: &TargetName,
    domain: &DomainName,
    serving: impl Iterator<Item = &'a PeerInfo>,
) -> Option<&'a PeerInfo> {
    serving.max_by_key(|info| {
        (info.domain == *domain, weight(&info.name, target), &info.name)
    })
}

/// Chooses the peer that takes over the submissions of this instance, if any can.
///
/// It is a live peer, of the same failure domain if possible, with the most free slots.
/// `stopping` excludes peers that are about to stop themselves.
pub fn choose_successor(
    peers: &Peers,
    stopping: impl Fn(&InstanceName) -> bool,
) -> Option<&Peer> {
    peers
        .serving()
        .filter(|peer| peer.state == PeerState::Live && !stopping(&peer.info.name))
        .max_by_key(|peer| {
            let same_domain = peer.info.domain == peers.me().domain;
            (same_domain, peer.free_slots.iter().sum::<u32>(), &peer.info.name)
        })
}

/// Returns the rendezvous weight of an instance for a target.
fn weight(instance: &InstanceName, target: &TargetName) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(instance.as_str().len() as u64).to_le_bytes());
    hasher.update(instance.as_str().as_bytes());
    hasher.update(target.as_str().as_bytes());
    let mut weight = [0; 8];
    hasher.finalize_xof().fill(&mut weight);
    u64::from_le_bytes(weight)
}
