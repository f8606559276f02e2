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
    pub max_queued_messages: usize,
    /// The bytes that wait or travel on all links together; more are refused as not sent.
    pub max_outbound_bytes: usize,
    /// The bytes of received messages that are incomplete or not yet dropped by their
    /// consumer; more are answered as busy.
    pub max_inbound_bytes: usize,
    /// The messages that one connection carries at the same time.
    pub max_concurrent_streams: u32,
    /// The inbound connections; more are closed at once.
    pub max_inbound_connections: usize,
    /// The time for connecting and for the HTTP/2 preface.
    pub connect_timeout_ms: u64,
    /// The time for an acknowledgement, or for progress of a body. When it passes, the
    /// connection gets no more messages and a new one replaces it.
    pub ack_timeout_ms: u64,
    /// The time for one whole message, in either direction.
    pub message_timeout_ms: u64,
    /// The time that a message waits for a usable connection.
    pub queue_timeout_ms: u64,
    /// The time after which a connection that carries nothing is closed by its opener.
    /// Its acceptor allows twice this time, so that the opener closes first.
    pub idle_timeout_ms: u64,
    /// The longest delay before the second attempt to connect; it doubles per failure.
    pub initial_backoff_ms: u64,
    /// The longest delay between attempts to connect.
    pub max_backoff_ms: u64,
}

impl Default for LinkSettings {
    fn default() -> Self {
        Self {
            max_message_bytes: MAX_MESSAGE_BYTES,
            max_queued_messages: 1_024,
            max_outbound_bytes: 64 * 1024 * 1024,
            max_inbound_bytes: 64 * 1024 * 1024,
            max_concurrent_streams: 128,
            // The bound on known peers; a connection costs at most its 64 KiB window.
            max_inbound_connections: 1_024,
            connect_timeout_ms: 1_000,
            ack_timeout_ms: 1_000,
            message_timeout_ms: 5_000,
            queue_timeout_ms: 3_000,
            idle_timeout_ms: 3_000,
            initial_backoff_ms: 100,
            // Below the 3 s after which a peer is suspect.
            max_backoff_ms: 2_000,
        }
    }
}

impl LinkSettings {
    /// Returns the time for connecting.
    pub(crate) fn connect_timeout(&self) -> Duration {
        Duration::from_millis(self.connect_timeout_ms)
    }

    /// Returns the time for an acknowledgement.
    pub(crate) fn ack_timeout(&self) -> Duration {
        Duration::from_millis(self.ack_timeout_ms)
    }

    /// Returns the time for a whole message.
    pub(crate) fn message_timeout(&self) -> Duration {
        Duration::from_millis(self.message_timeout_ms)
    }

    /// Returns the time that a message waits for a connection.
    pub(crate) fn queue_timeout(&self) -> Duration {
        Duration::from_millis(self.queue_timeout_ms)
    }

    /// Returns the time without traffic after which an opener closes a connection.
    pub(crate) fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.idle_timeout_ms)
    }
}
