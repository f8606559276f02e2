//! Tests of the ideal schedule and of the recovery time of measurements.

use bamboocart_standin::measure::{Arrival, Response, SlotClass, recovery_ms, schedule};
use yare::parameterized;

/// Requests and slots with their ideal schedule.
struct Case {
    /// The arrival and the run time of each request in ms, and its priority rank.
    arrivals: &'static [(u64, u64, u8)],
    /// The speed of each slot.
    speeds: &'static [f64],
    /// The end of each request in ms; `None` if it misses its deadline.
    ended: &'static [Option<u64>],
}

/// The deadline of every request, counted from its arrival.
const DEADLINE_MS: u64 = 1_000;

/// Guards against an ideal schedule that is too fast or too slow, which would shift every
/// ratio of a measurement.
#[parameterized(
    fastest_slot_first = { Case {
        arrivals: &[(0, 100, 1), (0, 100, 1)],
        speeds: &[1.0, 2.0],
        ended: &[Some(50), Some(100)],
    } },
    waits_for_the_first_free_slot = { Case {
        arrivals: &[(0, 100, 1), (10, 100, 1)],
        speeds: &[1.0],
        ended: &[Some(100), Some(200)],
    } },
    higher_priority_overtakes = { Case {
        arrivals: &[(0, 100, 1), (10, 100, 1), (20, 100, 0)],
        speeds: &[1.0],
        ended: &[Some(100), Some(300), Some(200)],
    } },
    late_request_takes_no_slot = { Case {
        arrivals: &[(0, 600, 1), (1, 600, 1), (2, 300, 1)],
        speeds: &[1.0],
        ended: &[Some(600), None, Some(900)],
    } },
)]
fn ideal_schedule(case: Case) {
    let arrivals: Vec<Arrival> = case
        .arrivals
        .iter()
        .map(|&(due_ms, run_ms, rank)| Arrival {
            due_us: due_ms * 1_000,
            deadline_us: (due_ms + DEADLINE_MS) * 1_000,
            run_us: run_ms * 1_000,
            rank,
        })
        .collect();
    let slots: Vec<SlotClass> =
        case.speeds.iter().map(|&speed| SlotClass { speed, count: 1 }).collect();
    let ended: Vec<Option<u64>> =
        schedule(&arrivals, &slots).into_iter().map(|e| e.map(|us| us / 1_000)).collect();
    assert_eq!(ended, case.ended);
}

/// Guards against a recovery time for a system that never recovers, which occurs if
/// disturbance up to the end of the run counts as recovery.
#[parameterized(
    never_disturbed = { &[], Some(0) },
    failures_for_a_while = { &[(1_000, 1_900)], Some(1_000) },
    failures_until_the_end = { &[(1_000, 5_000)], None },
)]
fn time_to_full_service(failing_ms: &[(u64, u64)], expected_ms: Option<u64>) {
    let respond = |at_ms: u64| {
        let failing = failing_ms.iter().any(|&(from, to)| (from..to).contains(&at_ms));
        Response { due_us: at_ms * 1_000, ratio: (!failing).then_some(1.1) }
    };
    let responses: Vec<Response> = (0..5_000).step_by(10).map(respond).collect();
    assert_eq!(recovery_ms(&responses, 1_000_000), expected_ms);
}
