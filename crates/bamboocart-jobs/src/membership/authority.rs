//! The authority of an instance to act as the owner of its shards.

use crate::engine::Engine;
use crate::membership::peer::Peer;
use crate::shard::Shard;
use crate::time::Moment;
use crate::timing::{
    AUTHORITY_GRACE_MS, HANDOVER_STOP_DELAY_MS, JOIN_AUTHORITY_MS, OWNER_SILENCE_MS,
};

/// The pause before this instance takes back a shard that another one has taken.
const RETAKE_MS: u64 = 1_000;

impl Engine {
    /// Returns whether this instance may act as the owner of its shards.
    ///
    /// No other instance takes them while the store's group names this one, or while all
    /// members receive its frames. The latter lets jobs go on while the store is
    /// unavailable.
    pub(crate) fn has_authority(&self, now: Moment) -> bool {
        let Some(joined_at) = self.shards.joined_at else { return false };
        let members = self.peers.arena.values();
        let mut members =
            members.filter(|peer| peer.listed && !peer.replaced && !peer.leaving);
        let echoes = |peer: &Peer| {
            peer.last_echoed_at.is_some_and(|echoed| now.since(echoed) < OWNER_SILENCE_MS)
        };
        self.review.joined
            && (now.since(joined_at) < JOIN_AUTHORITY_MS || members.all(echoes))
    }

    /// Takes and gives up shards according to their assignment to the members.
    pub(crate) fn review_shards(&mut self, now: Moment) {
        // An instance that was suspended has to take over its shards again, whether or
        // not it has authority by now: others may have recorded the ends of its runs.
        if now.since(self.shards.authority_at) >= AUTHORITY_GRACE_MS {
            for id in self.shards.ids() {
                self.drop_shard(now, id, true);
            }
        }
        if !self.has_authority(now) {
            return;
        }
        self.shards.authority_at = now;
        for id in self.shards.ids() {
            let assigned = self.shards.owner(id) == Some(&self.member);
            let lost_at = self.shards.lost_at.get(&id);
            let backing_off = lost_at.is_some_and(|&at| now.since(at) < RETAKE_MS);
            match (assigned, self.shards.owned.contains_key(&id)) {
                (true, false) if backing_off => {}
                (true, false) => {
                    self.shards.owned.insert(id, Shard::new(0, now));
                }
                (false, true) => {
                    self.schedule_stops(now + HANDOVER_STOP_DELAY_MS, id);
                    self.drop_shard(now, id, false);
                }
                (true, true) => self.maintain_records(now, id),
                (false, false) => {}
            }
        }
    }
}
