//! The short form of addresses in messages.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// An address in a message.
#[derive(Debug, Serialize, Deserialize)]
enum Form {
    /// An IP and a port, which take half of the bytes of their text.
    Socket(SocketAddr),
    /// Anything else.
    Text(Arc<str>),
}

/// Writes an address.
pub(super) fn serialize<S: Serializer>(
    address: &Arc<str>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    let socket = address.parse::<SocketAddr>().ok();
    // A text that is not the usual one of its address is kept as it is.
    let form = match socket.filter(|socket| socket.to_string() == **address) {
        Some(socket) => Form::Socket(socket),
        None => Form::Text(address.clone()),
    };
    form.serialize(serializer)
}

/// Reads an address.
pub(super) fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Arc<str>, D::Error> {
    Ok(match Form::deserialize(deserializer)? {
        Form::Socket(socket) => socket.to_string().into(),
        Form::Text(text) => text,
    })
}
