//! The submissions that are in flight.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use bamboocart_core::id::SubmissionId;
use bamboocart_core::time::Timestamp;

use crate::history::Purpose;

use super::plan::PlannedSubmission;

/// A call that a caller thread is to make.
#[derive(Debug, Clone)]
pub struct QueuedCall {
    /// The submission that the call concerns.
    pub planned: Arc<PlannedSubmission>,
    /// The id of the submission; `None` until the first call takes one.
    pub id: Option<SubmissionId>,
    /// Whether to submit, resubmit or cancel.
    pub purpose: Purpose,
    /// The instance that received the previous call; others are preferred to it.
    pub avoid: Option<SocketAddr>,
    /// The time at which the plan scheduled the first call.
    pub due: Timestamp,
    /// The number of resubmissions that are left if there is no answer.
    pub resends_left: u8,
}

/// The submissions that have an id and no answer yet.
///
/// There is at most one for each caller thread.
#[derive(Debug, Default)]
pub struct InFlightSubmissions {
    /// The calls by the number of their submission in the plan.
    calls: Mutex<HashMap<u64, QueuedCall>>,
}

impl InFlightSubmissions {
    /// Adds a submission that is sent to an instance; without an id it is left out.
    pub fn begin(&self, call: &QueuedCall, instance: SocketAddr) {
        if call.id.is_none() {
            return;
        }
        let call = QueuedCall { avoid: Some(instance), ..call.clone() };
        self.lock().insert(call.planned.number, call);
    }

    /// Removes a submission whose call was answered or failed.
    pub fn end(&self, number: u64) {
        self.lock().remove(&number);
    }

    /// Returns whether no submission is in flight.
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    /// Returns a call with a purpose for each submission that `chosen` selects.
    ///
    /// These calls are not resent.
    pub fn select(
        &self,
        purpose: Purpose,
        mut chosen: impl FnMut() -> bool,
    ) -> Vec<QueuedCall> {
        let calls = self.lock();
        let waiting = calls.values().filter(|_| chosen());
        let selected =
            waiting.map(|call| QueuedCall { purpose, resends_left: 0, ..call.clone() });
        selected.collect()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, QueuedCall>> {
        self.calls.lock().expect("no holder of the lock panics")
    }
}
