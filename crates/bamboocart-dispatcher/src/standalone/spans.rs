//! The trace spans of work for peers, which last from its message to the answer.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use bamboocart_core::id::{InstanceName, SubmissionId};
use bamboocart_telemetry::logs::REQUEST_ID;
use bamboocart_telemetry::trace::{Tracer, parse_traceparent, traceparent_of};
use fastrace::Span;

/// The largest number of open spans; hops beyond it are not traced.
const MAX_OPEN_SPANS: usize = 10_000;

/// The open spans of submissions and tasks that peers have sent to this instance.
#[derive(Debug)]
pub struct PeerSpans {
    tracer: Tracer,
    /// The spans by peer and correlation id.
    open: Mutex<HashMap<(InstanceName, u64), Span>>,
}

impl PeerSpans {
    /// Creates a table without open spans.
    pub fn new(tracer: Tracer) -> Self {
        Self { tracer, open: Mutex::default() }
    }

    /// Starts the span of a hop and returns the `traceparent` header for the next hop.
    ///
    /// Returns the header of the parent if the hop is not traced.
    pub fn start(
        &self,
        name: &'static str,
        (peer, correlation): (&InstanceName, u64),
        (id, parent): (Option<&SubmissionId>, Option<&str>),
    ) -> Option<Arc<str>> {
        // Most traces are not recorded, and their hops need no entry in the table.
        let context = parent.and_then(parse_traceparent);
        if context.is_some_and(|context| !context.sampled) {
            return parent.map(Arc::from);
        }
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        if open.len() >= MAX_OPEN_SPANS {
            return parent.map(Arc::from);
        }
        let span = self.tracer.start_span(name, parent);
        let span = span.with_properties(|| id.map(|id| (REQUEST_ID, id.to_string())));
        let header = traceparent_of(&span);
        open.insert((peer.clone(), correlation), span);
        header.map(Arc::from)
    }

    /// Ends the span of a hop, if it has one.
    pub fn end(&self, peer: &InstanceName, correlation: u64) {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.remove(&(peer.clone(), correlation));
    }
}
