//! The records of the log stream that carries the configuration.

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};
use uuid::Uuid;

use super::{ConfigSet, Fault, MAX_SET_BYTES, check_set};
use crate::id::ConfigVersion;

/// The result of reading a record.
type Result<T, E = RecordFault> = std::result::Result<T, E>;

/// The name of the log stream.
pub const CONFIG_STREAM: &str = "config";

/// The largest record: a set, and 64 KiB for the recent publication ids of a snapshot.
pub const MAX_RECORD_BYTES: usize = MAX_SET_BYTES + 64 * 1024;

/// A record of the stream.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigRecord {
    /// An operator's set.
    Publish(Publication),
    /// The result of the records up to an offset, which outlasts them.
    Snapshot(Snapshot),
}

/// A set that an operator offers to replace the one in force.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Publication {
    /// The identifier, which stays the same when the append is repeated.
    pub publication: PublicationId,
    /// The version that the set replaces.
    pub base: ConfigVersion,
    /// The set.
    pub set: ConfigSet,
}

/// The state of the fold after a record.
///
/// It holds everything that later decisions depend on. A reader that starts from it
/// therefore agrees with one that has read the stream from its beginning.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// The version in force.
    pub version: ConfigVersion,
    /// The set in force.
    pub set: ConfigSet,
    /// The offset of the last record that is included.
    pub covers_until: u64,
    /// The ids of the latest publications, oldest first.
    pub recent: Vec<PublicationId>,
}

/// The identifier of a publication.
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
    /// Returns the body to append to the stream.
    pub fn to_body(&self) -> String {
        serde_json::to_string(self).expect("a record has text keys and plain values only")
    }

    /// Reads the record that was appended at `offset`.
    pub(super) fn read(offset: u64, body: &str) -> Result<Self> {
        ensure!(body.len() <= MAX_RECORD_BYTES, TooLargeSnafu { bytes: body.len() });
        let record = serde_json::from_str(body).context(UnreadableSnafu)?;
        match &record {
            Self::Publish(publication) => {
                // An id is remembered even when its set is faulty, so the caller checks it.
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
    /// The record exceeds the bound.
    #[snafu(display(
        "the record takes {bytes} bytes, which is above the bound; publish a smaller set"
    ))]
    TooLarge {
        /// The size.
        bytes: usize,
    },
    /// The record is not JSON of the known form.
    #[snafu(display(
        "the record is unreadable: {source}; publish with a current program"
    ))]
    Unreadable {
        /// The cause.
        source: serde_json::Error,
    },
    /// A snapshot describes records that come after it.
    #[snafu(display("the snapshot covers records that it cannot know; publish again"))]
    SnapshotAhead,
    /// The set does not pass the check.
    #[snafu(display(
        "the set has {} faults, first {}; correct them and publish again",
        faults.len(),
        faults.first().map(ToString::to_string).unwrap_or_default()
    ))]
    FaultySet {
        /// The faults.
        faults: Vec<Fault>,
    },
}
