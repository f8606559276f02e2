//! Instances that have come, and when they take part.

mod support;

use bamboocart_jobs::{Effect, Engine, Member, Moment};
use support::{entry, frame};
use yare::parameterized;

/// When the engine is created.
const START: Moment = Moment(10_000);

/// The longest time after which an instance that hears of no one serves alone.
const ALONE_MS: u64 = 500;

/// A member of the group, with whether a frame of it has arrived.
struct Other {
    listed: bool,
    heard: bool,
}

fn member(name: &str) -> Member {
    support::member(name, "marka")
}

/// Lets a frame of a peer arrive.
fn hear(engine: &mut Engine, now: Moment, member: &Member) {
    let peer = engine.peer(now, member);
    engine.frame_arrived(now, peer, frame(now, Vec::new()));
}

/// Returns whether the engine has sent a call that holds a minion.
fn holds(engine: &mut Engine) -> bool {
    engine.take_effects().iter().any(|effect| matches!(effect, Effect::Hold(_)))
}

/// Guards against instances that take all minions from each other in turn when many come at
/// once, and against one that serves nothing because the others are dead.
#[parameterized(
    named = { true, &[], true, true },
    first = { false, &[], true, true },
    beside_one_that_works = { false, &[Other { listed: true, heard: true }], false, false },
    beside_a_dead_one = { false, &[Other { listed: true, heard: false }], false, true },
    beside_another_newcomer = { false, &[Other { listed: false, heard: true }], true, true },
)]
fn newcomers_wait_for_their_part(
    named: bool,
    others: &[Other],
    holds_at_once: bool,
    holds_later: bool,
) {
    // Every minion falls to this instance or to its only peer; both names are tried, so
    // that one of them is the holder by the hash.
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
        let heard = others.iter().any(|it| it.heard);
        if heard {
            hear(&mut engine, START, &other);
        }
        engine.set_members(START, 1, &members);
        at_once |= holds(&mut engine);
        let end = START + ALONE_MS;
        if heard {
            hear(&mut engine, end, &other);
        }
        engine.tick(end);
        later |= at_once || holds(&mut engine);
    }
    assert_eq!((at_once, later), (holds_at_once, holds_later));
}

/// Guards against a member that gives its minions to an instance that does not take them
/// yet, because the group does not name it.
#[test]
fn members_keep_their_minions_until_newcomers_are_named() {
    for (own, other_name) in [("entry-1", "entry-2"), ("entry-2", "entry-1")] {
        let mut engine = Engine::new(member(own), 1);
        engine.update_minions(START, vec![entry("m-1", "marka")]);
        engine.set_members(START, 1, &[member(own)]);
        assert_eq!(engine.status(START).held, 1);
        let now = START + 200;
        hear(&mut engine, now, &member(other_name));
        engine.tick(now);
        assert_eq!(engine.status(now).held, 1);
    }
}

/// Guards against an instance that waits for its part after a quick restart, although the
/// group still names its earlier run.
#[test]
fn a_restarted_instance_takes_its_part_at_once() {
    let mut engine = Engine::new(Member { incarnation: 2, ..member("entry-1") }, 1);
    engine.update_minions(START, vec![entry("m-1", "marka")]);
    engine.set_members(START, 1, &[member("entry-1")]);
    assert_eq!(engine.status(START).held, 1);
}
