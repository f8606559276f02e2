//! Tests of the choice of targets.

use std::collections::{BTreeMap, BTreeSet};

use bamboocart_core::placement::Placement;
use bamboocart_core::target::TargetKey;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::SlotMap;
use yare::parameterized;

fn targets(count: usize) -> Vec<TargetKey> {
    let mut arena = SlotMap::<TargetKey, ()>::with_key();
    (0..count).map(|_| arena.insert(())).collect()
}

/// Targets with two slots each, and those that may be chosen.
struct Case {
    policy: &'static str,
    /// The slots in use of each target.
    in_use: Vec<u32>,
    /// The expected run time on each target, if it was measured; the prior is 100 ms.
    expected_ms: Vec<Option<u64>>,
    excluded: Vec<usize>,
    unusable: Vec<usize>,
    choices: Vec<usize>,
}

impl Default for Case {
    fn default() -> Self {
        Self {
            policy: "earliest-finish",
            in_use: vec![0; 3],
            expected_ms: vec![None; 3],
            excluded: vec![],
            unusable: vec![],
            choices: vec![],
        }
    }
}

/// Guards against choices that the policy rules out, and against targets that are never
/// chosen although they are as good as others.
#[parameterized(
    fastest = { Case {
        expected_ms: vec![Some(90), Some(50), Some(70)], choices: vec![1],
        ..Case::default()
    }},
    fastest_with_a_free_slot = { Case {
        expected_ms: vec![Some(90), Some(50), Some(70)], in_use: vec![0, 2, 1],
        choices: vec![2], ..Case::default()
    }},
    fastest_usable = { Case {
        expected_ms: vec![Some(90), Some(50), Some(70)], unusable: vec![1],
        choices: vec![2], ..Case::default()
    }},
    not_sent_to_before = { Case {
        expected_ms: vec![Some(90), Some(50), Some(70)], excluded: vec![1, 2],
        choices: vec![0], ..Case::default()
    }},
    equals_share_the_load = { Case {
        expected_ms: vec![Some(50), Some(51), Some(70)], choices: vec![0, 1],
        ..Case::default()
    }},
    unmeasured_counts_as_the_prior = { Case {
        expected_ms: vec![Some(200), Some(150), None], choices: vec![2], ..Case::default()
    }},
    unmeasured_is_not_preferred_to_faster = { Case {
        expected_ms: vec![Some(50), Some(150), None], choices: vec![0], ..Case::default()
    }},
    shortest_queue = { Case {
        policy: "shortest-queue", in_use: vec![1, 0, 1], choices: vec![1],
        ..Case::default()
    }},
    random = { Case {
        policy: "random", in_use: vec![1, 2, 0], choices: vec![0, 2], ..Case::default()
    }},
    two_choices = { Case {
        policy: "two-choices", in_use: vec![2, 1, 0], choices: vec![1, 2],
        ..Case::default()
    }},
    nothing_free = { Case { in_use: vec![2, 2, 3], ..Case::default() }},
    all_excluded = { Case { excluded: vec![0, 1, 2], ..Case::default() }},
)]
fn choices(case: Case) {
    let mut rng = SmallRng::seed_from_u64(7);
    let targets = targets(3);
    let mut placement = Placement::new(case.policy.parse().unwrap());
    placement.set_prior(0, 100_000);
    for (at, &target) in targets.iter().enumerate() {
        placement.set_slots(target, 2);
        if let Some(ms) = case.expected_ms[at] {
            placement.set_expected(0, target, ms * 1_000);
        }
        (0..case.in_use[at]).for_each(|_| placement.acquire(target));
        placement.set_usable(target, !case.unusable.contains(&at));
    }
    let excluded: Vec<_> = case.excluded.iter().map(|&at| targets[at]).collect();
    let choices: BTreeSet<_> = case.choices.iter().map(|&at| targets[at]).collect();
    let chosen: BTreeSet<_> =
        (0..200).filter_map(|_| placement.pick(0, &excluded, &mut rng)).collect();
    assert_eq!(chosen, choices);
}

/// Guards against reports that name busy or slow targets in place of fast free ones.
#[parameterized(
    fastest_first = { "earliest-finish", [0, 0, 0], &[(90, 90), (50, 50), (70, 70)],
        &[(1, 2), (2, 2)] },
    without_the_busy = { "earliest-finish", [1, 2, 0], &[(90, 90), (50, 50), (70, 70)],
        &[(2, 2), (0, 1)] },
    fastest_of_each_kind = { "earliest-finish", [0, 0, 0], &[(90, 20), (50, 50), (70, 70)],
        &[(1, 2), (0, 2)] },
    run_times_unused = { "random", [0, 0, 0], &[(90, 90), (50, 50), (70, 70)], &[] },
)]
fn fastest(
    policy: &str,
    in_use: [u32; 3],
    expected_ms: &[(u64, u64)],
    expected: &[(usize, u32)],
) {
    let targets = targets(3);
    let mut placement = Placement::new(policy.parse().unwrap());
    for (at, &target) in targets.iter().enumerate() {
        placement.set_slots(target, 2);
        placement.set_expected(0, target, expected_ms[at].0 * 1_000);
        placement.set_expected(1, target, expected_ms[at].1 * 1_000);
        (0..in_use[at]).for_each(|_| placement.acquire(target));
    }
    let expected: Vec<_> =
        expected.iter().map(|&(at, free)| (targets[at], free)).collect();
    assert_eq!(placement.fastest(&[0, 1], 2), expected);
}

proptest! {
    /// Guards against an index that disagrees with the slots after any changes.
    #[test]
    fn index_follows_the_slots(
        policy in prop::sample::select(
            &["earliest-finish", "random", "shortest-queue", "two-choices"]
        ),
        steps in prop::collection::vec((0_usize..6, 0_u32..7, 0_u64..500_000), 1..100),
    ) {
        let mut rng = SmallRng::seed_from_u64(7);
        let targets = targets(6);
        let mut placement = Placement::new(policy.parse().unwrap());
        placement.set_prior(0, 100_000);
        // The slots, those in use, and whether the target may be chosen.
        let mut model = BTreeMap::<usize, (u32, u32, bool)>::new();
        for (at, step, run_us) in steps {
            let target = targets[at];
            let row = model.get_mut(&at);
            match (step, row) {
                (0, None) => {
                    model.insert(at, (2, 0, true));
                    placement.set_slots(target, 2);
                }
                (1, Some(row)) => {
                    row.1 += 1;
                    placement.acquire(target);
                }
                (2, Some(row)) => {
                    row.1 = row.1.saturating_sub(1);
                    placement.release(target);
                }
                (3, Some(row)) => {
                    row.2 = !row.2;
                    placement.set_usable(target, row.2);
                }
                (4, Some(_)) if run_us % 5 == 0 => {
                    model.remove(&at);
                    placement.remove(target);
                }
                _ => placement.set_expected(0, target, run_us),
            }
            let free = |&(slots, in_use, usable): &(u32, u32, bool)| {
                if usable { slots.saturating_sub(in_use) } else { 0 }
            };
            let total: u32 = model.values().map(free).sum();
            prop_assert_eq!(placement.free_slots(), total);
            let choice = placement.pick(0, &[], &mut rng);
            let at = targets.iter().position(|&target| Some(target) == choice);
            prop_assert_eq!(at.is_some(), placement.free_slots() > 0);
            prop_assert!(at.is_none_or(|at| model.get(&at).is_some_and(|r| free(r) > 0)));
        }
    }
}
