//! Table tests of membership.

use std::collections::BTreeMap;

use bamboocart_core::config::{Role, StopPlan};
use bamboocart_core::id::{ConfigVersion, Incarnation, StopPlanName};
use bamboocart_core::membership::*;
use bamboocart_core::time::Timestamp;
use yare::parameterized;

use self::PeerStep::*;
use self::TargetStep::*;
use PeerState::*;

/// The time at which the tables start.
const START_MS: u64 = 1_000_000;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_ms(START_MS + ms)
}

fn info(name: &str, domain: &str, incarnation: u64) -> PeerInfo {
    PeerInfo {
        name: name.into(),
        incarnation: Incarnation(incarnation),
        domain: domain.into(),
        address: "127.0.0.1:7000".into(),
    }
}

fn heartbeat(info: PeerInfo, known_peers: Vec<PeerInfo>) -> Heartbeat {
    let config_version = ConfigVersion(1);
    Heartbeat { info, leaving: false, config_version, free_slots: vec![0], known_peers }
}

fn target(name: &str, incarnation: u64) -> TargetInfo {
    TargetInfo {
        name: name.into(),
        role: Role::Minion,
        service: "s".into(),
        domain: "d".into(),
        rack: None,
        incarnation: Incarnation(incarnation),
        address: "127.0.0.1:8000".into(),
        slots: 8,
        connections: 64,
        cpus: 0,
        memory_mb: 0,
    }
}

/// An event of the peer `p` as this instance sees it, or a check of its state.
#[derive(Clone, Copy, Debug)]
enum PeerStep {
    /// A heartbeat of an incarnation arrives.
    Beat(u64),
    /// A heartbeat of another instance names an incarnation as a known peer.
    Known(u64),
    /// A message other than a heartbeat arrives from an incarnation.
    Message(u64),
    /// The platform's list names an incarnation, as leaving or not.
    Listed(u64, bool),
    /// Time passes, with a tick every 100 ms.
    Wait(u64),
    /// Time passes, with a heartbeat of an incarnation every second.
    Beats(u64, u64),
    /// This process is paused for this time.
    Pause(u64),
    /// Expects the peer in this state with this incarnation.
    Is(PeerState, u64),
    /// Expects the peer to be leaving or not.
    Leaves(bool),
    /// Expects this number of changes since the last check.
    Changes(usize),
}

/// Guards against a dead peer that keeps its targets, a slow one that loses them, an old
/// process that replaces a new one, and a flapping state.
#[parameterized(
    silence = { &[Beat(1), Wait(2_900), Is(Live, 1), Wait(100), Is(Suspect, 1),
        Wait(1_900), Is(Suspect, 1), Wait(100), Is(Dead, 1), Changes(3)] },
    any_message_counts = { &[Beat(1), Wait(2_900), Message(1), Wait(2_900), Is(Live, 1),
        Changes(1)] },
    suspect_recovers_at_once = { &[Beat(1), Wait(4_000), Beat(1), Is(Live, 1)] },
    higher_replaces_at_once = { &[Beat(1), Beat(2), Is(Live, 2), Changes(3)] },
    known_higher_replaces = { &[Beat(1), Known(2), Is(Learned, 2), Beat(1),
        Is(Learned, 2), Changes(2)] },
    lower_is_ignored = { &[Beat(2), Wait(2_900), Beat(1), Message(1), Known(1), Wait(100),
        Is(Suspect, 2)] },
    learned_is_not_live = { &[Known(1), Is(Learned, 1), Wait(5_000), Is(Dead, 1),
        Known(1), Is(Dead, 1), Changes(0)] },
    one_beat_does_not_revive = { &[Beat(1), Wait(5_000), Beat(1), Is(Returning, 1),
        Wait(5_000), Is(Dead, 1), Changes(3)] },
    steady_beats_revive = { &[Beat(1), Wait(5_000), Beats(1, 3_000), Is(Returning, 1),
        Beat(1), Is(Live, 1), Changes(4)] },
    rare_beats_do_not_revive = { &[Beat(1), Wait(5_000), Beat(1), Wait(4_000), Beat(1),
        Wait(4_000), Beat(1), Is(Returning, 1)] },
    dead_is_replaced_at_once = { &[Beat(1), Wait(9_000), Beat(2), Is(Live, 2)] },
    local_pause_makes_no_peer_dead = { &[Beat(1), Pause(60_000), Wait(2_900), Is(Live, 1),
        Wait(2_100), Is(Dead, 1)] },
    leaving_is_final = { &[Beat(1), Listed(1, true), Leaves(true), Listed(1, false),
        Beat(1), Leaves(true), Changes(2), Beat(2), Leaves(false)] },
    old_listing_does_not_apply = { &[Beat(2), Listed(1, true), Leaves(false),
        Is(Live, 2)] },
)]
fn peer_states(steps: &[PeerStep]) {
    let mut membership = Membership::new(info("me", "d", 1), at(0));
    let (mut ms, mut version, mut changes) = (0, 0, 0);
    for &step in steps {
        let peers = &mut membership.peers;
        match step {
            Beat(run) => {
                let heartbeat = heartbeat(info("p", "e", run), vec![]);
                changes += count_changes_of_p(&peers.note_heartbeat(heartbeat, at(ms)));
            }
            Known(run) => {
                let heartbeat = heartbeat(info("q", "e", 1), vec![info("p", "e", run)]);
                changes += count_changes_of_p(&peers.note_heartbeat(heartbeat, at(ms)));
            }
            Message(run) => {
                changes += count_changes_of_p(&peers.note_message(
                    &"p".into(),
                    Incarnation(run),
                    at(ms),
                ));
            }
            Listed(run, leaving) => {
                version += 1;
                let instances = vec![(info("p", "e", run), leaving)];
                let list = MemberList { version, instances, ..Default::default() };
                match membership.merge_list(list, at(ms)) {
                    ListVerdict::Applied(more) => changes += count_changes_of_p(&more),
                    other => panic!("{other:?}"),
                }
            }
            Wait(wait_ms) | Beats(_, wait_ms) => {
                for passed in (0..wait_ms).step_by(100) {
                    if let (Beats(run, _), 0) = (step, passed % 1_000) {
                        let heartbeat = heartbeat(info("p", "e", run), vec![]);
                        changes +=
                            count_changes_of_p(&peers.note_heartbeat(heartbeat, at(ms)));
                    }
                    ms += 100;
                    changes += count_changes_of_p(&peers.tick(at(ms)));
                }
            }
            Pause(pause_ms) => {
                ms += pause_ms;
                changes += count_changes_of_p(&peers.tick(at(ms)));
            }
            Is(state, run) => {
                let p = peers.get(&"p".into()).unwrap();
                assert_eq!((p.state, p.info.incarnation.0), (state, run), "at {ms} ms");
                // A returning peer can provide its configuration before it is live.
                let is_reachable = matches!(state, Live | Suspect | Returning);
                let mut reachable = peers.reachable();
                let is_p = reachable.any(|peer| peer.info.name.as_str() == "p");
                assert_eq!(is_p, is_reachable, "at {ms} ms");
            }
            Leaves(leaves) => {
                assert_eq!(peers.get(&"p".into()).unwrap().leaving, leaves);
            }
            Changes(want) => {
                assert_eq!(changes, want, "at {ms} ms");
                changes = 0;
            }
        }
    }
}

/// Counts the changes of the peer `p`.
fn count_changes_of_p(changes: &[PeerChange]) -> usize {
    changes.iter().filter(|change| change.name.as_str() == "p").count()
}

/// Guards against a table that grows without bound, or that evicts live peers.
#[test]
fn peers_are_bounded() {
    let mut peers = Peers::new(info("me", "d", 1), at(0));
    for number in 0..MAX_PEERS {
        peers.note_heartbeat(
            heartbeat(info(&format!("p{number}"), "e", 1), vec![]),
            at(0),
        );
    }
    peers.note_heartbeat(heartbeat(info("late", "e", 1), vec![]), at(0));
    assert_eq!(
        (peers.iter().count(), peers.get(&"late".into()).is_none()),
        (MAX_PEERS, true)
    );
    for ms in (0..=DEAD_MS).step_by(100) {
        peers.note_message(&"p0".into(), Incarnation(1), at(ms));
        peers.tick(at(ms));
    }
    peers.note_heartbeat(heartbeat(info("late", "e", 1), vec![]), at(DEAD_MS));
    assert_eq!(peers.iter().count(), MAX_PEERS);
    assert!(peers.get(&"late".into()).is_some() && peers.get(&"p0".into()).is_some());
}

struct HeartbeatCase {
    /// The number of peers in the same failure domain and in others.
    same: usize,
    other: usize,
    /// The longest time between two heartbeats to a peer of each kind.
    same_ms: u64,
    other_ms: u64,
    bytes_per_s: u64,
}

/// Guards against heartbeats that exceed the budget of 7 KB/s, counted in both
/// directions, and against intervals that make healthy peers suspect.
#[parameterized(
    customer_today = { HeartbeatCase { same: 2, other: 4, same_ms: 1_000, other_ms: 2_500,
        bytes_per_s: 1_000 } },
    four_domains = { HeartbeatCase { same: 12, other: 36, same_ms: 1_000, other_ms: 2_500,
        bytes_per_s: 6_500 } },
    uneven_domains = { HeartbeatCase { same: 19, other: 29, same_ms: 1_200,
        other_ms: 2_500, bytes_per_s: 7_000 } },
    one_domain = { HeartbeatCase { same: 48, other: 0, same_ms: 1_700, other_ms: 0,
        bytes_per_s: 7_000 } },
    none_in_the_same_domain = { HeartbeatCase { same: 0, other: 48, same_ms: 0,
        other_ms: 2_500, bytes_per_s: 7_000 } },
)]
fn heartbeats_stay_within_the_budget(case: HeartbeatCase) {
    let mut peers = Peers::new(info("me", "d", 1), at(0));
    for number in 0..case.same + case.other {
        let domain = if number < case.same { "d" } else { "e" };
        peers.note_heartbeat(
            heartbeat(info(&format!("p{number}"), domain, 1), vec![]),
            at(0),
        );
    }
    let (mut last, mut gaps, mut sent) = (BTreeMap::new(), [0, 0], 0);
    for ms in (0..70_000).step_by(100) {
        for number in 0..case.same + case.other {
            peers.note_message(&format!("p{number}").into(), Incarnation(1), at(ms));
        }
        peers.tick(at(ms));
        for to in peers.due_heartbeats(at(ms)) {
            let gap = ms - last.insert(to.name, ms).unwrap_or(0);
            let kind = usize::from(to.domain.as_str() != "d");
            gaps[kind] = gap.max(gaps[kind]);
            sent += u64::from(ms >= 10_000);
        }
    }
    let bytes_per_s = sent * HEARTBEAT_BYTES * 2 / 60;
    println!("{} + {}: {gaps:?} ms, {bytes_per_s} bytes/s", case.same, case.other);
    assert!(bytes_per_s < case.bytes_per_s, "{bytes_per_s} bytes/s");
    assert!(gaps[0] <= case.same_ms && gaps[1] <= case.other_ms, "{gaps:?} ms");
}

/// Guards against heartbeats that grow with the number of peers, and against peers that a
/// newcomer never learns of.
#[parameterized(
    without_list = { true, 30 },
    with_list = { false, 160 },
)]
fn heartbeats_are_small_and_name_every_peer(list_is_stale: bool, heartbeats: usize) {
    let mut peers = Peers::new(info("dispatch-01", "nonth-a", u64::MAX / 4), at(0));
    for number in 10..40 {
        peers.note_heartbeat(
            heartbeat(info(&format!("dispatch-{number}"), "bkk-a", 1), vec![]),
            at(0),
        );
    }
    let mut named: Vec<_> = (0..heartbeats)
        .flat_map(|_| {
            let heartbeat = peers.heartbeat(
                (false, list_is_stale),
                ConfigVersion(u64::MAX / 2),
                vec![400, 800],
            );
            let config = bincode::config::standard();
            let bytes = bincode::serde::encode_to_vec(&heartbeat, config).unwrap();
            assert!(
                bytes.len() + 20 <= HEARTBEAT_BYTES as usize,
                "{} bytes",
                bytes.len()
            );
            heartbeat.known_peers
        })
        .map(|info| info.name)
        .collect();
    // One heartbeat in four carries a known peer while the list is readable.
    assert!(list_is_stale || named.len() <= heartbeats / 3, "{} named", named.len());
    named.sort();
    named.dedup();
    assert_eq!(named.len(), 30);
}

/// Guards against a number of recipients for which one of them never gets a known peer.
#[test]
fn every_recipient_gets_known_peers() {
    for recipients in 1..=48 {
        let mut peers = Peers::new(info("me", "d", 1), at(0));
        peers.note_heartbeat(heartbeat(info("p", "d", 1), vec![]), at(0));
        let mut named = vec![0; recipients];
        for number in 0..recipients * 64 {
            let heartbeat = peers.heartbeat((false, false), ConfigVersion(1), vec![]);
            named[number % recipients] += heartbeat.known_peers.len();
        }
        assert!(named.iter().all(|&count| count > 0), "{recipients}: {named:?}");
    }
}

/// Guards against an address that changes by being encoded and decoded.
#[parameterized(
    v4 = { "10.1.2.3:7200", 9 },
    v6 = { "[fe80::1]:7200", 21 },
    unusual = { "010.1.2.3:7200", 16 },
    text = { "seed", 6 },
)]
fn addresses_are_short_and_kept(address: &str, bytes: usize) {
    let config = bincode::config::standard();
    let info = PeerInfo { address: address.into(), ..info("", "", 1) };
    let encoded = bincode::serde::encode_to_vec(&info, config).unwrap();
    // Two empty names and an incarnation of one byte.
    assert_eq!(encoded.len() - 3, bytes);
    let (read, _): (PeerInfo, usize) =
        bincode::serde::decode_from_slice(&encoded, config).unwrap();
    assert_eq!(read, info);
}

/// An event of the targets `t0` to `t9`, all listed in version 1 at 0 ms, or a check of
/// their state.
#[derive(Clone, Debug)]
enum TargetStep {
    /// Merges a list of a version with this many targets, from `t0` on, and expects this
    /// verdict.
    List(u64, u64, &'static str),
    /// Merges a list of a version with an incarnation of `t0`, leaving or not, and all
    /// other targets.
    ListOne(u64, u64, bool),
    /// Sends the probes that are due every 500 ms until the given time; this many
    /// targets, from `t0` on, answer them.
    Probe(u64, u64),
    /// Marks an incarnation of `t0` as leaving.
    Leave(LeavingSource, u64),
    /// Expects `t0` to serve or not.
    Serves(bool),
    /// Expects this number of serving targets.
    Serving(usize),
}

/// Guards against new work for a leaving target, against a faulty list that removes most
/// targets, and against one that cannot remove dead targets.
#[parameterized(
    newer_list_removes = { &[List(2, 6, "applied"), Serving(6)] },
    older_list_is_ignored = { &[List(3, 9, "applied"), List(2, 10, "older"), Serving(9)]
        },
    half_may_go = { &[List(2, 5, "applied"), Serving(5)] },
    more_than_half_is_implausible = { &[List(2, 4, "implausible"), Serving(10)] },
    empty_list_is_implausible = { &[List(2, 0, "implausible"), Serving(10)] },
    implausible_while_they_answer = { &[List(2, 2, "implausible"), Probe(10, 20_000),
        List(2, 2, "implausible"), Serving(10)] },
    applied_once_they_are_silent = { &[List(2, 2, "implausible"), Probe(3, 20_000),
        List(2, 2, "applied"), Serving(2)] },
    leaving_by_list_is_final = { &[ListOne(2, 1, true), Serves(false),
        ListOne(3, 1, false), Serves(false), ListOne(4, 2, false), Serves(true)] },
    leaving_outlives_a_gap_in_the_list = { &[Leave(LeavingSource::TaskRejected, 1),
        List(2, 0, "implausible"), Probe(0, 20_000), List(3, 0, "applied"),
        List(4, 10, "applied"), Serves(false), Serving(9)] },
    leaving_of_an_old_run_is_ignored = { &[ListOne(2, 2, false),
        Leave(LeavingSource::Probe, 1), Serves(true), ListOne(3, 1, true),
        Serves(true)] },
)]
fn merges_lists(steps: &[TargetStep]) {
    let mut membership = Membership::new(info("me", "d", 1), at(0));
    let name = |number: u64| format!("t{number}");
    let mut ms = 0;
    let list = |version, count, first: (u64, bool)| MemberList {
        version,
        as_of_ms: version,
        instances: vec![],
        targets: (0..count)
            .map(|number| match number {
                0 => (target("t0", first.0), first.1),
                _ => (target(&name(number), 1), false),
            })
            .collect(),
    };
    membership.merge_list(list(1, 10, (1, false)), at(0));
    for step in steps {
        match *step {
            List(version, count, want) => {
                let got = match membership
                    .merge_list(list(version, count, (1, false)), at(ms))
                {
                    ListVerdict::Applied(_) => "applied",
                    ListVerdict::Older => "older",
                    ListVerdict::Implausible => "implausible",
                };
                assert_eq!(got, want, "{step:?}");
            }
            ListOne(version, run, leaving) => {
                membership.merge_list(list(version, 10, (run, leaving)), at(ms));
            }
            Probe(answering, until_ms) => {
                while ms < until_ms {
                    ms += 500;
                    for probed in membership.due_probes(at(ms), |_| false) {
                        let number: u64 = probed.name.as_str()[1..].parse().unwrap();
                        if number < answering {
                            let run = probed.incarnation;
                            membership.targets.note_probe_answer(
                                &probed.name,
                                run,
                                false,
                                at(ms),
                            );
                        }
                    }
                }
            }
            Leave(source, run) => {
                membership.targets.mark_leaving(&"t0".into(), Incarnation(run), source);
            }
            Serves(serves) => {
                let target = membership.targets.get(&"t0".into()).unwrap();
                assert_eq!(target.is_serving(), serves);
            }
            Serving(count) => assert_eq!(membership.targets.serving().count(), count),
        }
    }
}

/// Guards against a list that removes instances which still answer, and against one that
/// cannot remove dead instances.
#[parameterized(
    all_answer = { 4, false },
    one_answers = { 1, true },
)]
fn lists_cannot_remove_answering_instances(answering: usize, applied: bool) {
    let mut membership = Membership::new(info("me", "d", 1), at(0));
    let names = ["a", "b", "c", "d"];
    let instances = names.map(|name| (info(name, "d", 1), false)).to_vec();
    membership
        .merge_list(MemberList { version: 1, instances, ..Default::default() }, at(0));
    for ms in (0..=6_000).step_by(100) {
        for name in &names[..answering] {
            membership
                .peers
                .note_heartbeat(heartbeat(info(name, "d", 1), vec![]), at(ms));
        }
        membership.peers.tick(at(ms));
    }
    assert!(!membership.uses(&target("t0", 1), true));
    let empty = MemberList { version: 2, ..Default::default() };
    let verdict = membership.merge_list(empty, at(6_000));
    assert_eq!(verdict != ListVerdict::Implausible, applied);
    assert_eq!(membership.peers.serving().count(), answering);
}

/// Guards against detecting a leaving target late while the platform is down, and against
/// more probes per second than the limit.
#[parameterized(
    few = { 20, 10 },
    forty = { 40, 20 },
    sixty = { 60, 30 },
    most = { 150, 40 },
)]
fn probes_are_complete_and_bounded(count: usize, per_s: usize) {
    let mut membership = Membership::new(info("me", "d", 1), at(0));
    let targets = (0..count).map(|n| (target(&format!("t{n}"), 1), false)).collect();
    membership
        .merge_list(MemberList { version: 1, targets, ..Default::default() }, at(0));
    let (mut probed, mut each_second) = (BTreeMap::new(), BTreeMap::new());
    for ms in (0..15_000).step_by(100) {
        membership.targets.note_answer(&"t0".into(), at(ms));
        let due = membership.due_probes(at(ms), |info| info.name.as_str() != "t1");
        assert!(
            due.is_empty() || ms > LIST_STALE_MS,
            "probes of a fresh list at {ms} ms"
        );
        for info in due {
            *each_second.entry(ms / 1_000).or_insert(0) += 1;
            let gap = ms - probed.insert(info.name.clone(), ms).unwrap_or(LIST_STALE_MS);
            assert!(gap <= 4_500, "{} waited {gap} ms", info.name);
            membership.targets.note_answer(&info.name, at(ms));
        }
    }
    assert_eq!(probed.len(), count - 2);
    assert!(each_second.values().all(|&probes| probes <= per_s), "{each_second:?}");
}

/// Guards against using targets that are partitioned off together with the instances of
/// their failure domain, and against targets that no instance uses after the last of
/// those is gone.
#[test]
fn orphans_are_used_while_they_answer() {
    let mut membership = Membership::new(info("me", "d", 1), at(0));
    let cut_off = TargetInfo { domain: "e".into(), ..target("t1", 1) };
    let targets = vec![(target("t0", 1), false), (cut_off.clone(), false)];
    membership
        .merge_list(MemberList { version: 1, targets, ..Default::default() }, at(0));
    assert!(
        membership.has_local_instance(&target("t0", 1))
            && !membership.has_local_instance(&cut_off)
    );
    assert!(membership.responsive_orphans(at(0)).is_empty());
    let mut probes = |ms, answers: bool| {
        let due = membership.due_probes(at(ms), |_| true);
        let names: Vec<_> = due.iter().map(|it| it.name.as_str().to_owned()).collect();
        if answers {
            due.iter().for_each(|it| membership.targets.note_answer(&it.name, at(ms)));
        }
        (names, membership.responsive_orphans(at(ms + 1_000)).len())
    };
    assert_eq!(probes(0, true), (vec!["t1".to_owned()], 1));
    assert_eq!(probes(PROBE_INTERVAL_MS, false), (vec!["t1".to_owned()], 0));
    membership.peers.note_heartbeat(heartbeat(info("other", "e", 1), vec![]), at(3_000));
    assert!(membership.has_local_instance(&cut_off));
}

fn plan(members: &[&str], drain_ms: u64, at_once: u32, after: &[&str]) -> StopPlan {
    let (targets, instances): (Vec<&str>, Vec<&str>) =
        members.iter().partition(|name| name.starts_with('t'));
    StopPlan {
        targets: targets.into_iter().map(Into::into).collect(),
        instances: instances.into_iter().map(Into::into).collect(),
        drain_ms,
        at_once,
        after: after.iter().map(|&name| name.into()).collect(),
    }
}

struct StopCase {
    plans: Vec<(&'static str, StopPlan)>,
    /// The members with the time in milliseconds at which they begin to leave.
    want: &'static [(&'static str, u64)],
}

/// Guards against members that stop too early, all at once, or before the plan that their
/// own plan waits for has ended.
#[parameterized(
    one_by_one = { StopCase { plans: vec![("p", plan(&["t1", "t2", "i1"], 100, 1, &[]))],
        want: &[("t1", 0), ("t2", 100), ("i1", 200)] } },
    two_at_once = { StopCase { plans:
        vec![("p", plan(&["t1", "t2", "t3"], 100, 2, &[]))], want: &[("t1", 0),
        ("t2", 0), ("t3", 100)] } },
    zero_at_once_means_one = { StopCase { plans:
        vec![("p", plan(&["t1", "t2"], 100, 0, &[]))], want: &[("t1", 0), ("t2", 100)] }
        },
    after_another = { StopCase { plans: vec![ ("a", plan(&["t3"], 50, 1, &["b", "c"])),
        ("b", plan(&["t1", "t2"], 100, 1, &[])), ("c", plan(&["i1"], 70, 1, &[])), ],
        want: &[("t1", 0), ("i1", 0), ("t2", 100), ("t3", 200)] } },
    cycles_never_begin = { StopCase { plans: vec![ ("a", plan(&["t1"], 50, 1, &["b"])),
        ("b", plan(&["t2"], 50, 1, &["a"])), ("c", plan(&["t3"], 50, 1, &[])), ], want:
        &[("t3", 0)] } },
)]
fn stops_in_order(case: StopCase) {
    let plans: BTreeMap<StopPlanName, StopPlan> =
        case.plans.into_iter().map(|(name, plan)| (name.into(), plan)).collect();
    let schedule = StopSchedule::new(&plans, |_| at(0));
    assert_eq!(schedule.stops().len(), case.want.len());
    for &(name, from_ms) in case.want {
        let member = match name.starts_with('t') {
            true => Member::Target(name.into()),
            false => Member::Instance(name.into()),
        };
        let old = Incarnation(1);
        let restarted = Incarnation(at(from_ms).as_us());
        let before = Timestamp::from_us(at(from_ms).as_us() - 1);
        assert_eq!(schedule.leaving(&member, old, before), None, "{name}");
        assert!(schedule.leaving(&member, old, at(from_ms)).is_some(), "{name}");
        assert!(schedule.leaves_soon(&member, old, before, 1), "{name}");
        assert_eq!(schedule.leaving(&member, restarted, at(9_999)), None, "{name}");
    }
    let mut membership = Membership::new(info("me", "d", 1), at(0));
    let targets = vec![(target("t1", 1), false), (target("t3", 1), false)];
    membership
        .merge_list(MemberList { version: 1, targets, ..Default::default() }, at(0));
    membership.peers.note_heartbeat(heartbeat(info("i1", "d", 1), vec![]), at(0));
    let (left, changes) = membership.apply_stops(&schedule, at(9_999));
    let listed = ["t1", "t3"].iter().filter(|it| case.want.iter().any(|w| w.0 == **it));
    assert_eq!(left.len(), listed.count());
    assert_eq!(changes.len(), case.want.iter().filter(|want| want.0 == "i1").count());
    assert_eq!(membership.apply_stops(&schedule, at(9_999)), (vec![], vec![]));
}

/// Guards against targets that are reassigned needlessly when an instance joins or
/// leaves, that are assigned to two instances in one view, or that stay unassigned when
/// their failure domain has no instance.
#[test]
fn assignment_is_stable() {
    proptest::proptest!(|(size in 1..12_usize, gone in 0..12_usize, far in 0..3_usize)| {
        let same = (0..size).map(|n| info(&format!("i{n}"), "d", 1));
        let far = (0..far).map(|n| info(&format!("f{n}"), "e", 1));
        let all: Vec<_> = same.chain(far).collect();
        let remains = |info: &&PeerInfo| info.name.as_str() != format!("i{gone}");
        let left: Vec<_> = all.iter().filter(remains).collect();
        for number in 0..50 {
            let name = format!("t{number}").as_str().into();
            let before = assigned_instance(&name, &"d".into(), all.iter()).unwrap();
            let after = assigned_instance(&name, &"d".into(), left.iter().copied());
            proptest::prop_assert_eq!(before.domain.as_str(), "d");
            if remains(&before) {
                proptest::prop_assert_eq!(Some(before), after);
            }
            proptest::prop_assert_eq!(after.is_none(), left.is_empty());
        }
    });
}

/// Guards against assigning most of the targets to one instance.
#[test]
fn assignment_is_even() {
    let instances: Vec<_> =
        (0..7).map(|n| info(&format!("dispatch-{n}"), "d", 1)).collect();
    let mut counts = BTreeMap::new();
    for number in 0..1_200 {
        let name = format!("worker-{number}").as_str().into();
        let assigned = assigned_instance(&name, &"d".into(), instances.iter()).unwrap();
        *counts.entry(&assigned.name).or_insert(0) += 1;
    }
    assert_eq!(counts.len(), 7);
    assert!(counts.values().all(|count| (120..=230).contains(count)), "{counts:?}");
}

/// Guards against handing over to a peer that is leaving, silent, or about to stop.
#[parameterized(
    near_first = { &[("far", "e", 90), ("near", "d", 1)], &[], Some("near") },
    most_free_slots = { &[("a", "d", 1), ("b", "d", 9), ("c", "d", 3)], &[], Some("b") },
    not_a_stopping_one = { &[("a", "d", 1), ("b", "d", 9)], &["b"], Some("a") },
    not_a_silent_one = { &[("old", "d", 90), ("a", "e", 1)], &[], Some("a") },
    nobody = { &[("old", "d", 1)], &[], None },
)]
fn chooses_a_successor(
    others: &[(&str, &str, u32)],
    stopping: &[&str],
    want: Option<&str>,
) {
    let mut peers = Peers::new(info("me", "d", 1), at(0));
    for &(name, domain, free_slots) in others {
        let free_slots = vec![free_slots];
        let heartbeat =
            Heartbeat { free_slots, ..heartbeat(info(name, domain, 1), vec![]) };
        peers.note_heartbeat(heartbeat, at(0));
    }
    for ms in (0..=SUSPECT_MS).step_by(1_000) {
        for &(name, ..) in others.iter().filter(|(name, ..)| *name != "old") {
            peers.note_message(&name.into(), Incarnation(1), at(ms));
        }
        peers.tick(at(ms));
    }
    let got = choose_successor(&peers, |name| stopping.contains(&name.as_str()));
    assert_eq!(got.map(|peer| peer.info.name.as_str()), want);
}

/// Guards against a list that is stale although the platform confirms it, and against
/// confirming a list that was ignored or never read.
#[parameterized(
    same_version_later_time = { 3, 20_000, true, false },
    same_version_same_time = { 3, 10_000, true, true },
    version_that_is_not_in_force = { 4, 20_000, false, true },
)]
fn confirms_the_list_in_force(version: u64, as_of_ms: u64, in_force: bool, stale: bool) {
    let mut membership = Membership::new(info("me", "d", 1), at(0));
    let list = MemberList { version: 3, as_of_ms: 10_000, ..MemberList::default() };
    membership.merge_list(list, at(0));
    let late = at(LIST_STALE_MS + 1);
    assert!(membership.is_stale(late));
    assert_eq!(membership.confirm_list(version, as_of_ms, late), in_force);
    assert_eq!(membership.is_stale(late), stale);
}
