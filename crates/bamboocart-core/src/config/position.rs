//! The position up to which the configuration log was read.

use serde::{Deserialize, Serialize};

use super::{ConfigSet, PublicationId, Snapshot};
use crate::id::ConfigVersion;

/// The state of the replay after a record, without the set.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct LogPosition {
    /// The version in force after that record, according to the log.
    pub version: ConfigVersion,
    /// The offset of the last included record.
    pub covers_until: u64,
    /// The ids of the latest publications, oldest first.
    pub recent: Vec<PublicationId>,
}

impl LogPosition {
    /// Returns the snapshot of this position; `set` must be the set of its version.
    pub fn with_set(self, set: ConfigSet) -> Snapshot {
        let Self { version, covers_until, recent } = self;
        Snapshot { version, set, covers_until, recent }
    }
}
