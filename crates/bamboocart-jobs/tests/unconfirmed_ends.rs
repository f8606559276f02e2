//! Tests of the ends of stored runs that their owner cannot record for a while.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use bamboocart_jobs::timing::UNCONFIRMED_RETENTION_MS;
use bamboocart_jobs::{
    Effect, EndedRun, Engine, HoldAnswer, HoldOrder, HoldReply, MAX_LISTED_ENDS, Message,
    MinionEntry, Moment, PeerKey, Resources, RunEnd, RunOrder, RunRef, ShardId,
    StartAnswer, StartOrder, StoreLimits, TaskRef,
};
use support::{
    active, answer_hold, ended, engine_with_minions, entry, frame, member, run, run_order,
};
use yare::parameterized;

const START: Moment = Moment(10_000);

/// The time between two frames of the owner, which is also the run time of a task.
const STEP_MS: u64 = 20;

/// The number of shards.
const SHARDS: u16 = 24;

/// The number of tasks that the owner orders with each frame.
const ORDERS: usize = 16;

/// A minion that lists its ends as the platform's minions do.
#[derive(Default)]
struct Minion {
    active: BTreeMap<RunRef, Moment>,
    /// The ends that it has not been allowed to forget.
    ends: Vec<EndedRun>,
    last_end: u64,
    lease_until_ms: u64,
    /// The ends that were noted: forgotten while the lease had not expired since.
    noted: BTreeSet<RunRef>,
    /// The ends whose lease has expired since.
    expired: BTreeSet<RunRef>,
    /// The largest number of ends that it had to hide.
    most_hidden: usize,
}

impl Minion {
    /// Ends the runs that are done, or that the lease does not cover.
    fn advance(&mut self, now: Moment) {
        let due = |&(_, &since): &(&RunRef, &Moment)| now.since(since) >= STEP_MS;
        let done: Vec<RunRef> =
            self.active.iter().filter(due).map(|(&run, _)| run).collect();
        for run in done {
            self.active.remove(&run);
            self.last_end += 1;
            self.ends.push(ended(self.last_end, run, RunEnd::Done));
        }
        if self.lease_until_ms < now.0 {
            assert!(self.active.is_empty(), "the lease expires under a run");
            self.expired.extend(self.ends.iter().map(|end| end.report.run));
        }
        let hidden = self.ends.len().saturating_sub(MAX_LISTED_ENDS);
        self.most_hidden = self.most_hidden.max(hidden);
    }

    fn start(&mut self, now: Moment, order: &StartOrder) {
        self.lease_until_ms = self.lease_until_ms.max(order.lease_until_ms);
        self.active.insert(order.run, now);
    }

    fn hold(&mut self, order: &HoldOrder) -> Vec<EndedRun> {
        self.lease_until_ms =
            self.lease_until_ms.max(order.lease_until_ms.unwrap_or_default());
        let forgotten = |end: &EndedRun| end.number <= order.last_seen;
        let runs = self.ends.iter().filter(|end| forgotten(end));
        let runs = runs.map(|end| end.report.run);
        self.noted.extend(runs.filter(|run| !self.expired.contains(run)));
        self.ends.retain(|end| !forgotten(end));
        self.ends.iter().take(MAX_LISTED_ENDS).cloned().collect()
    }
}

/// An engine that holds a minion, and a peer that orders runs on it.
struct Fixture {
    engine: Engine,
    owner: PeerKey,
    now: Moment,
    minion: Minion,
    /// The hold that waits for an end.
    hold: Option<HoldOrder>,
    /// The number of ordered runs.
    ordered: usize,
    /// The last end of each run that was reported to the owner.
    reported: BTreeMap<RunRef, RunEnd>,
    /// Whether the owner confirms ends that are reported to it.
    confirms: bool,
}

impl Fixture {
    /// Creates a holder whose peer owns all shards.
    fn new() -> Self {
        let mut engine = Engine::new(member("entry-1", "marka"), 7);
        let capacity =
            Resources { cpu_millicores: 100_000, memory_mb: 100_000, gpu_count: 0 };
        let minion = MinionEntry { capacity, ..entry("m-1", "marka") };
        engine.update_minions(START, vec![minion]);
        let members = [member("entry-1", "marka"), member("entry-2", "sahab")];
        engine.set_members(START, 5, &members);
        let owner = engine.peer(START, &members[1]);
        engine.link_opened(owner);
        let mut fixture = Self {
            engine,
            owner,
            now: START,
            minion: Minion::default(),
            hold: None,
            ordered: 0,
            reported: BTreeMap::new(),
            confirms: false,
        };
        let taken = |shard| Message::ShardTaken { shard: ShardId(shard), epoch: 1 };
        fixture.step((0..SHARDS).map(taken).collect());
        (0..3).for_each(|_| fixture.step(Vec::new()));
        fixture
    }

    /// Returns an order to start the next task, of a stored job if `epoch` is not 0.
    fn order(&mut self, epoch: u64) -> Message {
        self.ordered += 1;
        let task = TaskRef { index: self.ordered as u16, ..run(1).task };
        let order = run_order(RunRef { task, run: 1 });
        let need = Resources { cpu_millicores: 100, ..order.need };
        let estimate_ms = STEP_MS;
        let order = RunOrder { epoch, need, estimate_ms, ..order };
        Message::Start { minion: "m-1".into(), order: Box::new(order) }
    }

    /// Lets the owner order some tasks, and everything proceed by one step.
    fn order_tasks(&mut self, epoch: u64) {
        let orders = (0..ORDERS).map(|_| self.order(epoch)).collect();
        self.step(orders);
    }

    /// Delivers a frame of the owner, and lets a step of time pass.
    fn step(&mut self, messages: Vec<Message>) {
        self.now = self.now + STEP_MS;
        self.minion.advance(self.now);
        self.engine.frame_arrived(self.now, self.owner, frame(self.now, messages));
        self.engine.tick(self.now);
        self.answer_hold();
        self.carry_out();
        let frames = self.engine.take_frames(self.now).into_iter();
        let messages: Vec<Message> = frames.flat_map(|(_, it)| it.messages).collect();
        let mut confirmed = Vec::new();
        for message in messages {
            if let Message::Ended { report, .. } = message {
                self.reported.insert(report.run, report.end);
                confirmed.push(Message::EndConfirmed(report.run));
            }
        }
        if self.confirms && !confirmed.is_empty() {
            let frame = frame(self.now, confirmed);
            self.engine.frame_arrived(self.now, self.owner, frame);
            self.carry_out();
        }
    }

    /// Carries out the calls to the minion.
    fn carry_out(&mut self) {
        for effect in self.engine.take_effects() {
            match effect {
                Effect::Start(order) => {
                    self.minion.start(self.now, &order);
                    let (key, token) = (order.target.minion, order.target.fencing_token);
                    let answer = StartAnswer::Started;
                    self.engine.start_answered(self.now, key, token, order.run, answer);
                }
                Effect::Hold(order) => self.hold = Some(order),
                _ => {}
            }
        }
    }

    /// Returns the number of the first tasks that were ordered, those of stored jobs, whose
    /// ends were noted.
    fn noted_of_first(&self, stored: usize) -> usize {
        let noted = self.minion.noted.iter();
        noted.filter(|run| usize::from(run.task.index) <= stored).count()
    }

    /// Answers the hold that waits.
    fn answer_hold(&mut self) {
        let Some(order) = self.hold.take() else { return };
        let ended = self.minion.hold(&order);
        let active = self.minion.active.keys().map(|&run| active(run, 50)).collect();
        let reply = HoldReply { incarnation: 1, clock_ms: self.now.0, active, ended };
        let answer = HoldAnswer::Reply(reply);
        self.engine.hold_answered(self.now, order.target.minion, order.number, answer);
    }
}

/// Guards against a second start of a task after an end that was noted but not recorded
/// (TWICE): a holder dropped the oldest of more than 300 ends while the store turned their
/// owner away.
#[test]
fn ends_are_not_noted_before_their_owner_has_recorded_them() {
    let mut fixture = Fixture::new();
    for _ in 0..250 {
        fixture.order_tasks(1);
        let noted = fixture.minion.noted.len();
        assert_eq!(noted, 0, "after {} ms", fixture.now.since(START));
    }
    assert_eq!(fixture.minion.most_hidden, 0);
    let expired = fixture.minion.expired.len();
    assert!(expired > MAX_LISTED_ENDS / 2, "the full list is never cleared: {expired}");
    fixture.confirms = true;
    for _ in 0..50 {
        fixture.step(Vec::new());
    }
    assert!(fixture.reported.values().all(|&end| end == RunEnd::Done));
    assert_eq!(fixture.minion.ends.len(), 0, "unconfirmed ends stay on the list");
    assert_eq!(fixture.reported.len(), fixture.minion.last_end as usize);
}

/// Guards against runs that are taken for void because their ends are behind a full list:
/// while no end of a stored job is recorded, best-effort tasks ran again and again.
#[parameterized(
    no_unrecorded_end = { 0 },
    one_unrecorded_end = { 1 },
    many_unrecorded_ends = { 300 },
)]
fn best_effort_tasks_go_on_beside_unrecorded_ends(stored: usize) {
    let mut fixture = Fixture::new();
    let orders = (0..stored).map(|_| fixture.order(1)).collect();
    fixture.step(orders);
    assert_eq!(fixture.minion.active.len(), stored);
    for _ in 0..250 {
        fixture.order_tasks(0);
    }
    (0..10).for_each(|_| fixture.step(Vec::new()));
    let void = fixture.reported.values().filter(|&&end| end != RunEnd::Done).count();
    assert_eq!(void, 0, "runs are taken for void");
    assert_eq!(fixture.noted_of_first(stored), 0, "noted before they were recorded");
    let done = fixture.reported.len() - stored;
    assert!(done * 2 > 250 * ORDERS, "{done} of {} tasks are done", 250 * ORDERS);
}

/// Guards against runs that are taken for void because an earlier holder has left a list
/// that is full, behind which their ends are hidden.
#[test]
fn a_run_that_a_full_list_does_not_name_is_not_gone() {
    let mut fixture = Fixture::new();
    let order = fixture.order(1);
    fixture.step(vec![order]);
    let run = *fixture.minion.active.keys().next().expect("the task is started");
    fixture.minion.active.clear();
    for number in 1..=MAX_LISTED_ENDS as u64 + 1 {
        let other = RunRef { run: number + 1, ..run };
        let run = if number > MAX_LISTED_ENDS as u64 { run } else { other };
        fixture.minion.ends.push(ended(number, run, RunEnd::Done));
    }
    (0..10).for_each(|_| fixture.step(Vec::new()));
    assert_eq!(fixture.reported.get(&run), None);
    fixture.confirms = true;
    (0..100).for_each(|_| fixture.step(Vec::new()));
    assert_eq!(fixture.reported.get(&run), Some(&RunEnd::Done));
}

/// Guards against a second start of a task after its end was noted but not recorded (TWICE):
/// a holder that had found the end on the list of its minion confirmed it after a minute
/// without an owner that reached the store.
#[test]
fn ends_that_a_holder_has_found_wait_for_their_owner() {
    let mut fixture = Fixture::new();
    let found = RunRef { run: 7, ..run(1) };
    fixture.minion.ends.push(ended(1, found, RunEnd::Done));
    for _ in 0..2 * UNCONFIRMED_RETENTION_MS / STEP_MS {
        fixture.step(Vec::new());
    }
    assert_eq!(fixture.reported.get(&found), Some(&RunEnd::Done));
    assert!(fixture.minion.noted.is_empty(), "noted before it was recorded");
    fixture.confirms = true;
    (0..50).for_each(|_| fixture.step(Vec::new()));
    assert_eq!(fixture.minion.noted, BTreeSet::from([found]));
}

/// Guards against holds that follow each other without a pause while a minion has more runs
/// than its list has room for ends, and none has ended.
#[test]
fn holds_wait_while_many_runs_are_active() {
    let mut fixture = Fixture::new();
    let orders = (0..MAX_LISTED_ENDS).map(|_| fixture.order(1)).collect();
    fixture.step(orders);
    let started = fixture.minion.active.len();
    assert!(started < MAX_LISTED_ENDS, "{started} runs on a list of {MAX_LISTED_ENDS}");
    let hold = fixture.hold.as_ref().expect("a hold is sent");
    assert!(hold.wait_ms > 0);
}

/// How the next owner of a shard asks for its runs.
#[derive(Copy, Clone)]
enum Inquiry {
    /// It announces itself.
    Takeover,
    /// The link was lost with the report, and is open again.
    NewLink,
}

/// A report to the next owner of a shard.
struct ReportCase {
    inquiry: Inquiry,
    minions: usize,
    /// The number of unconfirmed ends of the shard on each minion.
    ends: u64,
}

/// Guards against an owner that starts tasks again after a takeover (TWICE), since it had the
/// list of active runs before the ends, or had not got some of the ends because too many
/// messages were queued.
#[parameterized(
    takeover = { ReportCase { inquiry: Inquiry::Takeover, minions: 1, ends: 3 } },
    new_link = { ReportCase { inquiry: Inquiry::NewLink, minions: 1, ends: 3 } },
    many_ends = { ReportCase { inquiry: Inquiry::Takeover, minions: 12, ends: 400 } },
)]
fn the_next_owner_gets_the_ends_before_the_runs(case: ReportCase) {
    let (mut engine, holds) = engine_with_minions(START, case.minions);
    engine.set_store_limits(StoreLimits { partitions: 1, ..StoreLimits::default() });
    let peer = engine.peer(START, &member("entry-2", "sahab"));
    engine.link_opened(peer);
    let taken = |epoch| vec![Message::ShardTaken { shard: ShardId(0), epoch }];
    engine.frame_arrived(START, peer, frame(START, taken(1)));
    let mut expected = BTreeSet::new();
    for (minion, order) in holds.iter().enumerate() {
        let runs = (1..=case.ends).map(|number| {
            let index = minion as u16 * 500 + number as u16;
            RunRef { task: TaskRef { index, ..run(1).task }, run: 1 }
        });
        let ended: Vec<EndedRun> = (1..)
            .zip(runs)
            .map(|(number, run)| ended(number, run, RunEnd::Done))
            .collect();
        expected.extend(ended.iter().map(|end| end.report.run));
        answer_hold(
            &mut engine,
            START,
            order,
            HoldReply { ended, ..HoldReply::default() },
        );
    }
    engine.take_frames(START + 50);
    let now = START + 100;
    engine.frame_arrived(now, peer, frame(now, taken(2)));
    if let Inquiry::NewLink = case.inquiry {
        engine.take_frames(now);
        engine.link_lost(now, peer);
        engine.link_opened(peer);
    }
    let frames = engine.take_frames(now + 100).into_iter();
    let messages = frames.flat_map(|(_, frame)| frame.messages);
    let mut reported = BTreeSet::new();
    let mut reports = 0;
    for message in messages {
        match message {
            Message::Ended { report, .. } => {
                reported.insert(report.run);
            }
            Message::ShardRuns { .. } => {
                assert_eq!(reported.len(), expected.len(), "ends before the runs");
                reports += 1;
            }
            _ => {}
        }
    }
    assert_eq!((reports, reported), (1, expected));
}
