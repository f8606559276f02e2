//! The configuration versions that instances report in the course of a run.

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

/// The time within which a publication must be in force on all instances.
pub const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(9);

/// The timeout of one reading of an instance's version.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// The pause between two rounds of readings of all instances.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Returns the base configuration with another weight of its quota.
pub fn set(weight: u32) -> ConfigSet {
    let mut set = base_config();
    set.quota.values_mut().for_each(|quota| quota.weight = weight);
    set
}

/// Returns the record of a publication on top of a base version.
pub fn publication(base: u64, weight: u32) -> String {
    let publication = PublicationId(Uuid::now_v7());
    let base = ConfigVersion(base);
    ConfigRecord::Publish(Publication { publication, base, set: set(weight) }).to_body()
}

/// Appends a publication and returns its version if it is accepted.
pub fn append_publication(platform: &Platform, base: u64, weight: u32) -> u64 {
    let body = publication(base, weight);
    platform.append(CONFIG_STREAM, &body).expect("the log takes the record").offset + 1
}

/// Returns the configuration version that an instance reports.
pub fn version_of(instance: &Instance) -> u64 {
    instance.status()["config_version"].as_u64().unwrap()
}

/// Waits until an instance reports a version or a later one.
pub fn wait_for_at_least(instance: &Instance, version: u64) {
    let what = format!("version {version} on {}", instance.name);
    wait_until(&what, IN_FORCE_TIMEOUT, || version_of(instance) >= version);
}

/// Waits until all instances report a version, and panics if one reports a lower version
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

/// Returns the quota weight that is in force on each instance.
pub fn weights(cluster: &Cluster) -> Vec<Option<u64>> {
    let weight = |address| {
        let (_, body) = call("GET", address, "/v1/config", &Value::Null);
        body["set"]["quota"]["float-storage"]["weight"].as_u64()
    };
    cluster.addresses().into_iter().map(weight).collect()
}

/// Returns the versions that came into force in each incarnation of an instance, from its
/// account. Unlike readings from outside, the account misses none.
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

/// Reads the versions of instances repeatedly until [`end`](Self::end).
pub struct VersionWatch {
    shared: Arc<Shared>,
    thread: JoinHandle<VersionReadings>,
}

/// The state that the watching thread shares with the test.
#[derive(Default)]
struct Shared {
    stop: AtomicBool,
    addresses: Mutex<Vec<SocketAddr>>,
}

/// The results of reading versions.
#[derive(Debug, Default)]
pub struct VersionReadings {
    /// The highest version of each incarnation of an instance.
    pub highest: BTreeMap<(String, u64), u64>,
    /// The number of answers.
    pub answers: usize,
    /// Descriptions of the answers with a lower version than an earlier one of the same
    /// incarnation.
    decreases: Vec<String>,
}

impl VersionWatch {
    /// Starts to read the versions of a cluster's instances.
    pub fn start(cluster: &Cluster) -> Self {
        let shared = Arc::new(Shared::default());
        let watched = shared.clone();
        let thread = std::thread::spawn(move || {
            let mut readings = VersionReadings::default();
            while !watched.stop.load(Ordering::Relaxed) {
                let addresses = watched.addresses.lock().unwrap().clone();
                addresses.into_iter().for_each(|address| readings.poll(address));
                std::thread::sleep(POLL_INTERVAL);
            }
            readings
        });
        let watch = Self { shared, thread };
        watch.follow(cluster);
        watch
    }

    /// Replaces the addresses to read with those that the cluster has now.
    pub fn follow(&self, cluster: &Cluster) {
        *self.shared.addresses.lock().unwrap() = cluster.addresses();
    }

    /// Ends the readings, and panics if a version decreased.
    pub fn end(self) -> VersionReadings {
        self.shared.stop.store(true, Ordering::Relaxed);
        let readings = self.thread.join().unwrap();
        assert!(
            readings.decreases.is_empty(),
            "versions decreased: {:?}",
            readings.decreases
        );
        readings
    }
}

impl VersionReadings {
    /// Reads the version of one instance, which may be down.
    fn poll(&mut self, address: SocketAddr) {
        let answer = try_call("GET", address, "/v1/status", &Value::Null, POLL_TIMEOUT);
        let Some((200, status)) = answer else { return };
        let name = status["instance"].as_str().unwrap().to_owned();
        let run = (name, status["incarnation"].as_u64().unwrap());
        let version = status["config_version"].as_u64().unwrap();
        let highest = self.highest.entry(run.clone()).or_default();
        if version < *highest {
            self.decreases.push(format!("{run:?} from {highest} to {version}"));
        }
        *highest = version.max(*highest);
        self.answers += 1;
    }
}
