//! The course of a day.

mod calls;
mod clients;
mod instances;
mod logs;
mod troubles;

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
use self::logs::Logs;
use crate::checks::Checks;
use crate::day::{Day, Trouble};
use crate::minion::Minion;
use crate::report::{KindReport, Report};

/// The delay within a failure domain, one way.
const LOCAL_DELAY_US: u64 = 200;

/// The delay between clients and instances, one way.
const CLIENT_DELAY_US: u64 = 3_000;

/// The time after which the group notices that an instance is gone.
const MEMBER_TTL_US: u64 = 1_300_000;

/// The time in which members hear of a change of the group.
const GROUP_DELAY_US: u64 = 350_000;

/// The time between two joins of an instance.
const JOIN_US: u64 = 350_000;

/// The time of day at the start, in milliseconds since the Unix epoch.
const UNIX_START_MS: u64 = 1_700_000_000_000;

/// The time after which a link that was lost is open again.
const REOPEN_US: u64 = 100_000;

/// The time between two looks of a client at the state of a stored job.
const POLL_US: u64 = 250_000;

/// The time after which a client asks again that got no answer.
const POLL_TIMEOUT_US: u64 = 2_000_000;

/// The time after which a client sends a job again that got no answer.
const RETRANSMIT_US: u64 = 1_300_000;

/// How long clients wait.
const PATIENCE_MS: u64 = 1_500;

/// The factor on run times in objectives.
const SLACK_FACTOR: f64 = 1.6;

/// The fixed part of objectives.
const TARGET_LATENCY_MS: u64 = 60;

/// The share of the worth of a job that is late.
const LATE_WORTH: f64 = 0.2;

/// A job is late until this multiple of its objective, and then worth nothing.
const LATE_LIMIT: f64 = 3.0;

/// The spread of estimates, as the deviation of a logarithm.
const ESTIMATE_SPREAD: f64 = 0.35;

/// The start of the time at which clients send, when the instances are up.
const LEAD_US: u64 = 3_000_000;

/// The time after the last job in which the rest ends.
const TAIL_US: u64 = 8_000_000;

/// The same where jobs are stored, which have to end however late.
const STORED_TAIL_US: u64 = 14_000_000;

/// Plays a day and returns its outcome; the same seed gives the same outcome.
pub fn run(day: &Day, seed: u64) -> Report {
    let mut world = World::new(day, seed);
    let stored = day.kinds.iter().any(|kind| kind.stored);
    let tail_us = if stored { STORED_TAIL_US } else { TAIL_US };
    world.start();
    while let Some(Reverse(next)) = world.events.pop() {
        if next.at_us > LEAD_US + day.length_ms * 1_000 + tail_us {
            break;
        }
        world.now_us = next.at_us;
        world.take(next.event);
    }
    world.finish()
}

/// An event with its time; events at the same time keep their order.
struct Scheduled {
    at_us: u64,
    number: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.at_us, self.number) == (other.at_us, other.number)
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at_us, self.number).cmp(&(other.at_us, other.number))
    }
}

/// What happens.
enum Event {
    /// Something reaches an instance, if the same incarnation is still up.
    Input(usize, u64, Input),
    /// An instance may work on what has reached it.
    Work(usize),
    /// A client sends a new job of a kind.
    NewJob(usize),
    /// A client sends a job, for the first time or again.
    Send(usize),
    /// A client asks for the state of a stored job.
    Poll(usize),
    /// A client has waited long enough for the answer to a question.
    PollLost(usize, u32),
    /// A read of a log reaches the store.
    ReadLog(usize, u64, LogRead),
    /// An append to a log reaches the store; the flag tells whether the answer is lost.
    Append(usize, u64, LogAppend, bool),
    /// An answer reaches a client.
    Answered(usize, Answer, u32),
    /// A call reaches a minion.
    Call(Call),
    /// A run ends by itself.
    RunEnds(usize, u64, RunRef, RunEnd),
    /// A minion's lease may have lapsed.
    LeaseEnds(usize),
    /// A hold has waited long enough.
    HoldEnds(usize, u64),
    /// The group notices a change.
    Group,
    /// An instance hears of the group.
    Members(usize, u64, u64, Vec<Member>),
    /// Instances open links that are missing.
    Links,
    /// Instances join the group again.
    Joins,
    /// Something goes wrong.
    Trouble(usize),
    /// A trouble is over.
    Relief(usize, Vec<usize>),
}

/// What reaches an instance.
enum Input {
    Submit(usize, u32),
    Query(usize),
    LogRead(ShardId, LogCallNumber, LogPage),
    Appended(ShardId, LogCallNumber, AppendAnswer),
    Gone(RequestKey),
    Frame(Member, Frame),
    Start(MinionKey, u64, RunRef, StartAnswer),
    Stop(MinionKey, u64, RunRef, StartAnswer),
    Hold(MinionKey, HoldNumber, HoldAnswer),
    /// The tick that was due at a time; one that a later plan replaced is passed over.
    Tick(u64),
}

/// A call to a minion.
struct Call {
    minion: usize,
    node: usize,
    incarnation: u64,
    order: Order,
    /// Whether the caller still waits for the answer.
    answered: bool,
}

/// An order to a minion.
enum Order {
    Start(StartOrder),
    Stop(StopOrder),
    Hold(HoldOrder),
}

/// An instance.
struct Node {
    engine: Engine,
    member: Member,
    domain: usize,
    up: bool,
    frozen: bool,
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
    call: Call,
}

/// Everything.
struct World<'a> {
    day: &'a Day,
    rng: SmallRng,
    now_us: u64,
    events: BinaryHeap<Reverse<Scheduled>>,
    number: u64,
    nodes: Vec<Node>,
    minions: Vec<Minion>,
    minion_of: HashMap<MinionId, usize>,
    jobs: Vec<ClientJob>,
    job_of: HashMap<JobId, usize>,
    holds: Vec<WaitingHold>,
    queues: Vec<Arc<Queue>>,
    generation: u64,
    /// The instances that the group names.
    owners: Vec<Member>,
    store_up: bool,
    /// The share of appends that are carried out without an answer.
    lost_share: f64,
    logs: Logs,
    cut_domain: Option<usize>,
    links_silent: bool,
    late_share: f64,
    burst: f64,
    checks: Checks,
    report: Report,
}

impl<'a> World<'a> {
    /// Creates everything; nothing has started yet.
    fn new(day: &'a Day, seed: u64) -> Self {
        let mut world = Self {
            day,
            rng: SmallRng::seed_from_u64(seed),
            now_us: 0,
            events: BinaryHeap::new(),
            number: 0,
            nodes: Vec::new(),
            minions: Vec::new(),
            minion_of: HashMap::new(),
            jobs: Vec::new(),
            job_of: HashMap::new(),
            holds: Vec::new(),
            queues: Vec::new(),
            generation: 0,
            owners: Vec::new(),
            store_up: true,
            lost_share: 0.0,
            logs: Logs::default(),
            cut_domain: None,
            links_silent: false,
            late_share: 0.0,
            burst: 1.0,
            checks: Checks::default(),
            report: Report::default(),
        };
        for kind in &day.kinds {
            world.queues.push(Arc::new(Queue {
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
            world.report.kinds.push(report);
        }
        for (number, domain) in day.domains.iter().enumerate() {
            for _ in 0..domain.instances {
                world.add_node(number);
            }
            for _ in 0..domain.minions {
                world.add_minion(number);
            }
        }
        world
    }

    /// Adds an instance that is down.
    fn add_node(&mut self, domain: usize) {
        let number = self.nodes.len();
        let member = member(&self.day.domains[domain].name, number, 0);
        let clock_offset_ms = 1_000 + self.rng.random_range(0..1_000_000);
        self.nodes.push(Node {
            engine: Engine::new(member.clone(), number as u64),
            member,
            domain,
            up: false,
            frozen: false,
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
        let pace = self.day.paces[number % self.day.paces.len()];
        let cpu =
            self.day.minion_cpu_millicores[number % self.day.minion_cpu_millicores.len()];
        let id = MinionId::from(format!("m-{number:03}").as_str());
        self.minion_of.insert(id.clone(), number);
        self.minions.push(Minion::new(id, domain, pace, cpu));
    }

    /// Starts the instances, the clients and the troubles.
    fn start(&mut self) {
        for node in 0..self.nodes.len() {
            self.start_node(node);
        }
        self.group_changed(20_000);
        self.schedule(REOPEN_US, Event::Links);
        self.join_group();
        for kind in 0..self.day.kinds.len() {
            self.schedule(LEAD_US, Event::NewJob(kind));
        }
        for (number, trouble) in self.day.troubles.iter().enumerate() {
            self.schedule(LEAD_US + at_ms(trouble) * 1_000, Event::Trouble(number));
        }
    }

    /// Schedules an event after a delay.
    fn schedule(&mut self, delay_us: u64, event: Event) {
        self.number += 1;
        let at_us = self.now_us + delay_us;
        self.events.push(Reverse(Scheduled { at_us, number: self.number, event }));
    }

    /// Takes an event.
    fn take(&mut self, event: Event) {
        match event {
            Event::Input(node, incarnation, input) => {
                self.deliver(node, incarnation, input);
            }
            Event::Work(node) => self.work(node),
            Event::NewJob(kind) => self.new_job(kind),
            Event::Send(job) => self.send_job(job),
            Event::Poll(job) => self.poll(job),
            Event::PollLost(job, attempt) => {
                if self.jobs[job].attempt == attempt {
                    self.poll(job);
                }
            }
            Event::ReadLog(node, incarnation, read) => {
                self.read_log(node, incarnation, &read);
            }
            Event::Append(node, incarnation, append, lost) => {
                self.append_log(node, incarnation, &append, lost);
            }
            Event::Answered(job, answer, attempt) => self.answered(job, answer, attempt),
            Event::Call(call) => self.call(call),
            Event::RunEnds(minion, born_us, run, end) => {
                if self.minions[minion].born_us == born_us
                    && self.minions[minion].end(self.now_us, run, end)
                {
                    self.checks.ended(run, minion);
                    self.checks.has_ended(run, end);
                    self.release_holds(minion);
                }
            }
            Event::LeaseEnds(minion) => self.lease_ends(minion),
            Event::HoldEnds(minion, number) => {
                let found = self.holds.iter().position(|hold| hold.number == number);
                if let Some(position) = found {
                    let hold = self.holds.swap_remove(position);
                    self.answer_hold(minion, hold.call);
                }
            }
            Event::Group => self.announce_group(),
            Event::Members(node, incarnation, generation, members) => {
                if self.nodes[node].up && self.nodes[node].incarnation == incarnation {
                    let now = self.moment(node);
                    self.nodes[node].engine.set_members(now, generation, &members);
                    self.after(node);
                }
            }
            Event::Links => {
                self.open_links();
                self.schedule(REOPEN_US, Event::Links);
            }
            Event::Joins => self.join_group(),
            Event::Trouble(number) => self.trouble(number),
            Event::Relief(number, victims) => self.relief(number, victims),
        }
    }

    /// Returns an instance's steady clock.
    fn moment(&self, node: usize) -> Moment {
        Moment(self.now_us / 1_000 + self.nodes[node].clock_offset_ms)
    }

    /// Returns the delay between two failure domains, or nothing if they are cut off.
    fn path_us(&self, from: usize, to: usize) -> Option<u64> {
        let cut = self.cut_domain.is_some_and(|cut| (from == cut) != (to == cut));
        let delay = if from == to { LOCAL_DELAY_US } else { self.day.domain_delay_us };
        (!cut).then_some(delay)
    }

    /// Returns the outcome.
    fn finish(mut self) -> Report {
        for job in &self.jobs {
            let report = &mut self.report.kinds[job.kind];
            report.sent += 1;
            report.owed += job.worth;
            if job.accepted_us.is_some() && !job.done {
                self.checks.broken.push(format!("{} was accepted and is lost", job.id));
            }
        }
        self.report.broken = self.checks.broken;
        self.report
    }
}

/// Returns when a trouble begins.
fn at_ms(trouble: &Trouble) -> u64 {
    match *trouble {
        Trouble::Kill { at_ms, .. }
        | Trouble::Freeze { at_ms, .. }
        | Trouble::CutDomain { at_ms, .. }
        | Trouble::StoreAway { at_ms, .. }
        | Trouble::LostAppends { at_ms, .. }
        | Trouble::Rebalance { at_ms }
        | Trouble::ResetLinks { at_ms }
        | Trouble::SilentLinks { at_ms, .. }
        | Trouble::CrashMinions { at_ms, .. }
        | Trouble::SlowMinions { at_ms, .. }
        | Trouble::HangingMinions { at_ms, .. }
        | Trouble::FailingMinions { at_ms, .. }
        | Trouble::LateOrders { at_ms, .. }
        | Trouble::Burst { at_ms, .. } => at_ms,
    }
}
