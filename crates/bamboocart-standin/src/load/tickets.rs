//! The tickets that callers hold.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard};

use bamboocart_core::id::SubmissionId;

/// The largest number of tickets; further ones are dropped.
const TICKETS_MAX: usize = 4_096;

/// The number of tickets below which answers are asked for several.
const TICKETS_LOW: usize = 512;

/// The number of tickets that an answer is asked for while there are few.
const REFILL: u16 = 4;

/// Tickets, used oldest first.
#[derive(Debug, Default)]
pub struct Tickets {
    /// The tickets.
    tickets: Mutex<VecDeque<SubmissionId>>,
}

impl Tickets {
    /// Adds tickets.
    pub fn add(&self, tickets: Vec<SubmissionId>) {
        let mut held = self.lock();
        let room = TICKETS_MAX.saturating_sub(held.len());
        held.extend(tickets.into_iter().take(room));
    }

    /// Takes a ticket.
    pub fn take(&self) -> Option<SubmissionId> {
        self.lock().pop_front()
    }

    /// Returns the number of tickets to ask for with a submission.
    pub fn wanted(&self) -> u16 {
        match self.lock().len() {
            count if count < TICKETS_LOW => REFILL,
            count if count < TICKETS_MAX => 1,
            _ => 0,
        }
    }

    /// Locks the tickets.
    fn lock(&self) -> MutexGuard<'_, VecDeque<SubmissionId>> {
        self.tickets.lock().expect("no holder of the lock panics")
    }
}
