//! The share of starts that a floor reserves.

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

use crate::stream::{START_MS, Stream, admit, cancel, chain, faults, finish, ms, start};

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

fn verdict(facts: Vec<Fact>, floors: Floors) -> VerifyReport {
    let (mut stream, mut chain) = (Stream::default(), chain("a1", START_MS));
    facts.into_iter().for_each(|fact| chain.record(ms(START_MS + 1), fact));
    chain.close(ms(START_MS + 2));
    stream.drain(&mut chain, START_MS + 2);
    stream.verify_with(floors)
}

/// The tasks of each rank that wait in the cases below.
const BACKLOG: u64 = 400;

/// Version 1, a backlog of ranks 0 and 1, and then for each letter a start of rank 0 by
/// order (`o`), one of rank 1 by its floor (`f`), or the next version (`v`).
fn pattern(letters: &str) -> Vec<Fact> {
    let mut facts = vec![policy(0, 1)];
    facts.extend((0..BACKLOG).map(|number| admit(number, "a", 0)));
    facts.extend((BACKLOG..2 * BACKLOG).map(|number| admit(number, "a", 1)));
    let (mut first, mut second, mut version) = (0, BACKLOG, 1);
    for letter in letters.chars() {
        facts.push(match letter {
            'v' => policy(version, version + 1),
            'f' => start(second, "a", Floor),
            _ => start(first, "a", Order),
        });
        match letter {
            'v' => version += 1,
            'f' => second += 1,
            _ => first += 1,
        }
    }
    facts
}

/// A stream, the floors of its versions, and the faults that it has at least and at most.
struct Case {
    letters: String,
    floors: &'static [&'static [u8]],
    faults: std::ops::RangeInclusive<usize>,
}

// Each case guards against a floor that takes more than its share, or against a finding
// for one that does not.
#[parameterized(
    paced = { Case { letters: "foooo".repeat(60), floors: &[&[0, 20]], faults: 0..=0 } },
    two_at_once = { Case { letters: "ff".into(), floors: &[&[0, 20]], faults: 1..=1 } },
    twice_the_share = { Case {
        letters: "fofoooofoo".repeat(30), floors: &[&[0, 15]], faults: 30..=60 } },
    slightly_beyond = { Case {
        letters: "fooo".repeat(60), floors: &[&[0, 20]], faults: 10..=14 } },
    caught_up_in_the_window = { Case {
        letters: "o".repeat(80) + &"f".repeat(20), floors: &[&[0, 20]], faults: 0..=0 } },
    caught_up_twice = { Case {
        letters: "o".repeat(80) + &"f".repeat(40),
        floors: &[&[0, 20]], faults: 10..=20 } },
    no_floor = { Case { letters: "of".into(), floors: &[&[0, 0]], faults: 1..=1 } },
    no_priority = { Case { letters: "of".into(), floors: &[&[0]], faults: 1..=1 } },
    all = { Case { letters: "f".repeat(300), floors: &[&[0, 100]], faults: 0..=0 } },
    unknown_version = { Case { letters: "ff".into(), floors: &[], faults: 0..=0 } },
    raised = { Case {
        letters: "foooo".repeat(18) + "v" + &"f".repeat(40),
        floors: &[&[0, 20], &[0, 50]], faults: 0..=0 } },
    lowered = { Case {
        letters: "fo".repeat(40) + "v" + &"fo".repeat(40),
        floors: &[&[0, 50], &[0, 5]], faults: 25..=35 } },
)]
fn floors_keep_to_their_share(case: Case) {
    let verdict = verdict(pattern(&case.letters), floors(case.floors));
    let found = faults(&verdict);
    let exceeds = |fault: &&&Fault| matches!(fault, Fault::FloorExceeded { rank: 1, .. });
    assert_eq!(found.iter().filter(exceeds).count(), found.len(), "{found:#?}");
    assert!(case.faults.contains(&found.len()), "{} faults", found.len());
    let unknown = if case.floors.is_empty() { case.letters.len() as u64 } else { 0 };
    assert_eq!(verdict.incarnations[0].starts.floor_unchecked, unknown);
}

/// Returns the reason that the account states for a pick.
fn reason(pick: PickReason) -> StartReason {
    match pick {
        PickReason::Order => Order,
        PickReason::Floor => Floor,
        PickReason::Fit => Fit,
        PickReason::Requeued => Requeued,
    }
}

proptest! {
    /// Guards against findings for the queue itself, whose windows, unfit tasks and
    /// turned-away tasks verification does not see.
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
        let verdict = verdict(facts, floors(&[&percents]));
        prop_assert_eq!(verdict.findings, []);
    }
}

/// Guards against a finding for a floor that was owed starts while its only task waited
/// for a retry, which the account does not show.
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
    assert_eq!(verdict(facts, floors(&[&[0, 20]])).findings, []);
}

/// Guards against a floor that saves up starts while none of its tasks waits.
#[test]
fn starts_without_a_waiting_task_do_not_count() {
    let mut facts = vec![policy(0, 1)];
    facts.extend((0..BACKLOG).map(|number| admit(number, "a", 0)));
    facts.extend([admit(BACKLOG, "a", 1), cancel(BACKLOG, "a", false)]);
    facts.extend((0..80).map(|number| start(number, "a", Order)));
    let late = BACKLOG + 1..BACKLOG + 3;
    facts.extend(late.clone().map(|number| admit(number, "a", 1)));
    facts.extend(late.map(|number| start(number, "a", Floor)));
    let verdict = verdict(facts, floors(&[&[0, 20]]));
    let [fault] = faults(&verdict)[..] else { panic!("{:#?}", verdict.findings) };
    assert!(matches!(fault, Fault::FloorExceeded { rank: 1, percent: 20, .. }));
}
