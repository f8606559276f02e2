//! The outcomes that an owner has answered stay the same after it has handed over.

mod support;

use std::time::Duration;

use bamboocart_standin::clock;
use bamboocart_standin::history::Purpose;
use bamboocart_wire::api::OutcomeName;
use support::{
    Callers, Cluster, ClusterSettings, Load, RECOVERY_TIMEOUT, SubmissionSpec, check_run,
    check_run_with, sleep, spawn_caller, test_length, test_seed, wait_until,
};

/// The time limit for a draining instance to exit: it admits requests for 3 s, finishes
/// the admitted ones, whose deadlines are at most 8 s, and hands over within 5 s.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(18);

/// The time after the start of a stop during which calls are certainly admitted; the
/// stopping instance admits them for 3 s, so that the load balancer can notice the stop.
const ADMISSION_MS: u64 = 2_500;

/// Guards against tasks that start twice, against outcomes that are lost or change, and
/// against calls that a planned stop interrupts, when an instance hands over to a
/// successor under load: its peers know the outcomes of all submissions that it owned.
#[test]
fn invariants_hold_while_an_instance_hands_over() {
    for round in 0..test_length() {
        let seed = test_seed(61) + round * 1_000;
        println!("seed {seed}");
        let mut cluster = Cluster::start(ClusterSettings::default());
        cluster.wait_for_claims();
        let callers = Callers::new();
        let load = Load { resubmit_after: Duration::from_secs(9), ..Load::default() };
        let load = load.start(seed, &callers, &cluster.addresses());
        sleep(Duration::from_secs(1));
        let drain_started = clock::now();
        let stopping = cluster.instances[0].address;
        cluster.instances[0].drain();
        cluster.instances[0].wait_for_end(DRAIN_TIMEOUT);
        cluster.unregister(0);
        cluster.wait_for_service_of(&[1, 2]);
        load.join();
        let summary = check_run_with(&cluster, &callers, &[1, 2], &[0, 1, 2]);
        println!("{summary:#?}");
        assert!(summary.with_code("complete") > 300, "the system hardly served");
        let admission_end = drain_started.plus_ms(ADMISSION_MS);
        let interrupted: Vec<_> = callers
            .records()
            .into_iter()
            .filter(|call| call.instance == stopping && call.sent_us < admission_end)
            .filter(|call| {
                let code = call.answer.as_ref().map(|answer| answer.code.as_str());
                matches!(code, None | Some("owner-gone" | "owner-silent"))
            })
            .collect();
        assert!(interrupted.is_empty(), "interrupted calls: {interrupted:#?}");
    }
}

/// Guards against a refusal that changes later: requests that were refused under overload
/// are submitted again when the targets are free, to their owner while it serves and
/// while it drains, and to the other instances after the handover.
#[test]
fn refusals_are_final() {
    let settings = ClusterSettings {
        minions: vec!["--count", "1", "--slots", "1"],
        workers: vec!["--count", "1"],
        ..ClusterSettings::default()
    };
    let mut cluster = Cluster::start(settings);
    let callers = Callers::new();
    let owner = cluster.instances[0].address;
    let blocker = SubmissionSpec::new(
        callers.tickets(owner, 1).remove(0),
        "release-order",
        &[2_000],
    );
    let blocking = {
        let callers = callers.clone();
        spawn_caller(move || {
            callers.submit(owner, &blocker, Purpose::Submit);
        })
    };
    let busy = || cluster.minions.members().rows()[0].busy;
    wait_until("the use of the only slot", RECOVERY_TIMEOUT, || busy() == 1);
    let specs: Vec<SubmissionSpec> = callers
        .tickets(owner, 30)
        .into_iter()
        .map(|id| SubmissionSpec::new(id, "release-order", &[20]).with_deadline(300))
        .collect();
    let submit_all = |at, purpose| {
        for spec in &specs {
            let record = callers.submit(at, spec, purpose);
            let answer = record.answer.expect("each request is answered");
            assert_eq!(answer.outcome, OutcomeName::Refused, "{answer:?}");
        }
    };
    std::thread::scope(|scope| {
        let submit = |spec| callers.submit(owner, spec, Purpose::Submit);
        specs.iter().for_each(|spec| drop(scope.spawn(move || submit(spec))));
    });
    blocking.join().unwrap();
    wait_until("the end of the blocking request", RECOVERY_TIMEOUT, || busy() == 0);
    submit_all(owner, Purpose::Resubmit);
    submit_all(cluster.instances[1].address, Purpose::Resubmit);
    check_run(&cluster, &callers, &[0, 1, 2]);
    // An unfinished request keeps the instance draining before it hands over.
    let last = SubmissionSpec::new(
        callers.tickets(owner, 1).remove(0),
        "release-order",
        &[6_000],
    );
    let last = last.with_deadline(8_000);
    let finishing = {
        let callers = callers.clone();
        spawn_caller(move || {
            callers.submit(owner, &last, Purpose::Submit);
        })
    };
    wait_until("the use of the only slot", RECOVERY_TIMEOUT, || busy() == 1);
    cluster.instances[0].drain();
    let draining = || cluster.instances[0].status()["state"] == "draining";
    wait_until("the start of the stop", RECOVERY_TIMEOUT, draining);
    submit_all(owner, Purpose::Resubmit);
    let first_id = specs[0].id.clone().expect("the request has an id");
    wait_until("the end of the instance", DRAIN_TIMEOUT, || {
        let state = callers.query(owner, &first_id);
        let refused = state.iter().all(|state| state.outcome == OutcomeName::Refused);
        assert!(refused, "{state:?}");
        state.is_none()
    });
    finishing.join().unwrap();
    cluster.instances[0].wait_for_end(DRAIN_TIMEOUT);
    submit_all(cluster.instances[1].address, Purpose::Resubmit);
    submit_all(cluster.instances[2].address, Purpose::Resubmit);
    check_run_with(&cluster, &callers, &[1, 2], &[0, 1, 2]);
}
