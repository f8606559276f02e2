//! The invariants hold in recorded histories of runs with two faults at once.

mod support;

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde_json::json;
use support::{Cluster, FaultRun, LinkMode, Node, PEER_DEAD_TIMEOUT, sleep};
use yare::parameterized;

/// A fault that can begin and end while others last.
struct OverlappingFault {
    /// The description that a run prints.
    name: &'static str,
    begin: fn(&mut Cluster, usize),
    end: fn(&mut Cluster, usize),
    /// Whether the instance loses its state.
    loses_state: bool,
}

/// Returns the targets that a fault affects: one minion and one worker.
fn targets(number: usize) -> [String; 2] {
    [format!("minion-{number}"), format!("worker-{number}")]
}

/// Sets a fault switch of these targets.
fn set_fault(cluster: &Cluster, number: usize, switch: &str, on: bool) {
    cluster.set_target_faults(&json!({ "targets": targets(number), switch: on }));
}

/// All faults; each is given the index of an instance.
const FAULTS: [OverlappingFault; 8] = [
    OverlappingFault {
        name: "an instance is killed and restarted",
        begin: |cluster, number| cluster.instances[number].kill(),
        end: |cluster, number| cluster.restart(number),
        loses_state: true,
    },
    OverlappingFault {
        name: "an instance is frozen",
        begin: |cluster, number| cluster.instances[number].pause(),
        end: |cluster, number| cluster.instances[number].resume(),
        loses_state: false,
    },
    OverlappingFault {
        name: "a failure domain is cut off",
        begin: |cluster, number| {
            let domain = cluster.instances[number].domain.clone();
            cluster.isolate(&domain, LinkMode::Partition);
        },
        end: |cluster, number| {
            let domain = cluster.instances[number].domain.clone();
            cluster.isolate(&domain, LinkMode::Pass);
        },
        loses_state: false,
    },
    OverlappingFault {
        name: "links of an instance go silent",
        begin: |cluster, number| {
            let others = (0..3).filter(|&other| other != number);
            others.for_each(|other| {
                cluster.net.blackhole_open_connections(
                    Node::Instance(number),
                    Node::Instance(other),
                );
            });
        },
        end: |_, _| {},
        loses_state: false,
    },
    OverlappingFault {
        name: "the log is down",
        begin: |cluster, _| cluster.set_platform_faults(&json!({ "down": 60_000 })),
        end: |cluster, _| cluster.set_platform_faults(&json!({ "down": 0 })),
        loses_state: false,
    },
    OverlappingFault {
        name: "targets drop answers",
        begin: |cluster, number| set_fault(cluster, number, "drop_answer", true),
        end: |cluster, number| set_fault(cluster, number, "drop_answer", false),
        loses_state: false,
    },
    OverlappingFault {
        name: "targets fail everything",
        begin: |cluster, number| set_fault(cluster, number, "fail_all", true),
        end: |cluster, number| set_fault(cluster, number, "fail_all", false),
        loses_state: false,
    },
    OverlappingFault {
        name: "targets die",
        begin: |cluster, number| set_fault(cluster, number, "die", true),
        end: |cluster, number| set_fault(cluster, number, "die", false),
        loses_state: false,
    },
];

/// Guards against violations that only two faults at once can cause: the seed selects two
/// different ones, each on an instance or its targets, which overlap for a time.
#[parameterized(
    first = { 71 },
    second = { 72 },
    third = { 73 },
    fourth = { 74 },
)]
fn invariants_hold_with_two_faults(seed: u64) {
    FaultRun::new(seed, two_faults).run();
}

/// Injects two overlapping faults and returns the instances that kept their state.
fn two_faults(cluster: &mut Cluster, seed: u64) -> Vec<usize> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let faults: Vec<&OverlappingFault> = FAULTS.choose_multiple(&mut rng, 2).collect();
    let numbers = [rng.random_range(0..3), rng.random_range(0..3)];
    let gap = Duration::from_millis(rng.random_range(0..1_500));
    let lost_state =
        |fault: &OverlappingFault, number| fault.loses_state.then_some(number);
    for (fault, number) in faults.iter().zip(numbers) {
        println!("{} ({number})", fault.name);
        (fault.begin)(cluster, number);
        sleep(gap);
    }
    sleep(PEER_DEAD_TIMEOUT);
    for (fault, number) in faults.iter().zip(numbers) {
        (fault.end)(cluster, number);
    }
    let lost: Vec<usize> =
        faults.iter().zip(numbers).filter_map(|(p, n)| lost_state(p, n)).collect();
    (0..3).filter(|index| !lost.contains(index)).collect()
}
