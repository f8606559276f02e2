//! The tasks in a queue and their links to each other.

use slotmap::{SlotMap, new_key_type};

use crate::time::Timestamp;

new_key_type! {
    /// The key of an entry in the arena of its queue.
    pub(super) struct EntryKey;
}

/// A queued task.
#[derive(Debug, Copy, Clone)]
pub(super) struct Entry<K, C> {
    pub(super) key: K,
    pub(super) customer: C,
    pub(super) rank: u8,
    pub(super) cost_us: u32,
    pub(super) start_by: Timestamp,
    pub(super) arrival: u64,
    pub(super) link: Link,
}

/// The collection that holds an entry.
#[derive(Debug, Copy, Clone)]
pub(super) enum Link {
    /// The list of its customer, between the `previous` and the `next` entry.
    Flow { previous: Option<EntryKey>, next: Option<EntryKey> },
    /// The set of requeued entries, under the start tag of its first start.
    Requeued { start_tag: u64 },
}

/// The reason for removing an entry, which decides whether its customer is charged.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub(super) enum Removal {
    /// The entry starts, and its cost is charged to its customer.
    Start,
    /// The entry is cancelled or has expired, and nothing is charged.
    Cancel,
}

/// Sets the successor of an entry in its customer's list.
///
/// Does nothing without an entry or if the entry is a requeued one.
pub(super) fn set_next<K, C>(
    entries: &mut SlotMap<EntryKey, Entry<K, C>>,
    entry_key: Option<EntryKey>,
    value: Option<EntryKey>,
) {
    let entry = entry_key.and_then(|entry_key| entries.get_mut(entry_key));
    if let Some(Entry { link: Link::Flow { next, .. }, .. }) = entry {
        *next = value;
    }
}

/// Sets the predecessor of an entry in its customer's list.
///
/// Does nothing without an entry or if the entry is a requeued one.
pub(super) fn set_previous<K, C>(
    entries: &mut SlotMap<EntryKey, Entry<K, C>>,
    entry_key: Option<EntryKey>,
    value: Option<EntryKey>,
) {
    let entry = entry_key.and_then(|entry_key| entries.get_mut(entry_key));
    if let Some(Entry { link: Link::Flow { previous, .. }, .. }) = entry {
        *previous = value;
    }
}
