//! Estimates of the clocks of minions.

use crate::time::Moment;

/// How much slower than the local clock a minion's clock may run, in thousandths.
const MAX_DRIFT_PERMILLE: i64 = 20;

/// An estimate of the offset of a minion's steady clock from the local one.
///
/// Each answer gives a lower bound, because the answer travelled after the clock was
/// read. The largest bound is kept, less the drift of a slow clock since. An estimate
/// that is too low only shortens leases; one that is too high would extend them beyond
/// the time at which other instances consider the runs gone.
#[derive(Debug, Default, Copy, Clone)]
pub(crate) struct ClockEstimate {
    /// The sample with the largest bound.
    sample: Option<Sample>,
}

/// A reading of the minion's clock.
#[derive(Debug, Copy, Clone)]
struct Sample {
    /// The minion's clock minus the local one.
    offset_ms: i64,
    /// When the reading arrived, on the local clock.
    at: Moment,
}

impl Sample {
    /// Returns the smallest offset that is possible at `now`.
    ///
    /// The drift is computed from the reading on: summed over short steps it would be
    /// lost to rounding.
    fn min_offset_ms(self, now: Moment) -> i64 {
        let drift_us = now.since(self.at) as i64 * MAX_DRIFT_PERMILLE;
        self.offset_ms - (drift_us + 999) / 1_000
    }
}

impl ClockEstimate {
    /// Records a reading that arrived at `now`, if its bound is the largest.
    pub(crate) fn observe(&mut self, clock_ms: u64, now: Moment) {
        let fresh = Sample { offset_ms: clock_ms as i64 - now.0 as i64, at: now };
        let better = |known: &Sample| known.min_offset_ms(now) > fresh.offset_ms;
        self.sample = self.sample.filter(better).or(Some(fresh));
    }

    /// Returns the minion's time at `now`, or none before the first reading.
    pub(crate) fn read(&self, now: Moment) -> Option<u64> {
        let offset_ms = self.sample?.min_offset_ms(now);
        u64::try_from(now.0 as i64 + offset_ms).ok()
    }
}
