//! The binary encoding of messages between instances.

use bamboocart_core::message::Envelope;
use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use bytes::Bytes;
use snafu::{ResultExt, Snafu};

/// The result of encoding or decoding a message.
pub type Result<T, E = CodecError> = std::result::Result<T, E>;

/// The maximum size of an encoded message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

/// The bincode settings: variable-length integers and a limit on allocation in decoding.
const CONFIG: Configuration<LittleEndian, Varint, Limit<MAX_MESSAGE_BYTES>> =
    bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>();

/// Encodes a message; fails if it exceeds [`MAX_MESSAGE_BYTES`].
pub fn encode(envelope: &Envelope) -> Result<Bytes> {
    let bytes = bincode::serde::encode_to_vec(envelope, CONFIG).context(EncodeSnafu)?;
    Ok(Bytes::from(bytes))
}

/// Decodes a message; fails if bytes are left over.
pub fn decode(bytes: &[u8]) -> Result<Envelope> {
    let (envelope, used) =
        bincode::serde::decode_from_slice(bytes, CONFIG).context(DecodeSnafu)?;
    match used == bytes.len() {
        true => Ok(envelope),
        false => TrailingSnafu { extra: bytes.len() - used }.fail(),
    }
}

/// Why a message cannot be encoded or decoded.
#[derive(Debug, Snafu)]
pub enum CodecError {
    /// The message cannot be encoded, for example because it is too large.
    #[snafu(display("cannot encode the message: {source}; send less at a time"))]
    Encode {
        /// The error that bincode returned.
        source: bincode::error::EncodeError,
    },
    /// The bytes are not an encoded message.
    #[snafu(display(
        "cannot decode the message: {source}; run the same version on every instance"
    ))]
    Decode {
        /// The error that bincode returned.
        source: bincode::error::DecodeError,
    },
    /// Further bytes follow the message.
    #[snafu(display(
        "{extra} bytes follow the message; run the same version on every instance"
    ))]
    Trailing {
        /// The number of bytes after the message.
        extra: usize,
    },
}
