//! Leases of minions whose clocks run slow.

mod support;

use bamboocart_jobs::timing::LEASE_MS;
use bamboocart_jobs::{Effect, Engine, HoldAnswer, HoldOrder, HoldReply, Moment};
use support::{entry, hold_of, member};
use yare::parameterized;

/// How much slower than the local clock the minion's clock runs.
const DRIFT: f64 = 0.02;

/// Returns the reading of the minion's clock at `now`.
fn clock_ms(now: Moment) -> u64 {
    (now.0 as f64 * (1.0 - DRIFT)) as u64
}

/// Guards against leases that last too long because the drift of a slow clock between two
/// readings is lost to rounding. Runs of a lost instance outlasted the time after which
/// they count as gone.
#[parameterized(
    often = { 5 },
    each_tick = { 45 },
    seldom = { 250 },
)]
fn leases_end_in_time(interval_ms: u64) {
    let start = Moment(10_000);
    let mut engine = Engine::new(member("entry-1", "marka"), 7);
    engine.update_minions(start, vec![entry("m-1", "marka")]);
    engine.set_members(start, 1, &[member("entry-1", "marka")]);
    let mut order: HoldOrder = hold_of(engine.take_effects());
    let mut now = start;
    while now.since(start) < 60_000 {
        now = now + interval_ms;
        let reply =
            HoldReply { incarnation: 1, clock_ms: clock_ms(now), ..HoldReply::default() };
        let (minion, number) = (order.target.minion, order.number);
        engine.hold_answered(now, minion, number, HoldAnswer::Reply(reply));
        let effects: Vec<Effect> = engine.take_effects();
        order = hold_of(effects);
        let granted_ms =
            order.lease_until_ms.expect("the clock is known") - clock_ms(now);
        assert!(granted_ms <= LEASE_MS, "{granted_ms} ms after {} ms", now.since(start));
    }
}
