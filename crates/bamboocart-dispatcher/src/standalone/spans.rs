//! The spans of hops that last from one message to another.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use bamboocart_core::id::{InstanceName, SubmissionId};
use bamboocart_telemetry::logs::REQUEST_ID;
use bamboocart_telemetry::trace::{Tracer, parse_traceparent, traceparent_of};
use fastrace::Span;

/// The bound on open spans; further hops are not traced.
const OPEN_SPANS: usize = 10_000;

/// The spans of submissions and tasks that peers have given to this instance.
#[derive(Debug)]
pub struct PeerSpans {
    /// Starts spans.
    tracer: Tracer,
    /// The spans by the peer and its number for the answer.
    open: Mutex<HashMap<(InstanceName, u64), Span>>,
}

impl PeerSpans {
    /// Creates an empty table.
    pub fn new(tracer: Tracer) -> Self {
        Self { tracer, open: Mutex::default() }
    }

    /// Starts the span of a hop and returns the header for the next one.
    pub fn begin(
        &self,
        name: &'static str,
        (peer, correlation): (&InstanceName, u64),
        (id, parent): (Option<&SubmissionId>, Option<&str>),
    ) -> Option<Arc<str>> {
        // Most traces are not recorded, and their hops need no place in the table.
        let context = parent.and_then(parse_traceparent);
        if context.is_some_and(|context| !context.sampled) {
            return parent.map(Arc::from);
        }
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        if open.len() >= OPEN_SPANS {
            return parent.map(Arc::from);
        }
        let span = self.tracer.start_span(name, parent);
        let span = span.with_properties(|| id.map(|id| (REQUEST_ID, id.to_string())));
        let header = traceparent_of(&span);
        open.insert((peer.clone(), correlation), span);
        header.map(Arc::from)
    }

    /// Ends the span of a hop.
    pub fn end(&self, peer: &InstanceName, correlation: u64) {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.remove(&(peer.clone(), correlation));
    }
}
