//! The system under test: instances as processes, with a platform of stand-ins, and clients.

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Server};
use crate::minion::{Minions, Step};
use crate::store::{self, SharedStore, Store};
use crate::wire::SPEC;

/// The host of all queues.
const HOST: &str = "nony24.example";

/// The prefix of the queue of all jobs.
pub const PREFIX: &str = "/lohu930/";

/// The failure domains.
pub const ZONES: [&str; 3] = ["marka", "sahab", "qastal"];

/// How long a client waits for a response, and until it sends a job again.
const CLIENT_MS: u64 = 5_000;
const RESEND: Duration = Duration::from_millis(1_300);

/// The longest time for which a case runs.
const LIMIT: Duration = Duration::from_secs(117);

/// The processes that were started.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// The command of the deploy file.
const PROGRAM: &str = "target/deploy/bamboocart-dispatcher";

/// A platform, instances and clients.
pub struct System {
    pub store: SharedStore,
    pub minions: Minions,
    pub instances: Vec<Instance>,
    folder: PathBuf,
    record: File,
    started: Instant,
    random: u64,
    next_client: usize,
    /// When each job was accepted, in seconds since the start.
    accepted: HashMap<String, f64>,
    pub keep_s: u64,
}

/// An instance, which is one process at a time.
pub struct Instance {
    pub name: String,
    zone: &'static str,
    ip: String,
    ports: [u16; 5],
    /// Its way to the store.
    store: Server,
    process: Option<Child>,
}

/// A job that a client sends.
pub struct Job {
    pub id: String,
    pub steps: Vec<Step>,
    body: String,
}

impl Job {
    /// Creates a stored job with one step.
    pub fn new(
        id: String,
        count: u32,
        step: Step,
        est_ms: u64,
        more: &str,
        job: &str,
    ) -> Self {
        let body = format!(
            "{{\"{SPEC}\":\"spec of {id}\",\"steps\":[{{\"count\":{count},\"cpu\":{},\
             \"mem_mb\":64,\"est_runtime_ms\":{est_ms}{more}}}]{job}}}",
            step.cpu
        );
        Self { id, steps: vec![step], body }
    }
}

impl System {
    /// Starts the platform and one instance in each of some zones.
    pub fn start(zones: &[&'static str], minions: &[(&str, &str)], keep_s: u64) -> Self {
        let store = Store::new(keep_s);
        let minions = Minions::start(&store, minions);
        let folder =
            std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let case = std::env::var("CASE_FOLDER").unwrap_or_else(|_| ".".into());
        let record =
            File::create(PathBuf::from(case).join("record.txt")).expect("record.txt");
        let seed = std::time::SystemTime::now().elapsed().unwrap_or_default().as_nanos();
        let seed = seed as u64 ^ u64::from(std::process::id()) << 20 ^ now_nanos();
        let mut system = Self {
            store,
            minions,
            instances: Vec::new(),
            folder,
            record,
            started: Instant::now(),
            random: seed | 1,
            next_client: 0,
            accepted: HashMap::new(),
            keep_s,
        };
        system.publish();
        limit_time();
        for (number, zone) in zones.iter().enumerate() {
            system.add_instance(number, zone);
        }
        (0..zones.len()).for_each(|number| system.spawn(number));
        system
    }

    /// Publishes the configuration.
    fn publish(&self) {
        let config = format!(
            "{{\"version\":7,\"routes\":[{{\"name\":\"r-3hwrr6x\",\"host\":\"{HOST}\",\
             \"path_prefix\":\"{PREFIX}\",\"route_type\":\"non_idempotent\",\
             \"timeout_ms\":1500,\"target_latency_ms\":60,\"priority\":0,\
             \"service\":\"yard\",\"max_attempts\":3,\"slack_factor\":1.6}}],\
             \"services\":[{{\"name\":\"yard\",\"health_path\":\"/health\",\
             \"max_connections\":64,\"protocol\":\"h1\",\"tls\":false,\
             \"admission_check\":true,\"standby\":false}}],\
             \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
             \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
        );
        self.store.lock().unwrap().put("keyed.op", "config", &config);
    }

    /// Adds an instance, without starting it.
    pub fn add_instance(&mut self, number: usize, zone: &'static str) {
        let same = self.instances.iter().filter(|it| it.zone == zone).count();
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let handler = store::handler(Arc::clone(&self.store), number);
        let store = Server::start(address, handler).expect("a port for the store");
        self.instances.push(Instance {
            store,
            name: format!("edge-{zone}-{}", same + 1),
            zone,
            ip: format!("127.0.0.{}", 11 + number),
            ports: [0; 5],
            process: None,
        });
        let ip = self.instances[number].ip.clone();
        self.instances[number].ports = free_ports(&ip);
    }

    /// Starts the process of an instance.
    pub fn spawn(&mut self, number: usize) {
        let first = self.instances[number].process.is_none();
        let keep_s = self.keep_s;
        let instance = &mut self.instances[number];
        let Instance { name, zone, ip, ports, store, .. } = instance;
        let store = store.address;
        let [front, ready, control, internal, last] = *ports;
        let settings = format!(
            "node_name={name}\nrole=entry\nmachine_class=edge\nserves=edge\nip={ip}\n\
             zone={zone}\nregion=amman\nzones.marka=amman\nzones.sahab=amman\n\
             zones.qastal=amman\nlisten_addrs.front={ip}:{front}\n\
             listen_addrs.ready={ip}:{ready}\nlisten_addrs.control={ip}:{control}\n\
             internal_ports={internal},{last}\nseed_nodes={ip}:{control}\n\
             bootstrap={first}\nin_fault_budget=false\nlimits.cpu_share=0.25\n\
             limits.cores=1\nlimits.memory_mb=260\nlimits.max_fds=4100\n\
             limits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\n\
             entry_mode=vip\nheartbeat_ms=1500\n\
             contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing\n\
             fault_tolerance.machines=2\nfault_tolerance.zones=1\n\
             fault_tolerance.regions=0\nbounds.seed_lag_s=3\nbounds.addr_reuse_s=2\n\
             bounds.contact_ms=3000\nbounds.ack_ms=4000\nbounds.catch_up_s=4\n\
             bounds.drain_ms=2000\nbounds.grace_s=6\nbounds.loss_slack_ms=200\n\
             bounds.config_apply_ms=2000\nbounds.rollback_slack_ms=250\n\
             bounds.outer_bound_ms=5000\nbounds.recovery_s=12\nbounds.max_hold_ms=1000\n\
             bounds.stop_grace_ms=50\nbounds.gang_wait_ms=3000\nbounds.cancel_ms=3000\n\
             bounds.visible_ms=3000\nbounds.early_ms=250\nbounds.finish_s=14\n\
             bounds.status_s=120\nbounds.remote_factor=3\nbounds.checkpoint_s=1\n\
             bounds.restore_ms=600\nbounds.retransmit_ms=1300\ncontrol_mode=invoke\n\
             advice=\nplatform.address={store}\nplatform.form=log\n\
             platform.writes_per_s=600\nplatform.reads_per_s=2000\nplatform.parts=24\n\
             platform.append_ms=1.0\nplatform.partition_mb_s=20.0\n\
             platform.read_mb_s=80.0\nplatform.record_bytes=262144\n\
             platform.request_bytes=2097152\nplatform.keep_s={keep_s}\n\
             platform.partition_mb=200\nplatform.min_ttl_ms=1000\n"
        );
        let path = self.folder.join(format!("{name}.conf"));
        fs::write(&path, settings).expect("a settings file");
        let output = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))
            .expect("a log file");
        let errors = output.try_clone().expect("a log file");
        let child = Command::new(PROGRAM)
            .arg("site")
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("BAMBOOCART_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .expect("the program of the deploy file; build it first");
        let name = name.clone();
        PROCESSES.lock().unwrap().push(child.id());
        instance.process = Some(child);
        self.note(&format!("{name} starts"));
    }

    /// Kills the process of an instance.
    pub fn kill(&mut self, number: usize) {
        if let Some(child) = self.instances[number].process.as_mut() {
            let id = child.id();
            let _ = child.kill();
            let _ = child.wait();
            PROCESSES.lock().unwrap().retain(|&it| it != id);
        }
        let name = self.instances[number].name.clone();
        self.note(&format!("{name} is killed"));
    }

    /// Kills an instance, and starts it again after a pause.
    pub fn kill_and_restart(&mut self, number: usize, pause_ms: u64) {
        self.kill(number);
        sleep_ms(pause_ms);
        self.spawn(number);
    }

    /// Returns the instance that has last written to the store under a condition.
    pub fn last_writer(&self) -> Option<usize> {
        self.store.lock().unwrap().last_writer()
    }

    /// Lets the store turn an instance away with 503, or serve it again.
    pub fn refuse(&mut self, number: usize, refused: bool) {
        let mut store = self.store.lock().unwrap();
        match refused {
            true => store.refused.insert(number),
            false => store.refused.remove(&number),
        };
        drop(store);
        let name = self.instances[number].name.clone();
        let what = if refused { "turns away" } else { "serves" };
        self.note(&format!("the store {what} {name}"));
    }

    /// Returns whether an instance answers its readiness probe.
    pub fn is_ready(&self, number: usize) -> bool {
        let Instance { ip, ports, .. } = &self.instances[number];
        let address = format!("{ip}:{}", ports[1]).parse().unwrap();
        let probe = http::call(address, "GET", "ready", "/-/readiness", "", 500);
        probe.is_ok_and(|(status, _)| status == 200)
    }

    /// Waits until all instances are ready; returns false if they are not in 15 s.
    pub fn await_ready(&mut self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if (0..self.instances.len()).all(|number| self.is_ready(number)) {
                self.note("all instances are ready");
                return true;
            }
            sleep_ms(100);
        }
        self.note("the instances are not ready in time");
        false
    }

    /// Adds a line to the record.
    pub fn note(&mut self, text: &str) {
        let at_s = self.started.elapsed().as_secs_f64();
        let line = format!("{at_s:8.3} {text}\n");
        let _ = self.record.write_all(line.as_bytes());
        print!("{line}");
    }

    /// Returns the time since the start.
    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Waits until a time since the start.
    pub fn wait_until(&self, at_s: f64) {
        let left = at_s - self.seconds();
        if left > 0.0 {
            thread::sleep(Duration::from_secs_f64(left));
        }
    }

    /// Returns a new id of a job.
    pub fn new_id(&mut self) -> String {
        let mut word = || {
            self.random ^= self.random << 13;
            self.random ^= self.random >> 7;
            self.random ^= self.random << 17;
            self.random
        };
        word();
        format!("{:016x}", word())
    }

    /// Sends a call of a client to an instance that is ready, as the platform does, and to
    /// another one after no response.
    fn call(
        &mut self,
        method: &str,
        path: &str,
        body: &str,
        tries: usize,
    ) -> Option<(u16, String)> {
        for round in 0..tries {
            if round > 0 {
                thread::sleep(RESEND);
            }
            let count = self.instances.len();
            self.next_client += 1;
            let order = (0..count).map(|it| (it + self.next_client) % count);
            let Some(number) = order.into_iter().find(|&it| self.is_ready(it)) else {
                continue;
            };
            let Instance { ip, ports, .. } = &self.instances[number];
            let address = format!("{ip}:{}", ports[0]).parse().unwrap();
            match http::call(address, method, HOST, path, body, CLIENT_MS) {
                Ok((502 | 504, _)) | Err(_) => {}
                Ok(answer) => return Some(answer),
            }
        }
        None
    }

    /// Submits a job, and returns whether it was accepted.
    pub fn submit(&mut self, job: &Job) -> bool {
        let spec = format!("spec of {}", job.id);
        let known = (spec, job.steps.clone());
        self.minions.fleet.lock().unwrap().jobs.insert(job.id.clone(), known);
        let answer = self.call("POST", &format!("{PREFIX}{}", job.id), &job.body, 4);
        let status = answer.map(|(status, _)| status);
        self.note(&format!("POST {} -> {status:?} {}", job.id, job.body));
        let accepted = status.is_some_and(|status| (200..300).contains(&status));
        if accepted {
            self.accepted.insert(job.id.clone(), self.seconds());
        }
        accepted
    }

    /// Returns how long ago a job was accepted, in seconds.
    pub fn age_s(&self, id: &str) -> f64 {
        self.seconds() - self.accepted.get(id).copied().unwrap_or(0.0)
    }

    /// Returns the state of a job: the answer of the system, or its status.
    pub fn state(&mut self, id: &str) -> String {
        let answer = self.call("GET", &format!("{PREFIX}{id}"), "", 4);
        let state = match answer {
            Some((200, body)) => {
                crate::json::Json::parse(body.as_bytes()).text("state").into()
            }
            Some((status, _)) => status.to_string(),
            None => "no answer".into(),
        };
        self.note(&format!("GET {id} -> {state}"));
        state
    }

    /// Cancels a job, and returns whether that was acknowledged with 200.
    pub fn cancel(&mut self, id: &str) -> bool {
        let answer = self.call("DELETE", &format!("{PREFIX}{id}"), "", 4);
        let status = answer.map(|(status, _)| status);
        self.note(&format!("DELETE {id} -> {status:?}"));
        status == Some(200)
    }

    /// Writes all runs to the record.
    pub fn note_runs(&mut self) {
        let fleet = Arc::clone(&self.minions.fleet);
        let runs = fleet.lock().unwrap().runs_of("");
        for run in runs {
            let line = format!(
                "run {} number {} on minion {} from {} ms to {:?} ms {} noted {}",
                run.task,
                run.number,
                run.minion,
                run.began_ms,
                run.ended_ms,
                run.how,
                run.noted
            );
            let _ = writeln!(self.record, "{line}");
        }
        let notes = self.store.lock().unwrap().notes.clone();
        for note in notes {
            let _ = writeln!(self.record, "store: {note}");
        }
    }

    /// Writes the log lines of all instances that contain one of some texts to the record.
    pub fn note_logs(&mut self, texts: &[&str]) {
        for number in 0..self.instances.len() {
            let name = self.instances[number].name.clone();
            let mut log = String::new();
            if let Ok(mut file) = File::open(self.folder.join(format!("{name}.log"))) {
                let _ = file.read_to_string(&mut log);
            }
            let lines =
                log.lines().filter(|line| texts.iter().any(|it| line.contains(it)));
            for line in lines.take(400) {
                let _ = writeln!(self.record, "log {name}: {line}");
            }
        }
    }
}

impl Drop for System {
    fn drop(&mut self) {
        for instance in &mut self.instances {
            if let Some(child) = instance.process.as_mut() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("KEEP_FOLDER").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

fn now_nanos() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.unwrap_or_default().as_nanos() as u64
}

/// Returns free ports at an address; the last two follow one another.
fn free_ports(ip: &str) -> [u16; 5] {
    let bind = |port: u16| TcpListener::bind(format!("{ip}:{port}")).ok();
    let mut held = Vec::new();
    let mut ports = [0; 5];
    for port in ports.iter_mut().take(3) {
        let listener = bind(0).expect("a free port");
        *port = listener.local_addr().unwrap().port();
        held.push(listener);
    }
    loop {
        let first = bind(0).expect("a free port");
        let port = first.local_addr().unwrap().port();
        if let Some(next) = port.checked_add(1)
            && let Some(_second) = bind(next)
        {
            ports[3] = port;
            ports[4] = next;
            return ports;
        }
    }
}

/// Ends this process and those that it started if a case takes too long, unless `LONG` is set.
fn limit_time() {
    if std::env::var_os("LONG").is_some() {
        return;
    }
    thread::spawn(|| {
        thread::sleep(LIMIT);
        println!("the case takes too long");
        for id in PROCESSES.lock().unwrap().iter() {
            let _ = Command::new("kill").args(["-9", &id.to_string()]).status();
        }
        std::process::exit(2);
    });
}
