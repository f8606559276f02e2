//! Tests of the check that floors stay within their reserved share of starts.

use std::sync::Arc;

use bamboocart_core::account::{
    Fact, Fault, FinishResult, Floors, StartReason, VerifyReport,
};
use bamboocart_core::config::{ConfigSet, Priority, VersionedSet};
use bamboocart_core::id::ConfigVersion;
use bamboocart_core::queue::{FairQueue, NewEntry, PickReason};
use bamboocart_core::time::Timestamp;
use proptest::collection::vec;
use proptest::prelude::*;
use yare::parameterized;

use StartReason::{Fit, Floor, Order, Requeued, Retry};

use crate::stream::{START_MS, Stream, admit, cancel, faults, finish, ms, start, writer};

/// Returns the floors of versions 1, 2, ... by rank.
fn floors(versions: &[&[u8]]) -> Floors {
    let mut floors = Floors::default();
    for (version, percents) in (1..).zip(versions) {
        let mut set = ConfigSet::default();
        for (rank, &floor_percent) in (0..).zip(*percents) {
            let priority = Priority { rank, floor_percent };
            set.priority.insert(format!("rank-{rank}").into(), priority);
        }
        floors.add(&VersionedSet { version: ConfigVersion(version), set: Arc::new(set) });
    }
    floors
}

fn policy(from: u64, to: u64) -> Fact {
    Fact::PolicyChange { from: ConfigVersion(from), to: ConfigVersion(to) }
}

fn verify_facts(facts: Vec<Fact>, floors: Floors) -> VerifyReport {
    let (mut stream, mut writer) = (Stream::default(), writer("a1", START_MS));
    facts.into_iter().for_each(|fact| writer.record(ms(START_MS + 1), fact));
    writer.close(ms(START_MS + 2));
    stream.drain(&mut writer, START_MS + 2);
    stream.verify_with(floors)
}

/// The number of waiting tasks of each rank in the cases below.
const BACKLOG: u64 = 400;

/// Version 1, a backlog of ranks 0 and 1, and then for each step a start of rank 0 by
/// order (`o`), one of rank 1 by its floor (`f`), or the next version (`v`).
fn pattern(steps: &str) -> Vec<Fact> {
    let mut facts = vec![policy(0, 1)];
    facts.extend((0..BACKLOG).map(|number| admit(number, "a", 0)));
    facts.extend((BACKLOG..2 * BACKLOG).map(|number| admit(number, "a", 1)));
    let (mut first, mut second, mut version) = (0, BACKLOG, 1);
    for step in steps.chars() {
        facts.push(match step {
            'v' => policy(version, version + 1),
            'f' => start(second, "a", Floor),
            _ => start(first, "a", Order),
        });
        match step {
            'v' => version += 1,
            'f' => second += 1,
            _ => first += 1,
        }
    }
    facts
}

/// The steps of a stream, the floors of its versions, and the allowed number of faults.
struct Case {
    steps: String,
    floors: &'static [&'static [u8]],
    faults: std::ops::RangeInclusive<usize>,
}

// Each case guards against an undetected floor that exceeds its share, or against a
// finding for a floor that does not.
#[parameterized(
    paced = { Case { steps: "foooo".repeat(60), floors: &[&[0, 20]], faults: 0..=0 } },
    two_at_once = { Case { steps: "ff".into(), floors: &[&[0, 20]], faults: 1..=1 } },
    twice_the_share = { Case {
        steps: "fofoooofoo".repeat(30), floors: &[&[0, 15]], faults: 30..=60 } },
    slightly_beyond = { Case {
        steps: "fooo".repeat(60), floors: &[&[0, 20]], faults: 10..=14 } },
    caught_up_in_the_window = { Case {
        steps: "o".repeat(80) + &"f".repeat(20), floors: &[&[0, 20]], faults: 0..=0 } },
    caught_up_twice = { Case {
        steps: "o".repeat(80) + &"f".repeat(40),
        floors: &[&[0, 20]], faults: 10..=20 } },
    no_floor = { Case { steps: "of".into(), floors: &[&[0, 0]], faults: 1..=1 } },
    no_priority = { Case { steps: "of".into(), floors: &[&[0]], faults: 1..=1 } },
    all = { Case { steps: "f".repeat(300), floors: &[&[0, 100]], faults: 0..=0 } },
    unknown_version = { Case { steps: "ff".into(), floors: &[], faults: 0..=0 } },
    raised = { Case {
        steps: "foooo".repeat(18) + "v" + &"f".repeat(40),
        floors: &[&[0, 20], &[0, 50]], faults: 0..=0 } },
    lowered = { Case {
        steps: "fo".repeat(40) + "v" + &"fo".repeat(40),
        floors: &[&[0, 50], &[0, 5]], faults: 25..=35 } },
)]
fn floors_are_limited_to_their_share(case: Case) {
    let report = verify_facts(pattern(&case.steps), floors(case.floors));
    let found = faults(&report);
    let exceeds = |fault: &&&Fault| matches!(fault, Fault::FloorExceeded { rank: 1, .. });
    assert_eq!(found.iter().filter(exceeds).count(), found.len(), "{found:#?}");
    assert!(case.faults.contains(&found.len()), "{} faults", found.len());
    let unknown = if case.floors.is_empty() { case.steps.len() as u64 } else { 0 };
    assert_eq!(report.incarnations[0].starts.floor_unchecked, unknown);
}

/// Converts the reason of a pick to that of the account.
fn reason(pick: PickReason) -> StartReason {
    match pick {
        PickReason::Order => Order,
        PickReason::Floor => Floor,
        PickReason::Fit => Fit,
        PickReason::Requeued => Requeued,
    }
}

proptest! {
    /// Guards against findings for the real queue: verification does not see its windows
    /// of starts, the tasks that do not fit, and the tasks that targets rejected.
    #[test]
    fn the_queue_passes(
        cuts in (0u8..=60, 0u8..=40),
        steps in vec((0u8..8, 0u8..3, 0usize..2, any::<u8>()), 1..1500),
    ) {
        let percents = [0, cuts.0, cuts.1];
        let mut queue = FairQueue::<u64, usize>::new(100_000);
        (0..).zip(percents).for_each(|(rank, percent)| queue.set_floor(rank, percent));
        let mut facts = vec![policy(0, 1)];
        for (number, (action, rank, customer, unfit)) in (0..).zip(steps) {
            let name = |customer: usize| ["a", "b"][customer];
            if action < 4 {
                let new = NewEntry {
                    key: number,
                    customer,
                    weight: 1,
                    rank,
                    cost_us: 100_000,
                    start_by: Timestamp::from_us(u64::MAX),
                };
                queue.push(new).unwrap();
                facts.push(admit(number, name(customer), rank));
                continue;
            }
            let Some(pick) = queue.pick(|key| unfit < 200 || key % 3 > 0) else {
                continue;
            };
            let customer = name(pick.position.customer);
            facts.push(start(pick.key, customer, reason(pick.reason)));
            if action == 7 {
                facts.push(finish(pick.key, customer, FinishResult::NotStarted));
                queue.requeue(pick.key, pick.position).unwrap();
            }
        }
        let report = verify_facts(facts, floors(&[&percents]));
        prop_assert_eq!(report.findings, []);
    }
}

/// Guards against a finding for a floor that earned starts while its only task waited for
/// a retry, which the account does not show.
#[test]
fn starts_during_an_unseen_wait_count() {
    let mut facts = pattern("f");
    facts.push(finish(BACKLOG, "a", FinishResult::Lost));
    for number in BACKLOG + 1..2 * BACKLOG {
        facts.push(cancel(number, "a", false));
    }
    facts.extend((0..20).map(|number| start(number, "a", Order)));
    facts.push(start(BACKLOG, "a", Retry));
    let late = 3 * BACKLOG..3 * BACKLOG + 4;
    facts.extend(late.clone().map(|number| admit(number, "a", 1)));
    facts.extend(late.map(|number| start(number, "a", Floor)));
    assert_eq!(verify_facts(facts, floors(&[&[0, 20]])).findings, []);
}

/// Guards against a floor that accumulates starts while none of its tasks waits.
#[test]
fn starts_without_a_waiting_task_do_not_count() {
    let mut facts = vec![policy(0, 1)];
    facts.extend((0..BACKLOG).map(|number| admit(number, "a", 0)));
    facts.extend([admit(BACKLOG, "a", 1), cancel(BACKLOG, "a", false)]);
    facts.extend((0..80).map(|number| start(number, "a", Order)));
    let late = BACKLOG + 1..BACKLOG + 3;
    facts.extend(late.clone().map(|number| admit(number, "a", 1)));
    facts.extend(late.map(|number| start(number, "a", Floor)));
    let report = verify_facts(facts, floors(&[&[0, 20]]));
    let [fault] = faults(&report)[..] else { panic!("{:#?}", report.findings) };
    assert!(matches!(fault, Fault::FloorExceeded { rank: 1, percent: 20, .. }));
}
