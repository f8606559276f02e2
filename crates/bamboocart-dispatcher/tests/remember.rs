//! Submissions whose answers are no longer retained.

mod support;

use std::time::Duration;

use bamboocart_core::id::SubmissionId;
use bamboocart_standin::history::{EventKind, Purpose};
use bamboocart_wire::api::OutcomeName::{self, Complete, Refused};
use support::{
    Callers, Cluster, ClusterSettings, SubmissionSpec, check_run, collect_history, sleep,
    wait_for_keys, wait_until,
};
use uuid::Uuid;
use yare::parameterized;

/// The retention time of answers in milliseconds.
const ANSWER_RETENTION_MS: &str = "3000";

/// The time limit for an answer to be forgotten, with a margin for the calls.
const FORGET_TIMEOUT: Duration = Duration::from_secs(5);

/// A submission and the expected first answer.
struct Case {
    /// Whether it is submitted under a caller key instead of a ticket.
    under_key: bool,
    /// The request kind; an unknown one is refused.
    kind: &'static str,
    /// The outcome of the first answer.
    outcome: OutcomeName,
    /// The number of starts in the whole run.
    starts: usize,
}

/// Guards against a submission that is started again, or answered as not run, because its
/// answer has been forgotten: it is submitted again at every instance. A ticket that is
/// older than a forgotten one and was never used is not started either.
#[parameterized(
    completed_ticket = {
        Case { under_key: false, kind: "release-order", outcome: Complete, starts: 1 }
    },
    completed_key = {
        Case { under_key: true, kind: "release-order", outcome: Complete, starts: 1 }
    },
    refused_ticket = {
        Case { under_key: false, kind: "unknown", outcome: Refused, starts: 0 }
    },
    refused_key = {
        Case { under_key: true, kind: "unknown", outcome: Refused, starts: 0 }
    },
)]
fn forgotten_submissions_are_unknown(case: Case) {
    let cluster = Cluster::start(ClusterSettings {
        flags: vec!["--remember-ms", ANSWER_RETENTION_MS],
        ..ClusterSettings::default()
    });
    wait_for_keys(&cluster);
    let (all, callers) = (cluster.addresses(), Callers::new());
    let key = || SubmissionId::CallerKey(Uuid::now_v7());
    let mut tickets = callers.tickets(all[0], 2);
    let id = if case.under_key { key() } else { tickets.pop().unwrap() };
    let unused = SubmissionSpec::new(tickets.remove(0), "release-order", &[20]);
    let spec = SubmissionSpec::new(id, case.kind, &[20]);
    let send = |at, spec: &SubmissionSpec| {
        let answer = callers.submit(at, spec, Purpose::Resubmit).answer.unwrap();
        (answer.outcome, answer.code)
    };
    let first = send(all[0], &spec);
    assert_eq!(first.0, case.outcome, "{}", first.1);
    assert_eq!(send(all[1], &spec), first, "the answer is not repeated");
    let forgotten = (OutcomeName::Unknown, "forgotten".to_owned());
    let started = |spec: &SubmissionSpec| {
        let events = collect_history(&cluster, vec![]).events.into_iter();
        let started = events.filter(|event| event.kind == EventKind::Started);
        let runs = started.filter_map(|event| event.run);
        runs.filter(|run| Some(&run.submission) == spec.id.as_ref()).count()
    };
    wait_until("the end of the retention time", FORGET_TIMEOUT, || {
        let answer = send(all[2], &spec);
        assert_eq!(started(&spec), case.starts, "it was started again");
        answer == forgotten
    });
    sleep(Duration::from_secs(1));
    for &at in &all {
        assert_eq!(send(at, &spec), forgotten);
        let state = callers.query(at, spec.id.as_ref().unwrap()).unwrap();
        assert_eq!(state.outcome, OutcomeName::Unknown, "{}", state.code);
    }
    if !case.under_key {
        assert_eq!(send(all[1], &unused), forgotten, "the unused ticket");
    }
    let fresh = SubmissionSpec::new(key(), "release-order", &[20]);
    assert_eq!(send(all[0], &fresh).0, OutcomeName::Complete);
    assert_eq!((started(&spec), started(&fresh)), (case.starts, 1));
    assert!(case.under_key || started(&unused) == 0, "the unused ticket was started");
    println!("{:#?}", check_run(&cluster, &callers, &[]));
}
