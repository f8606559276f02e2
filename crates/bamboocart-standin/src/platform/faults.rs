//! The fault switches of the platform.

use std::collections::BTreeSet;
use std::sync::Mutex;

use bamboocart_core::time::Timestamp;
use serde::{Deserialize, Serialize};

/// The body of `POST /faults`: switches that are absent stay as they are.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultBody {
    /// Answers every call with 503 for this time; 0 ends it.
    pub down: Option<u64>,
    /// Answers no call for this time; 0 ends it.
    pub silent: Option<u64>,
    /// Delays the answer to every call.
    pub slow_ms: Option<u64>,
    /// Drops the answers to this many of the next appends, which take effect.
    pub drop_answers: Option<u64>,
    /// Lets this many of the next appends take effect late, after `late_ms`.
    pub late_appends: Option<u64>,
    /// The time after which a late append takes effect.
    pub late_ms: Option<u64>,
    /// The only stream whose appends `drop_answers` and `late_appends` concern; the empty
    /// name stands for all.
    pub only_stream: Option<String>,
    /// Stops updates to the published instance list.
    pub freeze_list: Option<bool>,
    /// The failure domains whose calls get no answer.
    pub cut: Option<BTreeSet<String>>,
}

/// The switches.
#[derive(Debug, Default)]
pub struct Faults {
    /// The state.
    state: Mutex<State>,
}

/// The state of the switches.
#[derive(Debug, Default)]
struct State {
    /// The end of the time with errors.
    down_until: Timestamp,
    /// The end of the time without answers.
    silent_until: Timestamp,
    /// The delay of every answer.
    slow_ms: u64,
    /// The number of append answers still to be dropped.
    drop_answers: u64,
    /// The number of appends that still take effect late.
    late_appends: u64,
    /// The time after which they do.
    late_ms: u64,
    /// The stream whose appends these two concern, or empty for all.
    only_stream: String,
    /// The failure domains that are cut off.
    cut: BTreeSet<String>,
}

impl State {
    /// Returns whether the faults of single appends concern a stream.
    fn concerns(&self, stream: &str) -> bool {
        self.only_stream.is_empty() || self.only_stream == stream
    }
}

/// What happens to a call because of a fault.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum Verdict {
    /// The call is served.
    Serve,
    /// The call is answered with an error.
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

    /// Decides what happens to a call from a failure domain.
    pub fn verdict(&self, now: Timestamp, domain: Option<&str>) -> Verdict {
        let state = self.lock();
        match domain {
            Some(domain) if state.cut.contains(domain) => Verdict::Withhold,
            _ if now < state.silent_until => Verdict::Withhold,
            _ if now < state.down_until => Verdict::Error,
            _ => Verdict::Serve,
        }
    }

    /// Returns the delay of every answer.
    pub fn slow_ms(&self) -> u64 {
        self.lock().slow_ms
    }

    /// Returns whether the answer to an append to a stream is dropped, and counts it.
    pub fn take_dropped_answer(&self, stream: &str) -> bool {
        let mut state = self.lock();
        let dropped = state.drop_answers > 0 && state.concerns(stream);
        state.drop_answers -= u64::from(dropped);
        dropped
    }

    /// Returns the time after which an append to a stream takes effect, and counts it.
    pub fn take_lateness_ms(&self, stream: &str) -> u64 {
        let mut state = self.lock();
        let late = state.late_appends > 0 && state.concerns(stream);
        state.late_appends -= u64::from(late);
        if late { state.late_ms } else { 0 }
    }

    /// Locks the state.
    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}
