//! The leases of a worker.

use std::collections::BTreeMap;

use bamboocart_core::time::Timestamp;

/// The leases on the slots of one worker.
///
/// The number of leases is bounded by the number of slots, because each holds at least one.
#[derive(Debug, Default)]
pub struct Leases {
    /// The leases by id.
    leases: BTreeMap<u64, Lease>,
    /// The id of the last lease.
    last_id: u64,
    /// The fencing token of the last grant.
    last_fencing_token: u64,
}

/// One lease.
#[derive(Debug, Clone)]
struct Lease {
    /// The holder.
    holder: String,
    /// The fencing token.
    fencing_token: u64,
    /// The slots.
    slots: u32,
    /// The time that it lasts without a renewal.
    ttl_ms: u64,
    /// When it lapses.
    expires: Timestamp,
}

/// A lease that was granted or renewed.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub struct LeaseGrant {
    /// The lease.
    pub lease: u64,
    /// The fencing token.
    pub fencing_token: u64,
    /// The slots.
    pub slots: u32,
    /// When it lapses.
    pub expires: Timestamp,
}

impl Leases {
    /// Grants up to `slots` of the free ones, or nothing if none is free.
    ///
    /// A holder that asks again keeps its lease under a new token; this covers a grant
    /// whose answer was lost.
    pub fn grant(
        &mut self,
        now: Timestamp,
        capacity: u32,
        holder: &str,
        slots: u32,
        ttl_ms: u64,
    ) -> Option<LeaseGrant> {
        let held = self.leases.iter().find(|(_, lease)| lease.holder == holder);
        let held_id = held.map(|(id, _)| *id);
        let others = self.leases.iter().filter(|(id, _)| Some(**id) != held_id);
        let taken: u32 = others.map(|(_, lease)| lease.slots).sum();
        let slots = slots.min(capacity.saturating_sub(taken));
        if slots == 0 {
            return None;
        }
        self.last_fencing_token += 1;
        self.last_id += u64::from(held_id.is_none());
        let id = held_id.unwrap_or(self.last_id);
        let lease = Lease {
            holder: holder.to_owned(),
            fencing_token: self.last_fencing_token,
            slots,
            ttl_ms,
            expires: now.plus_ms(ttl_ms),
        };
        let grant = lease.grant(id);
        self.leases.insert(id, lease);
        Some(grant)
    }

    /// Extends a lease that has not lapsed.
    pub fn renew(&mut self, now: Timestamp, id: u64) -> Option<LeaseGrant> {
        let lease = self.leases.get_mut(&id).filter(|lease| now < lease.expires)?;
        lease.expires = now.plus_ms(lease.ttl_ms);
        Some(lease.grant(id))
    }

    /// Ends a lease and returns whether there was one.
    pub fn release(&mut self, id: u64) -> bool {
        self.leases.remove(&id).is_some()
    }

    /// Returns the slots of a lease if it has not lapsed and the token is current.
    pub fn slots_for(&self, now: Timestamp, id: u64, fencing_token: u64) -> Option<u32> {
        let lease = self.leases.get(&id)?;
        let current = lease.fencing_token == fencing_token && now < lease.expires;
        current.then_some(lease.slots)
    }

    /// Removes and returns the leases that have lapsed.
    pub fn take_expired(&mut self, now: Timestamp) -> Vec<u64> {
        let expired = self.leases.iter().filter(|(_, lease)| lease.expires <= now);
        let expired: Vec<u64> = expired.map(|(id, _)| *id).collect();
        expired.iter().for_each(|id| drop(self.leases.remove(id)));
        expired
    }

    /// Returns the number of slots under a lease.
    pub fn leased_slots(&self) -> u32 {
        self.leases.values().map(|lease| lease.slots).sum()
    }
}

impl Lease {
    /// Describes the lease to its holder.
    fn grant(&self, id: u64) -> LeaseGrant {
        let (fencing_token, slots, expires) =
            (self.fencing_token, self.slots, self.expires);
        LeaseGrant { lease: id, fencing_token, slots, expires }
    }
}
