//! Leaving targets get no new tasks after 5 s, whichever way the leaving becomes known.

mod support;

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use bamboocart_core::config::StopPlan;
use bamboocart_core::time::Timestamp;
use bamboocart_standin::history::EventKind;
use serde_json::{Value, json};
use support::{
    BalancedCallers, Cluster, ClusterSettings, LinkMode, Node, RECOVERY_TIMEOUT,
    base_config, call, now, publish, sleep, test_seed, wait_for_keys, wait_until,
};
use yare::parameterized;

/// The time after which a leaving target must not start any more tasks.
const LEAVING_LIMIT_MS: u64 = 5_000;

/// The time that the load continues after a target begins to leave.
const OBSERVATION_TIME: Duration = Duration::from_secs(9);

/// The index of the target that leaves, which all callers would otherwise use.
const LEAVING_TARGET: usize = 0;

/// How the leaving becomes known.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
enum LeavingSignal {
    /// The list and `GET /live` report it; the target still accepts starts.
    List,
    /// The target rejects starts, and the list is frozen.
    TaskRejected,
    /// Only `GET /live` reports it, since the list is frozen.
    FrozenList,
    /// Only `GET /live` reports it, since the platform answers nothing.
    PlatformDown,
    /// A stop plan names the target, which does not report it itself.
    StopPlan,
}

/// Guards against new tasks for a leaving target. All targets are loaded, so that one not
/// known to be leaving gets tasks all the time. A target stays marked as leaving after
/// the platform has recovered, until the target restarts.
#[parameterized(
    list = { LeavingSignal::List },
    task_rejected = { LeavingSignal::TaskRejected },
    frozen_list = { LeavingSignal::FrozenList },
    platform_down = { LeavingSignal::PlatformDown },
    stop_plan = { LeavingSignal::StopPlan },
)]
fn leaving_target_gets_no_tasks(signal: LeavingSignal) {
    check_leaving(signal, &["marka", "sahab"], ["4", "4"], 20);
}

/// Guards against probes that reach a target too late when an instance has many targets.
#[test]
fn leaving_target_of_sixty_gets_no_tasks() {
    check_leaving(LeavingSignal::FrozenList, &["marka"], ["60", "1"], 80);
}

/// Runs a load, sets a target leaving, and checks which tasks it still gets.
///
/// There are more callers than slots, so that every target gets tasks.
fn check_leaving(
    signal: LeavingSignal,
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
    let name = rows[LEAVING_TARGET].name.to_string();
    wait_for_keys(&cluster);
    let callers =
        BalancedCallers::start(callers, true, test_seed(3), cluster.addresses());
    wait_until("tasks on the target", RECOVERY_TIMEOUT, || {
        cluster.minions.members().rows()[LEAVING_TARGET].starts > 20
    });
    match signal {
        LeavingSignal::FrozenList | LeavingSignal::TaskRejected => {
            cluster.set_platform_faults(&json!({ "freeze_list": true }));
        }
        LeavingSignal::PlatformDown => {
            cluster.set_platform_faults(&json!({ "silent": 600_000 }))
        }
        LeavingSignal::List | LeavingSignal::StopPlan => {}
    }
    if let LeavingSignal::FrozenList | LeavingSignal::PlatformDown = signal {
        // The instances consider the list stale after 3 s.
        sleep(Duration::from_secs(4));
    }
    let signalled_at = now();
    match signal {
        LeavingSignal::StopPlan => publish_stop(&cluster, &name),
        LeavingSignal::TaskRejected => set_leaving(&cluster, &name, "reject"),
        _ => set_leaving(&cluster, &name, "announce"),
    }
    sleep(OBSERVATION_TIME);
    cluster.set_platform_faults(&json!({ "freeze_list": false, "silent": 0 }));
    sleep(Duration::from_secs(3));
    let restarted = now();
    cluster.set_target_faults(&json!({ "targets": [name], "die": true }));
    cluster.set_target_faults(&json!({ "targets": [name], "die": false }));
    let is_used_again = || starts(&cluster, &name, restarted).1 > 0;
    wait_until("tasks on the restarted target", RECOVERY_TIMEOUT, is_used_again);
    let (calls, _) = callers.stop();

    let (last, _) = starts(&cluster, &name, signalled_at);
    let others: BTreeSet<_> = rows.iter().skip(1).map(|it| it.name.to_string()).collect();
    let busy = |other: &String| {
        starts(&cluster, other, signalled_at.plus_ms(LEAVING_LIMIT_MS)).1 > 0
    };
    assert!(others.iter().all(busy), "a remaining target got no tasks");
    let before = last.filter(|it| *it < restarted);
    let late_ms = before.map_or(0, |it| it.ms_since(signalled_at));
    eprintln!("{signal:?}: last start {late_ms} ms after the signal");
    assert!(late_ms <= LEAVING_LIMIT_MS, "started {late_ms} ms after the signal");
    let complete = |it: &&_| answered_complete(it);
    let failed = calls.iter().find(|it| !complete(it));
    // The death of the target may leave the outcome of its tasks unknown.
    assert!(failed.is_none_or(|it| it.ended_us >= restarted), "{failed:#?}");
    cluster.check_history(calls);
}

/// Returns whether a call was answered as complete.
fn answered_complete(record: &bamboocart_standin::history::CallRecord) -> bool {
    record.answer.as_ref().is_some_and(|it| it.code == "complete")
}

/// Returns the last start on a target between a time and its next restart, and the number
/// of all starts since that time.
fn starts(cluster: &Cluster, name: &str, since: Timestamp) -> (Option<Timestamp>, usize) {
    let events = cluster.collect_history(vec![]).events;
    let own = events.iter().filter(|it| it.target.as_str() == name && it.at_us >= since);
    let count = own.clone().filter(|it| it.kind == EventKind::Started).count();
    let until_restart = own.take_while(|it| it.kind != EventKind::Restarted);
    let starts = until_restart.filter(|it| it.kind == EventKind::Started);
    (starts.map(|it| it.at_us).last(), count)
}

/// Sets a target leaving; `how` is `announce` or `reject`.
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

/// Guards against an implausible list that removes working members: most targets and all
/// instances disappear from it, and all of them still serve requests.
#[test]
fn implausible_list() {
    let cluster = Cluster::start(ClusterSettings {
        minions: vec!["--count", "6", "--slots", "4"],
        ..ClusterSettings::default()
    });
    let rows = cluster.minions.members().rows();
    wait_for_keys(&cluster);
    let callers = BalancedCallers::start(24, true, test_seed(5), cluster.addresses());
    let platform = cluster.platform.address();
    let removed = rows.iter().skip(1).chain(&[]).map(|it| it.name.to_string());
    let workers = cluster.workers.members().rows();
    let removed: Vec<String> =
        removed.chain(workers.iter().map(|it| it.name.to_string())).collect();
    // They disappear between two lists, since a list that lacks only a few is accepted.
    cluster.set_platform_faults(&json!({ "freeze_list": true }));
    for name in &removed {
        call("DELETE", platform, &format!("/instances/{name}"), &Value::Null);
    }
    (0..3).for_each(|index| cluster.unregister(index));
    cluster.set_platform_faults(&json!({ "freeze_list": false }));
    let removed_at = Instant::now();
    sleep(OBSERVATION_TIME);
    let since = now();
    sleep(Duration::from_secs(1));
    let (calls, _) = callers.stop();
    for row in &rows {
        let (_, count) = starts(&cluster, row.name.as_str(), since);
        assert!(count > 0, "{} gets no more tasks", row.name);
    }
    eprintln!("{} calls in {:?}", calls.len(), removed_at.elapsed());
    assert!(calls.iter().all(answered_complete), "a call failed");
    cluster.check_history(calls);
}

/// Guards against a failure domain that is cut off from the platform and keeps using a
/// target that left meanwhile, and against one that restores it from the list afterwards.
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
    let name = cluster.minions.members().rows()[LEAVING_TARGET].name.to_string();
    set_leaving(&cluster, &name, "announce");
    sleep(OBSERVATION_TIME);
    cut(LinkMode::Pass);
    sleep(Duration::from_secs(3));
    let (calls, _) = callers.stop();
    assert!(calls.iter().all(answered_complete), "a call failed");
    cluster.check_history(calls);
}
