//! An estimate of a minion's clock.

use crate::time::Moment;

/// How much slower than ours a minion's clock may run, in thousandths.
const SLOWNESS_PERMILLE: i64 = 20;

/// The offset of a minion's steady clock against ours.
///
/// Each answer gives a lower bound, because the answer travelled after the clock was read.
/// The largest bound is kept, less what a slow clock may have lost since. An estimate that
/// is too low only shortens leases; one that is too high would prolong them beyond the time
/// by which other instances take the runs for gone.
#[derive(Debug, Default, Copy, Clone)]
pub(crate) struct ClockEstimate {
    /// The best sample.
    sample: Option<Sample>,
}

/// A reading of the minion's clock.
#[derive(Debug, Copy, Clone)]
struct Sample {
    /// The minion's clock less ours.
    offset_ms: i64,
    /// When it was taken.
    at: Moment,
}

impl Sample {
    /// Returns the least offset that is possible at `now`.
    ///
    /// What is lost counts from the reading on: over short steps it would be rounded away.
    fn least_offset_ms(self, now: Moment) -> i64 {
        let lost_permille = now.since(self.at) as i64 * SLOWNESS_PERMILLE;
        self.offset_ms - (lost_permille + 999) / 1_000
    }
}

impl ClockEstimate {
    /// Takes a reading that arrived at `now`.
    pub(crate) fn observe(&mut self, clock_ms: u64, now: Moment) {
        let fresh = Sample { offset_ms: clock_ms as i64 - now.0 as i64, at: now };
        let better = |known: &Sample| known.least_offset_ms(now) > fresh.offset_ms;
        self.sample = self.sample.filter(better).or(Some(fresh));
    }

    /// Returns the minion's time at `now`, or nothing before the first reading.
    pub(crate) fn read(&self, now: Moment) -> Option<u64> {
        let offset_ms = self.sample?.least_offset_ms(now);
        u64::try_from(now.0 as i64 + offset_ms).ok()
    }
}
