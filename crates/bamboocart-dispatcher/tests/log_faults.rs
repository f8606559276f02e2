//! The invariants hold in recorded histories of runs in which the log fails.

mod support;

use std::time::Duration;

use serde_json::{Value, json};
use support::{
    Callers, Cluster, ClusterSettings, Fault, FaultRun, Load, check_run, sleep,
    test_length, test_seed,
};
use yare::parameterized;

/// The time that a fault lasts; longer than a call to the platform waits.
const FAULT_MS: u64 = 6_000;

/// A run with a fault of the log.
struct Case {
    /// The seed.
    seed: u64,
    /// The fault.
    fault: Fault,
}

/// Guards against an instance that needs the log to serve, or that takes what it has
/// appended for what the log holds, when the platform fails under load.
#[parameterized(
    down = { Case { seed: 41, fault: |c, _| during(c, json!({ "down": FAULT_MS })) } },
    silent = { Case { seed: 42, fault: |c, _| during(c, json!({ "silent": FAULT_MS })) } },
    slow = { Case { seed: 43, fault: |c, _| during(c, json!({ "slow_ms": 2_000 })) } },
    losing_answers = {
        Case { seed: 44, fault: |c, _| during(c, json!({ "drop_answers": 1_000 })) }
    },
    list_frozen = {
        Case { seed: 45, fault: |c, _| during(c, json!({ "freeze_list": true })) }
    },
)]
fn storms_while_the_log_fails(case: Case) {
    FaultRun::new(case.seed, case.fault).run();
}

/// Sets switches of the platform for a while.
fn during(cluster: &mut Cluster, switches: Value) -> Vec<usize> {
    cluster.set_platform_faults(&switches);
    sleep(Duration::from_millis(FAULT_MS));
    end(cluster);
    vec![0, 1, 2]
}

/// Ends the faults of the platform.
fn end(cluster: &Cluster) {
    cluster.set_platform_faults(&json!({
        "down": 0, "silent": 0, "slow_ms": 0, "drop_answers": 0, "freeze_list": false,
        "late_appends": 0,
    }));
}

/// How the log behaves while the first claims are made.
struct Start {
    /// The seed.
    seed: u64,
    /// The switches.
    switches: Value,
}

/// Guards against two instances that start the same key because each has appended a claim
/// on its range and uses it before it knows whose claim came first. Every key goes to all
/// instances at once from the time at which no claim is there.
#[parameterized(
    slow = { Start { seed: 46, switches: json!({ "slow_ms": 1_500 }) } },
    losing_answers = { Start { seed: 47, switches: json!({ "drop_answers": 1_000, "slow_ms": 1_500 }) } },
)]
fn keys_are_started_once_while_ranges_are_claimed(case: Start) {
    for round in 0..test_length() {
        let seed = test_seed(case.seed) + round * 1_000;
        println!("seed {seed}");
        let mut cluster =
            Cluster::start(ClusterSettings { instances: vec![], ..Default::default() });
        cluster.set_platform_faults(&case.switches);
        // Without it, all claims may be in force before the first call.
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
        end(&cluster);
        cluster.wait_for_service();
        running.join();
        let summary = check_run(&cluster, &callers, &[0, 1, 2]);
        println!("{summary:#?}");
        assert!(summary.with_code("complete") > 50, "the system hardly served");
        assert!(summary.with_code("no-claim") > 0, "the claims were there too early");
    }
}
