//! The limits and timeouts of links.

use std::time::Duration;

/// The default limit on the size of a message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

/// The limits and timeouts of links.
///
/// The defaults follow from the system's design.
#[derive(Debug, Clone)]
pub struct LinkSettings {
    /// The largest message in either direction, in bytes.
    pub max_message_bytes: usize,
    /// The messages that one link queues; `send` rejects more.
    pub max_queued_messages: usize,
    /// The bytes that all links together queue or transmit; `send` rejects more.
    pub max_outbound_bytes: usize,
    /// The bytes of inbound messages that are incomplete or not yet dropped by their
    /// consumer; further messages are answered as busy.
    pub max_inbound_bytes: usize,
    /// The messages that one connection transmits concurrently, a stream for each.
    pub max_concurrent_streams: u32,
    /// The number of inbound connections; further ones are closed immediately.
    pub max_inbound_connections: usize,
    /// The timeout for connecting, or for receiving the HTTP/2 preface.
    pub connect_timeout_ms: u64,
    /// The timeout for an acknowledgement or for progress of a body. When it expires, the
    /// connection is used for no more messages and a new one replaces it.
    pub ack_timeout_ms: u64,
    /// The timeout for a complete message, in either direction.
    pub message_timeout_ms: u64,
    /// The time that a message is queued for a usable connection before it expires.
    pub queue_timeout_ms: u64,
    /// The time without traffic after which the client closes a connection. The server
    /// allows twice this time, so that the client closes first.
    pub idle_timeout_ms: u64,
    /// The maximum delay before the second connection attempt; it doubles per failure.
    pub initial_backoff_ms: u64,
    /// The maximum delay between connection attempts.
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
            // The limit on known peers; a connection buffers at most its 64 KiB window.
            max_inbound_connections: 1_024,
            connect_timeout_ms: 1_000,
            ack_timeout_ms: 1_000,
            message_timeout_ms: 5_000,
            queue_timeout_ms: 3_000,
            idle_timeout_ms: 3_000,
            initial_backoff_ms: 100,
            // Less than the 3 s after which a peer is suspected to be down.
            max_backoff_ms: 2_000,
        }
    }
}

impl LinkSettings {
    /// Returns `connect_timeout_ms` as a duration.
    pub(crate) fn connect_timeout(&self) -> Duration {
        Duration::from_millis(self.connect_timeout_ms)
    }

    /// Returns `ack_timeout_ms` as a duration.
    pub(crate) fn ack_timeout(&self) -> Duration {
        Duration::from_millis(self.ack_timeout_ms)
    }

    /// Returns `message_timeout_ms` as a duration.
    pub(crate) fn message_timeout(&self) -> Duration {
        Duration::from_millis(self.message_timeout_ms)
    }

    /// Returns `queue_timeout_ms` as a duration.
    pub(crate) fn queue_timeout(&self) -> Duration {
        Duration::from_millis(self.queue_timeout_ms)
    }

    /// Returns `idle_timeout_ms` as a duration.
    pub(crate) fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.idle_timeout_ms)
    }
}
