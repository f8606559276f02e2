//! Calls to targets: their bound, and what a lost connection means for a task.

mod support;

use std::thread;

use bamboocart_standin::history::What;
use bamboocart_wire::api::OutcomeName;
use support::{Cluster, ClusterSettings, RequestSpec, agent, submit};

/// Guards against more open sends than the bound allows, and against sends that wait for
/// the bound and are lost.
#[test]
fn sends_beyond_the_bound_wait() {
    const BOUND: usize = 2;
    let cluster = Cluster::start(ClusterSettings {
        instances: vec!["marka"],
        minions: vec!["--count", "2", "--slots", "8"],
        flags: vec!["--max-sends", "2"],
        ..ClusterSettings::default()
    });
    let address = cluster.instances[0].address;
    let callers: Vec<_> = (0..12)
        .map(|number| {
            thread::spawn(move || {
                let order = RequestSpec::new(format!("bound-{number}"), 60, None);
                submit(&agent(), address, &order)
            })
        })
        .collect();
    let sends: Vec<_> = callers.into_iter().map(|it| it.join().unwrap()).collect();
    for send in &sends {
        let outcome = send.answer.as_ref().map(|answer| answer.outcome);
        assert_eq!(outcome, Some(OutcomeName::Complete), "{send:?}");
    }
    let evidence = cluster.evidence(vec![]);
    let (mut running, mut most) = (0_usize, 0);
    let mut events: Vec<_> =
        evidence.events.iter().filter(|it| it.run.is_some()).collect();
    events.sort_by_key(|event| event.sequence);
    for event in events {
        match event.what {
            What::Started => running += 1,
            _ => running -= 1,
        }
        most = most.max(running);
    }
    assert!((1..=BOUND).contains(&most), "{most} tasks ran at a time");
    cluster.check_history(sends);
}
