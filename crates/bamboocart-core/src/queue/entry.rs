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
    pub(super) position: Position,
}

/// Where an entry is linked.
#[derive(Debug, Copy, Clone)]
pub(super) enum Position {
    /// In the list of its customer.
    Flow { previous: Option<EntryKey>, next: Option<EntryKey> },
    /// Among the requeued entries, with the start tag of its first start.
    Requeued { start_tag: u64 },
}

/// Why an entry is removed.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub(super) enum Removal {
    /// It starts and is charged to its customer.
    Start,
    /// It does not start.
    Cancel,
}

/// Sets the successor of an entry in its customer's list.
pub(super) fn set_next<K, C>(
    entries: &mut SlotMap<EntryKey, Entry<K, C>>,
    slot: Option<EntryKey>,
    value: Option<EntryKey>,
) {
    let entry = slot.and_then(|slot| entries.get_mut(slot));
    if let Some(Entry { position: Position::Flow { next, .. }, .. }) = entry {
        *next = value;
    }
}

/// Sets the predecessor of an entry in its customer's list.
pub(super) fn set_previous<K, C>(
    entries: &mut SlotMap<EntryKey, Entry<K, C>>,
    slot: Option<EntryKey>,
    value: Option<EntryKey>,
) {
    let entry = slot.and_then(|slot| entries.get_mut(slot));
    if let Some(Entry { position: Position::Flow { previous, .. }, .. }) = entry {
        *previous = value;
    }
}
