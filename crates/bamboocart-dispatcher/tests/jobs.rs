//! A job whose task fails or is lost is answered failed, and its other tasks do not go on.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use bamboocart_core::id::SubmissionId;
use bamboocart_standin::history::{Evidence, Purpose, SendRecord, What};
use bamboocart_wire::api::OutcomeName;
use serde_json::json;
use support::{
    Callers, Cluster, ClusterSettings, RECOVERY_TIMEOUT, SubmissionSpec, check_run,
    evidence, sleep, spawn_caller, test_length, test_seed, wait_until,
};
use yare::parameterized;

/// The time after the answer in which the other tasks are stopped: a stop may wait for a
/// connection for a second and for the target's answer for as long again.
const STOPPED_US: u64 = 2_000_000;

/// The run time of each task, within the deadline.
const RUN_MS: u64 = 3_500;

/// When a fault begins.
#[derive(Debug, Copy, Clone, PartialEq)]
enum Begin {
    /// Before the jobs are submitted.
    Early,
    /// Before the jobs are submitted, while another target of the same failure domain
    /// holds back everything for a second, so that a stop may overtake the task.
    EarlyWithSlow(&'static str),
    /// After the start of the tasks.
    Late,
}

/// A fault that hits some tasks of each job.
struct Case {
    /// The request kind.
    kind: &'static str,
    /// The switch of the failing target.
    switch: &'static str,
    /// The target.
    target: &'static str,
    /// When the fault begins.
    begin: Begin,
    /// The code of the answers to jobs that are hit.
    code: &'static str,
}

/// Guards against partial answers, and against tasks that start or go on after their job
/// has failed because one of its tasks failed or was lost.
#[parameterized(
    minion_fails_at_start = {
        Case { kind: "release-order", switch: "fail_all", target: "minion-0", begin: Begin::Early,
               code: "task-failed" }
    },
    minion_dies = {
        Case { kind: "release-order", switch: "die", target: "minion-0", begin: Begin::Late,
               code: "task-lost" }
    },
    worker_fails_at_start = {
        Case { kind: "haul-plan", switch: "fail_all", target: "worker-0", begin: Begin::Early,
               code: "task-failed" }
    },
    minion_fails_and_another_is_slow = {
        Case { kind: "release-order", switch: "fail_all", target: "minion-0",
               begin: Begin::EarlyWithSlow("minion-3"), code: "task-failed" }
    },
    worker_fails_and_another_is_slow = {
        Case { kind: "haul-plan", switch: "fail_all", target: "worker-0",
               begin: Begin::EarlyWithSlow("worker-3"), code: "task-failed" }
    },
    worker_dies = {
        Case { kind: "haul-plan", switch: "die", target: "worker-0", begin: Begin::Late,
               code: "task-lost" }
    },
)]
fn jobs_fail_as_a_whole(case: Case) {
    for round in 0..test_length() {
        run(&case, test_seed(31) + round);
    }
}

/// Runs jobs with the fault and checks the history.
fn run(case: &Case, seed: u64) {
    println!("seed {seed}");
    let minions = vec!["--count", "6", "--slots", "4"];
    let workers = vec!["--count", "6", "--slots", "4"];
    let settings = ClusterSettings { minions, workers, ..ClusterSettings::default() };
    let cluster = Cluster::start(settings);
    let callers = Callers::new();
    let fault = |on: bool| {
        cluster.set_target_faults(&json!({ "targets": [case.target], case.switch: on }));
    };
    let slow = |target: &str, on: bool| {
        cluster.set_target_faults(&json!({ "targets": [target], "freeze": on }));
    };
    match case.begin {
        Begin::Early => fault(true),
        Begin::EarlyWithSlow(target) => {
            fault(true);
            slow(target, true);
        }
        Begin::Late => {}
    }
    let mut threads = vec![];
    for address in cluster.addresses() {
        let tickets = callers.tickets(address, 2).into_iter();
        for (index, ticket) in tickets.enumerate() {
            let run_ms = vec![RUN_MS; 3 + (seed as usize + index) % 3];
            let (callers, work) =
                (callers.clone(), SubmissionSpec::new(ticket, case.kind, &run_ms));
            threads.push(spawn_caller(move || {
                callers.submit(address, &work, Purpose::Submit);
            }));
        }
    }
    match case.begin {
        Begin::Early => {}
        Begin::EarlyWithSlow(target) => {
            sleep(Duration::from_secs(1));
            slow(target, false);
        }
        Begin::Late => {
            wait_until("a start at the target", RECOVERY_TIMEOUT, || {
                is_hit(&cluster, case.target)
            });
            fault(true);
        }
    }
    threads.into_iter().for_each(|thread| thread.join().unwrap());
    fault(false);
    let summary = check_run(&cluster, &callers, &[0, 1, 2]);
    println!("{summary:#?}");
    assert!(summary.with_code(case.code) > 0, "no job was hit: {summary:?}");
    assert_eq!(unstopped(&evidence(&cluster, callers.records())), Vec::<String>::new());
}

/// Returns whether a target runs several tasks.
fn is_hit(cluster: &Cluster, target: &str) -> bool {
    let fleets = [&cluster.minions, &cluster.workers];
    let mut rows = fleets.iter().flat_map(|fleet| fleet.members().rows());
    rows.any(|row| row.name.as_str() == target && row.busy > 1)
}

/// Returns what tasks of jobs did too long after the answer that their job has failed.
fn unstopped(evidence: &Evidence) -> Vec<String> {
    let is_failed = |send: &&SendRecord| {
        send.answer.as_ref().is_some_and(|a| a.outcome == OutcomeName::Failed)
    };
    let failed = evidence.sends.iter().filter(is_failed);
    let failed: BTreeMap<SubmissionId, &SendRecord> =
        failed.filter_map(|send| Some((send.asked.clone()?, send))).collect();
    let goes_on = |what: What| matches!(what, What::Started | What::Finished);
    let events = evidence.events.iter().filter(|event| goes_on(event.what));
    events
        .filter_map(|event| {
            let run = event.run.as_ref()?;
            let send = failed.get(&run.submission)?;
            let late_us = event.at_us.us_since(send.ended_us);
            (late_us > STOPPED_US).then(|| {
                let late = Duration::from_micros(late_us);
                format!(
                    "{} {:?} {:?} {late:?} late",
                    run.submission, run.task, event.what
                )
            })
        })
        .collect()
}
