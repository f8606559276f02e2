//! Minions whose newest entry in the platform's list is invalid, because another writer has
//! replaced it.

mod support;

use std::net::{Ipv4Addr, SocketAddr};

use bamboocart_jobs::{
    ActiveRun, Effect, Engine, HoldAnswer, HoldOrder, MinionChange, MinionEntry, Moment,
    RunEnd, StartAnswer, StartOrder, Step,
};
use support::{
    active, answer_hold, answer_hold_from, ended, entry, hold_of, member, starts_of,
    step, submission,
};
use yare::parameterized;

const START: Moment = Moment(10_000);

/// The interval at which the minion answers holds.
const ANSWER_INTERVAL_MS: u64 = 200;

/// Longer than the time for which an unlisted minion is used.
const LONG_MS: u64 = 8_000;

/// Another address than that of [`entry`].
const FOREIGN_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 9_999);

/// Returns the change that lists a minion under an entry.
fn listed(entry: MinionEntry) -> MinionChange {
    MinionChange::Listed(Box::new(entry))
}

/// An instance with one minion and one run on it.
struct Fixture {
    engine: Engine,
    now: Moment,
    start: StartOrder,
    hold: HoldOrder,
}

impl Fixture {
    fn new() -> Self {
        let mut engine = Engine::new(member("entry-1", "marka"), 7);
        engine.change_minions(START, vec![listed(entry("m-1", "marka"))]);
        engine.set_members(START, 5, &[member("entry-1", "marka")]);
        let first = hold_of(engine.take_effects());
        answer_hold_from(&mut engine, START, &first, 1, Vec::new());
        let hold = hold_of(engine.take_effects());
        let long_step = Step { estimate_ms: 2 * LONG_MS, ..step(1, &[]) };
        let mut long = submission(1, vec![long_step]);
        long.timeout_ms = 4 * LONG_MS;
        engine.submit(START, long);
        let start = starts_of(engine.take_effects()).remove(0);
        let (key, token) = (start.target.minion, start.target.fencing_token);
        engine.start_answered(START, key, token, start.run, StartAnswer::Started);
        engine.take_effects();
        Self { engine, now: START, start, hold }
    }

    /// Passes time in which the minion answers each hold with its run, and returns all
    /// effects.
    fn pass(&mut self, for_ms: u64) -> Vec<Effect> {
        let mut all = Vec::new();
        for _ in 0..for_ms / ANSWER_INTERVAL_MS {
            self.now = self.now + ANSWER_INTERVAL_MS;
            let runs: Vec<ActiveRun> = vec![active(self.start.run, 50)];
            answer_hold_from(&mut self.engine, self.now, &self.hold, 1, runs);
            self.engine.tick(self.now);
            let effects = self.engine.take_effects();
            if let Some(Effect::Hold(hold)) =
                effects.iter().find(|it| matches!(it, Effect::Hold(_)))
            {
                self.hold = hold.clone();
            }
            all.extend(effects);
        }
        all
    }

    /// Submits another job, and returns the starts that follow.
    fn submit_other(&mut self) -> Vec<StartOrder> {
        let mut other = submission(2, vec![step(1, &[])]);
        other.job.id = "00000000000000bb".parse().unwrap();
        other.timeout_ms = 2 * LONG_MS;
        self.engine.submit(self.now, other);
        starts_of(self.engine.take_effects())
    }
}

/// An entry of another writer for the minion of the run.
fn foreign(change: fn(&mut MinionEntry)) -> MinionChange {
    let mut entry = entry("m-1", "marka");
    change(&mut entry);
    listed(entry)
}

/// Guards against runs that are given up, or calls that go to another process, because
/// another writer has replaced the entry of a minion that is alive.
#[parameterized(
    unreadable = { MinionChange::Invalid("m-1".into()) },
    other_address = { foreign(|entry| entry.address = FOREIGN_ADDRESS) },
    other_service = { foreign(|entry| entry.service = "other".into()) },
    no_start_time = { foreign(|entry| {
        entry.incarnation = 0;
        entry.address = FOREIGN_ADDRESS;
    }) },
)]
fn a_live_minion_keeps_its_runs_and_gets_no_others(change: MinionChange) {
    let mut fixture = Fixture::new();
    let address = fixture.start.target.address;
    fixture.engine.change_minions(fixture.now, vec![change]);
    let effects = fixture.pass(LONG_MS);
    let holds: Vec<&HoldOrder> = effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::Hold(order) => Some(order),
            _ => None,
        })
        .collect();
    let renewals = holds.iter().filter(|hold| hold.lease_until_ms.is_some()).count();
    assert_eq!(renewals, (LONG_MS / ANSWER_INTERVAL_MS) as usize, "leases lapse");
    assert!(holds.iter().all(|hold| hold.target.address == address));
    let given_up = effects.iter().any(|it| matches!(it, Effect::Stop(_)));
    assert!(!given_up, "the run is stopped");
    assert!(starts_of(effects).is_empty(), "the task is started again");
    assert!(fixture.submit_other().is_empty(), "an invalid entry gets new work");
    // The process writes its entry again.
    fixture.engine.change_minions(fixture.now, vec![listed(entry("m-1", "marka"))]);
    let starts = starts_of(fixture.pass(ANSWER_INTERVAL_MS));
    assert_eq!(starts.len(), 1, "the next valid entry does not restore the minion");
}

/// Guards against a task that waits forever for a minion that has crashed just before
/// another writer has replaced its entry, so that nobody deletes it.
#[test]
fn a_silent_minion_with_an_invalid_entry_is_dropped() {
    let mut fixture = Fixture::new();
    fixture.engine.change_minions(fixture.now, vec![MinionChange::Invalid("m-1".into())]);
    for _ in 0..LONG_MS / ANSWER_INTERVAL_MS {
        fixture.now = fixture.now + ANSWER_INTERVAL_MS;
        let (key, number) = (fixture.hold.target.minion, fixture.hold.number);
        fixture.engine.hold_answered(fixture.now, key, number, HoldAnswer::Lost);
        fixture.engine.tick(fixture.now);
        for effect in fixture.engine.take_effects() {
            if let Effect::Hold(hold) = effect {
                fixture.hold = hold;
            }
        }
    }
    assert!(fixture.engine.listed_minions().is_empty());
    fixture.engine.change_minions(fixture.now, vec![listed(entry("m-2", "marka"))]);
    let hold = hold_of(fixture.engine.take_effects());
    answer_hold_from(&mut fixture.engine, fixture.now, &hold, 1, Vec::new());
    let starts = starts_of(fixture.engine.take_effects());
    assert_eq!(starts.len(), 1, "the task is not started elsewhere");
    assert_eq!(starts[0].run.task, fixture.start.run.task);
}

/// Guards against an end that is lost because the entry of its minion is invalid.
#[test]
fn an_end_on_a_minion_with_an_invalid_entry_counts() {
    let mut fixture = Fixture::new();
    fixture.engine.change_minions(fixture.now, vec![MinionChange::Invalid("m-1".into())]);
    let reply = bamboocart_jobs::HoldReply {
        ended: vec![ended(1, fixture.start.run, RunEnd::Done)],
        ..Default::default()
    };
    answer_hold(&mut fixture.engine, fixture.now, &fixture.hold, reply);
    let answers = support::answers_of(fixture.engine.take_effects());
    assert_eq!(answers.len(), 1, "the client gets no answer");
}

/// Guards against an entry of another writer that is known first and keeps the entry of the
/// process out for good.
#[test]
fn an_unconfirmed_entry_gives_way_to_the_next() {
    let mut engine = Engine::new(member("entry-1", "marka"), 7);
    engine.change_minions(START, vec![foreign(|it| it.address = FOREIGN_ADDRESS)]);
    engine.set_members(START, 5, &[member("entry-1", "marka")]);
    let lost = hold_of(engine.take_effects());
    engine.change_minions(START, vec![listed(entry("m-1", "marka"))]);
    engine.hold_answered(START, lost.target.minion, lost.number, HoldAnswer::Lost);
    let hold = hold_of(engine.take_effects());
    assert_eq!(hold.target.address, entry("m-1", "marka").address);
}
