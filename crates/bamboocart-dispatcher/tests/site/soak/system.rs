//! The system under test: instances, the stand-in and the proxies between them.

use std::collections::BTreeMap;
use std::fs::{self, OpenOptions};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bamboocart_site_standin::{
    MinionEvent, RunRecord, StandIn, settings, submit, wait_until,
};
use rustix::process::Signal;

use super::plan::{Fault, PlannedFault};
use super::proxy::{Mode, Proxy};
use crate::foreign::foreign_entries;
use crate::process::{Instance, fixed_ports};

/// The number of instances.
pub const INSTANCES: usize = 3;

/// The number of minions.
pub const MINIONS: usize = 8;

/// The time from a termination signal to the restart, a little over the grace period.
pub const STOP_MS: u64 = 6_200;

/// The interval at which another writer writes an entry among those of the minions.
const FOREIGN_INTERVAL_MS: u64 = 350;

/// The time after which a minion writes its entry again that another writer has replaced.
const RESTORE_MS: u64 = 700;

/// Every so many foreign entries replace that of a minion.
const REPLACING_INTERVAL: usize = 4;

/// The addresses for client connections, by instance; those of proxies.
pub type Fronts = Arc<Mutex<Vec<SocketAddr>>>;

/// A running system under test.
pub struct System {
    platform: StandIn,
    store_proxies: Vec<Proxy>,
    minion_proxies: Vec<Proxy>,
    front_proxies: Vec<Proxy>,
    /// The process of each instance, unless it was killed and not restarted yet.
    processes: Vec<Option<Instance>>,
    ports: Vec<[u16; 4]>,
    fronts: Fronts,
    logs: PathBuf,
    version: u64,
    /// The faults that have begun, with their times since the Unix epoch.
    faults: Vec<(u64, String)>,
}

/// A scheduled action: the start of a fault, or the end of its effect.
#[derive(Debug, Clone)]
enum Action {
    BeginFault(Fault),
    Start(usize),
    Resume(usize),
    RestoreStore,
    RestoreStoreNetwork(usize),
    RestoreMinionNetwork(usize),
    StartMinion(usize),
    ClearCallFaults(usize),
    WriteForeignEntry(usize),
    RestoreEntry(usize),
}

impl System {
    /// Starts the platform, the proxies and all instances, and waits until they serve.
    ///
    /// The name is that of the folder for the logs.
    pub fn start(name: &str) -> Self {
        let platform = StandIn::start(MINIONS).unwrap();
        platform.publish(1, "/q/");
        let minions = platform.minion_addresses();
        let minion_proxies: Vec<Proxy> =
            minions.iter().map(|&address| Proxy::start(address).unwrap()).collect();
        for (number, path) in minion_proxies.iter().enumerate() {
            platform.set_minion_address(number, path.address);
        }
        let store = platform.store_address();
        let store_proxies =
            (0..INSTANCES).map(|_| Proxy::start(store).unwrap()).collect();
        let logs = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        // Logs of an earlier run with this name are deleted.
        let _ = fs::remove_dir_all(&logs);
        fs::create_dir_all(&logs).unwrap();
        let ports: Vec<[u16; 4]> = (0..INSTANCES).map(|_| fixed_ports()).collect();
        let fronts = ports.iter().map(|ports| (Ipv4Addr::LOCALHOST, ports[0]).into());
        let front_proxies: Vec<Proxy> =
            fronts.map(|front| Proxy::start(front).unwrap()).collect();
        let fronts = front_proxies.iter().map(|proxy| proxy.address).collect();
        let mut system = Self {
            platform,
            store_proxies,
            minion_proxies,
            front_proxies,
            processes: (0..INSTANCES).map(|_| None).collect(),
            ports,
            fronts: Arc::new(Mutex::new(fronts)),
            logs,
            version: 1,
            faults: Vec::new(),
        };
        (0..INSTANCES).for_each(|instance| system.start_process(instance));
        system.await_recovery();
        system
    }

    /// Returns the addresses of the instances, which restarts do not change.
    pub fn fronts(&self) -> Fronts {
        Arc::clone(&self.fronts)
    }

    /// Returns all runs that minions have started.
    pub fn runs(&self) -> Vec<RunRecord> {
        self.platform.runs()
    }

    /// Returns the events that faults have caused at minions.
    pub fn minion_events(&self) -> Vec<MinionEvent> {
        self.platform.minion_events()
    }

    /// Writes the faults, the runs and the events at minions beside the logs of the
    /// instances, ordered by time in milliseconds since the Unix epoch.
    pub fn write_records(&self) {
        let mut lines: Vec<(u64, String)> = self.faults.clone();
        for run in self.runs() {
            lines.push((run.began_ms, format!("begins: {run:?}")));
            if let Some(ended_ms) = run.ended_ms {
                lines.push((ended_ms, format!("ends: {run:?}")));
            }
        }
        for event in self.minion_events() {
            lines.push((event.at_ms, format!("m-{}: {:?}", event.minion, event.what)));
        }
        lines.sort();
        let lines = lines.iter().map(|(at_ms, line)| format!("{at_ms} {line}\n"));
        fs::write(self.logs.join("platform.log"), lines.collect::<String>()).unwrap();
    }

    /// Executes a plan and returns after the last fault has ended.
    pub fn play(&mut self, plan: &[PlannedFault]) {
        let mut schedule: BTreeMap<(u64, usize), Action> = plan
            .iter()
            .enumerate()
            .map(|(number, planned)| {
                ((planned.at_ms, number), Action::BeginFault(planned.fault.clone()))
            })
            .collect();
        let mut number = plan.len();
        let end_ms = plan.last().map_or(0, |last| last.at_ms);
        for at_ms in (0..end_ms).step_by(FOREIGN_INTERVAL_MS as usize) {
            schedule.insert((at_ms, number), Action::WriteForeignEntry(number));
            number += 1;
        }
        let began = Instant::now();
        while let Some(((at_ms, _), action)) = schedule.pop_first() {
            let at = began + Duration::from_millis(at_ms);
            thread::sleep(at.saturating_duration_since(Instant::now()));
            for (delay_ms, next) in self.act(action) {
                number += 1;
                schedule.insert((at_ms + delay_ms, number), next);
            }
        }
    }

    /// Executes an action, and returns the actions that follow it with their delays.
    fn act(&mut self, action: Action) -> Vec<(u64, Action)> {
        match action {
            Action::BeginFault(fault) => return self.begin(fault),
            Action::Start(instance) => self.start_process(instance),
            Action::Resume(instance) => self.signal(instance, Signal::CONT),
            Action::RestoreStore => self.platform.set_store_available(true),
            Action::RestoreStoreNetwork(instance) => {
                self.store_proxies[instance].set(Mode::Pass)
            }
            Action::RestoreMinionNetwork(minion) => {
                self.minion_proxies[minion].set(Mode::Pass)
            }
            Action::StartMinion(minion) => self.platform.start_minion(minion),
            Action::ClearCallFaults(minion) => self.platform.clear_call_faults(minion),
            Action::WriteForeignEntry(number) => return self.write_foreign(number),
            Action::RestoreEntry(minion) => self.platform.restore_entry(minion),
        }
        Vec::new()
    }

    /// Writes an entry as another writer might, sometimes in place of that of a minion, and
    /// returns the action that restores it.
    fn write_foreign(&mut self, number: usize) -> Vec<(u64, Action)> {
        let entries = foreign_entries();
        let entry = &entries[number % entries.len()];
        if !number.is_multiple_of(REPLACING_INTERVAL) {
            let key = format!("stranger {}&part=1", number % entries.len());
            self.platform.write_foreign_entry(&key, entry);
            return Vec::new();
        }
        let minion = number / REPLACING_INTERVAL % MINIONS;
        self.platform.write_foreign_entry(&format!("m-{minion}"), entry);
        vec![(RESTORE_MS, Action::RestoreEntry(minion))]
    }

    /// Begins a fault, and returns the actions that end it with their delays.
    fn begin(&mut self, fault: Fault) -> Vec<(u64, Action)> {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        self.faults.push((since_epoch.as_millis() as u64, format!("fault: {fault:?}")));
        match fault {
            Fault::Kill { instance, away_ms } => {
                self.processes[instance] = None;
                vec![(away_ms, Action::Start(instance))]
            }
            Fault::KillAll { away_ms } => {
                self.processes.fill_with(|| None);
                (0..INSTANCES).map(|it| (away_ms, Action::Start(it))).collect()
            }
            Fault::Freeze { instance, for_ms } => {
                self.signal(instance, Signal::STOP);
                vec![(for_ms, Action::Resume(instance))]
            }
            Fault::Stop { instance } => {
                self.signal(instance, Signal::TERM);
                vec![(STOP_MS, Action::Start(instance))]
            }
            Fault::StoreDown { for_ms } => {
                self.platform.set_store_available(false);
                vec![(for_ms, Action::RestoreStore)]
            }
            Fault::Compact => {
                self.platform.compact();
                Vec::new()
            }
            Fault::Publish => {
                self.version += 1;
                self.platform.publish(self.version, "/q/");
                Vec::new()
            }
            Fault::StoreNetwork { instance, mode, for_ms } => {
                self.store_proxies[instance].set(mode);
                vec![(for_ms, Action::RestoreStoreNetwork(instance))]
            }
            Fault::MinionNetwork { minion, mode, for_ms } => {
                self.minion_proxies[minion].set(mode);
                vec![(for_ms, Action::RestoreMinionNetwork(minion))]
            }
            Fault::RestartMinion { minion, away_ms } => {
                self.platform.stop_minion(minion);
                vec![(away_ms, Action::StartMinion(minion))]
            }
            Fault::MinionCalls { minion, seed, share, for_ms } => {
                self.platform.set_call_faults(minion, seed, share);
                vec![(for_ms, Action::ClearCallFaults(minion))]
            }
            Fault::ResetClients { instance } => {
                self.front_proxies[instance].set(Mode::ResetOpen);
                Vec::new()
            }
        }
    }

    /// Sends a signal to a process, unless it was killed.
    fn signal(&self, instance: usize, signal: Signal) {
        if let Some(process) = &self.processes[instance] {
            process.signal(signal);
        }
    }

    /// Starts the process of an instance; one that still runs is killed first.
    fn start_process(&mut self, instance: usize) {
        self.processes[instance] = None;
        let name = format!("edge-{instance}");
        let store = self.store_proxies[instance].address;
        let text = settings(&name, self.ports[instance], store);
        let log = self.logs.join(format!("{name}.log"));
        let log = OpenOptions::new().create(true).append(true).open(log).unwrap();
        let process = Instance::start_with(&text, log);
        self.processes[instance] = Some(process);
    }

    /// Waits until every instance has completed a job; panics after 30 s for one of them.
    pub fn await_recovery(&self) {
        for (instance, process) in self.processes.iter().enumerate() {
            let front = process.as_ref().expect("all processes should be running").front;
            let serves = || {
                let number = rand::random::<u64>() | 1 << 63;
                let answer = submit(front, &format!("/q/{number:016x}"), 1, 10);
                answer.is_ok_and(|answer| answer.state == "completed")
            };
            assert!(wait_until(serves), "instance {instance} does not serve");
        }
    }
}
