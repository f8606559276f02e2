//! Start requests that get no answer.

mod support;

use bamboocart_jobs::{
    ActiveRun, Answer, Effect, EndedRun, Engine, HoldOrder, HoldReply, JobState, Moment,
    RequestKey, RunEnd, StartAnswer, StartOrder,
};
use support::{
    answer_hold, answers_of, entry, hold_of, member, starts_of, step, submission,
};
use yare::parameterized;

/// An instance with one minion and a task whose start is not answered.
struct Fixture {
    engine: Engine,
    now: Moment,
    start: StartOrder,
    hold: HoldOrder,
}

impl Fixture {
    fn new() -> Self {
        let now = Moment(10_000);
        let mut engine = Engine::new(member("entry-1", "marka"), 7);
        engine.update_minions(now, vec![entry("m-1", "marka")]);
        engine.set_members(now, 1, &[member("entry-1", "marka")]);
        let first = hold_of(engine.take_effects());
        answer_hold(&mut engine, now, &first, HoldReply::default());
        let hold = hold_of(engine.take_effects());
        engine.submit(now, submission(1, vec![step(1, &[])]));
        let start = starts_of(engine.take_effects()).remove(0);
        Self { engine, now: now + 120, start, hold }
    }

    /// Answers the start, and returns the resulting effects.
    fn answer(&mut self, answer: StartAnswer) -> Vec<Effect> {
        let target = &self.start.target;
        let (key, token) = (target.minion, target.fencing_token);
        self.engine.start_answered(self.now, key, token, self.start.run, answer);
        self.engine.take_effects()
    }

    /// Answers the hold with lists of runs, and returns the resulting effects.
    fn answer_hold_with(
        &mut self,
        active: Vec<ActiveRun>,
        ended: Vec<EndedRun>,
    ) -> Vec<Effect> {
        let reply = HoldReply { active, ended, ..HoldReply::default() };
        answer_hold(&mut self.engine, self.now, &self.hold, reply);
        self.engine.take_effects()
    }
}

/// Guards against a lost start that costs a stop and another placement although the same
/// run can be requested again, and against a start that is repeated forever.
#[test]
fn a_lost_start_is_sent_once_more() {
    let mut fixture = Fixture::new();
    let again = starts_of(fixture.answer(StartAnswer::Lost));
    assert_eq!(again.len(), 1);
    assert_eq!(again[0].run, fixture.start.run);
    assert!(again[0].lease_until_ms > fixture.start.lease_until_ms, "the lease is new");
    let effects = fixture.answer(StartAnswer::Lost);
    assert!(matches!(effects[..], [Effect::Stop(_)]), "{effects:?}");
}

/// Guards against a second run of a task whose first start request was carried out
/// although its answer was lost. The minion's list decides whether the run exists.
#[parameterized(
    it_ended = { vec![RunEnd::Done], Some(JobState::Completed) },
    it_is_gone = { vec![], None },
)]
fn the_list_tells_what_became_of_it(ends: Vec<RunEnd>, outcome: Option<JobState>) {
    let mut fixture = Fixture::new();
    let run = fixture.start.run;
    fixture.answer(StartAnswer::Lost);
    let effects = fixture.answer(StartAnswer::Outdated);
    assert!(
        starts_of(effects).is_empty(),
        "the task is started before the list is known"
    );
    // The hold was sent before the answer, so only the ends in its list count.
    fixture.now = fixture.now + 10;
    let ended = ends.into_iter().map(|end| support::ended(1, run, end)).collect();
    let effects = fixture.answer_hold_with(Vec::new(), ended);
    let expected = outcome.map(|it| (RequestKey(1), Answer::Ended(it)));
    assert_eq!(answers_of(effects.clone()), Vec::from_iter(expected));
    if outcome.is_none() {
        fixture.hold = hold_of(effects);
        let effects = fixture.answer_hold_with(Vec::new(), Vec::new());
        let started = starts_of(effects);
        assert!(started.iter().all(|start| start.run != run), "{started:?}");
    }
}

/// Guards against a minion that gets no work for a while because one answer was lost
/// although a hold has listed the run.
#[test]
fn a_listed_run_needs_no_answer() {
    let mut fixture = Fixture::new();
    let active = vec![support::active(fixture.start.run, 10)];
    fixture.answer_hold_with(active, Vec::new());
    assert!(starts_of(fixture.answer(StartAnswer::Lost)).is_empty(), "it is active");
    let other = "00000000000000bb".parse().unwrap();
    let mut second = submission(2, vec![step(1, &[])]);
    second.job.id = other;
    fixture.engine.submit(fixture.now, second);
    let started = starts_of(fixture.engine.take_effects());
    assert_eq!(started.len(), 1, "the minion has room for a second task");
}
