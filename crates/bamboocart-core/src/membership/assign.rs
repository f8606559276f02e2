//! Which instance uses a target, and which one succeeds a stopping instance.

use super::peers::{Peer, PeerInfo, PeerState, Peers};
use crate::id::{DomainName, InstanceName, TargetName};

/// Returns the instance that uses a target: the one with the highest hash among the
/// serving instances of the target's failure domain, or among all if it has none.
///
/// When an instance comes or goes, only the targets that it gains or had move.
pub fn assigned_instance<'a>(
    target: &TargetName,
    domain: &DomainName,
    serving: impl Iterator<Item = &'a PeerInfo>,
) -> Option<&'a PeerInfo> {
    serving.max_by_key(|info| {
        (info.domain == *domain, weight(&info.name, target), &info.name)
    })
}

/// Chooses the peer that takes over the submissions of this instance.
///
/// It is a peer that was heard recently, if possible of the own failure domain, with the
/// most free slots. `stopping` excludes peers that are about to stop themselves.
pub fn choose_successor(
    peers: &Peers,
    stopping: impl Fn(&InstanceName) -> bool,
) -> Option<&Peer> {
    peers
        .serving()
        .filter(|peer| peer.state == PeerState::Live && !stopping(&peer.info.name))
        .max_by_key(|peer| {
            let near = peer.info.domain == peers.me().domain;
            (near, peer.free_slots.iter().sum::<u32>(), &peer.info.name)
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
