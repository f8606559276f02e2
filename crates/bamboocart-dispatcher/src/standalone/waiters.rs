//! The callers that wait for a reply of the engine.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

use bamboocart_core::engine::{Reply, WaiterId};
use tokio::sync::oneshot;

/// A table of callers that wait, bounded by the number of their connections.
#[derive(Debug, Default)]
pub struct Waiters {
    /// The number of the next waiter.
    next: AtomicU64,
    /// Where each reply goes.
    table: Mutex<HashMap<WaiterId, oneshot::Sender<Reply>>>,
}

impl Waiters {
    /// Adds a waiter.
    pub fn add(&self) -> (WaiterId, oneshot::Receiver<Reply>) {
        let id = WaiterId(self.next.fetch_add(1, Ordering::Relaxed));
        let (sender, receiver) = oneshot::channel();
        self.lock().insert(id, sender);
        (id, receiver)
    }

    /// Removes a waiter that has given up.
    pub fn remove(&self, id: WaiterId) {
        self.lock().remove(&id);
    }

    /// Hands a reply to its waiter, if it still waits.
    pub fn reply(&self, id: WaiterId, reply: Reply) {
        if let Some(sender) = self.lock().remove(&id) {
            // The caller may have closed its connection in the meantime.
            let _ = sender.send(reply);
        }
    }

    /// Locks the table, which stays usable after a panic in another thread.
    fn lock(
        &self,
    ) -> std::sync::MutexGuard<'_, HashMap<WaiterId, oneshot::Sender<Reply>>> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
