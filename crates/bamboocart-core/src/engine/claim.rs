//! Claims on ranges of caller keys.

use crate::engine::{ClaimPage, Effect, Engine};
use crate::ownership::{ClaimRecord, Owner, SkipReason};
use crate::time::Timestamp;

/// The stream of the log that holds the claims of all instances.
pub const CLAIM_STREAM: &str = "claims";

impl Engine {
    /// Handles records read from the stream of claims.
    pub(super) fn claims_read(&mut self, page: &ClaimPage, effects: &mut Vec<Effect>) {
        let records: Vec<ClaimRecord> = page
            .records
            .iter()
            .map(|(offset, at_ms, body)| ClaimRecord {
                offset: *offset,
                at_ms: *at_ms,
                body,
            })
            .collect();
        for fault in self.claims.read(page.start, &records) {
            // Instances that start together claim the same ranges. The first claim wins,
            // so an overlap is no fault.
            effects.push(match fault.reason {
                SkipReason::Overlap { .. } => Effect::Info(fault.to_string()),
                _ => Effect::Warn(fault.to_string()),
            });
        }
        self.claims_seen = true;
    }

    /// Appends the claims that are due.
    ///
    /// Nothing is claimed before the stream was read once, since the ranges of others are
    /// unknown until then.
    pub(super) fn claim(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        if !self.claims_seen || self.is_leaving() {
            return;
        }
        let peers = self.membership.peers.serving();
        let owner = |info: &crate::membership::PeerInfo| {
            Owner::new(info.name.clone(), info.incarnation)
        };
        let live: Vec<Owner> =
            peers.map(|peer| owner(&peer.info)).chain([self.me.clone()]).collect();
        for claim in self.claimer.due(&self.claims, &live, now) {
            let (stream, body) = (CLAIM_STREAM, claim.to_body());
            effects.push(Effect::Append { stream, body });
        }
    }
}
