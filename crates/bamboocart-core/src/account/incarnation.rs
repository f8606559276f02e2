//! Checks the hash chain, the sequence numbers and the times of one incarnation's
//! account.

use std::collections::{BTreeMap, HashMap};

use super::batch::{ChainHash, DecodedBatch};
use super::entry::{Entry, Fact};
use super::fault::Fault;
use super::order::OrderReplay;
use super::position::BatchPosition;
use super::summary::{GapCause, GapReport, IncarnationSummary};
use super::verify::AccountKey;
use crate::id::Incarnation;
use crate::time::{Timestamp, US_PER_MS};

/// What later checks need to know about the previous batch.
#[derive(Debug, Copy, Clone)]
pub(super) struct Predecessor {
    /// When it was formed.
    pub(super) formed: Timestamp,
    /// When it was appended.
    pub(super) appended: Timestamp,
    /// Whether it had no space left for another entry.
    pub(super) was_full: bool,
}

/// The faults of one record, each with the sequence number of its entry, if it has one.
pub(super) type Faults = Vec<(Option<u64>, Fault)>;

/// Verifies the account of one incarnation.
#[derive(Debug)]
pub(super) struct IncarnationVerifier {
    pub(super) incarnation: Incarnation,
    /// The hash of each batch that was read, by batch number.
    pub(super) batch_hashes: HashMap<u64, ChainHash>,
    /// The expected number of the next batch.
    pub(super) next_batch: u64,
    /// The expected sequence number of the next entry, or `None` after missing batches.
    pub(super) next_sequence: Option<u64>,
    /// The earliest time that the next entry may have.
    pub(super) last_at: Timestamp,
    /// The previous batch, or `None` if it is missing.
    pub(super) predecessor: Option<Predecessor>,
    /// The replay of the queues, which checks the order of starts.
    pub(super) replay: OrderReplay,
    pub(super) summary: IncarnationSummary,
}

impl IncarnationVerifier {
    /// Creates a verifier that has read no batch.
    pub(super) fn new((instance, incarnation): &AccountKey, tolerance: u32) -> Self {
        let replay = OrderReplay::new(tolerance);
        let summary = IncarnationSummary {
            instance: instance.clone(),
            incarnation: *incarnation,
            batches: 0,
            repeats: 0,
            entries: 0,
            last_sequence: 0,
            first_at: None,
            last_at: None,
            head: ChainHash::genesis(instance, *incarnation),
            closed: false,
            gaps: Vec::new(),
            starts: Default::default(),
            customers: BTreeMap::new(),
        };
        Self {
            incarnation: *incarnation,
            batch_hashes: HashMap::new(),
            next_batch: 1,
            next_sequence: Some(1),
            last_at: Timestamp::from_us(incarnation.0),
            predecessor: None,
            replay,
            summary,
        }
    }

    /// Checks a batch and returns its entries, or none if it is a duplicate or misplaced.
    pub(super) fn check_batch(
        &mut self,
        batch: DecodedBatch,
        computed: ChainHash,
        position: &BatchPosition<'_>,
        faults: &mut Faults,
    ) -> Vec<Entry> {
        let number = batch.batch;
        if self.batch_hashes.get(&number) == Some(&computed) && computed == batch.hash {
            self.summary.repeats += 1;
            return Vec::new();
        }
        if number < self.next_batch {
            faults.push((None, Fault::MisplacedBatch { batch: number }));
            return Vec::new();
        }
        if self.summary.closed {
            faults.push((None, Fault::AfterClose { batch: number }));
        }
        if computed != batch.hash {
            faults.push((None, Fault::HashMismatch { batch: number }));
        }
        match number == self.next_batch {
            true if batch.previous != self.summary.head => {
                faults.push((None, Fault::ChainBroken { batch: number }));
            }
            true => {}
            false => self.record_missing_batches(number, position, faults),
        }
        self.check_formed_time(&batch, position, faults);
        self.check_entries(&batch, position, faults);
        self.advance(&batch, position);
        batch.entries
    }

    /// Records that the batches before `number` are missing, and adds a fault unless they
    /// may have expired.
    fn record_missing_batches(
        &mut self,
        number: u64,
        position: &BatchPosition<'_>,
        faults: &mut Faults,
    ) {
        let (first, last) = (self.next_batch, number - 1);
        let expired = first == 1 && position.may_have_expired(self.incarnation);
        if !expired {
            faults.push((None, Fault::MissingBatches { first, last }));
        }
        let cause = match expired {
            true => GapCause::Expired,
            false => GapCause::Missing,
        };
        self.summary.gaps.push(GapReport {
            cause,
            first_sequence: self.summary.last_sequence + 1,
            last_sequence: None,
            from: Some(self.last_at),
            until: None,
        });
        self.replay.forget();
        self.next_sequence = None;
        self.predecessor = None;
    }

    /// Checks the time of the batch against the previous batch and against its append.
    fn check_formed_time(
        &self,
        batch: &DecodedBatch,
        position: &BatchPosition<'_>,
        faults: &mut Faults,
    ) {
        let late_us = batch.formed.us_since(position.appended());
        if late_us > position.tolerance_us() {
            faults.push((None, Fault::PostDated { late_us }));
        }
        // An instance forms a batch only after the append of the previous one is
        // confirmed.
        let earliest = self.predecessor.map_or(self.last_at, |before| before.formed);
        let mut early_us = earliest.us_since(batch.formed);
        if let Some(before) = self.predecessor {
            let since_append = before.appended.us_since(batch.formed);
            early_us = early_us.max(since_append.saturating_sub(position.tolerance_us()));
        }
        if early_us > 0 {
            faults.push((None, Fault::BackDated { early_us }));
        }
    }

    /// Checks the sequence numbers and the times of a batch's entries.
    fn check_entries(
        &mut self,
        batch: &DecodedBatch,
        position: &BatchPosition<'_>,
        faults: &mut Faults,
    ) {
        // An entry that was recorded before the previous batch was formed is in that
        // batch, unless the batch was full.
        if let Some(before) = self.predecessor.filter(|before| !before.was_full) {
            self.last_at = self.last_at.max(before.formed);
        }
        for entry in &batch.entries {
            self.check_sequence(entry, faults);
            self.check_time(entry, batch, faults);
        }
        self.record_delay(&batch.entries, position);
    }

    /// Checks that no entry is missing before this one, and records gaps.
    fn check_sequence(&mut self, entry: &Entry, faults: &mut Faults) {
        let found = entry.sequence;
        let first_new = match &entry.fact {
            Fact::Gap(gap) if found == gap.last_sequence + 1 => gap.first_sequence,
            _ => found,
        };
        match self.next_sequence {
            Some(expected) if expected != first_new => {
                faults.push((Some(found), Fault::SequenceBroken { expected, found }));
                self.replay.forget();
            }
            Some(_) => {}
            None => self.close_gap(first_new, entry.at),
        }
        self.next_sequence = Some(found + 1);
        if let Fact::Gap(gap) = &entry.fact {
            self.summary.gaps.push(GapReport {
                cause: GapCause::Dropped,
                first_sequence: gap.first_sequence,
                last_sequence: Some(gap.last_sequence),
                from: Some(gap.from),
                until: Some(gap.until),
            });
        }
    }

    /// Sets the end of the gap that missing batches left.
    fn close_gap(&mut self, next_sequence: u64, at: Timestamp) {
        if let Some(gap) = self.summary.gaps.last_mut()
            && gap.last_sequence.is_none()
        {
            gap.last_sequence = Some(next_sequence.saturating_sub(1));
            gap.until = Some(at);
        }
    }

    /// Checks that times do not decrease and are not later than that of the batch.
    fn check_time(&mut self, entry: &Entry, batch: &DecodedBatch, faults: &mut Faults) {
        let early_us = self.last_at.us_since(entry.at);
        if early_us > 0 {
            faults.push((Some(entry.sequence), Fault::BackDated { early_us }));
        }
        let late_us = entry.at.us_since(batch.formed);
        if late_us > 0 {
            faults.push((Some(entry.sequence), Fault::PostDated { late_us }));
        }
        self.last_at = self.last_at.max(entry.at);
        self.summary.first_at.get_or_insert(entry.at);
        self.summary.last_at = Some(entry.at);
    }

    /// Records entries that were appended late as a gap, or extends the adjoining one.
    fn record_delay(&mut self, entries: &[Entry], position: &BatchPosition<'_>) {
        let limit_us = position.settings.delay_ms * US_PER_MS;
        let is_late = |entry: &&Entry| position.appended().us_since(entry.at) > limit_us;
        let mut late = entries.iter().filter(is_late);
        let Some(first) = late.next() else {
            return;
        };
        let last = late.next_back().unwrap_or(first);
        let until = Some(position.appended());
        let last_sequence = Some(last.sequence);
        let adjoins = |gap: &&mut GapReport| {
            gap.cause == GapCause::Delayed
                && gap.last_sequence.is_some_and(|known| known + 1 == first.sequence)
        };
        if let Some(gap) = self.summary.gaps.last_mut().filter(adjoins) {
            gap.last_sequence = last_sequence;
            gap.until = until;
            return;
        }
        self.summary.gaps.push(GapReport {
            cause: GapCause::Delayed,
            first_sequence: first.sequence,
            last_sequence,
            from: Some(first.at),
            until,
        });
    }

    /// Updates the expected values and the summary after a batch.
    fn advance(&mut self, batch: &DecodedBatch, position: &BatchPosition<'_>) {
        self.batch_hashes.insert(batch.batch, batch.hash);
        self.next_batch = batch.batch + 1;
        self.predecessor = Some(Predecessor {
            formed: batch.formed,
            appended: position.appended(),
            was_full: position.is_full,
        });
        let summary = &mut self.summary;
        summary.head = batch.hash;
        summary.closed |= batch.closes;
        summary.batches += 1;
        summary.entries += batch.entries.len() as u64;
        if let Some(next) = self.next_sequence {
            summary.last_sequence = next - 1;
        }
    }

    /// Returns the summary, with a final gap if the account was not closed.
    ///
    /// The gap lasts until the start of `successor`, the instance's next incarnation.
    pub(super) fn finish(mut self, successor: Option<Incarnation>) -> IncarnationSummary {
        if !self.summary.closed {
            self.summary.gaps.push(GapReport {
                cause: GapCause::NotClosed,
                first_sequence: self.summary.last_sequence + 1,
                last_sequence: None,
                from: Some(self.last_at),
                until: successor.map(|later| Timestamp::from_us(later.0)),
            });
        }
        self.summary.starts = self.replay.starts;
        self.summary.customers = self.replay.customers;
        self.summary
    }
}
