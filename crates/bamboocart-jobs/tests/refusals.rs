//! Tests of which jobs are refused, and when refused clients are asked to retry.

mod support;

use std::collections::BTreeSet;

use bamboocart_jobs::{
    Answer, Effect, Engine, Moment, RequestKey, StartAnswer, Step, Submission,
};
use support::{
    answer_hold_from, answers_of, entry, hold_of, member, starts_of, step, submission,
};
use yare::parameterized;

const NOW: Moment = Moment(10_000);

/// Returns an instance without minions, on which every job waits.
fn engine(seed: u64) -> Engine {
    let mut engine = Engine::new(member("entry-1", "marka"), seed);
    engine.set_members(NOW, 1, &[member("entry-1", "marka")]);
    engine
}

/// Returns a request for a job whose id is derived from the request number.
fn numbered(request: u64, tasks: u16, estimate_ms: u64) -> Submission {
    let mut submission =
        submission(request, vec![Step { estimate_ms, ..step(tasks, &[]) }]);
    submission.job.id = format!("{request:016x}").parse().unwrap();
    submission
}

/// Guards against a stopping instance that refuses jobs that it could still run, or
/// accepts jobs that it cannot end in time: a job whose run took twice its estimate was
/// cut off at the end of the stop (LOST on trouble-2 of Amman).
#[parameterized(
    short = { 20, true },
    long = { 900, false },
    as_long_as_the_rest = { 200, false },
)]
fn a_stopping_instance_takes_short_jobs(estimate_ms: u64, taken: bool) {
    let mut engine = engine(1);
    engine.drain(NOW + 4_000);
    engine.submit(NOW, numbered(1, 1, estimate_ms));
    let answers = answers_of(engine.take_effects());
    let refused = answers.iter().any(|&(_, answer)| answer == Answer::Unavailable);
    assert_eq!(refused, !taken, "{answers:?}");
    engine.submit(NOW + 3_500, numbered(2, 1, estimate_ms));
    let answers = answers_of(engine.take_effects());
    assert!(answers.iter().any(|&(_, answer)| answer == Answer::Unavailable));
}

/// Returns the retry delays, in seconds, that the clients of refused jobs are given.
fn retry_delays(jobs: u64, tasks: u16) -> Vec<u64> {
    let mut engine = engine(7);
    for number in 0..jobs {
        engine.submit(NOW, numbered(number, tasks, 500));
    }
    engine.tick(NOW + 10_000);
    let delays: Vec<u64> = answers_of(engine.take_effects())
        .into_iter()
        .filter_map(|(_, answer)| match answer {
            Answer::Refused { retry_after_s } => Some(retry_after_s),
            _ => None,
        })
        .collect();
    assert_eq!(delays.len(), jobs as usize, "every job is refused");
    delays
}

/// Guards against clients of a burst that all get the same retry delay and return as the
/// next burst, and against retry delays that do not grow with the backlog.
#[test]
fn refused_clients_are_spread() {
    let few = retry_delays(1, 1);
    assert!(few.iter().all(|&delay| (1..=3).contains(&delay)), "{few:?}");
    let many = retry_delays(60, 2);
    let distinct: BTreeSet<u64> = many.iter().copied().collect();
    assert!(distinct.iter().all(|delay| (1..=12).contains(delay)), "{distinct:?}");
    assert!(distinct.len() > 3, "all come back after {distinct:?}");
    let longest = many.iter().max();
    assert!(longest > few.iter().max(), "{many:?} after {few:?}");
    let some = retry_delays(6, 1);
    let distinct: BTreeSet<u64> = some.iter().copied().collect();
    assert!(distinct.len() > 1, "all come back after {some:?}");
}

/// Guards against a stop that tells a client that its job has not run although a start was
/// ordered, or that leaves a request without an answer.
#[test]
fn the_end_of_a_stop_answers_truthfully() {
    let mut engine = engine(1);
    engine.update_minions(NOW, vec![entry("m-1", "marka")]);
    let hold = hold_of(engine.take_effects());
    answer_hold_from(&mut engine, NOW, &hold, 1, Vec::new());
    engine.submit(NOW, numbered(1, 2, 300));
    engine.submit(NOW, numbered(2, 1, 300));
    let starts = starts_of(engine.take_effects());
    assert_eq!(starts.len(), 2, "the first job fills the minion");
    for start in starts {
        let (key, token) = (start.target.minion, start.target.fencing_token);
        engine.start_answered(NOW, key, token, start.run, StartAnswer::Started);
    }
    engine.take_effects();
    engine.give_up_requests(NOW + 10);
    let effects = engine.take_effects();
    let stops = effects.iter().filter(|it| matches!(it, Effect::Stop(_))).count();
    assert_eq!(stops, 2, "runs of a job that was given up go on");
    let expected =
        [(RequestKey(1), Answer::GivenUp), (RequestKey(2), Answer::Unavailable)];
    let mut answers = answers_of(effects);
    answers.sort_by_key(|(request, _)| request.0);
    assert_eq!(answers, expected);
}
