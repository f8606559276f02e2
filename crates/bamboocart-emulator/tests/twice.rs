//! Tests that no task runs twice while event loops stall, minions restart and reject calls,
//! calls overtake each other, links drop frames, and connections of clients break.

use bamboocart_emulator::{Scenario, simulate};
use yare::parameterized;

/// Asserts that no invariant is violated with any of the seeds.
#[track_caller]
fn assert_rules_hold(scenario: &Scenario, seeds: &[u64]) {
    for &seed in seeds {
        let report = simulate(scenario, seed);
        assert!(report.runs > 0, "seed {seed}: nothing ran");
        assert!(report.violations.is_empty(), "seed {seed}: {report}");
    }
}

/// Guards against a second run of a task while the first one is active, for best-effort
/// jobs, chains and gangs.
#[parameterized(
    stalls = { include_str!("../days/stalls.toml"), &[1, 2, 3, 4, 5, 6] },
    client_resets = { include_str!("../days/client-resets.toml"), &[1, 2, 3, 4, 5, 6] },
    minion_restarts = { include_str!("../days/minion-restarts.toml"), &[1, 2, 3, 4] },
    overtaken_calls = { include_str!("../days/overtaken-calls.toml"), &[1, 2, 3, 4] },
    rejections = { include_str!("../days/rejections.toml"), &[1, 2, 3, 4, 5, 6] },
    closed_links = { include_str!("../days/closed-links.toml"), &[4, 28] },
    full_links = { include_str!("../days/full-links.toml"), &[20, 36] },
)]
fn best_effort_tasks_run_once(scenario: &str, seeds: &[u64]) {
    assert_rules_hold(&Scenario::parse(scenario).unwrap(), seeds);
}

/// Guards against the same, lost jobs, and starts after an end that was confirmed, with all
/// jobs stored.
#[parameterized(
    stalls = { include_str!("../days/stalls.toml"), &[1, 2, 3] },
    client_resets = { include_str!("../days/client-resets.toml"), &[1, 2, 3] },
    minion_restarts = { include_str!("../days/minion-restarts.toml"), &[1, 2, 3, 5, 12] },
    overtaken_calls = { include_str!("../days/overtaken-calls.toml"), &[1, 2, 3] },
    rejections = { include_str!("../days/rejections.toml"), &[1, 2, 3] },
    full_links = { include_str!("../days/full-links.toml"), &[1, 2, 3] },
)]
fn stored_tasks_run_once(scenario: &str, seeds: &[u64]) {
    let mut scenario = Scenario::parse(scenario).unwrap();
    scenario.kinds.iter_mut().for_each(|kind| kind.stored = true);
    assert_rules_hold(&scenario, seeds);
}

/// Guards against a start of a task whose end as done is being written to the log, because
/// its holder was said to have lost the run before it reported the end.
#[test]
fn tasks_with_unwritten_ends_are_not_started_again() {
    let scenario = include_str!("../days/unwritten-ends.toml");
    assert_rules_hold(&Scenario::parse(scenario).unwrap(), &[14, 16]);
}

/// Guards against a stored job that is shown as failed although no run of it has failed,
/// because minions answer its starts as malformed (LOST).
#[test]
fn malformed_orders_fail_no_job() {
    let scenario = include_str!("../days/malformed-orders.toml");
    assert_rules_hold(&Scenario::parse(scenario).unwrap(), &[201, 209]);
}

/// Guards against an owner that has waited for the runs of a shard and then starts tasks
/// that a later owner of the shard has written down as done.
#[test]
fn a_shard_is_not_opened_behind_a_later_owner() {
    let scenario = include_str!("../days/flapping-owners.toml");
    assert_rules_hold(&Scenario::parse(scenario).unwrap(), &[13]);
}

/// Guards against a second start of a task after its end was noted (TWICE): while the store
/// turned the owner of stored jobs away, or all instances, more ends waited on the minions
/// than these list.
///
/// With each of these seeds there was one.
#[parameterized(
    one_owner = { include_str!("../days/refused-owner.toml"), &[3, 4, 5, 10, 14, 15] },
    all_owners = { include_str!("../days/unrecorded-ends.toml"), &[3, 4, 5, 10, 11, 12] },
)]
fn ends_wait_for_the_store(scenario: &str, seeds: &[u64]) {
    assert_rules_hold(&Scenario::parse(scenario).unwrap(), seeds);
}

/// Guards against a second run of a task of a stored job (TWICE) while instances are added:
/// beside kills, an earlier holder's report replaced the present holder; while the store
/// turned an owner away, the added instance took its shards unseen.
///
/// With each of these seeds there was one.
#[parameterized(
    after_kills = { include_str!("../days/added-instances.toml"), &[3, 18, 23, 25, 31] },
    beside_an_unseen_owner = {
        include_str!("../days/unseen-owner.toml"),
        &[1, 3, 6, 9, 11, 12]
    },
)]
fn tasks_run_once_while_instances_are_added(scenario: &str, seeds: &[u64]) {
    assert_rules_hold(&Scenario::parse(scenario).unwrap(), seeds);
}
