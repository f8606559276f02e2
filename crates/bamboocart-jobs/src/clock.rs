//! An estimate of a minion's clock.

use crate::time::Moment;

/// How much slower than ours a minion's clock may run, in thousandths.
const SLOWNESS_PERMILLE: i64 = 20;

/// The offset of a minion's steady clock against ours.
///
/// Each answer gives a lower bound, because the answer travelled after the clock was read.
/// The largest bound is kept, less what a slow clock may have lost since. An estimate that
/// is too low only shortens leases.
#[derive(Debug, Default, Copy, Clone)]
pub(crate) struct ClockEstimate {
    /// The offset and when it was taken.
    sample: Option<(i64, Moment)>,
}

impl ClockEstimate {
    /// Takes a reading that arrived at `now`.
    pub(crate) fn observe(&mut self, clock_ms: u64, now: Moment) {
        let offset = clock_ms as i64 - now.0 as i64;
        let kept = match self.sample {
            Some((old, at)) => {
                let lost = now.since(at) as i64 * SLOWNESS_PERMILLE / 1000;
                offset.max(old - lost)
            }
            None => offset,
        };
        self.sample = Some((kept, now));
    }

    /// Returns the minion's time at `now`, or nothing before the first reading.
    pub(crate) fn read(&self, now: Moment) -> Option<u64> {
        let (offset, at) = self.sample?;
        let lost = now.since(at) as i64 * SLOWNESS_PERMILLE / 1000;
        u64::try_from(now.0 as i64 + offset - lost).ok()
    }
}
