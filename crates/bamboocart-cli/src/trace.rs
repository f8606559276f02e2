//! The trace context of a submission.

use std::fmt::{self, Display, Formatter};

use attohttpc::RequestBuilder;
use uuid::Uuid;

/// The W3C header that passes the trace context to the instance.
const TRACEPARENT_HEADER: &str = "traceparent";

/// A new trace, of which each instance on the way records spans.
#[derive(Debug, Copy, Clone)]
pub struct Trace {
    /// The trace id.
    id: Uuid,
    /// The id of the caller's span, which is not recorded itself.
    span_id: u64,
}

impl Trace {
    /// Starts a trace.
    ///
    /// Both ids end with the random bits of a version 7 UUID. Its variant bits ensure that
    /// they are not zero, which the W3C recommendation forbids.
    pub fn start() -> Self {
        Self { id: Uuid::now_v7(), span_id: Uuid::now_v7().as_u64_pair().1 }
    }

    /// Adds the `traceparent` header with the sampled flag set.
    pub fn add_header<B>(&self, request: RequestBuilder<B>) -> RequestBuilder<B> {
        request.header(TRACEPARENT_HEADER, format!("00-{self}-{:016x}-01", self.span_id))
    }
}

impl Display for Trace {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.id.simple())
    }
}
