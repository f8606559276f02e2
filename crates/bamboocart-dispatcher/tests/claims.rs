//! Caller keys when the claim on their range passes from one instance to another.

mod support;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use bamboocart_core::id::{Incarnation, SubmissionId};
use bamboocart_core::ownership::Owner;
use bamboocart_core::time::Timestamp;
use bamboocart_standin::clock;
use bamboocart_standin::history::{CallRecord, Purpose};
use bamboocart_wire::api::OutcomeName;
use support::{
    Callers, Claims, Cluster, ClusterSettings, HeldRanges, LinkMode, Node,
    SubmissionSpec, check_run, collect_history, spawn_caller, started_keys,
    wait_for_keys, wait_until,
};
use yare::parameterized;

/// The claim horizon in milliseconds, the shortest that the settings allow.
const HORIZON_MS: &str = "15000";

/// The time limit for the claims of a silent owner to end and for other instances to have
/// read their own: the horizon (15 s), its grid (2 s), and the shortest interval between
/// two appends of one instance (5 s).
const RECLAIM_TIMEOUT: Duration = Duration::from_secs(15 + 2 + 5);

/// The pause between two rounds of calls.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);

/// A request kind that must not be repeated.
const KIND: &str = "release-order";

/// A running system in which instance 0 holds ranges of caller keys.
struct Fixture {
    cluster: Cluster,
    callers: Arc<Callers>,
    owner: Owner,
    held: HeldRanges,
}

impl Fixture {
    /// Starts the system and finds the ranges that instance 0 holds.
    fn start() -> Self {
        let cluster = Cluster::start(ClusterSettings {
            flags: vec!["--claim-horizon-ms", HORIZON_MS],
            ..ClusterSettings::default()
        });
        wait_for_keys(&cluster);
        let first = &cluster.instances[0];
        let owner =
            Owner::new(first.name.as_str().into(), Incarnation(first.incarnation));
        let held = HeldRanges::held_by(&cluster, &owner);
        assert!(held.count() > 0, "instance 0 has no ranges");
        Self { cluster, callers: Callers::new(), owner, held }
    }

    /// Describes requests with new keys in the held ranges.
    fn new_specs(&self, count: usize, run_ms: u64) -> Vec<SubmissionSpec> {
        let keys = self.held.new_keys(count).into_iter();
        keys.map(|key| SubmissionSpec::new(key, KIND, &[run_ms])).collect()
    }

    /// Sends each request to each address at the same time, without waiting for answers.
    fn submit(
        &self,
        specs: &[SubmissionSpec],
        at: &[SocketAddr],
        purpose: Purpose,
    ) -> Vec<Call> {
        let calls = specs.iter().flat_map(|spec| at.iter().map(move |&at| (spec, at)));
        calls
            .map(|(spec, at)| {
                let (callers, spec) = (Arc::clone(&self.callers), spec.clone());
                spawn_caller(move || drop(callers.submit(at, &spec, purpose)))
            })
            .collect()
    }

    /// Returns the outcomes and codes that were answered for a request so far.
    fn answers(&self, spec: &SubmissionSpec) -> Vec<(OutcomeName, String)> {
        let records = self.callers.records().into_iter();
        let own = records.filter(|record| record.submission_id == spec.id);
        let answer = |record: CallRecord| record.answer.map(|it| (it.outcome, it.code));
        own.filter_map(answer).collect()
    }

    /// Submits requests with new keys of the held ranges, one round each second, until as
    /// many are complete as there are ranges.
    ///
    /// Returns the requests and calls of all rounds.
    fn submit_until_reclaimed(
        &self,
        at: &[SocketAddr],
    ) -> (Vec<SubmissionSpec>, Vec<Call>) {
        let (mut specs, mut calls) = (vec![], vec![]);
        let mut due = clock::now();
        wait_until("complete requests of other owners", RECLAIM_TIMEOUT, || {
            if clock::now() >= due {
                due = clock::now().plus_ms(ROUND_INTERVAL.as_millis() as u64);
                let round = self.new_specs(self.held.count(), 20);
                calls.extend(self.submit(&round, at, Purpose::Submit));
                specs.extend(round);
            }
            let served = |spec: &&SubmissionSpec| {
                self.answers(spec).iter().any(|it| it.0 == OutcomeName::Complete)
            };
            specs.iter().filter(served).count() >= self.held.count()
        });
        (specs, calls)
    }

    /// Panics unless every key was started only by the holder of the claim covering it.
    fn check_starts(&self) {
        let claims = Claims::read(&self.cluster);
        for (at, owner, key) in started_keys(&self.cluster) {
            let holder = claims.holder(&key);
            assert_eq!(holder, Some(&owner), "{key} was started at {at:?}");
        }
    }

    /// Returns whether the claim that covers a request is that of the first owner.
    fn is_of_first_owner(&self, spec: &SubmissionSpec) -> bool {
        let claims = Claims::read(&self.cluster);
        claims.holder(&key_of(spec)) == Some(&self.owner)
    }

    /// Returns how often the targets started a request.
    fn starts(&self, spec: &SubmissionSpec) -> usize {
        let events = collect_history(&self.cluster, vec![]).events;
        let runs = events.iter().filter(|event| {
            event.kind == bamboocart_standin::history::EventKind::Started
        });
        let ids = runs.filter_map(|event| event.run.as_ref().map(|run| &run.submission));
        ids.filter(|id| Some(*id) == spec.id.as_ref()).count()
    }
}

/// The thread of a call that may still wait for its answer.
type Call = JoinHandle<()>;

fn join(calls: Vec<Call>) {
    calls.into_iter().for_each(|call| call.join().unwrap());
}

/// Returns the caller key of a request, which must have one.
fn key_of(spec: &SubmissionSpec) -> uuid::Uuid {
    match &spec.id {
        Some(SubmissionId::CallerKey(key)) => *key,
        id => panic!("{id:?} is not a caller key"),
    }
}

/// Guards against a key that is started again, or refused as not run, after its owner has
/// died and another instance has claimed the range: keys that were answered, that were
/// running, and that were never sent before. New keys of the ranges are served again.
#[test]
fn claims_pass_on_from_a_dead_owner() {
    let mut fixture = Fixture::start();
    let (owner, others) =
        fixture.cluster.addresses().split_first().map(|(a, b)| (*a, b.to_vec())).unwrap();
    let answered = fixture.new_specs(10, 20);
    join(fixture.submit(&answered, &[owner], Purpose::Submit));
    let unsent = fixture.new_specs(10, 20);
    let running = fixture.new_specs(10, 1_900);
    let calls = fixture.submit(&running, &[owner], Purpose::Submit);
    wait_until("the starts", ROUND_INTERVAL * 4, || {
        running.iter().all(|it| fixture.starts(it) == 1)
    });
    fixture.cluster.instances[0].kill();
    fixture.cluster.unregister(0);
    join(calls);
    let old: Vec<SubmissionSpec> =
        [answered.clone(), unsent.clone(), running.clone()].concat();
    join(fixture.submit(&old, &others, Purpose::Resubmit));
    let (fresh, calls) = fixture.submit_until_reclaimed(&others);
    join(calls);
    let (late, new): (Vec<SubmissionSpec>, Vec<SubmissionSpec>) =
        fresh.into_iter().partition(|spec| fixture.is_of_first_owner(spec));
    println!("{} keys of the old claim and {} of the new ones", late.len(), new.len());
    assert!(!late.is_empty(), "the claim ended before the owner died");

    // Keys of the old claim are submitted again when the new owners are known.
    let old: Vec<SubmissionSpec> = [old, late.clone()].concat();
    let before = fixture.callers.records().len();
    join(fixture.submit(&old, &others, Purpose::Resubmit));
    for record in &fixture.callers.records()[before..] {
        let answer = record.answer.as_ref().expect("every call is answered");
        assert_eq!(answer.outcome, OutcomeName::Unknown, "{answer:?}");
    }
    let again = fixture.new_specs(fixture.held.count(), 20);
    join(fixture.submit(&again, &others, Purpose::Submit));
    for spec in new.iter().chain(&again) {
        assert_eq!(fixture.starts(spec), 1, "{:?}: {:?}", spec.id, fixture.answers(spec));
    }
    let starts = |specs: &[SubmissionSpec]| {
        specs.iter().map(|spec| fixture.starts(spec)).sum::<usize>()
    };
    assert_eq!([starts(&answered), starts(&running)], [10, 10]);
    assert_eq!([starts(&unsent), starts(&late)], [0, 0]);
    println!("{:#?}", check_run(&fixture.cluster, &fixture.callers, &[1, 2]));
    fixture.check_starts();
}

/// Guards against an owner that was only paused and, when it resumes after its claim has
/// ended, starts tasks that it had queued or that others own by then. Callers also send
/// all keys to the paused owner, which finds them when it resumes. Without the log it
/// does not know at that time that its claim has ended.
#[parameterized(with_the_log = { LinkMode::Pass }, without_the_log = { LinkMode::Reset })]
fn claims_pass_on_from_a_paused_owner(log: LinkMode) {
    let fixture = Fixture::start();
    let all = fixture.cluster.addresses();
    let waiting = fixture.new_specs(120, 1_900);
    let mut calls = fixture.submit(&waiting, &all[..1], Purpose::Submit);
    let started = || waiting.iter().filter(|spec| fixture.starts(spec) > 0).count();
    // A call that the owner admits only after it resumes would be new to it, not queued.
    let admitted = || fixture.cluster.instances[0].status()["open_submissions"] == 120;
    wait_until("the admission", ROUND_INTERVAL * 4, admitted);
    wait_until("the first starts", ROUND_INTERVAL * 4, || started() >= 20);
    fixture.cluster.net.set_mode(Node::Instance(0), Node::Platform, log);
    fixture.cluster.instances[0].pause();
    let (fresh, more) = fixture.submit_until_reclaimed(&all);
    calls.extend(more);
    let resumed_at: Timestamp = clock::now();
    fixture.cluster.instances[0].resume();
    join(calls);
    fixture.cluster.net.set_mode(Node::Instance(0), Node::Platform, LinkMode::Pass);
    fixture.cluster.wait_for_service();
    let (old, new): (Vec<SubmissionSpec>, Vec<SubmissionSpec>) =
        fresh.into_iter().partition(|spec| fixture.is_of_first_owner(spec));
    println!("{} keys of the old claim and {} of the new ones", old.len(), new.len());
    assert!(!old.is_empty() && new.len() >= fixture.held.count());
    join(fixture.submit(&[old.clone(), new.clone()].concat(), &all, Purpose::Resubmit));
    println!("{:#?}", check_run(&fixture.cluster, &fixture.callers, &[0, 1, 2]));
    fixture.check_starts();

    let waiting: BTreeSet<_> = waiting.iter().map(key_of).collect();
    let old: BTreeSet<_> = old.iter().map(key_of).collect();
    let started_after_resume = started_keys(&fixture.cluster).into_iter();
    let started_after_resume: Vec<_> = started_after_resume
        .filter(|(at, owner, _)| *at >= resumed_at && *owner == fixture.owner)
        .map(|(_, _, key)| key)
        .collect();
    let (own, foreign): (Vec<_>, Vec<_>) =
        started_after_resume.into_iter().partition(|key| old.contains(key));
    println!("the resumed owner started {} keys of its own claim", own.len());
    let queued = foreign.iter().filter(|key| waiting.contains(key)).count();
    assert_eq!(
        (foreign.len(), queued),
        (0, 0),
        "the resumed owner started queued or foreign keys"
    );
    assert!(
        new.iter().all(|spec| fixture.starts(spec) == 1),
        "not all new keys ran once"
    );
}
