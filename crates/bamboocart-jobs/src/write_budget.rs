//! Rate limit of an instance's writes to the store.

use crate::time::Moment;

/// Maximum number of appends that may be sent at once after an idle period.
const BURST_APPENDS: f64 = 8.0;

/// A token bucket for appends.
///
/// While tokens are left, a record is written at once. Without tokens, records are
/// queued, and one append takes all of them. All instances together stay below the
/// store's write rate.
#[derive(Debug)]
pub(crate) struct WriteBudget {
    /// The number of appends that may be sent now.
    tokens: f64,
    /// When the tokens were last refilled.
    refilled_at: Moment,
}

impl Default for WriteBudget {
    fn default() -> Self {
        Self { tokens: BURST_APPENDS, refilled_at: Moment::default() }
    }
}

impl WriteBudget {
    /// Adds the tokens for the time since the last refill.
    pub(crate) fn refill(&mut self, now: Moment, rate_per_s: f64) {
        let gained = now.since(self.refilled_at) as f64 * rate_per_s / 1_000.0;
        self.tokens = (self.tokens + gained).min(BURST_APPENDS);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Takes a token for one append, and returns whether there was one.
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
        self.refilled_at + (missing * 1_000.0 / rate_per_s.max(0.1)).ceil() as u64
    }
}
