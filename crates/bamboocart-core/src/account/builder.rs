//! Collects entries and encodes them in compact form for the next batch.

use std::collections::HashMap;
use std::sync::Arc;

use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use serde::Serialize;

use super::batch::{MAX_BATCH_BYTES, MAX_BATCH_ENTRIES, MAX_ENTRY_BYTES};
use super::entry::{Entry, Fact, Subject};
use super::row::{
    FactRow, FinishedRow, IdRow, NameIndex, RefusedRow, Row, SchedulingParamsRow,
    StartedRow, SubjectIndex, SubjectRow,
};
use crate::id::{Incarnation, InstanceName, SubmissionId};

/// The bincode settings: variable-length integers and a limit on decoder allocations.
pub(super) const CODEC: Configuration<LittleEndian, Varint, Limit<MAX_DECODED_BYTES>> =
    bincode::config::standard().with_limit::<MAX_DECODED_BYTES>();

/// The maximum number of bytes that decoding one batch may allocate.
///
/// The largest batch stays far below it: an index of one byte takes four in memory.
const MAX_DECODED_BYTES: usize = 16 * MAX_BATCH_BYTES;

/// The maximum encoded size of an entry and its subject without their names.
const MAX_FIXED_BYTES: usize = 160;

/// Encoded entries, with the names and subjects that they refer to.
#[derive(Debug, Default)]
pub(super) struct EncodedEntries {
    name_count: usize,
    /// The encoded names.
    name_bytes: Vec<u8>,
    subject_count: usize,
    /// The encoded subjects.
    subject_bytes: Vec<u8>,
    pub(super) entry_count: usize,
    /// The encoded entries.
    entry_bytes: Vec<u8>,
}

impl EncodedEntries {
    /// Returns the encoded size in bytes, without the three counts.
    pub(super) fn bytes(&self) -> usize {
        self.name_bytes.len() + self.subject_bytes.len() + self.entry_bytes.len()
    }

    /// Returns whether another entry of the maximum size might not fit.
    pub(super) fn is_full(&self) -> bool {
        self.entry_count >= MAX_BATCH_ENTRIES
            || self.bytes() + MAX_ENTRY_BYTES > MAX_BATCH_BYTES
    }

    /// Appends the names, the subjects and the entries, each list preceded by its length.
    pub(super) fn write(&self, out: &mut Vec<u8>) {
        let parts = [
            (self.name_count, &self.name_bytes),
            (self.subject_count, &self.subject_bytes),
            (self.entry_count, &self.entry_bytes),
        ];
        for (count, bytes) in parts {
            encode_into(out, &(count as u64));
            out.extend_from_slice(bytes);
        }
    }
}

/// Encodes the entries of the next batch one by one, storing each name and subject once.
#[derive(Debug)]
pub(super) struct BatchBuilder {
    instance: InstanceName,
    /// The run of the instance's process.
    incarnation: Incarnation,
    /// What was encoded so far.
    pub(super) content: EncodedEntries,
    /// The index of each name in the batch.
    names: HashMap<Arc<str>, NameIndex>,
    /// The index of each subject in the batch.
    subjects: HashMap<Subject, SubjectIndex>,
    /// The sequence number and the time (us) of the last entry, for delta encoding.
    last_entry: (u64, u64),
}

impl BatchBuilder {
    pub(super) fn new(instance: InstanceName, incarnation: Incarnation) -> Self {
        Self {
            instance,
            incarnation,
            content: EncodedEntries::default(),
            names: HashMap::new(),
            subjects: HashMap::new(),
            last_entry: (0, 0),
        }
    }

    /// Takes the content and leaves the builder empty.
    pub(super) fn take(&mut self) -> EncodedEntries {
        let empty = Self::new(self.instance.clone(), self.incarnation);
        std::mem::replace(self, empty).content
    }

    /// Adds an entry without checking its size.
    pub(super) fn push(&mut self, entry: &Entry) {
        let fact = self.fact(&entry.fact);
        let (sequence, at_us) = (entry.sequence, entry.at.as_us());
        let row = Row {
            sequence_step: sequence.wrapping_sub(self.last_entry.0.wrapping_add(1)),
            step_us: at_us.wrapping_sub(self.last_entry.1),
            fact,
        };
        self.last_entry = (sequence, at_us);
        encode_into(&mut self.content.entry_bytes, &row);
        self.content.entry_count += 1;
    }

    /// Encodes a fact, replacing names and subjects by their indices.
    fn fact(&mut self, fact: &Fact) -> FactRow {
        match fact {
            Fact::Admitted { subject, tasks, params } => FactRow::Admitted {
                subject: self.subject(subject),
                tasks: *tasks,
                params: SchedulingParamsRow {
                    queue: self.name(params.queue.as_str()),
                    rank: params.rank,
                    weight: params.weight,
                    cost_us: params.cost_us,
                    arrival: params.arrival,
                },
            },
            Fact::Refused { submission, customer, kind, config, code } => {
                FactRow::Refused(RefusedRow {
                    submission: submission.as_ref().map(|id| self.id(id)),
                    customer: self.name(customer.as_str()),
                    kind: self.name(kind.as_str()),
                    config: *config,
                    code: *code,
                })
            }
            Fact::Started { subject, task, attempt, target, reason } => {
                FactRow::Started(StartedRow {
                    subject: self.subject(subject),
                    task: *task,
                    attempt: *attempt,
                    target: self.name(target.as_str()),
                    reason: *reason,
                })
            }
            Fact::Finished { subject, task, attempt, result } => {
                FactRow::Finished(FinishedRow {
                    subject: self.subject(subject),
                    task: *task,
                    attempt: *attempt,
                    result: *result,
                })
            }
            Fact::Answered { subject, answer } => {
                FactRow::Answered { subject: self.subject(subject), answer: *answer }
            }
            Fact::Cancelled { subject, started } => {
                FactRow::Cancelled { subject: self.subject(subject), started: *started }
            }
            Fact::PolicyChange { from, to } => {
                FactRow::PolicyChange { from: *from, to: *to }
            }
            Fact::Gap(gap) => FactRow::Gap(*gap),
        }
    }

    /// Returns the index of a subject, adding the subject if it is new.
    fn subject(&mut self, subject: &Subject) -> SubjectIndex {
        if let Some(&index) = self.subjects.get(subject) {
            return index;
        }
        let row = SubjectRow {
            submission: self.id(&subject.submission),
            customer: self.name(subject.customer.as_str()),
            kind: self.name(subject.kind.as_str()),
            config: subject.config,
        };
        encode_into(&mut self.content.subject_bytes, &row);
        self.content.subject_count += 1;
        let index = self.subjects.len() as SubjectIndex;
        self.subjects.insert(subject.clone(), index);
        index
    }

    /// Encodes a submission id; the account's own incarnation is left out of tickets.
    fn id(&mut self, id: &SubmissionId) -> IdRow {
        let ticket = match id {
            SubmissionId::CallerKey(key) => return IdRow::CallerKey(key.into_bytes()),
            SubmissionId::Ticket(ticket) => ticket,
        };
        let domain = self.name(ticket.domain.as_str());
        let (incarnation, sequence) = (ticket.incarnation, ticket.sequence);
        let own = (&self.instance, self.incarnation);
        if (&ticket.instance, incarnation) == own {
            return IdRow::Own { domain, sequence };
        }
        let instance = self.name(ticket.instance.as_str());
        IdRow::Ticket { domain, instance, incarnation: incarnation.0, sequence }
    }

    /// Returns the index of a name, adding the name if it is new.
    fn name(&mut self, name: &str) -> NameIndex {
        if let Some(&index) = self.names.get(name) {
            return index;
        }
        encode_into(&mut self.content.name_bytes, name);
        self.content.name_count += 1;
        let index = self.names.len() as NameIndex;
        self.names.insert(name.into(), index);
        index
    }
}

/// Returns whether the encoded entry certainly takes at most [`MAX_ENTRY_BYTES`].
pub(super) fn fits_entry_limit(fact: &Fact) -> bool {
    let names = match fact {
        Fact::Admitted { subject, params, .. } => {
            subject_name_bytes(subject) + params.queue.as_str().len()
        }
        Fact::Refused { submission, customer, kind, .. } => {
            let id = submission.as_ref().map_or(0, id_name_bytes);
            id + customer.as_str().len() + kind.as_str().len()
        }
        Fact::Started { subject, target, .. } => {
            subject_name_bytes(subject) + target.as_str().len()
        }
        Fact::Finished { subject, .. }
        | Fact::Answered { subject, .. }
        | Fact::Cancelled { subject, .. } => subject_name_bytes(subject),
        Fact::PolicyChange { .. } | Fact::Gap(_) => 0,
    };
    names + MAX_FIXED_BYTES <= MAX_ENTRY_BYTES
}

/// Returns the total length of a subject's names.
fn subject_name_bytes(subject: &Subject) -> usize {
    let names = subject.customer.as_str().len() + subject.kind.as_str().len();
    names + id_name_bytes(&subject.submission)
}

/// Returns the total length of the names in an id.
fn id_name_bytes(id: &SubmissionId) -> usize {
    match id {
        SubmissionId::Ticket(ticket) => {
            ticket.domain.as_str().len() + ticket.instance.as_str().len()
        }
        SubmissionId::CallerKey(_) => 0,
    }
}

/// Appends the encoding of a value to a buffer.
pub(super) fn encode_into(out: &mut Vec<u8>, value: &(impl Serialize + ?Sized)) {
    bincode::serde::encode_into_std_write(value, out, CODEC)
        .expect("a buffer in memory takes strings and numbers");
}
