//! Learned speeds of minions.

/// The weight of a new observation, against the mean of the earlier ones.
const WEIGHT: f64 = 0.12;

/// The weight of the first observations, which replace the assumption.
const FIRST_WEIGHT: f64 = 0.4;

/// The number of observations that use the weight of the first ones.
const FIRST_COUNT: u32 = 4;

/// The slowest and fastest pace that is believed.
const BOUNDS: (f64, f64) = (0.2, 8.0);

/// The run time of tasks on one minion over their estimate, as a geometric mean.
///
/// Estimates are off by large factors, so single observations weigh little.
#[derive(Debug, Default, Copy, Clone)]
pub(crate) struct Pace {
    /// The mean of the logarithms.
    log_mean: f64,
    /// The number of observations.
    count: u32,
}

impl Pace {
    /// Takes the run time of a task that ended well.
    pub(crate) fn observe(&mut self, run_ms: u64, estimate_ms: u64) {
        let ratio = run_ms.max(1) as f64 / estimate_ms.max(1) as f64;
        let log = ratio.clamp(BOUNDS.0, BOUNDS.1).ln();
        let weight = if self.count < FIRST_COUNT { FIRST_WEIGHT } else { WEIGHT };
        self.log_mean += weight * (log - self.log_mean);
        self.count = self.count.saturating_add(1);
    }

    /// Returns the expected run time over the estimate.
    pub(crate) fn ratio(&self) -> f64 {
        self.log_mean.exp()
    }
}
