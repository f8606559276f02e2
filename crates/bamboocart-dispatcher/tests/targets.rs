//! The invariants hold in recorded histories of runs in which targets fail.

mod support;

use std::time::Duration;

use serde_json::{Value, json};
use support::{
    Callers, Cluster, ClusterSettings, Fault, FaultRun, Load, check_run, sleep,
};
use yare::parameterized;

/// The duration of a fault of targets.
const FAULT_DURATION: Duration = Duration::from_secs(4);

/// A load test during which targets fail.
struct Case {
    seed: u64,
    fault: Fault,
}

/// Guards against requests that are sent again although they may have started, against
/// refusals of started requests and against outcomes that change, when targets of each
/// group fail under load.
#[parameterized(
    dead = { Case { seed: 21, fault: |c, _| inject_fault(c, "die") } },
    frozen = { Case { seed: 22, fault: |c, _| inject_fault(c, "freeze") } },
    dropping_answers = {
        Case { seed: 23, fault: |c, _| inject_fault(c, "drop_answer") }
    },
    failing_everything = { Case { seed: 24, fault: |c, _| inject_fault(c, "fail_all") } },
    refusing_connections = { Case { seed: 25, fault: |c, _| inject_fault(c, "refuse") } },
    silent_connections = { Case { seed: 26, fault: silence } },
    late_answers = { Case { seed: 27, fault: delay } },
)]
fn invariants_hold_while_targets_fail(case: Case) {
    FaultRun::new(case.seed, case.fault).run();
}

/// How an instance can learn that targets are leaving.
struct LeavingCase {
    seed: u64,
    /// Whether the platform's list is frozen.
    list_frozen: bool,
    /// How the targets leave: they only announce it, or they also reject starts.
    how: &'static str,
}

/// Guards against new tasks for a target that has been leaving for more than 5 s, also
/// when the list does not report that it is leaving.
#[parameterized(
    listed = { LeavingCase { seed: 28, list_frozen: false, how: "announce" } },
    not_listed = { LeavingCase { seed: 29, list_frozen: true, how: "announce" } },
    rejecting = { LeavingCase { seed: 30, list_frozen: true, how: "reject" } },
)]
fn leaving_targets_get_no_new_tasks(case: LeavingCase) {
    let LeavingCase { seed, list_frozen, how } = case;
    let cluster = Cluster::start(ClusterSettings::default());
    let callers = Callers::new();
    let load =
        Load { count: 300, spread_over: Duration::from_secs(10), ..Load::default() };
    let load = load.start(support::test_seed(seed), &callers, &cluster.addresses());
    cluster.set_platform_faults(&json!({ "freeze_list": list_frozen }));
    set_switch(&cluster, "leaving", json!(how));
    load.join();
    let summary = check_run(&cluster, &callers, &[0, 1, 2]);
    println!("{summary:#?}");
    assert!(summary.with_code("complete") > 300, "the system hardly served");
}

/// Sets a fault switch of one minion in each failure domain and of one worker.
fn set_switch(cluster: &Cluster, switch: &str, value: Value) {
    let targets = ["minion-0", "minion-1", "minion-2", "worker-0"];
    cluster.set_target_faults(&json!({ "targets": targets, switch: value }));
}

/// Turns a fault switch on for [`FAULT_DURATION`].
fn inject_fault(cluster: &mut Cluster, switch: &str) -> Vec<usize> {
    set_switch(cluster, switch, json!(true));
    sleep(FAULT_DURATION);
    set_switch(cluster, switch, json!(false));
    vec![0, 1, 2]
}

/// Drops everything further that is sent on the open connections to some targets.
fn silence(cluster: &mut Cluster, _: u64) -> Vec<usize> {
    set_switch(cluster, "silent", json!(true));
    vec![0, 1, 2]
}

/// Delays answers beyond the deadlines of all request kinds.
fn delay(cluster: &mut Cluster, _: u64) -> Vec<usize> {
    set_switch(cluster, "delay_ms", json!(9_000));
    sleep(FAULT_DURATION);
    set_switch(cluster, "delay_ms", json!(0));
    vec![0, 1, 2]
}
