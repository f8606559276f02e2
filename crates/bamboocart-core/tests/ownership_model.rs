//! A randomized model test of ownership: several instances under every failure of
//! section 1.5.
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
const REFUSAL: Refusal = Refusal { code: RefusalCode::Overloaded, retry_after_ms: None };

/// The rules by which instances decide; all but the first are rejected alternatives.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Policy {
    /// The rules that the crate implements.
    Claims,
    /// A key is owned by the instance with the highest hash among those that appear live.
    HashOverLive,
    /// A key later than every claim that the instance has read is answered "not run".
    FutureIsNotRun,
    /// A submission whose owner is gone is answered "not run".
    GoneIsNotRun,
    /// A reader of a trimmed log accepts the first claim that it reads.
    TrustsTrimmedLog,
    /// A refusal is not recorded.
    ForgetsRefusals,
    /// A stopping instance declines a handover although it has adopted it before.
    DeclinesAdopted,
    /// An owner chooses another successor when the first one appears to be dead.
    ReplacesDeadSuccessor,
}

/// The kinds of steps in a run.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Focus {
    /// Every kind of step.
    Everything,
    /// Planned stops and late submissions, without the log.
    Stops,
}

/// The state that the engine would keep for a submission.
#[derive(Debug)]
enum Work {
    Waiting { adopted: bool },
    Started,
    Answered(Outcome),
}

/// A process of an instance; a replaced one may continue to run for any time.
struct Process {
    me: Owner,
    stage: Stage<Work>,
    table: ClaimTable,
    claimer: Claimer,
    issuer: TicketIssuer,
    assembly: HandoverAssembly,
    successions: Successions,
    /// The live instances as this process last saw them.
    view: BTreeMap<InstanceName, Incarnation>,
    paused: bool,
    /// Whether a planned stop has begun, which may precede the end of admission.
    stopping: bool,
    /// The successors that have declined.
    excluded: BTreeSet<Owner>,
    skew_ms: u64,
    /// The real offset that a reader which trusts a trimmed log takes for 0.
    base_offset: usize,
}

impl Process {
    /// Returns the instances that appear to be live.
    fn live(&self) -> impl Iterator<Item = Owner> {
        self.view.iter().map(|(name, &run)| Owner::new(name.clone(), run))
    }

    /// Resolves an id under a policy.
    fn resolve(&self, id: &SubmissionId, policy: Policy) -> Resolved {
        if policy == Policy::HashOverLive && id.key_time().is_some() {
            return self.hash_over_live(id);
        }
        let view = ResolveContext {
            rights: self.stage.rights(),
            issuer: &self.issuer,
            claims: &self.table,
            successions: &self.successions,
            live: &|name| self.view.get(name).copied(),
        };
        resolve(id, &view)
    }

    /// Returns the instance with the highest hash among those that appear to be live.
    fn hash_over_live(&self, id: &SubmissionId) -> Resolved {
        let hash = |owner: &Owner| {
            *blake3::hash(format!("{} {id}", owner.instance).as_bytes()).as_bytes()
        };
        match self.live().max_by_key(hash) {
            Some(owner) if owner != self.me => Resolved::Remote(owner),
            _ => Resolved::Local(self.me.clone()),
        }
    }

    /// Receives a part of a handover, and adopts the handover if it is complete.
    fn accept(&mut self, part: HandoverPart, now_ms: u64, policy: Policy) -> Accepted {
        if self.stopping {
            let adopted = self.stage.has_adopted(&part.from);
            let declines = !adopted || policy == Policy::DeclinesAdopted;
            return if declines { Accepted::Declined } else { Accepted::Nothing };
        }
        let Stage::Serving(registry) = &mut self.stage else {
            return Accepted::Nothing;
        };
        let Ok(Some(complete)) = self.assembly.accept(part, registry.rights()) else {
            return Accepted::Nothing;
        };
        let now = Timestamp::from_ms(now_ms + self.skew_ms);
        let adopted = registry.adopt(complete, now, |_, end| Work::Answered(end));
        adopted.expect("a handover that was not adopted before");
        Accepted::Adopted
    }

    /// Hands over to a successor, if the instance is draining and sees one that it has
    /// not excluded.
    fn hand_over(&mut self, rng: &mut SmallRng) {
        let others = self.live().filter(|owner| owner.instance != self.me.instance);
        let others = others.filter(|owner| !self.excluded.contains(owner));
        let Some(successor) = others.choose(rng) else {
            return;
        };
        let stage = std::mem::take(&mut self.stage);
        self.stage = stage.hand_over(successor, &self.issuer, |_, work| match work {
            Work::Waiting { .. } => Outcome::Refused(REFUSAL),
            Work::Started => Outcome::Unknown(UnknownCode::StillRunning),
            Work::Answered(outcome) => outcome,
        });
    }

    /// Takes the right back from a successor, excludes it and chooses another one.
    fn exclude_successor(&mut self, successor: Owner, now_ms: u64, rng: &mut SmallRng) {
        let now = Timestamp::from_ms(now_ms + self.skew_ms);
        self.excluded.insert(successor);
        let stage = std::mem::take(&mut self.stage);
        self.stage = stage.take_back(now, |_, end| Work::Answered(end));
        self.hand_over(rng);
    }

    /// Returns the successor to which the registry is being handed over.
    fn successor(&self) -> Option<&Owner> {
        match &self.stage {
            Stage::HandedOver(handed) => Some(handed.successor()),
            _ => None,
        }
    }
}

/// The result of receiving a part of a handover.
enum Accepted {
    /// The handover is complete and took effect.
    Adopted,
    /// The receiver will never accept the handover.
    Declined,
    /// The part changes nothing that others have to learn.
    Nothing,
}

enum Message {
    Submit {
        to: Owner,
        id: SubmissionId,
        hops: u8,
    },
    Part(Box<HandoverPart>),
    /// An instance will never accept the handover of `from`.
    Declined {
        from: Owner,
        by: Owner,
    },
    Announce {
        to: Owner,
        from: Owner,
        successor: Owner,
    },
    Append(String),
}

/// A violation of the invariant.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Violation {
    StartedTwice,
    FalseNotRun,
}

/// Counters that show that a run exercised the rules.
#[derive(Debug, Default)]
struct Counters {
    starts: usize,
    under_claims: usize,
    for_predecessor: usize,
    not_run: usize,
    rejected_claims: usize,
    forgotten: usize,
    declined: usize,
    handed_on: usize,
}

struct Model {
    policy: Policy,
    focus: Focus,
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
    /// The owners that took their right back from a successor that declined.
    taken_back: BTreeSet<Owner>,
    counters: Counters,
}

impl Model {
    fn new(policy: Policy, focus: Focus, seed: u64) -> Self {
        let mut model = Self {
            policy,
            focus,
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
            taken_back: BTreeSet::new(),
            counters: Counters::default(),
        };
        NAMES.iter().for_each(|name| model.start_process(name));
        (0..NAMES.len()).for_each(|at| model.update_view(at));
        model
    }

    /// Starts a process, which replaces the earlier one of the same name in later views.
    fn start_process(&mut self, name: &str) {
        self.now_ms += 1;
        let me = Owner::new(name.into(), Incarnation(self.now_ms * 1_000));
        let (open, total) = match self.focus {
            Focus::Everything => (4, 8),
            // Unused tickets stay usable until they are submitted to a successor.
            Focus::Stops => (500, 1_000),
        };
        let limits = RegistryLimits {
            max_open: open,
            max_entries: total,
            retention_ms: 90_000,
            max_key_ahead_ms: 30_000,
        };
        let trusts = self.policy == Policy::TrustsTrimmedLog;
        self.processes.push(Process {
            stage: Stage::Serving(Registry::new(me.clone(), limits)),
            table: ClaimTable::default(),
            claimer: Claimer::new(me.clone(), Horizon::default()),
            issuer: TicketIssuer::new("d".into(), me.clone()),
            assembly: HandoverAssembly::new(me.clone()),
            successions: Successions::default(),
            view: BTreeMap::from([(name.into(), me.incarnation)]),
            paused: false,
            stopping: false,
            excluded: BTreeSet::new(),
            skew_ms: self.rng.random_range(0..20_000),
            base_offset: if trusts { self.log_start } else { 0 },
            me,
        });
    }

    /// Performs one random step.
    fn step(&mut self) {
        match self.focus {
            Focus::Everything => self.step_everything(),
            Focus::Stops => self.step_stops(),
        }
    }

    /// Performs one random step; instances stop often.
    fn step_stops(&mut self) {
        let at = self.rng.random_range(0..self.processes.len());
        let running = !self.processes[at].paused;
        match self.rng.random_range(0..100) {
            0..3 if self.processes[at].stage.is_serving() => {
                let ticket = SubmissionId::Ticket(self.processes[at].issuer.issue());
                self.ids.push(ticket);
            }
            3..25 => self.resubmit(at),
            25..60 => self.deliver(),
            60..75 if running => self.work(at),
            75..81 if running => self.update_view(at),
            81..84 => {
                let changes = self.rng.random_bool(if running { 0.3 } else { 0.8 });
                self.processes[at].paused ^= changes;
            }
            84..87 if running && self.processes[at].stopping => self.stop(at),
            87..89 if running && self.rng.random_bool(0.2) => self.stop(at),
            89 if self.rng.random_bool(0.1) => self.stop_all_but_one(),
            // An instance that has handed over is rarely replaced, so that late messages
            // reach it.
            90 if self.processes[at].stage.rights().is_empty() => self.replace(at),
            _ => {}
        }
    }

    /// Performs one random step of any kind.
    fn step_everything(&mut self) {
        let at = self.rng.random_range(0..self.processes.len());
        let running = !self.processes[at].paused;
        match self.rng.random_range(0..100) {
            0..7 => self.submit_new(at),
            7..15 => self.resubmit(at),
            15..47 => self.deliver(),
            47..56 if running => self.read_log(at),
            56..61 if running => self.append_claims(at),
            61..75 if running => self.work(at),
            75..79 if running => self.update_view(at),
            79..82 => {
                let changes = self.rng.random_bool(if running { 0.3 } else { 0.8 });
                self.processes[at].paused ^= changes;
            }
            82..84 if running && self.rng.random_bool(0.3) => self.stop(at),
            99 if self.rng.random_bool(0.05) => self.stop_all_but_one(),
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

    /// A caller sends a submission under a new key or ticket.
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

    /// A caller that missed the answer resends a submission, usually a recent one, to any
    /// instance.
    fn resubmit(&mut self, at: usize) {
        let recent = self.ids.len().saturating_sub(self.rng.random_range(1..30));
        if let Some(id) = self.ids[recent..].choose(&mut self.rng).cloned() {
            self.send(at, id);
        }
    }

    /// Puts a caller's message to an instance in flight.
    fn send(&mut self, at: usize, id: SubmissionId) {
        let to = self.processes[at].me.clone();
        self.messages.push(Message::Submit { to, id, hops: 0 });
    }

    /// Delivers, loses or duplicates a random message in flight.
    fn deliver(&mut self) {
        if self.messages.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.messages.len());
        match self.messages.swap_remove(index) {
            _ if self.rng.random_bool(0.1) => {}
            Message::Append(body) if self.log_up => self.log.push((self.now_ms, body)),
            Message::Append(_) => {}
            Message::Submit { to, id, hops } => match self.running(&to) {
                Some(at) => self.receive(at, id, hops),
                None if self.processes.iter().all(|process| process.me != to) => {}
                None => self.messages.push(Message::Submit { to, id, hops }),
            },
            Message::Announce { to, from, successor } => {
                if let Some(at) = self.running(&to) {
                    self.processes[at].successions.learn(from, successor);
                }
            }
            Message::Part(part) => {
                if self.rng.random_bool(0.3) {
                    self.messages.push(Message::Part(part.clone()));
                }
                if let Some(at) = self.running(&part.successor) {
                    self.receive_part(at, *part);
                }
            }
            Message::Declined { from, by } => {
                if let Some(at) = self.running(&from) {
                    self.declined(at, by);
                }
            }
        }
    }

    /// Returns the index of the process of an owner, unless it is paused.
    fn running(&self, owner: &Owner) -> Option<usize> {
        self.processes.iter().position(|process| process.me == *owner && !process.paused)
    }

    /// An instance receives a submission from a caller or from another instance.
    fn receive(&mut self, at: usize, id: SubmissionId, hops: u8) {
        match (self.processes[at].resolve(&id, self.policy), self.policy) {
            (Resolved::Local(owner), _) => self.look_up(at, id, &owner),
            (Resolved::Remote(to), _) if hops < 2 => {
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
    fn look_up(&mut self, at: usize, id: SubmissionId, owner: &Owner) {
        let refuse = self.rng.random_bool(0.1);
        let remembers = self.policy != Policy::ForgetsRefusals;
        let process = &mut self.processes[at];
        let adopted = *owner != process.me;
        let now = Timestamp::from_ms(self.now_ms + process.skew_ms);
        let digest = ContentDigest::of([&b"x"[..]]);
        let lookup = process.stage.look_up(&id, owner, digest, now);
        let not_run = match lookup {
            Lookup::New(vacant) if refuse => {
                remembers.then(|| vacant.refuse(REFUSAL));
                true
            }
            Lookup::New(vacant) => {
                vacant.admit(Work::Waiting { adopted });
                false
            }
            Lookup::Full(arrival) | Lookup::Draining(arrival) => {
                remembers.then(|| arrival.refuse(REFUSAL));
                true
            }
            Lookup::Refused(_) => true,
            Lookup::Known(key) => {
                matches!(
                    process.stage.get(key),
                    Some(Work::Answered(Outcome::Refused(_)))
                )
            }
            lookup => {
                self.counters.forgotten +=
                    usize::from(matches!(lookup, Lookup::Forgotten));
                false
            }
        };
        if not_run {
            self.not_run.insert(id);
        }
    }

    /// An owner starts, finishes or refuses one of its submissions, possibly long after
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
                *work = Work::Answered(Outcome::Refused(REFUSAL));
                process.stage.close(key, now);
                self.not_run.insert(id.clone());
            }
            work @ &mut Work::Waiting { adopted } => {
                *work = Work::Started;
                *self.started.entry(id.clone()).or_default() += 1;
                self.counters.starts += 1;
                self.counters.under_claims += usize::from(id.key_time().is_some());
                self.counters.for_predecessor += usize::from(adopted);
            }
            work => {
                *work = Work::Answered(Outcome::Complete(vec![]));
                process.stage.close(key, now);
            }
        }
    }

    /// An instance reads some of the claims that it has not read yet.
    fn read_log(&mut self, at: usize) {
        if !self.log_up {
            return;
        }
        let &mut Process { ref mut table, base_offset, .. } = &mut self.processes[at];
        let start = self.log_start - base_offset.min(self.log_start);
        let first = (table.next_offset() as usize).max(start) + base_offset;
        let page = self.log.iter().skip(first).take(self.rng.random_range(1..20));
        let records: Vec<ClaimRecord> = ((first - base_offset) as u64..)
            .zip(page)
            .map(|(offset, &(at_ms, ref body))| ClaimRecord { offset, at_ms, body })
            .collect();
        self.counters.rejected_claims += table.read(start as u64, &records).len();
    }

    /// An instance appends the claims that are due; they may reach the log late or never.
    fn append_claims(&mut self, at: usize) {
        let process = &mut self.processes[at];
        let now = Timestamp::from_ms(self.now_ms + process.skew_ms);
        let live: Vec<Owner> = process.live().collect();
        let due = process.claimer.due(&process.table, &live, now);
        self.messages.extend(due.iter().map(|claim| Message::Append(claim.to_body())));
    }

    /// An instance updates its view of which others are live.
    fn update_view(&mut self, at: usize) {
        let latest: BTreeMap<InstanceName, Incarnation> = self
            .processes
            .iter()
            .filter(|process| !process.paused || self.rng.random_bool(0.5))
            .map(|process| (process.me.instance.clone(), process.me.incarnation))
            .collect();
        let process = &mut self.processes[at];
        process.view.retain(|name, _| latest.contains_key(name));
        process.view.extend(latest);
    }

    /// An instance is replaced; its old process crashes, or is paused and resumes later.
    fn replace(&mut self, at: usize) {
        let name = self.processes[at].me.instance.clone();
        match self.rng.random_bool(0.6) || self.processes.len() > 8 {
            true => drop(self.processes.remove(at)),
            false => self.processes[at].paused = true,
        }
        self.start_process(name.as_str());
    }

    /// An instance advances its planned stop by one step: it declines handovers, then
    /// ends admission, then sends its registry until its process ends.
    fn stop(&mut self, at: usize) {
        let (policy, now_ms) = (self.policy, self.now_ms);
        let process = &mut self.processes[at];
        if !std::mem::replace(&mut process.stopping, true) {
            return;
        }
        match &process.stage {
            Stage::Serving(_) => {
                process.stage = std::mem::take(&mut process.stage).drain();
            }
            Stage::Draining(_) => process.hand_over(&mut self.rng),
            Stage::HandedOver(handed) if policy == Policy::ReplacesDeadSuccessor => {
                let successor = handed.successor().clone();
                if !process.live().any(|owner| owner == successor) {
                    process.exclude_successor(successor, now_ms, &mut self.rng);
                }
            }
            Stage::HandedOver(_) | Stage::Stopped => {}
        }
        self.send_parts(at);
    }

    /// All instances but one begin to stop, and about half of them choose a successor.
    fn stop_all_but_one(&mut self) {
        let last = self.rng.random_range(0..self.processes.len());
        for at in (0..self.processes.len()).filter(|&at| at != last) {
            let steps = if self.rng.random_bool(0.5) { 3 } else { 1 };
            (0..steps).for_each(|_| self.stop(at));
        }
    }

    /// An instance sends its registry to its successor.
    fn send_parts(&mut self, at: usize) {
        if let Stage::HandedOver(handed) = &self.processes[at].stage {
            let parts = handed.parts().iter().cloned();
            self.messages.extend(parts.map(|part| Message::Part(Box::new(part))));
        }
    }

    /// An instance receives a part of a handover and replies to it.
    fn receive_part(&mut self, at: usize, part: HandoverPart) {
        let (from, by) = (part.from.clone(), part.successor.clone());
        match self.processes[at].accept(part, self.now_ms, self.policy) {
            Accepted::Adopted => {
                self.counters.handed_on += usize::from(self.taken_back.contains(&from));
                let announce = |other: &Process| Message::Announce {
                    to: other.me.clone(),
                    from: from.clone(),
                    successor: by.clone(),
                };
                self.messages.extend(self.processes.iter().map(announce));
            }
            Accepted::Declined => self.messages.push(Message::Declined { from, by }),
            Accepted::Nothing => {}
        }
    }

    /// An instance learns that its successor declined, and chooses another one.
    fn declined(&mut self, at: usize, by: Owner) {
        let process = &mut self.processes[at];
        if process.successor() != Some(&by) {
            return;
        }
        self.counters.declined += 1;
        self.taken_back.insert(process.me.clone());
        process.exclude_successor(by, self.now_ms, &mut self.rng);
        self.send_parts(at);
    }

    /// Returns the violation of the invariant, if there is one.
    fn violation(&self) -> Option<Violation> {
        if self.started.values().any(|&count| count > 1) {
            return Some(Violation::StartedTwice);
        }
        let is_false = self.not_run.iter().any(|id| self.started.contains_key(id));
        is_false.then_some(Violation::FalseNotRun)
    }
}

/// Runs one seed and returns the first violation.
fn run(
    (policy, focus): (Policy, Focus),
    seed: u64,
    counters: &mut Counters,
) -> Option<Violation> {
    let mut model = Model::new(policy, focus, seed);
    model.counters = std::mem::take(counters);
    let violation = (0..STEPS).find_map(|_| {
        model.step();
        model.violation()
    });
    *counters = model.counters;
    counters.not_run += model.not_run.len();
    violation
}

/// Guards against a second start and against a false "not run".
///
/// The lower bounds on the counters guard against a model that passes because nothing
/// happens in it.
#[test]
fn claims_keep_the_invariant() {
    let mut counters = Counters::default();
    for seed in 0..1_000 {
        let found = run((Policy::Claims, Focus::Everything), seed, &mut counters);
        assert_eq!(found, None, "seed {seed}");
    }
    println!("{counters:?}");
    assert!(counters.starts > 5_000, "{counters:?}");
    assert!(counters.under_claims > 1_000, "{counters:?}");
    assert!(counters.for_predecessor > 20, "{counters:?}");
    assert!(counters.not_run > 1_000, "{counters:?}");
    assert!(counters.rejected_claims > 100, "{counters:?}");
    assert!(counters.forgotten > 100, "{counters:?}");
}

/// Guards against a second start when instances stop at the same time, decline each
/// other's registries and hand them over again, while processes pause and messages are
/// late.
#[test]
fn simultaneous_stops_keep_the_invariant() {
    let mut counters = Counters::default();
    for seed in 0..1_000 {
        let found = run((Policy::Claims, Focus::Stops), seed, &mut counters);
        assert_eq!(found, None, "seed {seed}");
    }
    println!("{counters:?}");
    assert!(counters.declined > 500, "{counters:?}");
    assert!(counters.handed_on > 100, "{counters:?}");
    assert!(counters.for_predecessor > 100, "{counters:?}");
}

/// Guards against a model that cannot detect faults: it must find the violation that each
/// rejected alternative permits.
#[parameterized(
    hash_over_live = { Policy::HashOverLive, Violation::StartedTwice },
    future_is_not_run = { Policy::FutureIsNotRun, Violation::FalseNotRun },
    gone_is_not_run = { Policy::GoneIsNotRun, Violation::FalseNotRun },
    trusts_trimmed_log = { Policy::TrustsTrimmedLog, Violation::StartedTwice },
    declines_adopted = { Policy::DeclinesAdopted, Violation::StartedTwice },
    replaces_dead_successor = { Policy::ReplacesDeadSuccessor, Violation::StartedTwice },
    forgets_refusals = { Policy::ForgetsRefusals, Violation::FalseNotRun },
)]
fn finds_the_fault_of(policy: Policy, fault: Violation) {
    let mut counters = Counters::default();
    let focus = match policy {
        Policy::DeclinesAdopted | Policy::ReplacesDeadSuccessor => Focus::Stops,
        _ => Focus::Everything,
    };
    let mut finds = |seed| run((policy, focus), seed, &mut counters) == Some(fault);
    let found = (0..1_000).find(|&seed| finds(seed));
    println!("{policy:?}: seed {found:?}");
    assert!(found.is_some(), "{policy:?} passes all seeds: {counters:?}");
}
