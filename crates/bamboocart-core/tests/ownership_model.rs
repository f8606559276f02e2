//! An explorer of ownership: several instances under every failure of section 1.5.
//!
//! Each run draws its steps from one seed. After every step, no id may have been started
//! twice, and no id may have been both started and answered "not run".

use std::collections::{BTreeMap, BTreeSet};

use bamboocart_core::id::{Incarnation, InstanceName, SubmissionId};
use bamboocart_core::outcome::{Outcome, Refusal, RefusalCode, UnknownCode};
use bamboocart_core::ownership::*;
use bamboocart_core::time::Timestamp;
use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, IteratorRandom};
use rand::{Rng, SeedableRng};
use uuid::Builder;
use yare::parameterized;

const NAMES: [&str; 4] = ["a", "b", "c", "d"];
const START_MS: u64 = 1_000_000_000;
const STEPS: usize = 1_500;
const NO: Refusal = Refusal { code: RefusalCode::Overloaded, retry_after_ms: None };

/// How instances decide; all but the first are rejected alternatives.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Policy {
    /// The rules of the module.
    Claims,
    /// A key belongs to its hash over the instances that seem to be live.
    HashOverLive,
    /// A key later than every claim that this instance has read is "not run".
    FutureIsNotRun,
    /// A submission whose owner is gone is "not run".
    GoneIsNotRun,
    /// A reader of a trimmed log accepts the first claim that it finds.
    TrustsTrimmedLog,
    /// A refusal is not remembered.
    ForgetsRefusals,
}

/// What the engine would keep for a submission.
#[derive(Debug)]
enum Work {
    Waiting { adopted: bool },
    Started,
    Answered(Outcome),
}

/// One process; a replaced one may go on for any time.
struct Process {
    me: Owner,
    stage: Stage<Work>,
    table: ClaimTable,
    claimer: Claimer,
    issuer: Issuer,
    assembly: Assembly,
    successions: Successions,
    /// The live instances as this process saw them last.
    view: BTreeMap<InstanceName, Incarnation>,
    frozen: bool,
    skew_ms: u64,
    /// The offset that a reader who trusts a trimmed log takes for 0.
    base: usize,
}

impl Process {
    /// Returns the instances that seem to be live.
    fn live(&self) -> impl Iterator<Item = Owner> {
        self.view.iter().map(|(name, &run)| Owner::new(name.clone(), run))
    }

    /// Resolves an id by the given policy.
    fn resolve(&self, id: &SubmissionId, policy: Policy) -> Resolved {
        if policy == Policy::HashOverLive && id.key_time().is_some() {
            return self.hash_over_live(id);
        }
        let view = View {
            rights: self.stage.rights(),
            issuer: &self.issuer,
            claims: &self.table,
            successions: &self.successions,
            live: &|name| self.view.get(name).copied(),
        };
        resolve(id, &view)
    }

    /// Chooses the instance with the highest hash among those that seem to be live.
    fn hash_over_live(&self, id: &SubmissionId) -> Resolved {
        let hash = |owner: &Owner| {
            *blake3::hash(format!("{} {id}", owner.instance).as_bytes()).as_bytes()
        };
        match self.live().max_by_key(hash) {
            Some(owner) if owner != self.me => Resolved::Other(owner),
            _ => Resolved::Mine(self.me.clone()),
        }
    }

    /// Receives a part of a handover.
    fn accept(&mut self, part: Part, now_ms: u64) {
        let Stage::Serving(registry) = &mut self.stage else {
            return;
        };
        if let Ok(Some(complete)) = self.assembly.accept(part, registry.rights()) {
            let now = Timestamp::from_ms(now_ms + self.skew_ms);
            let adopted = registry.adopt(complete, now, |_, end| Work::Answered(end));
            adopted.expect("a handover that was not adopted before");
        }
    }
}

enum Message {
    Submit { to: Owner, id: SubmissionId, hops: u8 },
    Part(Box<Part>),
    Announce { to: Owner, from: Owner, successor: Owner },
    Append(String),
}

/// What must never happen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Violation {
    StartedTwice,
    FalseNotRun,
}

/// The counts that show that a run exercised the rules.
#[derive(Debug, Default)]
struct Seen {
    starts: usize,
    under_claims: usize,
    for_predecessor: usize,
    not_run: usize,
    rejected_claims: usize,
    forgotten: usize,
}

struct World {
    policy: Policy,
    rng: SmallRng,
    now_ms: u64,
    processes: Vec<Process>,
    messages: Vec<Message>,
    log: Vec<(u64, String)>,
    log_start: usize,
    log_up: bool,
    ids: Vec<SubmissionId>,
    started: BTreeMap<SubmissionId, usize>,
    not_run: BTreeSet<SubmissionId>,
    seen: Seen,
}

impl World {
    fn new(policy: Policy, seed: u64) -> Self {
        let mut world = Self {
            policy,
            rng: SmallRng::seed_from_u64(seed),
            now_ms: START_MS,
            processes: vec![],
            messages: vec![],
            log: vec![],
            log_start: 0,
            log_up: true,
            ids: vec![],
            started: BTreeMap::new(),
            not_run: BTreeSet::new(),
            seen: Seen::default(),
        };
        NAMES.iter().for_each(|name| world.launch(name));
        (0..NAMES.len()).for_each(|at| world.look(at));
        world
    }

    /// Starts a process, which replaces the earlier one of its name in later views.
    fn launch(&mut self, name: &str) {
        self.now_ms += 1;
        let me = Owner::new(name.into(), Incarnation(self.now_ms * 1_000));
        let limits = Limits { open: 4, total: 8, remember_ms: 90_000, ahead_ms: 30_000 };
        let trusts = self.policy == Policy::TrustsTrimmedLog;
        self.processes.push(Process {
            stage: Stage::Serving(Registry::new(me.clone(), limits)),
            table: ClaimTable::default(),
            claimer: Claimer::new(me.clone(), Horizon::default()),
            issuer: Issuer::new("d".into(), me.clone()),
            assembly: Assembly::new(me.clone()),
            successions: Successions::default(),
            view: BTreeMap::from([(name.into(), me.incarnation)]),
            frozen: false,
            skew_ms: self.rng.random_range(0..20_000),
            base: if trusts { self.log_start } else { 0 },
            me,
        });
    }

    /// Does one random step.
    fn step(&mut self) {
        let at = self.rng.random_range(0..self.processes.len());
        let awake = !self.processes[at].frozen;
        match self.rng.random_range(0..100) {
            0..7 => self.submit_new(at),
            7..15 => self.resubmit(at),
            15..47 => self.deliver(),
            47..56 if awake => self.read_log(at),
            56..61 if awake => self.append_claims(at),
            61..75 if awake => self.work(at),
            75..79 if awake => self.look(at),
            79..82 => {
                let changes = self.rng.random_bool(if awake { 0.3 } else { 0.8 });
                self.processes[at].frozen ^= changes;
            }
            82..84 if awake && self.rng.random_bool(0.4) => self.stop(at),
            84..86 if self.processes[at].stage.rights().is_empty() => self.replace(at),
            86 if self.rng.random_bool(0.3) => self.replace(at),
            87..89 if !self.log_up => self.log_up = true,
            89 => self.log_up = false,
            91..92 => {
                self.log_start = self.rng.random_range(self.log_start..=self.log.len());
            }
            92..98 => self.now_ms += self.rng.random_range(0..8_000),
            98 => self.now_ms += self.rng.random_range(0..60_000),
            _ => {}
        }
    }

    /// A caller sends a submission under a new key or a fresh ticket.
    fn submit_new(&mut self, at: usize) {
        let id = match self.rng.random_bool(0.8) {
            true => {
                let ms = self.now_ms + self.rng.random_range(0..40_000);
                let key = Builder::from_unix_timestamp_millis(ms, &self.rng.random());
                SubmissionId::CallerKey(key.into_uuid())
            }
            false => SubmissionId::Ticket(self.processes[at].issuer.issue()),
        };
        self.ids.push(id.clone());
        self.send(at, id);
    }

    /// A caller that missed the answer sends a submission to any instance again, more
    /// often a recent one.
    fn resubmit(&mut self, at: usize) {
        let recent = self.ids.len().saturating_sub(self.rng.random_range(1..30));
        if let Some(id) = self.ids[recent..].choose(&mut self.rng).cloned() {
            self.send(at, id);
        }
    }

    /// A caller's message to an instance is under way.
    fn send(&mut self, at: usize, id: SubmissionId) {
        let to = self.processes[at].me.clone();
        self.messages.push(Message::Submit { to, id, hops: 0 });
    }

    /// Delivers, loses or duplicates any message under way.
    fn deliver(&mut self) {
        if self.messages.is_empty() {
            return;
        }
        let place = self.rng.random_range(0..self.messages.len());
        match self.messages.swap_remove(place) {
            _ if self.rng.random_bool(0.1) => {}
            Message::Append(body) if self.log_up => self.log.push((self.now_ms, body)),
            Message::Append(_) => {}
            Message::Submit { to, id, hops } => match self.awake(&to) {
                Some(at) => self.receive(at, id, hops),
                None => self.messages.push(Message::Submit { to, id, hops }),
            },
            Message::Announce { to, from, successor } => {
                if let Some(at) = self.awake(&to) {
                    self.processes[at].successions.learn(from, successor);
                }
            }
            Message::Part(part) => {
                if self.rng.random_bool(0.3) {
                    self.messages.push(Message::Part(part.clone()));
                }
                if let Some(at) = self.awake(&part.successor) {
                    self.processes[at].accept(*part, self.now_ms);
                }
            }
        }
    }

    /// Returns the position of a process that is not paused.
    fn awake(&self, owner: &Owner) -> Option<usize> {
        self.processes.iter().position(|process| process.me == *owner && !process.frozen)
    }

    /// An instance receives a submission from a caller or another instance.
    fn receive(&mut self, at: usize, id: SubmissionId, hops: u8) {
        match (self.processes[at].resolve(&id, self.policy), self.policy) {
            (Resolved::Mine(owner), _) => self.offer(at, id, &owner),
            (Resolved::Other(to), _) if hops < 2 => {
                self.messages.push(Message::Submit { to, id, hops: hops + 1 });
            }
            (Resolved::Future, Policy::FutureIsNotRun)
            | (Resolved::Gone(_), Policy::GoneIsNotRun) => {
                self.not_run.insert(id);
            }
            _ => {}
        }
    }

    /// The owner looks a submission up and admits or refuses it.
    fn offer(&mut self, at: usize, id: SubmissionId, owner: &Owner) {
        let refuse = self.rng.random_bool(0.1);
        let remembers = self.policy != Policy::ForgetsRefusals;
        let process = &mut self.processes[at];
        let adopted = *owner != process.me;
        let now = Timestamp::from_ms(self.now_ms + process.skew_ms);
        let digest = ContentDigest::of([&b"x"[..]]);
        let offer = process.stage.offer(&id, owner, digest, now);
        let not_run = match offer {
            Offer::New(vacancy) if refuse => {
                remembers.then(|| vacancy.refuse(NO));
                true
            }
            Offer::New(vacancy) => {
                vacancy.admit(Work::Waiting { adopted });
                false
            }
            Offer::Full(arrival) | Offer::Draining(arrival) => {
                remembers.then(|| arrival.refuse(NO));
                true
            }
            Offer::Refused(_) => true,
            Offer::Known(key) => {
                matches!(
                    process.stage.get(key),
                    Some(Work::Answered(Outcome::Refused(_)))
                )
            }
            offer => {
                self.seen.forgotten += usize::from(matches!(offer, Offer::Forgotten));
                false
            }
        };
        if not_run {
            self.not_run.insert(id);
        }
    }

    /// An owner starts, finishes or gives up one of its submissions, possibly long after
    /// it admitted it.
    fn work(&mut self, at: usize) {
        let process = &mut self.processes[at];
        let now = Timestamp::from_ms(self.now_ms + process.skew_ms);
        let open = self.ids.iter().filter_map(|id| {
            let key = process.stage.find(id)?;
            let work = process.stage.get(key)?;
            (!matches!(work, Work::Answered(_))).then_some((id, key))
        });
        let Some((id, key)) = open.choose(&mut self.rng) else {
            return;
        };
        match process.stage.get_mut(key).expect("an entry that was found") {
            work @ Work::Waiting { .. } if self.rng.random_bool(0.2) => {
                *work = Work::Answered(Outcome::Refused(NO));
                process.stage.close(key, now);
                self.not_run.insert(id.clone());
            }
            work @ &mut Work::Waiting { adopted } => {
                *work = Work::Started;
                *self.started.entry(id.clone()).or_default() += 1;
                self.seen.starts += 1;
                self.seen.under_claims += usize::from(id.key_time().is_some());
                self.seen.for_predecessor += usize::from(adopted);
            }
            work => {
                *work = Work::Answered(Outcome::Complete(vec![]));
                process.stage.close(key, now);
            }
        }
    }

    /// An instance reads some of the claims that it has not read.
    fn read_log(&mut self, at: usize) {
        if !self.log_up {
            return;
        }
        let &mut Process { ref mut table, base, .. } = &mut self.processes[at];
        let start = self.log_start - base.min(self.log_start);
        let first = (table.next_offset() as usize).max(start) + base;
        let page = self.log.iter().skip(first).take(self.rng.random_range(1..20));
        let records: Vec<ClaimRecord> = ((first - base) as u64..)
            .zip(page)
            .map(|(offset, &(at_ms, ref body))| ClaimRecord { offset, at_ms, body })
            .collect();
        self.seen.rejected_claims += table.read(start as u64, &records).len();
    }

    /// An instance sends the claims that are due; they may reach the log late or never.
    fn append_claims(&mut self, at: usize) {
        let process = &mut self.processes[at];
        let now = Timestamp::from_ms(self.now_ms + process.skew_ms);
        let live: Vec<Owner> = process.live().collect();
        let due = process.claimer.due(&process.table, &live, now);
        self.messages.extend(due.iter().map(|claim| Message::Append(claim.to_body())));
    }

    /// An instance updates its view of some of the others.
    fn look(&mut self, at: usize) {
        let latest: BTreeMap<InstanceName, Incarnation> = self
            .processes
            .iter()
            .filter(|process| !process.frozen || self.rng.random_bool(0.5))
            .map(|process| (process.me.instance.clone(), process.me.incarnation))
            .collect();
        let process = &mut self.processes[at];
        process.view.retain(|name, _| latest.contains_key(name));
        process.view.extend(latest);
    }

    /// An instance is replaced; its old process crashes, or is paused and goes on later.
    fn replace(&mut self, at: usize) {
        let name = self.processes[at].me.instance.clone();
        match self.rng.random_bool(0.6) || self.processes.len() > 8 {
            true => drop(self.processes.remove(at)),
            false => self.processes[at].frozen = true,
        }
        self.launch(name.as_str());
    }

    /// An instance goes one step further in a planned stop.
    fn stop(&mut self, at: usize) {
        let mut process = self.processes.remove(at);
        let others = process.live().filter(|owner| owner.instance != process.me.instance);
        let successor = others.choose(&mut self.rng);
        let stage = std::mem::take(&mut process.stage);
        process.stage = match successor {
            Some(successor) if matches!(stage, Stage::Draining(_)) => {
                stage.hand_over(successor, &process.issuer, |_, work| match work {
                    Work::Waiting { .. } => Outcome::Refused(NO),
                    Work::Started => Outcome::Unknown(UnknownCode::StillRunning),
                    Work::Answered(outcome) => outcome,
                })
            }
            _ => stage.drain(),
        };
        if let Stage::HandedOver(handed) = &process.stage {
            let (from, successor) = (handed.from(), handed.successor());
            process.successions.learn(from.clone(), successor.clone());
            let parts = handed.parts().iter().cloned();
            self.messages.extend(parts.map(|part| Message::Part(Box::new(part))));
            self.messages.extend(self.processes.iter().map(|other| Message::Announce {
                to: other.me.clone(),
                from: from.clone(),
                successor: successor.clone(),
            }));
        }
        self.processes.push(process);
    }

    /// Returns what breaks the invariant.
    fn violation(&self) -> Option<Violation> {
        if self.started.values().any(|&count| count > 1) {
            return Some(Violation::StartedTwice);
        }
        let lie = self.not_run.iter().any(|id| self.started.contains_key(id));
        lie.then_some(Violation::FalseNotRun)
    }
}

/// Runs one seed and returns its first violation.
fn run(policy: Policy, seed: u64, seen: &mut Seen) -> Option<Violation> {
    let mut world = World::new(policy, seed);
    world.seen = std::mem::take(seen);
    let violation = (0..STEPS).find_map(|_| {
        world.step();
        world.violation()
    });
    *seen = world.seen;
    seen.not_run += world.not_run.len();
    violation
}

/// Guards against a second start and against a false "not run". The counts guard against
/// an explorer that passes because nothing happens in it.
#[test]
fn claims_keep_the_invariant() {
    let mut seen = Seen::default();
    for seed in 0..1_000 {
        assert_eq!(run(Policy::Claims, seed, &mut seen), None, "seed {seed}");
    }
    println!("{seen:?}");
    assert!(seen.starts > 5_000, "{seen:?}");
    assert!(seen.under_claims > 1_000, "{seen:?}");
    assert!(seen.for_predecessor > 20, "{seen:?}");
    assert!(seen.not_run > 1_000, "{seen:?}");
    assert!(seen.rejected_claims > 100, "{seen:?}");
    assert!(seen.forgotten > 100, "{seen:?}");
}

/// Guards against an explorer that cannot see a fault: it must find the violation that
/// each rejected alternative allows.
#[parameterized(
    hash_over_live = { Policy::HashOverLive, Violation::StartedTwice },
    future_is_not_run = { Policy::FutureIsNotRun, Violation::FalseNotRun },
    gone_is_not_run = { Policy::GoneIsNotRun, Violation::FalseNotRun },
    trusts_trimmed_log = { Policy::TrustsTrimmedLog, Violation::StartedTwice },
    forgets_refusals = { Policy::ForgetsRefusals, Violation::FalseNotRun },
)]
fn finds_the_fault_of(policy: Policy, fault: Violation) {
    let mut seen = Seen::default();
    let found = (0..1_000).find(|&seed| run(policy, seed, &mut seen) == Some(fault));
    println!("{policy:?}: seed {found:?}");
    assert!(found.is_some(), "{policy:?} passes all seeds: {seen:?}");
}
