//! Buffers the entries of an incarnation and forms batches from them.

use std::collections::VecDeque;
use std::sync::Arc;

use super::batch::{BatchHeader, ChainHash, EncodedBatch};
use super::builder::{BatchBuilder, EncodedEntries, fits_entry_limit};
use super::entry::{Entry, Fact, Gap};
use crate::id::{Incarnation, InstanceName};
use crate::time::Timestamp;

/// The maximum number of buffered entries; further ones are dropped and recorded as a
/// gap.
pub const MAX_BUFFERED_ENTRIES: usize = 200_000;

/// The limit on the encoded size of buffered entries, so that large entries cannot
/// exhaust the memory of an instance.
pub const MAX_BUFFER_BYTES: usize = 96 * 1024 * 1024;

/// Writes the account of one incarnation.
///
/// At most one batch is in flight. It is returned again with the same text until its
/// append is confirmed, because the response to an append can be lost after the append
/// took effect; readers ignore the duplicate.
#[derive(Debug)]
pub struct AccountWriter {
    instance: InstanceName,
    /// The run of the instance's process.
    incarnation: Incarnation,
    /// The maximum number of entries that are not confirmed to be in the log.
    max_buffered: usize,
    /// The sequence number of the next entry.
    next_sequence: u64,
    /// The latest known time; later entries are never dated before it.
    last_at: Timestamp,
    /// The content of full batches that follow the batch in flight.
    full_batches: VecDeque<EncodedEntries>,
    /// The entries that follow the full batches.
    builder: BatchBuilder,
    /// The number of entries in `full_batches` and `builder` together.
    queued_entries: usize,
    /// The encoded size of `full_batches`.
    full_batch_bytes: usize,
    /// The batch whose append is not confirmed yet, with its number of entries.
    in_flight: Option<(Batch, usize)>,
    /// The number of the next batch.
    next_batch: u64,
    /// The hash of the last batch that was formed.
    head: ChainHash,
    /// Dropped entries that are not recorded by a gap entry yet.
    pending_gap: Option<Gap>,
    /// The total number of dropped entries.
    dropped: u64,
    state: State,
}

/// The lifecycle of an account.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
enum State {
    /// Entries are accepted.
    Open,
    /// Entries are dropped, and the last batch is not formed yet.
    Closing,
    /// The last batch is formed.
    Closed,
}

impl AccountWriter {
    /// Starts the account of an incarnation, with the default buffer limit.
    pub fn new(instance: InstanceName, incarnation: Incarnation) -> Self {
        Self::with_limit(instance, incarnation, MAX_BUFFERED_ENTRIES)
    }

    /// Starts an account that buffers at most `max_buffered` entries, gap entries
    /// included.
    pub fn with_limit(
        instance: InstanceName,
        incarnation: Incarnation,
        max_buffered: usize,
    ) -> Self {
        Self {
            head: ChainHash::genesis(&instance, incarnation),
            last_at: Timestamp::from_us(incarnation.0),
            builder: BatchBuilder::new(instance.clone(), incarnation),
            instance,
            incarnation,
            max_buffered,
            next_sequence: 1,
            full_batches: VecDeque::new(),
            queued_entries: 0,
            full_batch_bytes: 0,
            in_flight: None,
            next_batch: 1,
            pending_gap: None,
            dropped: 0,
            state: State::Open,
        }
    }

    /// Adds an entry, or drops it and extends the gap.
    ///
    /// An entry is dropped if it is too large, the buffer is full, a gap is not recorded
    /// yet, or the account is closed. If the clock goes back, the time of the previous
    /// entry is used.
    pub fn record(&mut self, now: Timestamp, fact: Fact) {
        self.last_at = self.last_at.max(now);
        self.record_pending_gap();
        let has_room = self.state == State::Open && self.remaining_capacity() > 1;
        match has_room && self.pending_gap.is_none() && fits_entry_limit(&fact) {
            true => self.buffer(fact),
            false => self.extend_gap(),
        }
    }

    /// Returns the batch to append: the one in flight, or a new one if entries are
    /// queued.
    pub fn next_batch(&mut self, now: Timestamp) -> Option<Batch> {
        if let Some((batch, _)) = &self.in_flight {
            return Some(batch.clone());
        }
        self.last_at = self.last_at.max(now);
        self.record_pending_gap();
        let content = self.take_content();
        let is_last = self.queued_entries == 0 && self.pending_gap.is_none();
        let closes = self.state == State::Closing && is_last;
        let count = content.entry_count;
        if count == 0 && !closes {
            return None;
        }
        if closes {
            self.state = State::Closed;
        }
        let batch = self.encode_batch(&content, closes);
        self.in_flight = Some((batch.clone(), count));
        Some(batch)
    }

    /// Confirms the append of a batch; numbers other than that of the batch in flight are
    /// ignored.
    pub fn confirm_append(&mut self, number: u64) {
        if self.in_flight.as_ref().is_some_and(|(batch, _)| batch.number == number) {
            self.in_flight = None;
        }
    }

    /// Ends the account, so that readers can tell a planned stop from a crash.
    ///
    /// [`Self::next_batch`] still returns the last batch, even if no entry is queued.
    pub fn close(&mut self, now: Timestamp) {
        self.last_at = self.last_at.max(now);
        if self.state == State::Open {
            self.state = State::Closing;
        }
    }

    /// Returns whether all batches, including the last one, are confirmed to be in the
    /// log.
    pub fn is_finished(&self) -> bool {
        self.state == State::Closed && self.in_flight.is_none()
    }

    /// Returns the number of entries that are not confirmed to be in the log.
    pub fn buffered(&self) -> usize {
        let in_flight = self.in_flight.as_ref().map_or(0, |(_, count)| *count);
        self.queued_entries + in_flight
    }

    /// Returns the number of entries that were dropped so far.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Returns how many more entries may be buffered, or 0 if the size limit is reached.
    fn remaining_capacity(&self) -> usize {
        match self.full_batch_bytes + self.builder.content.bytes() < MAX_BUFFER_BYTES {
            true => self.max_buffered.saturating_sub(self.buffered()),
            false => 0,
        }
    }

    /// Adds an entry for the pending gap if there is room for it and for one more.
    fn record_pending_gap(&mut self) {
        let can_write = self.state != State::Closed && self.remaining_capacity() > 1;
        let Some(gap) = self.pending_gap.filter(|_| can_write) else {
            return;
        };
        self.pending_gap = None;
        self.buffer(Fact::Gap(gap));
    }

    /// Adds the next entry to the buffer.
    fn buffer(&mut self, fact: Fact) {
        let entry = Entry { sequence: self.next_sequence, at: self.last_at, fact };
        self.builder.push(&entry);
        self.queued_entries += 1;
        self.next_sequence += 1;
        if self.builder.content.is_full() {
            let content = self.builder.take();
            self.full_batch_bytes += content.bytes();
            self.full_batches.push_back(content);
        }
    }

    /// Drops the next entry, extending the pending gap or starting a new one.
    fn extend_gap(&mut self) {
        let (sequence, at) = (self.next_sequence, self.last_at);
        let gap = self.pending_gap.get_or_insert(Gap {
            first_sequence: sequence,
            last_sequence: sequence,
            from: at,
            until: at,
        });
        gap.last_sequence = sequence;
        gap.until = at;
        self.dropped += 1;
        self.next_sequence += 1;
    }

    /// Removes the oldest queued entries, at most one full batch.
    fn take_content(&mut self) -> EncodedEntries {
        let content = match self.full_batches.pop_front() {
            Some(content) => {
                self.full_batch_bytes -= content.bytes();
                content
            }
            None => self.builder.take(),
        };
        self.queued_entries -= content.entry_count;
        content
    }

    /// Encodes a batch and advances the hash chain.
    fn encode_batch(&mut self, content: &EncodedEntries, closes: bool) -> Batch {
        let header = BatchHeader {
            instance: self.instance.clone(),
            incarnation: self.incarnation,
            batch: self.next_batch,
            formed: self.last_at,
            closes,
            previous: self.head.bytes(),
        };
        let EncodedBatch { text, hash, .. } = EncodedBatch::new(&header, content);
        self.head = hash;
        self.next_batch += 1;
        Batch { number: header.batch, text: text.into() }
    }
}

/// A batch to append to the log.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct Batch {
    /// The number of the batch, to be passed to [`AccountWriter::confirm_append`].
    pub number: u64,
    /// The text of the record.
    pub text: Arc<str>,
}
