//! Tests of when a new instance starts to hold minions.

mod support;

use bamboocart_jobs::{Effect, Engine, Member, Moment};
use support::{entry, frame};
use yare::parameterized;

const START: Moment = Moment(10_000);

/// Upper bound of the time after which an instance that hears from no peer holds minions
/// alone.
const ALONE_MS: u64 = 500;

/// Another instance: whether the group lists it and whether it is alive, so that its
/// frames arrive.
struct Other {
    listed: bool,
    alive: bool,
}

fn member(name: &str) -> Member {
    support::member(name, "marka")
}

/// Delivers an empty frame from a peer.
fn receive_frame(engine: &mut Engine, now: Moment, member: &Member) {
    let peer = engine.peer(now, member);
    engine.frame_arrived(now, peer, frame(now, Vec::new()));
}

/// Returns whether the engine has sent a hold order.
fn holds(engine: &mut Engine) -> bool {
    engine.take_effects().iter().any(|effect| matches!(effect, Effect::Hold(_)))
}

/// Guards against two failures: instances that start at the same time and take all
/// minions from each other in turn, and an instance that holds nothing because the listed
/// members are dead.
#[parameterized(
    named = { true, &[], true, true },
    first = { false, &[], true, true },
    beside_one_that_works = { false, &[Other { listed: true, alive: true }], false, false },
    beside_a_dead_one = { false, &[Other { listed: true, alive: false }], false, true },
    beside_another_newcomer = { false, &[Other { listed: false, alive: true }], true, true },
)]
fn newcomers_wait_for_their_part(
    named: bool,
    others: &[Other],
    holds_at_once: bool,
    holds_later: bool,
) {
    // Every minion is assigned to this instance or to its only peer. Both names are
    // tried, so that this instance is the holder by hash in one of the two rounds.
    let mut at_once = false;
    let mut later = false;
    for (own, other_name) in [("entry-1", "entry-2"), ("entry-2", "entry-1")] {
        let mut engine = Engine::new(member(own), 1);
        engine.update_minions(START, vec![entry("m-1", "marka")]);
        let other = member(other_name);
        let mut members = Vec::new();
        if named {
            members.push(member(own));
        }
        members.extend(others.iter().filter(|it| it.listed).map(|_| other.clone()));
        let alive = others.iter().any(|it| it.alive);
        if alive {
            receive_frame(&mut engine, START, &other);
        }
        engine.set_members(START, 1, &members);
        at_once |= holds(&mut engine);
        let end = START + ALONE_MS;
        if alive {
            receive_frame(&mut engine, end, &other);
        }
        engine.tick(end);
        later |= at_once || holds(&mut engine);
    }
    assert_eq!((at_once, later), (holds_at_once, holds_later));
}

/// Guards against a member that gives its minions up to an instance that does not take
/// them yet, because the group does not list it.
#[test]
fn members_keep_their_minions_until_newcomers_are_named() {
    for (own, other_name) in [("entry-1", "entry-2"), ("entry-2", "entry-1")] {
        let mut engine = Engine::new(member(own), 1);
        engine.update_minions(START, vec![entry("m-1", "marka")]);
        engine.set_members(START, 1, &[member(own)]);
        assert_eq!(engine.status(START).held, 1);
        let now = START + 200;
        receive_frame(&mut engine, now, &member(other_name));
        engine.tick(now);
        assert_eq!(engine.status(now).held, 1);
    }
}

/// Guards against an instance that waits before it holds minions after a quick restart,
/// although the group still lists its earlier incarnation.
#[test]
fn a_restarted_instance_takes_its_part_at_once() {
    let mut engine = Engine::new(Member { incarnation: 2, ..member("entry-1") }, 1);
    engine.update_minions(START, vec![entry("m-1", "marka")]);
    engine.set_members(START, 1, &[member("entry-1")]);
    assert_eq!(engine.status(START).held, 1);
}
