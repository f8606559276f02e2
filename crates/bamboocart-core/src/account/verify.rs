//! Verifies the account, using only the records of its stream and the configured floors.

use std::collections::{BTreeMap, HashMap};

use super::batch::DecodedBatch;
use super::entry::{Entry, Fact, StartReason};
use super::fault::{Fault, Finding};
use super::floor::Floors;
use super::incarnation::{Faults, IncarnationVerifier};
use super::position::BatchPosition;
use super::summary::VerifyReport;
use crate::id::{Incarnation, InstanceName, SubmissionId};

/// The maximum number of listed findings; further ones are only counted.
const MAX_FINDINGS: usize = 10_000;

/// One record of the log stream `account`.
#[derive(Debug, Copy, Clone)]
pub struct StreamRecord<'a> {
    /// The offset of the record in the stream.
    pub offset: u64,
    /// The append time by the log's clock, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The text of the record.
    pub text: &'a str,
}

/// The tolerances of verification.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub struct VerifySettings {
    /// The allowed difference between the clocks of the instances and of the log.
    pub clock_tolerance_ms: u64,
    /// The time from an entry to its append above which the entry is listed as delayed.
    pub delay_ms: u64,
    /// How far a waiting customer may be behind, as a multiple of the sum of the largest
    /// task costs of both customers.
    ///
    /// The default is 2: 1 is the bound of start-time fair queueing, and 1 covers what a
    /// gap hides.
    pub share_tolerance_tasks: u32,
}

impl Default for VerifySettings {
    fn default() -> Self {
        Self { clock_tolerance_ms: 2_000, delay_ms: 10_000, share_tolerance_tasks: 2 }
    }
}

/// Verifies all records of the stream, which must be in the order of their offsets.
pub fn verify<'a>(
    records: impl IntoIterator<Item = StreamRecord<'a>>,
    settings: VerifySettings,
    floors: Floors,
) -> VerifyReport {
    let mut verifier = Verifier::new(settings, floors);
    for record in records {
        verifier.read(&record);
    }
    verifier.finish()
}

/// An incarnation of an instance.
pub(super) type AccountKey = (InstanceName, Incarnation);

/// Verifies an account record by record, so that a long stream can be read in pages.
#[derive(Debug)]
pub struct Verifier {
    settings: VerifySettings,
    floors: Floors,
    report: VerifyReport,
    /// The offset and the append time (ms) of the first record.
    start: Option<(u64, u64)>,
    /// The offset and the append time (ms) of the previous record.
    previous: Option<(u64, u64)>,
    accounts: BTreeMap<AccountKey, IncarnationVerifier>,
    /// The incarnation that first started each submission, by a hash of its id.
    starters: HashMap<[u8; 16], AccountKey>,
}

impl Verifier {
    /// Creates a verifier that has read no record.
    ///
    /// Starts by a floor are only checked if `floors` contains the version in force.
    pub fn new(settings: VerifySettings, floors: Floors) -> Self {
        Self {
            settings,
            floors,
            report: VerifyReport::default(),
            start: None,
            previous: None,
            accounts: BTreeMap::new(),
            starters: HashMap::new(),
        }
    }

    /// Verifies one record; records must be passed in the order of their offsets.
    pub fn read(&mut self, record: &StreamRecord<'_>) {
        self.check_position(record);
        let (batch, computed) = match DecodedBatch::decode(record.text) {
            Ok(batch) => batch,
            Err(error) => {
                let reason = error.to_string();
                self.add_finding(record, None, None, Fault::Unreadable { reason });
                return;
            }
        };
        let key = (batch.instance.clone(), batch.incarnation);
        let mut faults = Vec::new();
        let written = batch.encode();
        if written.hash != computed {
            faults.push((None, Fault::NotCanonical));
        }
        let tolerance = self.settings.share_tolerance_tasks;
        let account = self
            .accounts
            .entry(key.clone())
            .or_insert_with(|| IncarnationVerifier::new(&key, tolerance));
        let position = BatchPosition {
            record,
            is_full: written.is_full,
            stream_start: self.start,
            settings: self.settings,
        };
        let entries = account.check_batch(batch, computed, &position, &mut faults);
        for entry in entries {
            self.check_starter(&key, &entry, &mut faults);
            let sequence = entry.sequence;
            let mut found = Vec::new();
            if let Some(account) = self.accounts.get_mut(&key) {
                account.replay.apply(entry, &self.floors, &mut found);
            }
            faults.extend(found.into_iter().map(|fault| (Some(sequence), fault)));
        }
        for (sequence, fault) in faults {
            self.add_finding(record, Some(&key), sequence, fault);
        }
    }

    /// Checks the offset and the append time against the previous record.
    fn check_position(&mut self, record: &StreamRecord<'_>) {
        let (offset, at_ms) = (record.offset, record.at_ms);
        self.start.get_or_insert((offset, at_ms));
        let Some((previous, previous_ms)) = self.previous.replace((offset, at_ms)) else {
            return;
        };
        if offset <= previous {
            let fault = Fault::OffsetsNotRising { previous, offset };
            self.add_finding(record, None, None, fault);
        } else if offset > previous + 1 {
            let (first, last) = (previous + 1, offset - 1);
            self.add_finding(record, None, None, Fault::MissingOffsets { first, last });
        }
        let back_ms = previous_ms.saturating_sub(at_ms);
        if back_ms > self.settings.clock_tolerance_ms {
            self.add_finding(record, None, None, Fault::AppendTimeWentBack { back_ms });
        }
    }

    /// Checks that no other incarnation has started the submission of an entry.
    fn check_starter(&mut self, key: &AccountKey, entry: &Entry, faults: &mut Faults) {
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

    /// Adds a finding, or only counts it beyond [`MAX_FINDINGS`].
    fn add_finding(
        &mut self,
        record: &StreamRecord<'_>,
        account: Option<&AccountKey>,
        sequence: Option<u64>,
        fault: Fault,
    ) {
        if self.report.findings.len() == MAX_FINDINGS {
            self.report.omitted += 1;
            return;
        }
        let (offset, account) = (record.offset, account.cloned());
        self.report.findings.push(Finding { offset, account, sequence, fault });
    }

    /// Returns the report with the summaries of all incarnations.
    pub fn finish(mut self) -> VerifyReport {
        let mut later: Option<(InstanceName, Incarnation)> = None;
        let mut summaries = Vec::new();
        for (key, account) in std::mem::take(&mut self.accounts).into_iter().rev() {
            let successor = later.filter(|(instance, _)| *instance == key.0);
            summaries.push(account.finish(successor.map(|(_, incarnation)| incarnation)));
            later = Some(key);
        }
        summaries.reverse();
        self.report.incarnations = summaries;
        self.report
    }
}

/// Returns a short hash of a submission id, which limits the memory use for long streams.
fn digest(submission: &SubmissionId) -> [u8; 16] {
    let hash = blake3::hash(submission.to_string().as_bytes());
    let mut digest = [0; 16];
    digest.copy_from_slice(&hash.as_bytes()[..16]);
    digest
}
