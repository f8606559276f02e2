//! The result of verification.

use std::collections::BTreeMap;

use serde::Serialize;

use super::batch::ChainHash;
use super::entry::StartReason;
use super::fault::Finding;
use crate::id::{CustomerName, Incarnation, InstanceName};
use crate::time::Timestamp;

/// What verification found.
#[derive(Debug, Default)]
pub struct VerifyReport {
    /// The faults in stream order, at most `MAX_FINDINGS`.
    pub findings: Vec<Finding>,
    /// The faults beyond the ones that are listed.
    pub omitted: u64,
    /// The incarnations by instance and start.
    pub incarnations: Vec<IncarnationSummary>,
}

impl VerifyReport {
    /// Returns whether no fault was found; gaps may still have hidden some.
    pub fn is_clean(&self) -> bool {
        self.findings.is_empty()
    }
}

/// What the account of one incarnation contains.
#[derive(Debug, Clone, Serialize)]
pub struct IncarnationSummary {
    /// The instance.
    pub instance: InstanceName,
    /// The run of its process.
    pub incarnation: Incarnation,
    /// The batches, without repeats.
    pub batches: u64,
    /// The repeats of batches, which are ignored.
    pub repeats: u64,
    /// The entries.
    pub entries: u64,
    /// The last entry's number.
    pub last_sequence: u64,
    /// The time of the first entry.
    pub first_at: Option<Timestamp>,
    /// The time of the last entry.
    pub last_at: Option<Timestamp>,
    /// The hash behind the last batch, to be kept elsewhere.
    pub head: ChainHash,
    /// Whether the account was ended by a planned stop.
    pub closed: bool,
    /// What is missing or late.
    pub gaps: Vec<GapReport>,
    /// The starts by reason.
    pub starts: StartTotals,
    /// The totals by customer.
    pub customers: BTreeMap<CustomerName, CustomerTotals>,
}

/// Entries that are missing or came late.
#[derive(Debug, Clone, Eq, PartialEq, Serialize)]
pub struct GapReport {
    /// Why.
    pub cause: GapCause,
    /// The first entry.
    pub first_sequence: u64,
    /// The last entry, if it is known.
    pub last_sequence: Option<u64>,
    /// The earliest time, if it is known.
    pub from: Option<Timestamp>,
    /// The latest time, if it is known.
    pub until: Option<Timestamp>,
}

/// Why entries are missing or came late.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum GapCause {
    /// The instance dropped them and says so.
    Dropped,
    /// The account has no end: the instance died or still runs.
    NotClosed,
    /// They are older than the oldest record.
    Expired,
    /// They were removed from the stream, which is also a finding.
    Missing,
    /// They are there, but were appended late, as after an outage of the log.
    Delayed,
}

/// Starts by reason.
#[derive(Debug, Clone, Default, Eq, PartialEq, Serialize)]
pub struct StartTotals {
    /// The starts of each reason.
    pub by_reason: BTreeMap<StartReason, u64>,
    /// The starts of tasks whose admission lies in a gap, so that nothing is checked.
    pub unchecked: u64,
    /// The starts by a floor whose share is not known.
    pub floor_unchecked: u64,
}

/// What one customer got.
#[derive(Debug, Copy, Clone, Default, Eq, PartialEq, Serialize)]
pub struct CustomerTotals {
    /// The tasks that were admitted.
    pub admitted_tasks: u64,
    /// The submissions that were refused.
    pub refused: u64,
    /// The tasks that were started, retries and hedges included.
    pub starts: u64,
    /// The submissions that were answered as complete.
    pub complete: u64,
    /// The submissions that were answered otherwise.
    #[serde(rename = "otherwise")]
    pub other_outcomes: u64,
}
