//! Systems whose instances have narrow links.

use bamboocart_emulator::{Fault, Scenario, simulate};
use yare::parameterized;

/// The scenario, with faults that the tests replace.
const NARROW_LINKS: &str = include_str!("../days/narrow-links.toml");

/// The time after the end of an overload within which full service is back, in seconds.
const RECOVERY_S: usize = 5;

/// The share of the credit without an overload that counts as full service.
const FULL_SERVICE: f64 = 0.9;

/// The time of the overload's begin, in seconds.
const OVERLOAD_S: u64 = 4;

/// The time for which service is measured after an overload and its recovery, in seconds.
const MEASURED_S: usize = 10;

/// The number of seeds of each case, whose credits are added up: of a single seed, the credit
/// in the measured time varies by some percent whether there was an overload or not.
const SEEDS: u64 = 6;

/// An overload of the links.
#[derive(Copy, Clone)]
enum Overload {
    /// Clients send so many times as many jobs.
    Burst(f64),
    /// The links carry this part of their rate.
    SlowLinks(f64),
}

/// Returns the scenario without faults, long enough to measure after `overload_s`.
fn calm(overload_s: u64) -> Scenario {
    let mut scenario = Scenario::parse(NARROW_LINKS).unwrap();
    scenario.faults.clear();
    let measured_s = (RECOVERY_S + MEASURED_S) as u64;
    scenario.length_ms = (OVERLOAD_S + overload_s + measured_s) * 1_000;
    scenario
}

/// Guards against an overload of the links that outlasts its cause, because slow answers
/// count as lost and the calls that repeat them keep the links full.
#[parameterized(
    burst_of_a_half = { Overload::Burst(1.5), 4 },
    burst_of_two = { Overload::Burst(2.0), 6 },
    burst_of_five = { Overload::Burst(5.0), 3 },
    tenth_for_1_s = { Overload::SlowLinks(0.1), 1 },
    tenth_for_10_s = { Overload::SlowLinks(0.1), 10 },
    tenth_for_30_s = { Overload::SlowLinks(0.1), 30 },
)]
fn service_recovers_after_an_overload_of_links(overload: Overload, for_s: u64) {
    let calm = calm(for_s);
    let mut loaded = calm.clone();
    let (at_ms, for_ms) = (OVERLOAD_S * 1_000, for_s * 1_000);
    loaded.faults = vec![match overload {
        Overload::Burst(factor) => Fault::Burst { at_ms, for_ms, factor },
        Overload::SlowLinks(factor) => Fault::SlowLinks { at_ms, for_ms, factor },
    }];
    let first = (OVERLOAD_S + for_s) as usize + RECOVERY_S;
    let (mut credit, mut expected) = (0.0, 0.0);
    for seed in 1..=SEEDS {
        expected += simulate(&calm, seed).credit_of(first..first + MEASURED_S);
        let report = simulate(&loaded, seed);
        assert!(report.violations.is_empty(), "seed {seed}: {report}");
        credit += report.credit_of(first..first + MEASURED_S);
    }
    let seeds = SEEDS as f64;
    assert!(
        credit >= FULL_SERVICE * expected,
        "mean credit {:.3} after the overload, {:.3} without it",
        credit / seeds,
        expected / seeds
    );
}

/// Guards against tasks that are placed again and again on a calm day with narrow links.
#[test]
fn a_calm_day_needs_one_run_for_a_task() {
    let calm = calm(5);
    let mut wide = calm.clone();
    wide.links = calm.links.map(|mut links| {
        links.rate_mbps *= 10.0;
        links
    });
    for seed in 1..=SEEDS {
        let runs = [&calm, &wide].map(|scenario| simulate(scenario, seed).runs as f64);
        assert!(runs[0] <= 1.1 * runs[1], "seed {seed}: {runs:?}");
    }
}
