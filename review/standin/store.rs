//! The platform's store: logs whose records expire, keyed topics and groups.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http::{self, Reply, Request, reply};
use crate::json::{Json, object};
use crate::{KEEP_S, PARTS, wire};

/// The time that the store takes for an answer.
const ANSWER: Duration = Duration::from_millis(4);

/// The largest page of a read.
const PAGE_BYTES: usize = 1_024 * 1_024;

/// The number of records from which an append is wide. Clients hand one job in at a time.
const WIDE_APPEND: u64 = 3;

/// The time without wide appends after which the next one begins a round.
const REWRITE_PAUSE: Duration = Duration::from_secs(2);

/// The store, which all its addresses share.
#[derive(Default)]
pub struct Store {
    logs: HashMap<(String, u64), Log>,
    newest: HashMap<String, BTreeMap<String, (u64, Vec<u8>)>>,
    groups: HashMap<String, Group>,
    /// When an append last had several records, as when an instance writes its jobs again.
    wide_append_at: Option<Instant>,
    /// When the last round of such appends began.
    pub rewrite_began_at: Option<Instant>,
}

/// A partition of a topic.
#[derive(Default)]
struct Log {
    first: u64,
    records: VecDeque<(Instant, Vec<u8>)>,
}

/// The members of a group, and the owners of its partitions.
#[derive(Default)]
struct Group {
    generation: u64,
    members: BTreeMap<String, Instant>,
    topics: Vec<String>,
    owners: Vec<Option<String>>,
}

impl Log {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    /// Drops the records that are older than the store keeps them.
    fn expire(&mut self) {
        let keep = Duration::from_secs(KEEP_S);
        while self.records.front().is_some_and(|(at, _)| at.elapsed() > keep) {
            self.records.pop_front();
            self.first += 1;
        }
    }

    /// Returns a page from an offset on.
    fn page(&self, from: u64) -> Vec<u8> {
        let mut page = Vec::new();
        page.extend(self.end().to_be_bytes());
        page.extend(self.first.to_be_bytes());
        for (_, record) in self.records.iter().skip((from - self.first) as usize) {
            if page.len() + record.len() > PAGE_BYTES && page.len() > 16 {
                break;
            }
            page.extend((record.len() as u32).to_be_bytes());
            page.extend(record);
        }
        page
    }
}

impl Group {
    /// The member to which an even distribution gives a partition.
    fn target(&self, partition: usize) -> Option<String> {
        let members: Vec<&String> = self.members.keys().collect();
        (!members.is_empty()).then(|| members[partition % members.len()].clone())
    }

    /// Removes members whose time is over, and deals out the partitions that nobody has.
    fn settle(&mut self) {
        let before = self.members.len();
        self.members.retain(|_, until| *until > Instant::now());
        if self.members.len() != before {
            self.generation += 1;
        }
        for partition in 0..self.owners.len() {
            let owner = self.owners[partition].as_ref();
            if owner.is_none_or(|owner| !self.members.contains_key(owner)) {
                self.owners[partition] = self.target(partition);
            }
        }
    }

    fn join(
        &mut self,
        member: &str,
        ttl_ms: u64,
        known: u64,
        topics: Vec<String>,
    ) -> Json {
        self.settle();
        if self.topics.is_empty() {
            self.owners = vec![None; topics.len() * PARTS as usize];
            self.topics = topics;
        }
        let until = Instant::now() + Duration::from_millis(ttl_ms);
        if self.members.insert(member.into(), until).is_none() {
            self.generation += 1;
        }
        // A member that knows the generation gives up what is no longer meant for it.
        for partition in 0..self.owners.len() {
            let own = self.owners[partition].as_deref() == Some(member);
            if own && known >= self.generation {
                self.owners[partition] = None;
            }
        }
        self.settle();
        let own = (0..self.owners.len()).filter(|&partition| {
            self.owners[partition].as_deref() == Some(member)
                && self.target(partition).as_deref() == Some(member)
        });
        let rows = own.map(|partition| {
            let (topic, part) = self.place(partition);
            Json::List(vec![topic, part, Json::from(0)])
        });
        object([
            ("generation", self.generation.into()),
            ("parts", rows.collect::<Vec<_>>().into()),
        ])
    }

    fn place(&self, partition: usize) -> (Json, Json) {
        let topic = &self.topics[partition / PARTS as usize];
        (topic.as_str().into(), ((partition % PARTS as usize) as u64).into())
    }

    fn owners(&mut self) -> Json {
        self.settle();
        let rows = (0..self.owners.len()).filter_map(|partition| {
            let owner = self.owners[partition].as_deref()?;
            let (topic, part) = self.place(partition);
            Some(Json::List(vec![topic, part, owner.into(), Json::from(0)]))
        });
        object([("parts", rows.collect::<Vec<_>>().into())])
    }
}

impl Store {
    /// Writes a record of a keyed topic.
    pub fn put(&mut self, topic: &str, key: &str, value: &Json) {
        let value = value.to_string().into_bytes();
        let log = self.logs.entry((topic.into(), 0)).or_default();
        let mut record = vec![key.len() as u8];
        record.extend(key.bytes());
        record.extend(&value);
        let offset = log.end();
        log.records.push_back((Instant::now(), record));
        self.newest.entry(topic.into()).or_default().insert(key.into(), (offset, value));
    }

    fn append(
        &mut self,
        topic: &str,
        part: u64,
        at: Option<u64>,
        body: &[u8],
    ) -> Option<Reply> {
        let log = self.logs.entry((topic.into(), part)).or_default();
        log.expire();
        let offset = log.end();
        if at.is_some_and(|at| at != offset) {
            return reply(412, object([("end_offset", offset.into())]).to_string());
        }
        let mut rest = body;
        let first = log.end();
        while rest.len() >= 4 {
            let (length, tail) = rest.split_at(4);
            let length =
                u32::from_be_bytes(length.try_into().unwrap_or_default()) as usize;
            let (record, tail) = tail.split_at(length.min(tail.len()));
            log.records.push_back((Instant::now(), record.to_vec()));
            rest = tail;
        }
        if log.end() - first >= WIDE_APPEND {
            let now = Instant::now();
            let last = self.wide_append_at.replace(now);
            if last.is_none_or(|last| now - last > REWRITE_PAUSE) {
                self.rewrite_began_at = Some(now);
            }
        }
        let body = object([("offset", offset.into()), ("end_offset", log.end().into())]);
        reply(200, body.to_string())
    }

    /// Returns a page, or none if there is no record at the offset yet.
    fn read(&mut self, topic: &str, part: u64, from: u64) -> Option<Option<Reply>> {
        let log = self.logs.entry((topic.into(), part)).or_default();
        if !topic.starts_with("keyed.") {
            log.expire();
        }
        if from < log.first {
            let body = object([("first_offset", log.first.into())]);
            return Some(reply(410, body.to_string()));
        }
        (from < log.end()).then(|| reply(200, log.page(from)))
    }

    fn newest(&self, topic: &str, after: &str) -> Json {
        let empty = BTreeMap::new();
        let newest = self.newest.get(topic).unwrap_or(&empty);
        let items = newest.iter().filter(|(key, _)| key.as_str() > after);
        let items = items.map(|(key, (offset, value))| {
            let value = base64(value);
            object([
                ("key", key.as_str().into()),
                ("value", value.as_str().into()),
                ("offset", (*offset).into()),
            ])
        });
        let end = self.logs.get(&(topic.to_owned(), 0)).map_or(0, Log::end);
        object([
            ("items", items.collect::<Vec<_>>().into()),
            ("has_more", false.into()),
            ("end_offset", end.into()),
        ])
    }
}

/// Serves the store at an address of its own for one machine. While `closed` is set, it
/// answers that machine with 503.
pub fn serve(store: Arc<Mutex<Store>>, listener: TcpListener, closed: Arc<AtomicBool>) {
    let handler = move |request: Request| {
        sleep(ANSWER);
        if closed.load(Ordering::Relaxed) {
            return reply(503, "");
        }
        answer(&store, &request)
    };
    http::serve(listener, Arc::new(handler));
}

fn answer(store: &Mutex<Store>, request: &Request) -> Option<Reply> {
    let text = |name: &str| request.query.get(name).cloned().unwrap_or_default();
    let number = |name: &str| text(name).parse::<u64>().ok();
    let (topic, part) = (text("topic"), number("part").unwrap_or(0));
    let body = || Json::parse(&String::from_utf8_lossy(&request.body));
    let path = request.path.as_str();
    match path {
        _ if path == wire("append") => {
            store.lock().ok()?.append(&topic, part, number("at"), &request.body)
        }
        _ if path == wire("read") => {
            let from = number("from").unwrap_or(0);
            let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
            let until = Instant::now() + wait;
            loop {
                if let Some(found) = store.lock().ok()?.read(&topic, part, from) {
                    return found;
                }
                if Instant::now() >= until {
                    let mut store = store.lock().ok()?;
                    let log = store.logs.entry((topic, part)).or_default();
                    let mut page = log.end().to_be_bytes().to_vec();
                    page.extend(log.first.to_be_bytes());
                    return reply(200, page);
                }
                sleep(Duration::from_millis(10));
            }
        }
        _ if path == wire("newest") => {
            reply(200, store.lock().ok()?.newest(&topic, &text("after")).to_string())
        }
        _ if path == wire("join") => {
            let body = body();
            let topics = match body.get("topics") {
                Json::List(topics) => {
                    topics.iter().map(|it| it.text().to_owned()).collect()
                }
                _ => Vec::new(),
            };
            let ttl_ms = body.get("ttl_ms").number()?;
            let known = body.get("generation").number().unwrap_or(0);
            let mut store = store.lock().ok()?;
            let group = store.groups.entry(body.get("group").text().into()).or_default();
            let joined = group.join(body.get("member_id").text(), ttl_ms, known, topics);
            reply(200, joined.to_string())
        }
        _ if path == wire("leave") => {
            let body = body();
            let mut store = store.lock().ok()?;
            let group = store.groups.entry(body.get("group").text().into()).or_default();
            if group.members.remove(body.get("member_id").text()).is_some() {
                group.generation += 1;
            }
            group.settle();
            reply(200, "{}")
        }
        _ if path == wire("owners") => {
            let mut store = store.lock().ok()?;
            let group = store.groups.entry(text("group")).or_default();
            reply(200, group.owners().to_string())
        }
        _ => reply(404, ""),
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] =
        b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut word = 0u32;
        for position in 0..3 {
            word = word << 8 | u32::from(*chunk.get(position).unwrap_or(&0));
        }
        for position in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * position) & 63) as usize] as char;
            text.push(if position <= chunk.len() { digit } else { '=' });
        }
    }
    text
}
