//! The share of the store's writes that an instance may use.

use crate::time::Moment;

/// The appends that may be sent at once after a pause.
const BURST: f64 = 8.0;

/// A token bucket for appends.
///
/// With tokens left, a record is written at once; without, records gather, and one append
/// takes all of them. All instances together stay below the rate of the store.
#[derive(Debug)]
pub(crate) struct WriteBudget {
    /// The appends that may be sent now.
    tokens: f64,
    /// When the tokens were counted.
    at: Moment,
}

impl Default for WriteBudget {
    fn default() -> Self {
        Self { tokens: BURST, at: Moment::default() }
    }
}

impl WriteBudget {
    /// Adds the tokens of the time that has passed.
    pub(crate) fn refill(&mut self, now: Moment, rate_per_s: f64) {
        let gained = now.since(self.at) as f64 * rate_per_s / 1_000.0;
        self.tokens = (self.tokens + gained).min(BURST);
        self.at = self.at.max(now);
    }

    /// Takes the token of one append, if there is one.
    pub(crate) fn take(&mut self) -> bool {
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }

    /// Returns when the next append may be sent.
    pub(crate) fn due(&self, rate_per_s: f64) -> Moment {
        let missing = (1.0 - self.tokens).max(0.0);
        self.at + (missing * 1_000.0 / rate_per_s.max(0.1)).ceil() as u64
    }
}
