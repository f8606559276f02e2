//! Calls to minions on separate connections, which overtake each other, and the time
//! limits of their callers.

use rand::Rng;

use super::{Order, Simulation};

/// The longest additional delay of most calls and answers.
const USUAL_DELAY_US: u64 = 3_000;

/// The shortest additional delay of the others.
const MIN_LONG_DELAY_US: u64 = 20_000;

/// The additional delays of calls to minions and of their answers.
#[derive(Debug, Copy, Clone)]
pub(super) struct CallDelays {
    /// The share of calls and of answers with a long delay.
    pub(super) long_share: f64,
    /// The longest delay.
    pub(super) max_us: u64,
}

impl Simulation<'_> {
    /// Draws the additional delay of a call or an answer.
    pub(super) fn draw_call_delay_us(&mut self) -> u64 {
        let Some(CallDelays { long_share, max_us }) = self.call_delays else { return 0 };
        if self.rng.random_bool(long_share) {
            self.rng.random_range(MIN_LONG_DELAY_US..=max_us.max(MIN_LONG_DELAY_US))
        } else {
            self.rng.random_range(0..USUAL_DELAY_US)
        }
    }
}

/// Returns how long the caller waits for the answer to an order.
pub(super) fn answer_timeout_us(order: &Order) -> u64 {
    let wait_ms = match order {
        Order::Start(order) => order.target.timeout_ms,
        Order::Stop(order) => order.target.timeout_ms,
        Order::Hold(order) => order.wait_ms + order.target.timeout_ms,
    };
    wait_ms * 1_000
}
