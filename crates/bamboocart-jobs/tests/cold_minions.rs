//! Minions that are slow for a while after they have started.

mod support;

use bamboocart_jobs::{Engine, HoldOrder, Message, MinionChange, Moment, StartAnswer};
use support::{
    answer_hold, ended, engine_with_minions, entry, frame, hold_of, member, starts_of,
    step, submission,
};

/// The estimate of the run time of [`step`].
const ESTIMATE_MS: u64 = 300;

/// How many times longer tasks take on a cold minion.
const COLD_FACTOR: u64 = 3;

/// Runs a job of one task, which takes `run_ms`; returns the time of its end and the next
/// hold.
fn run_job(
    engine: &mut Engine,
    number: u64,
    now: Moment,
    hold: &HoldOrder,
    run_ms: u64,
) -> (Moment, HoldOrder) {
    let mut job = submission(number, vec![step(1, &[])]);
    job.job.id = format!("{number:016x}").parse().unwrap();
    job.timeout_ms = 10_000;
    engine.submit(now, job);
    let start = starts_of(engine.take_effects()).remove(0);
    let (key, token) = (start.target.minion, start.target.fencing_token);
    engine.start_answered(now, key, token, start.run, StartAnswer::Started);
    let end = now + run_ms;
    let reply = bamboocart_jobs::HoldReply {
        ended: vec![ended(number, start.run, bamboocart_jobs::RunEnd::Done)],
        ..Default::default()
    };
    answer_hold(engine, end, hold, reply);
    (end, hold_of(engine.take_effects()))
}

/// Returns the pace of the minion m-0 that the engine reports to a peer.
fn reported_pace(engine: &mut Engine, now: Moment) -> u32 {
    let peer = engine.peer(now, &member("entry-2", "sahab"));
    engine.link_opened(peer);
    engine.frame_arrived(now, peer, frame(now, Vec::new()));
    let frames = engine.take_frames(now + 200);
    let messages = frames.into_iter().flat_map(|(_, frame)| frame.messages);
    let report = messages.filter_map(|message| match message {
        Message::FreeCapacity(reports) => reports.into_iter().next(),
        _ => None,
    });
    report.last().expect("free capacity is reported").pace_permille
}

/// Guards against a minion that counts as slow for long because its first runs were, and
/// against a cold one that is taken for as fast as it will be.
#[test]
fn a_cold_start_is_learned_apart() {
    let mut now = support::site_start();
    let (mut engine, holds) = engine_with_minions(now, 1);
    let mut hold = holds[0].clone();
    let cold = MinionChange::ListedCold(Box::new(entry("m-0", "marka")), 60_000);
    engine.change_minions(now, vec![cold]);
    for number in 1..=6 {
        (now, hold) = run_job(&mut engine, number, now, &hold, COLD_FACTOR * ESTIMATE_MS);
    }
    let pace = reported_pace(&mut engine, now);
    assert!(pace > 2_500, "the cold minion is expected to be fast: {pace}");
    let warm = MinionChange::Listed(Box::new(entry("m-0", "marka")));
    engine.change_minions(now, vec![warm]);
    let pace = reported_pace(&mut engine, now + 300);
    assert_eq!(pace, 1_000, "the cold runs count for the warm minion");
}

/// Guards against a minion that stays cold because its entry is read again and again.
#[test]
fn an_entry_that_is_read_again_does_not_prolong_the_cold_start() {
    let mut now = support::site_start();
    let (mut engine, holds) = engine_with_minions(now, 1);
    let mut hold = holds[0].clone();
    let cold = MinionChange::ListedCold(Box::new(entry("m-0", "marka")), 2_000);
    for number in 1..=8 {
        engine.change_minions(now, vec![cold.clone()]);
        (now, hold) = run_job(&mut engine, number, now, &hold, ESTIMATE_MS);
    }
    // The first seven runs began cold, and the minion is warm since.
    let began = support::site_start() + 8 * ESTIMATE_MS;
    assert_eq!(now, began);
    (now, _) = run_job(&mut engine, 9, now, &hold, COLD_FACTOR * ESTIMATE_MS);
    let pace = reported_pace(&mut engine, now);
    assert!(pace > 1_000, "the run is taken for one of a cold minion: {pace}");
}
