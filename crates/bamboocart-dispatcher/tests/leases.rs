//! Tasks on workers are stopped when their lease lapses, and none starts under a lapsed
//! lease.

mod support;

use std::time::Duration;

use bamboocart_core::id::Attempt;
use bamboocart_standin::history::{EventKind, Purpose};
use serde_json::json;
use support::{
    Callers, Cluster, ClusterSettings, FaultRun, Load, PEER_DEAD_TIMEOUT,
    RECOVERY_TIMEOUT, SubmissionSpec, check_run, collect_history, sleep, spawn_caller,
    wait_until,
};

/// The time after which every lease that is not renewed has lapsed, with a margin.
const LEASE_LAPSE_TIME: Duration = Duration::from_millis(11_500);

/// Guards against tasks that start again, or continue without a holder of their lease,
/// when an instance pauses for longer than the duration of its leases on workers.
#[test]
fn an_instance_pauses_across_the_lapse_of_its_leases() {
    let cluster = Cluster::start(ClusterSettings::default());
    let callers = Callers::new();
    let owner = cluster.instances[0].address;
    let submit = |run_ms: &[u64], deadline_ms: u64| {
        let id = callers.tickets(owner, 1).remove(0);
        let spec =
            SubmissionSpec::new(id, "haul-plan", run_ms).with_deadline(deadline_ms);
        let callers = callers.clone();
        spawn_caller(move || {
            callers.submit(owner, &spec, Purpose::Submit);
        })
    };
    let busy =
        || cluster.workers.members().rows().iter().map(|row| row.busy).sum::<u32>();
    // More tasks than slots, so that some wait and are sent right after the pause.
    let mut threads = vec![];
    for _ in 0..14 {
        threads.push(submit(&[13_000; 4], 17_000));
        threads.push(submit(&[100; 1], 17_000));
    }
    wait_until("the use of the workers", RECOVERY_TIMEOUT, || busy() >= 32);
    cluster.instances[0].pause();
    let load = Load { kinds: &[("haul-plan", 2)], count: 30, ..Load::default() };
    let others = [cluster.instances[1].address, cluster.instances[2].address];
    let load = load.start(51, &callers, &others);
    sleep(LEASE_LAPSE_TIME);
    cluster.instances[0].resume();
    cluster.wait_for_service();
    load.join();
    threads.into_iter().for_each(|thread| thread.join().unwrap());
    let summary = check_run(&cluster, &callers, &[0, 1, 2]);
    println!("{summary:#?}");
    let events = collect_history(&cluster, vec![]).events;
    let stopped = events.iter().filter(|event| event.kind == EventKind::Stopped).count();
    assert!(stopped > 0, "no task was stopped when the leases lapsed");
}

/// Guards against a task that starts under a lapsed lease: the network delays a send to a
/// worker until the lease has lapsed, while the sender still waits for the answer.
#[test]
fn a_send_arrives_after_the_lapse_of_its_lease() {
    let cluster = Cluster::start(ClusterSettings::default());
    let callers = Callers::new();
    let owner = cluster.instances[0].address;
    let set_frozen = |on: bool| {
        cluster.set_target_faults(&json!({ "targets": ["worker-0"], "freeze": on }));
    };
    let submit = |id| {
        let spec =
            SubmissionSpec::new(id, "haul-plan", &[200, 200]).with_deadline(17_000);
        let callers = callers.clone();
        spawn_caller(move || {
            callers.submit(owner, &spec, Purpose::Submit);
        })
    };
    set_frozen(true);
    let threads: Vec<_> = callers.tickets(owner, 8).into_iter().map(submit).collect();
    sleep(LEASE_LAPSE_TIME);
    set_frozen(false);
    let worker = || cluster.workers.members().rows().remove(0);
    wait_until("the arrival of the sends", RECOVERY_TIMEOUT, || {
        worker().rejected + worker().starts > 0
    });
    cluster.wait_for_service();
    threads.into_iter().for_each(|thread| thread.join().unwrap());
    check_run(&cluster, &callers, &[0, 1, 2]);
    // Only the first attempts were delayed; each later one has a new lease.
    let events = collect_history(&cluster, vec![]).events;
    let first = Attempt(1);
    let delayed = events
        .iter()
        .filter(|event| event.kind == EventKind::Started && event.target == worker().name)
        .filter(|event| event.run.as_ref().is_some_and(|run| run.attempt == first));
    assert_eq!(delayed.count(), 0, "tasks were started under a lapsed lease");
    assert!(worker().rejected > 0, "no delayed send was rejected");
}

/// Guards against tasks that start twice when an instance pauses across the lapse of its
/// leases under a load of all request kinds.
#[test]
fn invariants_hold_across_a_lease_lapse() {
    let fault_run = FaultRun::new(52, |cluster, _| {
        cluster.instances[0].pause();
        sleep(LEASE_LAPSE_TIME.max(PEER_DEAD_TIMEOUT));
        cluster.instances[0].resume();
        vec![0, 1, 2]
    });
    let load = Load { spread_over: LEASE_LAPSE_TIME, ..fault_run.load };
    FaultRun { load, ..fault_run }.run();
}
