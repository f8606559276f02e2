//! Reasons for closing inbound connections.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

use snafu::Snafu;

use crate::identity::IdentityError;

/// The number of disconnects that are kept for inspection; older ones are only counted.
const KEPT_DISCONNECTS: usize = 64;

/// Why this instance closed an inbound connection.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DisconnectReason {
    /// The limit on inbound connections was reached.
    #[snafu(display(
        "more than {limit} inbound connections; look for the host that opens them"
    ))]
    TooManyConnections {
        /// The maximum number of connections.
        limit: usize,
    },
    /// No HTTP/2 preface arrived before the connect timeout.
    #[snafu(display("no HTTP/2 preface within {limit_ms} ms; connect with an instance"))]
    NoPreface {
        /// The connect timeout, in milliseconds.
        limit_ms: u64,
    },
    /// The peer does not speak HTTP/2 or violated the protocol.
    #[snafu(display("HTTP/2 error: {source}; connect with an instance"))]
    Protocol {
        /// The error that h2 returned.
        source: h2::Error,
    },
    /// The method or the path differs from that of a message.
    #[snafu(display("{method} request is not a message; connect with an instance"))]
    NotAMessage {
        /// The HTTP method of the request.
        method: http::Method,
    },
    /// The headers do not identify the sender.
    #[snafu(display("cannot identify the sender: {source}"))]
    InvalidSender {
        /// Which header is missing or invalid.
        source: IdentityError,
    },
    /// A message exceeded the size limit.
    #[snafu(display("a message exceeds {limit} bytes; send it in parts"))]
    Oversized {
        /// The largest accepted message, in bytes.
        limit: usize,
    },
    /// A message did not arrive completely before the message timeout.
    #[snafu(display("a message took more than {limit_ms} ms; check the network"))]
    SlowMessage {
        /// The message timeout, in milliseconds.
        limit_ms: u64,
    },
    /// No complete message arrived before the idle timeout.
    #[snafu(display("no complete message for {limit_ms} ms; the peer reconnects"))]
    Idle {
        /// The idle timeout for accepted connections, in milliseconds.
        limit_ms: u64,
    },
}

/// The number of inbound connections that this instance closed, by reason.
#[derive(Debug, Copy, Clone, Default, Eq, PartialEq)]
pub struct DisconnectCounts {
    /// Connections beyond the limit.
    pub too_many_connections: u64,
    /// Connections without an HTTP/2 preface in time.
    pub no_preface: u64,
    /// Connections that violated HTTP/2.
    pub protocol: u64,
    /// Connections with a request that is no message or has no valid sender.
    pub malformed: u64,
    /// Connections with a message beyond the size limit.
    pub oversized: u64,
    /// Connections with a message that exceeded the message timeout.
    pub slow_message: u64,
    /// Connections that exceeded the idle timeout.
    pub idle: u64,
}

/// The most recent disconnects and the counts of all disconnects.
#[derive(Debug, Default)]
pub(crate) struct DisconnectLog {
    /// One lock for both, so that a disconnect and its count become visible together.
    inner: Mutex<(DisconnectCounts, VecDeque<(SocketAddr, DisconnectReason)>)>,
}

impl DisconnectLog {
    /// Counts a disconnect and stores it, evicting the oldest one when full.
    pub(crate) fn add(&self, remote: SocketAddr, reason: DisconnectReason) {
        log::debug!("closing the inbound connection from {remote}: {reason}");
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        let (counts, recent) = &mut *inner;
        *counter(counts, &reason) += 1;
        if recent.len() == KEPT_DISCONNECTS {
            recent.pop_front();
        }
        recent.push_back((remote, reason));
    }

    pub(crate) fn counts(&self) -> DisconnectCounts {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner).0
    }

    /// Removes and returns the stored disconnects, oldest first.
    pub(crate) fn take(&self) -> Vec<(SocketAddr, DisconnectReason)> {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.1.drain(..).collect()
    }
}

/// Returns the counter for a reason.
fn counter<'a>(
    counts: &'a mut DisconnectCounts,
    reason: &DisconnectReason,
) -> &'a mut u64 {
    match reason {
        DisconnectReason::TooManyConnections { .. } => &mut counts.too_many_connections,
        DisconnectReason::NoPreface { .. } => &mut counts.no_preface,
        DisconnectReason::Protocol { .. } => &mut counts.protocol,
        DisconnectReason::NotAMessage { .. } | DisconnectReason::InvalidSender { .. } => {
            &mut counts.malformed
        }
        DisconnectReason::Oversized { .. } => &mut counts.oversized,
        DisconnectReason::SlowMessage { .. } => &mut counts.slow_message,
        DisconnectReason::Idle { .. } => &mut counts.idle,
    }
}
