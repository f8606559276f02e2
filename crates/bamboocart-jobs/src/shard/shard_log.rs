//! The writer of a shard's log, which only the owner of the shard uses.

use crate::effect::{LogAppend, LogCallNumber};
use crate::shard::ShardId;
use crate::shard::stored_job::LogRecord;
use crate::time::Moment;

/// Delay before an append that was refused or not answered is sent again.
const RETRY_DELAY_MS: u64 = 150;

/// The age of an append, with all its repeats, from which the log counts as stalled.
const STALLED_APPEND_MS: u64 = 500;

/// Maximum number of records in one append; a job takes up to 5 KB.
const MAX_APPEND_RECORDS: usize = 200;

/// Number of queued records from which no further jobs and ends of runs are accepted.
const MAX_QUEUED_RECORDS: usize = 20_000;

/// The store's answer to an append.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum AppendAnswer {
    /// The records were appended.
    Appended {
        /// The offset behind the last of them.
        end_offset: u64,
    },
    /// The log did not end at the expected offset; nothing was written.
    Conflict,
    /// The store refused the append and has done nothing.
    Refused,
    /// No answer arrived; the append may still be carried out.
    Lost,
}

/// The effect of an answer on the owner.
#[derive(Debug)]
pub(crate) enum AppendOutcome {
    /// These records are in the log.
    Written(Vec<LogRecord>),
    /// The append will be sent again, or the answer belongs to an earlier one.
    Pending,
    /// The log has grown; the records from the offset on tell who has written them.
    Conflict {
        /// The offset at which the append was to begin.
        offset: u64,
    },
}

/// Writes records in order, one append at a time.
///
/// Each append is conditional on the end of the log, so that only one owner can write,
/// and an append that is sent again is not written twice.
#[derive(Debug, Default)]
pub(crate) struct ShardLog {
    /// The offset behind the last known record.
    end_offset: u64,
    /// The records that are not yet part of an append.
    queued: Vec<LogRecord>,
    /// The append in progress.
    in_flight: Option<InFlight>,
    /// The earliest time of the next append.
    not_before: Moment,
    sent_at: Moment,
}

/// An append in progress.
#[derive(Debug)]
struct InFlight {
    /// The call in progress; none if the append is to be sent again.
    call: Option<LogCallNumber>,
    records: Vec<LogRecord>,
    /// When it was first sent.
    since: Moment,
}

impl ShardLog {
    /// Creates the writer of a log that ends at an offset.
    pub(crate) fn new(end_offset: u64) -> Self {
        Self { end_offset, ..Self::default() }
    }

    /// Returns whether further records may be queued.
    pub(crate) fn has_room(&self) -> bool {
        self.queued.len() < MAX_QUEUED_RECORDS
    }

    pub(crate) fn sent_at(&self) -> Moment {
        self.sent_at
    }

    /// Returns the known end of the log.
    pub(crate) fn end_offset(&self) -> u64 {
        self.end_offset
    }

    pub(crate) fn push(&mut self, record: LogRecord) {
        self.queued.push(record);
    }

    /// Returns whether all records are known to be in the log.
    pub(crate) fn is_idle(&self) -> bool {
        self.queued.is_empty() && self.in_flight.is_none()
    }

    /// Returns whether an append was sent and is not known to be in the log.
    pub(crate) fn is_append_in_progress(&self) -> bool {
        self.in_flight.is_some()
    }

    /// Returns whether the store has not taken the append in progress for long.
    pub(crate) fn is_stalled(&self, now: Moment) -> bool {
        let in_flight = self.in_flight.as_ref();
        in_flight.is_some_and(|it| now.since(it.since) >= STALLED_APPEND_MS)
    }

    /// Returns when an append is due, if any.
    pub(crate) fn due(&self) -> Option<Moment> {
        let resend = self.in_flight.as_ref().is_some_and(|it| it.call.is_none());
        let fresh = self.in_flight.is_none() && !self.queued.is_empty();
        (resend || fresh).then_some(self.not_before)
    }

    /// Returns the append to send, if any, and marks it as sent.
    pub(crate) fn take_append(
        &mut self,
        now: Moment,
        shard: ShardId,
        number: LogCallNumber,
    ) -> Option<LogAppend> {
        self.due()?;
        self.sent_at = now;
        if self.in_flight.is_none() {
            let count = self.queued.len().min(MAX_APPEND_RECORDS);
            let records = self.queued.drain(..count).collect();
            self.in_flight = Some(InFlight { call: None, records, since: now });
        }
        let in_flight = self.in_flight.as_mut()?;
        in_flight.call = Some(number);
        let records = in_flight.records.clone();
        Some(LogAppend { number, shard, at_offset: self.end_offset, records })
    }

    /// Processes the answer to an append.
    pub(crate) fn answered(
        &mut self,
        now: Moment,
        number: LogCallNumber,
        answer: AppendAnswer,
    ) -> AppendOutcome {
        let Some(in_flight) = self.in_flight.as_mut() else {
            return AppendOutcome::Pending;
        };
        if in_flight.call != Some(number) {
            return AppendOutcome::Pending;
        }
        match answer {
            AppendAnswer::Appended { end_offset } => self.written(end_offset),
            AppendAnswer::Conflict => AppendOutcome::Conflict { offset: self.end_offset },
            AppendAnswer::Refused | AppendAnswer::Lost => {
                in_flight.call = None;
                self.not_before = now + RETRY_DELAY_MS;
                AppendOutcome::Pending
            }
        }
    }

    /// Compares the records behind the known end with those of the append in progress.
    /// They are equal if an earlier attempt was carried out without an answer. Any further
    /// record, and any record without an append, is one of another instance.
    pub(crate) fn resolve(&mut self, found: &[LogRecord]) -> AppendOutcome {
        let Some(in_flight) = &self.in_flight else {
            return match found.is_empty() {
                true => AppendOutcome::Pending,
                false => AppendOutcome::Conflict { offset: self.end_offset },
            };
        };
        let count = in_flight.records.len() as u64;
        match found == in_flight.records {
            true => self.written(self.end_offset + count),
            false => AppendOutcome::Conflict { offset: self.end_offset },
        }
    }

    /// Records that the append in progress was carried out.
    fn written(&mut self, end_offset: u64) -> AppendOutcome {
        self.end_offset = end_offset;
        let in_flight = self.in_flight.take();
        AppendOutcome::Written(in_flight.map(|it| it.records).unwrap_or_default())
    }
}
