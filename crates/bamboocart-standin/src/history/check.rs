//! The checker of recorded histories.

use std::collections::HashSet;

use bamboocart_core::id::KindName;

use super::answers;
use super::event::TargetEvent;
use super::index::Index;
use super::send::CallRecord;
use super::starts;
use super::violation::Violation;

/// What was recorded in a run.
#[derive(Debug, Clone, Default)]
pub struct History {
    /// The events at all targets, in the order of each process.
    pub events: Vec<TargetEvent>,
    /// The number of events that were not kept.
    pub dropped: u64,
    /// The calls of all callers.
    pub calls: Vec<CallRecord>,
}

/// What the configuration of the run allows.
#[derive(Debug, Clone, Default)]
pub struct Policy {
    /// The request kinds that may be resent or hedged, under different attempt numbers.
    pub repeatable: HashSet<KindName>,
}

/// Returns every violation in a history.
pub fn check(evidence: &History, policy: &Policy) -> Vec<Violation> {
    let index = Index::new(&evidence.events);
    let mut found = Vec::new();
    if evidence.dropped > 0 {
        found.push(Violation::IncompleteHistory { dropped: evidence.dropped });
    }
    found.extend(starts::started_twice(evidence, &index, policy));
    found.extend(starts::started_while_leaving(&evidence.events));
    found.extend(answers::not_run_but_started(&evidence.calls, &index));
    found.extend(answers::wrong_answers(&evidence.calls, &index));
    found
}
