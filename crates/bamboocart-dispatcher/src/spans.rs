//! The spans of hops that last from one message to another.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use bamboocart_core::id::{InstanceName, SubmissionId};
use bamboocart_telemetry::logs::REQUEST_ID;
use bamboocart_telemetry::trace::{Tracer, traceparent_of};
use fastrace::Span;

/// The bound on open spans; further hops are not traced.
const OPEN_SPANS: usize = 10_000;

/// The spans of submissions that peers have forwarded to this instance.
#[derive(Debug)]
pub struct OwnerSpans {
    /// Starts spans.
    tracer: Tracer,
    /// The spans by the peer and its number for the answer.
    open: Mutex<HashMap<(InstanceName, u64), Span>>,
}

impl OwnerSpans {
    /// Creates an empty table.
    pub fn new(tracer: Tracer) -> Self {
        Self { tracer, open: Mutex::default() }
    }

    /// Starts the owner's span and returns the header for the next hop.
    pub fn begin(
        &self,
        peer: &InstanceName,
        correlation: u64,
        (id, parent): (Option<&SubmissionId>, Option<&str>),
    ) -> Option<Arc<str>> {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        if open.len() >= OPEN_SPANS {
            return parent.map(Arc::from);
        }
        let span = self.tracer.hop("owner", parent);
        let span = span.with_properties(|| id.map(|id| (REQUEST_ID, id.to_string())));
        let header = traceparent_of(&span);
        open.insert((peer.clone(), correlation), span);
        header.map(Arc::from)
    }

    /// Ends the owner's span.
    pub fn end(&self, peer: &InstanceName, correlation: u64) {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.remove(&(peer.clone(), correlation));
    }
}
