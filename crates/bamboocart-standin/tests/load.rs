//! Tests of the load generator against minimal instances and of its history.

mod common;

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use bamboocart_core::id::{Incarnation, SubmissionId, Ticket};
use bamboocart_standin::fault_proxy::{FaultProxy, ProxyThread, Upstream};
use bamboocart_standin::history::{CallRecord, Purpose};
use bamboocart_standin::http::Method;
use bamboocart_standin::http::{Call, HttpServer};
use bamboocart_standin::load::{self, Summary};
use bamboocart_standin::target::Fleet;
use bamboocart_standin::verify;
use bpaf::Parser;
use common::{address, call, minions};
use serde_json::{Value, json};

/// How an instance handles a submission.
#[derive(Debug, Copy, Clone, PartialEq)]
enum Behaviour {
    /// Runs each task once.
    Correct,
    /// Runs the first task of each submission twice.
    RunsTwice,
    /// Runs the submission and answers that it did not.
    DeniesRun,
    /// Refuses the submission without running it.
    Refuses,
    /// Never answers a submission, and answers cancellations with "not run".
    NeverAnswers,
}

/// A minimal instance, which stores its answers by id in a table shared by all instances.
struct Instance {
    behaviour: Behaviour,
    target: SocketAddr,
    answers: Arc<Mutex<Vec<(String, Value)>>>,
    tickets: AtomicU64,
}

impl Instance {
    /// Starts an instance in front of a target, behind a fault proxy of its own.
    fn start(
        proxies: &ProxyThread,
        behaviour: Behaviour,
        target: SocketAddr,
        answers: &Arc<Mutex<Vec<(String, Value)>>>,
    ) -> (FaultProxy, HttpServer) {
        let answers = Arc::clone(answers);
        let tickets = AtomicU64::new(0);
        let instance = Arc::new(Self { behaviour, target, answers, tickets });
        let serve = move |call| {
            let instance = Arc::clone(&instance);
            thread::spawn(move || instance.serve(call));
        };
        let server = HttpServer::start(0, serve).unwrap();
        let upstream = Upstream { address: server.address(), max_connections: 1_024 };
        (proxies.open(0, upstream).unwrap(), server)
    }

    /// Issues new tickets.
    fn issue(&self, count: u64) -> Vec<SubmissionId> {
        let ticket = |_| {
            SubmissionId::Ticket(Ticket {
                domain: "marka".into(),
                instance: "i-1".into(),
                incarnation: Incarnation(u64::from(self.target.port())),
                sequence: self.tickets.fetch_add(1, Ordering::Relaxed),
            })
        };
        (0..count).map(ticket).collect()
    }

    /// Answers or withholds one HTTP call.
    fn serve(&self, mut call: Call) {
        let (method, path) = call.route();
        match (method, path[1].as_str()) {
            (Method::DELETE, _) => {
                let answer = answer(&json!(path[2]), "cancelled", "cancelled-not-run");
                call.answer(409, &answer);
            }
            (_, "tickets") => {
                let count = call.body_json::<Value>().unwrap()["count"].as_u64().unwrap();
                call.answer(200, &json!({ "tickets": self.issue(count) }));
            }
            _ => {
                let body = call.body_json::<Value>().unwrap();
                match self.behaviour {
                    Behaviour::NeverAnswers => call.withhold(),
                    _ => call.answer(200, &self.submit(&body)),
                }
            }
        }
    }

    /// Answers a submission, and runs it at most once for each id.
    fn submit(&self, body: &Value) -> Value {
        let id = match &body["submission"] {
            Value::Null => json!(self.issue(1)[0]),
            id => id.clone(),
        };
        let mut answers = self.answers.lock().unwrap();
        let known = answers.iter().find(|(known, _)| json!(known) == id);
        if let Some((_, answer)) = known {
            return answer.clone();
        }
        let single = vec![body.clone()];
        let tasks = body["tasks"].as_array().unwrap_or(&single);
        let refuses = self.behaviour == Behaviour::Refuses;
        let results = match refuses {
            true => vec![],
            false => self.run_all(&id, body, tasks),
        };
        let denies = refuses || self.behaviour == Behaviour::DeniesRun;
        let (outcome, code) =
            if denies { ("refused", "overloaded") } else { ("complete", "complete") };
        let mut answer = answer(&id, outcome, code);
        answer["attempts"] = json!(results.len());
        answer["results"] = json!(if denies { vec![] } else { results });
        answer["tickets"] = json!(self.issue(body["want_tickets"].as_u64().unwrap()));
        answers.push((id.as_str().unwrap().to_owned(), answer.clone()));
        answer
    }

    /// Runs the tasks of a submission on the target and returns their results.
    fn run_all(&self, id: &Value, body: &Value, tasks: &[Value]) -> Vec<Value> {
        let run = |(index, task): (usize, &Value)| {
            let run = json!({
                "submission": id, "task": index, "attempt": 1, "kind": body["kind"],
                "payload": task["payload"], "deadline_ms": 1_000,
            });
            let twice = self.behaviour == Behaviour::RunsTwice && index == 0;
            if twice {
                call("POST", self.target, "/run", &run);
            }
            let result = call("POST", self.target, "/run", &run).1["result"].clone();
            json!({ "task": index, "body": result })
        };
        tasks.iter().enumerate().map(run).collect()
    }
}

/// Creates the body of an answer without results.
fn answer(id: &Value, outcome: &str, code: &str) -> Value {
    json!({
        "submission": id, "outcome": outcome, "code": code, "message": "",
        "results": [], "config_version": 1, "tickets": [],
    })
}

/// The results of a run of the load generator.
struct Run {
    summary: Summary,
    calls: Vec<CallRecord>,
    violations: Vec<String>,
}

/// Runs the load generator against two instances in front of one target.
fn run(name: &str, behaviour: Behaviour, flags: &[&str]) -> Run {
    let fleet: Fleet = minions(&["--count", "1", "--slots", "64"]);
    let answers = Arc::default();
    let proxies = ProxyThread::start().unwrap();
    let start = || Instance::start(&proxies, behaviour, address(&fleet, 0), &answers);
    let instances = [start(), start()];
    let history = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let addresses = instances.iter().map(|i| format!("--instance={}", i.0.address()));
    let mut all = vec![format!("--history={}", history.display())];
    all.extend(addresses);
    all.extend(flags.iter().map(|flag| flag.to_string()));
    let all: Vec<std::ffi::OsString> = all.into_iter().map(Into::into).collect();
    let settings = load::settings().to_options().run_inner(all.as_slice()).unwrap();
    let summary = load::run(&settings, &AtomicBool::new(false)).unwrap();
    let text = fs::read_to_string(&history).unwrap();
    let settings = verify::Settings {
        control: vec![fleet.control_address()],
        history: vec![history],
        repeatable: vec![],
    };
    let violations = verify::verify(&settings).unwrap().into_iter();
    let name = |v| serde_json::to_value(v).unwrap()["violation"].as_str().unwrap().into();
    Run {
        summary,
        calls: text.lines().map(|line| serde_json::from_str(line).unwrap()).collect(),
        violations: violations.map(name).collect(),
    }
}

/// The flags of a run with 20 submissions and tasks of 2 ms.
const SHORT: [&str; 4] =
    ["--rate=200", "--duration-s=60", "--count=20", "--kind=bay-check=1@2"];

/// Guards against wrong counts, reused ids and false violations in a correct run.
#[test]
fn correct_run_passes_the_check() {
    let flags =
        [&SHORT[..], &["--job-share=0.5", "--job-tasks=4", "--ids=mixed"]].concat();
    let run = run("correct.jsonl", Behaviour::Correct, &flags);
    assert_eq!(run.violations, [""; 0]);
    assert_eq!((run.summary.submissions, run.summary.complete), (20, 20));
    assert_eq!(run.summary.attempts, run.summary.needed_starts);
    assert!(run.summary.needed_starts > 20, "no job was sent");
    let mut ids: Vec<_> =
        run.calls.iter().map(|call| call.submission_id.clone()).collect();
    assert!(ids.iter().any(|id| matches!(id, Some(SubmissionId::Ticket(_)))));
    assert!(ids.iter().any(|id| matches!(id, Some(SubmissionId::CallerKey(_)))));
    ids.sort();
    ids.dedup();
    assert_eq!(ids.len(), 20);
    let row = run.summary.kinds.values().next().unwrap();
    assert!(row.response_over_ideal.p50 > 0.0);
}

/// Guards against measurements that are clipped to the initial range of a histogram.
///
/// The range ends at 2 ms for response times and at twice the ideal for ratios.
#[test]
fn long_responses_are_measured() {
    let flags = ["--rate=200", "--count=5", "--kind=bay-check=1@50", "--spread=0"];
    let run = run("long.jsonl", Behaviour::Correct, &flags);
    let row = run.summary.kinds.values().next().unwrap();
    assert!(row.response_ms.p50 >= 50.0, "{row:?}");
    assert_eq!(run.summary.ends, [("complete".to_owned(), 5)].into());
}

/// Guards against a check that accepts faulty instances.
#[test]
fn faulty_instances_fail_the_check() {
    let twice = run("twice.jsonl", Behaviour::RunsTwice, &SHORT);
    assert_eq!(twice.violations, ["started-twice"; 20]);
    let denied = run("denied.jsonl", Behaviour::DeniesRun, &SHORT);
    assert_eq!(denied.violations, ["not-run-but-started"; 20]);
    assert_eq!(denied.summary.codes["refused/overloaded"], 20);
    let refused = run("refused.jsonl", Behaviour::Refuses, &SHORT);
    assert_eq!(refused.violations, [""; 0]);
    assert_eq!(refused.summary.complete, 0);
}

/// Guards against periodic resubmissions and cancellations that miss submissions, change
/// their ids or go to the same instance again.
#[test]
fn periodic_calls_reach_the_same_ids_elsewhere() {
    let flags = [
        "--rate=200",
        "--count=10",
        "--ids=keys",
        "--timeout-ms=1000",
        "--storm-every-ms=100",
        "--storm-share=1",
        "--cancel-every-ms=300",
        "--cancel-share=1",
    ];
    let run = run("waves.jsonl", Behaviour::NeverAnswers, &flags);
    let with_purpose =
        |purpose| run.calls.iter().filter(move |call| call.purpose == purpose);
    assert!(
        with_purpose(Purpose::Resubmit).count() >= 10,
        "no resubmission storm reached every submission"
    );
    assert!(
        with_purpose(Purpose::Cancel).count() >= 10,
        "no burst of cancellations reached every submission"
    );
    assert!(with_purpose(Purpose::Cancel).all(|call| call.answer.is_some()));
    for again in with_purpose(Purpose::Resubmit) {
        let first =
            with_purpose(Purpose::Submit).find(|call| call.mark == again.mark).unwrap();
        assert_eq!(first.submission_id, again.submission_id);
        assert_ne!(first.instance, again.instance);
    }
}

/// Guards against an unanswered submission that is abandoned or resent under a new id.
#[test]
fn unanswered_submissions_are_resent() {
    let flags = ["--count=2", "--ids=keys", "--timeout-ms=300", "--resend-unanswered=1"];
    let run = run("resend.jsonl", Behaviour::NeverAnswers, &flags);
    let purposes = run.calls.iter().map(|call| call.purpose);
    assert_eq!(purposes.filter(|purpose| *purpose == Purpose::Resubmit).count(), 2);
    assert_eq!((run.summary.calls, run.summary.codes["unanswered"]), (4, 4));
    assert_eq!(run.summary.ends, [("unanswered".to_owned(), 2)].into());
    let mut ids: Vec<_> =
        run.calls.iter().map(|call| call.submission_id.clone()).collect();
    ids.sort();
    ids.dedup();
    assert_eq!(ids.len(), 2);
}
