//! How far the log was read.

use serde::{Deserialize, Serialize};

use super::{ConfigSet, PublicationId, Snapshot};
use crate::id::ConfigVersion;

/// The state of the fold after a record, without the set.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct LogPosition {
    /// The version that the log puts in force.
    pub version: ConfigVersion,
    /// The offset of the last record that is included.
    pub covers_until: u64,
    /// The ids of the latest publications, oldest first.
    pub recent: Vec<PublicationId>,
}

impl LogPosition {
    /// Returns the snapshot that the set of the version completes.
    pub fn with_set(self, set: ConfigSet) -> Snapshot {
        let Self { version, covers_until, recent } = self;
        Snapshot { version, set, covers_until, recent }
    }
}
