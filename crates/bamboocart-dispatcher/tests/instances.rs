//! The invariants hold in recorded histories of runs in which instances fail.

mod support;

use std::time::Duration;

use support::{
    Callers, Cluster, ClusterSettings, Load, Mode, PEER_DEAD, Summary, hold, judge,
    length, seed,
};
use yare::parameterized;

/// A run with a fault of instances, and what has to follow.
struct Case {
    /// The seed.
    seed: u64,
    /// Injects the fault and ends it, and returns the instances that kept running.
    fault: fn(&mut Cluster) -> Vec<usize>,
}

/// Guards against tasks that start twice, outcomes that change and service that does not
/// return, when callers send everything to all instances while an instance fails.
#[parameterized(
    no_fault = { Case { seed: 11, fault: none } },
    killed = { Case { seed: 12, fault: kill } },
    killed_and_restarted = { Case { seed: 13, fault: restart } },
    frozen_past_the_dead_time = { Case { seed: 14, fault: freeze } },
    failure_domain_cut_off = { Case { seed: 15, fault: cut_off } },
    silent_links = { Case { seed: 16, fault: silence_links } },
)]
fn storms_while_an_instance_fails(case: Case) {
    for round in 0..length() {
        run(seed(case.seed) + round * 1_000, case.fault);
    }
}

/// Runs the load with a fault and checks the history.
fn run(seed: u64, fault: fn(&mut Cluster) -> Vec<usize>) -> Summary {
    println!("seed {seed}");
    let mut cluster = Cluster::start(ClusterSettings::default());
    cluster.wait_for_claims();
    let callers = Callers::new();
    let load = Load::default().start(seed, &callers, &cluster.addresses());
    hold(Duration::from_secs(1));
    let live = fault(&mut cluster);
    let all = running(&mut cluster);
    cluster.wait_for_service_of(&all);
    load.join();
    let summary = judge(&cluster, &callers, &live);
    println!("{summary:#?}");
    assert!(summary.with_code("complete") > 100, "the system hardly served");
    summary
}

/// Returns the instances that run at the end.
fn running(cluster: &mut Cluster) -> Vec<usize> {
    let instances = cluster.instances.iter_mut().enumerate();
    let running = instances.filter_map(|(index, it)| it.is_running().then_some(index));
    running.collect()
}

/// Leaves everything as it is.
fn none(_: &mut Cluster) -> Vec<usize> {
    vec![0, 1, 2]
}

/// Kills an instance for good.
fn kill(cluster: &mut Cluster) -> Vec<usize> {
    cluster.instances[0].kill();
    cluster.unregister(0);
    vec![1, 2]
}

/// Kills an instance and starts it again at once.
fn restart(cluster: &mut Cluster) -> Vec<usize> {
    cluster.restart(0);
    vec![1, 2]
}

/// Stops an instance for longer than the time after which peers count it as dead.
fn freeze(cluster: &mut Cluster) -> Vec<usize> {
    cluster.instances[0].freeze();
    hold(PEER_DEAD);
    cluster.instances[0].resume();
    vec![0, 1, 2]
}

/// Cuts a failure domain off from the others and from the platform.
fn cut_off(cluster: &mut Cluster) -> Vec<usize> {
    cluster.isolate("marka", Mode::Cut);
    hold(PEER_DEAD);
    cluster.isolate("marka", Mode::Pass);
    vec![0, 1, 2]
}

/// Makes the open connections between instances carry nothing more.
fn silence_links(cluster: &mut Cluster) -> Vec<usize> {
    for (a, b) in [(0, 1), (0, 2), (1, 2)] {
        cluster.net.silence(support::Node::Instance(a), support::Node::Instance(b));
    }
    vec![0, 1, 2]
}
