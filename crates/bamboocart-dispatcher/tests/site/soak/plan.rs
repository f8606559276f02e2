//! Random fault plans, determined by a seed.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::proxy::Mode;
use super::system::{INSTANCES, MINIONS};

/// The time span in which faults begin.
const FAULTS_MS: u64 = 7_000;

/// The number of faults of a plan.
const FAULTS: std::ops::RangeInclusive<usize> = 5..=11;

/// A fault with the time at which it begins.
#[derive(Debug, Clone)]
pub struct PlannedFault {
    /// The time from the start of the plan.
    pub at_ms: u64,
    /// The fault to inject.
    pub fault: Fault,
}

/// A fault to inject.
#[derive(Debug, Clone)]
pub enum Fault {
    /// A process is killed and restarted.
    Kill {
        /// The index of the instance.
        instance: usize,
        /// The time until the restart.
        away_ms: u64,
    },
    /// A process is suspended and resumed.
    Freeze {
        /// The index of the instance.
        instance: usize,
        /// The time until it is resumed.
        for_ms: u64,
    },
    /// A process is stopped gracefully and restarted after its grace period.
    Stop {
        /// The index of the instance.
        instance: usize,
    },
    /// All processes are killed and restarted.
    KillAll {
        /// The time until the restart.
        away_ms: u64,
    },
    /// The store responds with 503.
    StoreDown {
        /// The duration of the outage.
        for_ms: u64,
    },
    /// The store compacts its keyed topics.
    Compact,
    /// An operator publishes the next version of the configuration.
    Publish,
    /// The network between an instance and the store fails.
    StoreNetwork {
        /// The index of the instance.
        instance: usize,
        /// The kind of failure.
        mode: Mode,
        /// The duration of the failure.
        for_ms: u64,
    },
    /// The network between all instances and a minion fails.
    MinionNetwork {
        /// The index of the minion.
        minion: usize,
        /// The kind of failure.
        mode: Mode,
        /// The duration of the failure.
        for_ms: u64,
    },
}

/// Generates the plan of a seed, ordered by time.
pub fn random_plan(seed: u64) -> Vec<PlannedFault> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let count = rng.random_range(FAULTS);
    let mut plan: Vec<PlannedFault> = (0..count)
        .map(|_| PlannedFault {
            at_ms: rng.random_range(0..FAULTS_MS),
            fault: random_fault(&mut rng),
        })
        .collect();
    plan.sort_by_key(|planned| planned.at_ms);
    plan
}

/// Generates a fault.
fn random_fault(rng: &mut SmallRng) -> Fault {
    let instance = rng.random_range(0..INSTANCES);
    let for_ms = rng.random_range(100..3_000);
    let modes =
        [Mode::Delay, Mode::Reset, Mode::Stall, Mode::StallAnswers, Mode::StallOpen];
    let mode = modes[rng.random_range(0..modes.len())];
    match rng.random_range(0..14) {
        0..=2 => Fault::Kill { instance, away_ms: rng.random_range(50..2_000) },
        3..=5 => Fault::Freeze { instance, for_ms },
        6 => Fault::Stop { instance },
        7 => Fault::KillAll { away_ms: rng.random_range(50..2_000) },
        8 => Fault::StoreDown { for_ms },
        9 => Fault::Compact,
        10 => Fault::Publish,
        11 => Fault::StoreNetwork { instance, mode, for_ms },
        _ => Fault::MinionNetwork { minion: rng.random_range(0..MINIONS), mode, for_ms },
    }
}
