//! The compact encoding of addresses in messages.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// An address as it is encoded.
#[derive(Debug, Serialize, Deserialize)]
enum EncodedAddress {
    /// An IP address and port, which take half the bytes of their text.
    Socket(SocketAddr),
    /// Any other address, such as a host name.
    Text(Arc<str>),
}

/// Encodes an address, as a socket address if that reproduces its text exactly.
pub(super) fn serialize<S: Serializer>(
    address: &Arc<str>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    let socket = address.parse::<SocketAddr>().ok();
    // A non-canonical spelling stays text, so that decoding returns it unchanged.
    let encoded = match socket.filter(|socket| socket.to_string() == **address) {
        Some(socket) => EncodedAddress::Socket(socket),
        None => EncodedAddress::Text(address.clone()),
    };
    encoded.serialize(serializer)
}

/// Decodes an address to the text that was encoded.
pub(super) fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Arc<str>, D::Error> {
    Ok(match EncodedAddress::deserialize(deserializer)? {
        EncodedAddress::Socket(socket) => socket.to_string().into(),
        EncodedAddress::Text(text) => text,
    })
}
