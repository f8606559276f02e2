//! The form of a batch in the log and the hash chain through the batches.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;
use std::sync::Arc;

use base64::prelude::{BASE64_STANDARD, Engine};
use blake3::Hash;
use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};
use snafu::{OptionExt, ResultExt, Snafu, ensure};

use super::builder::{CODEC, Content, Draft, put};
use super::entry::Entry;
use super::row::{DanglingIndex, Row, SubjectRow, Tables};
use crate::id::{Incarnation, InstanceName};
use crate::time::Timestamp;

/// The front of every record, with the version of the form.
///
/// A record is text, so the bytes behind it are in base64.
const PREFIX: &str = "account 2 ";

/// The bytes of a hash.
const HASH_BYTES: usize = 32;

/// The most entries in a batch.
///
/// One instance records 3,000 entries/s at the target scale, in two batches a second.
pub const MAX_BATCH_ENTRIES: usize = 4_000;

/// The most bytes of all entries in a batch.
pub const MAX_BATCH_BYTES: usize = 256 * 1024;

/// The most bytes of one entry; a larger one is dropped and replaced by a gap.
pub const MAX_ENTRY_BYTES: usize = 4 * 1024;

/// The hash at one point of a chain.
#[derive(
    Debug, Copy, Clone, Eq, PartialEq, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct ChainHash(Hash);

impl ChainHash {
    /// Returns the hash in front of an incarnation's first entry.
    pub(super) fn genesis(instance: &InstanceName, incarnation: Incarnation) -> Self {
        let text = format!("bamboocart account {} {instance}", incarnation.0);
        Self(blake3::hash(text.as_bytes()))
    }

    /// Returns the bytes of the hash.
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
        // Upper-case digits would give one hash two texts.
        match *hash.to_hex() == *text {
            true => Ok(Self(hash)),
            false => Err(ParseChainHashError),
        }
    }
}

/// A text is not a hash.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Snafu)]
#[snafu(display("not a hash; use 64 lower-case hexadecimal digits"))]
pub struct ParseChainHashError;

/// A batch as it stands in the log, which is readable without being verified.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DecodedBatch {
    /// The instance.
    pub instance: InstanceName,
    /// The run of its process.
    pub incarnation: Incarnation,
    /// The number of the batch in the incarnation, from 1.
    pub batch: u64,
    /// When the batch was formed, which is after its predecessor was in the log.
    pub formed: Timestamp,
    /// Whether the incarnation ended its account with this batch.
    pub closes: bool,
    /// The hash of the batch before.
    pub previous: ChainHash,
    /// The entries.
    pub entries: Vec<Entry>,
    /// The hash of the encoded fields above.
    pub hash: ChainHash,
}

impl DecodedBatch {
    /// Reads a record of the log, and returns the hash that its bytes lead to as well.
    pub fn decode(text: &str) -> Result<(Self, ChainHash), DecodeBatchError> {
        // Form 1 was one JSON object.
        ensure!(!text.starts_with('{'), OldFormSnafu);
        let text = text.strip_prefix(PREFIX).context(NoBatchSnafu)?;
        let bytes = BASE64_STANDARD.decode(text).context(TextSnafu)?;
        let (body, hash) =
            bytes.split_last_chunk::<HASH_BYTES>().context(NoBatchSnafu)?;
        let decoded = bincode::serde::decode_from_slice(body, CODEC);
        let ((front, names, subjects, rows), used): (BodyRow, usize) =
            decoded.context(BytesSnafu)?;
        ensure!(used == body.len(), TrailingSnafu { extra: body.len() - used });
        let key = (front.instance.clone(), front.incarnation);
        let tables = Tables::new(key, names, subjects).context(IndexSnafu)?;
        let batch = Self {
            instance: front.instance,
            incarnation: front.incarnation,
            batch: front.batch,
            formed: front.formed,
            closes: front.closes,
            previous: ChainHash(Hash::from_bytes(front.previous)),
            entries: tables.entries(rows).context(IndexSnafu)?,
            hash: ChainHash(Hash::from_bytes(*hash)),
        };
        Ok((batch, ChainHash(blake3::hash(body))))
    }

    /// Writes the batch as an instance does, with the hash that the content leads to.
    pub fn encode(&self) -> EncodedBatch {
        let mut draft = Draft::new(self.instance.clone(), self.incarnation);
        self.entries.iter().for_each(|entry| draft.push(entry));
        let front = Front {
            instance: self.instance.clone(),
            incarnation: self.incarnation,
            batch: self.batch,
            formed: self.formed,
            closes: self.closes,
            previous: self.previous.bytes(),
        };
        EncodedBatch::new(&front, &draft.content)
    }
}

/// A batch in its written form.
#[derive(Debug)]
pub struct EncodedBatch {
    /// The record.
    pub text: String,
    /// The hash that the content leads to.
    pub hash: ChainHash,
    /// Whether the batch had no room for one more entry of the largest size.
    pub is_full: bool,
}

impl EncodedBatch {
    /// Writes a batch.
    pub(super) fn new(front: &Front, content: &Content) -> Self {
        let mut bytes = Vec::with_capacity(content.bytes() + 2 * HASH_BYTES);
        put(&mut bytes, front);
        content.write(&mut bytes);
        let hash = blake3::hash(&bytes);
        bytes.extend_from_slice(hash.as_bytes());
        let mut text = PREFIX.to_owned();
        BASE64_STANDARD.encode_string(&bytes, &mut text);
        Self { text, hash: ChainHash(hash), is_full: content.is_full() }
    }
}

/// The fields in front of the content.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Front {
    /// The instance.
    pub(super) instance: InstanceName,
    /// The run of its process.
    pub(super) incarnation: Incarnation,
    /// The number of the batch.
    pub(super) batch: u64,
    /// When the batch was formed.
    pub(super) formed: Timestamp,
    /// Whether the account ends with it.
    pub(super) closes: bool,
    /// The hash of the batch before.
    pub(super) previous: [u8; HASH_BYTES],
}

/// What a record holds in front of its hash.
type BodyRow = (Front, Vec<Arc<str>>, Vec<SubjectRow>, Vec<Row>);

/// Why a record is no readable batch.
#[derive(Debug, Snafu)]
pub enum DecodeBatchError {
    /// It has an earlier form.
    #[snafu(display(
        "a batch of form 1 (JSON), while this version reads form 2; read it with the \
         version that wrote it"
    ))]
    OldForm,
    /// It is something else.
    #[snafu(display("not a batch of form 2"))]
    NoBatch,
    /// The text is not base64.
    #[snafu(display("the text of the batch is altered: {source}"))]
    Text {
        /// The cause.
        source: base64::DecodeError,
    },
    /// The bytes cannot be decoded.
    #[snafu(display("the bytes of the batch are altered: {source}"))]
    Bytes {
        /// The cause.
        source: bincode::error::DecodeError,
    },
    /// Bytes follow the entries.
    #[snafu(display("{extra} bytes follow the entries of the batch"))]
    Trailing {
        /// The number of bytes.
        extra: usize,
    },
    /// An entry refers to nothing.
    #[snafu(display("{source}"))]
    Index {
        /// The cause.
        source: DanglingIndex,
    },
}
