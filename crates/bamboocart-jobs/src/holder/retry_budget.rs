//! The budget for starts that are sent again because they were not answered.
//!
//! The load pattern is a link or a fleet that answers late: without a budget every call is
//! sent twice just when there is least room for it.

/// Number of repeats that a first send earns. Of all starts, a sixth are repeats at most.
const EARNED_PER_SEND: f64 = 0.2;

/// Maximum number of repeats that can be saved up, for a failure after a calm time.
const MAX_SAVED: f64 = 20.0;

/// A budget of repeats, as a share of first sends.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    /// The number of repeats that may be sent now.
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved: MAX_SAVED }
    }
}

impl RetryBudget {
    /// Records a first send.
    pub(crate) fn earn(&mut self) {
        self.saved = (self.saved + EARNED_PER_SEND).min(MAX_SAVED);
    }

    /// Takes a repeat out of the budget, and returns whether there was one.
    pub(crate) fn take(&mut self) -> bool {
        let allowed = self.saved >= 1.0;
        if allowed {
            self.saved -= 1.0;
        }
        allowed
    }
}
