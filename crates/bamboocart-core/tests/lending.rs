//! Tests of tasks that instances run for each other.

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

/// Runs of `k` are expected to take 200 ms before any was measured.
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

/// An instance with one target, next to a peer.
struct Bench {
    engine: Engine,
    now: Timestamp,
}

impl Bench {
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
        let mut bench = Self { engine: Engine::new(setup, at(0)), now: at(1) };
        let set = check(&[SourceFile { name: "f.toml", text: CONFIG }]).unwrap();
        let (set, version) = (Arc::new(set), VERSION);
        bench.handle(Event::ConfigAccepted { version, set, published_at: None });
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
        bench.handle(Event::ListRead(MemberList {
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
        bench.hear(None, Message::Heartbeat(beat));
        bench
    }

    fn handle(&mut self, event: Event) -> Vec<Effect> {
        let mut effects = vec![];
        self.engine.handle(self.now, event, &mut effects);
        effects
    }

    /// Takes in a message of the peer, with its free slots and their run time.
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

/// Where a task went, with the number of an offer.
#[derive(Debug, PartialEq)]
enum Went {
    ToOwnTarget,
    ToPeer(u64),
    Back,
    Nowhere,
}

fn went(effects: &[Effect]) -> Went {
    let went = effects.iter().find_map(|effect| match effect {
        Effect::Send(_) => Some(Went::ToOwnTarget),
        Effect::PeerMessage { envelope, .. } => match &envelope.message {
            Message::Offer { correlation, .. } => Some(Went::ToPeer(*correlation)),
            Message::TaskReport { report, .. } => {
                assert_eq!(*report, SendReport::Rejected(RejectReason::Busy));
                Some(Went::Back)
            }
            _ => None,
        },
        _ => None,
    });
    went.unwrap_or(Went::Nowhere)
}

/// Guards against starts on a slow target while a peer has a faster free one, and against
/// offers that gain nothing.
#[parameterized(
    faster_peer = { 2, Some((2, 100)), true },
    slower_peer = { 2, Some((2, 190)), false },
    silent_peer = { 2, None, false },
    no_own_slot = { 0, Some((1, 900)), true },
)]
fn the_earliest_finish_is_chosen(own: u32, peer: Option<(u32, u32)>, lent: bool) {
    let mut bench = Bench::new(own);
    bench.hear(peer, Message::Cancel { correlation: 0 });
    let went = went(&bench.submit());
    assert_eq!(matches!(went, Went::ToPeer(_)), lent, "{went:?}");
    assert!(lent || went == Went::ToOwnTarget);
}

/// Guards against a task that is offered again and again while an own slot is free, and
/// against a bounced task that waits for ever.
#[test]
fn a_bounced_task_starts_on_an_own_slot() {
    let mut bench = Bench::new(2);
    bench.hear(Some((5, 100)), Message::Cancel { correlation: 0 });
    let Went::ToPeer(correlation) = went(&bench.submit()) else { panic!("not lent") };
    let report = SendReport::Rejected(RejectReason::Busy);
    let effects = bench.hear(Some((5, 100)), Message::TaskReport { correlation, report });
    assert_eq!(went(&effects), Went::ToOwnTarget);
}

/// Guards against offers that end later than on the owner's own target.
#[parameterized(
    owner_has_no_slot = { 2, None, Went::ToOwnTarget },
    faster_than_the_owner = { 2, Some(250_000), Went::ToOwnTarget },
    slower_than_the_owner = { 2, Some(150_000), Went::Back },
    no_free_slot = { 0, None, Went::Back },
)]
fn offers_are_run_or_bounced(own: u32, owner_estimate_us: Option<u64>, expected: Went) {
    let mut bench = Bench::new(own);
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
        went(&bench.hear(None, Message::Offer { correlation: 5, task })),
        expected
    );
}

/// Guards against stragglers that are never hedged because a peer runs them, and against
/// a peer that goes on with a run whose result is no longer needed.
#[test]
fn a_lent_straggler_is_hedged_on_an_own_slot() {
    let mut bench = Bench::new(50);
    let result = || SendReport::Result(Default::default());
    let sent = |effects: &[Effect]| {
        effects.iter().find_map(|effect| match effect {
            Effect::Send(order) => Some(order.attempt),
            _ => None,
        })
    };
    // 34 sends earn one hedge. Their run time is the 95th percentile.
    let attempts: Vec<_> = (0..34).filter_map(|_| sent(&bench.submit())).collect();
    bench.now = at(401);
    for attempt in attempts {
        bench.handle(Event::SendFinished { attempt, report: result() });
    }
    bench.hear(Some((2, 100)), Message::Cancel { correlation: 0 });
    let Went::ToPeer(correlation) = went(&bench.submit()) else { panic!("not lent") };
    bench.now = at(401 + 590);
    assert_eq!(sent(&bench.handle(Event::Tick)), None);
    bench.now = at(401 + 700);
    let hedge = sent(&bench.handle(Event::Tick));
    let Some(attempt) = hedge else { panic!("not hedged") };
    let effects = bench.handle(Event::SendFinished { attempt, report: result() });
    let is_cancel = |effect: &Effect| match effect {
        Effect::PeerMessage { envelope, .. } => {
            matches!(envelope.message, Message::Cancel { correlation: it } if it == correlation)
        }
        _ => false,
    };
    assert!(effects.iter().any(is_cancel), "the peer is not told");
}
