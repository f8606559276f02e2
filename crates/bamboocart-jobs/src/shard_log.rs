//! The log of a shard, as its owner writes it.

use crate::effect::{LogAppend, LogCallNumber};
use crate::shard::ShardId;
use crate::stored_job::LogRecord;
use crate::time::Moment;

/// The pause before an append that was not carried out, or not answered, is sent again.
const RETRY_MS: u64 = 150;

/// The most records of one append; jobs are as large as 5 KB.
const MAX_BATCH: usize = 200;

/// The records that may wait for the log.
const MAX_QUEUED: usize = 20_000;

/// The answer to an append.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum AppendAnswer {
    /// The records are in the log.
    Appended {
        /// The offset behind them.
        end_offset: u64,
    },
    /// The log did not end where the append was to begin; nothing was written.
    Conflict,
    /// The store has done nothing.
    Refused,
    /// No answer; the append may still be carried out.
    Lost,
}

/// What an answer means for the owner.
#[derive(Debug)]
pub(crate) enum AppendOutcome {
    /// These records are in the log.
    Written(Vec<LogRecord>),
    /// The append is sent again later, or the answer belongs to an earlier one.
    Pending,
    /// The log has grown; its records from the offset on tell by whom.
    Conflict {
        /// Where the append was to begin.
        offset: u64,
    },
}

/// Writes records in order, one append at a time.
///
/// Each append is conditional on the end of the log, so that only one owner can write, and
/// one that is sent again cannot be written twice.
#[derive(Debug, Default)]
pub(crate) struct ShardLog {
    /// The offset behind the last record that is known.
    end_offset: u64,
    /// The records that wait.
    queued: Vec<LogRecord>,
    /// The append that is under way.
    in_flight: Option<InFlight>,
    /// The next append is not sent before.
    not_before: Moment,
    /// When the last append was sent.
    sent_at: Moment,
}

/// An append that is under way.
#[derive(Debug)]
struct InFlight {
    /// The call, unless it is to be sent again.
    ticket: Option<LogCallNumber>,
    /// The records.
    records: Vec<LogRecord>,
}

impl ShardLog {
    /// Creates the writer of a log that ends at an offset.
    pub(crate) fn new(end_offset: u64) -> Self {
        Self { end_offset, ..Self::default() }
    }

    /// Returns whether further records may wait.
    pub(crate) fn has_room(&self) -> bool {
        self.queued.len() < MAX_QUEUED
    }

    /// Returns when the last append was sent.
    pub(crate) fn sent_at(&self) -> Moment {
        self.sent_at
    }

    /// Queues a record.
    pub(crate) fn push(&mut self, record: LogRecord) {
        self.queued.push(record);
    }

    /// Returns whether all records are known to be in the log.
    pub(crate) fn is_idle(&self) -> bool {
        self.queued.is_empty() && self.in_flight.is_none()
    }

    /// Returns when an append is due, if one is.
    pub(crate) fn due(&self) -> Option<Moment> {
        let resend = self.in_flight.as_ref().is_some_and(|it| it.ticket.is_none());
        let fresh = self.in_flight.is_none() && !self.queued.is_empty();
        (resend || fresh).then_some(self.not_before)
    }

    /// Returns the append to send, if there is one.
    pub(crate) fn take_append(
        &mut self,
        now: Moment,
        shard: ShardId,
        ticket: LogCallNumber,
    ) -> Option<LogAppend> {
        self.due()?;
        self.sent_at = now;
        if self.in_flight.is_none() {
            let count = self.queued.len().min(MAX_BATCH);
            let records = self.queued.drain(..count).collect();
            self.in_flight = Some(InFlight { ticket: None, records });
        }
        let in_flight = self.in_flight.as_mut()?;
        in_flight.ticket = Some(ticket);
        let records = in_flight.records.clone();
        Some(LogAppend { number: ticket, shard, at_offset: self.end_offset, records })
    }

    /// Takes the answer to an append.
    pub(crate) fn answered(
        &mut self,
        now: Moment,
        ticket: LogCallNumber,
        answer: AppendAnswer,
    ) -> AppendOutcome {
        let Some(in_flight) = self.in_flight.as_mut() else {
            return AppendOutcome::Pending;
        };
        if in_flight.ticket != Some(ticket) {
            return AppendOutcome::Pending;
        }
        match answer {
            AppendAnswer::Appended { end_offset } => self.written(end_offset),
            AppendAnswer::Conflict => AppendOutcome::Conflict { offset: self.end_offset },
            AppendAnswer::Refused | AppendAnswer::Lost => {
                in_flight.ticket = None;
                self.not_before = now + RETRY_MS;
                AppendOutcome::Pending
            }
        }
    }

    /// Compares the records behind the known end with those of the append under way, which
    /// are there if an earlier try was carried out without an answer.
    pub(crate) fn resolve(&mut self, found: &[LogRecord]) -> AppendOutcome {
        let Some(in_flight) = &self.in_flight else { return AppendOutcome::Pending };
        let count = in_flight.records.len();
        match found.get(..count) {
            Some(written) if written == in_flight.records => {
                self.written(self.end_offset + count as u64)
            }
            Some(_) | None => AppendOutcome::Conflict { offset: self.end_offset },
        }
    }

    /// Notes that the append under way was carried out.
    fn written(&mut self, end_offset: u64) -> AppendOutcome {
        self.end_offset = end_offset;
        let in_flight = self.in_flight.take();
        AppendOutcome::Written(in_flight.map(|it| it.records).unwrap_or_default())
    }
}
