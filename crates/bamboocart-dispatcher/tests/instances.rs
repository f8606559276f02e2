//! The invariants hold in recorded histories of runs in which instances fail.

mod support;

use std::collections::BTreeMap;

use support::{
    Cluster, ClusterSettings, Fault, FaultRun, LinkMode, Node, PEER_DEAD_TIMEOUT,
    RequestSpec, agent, now, sleep, submit, wait_for_keys,
};
use yare::parameterized;

/// A load test during which an instance fails.
struct Case {
    seed: u64,
    fault: Fault,
}

/// Guards against tasks that start twice, outcomes that change and service that does not
/// recover, when callers send every submission to all instances while an instance fails.
#[parameterized(
    no_fault = { Case { seed: 11, fault: keep_running } },
    killed = { Case { seed: 12, fault: kill } },
    killed_and_restarted = { Case { seed: 13, fault: restart } },
    paused_past_the_dead_timeout = { Case { seed: 14, fault: pause } },
    failure_domain_cut_off = { Case { seed: 15, fault: cut_off } },
    silent_links = { Case { seed: 16, fault: silence_links } },
)]
fn invariants_hold_while_an_instance_fails(case: Case) {
    FaultRun::new(case.seed, case.fault).run();
}

/// Guards against the same failures when a failure domain is also cut off from the
/// targets of others.
#[test]
fn invariants_hold_while_a_failure_domain_is_cut_off_from_targets() {
    let cluster = ClusterSettings { cut_targets: true, ..ClusterSettings::default() };
    FaultRun { cluster, ..FaultRun::new(17, cut_off) }.run();
}

/// Guards against a cut-off failure domain that does not serve although it has targets of
/// its own, and against one that keeps sending to the targets of others.
#[test]
fn a_cut_off_failure_domain_serves_with_its_own_targets() {
    let cluster = Cluster::start(ClusterSettings {
        cut_targets: true,
        ..ClusterSettings::default()
    });
    wait_for_keys(&cluster);
    cluster.isolate("marka", LinkMode::Partition);
    sleep(PEER_DEAD_TIMEOUT);
    let agent = agent();
    let mut calls = vec![];
    let mut codes = BTreeMap::new();
    let started = now();
    for number in 0..200 {
        for &at in &cluster.addresses()[..2] {
            let spec = RequestSpec::new(format!("cut-{number}-{at}"), 5, None);
            let record = submit(&agent, at, &spec);
            let code = record.answer.as_ref().map(|it| it.code.to_string());
            *codes.entry((at, code)).or_insert(0) += 1;
            calls.push(record);
        }
        if now().ms_since(started) > 12_000 {
            break;
        }
    }
    cluster.isolate("marka", LinkMode::Pass);
    println!("{codes:?}");
    cluster.wait_for_service();
    let failed = calls
        .iter()
        .filter(|it| it.answer.as_ref().is_none_or(|it| it.code != "complete"));
    let failed: Vec<_> = failed.collect();
    assert!(failed.is_empty(), "{} of {}: {:#?}", failed.len(), calls.len(), failed[0]);
    cluster.check_history(calls);
}

/// Injects no fault.
fn keep_running(_: &mut Cluster, _: u64) -> Vec<usize> {
    vec![0, 1, 2]
}

/// Kills an instance and removes it from the platform's list.
fn kill(cluster: &mut Cluster, _: u64) -> Vec<usize> {
    cluster.instances[0].kill();
    cluster.unregister(0);
    vec![1, 2]
}

/// Kills an instance and restarts it immediately.
fn restart(cluster: &mut Cluster, _: u64) -> Vec<usize> {
    cluster.restart(0);
    vec![1, 2]
}

/// Pauses an instance for longer than the time after which peers consider it dead.
fn pause(cluster: &mut Cluster, _: u64) -> Vec<usize> {
    cluster.instances[0].pause();
    sleep(PEER_DEAD_TIMEOUT);
    cluster.instances[0].resume();
    vec![0, 1, 2]
}

/// Partitions a failure domain from the others and from the platform for a time.
fn cut_off(cluster: &mut Cluster, _: u64) -> Vec<usize> {
    cluster.isolate("marka", LinkMode::Partition);
    sleep(PEER_DEAD_TIMEOUT);
    cluster.isolate("marka", LinkMode::Pass);
    vec![0, 1, 2]
}

/// Drops everything further that is sent on the open connections between instances.
fn silence_links(cluster: &mut Cluster, _: u64) -> Vec<usize> {
    for (a, b) in [(0, 1), (0, 2), (1, 2)] {
        cluster.net.blackhole_open_connections(Node::Instance(a), Node::Instance(b));
    }
    vec![0, 1, 2]
}
