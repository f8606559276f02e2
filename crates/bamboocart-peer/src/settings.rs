//! The limits and timeouts of links.

use std::time::Duration;

/// The largest message.
pub const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

/// Limits and timeouts, each with the default that the design page states or implies.
#[derive(Debug, Clone)]
pub struct LinkSettings {
    /// The largest message in either direction.
    pub max_message_bytes: usize,
    /// The messages that wait on one link; more are refused as not sent.
    pub queue_messages: usize,
    /// The bytes that wait or travel on all links together; more are refused as not sent.
    pub outbound_bytes: usize,
    /// The bytes of received messages that are incomplete or not yet dropped by their
    /// consumer; more are answered as busy.
    pub inbound_bytes: usize,
    /// The messages that one connection carries at the same time.
    pub streams: u32,
    /// The inbound connections; more are closed at once.
    pub inbound_connections: usize,
    /// The time for connecting and for the HTTP/2 preface.
    pub connect_ms: u64,
    /// The time for an acknowledgement, or for progress of a body. When it passes, the
    /// connection gets no more messages and a new one replaces it.
    pub ack_ms: u64,
    /// The time for one whole message, in either direction.
    pub message_ms: u64,
    /// The time that a message waits for a usable connection.
    pub queue_ms: u64,
    /// The time after which a connection that carries nothing is closed by its opener.
    /// Its acceptor allows twice this time, so that the opener closes first.
    pub idle_ms: u64,
    /// The longest delay before the second attempt to connect; it doubles per failure.
    pub backoff_first_ms: u64,
    /// The longest delay between attempts to connect.
    pub backoff_max_ms: u64,
}

impl Default for LinkSettings {
    fn default() -> Self {
        Self {
            max_message_bytes: MAX_MESSAGE_BYTES,
            queue_messages: 1_024,
            outbound_bytes: 64 * 1024 * 1024,
            inbound_bytes: 64 * 1024 * 1024,
            streams: 128,
            // The bound on known peers; a connection costs at most its 64 KiB window.
            inbound_connections: 1_024,
            connect_ms: 1_000,
            ack_ms: 1_000,
            message_ms: 5_000,
            queue_ms: 3_000,
            idle_ms: 3_000,
            backoff_first_ms: 100,
            // Below the 3 s after which a peer is suspect.
            backoff_max_ms: 2_000,
        }
    }
}

impl LinkSettings {
    /// Returns the time for connecting.
    pub(crate) fn connect(&self) -> Duration {
        Duration::from_millis(self.connect_ms)
    }

    /// Returns the time for an acknowledgement.
    pub(crate) fn ack(&self) -> Duration {
        Duration::from_millis(self.ack_ms)
    }

    /// Returns the time for a whole message.
    pub(crate) fn message(&self) -> Duration {
        Duration::from_millis(self.message_ms)
    }

    /// Returns the time that a message waits for a connection.
    pub(crate) fn queue(&self) -> Duration {
        Duration::from_millis(self.queue_ms)
    }

    /// Returns the time without traffic after which an opener closes a connection.
    pub(crate) fn idle(&self) -> Duration {
        Duration::from_millis(self.idle_ms)
    }
}
