//! The course of a day.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use bamboocart_jobs::timing::{HOLD_TIMEOUT_MS, ORDER_TIMEOUT_MS};
use bamboocart_jobs::{
    Answer, Catalog, Effect, Engine, Frame, HoldAnswer, HoldNumber, HoldOrder, HoldReply,
    JobId, JobState, Member, MinionEntry, MinionId, MinionKey, MinionState, Moment,
    NewJob, PeerKey, Queue, RequestKey, Resources, RunEnd, RunRef, Service, StartAnswer,
    StartOrder, Step, StopOrder, Submission, WireLimits,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal, Normal};

use crate::checks::Checks;
use crate::day::{Day, Trouble};
use crate::minion::{HoldOutcome, Minion};
use crate::report::{KindReport, Report};
use crate::trace;

/// The delay within a failure domain, one way.
const LOCAL_DELAY_US: u64 = 200;

/// The delay between clients and instances, one way.
const CLIENT_DELAY_US: u64 = 3_000;

/// The time after which the group notices that an instance is gone.
const MEMBER_TTL_US: u64 = 1_300_000;

/// The time in which members hear of a change of the group.
const GROUP_DELAY_US: u64 = 350_000;

/// The time after which a link that was lost is open again.
const REOPEN_US: u64 = 100_000;

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

/// Plays a day and returns its outcome; the same seed gives the same outcome.
pub fn run(day: &Day, seed: u64) -> Report {
    let mut world = World::new(day, seed);
    world.start();
    while let Some(Reverse(next)) = world.events.pop() {
        if next.at_us > LEAD_US + day.length_ms * 1_000 + TAIL_US {
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
    /// Something goes wrong.
    Trouble(usize),
    /// A trouble is over.
    Relief(usize, Vec<usize>),
}

/// What reaches an instance.
enum Input {
    Submit(usize, u32),
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
            Event::Answered(job, answer, attempt) => self.answered(job, answer, attempt),
            Event::Call(call) => self.call(call),
            Event::RunEnds(minion, born_us, run, end) => {
                if self.minions[minion].born_us == born_us
                    && self.minions[minion].end(run, end)
                {
                    self.checks.ended(run, minion);
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

    /// Puts something into the inbox of an instance.
    fn deliver(&mut self, node: usize, incarnation: u64, input: Input) {
        let entry = &mut self.nodes[node];
        let outdated =
            matches!(input, Input::Tick(due_us) if due_us != entry.next_tick_us);
        if !entry.up || entry.incarnation != incarnation || outdated {
            return;
        }
        entry.inbox.push_back(input);
        if entry.inbox.len() == 1 && !entry.frozen {
            let delay = entry.busy_until_us.saturating_sub(self.now_us);
            self.schedule(delay, Event::Work(node));
        }
    }

    /// Lets an instance work on one thing.
    fn work(&mut self, node: usize) {
        if self.nodes[node].frozen || !self.nodes[node].up {
            return;
        }
        let Some(input) = self.nodes[node].inbox.pop_front() else { return };
        let now = self.moment(node);
        trace::enter(self.now_us, node);
        let engine = &mut self.nodes[node].engine;
        match input {
            Input::Submit(job, attempt) => self.submit(node, job, attempt),
            Input::Gone(request) => engine.abandon(now, request),
            Input::Frame(member, frame) => {
                let peer = engine.peer(now, &member);
                engine.frame_arrived(now, peer, frame);
            }
            Input::Start(key, token, run, answer) => {
                engine.start_answered(now, key, token, run, answer);
            }
            Input::Stop(key, token, run, answer) => {
                engine.stop_answered(now, key, token, run, answer);
            }
            Input::Hold(key, number, answer) => {
                engine.hold_answered(now, key, number, answer);
            }
            Input::Tick(_) => {
                self.nodes[node].next_tick_us = u64::MAX;
                self.nodes[node].engine.tick(now);
            }
        }
        let entry = &mut self.nodes[node];
        entry.busy_until_us = self.now_us + self.day.event_cost_us;
        if !entry.inbox.is_empty() {
            self.schedule(self.day.event_cost_us, Event::Work(node));
        }
        self.after(node);
    }

    /// Carries out what an engine asks for.
    fn after(&mut self, node: usize) {
        let now = self.moment(node);
        let effects = self.nodes[node].engine.take_effects();
        let frames = self.nodes[node].engine.take_frames(now);
        let due = self.nodes[node].engine.next_due(now);
        for effect in effects {
            self.carry_out(node, effect);
        }
        for (peer, frame) in frames {
            self.send_frame(node, peer, frame);
        }
        let wait_us = due.since(now).max(1) * 1_000;
        let entry = &mut self.nodes[node];
        if self.now_us + wait_us < entry.next_tick_us {
            entry.next_tick_us = self.now_us + wait_us;
            let incarnation = entry.incarnation;
            let tick = Input::Tick(entry.next_tick_us);
            self.schedule(wait_us, Event::Input(node, incarnation, tick));
        }
    }

    /// Carries out an effect.
    fn carry_out(&mut self, node: usize, effect: Effect) {
        match effect {
            Effect::Answer(request, answer) => {
                let found = self.nodes[node].requests.remove(&request);
                if let Some((job, attempt)) = found {
                    let event = Event::Answered(job, answer, attempt);
                    self.schedule(CLIENT_DELAY_US, event);
                }
            }
            Effect::Start(order) => {
                let id = order.target.id.clone();
                self.send_call(node, &id, Order::Start(order));
            }
            Effect::Stop(order) => {
                let id = order.target.id.clone();
                self.send_call(node, &id, Order::Stop(order));
            }
            Effect::Hold(order) => {
                let id = order.target.id.clone();
                self.send_call(node, &id, Order::Hold(order));
            }
        }
    }

    /// Sends a call to a minion.
    fn send_call(&mut self, node: usize, id: &MinionId, order: Order) {
        self.report.minion_calls += 1;
        let minion = self.minion_of[id];
        let incarnation = self.nodes[node].incarnation;
        let path = self.path_us(self.nodes[node].domain, self.minions[minion].domain);
        let late = self.late_share > 0.0 && self.rng.random_bool(self.late_share);
        let (delay_us, answered) = match path {
            Some(delay_us) if !late => (delay_us, true),
            Some(delay_us) => {
                let wait_us = self.rng.random_range(2_000_000..12_000_000);
                (delay_us + wait_us, false)
            }
            None => return self.call_lost(node, incarnation, &order),
        };
        if !answered || !self.minions[minion].up {
            self.call_lost(node, incarnation, &order);
        }
        if answered && !self.minions[minion].up {
            return;
        }
        let call = Call { minion, node, incarnation, order, answered };
        self.schedule(delay_us, Event::Call(call));
    }

    /// Lets a call run into its timeout.
    fn call_lost(&mut self, node: usize, incarnation: u64, order: &Order) {
        let (wait_ms, input) = match order {
            Order::Start(order) => {
                let target = &order.target;
                let (key, token) = (target.minion, target.fencing_token);
                let input = Input::Start(key, token, order.run, StartAnswer::Lost);
                (ORDER_TIMEOUT_MS, input)
            }
            Order::Stop(order) => {
                let target = &order.target;
                let (key, token) = (target.minion, target.fencing_token);
                let input = Input::Stop(key, token, order.run, StartAnswer::Lost);
                (ORDER_TIMEOUT_MS, input)
            }
            Order::Hold(order) => {
                let (key, number) = (order.target.minion, order.number);
                let wait_ms = order.wait_ms + HOLD_TIMEOUT_MS;
                (wait_ms, Input::Hold(key, number, HoldAnswer::Lost))
            }
        };
        let delay_us = wait_ms * 1_000;
        self.schedule(delay_us, Event::Input(node, incarnation, input));
    }

    /// Lets a minion carry out a call.
    fn call(&mut self, call: Call) {
        let minion = call.minion;
        if !self.minions[minion].up {
            if call.answered {
                self.call_lost(call.node, call.incarnation, &call.order);
            }
            return;
        }
        match &call.order {
            Order::Start(order) => {
                let answer = self.start_run(minion, order);
                let (key, token) = (order.target.minion, order.target.fencing_token);
                self.reply(&call, Input::Start(key, token, order.run, answer));
            }
            Order::Stop(order) => {
                let token = order.target.fencing_token;
                let (answer, ended) = self.minions[minion].stop(token, order.run);
                if ended {
                    self.checks.ended(order.run, minion);
                    self.release_holds(minion);
                }
                let input = Input::Stop(order.target.minion, token, order.run, answer);
                self.reply(&call, input);
            }
            Order::Hold(order) => {
                let token = order.target.fencing_token;
                let outcome = self.minions[minion].hold(
                    token,
                    order.lease_until_ms,
                    order.last_seen,
                );
                self.watch_lease(minion);
                let waits = order.wait_ms > 0 && !self.minions[minion].has_news();
                match outcome {
                    HoldOutcome::Fenced => {
                        let (key, number) = (order.target.minion, order.number);
                        self.reply(&call, Input::Hold(key, number, HoldAnswer::Fenced));
                    }
                    HoldOutcome::Taken if waits && call.answered => {
                        self.number += 1;
                        let number = self.number;
                        let wait_us = order.wait_ms * 1_000;
                        self.holds.push(WaitingHold { number, minion, call });
                        self.schedule(wait_us, Event::HoldEnds(minion, number));
                    }
                    HoldOutcome::Taken => self.answer_hold(minion, call),
                }
            }
        }
    }

    /// Starts a run on a minion.
    fn start_run(&mut self, minion: usize, order: &StartOrder) -> StartAnswer {
        let Some(&job) = self.job_of.get(&order.run.task.job) else {
            self.checks.started(self.now_us, order.run, minion);
            return StartAnswer::Invalid;
        };
        let job = &self.jobs[job];
        let run_ms = job.runs_ms[usize::from(order.run.task.index)];
        let entry = &mut self.minions[minion];
        let known = entry.lists(self.now_us).active.iter().any(|r| r.run == order.run);
        let run_us = (run_ms * entry.pace * entry.slow_factor * 1_000.0) as u64;
        let run_us = (!entry.hangs).then_some(run_us);
        let answer = entry.start(
            self.now_us,
            order.target.fencing_token,
            order.run,
            (job.need, run_us),
            order.lease_until_ms,
        );
        match answer {
            StartAnswer::Started if !known => {
                self.report.runs += 1;
                self.checks.started(self.now_us, order.run, minion);
                let entry = &self.minions[minion];
                let end = if entry.fails { RunEnd::Failed } else { RunEnd::Done };
                let event = Event::RunEnds(minion, entry.born_us, order.run, end);
                if let Some(run_us) = run_us {
                    self.schedule(run_us, event);
                }
                self.watch_lease(minion);
            }
            StartAnswer::NoRoom => self.report.rejected_starts += 1,
            _ => {}
        }
        answer
    }

    /// Looks at a minion's lease when it would lapse.
    fn watch_lease(&mut self, minion: usize) {
        if let Some(at_us) = self.minions[minion].lapses_at_us() {
            let delay_us = at_us.saturating_sub(self.now_us);
            self.schedule(delay_us, Event::LeaseEnds(minion));
        }
    }

    /// Ends the runs of a minion whose lease has lapsed.
    fn lease_ends(&mut self, minion: usize) {
        for run in self.minions[minion].lapse(self.now_us) {
            self.report.void_runs += 1;
            self.checks.ended(run, minion);
        }
        self.release_holds(minion);
    }

    /// Answers the holds that wait for an end.
    fn release_holds(&mut self, minion: usize) {
        if !self.minions[minion].has_news() {
            return;
        }
        while let Some(position) =
            self.holds.iter().position(|hold| hold.minion == minion)
        {
            let hold = self.holds.swap_remove(position);
            self.answer_hold(minion, hold.call);
        }
    }

    /// Answers a hold with both lists.
    fn answer_hold(&mut self, minion: usize, call: Call) {
        let lists: HoldReply = self.minions[minion].lists(self.now_us);
        if let Order::Hold(order) = &call.order {
            let (key, number) = (order.target.minion, order.number);
            self.reply(&call, Input::Hold(key, number, HoldAnswer::Reply(lists)));
        }
    }

    /// Sends the answer to a call back, if the caller still waits and can be reached.
    fn reply(&mut self, call: &Call, input: Input) {
        if !call.answered {
            return;
        }
        let from = self.minions[call.minion].domain;
        match self.path_us(from, self.nodes[call.node].domain) {
            Some(delay_us) => {
                let event = Event::Input(call.node, call.incarnation, input);
                self.schedule(delay_us, event);
            }
            None => self.call_lost(call.node, call.incarnation, &call.order),
        }
    }

    /// Sends a frame to a peer.
    fn send_frame(&mut self, node: usize, peer: PeerKey, frame: Frame) {
        self.report.frames += 1;
        let Some(&other) = self.nodes[node].links.get(&peer) else { return };
        if !self.accepts(other, node, peer) {
            return;
        }
        let path = self.path_us(self.nodes[node].domain, self.nodes[other].domain);
        if let Some(delay_us) = path
            && !self.links_silent
        {
            let member = self.nodes[node].member.clone();
            let incarnation = self.nodes[other].incarnation;
            let input = Input::Frame(member, frame);
            self.schedule(delay_us, Event::Input(other, incarnation, input));
        }
    }

    /// Opens the links that are missing, and loses those to instances that are gone.
    fn open_links(&mut self) {
        for node in 0..self.nodes.len() {
            if !self.nodes[node].up || self.nodes[node].frozen {
                continue;
            }
            for (peer, address) in self.nodes[node].engine.peers() {
                let other =
                    self.node_at(address).filter(|&it| self.accepts(it, node, peer));
                let known = self.nodes[node].links.contains_key(&peer);
                let path = other.and_then(|other| {
                    let from = self.nodes[node].domain;
                    self.path_us(from, self.nodes[other].domain)
                });
                match (known, path.is_some()) {
                    (false, true) => {
                        let other = other.unwrap_or(node);
                        self.nodes[node].links.insert(peer, other);
                        self.nodes[node].engine.link_opened(peer);
                    }
                    (true, false) => self.lose_link(node, peer),
                    (true, true) | (false, false) => {}
                }
            }
            self.after(node);
        }
    }

    /// Returns whether an instance is the one that another means by a peer: a link is used
    /// only if the intended incarnation accepts it.
    fn accepts(&self, other: usize, node: usize, peer: PeerKey) -> bool {
        let intended = self.nodes[node].engine.member_of(peer);
        intended == Some(&self.nodes[other].member)
    }

    /// Returns the instance that runs at an address.
    fn node_at(&self, address: SocketAddr) -> Option<usize> {
        self.nodes.iter().position(|node| node.up && node.member.address == address)
    }

    /// Loses a link.
    fn lose_link(&mut self, node: usize, peer: PeerKey) {
        self.nodes[node].links.remove(&peer);
        let now = self.moment(node);
        self.nodes[node].engine.link_lost(now, peer);
    }

    /// Starts a new incarnation of an instance.
    fn start_node(&mut self, node: usize) {
        let now_us = self.now_us;
        let entries = self.entries();
        let catalog = self.catalog();
        let domain = self.day.domains[self.nodes[node].domain].name.clone();
        let entry = &mut self.nodes[node];
        entry.incarnation += 1;
        entry.member = member(&domain, node, entry.incarnation);
        entry.up = true;
        entry.frozen = false;
        entry.inbox.clear();
        entry.requests.clear();
        entry.links.clear();
        entry.next_tick_us = u64::MAX;
        entry.engine = Engine::new(entry.member.clone(), now_us ^ node as u64);
        entry.engine.set_catalog(catalog);
        let now = self.moment(node);
        self.nodes[node].engine.list_minions(now, entries);
        self.after(node);
    }

    /// Kills an instance: its clients notice, its peers lose their links.
    fn kill_node(&mut self, node: usize) {
        self.nodes[node].up = false;
        let lost: Vec<(usize, u32)> =
            self.nodes[node].requests.values().copied().collect();
        for (job, attempt) in lost {
            self.connection_broke(job, attempt);
        }
    }

    /// Lets a client send its job again after its connection broke.
    fn connection_broke(&mut self, job: usize, attempt: u32) {
        let entry = &mut self.jobs[job];
        if !entry.done && entry.attempt == attempt {
            entry.attempt += 1;
            self.schedule(RETRANSMIT_US, Event::Send(job));
        }
    }

    /// Lets the group notice a change after a delay.
    fn group_changed(&mut self, delay_us: u64) {
        self.schedule(delay_us, Event::Group);
    }

    /// Tells all instances who is a member.
    fn announce_group(&mut self) {
        if !self.store_up {
            return;
        }
        self.generation += 1;
        let up: Vec<Member> =
            self.nodes.iter().filter(|node| node.up).map(|n| n.member.clone()).collect();
        // Instances that have come get a part only after earlier members have joined again.
        self.owners.retain(|owner| up.contains(owner));
        if self.owners.is_empty() {
            self.owners.extend(up.first().cloned());
        }
        let members = self.owners.clone();
        if members.len() < up.len() {
            self.owners = up;
            self.group_changed(GROUP_DELAY_US);
        }
        for node in 0..self.nodes.len() {
            let delay_us = self.rng.random_range(0..GROUP_DELAY_US);
            let incarnation = self.nodes[node].incarnation;
            let generation = self.generation;
            let event = Event::Members(node, incarnation, generation, members.clone());
            self.schedule(delay_us, event);
        }
    }

    /// Returns the list of minions.
    fn entries(&self) -> Vec<MinionEntry> {
        let entry = |minion: &Minion| MinionEntry {
            id: minion.id.clone(),
            service: "service".into(),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
            failure_domain: self.day.domains[minion.domain].name.as_str().into(),
            state: MinionState::Ready,
            capacity: Resources {
                cpu_millicores: minion.cpu_millicores,
                memory_mb: 65_536,
                gpu_count: 0,
            },
            labels: Vec::new(),
            incarnation: minion.born_us + 1,
        };
        self.minions.iter().map(entry).collect()
    }

    /// Returns the configuration.
    fn catalog(&self) -> Catalog {
        Catalog {
            version: 1,
            queues: self.queues.clone(),
            services: vec![Service { name: "service".into(), admission_check: true }],
            limits: WireLimits::default(),
        }
    }

    /// Creates a job of a kind and schedules the next one.
    fn new_job(&mut self, kind: usize) {
        let settings = &self.day.kinds[kind];
        let rate = settings.jobs_per_s * self.burst / 1_000_000.0;
        let gap_us = Exp::new(rate).map_or(1e6, |gap| gap.sample(&mut self.rng));
        let end_us = LEAD_US + self.day.length_ms * 1_000;
        if self.now_us + (gap_us as u64) < end_us {
            self.schedule(gap_us as u64 + 1, Event::NewJob(kind));
        }
        let spread = |mean: f64, deviation: f64, rng: &mut SmallRng| {
            let normal = Normal::new(mean, mean * deviation).ok();
            normal.map_or(mean, |normal| normal.sample(rng).max(mean * 0.2))
        };
        let count = spread(settings.tasks, 0.4, &mut self.rng).round().max(1.0) as u16;
        let cpu = spread(settings.cpu_millicores, 0.2, &mut self.rng);
        let cpu = cpu.min(settings.cpu_millicores * 1.47) as u32;
        let base_ms = spread(settings.run_ms, 0.4, &mut self.rng);
        let runs_ms: Vec<f64> =
            (0..count).map(|_| spread(base_ms, 0.15, &mut self.rng)).collect();
        let longest_ms = runs_ms.iter().copied().fold(0.0, f64::max);
        let off = LogNormal::new(0.0, ESTIMATE_SPREAD)
            .map_or(1.0, |off| off.sample(&mut self.rng));
        let work: f64 = runs_ms.iter().sum();
        let share = (work / (settings.tasks * settings.run_ms)).min(4.0);
        let id: JobId = format!("{:016x}", 0x1000_0000 + self.jobs.len())
            .parse()
            .expect("16 hexadecimal digits are a job id");
        self.job_of.insert(id, self.jobs.len());
        self.checks.sent(id);
        let domain = self.rng.random_range(0..self.day.domains.len());
        self.jobs.push(ClientJob {
            id,
            kind,
            domain,
            first_sent_us: self.now_us,
            count,
            need: Resources { cpu_millicores: cpu, memory_mb: 64, gpu_count: 0 },
            estimate_ms: (base_ms * off) as u64,
            runs_ms,
            objective_ms: SLACK_FACTOR * longest_ms + TARGET_LATENCY_MS as f64,
            worth: settings.worth * (0.3 + 0.7 * share),
            attempt: 0,
            done: false,
        });
        self.send_job(self.jobs.len() - 1);
    }

    /// Sends a job to an instance of the client's failure domain, or to any.
    fn send_job(&mut self, job: usize) {
        let (domain, attempt) = (self.jobs[job].domain, self.jobs[job].attempt);
        let all: Vec<usize> =
            (0..self.nodes.len()).filter(|&node| self.nodes[node].up).collect();
        let own: Vec<usize> =
            all.iter().copied().filter(|&n| self.nodes[n].domain == domain).collect();
        let choices = if own.is_empty() { &all } else { &own };
        if choices.is_empty() {
            return self.connection_broke(job, attempt);
        }
        let node = choices[self.rng.random_range(0..choices.len())];
        let incarnation = self.nodes[node].incarnation;
        let input = Input::Submit(job, attempt);
        self.schedule(CLIENT_DELAY_US, Event::Input(node, incarnation, input));
    }

    /// Hands a job to an engine.
    fn submit(&mut self, node: usize, job: usize, attempt: u32) {
        let now = self.moment(node);
        let entry = &mut self.nodes[node];
        let request = RequestKey(entry.next_request);
        entry.next_request += 1;
        entry.requests.insert(request, (job, attempt));
        let client = &self.jobs[job];
        let step = Step {
            count: client.count,
            need: client.need,
            estimate_ms: client.estimate_ms,
            ..Step::default()
        };
        let submission = Submission {
            request,
            queue: Arc::clone(&self.queues[client.kind]),
            job: NewJob {
                id: client.id,
                spec: "".into(),
                steps: vec![step],
                best_effort: true,
                unsupported: None,
            },
            patience_ms: PATIENCE_MS,
        };
        entry.engine.submit(now, submission);
        let gone = Event::Input(node, entry.incarnation, Input::Gone(request));
        self.schedule((PATIENCE_MS + 5) * 1_000, gone);
    }

    /// Lets a client take an answer.
    fn answered(&mut self, job: usize, answer: Answer, attempt: u32) {
        let entry = &mut self.jobs[job];
        if entry.done || entry.attempt != attempt {
            return;
        }
        let report = &mut self.report.kinds[entry.kind];
        match answer {
            Answer::Ended(JobState::Completed) => {
                entry.done = true;
                let took_ms = (self.now_us - entry.first_sent_us) / 1_000;
                report.latencies_ms.push(took_ms);
                let share = match took_ms as f64 / entry.objective_ms {
                    share if share <= 1.0 => {
                        report.in_time += 1;
                        1.0
                    }
                    share if share <= LATE_LIMIT => {
                        report.late += 1;
                        LATE_WORTH
                    }
                    _ => 0.0,
                };
                report.earned += entry.worth * share;
            }
            Answer::Refused { .. } | Answer::Unavailable => {
                entry.done = true;
                report.refused += 1;
                self.checks.refused(self.now_us, entry.id, attempt == 0);
            }
            Answer::GivenUp => self.connection_broke(job, attempt),
            _ => entry.done = true,
        }
    }

    /// Lets something go wrong.
    fn trouble(&mut self, number: usize) {
        let trouble = &self.day.troubles[number];
        let mut victims = Vec::new();
        let mut length_ms = 0;
        match *trouble {
            Trouble::Kill { for_ms, count, .. } => {
                victims = self.pick_nodes(count);
                victims.clone().into_iter().for_each(|node| self.kill_node(node));
                self.group_changed(MEMBER_TTL_US);
                length_ms = for_ms;
            }
            Trouble::Freeze { for_ms, count, .. } => {
                victims = self.pick_nodes(count);
                victims.iter().for_each(|&node| self.nodes[node].frozen = true);
                length_ms = for_ms;
            }
            Trouble::CutDomain { for_ms, domain, .. } => {
                self.cut_domain = Some(domain);
                length_ms = for_ms;
            }
            Trouble::StoreAway { for_ms, .. } => {
                self.store_up = false;
                length_ms = for_ms;
            }
            Trouble::Rebalance { .. } => self.group_changed(0),
            Trouble::ResetLinks { .. } => self.reset_links(),
            Trouble::SilentLinks { for_ms, .. } => {
                self.links_silent = true;
                length_ms = for_ms;
            }
            Trouble::CrashMinions { for_ms, count, .. } => {
                victims = self.pick_minions(count);
                for &minion in &victims {
                    for run in self.minions[minion].crash() {
                        self.checks.ended(run, minion);
                    }
                    self.holds.retain(|hold| hold.minion != minion);
                }
                length_ms = for_ms;
            }
            Trouble::SlowMinions { for_ms, count, factor, .. } => {
                victims = self.pick_minions(count);
                victims.iter().for_each(|&m| self.minions[m].slow_factor = factor);
                length_ms = for_ms;
            }
            Trouble::HangingMinions { for_ms, count, .. } => {
                victims = self.pick_minions(count);
                victims.iter().for_each(|&m| self.minions[m].hangs = true);
                length_ms = for_ms;
            }
            Trouble::FailingMinions { for_ms, count, .. } => {
                victims = self.pick_minions(count);
                victims.iter().for_each(|&m| self.minions[m].fails = true);
                length_ms = for_ms;
            }
            Trouble::LateOrders { for_ms, share, .. } => {
                self.late_share = share;
                length_ms = for_ms;
            }
            Trouble::Burst { for_ms, factor, .. } => {
                self.burst = factor;
                length_ms = for_ms;
            }
        }
        self.schedule(length_ms * 1_000, Event::Relief(number, victims));
    }

    /// Loses all links.
    fn reset_links(&mut self) {
        for node in 0..self.nodes.len() {
            let peers: Vec<PeerKey> = self.nodes[node].links.keys().copied().collect();
            peers.into_iter().for_each(|peer| self.lose_link(node, peer));
            self.after(node);
        }
    }

    /// Ends a trouble.
    fn relief(&mut self, number: usize, victims: Vec<usize>) {
        match self.day.troubles[number] {
            Trouble::Kill { .. } => {
                victims.into_iter().for_each(|node| self.start_node(node));
                self.group_changed(20_000);
            }
            Trouble::Freeze { .. } => {
                for node in victims {
                    self.nodes[node].frozen = false;
                    self.schedule(0, Event::Work(node));
                }
            }
            Trouble::CutDomain { .. } => self.cut_domain = None,
            Trouble::StoreAway { .. } => {
                self.store_up = true;
                self.group_changed(20_000);
            }
            // The silent connections are replaced.
            Trouble::SilentLinks { .. } => {
                self.links_silent = false;
                self.reset_links();
            }
            Trouble::CrashMinions { .. } => {
                for minion in victims {
                    self.minions[minion].up = true;
                    self.minions[minion].born_us = self.now_us;
                }
            }
            Trouble::SlowMinions { .. } => {
                victims.iter().for_each(|&m| self.minions[m].slow_factor = 1.0);
            }
            Trouble::HangingMinions { .. } => {
                victims.iter().for_each(|&m| self.minions[m].hangs = false);
            }
            Trouble::FailingMinions { .. } => {
                victims.iter().for_each(|&m| self.minions[m].fails = false);
            }
            Trouble::LateOrders { .. } => self.late_share = 0.0,
            Trouble::Burst { .. } => self.burst = 1.0,
            Trouble::Rebalance { .. } | Trouble::ResetLinks { .. } => {}
        }
    }

    /// Picks instances that are up.
    fn pick_nodes(&mut self, count: usize) -> Vec<usize> {
        let up: Vec<usize> = (0..self.nodes.len())
            .filter(|&node| self.nodes[node].up && !self.nodes[node].frozen)
            .collect();
        pick(&mut self.rng, up, count)
    }

    /// Picks minions that are up.
    fn pick_minions(&mut self, count: usize) -> Vec<usize> {
        let up = (0..self.minions.len()).filter(|&m| self.minions[m].up).collect();
        pick(&mut self.rng, up, count)
    }

    /// Returns the outcome.
    fn finish(mut self) -> Report {
        for job in &self.jobs {
            let report = &mut self.report.kinds[job.kind];
            report.sent += 1;
            report.owed += job.worth;
        }
        self.report.broken = self.checks.broken;
        self.report
    }
}

/// Picks some of many.
fn pick(rng: &mut SmallRng, mut all: Vec<usize>, count: usize) -> Vec<usize> {
    let mut picked = Vec::new();
    while picked.len() < count && !all.is_empty() {
        picked.push(all.swap_remove(rng.random_range(0..all.len())));
    }
    picked
}

/// Returns a member of the group; the incarnations of an instance share its address.
fn member(domain: &str, number: usize, incarnation: u64) -> Member {
    let ip = Ipv4Addr::new(10, 0, 0, number as u8);
    Member {
        name: format!("entry-{number}").into(),
        failure_domain: domain.into(),
        address: SocketAddr::from((ip, 7_000)),
        incarnation,
    }
}

/// Returns when a trouble begins.
fn at_ms(trouble: &Trouble) -> u64 {
    match *trouble {
        Trouble::Kill { at_ms, .. }
        | Trouble::Freeze { at_ms, .. }
        | Trouble::CutDomain { at_ms, .. }
        | Trouble::StoreAway { at_ms, .. }
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
