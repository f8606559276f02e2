//! The entries of one priority rank in scheduling order.

use std::collections::{BTreeMap, BTreeSet};

use slotmap::SlotMap;

use super::entry::{Entry, EntryKey, Link, Removal, set_next, set_previous};
use super::floor::Floor;
use super::{CUSTOMER_LOOKAHEAD, RANK_LOOKAHEAD};

/// The virtual time that one microsecond of run time costs a customer of weight 1.
///
/// The factor preserves a fractional part when the cost is divided by the weight. At
/// 10,000 starts of 100 ms each per second, virtual time overflows a `u64` only after two
/// years.
const VIRTUAL_UNITS_PER_US: u64 = 256;

/// The entries of one rank, ordered by start-time fair queueing between customers.
#[derive(Debug, Clone)]
pub(super) struct Level<C> {
    /// The largest start tag among the entries that were started.
    virtual_time: u64,
    /// The flows of all customers, including those without waiting entries.
    flows: BTreeMap<C, Flow>,
    /// The start tag and the arrival of the first entry of each customer that has one.
    waiting: BTreeSet<(u64, u64, C)>,
    /// The requeued entries by start tag and arrival.
    pub(super) requeued: BTreeSet<(u64, u64, EntryKey)>,
    /// The sum of the expected run times of all entries.
    pub(super) work_us: u64,
    /// The minimum share of starts that is reserved for the rank.
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
    /// The first and the last waiting entry, if there is any.
    ends: Option<(EntryKey, EntryKey)>,
    /// The start tag of the first waiting entry, or of the next one to arrive.
    start_tag: u64,
    weight: u32,
}

impl<C: Copy + Ord> Level<C> {
    /// Reports whether any entry is waiting, requeued ones included.
    pub(super) fn is_waiting(&self) -> bool {
        !self.waiting.is_empty() || !self.requeued.is_empty()
    }

    /// Returns the slack of the floor, or `None` if it is not due or nothing is waiting.
    pub(super) fn due_slack(&self) -> Option<u32> {
        self.floor.due_slack().filter(|_| self.is_waiting())
    }

    /// Appends a new entry to the list of its customer and updates the customer's weight.
    pub(super) fn append<K: Copy>(
        &mut self,
        entries: &mut SlotMap<EntryKey, Entry<K, C>>,
        entry_key: EntryKey,
        weight: u32,
    ) {
        let Entry { customer, cost_us, arrival, .. } = entries[entry_key];
        self.work_us += u64::from(cost_us);
        let idle = Flow { ends: None, start_tag: self.virtual_time, weight };
        let flow = self.flows.entry(customer).or_insert(idle);
        flow.weight = weight;
        let Some((head, tail)) = flow.ends else {
            flow.ends = Some((entry_key, entry_key));
            flow.start_tag = flow.start_tag.max(self.virtual_time);
            self.waiting.insert((flow.start_tag, arrival, customer));
            return;
        };
        flow.ends = Some((head, entry_key));
        set_next(entries, Some(tail), Some(entry_key));
        set_previous(entries, Some(entry_key), Some(tail));
    }

    /// Removes an entry and returns its start tag.
    pub(super) fn remove<K: Copy>(
        &mut self,
        entries: &mut SlotMap<EntryKey, Entry<K, C>>,
        entry_key: EntryKey,
        removal: Removal,
    ) -> u64 {
        let entry = entries[entry_key];
        self.work_us -= u64::from(entry.cost_us);
        let start_tag = match entry.link {
            Link::Requeued { start_tag } => {
                self.requeued.remove(&(start_tag, entry.arrival, entry_key));
                start_tag
            }
            Link::Flow { previous, next } => {
                self.unlink(entries, &entry, (previous, next), removal)
            }
        };
        // Fair shares apply only while entries are waiting, so an empty rank forgets what
        // its customers used. Every start tag that was served is at most the virtual
        // time, so the next customers begin with equal tags, which sort after those of
        // requeued entries.
        if !self.is_waiting() {
            self.flows.clear();
        }
        start_tag
    }

    /// Removes an entry from its customer's list and charges the customer if it starts.
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

    /// Finds the first entry that fits.
    ///
    /// `passed_over` becomes true if an entry before it does not fit.
    pub(super) fn find<K: Copy>(
        &self,
        entries: &SlotMap<EntryKey, Entry<K, C>>,
        fits: &mut impl FnMut(K) -> bool,
        passed_over: &mut bool,
    ) -> Option<EntryKey> {
        let mut tried_count = 0;
        for (first, lookahead) in self.candidates() {
            let mut next = Some(first);
            for _ in 0..lookahead {
                let Some(entry_key) = next else { break };
                let entry = &entries[entry_key];
                if fits(entry.key) {
                    return Some(entry_key);
                }
                *passed_over = true;
                tried_count += 1;
                if tried_count >= RANK_LOOKAHEAD {
                    return None;
                }
                next = match entry.link {
                    Link::Flow { next, .. } => next,
                    Link::Requeued { .. } => None,
                };
            }
        }
        None
    }

    /// Returns the requeued entries and the first entry of each customer in scheduling
    /// order, each with the number of entries to try from there.
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
                return requeued.next().map(|&(_, _, entry_key)| (entry_key, 1));
            }
            let &(_, _, customer) = waiting.next()?;
            let (head, _) = self.flows[&customer].ends?;
            Some((head, CUSTOMER_LOOKAHEAD))
        })
    }
}

impl Flow {
    /// Returns the virtual time that a start costs, which is at least 1.
    fn charge(&self, cost_us: u32) -> u64 {
        let units = u64::from(cost_us) * VIRTUAL_UNITS_PER_US;
        (units / u64::from(self.weight)).max(1)
    }
}
