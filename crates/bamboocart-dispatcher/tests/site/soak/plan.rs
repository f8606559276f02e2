//! What goes wrong in a run, drawn from a seed.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::proxy::Mode;
use super::system::{INSTANCES, MINIONS};

/// The time in which faults begin.
const FAULTS_MS: u64 = 7_000;

/// The faults of a run.
const FAULTS: std::ops::RangeInclusive<usize> = 5..=11;

/// A fault with its time from the start of the load.
#[derive(Debug, Clone)]
pub struct PlannedFault {
    /// When.
    pub at_ms: u64,
    /// What.
    pub fault: Fault,
}

/// Something that goes wrong.
#[derive(Debug, Clone)]
pub enum Fault {
    /// A process is killed and starts again.
    Kill {
        /// Which.
        instance: usize,
        /// How long it is away.
        away_ms: u64,
    },
    /// A process stands still and goes on.
    Freeze {
        /// Which.
        instance: usize,
        /// For how long.
        for_ms: u64,
    },
    /// A process is told to stop and starts again when it has ended.
    Stop {
        /// Which.
        instance: usize,
    },
    /// All processes are killed and start again.
    KillAll {
        /// How long they are away.
        away_ms: u64,
    },
    /// The store answers 503.
    StoreDown {
        /// For how long.
        for_ms: u64,
    },
    /// The store forgets its history.
    Compact,
    /// An operator publishes the next version.
    Publish,
    /// The way from an instance to the store is harmed.
    StoreNetwork {
        /// Which instance.
        instance: usize,
        /// How.
        mode: Mode,
        /// For how long.
        for_ms: u64,
    },
    /// The way to a minion is harmed.
    MinionNetwork {
        /// Which minion.
        minion: usize,
        /// How.
        mode: Mode,
        /// For how long.
        for_ms: u64,
    },
}

/// Draws the faults of a run in their order.
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

/// Draws a fault.
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
