//! Tests of the choice of a successor by a draining instance, driven event by event.

use bamboocart_core::engine::{Effect, Engine, Event, Setup};
use bamboocart_core::id::{ConfigVersion, Incarnation};
use bamboocart_core::membership::{Heartbeat, PeerInfo};
use bamboocart_core::message::{Envelope, Message};
use bamboocart_core::ownership::{HandoverPart, Horizon, Owner, RegistryLimits};
use bamboocart_core::placement::Policy;
use bamboocart_core::time::Timestamp;
use yare::parameterized;

/// The time at which an engine starts.
const START_MS: u64 = 1_000_000_000;

/// The time within which a drain has chosen its first successor.
const CHOSEN_MS: u64 = 1_000;

/// The time within which a handover that no successor takes is abandoned.
const ENDED_MS: u64 = 7_000;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_ms(START_MS + ms)
}

fn owner(name: &str) -> Owner {
    Owner::new(name.into(), Incarnation(1))
}

/// An instance with the peers `b` and `c`, of which it prefers the one with more slots in
/// `free`.
struct Node {
    engine: Engine,
    free: &'static [(&'static str, u32)],
    now_ms: u64,
    /// The handover parts that were sent: successor, correlation id for the link's
    /// report, and part.
    sent: Vec<(String, Option<u64>, HandoverPart)>,
    /// The other messages about handovers that were sent.
    handover_messages: Vec<Message>,
    drained: bool,
}

impl Node {
    fn new(name: &str, free: &'static [(&'static str, u32)]) -> Self {
        let setup = Setup {
            instance: name.into(),
            domain: "d".into(),
            incarnation: Incarnation(1),
            peer_address: name.into(),
            seeds: vec![],
            policy: Policy::EarliestFinish,
            lend: false,
            eject: false,
            hedge: false,
            queue_tasks: 10,
            limits: RegistryLimits::default(),
            claim_horizon: Horizon::default(),
            lame_duck_ms: 0,
            seed: 1,
        };
        let engine = Engine::new(setup, at(0));
        let (sent, handover_messages) = (vec![], vec![]);
        Self { engine, free, now_ms: 0, sent, handover_messages, drained: false }
    }

    fn handle(&mut self, event: Event) {
        let mut effects = vec![];
        self.engine.handle(at(self.now_ms), event, &mut effects);
        for effect in effects {
            match effect {
                Effect::PeerMessage { address, correlation, envelope } => {
                    match envelope.message {
                        Message::HandoverPart(part) => {
                            self.sent.push((address.to_string(), correlation, *part));
                        }
                        message @ (Message::HandoverAccepted { .. }
                        | Message::HandoverDeclined { .. }
                        | Message::Succession { .. }) => {
                            self.handover_messages.push(message)
                        }
                        _ => {}
                    }
                }
                Effect::Drained => self.drained = true,
                _ => {}
            }
        }
    }

    fn hear(&mut self, from: &str, message: Message) {
        let envelope = Envelope { slots: None, message };
        self.handle(Event::PeerMessage { from: owner(from), envelope });
    }

    /// Advances the time to `ms` while the peers in `alive` send heartbeats.
    fn run_until(&mut self, ms: u64, alive: &[&str]) {
        while self.now_ms < ms {
            for &(name, free) in self.free.iter().filter(|(it, _)| alive.contains(it)) {
                let info = PeerInfo {
                    name: name.into(),
                    incarnation: Incarnation(1),
                    domain: "d".into(),
                    address: name.into(),
                };
                let beat = Heartbeat {
                    info,
                    leaving: false,
                    config_version: ConfigVersion(0),
                    free_slots: vec![free],
                    known_peers: vec![],
                };
                self.hear(name, Message::Heartbeat(beat));
            }
            self.now_ms += 100;
            self.handle(Event::Tick);
        }
    }

    /// Returns the successors in the order in which they were chosen.
    fn chosen(&self) -> Vec<&str> {
        let mut names: Vec<&str> = self.sent.iter().map(|(it, ..)| it.as_str()).collect();
        names.dedup();
        names
    }
}

/// The result of the handover to the first successor.
#[derive(Debug, Copy, Clone)]
enum HandoverResult {
    /// The successor declines it.
    Declined,
    /// The successor takes it.
    Taken,
    /// The link reports that the first part was certainly not sent.
    Lost,
    /// The link reports that the first part may have arrived, and the successor dies.
    MayHaveArrived,
    /// The link reports that the first part was delivered, and the successor dies.
    Delivered,
    /// The link reports nothing.
    Unreported,
}

/// Guards against abandoning a handover that another successor could still take, and
/// against choosing a second successor while the first may have got the right.
#[parameterized(
    declined = { HandoverResult::Declined, &["b", "c"] },
    taken = { HandoverResult::Taken, &["b"] },
    lost = { HandoverResult::Lost, &["b", "c"] },
    may_have_arrived = { HandoverResult::MayHaveArrived, &["b"] },
    delivered = { HandoverResult::Delivered, &["b"] },
    unreported = { HandoverResult::Unreported, &["b"] },
)]
fn chooses_another_successor(result: HandoverResult, want: &[&str]) {
    let mut node = Node::new("a", &[("b", 9), ("c", 1)]);
    node.run_until(1_000, &["b", "c"]);
    node.handle(Event::Drain);
    node.run_until(1_000 + CHOSEN_MS, &["b", "c"]);
    assert_eq!(node.chosen(), ["b"]);
    let correlation = node.sent[0].1.expect("the first part has a correlation id");
    let lost = |certain| Event::PeerUndelivered { correlation, certain };
    match result {
        HandoverResult::Declined => {
            node.hear("b", Message::HandoverDeclined { from: owner("a") })
        }
        HandoverResult::Taken => {
            node.hear("b", Message::HandoverAccepted { from: owner("a") })
        }
        HandoverResult::Lost => node.handle(lost(true)),
        HandoverResult::MayHaveArrived => node.handle(lost(false)),
        HandoverResult::Delivered => node.handle(Event::PeerDelivered { correlation }),
        HandoverResult::Unreported => {}
    }
    assert_eq!(node.chosen(), want, "{result:?}");
    node.run_until(1_000 + 2 * CHOSEN_MS, &["c"]);
    if !matches!(result, HandoverResult::Unreported) {
        // A second report on the first send says nothing about later sends.
        node.handle(lost(true));
    }
    node.run_until(1_000 + ENDED_MS, &["c"]);
    assert_eq!(node.chosen(), want, "{result:?}");
    let announced =
        node.handover_messages.iter().any(|it| matches!(it, Message::Succession { .. }));
    assert!(!announced, "a successor is announced before it is final");
}

/// Guards against a drain that never ends or cycles through the peers when all of them
/// decline, and against another handover to a peer that has declined.
#[test]
fn ends_without_a_successor() {
    let mut node = Node::new("a", &[("b", 9), ("c", 1)]);
    node.run_until(1_000, &["b", "c"]);
    node.handle(Event::Drain);
    node.run_until(1_000 + CHOSEN_MS, &["b", "c"]);
    for name in ["b", "c", "b"] {
        node.hear(name, Message::HandoverDeclined { from: owner("a") });
    }
    node.run_until(1_000 + ENDED_MS, &["b", "c"]);
    assert_eq!(node.chosen(), ["b", "c"]);
    assert!(node.drained);
}

/// Guards against a draining instance that remains a successor, against one that declines
/// what it adopted before its drain, and against one that does not answer.
#[parameterized(
    asked_in_its_stop = { false },
    asked_again_after_its_adoption = { true },
)]
fn a_stopping_instance_declines(adopted: bool) {
    let mut old = Node::new("a", &[("b", 9)]);
    old.run_until(1_000, &["b"]);
    old.handle(Event::Drain);
    old.run_until(1_000 + CHOSEN_MS, &["b"]);
    let part = || Message::HandoverPart(Box::new(old.sent[0].2.clone()));
    let mut node = Node::new("b", &[("a", 0), ("c", 9)]);
    node.run_until(1_000, &["a", "c"]);
    if adopted {
        node.hear("a", part());
    }
    node.handle(Event::Drain);
    let mut answers = vec![];
    // Asked during lame duck, and again after it has handed over to another instance.
    for ms in [1_000, 1_000 + CHOSEN_MS] {
        node.run_until(ms, &["c"]);
        node.handover_messages.clear();
        node.hear("a", part());
        answers.append(&mut node.handover_messages);
    }
    assert_eq!(answers.len(), 2);
    for answer in answers {
        match answer {
            Message::HandoverAccepted { from } if adopted => assert_eq!(from, owner("a")),
            Message::HandoverDeclined { from } if !adopted => {
                assert_eq!(from, owner("a"));
            }
            other => panic!("{other:?}"),
        }
    }
}
