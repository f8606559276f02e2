//! The writing side of the account.

use std::collections::VecDeque;
use std::sync::Arc;

use super::batch::{ChainHash, EncodedBatch, Front};
use super::builder::{Content, Draft, is_small};
use super::entry::{Entry, Fact, Gap};
use crate::id::{Incarnation, InstanceName};
use crate::time::Timestamp;

/// The entries that wait for the log; more are dropped and replaced by a gap.
pub const MAX_BUFFERED_ENTRIES: usize = 200_000;

/// The bytes of entries that wait for the log, so that large entries cannot take more
/// memory than an instance has.
pub const MAX_BUFFER_BYTES: usize = 96 * 1024 * 1024;

/// The account of one incarnation.
///
/// One batch is under way at a time. It is offered again with the same text until its
/// append is confirmed, because the answer to an append can be lost after it has taken
/// effect; readers ignore the repeat.
#[derive(Debug)]
pub struct AccountWriter {
    /// The instance.
    instance: InstanceName,
    /// The run of its process.
    incarnation: Incarnation,
    /// The most entries that wait.
    limit: usize,
    /// The number of the next entry.
    next_sequence: u64,
    /// The time that the next entry has at least.
    latest: Timestamp,
    /// The content of full batches, behind the batch under way.
    full: VecDeque<Content>,
    /// The entries behind them.
    draft: Draft,
    /// The entries that wait in both.
    waiting: usize,
    /// The bytes of the full batches.
    full_bytes: usize,
    /// The batch under way and its number of entries.
    under_way: Option<(Batch, usize)>,
    /// The number of the next batch.
    next_batch: u64,
    /// The hash behind the last batch that was formed.
    head: ChainHash,
    /// Dropped entries that no gap entry states yet.
    open_gap: Option<Gap>,
    /// The entries that were dropped in total.
    dropped: u64,
    /// Whether the account ends with the entries that wait.
    state: State,
}

/// Whether an account takes entries.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
enum State {
    /// It takes entries.
    Open,
    /// It takes no more, and its last batch is not formed yet.
    Closing,
    /// Its last batch is formed.
    Closed,
}

impl AccountWriter {
    /// Starts the account of an incarnation.
    pub fn new(instance: InstanceName, incarnation: Incarnation) -> Self {
        Self::with_limit(instance, incarnation, MAX_BUFFERED_ENTRIES)
    }

    /// Starts an account with room for `limit` waiting entries.
    pub fn with_limit(
        instance: InstanceName,
        incarnation: Incarnation,
        limit: usize,
    ) -> Self {
        Self {
            head: ChainHash::genesis(&instance, incarnation),
            latest: Timestamp::from_us(incarnation.0),
            draft: Draft::new(instance.clone(), incarnation),
            instance,
            incarnation,
            limit,
            next_sequence: 1,
            full: VecDeque::new(),
            waiting: 0,
            full_bytes: 0,
            under_way: None,
            next_batch: 1,
            open_gap: None,
            dropped: 0,
            state: State::Open,
        }
    }

    /// Adds an entry, or widens a gap if there is no room or the account is closed.
    ///
    /// A clock that went back does not lead to earlier entries.
    pub fn record(&mut self, now: Timestamp, fact: Fact) {
        self.latest = self.latest.max(now);
        self.state_gap();
        let has_room = self.state == State::Open && self.room() > 1;
        match has_room && self.open_gap.is_none() && is_small(&fact) {
            true => self.keep(fact),
            false => self.widen_gap(),
        }
    }

    /// Returns the batch to append: the one under way, or a new one if entries wait.
    pub fn next_batch(&mut self, now: Timestamp) -> Option<Batch> {
        if let Some((batch, _)) = &self.under_way {
            return Some(batch.clone());
        }
        self.latest = self.latest.max(now);
        self.state_gap();
        let content = self.take_content();
        let is_last = self.waiting == 0 && self.open_gap.is_none();
        let closes = self.state == State::Closing && is_last;
        let count = content.entries;
        if count == 0 && !closes {
            return None;
        }
        if closes {
            self.state = State::Closed;
        }
        let batch = self.seal(&content, closes);
        self.under_way = Some((batch.clone(), count));
        Some(batch)
    }

    /// Confirms that the log holds a batch; numbers that are not under way are ignored.
    pub fn confirm_append(&mut self, number: u64) {
        if self.under_way.as_ref().is_some_and(|(batch, _)| batch.number == number) {
            self.under_way = None;
        }
    }

    /// Ends the account, so that readers can tell a planned stop from a death.
    ///
    /// The last batch follows from `next_batch`, even if no entry waits.
    pub fn close(&mut self, now: Timestamp) {
        self.latest = self.latest.max(now);
        if self.state == State::Open {
            self.state = State::Closing;
        }
    }

    /// Returns whether everything is in the log, the end included.
    pub fn is_finished(&self) -> bool {
        self.state == State::Closed && self.under_way.is_none()
    }

    /// Returns the entries that are not known to be in the log.
    pub fn buffered(&self) -> usize {
        let under_way = self.under_way.as_ref().map_or(0, |(_, count)| *count);
        self.waiting + under_way
    }

    /// Returns the entries that were dropped so far.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Returns the entries that may still be buffered, or 0 when bytes have run out.
    fn room(&self) -> usize {
        match self.full_bytes + self.draft.content.bytes() < MAX_BUFFER_BYTES {
            true => self.limit.saturating_sub(self.buffered()),
            false => 0,
        }
    }

    /// Writes the entry for the open gap if there is room for it and one more.
    fn state_gap(&mut self) {
        let can_write = self.state != State::Closed && self.room() > 1;
        let Some(gap) = self.open_gap.filter(|_| can_write) else {
            return;
        };
        self.open_gap = None;
        self.keep(Fact::Gap(gap));
    }

    /// Buffers the next entry.
    fn keep(&mut self, fact: Fact) {
        let entry = Entry { sequence: self.next_sequence, at: self.latest, fact };
        self.draft.push(&entry);
        self.waiting += 1;
        self.next_sequence += 1;
        if self.draft.content.is_full() {
            let content = self.draft.take();
            self.full_bytes += content.bytes();
            self.full.push_back(content);
        }
    }

    /// Counts the next entry as dropped.
    fn widen_gap(&mut self) {
        let (sequence, at) = (self.next_sequence, self.latest);
        let gap = self.open_gap.get_or_insert(Gap {
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

    /// Takes the oldest waiting entries, at most those of a full batch.
    fn take_content(&mut self) -> Content {
        let content = match self.full.pop_front() {
            Some(content) => {
                self.full_bytes -= content.bytes();
                content
            }
            None => self.draft.take(),
        };
        self.waiting -= content.entries;
        content
    }

    /// Forms a batch and moves the chain behind it.
    fn seal(&mut self, content: &Content, closes: bool) -> Batch {
        let front = Front {
            instance: self.instance.clone(),
            incarnation: self.incarnation,
            batch: self.next_batch,
            formed: self.latest,
            closes,
            previous: self.head.bytes(),
        };
        let EncodedBatch { text, hash, .. } = EncodedBatch::new(&front, content);
        self.head = hash;
        self.next_batch += 1;
        Batch { number: front.batch, text: text.into() }
    }
}

/// A batch to append to the log.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct Batch {
    /// Its number, for the confirmation.
    pub number: u64,
    /// The record.
    pub text: Arc<str>,
}
