//! Timeouts that follow the round trip of a minion, and the budget of repeated starts.

mod support;

use bamboocart_jobs::{
    Effect, Engine, HoldOrder, HoldReply, Moment, RunEnd, StartAnswer, StartOrder,
    StopOrder,
};
use support::{
    answer_hold, answer_hold_from, ended, engine_with_minions, hold_of, run, starts_of,
    step, submission,
};

const START: Moment = Moment(10_000);

/// The time from a hold to the end of the lease that it requests, on a clock that may be
/// 2 % slow.
const LEASE_MS: u64 = 600;

/// The timeout on a path without delay, of which most answers take a small part.
const MIN_TIMEOUT_MS: u64 = 120;

/// The longest time for which the system is allowed to be in an overload of its own making
/// after the cause has ended.
const RECOVERY_MS: u64 = 5_000;

/// An instance with one minion behind a path of some delay.
struct Path {
    engine: Engine,
    now: Moment,
    jobs: u64,
    hold: HoldOrder,
}

impl Path {
    fn new() -> Self {
        let (engine, mut holds) = engine_with_minions(START, 1);
        let hold = holds.remove(0);
        Self { engine, now: START, jobs: 0, hold }
    }

    /// Submits a job and returns the start of its task, which is first in the queue.
    fn order(&mut self) -> StartOrder {
        self.jobs += 1;
        let mut job = submission(self.jobs, vec![step(1, &[])]);
        job.job.id = format!("{:016x}", self.jobs).parse().unwrap();
        job.timeout_ms = 60_000;
        self.engine.submit(self.now, job);
        let starts = starts_of(self.engine.take_effects());
        assert_eq!(starts.len(), 1, "the start is not sent");
        starts[0].clone()
    }

    /// Answers a start after a round trip of this time, and the open hold with its end.
    fn complete(&mut self, start: &StartOrder, round_trip_ms: u64) {
        self.now = self.now + round_trip_ms;
        let (key, token) = (start.target.minion, start.target.fencing_token);
        let answer = StartAnswer::Started;
        self.engine.start_answered(self.now, key, token, start.run, answer);
        let done = ended(self.jobs, start.run, RunEnd::Done);
        let reply = HoldReply { ended: vec![done], ..HoldReply::default() };
        self.now = self.now + round_trip_ms;
        answer_hold(&mut self.engine, self.now, &self.hold, reply);
        self.hold = hold_of(self.engine.take_effects());
    }

    /// Answers the open hold with a list without runs.
    fn list(&mut self, round_trip_ms: u64) {
        self.now = self.now + (self.hold.wait_ms + round_trip_ms);
        answer_hold_from(&mut self.engine, self.now, &self.hold, 1, Vec::new());
        self.hold = hold_of(self.engine.take_effects());
    }
}

/// Guards against a slow answer that counts as lost: the start is repeated, its connection
/// closed and the task placed again, which fills a slow link further.
#[test]
fn a_timeout_exceeds_the_round_trip_of_its_path() {
    for round_trip_ms in [2, 20, 60, 110, 200, 300] {
        let mut path = Path::new();
        for _ in 0..12 {
            let start = path.order();
            path.complete(&start, round_trip_ms);
        }
        let timeout_ms = path.order().target.timeout_ms;
        assert!(
            timeout_ms > round_trip_ms && timeout_ms >= MIN_TIMEOUT_MS,
            "{round_trip_ms}: {timeout_ms}"
        );
    }
}

/// Guards against holds that are repeated too late for the lease, however slow the path
/// is.
#[test]
fn a_lost_hold_is_repeated_within_the_lease() {
    for round_trip_ms in [2, 60, 300, 900] {
        let mut path = Path::new();
        for _ in 0..12 {
            path.list(round_trip_ms);
            let limit_ms = path.hold.wait_ms + path.hold.target.timeout_ms;
            assert!(limit_ms + 100 < LEASE_MS, "{round_trip_ms}: {limit_ms}");
        }
    }
}

/// Guards against timeouts that stay long after the delay of the path has gone, so that a
/// lost start is noticed late.
#[test]
fn timeouts_return_after_a_delay() {
    let mut path = Path::new();
    for _ in 0..12 {
        path.list(300);
    }
    assert!(path.hold.target.timeout_ms > MIN_TIMEOUT_MS);
    let ended = path.now;
    while path.now.since(ended) < RECOVERY_MS {
        path.list(2);
    }
    assert_eq!(path.order().target.timeout_ms, MIN_TIMEOUT_MS);
}

/// Guards against calls at the same interval to a minion whose path is slower than the
/// timeout, so that no answer ever arrives in time.
#[test]
fn timeouts_grow_while_no_call_is_answered() {
    let mut path = Path::new();
    let mut start = path.order();
    let first_ms = start.target.timeout_ms;
    let (key, token) = (start.target.minion, start.target.fencing_token);
    // The start is repeated once, and then the run is stopped.
    path.now = path.now + first_ms;
    path.engine.start_answered(path.now, key, token, start.run, StartAnswer::Lost);
    start = starts_of(path.engine.take_effects()).remove(0);
    path.now = path.now + start.target.timeout_ms;
    path.engine.start_answered(path.now, key, token, start.run, StartAnswer::Lost);
    let stop = stops_of(&mut path.engine).remove(0);
    assert!(stop.target.timeout_ms >= 2 * first_ms);
    path.now = path.now + stop.target.timeout_ms;
    path.engine.stop_answered(path.now, key, token, stop.run, StartAnswer::Lost);
    let again = stops_of(&mut path.engine).remove(0);
    assert!(again.target.timeout_ms > stop.target.timeout_ms);
}

/// Guards against as many repeats as first sends while no start is answered.
#[test]
fn repeated_starts_are_a_share_of_the_first_ones() {
    const JOBS: usize = 400;
    const SAVED: usize = 20;
    let (mut engine, _) = engine_with_minions(START, JOBS);
    let (mut first, mut repeated) = (0, 0);
    for number in 1..=JOBS as u64 {
        let mut job = submission(number, vec![step(1, &[])]);
        job.job.id = format!("{number:016x}").parse().unwrap();
        engine.submit(START, job);
        for start in starts_of(engine.take_effects()) {
            first += 1;
            let (key, token) = (start.target.minion, start.target.fencing_token);
            engine.start_answered(START, key, token, start.run, StartAnswer::Lost);
            let again = starts_of(engine.take_effects());
            repeated += again.iter().filter(|again| again.run == start.run).count();
            first += again.iter().filter(|again| again.run != start.run).count();
        }
    }
    assert!(first >= 100, "{first} starts");
    assert!(repeated <= SAVED + first / 5, "{repeated} repeats of {first} starts");
    assert!(
        repeated >= SAVED,
        "{repeated} repeats: a few lost starts are not sent again"
    );
}

/// Guards against stops that are repeated at a constant interval while the link to a minion
/// is cut.
#[test]
fn stops_are_repeated_at_growing_intervals() {
    let mut path = Path::new();
    let start = path.order();
    let (key, token) = (start.target.minion, start.target.fencing_token);
    path.engine.start_answered(path.now, key, token, start.run, StartAnswer::Started);
    path.engine.cancel(path.now, "0000000000000001".parse().unwrap());
    let mut stops: Vec<StopOrder> = stops_of(&mut path.engine);
    assert_eq!(stops.len(), 1, "the run of the cancelled job is not stopped");
    let mut sent = 0;
    let ends = path.now + RECOVERY_MS;
    while path.now < ends {
        path.now = path.now + 20;
        for stop in std::mem::take(&mut stops) {
            sent += 1;
            let answer = StartAnswer::Lost;
            path.engine.stop_answered(path.now, key, token, stop.run, answer);
        }
        path.engine.tick(path.now);
        stops.extend(stops_of(&mut path.engine));
    }
    assert!((4..=12).contains(&sent), "{sent} stops in {RECOVERY_MS} ms");
    assert_eq!(start.run.run, run(1).run);
}

/// Returns the stops among the effects of an engine.
fn stops_of(engine: &mut Engine) -> Vec<StopOrder> {
    let stop = |effect| match effect {
        Effect::Stop(order) => Some(order),
        _ => None,
    };
    engine.take_effects().into_iter().filter_map(stop).collect()
}
