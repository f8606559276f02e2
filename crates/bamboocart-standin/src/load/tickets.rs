//! The pool of unused tickets.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard};

use bamboocart_core::id::SubmissionId;

/// The capacity of the pool; further tickets are dropped.
const MAX_TICKETS: usize = 4_096;

/// The number of tickets below which several are requested with each submission.
const LOW_TICKETS: usize = 512;

/// The number of tickets to request with each submission while the pool is low.
const REFILL_COUNT: u16 = 4;

/// A pool of unused tickets, taken oldest first.
#[derive(Debug, Default)]
pub struct TicketPool {
    tickets: Mutex<VecDeque<SubmissionId>>,
}

impl TicketPool {
    /// Adds tickets up to the capacity of the pool.
    pub fn add(&self, tickets: Vec<SubmissionId>) {
        let mut pool = self.lock();
        let room = MAX_TICKETS.saturating_sub(pool.len());
        pool.extend(tickets.into_iter().take(room));
    }

    /// Takes the oldest ticket, or `None` if the pool is empty.
    pub fn take(&self) -> Option<SubmissionId> {
        self.lock().pop_front()
    }

    /// Returns the number of tickets to request with a submission; 0 if the pool is full.
    pub fn wanted(&self) -> u16 {
        match self.lock().len() {
            count if count < LOW_TICKETS => REFILL_COUNT,
            count if count < MAX_TICKETS => 1,
            _ => 0,
        }
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<SubmissionId>> {
        self.tickets.lock().expect("no holder of the lock panics")
    }
}
