//! Introductions: how a member that the store does not answer learns of new members.
//!
//! Such a member keeps its shards for a while, as long as all members that it knows receive
//! its frames. One that has joined since then does not know it either, and may take over its
//! shards and start their tasks while their runs are active. The members that know both tell
//! the earlier one of the new one, and the link between the two does the rest: the new one
//! announces its shards on it. If the link cannot be opened, the earlier member gives its
//! shards up, since a member that it knows does not receive its frames.

use log::info;

use crate::engine::Engine;
use crate::membership::member::Member;
use crate::membership::peer::{Peer, PeerKey};
use crate::time::Moment;
use crate::timing::JOIN_AUTHORITY_MS;

/// How much earlier than its peer's last join an instance may have learned of a member that
/// the answer to that join did not name yet. The time of the join is an estimate.
const JOIN_SLACK_MS: u64 = 1_000;

impl Engine {
    /// Tells the peers that the store does not answer of the members that may have joined
    /// since their last join.
    pub(crate) fn introduce_members(&mut self, now: Moment) {
        let has_joined = |peer: &Peer| peer.listed || peer.joined_at.is_some();
        let peers = self.peers.arena.iter();
        let members = peers.filter(|(_, peer)| {
            let stays = !peer.replaced && !peer.leaving;
            stays && has_joined(peer) && peer.is_present(now)
        });
        let members: Vec<(PeerKey, Moment, Member)> = members
            .map(|(key, peer)| (key, peer.known_since, peer.member.clone()))
            .collect();
        for (key, peer) in &mut self.peers.arena {
            let joined_at = peer.joined_at.filter(|&at| is_unanswered(now, at));
            let Some(joined_at) = joined_at else { continue };
            let new = members.iter().filter(|&&(member, known_since, _)| {
                member != key && known_since + JOIN_SLACK_MS > joined_at
            });
            peer.introduce(new.map(|(.., member)| member.clone()));
        }
    }

    /// Processes the members that a peer names, because the store does not answer this
    /// instance.
    pub(crate) fn members_introduced(
        &mut self,
        now: Moment,
        peer: PeerKey,
        members: &[Member],
    ) {
        // The store's own list is newer.
        if self.shards.joined_at.is_some_and(|at| !is_unanswered(now, at)) {
            return;
        }
        let introducer = self.member_of(peer).map(Member::to_string);
        for member in members.iter().filter(|it| it.name != self.member.name) {
            if self.peers.is_replaced(member) {
                continue;
            }
            let key = self.peers.insert(member, now);
            let entry = &mut self.peers.arena[key];
            if !entry.listed {
                info!(target: "peer", member:% = member, peer:? = introducer;
                    "a peer names a member that joined while the store did not answer");
                entry.listed = true;
                entry.joined = true;
                self.review.note_peer();
            }
        }
    }
}

/// Returns whether a member that sent its last answered join at `joined_at` may be acting
/// without the store.
fn is_unanswered(now: Moment, joined_at: Moment) -> bool {
    now.since(joined_at) >= JOIN_AUTHORITY_MS
}
