//! Late and mismatched answers are dropped instead of being passed to another caller.

mod support;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use bamboocart_core::config::Role;
use bamboocart_core::id::Incarnation;
use bamboocart_platform::{InstanceEntry, ListState};
use bamboocart_standin::clock;
use bamboocart_standin::history::Purpose;
use bamboocart_standin::http::{Call, HttpServer, Method};
use bamboocart_wire::api::{RunAnswer, RunBody, TargetStatus};
use support::{
    Callers, Cluster, ClusterSettings, RECOVERY_TIMEOUT, SubmissionSpec, check_run,
    register, spawn_caller, wait_until,
};

/// Submits several requests to one instance at the same time, each in its own thread.
fn submit_all(
    callers: &Arc<Callers>,
    at: SocketAddr,
    specs: Vec<SubmissionSpec>,
) -> Vec<std::thread::JoinHandle<()>> {
    let submit = |spec: SubmissionSpec| {
        let callers = callers.clone();
        spawn_caller(move || {
            callers.submit(at, &spec, Purpose::Submit);
        })
    };
    specs.into_iter().map(submit).collect()
}

/// Describes requests with one task each under new tickets of an instance.
fn ticketed_requests(
    callers: &Callers,
    owner: SocketAddr,
    count: usize,
    run_ms: u64,
) -> Vec<SubmissionSpec> {
    let tickets = callers.tickets(owner, count).into_iter();
    tickets
        .map(|ticket| SubmissionSpec::new(ticket, "release-order", &[run_ms]))
        .collect()
}

/// Guards against a restarted instance that accepts answers meant for its earlier run.
/// The earlier run forwards submissions and lends tasks to its peers, which answer after
/// the later run, at the same address, has forwarded and lent others.
#[test]
fn answers_to_an_earlier_run_are_dropped() {
    let mut cluster = Cluster::start(ClusterSettings::default());
    let callers = Callers::new();
    let submit_round = |cluster: &Cluster, forwarded: usize, lent: usize| {
        let entry = cluster.instances[0].address;
        let owner = cluster.instances[1].address;
        let mut threads = submit_all(
            &callers,
            entry,
            ticketed_requests(&callers, owner, forwarded, 3_500),
        );
        threads.extend(submit_all(
            &callers,
            entry,
            ticketed_requests(&callers, entry, lent, 3_500),
        ));
        threads
    };
    let mut threads = submit_round(&cluster, 6, 24);
    let busy =
        || cluster.minions.members().rows().iter().map(|row| row.busy).sum::<u32>();
    wait_until("the start of the first run's tasks", RECOVERY_TIMEOUT, || busy() == 30);
    cluster.restart(0);
    let knows_peers = |cluster: &Cluster| {
        let status = cluster.instances[0].status();
        let peers = status["peers"].as_array().into_iter().flatten();
        peers.filter(|peer| peer["state"] == "live").count() == 2
    };
    wait_until("two live peers at the later run", RECOVERY_TIMEOUT, || {
        knows_peers(&cluster)
    });
    threads.extend(submit_round(&cluster, 12, 12));
    threads.into_iter().for_each(|thread| thread.join().unwrap());
    cluster.wait_for_service();
    let summary = check_run(&cluster, &callers, &[1, 2]);
    println!("{summary:#?}");
    assert!(summary.with_code("complete") >= 6, "the system hardly served");
}

/// A minion that answers each task with the result of the previous one.
struct StaleResultMinion {
    server: HttpServer,
}

impl StaleResultMinion {
    /// Starts the minion.
    fn start() -> Self {
        let previous: Mutex<Option<RunBody>> = Mutex::default();
        let serve = move |mut call: Call| match call.route() {
            (Method::POST, path) if path == ["run"] => {
                let body: RunBody = call.body_json().unwrap();
                let other = previous.lock().unwrap().replace(body.clone());
                call.answer(200, &result_of(other.unwrap_or(body)));
            }
            _ => {
                let status = TargetStatus { leaving: false, slots: 8, busy: 0 };
                call.answer(200, &status);
            }
        };
        Self { server: HttpServer::start(0, serve).unwrap() }
    }

    /// Returns the minion's entry for the platform's list.
    fn entry(&self) -> InstanceEntry {
        InstanceEntry {
            name: "stale-result".into(),
            role: Role::Minion,
            service: "float-yard".into(),
            failure_domain: "marka".into(),
            rack: None,
            address: self.server.address().to_string(),
            peer_address: None,
            state: ListState::Live,
            slots: 8,
            connections: 64,
            cpus: 0,
            memory_mb: 0,
            incarnation: Incarnation(clock::now().as_us()),
        }
    }
}

/// Returns the answer of a minion that has run a task; the result repeats its mark.
fn result_of(body: RunBody) -> RunAnswer {
    let hints: serde_json::Value = serde_json::from_slice(&body.payload).unwrap();
    let result = serde_json::json!({
        "submission": body.submission, "task": body.task, "mark": hints["mark"],
    });
    RunAnswer {
        submission: body.submission,
        task: body.task,
        attempt: body.attempt,
        started: true,
        code: None,
        result: Some(result.to_string().into()),
    }
}

/// Guards against a caller that gets the result of another request because a target
/// answers a request with the result of an earlier one. The correct result is lost and
/// the task may have run, so the answer is `target-lost`.
#[test]
fn mismatched_answers_of_a_target_are_dropped() {
    let settings = ClusterSettings {
        instances: vec!["marka"],
        minions: vec!["--count", "0"],
        workers: vec!["--count", "0"],
        ..ClusterSettings::default()
    };
    let cluster = Cluster::start(settings);
    let minion = StaleResultMinion::start();
    register(cluster.platform.address(), &minion.entry());
    let entry = cluster.instances[0].address;
    let uses_minion = || cluster.instances[0].status()["targets"][0]["slots"] == 8;
    wait_until("the use of the minion", RECOVERY_TIMEOUT, uses_minion);
    let callers = Callers::new();
    let specs = ticketed_requests(&callers, entry, 20, 1);
    for spec in &specs {
        callers.submit(entry, spec, Purpose::Submit);
    }
    let records = callers.records();
    for (index, record) in records.iter().enumerate() {
        let answer = record.answer.as_ref().expect("each request is answered");
        // The first task has no predecessor, so its answer is the correct one.
        let expected = if index == 0 { "complete" } else { "target-lost" };
        assert_eq!(answer.code, expected, "request {index}");
        let own = answer
            .results
            .iter()
            .all(|result| String::from_utf8_lossy(&result.body).contains(&record.mark));
        assert!(own, "request {index} was answered {answer:?}");
    }
}
