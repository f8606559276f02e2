//! Tests of what is known of the free slots of peers.

use std::collections::BTreeSet;

use bamboocart_core::id::{ConfigVersion, InstanceName};
use bamboocart_core::slots::{
    FreeTarget, MAX_REPORTED_TARGETS, PeerSlots, REPORT_STALE_MS, SlotQuery, SlotReport,
};
use bamboocart_core::time::Timestamp;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use yare::parameterized;

const VERSION: ConfigVersion = ConfigVersion(7);

fn at(ms: u64) -> Timestamp {
    Timestamp::from_ms(1_000_000 + ms)
}

fn name(peer: &str) -> InstanceName {
    peer.into()
}

/// A report about one group whose targets have free slots and a run time.
fn report(made_ms: u64, targets: &[(u32, u32)]) -> SlotReport {
    let target = |&(free, run_ms)| FreeTarget { free, run_ms: vec![run_ms] };
    let groups = vec![targets.iter().map(target).collect()];
    SlotReport { made_at: at(made_ms), config_version: VERSION, groups }
}

/// Returns the peers that are offered tasks in turn until no slot is left.
fn offered(slots: &mut PeerSlots, own_ms: Option<u64>, now: Timestamp) -> Vec<String> {
    let mut rng = SmallRng::seed_from_u64(1);
    let wanted = SlotQuery { group: 0, kind: 0, own_us: own_ms.map(|ms| ms * 1_000) };
    let next = || {
        let slot = slots.choose(wanted, VERSION, now, &mut rng)?;
        slots.reserve(&slot, now);
        Some(slot.peer.to_string())
    };
    std::iter::from_fn(next).take(20).collect()
}

/// Guards against offers that gain nothing, that miss a faster slot, or that ask for more
/// slots than were reported.
#[parameterized(
    earliest_finish_first = { 6, &[("a", &[(2, 90)]), ("b", &[(2, 50)])], None, "b b a a" },
    all_targets_of_a_peer = { 6, &[("a", &[(1, 90), (1, 50)])], None, "a a" },
    only_faster_ones = { 6, &[("a", &[(3, 90)]), ("b", &[(3, 50)])], Some(80), "b b" },
    the_hop_costs_more = { 6, &[("a", &[(3, 6)])], Some(7), "" },
    no_gain_within_the_estimate = { 6, &[("a", &[(3, 90)])], Some(100), "" },
    last_free_slot_is_left = { 6, &[("a", &[(1, 50)])], Some(100), "" },
    last_free_slot_just_reported = { 4, &[("a", &[(1, 50)])], Some(100), "a" },
    last_free_slot_without_own = { 6, &[("a", &[(1, 50)])], None, "a" },
    no_free_slot = { 6, &[("a", &[(0, 50)]), ("b", &[])], None, "" },
)]
fn offers(
    after_ms: u64,
    peers: &[(&str, &[(u32, u32)])],
    own_ms: Option<u64>,
    expected: &str,
) {
    let mut slots = PeerSlots::default();
    for (peer, targets) in peers {
        slots.note_report(&name(peer), report(0, targets), at(0));
    }
    assert_eq!(offered(&mut slots, own_ms, at(after_ms)).join(" "), expected);
}

/// Guards against owners that all pick the same one of several equal slots.
#[test]
fn near_equal_slots_are_chosen_at_random() {
    let mut slots = PeerSlots::default();
    slots.note_report(&name("a"), report(0, &[(9, 100)]), at(0));
    slots.note_report(&name("b"), report(0, &[(9, 110)]), at(0));
    slots.note_report(&name("c"), report(0, &[(9, 120)]), at(0));
    let first: Vec<String> = offered(&mut slots, None, at(1));
    let early: BTreeSet<&str> = first[..9].iter().map(String::as_str).collect();
    assert_eq!(early, BTreeSet::from(["a", "b"]));
}

/// What happens to the view of a peer that first reported two slots of 50 ms.
enum News {
    Report { made_ms: u64, free: u32 },
    Heartbeat { free: u32 },
    Bounce,
    Gone,
}

/// Guards against views that an overtaken report or a coarse heartbeat makes worse, and
/// against a peer that is asked for its last slots again and again.
#[parameterized(
    newer_report = { News::Report { made_ms: 5, free: 1 }, 6, None, 1 },
    overtaken_report = { News::Report { made_ms: 0, free: 9 }, 6, None, 2 },
    clock_set_back = { News::Report { made_ms: 0, free: 9 }, REPORT_STALE_MS + 1, None, 9 },
    heartbeat_after_a_report = { News::Heartbeat { free: 9 }, 6, None, 2 },
    heartbeat_after_silence = { News::Heartbeat { free: 9 }, REPORT_STALE_MS + 1, None, 5 },
    heartbeat_tells_no_run_time = {
        News::Heartbeat { free: 9 }, REPORT_STALE_MS + 1, Some(1_000), 0
    },
    bounce = { News::Bounce, 6, None, 1 },
    gone = { News::Gone, 6, None, 0 },
)]
fn news(news: News, at_ms: u64, own_ms: Option<u64>, expected: usize) {
    let (mut slots, peer) = (PeerSlots::default(), name("a"));
    slots.note_report(&peer, report(1, &[(2, 50)]), at(1));
    match news {
        News::Report { made_ms, free } => {
            slots.note_report(&peer, report(made_ms, &[(free, 50)]), at(at_ms));
        }
        News::Heartbeat { free } => {
            slots.note_heartbeat(&peer, VERSION, &[free], at(at_ms))
        }
        News::Bounce => slots.note_rejection(&peer, at(at_ms)),
        News::Gone => slots.forget(&peer),
    }
    assert_eq!(offered(&mut slots, own_ms, at(at_ms)).len(), expected);
}

/// Guards against reports that are read in the order of another configuration.
#[test]
fn reports_of_another_configuration_are_not_used() {
    let mut slots = PeerSlots::default();
    let old = SlotReport { config_version: ConfigVersion(6), ..report(0, &[(2, 50)]) };
    slots.note_report(&name("a"), old, at(0));
    assert!(offered(&mut slots, None, at(1)).is_empty());
}

/// Guards against reports that make frequent messages much larger.
#[test]
fn a_report_is_small() {
    let targets = [(400, 60_000); MAX_REPORTED_TARGETS];
    let mut largest = report(u64::MAX / 2_000, &targets);
    let group = &mut largest.groups[0];
    group.iter_mut().for_each(|target| target.run_ms = vec![60_000; 4]);
    largest.groups.push(largest.groups[0].clone());
    let bytes = bincode::serde::encode_to_vec(&largest, bincode::config::standard());
    assert!(bytes.unwrap().len() <= 150);
}

/// Guards against a peer whose many messages, made before it has heard of offers, are each
/// answered with offers for the same slots, and against slots that stay counted as used.
#[parameterized(
    made_before_the_offers = { 5, "" },
    made_after_them = { 30, "a a a" },
)]
fn offers_outlast_reports_that_miss_them(heard_ms: u64, expected: &str) {
    let mut slots = PeerSlots::default();
    slots.note_report(&name("a"), report(0, &[(2, 50), (1, 90)]), at(0));
    assert_eq!(offered(&mut slots, None, at(1)).len(), 3);
    slots.note_report(&name("a"), report(2, &[(2, 50), (1, 90)]), at(heard_ms));
    assert_eq!(offered(&mut slots, None, at(heard_ms)).join(" "), expected);
}
