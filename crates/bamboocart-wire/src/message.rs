//! The encoding of messages between instances.

use bamboocart_core::message::Envelope;
use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use bytes::Bytes;
use snafu::{ResultExt, Snafu};

/// The result of encoding or decoding a message.
pub type Result<T, E = CodecError> = std::result::Result<T, E>;

/// The largest encoded message.
pub const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

/// The encoding: compact integers and a bound on what decoding may allocate.
const CONFIG: Configuration<LittleEndian, Varint, Limit<MAX_MESSAGE_BYTES>> =
    bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>();

/// Encodes a message.
pub fn encode(envelope: &Envelope) -> Result<Bytes> {
    let bytes = bincode::serde::encode_to_vec(envelope, CONFIG).context(EncodeSnafu)?;
    Ok(Bytes::from(bytes))
}

/// Decodes a message, all of whose bytes must be used.
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
    /// The message is too large.
    #[snafu(display("the message cannot be encoded: {source}; send less at a time"))]
    Encode {
        /// The cause.
        source: bincode::error::EncodeError,
    },
    /// The bytes are no message.
    #[snafu(display("not a message: {source}; run the same version on every instance"))]
    Decode {
        /// The cause.
        source: bincode::error::DecodeError,
    },
    /// Bytes follow the message.
    #[snafu(display(
        "{extra} bytes follow the message; run the same version on every instance"
    ))]
    Trailing {
        /// The number of bytes.
        extra: usize,
    },
}
