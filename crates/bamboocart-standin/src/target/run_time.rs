//! The run times of tasks.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Deserialize;

use crate::random;

/// The run time of request kinds for which none is set.
const DEFAULT_RUN_MS: f64 = 100.0;

/// The longest run time; longer ones are shortened to it.
const MAX_RUN_MS: f64 = 600_000.0;

/// Draws the run times of the tasks of one target.
#[derive(Debug)]
pub struct RunTimes {
    /// The run times by request kind, in milliseconds at speed 1.
    kinds: BTreeMap<String, f64>,
    /// The speed of the target, by which run times are divided.
    speed: f64,
    /// The standard deviation of the logarithm of run times; 0 for fixed run times.
    spread: f64,
    /// The share of tasks that are stragglers.
    straggler_share: f64,
    /// The factor by which a straggler runs longer.
    straggler_factor: f64,
    rng: SmallRng,
}

/// The fields of a payload that control its run.
#[derive(Debug, Default, Deserialize)]
pub struct PayloadHints {
    /// The run time at speed 1; takes precedence over that of the request kind.
    pub run_ms: Option<f64>,
    /// A text that is repeated in the result and in the history.
    pub mark: Option<String>,
}

impl RunTimes {
    /// Creates fixed run times by request kind, in milliseconds, for a target of a given
    /// speed.
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

    /// Makes run times lognormal, with `spread` as the standard deviation of the
    /// logarithm.
    pub fn with_spread(self, spread: f64) -> Self {
        Self { spread, ..self }
    }

    /// Makes a share of the tasks run longer by a factor.
    pub fn with_stragglers(self, share: f64, factor: f64) -> Self {
        Self { straggler_share: share, straggler_factor: factor, ..self }
    }

    /// Draws the run time of a task, at most 10 minutes.
    pub fn draw(&mut self, kind: &str, hints: &PayloadHints) -> Duration {
        let of_kind = self.kinds.get(kind).copied().unwrap_or(DEFAULT_RUN_MS);
        let ideal_ms = hints.run_ms.unwrap_or(of_kind);
        let spread = random::lognormal(&mut self.rng, self.spread);
        let straggler = match self.rng.random::<f64>() < self.straggler_share {
            true => self.straggler_factor,
            false => 1.0,
        };
        let run_ms = ideal_ms * spread * straggler / self.speed;
        Duration::from_secs_f64(run_ms.clamp(0.0, MAX_RUN_MS) / 1_000.0)
    }
}

/// Parses the hints of a payload; a payload that is not such JSON has none.
pub fn hints(payload: &[u8]) -> PayloadHints {
    serde_json::from_slice(payload).unwrap_or_default()
}
