//! Cancelled submissions do not continue, and the answers match what has run.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use bamboocart_core::id::SubmissionId;
use bamboocart_standin::clock;
use bamboocart_standin::history::{CallRecord, EventKind, Purpose};
use bamboocart_wire::api::{AnswerBody, OutcomeName};
use serde_json::json;
use support::{
    Callers, Cluster, ClusterSettings, RECOVERY_TIMEOUT, SubmissionSpec, call, check_run,
    collect_history, spawn_caller, wait_until,
};
use yare::parameterized;

/// The number of submissions that are cancelled in one call.
const BATCH_SIZE: usize = 1_000;

/// The time limit for using a freed slot for the next request, including a peer's answer.
const SLOT_REUSE_TIMEOUT: Duration = Duration::from_secs(3);

/// The state of a submission at its cancellation, and the expected answer.
struct Case {
    /// The number of tasks; more than one makes a job.
    tasks: usize,
    /// Whether other requests occupy all slots, so that the tasks stay queued.
    queued: bool,
    /// Whether the cancellation is sent to an instance other than the owner.
    at_peer: bool,
    /// The expected code of the answer to the cancellation.
    code: &'static str,
}

/// Guards against cancelled tasks that continue or start later, and against a
/// cancellation that answers "not run" for a submission that was started.
#[parameterized(
    running = {
        Case { tasks: 1, queued: false, at_peer: false, code: "cancelled-started" }
    },
    running_job = {
        Case { tasks: 3, queued: false, at_peer: true, code: "cancelled-started" }
    },
    queued = {
        Case { tasks: 1, queued: true, at_peer: false, code: "cancelled-not-run" }
    },
    queued_job = {
        Case { tasks: 3, queued: true, at_peer: true, code: "cancelled-not-run" }
    },
)]
fn one_submission_is_cancelled(case: Case) {
    let settings = ClusterSettings {
        minions: vec!["--count", "1", "--slots", "4"],
        workers: vec!["--count", "1"],
        ..ClusterSettings::default()
    };
    let cluster = Cluster::start(settings);
    let callers = Callers::new();
    // The minion is in the failure domain of this instance, which therefore uses it.
    let owner = cluster.instances[0].address;
    let mut threads = vec![];
    let mut submit = |run_ms: &[u64]| {
        let ticket = callers.tickets(owner, 1).remove(0);
        let spec =
            SubmissionSpec::new(ticket, "release-order", run_ms).with_deadline(10_000);
        let (callers, sent) = (callers.clone(), spec.clone());
        threads.push(spawn_caller(move || {
            callers.submit(owner, &sent, Purpose::Submit);
        }));
        spec
    };
    let busy = || cluster.minions.members().rows()[0].busy as usize;
    if case.queued {
        (0..4).for_each(|_| drop(submit(&[3_000])));
        wait_until("the start of the blocking requests", RECOVERY_TIMEOUT, || {
            busy() == 4
        });
    }
    let spec = submit(&vec![8_000; case.tasks]);
    if case.queued {
        let queued = || {
            let groups = cluster.instances[0].status()["groups"].clone();
            groups.as_array().into_iter().flatten().any(|g| g["queued"] == case.tasks)
        };
        wait_until("the tasks in the queue", RECOVERY_TIMEOUT, queued);
    } else {
        wait_until("the start of the tasks", RECOVERY_TIMEOUT, || busy() == case.tasks);
    }
    let at = if case.at_peer { cluster.instances[2].address } else { owner };
    let record = callers.cancel(at, &spec);
    let answer = record.answer.expect("a cancellation is answered");
    assert_eq!(answer.code, case.code, "{answer:?}");
    callers.submit(at, &spec, Purpose::Resubmit);
    threads.into_iter().for_each(|thread| thread.join().unwrap());
    check_run(&cluster, &callers, &[0, 1, 2]);
    wait_until("the stop of all tasks", SLOT_REUSE_TIMEOUT, || busy() == 0);
    let events = collect_history(&cluster, vec![]).events;
    let own = events.iter().filter(|event| {
        event.run.as_ref().is_some_and(|run| Some(&run.submission) == spec.id.as_ref())
    });
    let stopped = own.filter(|event| event.kind == EventKind::Stopped).count();
    assert_eq!(stopped, if case.queued { 0 } else { case.tasks });
}

/// A call whose answer is read later, so that one thread can keep many calls open.
struct OpenCall {
    spec: SubmissionSpec,
    instance: SocketAddr,
    stream: TcpStream,
    sent_us: bamboocart_core::time::Timestamp,
}

impl OpenCall {
    /// Sends a submission without waiting for the answer.
    fn submit(instance: SocketAddr, spec: SubmissionSpec) -> Self {
        let sent_us = clock::now();
        let (path, body) = spec.body();
        let body = body.to_string();
        let mut stream = TcpStream::connect(instance).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(60))).unwrap();
        let length = body.len();
        write!(
            stream,
            "POST {path} HTTP/1.1\r\nhost: {instance}\r\nconnection: close\r\n\
             content-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}"
        )
        .unwrap();
        Self { spec, instance, stream, sent_us }
    }

    /// Waits for the answer and returns the record of the call.
    fn finish(mut self) -> CallRecord {
        let mut text = String::new();
        self.stream.read_to_string(&mut text).unwrap();
        let body = text.split_once("\r\n\r\n").map(|(_, body)| body).unwrap_or_default();
        let answer: AnswerBody =
            serde_json::from_str(body).expect("the body is an answer");
        CallRecord {
            ended_us: clock::now(),
            answer: Some(answer),
            ..self.spec.record(self.instance, Purpose::Submit, self.sent_us)
        }
    }
}

/// Guards against a large cancellation that leaves tasks running, starts tasks that it
/// answered as not run, or blocks the instance: 1,000 submissions of one instance are
/// cancelled at another in one call.
#[test]
fn a_large_batch_is_cancelled() {
    let cluster = Cluster::start(ClusterSettings::default());
    let callers = Callers::new();
    let [owner, other] = [1, 2].map(|index| cluster.instances[index].address);
    let tickets = callers.tickets(owner, BATCH_SIZE);
    let open: Vec<OpenCall> = tickets
        .iter()
        .map(|id| {
            SubmissionSpec::new(id.clone(), "release-order", &[600]).with_deadline(30_000)
        })
        .map(|spec| OpenCall::submit(owner, spec))
        .collect();
    let accepted = || cluster.instances[1].status()["open_submissions"] == BATCH_SIZE;
    let done = || {
        let finished =
            |e: &&bamboocart_standin::history::TargetEvent| e.kind == EventKind::Finished;
        collect_history(&cluster, vec![]).events.iter().filter(finished).count() > 0
    };
    wait_until("the admission of the batch", RECOVERY_TIMEOUT, || accepted() || done());
    let sent_us = clock::now();
    let body = json!({ "submissions": tickets });
    let (status, answers) = call("POST", other, "/v1/cancellations", &body);
    assert_eq!(status, 200);
    let answers: Vec<AnswerBody> =
        serde_json::from_value(answers["answers"].clone()).unwrap();
    assert_eq!(answers.len(), BATCH_SIZE);
    let next =
        SubmissionSpec::new(callers.tickets(owner, 1).remove(0), "release-order", &[10]);
    let record = callers.submit(owner, &next, Purpose::Submit);
    let took = Duration::from_micros(record.ended_us.us_since(record.sent_us));
    assert!(took < SLOT_REUSE_TIMEOUT, "a request after the cancellation took {took:?}");
    let by_id =
        |id: &SubmissionId| open.iter().find(|call| call.spec.id.as_ref() == Some(id));
    for answer in &answers {
        let id = answer.submission.as_ref().expect("each answer names its submission");
        let spec = &by_id(id).expect("the submission is one of the batch").spec;
        callers.add_record(CallRecord {
            ended_us: clock::now(),
            answer: Some(answer.clone()),
            ..spec.record(other, Purpose::Cancel, sent_us)
        });
    }
    for call in open {
        callers.add_record(call.finish());
    }
    let records = callers.records();
    let cancelled = |code: &str| {
        let answers = records.iter().filter(|record| record.purpose == Purpose::Cancel);
        answers.filter(|r| r.answer.as_ref().is_some_and(|a| a.code == code)).count()
    };
    println!(
        "not run {}, started {}, complete {}",
        cancelled("cancelled-not-run"),
        cancelled("cancelled-started"),
        cancelled("complete")
    );
    assert!(
        cancelled("cancelled-not-run") > BATCH_SIZE / 2,
        "the cancellation came too late"
    );
    let unknown = records.iter().filter_map(|record| record.answer.as_ref());
    assert_eq!(unknown.filter(|a| a.outcome == OutcomeName::Unknown).count(), 0);
    check_run(&cluster, &callers, &[0, 1, 2]);
}
