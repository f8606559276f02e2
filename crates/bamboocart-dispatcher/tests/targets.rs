//! The invariants hold in recorded histories of runs in which targets fail.

mod support;

use std::time::Duration;

use serde_json::{Value, json};
use support::{
    Callers, Cluster, ClusterSettings, Fault, FaultRun, Load, check_run, sleep,
};
use yare::parameterized;

/// The time that a fault of targets lasts.
const FAULT: Duration = Duration::from_secs(4);

/// A run with a fault of targets.
struct Case {
    /// The seed.
    seed: u64,
    /// The fault.
    fault: Fault,
}

/// Guards against requests that are sent again although they may have started, against
/// refusals of what has started and against outcomes that change, when targets of each
/// group fail under load.
#[parameterized(
    dead = { Case { seed: 21, fault: |c, _| during(c, "die") } },
    frozen = { Case { seed: 22, fault: |c, _| during(c, "freeze") } },
    dropping_answers = { Case { seed: 23, fault: |c, _| during(c, "drop_answer") } },
    failing_everything = { Case { seed: 24, fault: |c, _| during(c, "fail_all") } },
    refusing_connections = { Case { seed: 25, fault: |c, _| during(c, "refuse") } },
    silent_connections = { Case { seed: 26, fault: silence } },
    late_answers = { Case { seed: 27, fault: delay } },
)]
fn storms_while_targets_fail(case: Case) {
    FaultRun::new(case.seed, case.fault).run();
}

/// What an instance can learn from that targets are leaving.
struct Leaving {
    /// The seed.
    seed: u64,
    /// Whether the platform's list stands still.
    list_frozen: bool,
    /// How the targets leave: they only announce it, or they turn starts away as well.
    how: &'static str,
}

/// Guards against new work for a target that has been leaving for more than five seconds,
/// also when the list does not say that it is leaving.
#[parameterized(
    listed = { Leaving { seed: 28, list_frozen: false, how: "announce" } },
    not_listed = { Leaving { seed: 29, list_frozen: true, how: "announce" } },
    turning_away = { Leaving { seed: 30, list_frozen: true, how: "reject" } },
)]
fn leaving_targets_get_no_new_work(case: Leaving) {
    let Leaving { seed, list_frozen, how } = case;
    let cluster = Cluster::start(ClusterSettings::default());
    let callers = Callers::new();
    let load =
        Load { count: 300, spread_over: Duration::from_secs(10), ..Load::default() };
    let load = load.start(support::test_seed(seed), &callers, &cluster.addresses());
    cluster.set_platform_faults(&json!({ "freeze_list": list_frozen }));
    set(&cluster, "leaving", json!(how));
    load.join();
    let summary = check_run(&cluster, &callers, &[0, 1, 2]);
    println!("{summary:#?}");
    assert!(summary.with_code("complete") > 300, "the system hardly served");
}

/// Sets a switch of one target in each failure domain.
fn set(cluster: &Cluster, switch: &str, value: Value) {
    let targets = ["minion-0", "minion-1", "minion-2", "worker-0"];
    cluster.set_target_faults(&json!({ "targets": targets, switch: value }));
}

/// Leaves a switch on for a while.
fn during(cluster: &mut Cluster, switch: &str) -> Vec<usize> {
    set(cluster, switch, json!(true));
    sleep(FAULT);
    set(cluster, switch, json!(false));
    vec![0, 1, 2]
}

/// Makes the open connections to some targets carry nothing more.
fn silence(cluster: &mut Cluster, _: u64) -> Vec<usize> {
    set(cluster, "silent", json!(true));
    vec![0, 1, 2]
}

/// Delays answers beyond the deadlines of all request kinds.
fn delay(cluster: &mut Cluster, _: u64) -> Vec<usize> {
    set(cluster, "delay_ms", json!(9_000));
    sleep(FAULT);
    set(cluster, "delay_ms", json!(0));
    vec![0, 1, 2]
}
