//! The position of a batch in the stream.

use super::verify::{StreamRecord, VerifySettings};
use crate::id::Incarnation;
use crate::time::{Timestamp, US_PER_MS};

/// The record of a batch, and what the checks need to know about the stream.
pub(super) struct BatchPosition<'a> {
    /// The record that contains the batch.
    pub(super) record: &'a StreamRecord<'a>,
    /// Whether the batch had no space left for another entry.
    pub(super) is_full: bool,
    /// The offset and the append time (ms) of the first record that was read.
    pub(super) stream_start: Option<(u64, u64)>,
    pub(super) settings: VerifySettings,
}

impl BatchPosition<'_> {
    /// Returns when the record was appended, by the log's clock.
    pub(super) fn appended(&self) -> Timestamp {
        Timestamp::from_ms(self.record.at_ms)
    }

    /// Returns the tolerance for comparing the clocks of the instance and the log.
    pub(super) fn tolerance_us(&self) -> u64 {
        self.settings.clock_tolerance_ms * US_PER_MS
    }

    /// Returns whether the first records of an incarnation may have expired.
    pub(super) fn may_have_expired(&self, incarnation: Incarnation) -> bool {
        self.stream_start.is_some_and(|(offset, at_ms)| {
            let started = Timestamp::from_us(incarnation.0);
            let oldest = Timestamp::from_ms(at_ms).plus_us(self.tolerance_us());
            offset > 0 && started < oldest
        })
    }
}
