//! A limit on the total size of messages in memory.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A byte limit that several reservations share.
#[derive(Debug)]
pub(crate) struct Budget {
    /// The maximum of all reservations together, in bytes.
    limit_bytes: usize,
    /// The bytes that are reserved at present.
    used_bytes: AtomicUsize,
}

impl Budget {
    /// Creates a budget of `limit_bytes`.
    pub(crate) fn new(limit_bytes: usize) -> Arc<Self> {
        Arc::new(Self { limit_bytes, used_bytes: AtomicUsize::new(0) })
    }

    /// Creates an empty reservation that can grow.
    pub(crate) fn reservation(self: &Arc<Self>) -> Reservation {
        Reservation { budget: Arc::clone(self), bytes: 0 }
    }
}

/// A share of a budget that is released when this value is dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    budget: Arc<Budget>,
    /// The size of this reservation.
    bytes: usize,
}

impl Reservation {
    /// Reserves `bytes` more and returns whether the budget allowed it.
    pub(crate) fn try_grow(&mut self, bytes: usize) -> bool {
        let limit = self.budget.limit_bytes;
        let grown = self.budget.used_bytes.fetch_update(
            Ordering::Relaxed,
            Ordering::Relaxed,
            |used| used.checked_add(bytes).filter(|sum| *sum <= limit),
        );
        if grown.is_ok() {
            self.bytes += bytes;
        }
        grown.is_ok()
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.used_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
