//! What is cancelled does not go on, and what is said about it is true.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use bamboocart_core::id::SubmissionId;
use bamboocart_standin::clock;
use bamboocart_standin::history::{Purpose, SendRecord, What};
use bamboocart_wire::api::{AnswerBody, OutcomeName};
use serde_json::json;
use support::{
    Callers, Cluster, ClusterSettings, RECOVERY_TIMEOUT, SubmissionSpec, call, check_run,
    evidence, spawn_caller, wait_until,
};
use yare::parameterized;

/// The size of a wave.
const WAVE: usize = 1_000;

/// The time in which a freed slot is used for a request, with the time of a peer's answer.
const NEXT: Duration = Duration::from_secs(3);

/// Where a submission is when it is cancelled.
struct Case {
    /// Whether it is a job.
    tasks: usize,
    /// Whether other work keeps it from starting.
    queued: bool,
    /// Whether it is cancelled at another instance than its owner.
    elsewhere: bool,
    /// The code of the answer.
    code: &'static str,
}

/// Guards against cancelled tasks that go on or start later, and against a cancellation
/// that says "not run" of what was started.
#[parameterized(
    running = { Case { tasks: 1, queued: false, elsewhere: false, code: "cancelled-started" } },
    running_job = { Case { tasks: 3, queued: false, elsewhere: true, code: "cancelled-started" } },
    queued = { Case { tasks: 1, queued: true, elsewhere: false, code: "cancelled-not-run" } },
    queued_job = { Case { tasks: 3, queued: true, elsewhere: true, code: "cancelled-not-run" } },
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
        let work =
            SubmissionSpec::new(ticket, "release-order", run_ms).with_deadline(10_000);
        let (callers, sent) = (callers.clone(), work.clone());
        threads.push(spawn_caller(move || {
            callers.submit(owner, &sent, Purpose::Submit);
        }));
        work
    };
    let busy = || cluster.minions.members().rows()[0].busy as usize;
    if case.queued {
        (0..4).for_each(|_| drop(submit(&[3_000])));
        wait_until("the start of the other work", RECOVERY_TIMEOUT, || busy() == 4);
    }
    let work = submit(&vec![8_000; case.tasks]);
    if case.queued {
        let queued = || {
            let groups = cluster.instances[0].status()["groups"].clone();
            groups.as_array().into_iter().flatten().any(|g| g["queued"] == case.tasks)
        };
        wait_until("the submission's place in the queue", RECOVERY_TIMEOUT, queued);
    } else {
        wait_until("the start of the tasks", RECOVERY_TIMEOUT, || busy() == case.tasks);
    }
    let at = if case.elsewhere { cluster.instances[2].address } else { owner };
    let record = callers.cancel(at, &work);
    let answer = record.answer.expect("a cancellation is answered");
    assert_eq!(answer.code, case.code, "{answer:?}");
    callers.submit(at, &work, Purpose::Resubmit);
    threads.into_iter().for_each(|thread| thread.join().unwrap());
    check_run(&cluster, &callers, &[0, 1, 2]);
    wait_until("the stop of all tasks", NEXT, || busy() == 0);
    let events = evidence(&cluster, vec![]).events;
    let own = events.iter().filter(|event| {
        event.run.as_ref().is_some_and(|run| Some(&run.submission) == work.id.as_ref())
    });
    let stopped = own.filter(|event| event.what == What::Stopped).count();
    assert_eq!(stopped, if case.queued { 0 } else { case.tasks });
}

/// A call whose answer is read later, so that one thread can have many open.
struct OpenCall {
    work: SubmissionSpec,
    instance: SocketAddr,
    stream: TcpStream,
    sent_us: bamboocart_core::time::Timestamp,
}

impl OpenCall {
    /// Submits a piece of work.
    fn submit(instance: SocketAddr, work: SubmissionSpec) -> Self {
        let sent_us = clock::now();
        let (path, body) = work.body();
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
        Self { work, instance, stream, sent_us }
    }

    /// Waits for the answer.
    fn finish(mut self) -> SendRecord {
        let mut text = String::new();
        self.stream.read_to_string(&mut text).unwrap();
        let body = text.split_once("\r\n\r\n").map(|(_, body)| body).unwrap_or_default();
        let answer: AnswerBody = serde_json::from_str(body).expect("an answer");
        SendRecord {
            ended_us: clock::now(),
            answer: Some(answer),
            ..self.work.record(self.instance, Purpose::Submit, self.sent_us)
        }
    }
}

/// Guards against a wave of cancellations that leaves work behind, starts what it said was
/// not run, or blocks the instance: 1,000 submissions of one instance are cancelled at
/// another in one call.
#[test]
fn a_wave_is_cancelled() {
    let cluster = Cluster::start(ClusterSettings::default());
    let callers = Callers::new();
    let [owner, other] = [1, 2].map(|index| cluster.instances[index].address);
    let tickets = callers.tickets(owner, WAVE);
    let open: Vec<OpenCall> = tickets
        .iter()
        .map(|id| {
            SubmissionSpec::new(id.clone(), "release-order", &[600]).with_deadline(30_000)
        })
        .map(|work| OpenCall::submit(owner, work))
        .collect();
    let accepted = || cluster.instances[1].status()["open_submissions"] == WAVE;
    let done = || {
        let finished =
            |e: &&bamboocart_standin::history::TargetEvent| e.what == What::Finished;
        evidence(&cluster, vec![]).events.iter().filter(finished).count() > 0
    };
    wait_until("the admission of the wave", RECOVERY_TIMEOUT, || accepted() || done());
    let sent_us = clock::now();
    let body = json!({ "submissions": tickets });
    let (status, answers) = call("POST", other, "/v1/cancellations", &body);
    assert_eq!(status, 200);
    let answers: Vec<AnswerBody> =
        serde_json::from_value(answers["answers"].clone()).unwrap();
    assert_eq!(answers.len(), WAVE);
    let next =
        SubmissionSpec::new(callers.tickets(owner, 1).remove(0), "release-order", &[10]);
    let record = callers.submit(owner, &next, Purpose::Submit);
    let took = Duration::from_micros(record.ended_us.us_since(record.sent_us));
    assert!(took < NEXT, "a request after the wave took {took:?}");
    let by_id =
        |id: &SubmissionId| open.iter().find(|call| call.work.id.as_ref() == Some(id));
    for answer in &answers {
        let id = answer.submission.as_ref().expect("each answer names its submission");
        let work = &by_id(id).expect("the submission is one of the wave").work;
        callers.add_record(SendRecord {
            ended_us: clock::now(),
            answer: Some(answer.clone()),
            ..work.record(other, Purpose::Cancel, sent_us)
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
    assert!(cancelled("cancelled-not-run") > WAVE / 2, "the wave came too late");
    let unknown = records.iter().filter_map(|record| record.answer.as_ref());
    assert_eq!(unknown.filter(|a| a.outcome == OutcomeName::Unknown).count(), 0);
    check_run(&cluster, &callers, &[0, 1, 2]);
}
