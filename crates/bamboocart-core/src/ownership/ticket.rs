//! Issuing tickets.

use super::Owner;
use crate::id::{DomainName, Ticket};

/// Issues the tickets of one incarnation, numbered from 0.
#[derive(Debug)]
pub struct TicketIssuer {
    domain: DomainName,
    owner: Owner,
    next: u64,
}

impl TicketIssuer {
    /// Creates the issuer of an incarnation that has issued nothing yet.
    pub fn new(domain: DomainName, owner: Owner) -> Self {
        Self { domain, owner, next: 0 }
    }

    /// Returns the incarnation that issues.
    pub fn owner(&self) -> &Owner {
        &self.owner
    }

    /// Returns the number of tickets issued so far.
    pub fn issued(&self) -> u64 {
        self.next
    }

    /// Issues the next ticket.
    pub fn issue(&mut self) -> Ticket {
        let sequence = self.next;
        self.next += 1;
        Ticket {
            domain: self.domain.clone(),
            instance: self.owner.instance.clone(),
            incarnation: self.owner.incarnation,
            sequence,
        }
    }

    /// Reports whether this issuer has issued the ticket.
    ///
    /// A number that is not issued yet must not run, because its later, rightful holder
    /// would be given the answer to somebody else's request.
    pub fn has_issued(&self, ticket: &Ticket) -> bool {
        ticket.domain == self.domain
            && ticket.instance == self.owner.instance
            && ticket.incarnation == self.owner.incarnation
            && ticket.sequence < self.next
    }
}
