//! The issue of tickets.

use super::Owner;
use crate::id::{DomainName, Ticket};

/// Issues the tickets of one incarnation, with sequence numbers from 0.
#[derive(Debug)]
pub struct TicketIssuer {
    domain: DomainName,
    owner: Owner,
    next_sequence: u64,
}

impl TicketIssuer {
    /// Creates the issuer of an incarnation that has issued no ticket.
    pub fn new(domain: DomainName, owner: Owner) -> Self {
        Self { domain, owner, next_sequence: 0 }
    }

    /// Returns the issuing incarnation.
    pub fn owner(&self) -> &Owner {
        &self.owner
    }

    /// Returns the number of tickets issued so far, which is the next sequence number.
    pub fn issued(&self) -> u64 {
        self.next_sequence
    }

    /// Issues a ticket with the next sequence number.
    pub fn issue(&mut self) -> Ticket {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        Ticket {
            domain: self.domain.clone(),
            instance: self.owner.instance.clone(),
            incarnation: self.owner.incarnation,
            sequence,
        }
    }

    /// Reports whether this issuer has issued the ticket.
    ///
    /// A ticket that has not been issued must not run: the caller that gets it later
    /// would receive the answer to another caller's request.
    pub fn has_issued(&self, ticket: &Ticket) -> bool {
        ticket.domain == self.domain
            && ticket.instance == self.owner.instance
            && ticket.incarnation == self.owner.incarnation
            && ticket.sequence < self.next_sequence
    }
}
