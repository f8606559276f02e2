//! The place of a batch in the stream.

use super::verify::{StreamRecord, VerifySettings};
use crate::id::Incarnation;
use crate::time::{Timestamp, US_PER_MS};

/// Where a batch stands in the stream.
pub(super) struct Place<'a> {
    /// The record.
    pub(super) record: &'a StreamRecord<'a>,
    /// Whether the batch had no room for another entry.
    pub(super) is_full: bool,
    /// The offset and time of the stream's first record.
    pub(super) start: Option<(u64, u64)>,
    /// The tolerances.
    pub(super) settings: VerifySettings,
}

impl Place<'_> {
    /// Returns the append time.
    pub(super) fn appended(&self) -> Timestamp {
        Timestamp::from_ms(self.record.at_ms)
    }

    /// Returns the tolerance for comparisons with the log's clock.
    pub(super) fn tolerance_us(&self) -> u64 {
        self.settings.clock_tolerance_ms * US_PER_MS
    }

    /// Returns whether records from the start of an incarnation may have expired.
    pub(super) fn may_have_expired(&self, incarnation: Incarnation) -> bool {
        self.start.is_some_and(|(offset, at_ms)| {
            let started = Timestamp::from_us(incarnation.0);
            let oldest = Timestamp::from_ms(at_ms).plus_us(self.tolerance_us());
            offset > 0 && started < oldest
        })
    }
}
