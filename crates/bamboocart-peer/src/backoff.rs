//! Exponential backoff between connection attempts.

use std::time::Duration;

use rand::Rng;

use crate::settings::LinkSettings;

/// Counts consecutive failures and computes the delay before the next attempt.
#[derive(Debug, Default)]
pub(crate) struct Backoff {
    /// The number of failures since the last acknowledged message.
    failures: u32,
}

impl Backoff {
    /// Resets the delay after a success.
    pub(crate) fn reset(&mut self) {
        self.failures = 0;
    }

    /// Counts a failure and returns the delay before the next attempt.
    ///
    /// The delay is drawn uniformly between half of the ceiling and the ceiling. The
    /// jitter keeps the peers of an instance from reconnecting all at once after a
    /// partition.
    pub(crate) fn next(&mut self, settings: &LinkSettings) -> Duration {
        let factor = 1u64 << self.failures.min(16);
        self.failures = self.failures.saturating_add(1);
        let ceiling = settings
            .initial_backoff_ms
            .saturating_mul(factor)
            .min(settings.max_backoff_ms);
        let delay_ms = rand::rng().random_range(ceiling / 2..=ceiling);
        Duration::from_millis(delay_ms)
    }
}
