//! The course of a day.

mod calls;
mod clients;
mod faults;
mod instances;
mod logs;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use std::sync::Arc;

use bamboocart_jobs::{
    Answer, AppendAnswer, Engine, Frame, HoldAnswer, HoldNumber, HoldOrder, JobId,
    LogAppend, LogCallNumber, LogPage, LogRead, Member, MinionId, MinionKey, Moment,
    PeerKey, Queue, RequestKey, Resources, RunEnd, RunRef, ShardId, StartAnswer,
    StartOrder, StopOrder,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use self::instances::member;
use self::logs::ShardLogs;
use crate::invariants::InvariantChecker;
use crate::minion::Minion;
use crate::report::{KindReport, Report};
use crate::scenario::{Fault, Scenario};

/// The delay within a failure domain, one way.
const LOCAL_DELAY_US: u64 = 200;

/// The delay between clients and instances, one way.
const CLIENT_DELAY_US: u64 = 3_000;

/// The time after which the group notices that an instance is gone.
const MEMBER_TTL_US: u64 = 1_300_000;

/// The time in which members hear of a change of the group.
const MAX_GROUP_DELAY_US: u64 = 350_000;

/// The time between two joins of an instance.
const JOIN_INTERVAL_US: u64 = 350_000;

/// The time of day at the start, in milliseconds since the Unix epoch.
const UNIX_START_MS: u64 = 1_700_000_000_000;

/// The time after which a link that was lost is open again.
const LINK_REOPEN_INTERVAL_US: u64 = 100_000;

/// The time between two looks of a client at the state of a stored job.
const POLL_INTERVAL_US: u64 = 250_000;

/// The time after which a client asks again that got no answer.
const POLL_TIMEOUT_US: u64 = 2_000_000;

/// The time after which a client sends a job again that got no answer.
const RESUBMIT_DELAY_US: u64 = 1_300_000;

/// How long clients wait.
const CLIENT_TIMEOUT_MS: u64 = 1_500;

/// The factor on run times in objectives.
const SLACK_FACTOR: f64 = 1.6;

/// The fixed part of objectives.
const TARGET_LATENCY_MS: u64 = 60;

/// The share of the worth of a job that is late.
const LATE_WORTH_SHARE: f64 = 0.2;

/// A job is late until this multiple of its objective, and then worth nothing.
const LATE_LIMIT_FACTOR: f64 = 3.0;

/// The spread of estimates, as the deviation of a logarithm.
const ESTIMATE_LOG_STD_DEV: f64 = 0.35;

/// The start of the time at which clients send, when the instances are up.
const WARM_UP_US: u64 = 3_000_000;

/// The time after the last job in which the rest ends.
const COOL_DOWN_US: u64 = 8_000_000;

/// The same where jobs are stored, which have to end however late.
const STORED_COOL_DOWN_US: u64 = 14_000_000;

/// Plays a day and returns its outcome; the same seed gives the same outcome.
pub fn simulate(scenario: &Scenario, seed: u64) -> Report {
    let mut simulation = Simulation::new(scenario, seed);
    let stored = scenario.kinds.iter().any(|kind| kind.stored);
    let cool_down_us = if stored { STORED_COOL_DOWN_US } else { COOL_DOWN_US };
    simulation.start();
    while let Some(Reverse(next)) = simulation.events.pop() {
        if next.at_us > WARM_UP_US + scenario.length_ms * 1_000 + cool_down_us {
            break;
        }
        simulation.now_us = next.at_us;
        simulation.handle_event(next.event);
    }
    simulation.finish()
}

/// An event with its time; events at the same time keep their order.
struct ScheduledEvent {
    at_us: u64,
    sequence: u64,
    event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.at_us, self.sequence) == (other.at_us, other.sequence)
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at_us, self.sequence).cmp(&(other.at_us, other.sequence))
    }
}

/// What happens.
enum Event {
    /// Something reaches an instance, if the same incarnation is still up.
    Input(usize, u64, Input),
    /// An instance may work on what has reached it.
    ProcessInput(usize),
    /// A client sends a new job of a kind.
    NewJob(usize),
    /// A client sends a job, for the first time or again.
    Send(usize),
    /// A client asks for the state of a stored job.
    Poll(usize),
    /// A client has waited long enough for the answer to a question.
    PollTimeout(usize, u32),
    /// A read of a log reaches the store.
    ReadLog(usize, u64, LogRead),
    /// An append to a log reaches the store; the flag tells whether the answer is lost.
    AppendLog(usize, u64, LogAppend, bool),
    /// An answer reaches a client.
    ClientAnswer(usize, Answer, u32),
    /// A call reaches a minion.
    MinionCall(MinionCall),
    /// A run ends by itself.
    RunEnds(usize, u64, RunRef, RunEnd),
    /// A minion's lease may have lapsed.
    LeaseExpires(usize),
    /// A hold has waited long enough.
    HoldTimeout(usize, u64),
    /// The group notices a change.
    GroupChange,
    /// An instance hears of the group.
    MembersUpdate(usize, u64, u64, Vec<Member>),
    /// Instances open links that are missing.
    OpenLinks,
    /// Instances join the group again.
    JoinGroup,
    /// Something goes wrong.
    FaultStarts(usize),
    /// A trouble is over.
    FaultEnds(usize, Vec<usize>),
}

/// What reaches an instance.
enum Input {
    Submit(usize, u32),
    Query(usize),
    LogReadAnswered(ShardId, LogCallNumber, LogPage),
    LogAppendAnswered(ShardId, LogCallNumber, AppendAnswer),
    Abandon(RequestKey),
    Frame(Member, Frame),
    StartAnswered(MinionKey, u64, RunRef, StartAnswer),
    StopAnswered(MinionKey, u64, RunRef, StartAnswer),
    HoldAnswered(MinionKey, HoldNumber, HoldAnswer),
    /// The tick that was due at a time; one that a later plan replaced is passed over.
    Tick(u64),
}

/// A call to a minion.
struct MinionCall {
    minion: usize,
    instance: usize,
    incarnation: u64,
    order: Order,
    /// Whether the caller still waits for the answer.
    awaits_answer: bool,
}

/// An order to a minion.
enum Order {
    Start(StartOrder),
    Stop(StopOrder),
    Hold(HoldOrder),
}

/// An instance.
struct Instance {
    engine: Engine,
    member: Member,
    domain: usize,
    up: bool,
    paused: bool,
    incarnation: u64,
    /// The difference between its steady clock and virtual time.
    clock_offset_ms: u64,
    /// What has reached it.
    inbox: VecDeque<Input>,
    /// When it has worked on what came before.
    busy_until_us: u64,
    next_tick_us: u64,
    /// The client's request behind each request of the engine.
    requests: BTreeMap<RequestKey, (usize, u32)>,
    next_request: u64,
    /// The peers that it has a link to.
    links: BTreeMap<PeerKey, usize>,
}

/// A job as its client sees it.
struct ClientJob {
    id: JobId,
    kind: usize,
    domain: usize,
    first_sent_us: u64,
    count: u16,
    need: Resources,
    estimate_ms: u64,
    /// The nominal run times of the tasks.
    runs_ms: Vec<f64>,
    objective_ms: f64,
    worth: f64,
    /// The number of the current attempt.
    attempt: u32,
    /// The steps, each of which follows the one before.
    steps: u16,
    gang: bool,
    stored: bool,
    /// When a stored job was accepted, if it was.
    accepted_us: Option<u64>,
    done: bool,
}

/// A hold that waits at a minion.
struct WaitingHold {
    number: u64,
    minion: usize,
    call: MinionCall,
}

/// Everything.
struct Simulation<'a> {
    scenario: &'a Scenario,
    rng: SmallRng,
    now_us: u64,
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    sequence: u64,
    instances: Vec<Instance>,
    minions: Vec<Minion>,
    minion_indices: HashMap<MinionId, usize>,
    jobs: Vec<ClientJob>,
    job_indices: HashMap<JobId, usize>,
    holds: Vec<WaitingHold>,
    queues: Vec<Arc<Queue>>,
    generation: u64,
    /// The instances that the group names.
    group_members: Vec<Member>,
    store_available: bool,
    /// The share of appends that are carried out without an answer.
    lost_append_share: f64,
    logs: ShardLogs,
    partitioned_domain: Option<usize>,
    links_silent: bool,
    late_order_share: f64,
    load_factor: f64,
    checker: InvariantChecker,
    report: Report,
}

impl<'a> Simulation<'a> {
    /// Creates everything; nothing has started yet.
    fn new(scenario: &'a Scenario, seed: u64) -> Self {
        let mut simulation = Self {
            scenario,
            rng: SmallRng::seed_from_u64(seed),
            now_us: 0,
            events: BinaryHeap::new(),
            sequence: 0,
            instances: Vec::new(),
            minions: Vec::new(),
            minion_indices: HashMap::new(),
            jobs: Vec::new(),
            job_indices: HashMap::new(),
            holds: Vec::new(),
            queues: Vec::new(),
            generation: 0,
            group_members: Vec::new(),
            store_available: true,
            lost_append_share: 0.0,
            logs: ShardLogs::default(),
            partitioned_domain: None,
            links_silent: false,
            late_order_share: 0.0,
            load_factor: 1.0,
            checker: InvariantChecker::default(),
            report: Report::default(),
        };
        for kind in &scenario.kinds {
            simulation.queues.push(Arc::new(Queue {
                name: kind.name.as_str().into(),
                host: "emulator".into(),
                path_prefix: format!("/{}/", kind.name).into(),
                service: "service".into(),
                priority: kind.priority,
                max_attempts: 3,
                slack_factor: SLACK_FACTOR,
                target_latency_ms: TARGET_LATENCY_MS,
                advice: None,
            }));
            let report = KindReport { name: kind.name.clone(), ..KindReport::default() };
            simulation.report.kinds.push(report);
        }
        for (number, domain) in scenario.domains.iter().enumerate() {
            for _ in 0..domain.instances {
                simulation.add_instance(number);
            }
            for _ in 0..domain.minions {
                simulation.add_minion(number);
            }
        }
        simulation
    }

    /// Adds an instance that is down.
    fn add_instance(&mut self, domain: usize) {
        let number = self.instances.len();
        let member = member(&self.scenario.domains[domain].name, number, 0);
        let clock_offset_ms = 1_000 + self.rng.random_range(0..1_000_000);
        self.instances.push(Instance {
            engine: Engine::new(member.clone(), number as u64),
            member,
            domain,
            up: false,
            paused: false,
            incarnation: 0,
            clock_offset_ms,
            inbox: VecDeque::new(),
            busy_until_us: 0,
            next_tick_us: u64::MAX,
            requests: BTreeMap::new(),
            next_request: 1,
            links: BTreeMap::new(),
        });
    }

    /// Adds a minion.
    fn add_minion(&mut self, domain: usize) {
        let number = self.minions.len();
        let pace = self.scenario.paces[number % self.scenario.paces.len()];
        let cpu = self.scenario.minion_cpu_millicores
            [number % self.scenario.minion_cpu_millicores.len()];
        let id = MinionId::from(format!("m-{number:03}").as_str());
        self.minion_indices.insert(id.clone(), number);
        self.minions.push(Minion::new(id, domain, pace, cpu));
    }

    /// Starts the instances, the clients and the troubles.
    fn start(&mut self) {
        for instance in 0..self.instances.len() {
            self.start_instance(instance);
        }
        self.schedule_group_change(20_000);
        self.schedule(LINK_REOPEN_INTERVAL_US, Event::OpenLinks);
        self.join_group();
        for kind in 0..self.scenario.kinds.len() {
            self.schedule(WARM_UP_US, Event::NewJob(kind));
        }
        for (number, fault) in self.scenario.faults.iter().enumerate() {
            self.schedule(
                WARM_UP_US + start_ms(fault) * 1_000,
                Event::FaultStarts(number),
            );
        }
    }

    /// Schedules an event after a delay.
    fn schedule(&mut self, delay_us: u64, event: Event) {
        self.sequence += 1;
        let at_us = self.now_us + delay_us;
        self.events.push(Reverse(ScheduledEvent {
            at_us,
            sequence: self.sequence,
            event,
        }));
    }

    /// Takes an event.
    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Input(instance, incarnation, input) => {
                self.deliver(instance, incarnation, input);
            }
            Event::ProcessInput(instance) => self.process_next_input(instance),
            Event::NewJob(kind) => self.create_job(kind),
            Event::Send(job) => self.send_job(job),
            Event::Poll(job) => self.poll(job),
            Event::PollTimeout(job, attempt) => {
                if self.jobs[job].attempt == attempt {
                    self.poll(job);
                }
            }
            Event::ReadLog(instance, incarnation, read) => {
                self.read_log(instance, incarnation, &read);
            }
            Event::AppendLog(instance, incarnation, append, lost) => {
                self.append_log(instance, incarnation, &append, lost);
            }
            Event::ClientAnswer(job, answer, attempt) => {
                self.handle_answer(job, answer, attempt)
            }
            Event::MinionCall(call) => self.handle_call(call),
            Event::RunEnds(minion, process_start_us, run, end) => {
                if self.minions[minion].process_start_us == process_start_us
                    && self.minions[minion].end(self.now_us, run, end)
                {
                    self.checker.note_inactive(run, minion);
                    self.checker.note_end(run, end);
                    self.answer_waiting_holds(minion);
                }
            }
            Event::LeaseExpires(minion) => self.expire_lease(minion),
            Event::HoldTimeout(minion, number) => {
                let found = self.holds.iter().position(|hold| hold.number == number);
                if let Some(position) = found {
                    let hold = self.holds.swap_remove(position);
                    self.answer_hold(minion, hold.call);
                }
            }
            Event::GroupChange => self.announce_group(),
            Event::MembersUpdate(instance, incarnation, generation, members) => {
                if self.instances[instance].up
                    && self.instances[instance].incarnation == incarnation
                {
                    let now = self.steady_clock(instance);
                    self.instances[instance]
                        .engine
                        .set_members(now, generation, &members);
                    self.process_effects(instance);
                }
            }
            Event::OpenLinks => {
                self.open_links();
                self.schedule(LINK_REOPEN_INTERVAL_US, Event::OpenLinks);
            }
            Event::JoinGroup => self.join_group(),
            Event::FaultStarts(number) => self.start_fault(number),
            Event::FaultEnds(number, affected) => self.end_fault(number, affected),
        }
    }

    /// Returns an instance's steady clock.
    fn steady_clock(&self, instance: usize) -> Moment {
        Moment(self.now_us / 1_000 + self.instances[instance].clock_offset_ms)
    }

    /// Returns the delay between two failure domains, or nothing if they are cut off.
    fn path_delay_us(&self, from: usize, to: usize) -> Option<u64> {
        let cut = self.partitioned_domain.is_some_and(|cut| (from == cut) != (to == cut));
        let delay =
            if from == to { LOCAL_DELAY_US } else { self.scenario.domain_delay_us };
        (!cut).then_some(delay)
    }

    /// Returns the outcome.
    fn finish(mut self) -> Report {
        for job in &self.jobs {
            let report = &mut self.report.kinds[job.kind];
            report.sent += 1;
            report.max_earned += job.worth;
            if job.accepted_us.is_some() && !job.done {
                self.checker
                    .violations
                    .push(format!("{} was accepted and is lost", job.id));
            }
        }
        self.report.violations = self.checker.violations;
        self.report
    }
}

/// Returns when a trouble begins.
fn start_ms(fault: &Fault) -> u64 {
    match *fault {
        Fault::Kill { at_ms, .. }
        | Fault::Pause { at_ms, .. }
        | Fault::PartitionDomain { at_ms, .. }
        | Fault::StoreUnavailable { at_ms, .. }
        | Fault::LostAppendAnswers { at_ms, .. }
        | Fault::Rebalance { at_ms }
        | Fault::ResetLinks { at_ms }
        | Fault::SilentLinks { at_ms, .. }
        | Fault::CrashMinions { at_ms, .. }
        | Fault::SlowMinions { at_ms, .. }
        | Fault::HangingMinions { at_ms, .. }
        | Fault::FailingMinions { at_ms, .. }
        | Fault::LateOrders { at_ms, .. }
        | Fault::Burst { at_ms, .. } => at_ms,
    }
}
