//! Placement of tasks of queues whose policy allows only some minions.

mod support;

use std::sync::Arc;

use bamboocart_jobs::{
    AdviceAnswer, AdviceOrder, AdviceRules, Effect, Engine, HoldReply, Moment, Queue,
    StartOrder, Submission,
};
use support::{answer_hold, entry, hold_of, member, starts_of, step, submission};

const VALIDITY_MS: u64 = 1_000;

/// An instance that holds three minions with two slots each.
struct Fixture {
    engine: Engine,
    now: Moment,
}

impl Fixture {
    fn new() -> Self {
        let now = Moment(10_000);
        let mut engine = Engine::new(member("entry-1", "marka"), 7);
        let minions = ["m-1", "m-2", "m-3"].map(|id| entry(id, "marka"));
        engine.update_minions(now, minions.to_vec());
        engine.set_members(now, 1, &[member("entry-1", "marka")]);
        let effects = engine.take_effects();
        let holds = effects.into_iter().filter(|it| matches!(it, Effect::Hold(_)));
        for hold in holds.map(|hold| hold_of(vec![hold])) {
            answer_hold(&mut engine, now, &hold, HoldReply::default());
        }
        Self { engine, now }
    }

    /// Submits a job of `tasks` tasks, and returns the calls for advice and the starts.
    fn submit(&mut self, tasks: u16) -> (Vec<AdviceOrder>, Vec<StartOrder>) {
        let advice =
            AdviceRules { decision_ms: 20, per_minion_ms: 5, validity_ms: VALIDITY_MS };
        let queue = Queue { advice: Some(advice), ..support::queue() };
        let job = submission(1, vec![step(tasks, &[])]);
        let job = Submission { queue: Arc::new(queue), timeout_ms: 5_000, ..job };
        self.engine.submit(self.now, job);
        self.collect()
    }

    /// Answers a call for advice so that only `allowed` minions may run the step.
    fn advise(
        &mut self,
        order: &AdviceOrder,
        allowed: &[&str],
    ) -> (Vec<AdviceOrder>, Vec<StartOrder>) {
        let named = order.minions.iter().filter(|id| allowed.contains(&id.as_str()));
        let rows = named.map(|id| (id.clone(), format!("ticket of {id}").into()));
        let answer = AdviceAnswer::Allowed(rows.collect());
        self.engine.advice_answered(self.now, order.number, answer);
        self.collect()
    }

    fn collect(&mut self) -> (Vec<AdviceOrder>, Vec<StartOrder>) {
        let effects = self.engine.take_effects();
        let calls = effects.iter().filter_map(|effect| match effect {
            Effect::Advise(order) => Some(order.clone()),
            _ => None,
        });
        (calls.collect(), starts_of(effects))
    }
}

/// Guards against a start without a ticket, with the ticket of another minion, or on a
/// minion that the policy does not allow.
#[test]
fn only_allowed_minions_get_starts() {
    let mut fixture = Fixture::new();
    let (calls, starts) = fixture.submit(2);
    assert!(starts.is_empty(), "started without advice");
    assert_eq!(calls.len(), 1, "one call at a time: {calls:?}");
    assert_eq!(calls[0].takes_ms, 20 + 5 * calls[0].minions.len() as u64);
    let (_, starts) = fixture.advise(&calls[0], &["m-2"]);
    let tickets: Vec<_> =
        starts.iter().map(|it| (it.target.id.as_str(), it.ticket.as_deref())).collect();
    assert_eq!(tickets, [("m-2", Some("ticket of m-2")); 2]);
}

/// Guards against repeated calls about denied minions, whose verdict does not change, and
/// against a job that waits forever for free capacity on the allowed ones.
#[test]
fn denied_minions_are_not_named_again() {
    let mut fixture = Fixture::new();
    let (calls, _) = fixture.submit(4);
    let (again, starts) = fixture.advise(&calls[0], &["m-1"]);
    assert_eq!(starts.len(), 2, "the allowed minion has two slots");
    assert!(again.is_empty(), "all minions were named: {again:?}");
    fixture.now = fixture.now + VALIDITY_MS;
    fixture.engine.tick(fixture.now);
    let (later, _) = fixture.collect();
    let named: Vec<&str> =
        later.iter().flat_map(|it| &it.minions).map(|id| id.as_str()).collect();
    assert_eq!(named, ["m-1"], "only the expired ticket is asked for again");
}

/// Guards against a step that never gets advice because one call was lost.
#[test]
fn a_lost_call_is_made_again() {
    let mut fixture = Fixture::new();
    let (calls, _) = fixture.submit(1);
    let number = calls[0].number;
    fixture.engine.advice_answered(fixture.now, number, AdviceAnswer::Lost);
    fixture.now = fixture.now + 150;
    fixture.engine.tick(fixture.now);
    assert_eq!(fixture.collect().0.len(), 1);
}
