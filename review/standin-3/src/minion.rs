//! A stand-in for the platform's minions, which run tasks under a lease.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Handler, Request, Response, Server};
use crate::json::Json;
use crate::store::SharedStore;
use crate::wire::{self, ACTIVE, ENDED};

/// The longest lease that a minion grants, in milliseconds.
const MAX_HOLD_MS: u64 = 1_000;

/// The most ends in one answer.
const MAX_LISTED_ENDS: usize = 500;

/// The capacity of a minion.
pub const CPU: u64 = 16_000;
const MEM_MB: u64 = 65_536;

/// The interval between two writes of an entry, and the silence after which it is removed.
const HEARTBEAT_MS: u64 = 1_500;
const EXPIRY_MS: u64 = 3 * HEARTBEAT_MS;

/// A step of a job, as the minions know it.
#[derive(Debug, Clone)]
pub struct Step {
    pub cpu: u64,
    /// How long a task works; none if it lasts.
    pub work_ms: Option<u64>,
}

/// A run that a minion has begun.
#[derive(Debug, Clone)]
pub struct Run {
    pub task: String,
    pub number: u64,
    pub minion: usize,
    pub began_ms: u64,
    pub ended_ms: Option<u64>,
    pub how: &'static str,
    /// Whether its end was taken note of before the lease of its minion lapsed.
    pub noted: bool,
}

/// The state of all minions.
pub struct Fleet {
    started: Instant,
    minions: Vec<Minion>,
    /// The steps and the description of each job that a client has sent.
    pub jobs: HashMap<String, (String, Vec<Step>)>,
    /// All runs in the order of their starts.
    pub runs: Vec<Run>,
    /// Starts that no client has asked for.
    pub unasked: Vec<String>,
}

/// A fleet that threads share.
pub type SharedFleet = Arc<Mutex<Fleet>>;

struct Minion {
    id: String,
    zone: String,
    labels: [String; 2],
    address: Option<SocketAddr>,
    process: Option<Process>,
    /// When its entry was last written, if it is in the store.
    written_ms: Option<u64>,
    seq: u64,
}

/// One life of a minion.
struct Process {
    born_unix_ms: u64,
    born_ms: u64,
    fence: u64,
    lease_until_ms: u64,
    active: BTreeMap<(String, u64), Active>,
    ended: Vec<End>,
    next_end: u64,
    highest: HashMap<String, u64>,
}

/// An end that no hold has allowed the minion to forget.
struct End {
    number: u64,
    run: usize,
    key: (String, u64),
    how: &'static str,
    /// Whether the lease has lapsed since.
    lapsed: bool,
}

struct Active {
    run: usize,
    cpu: u64,
    work_ms: Option<u64>,
    began_ms: u64,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

impl Process {
    fn new(now_ms: u64) -> Self {
        Self {
            born_unix_ms: unix_ms(),
            born_ms: now_ms,
            fence: 0,
            lease_until_ms: 0,
            active: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
            highest: HashMap::new(),
        }
    }

    /// Returns the reading of its clock.
    fn clock_ms(&self, now_ms: u64) -> u64 {
        now_ms - self.born_ms + 1
    }

    fn extend(&mut self, deadline_ms: Option<u64>, now_ms: u64) {
        let longest_ms = self.clock_ms(now_ms) + MAX_HOLD_MS;
        let until_ms = deadline_ms.unwrap_or(0).min(longest_ms);
        self.lease_until_ms = self.lease_until_ms.max(until_ms);
    }

    fn end(&mut self, key: &(String, u64), how: &'static str) -> Option<usize> {
        let active = self.active.remove(key)?;
        let (number, run) = (self.next_end, active.run);
        self.ended.push(End { number, run, key: key.clone(), how, lapsed: false });
        self.next_end += 1;
        Some(run)
    }

    fn used_cpu(&self) -> u64 {
        self.active.values().map(|it| it.cpu).sum()
    }

    fn rejection(&self, now_ms: u64, reason: &str) -> Response {
        let clock_ms = self.clock_ms(now_ms);
        Response::new(409, format!("{{\"clock_ms\":{clock_ms},\"reason\":\"{reason}\"}}"))
    }

    fn accepted(&self, now_ms: u64) -> Response {
        Response::new(200, format!("{{\"clock_ms\":{}}}", self.clock_ms(now_ms)))
    }

    fn lists(&self, now_ms: u64) -> Response {
        let active: Vec<String> = self
            .active
            .iter()
            .map(|((task, number), it)| {
                let worked_ms = now_ms - it.began_ms;
                let percent = it.work_ms.map_or(100, |ms| 100 * worked_ms / ms.max(1));
                format!("[\"{task}\",{number},\"\",{},{}]", percent.min(100), it.cpu)
            })
            .collect();
        let ended: Vec<String> = self
            .ended
            .iter()
            .take(MAX_LISTED_ENDS)
            .map(|End { number, key: (task, run), how, .. }| {
                format!("[{number},\"{task}\",{run},\"{how}\",\"\"]")
            })
            .collect();
        let mut body = String::new();
        let _ = write!(
            body,
            "{{\"clock_ms\":{},\"born\":{},\"{ACTIVE}\":[{}],\"{ENDED}\":[{}]}}",
            self.clock_ms(now_ms),
            self.born_unix_ms,
            active.join(","),
            ended.join(",")
        );
        Response::new(200, body)
    }
}

impl Fleet {
    /// Creates a fleet without minions.
    pub fn new() -> SharedFleet {
        Arc::new(Mutex::new(Self {
            started: Instant::now(),
            minions: Vec::new(),
            jobs: HashMap::new(),
            runs: Vec::new(),
            unasked: Vec::new(),
        }))
    }

    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Returns the number of minions.
    pub fn len(&self) -> usize {
        self.minions.len()
    }

    /// Returns the processors in use at a minion and whether it is up.
    pub fn used_cpu(&mut self, number: usize) -> Option<u64> {
        self.advance(number);
        self.minions[number].process.as_ref().map(Process::used_cpu)
    }

    /// Returns the runs of a job so far.
    pub fn runs_of(&mut self, job: &str) -> Vec<Run> {
        (0..self.minions.len()).for_each(|number| self.advance(number));
        self.runs.iter().filter(|it| it.task.starts_with(job)).cloned().collect()
    }

    /// Lets a task that is at work fail, and returns whether it was.
    pub fn fail(&mut self, task: &str) -> bool {
        for number in 0..self.minions.len() {
            self.advance(number);
            let now_ms = self.now_ms();
            let Some(process) = self.minions[number].process.as_mut() else { continue };
            let key = process.active.keys().find(|(of, _)| of == task).cloned();
            if let Some(run) = key.and_then(|key| process.end(&key, "failed")) {
                self.runs[run].ended_ms = Some(now_ms);
                self.runs[run].how = "failed";
                return true;
            }
        }
        false
    }

    /// Ends what is due on a minion.
    fn advance(&mut self, number: usize) {
        let now_ms = self.now_ms();
        let Some(process) = self.minions[number].process.as_mut() else { return };
        let clock_ms = process.clock_ms(now_ms);
        let lapse_ms = process.born_ms + process.lease_until_ms;
        let mut due: Vec<(u64, (String, u64), &'static str)> = Vec::new();
        for (key, it) in &process.active {
            let done_ms = it.work_ms.map_or(u64::MAX, |ms| it.began_ms + ms);
            if done_ms <= now_ms.min(lapse_ms) {
                due.push((done_ms, key.clone(), "done"));
            } else if process.lease_until_ms <= clock_ms {
                due.push((lapse_ms, key.clone(), "lapsed"));
            }
        }
        due.sort();
        for (at_ms, key, how) in due {
            if let Some(run) = process.end(&key, how) {
                self.runs[run].ended_ms = Some(at_ms);
                self.runs[run].how = how;
            }
        }
        if process.lease_until_ms <= clock_ms {
            process.ended.iter_mut().for_each(|end| end.lapsed = true);
        }
    }

    /// Ends the process of a minion with all that runs on it.
    fn crash(&mut self, number: usize) {
        self.advance(number);
        let now_ms = self.now_ms();
        let process = self.minions[number].process.take();
        for active in process.iter().flat_map(|it| it.active.values()) {
            self.runs[active.run].ended_ms = Some(now_ms);
            self.runs[active.run].how = "crash";
        }
    }

    /// Writes or removes the entries that are due.
    fn write_entries(&mut self, store: &SharedStore) {
        let now_ms = self.now_ms();
        for minion in &mut self.minions {
            let age_ms = minion.written_ms.map(|at_ms| now_ms - at_ms);
            let (Some(address), Some(process)) = (minion.address, &minion.process) else {
                if age_ms.is_some_and(|age_ms| age_ms > EXPIRY_MS) {
                    minion.written_ms = None;
                    store.lock().unwrap().put("keyed.servers", &minion.id, "");
                }
                continue;
            };
            if age_ms.is_some_and(|age_ms| age_ms < HEARTBEAT_MS) {
                continue;
            }
            minion.written_ms = Some(now_ms);
            minion.seq += 1;
            let [kind, rack] = &minion.labels;
            let entry = format!(
                "{{\"service\":\"yard\",\"address\":\"{address}\",\"zone\":\"{}\",\
                 \"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_left_ms\":0,\
                 \"capacity\":{{\"cpu\":{CPU},\"mem_mb\":{MEM_MB},\"gpu\":0}},\
                 \"labels\":[\"{kind}\",\"{rack}\"],\"clock_ms\":{},\"born\":{},\"seq\":{}}}",
                minion.zone,
                process.clock_ms(now_ms),
                process.born_unix_ms,
                minion.seq
            );
            store.lock().unwrap().put("keyed.servers", &minion.id, &entry);
        }
    }

    /// Checks the fencing token of a call; a response is a rejection.
    fn check(&mut self, number: usize, body: &Json) -> Option<Result<(), Response>> {
        self.advance(number);
        let now_ms = self.now_ms();
        let process = self.minions[number].process.as_mut()?;
        let fence = body.number("fence_token").unwrap_or(0);
        if fence < process.fence {
            return Some(Err(process.rejection(now_ms, "fence")));
        }
        process.fence = fence;
        Some(Ok(()))
    }

    fn start(&mut self, number: usize, body: &Json) -> Option<Response> {
        if let Err(response) = self.check(number, body)? {
            return Some(response);
        }
        let now_ms = self.now_ms();
        let task = body.text("task_id").to_owned();
        let run = body.number(wire::RUN).unwrap_or(0);
        let deadline_ms = body.number("deadline_ms");
        let step = self.step_of(&task, body.text(wire::SPEC));
        let process = self.minions[number].process.as_mut()?;
        let key = (task.clone(), run);
        if process.active.contains_key(&key) {
            process.extend(deadline_ms, now_ms);
            return Some(process.accepted(now_ms));
        }
        if process.highest.get(&task).is_some_and(|&highest| run <= highest) {
            process.extend(deadline_ms, now_ms);
            return Some(process.rejection(now_ms, "old"));
        }
        if deadline_ms.unwrap_or(0) <= process.clock_ms(now_ms) {
            return Some(process.rejection(now_ms, "late"));
        }
        let Some(Step { cpu, work_ms }) = step else {
            self.unasked.push(task);
            return Some(Response::new(400, "{}"));
        };
        process.extend(deadline_ms, now_ms);
        if process.used_cpu() + cpu > CPU {
            return Some(process.rejection(now_ms, "room"));
        }
        process.highest.insert(task.clone(), run);
        let active = Active { run: self.runs.len(), cpu, work_ms, began_ms: now_ms };
        process.active.insert(key, active);
        let response = process.accepted(now_ms);
        self.runs.push(Run {
            task,
            number: run,
            minion: number,
            began_ms: now_ms,
            ended_ms: None,
            how: "",
            noted: false,
        });
        Some(response)
    }

    /// Returns the step of a task that a client has sent with this description.
    fn step_of(&self, task: &str, spec: &str) -> Option<Step> {
        let mut parts = task.split('.');
        let (job, step) = (parts.next()?, parts.nth(1)?);
        let (sent, steps) = self.jobs.get(job)?;
        let step = steps.get(step.parse::<usize>().ok()?)?;
        (sent == spec).then(|| step.clone())
    }

    fn stop(&mut self, number: usize, body: &Json) -> Option<Response> {
        if let Err(response) = self.check(number, body)? {
            return Some(response);
        }
        let now_ms = self.now_ms();
        let key = (body.text("task_id").to_owned(), body.number(wire::RUN).unwrap_or(0));
        let process = self.minions[number].process.as_mut()?;
        let highest = process.highest.entry(key.0.clone()).or_default();
        *highest = key.1.max(*highest);
        let ended = process.end(&key, "stopped");
        let response = process.accepted(now_ms);
        if let Some(run) = ended {
            self.runs[run].ended_ms = Some(now_ms);
            self.runs[run].how = "stopped";
        }
        Some(response)
    }

    /// Begins a hold, and returns which life answers it.
    fn begin_hold(
        &mut self,
        number: usize,
        body: &Json,
    ) -> Option<Result<u64, Response>> {
        if let Err(response) = self.check(number, body)? {
            return Some(Err(response));
        }
        let now_ms = self.now_ms();
        let process = self.minions[number].process.as_mut()?;
        process.extend(body.number("deadline_ms"), now_ms);
        let seen = body.number("last_seen").unwrap_or(0);
        for end in process.ended.extract_if(.., |end| end.number <= seen) {
            self.runs[end.run].noted = !end.lapsed;
        }
        Some(Ok(process.born_ms))
    }

    /// Returns the lists if they have an end or the wait is over.
    fn poll_hold(
        &mut self,
        number: usize,
        life: u64,
        over: bool,
    ) -> Option<Option<Response>> {
        self.advance(number);
        let now_ms = self.now_ms();
        let process = self.minions[number].process.as_ref()?;
        if process.born_ms != life {
            return None;
        }
        let ready = over || !process.ended.is_empty();
        Some(ready.then(|| process.lists(now_ms)))
    }
}

/// Returns the request handler of a minion.
fn handler(fleet: SharedFleet, number: usize, id: String) -> Handler {
    Arc::new(move |request| {
        let body = Json::parse(&request.body);
        let named = request.headers.get("x-bamboocart-target-instance");
        if named.is_some_and(|named| *named != id) {
            return Some(Response::new(421, "{}"));
        }
        match request.path.as_str() {
            wire::START => fleet.lock().unwrap().start(number, &body),
            wire::STOP => fleet.lock().unwrap().stop(number, &body),
            "/-/hold" => hold(&fleet, number, &body),
            "/health" => Some(Response::new(200, "{}")),
            _ => unknown(&request),
        }
    })
}

fn unknown(_: &Request) -> Option<Response> {
    Some(Response::new(404, "{}"))
}

fn hold(fleet: &SharedFleet, number: usize, body: &Json) -> Option<Response> {
    let begun = fleet.lock().unwrap().begin_hold(number, body)?;
    let life = match begun {
        Ok(life) => life,
        Err(response) => return Some(response),
    };
    let wait_ms = body.number("wait_ms").unwrap_or(0).min(2_000);
    let until = Instant::now() + Duration::from_millis(wait_ms);
    loop {
        let over = Instant::now() >= until;
        let polled = fleet.lock().unwrap().poll_hold(number, life, over)?;
        if let Some(response) = polled {
            return Some(response);
        }
        thread::sleep(Duration::from_millis(2));
    }
}

/// The servers of the minions, with the thread that writes their entries.
pub struct Minions {
    pub fleet: SharedFleet,
    servers: Vec<Server>,
}

impl Minions {
    /// Starts one minion for each zone and kind that is listed.
    pub fn start(store: &SharedStore, places: &[(&str, &str)]) -> Self {
        let fleet = Fleet::new();
        let mut servers = Vec::new();
        for (number, (zone, kind)) in places.iter().enumerate() {
            let id =
                format!("i-{number:02}{:06x}", (unix_ms() + number as u64) & 0xff_ffff);
            let handler = handler(Arc::clone(&fleet), number, id.clone());
            let address = SocketAddr::from(([127, 0, 0, 1], 0));
            let server = Server::start(address, handler).expect("a port for a minion");
            let mut locked = fleet.lock().unwrap();
            let process = Some(Process::new(locked.now_ms()));
            locked.minions.push(Minion {
                id,
                zone: (*zone).into(),
                labels: [(*kind).into(), format!("r1-{}", number / 2)],
                address: Some(server.address),
                process,
                written_ms: None,
                seq: 0,
            });
            drop(locked);
            servers.push(server);
        }
        fleet.lock().unwrap().write_entries(store);
        let (writer, store) = (Arc::clone(&fleet), Arc::clone(store));
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                writer.lock().unwrap().write_entries(&store);
            }
        });
        Self { fleet, servers }
    }

    /// Ends the process of a minion.
    pub fn crash(&self, number: usize) {
        self.fleet.lock().unwrap().crash(number);
        self.servers[number].close();
    }

    /// Starts the process of a minion again, under its id and at its address.
    pub fn restart(&self, number: usize) {
        let mut fleet = self.fleet.lock().unwrap();
        let process = Process::new(fleet.now_ms());
        fleet.minions[number].process = Some(process);
        fleet.minions[number].written_ms = None;
        drop(fleet);
        self.servers[number].open();
    }
}
