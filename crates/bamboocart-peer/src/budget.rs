//! A bound on bytes that many messages share.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A number of bytes that reservations are taken from.
#[derive(Debug)]
pub(crate) struct Budget {
    /// The bytes in total.
    limit: usize,
    /// The bytes that are reserved.
    used: AtomicUsize,
}

impl Budget {
    /// Creates a budget of `limit` bytes.
    pub(crate) fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self { limit, used: AtomicUsize::new(0) })
    }

    /// Reserves nothing yet, in a form that can grow.
    pub(crate) fn reservation(self: &Arc<Self>) -> Reservation {
        Reservation { budget: Arc::clone(self), bytes: 0 }
    }
}

/// Bytes that are in use until this value is dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    /// Where the bytes come from.
    budget: Arc<Budget>,
    /// The bytes that are held.
    bytes: usize,
}

impl Reservation {
    /// Reserves `bytes` more and returns whether they were free.
    pub(crate) fn grow(&mut self, bytes: usize) -> bool {
        let limit = self.budget.limit;
        let grown =
            self.budget.used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |used| {
                used.checked_add(bytes).filter(|sum| *sum <= limit)
            });
        if grown.is_ok() {
            self.bytes += bytes;
        }
        grown.is_ok()
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
