//! Assignment of minions and shards to instances by rendezvous hashing.

use crate::id::{MinionId, first_word};
use crate::membership::member::Member;
use crate::shard::ShardId;

/// The width in bits of the part of a fencing token below the generation.
const BELOW_GENERATION_BITS: u32 = 24;

/// The width in bits of the part of a fencing token that tells instances apart.
const MEMBER_BITS: u32 = 16;

/// Returns the member that holds a minion, or none if there are no members.
///
/// Members in the minion's failure domain take precedence, so that a domain that is cut
/// off keeps its minions. Rendezvous hashing moves only the minions of members that join
/// or leave. Of two incarnations of one instance the later one is chosen.
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

/// Returns the member that owns a shard, or none if there are no members.
pub(crate) fn shard_owner(shard: ShardId, members: &[Member]) -> Option<&Member> {
    let name = format!("shard {}", shard.0);
    members.iter().max_by_key(|member| (weight(&name, &member.name), member.incarnation))
}

/// Returns a fencing token, which is ordered by generation and then by attempt.
///
/// Its low bits hash the member, so that two members that act on the same generation get
/// different tokens.
pub(crate) fn fencing_token(generation: u64, attempt: u8, member: &Member) -> u64 {
    let member_bits = hash(member.to_string().as_bytes()) & ((1 << MEMBER_BITS) - 1);
    (generation << BELOW_GENERATION_BITS)
        | (u64::from(attempt) << MEMBER_BITS)
        | member_bits
}

/// Returns the rendezvous weight of an instance for a minion or a shard.
fn weight(name: &str, instance: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(name.as_bytes());
    hasher.update(&[0]);
    hasher.update(instance.as_bytes());
    first_word(&hasher.finalize())
}

/// Returns the first 64 bits of the BLAKE3 hash of some bytes.
pub(crate) fn hash(bytes: &[u8]) -> u64 {
    first_word(&blake3::hash(bytes))
}
