//! The discrete-event simulation of a scenario.

mod call_delays;
mod calls;
mod clients;
mod connections;
mod faults;
mod instances;
mod links;
mod logs;
mod operators;
mod rejections;
mod restarts;
mod stalls;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use std::fmt::{self, Display, Formatter};
use std::sync::Arc;

use bamboocart_jobs::{
    Answer, AppendAnswer, Engine, EvacuationNotice, Frame, HoldAnswer, HoldNumber,
    HoldOrder, JobId, LogAppend, LogCallNumber, LogPage, LogRead, Member, MinionEntry,
    MinionId, MinionKey, Moment, PeerKey, Queue, RequestKey, Resources, RunEnd, RunRef,
    ShardId, StartAnswer, StartOrder, StopOrder,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use self::call_delays::CallDelays;
use self::connections::Attempt;
use self::instances::member;
use self::logs::ShardLogs;
use self::stalls::LoopPace;
use crate::invariants::InvariantChecker;
use crate::minion::Minion;
use crate::report::{KindReport, Report};
use crate::scenario::Scenario;

/// The one-way network delay within a failure domain.
const LOCAL_DELAY_US: u64 = 200;

/// The one-way network delay between clients and instances.
const CLIENT_DELAY_US: u64 = 3_000;

/// The time after which the membership of a killed instance expires.
const MEMBER_TTL_US: u64 = 1_300_000;

/// The maximum time until a member learns of a change of the group.
const MAX_GROUP_DELAY_US: u64 = 350_000;

/// The interval at which instances renew their membership by joining again.
const JOIN_INTERVAL_US: u64 = 350_000;

/// The wall-clock time at the start, in milliseconds since the Unix epoch.
const UNIX_START_MS: u64 = 1_700_000_000_000;

/// The interval at which instances open missing links.
const LINK_REOPEN_INTERVAL_US: u64 = 100_000;

/// The interval at which a client polls the state of a stored job.
const POLL_INTERVAL_US: u64 = 250_000;

/// The time after which a client repeats an unanswered poll.
const POLL_TIMEOUT_US: u64 = 2_000_000;

/// The delay before a client resubmits a job after its connection broke.
const RESUBMIT_DELAY_US: u64 = 1_300_000;

/// The time that a client allows for the answer to a request.
const CLIENT_TIMEOUT_MS: u64 = 1_500;

/// The factor on run times in the response time objective.
const SLACK_FACTOR: f64 = 1.6;

/// The fixed part of the response time objective.
const TARGET_LATENCY_MS: u64 = 60;

/// The share of its worth that a late job earns.
const LATE_WORTH_SHARE: f64 = 0.2;

/// The multiple of its objective up to which a job is late; beyond, it earns nothing.
const LATE_LIMIT_FACTOR: f64 = 3.0;

/// The standard deviation of the logarithm of the error in run time estimates.
const ESTIMATE_LOG_STD_DEV: f64 = 0.35;

/// How long minions are cold after their failure domain was taken back.
const COLD_US: u64 = 3_000_000;

/// The time before clients start to send, in which the instances come up.
const WARM_UP_US: u64 = 3_000_000;

/// The time after the last new job in which the open ones can end.
const COOL_DOWN_US: u64 = 8_000_000;

/// The same in scenarios with stored jobs, all of which have to end, however late.
const STORED_COOL_DOWN_US: u64 = 14_000_000;

/// Simulates a scenario and returns its report.
///
/// The same scenario and seed give the same report.
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

/// An event with its time; events at the same time keep the order of their scheduling.
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

/// An event; indices refer to the vectors of [`Simulation`].
enum Event {
    /// An input reaches an instance; it is dropped unless this incarnation is still up.
    Input(usize, u64, Input),
    /// An instance is free to process the next input of its inbox.
    ProcessInput(usize),
    /// A client creates and sends a job of a kind.
    NewJob(usize),
    /// A client resubmits a job.
    Send(usize),
    /// A client polls the state of a stored job.
    Poll(usize),
    /// The client of a submission waits no longer for the answer.
    ClientTimeout(Attempt),
    /// A poll with this attempt number times out at its client.
    PollTimeout(usize, u32),
    /// A read of a log reaches the store; it names the instance and its incarnation.
    ReadLog(usize, u64, LogRead),
    /// An append to a log reaches the store; the flag says whether its answer is lost.
    AppendLog(usize, u64, LogAppend, bool),
    /// The answer to an attempt reaches a client.
    ClientAnswer(usize, Answer, u32),
    /// A call reaches a minion.
    MinionCall(MinionCall),
    /// A run ends by itself, if its minion has not crashed since the given process start.
    RunEnds(usize, u64, RunRef, RunEnd),
    /// The lease of a minion expires unless it was extended.
    LeaseExpires(usize),
    /// The new process of a minion starts.
    MinionRestarted(usize),
    /// The wait of a hold at a minion is over.
    HoldTimeout(usize, u64),
    /// The group detects a change of its members.
    GroupChange,
    /// An incarnation of an instance learns the members of a generation of the group.
    MembersUpdate(usize, u64, u64, Vec<Member>),
    /// All instances open missing links.
    OpenLinks,
    /// All instances renew their membership in the group.
    JoinGroup,
    /// A fault of the scenario starts.
    FaultStarts(usize),
    /// A fault ends for the instances or minions that it affected.
    FaultEnds(usize, Vec<usize>),
}

/// An input of an instance.
enum Input {
    Submit(usize, u32),
    Query(usize),
    LogReadAnswered(ShardId, LogCallNumber, LogPage),
    LogAppendAnswered(ShardId, LogCallNumber, AppendAnswer),
    Abandon(RequestKey),
    /// The client of a job has closed the connection of an attempt.
    ClientLeft(usize, u32),
    Frame(Member, Frame),
    /// An entry of the platform's list has changed.
    MinionListed(Box<MinionEntry>),
    /// The members of a generation of the group.
    Members(u64, Vec<Member>),
    /// Operators have requested or taken back evacuations.
    Operators(Vec<EvacuationNotice>),
    LinkLost(PeerKey),
    StartAnswered(MinionKey, u64, RunRef, StartAnswer),
    StopAnswered(MinionKey, u64, RunRef, StartAnswer),
    HoldAnswered(MinionKey, HoldNumber, HoldAnswer),
    /// The timer that is due at a time; it is dropped if the timer was set anew since.
    Tick(u64),
}

/// A call from an incarnation of an instance to a minion.
struct MinionCall {
    minion: usize,
    instance: usize,
    incarnation: u64,
    order: Order,
    /// The time after which the caller no longer waits for the answer.
    expires_us: u64,
    /// Whether the caller still waits for the answer; it does not if the order is late.
    awaits_answer: bool,
    /// Whether the minion carries the order out seconds after it was sent.
    late: bool,
}

/// An order to a minion.
enum Order {
    Start(StartOrder),
    Stop(StopOrder),
    Hold(HoldOrder),
}

impl Display for Order {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Start(order) => write!(f, "start {} {}", order.run.task, order.run.run),
            Self::Stop(order) => write!(f, "stop {} {}", order.run.task, order.run.run),
            Self::Hold(_) => f.write_str("hold"),
        }
    }
}

/// An instance with its engine and its connections.
struct Instance {
    engine: Engine,
    member: Member,
    domain: usize,
    up: bool,
    paused: bool,
    /// Whether the store turns it away.
    refused_by_store: bool,
    /// The number of records of the operators' log that it has read.
    operator_offset: usize,
    incarnation: u64,
    /// The offset of its steady clock from virtual time.
    clock_offset_ms: u64,
    /// Inputs that wait to be processed, oldest first.
    inbox: VecDeque<Input>,
    /// The time at which it finishes the previous input.
    busy_until_us: u64,
    pace: LoopPace,
    /// The time for which its timer is set, `u64::MAX` if it is not.
    next_tick_us: u64,
    /// The job and the attempt behind each open request to the engine.
    requests: BTreeMap<RequestKey, (usize, u32)>,
    next_request: u64,
    /// The peers with an open link, and their indices.
    links: BTreeMap<PeerKey, usize>,
    /// The time at which its link has carried all that is queued.
    link_free_us: u64,
}

impl Instance {
    /// Returns whether it has never started.
    fn is_spare(&self) -> bool {
        self.incarnation == 0
    }
}

/// The state of a job at its client.
struct ClientJob {
    id: JobId,
    kind: usize,
    domain: usize,
    first_sent_us: u64,
    /// The number of tasks in each step.
    count: u16,
    need: Resources,
    estimate_ms: u64,
    /// The nominal run time of each task of a step.
    runs_ms: Vec<f64>,
    objective_ms: f64,
    worth: f64,
    /// The number of the current attempt or poll; answers to others are ignored.
    attempt: u32,
    /// The last submission.
    sent_to: Option<Attempt>,
    /// The instance to which the job is not sent again if there is another one.
    avoid: Option<usize>,
    /// The number of steps, each of which depends on the one before.
    steps: u16,
    gang: bool,
    /// The rack on which its tasks have to run, if they require one.
    rack: Option<usize>,
    stored: bool,
    /// The time at which a stored job was accepted, if it was.
    accepted_us: Option<u64>,
    /// Whether the client needs nothing more, for whatever reason.
    done: bool,
}

impl ClientJob {
    /// Returns the second of the scenario in which the job was first sent.
    fn sent_second(&self) -> usize {
        (self.first_sent_us.saturating_sub(WARM_UP_US) / 1_000_000) as usize
    }
}

/// A hold that waits at a minion for the end of a run.
struct WaitingHold {
    number: u64,
    minion: usize,
    call: MinionCall,
}

/// The state of the simulated system.
struct Simulation<'a> {
    scenario: &'a Scenario,
    rng: SmallRng,
    now_us: u64,
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    /// The last number given to an event or a waiting hold.
    sequence: u64,
    instances: Vec<Instance>,
    minions: Vec<Minion>,
    minion_indices: HashMap<MinionId, usize>,
    jobs: Vec<ClientJob>,
    job_indices: HashMap<JobId, usize>,
    holds: Vec<WaitingHold>,
    /// Calls that wait for the new process of their minion.
    calls_at_restart: Vec<MinionCall>,
    queues: Vec<Arc<Queue>>,
    /// The generation of the group.
    generation: u64,
    /// The members of the last generation of the group.
    group_members: Vec<Member>,
    store_available: bool,
    /// The share of appends whose answers are lost.
    lost_append_share: f64,
    logs: ShardLogs,
    /// What operators have requested, in the order of the offsets.
    operator_log: Vec<EvacuationNotice>,
    partitioned_domain: Option<usize>,
    /// The two failure domains that can't reach each other, though they reach all others.
    cut_bridge: Option<(usize, usize)>,
    /// Whether links drop all frames.
    links_silent: bool,
    /// The share of frames that are dropped because the queue of their link is full.
    dropped_frame_share: f64,
    /// The share of orders to minions that are carried out late and not answered.
    late_order_share: f64,
    /// The share of orders to minions that are carried out in time and not answered.
    lost_answer_share: f64,
    /// The additional delays of calls to minions, if any.
    call_delays: Option<CallDelays>,
    /// The factor on the rates of jobs.
    load_factor: f64,
    /// The factor on the rates of links.
    link_factor: f64,
    checker: InvariantChecker,
    report: Report,
}

impl<'a> Simulation<'a> {
    /// Creates the system, with all instances down and no event scheduled.
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
            calls_at_restart: Vec::new(),
            queues: Vec::new(),
            generation: 0,
            group_members: Vec::new(),
            store_available: true,
            lost_append_share: 0.0,
            logs: ShardLogs::default(),
            operator_log: Vec::new(),
            partitioned_domain: None,
            cut_bridge: None,
            links_silent: false,
            dropped_frame_share: 0.0,
            late_order_share: 0.0,
            lost_answer_share: 0.0,
            call_delays: None,
            load_factor: 1.0,
            link_factor: 1.0,
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
        for (number, domain) in scenario.domains.iter().enumerate() {
            for _ in 0..domain.spare {
                simulation.add_instance(number);
            }
        }
        simulation
    }

    /// Adds an instance, which is down, to a failure domain.
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
            refused_by_store: false,
            operator_offset: 0,
            incarnation: 0,
            clock_offset_ms,
            inbox: VecDeque::new(),
            busy_until_us: 0,
            pace: LoopPace::default(),
            next_tick_us: u64::MAX,
            requests: BTreeMap::new(),
            next_request: 1,
            links: BTreeMap::new(),
            link_free_us: 0,
        });
    }

    /// Adds a minion to a failure domain.
    fn add_minion(&mut self, domain: usize) {
        let number = self.minions.len();
        let pace = self.scenario.paces[number % self.scenario.paces.len()];
        let cpu = self.scenario.minion_cpu_millicores
            [number % self.scenario.minion_cpu_millicores.len()];
        let id = MinionId::from(format!("m-{number:03}").as_str());
        self.minion_indices.insert(id.clone(), number);
        let mut minion = Minion::new(id, domain, pace, cpu);
        minion.clock_percent = self.scenario.minion_clock_percent;
        minion.rack = number % self.scenario.racks.max(1);
        self.minions.push(minion);
    }

    /// Starts the instances, and schedules the clients and the faults.
    fn start(&mut self) {
        let first = self.scenario.domains.iter().map(|domain| domain.instances).sum();
        for instance in 0..first {
            self.start_instance(instance);
        }
        self.schedule_group_change(20_000);
        self.schedule(LINK_REOPEN_INTERVAL_US, Event::OpenLinks);
        self.join_group();
        for kind in 0..self.scenario.kinds.len() {
            self.schedule(WARM_UP_US, Event::NewJob(kind));
        }
        for (number, fault) in self.scenario.faults.iter().enumerate() {
            for start_ms in fault.start_times_ms() {
                self.schedule(WARM_UP_US + start_ms * 1_000, Event::FaultStarts(number));
            }
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

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Input(instance, incarnation, input) => {
                self.deliver(instance, incarnation, input);
            }
            Event::ProcessInput(instance) => self.process_next_input(instance),
            Event::NewJob(kind) => self.create_job(kind),
            Event::Send(job) => self.send_job(job),
            Event::Poll(job) => self.poll(job),
            Event::ClientTimeout(sent) => self.time_out_client(sent),
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
                let same_process =
                    self.minions[minion].process_start_us == process_start_us;
                match end {
                    _ if !same_process => {}
                    RunEnd::Crashed => self.crash_by_run(minion, run),
                    _ => self.end_run(minion, run, end),
                }
            }
            Event::MinionRestarted(minion) => self.finish_restart(minion),
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
                self.update_members(instance, incarnation, generation, members);
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

    /// Returns the time by the steady clock of an instance.
    fn steady_clock(&self, instance: usize) -> Moment {
        Moment(self.now_us / 1_000 + self.instances[instance].clock_offset_ms)
    }

    /// Returns the delay between two failure domains, or `None` if they are partitioned.
    fn path_delay_us(&self, from: usize, to: usize) -> Option<u64> {
        let bridge =
            |(one, other)| (from, to) == (one, other) || (from, to) == (other, one);
        let is_cut =
            self.partitioned_domain.is_some_and(|cut| (from == cut) != (to == cut))
                || self.cut_bridge.is_some_and(bridge);
        let delay =
            if from == to { LOCAL_DELAY_US } else { self.scenario.domain_delay_us };
        (!is_cut).then_some(delay)
    }

    /// Checks that no accepted job is lost, and returns the report.
    fn finish(mut self) -> Report {
        for job in &self.jobs {
            let report = &mut self.report.kinds[job.kind];
            report.sent += 1;
            report.max_earned += job.worth;
            let second = job.sent_second();
            self.report.second_mut(second).max_earned += job.worth;
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
