//! Replays the configuration log to determine the version in force.

use std::collections::VecDeque;
use std::sync::Arc;

use super::record::{ConfigRecord, Publication, PublicationId, RecordFault, Snapshot};
use super::{ConfigSet, Fault, LogPosition, check_set};
use crate::id::ConfigVersion;
use crate::time::Timestamp;

/// The number of publication ids and of record times that are remembered; the oldest one
/// is dropped.
///
/// A repeated append follows the first one within seconds, and this number exceeds the
/// configuration changes of a day.
pub const RECENT_RECORDS: usize = 1_024;

/// The fraction of the retention time after which a new snapshot is due, as numerator and
/// denominator.
const SNAPSHOT_AGE_FRACTION: (u64, u64) = (1, 2);

/// Computes the configuration in force from the records of the log, in log order.
///
/// The caller reads from [`ConfigReplay::next_offset`], reports the start of the log from
/// each page with [`ConfigReplay::set_log_start`], and passes each record to
/// [`ConfigReplay::apply`]. After [`ApplyResult::Rewind`], it reads again from the new
/// next offset.
#[derive(Debug)]
pub struct ConfigReplay {
    /// The state after all records before `next_offset`, or `None` if it is unknown
    /// because some of them expired before they were read.
    state: Option<LogState>,
    /// The newest version that is known from the log or from a peer.
    in_force: Option<VersionedSet>,
    /// The offset of the next record to apply.
    next_offset: u64,
    /// The lowest offset from which all records up to `next_offset` were available.
    readable_from: u64,
    /// The offset and the append time of the latest records, for `oldest_needed_at`.
    record_times: VecDeque<(u64, Timestamp)>,
    /// The time of the oldest record that a new reader needs; once this record expires, a
    /// new reader can no longer start.
    oldest_needed_at: Option<Timestamp>,
}

/// The state that decides whether the next record is accepted.
#[derive(Debug, Default)]
struct LogState {
    /// The version in force according to the log; `None` before the first publication.
    log_version: Option<VersionedSet>,
    /// The latest publication ids, oldest first.
    recent: VecDeque<PublicationId>,
}

/// A configuration set with its version.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct VersionedSet {
    /// The version, which is 1 above the offset of the publication.
    pub version: ConfigVersion,
    /// The configuration set of the version.
    pub set: Arc<ConfigSet>,
}

/// The effect of applying a record.
#[derive(Debug)]
pub enum ApplyResult {
    /// The publication was accepted and its version came into force.
    Accepted {
        /// The id of the publication.
        publication: PublicationId,
        /// The version that the publication created.
        version: ConfigVersion,
    },
    /// The publication was rejected because its base was not in force.
    Conflict {
        /// The id of the publication.
        publication: PublicationId,
        /// The version that the publication was to replace.
        base: ConfigVersion,
        /// The version that was in force instead.
        in_force: ConfigVersion,
    },
    /// The publication has the id of an earlier record and is ignored.
    Duplicate {
        /// The id of the publication.
        publication: PublicationId,
    },
    /// The record is invalid and was skipped.
    Skipped {
        /// The id of the publication, if the record could be parsed as one.
        publication: Option<PublicationId>,
        /// Why the record is invalid.
        fault: RecordFault,
    },
    /// The snapshot agrees with the known state, or does not cover enough records.
    SnapshotSeen,
    /// The snapshot contradicts the known state, which is kept.
    SnapshotDiffers {
        /// The version that the snapshot states.
        version: ConfigVersion,
    },
    /// A snapshot was loaded; the caller must read again from offset `from`.
    ///
    /// The rest of the page that contained the snapshot must be discarded.
    Rewind {
        /// The offset of the next record to apply.
        from: u64,
    },
    /// Earlier records expired unread, so no publication can be decided before a snapshot
    /// is loaded.
    NeedsSnapshot,
    /// The record was applied before.
    AlreadyApplied,
}

/// The effect of a version offered by a peer.
#[derive(Debug, Eq, PartialEq)]
pub enum PeerOfferResult {
    /// The version came into force.
    Adopted,
    /// The version is not newer than the one in force.
    NotNewer,
    /// The set has these faults and was rejected.
    Invalid(Vec<Fault>),
}

impl ConfigReplay {
    /// Creates a replay that has read no record.
    pub fn new() -> Self {
        Self {
            state: Some(LogState::default()),
            in_force: None,
            next_offset: 0,
            readable_from: 0,
            record_times: VecDeque::new(),
            oldest_needed_at: None,
        }
    }

    /// Returns the offset of the next record to apply.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Returns the version in force with its set, or `None` if there is none.
    pub fn in_force(&self) -> Option<&VersionedSet> {
        self.in_force.as_ref()
    }

    /// Returns the version in force, or 0 if there is none.
    pub fn version(&self) -> ConfigVersion {
        self.in_force.as_ref().map_or(ConfigVersion(0), |known| known.version)
    }

    /// Returns whether publications can be decided, which requires all records from the
    /// beginning of the log or from a snapshot on.
    pub fn can_apply(&self) -> bool {
        self.state.is_some()
    }

    /// Sets the oldest offset that the log still has.
    ///
    /// If unread records have expired, no publication is decided until a snapshot is
    /// loaded. The version in force is kept.
    pub fn set_log_start(&mut self, start: u64) {
        if start <= self.next_offset {
            return;
        }
        self.state = None;
        self.next_offset = start;
        self.readable_from = start;
        self.record_times.clear();
        self.oldest_needed_at = None;
    }

    /// Applies the record at `offset`, which was appended at `at`.
    ///
    /// Skipped offsets are treated like expired records.
    pub fn apply(&mut self, offset: u64, at: Timestamp, body: &str) -> ApplyResult {
        if offset < self.next_offset {
            return ApplyResult::AlreadyApplied;
        }
        self.set_log_start(offset);
        self.next_offset = offset + 1;
        self.remember_time(offset, at);
        match ConfigRecord::read(offset, body) {
            Ok(ConfigRecord::Publish(publication)) => {
                self.apply_publication(offset, publication)
            }
            Ok(ConfigRecord::Snapshot(snapshot)) => self.apply_snapshot(snapshot),
            Err(fault) => ApplyResult::Skipped { publication: None, fault },
        }
    }

    /// Adopts a version that a peer has in force if it is newer and its set has no
    /// faults.
    pub fn offer_peer_version(
        &mut self,
        version: ConfigVersion,
        set: Arc<ConfigSet>,
    ) -> PeerOfferResult {
        if version <= self.version() {
            return PeerOfferResult::NotNewer;
        }
        if let Err(faults) = check_set(&set) {
            return PeerOfferResult::Invalid(faults);
        }
        self.adopt_if_newer(VersionedSet { version, set });
        PeerOfferResult::Adopted
    }

    /// Returns the snapshot to append, if one is due.
    ///
    /// A snapshot is due when the oldest record that a new reader needs has reached half
    /// of the retention time. If the age of the latest publication decided instead,
    /// frequent publications would prevent snapshots, and a new reader could not start.
    /// `jitter_ms` differs between instances, so that usually only one of them appends a
    /// snapshot.
    pub fn snapshot_due(
        &self,
        now: Timestamp,
        retention_ms: u64,
        jitter_ms: u64,
    ) -> Option<Snapshot> {
        let (part, whole) = SNAPSHOT_AGE_FRACTION;
        let due = self.oldest_needed_at?.plus_ms(retention_ms / whole * part);
        if now < due.plus_ms(jitter_ms) {
            return None;
        }
        self.snapshot()
    }

    /// Returns a snapshot of the state, or `None` if it is unknown or has no version.
    pub fn snapshot(&self) -> Option<Snapshot> {
        let known = self.state.as_ref()?.log_version.as_ref()?;
        Some(self.position()?.with_set((*known.set).clone()))
    }

    /// Returns the position of the state, or `None` if it is unknown or has no version.
    pub fn position(&self) -> Option<LogPosition> {
        let state = self.state.as_ref()?;
        Some(LogPosition {
            version: state.log_version.as_ref()?.version,
            covers_until: self.next_offset.checked_sub(1)?,
            recent: state.recent.iter().copied().collect(),
        })
    }

    /// Loads a snapshot from a peer and returns whether publications can be decided from
    /// it.
    ///
    /// This is for the case that all snapshots in the log have expired. The caller must
    /// then read again from [`ConfigReplay::next_offset`]. A new snapshot is due at once,
    /// because the log has none from which another reader could start.
    pub fn restore(&mut self, snapshot: Snapshot) -> bool {
        let is_past = snapshot.version.0 <= snapshot.covers_until + 1;
        let is_usable = is_past && check_set(&snapshot.set).is_ok();
        if self.state.is_some() || !is_usable {
            return false;
        }
        let is_restored =
            matches!(self.apply_snapshot(snapshot), ApplyResult::Rewind { .. });
        if is_restored {
            self.oldest_needed_at = Some(Timestamp::default());
        }
        is_restored
    }

    /// Accepts or rejects a publication.
    fn apply_publication(&mut self, offset: u64, record: Publication) -> ApplyResult {
        let Publication { publication, base, set } = record;
        let Some(state) = &mut self.state else { return ApplyResult::NeedsSnapshot };
        if state.recent.contains(&publication) {
            return ApplyResult::Duplicate { publication };
        }
        state.remember(publication);
        let in_force = state.version();
        if base != in_force {
            return ApplyResult::Conflict { publication, base, in_force };
        }
        if let Err(faults) = check_set(&set) {
            let fault = RecordFault::FaultySet { faults };
            return ApplyResult::Skipped { publication: Some(publication), fault };
        }
        let version = ConfigVersion(offset + 1);
        let accepted = VersionedSet { version, set: Arc::new(set) };
        state.log_version = Some(accepted.clone());
        self.adopt_if_newer(accepted);
        ApplyResult::Accepted { publication, version }
    }

    /// Loads a snapshot, or compares it with the state if that is known.
    fn apply_snapshot(&mut self, snapshot: Snapshot) -> ApplyResult {
        let needed = snapshot.covers_until + 1;
        if self.state.is_some() {
            return self.compare_snapshot(&snapshot, needed);
        }
        if needed < self.readable_from {
            return ApplyResult::SnapshotSeen;
        }
        let log_version =
            VersionedSet { version: snapshot.version, set: Arc::new(snapshot.set) };
        self.adopt_if_newer(log_version.clone());
        self.state = Some(LogState {
            log_version: Some(log_version),
            recent: snapshot.recent.into_iter().collect(),
        });
        self.next_offset = needed;
        self.record_times.clear();
        ApplyResult::Rewind { from: needed }
    }

    /// Compares a snapshot with the known state, and updates the time of the oldest
    /// record that a new reader needs.
    fn compare_snapshot(&mut self, snapshot: &Snapshot, needed: u64) -> ApplyResult {
        let version = snapshot.version;
        let known = self.state.as_ref().and_then(|state| state.log_version.as_ref());
        let differs = |known: &VersionedSet| {
            known.version < version
                || known.version == version && *known.set != snapshot.set
        };
        if known.is_none_or(differs) {
            return ApplyResult::SnapshotDiffers { version };
        }
        let time = self.record_times.iter().find(|(offset, _)| *offset == needed);
        if let Some((_, at)) = time {
            self.oldest_needed_at = self.oldest_needed_at.max(Some(*at));
        }
        ApplyResult::SnapshotSeen
    }

    /// Puts a version in force unless it is not newer.
    fn adopt_if_newer(&mut self, candidate: VersionedSet) {
        if candidate.version > self.version() {
            self.in_force = Some(candidate);
        }
    }

    /// Remembers the time of a record, dropping the oldest one beyond the limit.
    fn remember_time(&mut self, offset: u64, at: Timestamp) {
        if self.record_times.len() == RECENT_RECORDS {
            self.record_times.pop_front();
        }
        self.record_times.push_back((offset, at));
        if self.state.is_some() && self.oldest_needed_at.is_none() {
            self.oldest_needed_at = Some(at);
        }
    }
}

impl Default for ConfigReplay {
    fn default() -> Self {
        Self::new()
    }
}

impl LogState {
    /// Returns the version in force according to the log, or 0 if there is none.
    fn version(&self) -> ConfigVersion {
        self.log_version.as_ref().map_or(ConfigVersion(0), |known| known.version)
    }

    /// Remembers a publication id, dropping the oldest one beyond the limit.
    fn remember(&mut self, publication: PublicationId) {
        if self.recent.len() == RECENT_RECORDS {
            self.recent.pop_front();
        }
        self.recent.push_back(publication);
    }
}
