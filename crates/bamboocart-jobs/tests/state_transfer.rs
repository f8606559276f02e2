//! Tests of instances that start while the store does not answer them.

mod support;

use std::sync::Arc;

use bamboocart_jobs::{
    Catalog, Engine, HoldReply, Member, Message, Moment, Service, WireLimits,
};
use support::{answer_hold, entry, frame, hold_of, queue, step, submission};

/// Two connected engines; the store answers only one of them.
struct Pair {
    informed: Engine,
    newcomer: Engine,
    now: Moment,
}

fn member(name: &str) -> Member {
    support::member(name, "marka")
}

fn catalog(version: u64) -> Catalog {
    Catalog {
        version,
        queues: vec![Arc::new(queue())],
        services: vec![Service { name: "service".into(), admission_check: true }],
        limits: WireLimits::default(),
    }
}

impl Pair {
    fn new() -> Self {
        let now = Moment(10_000);
        let mut informed = Engine::new(member("entry-1"), 1);
        informed.set_catalog(catalog(5));
        informed.update_minions(now, vec![entry("m-1", "marka")]);
        informed.set_members(now, 3, &[member("entry-1")]);
        let hold = hold_of(informed.take_effects());
        answer_hold(&mut informed, now, &hold, HoldReply::default());
        let newcomer = Engine::new(member("entry-2"), 2);
        let mut pair = Self { informed, newcomer, now };
        let key = pair.informed.peer(now, &member("entry-2"));
        pair.informed.link_opened(key);
        let key = pair.newcomer.peer(now, &member("entry-1"));
        pair.newcomer.link_opened(key);
        pair
    }

    /// Exchanges frames for the given time, and returns the messages that the newcomer
    /// sends.
    fn exchange(&mut self, duration_ms: u64) -> Vec<Message> {
        let mut sent = Vec::new();
        for _ in 0..duration_ms / 10 {
            self.now = self.now + 10;
            let now = self.now;
            self.informed.tick(now);
            self.newcomer.tick(now);
            for (_, frame) in self.informed.take_frames(now) {
                let peer = self.newcomer.peer(now, &member("entry-1"));
                self.newcomer.frame_arrived(now, peer, frame);
            }
            for (_, frame) in self.newcomer.take_frames(now) {
                sent.extend(frame.messages.clone());
                let peer = self.informed.peer(now, &member("entry-2"));
                self.informed.frame_arrived(now, peer, frame);
            }
        }
        sent
    }
}

/// Guards against an instance that refuses all requests while the store does not answer
/// it, although its peers know the configuration and hold the minions (status 503 for
/// three seconds after a restart, incident 1234 of Amman).
#[test]
fn peers_send_state_to_an_instance_that_the_store_does_not_answer() {
    let mut pair = Pair::new();
    pair.exchange(500);
    assert_eq!(pair.newcomer.catalog().version, 5);
    let mut submission = submission(1, vec![step(1, &[])]);
    submission.queue = Arc::clone(&pair.newcomer.catalog().queues[0]);
    pair.newcomer.submit(pair.now, submission);
    let sent = pair.exchange(100);
    let starts = sent.iter().filter(|it| matches!(it, Message::Start { .. })).count();
    assert_eq!(starts, 1, "{sent:?}");
    assert_eq!(
        pair.newcomer.status(pair.now).held,
        0,
        "minions are held without a fencing token"
    );
}

/// Guards against a configuration that is replaced by an older one, and against state
/// transfers to instances that need none.
#[test]
fn only_an_instance_without_state_gets_it() {
    let mut pair = Pair::new();
    pair.newcomer.set_catalog(catalog(7));
    pair.exchange(2_000);
    assert_eq!(pair.newcomer.catalog().version, 7);
    let peer = pair.newcomer.peer(pair.now, &member("entry-1"));
    let state = Message::StateTransfer { catalog: catalog(9), minions: Vec::new() };
    pair.newcomer.frame_arrived(pair.now, peer, frame(pair.now, vec![state]));
    assert_eq!(
        pair.newcomer.catalog().version,
        7,
        "the version from the store is replaced"
    );
}

/// Guards against an instance that serves a queue that was removed, because it restarts while
/// the store does not answer and hears first from a peer that was cut off from the store.
#[test]
fn the_latest_state_of_several_peers_counts() {
    let mut pair = Pair::new();
    let peers = ["entry-1", "entry-3", "entry-4"].map(member);
    for (member, version) in peers.iter().zip([4, 6, 5]) {
        let peer = pair.newcomer.peer(pair.now, member);
        let state =
            Message::StateTransfer { catalog: catalog(version), minions: Vec::new() };
        pair.newcomer.frame_arrived(pair.now, peer, frame(pair.now, vec![state]));
    }
    assert_eq!(pair.newcomer.catalog().version, 6);
}
