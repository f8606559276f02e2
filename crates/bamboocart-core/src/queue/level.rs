//! The entries of one rank in their order.

use std::collections::{BTreeMap, BTreeSet};

use slotmap::SlotMap;

use super::entry::{Entry, EntryKey, Position, Removal, set_next, set_previous};
use super::floor::Floor;
use super::{CUSTOMER_LOOKAHEAD, RANK_LOOKAHEAD};

/// The virtual time that one microsecond costs a customer of weight 1.
///
/// The factor keeps the fraction when the cost is divided by the weight. At 10,000 starts
/// of 100 ms each second, a `u64` of virtual time lasts for two years.
const VIRTUAL_UNITS_PER_US: u64 = 256;

/// The entries of one rank.
#[derive(Debug, Clone)]
pub(super) struct Level<C> {
    /// The largest start tag that was served.
    virtual_time: u64,
    /// The customers, including those that have nothing waiting.
    flows: BTreeMap<C, Flow>,
    /// The start tag and the arrival of the first entry of each waiting customer.
    waiting: BTreeSet<(u64, u64, C)>,
    /// The start tag and the arrival of each requeued entry.
    pub(super) requeued: BTreeSet<(u64, u64, EntryKey)>,
    /// The expected run time of all entries.
    pub(super) work_us: u64,
    /// The share of starts that is reserved for the rank.
    pub(super) floor: Floor,
}

impl<C> Default for Level<C> {
    fn default() -> Self {
        Self {
            virtual_time: 0,
            flows: BTreeMap::new(),
            waiting: BTreeSet::new(),
            requeued: BTreeSet::new(),
            work_us: 0,
            floor: Floor::default(),
        }
    }
}

/// The entries of one customer in one rank, in order of arrival.
#[derive(Debug, Clone)]
struct Flow {
    ends: Option<(EntryKey, EntryKey)>,
    /// The start tag of the next start.
    start_tag: u64,
    weight: u32,
}

impl<C: Copy + Ord> Level<C> {
    /// Returns whether any entry waits.
    pub(super) fn is_waiting(&self) -> bool {
        !self.waiting.is_empty() || !self.requeued.is_empty()
    }

    /// Returns how many starts may still pass before the floor is missed, if it is due.
    pub(super) fn due_slack(&self) -> Option<u32> {
        self.floor.due_slack().filter(|_| self.is_waiting())
    }

    /// Links a new entry behind those of its customer.
    pub(super) fn append<K: Copy>(
        &mut self,
        entries: &mut SlotMap<EntryKey, Entry<K, C>>,
        slot: EntryKey,
        weight: u32,
    ) {
        let Entry { customer, cost_us, arrival, .. } = entries[slot];
        self.work_us += u64::from(cost_us);
        let idle = Flow { ends: None, start_tag: self.virtual_time, weight };
        let flow = self.flows.entry(customer).or_insert(idle);
        flow.weight = weight;
        let Some((head, tail)) = flow.ends else {
            flow.ends = Some((slot, slot));
            flow.start_tag = flow.start_tag.max(self.virtual_time);
            self.waiting.insert((flow.start_tag, arrival, customer));
            return;
        };
        flow.ends = Some((head, slot));
        set_next(entries, Some(tail), Some(slot));
        set_previous(entries, Some(slot), Some(tail));
    }

    /// Unlinks an entry and returns its start tag.
    pub(super) fn remove<K: Copy>(
        &mut self,
        entries: &mut SlotMap<EntryKey, Entry<K, C>>,
        slot: EntryKey,
        removal: Removal,
    ) -> u64 {
        let entry = entries[slot];
        self.work_us -= u64::from(entry.cost_us);
        let start_tag = match entry.position {
            Position::Requeued { start_tag } => {
                self.requeued.remove(&(start_tag, entry.arrival, slot));
                start_tag
            }
            Position::Flow { previous, next } => {
                self.unlink(entries, &entry, (previous, next), removal)
            }
        };
        // Shares count only while entries wait. Every start tag that was served is at
        // most the virtual time, so the next customers start equal and after requeued
        // entries.
        if !self.is_waiting() {
            self.flows.clear();
        }
        start_tag
    }

    /// Takes an entry out of its customer's list and charges the customer for a start.
    fn unlink<K: Copy>(
        &mut self,
        entries: &mut SlotMap<EntryKey, Entry<K, C>>,
        entry: &Entry<K, C>,
        (previous, next): (Option<EntryKey>, Option<EntryKey>),
        removal: Removal,
    ) -> u64 {
        let Some(flow) = self.flows.get_mut(&entry.customer) else {
            return self.virtual_time;
        };
        let start_tag = flow.start_tag;
        if let Some((head, tail)) = flow.ends {
            self.waiting.remove(&(start_tag, entries[head].arrival, entry.customer));
            let head = if previous.is_none() { next } else { Some(head) };
            let tail = if next.is_none() { previous } else { Some(tail) };
            flow.ends = head.zip(tail);
        }
        set_next(entries, previous, next);
        set_previous(entries, next, previous);
        if removal == Removal::Start {
            flow.start_tag = start_tag.saturating_add(flow.charge(entry.cost_us));
            self.virtual_time = self.virtual_time.max(start_tag);
        }
        if let Some((head, _)) = flow.ends {
            let arrival = entries[head].arrival;
            self.waiting.insert((flow.start_tag, arrival, entry.customer));
        }
        start_tag
    }

    /// Finds the first entry that fits and notes whether one before it did not.
    pub(super) fn find<K: Copy>(
        &self,
        entries: &SlotMap<EntryKey, Entry<K, C>>,
        fits: &mut impl FnMut(K) -> bool,
        passed_over: &mut bool,
    ) -> Option<EntryKey> {
        let mut looked = 0;
        for (first, lookahead) in self.candidates() {
            let mut next = Some(first);
            for _ in 0..lookahead {
                let Some(slot) = next else { break };
                let entry = &entries[slot];
                if fits(entry.key) {
                    return Some(slot);
                }
                *passed_over = true;
                looked += 1;
                if looked >= RANK_LOOKAHEAD {
                    return None;
                }
                next = match entry.position {
                    Position::Flow { next, .. } => next,
                    Position::Requeued { .. } => None,
                };
            }
        }
        None
    }

    /// Returns the requeued entries and the first entry of each customer in order, each
    /// with the number of entries to look at from there.
    fn candidates(&self) -> impl Iterator<Item = (EntryKey, usize)> {
        let mut requeued = self.requeued.iter().peekable();
        let mut waiting = self.waiting.iter().peekable();
        std::iter::from_fn(move || {
            let requeued_first = match (requeued.peek(), waiting.peek()) {
                (Some(a), Some(b)) => (a.0, a.1) < (b.0, b.1),
                (Some(_), None) => true,
                (None, _) => false,
            };
            if requeued_first {
                return requeued.next().map(|&(_, _, slot)| (slot, 1));
            }
            let &(_, _, customer) = waiting.next()?;
            let (head, _) = self.flows[&customer].ends?;
            Some((head, CUSTOMER_LOOKAHEAD))
        })
    }
}

impl Flow {
    /// Returns the virtual time that a start costs; it is never free.
    fn charge(&self, cost_us: u32) -> u64 {
        let units = u64::from(cost_us) * VIRTUAL_UNITS_PER_US;
        (units / u64::from(self.weight)).max(1)
    }
}
