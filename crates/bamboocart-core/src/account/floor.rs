//! The starts that floors reserve, and how far they were used.

use std::collections::BTreeMap;

use crate::config::VersionedSet;
use crate::id::ConfigVersion;
use crate::queue::FLOOR_WINDOW_STARTS;

/// The credit of one start; each counted start adds the percentage of the floor.
const CREDIT_PER_START: u32 = FLOOR_WINDOW_STARTS;

/// The floors of each known version of the configuration.
///
/// They come from the configuration stream and not from the account, so that an instance
/// cannot state its own.
#[derive(Debug, Clone, Default)]
pub struct Floors {
    /// The percentage of each rank by version.
    versions: BTreeMap<ConfigVersion, BTreeMap<u8, u8>>,
}

impl Floors {
    /// Adds the floors of a version.
    pub fn add(&mut self, in_force: &VersionedSet) {
        self.versions.entry(in_force.version).or_insert_with(|| {
            let priorities = in_force.set.priority.values();
            // The last one of a rank counts, as in the queue.
            priorities.map(|priority| (priority.rank, priority.floor_percent)).collect()
        });
    }

    /// Returns the percentage of a rank, or `None` if the version is not known.
    pub(super) fn percent(
        &self,
        version: Option<ConfigVersion>,
        rank: u8,
    ) -> Option<u32> {
        let floors = self.versions.get(&version?)?;
        Some(floors.get(&rank).copied().unwrap_or(0).min(100).into())
    }
}

/// The starts that the floor of one rank of a queue still allows.
///
/// The queue spreads the reserved starts over windows of starts. The entries do not show
/// where a window begins, so the credit may grow to the reserve of one window. No window
/// of the queue exceeds that, since a floor that could not be used is forgotten at its
/// end.
#[derive(Debug, Default)]
pub(super) struct FloorCredit {
    /// The percentage, unless it is unknown.
    percent: Option<u32>,
    /// The credit.
    credit: u32,
    /// Whether a percentage was looked up before.
    used: bool,
}

impl FloorCredit {
    /// Takes over the percentage in force; `complete` tells that all starts are known.
    pub(super) fn follow(&mut self, percent: Option<u32>, complete: bool) {
        if self.used && self.percent == percent {
            return;
        }
        let starts_fresh = !self.used && complete;
        self.credit = match percent {
            Some(percent) if starts_fresh => {
                largest_credit(percent).min(CREDIT_PER_START)
            }
            Some(percent) => largest_credit(percent),
            None => 0,
        };
        self.percent = percent;
        self.used = true;
    }

    /// Counts a start of the queue while the rank waits.
    pub(super) fn count(&mut self) {
        if let Some(percent) = self.percent {
            self.credit = (self.credit + percent).min(largest_credit(percent));
        }
    }

    /// Takes a start by the floor if it is allowed.
    pub(super) fn take(&mut self) -> Taken {
        match (self.percent, self.credit.checked_sub(CREDIT_PER_START)) {
            (None, _) => Taken::Unknown,
            (Some(percent), None) => Taken::Exceeds { percent },
            (Some(_), Some(rest)) => {
                self.credit = rest;
                Taken::Allowed
            }
        }
    }
}

/// Whether a start by a floor is allowed.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub(super) enum Taken {
    /// It is.
    Allowed,
    /// The floor has had its share.
    Exceeds {
        /// The percentage of the floor.
        percent: u32,
    },
    /// The floors in force are not known.
    Unknown,
}

/// Returns the reserve of one window and one start, with the percentage that the counting
/// of a start adds before it is taken.
fn largest_credit(percent: u32) -> u32 {
    match percent {
        0 => 0,
        _ => CREDIT_PER_START * (percent + 1) + percent,
    }
}
