//! The streams of the log service.

use std::collections::{HashMap, VecDeque};
use std::sync::{Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use bamboocart_core::time::Timestamp;
use bamboocart_platform::{Record, RecordPage};

use crate::clock;

/// The largest number of bytes kept per stream; beyond it the oldest records are dropped.
const MAX_STREAM_BYTES: usize = 128 * 1024 * 1024;

/// The largest number of bytes in one page; a single larger record is still returned.
const MAX_PAGE_BYTES: usize = 16 * 1024 * 1024;

/// The longest time that a read waits for a record, whatever it asks for.
const MAX_WAIT_MS: u64 = 30_000;

/// All streams of the log.
#[derive(Debug)]
pub struct Streams {
    /// The time after which records are dropped.
    retention_ms: u64,
    /// The streams by name, created on first use.
    streams: Mutex<HashMap<String, Stream>>,
    /// Wakes waiting reads after an append.
    appended: Condvar,
}

/// The parameters of a read.
#[derive(Debug, Copy, Clone)]
pub struct ReadRequest {
    /// The first offset to return.
    pub from: u64,
    /// The largest number of records to return.
    pub limit: usize,
    /// The time to wait for a record if there is none yet.
    pub wait_ms: u64,
}

/// One stream of the log.
#[derive(Debug, Default)]
struct Stream {
    /// The offset of the first kept record.
    start: u64,
    records: VecDeque<Record>,
    /// The total length of the kept bodies.
    bytes: usize,
}

impl Streams {
    /// Creates an empty log that drops records after `retention_ms`.
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
    pub fn read(&self, stream: &str, request: ReadRequest) -> RecordPage {
        let wait = Duration::from_millis(request.wait_ms.min(MAX_WAIT_MS));
        let deadline = Instant::now() + wait;
        let mut streams = self.lock();
        loop {
            let stream = streams.entry(stream.to_owned()).or_default();
            stream.trim(clock::now(), self.retention_ms);
            let left = deadline.saturating_duration_since(Instant::now());
            if request.from < stream.end() || left.is_zero() {
                return stream.page(request, self.retention_ms);
            }
            let waited = self.appended.wait_timeout(streams, left);
            streams = waited.expect("no holder of the lock panics").0;
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Stream>> {
        self.streams.lock().expect("no holder of the lock panics")
    }
}

impl Stream {
    /// Returns the offset of the next append.
    fn end(&self) -> u64 {
        self.start + self.records.len() as u64
    }

    /// Drops the oldest records while they have expired or exceed the size limit.
    fn trim(&mut self, now: Timestamp, retention_ms: u64) {
        while let Some(oldest) = self.records.front() {
            let expired = now.as_ms().saturating_sub(oldest.at_ms) > retention_ms;
            if !expired && self.bytes <= MAX_STREAM_BYTES {
                return;
            }
            self.bytes -= oldest.body.len();
            self.start += 1;
            self.records.pop_front();
        }
    }

    /// Copies the records that a read asks for, up to the size limit of a page.
    fn page(&self, request: ReadRequest, retention_ms: u64) -> RecordPage {
        let skip = request.from.saturating_sub(self.start);
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        let mut bytes = 0;
        let mut fits = |record: &&Record| {
            let first = bytes == 0;
            bytes += record.body.len().max(1);
            first || bytes <= MAX_PAGE_BYTES
        };
        let records = self.records.iter().skip(skip).take(request.limit);
        let records = records.take_while(|record| fits(record)).cloned().collect();
        RecordPage { start: self.start, end: self.end(), retention_ms, records }
    }
}
