//! Instances that start while the store does not answer them.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use bamboocart_jobs::{
    Catalog, Effect, Engine, Frame, HoldAnswer, HoldReply, Member, Message, MinionEntry,
    MinionState, Moment, NewJob, Queue, RequestKey, Resources, Service, Step, Submission,
    WireLimits,
};

/// Two engines with links to each other, one of which the store does not answer.
struct Pair {
    informed: Engine,
    newcomer: Engine,
    now: Moment,
}

fn member(name: &str) -> Member {
    Member {
        name: name.into(),
        failure_domain: "marka".into(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 7_000)),
        incarnation: 1,
    }
}

fn catalog(version: u64) -> Catalog {
    let queue = Queue {
        name: "queue".into(),
        host: "jobs.example".into(),
        path_prefix: "/q/".into(),
        service: "service".into(),
        priority: 0,
        max_attempts: 1,
        slack_factor: 4.0,
        target_latency_ms: 1_000,
    };
    Catalog {
        version,
        queues: vec![Arc::new(queue)],
        services: vec![Service { name: "service".into(), admission_check: true }],
        limits: WireLimits::default(),
    }
}

impl Pair {
    fn new() -> Self {
        let now = Moment(10_000);
        let mut informed = Engine::new(member("entry-1"), 1);
        informed.set_catalog(catalog(5));
        let minion = MinionEntry {
            id: "m-1".into(),
            service: "service".into(),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 8_000)),
            failure_domain: "marka".into(),
            state: MinionState::Ready,
            capacity: Resources { cpu_millicores: 2_000, memory_mb: 4_096, gpu_count: 0 },
            labels: Vec::new(),
            incarnation: 1,
        };
        informed.list_minions(now, vec![minion]);
        informed.set_members(now, 3, &[member("entry-1")]);
        let hold = informed.take_effects().into_iter().find_map(|effect| match effect {
            Effect::Hold(order) => Some(order),
            _ => None,
        });
        let hold = hold.expect("the minion is held");
        let reply = HoldReply { incarnation: 1, clock_ms: 1, ..HoldReply::default() };
        let answer = HoldAnswer::Reply(reply);
        informed.hold_answered(now, hold.target.minion, hold.number, answer);
        let newcomer = Engine::new(member("entry-2"), 2);
        let mut pair = Self { informed, newcomer, now };
        let key = pair.informed.peer(now, &member("entry-2"));
        pair.informed.link_opened(key);
        let key = pair.newcomer.peer(now, &member("entry-1"));
        pair.newcomer.link_opened(key);
        pair
    }

    /// Exchanges frames for some time, and returns the messages that the newcomer sends.
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

/// Guards against an instance that refuses everything as long as the store does not answer
/// it, although its peers know the configuration and hold the minions (503 for three seconds
/// after a restart, incident 1234 of Amman).
#[test]
fn peers_brief_an_instance_that_the_store_does_not_answer() {
    let mut pair = Pair::new();
    pair.exchange(500);
    assert_eq!(pair.newcomer.catalog().version, 5);
    let job = NewJob {
        id: "00000000000000aa".parse().unwrap(),
        spec: "".into(),
        steps: vec![Step {
            count: 1,
            need: Resources { cpu_millicores: 1_000, memory_mb: 64, gpu_count: 0 },
            estimate_ms: 100,
            ..Step::default()
        }],
        best_effort: true,
        unsupported: None,
    };
    let queue = Arc::clone(&pair.newcomer.catalog().queues[0]);
    let request = RequestKey(1);
    let submission = Submission { request, queue, job, patience_ms: 1_500 };
    pair.newcomer.submit(pair.now, submission);
    let sent = pair.exchange(100);
    let starts = sent.iter().filter(|it| matches!(it, Message::Start { .. })).count();
    assert_eq!(starts, 1, "{sent:?}");
    assert_eq!(pair.newcomer.status(pair.now).held, 0, "minions need a token");
}

/// Guards against a configuration that goes back, or a briefing in every frame.
#[test]
fn only_an_uninformed_instance_is_briefed() {
    let mut pair = Pair::new();
    pair.newcomer.set_catalog(catalog(7));
    pair.exchange(2_000);
    assert_eq!(pair.newcomer.catalog().version, 7);
    let peer = pair.newcomer.peer(pair.now, &member("entry-1"));
    let briefing = Message::Briefing { catalog: catalog(9), minions: Vec::new() };
    let frame = Frame {
        sent_ms: 1,
        echo_ms: 0,
        wants_rooms: true,
        uninformed: false,
        messages: vec![briefing],
    };
    pair.newcomer.frame_arrived(pair.now, peer, frame);
    assert_eq!(pair.newcomer.catalog().version, 7, "the store has told it");
}
