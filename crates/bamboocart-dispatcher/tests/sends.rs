//! The limit on calls to targets that are open at a time.

mod support;

use std::thread;

use bamboocart_standin::history::EventKind;
use bamboocart_wire::api::OutcomeName;
use support::{Cluster, ClusterSettings, RequestSpec, agent, submit};

/// Guards against more open sends than the limit allows, and against waiting sends that
/// are lost.
#[test]
fn sends_beyond_the_limit_wait() {
    const MAX_SENDS: usize = 2;
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
                let spec = RequestSpec::new(format!("bound-{number}"), 60, None);
                submit(&agent(), address, &spec)
            })
        })
        .collect();
    let calls: Vec<_> = callers.into_iter().map(|it| it.join().unwrap()).collect();
    for call in &calls {
        let outcome = call.answer.as_ref().map(|answer| answer.outcome);
        assert_eq!(outcome, Some(OutcomeName::Complete), "{call:?}");
    }
    let history = cluster.collect_history(vec![]);
    let (mut running, mut max_running) = (0_usize, 0);
    let mut events: Vec<_> =
        history.events.iter().filter(|it| it.run.is_some()).collect();
    events.sort_by_key(|event| event.sequence);
    for event in events {
        match event.kind {
            EventKind::Started => running += 1,
            _ => running -= 1,
        }
        max_running = max_running.max(running);
    }
    assert!((1..=MAX_SENDS).contains(&max_running), "{max_running} tasks ran at a time");
    cluster.check_history(calls);
}
