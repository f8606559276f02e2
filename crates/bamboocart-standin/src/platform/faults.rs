//! The fault switches of the platform.

use std::collections::BTreeSet;
use std::sync::Mutex;

use bamboocart_core::time::Timestamp;
use serde::{Deserialize, Serialize};

/// The body of `POST /faults`; absent switches stay as they are.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultBody {
    /// Answers every call with 503 for this time in milliseconds; 0 ends it.
    pub down: Option<u64>,
    /// Answers no call for this time in milliseconds; 0 ends it.
    pub silent: Option<u64>,
    /// The delay of the answer to every call.
    pub slow_ms: Option<u64>,
    /// The number of next appends whose answers are dropped, though they take effect.
    pub drop_answers: Option<u64>,
    /// The number of next appends that take effect only after an additional `late_ms`.
    pub late_appends: Option<u64>,
    /// The additional time after which a late append takes effect.
    pub late_ms: Option<u64>,
    /// The only stream to whose appends `drop_answers` and `late_appends` apply; an empty
    /// name means all streams.
    pub only_stream: Option<String>,
    /// The stream whose next appends are held back before they take effect; an empty name
    /// means none. Setting it releases all appends that are held.
    pub hold_stream: Option<String>,
    /// The number of held appends that take effect now, the newest first.
    pub release_appends: Option<u64>,
    /// Stops updates of the published instance list while true.
    pub freeze_list: Option<bool>,
    /// The failure domains that are cut off: their calls get no answer.
    pub cut: Option<BTreeSet<String>>,
}

/// The fault switches of a running platform.
#[derive(Debug, Default)]
pub struct Faults {
    state: Mutex<State>,
}

/// The current values of the switches.
#[derive(Debug, Default)]
struct State {
    /// The end of the time in which calls get errors.
    down_until: Timestamp,
    /// The end of the time in which calls get no answers.
    silent_until: Timestamp,
    /// The delay of every answer.
    slow_ms: u64,
    /// The number of append answers still to be dropped.
    drop_answers: u64,
    /// The number of appends that still take effect late.
    late_appends: u64,
    /// The additional time after which they do.
    late_ms: u64,
    /// The only stream to which the faults of single appends apply; empty for all.
    only_stream: String,
    /// The failure domains that are cut off from the platform.
    cut: BTreeSet<String>,
}

impl State {
    /// Returns whether the faults of single appends apply to a stream.
    fn applies_to(&self, stream: &str) -> bool {
        self.only_stream.is_empty() || self.only_stream == stream
    }
}

/// How a call is treated under the current faults.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum FaultAction {
    /// The call is served as usual.
    Serve,
    /// The call is answered with 503.
    Error,
    /// The call gets no answer.
    Withhold,
}

impl Faults {
    /// Sets the switches that are present.
    pub fn set(&self, now: Timestamp, body: FaultBody) {
        let mut state = self.lock();
        let state = &mut *state;
        state.down_until = body.down.map_or(state.down_until, |ms| now.plus_ms(ms));
        state.silent_until = body.silent.map_or(state.silent_until, |ms| now.plus_ms(ms));
        state.slow_ms = body.slow_ms.unwrap_or(state.slow_ms);
        state.drop_answers = body.drop_answers.unwrap_or(state.drop_answers);
        state.late_appends = body.late_appends.unwrap_or(state.late_appends);
        state.late_ms = body.late_ms.unwrap_or(state.late_ms);
        if let Some(stream) = body.only_stream {
            state.only_stream = stream;
        }
        if let Some(cut) = body.cut {
            state.cut = cut;
        }
    }

    /// Returns how to treat a call from a failure domain, if the caller names one.
    pub fn action_for(&self, now: Timestamp, domain: Option<&str>) -> FaultAction {
        let state = self.lock();
        match domain {
            Some(domain) if state.cut.contains(domain) => FaultAction::Withhold,
            _ if now < state.silent_until => FaultAction::Withhold,
            _ if now < state.down_until => FaultAction::Error,
            _ => FaultAction::Serve,
        }
    }

    /// Returns the delay of every answer.
    pub fn slow_ms(&self) -> u64 {
        self.lock().slow_ms
    }

    /// Returns whether to drop the answer to an append to a stream, and uses up one of
    /// the pending drops if so.
    pub fn take_answer_drop(&self, stream: &str) -> bool {
        let mut state = self.lock();
        let dropped = state.drop_answers > 0 && state.applies_to(stream);
        state.drop_answers -= u64::from(dropped);
        dropped
    }

    /// Returns the additional time after which an append to a stream takes effect, and
    /// uses up one of the pending late appends if there is any.
    pub fn take_append_delay_ms(&self, stream: &str) -> u64 {
        let mut state = self.lock();
        let late = state.late_appends > 0 && state.applies_to(stream);
        state.late_appends -= u64::from(late);
        if late { state.late_ms } else { 0 }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}
