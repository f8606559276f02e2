//! Rate limits of what an instance sends.

use crate::time::Moment;

/// A token bucket: a rate, and how much may be sent at once after an idle period.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    /// The most tokens that can be saved up.
    burst: f64,
    /// The number of tokens that may be taken now.
    tokens: f64,
    /// When the tokens were last refilled.
    refilled_at: Moment,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub(crate) fn new(burst: f64) -> Self {
        Self { burst, tokens: burst, refilled_at: Moment::default() }
    }

    /// Adds the tokens for the time since the last refill.
    pub(crate) fn refill(&mut self, now: Moment, rate_per_s: f64) {
        let gained = now.since(self.refilled_at) as f64 * rate_per_s / 1_000.0;
        self.tokens = (self.tokens + gained).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Takes a token, and returns whether there was one.
    pub(crate) fn take(&mut self) -> bool {
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }

    /// Puts a token back.
    pub(crate) fn put_back(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.burst);
    }

    /// Returns when the next token may be taken.
    pub(crate) fn due(&self, rate_per_s: f64) -> Moment {
        let missing = (1.0 - self.tokens).max(0.0);
        self.refilled_at + (missing * 1_000.0 / rate_per_s.max(0.1)).ceil() as u64
    }
}
