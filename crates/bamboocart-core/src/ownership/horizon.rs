//! The horizon: how far ahead of the present an instance claims ranges of caller keys.

use snafu::Snafu;

/// The shortest horizon, which leaves 6 s between the renewal of a claim and its
/// takeover.
///
/// An instance appends claims at most every 5 s, so a shorter horizon would leave it no
/// second attempt before others take its ranges over.
const MIN_MS: u64 = 15_000;

/// The longest horizon, which leaves 80 s of clock skew until the bound that readers of
/// the log put on claims.
const MAX_MS: u64 = 200_000;

/// How far a claim reaches ahead of the present when it is made, and the remaining times
/// at which instances act on it.
///
/// The remaining times are fractions of the horizon. Instances with different horizons
/// agree on every owner, because ownership follows from the claims alone.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub struct Horizon(u64);

impl Horizon {
    /// Creates a horizon of this length, which must be 15 s to 200 s.
    pub fn new(ms: u64) -> Result<Self, HorizonError> {
        match (MIN_MS..=MAX_MS).contains(&ms) {
            true => Ok(Self(ms)),
            false => Err(HorizonError),
        }
    }

    /// Returns the length in milliseconds.
    pub const fn ms(self) -> u64 {
        self.0
    }

    /// Returns the remaining time of a claim below which its holder renews it.
    pub const fn renew_at_ms(self) -> u64 {
        self.0 / 3 * 2
    }

    /// Returns the remaining time below which the instance that a range is assigned to
    /// takes it over from another holder.
    ///
    /// A holder that is alive and can reach the log has renewed its claim long before.
    pub const fn take_over_at_ms(self) -> u64 {
        self.0 / 4
    }

    /// Returns the remaining time below which a holder renews its claim although the
    /// range is assigned to another instance, because that instance has not acted.
    pub const fn keep_at_ms(self) -> u64 {
        self.0 / 12
    }

    /// Returns the remaining time below which any instance takes a range over, because
    /// neither its holder nor the instance that it is assigned to has acted.
    pub const fn abandoned_at_ms(self) -> u64 {
        self.0 / 24
    }

    /// Returns the granularity of the ends of claims, so that ranges are renewed
    /// together.
    pub const fn grid_ms(self) -> u64 {
        self.0 / 12
    }
}

impl Default for Horizon {
    fn default() -> Self {
        Self(120_000)
    }
}

/// The error for a horizon that is too short or too long.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Snafu)]
#[snafu(display("the claim horizon must be {MIN_MS} to {MAX_MS} ms"))]
pub struct HorizonError;
