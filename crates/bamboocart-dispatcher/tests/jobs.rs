//! A job with a failed or lost task is answered as failed, and its other tasks are
//! stopped.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use bamboocart_core::id::SubmissionId;
use bamboocart_standin::history::{CallRecord, EventKind, History, Purpose};
use bamboocart_wire::api::OutcomeName;
use serde_json::json;
use support::{
    Callers, Cluster, ClusterSettings, RECOVERY_TIMEOUT, SubmissionSpec, check_run,
    collect_history, sleep, spawn_caller, test_length, test_seed, wait_until,
};
use yare::parameterized;

/// The time limit after the answer for stopping the other tasks: a stop may wait 1 s for
/// a connection and another 1 s for the target's answer.
const STOP_LIMIT_US: u64 = 2_000_000;

/// The run time of each task, shorter than the deadline.
const RUN_MS: u64 = 3_500;

/// When a fault begins.
#[derive(Debug, Copy, Clone, PartialEq)]
enum FaultStart {
    /// Before the jobs are submitted.
    BeforeSubmission,
    /// Before the jobs are submitted, while another target of the same failure domain
    /// holds back all traffic for 1 s, so that a stop may arrive before its task.
    BeforeSubmissionWithSlowTarget(&'static str),
    /// After the start of the tasks.
    AfterTaskStart,
}

/// A fault that affects some tasks of each job.
struct Case {
    kind: &'static str,
    /// The fault switch of the failing target.
    switch: &'static str,
    /// The name of the failing target.
    target: &'static str,
    fault_start: FaultStart,
    /// The expected code of the answers to affected jobs.
    code: &'static str,
}

/// Guards against partial answers, and against tasks that start or continue after their
/// job has failed because one of its tasks failed or was lost.
#[parameterized(
    minion_fails_at_start = { Case {
        kind: "release-order",
        switch: "fail_all",
        target: "minion-0",
        fault_start: FaultStart::BeforeSubmission,
        code: "task-failed",
    } },
    minion_dies = { Case {
        kind: "release-order",
        switch: "die",
        target: "minion-0",
        fault_start: FaultStart::AfterTaskStart,
        code: "task-lost",
    } },
    worker_fails_at_start = { Case {
        kind: "haul-plan",
        switch: "fail_all",
        target: "worker-0",
        fault_start: FaultStart::BeforeSubmission,
        code: "task-failed",
    } },
    minion_fails_and_another_is_slow = { Case {
        kind: "release-order",
        switch: "fail_all",
        target: "minion-0",
        fault_start: FaultStart::BeforeSubmissionWithSlowTarget("minion-3"),
        code: "task-failed",
    } },
    worker_fails_and_another_is_slow = { Case {
        kind: "haul-plan",
        switch: "fail_all",
        target: "worker-0",
        fault_start: FaultStart::BeforeSubmissionWithSlowTarget("worker-3"),
        code: "task-failed",
    } },
    worker_dies = { Case {
        kind: "haul-plan",
        switch: "die",
        target: "worker-0",
        fault_start: FaultStart::AfterTaskStart,
        code: "task-lost",
    } },
)]
fn jobs_fail_as_a_whole(case: Case) {
    for round in 0..test_length() {
        run_round(&case, test_seed(31) + round);
    }
}

/// Runs jobs with the fault and checks the history.
fn run_round(case: &Case, seed: u64) {
    println!("seed {seed}");
    let minions = vec!["--count", "6", "--slots", "4"];
    let workers = vec!["--count", "6", "--slots", "4"];
    let settings = ClusterSettings { minions, workers, ..ClusterSettings::default() };
    let cluster = Cluster::start(settings);
    let callers = Callers::new();
    let set_fault = |on: bool| {
        cluster.set_target_faults(&json!({ "targets": [case.target], case.switch: on }));
    };
    let set_frozen = |target: &str, on: bool| {
        cluster.set_target_faults(&json!({ "targets": [target], "freeze": on }));
    };
    match case.fault_start {
        FaultStart::BeforeSubmission => set_fault(true),
        FaultStart::BeforeSubmissionWithSlowTarget(target) => {
            set_fault(true);
            set_frozen(target, true);
        }
        FaultStart::AfterTaskStart => {}
    }
    let mut threads = vec![];
    for address in cluster.addresses() {
        let tickets = callers.tickets(address, 2).into_iter();
        for (index, ticket) in tickets.enumerate() {
            let run_ms = vec![RUN_MS; 3 + (seed as usize + index) % 3];
            let (callers, spec) =
                (callers.clone(), SubmissionSpec::new(ticket, case.kind, &run_ms));
            threads.push(spawn_caller(move || {
                callers.submit(address, &spec, Purpose::Submit);
            }));
        }
    }
    match case.fault_start {
        FaultStart::BeforeSubmission => {}
        FaultStart::BeforeSubmissionWithSlowTarget(target) => {
            sleep(Duration::from_secs(1));
            set_frozen(target, false);
        }
        FaultStart::AfterTaskStart => {
            wait_until("a start at the target", RECOVERY_TIMEOUT, || {
                runs_several_tasks(&cluster, case.target)
            });
            set_fault(true);
        }
    }
    threads.into_iter().for_each(|thread| thread.join().unwrap());
    set_fault(false);
    let summary = check_run(&cluster, &callers, &[0, 1, 2]);
    println!("{summary:#?}");
    assert!(summary.with_code(case.code) > 0, "no job was affected: {summary:?}");
    assert_eq!(
        late_task_events(&collect_history(&cluster, callers.records())),
        Vec::<String>::new()
    );
}

/// Returns whether a target runs several tasks.
fn runs_several_tasks(cluster: &Cluster, target: &str) -> bool {
    let fleets = [&cluster.minions, &cluster.workers];
    let mut rows = fleets.iter().flat_map(|fleet| fleet.members().rows());
    rows.any(|row| row.name.as_str() == target && row.busy > 1)
}

/// Describes the task events that came too long after the answer that their job failed.
fn late_task_events(history: &History) -> Vec<String> {
    let is_failed = |call: &&CallRecord| {
        call.answer.as_ref().is_some_and(|a| a.outcome == OutcomeName::Failed)
    };
    let failed = history.calls.iter().filter(is_failed);
    let failed: BTreeMap<SubmissionId, &CallRecord> =
        failed.filter_map(|call| Some((call.submission_id.clone()?, call))).collect();
    let is_progress =
        |what: EventKind| matches!(what, EventKind::Started | EventKind::Finished);
    let events = history.events.iter().filter(|event| is_progress(event.kind));
    events
        .filter_map(|event| {
            let run = event.run.as_ref()?;
            let call = failed.get(&run.submission)?;
            let late_us = event.at_us.us_since(call.ended_us);
            (late_us > STOP_LIMIT_US).then(|| {
                let late = Duration::from_micros(late_us);
                format!(
                    "{} {:?} {:?} {late:?} late",
                    run.submission, run.task, event.kind
                )
            })
        })
        .collect()
}
