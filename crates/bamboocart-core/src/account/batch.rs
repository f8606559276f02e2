//! The encoding of a batch in the log, and the hash chain that links the batches.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;
use std::sync::Arc;

use base64::prelude::{BASE64_STANDARD, Engine};
use blake3::Hash;
use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};
use snafu::{OptionExt, ResultExt, Snafu, ensure};

use super::builder::{BatchBuilder, CODEC, EncodedEntries, encode_into};
use super::entry::Entry;
use super::row::{DanglingIndex, Row, SubjectRow, Tables};
use crate::id::{Incarnation, InstanceName};
use crate::time::Timestamp;

/// The prefix of every record, which contains the format version.
///
/// A record is text, so the bytes after the prefix are encoded in base64.
const PREFIX: &str = "account 2 ";

/// The size of a BLAKE3 hash.
const HASH_BYTES: usize = 32;

/// The maximum number of entries in a batch.
///
/// At the target scale, one instance records 3,000 entries/s in two batches per second.
pub const MAX_BATCH_ENTRIES: usize = 4_000;

/// The maximum encoded size of all entries of a batch.
pub const MAX_BATCH_BYTES: usize = 256 * 1024;

/// The maximum encoded size of one entry; a larger one is dropped and recorded as a gap.
pub const MAX_ENTRY_BYTES: usize = 4 * 1024;

/// The hash of a batch, or the start value of the hash chain of an incarnation.
#[derive(
    Debug, Copy, Clone, Eq, PartialEq, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct ChainHash(Hash);

impl ChainHash {
    /// Returns the start value of an incarnation's chain, which the first batch
    /// continues.
    pub(super) fn genesis(instance: &InstanceName, incarnation: Incarnation) -> Self {
        let text = format!("bamboocart account {} {instance}", incarnation.0);
        Self(blake3::hash(text.as_bytes()))
    }

    pub(super) fn bytes(self) -> [u8; HASH_BYTES] {
        *self.0.as_bytes()
    }
}

impl Display for ChainHash {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0.to_hex())
    }
}

impl FromStr for ChainHash {
    type Err = ParseChainHashError;

    fn from_str(text: &str) -> Result<Self, ParseChainHashError> {
        let hash = Hash::from_hex(text).map_err(|_| ParseChainHashError)?;
        // Accepting upper-case digits would give one hash two text forms.
        match *hash.to_hex() == *text {
            true => Ok(Self(hash)),
            false => Err(ParseChainHashError),
        }
    }
}

/// The error for a text that is not a hash.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Snafu)]
#[snafu(display("not a hash; use 64 lower-case hexadecimal digits"))]
pub struct ParseChainHashError;

/// A batch as it was read from the log, which is not yet verified.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DecodedBatch {
    /// The instance that wrote the batch.
    pub instance: InstanceName,
    /// The run of the instance's process.
    pub incarnation: Incarnation,
    /// The number of the batch in the incarnation, counted from 1.
    pub batch: u64,
    /// When the batch was formed, which is after its predecessor was appended to the log.
    pub formed: Timestamp,
    /// Whether this is the last batch of an incarnation that stopped as planned.
    pub closes: bool,
    /// The hash of the previous batch, or the start value of the chain.
    pub previous: ChainHash,
    /// The entries in sequence order.
    pub entries: Vec<Entry>,
    /// The hash that the record states for the encoded fields above.
    pub hash: ChainHash,
}

impl DecodedBatch {
    /// Decodes a record of the log; also returns the hash computed from its bytes.
    pub fn decode(text: &str) -> Result<(Self, ChainHash), DecodeBatchError> {
        // A record of format 1 was one JSON object.
        ensure!(!text.starts_with('{'), OldFormatSnafu);
        let text = text.strip_prefix(PREFIX).context(NotABatchSnafu)?;
        let bytes = BASE64_STANDARD.decode(text).context(InvalidBase64Snafu)?;
        let (body, hash) =
            bytes.split_last_chunk::<HASH_BYTES>().context(NotABatchSnafu)?;
        let decoded = bincode::serde::decode_from_slice(body, CODEC);
        let ((header, names, subjects, rows), used): (Body, usize) =
            decoded.context(InvalidEncodingSnafu)?;
        ensure!(used == body.len(), TrailingBytesSnafu { extra: body.len() - used });
        let key = (header.instance.clone(), header.incarnation);
        let tables = Tables::new(key, names, subjects).context(DanglingReferenceSnafu)?;
        let batch = Self {
            instance: header.instance,
            incarnation: header.incarnation,
            batch: header.batch,
            formed: header.formed,
            closes: header.closes,
            previous: ChainHash(Hash::from_bytes(header.previous)),
            entries: tables.entries(rows).context(DanglingReferenceSnafu)?,
            hash: ChainHash(Hash::from_bytes(*hash)),
        };
        Ok((batch, ChainHash(blake3::hash(body))))
    }

    /// Encodes the batch as an instance does, with the hash computed from its content.
    pub fn encode(&self) -> EncodedBatch {
        let mut builder = BatchBuilder::new(self.instance.clone(), self.incarnation);
        self.entries.iter().for_each(|entry| builder.push(entry));
        let header = BatchHeader {
            instance: self.instance.clone(),
            incarnation: self.incarnation,
            batch: self.batch,
            formed: self.formed,
            closes: self.closes,
            previous: self.previous.bytes(),
        };
        EncodedBatch::new(&header, &builder.content)
    }
}

/// A batch in the form that is appended to the log.
#[derive(Debug)]
pub struct EncodedBatch {
    /// The text of the record.
    pub text: String,
    /// The hash of the encoded content.
    pub hash: ChainHash,
    /// Whether the batch had no space left for another entry of the maximum size.
    pub is_full: bool,
}

impl EncodedBatch {
    /// Encodes a batch and appends its hash.
    pub(super) fn new(header: &BatchHeader, content: &EncodedEntries) -> Self {
        let mut bytes = Vec::with_capacity(content.bytes() + 2 * HASH_BYTES);
        encode_into(&mut bytes, header);
        content.write(&mut bytes);
        let hash = blake3::hash(&bytes);
        bytes.extend_from_slice(hash.as_bytes());
        let mut text = PREFIX.to_owned();
        BASE64_STANDARD.encode_string(&bytes, &mut text);
        Self { text, hash: ChainHash(hash), is_full: content.is_full() }
    }
}

/// The fields of a batch that precede its entries.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct BatchHeader {
    pub(super) instance: InstanceName,
    /// The run of the instance's process.
    pub(super) incarnation: Incarnation,
    /// The number of the batch in the incarnation.
    pub(super) batch: u64,
    /// When the batch was formed.
    pub(super) formed: Timestamp,
    /// Whether the account ends with this batch.
    pub(super) closes: bool,
    /// The hash of the previous batch.
    pub(super) previous: [u8; HASH_BYTES],
}

/// The decoded content of a record: everything that precedes its hash.
type Body = (BatchHeader, Vec<Arc<str>>, Vec<SubjectRow>, Vec<Row>);

/// Why a record cannot be decoded as a batch.
#[derive(Debug, Snafu)]
pub enum DecodeBatchError {
    /// The record has an earlier format.
    #[snafu(display(
        "the batch has format 1 (JSON), but this version reads format 2; read it with \
         the version that wrote it"
    ))]
    OldFormat,
    /// The record is not a batch at all.
    #[snafu(display("the record is not a batch of format 2"))]
    NotABatch,
    /// The text is not valid base64.
    #[snafu(display("the text of the batch was altered: {source}"))]
    InvalidBase64 {
        /// The error of the base64 decoder.
        source: base64::DecodeError,
    },
    /// The bytes cannot be decoded.
    #[snafu(display("the bytes of the batch were altered: {source}"))]
    InvalidEncoding {
        /// The error of the bincode decoder.
        source: bincode::error::DecodeError,
    },
    /// Unexpected bytes follow the entries.
    #[snafu(display("{extra} bytes follow the entries of the batch"))]
    TrailingBytes {
        /// The number of unexpected bytes.
        extra: usize,
    },
    /// An entry refers to a name or a subject that the batch does not contain.
    #[snafu(display("{source}"))]
    DanglingReference {
        /// The dangling reference.
        source: DanglingIndex,
    },
}
