//! The platform's list of minions: its entries, and what an invalid one means.

use log::{info, warn};

use crate::engine::Engine;
use crate::holder::minion::{ColdStart, Minion, MinionEntry};
use crate::id::MinionId;
use crate::time::Moment;

/// A change to the platform's list of minions.
#[derive(Debug, Clone, Eq, PartialEq)]
pub enum MinionChange {
    /// A minion was added, or its entry has changed.
    Listed(Box<MinionEntry>),
    /// The same for a minion that has started lately and is slow for so many milliseconds
    /// more, counted from when it wrote its entry.
    ListedCold(Box<MinionEntry>, u64),
    /// The newest entry of a minion is invalid.
    Invalid(MinionId),
    /// The entry of a minion was deleted.
    Removed(MinionId),
}

impl Engine {
    /// Applies changes of the platform's list, in their order.
    pub fn change_minions(&mut self, now: Moment, changes: Vec<MinionChange>) {
        for change in changes {
            match change {
                MinionChange::Listed(entry) => {
                    self.set_cold(now, &entry.id, None);
                    self.list_minion(now, *entry);
                }
                MinionChange::ListedCold(entry, left_ms) => {
                    let id = entry.id.clone();
                    self.list_minion(now, *entry);
                    self.set_cold(now, &id, Some(left_ms));
                }
                MinionChange::Invalid(id) => self.suspend_minion(now, &id),
                MinionChange::Removed(id) => self.unlist_minion(now, &id),
            }
        }
        self.advance(now);
    }

    /// Inserts or updates minions from entries of the platform's list.
    pub fn update_minions(&mut self, now: Moment, entries: Vec<MinionEntry>) {
        for entry in entries {
            self.list_minion(now, entry);
        }
        self.advance(now);
    }

    /// Records that the platform's list has dropped a minion.
    ///
    /// It is still used for a short time, in case the entry comes back.
    pub fn unlist_minion(&mut self, now: Moment, id: &MinionId) {
        if let Some(&key) = self.minions.by_id.get(id) {
            self.minions.arena[key].unlisted.get_or_insert(now);
            info!(target: "minion", minion:% = id; "minion left the list");
        }
    }

    /// Returns the ids of all minions that the platform's list has not dropped.
    pub fn listed_minions(&self) -> Vec<MinionId> {
        let listed = |minion: &&Minion| minion.unlisted.is_none();
        let minions = self.minions.arena.values().filter(listed);
        minions.map(|minion| minion.entry.id.clone()).collect()
    }

    /// Inserts a minion, or updates its entry.
    fn list_minion(&mut self, now: Moment, entry: MinionEntry) {
        let Some(&key) = self.minions.by_id.get(&entry.id) else {
            let id = entry.id.clone();
            let evacuated = self.evacuations.is_in_force(&entry.failure_domain);
            let minion = Minion { evacuated, ..Minion::new(entry) };
            let key = self.minions.arena.insert(minion);
            self.minions.by_id.insert(id, key);
            return;
        };
        let minion = &mut self.minions.arena[key];
        // An entry that no answer has confirmed may itself come from another writer.
        if minion.is_confirmed() && entry.contradicts(&minion.entry) {
            let id = entry.id.clone();
            return self.suspend_minion(now, &id);
        }
        if minion.entry.state != entry.state {
            info!(target: "minion", minion:% = entry.id, state:? = entry.state;
                "minion changed its state");
        }
        minion.evacuated = self.evacuations.is_in_force(&entry.failure_domain);
        minion.entry = entry;
        minion.unlisted = None;
        minion.invalid_since = None;
    }

    /// Records for how long a minion is cold, if it is. An entry that is read again counts
    /// from when it was first read.
    fn set_cold(&mut self, now: Moment, id: &MinionId, left_ms: Option<u64>) {
        let Some(&key) = self.minions.by_id.get(id) else { return };
        let minion = &mut self.minions.arena[key];
        let cold = left_ms.map(|left_ms| ColdStart { left_ms, until: now + left_ms });
        let same = |known: ColdStart| Some(known.left_ms) == left_ms;
        minion.cold = minion.cold.filter(|&known| same(known)).or(cold);
    }

    /// Starts no more runs on a minion until its next valid entry.
    ///
    /// Another writer may have replaced its entry, which says nothing about the process:
    /// its runs go on and their leases are renewed while it answers.
    fn suspend_minion(&mut self, now: Moment, id: &MinionId) {
        let Some(&key) = self.minions.by_id.get(id) else { return };
        let minion = &mut self.minions.arena[key];
        minion.unlisted = None;
        if minion.invalid_since.is_none() {
            minion.invalid_since = Some(now);
            warn!(target: "minion", minion:% = id;
                "the entry of the minion is invalid; starting nothing on it until the next");
            self.capacity_changed();
        }
    }
}

impl MinionEntry {
    /// Returns whether this entry cannot come from the process that wrote an earlier one:
    /// a process keeps its service and address, and always states when it started.
    fn contradicts(&self, earlier: &Self) -> bool {
        let same_process = self.incarnation == earlier.incarnation;
        let moved = self.service != earlier.service || self.address != earlier.address;
        let anonymous = self.incarnation == 0 && earlier.incarnation > 0;
        anonymous || (same_process && moved)
    }
}
