//! The engine's representation of time.

use std::ops::Add;

/// A point in time on the monotonic clock of this instance, in milliseconds.
#[derive(Debug, Default, Copy, Clone, Eq, PartialEq, Ord, PartialOrd, Hash)]
pub struct Moment(pub u64);

impl Moment {
    /// Returns the milliseconds from `earlier` to this moment, or 0 if `earlier` is
    /// later.
    pub fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<u64> for Moment {
    type Output = Self;

    fn add(self, duration_ms: u64) -> Self {
        Self(self.0.saturating_add(duration_ms))
    }
}
