//! The history of all targets of a process, in memory.

use std::sync::Mutex;

use bamboocart_core::id::InstanceName;

use crate::clock;
use crate::history::{EventKind, HistoryPage, RunId, TargetEvent};

/// The largest number of events, which take about 500 MB; later ones are only counted.
const EVENTS_MAX: usize = 2_000_000;

/// Records events in one order.
#[derive(Debug, Default)]
pub struct Journal {
    /// The events.
    state: Mutex<State>,
}

/// The events and the count of those that were not kept.
#[derive(Debug, Default)]
struct State {
    /// The events.
    events: Vec<TargetEvent>,
    /// The number of events that were not kept.
    dropped: u64,
}

impl Journal {
    /// Records an event.
    pub fn record(&self, target: &InstanceName, what: EventKind, run: Option<&RunId>) {
        let mut state = self.state.lock().expect("no holder of the lock panics");
        if state.events.len() >= EVENTS_MAX {
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

    /// Returns events from a sequence on.
    pub fn page(&self, from: u64, limit: usize) -> HistoryPage {
        let state = self.state.lock().expect("no holder of the lock panics");
        let from = usize::try_from(from).unwrap_or(usize::MAX).min(state.events.len());
        let until = from.saturating_add(limit).min(state.events.len());
        let events = state.events[from..until].to_vec();
        HistoryPage { events, next: until as u64, dropped: state.dropped }
    }
}
