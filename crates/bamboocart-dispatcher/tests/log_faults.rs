//! The invariants hold in recorded histories of runs in which the log fails.

mod support;

use std::time::Duration;

use serde_json::{Value, json};
use support::{
    Callers, Cluster, ClusterSettings, Fault, FaultRun, Load, check_run, sleep,
    test_length, test_seed,
};
use yare::parameterized;

/// The duration of a fault, which is longer than the timeout of a call to the platform.
const FAULT_MS: u64 = 6_000;

/// A load test during which the log fails.
struct Case {
    seed: u64,
    fault: Fault,
}

/// Guards against an instance that needs the log to serve, or that treats its appends as
/// records of the log before it has read them, when the platform fails under load.
#[parameterized(
    down = {
        Case { seed: 41, fault: |c, _| inject_fault(c, json!({ "down": FAULT_MS })) }
    },
    silent = {
        Case { seed: 42, fault: |c, _| inject_fault(c, json!({ "silent": FAULT_MS })) }
    },
    slow = {
        Case { seed: 43, fault: |c, _| inject_fault(c, json!({ "slow_ms": 2_000 })) }
    },
    losing_answers = {
        Case { seed: 44, fault: |c, _| inject_fault(c, json!({ "drop_answers": 1_000 })) }
    },
    list_frozen = {
        Case { seed: 45, fault: |c, _| inject_fault(c, json!({ "freeze_list": true })) }
    },
)]
fn invariants_hold_while_the_log_fails(case: Case) {
    FaultRun::new(case.seed, case.fault).run();
}

/// Sets fault switches of the platform for [`FAULT_MS`].
fn inject_fault(cluster: &mut Cluster, switches: Value) -> Vec<usize> {
    cluster.set_platform_faults(&switches);
    sleep(Duration::from_millis(FAULT_MS));
    clear_faults(cluster);
    vec![0, 1, 2]
}

/// Resets all fault switches of the platform.
fn clear_faults(cluster: &Cluster) {
    cluster.set_platform_faults(&json!({
        "down": 0, "silent": 0, "slow_ms": 0, "drop_answers": 0, "freeze_list": false,
        "late_appends": 0,
    }));
}

/// The fault of the log while the first claims are made.
struct ClaimCase {
    seed: u64,
    /// The fault switches of the platform.
    switches: Value,
}

/// Guards against two instances that start the same key because each has appended a claim
/// on its range and uses it before it knows whose claim came first. Every key is sent to
/// all instances at once, beginning when there is no claim yet.
#[parameterized(
    slow = { ClaimCase { seed: 46, switches: json!({ "slow_ms": 1_500 }) } },
    losing_answers = { ClaimCase {
        seed: 47,
        switches: json!({ "drop_answers": 1_000, "slow_ms": 1_500 }),
    } },
)]
fn keys_are_started_once_while_ranges_are_claimed(case: ClaimCase) {
    for round in 0..test_length() {
        let seed = test_seed(case.seed) + round * 1_000;
        println!("seed {seed}");
        let mut cluster =
            Cluster::start(ClusterSettings { instances: vec![], ..Default::default() });
        cluster.set_platform_faults(&case.switches);
        // Without late appends, all claims may be in force before the first call.
        cluster.set_platform_faults(&json!({ "late_appends": 1_000, "late_ms": 3_000 }));
        for domain in ["marka", "sahab", "qastal"] {
            cluster.add_instance(domain);
        }
        let callers = Callers::new();
        let load = Load {
            count: 250,
            spread_over: Duration::from_secs(6),
            max_run_ms: 50,
            keys_only: true,
            ..Load::default()
        };
        let running = load.start(seed, &callers, &cluster.addresses());
        sleep(Duration::from_millis(FAULT_MS));
        clear_faults(&cluster);
        cluster.wait_for_service();
        running.join();
        let summary = check_run(&cluster, &callers, &[0, 1, 2]);
        println!("{summary:#?}");
        assert!(summary.with_code("complete") > 50, "the system hardly served");
        assert!(
            summary.with_code("no-claim") > 0,
            "all claims were in force before the first call"
        );
    }
}
