//! The result of verification.

use std::collections::BTreeMap;

use serde::Serialize;

use super::batch::ChainHash;
use super::entry::StartReason;
use super::fault::Finding;
use crate::id::{CustomerName, Incarnation, InstanceName};
use crate::time::Timestamp;

/// The result of verifying an account.
#[derive(Debug, Default)]
pub struct VerifyReport {
    /// The faults in stream order, at most 10,000.
    pub findings: Vec<Finding>,
    /// The number of faults beyond those that are listed.
    pub omitted: u64,
    /// The summaries of all incarnations, sorted by instance and start.
    pub incarnations: Vec<IncarnationSummary>,
}

impl VerifyReport {
    /// Returns whether no fault was found; gaps may still hide some.
    pub fn is_clean(&self) -> bool {
        self.findings.is_empty()
    }
}

/// What the account of one incarnation contains.
#[derive(Debug, Clone, Serialize)]
pub struct IncarnationSummary {
    /// The instance that wrote the account.
    pub instance: InstanceName,
    /// The run of the instance's process.
    pub incarnation: Incarnation,
    /// The number of batches, without duplicates.
    pub batches: u64,
    /// The number of duplicate batches, which are ignored.
    pub repeats: u64,
    /// The number of entries.
    pub entries: u64,
    /// The sequence number of the last entry.
    pub last_sequence: u64,
    /// The time of the first entry, or `None` if there is no entry.
    pub first_at: Option<Timestamp>,
    /// The time of the last entry, or `None` if there is no entry.
    pub last_at: Option<Timestamp>,
    /// The hash of the last batch, which the operator should store elsewhere.
    pub head: ChainHash,
    /// Whether the account was ended by a planned stop of the instance.
    pub closed: bool,
    /// The ranges of entries that are missing or late.
    pub gaps: Vec<GapReport>,
    /// The numbers of starts by reason.
    pub starts: StartTotals,
    /// The totals by customer.
    pub customers: BTreeMap<CustomerName, CustomerTotals>,
}

/// A range of entries that are missing or were appended late.
#[derive(Debug, Clone, Eq, PartialEq, Serialize)]
pub struct GapReport {
    /// Why the entries are missing or late.
    pub cause: GapCause,
    /// The sequence number of the first entry.
    pub first_sequence: u64,
    /// The sequence number of the last entry, if known.
    pub last_sequence: Option<u64>,
    /// The time from which entries may be missing or are late, if known.
    pub from: Option<Timestamp>,
    /// The time until which entries may be missing or were late, if known.
    pub until: Option<Timestamp>,
}

/// Why entries are missing or late.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum GapCause {
    /// The instance dropped them and recorded the gap.
    Dropped,
    /// The account was not closed: the instance crashed or is still running.
    NotClosed,
    /// They are older than the oldest record that the log still has.
    Expired,
    /// They were removed from the stream, which is also reported as a fault.
    Missing,
    /// They are present but were appended late, for example after an outage of the log.
    Delayed,
}

/// The numbers of starts of one incarnation.
#[derive(Debug, Clone, Default, Eq, PartialEq, Serialize)]
pub struct StartTotals {
    /// The number of starts by reason.
    pub by_reason: BTreeMap<StartReason, u64>,
    /// The starts that could not be checked because the admission is in a gap.
    pub unchecked: u64,
    /// The starts by a floor that could not be checked because its share is unknown.
    pub floor_unchecked: u64,
}

/// The totals of one customer in an incarnation.
#[derive(Debug, Copy, Clone, Default, Eq, PartialEq, Serialize)]
pub struct CustomerTotals {
    /// The number of admitted tasks.
    pub admitted_tasks: u64,
    /// The number of refused submissions.
    pub refused: u64,
    /// The number of starts, including retries and hedges.
    pub starts: u64,
    /// The number of submissions that were answered as complete.
    pub complete: u64,
    /// The number of submissions that were answered with any other outcome.
    #[serde(rename = "otherwise")]
    pub other_outcomes: u64,
}
