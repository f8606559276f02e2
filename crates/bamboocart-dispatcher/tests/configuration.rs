//! Configuration: one publication per base wins, and it is in force everywhere in 9 s.

mod support;

use std::time::Duration;

use bamboocart_core::config::{
    CONFIG_STREAM, ConfigRecord, ConfigSet, Publication, PublicationId,
};
use bamboocart_core::id::ConfigVersion;
use bamboocart_platform::Platform;
use serde_json::Value;
use support::{Cluster, ClusterSettings, Mode, Node, base_config, call, wait_until};
use uuid::Uuid;

/// The time in which a publication is in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(9);

/// Returns a set that differs from others by the weight of its quota.
fn set(weight: u32) -> ConfigSet {
    let mut set = base_config();
    set.quota.values_mut().for_each(|quota| quota.weight = weight);
    set
}

/// Returns a publication for a base.
fn publication(base: u64, weight: u32) -> String {
    let publication = PublicationId(Uuid::now_v7());
    let base = ConfigVersion(base);
    ConfigRecord::Publish(Publication { publication, base, set: set(weight) }).to_body()
}

/// Waits until all instances have a version, and fails when one reports a lower version
/// than before.
fn wait_for_version(cluster: &Cluster, version: u64) {
    let mut seen = vec![0; cluster.instances.len()];
    wait_until("the version everywhere", IN_FORCE, || {
        for (instance, seen) in cluster.instances.iter().zip(&mut seen) {
            let now = instance.status()["config_version"].as_u64().unwrap();
            assert!(now >= *seen, "{} went from {seen} to {now}", instance.name);
            *seen = now;
        }
        seen.iter().all(|&it| it == version)
    });
}

/// Returns the weight that is in force on each instance.
fn weights(cluster: &Cluster) -> Vec<Option<u64>> {
    let weight = |address| {
        let (_, body) = call("GET", address, "/v1/config", &Value::Null);
        body["set"]["quota"]["float-storage"]["weight"].as_u64()
    };
    cluster.addresses().into_iter().map(weight).collect()
}

/// Guards against two winners for one base, a repetition that publishes again, and a bad
/// record that stops the stream.
#[test]
fn one_publication_wins_everywhere() {
    let cluster = Cluster::start(ClusterSettings::default());
    let platform = Platform::new(&cluster.platform.address().to_string());
    let append = |body: &str| platform.append(CONFIG_STREAM, body).unwrap().offset;
    append("no record");
    let racing = [publication(1, 2), publication(1, 3)];
    let offsets = std::thread::scope(|scope| {
        let calls = racing.each_ref().map(|body| scope.spawn(|| append(body)));
        calls.map(|it| it.join().unwrap())
    });
    let winner = if offsets[0] < offsets[1] { 0 } else { 1 };
    append(&racing[winner]);
    wait_for_version(&cluster, offsets[winner] + 1);
    let expected = Some([2, 3][winner]);
    assert!(weights(&cluster).iter().all(|&it| it == expected), "{expected:?}");
    let last = append(&publication(offsets[winner] + 1, 4));
    wait_for_version(&cluster, last + 1);
    assert!(weights(&cluster).iter().all(|&it| it == Some(4)));
}

/// Guards against an instance that has no configuration, or an old one, because it cannot
/// read the log: it gets the set from peers.
#[test]
fn start_without_the_log() {
    let mut cluster = Cluster::start(ClusterSettings::default());
    let platform = Platform::new(&cluster.platform.address().to_string());
    cluster.net.set(Node::Instance(2), Node::Platform, Mode::Cut);
    let offset = platform.append(CONFIG_STREAM, &publication(1, 2)).unwrap().offset;
    wait_for_version(&cluster, offset + 1);
    cluster.restart(2);
    wait_for_version(&cluster, offset + 1);
    cluster.net.set(Node::Instance(2), Node::Platform, Mode::Pass);
    let offset =
        platform.append(CONFIG_STREAM, &publication(offset + 1, 3)).unwrap().offset;
    wait_for_version(&cluster, offset + 1);
    assert!(weights(&cluster).iter().all(|&it| it == Some(3)));
}
