//! Why inbound connections were cut off.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

use snafu::Snafu;

use crate::identity::IdentityError;

/// The cuts that are kept for inspection; older ones are only counted.
const KEPT_DISCONNECTS: usize = 64;

/// Why a connection was cut off.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DisconnectReason {
    /// There are too many inbound connections.
    #[snafu(display(
        "more than {limit} inbound connections; look for the host that opens them"
    ))]
    TooManyConnections {
        /// The limit.
        limit: usize,
    },
    /// No HTTP/2 preface arrived in time.
    #[snafu(display("no HTTP/2 preface within {limit_ms} ms; connect with an instance"))]
    NoPreface {
        /// The limit.
        limit_ms: u64,
    },
    /// The peer does not speak HTTP/2 or broke its rules.
    #[snafu(display("HTTP/2 failed: {source}; connect with an instance"))]
    Protocol {
        /// The cause.
        source: h2::Error,
    },
    /// The method or the path is not that of a message.
    #[snafu(display("not a message: {request}; connect with an instance"))]
    NotAMessage {
        /// The method.
        request: http::Method,
    },
    /// The sender cannot be read from the headers.
    #[snafu(display("unreadable sender: {source}"))]
    InvalidSender {
        /// The cause.
        source: IdentityError,
    },
    /// A message is too large.
    #[snafu(display("a message exceeds {limit} bytes; send it in parts"))]
    Oversized {
        /// The limit.
        limit: usize,
    },
    /// A message arrived too slowly.
    #[snafu(display("a message took more than {limit_ms} ms; check the network"))]
    SlowMessage {
        /// The limit.
        limit_ms: u64,
    },
    /// No whole message arrived for too long.
    #[snafu(display("no whole message for {limit_ms} ms; the peer reconnects"))]
    Idle {
        /// The limit.
        limit_ms: u64,
    },
}

/// How often inbound connections were cut off, by reason.
#[derive(Debug, Copy, Clone, Default, Eq, PartialEq)]
pub struct DisconnectCounts {
    /// Too many connections.
    pub too_many_connections: u64,
    /// No preface.
    pub no_preface: u64,
    /// Not HTTP/2, or not by its rules.
    pub protocol: u64,
    /// Not a message, or an unreadable sender.
    pub malformed: u64,
    /// Too large.
    pub oversized: u64,
    /// Too slow.
    pub slow_message: u64,
    /// Idle.
    pub idle: u64,
}

/// The recent cuts and the counts of all cuts.
#[derive(Debug, Default)]
pub(crate) struct DisconnectLog {
    /// Both under one lock, so that a count and its cut appear together.
    inner: Mutex<(DisconnectCounts, VecDeque<(SocketAddr, DisconnectReason)>)>,
}

impl DisconnectLog {
    /// Counts a cut and keeps it in place of the oldest one.
    pub(crate) fn add(&self, remote: SocketAddr, cut: DisconnectReason) {
        log::debug!("cut off the inbound connection from {remote}: {cut}");
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        let (counts, recent) = &mut *inner;
        *counter(counts, &cut) += 1;
        if recent.len() == KEPT_DISCONNECTS {
            recent.pop_front();
        }
        recent.push_back((remote, cut));
    }

    /// Returns the counts.
    pub(crate) fn counts(&self) -> DisconnectCounts {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner).0
    }

    /// Takes the recent cuts, oldest first.
    pub(crate) fn take(&self) -> Vec<(SocketAddr, DisconnectReason)> {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.1.drain(..).collect()
    }
}

/// Returns the counter for a cut.
fn counter<'a>(counts: &'a mut DisconnectCounts, cut: &DisconnectReason) -> &'a mut u64 {
    match cut {
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
