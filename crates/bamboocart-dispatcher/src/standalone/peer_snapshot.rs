//! The handoff of a peer's configuration snapshot from the engine to the stream reader.

use std::sync::{Arc, Mutex, PoisonError};

use bamboocart_core::config::Snapshot;

/// The latest snapshot that a peer has sent, until the stream reader needs it.
#[derive(Debug, Clone, Default)]
pub struct PeerSnapshot(Arc<Mutex<Option<Snapshot>>>);

impl PeerSnapshot {
    /// Stores a snapshot in place of an earlier one.
    pub fn put(&self, snapshot: Snapshot) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Some(snapshot);
    }

    /// Removes and returns the snapshot.
    pub fn take(&self) -> Option<Snapshot> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}
