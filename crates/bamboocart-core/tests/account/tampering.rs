//! Tests that alterations of the stream are found and that failures are not mistaken for
//! them.

use bamboocart_core::account::{Fault, GapCause, GapReport};
use proptest::prelude::*;
use serde_json::json;
use yare::parameterized;

use crate::stream::{START_MS, Stream, clean, faults, ms, record_served, served, writer};

/// Guards against findings in a stream that was not altered.
#[test]
fn a_clean_stream_passes() {
    let report = clean().verify();
    assert_eq!(report.findings, []);
    let [summary] = &report.incarnations[..] else { panic!("{report:?}") };
    assert!(summary.closed);
    assert_eq!((summary.batches, summary.entries, summary.last_sequence), (5, 40, 40));
    assert_eq!(summary.gaps, []);
    assert_eq!(summary.customers[&"amman".into()].complete, 10);
    assert_eq!(summary.starts.unchecked, 0);
}

/// Guards against alterations that verification does not find.
#[parameterized(
    entry = {
        |s| s.edit_bytes(1, |bytes| {
            let at = bytes.windows(5).position(|w| w == b"amman").unwrap();
            bytes[at..at + 5].copy_from_slice(b"thais");
        }),
        |f| matches!(f, Fault::HashMismatch { batch: 2 }),
    },
    entry_with_new_hash = {
        |s| {
            s.edit(1, |b| {
                b["entries"][0]["fact"]["admitted"]["claim"]["rank"] = json!(3);
            });
            let rest = s.records.split_off(2);
            s.rehash_from(1);
            s.records.extend(rest);
        },
        |f| matches!(f, Fault::ChainBroken { batch: 3 }),
    },
    longer_encoding_of_a_number = {
        |s| {
            // The instance's name and the incarnation take 12 bytes.
            s.edit_bytes(4, |bytes| drop(bytes.splice(12..13, [251, bytes[12], 0])));
            s.rehash_from(4);
        },
        |f| matches!(f, Fault::NotCanonical),
    },
    longer_text = {
        |s| s.records[1].text.push(' '),
        |f| matches!(f, Fault::Unreadable { .. }),
    },
    added_bytes = {
        |s| {
            s.edit_bytes(1, |bytes| bytes.push(0));
            s.rehash_from(1);
        },
        |f| matches!(f, Fault::Unreadable { .. }),
    },
    unknown_name = {
        |s| s.edit_bytes(1, |bytes| {
            // The target of the first start is the last of the six names.
            let target = bytes.windows(4).position(|w| w == [0, 1, 5, 0]).unwrap();
            bytes[target + 2] = 6;
        }),
        |f| matches!(f, Fault::Unreadable { reason } if reason.contains("refers")),
    },
    format_of_earlier_versions = {
        |s| s.records[1].text = "{\"account\":1}".into(),
        |f| matches!(f, Fault::Unreadable { reason } if reason.contains("format 1")),
    },
    cleared = {
        |s| s.records[1].text = String::new(),
        |f| matches!(f, Fault::Unreadable { .. }),
    },
    cleared_leaves_a_gap = {
        |s| s.records[1].text = String::new(),
        |f| matches!(f, Fault::MissingBatches { first: 2, last: 2 }),
    },
    renumbered_batch = {
        |s| s.edit(1, |b| b["batch"] = json!(9)),
        |f| matches!(f, Fault::HashMismatch { batch: 9 }),
    },
    other_instance = {
        |s| s.edit(0, |b| b["instance"] = json!("a2")),
        |f| matches!(f, Fault::ChainBroken { batch: 1 }),
    },
    swapped_entries = {
        |s| s.edit(1, |b| b["entries"].as_array_mut().unwrap().swap(0, 4)),
        |f| matches!(f, Fault::HashMismatch { batch: 2 }),
    },
    swapped_entries_with_new_hashes = {
        |s| {
            s.edit(1, |b| b["entries"].as_array_mut().unwrap().swap(0, 4));
            s.rehash_from(1);
        },
        |f| matches!(f, Fault::SequenceBroken { expected: 9, found: 13 }),
    },
    dropped_entry_with_new_hashes = {
        |s| {
            s.edit(1, |b| drop(b["entries"].as_array_mut().unwrap().remove(2)));
            s.rehash_from(1);
        },
        |f| matches!(f, Fault::SequenceBroken { expected: 11, found: 12 }),
    },
    dropped_record = {
        |s| drop(s.records.remove(2)),
        |f| matches!(f, Fault::MissingOffsets { first: 2, last: 2 }),
    },
    dropped_batch = {
        |s| {
            s.records.remove(2);
            s.renumber();
        },
        |f| matches!(f, Fault::MissingBatches { first: 3, last: 3 }),
    },
    dropped_first_batch = {
        |s| {
            s.records.remove(0);
            s.renumber();
        },
        |f| matches!(f, Fault::MissingBatches { first: 1, last: 1 }),
    },
    dropped_batch_with_new_numbers = {
        |s| {
            s.records.remove(2);
            s.edit(2, |b| b["batch"] = json!(3));
            s.edit(3, |b| b["batch"] = json!(4));
            s.renumber();
            s.rehash_from(2);
        },
        |f| matches!(f, Fault::ChainBroken { batch: 3 }),
    },
    swapped_batches = {
        |s| {
            let text = s.records[1].text.clone();
            s.records[1].text = s.records[2].text.clone();
            s.records[2].text = text;
        },
        |f| matches!(f, Fault::MisplacedBatch { batch: 2 }),
    },
    swapped_records = {
        |s| s.records.swap(1, 2),
        |f| matches!(f, Fault::OffsetsNotRising { previous: 2, offset: 1 }),
    },
    back_dated_entry = {
        |s| {
            s.edit(1, |b| b["entries"][3]["at"] = json!((START_MS + 1_400) * 1_000));
            s.rehash_from(1);
        },
        |f| matches!(f, Fault::BackDated { early_us: 100_000 }),
    },
    entry_dated_before_the_batch_in_front = {
        |s| {
            s.edit(1, |b| b["entries"][0]["at"] = json!((START_MS + 900) * 1_000));
            s.rehash_from(1);
        },
        |f| matches!(f, Fault::BackDated { early_us: 100_000 }),
    },
    back_dated_batch = {
        |s| {
            s.edit(3, |b| {
                let at = json!((START_MS + 2_100) * 1_000);
                b["formed"] = at.clone();
                for entry in b["entries"].as_array_mut().unwrap() {
                    entry["at"] = at.clone();
                }
            });
            s.rehash_from(3);
        },
        |f| matches!(f, Fault::BackDated { early_us: 900_000 }),
    },
    back_dated_before_the_process = {
        |s| {
            s.edit(0, |b| b["entries"][0]["at"] = json!((START_MS - 1) * 1_000));
            s.rehash_from(0);
        },
        |f| matches!(f, Fault::BackDated { early_us: 1_000 }),
    },
    post_dated_batch = {
        |s| s.records.iter_mut().for_each(|r| r.at_ms -= 60_000),
        |f| matches!(f, Fault::PostDated { .. }),
    },
    back_dated_append = {
        |s| s.records[3].at_ms -= 10_000,
        |f| matches!(f, Fault::AppendTimeWentBack { back_ms: 9_000 }),
    },
    other_content_under_a_used_number = {
        |s| {
            let mut copy = s.clone();
            copy.edit(1, |b| b["entries"] = json!([]));
            copy.rehash_from(1);
            s.append(START_MS + 6_000, &copy.records[1].text);
        },
        |f| matches!(f, Fault::MisplacedBatch { batch: 2 }),
    },
    added_after_the_end = {
        |s| {
            s.append(START_MS + 6_000, &s.records[4].text.clone());
            s.edit(5, |b| b["batch"] = json!(6));
            s.rehash_from(5);
        },
        |f| matches!(f, Fault::AfterClose { batch: 6 }),
    },
)]
fn alterations_are_found(alter: fn(&mut Stream), expected: fn(&Fault) -> bool) {
    let mut stream = clean();
    alter(&mut stream);
    let report = stream.verify();
    assert!(faults(&report).into_iter().any(expected), "{:#?}", report.findings);
}

/// Guards against an attacker who dates all last batches back and recomputes all hashes:
/// a batch cannot be formed before its predecessor was appended.
#[test]
fn a_tail_dated_before_its_predecessors_append_is_found() {
    let mut stream = Stream::default();
    let mut writer = writer("a1", START_MS);
    let facts = served(1, "amman");
    writer.record(ms(START_MS + 10), facts[0].clone());
    stream.drain(&mut writer, START_MS + 60_000);
    // The altered entry is dated 20 s, but the first batch was only appended at 60 s.
    let mut early = stream.clone();
    writer.record(ms(START_MS + 70_000), facts[1].clone());
    stream.drain(&mut writer, START_MS + 70_000);
    assert_eq!(stream.verify().findings, []);
    early.records = stream.records;
    early.edit(0, |batch| batch["formed"] = json!((START_MS + 15) * 1_000));
    early.edit(1, |batch| {
        batch["formed"] = json!((START_MS + 20_000) * 1_000);
        batch["entries"][0]["at"] = json!((START_MS + 20_000) * 1_000);
    });
    early.rehash_from(0);
    let report = early.verify();
    assert_eq!(faults(&report), [&Fault::BackDated { early_us: 38_000_000 }]);
}

/// Guards against findings for a batch that is appended again after a lost response, and
/// against counting its entries twice.
#[test]
fn a_repeated_batch_is_ignored() {
    let mut stream = clean();
    let copy = stream.records[2].clone();
    stream.records.insert(3, copy.clone());
    stream.renumber();
    stream.append(START_MS + 20_000, &copy.text);
    let report = stream.verify();
    assert_eq!(report.findings, []);
    let summary = &report.incarnations[0];
    assert_eq!((summary.batches, summary.repeats, summary.entries), (5, 2, 40));
}

/// Guards against a crash after which the account looks complete.
#[test]
fn a_crash_is_a_gap_up_to_the_successor() {
    let mut stream = Stream::default();
    let mut first = writer("a1", START_MS);
    record_served(&mut first, 1, START_MS + 500);
    stream.drain(&mut first, START_MS + 1_000);
    record_served(&mut first, 2, START_MS + 1_500);
    // The process crashes with the last entries in memory.
    let mut second = writer("a1", START_MS + 9_000);
    record_served(&mut second, 3, START_MS + 9_500);
    second.close(ms(START_MS + 9_900));
    stream.drain(&mut second, START_MS + 10_000);
    let report = stream.verify();
    assert_eq!(report.findings, []);
    let gap = GapReport {
        cause: GapCause::NotClosed,
        first_sequence: 5,
        last_sequence: None,
        from: Some(ms(START_MS + 500)),
        until: Some(ms(START_MS + 9_000)),
    };
    assert_eq!(report.incarnations[0].gaps, [gap]);
    assert_eq!(report.incarnations[1].gaps, []);
}

/// Guards against late or dropped entries of an outage that are not listed as gaps, and
/// against findings for them.
#[parameterized(late = { 100, 0 }, dropped = { 6, 15 })]
fn an_outage_is_a_gap(max_buffered: usize, dropped: u64) {
    let mut stream = Stream::default();
    let incarnation = bamboocart_core::id::Incarnation(START_MS * 1_000);
    let mut writer = bamboocart_core::account::AccountWriter::with_limit(
        "a1".into(),
        incarnation,
        max_buffered,
    );
    for request in 0..5 {
        for fact in served(request, "amman") {
            writer.record(ms(START_MS + 1_000 * request), fact);
        }
    }
    assert_eq!(writer.dropped(), dropped);
    stream.drain(&mut writer, START_MS + 60_000);
    for fact in served(9, "amman") {
        writer.record(ms(START_MS + 60_500), fact);
        stream.drain(&mut writer, START_MS + 60_600);
    }
    writer.close(ms(START_MS + 61_000));
    stream.drain(&mut writer, START_MS + 61_000);
    let report = stream.verify();
    assert_eq!(report.findings, []);
    let gaps = &report.incarnations[0].gaps;
    let late = gaps.iter().find(|gap| gap.cause == GapCause::Delayed).unwrap();
    assert_eq!((late.first_sequence, late.from), (1, Some(ms(START_MS))));
    assert_eq!(late.until, Some(ms(START_MS + 60_000)));
    let missing = gaps.iter().find(|gap| gap.cause == GapCause::Dropped);
    assert_eq!(missing.is_some(), dropped > 0);
    if let Some(gap) = missing {
        assert_eq!((gap.first_sequence, gap.last_sequence), (6, Some(20)));
        assert_eq!(gap.until, Some(ms(START_MS + 4_000)));
    }
}

/// Guards against a gap whose bounds are narrowed to hide dropped entries, and against an
/// account that is closed before its last gap is recorded.
#[test]
fn a_gap_with_altered_bounds_is_found() {
    let mut stream = Stream::default();
    let incarnation = bamboocart_core::id::Incarnation(START_MS * 1_000);
    let mut writer =
        bamboocart_core::account::AccountWriter::with_limit("a1".into(), incarnation, 3);
    record_served(&mut writer, 1, START_MS);
    writer.close(ms(START_MS));
    stream.drain(&mut writer, START_MS);
    stream
        .edit(1, |batch| batch["entries"][0]["fact"]["gap"]["last_sequence"] = 3.into());
    stream.rehash_from(1);
    let report = stream.verify();
    let fault = Fault::SequenceBroken { expected: 3, found: 5 };
    assert_eq!(faults(&report), [&fault]);
}

/// Guards against findings for records that have expired in the log.
#[test]
fn an_expired_beginning_is_a_gap() {
    let mut stream = clean();
    stream.records.drain(..2);
    let report = stream.verify();
    assert_eq!(report.findings, []);
    let gap = &report.incarnations[0].gaps[0];
    assert_eq!(gap.cause, GapCause::Expired);
    assert_eq!((gap.first_sequence, gap.last_sequence), (1, Some(16)));
}

proptest! {
    /// Guards against parts of a record that no check covers.
    #[test]
    fn every_changed_character_is_found(
        record in 0usize..5,
        position in any::<prop::sample::Index>(),
        character in "[ -~]",
    ) {
        let mut stream = clean();
        let text = &mut stream.records[record].text;
        let position = position.index(text.len());
        prop_assume!(text[position..=position] != character);
        text.replace_range(position..=position, &character);
        prop_assert!(!stream.verify().is_clean());
    }
}
