//! Leaving targets: no new work after 5 s, however the leaving becomes known.

mod support;

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use bamboocart_core::config::StopPlan;
use bamboocart_core::time::Timestamp;
use bamboocart_standin::history::What;
use serde_json::{Value, json};
use support::{
    BalancedCallers, Cluster, ClusterSettings, LinkMode, Node, RECOVERY_TIMEOUT,
    base_config, call, now, publish, sleep, test_seed, wait_for_keys, wait_until,
};
use yare::parameterized;

/// The time after which a leaving target must not start anything.
const LIMIT_MS: u64 = 5_000;

/// The time that the load goes on after a target begins to leave.
const OBSERVED: Duration = Duration::from_secs(9);

/// The target that leaves, which all callers would otherwise use.
const LEAVER: usize = 0;

/// How the leaving becomes known.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
enum Mark {
    /// The list and `GET /live` say so; starts are still accepted.
    List,
    /// The target turns starts away, and the list is frozen.
    OwnAnswer,
    /// Only `GET /live` says so, since the list is frozen.
    FrozenList,
    /// Only `GET /live` says so, since the platform answers nothing.
    PlatformDown,
    /// A stop plan names it; the target knows nothing of it.
    StopPlan,
}

/// Guards against new work for a target that is leaving. All targets are loaded, so that
/// one without news gets work all the time; leaving stays in force after the platform is
/// back and ends with the restart of the target.
#[parameterized(
    list = { Mark::List },
    own_answer = { Mark::OwnAnswer },
    frozen_list = { Mark::FrozenList },
    platform_down = { Mark::PlatformDown },
    stop_plan = { Mark::StopPlan },
)]
fn leaving_target_gets_no_work(mark: Mark) {
    check_leaving(mark, &["marka", "sahab"], ["4", "4"], 20);
}

/// Guards against probes that reach a target too late among many of one instance.
#[test]
fn leaving_target_of_sixty_gets_no_work() {
    check_leaving(Mark::FrozenList, &["marka"], ["60", "1"], 80);
}

/// Runs a load, sets a target leaving, and checks what it still gets.
///
/// The callers are more than all slots of the targets, so that every target gets work.
fn check_leaving(
    mark: Mark,
    instances: &[&'static str],
    [targets, slots]: [&'static str; 2],
    callers: u64,
) {
    let cluster = Cluster::start(ClusterSettings {
        instances: instances.to_vec(),
        minions: vec!["--count", targets, "--slots", slots],
        ..ClusterSettings::default()
    });
    let rows = cluster.minions.members().rows();
    let name = rows[LEAVER].name.to_string();
    wait_for_keys(&cluster);
    let callers =
        BalancedCallers::start(callers, true, test_seed(3), cluster.addresses());
    wait_until("work on the target", RECOVERY_TIMEOUT, || {
        cluster.minions.members().rows()[LEAVER].starts > 20
    });
    match mark {
        Mark::FrozenList | Mark::OwnAnswer => {
            cluster.set_platform_faults(&json!({ "freeze_list": true }));
        }
        Mark::PlatformDown => cluster.set_platform_faults(&json!({ "silent": 600_000 })),
        Mark::List | Mark::StopPlan => {}
    }
    if let Mark::FrozenList | Mark::PlatformDown = mark {
        // The instances notice that the list is stale after 3 s.
        sleep(Duration::from_secs(4));
    }
    let marked = now();
    match mark {
        Mark::StopPlan => publish_stop(&cluster, &name),
        Mark::OwnAnswer => set_leaving(&cluster, &name, "reject"),
        _ => set_leaving(&cluster, &name, "announce"),
    }
    sleep(OBSERVED);
    cluster.set_platform_faults(&json!({ "freeze_list": false, "silent": 0 }));
    sleep(Duration::from_secs(3));
    let restarted = now();
    cluster.set_target_faults(&json!({ "targets": [name], "die": true }));
    cluster.set_target_faults(&json!({ "targets": [name], "die": false }));
    let came_back = || starts(&cluster, &name, restarted).1 > 0;
    wait_until("work on the restarted target", RECOVERY_TIMEOUT, came_back);
    let (sends, _) = callers.stop();

    let (last, _) = starts(&cluster, &name, marked);
    let others: BTreeSet<_> = rows.iter().skip(1).map(|it| it.name.to_string()).collect();
    let busy = |other: &String| starts(&cluster, other, marked.plus_ms(LIMIT_MS)).1 > 0;
    assert!(others.iter().all(busy), "a target that stays got no work");
    let before = last.filter(|it| *it < restarted);
    let late_ms = before.map_or(0, |it| it.ms_since(marked));
    eprintln!("{mark:?}: last start {late_ms} ms after the mark");
    assert!(late_ms <= LIMIT_MS, "started {late_ms} ms after the mark");
    let complete = |it: &&_| answered_complete(it);
    let failed = sends.iter().find(|it| !complete(it));
    // The death of the target may leave the end of its tasks unknown.
    assert!(failed.is_none_or(|it| it.ended_us >= restarted), "{failed:#?}");
    cluster.check_history(sends);
}

/// Reports whether a call was answered complete.
fn answered_complete(record: &bamboocart_standin::history::SendRecord) -> bool {
    record.answer.as_ref().is_some_and(|it| it.code == "complete")
}

/// Returns the last start on a target before its next restart, and the number of starts
/// since a time.
fn starts(cluster: &Cluster, name: &str, since: Timestamp) -> (Option<Timestamp>, usize) {
    let events = cluster.evidence(vec![]).events;
    let own = events.iter().filter(|it| it.target.as_str() == name && it.at_us >= since);
    let count = own.clone().filter(|it| it.what == What::Started).count();
    let until_restart = own.take_while(|it| it.what != What::Restarted);
    let starts = until_restart.filter(|it| it.what == What::Started);
    (starts.map(|it| it.at_us).last(), count)
}

/// Sets a target leaving.
fn set_leaving(cluster: &Cluster, name: &str, how: &str) {
    cluster.set_target_faults(&json!({ "targets": [name], "leaving": how }));
}

/// Publishes a stop plan for a target.
fn publish_stop(cluster: &Cluster, name: &str) {
    let mut set = base_config();
    let plan = StopPlan {
        targets: vec![name.into()],
        instances: vec![],
        drain_ms: 1_000,
        at_once: 1,
        after: vec![],
    };
    set.stop_plan.insert("night".into(), plan);
    publish(cluster.platform.address(), &set);
}

/// Guards against a list that takes away what works: most targets and all instances
/// disappear from it, and requests are still served by all of them.
#[test]
fn doubtful_list() {
    let cluster = Cluster::start(ClusterSettings {
        minions: vec!["--count", "6", "--slots", "4"],
        ..ClusterSettings::default()
    });
    let rows = cluster.minions.members().rows();
    wait_for_keys(&cluster);
    let callers = BalancedCallers::start(24, true, test_seed(5), cluster.addresses());
    let platform = cluster.platform.address();
    let gone = rows.iter().skip(1).chain(&[]).map(|it| it.name.to_string());
    let workers = cluster.workers.members().rows();
    let gone: Vec<String> =
        gone.chain(workers.iter().map(|it| it.name.to_string())).collect();
    // They disappear from one list to the next: a list that lacks a few is believed.
    cluster.set_platform_faults(&json!({ "freeze_list": true }));
    for name in &gone {
        call("DELETE", platform, &format!("/instances/{name}"), &Value::Null);
    }
    (0..3).for_each(|index| cluster.unregister(index));
    cluster.set_platform_faults(&json!({ "freeze_list": false }));
    let removed = Instant::now();
    sleep(OBSERVED);
    let since = now();
    sleep(Duration::from_secs(1));
    let (sends, _) = callers.stop();
    for row in &rows {
        let (_, count) = starts(&cluster, row.name.as_str(), since);
        assert!(count > 0, "{} lost its work", row.name);
    }
    eprintln!("{} calls in {:?}", sends.len(), removed.elapsed());
    assert!(sends.iter().all(answered_complete), "a call failed");
    cluster.check_history(sends);
}

/// Guards against a failure domain that is cut off from the platform and goes on using a
/// target that left meanwhile, and one that brings it back from the list afterwards.
#[test]
fn leaving_while_cut_off() {
    let cluster = Cluster::start(ClusterSettings {
        instances: vec!["marka", "sahab"],
        minions: vec!["--count", "4", "--slots", "4"],
        ..ClusterSettings::default()
    });
    wait_for_keys(&cluster);
    let callers = BalancedCallers::start(20, true, test_seed(9), cluster.addresses());
    let cut = |mode| {
        (0..2).for_each(|it| {
            cluster.net.set_mode(Node::Instance(it), Node::Platform, mode)
        });
    };
    cut(LinkMode::Partition);
    sleep(Duration::from_secs(4));
    let name = cluster.minions.members().rows()[LEAVER].name.to_string();
    set_leaving(&cluster, &name, "announce");
    sleep(OBSERVED);
    cut(LinkMode::Pass);
    sleep(Duration::from_secs(3));
    let (sends, _) = callers.stop();
    assert!(sends.iter().all(answered_complete), "a call failed");
    cluster.check_history(sends);
}
