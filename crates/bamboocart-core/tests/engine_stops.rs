//! The choice of a successor by a stopping instance, event by event.

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

/// The time in which a stop has chosen its first successor.
const CHOSEN_MS: u64 = 1_000;

/// The time after which a handover that nobody takes has been given up.
const ENDED_MS: u64 = 7_000;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_ms(START_MS + ms)
}

fn owner(name: &str) -> Owner {
    Owner::new(name.into(), Incarnation(1))
}

/// An instance with the peers `b` and `c`, which it prefers in the order of `free`.
struct Node {
    engine: Engine,
    free: &'static [(&'static str, u32)],
    now_ms: u64,
    /// The handovers: successor, the number that the link reports on, and the part.
    sent: Vec<(String, Option<u64>, HandoverPart)>,
    /// The other messages that concern handovers.
    told: Vec<Message>,
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
        let (sent, told) = (vec![], vec![]);
        Self { engine, free, now_ms: 0, sent, told, drained: false }
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
                        | Message::Succession { .. }) => self.told.push(message),
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

    /// Lets time pass in which the peers of `alive` are heard.
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

    /// Returns the successors in the order of their choice.
    fn chosen(&self) -> Vec<&str> {
        let mut names: Vec<&str> = self.sent.iter().map(|(it, ..)| it.as_str()).collect();
        names.dedup();
        names
    }
}

/// What becomes of the handover to the first successor.
#[derive(Debug, Copy, Clone)]
enum Fate {
    /// It is declined.
    Declined,
    /// The successor took it.
    Taken,
    /// The link certainly did not send the first part.
    Lost,
    /// The link may have sent the first part, and the successor dies.
    MayHaveArrived,
    /// The link has delivered the first part, and the successor dies.
    Delivered,
    /// The link reports nothing.
    Unreported,
}

/// Guards against a handover that is given up although another successor may have it,
/// and against a second successor beside one that may have got the right.
#[parameterized(
    declined = { Fate::Declined, &["b", "c"] },
    taken = { Fate::Taken, &["b"] },
    lost = { Fate::Lost, &["b", "c"] },
    may_have_arrived = { Fate::MayHaveArrived, &["b"] },
    delivered = { Fate::Delivered, &["b"] },
    unreported = { Fate::Unreported, &["b"] },
)]
fn chooses_another_successor(fate: Fate, want: &[&str]) {
    let mut node = Node::new("a", &[("b", 9), ("c", 1)]);
    node.run_until(1_000, &["b", "c"]);
    node.handle(Event::Drain);
    node.run_until(1_000 + CHOSEN_MS, &["b", "c"]);
    assert_eq!(node.chosen(), ["b"]);
    let correlation = node.sent[0].1.expect("the link reports on the first part");
    let lost = |certain| Event::PeerUndelivered { correlation, certain };
    match fate {
        Fate::Declined => node.hear("b", Message::HandoverDeclined { from: owner("a") }),
        Fate::Taken => node.hear("b", Message::HandoverAccepted { from: owner("a") }),
        Fate::Lost => node.handle(lost(true)),
        Fate::MayHaveArrived => node.handle(lost(false)),
        Fate::Delivered => node.handle(Event::PeerDelivered { correlation }),
        Fate::Unreported => {}
    }
    assert_eq!(node.chosen(), want, "{fate:?}");
    node.run_until(1_000 + 2 * CHOSEN_MS, &["c"]);
    if !matches!(fate, Fate::Unreported) {
        // A second report on the first send says nothing about the sends after it.
        node.handle(lost(true));
    }
    node.run_until(1_000 + ENDED_MS, &["c"]);
    assert_eq!(node.chosen(), want, "{fate:?}");
    let told = node.told.iter().any(|it| matches!(it, Message::Succession { .. }));
    assert!(!told, "a successor is announced before it is final");
}

/// Guards against a stop that never ends or goes round in circles when every peer
/// declines, and against a handover to a peer that has declined.
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

/// Guards against a stopping instance that stays a successor, against one that declines
/// what it has adopted before its stop, and against one that ignores the question.
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
    // Asked in the lame-duck time, and after it has handed over to another instance.
    for ms in [1_000, 1_000 + CHOSEN_MS] {
        node.run_until(ms, &["c"]);
        node.told.clear();
        node.hear("a", part());
        answers.append(&mut node.told);
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
