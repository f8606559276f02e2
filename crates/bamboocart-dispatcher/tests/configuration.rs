//! Configuration: one publication per base wins, and it is in force everywhere in 9 s.

mod support;

use bamboocart_core::config::CONFIG_STREAM;
use bamboocart_platform::Platform;
use support::{
    Cluster, ClusterSettings, Mode, Node, publication, wait_for_version, weights,
};

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
