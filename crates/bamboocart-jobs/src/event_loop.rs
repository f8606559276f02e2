//! The delay of the event loop that drives the engine.

use crate::time::Moment;
use crate::timing::OWNER_SILENCE_MS;

/// The longest time between two ticks of a timely event loop.
pub(crate) const TICK_MS: u64 = 100;

/// When the event loop has ticked.
///
/// A process that is suspended or gets no processor time handles all events late, among
/// them that a client's connection has broken. By the time of a tick, the events from
/// before the tick that preceded it have been handled.
#[derive(Debug, Default)]
pub(crate) struct EventLoop {
    /// The time of the last tick.
    last_tick: Option<Moment>,
    /// The time of the tick before it.
    previous_tick: Option<Moment>,
}

impl EventLoop {
    /// Records a tick, and returns how late it is, in milliseconds.
    pub(crate) fn tick(&mut self, now: Moment) -> u64 {
        self.previous_tick = self.last_tick.replace(now);
        let interval_ms = self.previous_tick.map_or(0, |previous| now.since(previous));
        interval_ms.saturating_sub(TICK_MS)
    }

    /// Returns whether an event of more than [`OWNER_SILENCE_MS`] ago may not have been
    /// handled yet. An event loop that has never ticked counts as timely.
    pub(crate) fn is_late(&self, now: Moment) -> bool {
        self.previous_tick.is_some_and(|tick| now.since(tick) > OWNER_SILENCE_MS)
    }
}
