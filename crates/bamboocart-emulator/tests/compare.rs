//! Tests of the comparison of two versions.

use bamboocart_emulator::{Comparison, Outcome, Outcomes, Verdict, credits_svg};
use yare::parameterized;

/// Returns outcomes of a scenario with these credits in millionths, one for each seed,
/// and this number of violations for each.
fn outcomes(credits_ppm: &[u64], violations: usize) -> Outcomes {
    let outcome = |credit_ppm: u64| Outcome {
        credit_ppm,
        violations,
        frames: 10,
        minion_calls: 100,
        p99_ms: [("bay-check".to_owned(), 150)].into(),
    };
    let seeds = (1..).zip(credits_ppm.iter().map(|&credit| outcome(credit))).collect();
    Outcomes { scenarios: [("kills".to_owned(), seeds)].into() }
}

/// Guards against random differences that pass as a gain, and against a gain in credit
/// that hides a violation.
#[parameterized(
    better = { &[600_000, 700_000, 800_000], &[650_000, 752_000, 848_000], 0, Verdict::Better },
    worse = { &[600_000, 700_000, 800_000], &[550_000, 648_000, 752_000], 0, Verdict::Worse },
    luck = { &[600_000, 700_000, 800_000], &[700_000, 600_000, 830_000], 0, Verdict::Same },
    broken = { &[600_000, 700_000, 800_000], &[650_000, 752_000, 848_000], 1, Verdict::Worse },
    equal = { &[600_000, 700_000], &[600_000, 700_000], 0, Verdict::Same },
)]
fn verdicts(before: &[u64], after: &[u64], violations: usize, expected: Verdict) {
    let comparison = Comparison::new(&outcomes(before, 0), &outcomes(after, violations));
    assert_eq!(comparison.rows[0].verdict(), expected, "{comparison}");
}

/// Guards against comparing seeds that only one of the versions has.
#[test]
fn only_common_seeds_count() {
    let comparison =
        Comparison::new(&outcomes(&[600_000; 5], 0), &outcomes(&[700_000; 3], 0));
    assert_eq!(comparison.rows[0].credits.len(), 3);
    let none = Comparison::new(&outcomes(&[600_000], 0), &Outcomes::default());
    assert!(none.rows.is_empty());
}

/// Guards against outcomes that change when they are stored, and against plots without
/// the names of the scenarios.
#[test]
fn outcomes_are_kept_and_drawn() {
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("outcomes.json");
    let kept = outcomes(&[600_000, 700_000], 0);
    kept.write(&path).unwrap();
    assert_eq!(Outcomes::read(&path).unwrap(), kept);
    let svg = credits_svg(&Comparison::new(&kept, &kept)).unwrap();
    assert!(svg.starts_with("<svg") && svg.contains("kills"), "{svg}");
}
