//! The compact form of entries, which refers to a table of the batch's names and
//! subjects.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu};
use uuid::Uuid;

use super::entry::{
    AnswerKind, Entry, Fact, FinishResult, Gap, SchedulingParams, StartReason, Subject,
    TaskRange,
};
use crate::id::{
    Attempt, ConfigVersion, Incarnation, InstanceName, SubmissionId, TaskIndex, Ticket,
};
use crate::outcome::RefusalCode;
use crate::time::Timestamp;

/// The index of a name in the batch.
pub(super) type NameIndex = u32;

/// The index of a subject in the batch.
pub(super) type SubjectIndex = u32;

/// An entry, with its sequence number and time as differences from the previous entry.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Row {
    /// The number of sequence numbers that are skipped before this entry.
    pub(super) sequence_step: u64,
    /// The time since the previous entry, which wraps around if this entry is earlier.
    pub(super) step_us: u64,
    pub(super) fact: FactRow,
}

/// A recorded event; see [`Fact`].
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum FactRow {
    Admitted { subject: SubjectIndex, tasks: TaskRange, params: SchedulingParamsRow },
    Refused(RefusedRow),
    Started(StartedRow),
    Finished(FinishedRow),
    Answered { subject: SubjectIndex, answer: AnswerKind },
    Cancelled { subject: SubjectIndex, started: bool },
    PolicyChange { from: ConfigVersion, to: ConfigVersion },
    Gap(Gap),
}

/// The scheduling parameters of an admission; see [`SchedulingParams`].
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct SchedulingParamsRow {
    pub(super) queue: NameIndex,
    pub(super) rank: u8,
    pub(super) weight: u32,
    pub(super) cost_us: u64,
    pub(super) arrival: u64,
}

/// A refusal; see [`Fact::Refused`].
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct RefusedRow {
    pub(super) submission: Option<IdRow>,
    pub(super) customer: NameIndex,
    pub(super) kind: NameIndex,
    pub(super) config: ConfigVersion,
    pub(super) code: RefusalCode,
}

/// A start; see [`Fact::Started`].
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct StartedRow {
    pub(super) subject: SubjectIndex,
    pub(super) task: TaskIndex,
    pub(super) attempt: Attempt,
    pub(super) target: NameIndex,
    pub(super) reason: StartReason,
}

/// The end of an attempt; see [`Fact::Finished`].
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct FinishedRow {
    pub(super) subject: SubjectIndex,
    pub(super) task: TaskIndex,
    pub(super) attempt: Attempt,
    pub(super) result: FinishResult,
}

/// The submission that entries are about; see [`Subject`].
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct SubjectRow {
    pub(super) submission: IdRow,
    pub(super) customer: NameIndex,
    pub(super) kind: NameIndex,
    pub(super) config: ConfigVersion,
}

/// The id of a submission.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum IdRow {
    /// A ticket that was issued by the incarnation that writes the account.
    Own { domain: NameIndex, sequence: u64 },
    /// A ticket that was issued by another incarnation.
    Ticket { domain: NameIndex, instance: NameIndex, incarnation: u64, sequence: u64 },
    /// An idempotency key of the caller, a UUID.
    CallerKey([u8; 16]),
}

/// The error for an index that has no name or subject in the batch.
#[derive(Debug, Snafu)]
#[snafu(display("an entry refers to a name that the batch does not contain"))]
pub struct DanglingIndex;

/// The names and subjects of a batch, for decoding its rows.
#[derive(Debug)]
pub(super) struct Tables {
    instance: InstanceName,
    /// The run of the instance's process.
    incarnation: Incarnation,
    names: Vec<Arc<str>>,
    subjects: Vec<Subject>,
}

impl Tables {
    /// Decodes the subjects of a batch.
    pub(super) fn new(
        (instance, incarnation): (InstanceName, Incarnation),
        names: Vec<Arc<str>>,
        rows: Vec<SubjectRow>,
    ) -> Result<Self, DanglingIndex> {
        let mut tables = Self { instance, incarnation, names, subjects: Vec::new() };
        for row in rows {
            let subject = Subject {
                submission: tables.id(row.submission)?,
                customer: tables.name(row.customer)?.into(),
                kind: tables.name(row.kind)?.into(),
                config: row.config,
            };
            tables.subjects.push(subject);
        }
        Ok(tables)
    }

    /// Decodes the entries of a batch.
    pub(super) fn entries(&self, rows: Vec<Row>) -> Result<Vec<Entry>, DanglingIndex> {
        let (mut sequence, mut at_us) = (0_u64, 0_u64);
        let read = |row: Row| {
            sequence = sequence.wrapping_add(1).wrapping_add(row.sequence_step);
            at_us = at_us.wrapping_add(row.step_us);
            let fact = self.fact(row.fact)?;
            Ok(Entry { sequence, at: Timestamp::from_us(at_us), fact })
        };
        rows.into_iter().map(read).collect()
    }

    fn fact(&self, row: FactRow) -> Result<Fact, DanglingIndex> {
        Ok(match row {
            FactRow::Admitted { subject, tasks, params } => Fact::Admitted {
                subject: self.subject(subject)?,
                tasks,
                params: SchedulingParams {
                    queue: self.name(params.queue)?.into(),
                    rank: params.rank,
                    weight: params.weight,
                    cost_us: params.cost_us,
                    arrival: params.arrival,
                },
            },
            FactRow::Refused(row) => Fact::Refused {
                submission: row.submission.map(|id| self.id(id)).transpose()?,
                customer: self.name(row.customer)?.into(),
                kind: self.name(row.kind)?.into(),
                config: row.config,
                code: row.code,
            },
            FactRow::Started(row) => Fact::Started {
                subject: self.subject(row.subject)?,
                task: row.task,
                attempt: row.attempt,
                target: self.name(row.target)?.into(),
                reason: row.reason,
            },
            FactRow::Finished(row) => Fact::Finished {
                subject: self.subject(row.subject)?,
                task: row.task,
                attempt: row.attempt,
                result: row.result,
            },
            FactRow::Answered { subject, answer } => {
                Fact::Answered { subject: self.subject(subject)?, answer }
            }
            FactRow::Cancelled { subject, started } => {
                Fact::Cancelled { subject: self.subject(subject)?, started }
            }
            FactRow::PolicyChange { from, to } => Fact::PolicyChange { from, to },
            FactRow::Gap(gap) => Fact::Gap(gap),
        })
    }

    fn id(&self, row: IdRow) -> Result<SubmissionId, DanglingIndex> {
        let ticket = match row {
            IdRow::CallerKey(key) => {
                return Ok(SubmissionId::CallerKey(Uuid::from_bytes(key)));
            }
            IdRow::Own { domain, sequence } => Ticket {
                domain: self.name(domain)?.into(),
                instance: self.instance.clone(),
                incarnation: self.incarnation,
                sequence,
            },
            IdRow::Ticket { domain, instance, incarnation, sequence } => Ticket {
                domain: self.name(domain)?.into(),
                instance: self.name(instance)?.into(),
                incarnation: Incarnation(incarnation),
                sequence,
            },
        };
        Ok(SubmissionId::Ticket(ticket))
    }

    fn name(&self, index: NameIndex) -> Result<Arc<str>, DanglingIndex> {
        self.names.get(index as usize).cloned().context(DanglingIndexSnafu)
    }

    fn subject(&self, index: SubjectIndex) -> Result<Subject, DanglingIndex> {
        self.subjects.get(index as usize).cloned().context(DanglingIndexSnafu)
    }
}
