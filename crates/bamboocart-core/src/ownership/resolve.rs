//! Resolving a submission id to its owner.

use std::collections::{BTreeMap, VecDeque};

use super::{ClaimTable, Coverage, Owner, Rights, TicketIssuer};
use crate::id::{Incarnation, InstanceName, SubmissionId, Ticket};

/// The maximum number of handovers that are remembered; the oldest are dropped first.
const MAX_SUCCESSIONS: usize = 4_096;

/// The maximum length of a chain of handovers that is followed.
const MAX_CHAIN_LENGTH: usize = 64;

/// The owner of an id, as far as this instance can determine it.
#[derive(Debug, Clone, Eq, PartialEq)]
pub enum Resolved {
    /// This instance owns the id by its own right or by that of the named predecessor.
    ///
    /// Look the submission up in the registry under this right.
    Local(Owner),
    /// Another incarnation owns the id and appears to be live: forward the submission.
    ///
    /// If forwarding fails, the answer is "unknown".
    Remote(Owner),
    /// The owner is gone and no live successor is known: the answer is "unknown".
    Gone(Owner),
    /// The key's time is later than every claim that this instance has read: the answer
    /// is "unknown".
    ///
    /// It must not be "not run": another instance may have read a later claim and started
    /// an earlier copy of the submission.
    Future,
    /// The key's time is not covered by a claim that can be verified: the answer is
    /// "unknown".
    Past,
    /// The ticket names this incarnation, which has not issued it: the answer is
    /// "unknown".
    NotIssued,
}

/// The knowledge of an instance that resolving an id depends on.
#[derive(Copy, Clone)]
pub struct ResolveContext<'a> {
    /// The rights that this instance's registry holds.
    pub rights: &'a Rights,
    /// The issuer of this instance's tickets.
    pub issuer: &'a TicketIssuer,
    /// The claims read from the log so far.
    pub claims: &'a ClaimTable,
    /// The handovers announced so far.
    pub successions: &'a Successions,
    /// A function that returns the live incarnation of an instance, if there is one.
    pub live: &'a dyn Fn(&InstanceName) -> Option<Incarnation>,
}

/// Returns the owner of an id, as far as `context` allows to determine it.
pub fn resolve(id: &SubmissionId, context: &ResolveContext) -> Resolved {
    match (id, id.key_time()) {
        (SubmissionId::Ticket(ticket), _) => resolve_ticket(ticket, context),
        (SubmissionId::CallerKey(key), Some(time)) => {
            match context.claims.coverage(key, time) {
                Coverage::By(owner) => resolve_owner(owner, context),
                Coverage::Future => Resolved::Future,
                Coverage::Past => Resolved::Past,
            }
        }
        (SubmissionId::CallerKey(_), None) => Resolved::Past,
    }
}

/// Returns the owner of a ticket.
fn resolve_ticket(ticket: &Ticket, context: &ResolveContext) -> Resolved {
    let owner = Owner::new(ticket.instance.clone(), ticket.incarnation);
    match owner == *context.issuer.owner() && !context.issuer.has_issued(ticket) {
        true => Resolved::NotIssued,
        false => resolve_owner(owner, context),
    }
}

/// Returns who acts for an owner now: this instance, or the live last successor.
fn resolve_owner(owner: Owner, context: &ResolveContext) -> Resolved {
    if context.rights.holds(&owner) {
        return Resolved::Local(owner);
    }
    let last = context.successions.last_successor(&owner);
    let is_self = *last == *context.issuer.owner();
    match (context.live)(&last.instance) {
        Some(incarnation) if incarnation == last.incarnation && !is_self => {
            Resolved::Remote(last.clone())
        }
        _ => Resolved::Gone(owner),
    }
}

/// The known handovers, as announced by the instances involved.
///
/// They only determine where to forward. An instance acts for another owner only under
/// the rights in its registry.
#[derive(Debug, Default)]
pub struct Successions {
    successors: BTreeMap<Owner, Owner>,
    /// The predecessors in the order in which their handovers were learned.
    order: VecDeque<Owner>,
}

impl Successions {
    /// Records a handover.
    ///
    /// The first successor is kept, because an owner hands over only once.
    pub fn learn(&mut self, from: Owner, to: Owner) {
        if from == to || self.successors.contains_key(&from) {
            return;
        }
        if self.order.len() == MAX_SUCCESSIONS
            && let Some(oldest) = self.order.pop_front()
        {
            self.successors.remove(&oldest);
        }
        self.order.push_back(from.clone());
        self.successors.insert(from, to);
    }

    /// Returns the latest handovers, at most `count`, to announce them to a peer.
    pub fn latest(&self, count: usize) -> impl Iterator<Item = (&Owner, &Owner)> {
        let latest = self.order.iter().rev().take(count);
        latest.filter_map(|from| self.successors.get_key_value(from))
    }

    /// Returns the last known successor in the chain of handovers from an owner, or the
    /// owner itself.
    fn last_successor<'a>(&'a self, owner: &'a Owner) -> &'a Owner {
        let mut last = owner;
        for _ in 0..MAX_CHAIN_LENGTH {
            match self.successors.get(last) {
                Some(successor) => last = successor,
                None => break,
            }
        }
        last
    }
}
