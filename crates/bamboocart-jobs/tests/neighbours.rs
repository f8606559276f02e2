//! The peers whose free capacity an instance receives, and the frames that this costs.

mod support;

use std::collections::BTreeMap;

use bamboocart_jobs::{Engine, Member, Moment};
use yare::parameterized;

/// The most frames that an instance may send in a second: capacity reports and
/// heartbeats.
const FRAMES_PER_S: usize = 500;

/// A site: the number of instances in each failure domain, and the most neighbours that
/// an instance may have.
struct Site {
    domains: &'static [usize],
    neighbours: usize,
}

fn member(domain: usize, number: usize) -> Member {
    let name = format!("entry-{domain}-{number:02}");
    support::member(&name, &format!("domain-{domain}"))
}

/// Guards against capacity reports that grow with the square of the number of instances,
/// and against instances that get too few reports, get none from another failure domain,
/// or report to too few peers.
#[parameterized(
    alone = { Site { domains: &[1], neighbours: 0 } },
    small = { Site { domains: &[3, 3, 1], neighbours: 6 } },
    four_domains = { Site { domains: &[2, 2, 2, 1], neighbours: 6 } },
    three_large_domains = { Site { domains: &[13, 14, 10], neighbours: 8 } },
    five_large_domains = { Site { domains: &[7, 7, 7, 7, 6], neighbours: 10 } },
    one_large_domain = { Site { domains: &[40], neighbours: 6 } },
)]
fn instances_look_at_some_peers(site: Site) {
    let members: Vec<Member> = site
        .domains
        .iter()
        .enumerate()
        .flat_map(|(domain, &count)| (0..count).map(move |it| member(domain, it)))
        .collect();
    let mut seen_by: BTreeMap<String, usize> = BTreeMap::new();
    for own in &members {
        let mut engine = Engine::new(own.clone(), 1);
        let mut now = Moment(10_000);
        engine.set_members(now, 1, &members);
        for (peer, _) in engine.peers() {
            engine.link_opened(peer);
        }
        let mut wanted = BTreeMap::new();
        let mut frames = 0;
        for _ in 0..100 {
            now = now + 10;
            engine.tick(now);
            for (peer, frame) in engine.take_frames(now) {
                frames += 1;
                wanted.insert(peer, frame.wants_capacity);
            }
        }
        wanted.retain(|_, &mut wants_capacity| wants_capacity);
        assert!(frames <= FRAMES_PER_S, "{own} sends {frames} frames a second");
        assert!(wanted.len() <= site.neighbours, "{own} has {} neighbours", wanted.len());
        let chosen: Vec<&Member> =
            wanted.keys().filter_map(|&peer| engine.member_of(peer)).collect();
        for (domain, _) in site.domains.iter().enumerate() {
            let name = format!("domain-{domain}");
            let others = members.iter().filter(|it| *it.failure_domain == *name);
            let reachable = others.filter(|&it| it != own).count() > 0;
            let seen = chosen.iter().any(|it| *it.failure_domain == *name);
            assert_eq!(seen, reachable, "{own} and {name}");
        }
        for member in chosen {
            *seen_by.entry(member.to_string()).or_default() += 1;
        }
    }
    if members.len() > 1 {
        assert_eq!(seen_by.len(), members.len(), "some instances are seen by none");
    }
    let most = seen_by.values().max().copied().unwrap_or(0);
    assert!(most <= 2 * site.neighbours, "one instance is seen by {most}");
}
