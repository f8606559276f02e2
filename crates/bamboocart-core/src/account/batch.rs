//! The text form of a batch and the hash chain through its entries.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use blake3::{Hash, Hasher};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use serde_with::{DeserializeFromStr, SerializeDisplay};
use snafu::Snafu;

use super::entry::Entry;
use crate::id::{Incarnation, InstanceName};
use crate::time::Timestamp;

/// The version of the text form.
pub(super) const BATCH_FORMAT: u8 = 1;

/// The most entries in a batch.
pub const MAX_BATCH_ENTRIES: usize = 1_000;

/// The most bytes of all entries in a batch.
pub const MAX_BATCH_BYTES: usize = 256 * 1024;

/// The most bytes of one entry; a larger one is dropped and replaced by a gap.
pub const MAX_ENTRY_BYTES: usize = 4 * 1024;

/// The hash at one point of a chain.
#[derive(
    Debug, Copy, Clone, Eq, PartialEq, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct Head(Hash);

impl Head {
    /// Returns the hash in front of an incarnation's first entry.
    pub(super) fn genesis(instance: &InstanceName, incarnation: Incarnation) -> Self {
        let text = format!("bamboocart account {} {instance}", incarnation.0);
        Self(blake3::hash(text.as_bytes()))
    }

    /// Returns the hash behind a further text.
    pub(super) fn link(self, text: &str) -> Self {
        let mut hasher = Hasher::new();
        hasher.update(self.0.as_bytes());
        hasher.update(text.as_bytes());
        Self(hasher.finalize())
    }
}

impl Display for Head {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0.to_hex())
    }
}

impl FromStr for Head {
    type Err = ParseHeadError;

    fn from_str(text: &str) -> Result<Self, ParseHeadError> {
        let hash = Hash::from_hex(text).map_err(|_| ParseHeadError)?;
        // Upper-case digits would give one hash two texts.
        match *hash.to_hex() == *text {
            true => Ok(Self(hash)),
            false => Err(ParseHeadError),
        }
    }
}

/// A text is not a hash.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Snafu)]
#[snafu(display("not a hash; use 64 lower-case hexadecimal digits"))]
pub struct ParseHeadError;

/// The content of a batch, which is readable without being verified.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct OpenBatch {
    /// The instance.
    pub instance: InstanceName,
    /// The run of its process.
    pub incarnation: Incarnation,
    /// The number of the batch in the incarnation, from 1.
    pub number: u64,
    /// The entries.
    pub entries: Vec<Entry>,
}

impl FromStr for OpenBatch {
    type Err = serde_json::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let batch: SealedBatch = serde_json::from_str(text)?;
        let entries = batch.entries.iter().map(|text| serde_json::from_str(text.get()));
        Ok(Self {
            entries: entries.collect::<Result<_, _>>()?,
            instance: batch.instance,
            incarnation: batch.incarnation,
            number: batch.batch,
        })
    }
}

/// A batch as it stands in the log.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct SealedBatch {
    /// The version of the text form.
    pub(super) account: u8,
    /// The instance.
    pub(super) instance: InstanceName,
    /// The run of its process.
    pub(super) incarnation: Incarnation,
    /// The number of the batch in the incarnation, from 1.
    pub(super) batch: u64,
    /// When the batch was formed, which is after its predecessor was in the log.
    pub(super) formed: Timestamp,
    /// Whether the incarnation ended its account with this batch.
    pub(super) closes: bool,
    /// The hash of the batch before.
    pub(super) previous: Head,
    /// The texts of the entries.
    pub(super) entries: Vec<Box<RawValue>>,
    /// The hash behind the entries and the fields above.
    pub(super) hash: Head,
}

impl SealedBatch {
    /// Returns the hash that the content leads to.
    pub(super) fn computed_hash(&self) -> Head {
        let entries = self.entries.iter().map(|entry| entry.get());
        let head = entries.fold(self.previous, Head::link);
        let seal = format!("{} {} {}", self.batch, self.formed.as_us(), self.closes);
        head.link(&seal)
    }

    /// Returns whether the batch could not take one more entry of the largest size.
    pub(super) fn is_full(&self) -> bool {
        let bytes: usize = self.entries.iter().map(|entry| entry.get().len()).sum();
        self.entries.len() >= MAX_BATCH_ENTRIES
            || bytes + MAX_ENTRY_BYTES > MAX_BATCH_BYTES
    }
}
