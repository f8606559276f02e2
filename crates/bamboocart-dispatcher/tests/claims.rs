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
use bamboocart_standin::history::{Purpose, SendRecord};
use bamboocart_wire::api::OutcomeName;
use support::{
    Callers, Claims, Cluster, ClusterSettings, HeldRanges, LinkMode, Node,
    SubmissionSpec, check_run, evidence, spawn_caller, started_keys, wait_for_keys,
    wait_until,
};
use yare::parameterized;

/// The horizon of claims in milliseconds, the shortest that the settings allow.
const HORIZON_MS: &str = "15000";

/// The time in which claims of a silent owner end and others have read their own: the
/// horizon, its grid, and the shortest time between two appends of one claimer.
const PASSED_ON: Duration = Duration::from_secs(15 + 2 + 5);

/// The pause between two rounds of calls.
const ROUND: Duration = Duration::from_secs(1);

/// The request kind, which may not be repeated.
const KIND: &str = "release-order";

/// A system in which instance 0 holds ranges of caller keys.
struct Scene {
    cluster: Cluster,
    callers: Arc<Callers>,
    owner: Owner,
    held: HeldRanges,
}

impl Scene {
    /// Starts the system.
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

    /// Describes a request under each of some keys of the ranges.
    fn works(&self, count: usize, run_ms: u64) -> Vec<SubmissionSpec> {
        let keys = self.held.new_keys(count).into_iter();
        keys.map(|key| SubmissionSpec::new(key, KIND, &[run_ms])).collect()
    }

    /// Submits requests at once, without waiting for the answers.
    fn submit(
        &self,
        works: &[SubmissionSpec],
        at: &[SocketAddr],
        purpose: Purpose,
    ) -> Vec<Call> {
        let calls = works.iter().flat_map(|work| at.iter().map(move |&at| (work, at)));
        calls
            .map(|(work, at)| {
                let (callers, work) = (Arc::clone(&self.callers), work.clone());
                spawn_caller(move || drop(callers.submit(at, &work, purpose)))
            })
            .collect()
    }

    /// Returns the answers that the calls for a request have had so far.
    fn answers(&self, work: &SubmissionSpec) -> Vec<(OutcomeName, String)> {
        let records = self.callers.records().into_iter();
        let own = records.filter(|record| record.asked == work.id);
        let answer = |record: SendRecord| record.answer.map(|it| (it.outcome, it.code));
        own.filter_map(answer).collect()
    }

    /// Makes keys of the ranges and submits them, until one is served by another owner.
    ///
    /// Returns the requests of all rounds.
    fn submit_until_passed_on(
        &self,
        at: &[SocketAddr],
    ) -> (Vec<SubmissionSpec>, Vec<Call>) {
        let (mut works, mut calls) = (vec![], vec![]);
        let mut due = clock::now();
        wait_until("service of the ranges by others", PASSED_ON, || {
            if clock::now() >= due {
                due = clock::now().plus_ms(ROUND.as_millis() as u64);
                let round = self.works(self.held.count(), 20);
                calls.extend(self.submit(&round, at, Purpose::Submit));
                works.extend(round);
            }
            let served = |work: &&SubmissionSpec| {
                self.answers(work).iter().any(|it| it.0 == OutcomeName::Complete)
            };
            works.iter().filter(served).count() >= self.held.count()
        });
        (works, calls)
    }

    /// Fails unless every key was started only by the holder of the claim that covers it.
    fn check_starts(&self) {
        let claims = Claims::read(&self.cluster);
        for (at, owner, key) in started_keys(&self.cluster) {
            let holder = claims.holder(&key);
            assert_eq!(holder, Some(&owner), "{key} was started at {at:?}");
        }
    }

    /// Returns whether the claim that covers a request is still that of the first owner.
    fn is_of_first_owner(&self, work: &SubmissionSpec) -> bool {
        let claims = Claims::read(&self.cluster);
        claims.holder(&key_of(work)) == Some(&self.owner)
    }

    /// Returns how often the targets started a request.
    fn starts(&self, work: &SubmissionSpec) -> usize {
        let events = evidence(&self.cluster, vec![]).events;
        let runs = events
            .iter()
            .filter(|event| event.what == bamboocart_standin::history::What::Started);
        let ids = runs.filter_map(|event| event.run.as_ref().map(|run| &run.submission));
        ids.filter(|id| Some(*id) == work.id.as_ref()).count()
    }
}

/// A call that may still wait for its answer.
type Call = JoinHandle<()>;

/// Waits for calls to end.
fn join(calls: Vec<Call>) {
    calls.into_iter().for_each(|call| call.join().unwrap());
}

/// Returns the key of a request.
fn key_of(work: &SubmissionSpec) -> uuid::Uuid {
    match &work.id {
        Some(SubmissionId::CallerKey(key)) => *key,
        id => panic!("{id:?} is no caller key"),
    }
}

/// Guards against a key that starts again, or is refused as not run, when its owner is
/// dead and another instance has claimed the range: keys that were answered, were running
/// and were never sent before. New keys of the ranges are served again.
#[test]
fn claims_pass_on_from_a_dead_owner() {
    let mut scene = Scene::start();
    let (owner, others) =
        scene.cluster.addresses().split_first().map(|(a, b)| (*a, b.to_vec())).unwrap();
    let answered = scene.works(10, 20);
    join(scene.submit(&answered, &[owner], Purpose::Submit));
    let unseen = scene.works(10, 20);
    let running = scene.works(10, 1_900);
    let calls = scene.submit(&running, &[owner], Purpose::Submit);
    wait_until("the starts", ROUND * 4, || {
        running.iter().all(|it| scene.starts(it) == 1)
    });
    scene.cluster.instances[0].kill();
    scene.cluster.unregister(0);
    join(calls);
    let old: Vec<SubmissionSpec> =
        [answered.clone(), unseen.clone(), running.clone()].concat();
    join(scene.submit(&old, &others, Purpose::Resubmit));
    let (fresh, calls) = scene.submit_until_passed_on(&others);
    join(calls);
    let (late, new): (Vec<SubmissionSpec>, Vec<SubmissionSpec>) =
        fresh.into_iter().partition(|work| scene.is_of_first_owner(work));
    println!("{} keys of the old claim and {} of the new ones", late.len(), new.len());
    assert!(!late.is_empty(), "the claim ended before the owner died");

    // Keys of the old claim that callers bring when the new owners are known.
    let old: Vec<SubmissionSpec> = [old, late.clone()].concat();
    let before = scene.callers.records().len();
    join(scene.submit(&old, &others, Purpose::Resubmit));
    for record in &scene.callers.records()[before..] {
        let answer = record.answer.as_ref().expect("every call is answered");
        assert_eq!(answer.outcome, OutcomeName::Unknown, "{answer:?}");
    }
    let again = scene.works(scene.held.count(), 20);
    join(scene.submit(&again, &others, Purpose::Submit));
    for work in new.iter().chain(&again) {
        assert_eq!(scene.starts(work), 1, "{:?}: {:?}", work.id, scene.answers(work));
    }
    let starts = |works: &[SubmissionSpec]| {
        works.iter().map(|work| scene.starts(work)).sum::<usize>()
    };
    assert_eq!([starts(&answered), starts(&running)], [10, 10]);
    assert_eq!([starts(&unseen), starts(&late)], [0, 0]);
    println!("{:#?}", check_run(&scene.cluster, &scene.callers, &[1, 2]));
    scene.check_starts();
}

/// Guards against an owner that was only frozen and, when it wakes up after its claim has
/// passed on, starts what it had queued or what others own by now. Callers have sent all
/// keys to it, too, so that it finds them when it wakes up. Without the log it does not
/// know then that its claim has passed on.
#[parameterized(with_the_log = { LinkMode::Pass }, without_the_log = { LinkMode::Reset })]
fn claims_pass_on_from_a_frozen_owner(log: LinkMode) {
    let scene = Scene::start();
    let all = scene.cluster.addresses();
    let waiting = scene.works(120, 1_900);
    let mut calls = scene.submit(&waiting, &all[..1], Purpose::Submit);
    let started = || waiting.iter().filter(|work| scene.starts(work) > 0).count();
    // A call that is admitted only on waking up is one that nobody has brought before.
    let admitted = || scene.cluster.instances[0].status()["open_submissions"] == 120;
    wait_until("the admission", ROUND * 4, admitted);
    wait_until("the first starts", ROUND * 4, || started() >= 20);
    scene.cluster.net.set_mode(Node::Instance(0), Node::Platform, log);
    scene.cluster.instances[0].pause();
    let (fresh, more) = scene.submit_until_passed_on(&all);
    calls.extend(more);
    let woken: Timestamp = clock::now();
    scene.cluster.instances[0].resume();
    join(calls);
    scene.cluster.net.set_mode(Node::Instance(0), Node::Platform, LinkMode::Pass);
    scene.cluster.wait_for_service();
    let (old, new): (Vec<SubmissionSpec>, Vec<SubmissionSpec>) =
        fresh.into_iter().partition(|work| scene.is_of_first_owner(work));
    println!("{} keys of the old claim and {} of the new ones", old.len(), new.len());
    assert!(!old.is_empty() && new.len() >= scene.held.count());
    join(scene.submit(&[old.clone(), new.clone()].concat(), &all, Purpose::Resubmit));
    println!("{:#?}", check_run(&scene.cluster, &scene.callers, &[0, 1, 2]));
    scene.check_starts();

    let waiting: BTreeSet<_> = waiting.iter().map(key_of).collect();
    let old: BTreeSet<_> = old.iter().map(key_of).collect();
    let by_woken = started_keys(&scene.cluster).into_iter();
    let by_woken: Vec<_> = by_woken
        .filter(|(at, owner, _)| *at >= woken && *owner == scene.owner)
        .map(|(_, _, key)| key)
        .collect();
    let (own, strange): (Vec<_>, Vec<_>) =
        by_woken.into_iter().partition(|key| old.contains(key));
    println!("the woken owner started {} keys of its own claim", own.len());
    let queued = strange.iter().filter(|key| waiting.contains(key)).count();
    assert_eq!((strange.len(), queued), (0, 0), "it started what it must not start");
    assert!(new.iter().all(|work| scene.starts(work) == 1), "not all new keys ran once");
}
