//! Prints the speed of placement at the target scale, for each policy.

use std::time::Instant;

use bamboocart_core::placement::{Placement, Policy};
use bamboocart_core::target::TargetKey;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use slotmap::SlotMap;

/// The number of targets, each with 8 slots.
const TARGETS: usize = 1_200;

/// The number of request kinds.
const KINDS: u8 = 6;

/// The number of slots in use while the speed is measured.
const IN_USE: usize = 7_000;

/// The number of starts that are timed.
const STARTS: usize = 1_000_000;

fn main() {
    for policy in [
        Policy::EarliestFinish,
        Policy::Random,
        Policy::ShortestQueue,
        Policy::TwoChoices,
    ] {
        println!("{policy:?}: {:.0} starts/s", starts_per_s(policy));
    }
}

/// Returns the starts per second, each with a choice, an end and a new run time.
fn starts_per_s(policy: Policy) -> f64 {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut arena = SlotMap::<TargetKey, ()>::with_key();
    let mut placement = Placement::new(policy);
    for _ in 0..TARGETS {
        let target = arena.insert(());
        placement.set_slots(target, 8);
        for kind in 0..KINDS {
            placement.set_expected(kind, target, run_us(&mut rng));
        }
    }
    let mut running = Vec::with_capacity(IN_USE);
    let mut start = Instant::now();
    for turn in 0..IN_USE + STARTS {
        let kind = (turn % usize::from(KINDS)) as u8;
        let target = placement.pick(kind, &[], &mut rng).expect("a slot is free");
        placement.acquire(target);
        running.push(target);
        if running.len() <= IN_USE {
            start = Instant::now();
            continue;
        }
        let ended = running.swap_remove(rng.random_range(0..running.len()));
        placement.release(ended);
        placement.set_expected(kind, ended, run_us(&mut rng));
    }
    STARTS as f64 / start.elapsed().as_secs_f64()
}

/// Returns a random run time.
fn run_us(rng: &mut SmallRng) -> u64 {
    rng.random_range(50_000..1_000_000)
}
