//! Table tests of claims, id resolution, registry and handover.

use bamboocart_core::id::{Incarnation, InstanceName, SubmissionId, TaskIndex, Ticket};
use bamboocart_core::outcome::{Outcome, Refusal, RefusalCode, TaskResult, UnknownCode};
use bamboocart_core::ownership::*;
use bamboocart_core::time::Timestamp;
use uuid::Uuid;
use yare::parameterized;

use self::Expected::*;
use self::Id::*;
use self::Step::*;

/// The time at which the tables start.
const START_MS: u64 = 1_000_000_000;

fn owner(name: &str) -> Owner {
    Owner::new(name.into(), Incarnation(START_MS * 1_000))
}

fn at(ms: u64) -> Timestamp {
    Timestamp::from_ms(START_MS + ms)
}

/// Returns a caller key of the given time; `salt` distinguishes keys of the same time.
fn key(ms: u64, salt: u64) -> Uuid {
    let [.., a, b, c, d, e, f, g, h] = u128::from(salt).to_be_bytes();
    uuid::Builder::from_unix_timestamp_millis(
        START_MS + ms,
        &[a, b, c, d, e, f, g, h, 0, 0],
    )
    .into_uuid()
}

fn claim(name: &str, from: u64, until: u64) -> String {
    let owner = owner(name);
    Claim {
        ranges: RangeSet::ALL,
        instance: owner.instance,
        incarnation: owner.incarnation,
        from_ms: START_MS + from,
        until_ms: START_MS + until,
    }
    .to_body()
}

/// Folds record bodies that were appended at the given times, starting at offset `start`.
fn fold(table: &mut ClaimTable, start: u64, log: &[(u64, String)]) -> Vec<SkippedRecord> {
    let records: Vec<ClaimRecord> = (start..)
        .zip(log)
        .map(|(offset, (ms, body))| ClaimRecord { offset, at_ms: START_MS + ms, body })
        .collect();
    table.read(start, &records)
}

/// The expected coverage of a key by the claims in a table.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Expected {
    By(&'static str),
    Future,
    Past,
}

fn coverage(table: &ClaimTable, ms: u64) -> Expected {
    match table.coverage(&key(ms, 7), at(ms)) {
        Coverage::By(by) => By(if by == owner("a") { "a" } else { "b" }),
        Coverage::Future => Future,
        Coverage::Past => Past,
    }
}

struct FoldCase {
    /// The offset of the first record that the log still has.
    start: u64,
    log: Vec<(u64, String)>,
    skipped: usize,
    want: Vec<(u64, Expected)>,
}

/// Guards against two holders of the same time, against an invalid record that stops the
/// fold, and against accepting a claim that an expired earlier one may have overlapped.
#[parameterized(
    nothing_is_claimed = { FoldCase { start: 0, log: vec![], skipped: 0, want: vec![
        (0, Future), ] } },
    interval_is_half_open = { FoldCase { start: 0, log: vec![ (0, claim("a", 0, 100)), ],
        skipped: 0, want: vec![ (0, By("a")), (99, By("a")), (100, Future), ] } },
    the_first_of_two_wins = { FoldCase { start: 0, log: vec![ (0, claim("b", 0, 100)),
        (0, claim("a", 50, 200)), ], skipped: 1, want: vec![(60, By("b")), (150, Future)]
        } },
    the_end_is_free = { FoldCase { start: 0, log: vec![ (0, claim("a", 0, 100)),
        (0, claim("b", 100, 200)), (0, claim("a", 200, 300)), ], skipped: 0, want: vec![
        (99, By("a")), (100, By("b")), (250, By("a")), ] } },
    a_gap_stays_unowned = { FoldCase { start: 0, log: vec![ (0, claim("a", 0, 100)),
        (0, claim("b", 150, 200)), (0, claim("a", 100, 150)), ], skipped: 1, want:
        vec![(120, Past), (170, By("b"))] } },
    bad_records_are_skipped = { FoldCase { start: 0, log: vec![ (0, "{".into()),
        (0, claim("b", 9, 9)), (0, claim("b", 0, MAX_CLAIM_AHEAD_MS + 1)),
        (0, claim("a", 0, 100)), ], skipped: 3, want: vec![(50, By("a"))] } },
    the_first_claim_after_a_trim_is_undecided = { FoldCase { start: 5, log: vec![
        (0, claim("b", 0, 100)), ], skipped: 1, want: vec![(50, Past), (100, Past)] } },
    a_claim_past_every_expired_one_counts = { FoldCase { start: 5, log: vec![
        (0, claim("b", 0, 100)), (300_000, claim("a", 330_000, 400_000)), ], skipped: 1,
        want: vec![(50, Past), (330_000, By("a"))] } },
    an_undecided_claim_widens_the_bounds = { FoldCase { start: 5, log: vec![
        (0, "{".into()), (200_000, claim("b", 300_000, 400_000)),
        (200_000, claim("a", 350_000, 450_000)), (200_000, claim("a", 450_000, 460_000)),
        ], skipped: 3, want: vec![ (310_000, Past), (360_000, Past), (455_000, By("a")), ]
        } },
    an_empty_trimmed_log_verifies_nothing = { FoldCase { start: 5, log: vec![], skipped:
        0, want: vec![(0, Past), (1_000_000, Past)] } },
)]
fn folds(case: FoldCase) {
    let mut table = ClaimTable::default();
    let skipped = fold(&mut table, case.start, &case.log);
    assert_eq!(skipped.len(), case.skipped, "{skipped:?}");
    for (ms, want) in case.want {
        assert_eq!(coverage(&table, ms), want, "key of {ms} ms");
    }
}

/// Guards against a reader that misses records which expired while it was following the
/// log, and continues as if it had read them.
#[test]
fn a_gap_while_following_makes_later_claims_undecided() {
    let mut table = ClaimTable::default();
    fold(&mut table, 0, &[(0, claim("a", 0, 100))]);
    let skipped = fold(&mut table, 9, &[(200, claim("b", 150, 400))]);
    assert!(matches!(skipped[0].reason, SkipReason::Unverified { .. }));
    assert_eq!(coverage(&table, 50), By("a"));
    assert_eq!(coverage(&table, 160), Past);
}

/// Guards against readers that start at different records and disagree on an owner: what
/// the reader of a trimmed log accepts, the reader of the whole log must accept too.
#[test]
fn every_trimmed_reader_agrees_with_the_whole_log() {
    proptest::proptest!(|(steps in proptest::collection::vec(
        (0..40_000_u64, 0..5_u64, 1..5_u64, 0..2_u8), 1..40,
    ))| {
        let mut ms = 0;
        let log: Vec<_> = steps.iter().map(|&(wait, from, length, who)| {
            ms += wait;
            let from = ms / 60_000 * 60_000 + from * 60_000;
            (ms, claim(["a", "b"][usize::from(who)], from, from + length * 30_000))
        }).collect();
        let mut whole = ClaimTable::default();
        fold(&mut whole, 0, &log);
        for start in 1..log.len() {
            let mut trimmed = ClaimTable::default();
            fold(&mut trimmed, start as u64, &log[start..]);
            for ms in (0..2_000_000).step_by(15_000) {
                match coverage(&trimmed, ms) {
                    Past => {}
                    holder => proptest::prop_assert_eq!(holder, coverage(&whole, ms)),
                }
            }
        }
    });
}

/// Appends the claims that are due in rounds of one second, and returns how many of 6,400
/// keys each claimer owns at the end.
fn shares(
    claimers: &mut [(Owner, Claimer)],
    log: &mut ClaimTable,
    from: u64,
    to: u64,
) -> Vec<usize> {
    let live: Vec<Owner> = claimers.iter().map(|(owner, _)| owner.clone()).collect();
    for ms in (from..to).step_by(1_000) {
        let due = claimers.iter_mut().map(|(_, claimer)| claimer.due(log, &live, at(ms)));
        for claim in due.collect::<Vec<_>>().concat() {
            let start = log.next_offset();
            fold(log, start, &[(ms, claim.to_body())]);
        }
        let uncovered = (0..640).filter(|&salt| {
            !matches!(log.coverage(&key(ms, salt), at(ms)), Coverage::By(_))
        });
        let settled = ms >= from + 5_000 || log.next_offset() == 0;
        assert!(!settled || uncovered.count() == 0, "a gap at {ms} ms");
    }
    let mut counts = vec![0; live.len()];
    for salt in 0..6_400 {
        match log.coverage(&key(to, salt), at(to)) {
            Coverage::By(by) => {
                counts[live.iter().position(|owner| *owner == by).unwrap()] += 1;
            }
            other => panic!("uncovered: {other:?}"),
        }
    }
    counts
}

/// Guards against ranges that accumulate on one instance, that no instance takes over
/// after a crash, or that are taken over so late that present keys have no owner.
#[parameterized(
    one = { &["a"], &["a"] },
    seven_start = { &["a", "b", "c", "d", "e", "f", "g"], &["a", "b", "c", "d", "e", "f",
        "g"] },
    one_crashes = { &["a", "b", "c", "d"], &["a", "b", "c"] },
    two_join = { &["a", "b"], &["a", "b", "c", "d"] },
)]
fn spreads_ranges(before: &[&str], after: &[&str]) {
    let make = |names: &[&str]| -> Vec<(Owner, Claimer)> {
        names
            .iter()
            .map(|name| (owner(name), Claimer::new(owner(name), Horizon::default())))
            .collect()
    };
    let mut log = ClaimTable::default();
    shares(&mut make(before), &mut log, 0, 200_000);
    let counts = shares(&mut make(after), &mut log, 200_000, 500_000);
    let even = 6_400 / after.len();
    assert!(
        counts.iter().all(|&count| count > even / 2 && count < even * 3 / 2),
        "{counts:?}"
    );
}

/// Guards against repeating a claim before the first one has been read back, and against
/// claims that no reader could verify after the log was trimmed.
#[test]
fn waits_for_what_it_appended() {
    let me = owner("a");
    let mut table = ClaimTable::default();
    let mut claimer = Claimer::new(me.clone(), Horizon::default());
    assert_eq!(claimer.due(&table, &[], at(0)).len(), 1);
    assert_eq!(claimer.due(&table, &[], at(APPEND_INTERVAL_MS - 1)).len(), 0);
    assert_eq!(claimer.due(&table, &[], at(APPEND_INTERVAL_MS)).len(), 1);
    fold(&mut table, 5, &[]);
    let dated = claimer.due(&table, &[], at(2 * APPEND_INTERVAL_MS));
    assert!(dated[0].ranges.is_empty());
    assert_eq!(fold(&mut table, 5, &[(10_000, dated[0].to_body())]), []);
    assert_eq!(coverage(&table, 0), Past);
    let usable = (0..400).find_map(|second| {
        let due = claimer.due(&table, &[], at(10_000 + second * 1_000));
        due.first().map(|claim| (10_000 + second * 1_000, claim.to_body()))
    });
    assert_eq!(fold(&mut table, 6, &[usable.unwrap()]), []);
    assert_eq!(coverage(&table, 340_000), By("a"));
}

fn ticket(name: &str, sequence: u64) -> SubmissionId {
    let Owner { instance, incarnation } = owner(name);
    SubmissionId::Ticket(Ticket { domain: "d".into(), instance, incarnation, sequence })
}

/// Guards against forwarding to a process that is not the owner, starting under another
/// instance's right, and starting under a ticket that has not been issued.
#[test]
fn resolves_each_kind_of_id() {
    let mut issuer = TicketIssuer::new("d".into(), owner("me"));
    let issued = SubmissionId::Ticket(issuer.issue());
    let mut claims = ClaimTable::default();
    fold(&mut claims, 0, &[(0, claim("a", 100, 200))]);
    let registry: Registry<()> = Registry::new(owner("me"), RegistryLimits::default());
    let mut successions = Successions::default();
    successions.learn(owner("old"), owner("older"));
    successions.learn(owner("older"), owner("b"));
    successions.learn(owner("old"), owner("me"));
    successions.learn(owner("left"), owner("me"));
    let live = |name: &InstanceName| {
        let restarts = u64::from(!["a", "b"].contains(&name.as_str()));
        Some(Incarnation(START_MS * 1_000 + restarts))
    };
    let view = ResolveContext {
        rights: registry.rights(),
        issuer: &issuer,
        claims: &claims,
        successions: &successions,
        live: &live,
    };
    let cases = [
        (issued, Resolved::Local(owner("me"))),
        (ticket("me", 1), Resolved::NotIssued),
        (ticket("a", 4), Resolved::Remote(owner("a"))),
        (ticket("c", 4), Resolved::Gone(owner("c"))),
        (ticket("old", 4), Resolved::Remote(owner("b"))),
        (ticket("left", 4), Resolved::Gone(owner("left"))),
        (SubmissionId::CallerKey(key(150, 1)), Resolved::Remote(owner("a"))),
        (SubmissionId::CallerKey(key(200, 1)), Resolved::Future),
        (SubmissionId::CallerKey(key(50, 1)), Resolved::Past),
        (SubmissionId::CallerKey(Uuid::nil()), Resolved::Past),
    ];
    for (id, want) in cases {
        assert_eq!(resolve(&id, &view), want, "{id}");
    }
}

/// A ticket by its sequence number, or a key by its time.
#[derive(Clone, Copy, Debug)]
enum Id {
    T(u64),
    K(u64),
}

impl Id {
    fn of(self) -> SubmissionId {
        match self {
            T(sequence) => ticket("me", sequence),
            K(ms) => SubmissionId::CallerKey(key(ms, 0)),
        }
    }
}

/// A step on a registry limited to 2 open submissions, 4 entries and 1 s of retention.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Looks an id up, admits it if it is new, and expects this result.
    Send(Id, &'static str),
    /// Looks an id up, which must be new, and refuses it.
    Refuse(Id),
    Close(Id),
    Wait(u64),
}

const REFUSAL: Refusal = Refusal { code: RefusalCode::Overloaded, retry_after_ms: None };

/// Returns the name of a lookup's result, after admitting or refusing a new submission.
fn result_name<S>(lookup: Lookup<S>, state: S) -> &'static str {
    match lookup {
        Lookup::New(vacant) => {
            vacant.admit(state);
            "new"
        }
        Lookup::Full(arrival) => {
            arrival.refuse(REFUSAL);
            "full"
        }
        Lookup::Draining(arrival) => {
            arrival.refuse(REFUSAL);
            "draining"
        }
        Lookup::Known(_) => "known",
        Lookup::Refused(_) => "refused",
        Lookup::Reused => "reused",
        Lookup::Forgotten => "forgotten",
        Lookup::Early => "early",
        Lookup::NotOwned => "not owned",
    }
}

/// Guards against taking a forgotten id for a new one, and against running a late copy of
/// a submission whose caller got the answer "not run".
#[parameterized(
    new_then_known = { &[Send(T(0), "new"), Send(T(0), "known"), Close(T(0)),
        Send(T(0), "known")] },
    full_stays_refused = { &[Send(T(0), "new"), Send(T(1), "new"), Send(T(2), "full"),
        Close(T(0)), Send(T(2), "refused"), Send(T(3), "new")] },
    refused_stays_refused = { &[Refuse(T(0)), Send(T(0), "refused")] },
    expired_is_forgotten = { &[Send(T(3), "new"), Close(T(3)), Wait(999),
        Send(T(3), "known"), Wait(1), Send(T(3), "forgotten"), Send(T(1), "forgotten"),
        Send(T(4), "new")] },
    evicted_is_forgotten = { &[Send(T(0), "new"), Send(T(1), "new"), Send(T(2), "full"),
        Send(T(3), "full"), Send(T(4), "full"), Send(T(2), "forgotten"),
        Send(T(0), "known"), Send(T(3), "refused")] },
    old_key_is_forgotten = { &[Wait(2_000), Send(K(999), "forgotten"),
        Send(K(1_000), "new")] },
    early_key = { &[Send(K(5_001), "early"), Wait(1), Send(K(5_001), "new")] },
    expired_key_of_a_fast_clock = { &[Send(K(5_000), "new"), Close(K(5_000)),
        Wait(1_000), Send(K(5_000), "forgotten"), Send(K(5_001), "new")] },
)]
fn registry_answers(steps: &[Step]) {
    let limits = RegistryLimits {
        max_open: 2,
        max_entries: 4,
        retention_ms: 1_000,
        max_key_ahead_ms: 5_000,
    };
    let mut registry: Registry<()> = Registry::new(owner("me"), limits);
    let mut now = at(0);
    let digest = ContentDigest::of([&b"x"[..]]);
    for &step in steps {
        match step {
            Send(id, want) => {
                let got = result_name(
                    registry.look_up(&id.of(), &owner("me"), digest, now),
                    (),
                );
                assert_eq!(got, want, "{step:?}");
            }
            Refuse(id) => match registry.look_up(&id.of(), &owner("me"), digest, now) {
                Lookup::New(vacant) => drop(vacant.refuse(REFUSAL)),
                other => panic!("{other:?}"),
            },
            Close(id) => {
                let key = registry.find(&id.of()).expect("an admitted submission");
                registry.close(key, now);
                registry.close(key, now);
            }
            Wait(ms) => now = now.plus_ms(ms),
        }
        assert!(registry.len() <= 4 && registry.open() <= 2);
    }
    let id = ticket("me", 100);
    assert_eq!(
        result_name(registry.look_up(&id, &owner("a"), digest, now), ()),
        "not owned"
    );
}

/// Guards against taking a reused id with other content for a retry, and against digests
/// that ignore the boundaries between the parts of the content.
#[test]
fn other_content_is_detected() {
    let one = ContentDigest::of([&b"ab"[..], b"c"]);
    let two = ContentDigest::of([&b"a"[..], b"bc"]);
    let mut registry: Registry<()> =
        Registry::new(owner("me"), RegistryLimits::default());
    let id = ticket("me", 0);
    assert_eq!(result_name(registry.look_up(&id, &owner("me"), one, at(0)), ()), "new");
    assert_eq!(
        result_name(registry.look_up(&id, &owner("me"), two, at(0)), ()),
        "reused"
    );
}

/// Guards against a successor that acts on an incomplete snapshot, on one for another
/// incarnation, or on the same one twice, and against running a submission that the
/// previous owner has already decided.
#[test]
fn hands_over_once_and_completely() {
    let digest = ContentDigest::of([&b"x"[..]]);
    let running = Outcome::Unknown(UnknownCode::StillRunning);
    let body = vec![0; 400_000].into();
    let large = Outcome::Complete(vec![TaskResult { task: TaskIndex(0), body }]);
    let mut old: Registry<Outcome> =
        Registry::new(owner("old"), RegistryLimits::default());
    let mut issuer = TicketIssuer::new("d".into(), owner("old"));
    (0..20).for_each(|_| drop(issuer.issue()));
    for sequence in 0..9 {
        let id = ticket("old", sequence);
        match old.look_up(&id, &owner("old"), digest, at(0)) {
            Lookup::New(vacant) if sequence == 8 => drop(vacant.refuse(REFUSAL)),
            Lookup::New(vacant) if sequence == 7 => drop(vacant.admit(running.clone())),
            Lookup::New(vacant) => drop(vacant.admit(large.clone())),
            other => panic!("{other:?}"),
        }
        if let Some(key) = old.find(&id).filter(|_| sequence != 7) {
            old.close(key, at(0));
        }
    }
    let mut old = old.drain();
    let late = old.look_up(&ticket("old", 9), &owner("old"), digest, at(0));
    assert_eq!(result_name(late, running.clone()), "draining");
    assert_eq!(old.open(), 1);
    let handed = old.hand_over(owner("new"), &issuer, |_, outcome| outcome);
    assert_eq!(handed.parts().len(), 4);
    let mut registry: Registry<Outcome> =
        Registry::new(owner("new"), RegistryLimits::default());
    let mut assembly = HandoverAssembly::new(owner("new"));
    let mut complete = None;
    for (position, part) in handed.parts().iter().rev().cycle().take(7).enumerate() {
        let config = bincode::config::standard();
        let bytes = bincode::serde::encode_to_vec(part, config).unwrap();
        assert!(bytes.len() <= 1 << 20, "{} bytes", bytes.len());
        let (part, _) = bincode::serde::decode_from_slice(&bytes, config).unwrap();
        let done = assembly.accept(part, registry.rights()).unwrap();
        assert_eq!(done.is_some(), position == 3, "part {position}");
        complete = done.or(complete);
        assert!(!registry.rights().holds(&owner("old")));
    }
    let part = handed.parts()[0].clone();
    let rejected =
        HandoverAssembly::new(owner("x")).accept(part.clone(), &Rights::none());
    assert_eq!(rejected.unwrap_err(), AcceptError::WrongSuccessor);
    let without_rights = HandoverPart { rights: vec![], ..part.clone() };
    let rejected =
        HandoverAssembly::new(owner("new")).accept(without_rights, &Rights::none());
    assert_eq!(rejected.unwrap_err(), AcceptError::Inconsistent);
    let done = complete.unwrap();
    assert_eq!(registry.adopt(done, at(0), |_, outcome| outcome), Ok(10));
    let wants = ["known", "known", "refused", "refused", "new", "forgotten"];
    for (sequence, want) in [0, 7, 8, 9, 10, 20].into_iter().zip(wants) {
        let id = ticket("old", sequence);
        let lookup = registry.look_up(&id, &owner("old"), digest, at(1));
        let got = result_name(lookup, running.clone());
        assert_eq!(got, want, "ticket {sequence}");
    }
    let again = assembly.accept(part, registry.rights());
    assert_eq!(again.unwrap_err(), AcceptError::AlreadyAdopted);
}

/// Guards against a repeated handover that restores watermarks from before its first
/// adoption, after the predecessor's right was dropped in favour of later ones.
#[test]
fn a_given_up_predecessor_is_not_adopted_again() {
    let mut registry: Registry<()> =
        Registry::new(owner("me"), RegistryLimits::default());
    let mut adopt = |run| {
        let old = Owner::new("old".into(), Incarnation(run));
        let issuer = TicketIssuer::new("d".into(), old.clone());
        let draining = Registry::new(old, RegistryLimits::default()).drain();
        let handed = draining.hand_over(owner("me"), &issuer, |_, ()| unreachable!());
        let part = handed.parts()[0].clone();
        let done = HandoverAssembly::new(owner("me")).accept(part, &Rights::none());
        registry.adopt(done.unwrap().unwrap(), at(0), |_, _| ())
    };
    assert!((0..100).all(|run| adopt(run) == Ok(0)));
    assert!((0..100).all(|run| adopt(run) == Err(AdoptError::AlreadyAdopted)));
}
