//! Reports of the runs of a shard to its new owner, while minions pass from one holder to
//! another.

mod support;

use bamboocart_jobs::timing::{LEASE_MS, RECONCILE_TIMEOUT_MS, RUN_GONE_MS};
use bamboocart_jobs::{
    AppendAnswer, Checkpoint, Effect, EndReport, Engine, Frame, HoldOrder, HoldReply,
    LogAppend, LogPage, LogRead, LogRecord, Message, Moment, NewJob, PeerKey, RequestKey,
    Resources, RunEnd, RunOrder, RunRef, ShardId, ShardRun, StartAnswer, Submission,
};
use support::{
    JOB, active, answer_hold, entry, frame, member, room, run, run_order, step,
    submission,
};
use yare::parameterized;

const START: Moment = Moment(10_000);

/// The interval of the frames with which the peers show that they are alive.
const FRAME_MS: u64 = 100;

/// The time after which the run of a lost holder is started again, and some frames.
const GONE_MS: u64 = 3_000;

/// The fencing token of the present holder. It is higher than that of the owner, whose
/// own holds the minions do not answer.
const FENCING_TOKEN: u64 = u64::MAX;

/// The earlier holder of the minion m-1.
const EARLIER: usize = 0;

/// The present holder of the minion m-1.
const PRESENT: usize = 1;

/// The holder of the minion m-2, which has room for another run.
const OTHER: usize = 2;

/// The owner of a stored job, which has taken over the shard and waits for reports of its
/// runs. The log has one shard with records.
struct Fixture {
    engine: Engine,
    now: Moment,
    log: Vec<LogRecord>,
    peers: Vec<PeerKey>,
    /// The shard and epoch that were announced.
    taken: Option<(ShardId, u64)>,
    /// The runs that were ordered.
    starts: Vec<RunRef>,
    /// The runs that peers were told to stop.
    stops: Vec<RunRef>,
    /// The frames to peers, with the numbers of their receivers.
    frames: Vec<(usize, Frame)>,
    /// The minion m-1, if it answers this instance.
    own: Option<OwnMinion>,
}

/// The minion m-1 while the owner holds it.
#[derive(Default)]
struct OwnMinion {
    /// The hold that is not answered.
    hold: Option<HoldOrder>,
    /// The active runs.
    active: Vec<RunRef>,
    /// The runs that it was told to stop.
    stops: Vec<RunRef>,
}

impl Fixture {
    /// Creates an owner that finds a stored job in the log.
    fn new() -> Self {
        let first = Self::first_owner();
        let mut fixture = Self::with_log(first.log, first.taken);
        fixture.pass(2 * FRAME_MS);
        assert_ne!(fixture.taken, first.taken, "the shard is taken over");
        fixture
    }

    /// Creates the first owner of the shard, which has stored a job and ordered its run.
    fn first_owner() -> Self {
        let mut fixture = Self::with_log(Vec::new(), None);
        let submission = submission(1, vec![step(1, &[])]);
        let job = NewJob { best_effort: false, ..submission.job };
        fixture.engine.submit(fixture.now, Submission { job, ..submission });
        fixture.pass(2 * FRAME_MS);
        assert_eq!(fixture.log.len(), 2, "the claim and the job are written");
        assert_eq!(fixture.starts, [run(RUN)]);
        fixture
    }

    /// Creates an owner that finds these records in the log of a shard.
    fn with_log(log: Vec<LogRecord>, taken: Option<(ShardId, u64)>) -> Self {
        let own = member("entry-1", "marka");
        let mut engine = Engine::new(own.clone(), 1);
        let others = ["entry-2", "entry-3", "entry-4"].map(|name| member(name, "sahab"));
        engine.set_members(START, 1, &[own]);
        engine.joined(START);
        let peers: Vec<PeerKey> =
            others.iter().map(|other| engine.peer(START, other)).collect();
        peers.iter().for_each(|&peer| engine.link_opened(peer));
        engine.update_minions(START, ["m-1", "m-2"].map(|id| entry(id, "sahab")).into());
        let (starts, stops) = (Vec::new(), Vec::new());
        let frames = Vec::new();
        let own = None;
        Self { engine, now: START, log, peers, taken, starts, stops, frames, own }
    }

    /// Creates an owner that holds m-1 and has started the run there for the earlier owner
    /// of the shard, before it takes the shard over.
    fn with_own_run() -> Self {
        let first = Self::first_owner();
        let mut fixture = Self::with_log(first.log, first.taken);
        fixture.own = Some(OwnMinion::default());
        let (holds, later): (Vec<Effect>, Vec<Effect>) = fixture
            .engine
            .take_effects()
            .into_iter()
            .partition(|effect| matches!(effect, Effect::Hold(_)));
        holds.into_iter().for_each(|hold| fixture.carry_out(hold));
        fixture.answer_own_hold();
        let order = Box::new(RunOrder { epoch: 1, ..run_order(run(RUN)) });
        let start = Message::Start { minion: "m-1".into(), order };
        let earlier = fixture.peers[EARLIER];
        fixture.engine.frame_arrived(START, earlier, frame(START, vec![start]));
        for effect in fixture.engine.take_effects() {
            fixture.carry_out(effect);
        }
        assert_eq!(fixture.own.as_ref().unwrap().active, [run(RUN)]);
        later.into_iter().for_each(|effect| fixture.carry_out(effect));
        fixture.pass(2 * FRAME_MS);
        assert_ne!(fixture.taken, first.taken, "the shard is taken over");
        fixture
    }

    /// Carries out the effects and collects the messages that are due.
    fn collect(&mut self) {
        loop {
            let effects = self.engine.take_effects();
            if effects.is_empty() {
                break;
            }
            effects.into_iter().for_each(|effect| self.carry_out(effect));
        }
        for (peer, frame) in self.engine.take_frames(self.now) {
            let receiver = self.peers.iter().position(|&it| it == peer);
            self.frames.extend(receiver.map(|receiver| (receiver, frame.clone())));
            for message in frame.messages {
                match message {
                    Message::ShardTaken { shard, epoch } => {
                        self.taken = Some((shard, epoch));
                    }
                    Message::Start { order, .. } => self.starts.push(order.run),
                    Message::Stop(run) => self.stops.push(run),
                    _ => {}
                }
            }
        }
    }

    /// Carries out an effect; only m-1 may answer calls.
    fn carry_out(&mut self, effect: Effect) {
        match (effect, &mut self.own) {
            (Effect::ReadLog(read), _) => self.answer_read(&read),
            (Effect::Append(append), _) => self.append(&append),
            (Effect::Hold(order), Some(own)) if order.target.id == "m-1".into() => {
                own.hold = Some(order);
            }
            (Effect::Start(order), Some(own)) if order.target.id == "m-1".into() => {
                own.active.push(order.run);
                let (key, token) = (order.target.minion, order.target.fencing_token);
                let started = StartAnswer::Started;
                self.engine.start_answered(self.now, key, token, order.run, started);
            }
            (Effect::Start(order), _) => self.starts.push(order.run),
            (Effect::Stop(order), Some(own)) => own.stops.push(order.run),
            _ => {}
        }
    }

    /// Answers the hold of m-1, if one was sent.
    fn answer_own_hold(&mut self) {
        let Some(own) = &mut self.own else { return };
        let Some(order) = own.hold.take() else { return };
        let active = own.active.iter().map(|&run| active(run, 10)).collect();
        let reply = HoldReply { active, ..HoldReply::default() };
        answer_hold(&mut self.engine, self.now, &order, reply);
    }

    /// Answers a read; only the shard of the job has records.
    fn answer_read(&mut self, read: &LogRead) {
        let used = self.taken.is_some_and(|(shard, _)| shard == read.shard);
        let records = if used { self.log.clone() } else { Vec::new() };
        let end_offset = records.len() as u64;
        let from = (read.from_offset as usize).min(records.len());
        let records = records[from..].to_vec();
        let page = LogPage::Records { records, next_offset: end_offset, end_offset };
        self.engine.log_read(self.now, read.shard, read.number, page);
    }

    /// Carries out an append.
    fn append(&mut self, append: &LogAppend) {
        self.log.extend(append.records.iter().cloned());
        let answer = AppendAnswer::Appended {
            end_offset: append.at_offset + append.records.len() as u64,
        };
        self.engine.log_appended(self.now, append.shard, append.number, answer);
    }

    /// Delivers messages of a peer.
    fn deliver(&mut self, peer: usize, messages: Vec<Message>) {
        let frame = frame(self.now, messages);
        self.engine.frame_arrived(self.now, self.peers[peer], frame);
        self.collect();
    }

    /// Lets time pass while all peers send frames.
    fn pass(&mut self, duration_ms: u64) {
        let end = self.now + duration_ms;
        while self.now < end {
            self.now = self.now + FRAME_MS;
            self.engine.joined(self.now);
            self.answer_own_hold();
            let free =
                Resources { cpu_millicores: 2_000, memory_mb: 4_096, gpu_count: 0 };
            self.deliver(EARLIER, Vec::new());
            self.deliver(PRESENT, Vec::new());
            self.deliver(OTHER, vec![room("m-2", free)]);
        }
    }

    /// Delivers the report of the runs of the shard that a peer holds.
    fn report(&mut self, peer: usize, found: &[RunRef]) {
        let (shard, epoch) = self.taken.unwrap();
        let report = |&run: &RunRef| ShardRun {
            run,
            minion: "m-1".into(),
            checkpoint: Checkpoint::default(),
        };
        let runs = found.iter().map(report).collect();
        self.deliver(peer, vec![Message::ShardRuns { shard, epoch, runs }]);
    }

    /// Lets the holder of m-1 act, and passes the frames between it and this instance, at
    /// which it has the number `peer`.
    fn exchange_frames(&mut self, peer: usize, holder: &mut RunHolder) {
        let now = self.now;
        for (receiver, frame) in std::mem::take(&mut self.frames) {
            if receiver == peer {
                holder.engine.frame_arrived(now, holder.owner, frame);
            }
        }
        holder.tick(now);
        for (receiver, frame) in holder.engine.take_frames(now) {
            if receiver == holder.owner {
                self.engine.frame_arrived(now, self.peers[peer], frame);
                self.collect();
            }
        }
    }

    /// Delivers what a peer says about the run.
    fn hear(&mut self, statement: Statement) {
        match statement {
            Statement::Reported(peer) => self.report(peer, &[run(RUN)]),
            Statement::Released(peer) => {
                self.deliver(peer, vec![Message::Released(run(RUN))]);
            }
            Statement::Adopted(peer) => {
                let adopted = Message::Adopted {
                    minion: "m-1".into(),
                    fencing_token: FENCING_TOKEN,
                    active: vec![run(RUN)],
                    ended: Vec::new(),
                };
                self.deliver(peer, vec![adopted]);
            }
        }
    }
}

/// What a peer says about the run.
#[derive(Debug, Copy, Clone)]
enum Statement {
    /// It holds the run, which is of the shard that was taken over.
    Reported(usize),
    /// It has lost the minion of the run.
    Released(usize),
    /// It has found the run on the minion, which it holds now.
    Adopted(usize),
}

/// The run that the earlier owner of the shard has ordered.
const RUN: u64 = 1;

/// Guards against a second run of a task of a stored job, whose minion passes to another
/// holder while its shard passes to another owner. The earlier holder does not know yet
/// that it has lost the minion when it reports the runs of the shard.
#[parameterized(
    reported_before_the_adoption = {
        &[
            Statement::Reported(EARLIER),
            Statement::Released(EARLIER),
            Statement::Adopted(PRESENT),
        ]
    },
    reported_after_the_adoption = {
        &[
            Statement::Adopted(PRESENT),
            Statement::Reported(EARLIER),
            Statement::Released(EARLIER),
        ]
    },
    reported_by_both_holders = {
        &[
            Statement::Reported(EARLIER),
            Statement::Released(EARLIER),
            Statement::Reported(PRESENT),
        ]
    },
)]
fn a_run_that_changes_hands_is_not_started_again(statements: &[Statement]) {
    let mut fixture = Fixture::new();
    statements.iter().for_each(|&statement| fixture.hear(statement));
    (EARLIER..=OTHER).for_each(|peer| fixture.report(peer, &[]));
    fixture.pass(GONE_MS);
    assert!(fixture.starts.is_empty(), "while the run is active: {:?}", fixture.starts);
    let (end, checkpoint) = (RunEnd::Void, Checkpoint::default());
    let report = EndReport { run: run(RUN), end, checkpoint };
    fixture.deliver(PRESENT, vec![Message::Ended { minion: "m-1".into(), report }]);
    fixture.pass(FRAME_MS);
    assert_eq!(fixture.starts.len(), 1, "after the end of the run");
}

/// Guards against a run that its holder renews for as long as an earlier owner of its
/// shard is alive, although that one has given the shard up. The next owner may not know
/// of the holder, which has lost the store, and starts the task again after
/// `RUN_GONE_MS`. A stop has no effect on a run that the next owner has taken over.
#[test]
fn an_earlier_owner_tells_holders_that_it_has_lost_its_shard() {
    let mut fixture = Fixture::first_owner();
    let (shard, epoch) = fixture.taken.unwrap();
    let taken = Message::ShardTaken { shard, epoch: epoch + 1 };
    fixture.deliver(PRESENT, vec![taken]);
    fixture.pass(RUN_GONE_MS - LEASE_MS);
    assert_eq!(fixture.stops, [run(RUN)]);
}

/// The interval of the holds that a holder sends.
const HOLD_INTERVAL_MS: u64 = 20;

/// The generation under which the holder of m-1 holds it: it is later than that of the
/// owner, so that its fencing token is the higher one.
const HOLDER_GENERATION: u64 = 2;

/// The holder of the minion m-1, with a run that an earlier owner has ordered.
struct RunHolder {
    engine: Engine,
    /// The owner that takes the shard over.
    owner: PeerKey,
    /// The hold that is not answered.
    hold: Option<HoldOrder>,
    /// The active runs.
    active: Vec<RunRef>,
    /// The stops that it has sent.
    stops: Vec<RunRef>,
}

impl RunHolder {
    /// Creates a holder that starts the run for an earlier owner, which is then lost.
    fn new(now: Moment) -> Self {
        let own = member("entry-2", "sahab");
        let mut engine = Engine::new(own.clone(), 2);
        engine.update_minions(now, vec![entry("m-1", "sahab")]);
        engine.set_members(now, HOLDER_GENERATION, &[own]);
        let [owner, earlier] =
            ["entry-1", "entry-5"].map(|name| engine.peer(now, &member(name, "marka")));
        engine.link_opened(owner);
        let (active, stops) = (Vec::new(), Vec::new());
        let mut holder = Self { engine, owner, hold: None, active, stops };
        (0..4).for_each(|_| holder.tick(now));
        let order = Box::new(RunOrder { epoch: 1, ..run_order(run(RUN)) });
        let start = Message::Start { minion: "m-1".into(), order };
        holder.engine.frame_arrived(now, earlier, frame(now, vec![start]));
        holder.tick(now);
        assert_eq!(holder.active, [run(RUN)]);
        holder
    }

    /// Answers the hold, and carries out the calls to the minion.
    fn tick(&mut self, now: Moment) {
        self.engine.tick(now);
        if let Some(order) = self.hold.take() {
            let active = self.active.iter().map(|&run| active(run, 10)).collect();
            let reply = HoldReply { active, ..HoldReply::default() };
            answer_hold(&mut self.engine, now, &order, reply);
        }
        for effect in self.engine.take_effects() {
            match effect {
                Effect::Hold(order) => self.hold = Some(order),
                Effect::Start(order) => {
                    self.active.push(order.run);
                    let (key, token) = (order.target.minion, order.target.fencing_token);
                    let taken = StartAnswer::Started;
                    self.engine.start_answered(now, key, token, order.run, taken);
                }
                Effect::Stop(order) => self.stops.push(order.run),
                _ => {}
            }
        }
    }
}

/// Guards against a second run of a task of a stored job, because the report of the runs of
/// its shard was in a frame that a full link dropped: the next owner opens the shard without
/// the report, while the holder renews the run for it.
#[parameterized(
    delivered = { false },
    dropped = { true },
)]
fn a_report_in_a_dropped_frame_is_made_up_for(dropped: bool) {
    let mut fixture = Fixture::new();
    let mut holder = RunHolder::new(fixture.now);
    let (shard, epoch) = fixture.taken.unwrap();
    let taken = frame(fixture.now, vec![Message::ShardTaken { shard, epoch }]);
    fixture.frames.clear();
    holder.engine.frame_arrived(fixture.now, holder.owner, taken);
    if dropped {
        let frames = holder.engine.take_frames(fixture.now);
        let mut messages = frames.iter().flat_map(|(_, frame)| &frame.messages);
        assert!(messages.any(|it| matches!(it, Message::ShardRuns { .. })));
        holder.engine.link_lost(fixture.now, holder.owner);
        holder.engine.link_opened(holder.owner);
    }
    fixture.report(PRESENT, &[]);
    fixture.report(OTHER, &[]);
    let end = fixture.now + RECONCILE_TIMEOUT_MS + GONE_MS;
    while fixture.now < end {
        fixture.now = fixture.now + HOLD_INTERVAL_MS;
        let now = fixture.now;
        fixture.engine.joined(now);
        let free = Resources { cpu_millicores: 2_000, memory_mb: 4_096, gpu_count: 0 };
        fixture.deliver(PRESENT, Vec::new());
        fixture.deliver(OTHER, vec![room("m-2", free)]);
        fixture.exchange_frames(EARLIER, &mut holder);
    }
    let stopped = holder.stops.contains(&run(RUN));
    assert!(stopped || fixture.starts.is_empty(), "beside a run: {:?}", fixture.starts);
    assert!(dropped || !stopped, "the next owner knows the run");
}

/// The instance that holds m-1 at present.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
enum PresentHolder {
    /// A peer, which has reported the run.
    Peer,
    /// The owner of the job.
    Owner,
}

/// An owner that has taken over a shard, and then hears of the run from an earlier holder of
/// m-1, which learns only later that it has lost the minion.
struct LateReport {
    fixture: Fixture,
    /// The present holder, if it is a peer.
    holder: Option<RunHolder>,
}

impl LateReport {
    /// Lets the earlier holder report the run and then release it.
    fn new(present: PresentHolder) -> Self {
        let (fixture, holder) = match present {
            PresentHolder::Owner => (Fixture::with_own_run(), None),
            PresentHolder::Peer => {
                let fixture = Fixture::new();
                let holder = RunHolder::new(fixture.now);
                (fixture, Some(holder))
            }
        };
        let mut late = Self { fixture, holder };
        if let Some(holder) = &mut late.holder {
            let (shard, epoch) = late.fixture.taken.unwrap();
            let taken =
                frame(late.fixture.now, vec![Message::ShardTaken { shard, epoch }]);
            holder.engine.frame_arrived(late.fixture.now, holder.owner, taken);
        }
        late.pass(FRAME_MS);
        late.fixture.hear(Statement::Reported(EARLIER));
        late.fixture.hear(Statement::Released(EARLIER));
        late.fixture.report(PRESENT, &[]);
        late.fixture.report(OTHER, &[]);
        late.pass(GONE_MS);
        late
    }

    /// Lets time pass.
    fn pass(&mut self, duration_ms: u64) {
        let end = self.fixture.now + duration_ms;
        while self.fixture.now < end {
            self.fixture.pass(FRAME_MS);
            if let Some(holder) = &mut self.holder {
                self.fixture.exchange_frames(PRESENT, holder);
            }
        }
    }

    /// Returns the runs that m-1 was told to stop.
    fn stops(&self) -> &[RunRef] {
        match (&self.holder, &self.fixture.own) {
            (Some(holder), _) => &holder.stops,
            (None, own) => &own.as_ref().unwrap().stops,
        }
    }
}

/// Guards against a second run of a task, because an earlier holder of its minion reports
/// the run to the new owner of the shard after the present holder, and then releases it. The
/// owner itself may be the present holder, and the minion may change hands again.
#[parameterized(
    held_by_a_peer = { PresentHolder::Peer },
    held_by_the_owner = { PresentHolder::Owner },
)]
fn a_late_report_does_not_replace_the_present_holder(present: PresentHolder) {
    let mut late = LateReport::new(present);
    if present == PresentHolder::Owner {
        let members = [member("entry-1", "marka"), member("entry-9", "sahab")];
        late.fixture.engine.set_members(late.fixture.now, 2, &members);
        late.fixture.own = None;
        late.pass(FRAME_MS);
        late.fixture.hear(Statement::Adopted(PRESENT));
        late.pass(GONE_MS);
    }
    assert_eq!(late.fixture.starts, [], "the run is active");
}

/// Guards against a task of a cancelled job that is never stopped, because the owner takes
/// an earlier holder for the present one.
#[parameterized(
    held_by_a_peer = { PresentHolder::Peer },
    held_by_the_owner = { PresentHolder::Owner },
)]
fn a_cancel_after_a_late_report_stops_the_run(present: PresentHolder) {
    let mut late = LateReport::new(present);
    let job = JOB.parse().unwrap();
    late.fixture.engine.cancel_request(late.fixture.now, RequestKey(2), job, 1_500);
    late.pass(2 * FRAME_MS);
    assert_eq!(late.stops(), [run(RUN)]);
}
