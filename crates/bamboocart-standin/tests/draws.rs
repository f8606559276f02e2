//! Tests that run times and plans follow their settings and their seed.

use std::collections::BTreeMap;

use bamboocart_standin::load::{Plan, PlannedSubmission, Settings, settings};
use bamboocart_standin::target::{PayloadHints, RunTimes};
use bpaf::Parser;
use yare::parameterized;

/// Returns run times in which `tag-lookup` takes 40 ms at speed 1.
fn run_times(speed: f64) -> RunTimes {
    RunTimes::new(BTreeMap::from([("tag-lookup".into(), 40.0)]), speed, 1)
}

/// Guards against run times that ignore the payload, the request kind, the speed of the
/// target or its stragglers.
#[parameterized(
    payload = { run_times(1.0), "tag-lookup", Some(120.0), 120 },
    kind = { run_times(1.0), "tag-lookup", None, 40 },
    unknown_kind = { run_times(1.0), "other", None, 100 },
    fast = { run_times(2.0), "tag-lookup", None, 20 },
    slow = { run_times(0.5), "tag-lookup", None, 80 },
    straggler = { run_times(1.0).with_stragglers(1.0, 10.0), "tag-lookup", None, 400 },
)]
fn fixed_run_time(times: RunTimes, kind: &str, run_ms: Option<f64>, expected: u128) {
    let mut times = times;
    let hints = PayloadHints { run_ms, mark: None };
    assert_eq!(times.draw(kind, &hints).as_millis(), expected);
}

/// Guards against a spread that shifts the median or has no effect.
#[test]
fn spread_keeps_the_median() {
    let mut times = run_times(1.0).with_spread(0.5);
    let hints = PayloadHints::default();
    let draw = |_| times.draw("tag-lookup", &hints).as_secs_f64() * 1_000.0;
    let mut drawn: Vec<f64> = (0..10_000).map(draw).collect();
    drawn.sort_by(f64::total_cmp);
    assert!((38.0..42.0).contains(&drawn[5_000]), "median {}", drawn[5_000]);
    // The 84th percentile lies one standard deviation above the median: 40 * e^0.5 = 66.
    assert!((62.0..70.0).contains(&drawn[8_413]), "84th percentile {}", drawn[8_413]);
}

/// Parses settings from command-line flags.
fn parse_flags(flags: &[&str]) -> Settings {
    settings().to_options().run_inner(flags).unwrap()
}

/// Guards against plans that differ under the same seed or miss the rate, the mix of
/// kinds, the share of jobs or the limits of their tasks.
#[test]
fn plan_follows_rate_mix_and_seed() {
    let settings = parse_flags(&[
        "--instance=127.0.0.1:1",
        "--rate=100",
        "--duration-s=60",
        "--kind=a=3@10",
        "--kind=b=1@10",
        "--job-share=0.25",
        "--job-tasks=5",
    ]);
    let plan = || Plan::new(&settings, "r".into()).collect::<Vec<PlannedSubmission>>();
    let first = plan();
    let due =
        |plan: &[PlannedSubmission]| plan.iter().map(|p| p.due_us).collect::<Vec<_>>();
    assert_eq!(due(&first), due(&plan()));
    assert!((5_700..6_300).contains(&first.len()), "{} submissions", first.len());
    let share = |count: usize| count as f64 / first.len() as f64;
    let share_of_a = share(first.iter().filter(|p| p.kind.as_str() == "a").count());
    let jobs = share(first.iter().filter(|p| p.job).count());
    assert!((0.72..0.78).contains(&share_of_a), "share of a {share_of_a}");
    assert!((0.22..0.28).contains(&jobs), "share of jobs {jobs}");
    assert!(first.iter().all(|p| if p.job { p.tasks() >= 2 } else { p.tasks() == 1 }));
    assert!(first.iter().all(|p| p.tasks() <= 5));
}

/// Guards against a plan that exceeds its number of submissions.
#[test]
fn plan_ends_at_its_count() {
    let settings = parse_flags(&["--instance=127.0.0.1:1", "--count=7"]);
    assert_eq!(Plan::new(&settings, "r".into()).count(), 7);
}
