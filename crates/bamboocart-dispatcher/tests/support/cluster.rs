//! A whole system: instances, targets, the platform and the network between them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

use bamboocart_core::config::{ConfigSet, Role};
use bamboocart_core::id::{DomainName, Incarnation};
use bamboocart_platform::{InstanceEntry, ListState};
use bamboocart_standin::history::{CallRecord, History, Policy, check};
use bamboocart_standin::platform::{self, PlatformServer};
use bamboocart_standin::target::{
    Fleet, MinionSettings, WorkerSettings, minion_settings, worker_settings,
};
use bpaf::Parser;
use serde_json::Value;

use super::config::register;
use super::forward::{LinkMode, Net, Node};
use super::http::call;
use super::permit::Permit;
use super::process::Instance;
use super::{POLL, RECOVERY_TIMEOUT, base_config, publish, wait_until};

/// The failure domains; targets are spread over them in this order.
const DOMAINS: [&str; 3] = ["marka", "sahab", "qastal"];

/// The settings of a cluster.
#[derive(Debug, Clone)]
pub struct ClusterSettings {
    /// The failure domain of each instance.
    pub instances: Vec<&'static str>,
    /// Flags of the fleet of minions, which is spread over all failure domains.
    pub minions: Vec<&'static str>,
    /// Flags of the fleet of workers, which is spread over all failure domains.
    pub workers: Vec<&'static str>,
    /// Additional flags of each instance; `{name}` is replaced by the instance's name.
    pub flags: Vec<&'static str>,
    /// Whether each instance gets the addresses of earlier ones as `--seed`.
    pub seeds: bool,
    /// Whether an isolated failure domain is also isolated from the targets of others.
    ///
    /// This puts a forwarder before each target, which slows down every connection.
    pub cut_targets: bool,
    /// The time for which the platform keeps the records of its log.
    pub retention_ms: u64,
    /// The configuration to publish at the start, if any.
    pub config: Option<ConfigSet>,
}

impl Default for ClusterSettings {
    fn default() -> Self {
        Self {
            instances: DOMAINS.to_vec(),
            minions: vec!["--count", "6"],
            workers: vec!["--count", "3"],
            flags: vec![],
            seeds: false,
            cut_targets: false,
            retention_ms: 3_600_000,
            config: Some(base_config()),
        }
    }
}

/// A running system, stopped when it is dropped.
pub struct Cluster {
    /// The instances by index; killed ones keep their index.
    pub instances: Vec<Instance>,
    /// The fleet of minions.
    pub minions: Fleet,
    /// The fleet of workers.
    pub workers: Fleet,
    /// The stand-in of the platform.
    pub platform: PlatformServer,
    /// The forwarders between instances, and between instances and platform.
    pub net: Net,
    settings: ClusterSettings,
    /// The forwarders of each instance, by its index.
    forwarders: Vec<ForwarderAddresses>,
    /// Released last, after all fields above have been dropped.
    _permit: Permit,
}

/// The addresses of the forwarders of one instance.
#[derive(Debug, Copy, Clone)]
struct ForwarderAddresses {
    /// The address at which its peers reach it.
    links: SocketAddr,
    /// The address at which it reaches the platform.
    platform: SocketAddr,
}

impl Cluster {
    /// Starts a system.
    ///
    /// If it has a configuration and instances, this waits for full service.
    pub fn start(settings: ClusterSettings) -> Self {
        let permit = Permit::acquire();
        let platform = PlatformServer::start(&platform::Settings {
            port: 0,
            retention_ms: settings.retention_ms,
            appends_per_s: 300,
            append_ms: 5,
            list_lag_ms: 500,
        })
        .unwrap();
        let net = Net::start();
        net.set_backend(Node::Platform, platform.address(), None);
        if let Some(config) = &settings.config {
            publish(platform.address(), config);
        }
        let common = ["--domains".into(), DOMAINS.join(",")];
        let common = common.into_iter();
        let at = ["--platform".into(), platform.address().to_string()];
        let common: Vec<String> = common.chain(at).collect();
        let map_address = |domain: &DomainName, target: SocketAddr| {
            let known = DOMAINS.into_iter().find(|known| *known == domain.as_str());
            let known = known.filter(|_| settings.cut_targets);
            known.map_or(target, |domain| net.open_target(domain, target))
        };
        let minions = start_minions(&settings.minions, &common, &map_address);
        let workers = start_workers(&settings.workers, &common, &map_address);
        let mut cluster = Self {
            instances: vec![],
            minions,
            workers,
            platform,
            net,
            settings,
            forwarders: vec![],
            _permit: permit,
        };
        for domain in cluster.settings.instances.clone() {
            cluster.add_instance(domain);
        }
        if cluster.settings.config.is_some() && !cluster.instances.is_empty() {
            cluster.wait_for_service();
        }
        cluster
    }

    /// Starts and registers another instance, and returns its index.
    pub fn add_instance(&mut self, domain: &str) -> usize {
        let index = self.instances.len();
        let links = self.net.open(Node::Instance(index), None);
        let platform = self.net.open(Node::Platform, Some(Node::Instance(index)));
        self.forwarders.push(ForwarderAddresses { links, platform });
        let instance = self.launch(index, &format!("i-{index}"), domain);
        self.instances.push(instance);
        index
    }

    /// Kills an instance if it still runs, and starts it again under the same name.
    pub fn restart(&mut self, index: usize) {
        self.instances[index].kill();
        let (name, domain) =
            (self.instances[index].name.clone(), self.instances[index].domain.clone());
        self.instances[index] = self.launch(index, &name, &domain);
    }

    /// Starts the process of an instance and registers it in the platform's list.
    fn launch(&self, index: usize, name: &str, domain: &str) -> Instance {
        let ForwarderAddresses { links, platform } = self.forwarders[index];
        let mut flags: Vec<String> =
            self.settings.flags.iter().map(|flag| flag.replace("{name}", name)).collect();
        let seeds =
            self.forwarders.iter().enumerate().filter(|(other, _)| *other != index);
        for (_, forwarders) in seeds.filter(|_| self.settings.seeds) {
            flags.extend(["--seed".into(), forwarders.links.to_string()]);
        }
        let instance = Instance::start(name, domain, links, platform, &flags);
        let (node, process) = (Node::Instance(index), instance.process_id());
        self.net.set_backend(node, instance.link_listener, Some(process));
        let entry = self.entry(&instance, links, ListState::Live);
        register(self.platform.address(), &entry);
        instance
    }

    /// Returns the entry of an instance in the platform's list.
    fn entry(
        &self,
        instance: &Instance,
        links: SocketAddr,
        state: ListState,
    ) -> InstanceEntry {
        InstanceEntry {
            name: instance.name.as_str().into(),
            role: Role::Dispatcher,
            service: "bamboocart".into(),
            failure_domain: instance.domain.as_str().into(),
            rack: None,
            address: instance.address.to_string(),
            peer_address: Some(links.to_string()),
            state,
            slots: 0,
            connections: 0,
            cpus: 0,
            memory_mb: 0,
            incarnation: Incarnation(instance.incarnation),
        }
    }

    /// Returns the indices of the instances whose processes run.
    pub fn running(&mut self) -> Vec<usize> {
        let instances = self.instances.iter_mut().enumerate();
        instances.filter_map(|(index, it)| it.is_running().then_some(index)).collect()
    }

    /// Removes an instance from the platform's list.
    pub fn unregister(&self, index: usize) {
        let path = format!("/instances/{}", self.instances[index].name);
        call("DELETE", self.platform.address(), &path, &Value::Null);
    }

    /// Waits until every instance serves and sees all others as live, and every live
    /// target is used by exactly one instance.
    pub fn wait_for_service(&self) {
        let all: Vec<usize> = (0..self.instances.len()).collect();
        self.wait_for_service_of(&all);
    }

    /// Waits for the full service of some instances, as
    /// [`wait_for_service`](Self::wait_for_service) does for all.
    pub fn wait_for_service_of(&self, indices: &[usize]) {
        let rows = [&self.minions, &self.workers].map(|fleet| fleet.members().rows());
        let targets = rows.iter().flatten().filter(|row| !row.dead && !row.leaving);
        let targets: Vec<String> = targets.map(|row| row.name.to_string()).collect();
        let start = Instant::now();
        while let Err(missing) = self.check_service(indices, &targets) {
            assert!(start.elapsed() < RECOVERY_TIMEOUT, "no full service: {missing}");
            std::thread::sleep(POLL);
        }
    }

    /// Returns an error that says what some instances lack for full service.
    fn check_service(&self, indices: &[usize], targets: &[String]) -> Result<(), String> {
        let statuses: BTreeMap<usize, Value> = indices
            .iter()
            .filter_map(|&index| Some((index, self.instances[index].try_status()?)))
            .collect();
        let mut used: BTreeMap<String, usize> = BTreeMap::new();
        for &index in indices {
            let name = &self.instances[index].name;
            let status =
                statuses.get(&index).ok_or_else(|| format!("{name} does not answer"))?;
            if status["state"] != "serving" {
                return Err(format!("{name} is {}", status["state"]));
            }
            let live: Vec<&str> = rows(status, "peers")
                .filter(|peer| peer["state"] == "live" && peer["leaving"] == false)
                .filter_map(|peer| peer["name"].as_str())
                .collect();
            let others = indices.iter().filter(|&&other| other != index);
            for &other in others {
                let other = &self.instances[other].name;
                if !live.contains(&other.as_str()) {
                    let peers = &status["peers"];
                    return Err(format!("{name} does not see {other}: {peers}"));
                }
            }
            let usable = rows(status, "targets")
                .filter(|target| target["retired"] == false && target["slots"] != 0);
            for target in usable {
                let target = target["name"].as_str().unwrap_or_default();
                *used.entry(target.into()).or_default() += 1;
            }
        }
        match targets.iter().find(|target| used.get(*target) != Some(&1)) {
            Some(target) => Err(format!("{target} is used by {:?}", used.get(target))),
            None => Ok(()),
        }
    }

    /// Returns whether any instance uses a target for new tasks.
    pub fn uses(&self, target: &str) -> bool {
        let statuses: Vec<Value> =
            self.instances.iter().filter_map(Instance::try_status).collect();
        statuses.iter().flat_map(|status| rows(status, "targets")).any(|row| {
            row["name"] == target && row["retired"] == false && row["slots"] != 0
        })
    }

    /// Waits until the claim stream of the log has a record.
    pub fn wait_for_claims(&self) {
        let claimed = || {
            let path = "/streams/claims/records?from=0";
            let (_, page) = call("GET", self.platform.address(), path, &Value::Null);
            page["records"].as_array().is_some_and(|records| !records.is_empty())
        };
        wait_until("the claims on caller keys", RECOVERY_TIMEOUT, claimed);
    }

    /// Sets the injected faults of the platform.
    pub fn set_platform_faults(&self, body: &Value) {
        let answer = call("POST", self.platform.address(), "/faults", body);
        assert_eq!(answer.0, 200, "{answer:?}");
    }

    /// Sets the injected faults of targets, in both fleets.
    pub fn set_target_faults(&self, body: &Value) {
        for fleet in [&self.minions, &self.workers] {
            let answer = call("POST", fleet.control_address(), "/faults", body);
            assert_eq!(answer.0, 200, "{answer:?}");
        }
    }

    /// Sets the link mode between a failure domain and everything outside of it.
    pub fn isolate(&self, domain: &str, mode: LinkMode) {
        let nodes = (0..self.instances.len()).map(Node::Instance);
        let targets = DOMAINS.map(Node::Targets);
        let all: Vec<Node> = nodes.chain([Node::Platform]).chain(targets).collect();
        let members = self.instances.iter().enumerate();
        let inside: Vec<Node> = members
            .filter(|(_, instance)| instance.domain == domain)
            .map(|(index, _)| Node::Instance(index))
            .chain(targets.into_iter().filter(|it| is_target_node_of(it, domain)))
            .collect();
        self.net.set_mode_around(&inside, &all, mode);
    }

    /// Returns the address for callers of each instance.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.instances.iter().map(|instance| instance.address).collect()
    }

    /// Returns the events that the targets have recorded, with the calls of callers.
    pub fn collect_history(&self, calls: Vec<CallRecord>) -> History {
        let mut history = History { calls, ..History::default() };
        for fleet in [&self.minions, &self.workers] {
            let page = fleet.members().history(0, usize::MAX);
            history.dropped += page.dropped;
            history.events.extend(page.events);
        }
        history
    }

    /// Panics if the recorded history of requests, none of which may be repeated,
    /// violates a guarantee.
    pub fn check_history(&self, calls: Vec<CallRecord>) {
        let history = self.collect_history(calls);
        let violations = check(&history, &Policy::default());
        let first: Vec<_> = violations.iter().take(3).collect();
        assert!(first.is_empty(), "{} violations: {first:?}", violations.len());
    }

    /// Lists an instance as leaving in the platform's list.
    pub fn list_as_leaving(&self, index: usize) {
        let instance = &self.instances[index];
        let entry =
            self.entry(instance, self.forwarders[index].links, ListState::Leaving);
        register(self.platform.address(), &entry);
    }
}

/// Returns whether a node represents the targets of a failure domain.
fn is_target_node_of(node: &Node, domain: &str) -> bool {
    matches!(node, Node::Targets(name) if *name == domain)
}

/// Maps the failure domain and the address of a target to the address in the list.
type AddressMapper<'a> = &'a dyn Fn(&DomainName, SocketAddr) -> SocketAddr;

/// Returns the entries of a list in a status, or none if it is absent.
fn rows<'a>(status: &'a Value, name: &str) -> impl Iterator<Item = &'a Value> {
    status[name].as_array().into_iter().flatten()
}

/// Starts a fleet of minions from flags.
fn start_minions(flags: &[&str], common: &[String], map_address: AddressMapper) -> Fleet {
    let flags: Vec<&str> =
        flags.iter().copied().chain(common.iter().map(String::as_str)).collect();
    let settings: MinionSettings =
        minion_settings().to_options().run_inner(flags.as_slice()).unwrap();
    Fleet::start_with_addresses(&settings.fleet, &settings.target_spec(), map_address)
        .unwrap()
}

/// Starts a fleet of workers from flags.
fn start_workers(flags: &[&str], common: &[String], map_address: AddressMapper) -> Fleet {
    let own = ["--service", "yard-work"];
    let flags: Vec<&str> = flags
        .iter()
        .copied()
        .chain(own)
        .chain(common.iter().map(String::as_str))
        .collect();
    let settings: WorkerSettings =
        worker_settings().to_options().run_inner(flags.as_slice()).unwrap();
    Fleet::start_with_addresses(&settings.fleet, &settings.target_spec(), map_address)
        .unwrap()
}
