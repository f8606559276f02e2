//! A stand-in for the platform's store: logs, keyed topics and one group.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt::Write;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Handler, Request, Response};
use crate::json::Json;
use crate::wire;

/// The limits of one record and of one call, in bytes.
const RECORD_BYTES: usize = 262_144;
const REQUEST_BYTES: usize = 2_097_152;

/// The number of partitions of a topic.
pub const PARTS: usize = 24;

/// A partition of a topic.
#[derive(Default)]
struct Part {
    /// The offset of the first record that is kept.
    first: u64,
    records: VecDeque<(Instant, Vec<u8>)>,
}

impl Part {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    /// Drops the records that are older than the store keeps them.
    fn expire(&mut self, keep: Duration) {
        while self.records.front().is_some_and(|(at, _)| at.elapsed() > keep) {
            self.records.pop_front();
            self.first += 1;
        }
    }
}

/// The state of the store.
pub struct Store {
    keep: Duration,
    parts: BTreeMap<(String, u64), Part>,
    /// The newest value of each key of the keyed topics.
    newest: BTreeMap<(String, String), (u64, Vec<u8>)>,
    members: BTreeMap<String, Instant>,
    generation: u64,
    /// The caller that has last appended under a condition.
    last_writer: Option<usize>,
    started: Instant,
    /// The callers that the store turns away with 503.
    pub refused: BTreeSet<usize>,
    /// What was appended to logs, for the record.
    pub notes: Vec<String>,
}

/// A store that threads share.
pub type SharedStore = Arc<Mutex<Store>>;

impl Store {
    /// Creates an empty store that keeps records for a time.
    pub fn new(keep_s: u64) -> SharedStore {
        Arc::new(Mutex::new(Self {
            keep: Duration::from_secs(keep_s),
            parts: BTreeMap::new(),
            newest: BTreeMap::new(),
            members: BTreeMap::new(),
            generation: 1,
            last_writer: None,
            started: Instant::now(),
            refused: BTreeSet::new(),
            notes: Vec::new(),
        }))
    }

    /// Appends a record to a keyed topic; an empty value drops the key.
    pub fn put(&mut self, topic: &str, key: &str, value: &str) {
        let part = self.parts.entry((topic.into(), 0)).or_default();
        let offset = part.end();
        let record = [&[key.len() as u8], key.as_bytes(), value.as_bytes()].concat();
        part.records.push_back((Instant::now(), record));
        let key = (topic.to_owned(), key.to_owned());
        match value.is_empty() {
            true => drop(self.newest.remove(&key)),
            false => drop(self.newest.insert(key, (offset, value.into()))),
        }
    }

    /// Returns the caller that has last appended under a condition.
    pub fn last_writer(&self) -> Option<usize> {
        self.last_writer
    }

    fn append(&mut self, caller: usize, request: &Request) -> Response {
        let topic = request.query.get("topic").cloned().unwrap_or_default();
        let number = request.number("part").unwrap_or(0);
        let keep = self.keep;
        let part = self.parts.entry((topic.clone(), number)).or_default();
        part.expire(keep);
        let end = part.end();
        if request.number("at").is_some_and(|at| at != end) {
            return Response::new(412, format!("{{\"end_offset\":{end}}}"));
        }
        let mut records = Vec::new();
        let mut rest = request.body.as_slice();
        while let Some((length, tail)) = rest.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*length) as usize;
            if length > tail.len() || length > RECORD_BYTES {
                return Response::new(400, "{}");
            }
            records.push(tail[..length].to_vec());
            rest = &tail[length..];
        }
        if request.body.len() > REQUEST_BYTES {
            return Response::new(413, "{}");
        }
        let count = records.len();
        part.records.extend(records.into_iter().map(|it| (Instant::now(), it)));
        let end_offset = part.end();
        if request.number("at").is_some() {
            self.last_writer = Some(caller);
        }
        let ms = self.started.elapsed().as_millis();
        let note = format!(
            "{ms} caller {caller} appends {topic}/{number} at {end}, {count} records"
        );
        self.notes.push(note);
        let body = format!("{{\"offset\":{end},\"end_offset\":{end_offset}}}");
        Response::new(200, body)
    }

    /// Returns a page of records from an offset on; none if there are none yet.
    fn read(&mut self, topic: &str, number: u64, from: u64) -> Option<Response> {
        let keyed = topic.starts_with("keyed.");
        let keep = self.keep;
        let part = self.parts.entry((topic.into(), number)).or_default();
        if !keyed {
            part.expire(keep);
        }
        if from < part.first {
            let body = format!("{{\"first_offset\":{}}}", part.first);
            return Some(Response::new(410, body));
        }
        if from >= part.end() {
            return None;
        }
        Some(Response::new(200, page(part, from)))
    }

    fn newest(&self, topic: &str, after: &str) -> Response {
        let keys =
            self.newest.iter().filter(|((of, key), _)| of == topic && **key > *after);
        let mut items: Vec<String> = Vec::new();
        let mut has_more = false;
        for ((_, key), (offset, value)) in keys {
            if items.len() == 500 {
                has_more = true;
                break;
            }
            let value = base64(value);
            items.push(format!(
                "{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}"
            ));
        }
        let end = self.parts.get(&(topic.to_owned(), 0)).map_or(0, Part::end);
        let items = items.join(",");
        Response::new(
            200,
            format!(
                "{{\"items\":[{items}],\"has_more\":{has_more},\"end_offset\":{end}}}"
            ),
        )
    }

    fn expire_members(&mut self) {
        let before = self.members.len();
        self.members.retain(|_, until| *until > Instant::now());
        if self.members.len() < before {
            self.generation += 1;
        }
    }

    fn join(&mut self, body: &Json) -> Response {
        let ttl = Duration::from_millis(body.number("ttl_ms").unwrap_or(1_000));
        let member = body.text("member_id").to_owned();
        if self.members.insert(member, Instant::now() + ttl).is_none() {
            self.generation += 1;
        }
        let body = format!("{{\"generation\":{},\"parts\":[]}}", self.generation);
        Response::new(200, body)
    }

    fn owners(&self) -> Response {
        let members: Vec<&String> = self.members.keys().collect();
        let row = |part: usize| {
            let member = members.get(part % members.len().max(1));
            let member = member.map_or("", |it| it.as_str());
            format!("[\"entry-0\",{part},\"{member}\",0]")
        };
        let rows: Vec<String> = (0..PARTS).map(row).collect();
        Response::new(200, format!("{{\"parts\":[{}]}}", rows.join(",")))
    }

    fn leave(&mut self, body: &Json) -> Response {
        if self.members.remove(body.text("member_id")).is_some() {
            self.generation += 1;
        }
        Response::new(200, "{}")
    }
}

/// Encodes records from an offset on, up to 1 MiB.
fn page(part: &Part, from: u64) -> Vec<u8> {
    let mut bytes = [part.end().to_be_bytes(), part.first.to_be_bytes()].concat();
    for (_, record) in part.records.iter().skip((from - part.first) as usize) {
        if bytes.len() + record.len() > 1 << 20 {
            break;
        }
        bytes.extend((record.len() as u32).to_be_bytes());
        bytes.extend(record);
    }
    bytes
}

/// Returns the request handler for one caller of a store.
pub fn handler(store: SharedStore, caller: usize) -> Handler {
    Arc::new(move |request| {
        // The time of an answer of the platform's store.
        thread::sleep(Duration::from_millis(4));
        if store.lock().unwrap().refused.contains(&caller) {
            return Some(Response::new(503, "{}"));
        }
        Some(answer(&store, caller, &request))
    })
}

fn answer(store: &SharedStore, caller: usize, request: &Request) -> Response {
    let body = Json::parse(&request.body);
    let topic = request.query.get("topic").cloned().unwrap_or_default();
    store.lock().unwrap().expire_members();
    match request.path.as_str() {
        wire::APPEND => store.lock().unwrap().append(caller, request),
        wire::READ => read(store, request, &topic),
        wire::NEWEST => {
            let after = request.query.get("after").cloned().unwrap_or_default();
            store.lock().unwrap().newest(&topic, &after)
        }
        wire::JOIN => store.lock().unwrap().join(&body),
        "/-/log-leave" => store.lock().unwrap().leave(&body),
        "/-/log-owners" => store.lock().unwrap().owners(),
        _ => Response::new(404, "{}"),
    }
}

/// Answers a read, which waits for a record for the time that the call names.
fn read(store: &SharedStore, request: &Request, topic: &str) -> Response {
    let (part, from) =
        (request.number("part").unwrap_or(0), request.number("from").unwrap_or(0));
    let wait = Duration::from_millis(request.number("wait_ms").unwrap_or(0));
    let until = Instant::now() + wait;
    loop {
        if let Some(response) = store.lock().unwrap().read(topic, part, from) {
            return response;
        }
        if Instant::now() >= until {
            let mut store = store.lock().unwrap();
            let part = store.parts.entry((topic.into(), part)).or_default();
            let bytes = [part.end().to_be_bytes(), part.first.to_be_bytes()].concat();
            return Response::new(200, bytes);
        }
        thread::sleep(Duration::from_millis(5));
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] =
        b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0u32, |word, &byte| word << 8 | u32::from(byte))
            << (8 * (3 - chunk.len()));
        for digit in 0..4 {
            let index = (word >> (18 - 6 * digit)) as usize & 63;
            let _ = match digit <= chunk.len() {
                true => text.write_char(char::from(DIGITS[index])),
                false => text.write_char('='),
            };
        }
    }
    text
}
