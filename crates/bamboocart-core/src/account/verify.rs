//! Checks the account from the records of its stream alone.

use std::collections::{BTreeMap, HashMap};

use super::batch::{BATCH_FORMAT, Head, SealedBatch};
use super::entry::{Entry, Fact, StartReason};
use super::fault::{Fault, Finding};
use super::order::OrderReplay;
use super::summary::{GapCause, GapReport, IncarnationSummary, Verdict};
use crate::id::{Incarnation, InstanceName, SubmissionId};
use crate::time::{Timestamp, US_PER_MS};

/// The findings that are listed; further ones are only counted.
const MAX_FINDINGS: usize = 10_000;

/// One record of the stream `account`.
#[derive(Debug, Copy, Clone)]
pub struct StreamRecord<'a> {
    /// The offset.
    pub offset: u64,
    /// The time of the append by the log's clock.
    pub at_ms: u64,
    /// The text.
    pub text: &'a str,
}

/// The tolerances of verification.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub struct VerifySettings {
    /// The difference that is allowed between the clocks of instances and of the log.
    pub clock_tolerance_ms: u64,
    /// The time from an entry to its append beyond which it is listed as delayed.
    pub delay_ms: u64,
    /// How far a waiting customer may be behind, in largest tasks of both customers. One
    /// is the bound of start-time fair queueing, one covers what a gap hides.
    pub share_tolerance_tasks: u32,
}

impl Default for VerifySettings {
    fn default() -> Self {
        Self { clock_tolerance_ms: 2_000, delay_ms: 10_000, share_tolerance_tasks: 2 }
    }
}

/// Checks all records of the stream, in the order of their offsets.
pub fn verify<'a>(
    records: impl IntoIterator<Item = StreamRecord<'a>>,
    settings: VerifySettings,
) -> Verdict {
    let mut verifier = Verifier::new(settings);
    for record in records {
        verifier.read(&record);
    }
    verifier.finish()
}

/// An incarnation of an instance.
type AccountKey = (InstanceName, Incarnation);

/// A verification that takes the records one by one, so that a long stream can be read
/// in pages.
#[derive(Debug)]
pub struct Verifier {
    /// The tolerances.
    settings: VerifySettings,
    /// The findings so far.
    verdict: Verdict,
    /// The offset and time of the first record.
    start: Option<(u64, u64)>,
    /// The offset and time of the record before.
    last: Option<(u64, u64)>,
    /// The incarnations.
    accounts: BTreeMap<AccountKey, Account>,
    /// The incarnation that first started each submission, by a hash of its id.
    starters: HashMap<[u8; 16], AccountKey>,
}

impl Verifier {
    /// Creates a verification that has seen no record.
    pub fn new(settings: VerifySettings) -> Self {
        Self {
            settings,
            verdict: Verdict::default(),
            start: None,
            last: None,
            accounts: BTreeMap::new(),
            starters: HashMap::new(),
        }
    }

    /// Checks one record; records must come in the order of their offsets.
    pub fn read(&mut self, record: &StreamRecord<'_>) {
        self.check_position(record);
        let batch: SealedBatch = match serde_json::from_str(record.text) {
            Ok(batch) => batch,
            Err(error) => {
                let reason = error.to_string();
                self.add(record, None, None, Fault::Unreadable { reason });
                return;
            }
        };
        let key = (batch.instance.clone(), batch.incarnation);
        let mut faults = Vec::new();
        let is_written_form = batch.account == BATCH_FORMAT
            && serde_json::to_string(&batch).is_ok_and(|text| text == record.text);
        if !is_written_form {
            faults.push((None, Fault::NotCanonical));
        }
        let tolerance = self.settings.share_tolerance_tasks;
        let account = self
            .accounts
            .entry(key.clone())
            .or_insert_with(|| Account::new(&key, tolerance));
        let place = Place { record, start: self.start, settings: self.settings };
        let entries = account.read(&batch, &place, &mut faults);
        for entry in entries {
            self.check_starter(&key, &entry, &mut faults);
            let sequence = entry.sequence;
            let mut found = Vec::new();
            if let Some(account) = self.accounts.get_mut(&key) {
                account.replay.apply(entry, &mut found);
            }
            faults.extend(found.into_iter().map(|fault| (Some(sequence), fault)));
        }
        for (sequence, fault) in faults {
            self.add(record, Some(&key), sequence, fault);
        }
    }

    /// Checks offset and append time against the record before.
    fn check_position(&mut self, record: &StreamRecord<'_>) {
        let (offset, at_ms) = (record.offset, record.at_ms);
        self.start.get_or_insert((offset, at_ms));
        let Some((previous, previous_ms)) = self.last.replace((offset, at_ms)) else {
            return;
        };
        if offset <= previous {
            let fault = Fault::OffsetsNotRising { previous, offset };
            self.add(record, None, None, fault);
        } else if offset > previous + 1 {
            let (first, last) = (previous + 1, offset - 1);
            self.add(record, None, None, Fault::MissingOffsets { first, last });
        }
        let back_ms = previous_ms.saturating_sub(at_ms);
        if back_ms > self.settings.clock_tolerance_ms {
            self.add(record, None, None, Fault::AppendTimeWentBack { back_ms });
        }
    }

    /// Checks that no other incarnation has started the submission.
    fn check_starter(
        &mut self,
        key: &AccountKey,
        entry: &Entry,
        faults: &mut Vec<(Option<u64>, Fault)>,
    ) {
        let Fact::Started { subject, reason, .. } = &entry.fact else {
            return;
        };
        if matches!(reason, StartReason::Retry | StartReason::Hedge) {
            return;
        }
        let digest = digest(&subject.submission);
        let starter = self.starters.entry(digest).or_insert_with(|| key.clone());
        if starter != key {
            let submission = subject.submission.clone();
            let instance = starter.0.clone();
            let fault = Fault::StartedElsewhere { submission, instance };
            faults.push((Some(entry.sequence), fault));
        }
    }

    /// Adds a finding.
    fn add(
        &mut self,
        record: &StreamRecord<'_>,
        account: Option<&AccountKey>,
        sequence: Option<u64>,
        fault: Fault,
    ) {
        if self.verdict.findings.len() == MAX_FINDINGS {
            self.verdict.omitted += 1;
            return;
        }
        let (offset, account) = (record.offset, account.cloned());
        self.verdict.findings.push(Finding { offset, account, sequence, fault });
    }

    /// Adds the summaries and returns the result.
    pub fn finish(mut self) -> Verdict {
        let mut later: Option<(InstanceName, Incarnation)> = None;
        let mut summaries = Vec::new();
        for (key, account) in std::mem::take(&mut self.accounts).into_iter().rev() {
            let successor = later.filter(|(instance, _)| *instance == key.0);
            summaries.push(account.finish(successor.map(|(_, incarnation)| incarnation)));
            later = Some(key);
        }
        summaries.reverse();
        self.verdict.incarnations = summaries;
        self.verdict
    }
}

/// Where a batch stands in the stream.
struct Place<'a> {
    /// The record.
    record: &'a StreamRecord<'a>,
    /// The offset and time of the stream's first record.
    start: Option<(u64, u64)>,
    /// The tolerances.
    settings: VerifySettings,
}

impl Place<'_> {
    /// Returns the append time.
    fn appended(&self) -> Timestamp {
        Timestamp::from_ms(self.record.at_ms)
    }

    /// Returns the tolerance for comparisons with the log's clock.
    fn tolerance_us(&self) -> u64 {
        self.settings.clock_tolerance_ms * US_PER_MS
    }

    /// Returns whether records from the start of an incarnation may have expired.
    fn may_have_expired(&self, incarnation: Incarnation) -> bool {
        self.start.is_some_and(|(offset, at_ms)| {
            let started = Timestamp::from_us(incarnation.0);
            let oldest = Timestamp::from_ms(at_ms).plus_us(self.tolerance_us());
            offset > 0 && started < oldest
        })
    }
}

/// The batch before.
#[derive(Debug, Copy, Clone)]
struct Predecessor {
    /// When it was formed.
    formed: Timestamp,
    /// When it was appended.
    appended: Timestamp,
    /// Whether it had no room for another entry.
    full: bool,
}

/// The faults of one record with the entries that they lie in.
type Faults = Vec<(Option<u64>, Fault)>;

/// The account of one incarnation.
#[derive(Debug)]
struct Account {
    /// The start of the process.
    incarnation: Incarnation,
    /// The hash of each batch by its number.
    seen: HashMap<u64, Head>,
    /// The number of the next batch.
    next_batch: u64,
    /// The number of the next entry, unless batches before it are missing.
    next_sequence: Option<u64>,
    /// The time of the last entry.
    last_at: Timestamp,
    /// The batch before, unless it is missing.
    predecessor: Option<Predecessor>,
    /// The queues.
    replay: OrderReplay,
    /// The summary so far.
    summary: IncarnationSummary,
}

impl Account {
    /// Creates an account without batches.
    fn new((instance, incarnation): &AccountKey, tolerance: u32) -> Self {
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
            head: Head::genesis(instance, *incarnation),
            closed: false,
            gaps: Vec::new(),
            starts: Default::default(),
            customers: BTreeMap::new(),
        };
        Self {
            incarnation: *incarnation,
            seen: HashMap::new(),
            next_batch: 1,
            next_sequence: Some(1),
            last_at: Timestamp::from_us(incarnation.0),
            predecessor: None,
            replay,
            summary,
        }
    }

    /// Checks a batch and returns its entries, or none if it is a repeat or misplaced.
    fn read(
        &mut self,
        batch: &SealedBatch,
        place: &Place<'_>,
        faults: &mut Faults,
    ) -> Vec<Entry> {
        let number = batch.batch;
        let computed = batch.computed_hash();
        if self.seen.get(&number) == Some(&computed) && computed == batch.hash {
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
            false => self.skip_to(number, place, faults),
        }
        self.check_forming(batch, place, faults);
        let entries = self.read_entries(batch, place, faults);
        self.pass(batch, place);
        entries
    }

    /// Notes that batches are missing.
    fn skip_to(&mut self, number: u64, place: &Place<'_>, faults: &mut Faults) {
        let (first, last) = (self.next_batch, number - 1);
        let expired = first == 1 && place.may_have_expired(self.incarnation);
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

    /// Checks when the batch was formed against its neighbours and its append.
    fn check_forming(&self, batch: &SealedBatch, place: &Place<'_>, faults: &mut Faults) {
        let late_us = batch.formed.us_since(place.appended());
        if late_us > place.tolerance_us() {
            faults.push((None, Fault::PostDated { late_us }));
        }
        // An instance forms a batch only when it knows that the one before is in the log.
        let earliest = self.predecessor.map_or(self.last_at, |before| before.formed);
        let mut early_us = earliest.us_since(batch.formed);
        if let Some(before) = self.predecessor {
            let since_append = before.appended.us_since(batch.formed);
            early_us = early_us.max(since_append.saturating_sub(place.tolerance_us()));
        }
        if early_us > 0 {
            faults.push((None, Fault::BackDated { early_us }));
        }
    }

    /// Reads and checks the entries of a batch.
    fn read_entries(
        &mut self,
        batch: &SealedBatch,
        place: &Place<'_>,
        faults: &mut Faults,
    ) -> Vec<Entry> {
        // Entries that were recorded before the batch in front was formed are in that
        // batch, unless it was full.
        if let Some(before) = self.predecessor.filter(|before| !before.full) {
            self.last_at = self.last_at.max(before.formed);
        }
        let mut entries = Vec::with_capacity(batch.entries.len());
        for text in &batch.entries {
            let entry: Entry = match serde_json::from_str(text.get()) {
                Ok(entry) => entry,
                Err(error) => {
                    let reason = error.to_string();
                    faults.push((None, Fault::Unreadable { reason }));
                    self.next_sequence = None;
                    self.replay.forget();
                    continue;
                }
            };
            let written = serde_json::to_string(&entry);
            if !written.is_ok_and(|written| written == text.get()) {
                faults.push((Some(entry.sequence), Fault::NotCanonical));
            }
            self.check_sequence(&entry, faults);
            self.check_time(&entry, batch, faults);
            entries.push(entry);
        }
        self.note_delay(&entries, place);
        entries
    }

    /// Checks that no entry is missing before this one.
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
            None => self.bound_gap(first_new, entry.at),
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

    /// Gives the gap of missing batches its end.
    fn bound_gap(&mut self, next_sequence: u64, at: Timestamp) {
        if let Some(gap) = self.summary.gaps.last_mut()
            && gap.last_sequence.is_none()
        {
            gap.last_sequence = Some(next_sequence.saturating_sub(1));
            gap.until = Some(at);
        }
    }

    /// Checks that times rise up to the forming of the batch.
    fn check_time(&mut self, entry: &Entry, batch: &SealedBatch, faults: &mut Faults) {
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

    /// Lists entries that were appended late.
    fn note_delay(&mut self, entries: &[Entry], place: &Place<'_>) {
        let limit_us = place.settings.delay_ms * US_PER_MS;
        let is_late = |entry: &&Entry| place.appended().us_since(entry.at) > limit_us;
        let mut late = entries.iter().filter(is_late);
        let Some(first) = late.next() else {
            return;
        };
        let last = late.next_back().unwrap_or(first);
        let until = Some(place.appended());
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

    /// Moves behind a batch.
    fn pass(&mut self, batch: &SealedBatch, place: &Place<'_>) {
        self.seen.insert(batch.batch, batch.hash);
        self.next_batch = batch.batch + 1;
        self.predecessor = Some(Predecessor {
            formed: batch.formed,
            appended: place.appended(),
            full: batch.is_full(),
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

    /// Returns the summary, with a gap at the end if the account has none.
    fn finish(mut self, successor: Option<Incarnation>) -> IncarnationSummary {
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

/// Returns a short hash of a submission id, to keep the memory of long streams low.
fn digest(submission: &SubmissionId) -> [u8; 16] {
    let hash = blake3::hash(submission.to_string().as_bytes());
    let mut digest = [0; 16];
    digest.copy_from_slice(&hash.as_bytes()[..16]);
    digest
}
