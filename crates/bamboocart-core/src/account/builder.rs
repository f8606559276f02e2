//! The entries of a batch in compact form while they are collected.

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

/// The encoding: compact integers and a bound on what decoding may allocate.
pub(super) const CODEC: Configuration<LittleEndian, Varint, Limit<MAX_DECODED_BYTES>> =
    bincode::config::standard().with_limit::<MAX_DECODED_BYTES>();

/// The most bytes that decoding one batch may allocate.
///
/// The largest batch is far below it, since an index of one byte takes four in memory.
const MAX_DECODED_BYTES: usize = 16 * MAX_BATCH_BYTES;

/// The most bytes of an entry and its subject without their names.
const MAX_FIXED_BYTES: usize = 160;

/// Encoded entries with the names and subjects that they refer to.
#[derive(Debug, Default)]
pub(super) struct Content {
    /// The number of names.
    names: usize,
    /// The names.
    name_bytes: Vec<u8>,
    /// The number of subjects.
    subjects: usize,
    /// The subjects.
    subject_bytes: Vec<u8>,
    /// The number of entries.
    pub(super) entries: usize,
    /// The entries.
    entry_bytes: Vec<u8>,
}

impl Content {
    /// Returns the number of bytes.
    pub(super) fn bytes(&self) -> usize {
        self.name_bytes.len() + self.subject_bytes.len() + self.entry_bytes.len()
    }

    /// Returns whether it could not take one more entry of the largest size.
    pub(super) fn is_full(&self) -> bool {
        self.entries >= MAX_BATCH_ENTRIES
            || self.bytes() + MAX_ENTRY_BYTES > MAX_BATCH_BYTES
    }

    /// Adds the names, the subjects and the entries to a text, each behind its number.
    pub(super) fn write(&self, out: &mut Vec<u8>) {
        let parts = [
            (self.names, &self.name_bytes),
            (self.subjects, &self.subject_bytes),
            (self.entries, &self.entry_bytes),
        ];
        for (count, bytes) in parts {
            put(out, &(count as u64));
            out.extend_from_slice(bytes);
        }
    }
}

/// Content that takes entries.
#[derive(Debug)]
pub(super) struct Draft {
    /// The instance.
    instance: InstanceName,
    /// The run of its process.
    incarnation: Incarnation,
    /// What was encoded.
    pub(super) content: Content,
    /// The positions of the names.
    names: HashMap<Arc<str>, NameIndex>,
    /// The positions of the subjects.
    subjects: HashMap<Subject, SubjectIndex>,
    /// The number and the time of the last entry.
    last: (u64, u64),
}

impl Draft {
    /// Creates an empty draft.
    pub(super) fn new(instance: InstanceName, incarnation: Incarnation) -> Self {
        Self {
            instance,
            incarnation,
            content: Content::default(),
            names: HashMap::new(),
            subjects: HashMap::new(),
            last: (0, 0),
        }
    }

    /// Takes the content and leaves an empty draft.
    pub(super) fn take(&mut self) -> Content {
        let empty = Self::new(self.instance.clone(), self.incarnation);
        std::mem::replace(self, empty).content
    }

    /// Adds an entry, whatever its size.
    pub(super) fn push(&mut self, entry: &Entry) {
        let fact = self.fact(&entry.fact);
        let (sequence, at_us) = (entry.sequence, entry.at.as_us());
        let row = Row {
            sequence_step: sequence.wrapping_sub(self.last.0.wrapping_add(1)),
            step_us: at_us.wrapping_sub(self.last.1),
            fact,
        };
        self.last = (sequence, at_us);
        put(&mut self.content.entry_bytes, &row);
        self.content.entries += 1;
    }

    /// Returns the compact form of a fact.
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

    /// Returns the position of a subject, and adds it if it is new.
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
        put(&mut self.content.subject_bytes, &row);
        self.content.subjects += 1;
        let index = self.subjects.len() as SubjectIndex;
        self.subjects.insert(subject.clone(), index);
        index
    }

    /// Returns the compact form of an id.
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

    /// Returns the position of a name, and adds it if it is new.
    fn name(&mut self, name: &str) -> NameIndex {
        if let Some(&index) = self.names.get(name) {
            return index;
        }
        put(&mut self.content.name_bytes, name);
        self.content.names += 1;
        let index = self.names.len() as NameIndex;
        self.names.insert(name.into(), index);
        index
    }
}

/// Returns whether an entry certainly takes at most `MAX_ENTRY_BYTES`.
pub(super) fn is_small(fact: &Fact) -> bool {
    let names = match fact {
        Fact::Admitted { subject, params, .. } => {
            subject_bytes(subject) + params.queue.as_str().len()
        }
        Fact::Refused { submission, customer, kind, .. } => {
            let id = submission.as_ref().map_or(0, id_bytes);
            id + customer.as_str().len() + kind.as_str().len()
        }
        Fact::Started { subject, target, .. } => {
            subject_bytes(subject) + target.as_str().len()
        }
        Fact::Finished { subject, .. }
        | Fact::Answered { subject, .. }
        | Fact::Cancelled { subject, .. } => subject_bytes(subject),
        Fact::PolicyChange { .. } | Fact::Gap(_) => 0,
    };
    names + MAX_FIXED_BYTES <= MAX_ENTRY_BYTES
}

/// Returns the bytes of a subject's names.
fn subject_bytes(subject: &Subject) -> usize {
    let names = subject.customer.as_str().len() + subject.kind.as_str().len();
    names + id_bytes(&subject.submission)
}

/// Returns the bytes of an id's names.
fn id_bytes(id: &SubmissionId) -> usize {
    match id {
        SubmissionId::Ticket(ticket) => {
            ticket.domain.as_str().len() + ticket.instance.as_str().len()
        }
        SubmissionId::CallerKey(_) => 0,
    }
}

/// Adds the encoding of a value.
pub(super) fn put(out: &mut Vec<u8>, value: &(impl Serialize + ?Sized)) {
    bincode::serde::encode_into_std_write(value, out, CODEC)
        .expect("a buffer in memory takes strings and numbers");
}
