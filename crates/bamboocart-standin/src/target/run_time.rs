//! How long tasks run.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Deserialize;

use crate::random;

/// The run time of request kinds without one of their own.
const DEFAULT_RUN_MS: f64 = 100.0;

/// The longest run time.
const RUN_MS_MAX: f64 = 600_000.0;

/// The run times of one target.
#[derive(Debug)]
pub struct RunTimes {
    /// The run times by request kind.
    kinds: BTreeMap<String, f64>,
    /// The factor by which the target is faster than the ideal.
    speed: f64,
    /// The standard deviation of the run time's logarithm; 0 for fixed run times.
    spread: f64,
    /// The share of stragglers.
    straggler_share: f64,
    /// The factor by which a straggler takes longer.
    straggler_factor: f64,
    /// The source of randomness.
    rng: SmallRng,
}

/// What a payload may say about its run.
#[derive(Debug, Default, Deserialize)]
pub struct PayloadHints {
    /// The run time at speed 1.
    pub run_ms: Option<f64>,
    /// A text that the result repeats.
    pub mark: Option<String>,
}

impl RunTimes {
    /// Creates fixed run times by request kind, for a target of a given speed.
    pub fn new(kinds: BTreeMap<String, f64>, speed: f64, seed: u64) -> Self {
        let rng = SmallRng::seed_from_u64(seed);
        Self {
            kinds,
            speed,
            spread: 0.0,
            straggler_share: 0.0,
            straggler_factor: 1.0,
            rng,
        }
    }

    /// Makes run times lognormal.
    pub fn with_spread(self, spread: f64) -> Self {
        Self { spread, ..self }
    }

    /// Adds stragglers.
    pub fn with_stragglers(self, share: f64, factor: f64) -> Self {
        Self { straggler_share: share, straggler_factor: factor, ..self }
    }

    /// Draws the run time of a task.
    pub fn draw(&mut self, kind: &str, hints: &PayloadHints) -> Duration {
        let of_kind = self.kinds.get(kind).copied().unwrap_or(DEFAULT_RUN_MS);
        let ideal_ms = hints.run_ms.unwrap_or(of_kind);
        let spread = random::lognormal(&mut self.rng, self.spread);
        let straggler = match self.rng.random::<f64>() < self.straggler_share {
            true => self.straggler_factor,
            false => 1.0,
        };
        let run_ms = ideal_ms * spread * straggler / self.speed;
        Duration::from_secs_f64(run_ms.clamp(0.0, RUN_MS_MAX) / 1_000.0)
    }
}

/// Reads the hints of a payload; a payload of another form has none.
pub fn hints(payload: &[u8]) -> PayloadHints {
    serde_json::from_slice(payload).unwrap_or_default()
}
