//! An in-memory log stream, and helpers that create entries.

use bamboocart_core::account::{
    AccountWriter, AnswerKind, DecodedBatch, Fact, Fault, FinishResult, Floors,
    SchedulingParams, StartReason, StreamRecord, Subject, TaskRange, VerifyReport,
    VerifySettings, verify,
};
use bamboocart_core::id::{
    Attempt, ConfigVersion, Incarnation, SubmissionId, TaskIndex, Ticket,
};
use bamboocart_core::time::Timestamp;
use base64::prelude::{BASE64_STANDARD, Engine};
use serde_json::Value;

/// The start time of the first incarnation.
pub const START_MS: u64 = 1_800_000_000_000;

/// A record of the stream, which tests can alter.
#[derive(Debug, Clone)]
pub struct Record {
    pub offset: u64,
    pub at_ms: u64,
    pub text: String,
}

/// The log stream `account`.
#[derive(Debug, Clone, Default)]
pub struct Stream {
    pub records: Vec<Record>,
}

impl Stream {
    pub fn append(&mut self, at_ms: u64, text: &str) {
        let offset = self.records.len() as u64;
        self.records.push(Record { offset, at_ms, text: text.to_owned() });
    }

    /// Appends all queued batches of a writer.
    pub fn drain(&mut self, writer: &mut AccountWriter, at_ms: u64) {
        while let Some(batch) = writer.next_batch(Timestamp::from_ms(at_ms)) {
            self.append(at_ms, &batch.text);
            writer.confirm_append(batch.number);
        }
    }

    pub fn verify(&self) -> VerifyReport {
        self.verify_with(Floors::default())
    }

    pub fn verify_with(&self, floors: Floors) -> VerifyReport {
        let records = self.records.iter().map(|record| StreamRecord {
            offset: record.offset,
            at_ms: record.at_ms,
            text: &record.text,
        });
        verify(records, VerifySettings::default(), floors)
    }

    /// Assigns consecutive offsets, as an attacker who replaces the whole stream would.
    pub fn renumber(&mut self) {
        for (offset, record) in (0..).zip(&mut self.records) {
            record.offset = offset;
        }
    }

    /// Changes the JSON form of a batch but keeps its hash.
    pub fn edit(&mut self, index: usize, change: impl FnOnce(&mut Value)) {
        let text = &mut self.records[index].text;
        let (batch, _) = DecodedBatch::decode(text).unwrap();
        let mut batch = serde_json::to_value(batch).unwrap();
        let hash = batch["hash"].clone();
        change(&mut batch);
        batch["hash"] = hash;
        *text = encode_with_hash(batch);
    }

    /// Changes the bytes of a record before its hash.
    pub fn edit_bytes(&mut self, index: usize, change: impl FnOnce(&mut Vec<u8>)) {
        let text = &mut self.records[index].text;
        let (mut body, hash) = split_record(text);
        change(&mut body);
        *text = join_record(body, &hash);
    }

    /// Recomputes all hashes from a record on, as an attacker would.
    pub fn rehash_from(&mut self, index: usize) {
        let mut previous: Option<Vec<u8>> = None;
        for record in &mut self.records[index..] {
            if let Some(previous) = previous {
                let (mut batch, _) = DecodedBatch::decode(&record.text).unwrap();
                batch.previous = hex(&previous).parse().unwrap();
                record.text = encode_with_hash(serde_json::to_value(batch).unwrap());
            }
            let (body, _) = split_record(&record.text);
            let hash = blake3::hash(&body).as_bytes().to_vec();
            record.text = join_record(body, &hash);
            previous = Some(hash);
        }
    }
}

/// The prefix of every record.
const PREFIX: &str = "account 2 ";

/// Splits a record into its bytes and their hash, independently of the library's decoder.
fn split_record(text: &str) -> (Vec<u8>, Vec<u8>) {
    let mut body = BASE64_STANDARD.decode(text.strip_prefix(PREFIX).unwrap()).unwrap();
    let hash = body.split_off(body.len() - 32);
    (body, hash)
}

/// Builds a record from its bytes and any hash.
fn join_record(body: Vec<u8>, hash: &[u8]) -> String {
    format!("{PREFIX}{}", BASE64_STANDARD.encode([&body, hash].concat()))
}

/// Formats bytes as hexadecimal digits.
fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Encodes a batch with the hash that it states, which may be wrong.
fn encode_with_hash(batch: Value) -> String {
    let batch: DecodedBatch = serde_json::from_value(batch).unwrap();
    let (body, _) = split_record(&batch.encode().text);
    let hash = blake3::Hash::from_hex(batch.hash.to_string()).unwrap();
    join_record(body, hash.as_bytes())
}

/// Starts the account of an incarnation.
pub fn writer(instance: &str, start_ms: u64) -> AccountWriter {
    AccountWriter::new(instance.into(), Incarnation(start_ms * 1_000))
}

pub fn ms(at_ms: u64) -> Timestamp {
    Timestamp::from_ms(at_ms)
}

pub fn id(number: u64) -> SubmissionId {
    SubmissionId::Ticket(Ticket {
        domain: "marka".into(),
        instance: "a1".into(),
        incarnation: Incarnation(7),
        sequence: number,
    })
}

pub fn subject(number: u64, customer: &str) -> Subject {
    Subject {
        submission: id(number),
        customer: customer.into(),
        kind: "bay-check".into(),
        config: ConfigVersion(3),
    }
}

/// Admits a submission of one task, whose number is also its arrival number.
pub fn admit(number: u64, customer: &str, rank: u8) -> Fact {
    let params = SchedulingParams {
        queue: "yard".into(),
        rank,
        weight: 1,
        cost_us: 100_000,
        arrival: number,
    };
    let tasks = TaskRange { first: TaskIndex(0), count: 1 };
    Fact::Admitted { subject: subject(number, customer), tasks, params }
}

pub fn start(number: u64, customer: &str, reason: StartReason) -> Fact {
    Fact::Started {
        subject: subject(number, customer),
        task: TaskIndex(0),
        attempt: Attempt(1),
        target: "m-1".into(),
        reason,
    }
}

pub fn finish(number: u64, customer: &str, result: FinishResult) -> Fact {
    let subject = subject(number, customer);
    Fact::Finished { subject, task: TaskIndex(0), attempt: Attempt(1), result }
}

pub fn answer(number: u64, customer: &str, answer: AnswerKind) -> Fact {
    Fact::Answered { subject: subject(number, customer), answer }
}

pub fn cancel(number: u64, customer: &str, started: bool) -> Fact {
    Fact::Cancelled { subject: subject(number, customer), started }
}

/// Returns the facts of one request from its admission to its answer.
pub fn served(number: u64, customer: &str) -> [Fact; 4] {
    [
        admit(number, customer, 0),
        start(number, customer, StartReason::Order),
        finish(number, customer, FinishResult::Complete),
        answer(number, customer, AnswerKind::Complete),
    ]
}

pub fn record_served(writer: &mut AccountWriter, number: u64, at_ms: u64) {
    for fact in served(number, "amman") {
        writer.record(ms(at_ms), fact);
    }
}

/// Returns a closed account of five batches, one second apart, with two requests each.
pub fn clean() -> Stream {
    let mut stream = Stream::default();
    let mut writer = writer("a1", START_MS);
    for batch in 0..5 {
        let at_ms = START_MS + 1_000 * (batch + 1);
        for request in 0..2 {
            record_served(&mut writer, batch * 2 + request, at_ms - 500);
        }
        if batch == 4 {
            writer.close(ms(at_ms));
        }
        stream.drain(&mut writer, at_ms);
    }
    stream
}

pub fn faults(report: &VerifyReport) -> Vec<&Fault> {
    report.findings.iter().map(|finding| &finding.fault).collect()
}
