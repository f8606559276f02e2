//! Tests of offloading tasks to peers.

use std::sync::Arc;

use bamboocart_core::config::{Role, SourceFile, check};
use bamboocart_core::engine::{
    Effect, Engine, Event, NewSubmission, Setup, TaskSpec, WaiterId,
};
use bamboocart_core::id::{Attempt, ConfigVersion, Incarnation, TaskIndex};
use bamboocart_core::membership::{Heartbeat, MemberList, PeerInfo, TargetInfo};
use bamboocart_core::message::{Envelope, Message, OfferedTask};
use bamboocart_core::ownership::{Horizon, Owner, RegistryLimits};
use bamboocart_core::placement::Policy;
use bamboocart_core::slots::{FreeTarget, SlotReport};
use bamboocart_core::target::{RejectReason, SendReport};
use bamboocart_core::time::Timestamp;
use yare::parameterized;

/// A configuration whose request kind `k` is expected to run 200 ms before any run was
/// measured.
const CONFIG: &str = r#"[target_group.g]
role = "minion"
service = "s"
failure_domains = ["a"]
[service.s]
target_group = "g"
slots = 50
connections = 50
[priority.p]
rank = 0
[request_kind.k]
service = "s"
priority = "p"
idempotent = true
hedge = true
deadline_ms = 1000
shortest_run_ms = 100
longest_run_ms = 400
[quota.c]
weight = 1
starts_per_s = 100
burst = 100
in_flight = 100
"#;

const VERSION: ConfigVersion = ConfigVersion(1);

fn at(ms: u64) -> Timestamp {
    Timestamp::from_ms(1_000_000 + ms)
}

fn info(name: &str, domain: &str) -> PeerInfo {
    PeerInfo {
        name: name.into(),
        incarnation: Incarnation(1),
        domain: domain.into(),
        address: format!("{name}:1").as_str().into(),
    }
}

/// An engine with one target and one peer.
struct Harness {
    engine: Engine,
    now: Timestamp,
}

impl Harness {
    fn new(own_slots: u32) -> Self {
        let me = info("me", "a");
        let setup = Setup {
            instance: me.name.clone(),
            domain: me.domain.clone(),
            incarnation: me.incarnation,
            peer_address: me.address.clone(),
            seeds: vec![],
            policy: Policy::EarliestFinish,
            lend: true,
            eject: true,
            hedge: true,
            queue_tasks: 100,
            limits: RegistryLimits::default(),
            claim_horizon: Horizon::default(),
            lame_duck_ms: 0,
            seed: 1,
        };
        let mut harness = Self { engine: Engine::new(setup, at(0)), now: at(1) };
        let set = check(&[SourceFile { name: "f.toml", text: CONFIG }]).unwrap();
        let (set, version) = (Arc::new(set), VERSION);
        harness.handle(Event::ConfigAccepted { version, set, published_at: None });
        let peer = info("peer", "b");
        let target = TargetInfo {
            name: "t".into(),
            role: Role::Minion,
            service: "s".into(),
            domain: "a".into(),
            rack: None,
            incarnation: Incarnation(1),
            address: "t:1".into(),
            slots: own_slots,
            connections: 8,
            cpus: 0,
            memory_mb: 0,
        };
        harness.handle(Event::ListRead(MemberList {
            version: 1,
            as_of_ms: at(0).as_ms(),
            instances: vec![(me, false), (peer.clone(), false)],
            targets: vec![(target, false)],
        }));
        let (config_version, free_slots) = (VERSION, vec![0]);
        let leaving = false;
        let beat = Heartbeat {
            info: peer,
            leaving,
            config_version,
            free_slots,
            known_peers: vec![],
        };
        harness.hear(None, Message::Heartbeat(beat));
        harness
    }

    fn handle(&mut self, event: Event) -> Vec<Effect> {
        let mut effects = vec![];
        self.engine.handle(self.now, event, &mut effects);
        effects
    }

    /// Handles a message of the peer, which may report its free slots and their run time
    /// in milliseconds.
    fn hear(&mut self, slots: Option<(u32, u32)>, message: Message) -> Vec<Effect> {
        let from = Owner::new("peer".into(), Incarnation(1));
        let slots = slots.map(|(free, run_ms)| SlotReport {
            made_at: at(0),
            config_version: VERSION,
            groups: vec![vec![FreeTarget { free, run_ms: vec![run_ms] }]],
        });
        self.handle(Event::PeerMessage { from, envelope: Envelope { slots, message } })
    }

    fn submit(&mut self) -> Vec<Effect> {
        let submission = NewSubmission {
            id: None,
            customer: "c".into(),
            kind: "k".into(),
            deadline_ms: None,
            tasks: vec![TaskSpec::default()],
            job: false,
            want_tickets: 0,
            traceparent: None,
        };
        self.handle(Event::Submit { waiter: WaiterId(1), submission })
    }
}

/// Where a task went; `ToPeer` has the correlation id of the offer.
#[derive(Debug, PartialEq)]
enum Destination {
    ToOwnTarget,
    ToPeer(u64),
    Rejected,
    Nowhere,
}

fn destination(effects: &[Effect]) -> Destination {
    let destination = effects.iter().find_map(|effect| match effect {
        Effect::Send(_) => Some(Destination::ToOwnTarget),
        Effect::PeerMessage { envelope, .. } => match &envelope.message {
            Message::Offer { correlation, .. } => Some(Destination::ToPeer(*correlation)),
            Message::TaskReport { report, .. } => {
                assert_eq!(*report, SendReport::Rejected(RejectReason::Busy));
                Some(Destination::Rejected)
            }
            _ => None,
        },
        _ => None,
    });
    destination.unwrap_or(Destination::Nowhere)
}

/// Guards against starting a task on a slow target while a peer has a faster one free,
/// and against offers that bring no earlier finish.
#[parameterized(
    faster_peer = { 2, Some((2, 100)), true },
    slower_peer = { 2, Some((2, 190)), false },
    silent_peer = { 2, None, false },
    no_own_slot = { 0, Some((1, 900)), true },
)]
fn the_earliest_finish_is_chosen(own: u32, peer: Option<(u32, u32)>, lent: bool) {
    let mut harness = Harness::new(own);
    harness.hear(peer, Message::Cancel { correlation: 0 });
    let destination = destination(&harness.submit());
    assert_eq!(matches!(destination, Destination::ToPeer(_)), lent, "{destination:?}");
    assert!(lent || destination == Destination::ToOwnTarget);
}

/// Guards against a task that is offered again and again while a slot of its own instance
/// is free, and against a rejected task that waits forever.
#[test]
fn a_rejected_task_starts_on_an_own_slot() {
    let mut harness = Harness::new(2);
    harness.hear(Some((5, 100)), Message::Cancel { correlation: 0 });
    let Destination::ToPeer(correlation) = destination(&harness.submit()) else {
        panic!("the task was not offered to the peer")
    };
    let report = SendReport::Rejected(RejectReason::Busy);
    let effects =
        harness.hear(Some((5, 100)), Message::TaskReport { correlation, report });
    assert_eq!(destination(&effects), Destination::ToOwnTarget);
}

/// Guards against running an offered task that would end earlier on the owner's own
/// target.
#[parameterized(
    owner_has_no_slot = { 2, None, Destination::ToOwnTarget },
    faster_than_the_owner = { 2, Some(250_000), Destination::ToOwnTarget },
    slower_than_the_owner = { 2, Some(150_000), Destination::Rejected },
    no_free_slot = { 0, None, Destination::Rejected },
)]
fn offers_are_run_or_rejected(
    own: u32,
    owner_estimate_us: Option<u64>,
    expected: Destination,
) {
    let mut harness = Harness::new(own);
    let task = OfferedTask {
        group: "g".into(),
        submission: "01890a5d-ac96-774b-bcce-b302099a8057".parse().unwrap(),
        task: TaskIndex(0),
        attempt: Attempt(1),
        kind: "k".into(),
        idempotent: false,
        payload: Default::default(),
        deadline_ms: 1_000,
        owner_estimate_us,
        traceparent: None,
    };
    assert_eq!(
        destination(&harness.hear(None, Message::Offer { correlation: 5, task })),
        expected
    );
}

/// Guards against stragglers that are never hedged because a peer runs them, and against
/// a peer that continues a run whose result is no longer needed.
#[test]
fn a_lent_straggler_is_hedged_on_an_own_slot() {
    let mut harness = Harness::new(50);
    let result = || SendReport::Result(Default::default());
    let sent = |effects: &[Effect]| {
        effects.iter().find_map(|effect| match effect {
            Effect::Send(order) => Some(order.attempt),
            _ => None,
        })
    };
    // 34 sends earn one hedge. Their run time becomes the 95th percentile.
    let attempts: Vec<_> = (0..34).filter_map(|_| sent(&harness.submit())).collect();
    harness.now = at(401);
    for attempt in attempts {
        harness.handle(Event::SendFinished { attempt, report: result() });
    }
    harness.hear(Some((2, 100)), Message::Cancel { correlation: 0 });
    let Destination::ToPeer(correlation) = destination(&harness.submit()) else {
        panic!("the task was not offered to the peer")
    };
    harness.now = at(401 + 590);
    assert_eq!(sent(&harness.handle(Event::Tick)), None);
    harness.now = at(401 + 700);
    let hedge = sent(&harness.handle(Event::Tick));
    let Some(attempt) = hedge else { panic!("the straggler was not hedged") };
    let effects = harness.handle(Event::SendFinished { attempt, report: result() });
    let is_cancel = |effect: &Effect| match effect {
        Effect::PeerMessage { envelope, .. } => {
            matches!(envelope.message, Message::Cancel { correlation: it } if it == correlation)
        }
        _ => false,
    };
    assert!(effects.iter().any(is_cancel), "the peer gets no cancellation");
}
