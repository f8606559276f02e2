//! The submissions that wait for an answer.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use bamboocart_core::id::SubmissionId;
use bamboocart_core::time::Timestamp;

use crate::history::Purpose;

use super::plan::PlannedSubmission;

/// One call to make.
#[derive(Debug, Clone)]
pub struct CallOrder {
    /// The submission.
    pub planned: Arc<PlannedSubmission>,
    /// The id, if it has one already.
    pub id: Option<SubmissionId>,
    /// What the call is for.
    pub purpose: Purpose,
    /// The instance that the submission was sent to before, which is avoided.
    pub avoid: Option<SocketAddr>,
    /// When the submission was due.
    pub due: Timestamp,
    /// The number of further calls if there is no answer.
    pub resends: u8,
}

/// The submissions that have an id and no answer.
///
/// Their number is bounded by the number of callers.
#[derive(Debug, Default)]
pub struct Flights {
    /// The calls by submission.
    calls: Mutex<HashMap<u64, CallOrder>>,
}

impl Flights {
    /// Notes that a submission is on its way to an instance.
    pub fn begin(&self, order: &CallOrder, instance: SocketAddr) {
        if order.id.is_none() {
            return;
        }
        let order = CallOrder { avoid: Some(instance), ..order.clone() };
        self.lock().insert(order.planned.number, order);
    }

    /// Notes that a submission was answered or given up.
    pub fn end(&self, number: u64) {
        self.lock().remove(&number);
    }

    /// Returns whether no submission waits.
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    /// Returns calls for the waiting submissions that are chosen.
    pub fn wave(
        &self,
        purpose: Purpose,
        mut chosen: impl FnMut() -> bool,
    ) -> Vec<CallOrder> {
        let calls = self.lock();
        let waiting = calls.values().filter(|_| chosen());
        let again =
            waiting.map(|order| CallOrder { purpose, resends: 0, ..order.clone() });
        again.collect()
    }

    /// Locks the calls.
    fn lock(&self) -> MutexGuard<'_, HashMap<u64, CallOrder>> {
        self.calls.lock().expect("no holder of the lock panics")
    }
}
