//! Delays between attempts to connect.

use std::time::Duration;

use rand::Rng;

use crate::settings::LinkSettings;

/// Counts failures and spreads the next attempt over time.
#[derive(Debug, Default)]
pub(crate) struct Backoff {
    /// The failures since the last acknowledged message.
    failures: u32,
}

impl Backoff {
    /// Forgets earlier failures.
    pub(crate) fn reset(&mut self) {
        self.failures = 0;
    }

    /// Counts a failure and returns the delay before the next attempt.
    ///
    /// The delay is random between half of its ceiling and the ceiling, so that the peers
    /// of an instance do not reconnect at the same moment after a partition.
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
