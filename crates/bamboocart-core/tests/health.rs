//! Tests of ejection and backoff.

use bamboocart_core::health::{GroupHealth, HealthStatus, StartResult};
use bamboocart_core::target::TargetKey;
use bamboocart_core::time::Timestamp;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::SlotMap;
use yare::parameterized;

use StartResult::{Failed, Succeeded};

/// A group of targets at one point in time.
struct Group {
    health: GroupHealth,
    targets: Vec<TargetKey>,
    now: Timestamp,
    rng: SmallRng,
}

impl Group {
    fn new(count: usize) -> Self {
        let mut arena = SlotMap::<TargetKey, ()>::with_key();
        let targets: Vec<_> = (0..count).map(|_| arena.insert(())).collect();
        let mut health = GroupHealth::default();
        targets.iter().for_each(|&target| health.add(target));
        let now = Timestamp::from_ms(1_000_000);
        Self { health, targets, now, rng: SmallRng::seed_from_u64(7) }
    }

    fn record(&mut self, at: usize, end: StartResult) {
        self.health.record(self.targets[at], end, self.now, &mut self.rng);
    }

    fn probe(&mut self, at: usize, end: StartResult) {
        self.health.start_probe(self.targets[at]);
        self.health.record_probe(self.targets[at], end, self.now, &mut self.rng);
    }

    fn turn_away(&mut self, at: usize) {
        self.health.record_busy(self.targets[at], self.now, &mut self.rng);
    }

    /// Moves the time to the end of a target's backoff and returns its length.
    fn wait_ms(&mut self, at: usize) -> u64 {
        let (HealthStatus::Ejected { until } | HealthStatus::Busy { until }) =
            self.standing(at)
        else {
            panic!("target {at} has no backoff: {:?}", self.standing(at));
        };
        let wait_ms = until.ms_since(self.now);
        self.now = until;
        while self.health.pop_due(self.now).is_some() {}
        wait_ms
    }

    fn standing(&self, at: usize) -> HealthStatus {
        self.health.status(self.targets[at]).unwrap()
    }

    fn open(&self) -> Vec<usize> {
        (0..self.targets.len())
            .filter(|&at| self.standing(at) == HealthStatus::Healthy)
            .collect()
    }
}

/// Starts on a group of four, and the targets that are open afterwards.
struct Case {
    starts: Vec<(usize, StartResult)>,
    open: Vec<usize>,
}

/// Guards against black holes that keep their traffic, and against ejections that take
/// away capacity although the targets are not at fault.
#[parameterized(
    black_hole_after_three_starts = { Case {
        starts: vec![(0, Failed); 3], open: vec![1, 2, 3],
    }},
    two_failures_are_tolerated = { Case {
        starts: vec![(0, Failed), (0, Failed), (0, Succeeded), (0, Failed), (0, Failed)],
        open: vec![0, 1, 2, 3],
    }},
    half_of_the_starts_fail = { Case {
        starts: [(0, Failed), (0, Succeeded), (0, Failed), (1, Succeeded)].repeat(8),
        open: vec![1, 2, 3],
    }},
    all_fail_alike = { Case {
        starts: [(0, Failed), (1, Failed), (2, Failed), (3, Failed)].repeat(40),
        open: vec![0, 1, 2, 3],
    }},
    half_of_the_group_fails = { Case {
        starts: [(0, Failed), (1, Succeeded), (2, Failed), (3, Succeeded)].repeat(3),
        open: vec![1, 3],
    }},
    no_more_than_half = { Case {
        starts: [[(0, Failed); 9], [(1, Failed); 9], [(2, Failed); 9]].concat(),
        open: vec![2, 3],
    }},
)]
fn ejects(case: Case) {
    let mut group = Group::new(4);
    case.starts.iter().for_each(|&(at, end)| group.record(at, end));
    assert_eq!(group.open(), case.open);
}

/// Guards against ejections that last for ever, that end in full traffic to a target that
/// still fails, and against backoffs without growth or bound.
#[test]
fn probes_with_growing_backoff() {
    let mut group = Group::new(4);
    (0..3).for_each(|_| group.record(0, Failed));
    let target = group.targets[0];
    for longest_ms in [1_000, 2_000, 4_000, 8_000, 16_000, 32_000, 60_000, 60_000] {
        assert!(!group.health.may_start(target, true), "in backoff");
        let waited_ms = group.wait_ms(0);
        assert!((longest_ms / 2..=longest_ms).contains(&waited_ms), "{waited_ms}");
        assert!(
            !group.health.may_start(target, false),
            "probed by a non-idempotent task"
        );
        assert!(group.health.may_start(target, true));
        group.health.start_probe(target);
        assert!(!group.health.may_start(target, true), "two probes at a time");
        group.record(0, Succeeded);
        assert_eq!(
            group.standing(0),
            HealthStatus::Probing,
            "an answer from before counts"
        );
        group.probe(0, Failed);
    }
    group.wait_ms(0);
    group.health.start_probe(target);
    group.health.abandon_probe(target);
    assert_eq!(
        group.standing(0),
        HealthStatus::Probation,
        "a stopped probe blocks others"
    );
    group.health.start_probe(target);
    group.turn_away(0);
    group.wait_ms(0);
    assert_eq!(group.standing(0), HealthStatus::Probation, "a rejected probe opens it");
    group.probe(0, Succeeded);
    group.record(0, Failed);
    assert_eq!(group.open(), [1, 2, 3], "a relapse is ejected at once");
    group.wait_ms(0);
    group.probe(0, Succeeded);
    (0..16).for_each(|_| group.record(0, Succeeded));
    (0..3).for_each(|_| group.record(0, Failed));
    assert!(group.wait_ms(0) <= 1_000, "old ejections are held against the target");
}

/// Guards against sends to busy targets in a tight loop, and against a backoff that
/// outlasts the target's being busy.
#[test]
fn busy_targets_back_off() {
    let mut group = Group::new(1);
    for longest_ms in [5, 10, 20, 40, 80, 160, 320, 320] {
        group.turn_away(0);
        group.turn_away(0);
        let waited_ms = group.wait_ms(0);
        assert!((longest_ms / 2..=longest_ms).contains(&waited_ms), "{waited_ms}");
        assert_eq!(group.standing(0), HealthStatus::Healthy);
    }
    group.turn_away(0);
    group.record(0, Succeeded);
    assert_eq!(group.standing(0), HealthStatus::Healthy, "a freed slot ends the backoff");
    group.turn_away(0);
    assert!(group.wait_ms(0) <= 5, "a success resets the backoff");
}

proptest! {
    /// Guards against a group that loses more than half of its targets, whatever happens.
    #[test]
    fn at_most_half_is_ejected(
        steps in prop::collection::vec((0_usize..7, 0_u32..10, 0_u64..3_000), 1..200),
    ) {
        let mut group = Group::new(7);
        let mut members = 7;
        for (at, step, ms) in steps {
            let target = group.targets[at];
            let known = group.health.status(target).is_some();
            match step {
                0 if ms < 500 => {
                    members -= usize::from(known);
                    group.health.remove(target);
                }
                0 => {
                    members += usize::from(!known);
                    group.health.add(target);
                }
                1 => group.turn_away(at),
                2 => group.record(at, Succeeded),
                3 => group.probe(at, if ms < 1_500 { Failed } else { Succeeded }),
                4 => {
                    group.now = group.now.plus_ms(ms);
                    while group.health.pop_due(group.now).is_some() {}
                    prop_assert!(group.health.next_due().is_none_or(|at| at > group.now));
                }
                _ => group.record(at, Failed),
            }
            let all = group.targets.iter().filter_map(|&t| group.health.status(t));
            let ejected = all.filter(|standing| standing.is_ejected()).count();
            prop_assert_eq!(group.health.ejected(), ejected);
            prop_assert!(ejected * 2 <= members, "{} of {}", ejected, members);
        }
    }
}
