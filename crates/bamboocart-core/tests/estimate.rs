//! Tests of the run time estimates.

use bamboocart_core::estimate::{Estimator, RunEnd};
use bamboocart_core::target::TargetKey;
use slotmap::SlotMap;
use yare::parameterized;

/// Creates an estimator with one request kind that declares 100 ms to 400 ms, and two
/// targets.
fn estimator(max_rows: usize) -> (Estimator<u8>, TargetKey, TargetKey) {
    let mut targets = SlotMap::<TargetKey, ()>::with_key();
    let mut estimator = Estimator::new(max_rows);
    estimator.set_kind(0, 100_000, 400_000);
    (estimator, targets.insert(()), targets.insert(()))
}

/// Recorded runs and the estimates that must follow from them.
struct Case {
    runs: Vec<(u64, RunEnd)>,
    /// The bounds of the expected run time on the target that ran them.
    here_us: (u64, u64),
    /// The same for a target without runs.
    elsewhere_us: (u64, u64),
}

/// Guards against estimates that keep to a wrong declaration, follow a single straggler,
/// or rate a target as fast because it fails fast.
#[parameterized(
    prior = { Case {
        runs: vec![], here_us: (200_000, 200_000), elsewhere_us: (200_000, 200_000),
    }},
    declared_too_long = { Case {
        runs: vec![(10_000, RunEnd::Completed); 40],
        here_us: (9_000, 13_000), elsewhere_us: (9_000, 13_000),
    }},
    declared_too_short = { Case {
        runs: vec![(20_000_000, RunEnd::Completed); 40],
        here_us: (19_000_000, 20_000_000), elsewhere_us: (19_000_000, 20_000_000),
    }},
    fast_failures = { Case {
        runs: vec![(1_000, RunEnd::Failed); 40],
        here_us: (200_000, 200_000), elsewhere_us: (200_000, 200_000),
    }},
    slow_failures_count_for_their_target = { Case {
        runs: vec![(5_000_000, RunEnd::Failed); 40],
        here_us: (4_900_000, 5_000_000), elsewhere_us: (200_000, 200_000),
    }},
    one_straggler = { Case {
        runs: (0..=40).map(|run| if run < 40 { 200_000 } else { 60_000_000 })
            .map(|run_us| (run_us, RunEnd::Completed)).collect(),
        here_us: (200_000, 400_000), elsewhere_us: (200_000, 400_000),
    }},
)]
fn learns(case: Case) {
    let (mut estimator, here, elsewhere) = estimator(10);
    for &(run_us, end) in &case.runs {
        estimator.record(0, here, None, run_us, end);
    }
    for (target, (low, high)) in [(here, case.here_us), (elsewhere, case.elsewhere_us)] {
        let mean_us = estimator.target_us(0, target).mean_us;
        assert!((low..=high).contains(&mean_us), "{mean_us} is not in {low}..={high}");
    }
}

/// Guards against uncorrected declarations of tasks that are always wrong by the same
/// factor.
#[test]
fn corrects_declarations() {
    let (mut estimator, here, _) = estimator(10);
    assert_eq!(estimator.kind_us(0, Some(300_000)), 300_000);
    assert_eq!(estimator.kind_us(0, Some(1)), 100_000, "clamped to the kind");
    for declared_us in [100_000, 400_000].repeat(40) {
        let run_us = declared_us * 3;
        estimator.record(0, here, Some(declared_us), run_us, RunEnd::Completed);
    }
    let corrected_us = estimator.kind_us(0, Some(200_000));
    assert!(corrected_us.abs_diff(600_000) < 6_000, "{corrected_us}");
}

/// Guards against hedges that are sent too early and refusals without enough measured
/// runs.
#[test]
fn quantiles_need_runs_and_follow_them() {
    let (mut estimator, here, _) = estimator(10);
    assert_eq!((estimator.p95_us(0), estimator.fastest_us(0)), (Some(400_000), None));
    for run_us in (1..=100).map(|percent| percent * 1_000).cycle().take(1_000) {
        estimator.record(0, here, None, run_us, RunEnd::Completed);
    }
    let p95_us = estimator.p95_us(0).unwrap();
    assert!((95_000..107_000).contains(&p95_us), "{p95_us}");
    let fastest_us = estimator.fastest_us(0).unwrap();
    assert!((800..=1_000).contains(&fastest_us), "{fastest_us}");
    for _ in 0..10_000 {
        estimator.record(0, here, None, 10_000, RunEnd::Completed);
    }
    assert!(estimator.p95_us(0).unwrap() < 12_000, "old runs keep their weight");
}

/// Guards against an unbounded number of rows, and rows that leak when a target leaves.
#[test]
fn rows_are_bounded() {
    let (mut estimator, here, elsewhere) = estimator(1);
    estimator.record(0, here, None, 3_000_000, RunEnd::Completed);
    estimator.record(0, elsewhere, None, 3_000_000, RunEnd::Failed);
    let kind_us = estimator.kind_us(0, None);
    assert_eq!(estimator.target_us(0, elsewhere).mean_us, kind_us, "a second row");
    estimator.forget_target(here);
    estimator.record(0, elsewhere, None, 3_000_000, RunEnd::Failed);
    assert!(estimator.target_us(0, elsewhere).mean_us > kind_us, "the row was leaked");
}
