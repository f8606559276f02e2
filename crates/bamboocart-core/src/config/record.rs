//! The records of the configuration log.

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};
use uuid::Uuid;

use super::{ConfigSet, Fault, MAX_SET_BYTES, check_set};
use crate::id::ConfigVersion;

/// The result of reading a record.
type Result<T, E = RecordFault> = std::result::Result<T, E>;

/// The name of the log stream that carries the configuration.
pub const CONFIG_STREAM: &str = "config";

/// The maximum size of a record: a set, plus 64 KiB for the publication ids of a
/// snapshot.
pub const MAX_RECORD_BYTES: usize = MAX_SET_BYTES + 64 * 1024;

/// A record of the configuration stream.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigRecord {
    /// A set that an operator publishes.
    Publish(Publication),
    /// The state after the records up to an offset, which may then expire.
    Snapshot(Snapshot),
}

/// A set that is to replace the one in force, if that is still the version `base`.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Publication {
    /// The idempotency key, which stays the same when the append is repeated.
    pub publication: PublicationId,
    /// The version that the set is based on; it must be in force when the record is read.
    pub base: ConfigVersion,
    /// The new set.
    pub set: ConfigSet,
}

/// The state of the replay after a record.
///
/// It contains everything that later decisions depend on, so a reader that starts from it
/// agrees with one that has read the stream from its beginning.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// The version in force.
    pub version: ConfigVersion,
    /// The set in force.
    pub set: ConfigSet,
    /// The offset of the last included record.
    pub covers_until: u64,
    /// The ids of the latest publications, oldest first.
    pub recent: Vec<PublicationId>,
}

/// The idempotency key of a publication.
#[derive(
    Debug, Copy, Clone, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct PublicationId(pub Uuid);

impl Display for PublicationId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl ConfigRecord {
    /// Returns the text to append to the stream.
    pub fn to_body(&self) -> String {
        serde_json::to_string(self)
            .expect("a record contains only string keys and plain values")
    }

    /// Parses and checks the record that was appended at `offset`.
    pub(super) fn read(offset: u64, body: &str) -> Result<Self> {
        ensure!(body.len() <= MAX_RECORD_BYTES, TooLargeSnafu { bytes: body.len() });
        let record = serde_json::from_str(body).context(UnreadableSnafu)?;
        match &record {
            Self::Publish(publication) => {
                // The caller checks the set, because the id must be remembered even if
                // the set has faults.
                let bytes = publication.set.to_json().len();
                ensure!(bytes <= MAX_SET_BYTES, TooLargeSnafu { bytes });
            }
            Self::Snapshot(snapshot) => {
                let Snapshot { version, covers_until, .. } = *snapshot;
                let is_past = covers_until < offset && version.0 <= covers_until + 1;
                ensure!(is_past && version.0 > 0, SnapshotAheadSnafu);
                let faults = check_set(&snapshot.set).err().unwrap_or_default();
                ensure!(faults.is_empty(), FaultySetSnafu { faults });
            }
        }
        Ok(record)
    }
}

/// Why a record is skipped.
#[derive(Debug, Snafu)]
pub enum RecordFault {
    /// The record exceeds [`MAX_RECORD_BYTES`], or its set [`MAX_SET_BYTES`].
    #[snafu(display(
        "the record has {bytes} bytes, which exceeds the limit; publish a smaller set"
    ))]
    TooLarge {
        /// The size of the record or of its set.
        bytes: usize,
    },
    /// The record is not JSON of a known form.
    #[snafu(display(
        "the record cannot be parsed: {source}; publish with a current version"
    ))]
    Unreadable {
        /// The error of the JSON parser.
        source: serde_json::Error,
    },
    /// A snapshot covers its own record or later ones.
    #[snafu(display("the snapshot covers records that come after it; publish again"))]
    SnapshotAhead,
    /// The set has faults.
    #[snafu(display(
        "the set has {} faults, first {}; correct them and publish again",
        faults.len(),
        faults.first().map(ToString::to_string).unwrap_or_default()
    ))]
    FaultySet {
        /// The faults of the set; never empty.
        faults: Vec<Fault>,
    },
}
