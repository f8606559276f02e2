//! Tests that the runs of an owner that is gone end before their job is resubmitted.

use std::ops::Range;

use bamboocart_emulator::{Domain, Fault, Scenario, simulate};
use yare::parameterized;

/// A scenario in which instances are killed in series.
const KILL_SERIES: &str = include_str!("../days/kill-series.toml");

/// The number of minions in each failure domain.
const MINIONS: usize = 8;

/// The time from one kill of owners to the next. The runs of the first kill have ended by
/// then.
const CYCLE_MS: u64 = 5_000;

/// The delays from the kill of owners to the second fault. Other instances take over the
/// minions after 450 ms or more, and clients resubmit their jobs after 1,300 ms.
const DELAYS_MS: Range<u64> = 450..1_300;

/// The difference between the delays of two cycles.
const DELAY_STEP_MS: usize = 50;

/// How long the second fault lasts.
const SECOND_FAULT_MS: u64 = 1_500;

/// Kills of owners, each of which is followed by a second fault after a different delay.
struct Sweep {
    /// The number of instances in each failure domain.
    instances: &'static [usize],
    /// The number of instances that are killed; 0 if the second fault comes alone.
    killed: usize,
    /// How long they stay down, in milliseconds.
    down_ms: u64,
    /// Creates the second fault, which starts at the given time in milliseconds.
    second: fn(u64) -> Fault,
    /// The seeds, with each of which a task once ran twice.
    seeds: &'static [u64],
}

impl Sweep {
    /// Returns the scenario, with one cycle for each delay.
    fn scenario(&self) -> Scenario {
        let base = Scenario::parse(KILL_SERIES).unwrap();
        let domains =
            self.instances.iter().enumerate().map(|(number, &instances)| Domain {
                name: format!("domain-{number}"),
                instances,
                spare: 0,
                minions: MINIONS,
            });
        let starts_ms = (CYCLE_MS..).step_by(CYCLE_MS as usize);
        let cycles: Vec<(u64, u64)> =
            starts_ms.zip(DELAYS_MS.step_by(DELAY_STEP_MS)).collect();
        let faults = cycles.iter().flat_map(|&(at_ms, delay_ms)| {
            let kill = Fault::Kill { at_ms, for_ms: self.down_ms, count: self.killed };
            let kill = (self.killed > 0).then_some(kill);
            kill.into_iter().chain([(self.second)(at_ms + delay_ms)])
        });
        Scenario {
            length_ms: (cycles.len() as u64 + 1) * CYCLE_MS,
            domains: domains.collect(),
            faults: faults.collect(),
            ..base
        }
    }
}

/// Creates the kill of one instance.
fn kill(at_ms: u64) -> Fault {
    Fault::Kill { at_ms, for_ms: SECOND_FAULT_MS, count: 1 }
}

/// Creates a pause of one instance.
fn pause(at_ms: u64) -> Fault {
    Fault::Pause { at_ms, for_ms: SECOND_FAULT_MS, count: 1 }
}

/// Creates a partition of the first failure domain from the others.
fn partition(at_ms: u64) -> Fault {
    Fault::PartitionDomain { at_ms, for_ms: SECOND_FAULT_MS, domain: 0 }
}

/// Creates a handover of minions between instances.
fn rebalance(at_ms: u64) -> Fault {
    Fault::Rebalance { at_ms }
}

/// Creates a time in which 30 % of the orders to minions are late.
fn late_orders(at_ms: u64) -> Fault {
    Fault::LateOrders { at_ms, for_ms: SECOND_FAULT_MS, share: 0.3 }
}

/// Asserts that no invariant is violated with any of the seeds.
#[track_caller]
fn assert_rules_hold(scenario: &Scenario, seeds: &[u64]) {
    let mut violations = Vec::new();
    for &seed in seeds {
        let report = simulate(scenario, seed);
        assert!(report.runs > 0, "seed {seed}: nothing ran");
        violations
            .extend(report.violations.iter().map(|it| format!("seed {seed}: {it}")));
    }
    let count = violations.len();
    assert!(violations.is_empty(), "{count} violations:\n{}", violations.join("\n"));
}

/// Guards against leases that a new holder of a minion renews for runs that no owner has
/// claimed: if it fails before it stops them, they are active when their job is resent.
#[parameterized(
    two_domains_kill = { Sweep {
        instances: &[1, 1], killed: 2, down_ms: 300, second: kill, seeds: &[1, 2, 3],
    } },
    three_domains_kill = { Sweep {
        instances: &[1, 1, 1], killed: 3, down_ms: 300, second: kill, seeds: &[4, 7, 8],
    } },
    seven_instances_kill = { Sweep {
        instances: &[3, 3, 1], killed: 7, down_ms: 300, second: kill, seeds: &[1, 3],
    } },
    one_domain_kill = { Sweep {
        instances: &[2], killed: 2, down_ms: 300, second: kill, seeds: &[2, 3, 5],
    } },
    one_owner_then_kill = { Sweep {
        instances: &[1, 1], killed: 1, down_ms: 100, second: kill, seeds: &[10],
    } },
    one_owner_then_pause = { Sweep {
        instances: &[2], killed: 1, down_ms: 100, second: pause, seeds: &[7, 15],
    } },
    three_domains_pause = { Sweep {
        instances: &[1, 1, 1], killed: 3, down_ms: 100, second: pause, seeds: &[2, 3, 4],
    } },
    one_domain_pause = { Sweep {
        instances: &[3], killed: 3, down_ms: 300, second: pause, seeds: &[3, 7, 8],
    } },
    two_domains_partition = { Sweep {
        instances: &[1, 1], killed: 2, down_ms: 500, second: partition, seeds: &[2, 5],
    } },
    four_instances_partition = { Sweep {
        instances: &[2, 2], killed: 4, down_ms: 500, second: partition, seeds: &[5, 6],
    } },
    three_domains_partition = { Sweep {
        instances: &[1, 1, 1], killed: 3, down_ms: 300, second: partition,
        seeds: &[3, 12],
    } },
    one_domain_handover = { Sweep {
        instances: &[3], killed: 3, down_ms: 500, second: rebalance, seeds: &[16],
    } },
    four_instances_handover = { Sweep {
        instances: &[2, 2], killed: 4, down_ms: 500, second: rebalance, seeds: &[3, 13],
    } },
)]
fn adopted_runs_end_before_their_job_is_resent(sweep: Sweep) {
    assert_rules_hold(&sweep.scenario(), sweep.seeds);
}

/// Guards against the same leases when instances are killed in series, so that each new
/// holder adopts the runs that the one before has found.
#[test]
fn kills_in_series_start_no_second_run() {
    let scenario = Scenario::parse(KILL_SERIES).unwrap();
    assert_rules_hold(&scenario, &[1, 2, 3]);
}

/// Guards against leases that a holder renews for a run while it repeats the stop of that
/// run, because the first stop was lost. Without kills, the owner orders the stop at the
/// deadline of the client, which then resends the job.
#[parameterized(
    two_domains = { Sweep {
        instances: &[1, 1], killed: 2, down_ms: 100, second: late_orders, seeds: &[1, 2],
    } },
    three_domains = { Sweep {
        instances: &[1, 1, 1], killed: 3, down_ms: 300, second: late_orders,
        seeds: &[1, 2],
    } },
    one_domain = { Sweep {
        instances: &[3], killed: 3, down_ms: 100, second: late_orders, seeds: &[1, 2],
    } },
    four_instances = { Sweep {
        instances: &[2, 2], killed: 4, down_ms: 300, second: late_orders, seeds: &[1, 2],
    } },
    one_owner = { Sweep {
        instances: &[1, 1], killed: 1, down_ms: 300, second: late_orders, seeds: &[6],
    } },
    two_domains_without_kills = { Sweep {
        instances: &[1, 1], killed: 0, down_ms: 0, second: late_orders, seeds: &[71],
    } },
    four_instances_without_kills = { Sweep {
        instances: &[2, 2], killed: 0, down_ms: 0, second: late_orders, seeds: &[53],
    } },
)]
fn runs_end_although_their_stop_is_late(sweep: Sweep) {
    assert_rules_hold(&sweep.scenario(), sweep.seeds);
}
