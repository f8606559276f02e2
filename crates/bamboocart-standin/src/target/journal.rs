//! The history of all targets of a process, in memory.

use std::sync::Mutex;

use bamboocart_core::id::InstanceName;

use crate::clock;
use crate::history::{EventKind, HistoryPage, RunId, TargetEvent};

/// The largest number of kept events, about 500 MB; later ones are only counted.
const MAX_EVENTS: usize = 2_000_000;

/// Records the events of all targets in a single order.
#[derive(Debug, Default)]
pub struct Journal {
    state: Mutex<State>,
}

/// The kept events and the number of those that were not kept.
#[derive(Debug, Default)]
struct State {
    events: Vec<TargetEvent>,
    /// The number of events that were not kept.
    dropped: u64,
}

impl Journal {
    /// Records an event of a target, and the run that it is about, if any.
    pub fn record(&self, target: &InstanceName, what: EventKind, run: Option<&RunId>) {
        let mut state = self.state.lock().expect("no holder of the lock panics");
        if state.events.len() >= MAX_EVENTS {
            state.dropped += 1;
            return;
        }
        let event = TargetEvent {
            sequence: state.events.len() as u64,
            at_us: clock::now(),
            target: target.clone(),
            kind: what,
            run: run.cloned(),
        };
        state.events.push(event);
    }

    /// Returns at most `limit` events, from the sequence number `from` on.
    pub fn page(&self, from: u64, limit: usize) -> HistoryPage {
        let state = self.state.lock().expect("no holder of the lock panics");
        let from = usize::try_from(from).unwrap_or(usize::MAX).min(state.events.len());
        let until = from.saturating_add(limit).min(state.events.len());
        let events = state.events[from..until].to_vec();
        HistoryPage { events, next: until as u64, dropped: state.dropped }
    }
}
