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
        let peers = self.peers.arena.iter();
        let unanswered: Vec<(PeerKey, Moment)> = peers
            .filter_map(|(key, peer)| Some((key, peer.joined_at?)))
            .filter(|&(_, joined_at)| is_unanswered(now, joined_at))
            .collect();
        let Some(earliest) = unanswered.iter().map(|&(_, joined_at)| joined_at).min()
        else {
            return;
        };
        let peers = self.peers.arena.iter();
        let new: Vec<(PeerKey, Moment, Member)> = peers
            .filter(|(_, peer)| peer.known_since + JOIN_SLACK_MS > earliest)
            .filter(|(_, peer)| is_member(peer, now))
            .map(|(key, peer)| (key, peer.known_since, peer.member.clone()))
            .collect();
        for (key, joined_at) in unanswered {
            let members = new.iter().filter(|&&(member, known_since, _)| {
                member != key && known_since + JOIN_SLACK_MS > joined_at
            });
            self.peers.arena[key].introduce(members.map(|(.., member)| member.clone()));
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
                self.review.due = true;
            }
        }
    }
}

/// Returns whether a peer is a member of the group, and stays one.
fn is_member(peer: &Peer, now: Moment) -> bool {
    let has_joined = peer.listed || peer.joined_at.is_some();
    has_joined && peer.is_present(now) && !peer.replaced && !peer.leaving
}

/// Returns whether a member that sent its last answered join at `joined_at` may be acting
/// without the store.
fn is_unanswered(now: Moment, joined_at: Moment) -> bool {
    now.since(joined_at) >= JOIN_AUTHORITY_MS
}
