//! The versions of the configuration that instances report over a whole run.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use bamboocart_core::account::Fact;
use bamboocart_core::config::{
    CONFIG_STREAM, ConfigRecord, ConfigSet, Publication, PublicationId,
};
use bamboocart_core::id::ConfigVersion;
use bamboocart_platform::Platform;
use serde_json::Value;
use uuid::Uuid;

use super::cluster::Cluster;
use super::http::{call, try_call};
use super::process::Instance;
use super::run_check::account_batches;
use super::{base_config, wait_until};

/// The time in which a publication is in force everywhere.
pub const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(9);

/// The time that one look at an instance may take.
const PATIENCE: Duration = Duration::from_millis(500);

/// The pause between two rounds of looks.
const LOOK_EVERY: Duration = Duration::from_millis(10);

/// Returns a set that differs from others by the weight of its quota.
pub fn set(weight: u32) -> ConfigSet {
    let mut set = base_config();
    set.quota.values_mut().for_each(|quota| quota.weight = weight);
    set
}

/// Returns a publication for a base.
pub fn publication(base: u64, weight: u32) -> String {
    let publication = PublicationId(Uuid::now_v7());
    let base = ConfigVersion(base);
    ConfigRecord::Publish(Publication { publication, base, set: set(weight) }).to_body()
}

/// Appends a publication and returns the version that it has if it is accepted.
pub fn append_publication(platform: &Platform, base: u64, weight: u32) -> u64 {
    let body = publication(base, weight);
    platform.append(CONFIG_STREAM, &body).expect("the log takes the record").offset + 1
}

/// Returns the version that an instance reports.
pub fn version_of(instance: &Instance) -> u64 {
    instance.status()["config_version"].as_u64().unwrap()
}

/// Waits until an instance reports a version or a later one.
pub fn wait_for_at_least(instance: &Instance, version: u64) {
    let what = format!("version {version} on {}", instance.name);
    wait_until(&what, IN_FORCE_TIMEOUT, || version_of(instance) >= version);
}

/// Waits until all instances report a version, and fails when one reports a lower version
/// than before.
pub fn wait_for_version(cluster: &Cluster, version: u64) {
    let mut seen = vec![0; cluster.instances.len()];
    wait_until(&format!("version {version} everywhere"), IN_FORCE_TIMEOUT, || {
        for (instance, seen) in cluster.instances.iter().zip(&mut seen) {
            let now = version_of(instance);
            assert!(now >= *seen, "{} went from {seen} to {now}", instance.name);
            *seen = now;
        }
        seen.iter().all(|&it| it == version)
    });
}

/// Returns the weight that is in force on each instance.
pub fn weights(cluster: &Cluster) -> Vec<Option<u64>> {
    let weight = |address| {
        let (_, body) = call("GET", address, "/v1/config", &Value::Null);
        body["set"]["quota"]["float-storage"]["weight"].as_u64()
    };
    cluster.addresses().into_iter().map(weight).collect()
}

/// Returns the versions that came into force in each run of an instance, as its account
/// tells. Unlike looks from outside, the account misses none.
pub fn policy_changes(cluster: &Cluster) -> BTreeMap<(String, u64), Vec<u64>> {
    let mut changes: BTreeMap<(String, u64), Vec<u64>> = BTreeMap::new();
    for batch in account_batches(cluster) {
        let run = (batch.instance.to_string(), batch.incarnation.0);
        let versions = changes.entry(run).or_default();
        versions.extend(batch.entries.iter().filter_map(|entry| match entry.fact {
            Fact::PolicyChange { to, .. } => Some(to.0),
            _ => None,
        }));
    }
    changes
}

/// Looks at the versions of instances until it is ended.
pub struct VersionWatch {
    shared: Arc<Shared>,
    thread: JoinHandle<VersionReadings>,
}

/// What the watching thread reads.
#[derive(Default)]
struct Shared {
    stop: AtomicBool,
    addresses: Mutex<Vec<SocketAddr>>,
}

/// What was seen.
#[derive(Debug, Default)]
pub struct VersionReadings {
    /// The highest version of each run of an instance.
    pub highest: BTreeMap<(String, u64), u64>,
    /// The answers that were read.
    pub answers: usize,
    /// The answers with a lower version than an earlier one of the same run.
    falls: Vec<String>,
}

impl VersionWatch {
    /// Begins to look at the instances of a cluster.
    pub fn start(cluster: &Cluster) -> Self {
        let shared = Arc::new(Shared::default());
        let watched = shared.clone();
        let thread = std::thread::spawn(move || {
            let mut looks = VersionReadings::default();
            while !watched.stop.load(Ordering::Relaxed) {
                let addresses = watched.addresses.lock().unwrap().clone();
                addresses.into_iter().for_each(|address| looks.look(address));
                std::thread::sleep(LOOK_EVERY);
            }
            looks
        });
        let watch = Self { shared, thread };
        watch.follow(cluster);
        watch
    }

    /// Looks at the processes that the cluster has now.
    pub fn follow(&self, cluster: &Cluster) {
        *self.shared.addresses.lock().unwrap() = cluster.addresses();
    }

    /// Ends the looks, and fails the test if a version has fallen.
    pub fn end(self) -> VersionReadings {
        self.shared.stop.store(true, Ordering::Relaxed);
        let looks = self.thread.join().unwrap();
        assert!(looks.falls.is_empty(), "versions fell: {:?}", looks.falls);
        looks
    }
}

impl VersionReadings {
    /// Looks at one instance, which may be down.
    fn look(&mut self, address: SocketAddr) {
        let answer = try_call("GET", address, "/v1/status", &Value::Null, PATIENCE);
        let Some((200, status)) = answer else { return };
        let name = status["instance"].as_str().unwrap().to_owned();
        let run = (name, status["incarnation"].as_u64().unwrap());
        let version = status["config_version"].as_u64().unwrap();
        let highest = self.highest.entry(run.clone()).or_default();
        if version < *highest {
            self.falls.push(format!("{run:?} from {highest} to {version}"));
        }
        *highest = version.max(*highest);
        self.answers += 1;
    }
}
