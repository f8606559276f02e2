//! From a submission id to its owner.

use std::collections::{BTreeMap, VecDeque};

use super::{ClaimTable, Coverage, Owner, Rights, TicketIssuer};
use crate::id::{Incarnation, InstanceName, SubmissionId, Ticket};

/// The handovers that are remembered, oldest dropped first.
const SUCCESSIONS: usize = 4_096;

/// The longest chain of handovers that is followed.
const CHAIN: usize = 64;

/// Who owns an id, as far as this instance can tell.
#[derive(Debug, Clone, Eq, PartialEq)]
pub enum Resolved {
    /// This instance owns it by its own right or by the named predecessor's.
    ///
    /// Offer the submission to the registry under this right.
    Local(Owner),
    /// Another incarnation owns it and seems to be live: forward the submission.
    ///
    /// If the forward fails, the answer is "unknown".
    Remote(Owner),
    /// The owner is gone and no successor is known: "unknown".
    Gone(Owner),
    /// The key's time is later than every claim that this instance has read: "unknown".
    ///
    /// It is not "not run": another instance may have read a later claim and may have
    /// started an earlier copy of the submission.
    Future,
    /// The key's time is not covered, or cannot be verified to be: "unknown".
    Past,
    /// The ticket names this incarnation, which has not issued it: "unknown".
    NotIssued,
}

/// What an instance knows when it resolves an id.
#[derive(Copy, Clone)]
pub struct ResolveContext<'a> {
    /// The rights that the registry holds.
    pub rights: &'a Rights,
    /// The own tickets.
    pub issuer: &'a TicketIssuer,
    /// The claims read so far.
    pub claims: &'a ClaimTable,
    /// The handovers of others.
    pub successions: &'a Successions,
    /// Returns the live incarnation of an instance.
    pub live: &'a dyn Fn(&InstanceName) -> Option<Incarnation>,
}

/// Returns who owns an id.
pub fn resolve(id: &SubmissionId, view: &ResolveContext) -> Resolved {
    match (id, id.key_time()) {
        (SubmissionId::Ticket(ticket), _) => resolve_ticket(ticket, view),
        (SubmissionId::CallerKey(key), Some(time)) => {
            match view.claims.coverage(key, time) {
                Coverage::By(owner) => resolve_owner(owner, view),
                Coverage::Future => Resolved::Future,
                Coverage::Past => Resolved::Past,
            }
        }
        (SubmissionId::CallerKey(_), None) => Resolved::Past,
    }
}

/// Returns who owns a ticket.
fn resolve_ticket(ticket: &Ticket, view: &ResolveContext) -> Resolved {
    let owner = Owner::new(ticket.instance.clone(), ticket.incarnation);
    match owner == *view.issuer.owner() && !view.issuer.has_issued(ticket) {
        true => Resolved::NotIssued,
        false => resolve_owner(owner, view),
    }
}

/// Returns who stands in for an owner now.
fn resolve_owner(owner: Owner, view: &ResolveContext) -> Resolved {
    if view.rights.holds(&owner) {
        return Resolved::Local(owner);
    }
    let last = view.successions.last(&owner);
    let here = *last == *view.issuer.owner();
    match (view.live)(&last.instance) {
        Some(incarnation) if incarnation == last.incarnation && !here => {
            Resolved::Remote(last.clone())
        }
        _ => Resolved::Gone(owner),
    }
}

/// Who handed over to whom, as announced by the instances concerned.
///
/// The table only directs forwards. An instance acts for another one only by the rights
/// of its registry.
#[derive(Debug, Default)]
pub struct Successions {
    next: BTreeMap<Owner, Owner>,
    order: VecDeque<Owner>,
}

impl Successions {
    /// Notes a handover; the first successor stands, as an owner hands over only once.
    pub fn learn(&mut self, from: Owner, to: Owner) {
        if from == to || self.next.contains_key(&from) {
            return;
        }
        if self.order.len() == SUCCESSIONS
            && let Some(oldest) = self.order.pop_front()
        {
            self.next.remove(&oldest);
        }
        self.order.push_back(from.clone());
        self.next.insert(from, to);
    }

    /// Returns the latest handovers, at most `count`, for passing them on to a peer.
    pub fn latest(&self, count: usize) -> impl Iterator<Item = (&Owner, &Owner)> {
        let latest = self.order.iter().rev().take(count);
        latest.filter_map(|from| self.next.get_key_value(from))
    }

    /// Returns the last successor that is known.
    fn last<'a>(&'a self, owner: &'a Owner) -> &'a Owner {
        let mut last = owner;
        for _ in 0..CHAIN {
            match self.next.get(last) {
                Some(next) => last = next,
                None => break,
            }
        }
        last
    }
}
