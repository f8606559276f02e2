//! Checks that starts by a floor stay within the share that the floor reserves.

use std::collections::BTreeMap;

use crate::config::VersionedSet;
use crate::id::ConfigVersion;
use crate::queue::FLOOR_WINDOW_STARTS;

/// The credit that one start by a floor costs; each counted start of the queue earns the
/// percentage of the floor.
const CREDIT_PER_START: u32 = FLOOR_WINDOW_STARTS;

/// The floors of priorities in each known version of the configuration.
///
/// They are read from the configuration stream and not from the account, so that an
/// instance cannot claim floors of its own.
#[derive(Debug, Clone, Default)]
pub struct Floors {
    /// The percentage by version and rank.
    versions: BTreeMap<ConfigVersion, BTreeMap<u8, u8>>,
}

impl Floors {
    /// Adds the floors of a version; a version that is already known is ignored.
    pub fn add(&mut self, versioned: &VersionedSet) {
        self.versions.entry(versioned.version).or_insert_with(|| {
            let priorities = versioned.set.priority.values();
            // If several priorities have the same rank, the last one applies, as in the
            // queue.
            priorities.map(|priority| (priority.rank, priority.floor_percent)).collect()
        });
    }

    /// Returns the percentage of a rank, or `None` if the version is unknown.
    pub(super) fn percent(
        &self,
        version: Option<ConfigVersion>,
        rank: u8,
    ) -> Option<u32> {
        let floors = self.versions.get(&version?)?;
        Some(floors.get(&rank).copied().unwrap_or(0).min(100).into())
    }
}

/// The credit that the floor of one rank of a queue has for further starts.
///
/// The queue distributes the reserved starts over windows of starts. The entries do not
/// show where a window begins, so the credit may grow to the reserve of one window. The
/// queue never exceeds that, because the unused reserve of a window expires at its end.
#[derive(Debug, Default)]
pub(super) struct FloorCredit {
    /// The percentage in force, or `None` if it is unknown.
    percent: Option<u32>,
    /// The credit, in units of 1 / [`CREDIT_PER_START`] of a start.
    credit: u32,
    /// Whether `percent` was set before.
    initialized: bool,
}

impl FloorCredit {
    /// Sets the percentage in force; `complete` states that all earlier starts are known.
    pub(super) fn set_percent(&mut self, percent: Option<u32>, complete: bool) {
        if self.initialized && self.percent == percent {
            return;
        }
        let starts_fresh = !self.initialized && complete;
        self.credit = match percent {
            Some(percent) if starts_fresh => max_credit(percent).min(CREDIT_PER_START),
            Some(percent) => max_credit(percent),
            None => 0,
        };
        self.percent = percent;
        self.initialized = true;
    }

    /// Adds the credit for a start of the queue while a task of the rank waits.
    pub(super) fn add_credit(&mut self) {
        if let Some(percent) = self.percent {
            self.credit = (self.credit + percent).min(max_credit(percent));
        }
    }

    /// Uses the credit for a start by the floor, if there is enough.
    pub(super) fn use_start(&mut self) -> FloorUse {
        match (self.percent, self.credit.checked_sub(CREDIT_PER_START)) {
            (None, _) => FloorUse::Unknown,
            (Some(percent), None) => FloorUse::Exceeds { percent },
            (Some(_), Some(rest)) => {
                self.credit = rest;
                FloorUse::Allowed
            }
        }
    }
}

/// The result of checking a start by a floor.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub(super) enum FloorUse {
    /// The floor had enough credit.
    Allowed,
    /// The floor has used up its share.
    Exceeds {
        /// The percentage of the floor.
        percent: u32,
    },
    /// The version in force is not known, so that the start cannot be checked.
    Unknown,
}

/// Returns the maximum credit: the reserve of one window and one start, plus the
/// percentage that a start adds when it is counted, which happens before its cost is
/// subtracted.
fn max_credit(percent: u32) -> u32 {
    match percent {
        0 => 0,
        _ => CREDIT_PER_START * (percent + 1) + percent,
    }
}
