//! Checks a recorded history for violated invariants.

use std::collections::HashSet;

use bamboocart_core::id::KindName;

use super::answers;
use super::call::CallRecord;
use super::event::TargetEvent;
use super::index::Index;
use super::starts;
use super::violation::Violation;

/// The records of one run, at the targets and at the callers.
#[derive(Debug, Clone, Default)]
pub struct History {
    /// The events at all targets; those of one process are in its order.
    pub events: Vec<TargetEvent>,
    /// The number of events that were lost because a process had no room for them.
    pub dropped: u64,
    /// The calls of all callers with their answers.
    pub calls: Vec<CallRecord>,
}

/// The repeated starts that the configuration of the run permits.
#[derive(Debug, Clone, Default)]
pub struct Policy {
    /// The request kinds that may be resent or hedged, under different attempt numbers.
    pub repeatable: HashSet<KindName>,
}

/// Returns every violation in a history, of which there are none in a correct run.
pub fn check(history: &History, policy: &Policy) -> Vec<Violation> {
    let index = Index::new(&history.events);
    let mut found = Vec::new();
    if history.dropped > 0 {
        found.push(Violation::IncompleteHistory { dropped: history.dropped });
    }
    found.extend(starts::started_twice(history, &index, policy));
    found.extend(starts::started_while_leaving(&history.events));
    found.extend(answers::not_run_but_started(&history.calls, &index));
    found.extend(answers::wrong_answers(&history.calls, &index));
    found
}
