//! The instance list, which is published with a lag.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Mutex;

use bamboocart_core::id::InstanceName;
use bamboocart_core::time::Timestamp;
use bamboocart_platform::{InstanceEntry, InstanceList};

/// The largest number of unpublished versions; beyond it the oldest are never published.
const MAX_PENDING_VERSIONS: usize = 4_096;

/// The instance list with its unpublished versions.
#[derive(Debug)]
pub struct Instances {
    /// How far the published list lags behind the current one.
    lag_ms: u64,
    versions: Mutex<Versions>,
}

/// The versions of the list.
#[derive(Debug, Default)]
struct Versions {
    /// The current entries.
    current: BTreeMap<InstanceName, InstanceEntry>,
    /// The number of changes so far.
    version: u64,
    /// The version that was published last.
    published: InstanceList,
    /// The versions that are not published yet, oldest first.
    pending: VecDeque<InstanceList>,
    /// Whether publication is stopped.
    frozen: bool,
}

impl Instances {
    /// Creates an empty list that is published `lag_ms` after each change.
    pub fn new(lag_ms: u64) -> Self {
        Self { lag_ms, versions: Mutex::default() }
    }

    /// Inserts an entry or replaces the one of the same name.
    pub fn put(&self, now: Timestamp, entry: InstanceEntry) {
        self.change(now, |entries| {
            entries.insert(entry.name.clone(), entry);
        });
    }

    /// Removes an entry; an unknown name only makes a new version.
    pub fn remove(&self, now: Timestamp, name: &InstanceName) {
        self.change(now, |entries| {
            entries.remove(name);
        });
    }

    /// Stops or resumes the publication of changes.
    pub fn set_frozen(&self, now: Timestamp, frozen: bool) {
        let as_of_ms = now.as_ms().saturating_sub(self.lag_ms);
        let mut versions = self.versions.lock().expect("no holder of the lock panics");
        versions.publish(as_of_ms);
        versions.frozen = frozen;
    }

    /// Returns the list as it was `lag_ms` before `now`, or as it was published when it
    /// was frozen.
    ///
    /// The entries are left out if `known` is the version of that list.
    pub fn list(&self, now: Timestamp, known: u64) -> InstanceList {
        let as_of_ms = now.as_ms().saturating_sub(self.lag_ms);
        let mut versions = self.versions.lock().expect("no holder of the lock panics");
        versions.publish(as_of_ms);
        let InstanceList { version, as_of_ms, .. } = versions.published;
        match version > 0 && version == known {
            true => InstanceList { version, as_of_ms, unchanged: true, entries: vec![] },
            false => versions.published.clone(),
        }
    }

    /// Applies a change and keeps the new version until it is published.
    fn change(
        &self,
        now: Timestamp,
        change: impl FnOnce(&mut BTreeMap<InstanceName, InstanceEntry>),
    ) {
        let as_of_ms = now.as_ms().saturating_sub(self.lag_ms);
        let mut versions = self.versions.lock().expect("no holder of the lock panics");
        versions.publish(as_of_ms);
        change(&mut versions.current);
        versions.version += 1;
        let entries = versions.current.values().cloned().collect();
        let (version, as_of_ms) = (versions.version, now.as_ms());
        versions.pending.push_back(InstanceList {
            version,
            as_of_ms,
            unchanged: false,
            entries,
        });
        if versions.pending.len() > MAX_PENDING_VERSIONS {
            versions.pending.pop_front();
        }
    }
}

impl Versions {
    /// Publishes the newest version made at or before `as_of_ms`, unless frozen.
    fn publish(&mut self, as_of_ms: u64) {
        if self.frozen {
            return;
        }
        while let Some(next) = self.pending.pop_front_if(|l| l.as_of_ms <= as_of_ms) {
            self.published = next;
        }
        self.published.as_of_ms = self.published.as_of_ms.max(as_of_ms);
    }
}
