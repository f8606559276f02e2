//! The streams of the log service.

use std::collections::{HashMap, VecDeque};
use std::sync::{Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use bamboocart_core::time::Timestamp;
use bamboocart_platform::{Record, RecordPage};

use crate::clock;

/// The largest number of bytes kept per stream; the oldest records go first beyond it.
const STREAM_BYTES_MAX: usize = 128 * 1024 * 1024;

/// The largest number of bytes in one page, except that one record is always returned.
const PAGE_BYTES_MAX: usize = 16 * 1024 * 1024;

/// The longest time that a read waits for a record.
const WAIT_MS_MAX: u64 = 30_000;

/// All streams of the log.
#[derive(Debug)]
pub struct Streams {
    /// The time that records are kept.
    retention_ms: u64,
    /// The streams by name.
    streams: Mutex<HashMap<String, Stream>>,
    /// Wakes waiting reads after an append.
    appended: Condvar,
}

/// What a read asks for.
#[derive(Debug, Copy, Clone)]
pub struct Range {
    /// The first offset.
    pub from: u64,
    /// The largest number of records.
    pub limit: usize,
    /// The time to wait for a record.
    pub wait_ms: u64,
}

/// One stream.
#[derive(Debug, Default)]
struct Stream {
    /// The offset of the first kept record.
    start: u64,
    /// The kept records.
    records: VecDeque<Record>,
    /// The bytes of the kept records.
    bytes: usize,
}

impl Streams {
    /// Creates an empty log.
    pub fn new(retention_ms: u64) -> Self {
        Self { retention_ms, streams: Mutex::default(), appended: Condvar::new() }
    }

    /// Appends a record and returns its offset.
    pub fn append(&self, stream: &str, body: String) -> u64 {
        let mut streams = self.lock();
        let stream = streams.entry(stream.to_owned()).or_default();
        let now = clock::now();
        let offset = stream.end();
        stream.bytes += body.len();
        stream.records.push_back(Record { offset, at_ms: now.as_ms(), body });
        stream.trim(now, self.retention_ms);
        self.appended.notify_all();
        offset
    }

    /// Reads records, waiting for the first one if there is none yet.
    pub fn read(&self, stream: &str, range: Range) -> RecordPage {
        let wait = Duration::from_millis(range.wait_ms.min(WAIT_MS_MAX));
        let deadline = Instant::now() + wait;
        let mut streams = self.lock();
        loop {
            let stream = streams.entry(stream.to_owned()).or_default();
            stream.trim(clock::now(), self.retention_ms);
            let left = deadline.saturating_duration_since(Instant::now());
            if range.from < stream.end() || left.is_zero() {
                return stream.page(range, self.retention_ms);
            }
            let waited = self.appended.wait_timeout(streams, left);
            streams = waited.expect("no holder of the lock panics").0;
        }
    }

    /// Locks the streams.
    fn lock(&self) -> MutexGuard<'_, HashMap<String, Stream>> {
        self.streams.lock().expect("no holder of the lock panics")
    }
}

impl Stream {
    /// Returns the offset of the next append.
    fn end(&self) -> u64 {
        self.start + self.records.len() as u64
    }

    /// Drops records that are too old or too many.
    fn trim(&mut self, now: Timestamp, retention_ms: u64) {
        while let Some(oldest) = self.records.front() {
            let expired = now.as_ms().saturating_sub(oldest.at_ms) > retention_ms;
            if !expired && self.bytes <= STREAM_BYTES_MAX {
                return;
            }
            self.bytes -= oldest.body.len();
            self.start += 1;
            self.records.pop_front();
        }
    }

    /// Copies the records of a range.
    fn page(&self, range: Range, retention_ms: u64) -> RecordPage {
        let skip = range.from.saturating_sub(self.start);
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        let mut bytes = 0;
        let mut fits = |record: &&Record| {
            let first = bytes == 0;
            bytes += record.body.len().max(1);
            first || bytes <= PAGE_BYTES_MAX
        };
        let records = self.records.iter().skip(skip).take(range.limit);
        let records = records.take_while(|record| fits(record)).cloned().collect();
        RecordPage { start: self.start, end: self.end(), retention_ms, records }
    }
}
