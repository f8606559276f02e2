//! How far ahead an instance claims ranges of caller keys.

use snafu::Snafu;

/// The shortest horizon, with 6 s from the extension of a claim to its take-over.
///
/// An instance appends claims at most each 5 s, so that a shorter horizon would leave it
/// no second try before others take its ranges over.
const SHORTEST_MS: u64 = 15_000;

/// The longest horizon, which leaves 80 s for clocks that differ up to the bound of the
/// log's readers.
const LONGEST_MS: u64 = 200_000;

/// The time that a claim reaches ahead of the present when it is made, and the remaining
/// times at which instances act on it.
///
/// The times are shares of the horizon. Instances with different horizons agree on every
/// owner, since that follows from the claims alone.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub struct Horizon(u64);

impl Horizon {
    /// Creates a horizon of this length.
    pub fn new(ms: u64) -> Result<Self, HorizonError> {
        match (SHORTEST_MS..=LONGEST_MS).contains(&ms) {
            true => Ok(Self(ms)),
            false => Err(HorizonError),
        }
    }

    /// Returns the length.
    pub const fn ms(self) -> u64 {
        self.0
    }

    /// Returns the remaining time of a claim at which its holder extends it.
    pub const fn renew_at_ms(self) -> u64 {
        self.0 / 3 * 2
    }

    /// Returns the remaining time at which another live instance takes the range over.
    ///
    /// A holder that is alive and can reach the log has extended it long before.
    pub const fn take_over_at_ms(self) -> u64 {
        self.0 / 4
    }

    /// Returns the remaining time at which a holder extends its claim although the range
    /// is meant for another instance, because that instance has not acted.
    pub const fn keep_at_ms(self) -> u64 {
        self.0 / 12
    }

    /// Returns the remaining time at which any instance takes a range, because neither
    /// its holder nor the instance that it is meant for has acted.
    pub const fn abandoned_at_ms(self) -> u64 {
        self.0 / 24
    }

    /// Returns the grid that claims end on, so that ranges are extended together.
    pub const fn grid_ms(self) -> u64 {
        self.0 / 12
    }
}

impl Default for Horizon {
    fn default() -> Self {
        Self(120_000)
    }
}

/// A length is no usable horizon.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Snafu)]
#[snafu(display("the horizon of claims must be {SHORTEST_MS} to {LONGEST_MS} ms"))]
pub struct HorizonError;
