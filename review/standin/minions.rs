//! Minions, which run tasks under leases with fencing tokens, and what they have run.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http::{self, Reply, Request, reply};
use crate::json::{Json, object};
use crate::record::Record;
use crate::wire;

/// The longest lease that a minion grants, in milliseconds.
const MAX_HOLD_MS: u64 = 1_000;

/// The processors of a minion, in thousandths.
pub const CPU: u64 = 16_000;

/// The most ends in one answer.
const MAX_ENDS: usize = 500;

/// A run that a minion has begun.
#[derive(Debug, Clone)]
pub struct Run {
    pub task: String,
    pub run: u64,
    pub minion: String,
    pub began: Instant,
    pub ended: Option<Instant>,
    pub how: &'static str,
    /// When `last_seen` has reached the end.
    pub noted: Option<Instant>,
    /// Whether the lease of the minion was over between the end and its noting.
    pub lapsed_between: bool,
}

/// All runs of all minions, in the order of their starts.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// A minion.
pub struct Minion {
    pub id: String,
    pub zone: String,
    pub labels: Vec<String>,
    pub address: SocketAddr,
    /// The start of its present process, on the steady clock and since the Unix epoch.
    born: Mutex<(Instant, u64)>,
    /// Whether it has no process.
    down: AtomicBool,
    record: Record,
    runs: Runs,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    fence: u64,
    lease_until_ms: u64,
    active: BTreeMap<(String, u64), Active>,
    ended: Vec<End>,
    next_end: u64,
    highest: HashMap<String, u64>,
}

struct Active {
    index: usize,
    cpu: u64,
    /// When it began on the minion's clock.
    began_ms: u64,
    /// When it ends by itself on that clock, and how; tasks that last have none.
    ends: Option<(u64, &'static str)>,
}

impl Active {
    /// The share of its work that is done.
    fn percent(&self, now_ms: u64) -> u64 {
        let Some((ends_ms, _)) = self.ends else { return 100 };
        let length_ms = ends_ms.saturating_sub(self.began_ms).max(1);
        (now_ms.saturating_sub(self.began_ms) * 100 / length_ms).min(100)
    }
}

struct End {
    number: u64,
    index: usize,
    task: String,
    run: u64,
    how: &'static str,
}

impl Minion {
    /// Starts a minion on a free port.
    pub fn start(
        id: &str,
        zone: &str,
        labels: &[&str],
        record: &Record,
        runs: &Runs,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let minion = Arc::new(Self {
            id: id.into(),
            zone: zone.into(),
            labels: labels.iter().map(|&label| label.into()).collect(),
            address: listener.local_addr().expect("an address"),
            born: Mutex::new((Instant::now(), crate::unix_ms())),
            down: AtomicBool::new(false),
            record: record.clone(),
            runs: Arc::clone(runs),
            state: Mutex::default(),
        });
        let own = Arc::clone(&minion);
        http::serve(listener, Arc::new(move |request| own.answer(&request)));
        minion
    }

    /// The entry that the minion keeps in the store.
    pub fn entry(&self) -> Json {
        let labels: Vec<Json> = self.labels.iter().map(|it| it.as_str().into()).collect();
        object([
            ("service", "floatyard".into()),
            ("address", self.address.to_string().as_str().into()),
            ("zone", self.zone.as_str().into()),
            ("version", "v1".into()),
            ("slots", 8.into()),
            ("state", "ready".into()),
            (
                "capacity",
                object([
                    ("cpu", CPU.into()),
                    ("mem_mb", 65_536.into()),
                    ("gpu", 0.into()),
                ]),
            ),
            ("labels", labels.into()),
            ("cold_left_ms", 0.into()),
            ("born", self.born().1.into()),
            ("seq", 1.into()),
        ])
    }

    /// The processors that are in use.
    pub fn used_cpu(&self) -> u64 {
        let mut state = self.state.lock().expect("the state");
        self.advance(&mut state);
        state.active.values().map(|it| it.cpu).sum()
    }

    fn born(&self) -> (Instant, u64) {
        *self.born.lock().expect("the start")
    }

    /// Ends the process with all that it runs. Calls get no answer until the next one.
    pub fn crash(&self) {
        let mut state = self.state.lock().expect("the state");
        self.advance(&mut state);
        self.down.store(true, Ordering::Relaxed);
        self.record.say(&format!("{} crashes with {} runs", self.id, state.active.len()));
        let mut runs = self.runs.lock().expect("the runs");
        for active in state.active.values() {
            let entry = &mut runs[active.index];
            (entry.ended, entry.how) = (Some(Instant::now()), "crashed");
        }
        *state = State::default();
    }

    /// Starts a process under the same id, which knows nothing of the last one.
    pub fn restart(&self) {
        *self.born.lock().expect("the start") = (Instant::now(), crate::unix_ms());
        self.record.say(&format!("{} starts again", self.id));
        self.down.store(false, Ordering::Relaxed);
    }

    fn clock_ms(&self) -> u64 {
        self.born().0.elapsed().as_millis() as u64 + 1_000
    }

    /// Ends the runs that are done or whose lease is over.
    fn advance(&self, state: &mut State) {
        let now_ms = self.clock_ms();
        let lease_ms = state.lease_until_ms;
        let mut due: Vec<(u64, (String, u64), &'static str)> = Vec::new();
        for (key, active) in &state.active {
            match active.ends {
                Some((at, how)) if at <= lease_ms.min(now_ms) => {
                    due.push((at, key.clone(), how))
                }
                _ if lease_ms <= now_ms => due.push((lease_ms, key.clone(), "lapsed")),
                _ => {}
            }
        }
        due.sort();
        for (at_ms, key, how) in due {
            self.end(state, &key, how, at_ms);
        }
        if lease_ms <= now_ms {
            let mut runs = self.runs.lock().expect("the runs");
            for end in &state.ended {
                runs[end.index].lapsed_between = true;
            }
        }
    }

    fn end(&self, state: &mut State, key: &(String, u64), how: &'static str, at_ms: u64) {
        let Some(active) = state.active.remove(key) else { return };
        let ended = self.born().0 + Duration::from_millis(at_ms.saturating_sub(1_000));
        state.next_end += 1;
        let (task, run) = key.clone();
        self.record.at(ended, &format!("{} ends {task} run {run}: {how}", self.id));
        state.ended.push(End {
            number: state.next_end,
            index: active.index,
            task,
            run,
            how,
        });
        let mut runs = self.runs.lock().expect("the runs");
        let entry = &mut runs[active.index];
        (entry.ended, entry.how) = (Some(ended), how);
    }

    fn refuse(&self, reason: &str) -> Option<Reply> {
        let body =
            object([("clock_ms", self.clock_ms().into()), ("reason", reason.into())]);
        reply(409, body.to_string())
    }

    fn accept(&self) -> Option<Reply> {
        reply(200, object([("clock_ms", self.clock_ms().into())]).to_string())
    }

    fn extend(&self, state: &mut State, body: &Json) {
        let asked = body.get("deadline_ms").number().unwrap_or(0);
        let until = asked.min(self.clock_ms() + MAX_HOLD_MS);
        state.lease_until_ms = state.lease_until_ms.max(until);
    }

    fn answer(&self, request: &Request) -> Option<Reply> {
        if self.down.load(Ordering::Relaxed) {
            return None;
        }
        let target = request.headers.get("x-bamboocart-target-instance");
        if target.is_some_and(|target| *target != self.id) {
            return reply(421, "");
        }
        let body = Json::parse(&String::from_utf8_lossy(&request.body));
        let mut state = self.state.lock().ok()?;
        self.advance(&mut state);
        let fence = body.get("fence_token").number().unwrap_or(0);
        if fence < state.fence {
            return self.refuse("fence");
        }
        state.fence = fence;
        let path = request.path.as_str();
        if path == wire("start") {
            return self.start_run(&mut state, &body);
        }
        if path == wire("stop") {
            let key = key_of(&body);
            let highest = state.highest.entry(key.0.clone()).or_default();
            *highest = key.1.max(*highest);
            let now_ms = self.clock_ms();
            self.end(&mut state, &key, "stopped", now_ms);
            return self.accept();
        }
        if path != wire("hold") {
            return reply(404, "");
        }
        let seen = body.get("last_seen").number().unwrap_or(0);
        {
            let mut runs = self.runs.lock().ok()?;
            for end in state.ended.iter().filter(|end| end.number <= seen) {
                runs[end.index].noted = Some(Instant::now());
            }
        }
        state.ended.retain(|end| end.number > seen);
        self.extend(&mut state, &body);
        let wait_ms = body.get("wait_ms").number().unwrap_or(0).min(2_000);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        while state.ended.is_empty() && Instant::now() < until {
            drop(state);
            sleep(Duration::from_millis(2));
            state = self.state.lock().ok()?;
            if self.down.load(Ordering::Relaxed) {
                return None;
            }
            self.advance(&mut state);
        }
        let now_ms = self.clock_ms();
        let active = state.active.iter().map(|((task, run), active)| {
            let percent = active.percent(now_ms).into();
            let row = [task.as_str().into(), (*run).into(), "".into(), percent];
            Json::List([row.to_vec(), vec![active.cpu.into()]].concat())
        });
        let ended = state.ended.iter().take(MAX_ENDS).map(|end| {
            let row: [Json; 5] = [
                end.number.into(),
                end.task.as_str().into(),
                end.run.into(),
                end.how.into(),
                "".into(),
            ];
            Json::List(row.to_vec())
        });
        let body = object([
            ("clock_ms", self.clock_ms().into()),
            ("born", self.born().1.into()),
            (wire("active"), active.collect::<Vec<_>>().into()),
            (wire("ended"), ended.collect::<Vec<_>>().into()),
        ]);
        reply(200, body.to_string())
    }

    fn start_run(&self, state: &mut State, body: &Json) -> Option<Reply> {
        let key = key_of(body);
        let now_ms = self.clock_ms();
        if state.active.contains_key(&key) {
            self.extend(state, body);
            return self.accept();
        }
        if state.highest.get(&key.0).is_some_and(|&highest| key.1 <= highest) {
            self.extend(state, body);
            return self.refuse("old");
        }
        if body.get("deadline_ms").number().unwrap_or(0) <= now_ms {
            return self.refuse("late");
        }
        self.extend(state, body);
        // The clients of these cases write `cpu=N` and `ms=N`, `fail=N` or `last`.
        let spec = body.get(wire("spec")).text().to_owned();
        let words: HashMap<&str, u64> = spec
            .split(' ')
            .filter_map(|word| word.split_once('='))
            .filter_map(|(key, value)| Some((key, value.parse().ok()?)))
            .collect();
        let cpu = words.get("cpu").copied().unwrap_or(1_000);
        let used: u64 = state.active.values().map(|it| it.cpu).sum();
        if used + cpu > CPU {
            return self.refuse("room");
        }
        let done = words.get("ms").map(|ms| (now_ms + ms, "done"));
        let ends = done.or_else(|| words.get("fail").map(|ms| (now_ms + ms, "failed")));
        state.highest.insert(key.0.clone(), key.1);
        let now = Instant::now();
        self.record.at(now, &format!("{} starts {} run {}", self.id, key.0, key.1));
        let mut runs = self.runs.lock().ok()?;
        state.active.insert(
            key.clone(),
            Active { index: runs.len(), cpu, began_ms: now_ms, ends },
        );
        runs.push(Run {
            task: key.0,
            run: key.1,
            minion: self.id.clone(),
            began: now,
            ended: None,
            how: "",
            noted: None,
            lapsed_between: false,
        });
        drop(runs);
        self.accept()
    }
}

/// Keeps the ends of runs up to date although nobody calls the minions.
pub fn watch(minions: &[Arc<Minion>]) {
    let minions = minions.to_vec();
    std::thread::spawn(move || {
        loop {
            minions.iter().for_each(|minion| {
                minion.used_cpu();
            });
            sleep(Duration::from_millis(5));
        }
    });
}

fn key_of(body: &Json) -> (String, u64) {
    let number = body.get(wire("run_number")).number().unwrap_or(0);
    (body.get("task_id").text().to_owned(), number)
}
