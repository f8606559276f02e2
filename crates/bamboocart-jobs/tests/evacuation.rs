//! Evacuations of failure domains: who may start runs where, and until when.

mod support;

use bamboocart_jobs::{
    Answer, Catalog, Effect, Engine, EvacuationNotice, EvacuationRequest,
    EvacuationStatus, JobId, JobState, Member, Message, MinionEntry, NewJob,
    OperatorChange, OperatorPage, RejectionCause, RequestKey, StartAnswer, Step,
    Submission,
};
use proptest::prelude::*;
use support::site::Site;
use support::{
    engine_with_minions, entry, frame, hold_of, member, run, run_order, starts_of, step,
    submission,
};
use yare::parameterized;

/// The failure domains of the site, each with one instance and one minion for two tasks.
const DOMAINS: [&str; 3] = ["marka", "sahab", "qastal"];

/// The time in which peers pass on what one instance has read.
const SPREAD_MS: u64 = 500;

/// The time in which a job ends whose tasks are placed at once.
const JOB_MS: u64 = 600;

/// What instances read before a job is sent.
struct Read {
    /// The numbers of the instances.
    instances: &'static [usize],
    /// The record: its offset, its failure domain and what it requests.
    record: (u64, &'static str, EvacuationRequest),
}

/// Requests before a job, and what becomes of the job.
struct Case {
    reads: Vec<Read>,
    step: fn() -> Step,
    /// The failure domains that the tasks of the job start in, if it ends.
    starts_in: &'static [&'static str],
    answer: Expected,
}

/// The answer to a job.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
enum Expected {
    Completed,
    /// Refused at once, before any time has passed.
    RefusedAtOnce,
}

const ALL: &[usize] = &[0, 1, 2];

fn evacuate(instances: &'static [usize], offset: u64, domain: &'static str) -> Read {
    Read { instances, record: (offset, domain, EvacuationRequest::Evacuate) }
}

fn take_back(instances: &'static [usize], offset: u64, domain: &'static str) -> Read {
    Read { instances, record: (offset, domain, EvacuationRequest::TakeBack) }
}

/// Returns the notice of a record.
fn notice((offset, domain, request): (u64, &str, EvacuationRequest)) -> EvacuationNotice {
    EvacuationNotice { failure_domain: domain.into(), offset, request }
}

/// Returns the page with one record.
fn page(record: (u64, &str, EvacuationRequest)) -> OperatorPage {
    let changes = vec![OperatorChange::Evacuation(notice(record))];
    OperatorPage { changes, next_offset: record.0 + 1, complete: false }
}

/// Returns a site with an instance and a minion in each failure domain.
fn site() -> Site {
    let members: Vec<Member> =
        DOMAINS.iter().map(|domain| member(&format!("entry-{domain}"), domain)).collect();
    let minions: Vec<MinionEntry> =
        DOMAINS.iter().map(|domain| entry(&format!("m-{domain}"), domain)).collect();
    Site::new(members, minions)
}

/// Returns a job with its own id.
fn job(number: u64, step: Step) -> Submission {
    let submission = submission(number, vec![step]);
    let id: JobId = format!("{number:016x}").parse().unwrap();
    Submission { job: NewJob { id, ..submission.job }, ..submission }
}

fn two_tasks() -> Step {
    step(2, &[])
}

fn four_tasks() -> Step {
    step(4, &[])
}

fn six_tasks() -> Step {
    step(6, &[])
}

fn gang_of_four() -> Step {
    Step { gang: true, ..step(4, &[]) }
}

/// Returns the failure domains of the runs that were started, without repetition.
fn started_in(site: &Site) -> Vec<String> {
    let mut domains: Vec<String> = site
        .starts
        .iter()
        .map(|(_, minion)| minion.as_str().trim_start_matches("m-").to_owned())
        .collect();
    domains.sort();
    domains.dedup();
    domains
}

/// Guards against starts in a failure domain that operators have emptied, against capacity
/// that stays unused after it was taken back, and against jobs that wait although no domain
/// is left for them.
#[parameterized(
    none = { Case {
        reads: vec![],
        step: six_tasks,
        starts_in: &["marka", "qastal", "sahab"],
        answer: Expected::Completed,
    } },
    domain_of_the_owner = { Case {
        reads: vec![evacuate(ALL, 4, "marka")],
        step: four_tasks,
        starts_in: &["qastal", "sahab"],
        answer: Expected::Completed,
    } },
    domain_of_a_peer = { Case {
        reads: vec![evacuate(ALL, 4, "sahab")],
        step: four_tasks,
        starts_in: &["marka", "qastal"],
        answer: Expected::Completed,
    } },
    taken_back = { Case {
        reads: vec![evacuate(ALL, 4, "marka"), take_back(ALL, 5, "marka")],
        step: six_tasks,
        starts_in: &["marka", "qastal", "sahab"],
        answer: Expected::Completed,
    } },
    two_domains = { Case {
        reads: vec![evacuate(ALL, 4, "marka"), evacuate(ALL, 5, "sahab")],
        step: two_tasks,
        starts_in: &["qastal"],
        answer: Expected::Completed,
    } },
    one_of_two_taken_back = { Case {
        reads: vec![
            evacuate(ALL, 4, "marka"),
            evacuate(ALL, 5, "sahab"),
            take_back(ALL, 6, "marka"),
        ],
        step: four_tasks,
        starts_in: &["marka", "qastal"],
        answer: Expected::Completed,
    } },
    every_domain = { Case {
        reads: vec![
            evacuate(ALL, 4, "marka"),
            evacuate(ALL, 5, "sahab"),
            evacuate(ALL, 6, "qastal"),
        ],
        step: two_tasks,
        starts_in: &[],
        answer: Expected::RefusedAtOnce,
    } },
    owner_cannot_read = { Case {
        reads: vec![evacuate(&[1], 4, "marka")],
        step: four_tasks,
        starts_in: &["qastal", "sahab"],
        answer: Expected::Completed,
    } },
    holder_cannot_read = { Case {
        reads: vec![evacuate(&[0, 2], 4, "sahab")],
        step: four_tasks,
        starts_in: &["marka", "qastal"],
        answer: Expected::Completed,
    } },
    a_peer_has_read_less = { Case {
        reads: vec![evacuate(&[1], 4, "marka"), take_back(&[0], 7, "marka")],
        step: six_tasks,
        starts_in: &["marka", "qastal", "sahab"],
        answer: Expected::Completed,
    } },
    requested_again = { Case {
        reads: vec![
            evacuate(ALL, 4, "marka"),
            take_back(ALL, 5, "marka"),
            evacuate(&[2], 9, "marka"),
        ],
        step: four_tasks,
        starts_in: &["qastal", "sahab"],
        answer: Expected::Completed,
    } },
    gang_beside_the_domain = { Case {
        reads: vec![evacuate(ALL, 4, "qastal")],
        step: gang_of_four,
        starts_in: &["marka", "sahab"],
        answer: Expected::Completed,
    } },
    unknown_domain = { Case {
        reads: vec![evacuate(ALL, 4, "nowhere")],
        step: six_tasks,
        starts_in: &["marka", "qastal", "sahab"],
        answer: Expected::Completed,
    } },
)]
fn runs_start_where_they_may(case: Case) {
    let mut site = site();
    for read in &case.reads {
        for &instance in read.instances {
            site.engines[instance].apply_operator_page(site.now, page(read.record));
        }
    }
    site.pass(SPREAD_MS);
    let request = RequestKey(1);
    site.submit(0, job(1, (case.step)()));
    let at_once = site.answers_to(request);
    site.pass(JOB_MS);
    assert_eq!(started_in(&site), case.starts_in);
    match case.answer {
        Expected::Completed => {
            let completed = [Answer::Ended(JobState::Completed)];
            assert_eq!(site.answers_to(request), completed);
        }
        Expected::RefusedAtOnce => {
            assert!(matches!(at_once[..], [Answer::Refused { retry_after_s: 1.. }]));
        }
    }
}

/// Guards against an evacuation that stays in force because its record has expired before
/// its deletion was read, and against one that ends although its record is still there.
#[parameterized(
    missing = { &[], false },
    listed = { &[(4, "marka", EvacuationRequest::Evacuate)], true },
    listed_anew = { &[(8, "marka", EvacuationRequest::Evacuate)], true },
    another_one = { &[(8, "sahab", EvacuationRequest::Evacuate)], false },
)]
fn a_complete_page_decides(listed: &[(u64, &str, EvacuationRequest)], in_force: bool) {
    let mut site = site();
    let engine = &mut site.engines[0];
    let before = page((4, "marka", EvacuationRequest::Evacuate));
    engine.apply_operator_page(site.now, before);
    let records = listed.iter().map(|&it| OperatorChange::Evacuation(notice(it)));
    let complete =
        OperatorPage { changes: records.collect(), next_offset: 10, complete: true };
    engine.apply_operator_page(site.now, complete);
    let marka = |status: &EvacuationStatus| *status.failure_domain == *"marka";
    let status = engine.evacuation_status().into_iter().find(marka).unwrap();
    assert_eq!(status.in_force, in_force);
    // The next record continues the log.
    let next = page((10, "marka", EvacuationRequest::Evacuate));
    engine.apply_operator_page(site.now, next);
    let status = engine.evacuation_status().into_iter().find(marka).unwrap();
    assert!(status.in_force, "a record after the page is ignored");
}

/// Guards against starts of an instance that restarts during an evacuation: the first page
/// that it reads has the configuration and the evacuation.
#[test]
fn an_instance_that_starts_knows_the_evacuation_first() {
    let (mut engine, _) = engine_with_minions(support::site_start(), 1);
    engine.take_effects();
    let catalog = Catalog { version: 3, ..Catalog::default() };
    let evacuation = notice((4, "marka", EvacuationRequest::Evacuate));
    let changes = vec![
        OperatorChange::Configuration(Box::new(catalog)),
        OperatorChange::Evacuation(evacuation),
    ];
    let page = OperatorPage { changes, next_offset: 5, complete: true };
    let now = support::site_start();
    engine.submit(now, job(1, Step { count: 3, ..step(3, &[]) }));
    let before = starts_of(engine.take_effects()).len();
    assert_eq!(before, 2, "the minion is not used");
    engine.apply_operator_page(now, page);
    assert_eq!(engine.catalog().version, 3);
    engine.tick(now + 100);
    assert!(starts_of(engine.take_effects()).is_empty());
}

/// Guards against an unanswered start that is sent again after the evacuation: the first
/// order may have been lost, so that the second one would begin the run.
#[test]
fn an_unanswered_start_is_not_repeated() {
    let now = support::site_start();
    for evacuated in [false, true] {
        let (mut engine, _) = engine_with_minions(now, 1);
        engine.take_effects();
        engine.submit(now, job(1, step(1, &[])));
        let start = starts_of(engine.take_effects()).remove(0);
        if evacuated {
            let evacuation = page((4, "marka", EvacuationRequest::Evacuate));
            engine.apply_operator_page(now, evacuation);
        }
        let (key, token) = (start.target.minion, start.target.fencing_token);
        engine.start_answered(now + 120, key, token, start.run, StartAnswer::Lost);
        let repeats = starts_of(engine.take_effects()).len();
        assert_eq!(repeats, usize::from(!evacuated), "evacuated: {evacuated}");
    }
}

/// Guards against orders of an owner that does not know of the evacuation yet: the holder
/// rejects them, also if another minion of the domain is idle.
#[test]
fn a_holder_rejects_orders_of_a_peer() {
    let now = support::site_start();
    let (mut engine, _) = engine_with_minions(now, 2);
    let peer = engine.peer(now, &member("entry-2", "sahab"));
    engine.link_opened(peer);
    let evacuation = page((4, "marka", EvacuationRequest::Evacuate));
    engine.apply_operator_page(now, evacuation);
    engine.take_effects();
    let order = Box::new(run_order(run(1)));
    let start = Message::Start { minion: "m-0".into(), order };
    engine.frame_arrived(now, peer, frame(now, vec![start]));
    assert!(starts_of(engine.take_effects()).is_empty());
    let frames = engine.take_frames(now + 100);
    let messages = frames.into_iter().flat_map(|(_, frame)| frame.messages);
    let messages: Vec<Message> = messages.collect();
    let rejected = |message: &&Message| {
        let cause = RejectionCause::Unavailable;
        matches!(message, Message::StartRejected { cause: it, .. } if *it == cause)
    };
    assert_eq!(messages.iter().filter(rejected).count(), 1);
    let told =
        |message: &&Message| matches!(message, Message::Evacuations(it) if it.len() == 1);
    assert_eq!(messages.iter().filter(told).count(), 1, "the peer is not told");
}

/// Failure domains of 12 instances each that are evacuated, and the number of neighbours that
/// an instance of the first domain then has in each.
struct Neighbours {
    evacuated: &'static [&'static str],
    expected: [usize; 3],
}

/// Guards against instances of an evacuated failure domain that know of hardly any free
/// capacity, since most of their neighbours hold minions of the same domain.
#[parameterized(
    none = { Neighbours { evacuated: &[], expected: [6, 1, 1] } },
    own = { Neighbours { evacuated: &["marka"], expected: [0, 4, 4] } },
    another = { Neighbours { evacuated: &["sahab"], expected: [6, 0, 2] } },
    two = { Neighbours { evacuated: &["marka", "qastal"], expected: [0, 8, 0] } },
    all = { Neighbours {
        evacuated: &["marka", "sahab", "qastal"], expected: [6, 1, 1],
    } },
)]
fn neighbours_have_usable_minions(case: Neighbours) {
    const INSTANCES: usize = 12;
    let mut now = support::site_start();
    let instance =
        |number: usize| member(&format!("entry-{number:02}"), DOMAINS[number % 3]);
    let members: Vec<Member> = (0..3 * INSTANCES).map(instance).collect();
    let mut engine = Engine::new(members[0].clone(), 1);
    engine.set_members(now, 1, &members);
    for (peer, _) in engine.peers() {
        engine.link_opened(peer);
    }
    for (offset, domain) in case.evacuated.iter().enumerate() {
        let record = (offset as u64, *domain, EvacuationRequest::Evacuate);
        engine.apply_operator_page(now, page(record));
    }
    let mut wanted = std::collections::BTreeMap::new();
    for _ in 0..100 {
        now = now + 10;
        engine.tick(now);
        for (peer, frame) in engine.take_frames(now) {
            wanted.insert(peer, frame.wants_capacity);
        }
    }
    wanted.retain(|_, &mut wants_capacity| wants_capacity);
    let count = |domain: &str| {
        let members = wanted.keys().filter_map(|&peer| engine.member_of(peer));
        members.filter(|it| *it.failure_domain == *domain).count()
    };
    assert_eq!(DOMAINS.map(count), case.expected);
}

/// Guards against runs that an evacuation ends: one that lasts goes on, and its lease is
/// renewed.
#[test]
fn runs_in_the_domain_go_on() {
    let now = support::site_start();
    let (mut engine, holds) = engine_with_minions(now, 1);
    engine.take_effects();
    engine.submit(now, job(1, step(1, &[])));
    let start = starts_of(engine.take_effects()).remove(0);
    let (key, token) = (start.target.minion, start.target.fencing_token);
    engine.start_answered(now, key, token, start.run, StartAnswer::Started);
    let evacuation = page((4, "marka", EvacuationRequest::Evacuate));
    engine.apply_operator_page(now, evacuation);
    assert_eq!(runs_left(&engine), 1);
    let later = now + 200;
    let active = vec![support::active(start.run, 50)];
    support::answer_hold_from(&mut engine, later, &holds[0], 1, active);
    let effects = engine.take_effects();
    assert!(!effects.iter().any(|effect| matches!(effect, Effect::Stop(_))));
    assert!(hold_of(effects).lease_until_ms.is_some(), "the lease lapses");
}

/// Returns the number of runs that are left in evacuated failure domains.
fn runs_left(engine: &Engine) -> usize {
    engine.evacuation_status().iter().map(|status| status.runs).sum()
}

/// Guards against a stored job that is lost or runs in an evacuated failure domain because
/// no other one has what it needs: it waits until the domain is taken back.
#[test]
fn a_stored_job_waits_for_its_domain() {
    let mut site = site();
    let evacuation = (4, "marka", EvacuationRequest::Evacuate);
    let give_back = (5, "marka", EvacuationRequest::TakeBack);
    for engine in &mut site.engines {
        let mut labelled = entry("m-marka", "marka");
        labelled.labels = vec!["kind".into(), "rack".into()];
        engine.update_minions(site.now, vec![labelled]);
        engine.apply_operator_page(site.now, page(evacuation));
    }
    let step = Step { required_label: Some("rack".into()), ..step(1, &[]) };
    let mut job = job(1, step);
    job.job.best_effort = false;
    site.submit(1, job);
    site.pass(5_000);
    assert_eq!(site.answers_to(RequestKey(1)), [Answer::Accepted]);
    assert!(site.starts.is_empty());
    for engine in &mut site.engines {
        engine.apply_operator_page(site.now, page(give_back));
    }
    site.pass(2_000);
    assert_eq!(started_in(&site), ["marka"]);
}

/// Guards against a table of failure domains that grows without a bound, and against one
/// that forgets an evacuation in force to make room.
#[test]
fn the_table_of_domains_is_bounded() {
    let now = support::site_start();
    let (mut engine, _) = engine_with_minions(now, 1);
    engine.apply_operator_page(now, page((0, "marka", EvacuationRequest::Evacuate)));
    for number in 1..2_000 {
        let domain = format!("domain-{number}");
        let request = match number % 2 {
            0 => EvacuationRequest::TakeBack,
            _ => EvacuationRequest::Evacuate,
        };
        engine.apply_operator_page(now, page((number, &domain, request)));
    }
    let status = engine.evacuation_status();
    assert!(status.len() <= 256, "{} domains are kept", status.len());
    assert!(status.iter().any(|it| *it.failure_domain == *"marka" && it.in_force));
}

/// An event of the property test; instances and domains are numbers.
#[derive(Debug, Clone)]
enum Event {
    /// Operators append a record.
    Write(usize, bool),
    /// An instance reads the next records.
    Read(usize),
    /// The records have expired, and an instance reads the newest of each key.
    ReadNewest(usize),
    /// The process of an instance ends and starts again.
    Restart(usize),
    /// A job arrives at an instance.
    Submit(usize),
    /// Time passes.
    Pass(u64),
}

fn event() -> impl Strategy<Value = Event> {
    let index = 0..DOMAINS.len();
    prop_oneof![
        2 => (index.clone(), any::<bool>()).prop_map(|(it, on)| Event::Write(it, on)),
        3 => index.clone().prop_map(Event::Read),
        1 => index.clone().prop_map(Event::ReadNewest),
        1 => index.clone().prop_map(Event::Restart),
        4 => index.prop_map(Event::Submit),
        3 => (5_u64..400).prop_map(Event::Pass),
    ]
}

/// A site whose operators write records, with what each instance has read of them.
struct Operated {
    site: Site,
    log: Vec<(u64, &'static str, EvacuationRequest)>,
    read: [usize; 3],
    jobs: u64,
}

impl Operated {
    /// Returns whether the newest record about a domain requests its evacuation.
    fn is_evacuated(&self, domain: &str) -> bool {
        let newest = self.log.iter().rev().find(|(_, of, _)| *of == domain);
        newest.is_some_and(|(.., request)| *request == EvacuationRequest::Evacuate)
    }

    fn handle(&mut self, event: Event) {
        let now = self.site.now;
        match event {
            Event::Write(domain, on) => {
                let request = match on {
                    true => EvacuationRequest::Evacuate,
                    false => EvacuationRequest::TakeBack,
                };
                self.log.push((self.log.len() as u64, DOMAINS[domain], request));
            }
            Event::Read(instance) => {
                let unread = self.log[self.read[instance]..].iter();
                let changes =
                    unread.map(|&it| OperatorChange::Evacuation(notice(it))).collect();
                self.read[instance] = self.log.len();
                let next_offset = self.log.len() as u64;
                let page = OperatorPage { changes, next_offset, complete: false };
                self.site.engines[instance].apply_operator_page(now, page);
            }
            Event::ReadNewest(instance) => {
                let newest = DOMAINS.iter().filter_map(|domain| {
                    let newest = self.log.iter().rev().find(|(_, of, _)| of == domain);
                    newest.filter(|(.., it)| *it == EvacuationRequest::Evacuate)
                });
                let changes =
                    newest.map(|&it| OperatorChange::Evacuation(notice(it))).collect();
                self.read[instance] = self.log.len();
                let next_offset = self.log.len() as u64;
                let page = OperatorPage { changes, next_offset, complete: true };
                self.site.engines[instance].apply_operator_page(now, page);
            }
            Event::Restart(instance) => {
                self.read[instance] = 0;
                self.site.restart(instance);
            }
            Event::Submit(instance) => {
                self.jobs += 1;
                self.site.submit(instance, job(self.jobs, step(1, &[])));
            }
            Event::Pass(duration_ms) => self.site.pass(duration_ms),
        }
    }

    /// Lets each instance read all records.
    fn read_all(&mut self) {
        (0..self.read.len()).for_each(|instance| self.handle(Event::Read(instance)));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, ..ProptestConfig::default() })]

    /// Guards against a start in an evacuated failure domain after any order of records,
    /// reads, notices of peers and restarts: once every instance has read the log, none
    /// starts there, and all agree on which domains are evacuated.
    #[test]
    fn no_run_starts_once_all_have_read(events in prop::collection::vec(event(), 1..60)) {
        let mut operated = Operated { site: site(), log: Vec::new(), read: [0; 3], jobs: 0 };
        for event in events {
            operated.handle(event);
        }
        operated.read_all();
        operated.site.pass(50);
        operated.site.starts.clear();
        for instance in 0..DOMAINS.len() {
            operated.handle(Event::Submit(instance));
            operated.handle(Event::Pass(100));
        }
        for domain in DOMAINS {
            let evacuated = operated.is_evacuated(domain);
            for engine in &operated.site.engines {
                let status = engine.evacuation_status().into_iter();
                let mut known = status.filter(|it| *it.failure_domain == *domain);
                let in_force = known.any(|it| it.in_force);
                prop_assert_eq!(in_force, evacuated, "{}", domain);
            }
            let started = started_in(&operated.site).iter().any(|it| it == domain);
            prop_assert!(!(started && evacuated), "a run starts in {}", domain);
        }
    }
}
