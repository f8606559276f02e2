//! Links between instances: HTTP/2 connections that transport opaque messages.
//!
//! Each pair of instances has one connection in each direction. Every message uses its
//! own HTTP/2 stream, and the streams of a connection progress independently. Messages
//! of one link can therefore be reordered.

mod backoff;
mod budget;
mod disconnect;
mod identity;
mod inbound;
mod links;
mod message;
mod outbound;
mod queue;
mod settings;

pub use self::disconnect::{DisconnectCounts, DisconnectReason};
pub use self::identity::{IdentityError, PeerIdentity};
pub use self::links::{Links, Result, SendError, StartError};
pub use self::message::{
    Delivery, DeliveryReport, InboundMessage, MessageId, NotSentReason, SendPriority,
    UnknownReason,
};
pub use self::settings::{LinkSettings, MAX_MESSAGE_BYTES};
