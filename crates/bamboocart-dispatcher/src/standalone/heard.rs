//! The snapshot of a peer on its way from the engine to the reader of the log.

use std::sync::{Arc, Mutex, PoisonError};

use bamboocart_core::config::Snapshot;

/// Holds the latest snapshot until the reader needs it; a newer one replaces it.
#[derive(Debug, Clone, Default)]
pub struct HeardSnapshot(Arc<Mutex<Option<Snapshot>>>);

impl HeardSnapshot {
    /// Stores a snapshot.
    pub fn put(&self, snapshot: Snapshot) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Some(snapshot);
    }

    /// Removes the snapshot.
    pub fn take(&self) -> Option<Snapshot> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}
