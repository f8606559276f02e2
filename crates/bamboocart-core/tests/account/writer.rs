//! Tests of the account writer: batches, duplicates, limits and closing.

use bamboocart_core::account::{
    AccountWriter, AnswerKind, DecodedBatch, Entry, Fact, MAX_BATCH_BYTES,
    MAX_BATCH_ENTRIES, MAX_BUFFERED_ENTRIES, MAX_ENTRY_BYTES,
};
use bamboocart_core::id::{ConfigVersion, Incarnation, SubmissionId, TaskIndex, Ticket};
use bamboocart_core::outcome::{FailureCode, RefusalCode, UnknownCode};
use uuid::Uuid;
use yare::parameterized;

use crate::stream::{START_MS, Stream, admit, answer, cancel, ms, served, start, writer};

/// Guards against two batches with the same entries after the response to an append was
/// lost.
#[test]
fn a_batch_is_returned_with_the_same_text_until_it_is_confirmed() {
    let mut writer = writer("a1", START_MS);
    assert_eq!(writer.next_batch(ms(START_MS)), None);
    writer.record(ms(START_MS + 1), admit(1, "a", 0));
    let first = writer.next_batch(ms(START_MS + 2)).unwrap();
    writer.record(ms(START_MS + 3), admit(2, "a", 0));
    assert_eq!(writer.next_batch(ms(START_MS + 4)), Some(first.clone()));
    writer.confirm_append(first.number + 1);
    assert_eq!(writer.next_batch(ms(START_MS + 5)), Some(first.clone()));
    assert_eq!(writer.buffered(), 2);
    writer.confirm_append(first.number);
    let second = writer.next_batch(ms(START_MS + 6)).unwrap();
    assert_eq!(second.number, first.number + 1);
    let (second, _) = DecodedBatch::decode(&second.text).unwrap();
    let sequences: Vec<u64> = second.entries.iter().map(|e| e.sequence).collect();
    assert_eq!(sequences, [2]);
}

/// Guards against a buffer that grows without limit while the log is down, and against
/// batches that exceed their limits.
#[test]
fn the_buffer_is_bounded_and_the_gap_is_recorded() {
    assert_eq!(MAX_BUFFERED_ENTRIES, 200_000);
    // A tenth of the limit keeps the test short.
    let limit = MAX_BUFFERED_ENTRIES / 10;
    let extra = 5_000;
    let mut writer =
        AccountWriter::with_limit("a1".into(), Incarnation(START_MS * 1_000), limit);
    for number in 0..limit as u64 + extra {
        writer.record(ms(START_MS + number / 1_000), admit(number, "a", 0));
    }
    // One place is reserved for the entry that records the gap.
    assert_eq!(writer.buffered(), limit - 1);
    assert_eq!(writer.dropped(), extra + 1);
    let mut stream = Stream::default();
    writer.close(ms(START_MS + 300));
    stream.drain(&mut writer, START_MS + 300);
    assert!(writer.is_finished());
    for record in &stream.records {
        assert!(record.text.len() < MAX_BATCH_BYTES + MAX_ENTRY_BYTES);
    }
    assert!(stream.records.len() >= limit / MAX_BATCH_ENTRIES);
    let report = stream.verify();
    assert_eq!(report.findings, []);
    let gap = &report.incarnations[0].gaps[0];
    let bounds = (limit as u64, limit as u64 + extra);
    assert_eq!((gap.first_sequence, gap.last_sequence), (bounds.0, Some(bounds.1)));
}

/// Guards against an entry that fits in no batch, and against entries after the account
/// was closed.
#[test]
fn what_cannot_be_written_is_recorded_as_a_gap() {
    let mut writer = AccountWriter::new("a1".into(), Incarnation(START_MS * 1_000));
    writer.record(ms(START_MS), admit(1, &"x".repeat(MAX_ENTRY_BYTES), 0));
    writer.record(ms(START_MS), admit(2, "a", 0));
    writer.close(ms(START_MS));
    writer.record(ms(START_MS), admit(3, "a", 0));
    let mut stream = Stream::default();
    stream.drain(&mut writer, START_MS);
    writer.record(ms(START_MS), admit(4, "a", 0));
    stream.drain(&mut writer, START_MS);
    assert_eq!((writer.dropped(), writer.buffered()), (3, 0));
    let report = stream.verify();
    assert_eq!(report.findings, []);
    let summary = &report.incarnations[0];
    assert!(summary.closed);
    let gaps = summary.gaps.iter().map(|gap| (gap.first_sequence, gap.last_sequence));
    assert_eq!(gaps.collect::<Vec<_>>(), [(1, Some(1)), (4, Some(4))]);
}

/// Returns one fact of each kind, with a ticket of the account's own incarnation, a
/// ticket of another one, and a caller key.
fn every_kind() -> Vec<Fact> {
    let own = SubmissionId::Ticket(Ticket {
        domain: "marka".into(),
        instance: "a1".into(),
        incarnation: Incarnation(START_MS * 1_000),
        sequence: 300,
    });
    let key = SubmissionId::CallerKey(Uuid::from_u64_pair(0x7000, 1 << 63));
    let mut facts: Vec<Fact> = served(1, "a").into();
    facts.extend([
        cancel(2, "b", true),
        answer(2, "b", AnswerKind::Unknown(UnknownCode::TargetLost)),
        answer(3, "b", AnswerKind::Failed(FailureCode::TaskLost)),
        Fact::PolicyChange { from: ConfigVersion(3), to: ConfigVersion(70_000) },
    ]);
    for submission in [Some(own), Some(key), None] {
        facts.push(Fact::Refused {
            submission,
            customer: "c".into(),
            kind: "unknown".into(),
            config: ConfigVersion(3),
            code: RefusalCode::IdReused,
        });
    }
    facts
}

/// Guards against an encoding that loses a part of an entry.
#[test]
fn entries_are_read_back_as_they_were_recorded() {
    let mut writer = writer("a1", START_MS);
    let facts = every_kind();
    for (step_ms, fact) in (0..).zip(&facts) {
        writer.record(ms(START_MS + 700 * step_ms), fact.clone());
    }
    let text = writer.next_batch(ms(START_MS + 60_000)).unwrap().text;
    let (batch, hash) = DecodedBatch::decode(&text).unwrap();
    let expected: Vec<Entry> = (0..)
        .zip(facts)
        .map(|(n, fact)| Entry { sequence: n + 1, at: ms(START_MS + 700 * n), fact })
        .collect();
    assert_eq!(batch.entries, expected);
    assert_eq!((batch.batch, batch.hash), (1, hash));
    assert_eq!(*batch.encode().text, *text);
}

/// Guards against records that grow back to the size of the former JSON format, which
/// took 509 bytes per start in jobs and 1,057 in single requests.
#[parameterized(
    jobs = { 1, 240, 50 },
    requests = { 240, 1, 211 },
)]
fn the_volume_is_bounded(submissions: u64, tasks: u16, bytes_per_start: usize) {
    let mut writer = writer("a1", START_MS);
    for number in 0..submissions {
        let [mut admitted, started, finished, answered] = served(number, "a");
        if let Fact::Admitted { tasks: range, .. } = &mut admitted {
            range.count = tasks;
        }
        writer.record(ms(START_MS + number), admitted);
        for index in 0..tasks {
            for mut fact in [started.clone(), finished.clone()] {
                if let Fact::Started { task, .. } | Fact::Finished { task, .. } =
                    &mut fact
                {
                    *task = TaskIndex(index);
                }
                writer.record(ms(START_MS + 1_000 + u64::from(index)), fact);
            }
        }
        writer.record(ms(START_MS + 2_000), answered);
    }
    let mut stream = Stream::default();
    stream.drain(&mut writer, START_MS + 2_000);
    assert_eq!(stream.verify().findings, []);
    let bytes: usize = stream.records.iter().map(|record| record.text.len()).sum();
    assert!(bytes < 240 * bytes_per_start, "{bytes} bytes for 240 starts");
}

/// Guards against times that decrease because the clock of the instance went back.
#[test]
fn a_clock_that_goes_back_does_not_date_entries_back() {
    let mut writer = writer("a1", START_MS);
    let mut stream = Stream::default();
    let reason = bamboocart_core::account::StartReason::Order;
    let facts: [Fact; 2] = [admit(1, "a", 0), start(1, "a", reason)];
    for (at_ms, fact) in [START_MS + 900, START_MS + 100].into_iter().zip(facts) {
        writer.record(ms(at_ms), fact);
        stream.drain(&mut writer, START_MS + 1_000);
    }
    let report = stream.verify();
    assert_eq!(report.findings, []);
    assert_eq!(report.incarnations[0].last_at, Some(ms(START_MS + 1_000)));
}
