//! The configuration in force outlives the record of its publication.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use bamboocart_core::config::CONFIG_STREAM;
use bamboocart_platform::Platform;
use support::{
    Cluster, ClusterSettings, LinkMode, Node, VersionWatch, append_publication, sleep,
    wait_for_at_least, wait_for_version, wait_until, weights,
};
use yare::parameterized;

/// The retention time of the log. Snapshots are due after half of it, and a reader checks
/// whether one is due at least every 2 s.
const RETENTION_MS: u64 = 8_000;

/// The time limit for the expiry of a record, with a margin for a read.
const EXPIRY_TIMEOUT: Duration = Duration::from_millis(RETENTION_MS + 2_000);

/// Starts a system whose log retains records for [`RETENTION_MS`].
fn start() -> Cluster {
    Cluster::start(ClusterSettings {
        retention_ms: RETENTION_MS,
        seeds: true,
        ..ClusterSettings::default()
    })
}

/// Waits until the log has dropped the record of a version.
fn wait_for_expiry(platform: &Platform, version: u64) {
    wait_until("the expiry of the record", EXPIRY_TIMEOUT, || {
        platform.read(CONFIG_STREAM, 0, 0).is_ok_and(|page| page.start >= version)
    });
}

/// Sets the link mode between an instance and all others.
fn set_peer_links(cluster: &Cluster, index: usize, mode: LinkMode) {
    let others = (0..=cluster.instances.len()).filter(|&other| other != index);
    others.for_each(|it| {
        cluster.net.set_mode(Node::Instance(index), Node::Instance(it), mode)
    });
}

/// Starts an instance that reaches the log but no peer, and waits until it has a version.
fn start_without_peers(cluster: &mut Cluster, version: u64) {
    let index = cluster.instances.len();
    set_peer_links(cluster, index, LinkMode::Reset);
    cluster.add_instance("sahab");
    wait_for_at_least(&cluster.instances[index], version);
    set_peer_links(cluster, index, LinkMode::Pass);
}

/// Restarts all instances one after the other, each when the previous one has a version.
fn replace_all(cluster: &mut Cluster, watch: &VersionWatch, version: impl Fn() -> u64) {
    for index in 0..cluster.instances.len() {
        let version = version();
        cluster.restart(index);
        watch.follow(cluster);
        wait_for_at_least(&cluster.instances[index], version);
    }
}

/// A thread that publishes configurations until it is ended.
struct Publisher {
    stop: Arc<AtomicBool>,
    /// The version of the last publication.
    version: Arc<AtomicU64>,
    thread: JoinHandle<u32>,
}

impl Publisher {
    /// Starts to publish on top of a version, with a pause after each publication;
    /// without a pause nothing is published.
    fn start(platform: Platform, base: u64, pause: Option<Duration>) -> Self {
        let (stop, version) =
            (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(base)));
        let (stopped, last) = (stop.clone(), version.clone());
        let thread = std::thread::spawn(move || {
            let mut weight = 1;
            while let (false, Some(pause)) = (stopped.load(Ordering::Relaxed), pause) {
                weight += 1;
                let base = last.load(Ordering::Relaxed);
                last.store(
                    append_publication(&platform, base, weight),
                    Ordering::Relaxed,
                );
                sleep(pause);
            }
            weight
        });
        Self { stop, version, thread }
    }

    /// Returns the version of the last publication.
    fn version(&self) -> u64 {
        self.version.load(Ordering::Relaxed)
    }

    /// Stops publishing and returns the last version and its weight.
    fn end(self) -> (u64, u32) {
        self.stop.store(true, Ordering::Relaxed);
        let weight = self.thread.join().unwrap();
        (self.version.load(Ordering::Relaxed), weight)
    }
}

/// Guards against a set that is lost with the record of its publication because no
/// snapshot is written, or only while nothing is published, or only by instances that
/// have read the publication itself. Each round ends with all instances replaced.
#[parameterized(
    nothing_published = { None },
    published_throughout = { Some(Duration::from_millis(400)) },
)]
fn snapshots_outlast_publications(pause: Option<Duration>) {
    let mut cluster = start();
    let platform = Platform::new(&cluster.platform.address().to_string());
    let watch = VersionWatch::start(&cluster);
    let publisher = Publisher::start(platform.clone(), 1, pause);
    for round in 0..2 {
        wait_for_expiry(&platform, publisher.version());
        let version = publisher.version();
        start_without_peers(&mut cluster, version);
        watch.follow(&cluster);
        println!("round {round}: version {version} was read from the log alone");
        replace_all(&mut cluster, &watch, || publisher.version());
    }
    let (version, weight) = publisher.end();
    wait_for_version(&cluster, version);
    assert!(weights(&cluster).iter().all(|&it| it == Some(weight.into())), "{weight}");
    let last = append_publication(&platform, version, weight + 1);
    wait_for_version(&cluster, last);
    println!("{:?}", watch.end());
}

/// Guards against a set that is lost, or a log that accepts no further publication, when
/// all instances are replaced while none can read the log: each gets the set only from
/// its peers. In the longer outage every record expires meanwhile.
#[parameterized(
    for_a_short_time = { false },
    until_all_records_have_expired = { true },
)]
fn peers_keep_the_set_while_the_log_is_down(expire: bool) {
    let mut cluster = start();
    let platform = Platform::new(&cluster.platform.address().to_string());
    let watch = VersionWatch::start(&cluster);
    let version = append_publication(&platform, 1, 2);
    wait_for_version(&cluster, version);
    set_log_links(&cluster, LinkMode::Reset);
    replace_all(&mut cluster, &watch, || version);
    if expire {
        let is_empty = || platform.read(CONFIG_STREAM, 0, 0).unwrap().records.is_empty();
        wait_until("the expiry of all records", EXPIRY_TIMEOUT, is_empty);
        replace_all(&mut cluster, &watch, || version);
    }
    assert!(weights(&cluster).iter().all(|&it| it == Some(2)));
    set_log_links(&cluster, LinkMode::Pass);
    let last = append_publication(&platform, version, 3);
    wait_for_version(&cluster, last);
    start_without_peers(&mut cluster, last);
    println!("{:?}", watch.end());
}

/// Sets the link mode between all instances and the platform.
fn set_log_links(cluster: &Cluster, mode: LinkMode) {
    let instances = (0..cluster.instances.len()).map(Node::Instance);
    instances.for_each(|instance| cluster.net.set_mode(instance, Node::Platform, mode));
}
