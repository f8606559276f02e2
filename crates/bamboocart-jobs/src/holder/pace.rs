//! Learned ratios of actual to estimated run times.

/// Weight of a new observation in the moving average.
const WEIGHT: f64 = 0.12;

/// Weight of the first observations, which replace the initial assumption of 1.
const FIRST_WEIGHT: f64 = 0.4;

/// Number of observations to which [`FIRST_WEIGHT`] applies.
const FIRST_COUNT: u32 = 4;

/// Smallest and largest ratio of run time to estimate; observations are clamped to it.
const RATIO_BOUNDS: (f64, f64) = (0.2, 8.0);

/// Run time of tasks over their estimate, as an exponentially weighted geometric mean.
///
/// Clients' estimates are off by large factors, so single observations have a small
/// weight.
#[derive(Debug, Default, Copy, Clone)]
pub(crate) struct Pace {
    /// Moving average of the logarithms of the ratios.
    log_mean: f64,
    /// Number of observations so far.
    count: u32,
}

impl Pace {
    /// Adds the run time of a task that succeeded.
    pub(crate) fn observe(&mut self, run_ms: u64, estimate_ms: u64) {
        let ratio = run_ms.max(1) as f64 / estimate_ms.max(1) as f64;
        let log = ratio.clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1).ln();
        let weight = if self.count < FIRST_COUNT { FIRST_WEIGHT } else { WEIGHT };
        self.log_mean += weight * (log - self.log_mean);
        self.count = self.count.saturating_add(1);
    }

    /// Returns the expected ratio of run time to estimate; 1 without observations.
    pub(crate) fn ratio(&self) -> f64 {
        self.log_mean.exp()
    }
}
