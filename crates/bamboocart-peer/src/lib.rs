//! Links between instances: HTTP/2 connections that carry opaque messages.
//!
//! Each pair of instances has one connection in each direction. A message is one HTTP/2
//! stream, and streams of one connection make progress independently, so messages of a
//! link may overtake each other: their order is not guaranteed.

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
