//! The order in which queued tasks start.
//!
//! Entries are ordered by priority rank, then by start-time fair queueing between
//! customers, then by arrival. Every operation is a function of the operations before it,
//! so a recorded sequence can be replayed: `pick(|key| key == recorded)` repeats a
//! recorded start and returns the reason that the record should state.

mod entry;
mod floor;
mod level;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::Hash;

use slotmap::SlotMap;
use snafu::Snafu;

use self::entry::{Entry, EntryKey, Position, Removal};
pub use self::floor::FLOOR_WINDOW_STARTS;
use self::level::Level;
use crate::time::Timestamp;

/// The result of adding an entry.
pub type Result<T, E = QueueError> = std::result::Result<T, E>;

/// The number of entries of one customer that a pick looks at before it goes on.
///
/// It bounds the time of a pick when the head of a customer's entries does not fit.
pub const CUSTOMER_LOOKAHEAD: usize = 8;

/// The number of entries of one priority that a pick looks at before it goes on.
pub const RANK_LOOKAHEAD: usize = 256;

/// A bounded queue of the tasks that wait for the targets of one group.
///
/// `K` identifies an entry and `C` a customer; both are small and cheap to copy. A push
/// into a full queue fails. A requeued entry is always taken back, because it was
/// admitted before, so the queue holds at most its capacity plus the entries that are
/// out. For each priority it also holds one row per customer that was served since the
/// priority last had nothing waiting.
#[derive(Debug, Clone)]
pub struct FairQueue<K, C> {
    capacity: usize,
    entries: SlotMap<EntryKey, Entry<K, C>>,
    index: HashMap<K, EntryKey>,
    deadlines: BTreeSet<(Timestamp, EntryKey)>,
    levels: BTreeMap<u8, Level<C>>,
    next_arrival: u64,
}

/// A task to be queued.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub struct NewEntry<K, C> {
    /// The identity of the task.
    pub key: K,
    /// The customer whose share the start is charged to.
    pub customer: C,
    /// The weight of the customer, which from now on applies to all its entries of the
    /// rank; 0 counts as 1.
    pub weight: u32,
    /// The rank of the priority; 0 is highest.
    pub rank: u8,
    /// The expected run time, which is the cost of the start.
    pub cost_us: u32,
    /// The latest start that still meets the deadline.
    pub start_by: Timestamp,
}

/// A decision to start an entry.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub struct Pick<K, C> {
    /// The identity of the task.
    pub key: K,
    /// Why this entry was next.
    pub reason: PickReason,
    /// The place that the entry had, for putting it back.
    pub position: QueuePosition<C>,
}

/// Why an entry was next.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Hash)]
pub enum PickReason {
    /// It was first by rank, fair share and arrival.
    Order,
    /// Its priority was owed a start by its floor.
    Floor,
    /// An entry before it did not fit.
    Fit,
    /// It was started before and put back; this start is not charged again.
    Requeued,
}

/// The place of an entry that was picked.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub struct QueuePosition<C> {
    /// The customer.
    pub customer: C,
    /// The rank of the priority.
    pub rank: u8,
    /// The expected run time.
    pub cost_us: u32,
    /// The latest start that still meets the deadline.
    pub start_by: Timestamp,
    arrival: u64,
    start_tag: u64,
}

/// Why an entry was not queued.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Snafu)]
pub enum QueueError {
    /// The queue holds as many entries as it may.
    #[snafu(display("the queue is full at {capacity} entries; retry later"))]
    Full {
        /// The bound.
        capacity: usize,
    },
    /// The key is in the queue already.
    #[snafu(display("the task is queued already; cancel it before queueing it again"))]
    Duplicate,
}

impl<K, C> FairQueue<K, C>
where
    K: Copy + Eq + Hash,
    C: Copy + Ord,
{
    /// Creates an empty queue that holds at most `capacity` entries.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            entries: SlotMap::with_key(),
            index: HashMap::new(),
            deadlines: BTreeSet::new(),
            levels: BTreeMap::new(),
            next_arrival: 0,
        }
    }

    /// Reserves `percent` of the starts under contention for the priority of `rank`.
    ///
    /// A start is under contention for a priority while it and another one have entries
    /// waiting. Of every [`FLOOR_WINDOW_STARTS`] of them, at least `percent` go to the
    /// priority if its entries fit and all floors together are at most 100 percent.
    pub fn set_floor(&mut self, rank: u8, percent: u8) {
        let level = self.levels.entry(rank).or_default();
        level.floor.set_percent(percent);
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the queue has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of entries that can be pushed, for admitting a job as a whole.
    pub fn free_capacity(&self) -> usize {
        self.capacity.saturating_sub(self.len())
    }

    /// Returns whether the entry is in the queue.
    pub fn contains(&self, key: K) -> bool {
        self.index.contains_key(&key)
    }

    /// Returns the expected run time of all entries of `rank` and of higher priorities.
    ///
    /// A new entry of `rank` starts before some of them if its customer is owed a share.
    pub fn work_ahead_us(&self, rank: u8) -> u64 {
        self.levels.range(..=rank).map(|(_, level)| level.work_us).sum()
    }

    /// Adds an entry behind those of its customer and rank.
    pub fn push(&mut self, new: NewEntry<K, C>) -> Result<()> {
        if self.len() >= self.capacity {
            return FullSnafu { capacity: self.capacity }.fail();
        }
        if self.contains(new.key) {
            return DuplicateSnafu.fail();
        }
        let arrival = self.next_arrival;
        self.next_arrival += 1;
        let entry = Entry {
            key: new.key,
            customer: new.customer,
            rank: new.rank,
            cost_us: new.cost_us,
            start_by: new.start_by,
            arrival,
            position: Position::Flow { previous: None, next: None },
        };
        let slot = self.insert(entry);
        let level = self.levels.entry(new.rank).or_default();
        level.append(&mut self.entries, slot, new.weight.max(1));
        Ok(())
    }

    /// Puts a picked entry back at its old place.
    ///
    /// It goes before every entry of its rank that would have followed it. Only entries
    /// that provably did not start may be put back.
    pub fn requeue(&mut self, key: K, place: QueuePosition<C>) -> Result<()> {
        if self.contains(key) {
            return DuplicateSnafu.fail();
        }
        let slot = self.insert(Entry {
            key,
            customer: place.customer,
            rank: place.rank,
            cost_us: place.cost_us,
            start_by: place.start_by,
            arrival: place.arrival,
            position: Position::Requeued { start_tag: place.start_tag },
        });
        let level = self.levels.entry(place.rank).or_default();
        level.requeued.insert((place.start_tag, place.arrival, slot));
        level.work_us += u64::from(place.cost_us);
        Ok(())
    }

    /// Removes and returns the next entry for which `fits` holds.
    ///
    /// `fits` sees entries in scheduling order, at most [`CUSTOMER_LOOKAHEAD`] of each
    /// customer and [`RANK_LOOKAHEAD`] of each rank. A customer whose first entry does
    /// not fit gets the start for its next one that does. Expired entries are not
    /// skipped; remove them with [`Self::pop_expired`] first.
    pub fn pick(&mut self, mut fits: impl FnMut(K) -> bool) -> Option<Pick<K, C>> {
        let top_rank = self.waiting_ranks().next()?;
        let contended = self.waiting_ranks().nth(1).is_some();
        let mut passed_over = false;
        let slot = self.find(contended, &mut fits, &mut passed_over)?;
        let entry = self.entries[slot];
        let requeued = matches!(entry.position, Position::Requeued { .. });
        let reason = match () {
            () if requeued => PickReason::Requeued,
            () if passed_over => PickReason::Fit,
            () if entry.rank != top_rank => PickReason::Floor,
            () => PickReason::Order,
        };
        // A requeued entry was counted at its first start.
        if contended && !requeued {
            self.count_start(entry.rank);
        }
        let start_tag = self.remove(slot, Removal::Start);
        let position = QueuePosition {
            customer: entry.customer,
            rank: entry.rank,
            cost_us: entry.cost_us,
            start_by: entry.start_by,
            arrival: entry.arrival,
            start_tag,
        };
        Some(Pick { key: entry.key, reason, position })
    }

    /// Removes an entry without starting it and returns whether it was there.
    pub fn cancel(&mut self, key: K) -> bool {
        let Some(&slot) = self.index.get(&key) else {
            return false;
        };
        self.remove(slot, Removal::Cancel);
        true
    }

    /// Removes and returns an entry whose latest start lies before `now`.
    pub fn pop_expired(&mut self, now: Timestamp) -> Option<K> {
        let &(start_by, slot) = self.deadlines.first()?;
        if start_by >= now {
            return None;
        }
        let key = self.entries[slot].key;
        self.remove(slot, Removal::Cancel);
        Some(key)
    }

    /// Returns the earliest latest start among the entries, for setting a timer.
    pub fn next_expiry(&self) -> Option<Timestamp> {
        self.deadlines.first().map(|&(start_by, _)| start_by)
    }

    /// Adds an entry to the tables that do not depend on its place.
    fn insert(&mut self, entry: Entry<K, C>) -> EntryKey {
        let slot = self.entries.insert(entry);
        self.index.insert(entry.key, slot);
        self.deadlines.insert((entry.start_by, slot));
        slot
    }

    /// Removes an entry from all tables and returns its start tag.
    fn remove(&mut self, slot: EntryKey, removal: Removal) -> u64 {
        let entry = self.entries[slot];
        let start_tag = match self.levels.get_mut(&entry.rank) {
            Some(level) => level.remove(&mut self.entries, slot, removal),
            None => 0,
        };
        self.entries.remove(slot);
        self.index.remove(&entry.key);
        self.deadlines.remove(&(entry.start_by, slot));
        start_tag
    }

    /// Returns the ranks with waiting entries, highest first.
    fn waiting_ranks(&self) -> impl Iterator<Item = u8> {
        let waiting = self.levels.iter().filter(|(_, level)| level.is_waiting());
        waiting.map(|(&rank, _)| rank)
    }

    /// Finds the next entry that fits: first for the floors that are due, then by rank.
    fn find(
        &self,
        contended: bool,
        fits: &mut impl FnMut(K) -> bool,
        passed_over: &mut bool,
    ) -> Option<EntryKey> {
        let mut tried = None;
        while let Some((slack, rank)) = self.next_due(contended, tried) {
            let level = &self.levels[&rank];
            if let Some(slot) = level.find(&self.entries, fits, passed_over) {
                return Some(slot);
            }
            tried = Some((slack, rank));
        }
        let mut rest = self
            .levels
            .values()
            .filter(|level| !contended || level.due_slack().is_none());
        rest.find_map(|level| level.find(&self.entries, fits, passed_over))
    }

    /// Returns the due floor after `tried`, earliest deadline first.
    ///
    /// Earliest deadline first meets every floor whenever that is possible at all.
    fn next_due(&self, contended: bool, tried: Option<(u32, u8)>) -> Option<(u32, u8)> {
        if !contended {
            return None;
        }
        let due = self
            .levels
            .iter()
            .filter_map(|(&rank, level)| Some((level.due_slack()?, rank)));
        due.filter(|&key| tried.is_none_or(|tried| key > tried)).min()
    }

    /// Counts a start under contention for the floors of all waiting priorities.
    fn count_start(&mut self, started_rank: u8) {
        for (&rank, level) in &mut self.levels {
            if level.is_waiting() {
                level.floor.count(rank == started_rank);
            }
        }
    }
}
