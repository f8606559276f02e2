//! Timestamps, which the core receives as arguments instead of reading a clock.

use serde::{Deserialize, Serialize};

/// Microseconds in a millisecond.
pub const US_PER_MS: u64 = 1_000;

/// A point in time in microseconds since the Unix epoch.
#[derive(
    Debug,
    Copy,
    Clone,
    Eq,
    PartialEq,
    Ord,
    PartialOrd,
    Hash,
    Default,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Timestamp(u64);

impl Timestamp {
    /// Creates a point in time from microseconds since the Unix epoch.
    pub const fn from_us(us: u64) -> Self {
        Self(us)
    }

    /// Creates a point in time from milliseconds since the Unix epoch.
    pub const fn from_ms(ms: u64) -> Self {
        Self(ms.saturating_mul(US_PER_MS))
    }

    /// Returns the microseconds since the Unix epoch.
    pub const fn as_us(self) -> u64 {
        self.0
    }

    /// Returns the whole milliseconds since the Unix epoch.
    pub const fn as_ms(self) -> u64 {
        self.0 / US_PER_MS
    }

    /// Returns the point that lies `ms` milliseconds later, or the last one
    /// representable.
    pub const fn plus_ms(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms.saturating_mul(US_PER_MS)))
    }

    /// Returns the point that lies `us` microseconds later, or the last one
    /// representable.
    pub const fn plus_us(self, us: u64) -> Self {
        Self(self.0.saturating_add(us))
    }

    /// Returns the microseconds from `earlier` to this point, or 0 if it is later.
    pub const fn us_since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the whole milliseconds from `earlier` to this point, or 0 if it is later.
    pub const fn ms_since(self, earlier: Self) -> u64 {
        self.us_since(earlier) / US_PER_MS
    }
}
