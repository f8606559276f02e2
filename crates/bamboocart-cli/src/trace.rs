//! The trace that a submission starts.

use std::fmt::{self, Display, Formatter};

use attohttpc::RequestBuilder;
use uuid::Uuid;

/// The header that carries the trace to the instance.
const TRACEPARENT: &str = "traceparent";

/// The context of a new trace, which every hop records.
#[derive(Debug, Copy, Clone)]
pub struct Trace {
    /// The trace.
    id: Uuid,
    /// The span of the caller, which is not recorded itself.
    span: u64,
}

impl Trace {
    /// Starts a trace.
    ///
    /// Both ids end with the random bits of a version 7 UUID. Its variant bits keep them
    /// from being zero, which the recommendation forbids.
    pub fn start() -> Self {
        Self { id: Uuid::now_v7(), span: Uuid::now_v7().as_u64_pair().1 }
    }

    /// Adds the W3C `traceparent` header, with the flag that asks for recording.
    pub fn mark<B>(&self, request: RequestBuilder<B>) -> RequestBuilder<B> {
        request.header(TRACEPARENT, format!("00-{self}-{:016x}-01", self.span))
    }
}

impl Display for Trace {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.id.simple())
    }
}
