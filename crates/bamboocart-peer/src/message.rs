//! Messages and the state of their delivery.

use std::net::SocketAddr;

use bytes::Bytes;

use crate::budget::Reservation;
use crate::identity::PeerIdentity;

/// Identifies a message within one [`Links`](crate::Links).
#[derive(Debug, Copy, Clone, Eq, PartialEq, Ord, PartialOrd, Hash)]
pub struct MessageId(pub u64);

/// How a full queue treats a message.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum SendPriority {
    /// Is displaced first, because the next heartbeat supersedes it.
    Heartbeat,
    /// Displaces a queued heartbeat when the queue is full.
    Normal,
}

/// A message from a peer.
///
/// Its bytes count towards the inbound byte limit until this value is dropped.
#[derive(Debug)]
pub struct InboundMessage {
    /// The incarnation that sent the message, as its headers state.
    pub from: PeerIdentity,
    /// The content, which is opaque to the links.
    pub message: Bytes,
    /// Releases the bytes of the inbound limit on drop.
    _reservation: Option<Reservation>,
}

impl InboundMessage {
    /// Creates a message that counts towards no limit, for tests and local delivery.
    pub fn new(from: PeerIdentity, message: Bytes) -> Self {
        Self { from, message, _reservation: None }
    }

    /// Creates a message whose bytes count towards the inbound limit.
    pub(crate) fn counted(
        from: PeerIdentity,
        message: Bytes,
        reservation: Reservation,
    ) -> Self {
        Self { from, message, _reservation: Some(reservation) }
    }
}

/// The delivery result of a message that `Links::send` accepted.
///
/// Each accepted message leads to exactly one report.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct DeliveryReport {
    /// The message, as `Links::send` returned it.
    pub id: MessageId,
    /// The address that the message was sent to.
    pub address: SocketAddr,
    /// Whether the peer received the message.
    pub delivery: Delivery,
}

/// What a sender knows about the delivery of a message.
#[derive(Debug, Clone, Eq, PartialEq)]
pub enum Delivery {
    /// The peer put the message into its inbound channel, exactly once.
    Acknowledged {
        /// The incarnation that received the message.
        by: PeerIdentity,
    },
    /// The peer has not received the message and never will.
    NotSent(NotSentReason),
    /// The whole message may have been transmitted, but no usable response arrived.
    Unknown(UnknownReason),
}

/// Why a message was definitely not delivered.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum NotSentReason {
    /// No connection became usable before the queue timeout.
    Expired,
    /// The heartbeat was removed from a full queue in favour of another message.
    Displaced,
    /// The peer's inbound channel is full or its byte limit is reached.
    PeerBusy,
    /// The peer rejected the message, for example because it is too large.
    PeerRefused,
    /// The address was removed from the set of peers.
    PeerRemoved,
    /// The links are shutting down.
    Stopped,
}

/// Why the delivery of a message is unknown.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum UnknownReason {
    /// No acknowledgement arrived before the timeout.
    NotAcknowledged,
    /// The connection closed after the whole message had been passed to it.
    ConnectionLost,
    /// The response has a status or headers that no peer sends.
    UnexpectedResponse,
}
