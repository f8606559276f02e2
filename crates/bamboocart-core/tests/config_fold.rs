//! Tests of the replay of the configuration log.

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

/// Returns a set that differs from others by its weight.
fn set(weight: u32) -> ConfigSet {
    let quota = Quota { weight, starts_per_s: 1, burst: 1, in_flight: 1 };
    ConfigSet { quota: [("c".into(), quota)].into(), ..ConfigSet::default() }
}

/// Returns a publication record, whose set has a fault if the weight is 0.
fn publish(id: u128, base: u64, weight: u32) -> String {
    let publication = PublicationId(Uuid::from_u128(id));
    let base = ConfigVersion(base);
    ConfigRecord::Publish(Publication { publication, base, set: set(weight) }).to_body()
}

/// Replays the records from `start` on, reading again after each rewind.
///
/// Returns the names of the results.
fn replay_from(start: usize, log: &[String]) -> (ConfigReplay, Vec<String>) {
    let mut replay = ConfigReplay::new();
    let mut results = Vec::new();
    replay.set_log_start(start as u64);
    while let Some(body) = log.get(replay.next_offset() as usize) {
        let offset = replay.next_offset();
        results.push(name(&replay.apply(offset, Timestamp::from_ms(offset), body)));
    }
    (replay, results)
}

/// Returns a short name of a result.
fn name(result: &ApplyResult) -> String {
    match result {
        ApplyResult::Accepted { version, .. } => format!("accepted {version}"),
        ApplyResult::Conflict { in_force, .. } => format!("conflict {in_force}"),
        ApplyResult::Duplicate { .. } => "duplicate".into(),
        ApplyResult::Skipped { .. } => "skipped".into(),
        ApplyResult::SnapshotSeen => "seen".into(),
        ApplyResult::SnapshotDiffers { .. } => "differs".into(),
        ApplyResult::Rewind { from } => format!("rewind {from}"),
        ApplyResult::NeedsSnapshot => "needs snapshot".into(),
        ApplyResult::AlreadyApplied => "already applied".into(),
    }
}

/// Returns the snapshot record that a reader of `log` appends.
fn snapshot_of(log: &[String]) -> String {
    ConfigRecord::Snapshot(replay_from(0, log).0.snapshot().unwrap()).to_body()
}

/// Records from the beginning of the log, and the results of applying them.
struct Case {
    log: Vec<String>,
    results: &'static [&'static str],
    version: u64,
}

// Each case guards against two readers, or the publishing operator and a reader, that
// disagree on the publication in force.
#[parameterized(
    chain = { Case { log: vec![publish(1, 0, 1), publish(2, 1, 2)],
        results: &["accepted 1", "accepted 2"], version: 2 } },
    race = { Case { log: vec![publish(1, 0, 1), publish(2, 0, 2), publish(3, 1, 3)],
        results: &["accepted 1", "conflict 1", "accepted 3"], version: 3 } },
    repeated_append = { Case { log: vec![publish(1, 0, 1), publish(1, 0, 1)],
        results: &["accepted 1", "duplicate"], version: 1 } },
    reused_id = { Case { log: vec![publish(1, 0, 1), publish(1, 1, 2)],
        results: &["accepted 1", "duplicate"], version: 1 } },
    rejected_publication_stays_rejected = { Case {
        log: vec![publish(1, 2, 1), publish(2, 0, 2), publish(1, 2, 1)],
        results: &["conflict 0", "accepted 2", "duplicate"], version: 2 } },
    bad_json = { Case { log: vec!["{".into(), publish(1, 0, 1)],
        results: &["skipped", "accepted 2"], version: 2 } },
    unknown_field = { Case {
        log: vec![publish(1, 0, 1).replace("\"burst\"", "\"bursts\""), publish(2, 0, 1)],
        results: &["skipped", "accepted 2"], version: 2 } },
    faulty_set = { Case { log: vec![publish(1, 0, 0), publish(2, 0, 1)],
        results: &["skipped", "accepted 2"], version: 2 } },
    too_large = { Case { log: vec![" ".repeat(MAX_RECORD_BYTES + 1), publish(1, 0, 1)],
        results: &["skipped", "accepted 2"], version: 2 } },
    snapshot_of_the_future = { Case {
        log: vec![snapshot_of(&[publish(1, 0, 1)]), publish(1, 0, 1)],
        results: &["skipped", "accepted 2"], version: 2 } },
    snapshot_of_another_set = { Case {
        log: vec![publish(1, 0, 1), snapshot_of(&[publish(1, 0, 2)])],
        results: &["accepted 1", "differs"], version: 1 } },
    stale_snapshot = { Case {
        log: vec![publish(1, 0, 1), publish(2, 1, 2), snapshot_of(&[publish(1, 0, 1)])],
        results: &["accepted 1", "accepted 2", "seen"], version: 2 } },
)]
fn records_are_applied_in_log_order(case: Case) {
    let (replay, results) = replay_from(0, &case.log);
    assert_eq!(results, case.results);
    assert_eq!(replay.version(), ConfigVersion(case.version));
}

/// A log whose records before `start` have expired.
struct TrimmedCase {
    start: usize,
    results: &'static [&'static str],
    version: u64,
}

// Guards against a stale snapshot that hides an expired publication. The snapshot at
// offset 3 only covers offset 0; the publication at offset 1 came later.
#[parameterized(
    next_record_readable = { TrimmedCase { start: 1,
        results: &["needs snapshot", "skipped", "rewind 1", "accepted 2", "skipped",
            "seen"],
        version: 2 } },
    next_record_expired = { TrimmedCase { start: 2,
        results: &["skipped", "seen"], version: 0 } },
    snapshot_expired = { TrimmedCase { start: 4, results: &[], version: 0 } },
)]
fn trimmed_logs_need_a_fresh_snapshot(case: TrimmedCase) {
    let mut log = vec![publish(1, 0, 1), publish(2, 1, 2), "broken".into()];
    log.push(snapshot_of(&log[..1]));
    let (replay, results) = replay_from(case.start, &log);
    assert_eq!(results, case.results);
    assert_eq!(replay.version(), ConfigVersion(case.version));
    assert_eq!(replay.can_apply(), case.version > 0);
}

// Guards against a reader that fell behind the retention and decides publications by an
// outdated state, or drops its version.
#[test]
fn reader_that_fell_behind_keeps_its_version() {
    let mut replay = ConfigReplay::new();
    replay.apply(0, Timestamp::from_ms(0), &publish(1, 0, 1));
    replay.set_log_start(5);
    assert_eq!(replay.version(), ConfigVersion(1));
    let result = replay.apply(5, Timestamp::from_ms(5), &publish(2, 1, 2));
    assert!(matches!(result, ApplyResult::NeedsSnapshot));
    assert_eq!(replay.version(), ConfigVersion(1));
    assert!(replay.snapshot().is_none());
}

// Guards against a log without a usable snapshot: frequent publications must not delay
// the snapshot. After a snapshot was appended, no further one must be due.
#[test]
fn snapshot_is_due_after_half_of_the_retention() {
    let mut replay = ConfigReplay::new();
    let due = |replay: &ConfigReplay, ms| {
        replay.snapshot_due(Timestamp::from_ms(ms), RETENTION_MS, 0).is_some()
    };
    assert!(!due(&replay, 10_000));
    replay.apply(0, Timestamp::from_ms(100), &publish(1, 0, 1));
    replay.apply(1, Timestamp::from_ms(550), &publish(2, 1, 2));
    assert!(!due(&replay, 599));
    assert!(due(&replay, 600));
    let at = Timestamp::from_ms(610);
    assert!(replay.snapshot_due(at, RETENTION_MS, 20).is_none());
    let body = ConfigRecord::Snapshot(replay.snapshot().unwrap()).to_body();
    replay.apply(2, Timestamp::from_ms(650), &body);
    assert!(!due(&replay, 1_149));
    assert!(due(&replay, 1_150));
}

// Guards against a late snapshot that counts as fresh: new readers need the record at
// offset 1, so the age of that record decides.
#[test]
fn late_snapshot_counts_from_the_record_that_it_needs() {
    let mut replay = ConfigReplay::new();
    replay.apply(0, Timestamp::from_ms(0), &publish(1, 0, 1));
    let body = ConfigRecord::Snapshot(replay.snapshot().unwrap()).to_body();
    replay.apply(1, Timestamp::from_ms(200), "broken");
    replay.apply(2, Timestamp::from_ms(900), &body);
    let due = |ms| replay.snapshot_due(Timestamp::from_ms(ms), RETENTION_MS, 0).is_some();
    assert!(!due(699));
    assert!(due(700));
}

// Guards against a log that accepts no publication after all of its records have expired,
// and against a peer's snapshot that hides a publication that expired unread. The peer
// has read the records before offset 2.
#[parameterized(
    all_expired = { 2, true },
    next_record_readable = { 1, true },
    a_record_was_missed = { 3, false },
    nothing_expired = { 0, false },
)]
fn peer_snapshots_replace_expired_records(start: u64, is_restored: bool) {
    let log = [publish(1, 0, 1), publish(2, 1, 2)];
    let snapshot = replay_from(0, &log).0.snapshot().unwrap();
    let mut replay = ConfigReplay::new();
    replay.set_log_start(start);
    assert_eq!(replay.restore(snapshot), is_restored);
    let due = replay.snapshot_due(Timestamp::from_ms(RETENTION_MS), RETENTION_MS, 0);
    assert_eq!(due.is_some(), is_restored);
    let offset = replay.next_offset();
    replay.apply(offset, Timestamp::from_ms(3), &publish(3, 2, 3));
    assert_eq!(replay.version(), ConfigVersion(if is_restored { offset + 1 } else { 0 }));
}

// Guards against a peer that lowers the version in force or sends a set with faults.
#[test]
fn peers_only_raise_the_version() {
    let mut replay = ConfigReplay::new();
    let mut hear = |version, weight| {
        replay.offer_peer_version(ConfigVersion(version), Arc::new(set(weight)))
    };
    assert_eq!(hear(5, 5), PeerOfferResult::Adopted);
    assert_eq!(hear(4, 4), PeerOfferResult::NotNewer);
    assert_eq!(hear(5, 6), PeerOfferResult::NotNewer);
    assert!(matches!(hear(7, 0), PeerOfferResult::Invalid(_)));
    assert_eq!(*replay.in_force().unwrap().set, set(5));
}

/// A record of a generated log, described relative to the records before it.
#[derive(Debug, Clone)]
enum Step {
    /// A publication with an id from a small range, so that ids repeat.
    Publish { id: u128, back: u64, weight: u32 },
    /// A snapshot by an instance that has read all but the last `lag` records.
    Snapshot { lag: usize },
    /// A record that cannot be parsed.
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

/// Builds a log with publications and snapshots as the programs append them.
fn build(steps: &[Step]) -> Vec<String> {
    let mut log = Vec::new();
    for step in steps {
        let in_force = replay_from(0, &log).0.version().0;
        log.push(match step {
            Step::Publish { id, back, weight } => {
                publish(*id, in_force.saturating_sub(*back), *weight)
            }
            Step::Snapshot { lag } => {
                let read = &log[..log.len().saturating_sub(*lag)];
                let snapshot = replay_from(0, read).0.snapshot();
                snapshot.map_or("none".into(), |s| ConfigRecord::Snapshot(s).to_body())
            }
            Step::Broken => "broken".into(),
        });
    }
    log
}

/// Returns the versions that a reader of the whole log accepts, with their snapshots.
fn accepted(log: &[String]) -> Vec<(u64, Snapshot)> {
    let version = |end: usize| replay_from(0, &log[..end]).0.snapshot();
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

    // Guards against a reader of a trimmed log, or one that starts from a snapshot, that
    // disagrees with a reader of the whole log.
    #[test]
    fn all_readers_agree_on_the_version(
        steps in prop::collection::vec(step(), 1..24),
        start in 0..24_usize,
    ) {
        let log = build(&steps);
        let (full, _) = replay_from(0, &log);
        let (late, _) = replay_from(start.min(log.len()), &log);
        prop_assert!(full.can_apply());
        if late.can_apply() {
            prop_assert_eq!(late.snapshot(), full.snapshot());
            prop_assert_eq!(late.in_force(), full.in_force());
        } else {
            prop_assert_eq!(late.version(), ConfigVersion(0));
        }
    }

    // Guards against a rollback when versions arrive from peers and from the log in any
    // order.
    #[test]
    fn versions_never_step_back(
        steps in prop::collection::vec(step(), 1..16),
        deliveries in prop::collection::vec((any::<bool>(), 0..16_usize), 1..48),
    ) {
        let log = build(&steps);
        let versions = accepted(&log);
        let mut replay = ConfigReplay::new();
        let mut highest = ConfigVersion(0);
        for (from_peer, pick) in deliveries {
            let next = replay.next_offset();
            match (versions.get(pick % versions.len().max(1)), log.get(next as usize)) {
                (Some((version, known)), _) if from_peer => {
                    replay.offer_peer_version(
                        ConfigVersion(*version),
                        Arc::new(known.set.clone()),
                    );
                }
                (_, Some(body)) => {
                    replay.apply(next, Timestamp::from_ms(next), body);
                }
                _ => replay.set_log_start(next + pick as u64),
            }
            prop_assert!(replay.version() >= highest);
            highest = replay.version();
            let known = versions.iter().find(|(version, _)| *version == highest.0);
            let expected = known.map(|(_, snapshot)| &snapshot.set);
            prop_assert_eq!(replay.in_force().map(|known| &*known.set), expected);
        }
    }
}
