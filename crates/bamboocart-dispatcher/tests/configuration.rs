//! Configuration: of all publications on one base version, one wins and is in force
//! everywhere within 9 s.

mod support;

use bamboocart_core::config::CONFIG_STREAM;
use bamboocart_platform::Platform;
use support::{
    Cluster, ClusterSettings, IN_FORCE_TIMEOUT, LinkMode, Node, PEER_DEAD_TIMEOUT,
    VersionWatch, append_publication, policy_changes, publication, sleep, version_of,
    wait_for_at_least, wait_for_version, wait_until, weights,
};
use yare::parameterized;

/// Guards against two publications on one base version that both take effect, a repeated
/// append that publishes again, and an invalid record that blocks the stream.
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

/// Guards against an instance that has no configuration, or an outdated one, because it
/// cannot read the log: it gets the set from its peers.
#[test]
fn start_without_the_log() {
    let mut cluster = Cluster::start(ClusterSettings::default());
    let platform = Platform::new(&cluster.platform.address().to_string());
    cluster.net.set_mode(Node::Instance(2), Node::Platform, LinkMode::Partition);
    let offset = platform.append(CONFIG_STREAM, &publication(1, 2)).unwrap().offset;
    wait_for_version(&cluster, offset + 1);
    cluster.restart(2);
    wait_for_version(&cluster, offset + 1);
    cluster.net.set_mode(Node::Instance(2), Node::Platform, LinkMode::Pass);
    let offset =
        platform.append(CONFIG_STREAM, &publication(offset + 1, 3)).unwrap().offset;
    wait_for_version(&cluster, offset + 1);
    assert!(weights(&cluster).iter().all(|&it| it == Some(3)));
}

/// The order in which the connections of a partitioned failure domain are restored.
struct Heal {
    /// Whether the connections to the platform are restored first.
    platform_first: bool,
    /// Whether the others stay cut until the new version has come over the first ones.
    in_steps: bool,
}

/// Guards against instances that differ, or return to an earlier set, after a partition:
/// there are publications on both sides, which the two sides receive in different orders.
///
/// The cut-off side knows version `base`. Its operator publishes on that base, and the
/// append reaches the log only after the partition; one instance of this side is replaced
/// meanwhile. On the other side there is one publication on `base`, followed by two on
/// the next version.
#[parameterized(
    at_once = { Heal { platform_first: false, in_steps: false } },
    links_first = { Heal { platform_first: false, in_steps: true } },
    platform_first = { Heal { platform_first: true, in_steps: true } },
)]
fn publications_on_both_sides_of_a_partition(heal: Heal) {
    let instances = vec!["marka", "marka", "sahab", "qastal"];
    let mut cluster =
        Cluster::start(ClusterSettings { instances, ..ClusterSettings::default() });
    let platform = Platform::new(&cluster.platform.address().to_string());
    let operator_address = cluster.net.open(Node::Platform, Some(Node::Instance(0)));
    let watch = VersionWatch::start(&cluster);
    let base = append_publication(&platform, 1, 2);
    wait_for_version(&cluster, base);

    cluster.isolate("marka", LinkMode::Partition);
    let delayed_append = std::thread::spawn(move || {
        let (platform, body) =
            (Platform::new(&operator_address.to_string()), publication(base, 9));
        // Each attempt waits 3 s for an answer while the bytes are held back.
        let mut attempts =
            std::iter::repeat_with(|| platform.append(CONFIG_STREAM, &body));
        attempts.find_map(Result::ok).unwrap().offset
    });
    cluster.restart(1);
    watch.follow(&cluster);
    wait_for_at_least(&cluster.instances[1], base);
    let next = append_publication(&platform, base, 3);
    let first = append_publication(&platform, next, 4);
    append_publication(&platform, next, 5);
    wait_for_at_least(&cluster.instances[2], first);
    wait_for_at_least(&cluster.instances[3], first);
    sleep(PEER_DEAD_TIMEOUT);
    let reported: Vec<u64> = cluster.instances.iter().map(version_of).collect();
    assert_eq!(reported, [base, base, first, first]);

    let last_record = platform.read(CONFIG_STREAM, 0, 0).unwrap().end;
    if heal.in_steps {
        set_mode_of_marka(&cluster, heal.platform_first, LinkMode::Pass);
        wait_for_version(&cluster, first);
    }
    cluster.isolate("marka", LinkMode::Pass);
    assert!(
        delayed_append.join().unwrap() >= last_record,
        "a publication passed the partition"
    );
    wait_for_version(&cluster, first);
    assert!(weights(&cluster).iter().all(|&it| it == Some(4)));
    let last = append_publication(&platform, first, 6);
    wait_for_version(&cluster, last);
    assert!(weights(&cluster).iter().all(|&it| it == Some(6)));
    println!("{:?}", watch.end());

    let has_last = |versions: &Vec<u64>| versions.last() == Some(&last);
    wait_until("the policy changes in the accounts", IN_FORCE_TIMEOUT, || {
        policy_changes(&cluster).values().filter(|it| has_last(it)).count() == 4
    });
    for (run, versions) in policy_changes(&cluster) {
        assert!(versions.is_sorted_by(|a, b| a < b), "{run:?} had {versions:?}");
    }
}

/// Sets the link mode between the instances of marka and either the platform or the
/// other instances.
fn set_mode_of_marka(cluster: &Cluster, to_platform: bool, mode: LinkMode) {
    let outside: &[Node] = match to_platform {
        true => &[Node::Platform],
        false => &[Node::Instance(2), Node::Instance(3)],
    };
    let pairs = [0, 1].into_iter().flat_map(|a| outside.iter().map(move |&b| (a, b)));
    pairs.for_each(|(a, b)| cluster.net.set_mode(Node::Instance(a), b, mode));
}
