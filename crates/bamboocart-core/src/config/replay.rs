//! The fold of the log stream into the configuration in force.

use std::collections::VecDeque;
use std::sync::Arc;

use super::record::{ConfigRecord, Publication, PublicationId, RecordFault, Snapshot};
use super::{ConfigSet, Fault, LogPosition, check_set};
use crate::id::ConfigVersion;
use crate::time::Timestamp;

/// The publication ids and record times that are remembered; the oldest is dropped.
///
/// A repeated append follows its first within seconds, and this is more than a day's
/// configuration changes.
pub const RECENT_RECORDS: usize = 1_024;

/// The part of the retention time after which a new snapshot is due.
const SNAPSHOT_AFTER: (u64, u64) = (1, 2);

/// The configuration in force, computed from records in log order.
///
/// The caller reads from [`ConfigReplay::next_offset`], reports the start of each page with
/// [`ConfigReplay::set_log_start`], and passes each record to [`ConfigReplay::apply`]. After
/// [`ApplyResult::Rewind`] it reads again from the new next offset.
#[derive(Debug)]
pub struct ConfigReplay {
    /// The result of the records before `next`, unless some of them were not readable.
    state: Option<State>,
    /// The newest version that is known from the log or a peer.
    in_force: Option<VersionedSet>,
    /// The offset of the next record.
    next: u64,
    /// The first offset from which on every record was readable.
    readable_from: u64,
    /// The offset and time of the latest records.
    times: VecDeque<(u64, Timestamp)>,
    /// The time of the oldest record that a new reader needs; it can no longer start when
    /// that record expires.
    basis_at: Option<Timestamp>,
}

/// What decides about the next record.
#[derive(Debug, Default)]
struct State {
    /// The version that the log puts in force; none before the first publication.
    log_version: Option<VersionedSet>,
    /// The latest publication ids, oldest first.
    recent: VecDeque<PublicationId>,
}

/// A version with its set.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct VersionedSet {
    /// The version.
    pub version: ConfigVersion,
    /// The set.
    pub set: Arc<ConfigSet>,
}

/// What a record did.
#[derive(Debug)]
pub enum ApplyResult {
    /// The publication is in force.
    Accepted {
        /// The publication.
        publication: PublicationId,
        /// Its version.
        version: ConfigVersion,
    },
    /// Another publication replaced the base first.
    Conflict {
        /// The publication.
        publication: PublicationId,
        /// The version that it was to replace.
        base: ConfigVersion,
        /// The version that was in force.
        in_force: ConfigVersion,
    },
    /// The publication is a repetition of an earlier record.
    Duplicate {
        /// The publication.
        publication: PublicationId,
    },
    /// The record has a fault and was skipped.
    Skipped {
        /// The publication, if its id was readable.
        publication: Option<PublicationId>,
        /// The fault.
        fault: RecordFault,
    },
    /// The snapshot agrees with what is known, or is not usable here.
    SnapshotSeen,
    /// The snapshot has another set for the version in force; the known one is kept.
    SnapshotDiffers {
        /// The version.
        version: ConfigVersion,
    },
    /// A snapshot was accepted; the records from `from` on are to be read again.
    ///
    /// The rest of a page that was read before this is to be dropped.
    Rewind {
        /// The next offset.
        from: u64,
    },
    /// Earlier records have expired, so the record cannot be judged before a snapshot.
    NeedsSnapshot,
    /// The record was taken before.
    AlreadyApplied,
}

/// What a peer's version did.
#[derive(Debug, Eq, PartialEq)]
pub enum PeerOfferResult {
    /// It is in force now.
    Adopted,
    /// It is no newer than the version in force.
    NotNewer,
    /// The set has faults and was not taken.
    Invalid(Vec<Fault>),
}

impl ConfigReplay {
    /// Creates a fold that has read nothing.
    pub fn new() -> Self {
        Self {
            state: Some(State::default()),
            in_force: None,
            next: 0,
            readable_from: 0,
            times: VecDeque::new(),
            basis_at: None,
        }
    }

    /// Returns the offset of the next record to take.
    pub fn next_offset(&self) -> u64 {
        self.next
    }

    /// Returns the version in force with its set, or `None` if there is none.
    pub fn in_force(&self) -> Option<&VersionedSet> {
        self.in_force.as_ref()
    }

    /// Returns the version in force, or 0 if there is none.
    pub fn version(&self) -> ConfigVersion {
        self.in_force.as_ref().map_or(ConfigVersion(0), |known| known.version)
    }

    /// Returns whether records can be judged, which needs the log's beginning or a snapshot.
    pub fn can_apply(&self) -> bool {
        self.state.is_some()
    }

    /// Reports the oldest offset that the log still keeps.
    ///
    /// When unread records have expired, no record is judged until a snapshot is found.
    /// The version in force stays.
    pub fn set_log_start(&mut self, start: u64) {
        if start <= self.next {
            return;
        }
        self.state = None;
        self.next = start;
        self.readable_from = start;
        self.times.clear();
        self.basis_at = None;
    }

    /// Takes the record at `offset`.
    ///
    /// A skipped offset counts as a record that was not readable.
    pub fn apply(&mut self, offset: u64, at: Timestamp, body: &str) -> ApplyResult {
        if offset < self.next {
            return ApplyResult::AlreadyApplied;
        }
        self.set_log_start(offset);
        self.next = offset + 1;
        self.note_time(offset, at);
        match ConfigRecord::read(offset, body) {
            Ok(ConfigRecord::Publish(publication)) => self.publish(offset, publication),
            Ok(ConfigRecord::Snapshot(snapshot)) => self.snapshot_read(snapshot),
            Err(fault) => ApplyResult::Skipped { publication: None, fault },
        }
    }

    /// Takes a version that a peer has in force; the version in force never decreases.
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
        self.raise(VersionedSet { version, set });
        PeerOfferResult::Adopted
    }

    /// Returns the snapshot to append if one is due.
    ///
    /// It is due when the oldest record that a new reader needs has passed half of the
    /// retention time. Waiting for the age of the latest publication instead would never
    /// write a snapshot while publications are frequent, and a new reader could not start.
    /// `jitter_ms` spreads the instances, so that the first snapshot spares the others.
    pub fn snapshot_due(
        &self,
        now: Timestamp,
        retention_ms: u64,
        jitter_ms: u64,
    ) -> Option<Snapshot> {
        let (part, whole) = SNAPSHOT_AFTER;
        let due = self.basis_at?.plus_ms(retention_ms / whole * part);
        if now < due.plus_ms(jitter_ms) {
            return None;
        }
        self.snapshot()
    }

    /// Returns a snapshot of the records that were taken, if there is a version to keep.
    pub fn snapshot(&self) -> Option<Snapshot> {
        let known = self.state.as_ref()?.log_version.as_ref()?;
        Some(self.position()?.with_set((*known.set).clone()))
    }

    /// Returns how far the log was read, if there is a version to keep.
    pub fn position(&self) -> Option<LogPosition> {
        let state = self.state.as_ref()?;
        Some(LogPosition {
            version: state.log_version.as_ref()?.version,
            covers_until: self.next.checked_sub(1)?,
            recent: state.recent.iter().copied().collect(),
        })
    }

    /// Takes a snapshot that a peer has sent, and returns whether records can be judged
    /// from it.
    ///
    /// It replaces the snapshots of the log when all of them have expired. The records
    /// from [`ConfigReplay::next_offset`] on are to be read again. A snapshot is due at once
    /// then, because the log holds none that a further reader could start from.
    pub fn restore(&mut self, snapshot: Snapshot) -> bool {
        let is_past = snapshot.version.0 <= snapshot.covers_until + 1;
        let is_usable = is_past && check_set(&snapshot.set).is_ok();
        if self.state.is_some() || !is_usable {
            return false;
        }
        let is_restored =
            matches!(self.snapshot_read(snapshot), ApplyResult::Rewind { .. });
        if is_restored {
            self.basis_at = Some(Timestamp::default());
        }
        is_restored
    }

    /// Judges a publication.
    fn publish(&mut self, offset: u64, record: Publication) -> ApplyResult {
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
        self.raise(accepted);
        ApplyResult::Accepted { publication, version }
    }

    /// Takes a snapshot that was read from the log.
    fn snapshot_read(&mut self, snapshot: Snapshot) -> ApplyResult {
        let needed = snapshot.covers_until + 1;
        if self.state.is_some() {
            return self.compare(&snapshot, needed);
        }
        if needed < self.readable_from {
            return ApplyResult::SnapshotSeen;
        }
        let log_version =
            VersionedSet { version: snapshot.version, set: Arc::new(snapshot.set) };
        self.raise(log_version.clone());
        self.state = Some(State {
            log_version: Some(log_version),
            recent: snapshot.recent.into_iter().collect(),
        });
        self.next = needed;
        self.times.clear();
        ApplyResult::Rewind { from: needed }
    }

    /// Compares a snapshot with the known state, and notes what a new reader needs.
    fn compare(&mut self, snapshot: &Snapshot, needed: u64) -> ApplyResult {
        let version = snapshot.version;
        let known = self.state.as_ref().and_then(|state| state.log_version.as_ref());
        let differs = |known: &VersionedSet| {
            known.version < version
                || known.version == version && *known.set != snapshot.set
        };
        if known.is_none_or(differs) {
            return ApplyResult::SnapshotDiffers { version };
        }
        let time = self.times.iter().find(|(offset, _)| *offset == needed);
        if let Some((_, at)) = time {
            self.basis_at = self.basis_at.max(Some(*at));
        }
        ApplyResult::SnapshotSeen
    }

    /// Puts a version in force unless a newer one is.
    fn raise(&mut self, candidate: VersionedSet) {
        if candidate.version > self.version() {
            self.in_force = Some(candidate);
        }
    }

    /// Remembers the time of a record.
    fn note_time(&mut self, offset: u64, at: Timestamp) {
        if self.times.len() == RECENT_RECORDS {
            self.times.pop_front();
        }
        self.times.push_back((offset, at));
        if self.state.is_some() && self.basis_at.is_none() {
            self.basis_at = Some(at);
        }
    }
}

impl Default for ConfigReplay {
    fn default() -> Self {
        Self::new()
    }
}

impl State {
    /// Returns the version that the log puts in force.
    fn version(&self) -> ConfigVersion {
        self.log_version.as_ref().map_or(ConfigVersion(0), |known| known.version)
    }

    /// Remembers a publication id and drops the oldest one beyond the bound.
    fn remember(&mut self, publication: PublicationId) {
        if self.recent.len() == RECENT_RECORDS {
            self.recent.pop_front();
        }
        self.recent.push_back(publication);
    }
}
