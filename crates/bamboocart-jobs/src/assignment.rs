//! Which instance holds which minion.

use crate::id::{MinionId, first_word};
use crate::member::Member;
use crate::shard::ShardId;

/// The bits of a fencing token that follow the generation.
const TOKEN_BITS: u32 = 24;

/// The bits of a fencing token that tell instances apart.
const MEMBER_BITS: u32 = 16;

/// Returns the holder of a minion among the members.
///
/// Members of the minion's failure domain come first, so that a domain that is cut off
/// keeps its minions. Rendezvous hashing moves only the minions of members that come or
/// go. Of two runs of one instance the later one counts.
pub(crate) fn holder_of<'a>(
    minion: &MinionId,
    failure_domain: &str,
    members: &'a [Member],
) -> Option<&'a Member> {
    let best = |local: bool| {
        members
            .iter()
            .filter(|member| !local || *member.failure_domain == *failure_domain)
            .max_by_key(|member| {
                (weight(minion.as_str(), &member.name), member.incarnation)
            })
    };
    best(true).or_else(|| best(false))
}

/// Returns the owner of a shard among the members.
pub(crate) fn shard_owner(shard: ShardId, members: &[Member]) -> Option<&Member> {
    let name = format!("shard {}", shard.0);
    members.iter().max_by_key(|member| (weight(&name, &member.name), member.incarnation))
}

/// Returns a fencing token: a later generation is higher, then a later attempt, and two
/// members that act on the same generation differ.
pub(crate) fn fencing_token(generation: u64, attempt: u8, member: &Member) -> u64 {
    let own = hash(member.to_string().as_bytes()) & ((1 << MEMBER_BITS) - 1);
    (generation << TOKEN_BITS) | (u64::from(attempt) << MEMBER_BITS) | own
}

/// Returns the weight of an instance for a minion or a shard.
fn weight(name: &str, instance: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(name.as_bytes());
    hasher.update(&[0]);
    hasher.update(instance.as_bytes());
    first_word(&hasher.finalize())
}

/// Returns the hash of some bytes.
pub(crate) fn hash(bytes: &[u8]) -> u64 {
    first_word(&blake3::hash(bytes))
}
