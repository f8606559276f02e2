//! Messages and what is known about their delivery.

use std::net::SocketAddr;

use bytes::Bytes;

use crate::budget::Reservation;
use crate::identity::PeerIdentity;

/// The number of a message, unique within one `Links`.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Ord, PartialOrd, Hash)]
pub struct MessageId(pub u64);

/// What a full queue does with a message.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum SendPriority {
    /// Dropped first, because the next heartbeat replaces it.
    Heartbeat,
    /// Takes the place of a waiting heartbeat when the queue is full.
    Normal,
}

/// A message from a peer.
///
/// Its bytes count against the inbound limit until this value is dropped.
#[derive(Debug)]
pub struct InboundMessage {
    /// The sender.
    pub from: PeerIdentity,
    /// The message.
    pub message: Bytes,
    /// Holds the bytes against the inbound limit.
    _reservation: Option<Reservation>,
}

impl InboundMessage {
    /// Creates a message that counts against no limit, for tests and local delivery.
    pub fn new(from: PeerIdentity, message: Bytes) -> Self {
        Self { from, message, _reservation: None }
    }

    /// Creates a message that holds its bytes against the inbound limit.
    pub(crate) fn counted(
        from: PeerIdentity,
        message: Bytes,
        reservation: Reservation,
    ) -> Self {
        Self { from, message, _reservation: Some(reservation) }
    }
}

/// What became of one message that `Links::send` accepted; there is exactly one each.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct DeliveryReport {
    /// The message.
    pub id: MessageId,
    /// The address that it was for.
    pub address: SocketAddr,
    /// What is known.
    pub delivery: Delivery,
}

/// What a sender knows about a message.
#[derive(Debug, Clone, Eq, PartialEq)]
pub enum Delivery {
    /// The peer took the message into its inbound channel, exactly once.
    Acknowledged {
        /// The incarnation that took it.
        by: PeerIdentity,
    },
    /// The peer certainly did not and will not take the message.
    NotSent(NotSentReason),
    /// The whole message may have left, and no answer arrived.
    Unknown(UnknownReason),
}

/// Why a message was certainly not taken.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum NotSentReason {
    /// No usable connection in time.
    Expired,
    /// A heartbeat that gave its place to another message.
    Displaced,
    /// The peer's inbound channel or byte limit is full.
    PeerBusy,
    /// The peer refused the message, for example as too large.
    PeerRefused,
    /// The address is no longer a peer.
    PeerRemoved,
    /// The links are stopping.
    Stopped,
}

/// Why the delivery of a message is not known.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum UnknownReason {
    /// No acknowledgement in time.
    NotAcknowledged,
    /// The connection ended after the whole message was handed to it.
    ConnectionLost,
    /// The answer is not one that a peer gives.
    UnexpectedResponse,
}
