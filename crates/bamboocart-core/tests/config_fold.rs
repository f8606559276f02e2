//! Tests of the fold of the configuration stream.

use std::sync::Arc;

use bamboocart_core::config::{
    ApplyResult, ConfigRecord, ConfigReplay, ConfigSet, MAX_RECORD_BYTES,
    PeerOfferResult, Publication, PublicationId, Quota, Snapshot,
};
use bamboocart_core::id::ConfigVersion;
use bamboocart_core::time::Timestamp;
use proptest::prelude::*;
use uuid::Uuid;
use yare::parameterized;

/// The retention time of the log in these tests.
const RETENTION_MS: u64 = 1_000;

/// A set that differs by its weight.
fn set(weight: u32) -> ConfigSet {
    let quota = Quota { weight, starts_per_s: 1, burst: 1, in_flight: 1 };
    ConfigSet { quota: [("c".into(), quota)].into(), ..ConfigSet::default() }
}

/// A publication record; the weight 0 makes its set faulty.
fn publish(id: u128, base: u64, weight: u32) -> String {
    let publication = PublicationId(Uuid::from_u128(id));
    let base = ConfigVersion(base);
    ConfigRecord::Publish(Publication { publication, base, set: set(weight) }).to_body()
}

/// Folds records from `start` on, and starts again as often as a snapshot asks for it.
fn fold_from(start: usize, log: &[String]) -> (ConfigReplay, Vec<String>) {
    let mut fold = ConfigReplay::new();
    let mut steps = Vec::new();
    fold.set_log_start(start as u64);
    while let Some(body) = log.get(fold.next_offset() as usize) {
        let offset = fold.next_offset();
        steps.push(name(&fold.apply(offset, Timestamp::from_ms(offset), body)));
    }
    (fold, steps)
}

/// Returns a short name of a step.
fn name(folded: &ApplyResult) -> String {
    match folded {
        ApplyResult::Accepted { version, .. } => format!("accepted {version}"),
        ApplyResult::Conflict { in_force, .. } => format!("lost {in_force}"),
        ApplyResult::Duplicate { .. } => "repeated".into(),
        ApplyResult::Skipped { .. } => "skipped".into(),
        ApplyResult::SnapshotSeen => "seen".into(),
        ApplyResult::SnapshotDiffers { .. } => "differs".into(),
        ApplyResult::Rewind { from } => format!("rewind {from}"),
        ApplyResult::NeedsSnapshot => "undecidable".into(),
        ApplyResult::AlreadyApplied => "old".into(),
    }
}

/// The snapshot record that a reader of `log` appends.
fn snapshot_of(log: &[String]) -> String {
    ConfigRecord::Snapshot(fold_from(0, log).0.snapshot().unwrap()).to_body()
}

/// Records and the steps that they must cause from the beginning of the log.
struct Case {
    log: Vec<String>,
    steps: &'static [&'static str],
    version: u64,
}

// Each case guards against two readers, or one operator and the readers, disagreeing on
// the publication in force.
#[parameterized(
    chain = { Case { log: vec![publish(1, 0, 1), publish(2, 1, 2)],
        steps: &["accepted 1", "accepted 2"], version: 2 } },
    race = { Case { log: vec![publish(1, 0, 1), publish(2, 0, 2), publish(3, 1, 3)],
        steps: &["accepted 1", "lost 1", "accepted 3"], version: 3 } },
    repeated_append = { Case { log: vec![publish(1, 0, 1), publish(1, 0, 1)],
        steps: &["accepted 1", "repeated"], version: 1 } },
    reused_id = { Case { log: vec![publish(1, 0, 1), publish(1, 1, 2)],
        steps: &["accepted 1", "repeated"], version: 1 } },
    loser_stays_loser = { Case {
        log: vec![publish(1, 2, 1), publish(2, 0, 2), publish(1, 2, 1)],
        steps: &["lost 0", "accepted 2", "repeated"], version: 2 } },
    bad_json = { Case { log: vec!["{".into(), publish(1, 0, 1)],
        steps: &["skipped", "accepted 2"], version: 2 } },
    unknown_field = { Case {
        log: vec![publish(1, 0, 1).replace("\"burst\"", "\"bursts\""), publish(2, 0, 1)],
        steps: &["skipped", "accepted 2"], version: 2 } },
    faulty_set = { Case { log: vec![publish(1, 0, 0), publish(2, 0, 1)],
        steps: &["skipped", "accepted 2"], version: 2 } },
    too_large = { Case { log: vec![" ".repeat(MAX_RECORD_BYTES + 1), publish(1, 0, 1)],
        steps: &["skipped", "accepted 2"], version: 2 } },
    snapshot_of_the_future = { Case {
        log: vec![snapshot_of(&[publish(1, 0, 1)]), publish(1, 0, 1)],
        steps: &["skipped", "accepted 2"], version: 2 } },
    snapshot_of_another_set = { Case {
        log: vec![publish(1, 0, 1), snapshot_of(&[publish(1, 0, 2)])],
        steps: &["accepted 1", "differs"], version: 1 } },
    stale_snapshot = { Case {
        log: vec![publish(1, 0, 1), publish(2, 1, 2), snapshot_of(&[publish(1, 0, 1)])],
        steps: &["accepted 1", "accepted 2", "seen"], version: 2 } },
)]
fn records_fold_in_log_order(case: Case) {
    let (fold, steps) = fold_from(0, &case.log);
    assert_eq!(steps, case.steps);
    assert_eq!(fold.version(), ConfigVersion(case.version));
}

/// A log that has lost its records before `start`.
struct Trimmed {
    start: usize,
    steps: &'static [&'static str],
    version: u64,
}

// Guards against a stale snapshot hiding a publication that has expired. The snapshot at
// offset 3 covers offset 0 only; the publication at offset 1 came later.
#[parameterized(
    next_record_readable = { Trimmed { start: 1,
        steps: &["undecidable", "skipped", "rewind 1", "accepted 2", "skipped", "seen"],
        version: 2 } },
    next_record_expired = { Trimmed { start: 2, steps: &["skipped", "seen"], version: 0 } },
    snapshot_expired = { Trimmed { start: 4, steps: &[], version: 0 } },
)]
fn trimmed_logs_need_a_fresh_snapshot(case: Trimmed) {
    let mut log = vec![publish(1, 0, 1), publish(2, 1, 2), "broken".into()];
    log.push(snapshot_of(&log[..1]));
    let (fold, steps) = fold_from(case.start, &log);
    assert_eq!(steps, case.steps);
    assert_eq!(fold.version(), ConfigVersion(case.version));
    assert_eq!(fold.can_apply(), case.version > 0);
}

// Guards against a reader that fell behind the retention judging records by an old state,
// and against it giving up the version that it has.
#[test]
fn reader_that_fell_behind_keeps_its_version() {
    let mut fold = ConfigReplay::new();
    fold.apply(0, Timestamp::from_ms(0), &publish(1, 0, 1));
    fold.set_log_start(5);
    assert_eq!(fold.version(), ConfigVersion(1));
    let step = fold.apply(5, Timestamp::from_ms(5), &publish(2, 1, 2));
    assert!(matches!(step, ApplyResult::NeedsSnapshot));
    assert_eq!(fold.version(), ConfigVersion(1));
    assert!(fold.snapshot().is_none());
}

// Guards against a log without a usable snapshot: a stream of frequent publications must
// not put the snapshot off, and a fresh snapshot must end the need for one.
#[test]
fn snapshot_is_due_after_half_of_the_retention() {
    let mut fold = ConfigReplay::new();
    let due = |fold: &ConfigReplay, ms| {
        fold.snapshot_due(Timestamp::from_ms(ms), RETENTION_MS, 0).is_some()
    };
    assert!(!due(&fold, 10_000));
    fold.apply(0, Timestamp::from_ms(100), &publish(1, 0, 1));
    fold.apply(1, Timestamp::from_ms(550), &publish(2, 1, 2));
    assert!(!due(&fold, 599));
    assert!(due(&fold, 600));
    let at = Timestamp::from_ms(610);
    assert!(fold.snapshot_due(at, RETENTION_MS, 20).is_none());
    let body = ConfigRecord::Snapshot(fold.snapshot().unwrap()).to_body();
    fold.apply(2, Timestamp::from_ms(650), &body);
    assert!(!due(&fold, 1_149));
    assert!(due(&fold, 1_150));
}

// Guards against a snapshot that was written late counting as fresh: new readers need the
// record at offset 1, so its age decides.
#[test]
fn late_snapshot_counts_from_the_record_that_it_needs() {
    let mut fold = ConfigReplay::new();
    fold.apply(0, Timestamp::from_ms(0), &publish(1, 0, 1));
    let body = ConfigRecord::Snapshot(fold.snapshot().unwrap()).to_body();
    fold.apply(1, Timestamp::from_ms(200), "broken");
    fold.apply(2, Timestamp::from_ms(900), &body);
    let due = |ms| fold.snapshot_due(Timestamp::from_ms(ms), RETENTION_MS, 0).is_some();
    assert!(!due(699));
    assert!(due(700));
}

// Guards against a log that accepts nothing any more after all of its records have
// expired, and against a peer's snapshot hiding a publication that has expired unread.
// The peer has read the records before offset 2.
#[parameterized(
    all_expired = { 2, true },
    next_record_readable = { 1, true },
    a_record_was_missed = { 3, false },
    nothing_expired = { 0, false },
)]
fn peers_restore_what_has_expired(start: u64, is_restored: bool) {
    let log = [publish(1, 0, 1), publish(2, 1, 2)];
    let snapshot = fold_from(0, &log).0.snapshot().unwrap();
    let mut fold = ConfigReplay::new();
    fold.set_log_start(start);
    assert_eq!(fold.restore(snapshot), is_restored);
    let due = fold.snapshot_due(Timestamp::from_ms(RETENTION_MS), RETENTION_MS, 0);
    assert_eq!(due.is_some(), is_restored);
    let offset = fold.next_offset();
    fold.apply(offset, Timestamp::from_ms(3), &publish(3, 2, 3));
    assert_eq!(fold.version(), ConfigVersion(if is_restored { offset + 1 } else { 0 }));
}

// Guards against a peer lowering the version in force or passing on a faulty set.
#[test]
fn peers_only_raise_the_version() {
    let mut fold = ConfigReplay::new();
    let mut hear = |version, weight| {
        fold.offer_peer_version(ConfigVersion(version), Arc::new(set(weight)))
    };
    assert_eq!(hear(5, 5), PeerOfferResult::Adopted);
    assert_eq!(hear(4, 4), PeerOfferResult::NotNewer);
    assert_eq!(hear(5, 6), PeerOfferResult::NotNewer);
    assert!(matches!(hear(7, 0), PeerOfferResult::Invalid(_)));
    assert_eq!(*fold.in_force().unwrap().set, set(5));
}

/// A record for a generated log, described relative to the log before it.
#[derive(Debug, Clone)]
enum Step {
    /// A publication with an id from a small pool, so that ids repeat.
    Publish { id: u128, back: u64, weight: u32 },
    /// A snapshot by an instance that has read all but the last `lag` records.
    Snapshot { lag: usize },
    /// A record that is not readable.
    Broken,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..40_u128, prop_oneof![4 => Just(0_u64), 1 => 0..3_u64], 0..9_u32)
            .prop_map(|(id, back, weight)| Step::Publish { id, back, weight }),
        2 => (0..4_usize).prop_map(|lag| Step::Snapshot { lag }),
        1 => Just(Step::Broken),
    ]
}

/// Builds a log in which publishers and snapshot writers behave as the programs do.
fn build(steps: &[Step]) -> Vec<String> {
    let mut log = Vec::new();
    for step in steps {
        let in_force = fold_from(0, &log).0.version().0;
        log.push(match step {
            Step::Publish { id, back, weight } => {
                publish(*id, in_force.saturating_sub(*back), *weight)
            }
            Step::Snapshot { lag } => {
                let read = &log[..log.len().saturating_sub(*lag)];
                let snapshot = fold_from(0, read).0.snapshot();
                snapshot.map_or("none".into(), |s| ConfigRecord::Snapshot(s).to_body())
            }
            Step::Broken => "broken".into(),
        });
    }
    log
}

/// The versions that a full reader accepts, with their sets.
fn accepted(log: &[String]) -> Vec<(u64, Snapshot)> {
    let version = |end: usize| fold_from(0, &log[..end]).0.snapshot();
    let mut found: Vec<(u64, Snapshot)> = Vec::new();
    for snapshot in (1..=log.len()).filter_map(version) {
        if found.last().is_none_or(|(version, _)| *version < snapshot.version.0) {
            found.push((snapshot.version.0, snapshot));
        }
    }
    found
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]

    // Guards against a reader of a trimmed log, or one that restarts from a snapshot,
    // naming another winner than a reader of the whole log.
    #[test]
    fn all_readers_agree_on_the_winner(
        steps in prop::collection::vec(step(), 1..24),
        start in 0..24_usize,
    ) {
        let log = build(&steps);
        let (full, _) = fold_from(0, &log);
        let (late, _) = fold_from(start.min(log.len()), &log);
        prop_assert!(full.can_apply());
        if late.can_apply() {
            prop_assert_eq!(late.snapshot(), full.snapshot());
            prop_assert_eq!(late.in_force(), full.in_force());
        } else {
            prop_assert_eq!(late.version(), ConfigVersion(0));
        }
    }

    // Guards against a rollback when versions arrive from peers and the log in any order.
    #[test]
    fn versions_never_step_back(
        steps in prop::collection::vec(step(), 1..16),
        news in prop::collection::vec((any::<bool>(), 0..16_usize), 1..48),
    ) {
        let log = build(&steps);
        let versions = accepted(&log);
        let mut fold = ConfigReplay::new();
        let mut highest = ConfigVersion(0);
        for (from_peer, pick) in news {
            let next = fold.next_offset();
            match (versions.get(pick % versions.len().max(1)), log.get(next as usize)) {
                (Some((version, known)), _) if from_peer => {
                    fold.offer_peer_version(ConfigVersion(*version), Arc::new(known.set.clone()));
                }
                (_, Some(body)) => {
                    fold.apply(next, Timestamp::from_ms(next), body);
                }
                _ => fold.set_log_start(next + pick as u64),
            }
            prop_assert!(fold.version() >= highest);
            highest = fold.version();
            let known = versions.iter().find(|(version, _)| *version == highest.0);
            let expected = known.map(|(_, snapshot)| &snapshot.set);
            prop_assert_eq!(fold.in_force().map(|known| &*known.set), expected);
        }
    }
}
