//! The instance list, which shows an earlier state than the current one.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Mutex;

use bamboocart_core::id::InstanceName;
use bamboocart_core::time::Timestamp;
use bamboocart_platform::{InstanceEntry, InstanceList};

/// The largest number of unpublished versions; the oldest are skipped beyond it.
const PENDING_MAX: usize = 4_096;

/// The list and its recent versions.
#[derive(Debug)]
pub struct Instances {
    /// How far the published list lags behind.
    lag_ms: u64,
    /// The versions.
    versions: Mutex<Versions>,
}

/// The versions of the list.
#[derive(Debug, Default)]
struct Versions {
    /// The current entries.
    current: BTreeMap<InstanceName, InstanceEntry>,
    /// The number of changes so far.
    version: u64,
    /// The state published last.
    published: InstanceList,
    /// Changes that are not published yet, oldest first.
    pending: VecDeque<InstanceList>,
    /// Whether the published state stays as it is.
    frozen: bool,
}

impl Instances {
    /// Creates an empty list.
    pub fn new(lag_ms: u64) -> Self {
        Self { lag_ms, versions: Mutex::default() }
    }

    /// Registers or updates an entry.
    pub fn put(&self, now: Timestamp, entry: InstanceEntry) {
        self.change(now, |entries| {
            entries.insert(entry.name.clone(), entry);
        });
    }

    /// Removes an entry.
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

    /// Returns the list as it was `lag_ms` before `now`, or when it was frozen.
    ///
    /// The members are left out if `known` is the version of the list.
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

    /// Makes a change and keeps the new version until it is published.
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
        if versions.pending.len() > PENDING_MAX {
            versions.pending.pop_front();
        }
    }
}

impl Versions {
    /// Publishes the last version that was current at a time.
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
