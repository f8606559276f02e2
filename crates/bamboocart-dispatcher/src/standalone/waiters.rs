//! The callers and operators that wait for replies of the engine.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

use bamboocart_core::engine::{Reply, WaiterId};
use tokio::sync::oneshot;

/// The table of waiters, bounded by the number of open connections.
#[derive(Debug, Default)]
pub struct Waiters {
    /// The id of the next waiter.
    next: AtomicU64,
    /// The channel for the reply to each waiter.
    table: Mutex<HashMap<WaiterId, oneshot::Sender<Reply>>>,
}

impl Waiters {
    /// Adds a waiter, and returns its id and the channel on which its reply arrives.
    pub fn add(&self) -> (WaiterId, oneshot::Receiver<Reply>) {
        let id = WaiterId(self.next.fetch_add(1, Ordering::Relaxed));
        let (sender, receiver) = oneshot::channel();
        self.lock().insert(id, sender);
        (id, receiver)
    }

    /// Removes a waiter that no longer waits, so that its reply is dropped.
    pub fn remove(&self, id: WaiterId) {
        self.lock().remove(&id);
    }

    /// Delivers a reply to its waiter, if that still waits.
    pub fn reply(&self, id: WaiterId, reply: Reply) {
        if let Some(sender) = self.lock().remove(&id) {
            // This fails if the caller has closed its connection in the meantime.
            let _ = sender.send(reply);
        }
    }

    /// Locks the table, which remains usable after a panic in another thread.
    fn lock(
        &self,
    ) -> std::sync::MutexGuard<'_, HashMap<WaiterId, oneshot::Sender<Reply>>> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
