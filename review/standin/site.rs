//! A small deployment: the platform's store, minions, and instances as processes.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http::call;
use crate::json::{Json, object};
use crate::minions::{self, Minion, Runs};
use crate::record::Record;
use crate::store::{self, Store};
use crate::{KEEP_S, PARTS};

/// The program and its argument, as the deploy file has them.
const PROGRAM: &str = "target/deploy/bamboocart-dispatcher";
const ARGUMENT: &str = "site";

/// The ports of instances, below those that the system gives to connections.
const FIRST_PORT: u16 = 12_000;
const LAST_PORT: u16 = 30_000;

/// The time in which an instance has to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// A running deployment. Dropping it ends its processes.
pub struct Site {
    pub record: Record,
    pub runs: Runs,
    pub minions: Vec<Arc<Minion>>,
    pub instances: Vec<Instance>,
    store: Arc<Mutex<Store>>,
    folder: PathBuf,
}

/// An instance on one machine, which may be down.
pub struct Instance {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// Whether the store turns the machine away.
    pub turned_away: Arc<AtomicBool>,
}

/// A job that a client has sent.
#[derive(Debug, Clone)]
pub struct Job {
    pub path: String,
    pub id: String,
    pub accepted: Option<Instant>,
}

impl Site {
    /// Starts the store, the minions, which are given by zone and kind, and one instance in
    /// each of `zones`.
    pub fn start(record: &Record, zones: &[&str], kinds: &[(&str, &str)]) -> Self {
        let runs = Runs::default();
        let store = Arc::new(Mutex::new(Store::default()));
        let minions: Vec<Arc<Minion>> = kinds
            .iter()
            .enumerate()
            .map(|(number, (zone, kind))| {
                let rack = format!(
                    "r{}-1",
                    1 + zones.iter().position(|it| it == zone).unwrap_or(0)
                );
                Minion::start(&format!("w{number}"), zone, &[kind, &rack], record, &runs)
            })
            .collect();
        minions::watch(&minions);
        for minion in &minions {
            store.lock().expect("the store").put(
                "keyed.servers",
                &minion.id,
                &minion.entry(),
            );
        }
        store.lock().expect("the store").put("keyed.op", "config", &config());
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let mut ports = free_ports();
        let instances = zones
            .iter()
            .enumerate()
            .map(|(number, zone)| {
                Instance::new(number, zone, zones, &store, &folder, &mut ports)
            })
            .collect();
        let mut site =
            Self { record: record.clone(), runs, minions, instances, store, folder };
        (0..zones.len()).for_each(|number| site.start_instance(number));
        (0..zones.len()).for_each(|number| site.await_ready(number));
        site
    }

    pub fn start_instance(&mut self, number: usize) {
        let instance = &mut self.instances[number];
        let log =
            File::options().create(true).append(true).open(&instance.log).expect("a log");
        let child = Command::new(PROGRAM)
            .arg(ARGUMENT)
            .env_clear()
            .env("BAMBOOCART_CONFIG", &instance.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => instance.child = Some(child),
            Err(error) => stop(&format!("cannot start {PROGRAM}: {error}")),
        }
        self.record.say(&format!("{} starts", instance.name));
    }

    pub fn await_ready(&mut self, number: usize) {
        let instance = &mut self.instances[number];
        let until = Instant::now() + READY_TIMEOUT;
        while Instant::now() < until {
            let child = instance.child.as_mut();
            if child.is_none_or(|child| !matches!(child.try_wait(), Ok(None))) {
                stop(&format!("{} has ended; see its log", instance.name));
            }
            let probe = call(
                instance.ready,
                "GET",
                "/-/readiness",
                "",
                Duration::from_millis(500),
            );
            if probe.is_some_and(|(status, _)| status == 200) {
                self.record.say(&format!("{} is ready", instance.name));
                return;
            }
            sleep(Duration::from_millis(50));
        }
        stop(&format!("{} does not become ready", instance.name));
    }

    /// Kills an instance with SIGKILL.
    pub fn kill(&mut self, number: usize) {
        let instance = &mut self.instances[number];
        if let Some(mut child) = instance.child.take() {
            self.record.say(&format!("{} is killed", instance.name));
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sets whether the store turns an instance away, with 503.
    pub fn turn_away(&self, number: usize, away: bool) {
        let instance = &self.instances[number];
        instance.turned_away.store(away, Ordering::Relaxed);
        let what = if away { "turns away" } else { "serves again" };
        self.record.say(&format!("the store {what} {}", instance.name));
    }

    /// Writes the entry of a minion anew, as its new process does.
    pub fn announce(&self, minion: &Minion) {
        let entry = minion.entry();
        self.store.lock().expect("the store").put("keyed.servers", &minion.id, &entry);
    }

    /// When the instances last began to write their jobs again.
    pub fn rewrite_began_at(&self) -> Option<Instant> {
        self.store.lock().expect("the store").rewrite_began_at
    }

    /// Hands a job in, again with the same id after no response, 502 or 504, and after a
    /// pause where it was refused. Returns it once it is accepted, or after ten tries.
    pub fn submit(&self, number: usize, id: &str, body: &str) -> Job {
        let path = format!("/q/{id}");
        let mut job = Job { path, id: id.into(), accepted: None };
        for attempt in 0..10 {
            let front = self.instances[(number + attempt) % self.instances.len()].front;
            let answer =
                call(front, "POST", &job.path, body, Duration::from_millis(1_500));
            let status = answer.map_or(0, |(status, _)| status);
            self.record.now(&format!("POST {id}: {status}"));
            if (200..300).contains(&status) {
                job.accepted = Some(Instant::now());
                break;
            }
            sleep(Duration::from_millis(300));
        }
        job
    }

    /// Asks for a job's state, and again at the next instance without a usable answer.
    /// Returns the status, 0 if there was none, and the body.
    pub fn query(&self, number: usize, job: &Job) -> (u16, String) {
        let mut last = (0, String::new());
        for attempt in 0..6 {
            let instance = &self.instances[(number + attempt) % self.instances.len()];
            if instance.child.is_none() {
                continue;
            }
            let answer =
                call(instance.front, "GET", &job.path, "", Duration::from_millis(1_500));
            last = answer.unwrap_or_default();
            let (status, body) = (last.0, last.1.trim());
            self.record
                .now(&format!("GET {} at {}: {status} {body}", job.id, instance.name));
            if status == 200 || status == 410 {
                break;
            }
        }
        last
    }

    /// Whether all processes that should run still do.
    pub fn check_processes(&mut self) {
        for instance in &mut self.instances {
            if let Some(child) = &mut instance.child
                && let Ok(Some(status)) = child.try_wait()
            {
                self.record
                    .say(&format!("{} has ended by itself: {status}", instance.name));
            }
        }
    }

    /// Waits until a time from the start of the record.
    pub fn wait_until(&self, second: f64) {
        let until = self.record.start() + Duration::from_secs_f64(second);
        sleep(until.saturating_duration_since(Instant::now()));
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for instance in &mut self.instances {
            if let Some(mut child) = instance.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("KEEP_LOGS").is_some() {
            println!("logs are in {}", self.folder.display());
        } else {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Instance {
    fn new(
        number: usize,
        zone: &str,
        zones: &[&str],
        store: &Arc<Mutex<Store>>,
        folder: &std::path::Path,
        ports: &mut impl Iterator<Item = u16>,
    ) -> Self {
        let name = format!("edge-{zone}-{}", number + 1);
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let turned_away = Arc::new(AtomicBool::new(false));
        store::serve(Arc::clone(store), listener, Arc::clone(&turned_away));
        let [front, ready] = [(); 2].map(|()| ports.next().expect("a free port"));
        // The metrics address is the port after that for peers.
        let mut peer = ports.next().expect("a free port");
        loop {
            let next = ports.next().expect("a free port");
            if next == peer + 1 {
                break;
            }
            peer = next;
        }
        let mut text = format!(
            "node_name={name}\nrole=entry\nmachine_class=edge\nserves=edge\nip=127.0.0.1\n\
             zone={zone}\nregion=amman\nlisten_addrs.front=127.0.0.1:{front}\n\
             listen_addrs.ready=127.0.0.1:{ready}\ninternal_ports={peer},{}\n\
             seed_nodes=\nbootstrap=true\nin_fault_budget=false\nlimits.cpu_share=0.25\n\
             limits.cores=1\nlimits.memory_mb=260\nlimits.max_fds=4100\n\
             limits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\n\
             entry_mode=vip\nheartbeat_ms=1500\n\
             contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing\n\
             fault_tolerance.machines=2\nfault_tolerance.zones=1\nfault_tolerance.regions=0\n\
             bounds.contact_ms=3000\nbounds.ack_ms=4000\nbounds.drain_ms=2000\n\
             bounds.grace_s=6\nbounds.config_apply_ms=2000\nbounds.max_hold_ms=1000\n\
             bounds.stop_grace_ms=50\nbounds.gang_wait_ms=3000\nbounds.cancel_ms=3000\n\
             bounds.visible_ms=3000\nbounds.early_ms=250\nbounds.finish_s=14\n\
             bounds.status_s=120\nbounds.remote_factor=3\nbounds.fencing_required=true\n\
             bounds.lease_ms=3000\nbounds.retransmit_ms=1300\ncontrol_mode=invoke\nadvice=\n\
             platform.address={address}\nplatform.form=log\nplatform.writes_per_s=600\n\
             platform.reads_per_s=2000\nplatform.parts={PARTS}\nplatform.append_ms=1.0\n\
             platform.partition_mb_s=20.0\nplatform.read_mb_s=80.0\n\
             platform.record_bytes=262144\nplatform.request_bytes=2097152\n\
             platform.keep_s={KEEP_S}\nplatform.partition_mb=200\nplatform.min_ttl_ms=1000\n",
            peer + 1,
        );
        for other in zones {
            text.push_str(&format!("zones.{other}=amman\n"));
        }
        let settings = folder.join(format!("{name}.conf"));
        fs::write(&settings, text).expect("a settings file");
        Self {
            log: folder.join(format!("{name}.log")),
            front: SocketAddr::from(([127, 0, 0, 1], front)),
            ready: SocketAddr::from(([127, 0, 0, 1], ready)),
            name,
            settings,
            child: None,
            turned_away,
        }
    }
}

/// Ports on which nobody listens. Cases that run at the same time begin far from each other.
fn free_ports() -> impl Iterator<Item = u16> {
    let count = u32::from(LAST_PORT - FIRST_PORT);
    let first = std::process::id() * 67 % count;
    (0..count)
        .map(move |offset| FIRST_PORT + ((first + offset) % count) as u16)
        .filter(|&port| TcpListener::bind(("127.0.0.1", port)).is_ok())
}

/// The configuration, with one queue.
fn config() -> Json {
    let route = object([
        ("name", "release-order".into()),
        ("host", "jobs.example".into()),
        ("path_prefix", "/q/".into()),
        ("route_type", "non_idempotent".into()),
        ("timeout_ms", 1_500.into()),
        ("target_latency_ms", 400.into()),
        ("priority", 0.into()),
        ("service", "floatyard".into()),
        ("max_attempts", 3.into()),
        ("slack_factor", 4.into()),
    ]);
    let service =
        object([("name", "floatyard".into()), ("admission_check", true.into())]);
    let limits = object([
        ("max_header_bytes", 16_384.into()),
        ("max_body_bytes", 262_144.into()),
        ("header_timeout_ms", 3_000.into()),
        ("idle_timeout_ms", 15_000.into()),
    ]);
    object([
        ("version", 7.into()),
        ("routes", vec![route].into()),
        ("services", vec![service].into()),
        ("limits", limits),
    ])
}

/// Ends a case that cannot run. The processes that it has started end with it.
pub fn stop(why: &str) -> ! {
    panic!("the case cannot run: {why}");
}
