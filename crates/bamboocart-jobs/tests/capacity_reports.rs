//! Reports of free capacity between instances, of which only the first on a link is
//! complete.

mod support;

use bamboocart_jobs::{
    CapacityReport, Engine, Frame, Member, Message, Moment, PeerKey, Resources,
};
use support::site::Site;
use support::{
    engine_with_holder, engine_with_minions, entry, frame, member, room, starts_of, step,
    submission,
};
use yare::parameterized;

const START: Moment = Moment(10_000);

/// The capacity of a minion that runs nothing, which takes two tasks of [`step`].
const FREE: Resources =
    Resources { cpu_millicores: 2_000, memory_mb: 4_096, gpu_count: 0 };

/// The number of minions that the sender of the reports holds.
const MINIONS: usize = 12;

/// Returns a report of a minion.
fn report(minion: &str, free: Resources) -> CapacityReport {
    CapacityReport { minion: minion.into(), free, pace_permille: 1_000 }
}

/// Returns the reports in the frames to a peer that are due, and whether they are complete.
fn reports(engine: &mut Engine, now: Moment) -> Vec<(bool, Vec<CapacityReport>)> {
    let frames: Vec<(PeerKey, Frame)> = engine.take_frames(now);
    let messages = frames.into_iter().flat_map(|(_, frame)| frame.messages);
    messages
        .filter_map(|message| match message {
            Message::FreeCapacity(reports) => Some((true, reports)),
            Message::CapacityChanges(reports) => Some((false, reports)),
            _ => None,
        })
        .collect()
}

/// Returns an engine that holds all minions and has told a peer their capacity, and the
/// peer.
fn holder() -> (Engine, PeerKey) {
    let (mut engine, _) = engine_with_minions(START, MINIONS);
    let peer = engine.peer(START, &member("entry-2", "sahab"));
    engine.link_opened(peer);
    engine.frame_arrived(START, peer, frame(START, Vec::new()));
    let first = reports(&mut engine, START);
    assert_eq!(first.len(), 1);
    assert!(first[0].0 && first[0].1.len() == MINIONS, "the first report: {first:?}");
    (engine, peer)
}

/// Guards against links that fill with reports of minions that have not changed, while many
/// short tasks begin and end: the reports took a third of what an instance sends.
#[test]
fn a_report_names_only_what_has_changed() {
    let (mut engine, _) = holder();
    engine.submit(START, submission(1, vec![step(1, &[])]));
    let starts = starts_of(engine.take_effects());
    let later = reports(&mut engine, START + 100);
    assert_eq!(later.len(), 1);
    let (complete, changes) = &later[0];
    let free = Resources { cpu_millicores: 1_000, memory_mb: 4_032, gpu_count: 0 };
    assert!(!complete);
    assert_eq!(changes.len(), 1, "{changes:?}");
    assert_eq!(changes[0].free, free);
    assert_eq!(starts.len(), 1);
}

/// Guards against a peer that applies changes to a report that was lost with a link.
#[test]
fn the_first_report_on_a_new_link_is_complete() {
    let (mut engine, peer) = holder();
    engine.link_lost(START, peer);
    engine.link_opened(peer);
    let next = reports(&mut engine, START + 100);
    assert!(next[0].0 && next[0].1.len() == MINIONS, "{next:?}");
}

/// A change of the capacity that a peer reports, and how many tasks can be placed there.
struct Case {
    /// The changes, after a report of two minions of which the first is free.
    changes: Vec<CapacityReport>,
    /// The number of tasks that fit.
    tasks: usize,
}

/// Guards against changes that are applied to other minions than they name, or that bring
/// back capacity which is gone.
#[test]
fn changes_apply_to_the_last_report() {
    let none = Resources::default();
    let cases = [
        Case { changes: Vec::new(), tasks: 2 },
        Case { changes: vec![report("m-2", FREE)], tasks: 4 },
        Case { changes: vec![report("m-1", none)], tasks: 0 },
        Case { changes: vec![report("m-1", none), report("m-2", FREE)], tasks: 2 },
        Case { changes: vec![report("m-9", FREE)], tasks: 2 },
    ];
    for (number, case) in cases.into_iter().enumerate() {
        let (mut engine, holder) = engine_with_holder(START);
        let changes = Message::CapacityChanges(case.changes);
        engine.frame_arrived(START, holder, frame(START, vec![room("m-1", FREE)]));
        engine.frame_arrived(START + 1, holder, frame(START + 1, vec![changes]));
        engine.submit(START + 1, submission(1, vec![step(6, &[])]));
        let frames = engine.take_frames(START + 1).into_iter();
        let messages = frames.flat_map(|(_, frame)| frame.messages);
        let starts = messages.filter(|it| matches!(it, Message::Start { .. })).count();
        assert_eq!(starts, case.tasks, "case {number}");
    }
}

/// Guards against capacity that stays reserved for a start that the holder has rejected: the
/// capacity has not changed, so no report names the minion.
#[test]
fn a_reservation_ends_with_the_next_report() {
    let (mut engine, holder) = engine_with_holder(START);
    engine.frame_arrived(START, holder, frame(START, vec![room("m-1", FREE)]));
    engine.submit(START, submission(1, vec![step(2, &[])]));
    let placed = |engine: &mut Engine, now| {
        let frames = engine.take_frames(now).into_iter();
        let messages = frames.flat_map(|(_, frame)| frame.messages);
        messages.filter(|it| matches!(it, Message::Start { .. })).count()
    };
    assert_eq!(placed(&mut engine, START), 2);
    let mut other = submission(2, vec![step(2, &[])]);
    other.job.id = "00000000000000bb".parse().unwrap();
    engine.submit(START + 1, other);
    assert_eq!(placed(&mut engine, START + 1), 0, "the capacity is taken twice");
    let nothing = Message::CapacityChanges(Vec::new());
    engine.frame_arrived(START + 50, holder, frame(START + 50, vec![nothing]));
    assert_eq!(placed(&mut engine, START + 50), 2);
}

/// What separates an owner from the reports of its neighbours for a moment.
struct Interruption {
    /// What happens.
    play: fn(&mut Site),
}

/// The instance that has a job to place.
const OWNER: usize = 0;

/// The number of instances, one more than an owner and its neighbours in one domain.
const INSTANCES: usize = 8;

/// The number of minions of the site.
const SITE_MINIONS: usize = 40;

/// Returns the members of the site, in their order.
fn members() -> Vec<Member> {
    (0..INSTANCES).map(|number| member(&format!("entry-{number}"), "marka")).collect()
}

/// Closes the owner's links and opens them again.
fn reopen_links(site: &mut Site) {
    (1..INSTANCES).for_each(|peer| site.close_link(OWNER, peer));
    site.pass(100);
    (1..INSTANCES).for_each(|peer| site.open_link(OWNER, peer));
}

/// Lets an instance join the group for a moment, which replaces one of the neighbours.
fn add_member_for_a_moment(site: &mut Site) {
    let with_another: Vec<Member> =
        members().into_iter().chain([member("entry-0a", "marka")]).collect();
    let now = site.now;
    site.engines[OWNER].set_members(now, 2, &with_another);
    site.engines[OWNER].set_members(now, 3, &members());
}

/// Guards against an owner that forgets what a peer has reported while the peer goes on to
/// report only changes: minions that stay idle are not in them.
#[parameterized(
    links_lost = { Interruption { play: reopen_links } },
    neighbours_changed = { Interruption { play: add_member_for_a_moment } },
)]
fn an_owner_knows_idle_minions_after_an_interruption(interruption: Interruption) {
    let started = |play: fn(&mut Site)| {
        let minions = (0..SITE_MINIONS).map(|it| entry(&format!("m-{it}"), "marka"));
        let mut site = Site::new(members(), minions.collect());
        play(&mut site);
        site.pass(500);
        site.submit(OWNER, submission(1, vec![step(2 * SITE_MINIONS as u16, &[])]));
        site.pass(50);
        site.starts.len()
    };
    let calm = started(|_| {});
    assert!(calm > SITE_MINIONS, "{calm} tasks are placed without an interruption");
    assert_eq!(started(interruption.play), calm);
}
