//! The writing side: batches, repeats, bounds and the end.

use bamboocart_core::account::{
    Chain, Fact, MAX_BATCH_BYTES, MAX_BATCH_ENTRIES, MAX_BUFFERED_ENTRIES,
    MAX_ENTRY_BYTES,
};
use bamboocart_core::id::Incarnation;

use crate::stream::{START_MS, Stream, admit, chain, ms, start};

/// Guards against a lost answer that leads to two batches with the same entries.
#[test]
fn a_batch_is_offered_with_the_same_text_until_it_is_confirmed() {
    let mut chain = chain("a1", START_MS);
    assert_eq!(chain.next_batch(ms(START_MS)), None);
    chain.record(ms(START_MS + 1), admit(1, "a", 0));
    let first = chain.next_batch(ms(START_MS + 2)).unwrap();
    chain.record(ms(START_MS + 3), admit(2, "a", 0));
    assert_eq!(chain.next_batch(ms(START_MS + 4)), Some(first.clone()));
    chain.appended(first.number + 1);
    assert_eq!(chain.next_batch(ms(START_MS + 5)), Some(first.clone()));
    assert_eq!(chain.buffered(), 2);
    chain.appended(first.number);
    let second = chain.next_batch(ms(START_MS + 6)).unwrap();
    assert_eq!(second.number, first.number + 1);
    assert!(!second.text.contains(".1.") && second.text != first.text);
}

/// Guards against a buffer that grows without bound while the log is down, and against
/// batches beyond the limits.
#[test]
fn the_buffer_is_bounded_and_the_gap_is_stated() {
    assert_eq!(MAX_BUFFERED_ENTRIES, 200_000);
    // A tenth of the bound, which keeps the test short.
    let limit = MAX_BUFFERED_ENTRIES / 10;
    let extra = 5_000;
    let mut chain = Chain::with_limit("a1".into(), Incarnation(START_MS * 1_000), limit);
    for number in 0..limit as u64 + extra {
        chain.record(ms(START_MS + number / 1_000), admit(number, "a", 0));
    }
    // One place is kept for the entry that states the gap.
    assert_eq!(chain.buffered(), limit - 1);
    assert_eq!(chain.dropped(), extra + 1);
    let mut stream = Stream::default();
    chain.close(ms(START_MS + 300));
    stream.drain(&mut chain, START_MS + 300);
    assert!(chain.is_finished());
    for record in &stream.records {
        assert!(record.text.len() < MAX_BATCH_BYTES + MAX_ENTRY_BYTES);
    }
    assert!(stream.records.len() >= limit / MAX_BATCH_ENTRIES);
    let verdict = stream.verify();
    assert_eq!(verdict.findings, []);
    let gap = &verdict.incarnations[0].gaps[0];
    let bounds = (limit as u64, limit as u64 + extra);
    assert_eq!((gap.first_sequence, gap.last_sequence), (bounds.0, Some(bounds.1)));
}

/// Guards against an entry that no batch can hold and against entries behind the end.
#[test]
fn what_cannot_be_written_is_stated_as_a_gap() {
    let mut chain = Chain::new("a1".into(), Incarnation(START_MS * 1_000));
    chain.record(ms(START_MS), admit(1, &"x".repeat(MAX_ENTRY_BYTES), 0));
    chain.record(ms(START_MS), admit(2, "a", 0));
    chain.close(ms(START_MS));
    chain.record(ms(START_MS), admit(3, "a", 0));
    let mut stream = Stream::default();
    stream.drain(&mut chain, START_MS);
    chain.record(ms(START_MS), admit(4, "a", 0));
    stream.drain(&mut chain, START_MS);
    assert_eq!((chain.dropped(), chain.buffered()), (3, 0));
    let verdict = stream.verify();
    assert_eq!(verdict.findings, []);
    let summary = &verdict.incarnations[0];
    assert!(summary.closed);
    let gaps = summary.gaps.iter().map(|gap| (gap.first_sequence, gap.last_sequence));
    assert_eq!(gaps.collect::<Vec<_>>(), [(1, Some(1)), (4, Some(4))]);
}

/// Guards against times that go back with the clock of the instance.
#[test]
fn a_clock_that_goes_back_does_not_date_entries_back() {
    let mut chain = chain("a1", START_MS);
    let mut stream = Stream::default();
    let reason = bamboocart_core::account::StartReason::Order;
    let facts: [Fact; 2] = [admit(1, "a", 0), start(1, "a", reason)];
    for (at_ms, fact) in [START_MS + 900, START_MS + 100].into_iter().zip(facts) {
        chain.record(ms(at_ms), fact);
        stream.drain(&mut chain, START_MS + 1_000);
    }
    let verdict = stream.verify();
    assert_eq!(verdict.findings, []);
    assert_eq!(verdict.incarnations[0].last_at, Some(ms(START_MS + 1_000)));
}
