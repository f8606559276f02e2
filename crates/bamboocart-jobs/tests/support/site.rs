//! A whole site in memory: engines that exchange frames, and minions that run what they are
//! told to. Each test uses some of it.

use std::collections::{BTreeMap, BTreeSet};

use bamboocart_jobs::{
    ActiveRun, AdviceAnswer, AdviceOrder, Answer, AppendAnswer, Checkpoint, Effect,
    EndReport, EndedRun, Engine, Frame, HoldAnswer, HoldOrder, HoldReply, LogAppend,
    LogPage, LogRead, LogRecord, Member, MinionEntry, MinionId, Moment, PeerKey,
    RequestKey, RunEnd, RunRef, ShardId, StartAnswer, StartOrder, Submission,
};

use super::answer_hold;

/// The time that one step takes, which is also the delay of frames.
const STEP_MS: u64 = 5;

/// A site; instances are numbered in the order of their members.
pub struct Site {
    pub engines: Vec<Engine>,
    pub now: Moment,
    /// The minions of the runs that were started, in order.
    pub starts: Vec<(RunRef, MinionId)>,
    /// The answers to clients, with the number of the instance.
    pub answers: Vec<(usize, RequestKey, Answer)>,
    /// The number of frames that each instance has sent.
    pub frames: Vec<usize>,
    /// How long a run takes whose task description is not a number of milliseconds.
    pub run_ms: u64,
    /// The minion that the advice service allows for all steps, if any.
    pub advised: Option<MinionId>,
    members: Vec<Member>,
    /// The platform's list of minions.
    entries: Vec<MinionEntry>,
    minions: BTreeMap<MinionId, Minion>,
    /// The members that the store's group names, and its generation.
    group: Vec<Member>,
    generation: u64,
    /// The instances that the store turns away.
    refused: BTreeSet<usize>,
    /// The links that were opened, each from one instance to another. One that a test closes
    /// stays closed until the test opens it.
    links: BTreeSet<(usize, usize)>,
    /// The pairs of instances that can't reach each other.
    cuts: BTreeSet<(usize, usize)>,
    /// The frames under way, with the numbers of their sender and their receiver.
    in_flight: Vec<(usize, usize, Frame)>,
    /// The logs of the store.
    logs: BTreeMap<ShardId, Vec<LogRecord>>,
}

/// The runs on a minion.
#[derive(Default)]
struct Minion {
    /// The active runs, with the time at which they end.
    active: Vec<(RunRef, Moment)>,
    /// The ends that the holder has not confirmed.
    ended: Vec<EndedRun>,
    /// The number of the last end.
    last_end: u64,
    /// The highest fencing token that it has seen.
    fencing_token: u64,
}

impl Minion {
    /// Notes the fencing token of a call, and returns whether the call is refused because an
    /// earlier one had a higher token.
    fn is_fenced(&mut self, fencing_token: u64) -> bool {
        self.fencing_token = self.fencing_token.max(fencing_token);
        self.fencing_token > fencing_token
    }

    /// Returns the answer to a hold, after the runs that are over have ended.
    fn reply(&mut self, now: Moment, last_seen: u64) -> HoldReply {
        let (over, active) = self.active.iter().partition(|(_, end)| *end <= now);
        self.active = active;
        let over: Vec<(RunRef, Moment)> = over;
        for (run, _) in over {
            self.last_end += 1;
            let report =
                EndReport { run, end: RunEnd::Done, checkpoint: Checkpoint::default() };
            let end = EndedRun { number: self.last_end, report, lease_expired: false };
            self.ended.push(end);
        }
        self.ended.retain(|end| end.number > last_seen);
        let active = self.active.iter().map(|&(run, _)| ActiveRun {
            run,
            done_percent: 50,
            checkpoint: Checkpoint::default(),
        });
        HoldReply {
            active: active.collect(),
            ended: self.ended.clone(),
            ..HoldReply::default()
        }
    }
}

impl Site {
    /// Creates a site whose instances are linked and hold their minions.
    pub fn new(members: Vec<Member>, minions: Vec<MinionEntry>) -> Self {
        let now = Moment(10_000);
        let mut engines = Vec::new();
        for (number, member) in members.iter().enumerate() {
            let mut engine = Engine::new(member.clone(), number as u64);
            engine.update_minions(now, minions.clone());
            engine.set_members(now, 1, &members);
            engine.joined(now);
            engines.push(engine);
        }
        let entries = minions.clone();
        let ids = minions.into_iter().map(|entry| (entry.id, Minion::default()));
        let mut site = Self {
            frames: vec![0; engines.len()],
            engines,
            now,
            starts: Vec::new(),
            answers: Vec::new(),
            run_ms: 200,
            advised: None,
            group: members.clone(),
            generation: 1,
            refused: BTreeSet::new(),
            links: BTreeSet::new(),
            cuts: BTreeSet::new(),
            members,
            entries,
            minions: ids.collect(),
            in_flight: Vec::new(),
            logs: BTreeMap::new(),
        };
        for from in 0..site.engines.len() {
            for to in (0..site.engines.len()).filter(|&to| to != from) {
                site.open_link(from, to);
            }
        }
        site.pass(1_000);
        site
    }

    /// Returns the key of an instance at another one.
    pub fn peer(&mut self, at: usize, of: usize) -> PeerKey {
        self.engines[at].peer(self.now, &self.members[of])
    }

    /// Opens the link from one instance to another.
    pub fn open_link(&mut self, from: usize, to: usize) {
        let peer = self.peer(from, to);
        self.engines[from].link_opened(peer);
        self.links.insert((from, to));
    }

    /// Closes the link from one instance to another; frames on the way are lost.
    pub fn close_link(&mut self, from: usize, to: usize) {
        let peer = self.peer(from, to);
        self.in_flight.retain(|(sender, receiver, _)| (*sender, *receiver) != (from, to));
        self.engines[from].link_lost(self.now, peer);
    }

    /// Lets two instances never reach each other.
    pub fn cut(&mut self, one: usize, other: usize) {
        self.cuts.extend([(one, other), (other, one)]);
    }

    /// Lets the store turn an instance away. The group drops it after a while.
    pub fn refuse(&mut self, instance: usize) {
        self.refused.insert(instance);
    }

    /// Starts a further instance, which joins the group; the instances that the store turns
    /// away are no longer named by it.
    pub fn add(&mut self, member: Member) {
        let instance = self.engines.len();
        let mut engine = Engine::new(member.clone(), self.now.0);
        engine.update_minions(self.now, self.entries.clone());
        self.engines.push(engine);
        self.frames.push(0);
        self.members.push(member);
        self.generation += 1;
        let served = (0..=instance).filter(|it| !self.refused.contains(it));
        self.group = served.map(|it| self.members[it].clone()).collect();
        for number in (0..=instance).filter(|it| !self.refused.contains(it)) {
            let engine = &mut self.engines[number];
            engine.set_members(self.now, self.generation, &self.group);
        }
    }

    /// Opens the links to peers that instances have learned of, as far as they can be reached.
    /// The accepting end learns of the opening one.
    fn open_new_links(&mut self) {
        for from in 0..self.engines.len() {
            for (peer, _) in self.engines[from].peers() {
                let member = self.engines[from].member_of(peer);
                let to =
                    member.and_then(|it| self.members.iter().position(|to| to == it));
                let Some(to) = to else { continue };
                let link = (from, to);
                if !self.links.contains(&link) && !self.cuts.contains(&link) {
                    self.peer(to, from);
                    self.open_link(from, to);
                }
            }
        }
    }

    /// Returns the tasks of which two runs are active.
    pub fn doubled(&self) -> Vec<RunRef> {
        let active = self.minions.values().flat_map(|minion| &minion.active);
        let mut runs: Vec<RunRef> =
            active.filter(|(_, end)| *end > self.now).map(|&(run, _)| run).collect();
        runs.sort_unstable();
        let doubled = runs.windows(2).filter(|pair| pair[0].task == pair[1].task);
        doubled.map(|pair| pair[1]).collect()
    }

    /// Ends the process of an instance and starts it again; its links are opened anew.
    pub fn restart(&mut self, instance: usize) {
        self.in_flight.retain(|(from, to, _)| *from != instance && *to != instance);
        let mut engine = Engine::new(self.members[instance].clone(), self.now.0);
        engine.update_minions(self.now, self.entries.clone());
        engine.set_members(self.now, self.generation, &self.group);
        engine.joined(self.now);
        self.engines[instance] = engine;
        for other in (0..self.engines.len()).filter(|&other| other != instance) {
            self.close_link(other, instance);
            self.open_link(instance, other);
            self.open_link(other, instance);
        }
    }

    /// Submits a job to an instance.
    pub fn submit(&mut self, to: usize, submission: Submission) {
        self.engines[to].submit(self.now, submission);
        self.carry_out(to);
    }

    /// Lets time pass.
    pub fn pass(&mut self, duration_ms: u64) {
        let end = self.now + duration_ms;
        while self.now < end {
            self.now = self.now + STEP_MS;
            self.open_new_links();
            self.deliver_frames();
            for number in 0..self.engines.len() {
                if !self.refused.contains(&number) {
                    self.engines[number].joined(self.now);
                }
                if self.engines[number].next_due(self.now) <= self.now {
                    self.engines[number].tick(self.now);
                }
                self.carry_out(number);
                self.collect_frames(number);
            }
        }
    }

    /// Returns the answers to a request.
    pub fn answers_to(&self, request: RequestKey) -> Vec<Answer> {
        let answers = self.answers.iter().filter(|(_, key, _)| *key == request);
        answers.map(|&(.., answer)| answer).collect()
    }

    /// Passes the frames on the way to their receivers.
    fn deliver_frames(&mut self) {
        for (from, to, frame) in std::mem::take(&mut self.in_flight) {
            let peer = self.peer(to, from);
            self.engines[to].frame_arrived(self.now, peer, frame);
            self.carry_out(to);
        }
    }

    /// Sends the frames of an instance that are due.
    fn collect_frames(&mut self, from: usize) {
        for (peer, frame) in self.engines[from].take_frames(self.now) {
            let member = self.engines[from].member_of(peer);
            let to = member.and_then(|it| self.members.iter().position(|to| to == it));
            self.frames[from] += 1;
            self.in_flight.extend(to.map(|to| (from, to, frame)));
        }
    }

    /// Carries out the effects of an instance; minions answer at once.
    fn carry_out(&mut self, instance: usize) {
        let now = self.now;
        for effect in self.engines[instance].take_effects() {
            match effect {
                Effect::Start(order) => self.start(instance, &order),
                Effect::Hold(order) => self.hold(instance, &order),
                Effect::Answer(request, answer) => {
                    self.answers.push((instance, request, answer));
                }
                Effect::Stop(order) => {
                    let token = order.target.fencing_token;
                    let minion = self.minions.get_mut(&order.target.id);
                    let fenced = minion.is_some_and(|minion| {
                        let fenced = minion.is_fenced(token);
                        if !fenced {
                            minion.active.retain(|(run, _)| *run != order.run);
                        }
                        fenced
                    });
                    let answer =
                        if fenced { StartAnswer::Fenced } else { StartAnswer::Started };
                    self.engines[instance].stop_answered(
                        now,
                        order.target.minion,
                        token,
                        order.run,
                        answer,
                    );
                }
                Effect::ReadLog(read) => self.read_log(instance, &read),
                Effect::Append(append) => self.append(instance, append),
                Effect::Advise(order) => self.advise(instance, order),
                Effect::RecordStoredJobUse => {}
            }
        }
    }

    /// Answers a call for advice.
    fn advise(&mut self, instance: usize, order: AdviceOrder) {
        let minions = order.minions.into_iter();
        let allowed = minions.filter(|id| Some(id) == self.advised.as_ref());
        let allowed = allowed.map(|id| (id, "ticket".into())).collect();
        let answer = AdviceAnswer::Allowed(allowed);
        self.engines[instance].advice_answered(self.now, order.number, answer);
    }

    /// Answers a read of a log.
    fn read_log(&mut self, instance: usize, read: &LogRead) {
        let page = match self.refused.contains(&instance) {
            true => LogPage::Lost,
            false => self.page(read),
        };
        self.engines[instance].log_read(self.now, read.shard, read.number, page);
    }

    /// Returns the records of a log from an offset on.
    fn page(&mut self, read: &LogRead) -> LogPage {
        let log = self.logs.entry(read.shard).or_default();
        let from = (read.from_offset as usize).min(log.len());
        let end_offset = log.len() as u64;
        let records = log[from..].to_vec();
        LogPage::Records { records, next_offset: end_offset, end_offset }
    }

    /// Appends to a log, if it ends where the instance takes it to end.
    fn append(&mut self, instance: usize, append: LogAppend) {
        let log = self.logs.entry(append.shard).or_default();
        let answer = match log.len() as u64 == append.at_offset {
            _ if self.refused.contains(&instance) => AppendAnswer::Refused,
            true => {
                log.extend(append.records);
                AppendAnswer::Appended { end_offset: log.len() as u64 }
            }
            false => AppendAnswer::Conflict,
        };
        self.engines[instance].log_appended(
            self.now,
            append.shard,
            append.number,
            answer,
        );
    }

    /// Starts a run.
    fn start(&mut self, instance: usize, order: &StartOrder) {
        let minion = self.minions.get_mut(&order.target.id).expect("the minion exists");
        let run_ms = order.spec.parse().unwrap_or(self.run_ms);
        let answer = match minion.is_fenced(order.target.fencing_token) {
            true => StartAnswer::Fenced,
            false => StartAnswer::Started,
        };
        if answer == StartAnswer::Started {
            minion.active.push((order.run, self.now + run_ms));
            self.starts.push((order.run, order.target.id.clone()));
        }
        self.engines[instance].start_answered(
            self.now,
            order.target.minion,
            order.target.fencing_token,
            order.run,
            answer,
        );
    }

    /// Answers a hold.
    fn hold(&mut self, instance: usize, order: &HoldOrder) {
        let minion = self.minions.get_mut(&order.target.id).expect("the minion exists");
        if minion.is_fenced(order.target.fencing_token) {
            let (key, number) = (order.target.minion, order.number);
            let fenced = HoldAnswer::Fenced;
            return self.engines[instance].hold_answered(self.now, key, number, fenced);
        }
        let reply = minion.reply(self.now, order.last_seen);
        answer_hold(&mut self.engines[instance], self.now, order, reply);
    }
}
