//! Timeouts of calls to a minion, which follow the measured round trip.
//!
//! The load pattern is a link whose queue has grown, because of a burst or because the link
//! is narrow: an answer that takes longer than a constant timeout looks like a lost one, and
//! the repeated calls and new connections that follow fill the link further.

use crate::timing::{
    HOLD_TIMEOUT_MS, MAX_HOLD_TIMEOUT_MS, MAX_ORDER_TIMEOUT_MS, ORDER_TIMEOUT_MS,
};

/// Weight of a sample in the smoothed round trip, as in RFC 6298.
const SMOOTHING: f64 = 1.0 / 8.0;

/// Weight of a sample in the variation, as in RFC 6298.
const VARIATION_SMOOTHING: f64 = 1.0 / 4.0;

/// Number of variations by which a timeout exceeds the smoothed round trip.
const VARIATIONS: f64 = 4.0;

/// Maximum number of doublings, which keeps the shift in range; the upper bounds are
/// reached earlier.
const MAX_DOUBLINGS: u32 = 4;

/// An estimate of the round trip to a minion.
///
/// Every answer is matched to its call, so an answer to a repeated call is a sample as good
/// as any.
#[derive(Debug, Default, Copy, Clone)]
pub(crate) struct RoundTrip {
    /// The smoothed round trip and its variation in milliseconds, once there is a sample.
    estimate: Option<Estimate>,
    /// The number of calls in a row that were not answered in time.
    timeouts: u32,
}

/// The state of the estimator after the first sample.
#[derive(Debug, Copy, Clone)]
struct Estimate {
    smoothed_ms: f64,
    variation_ms: f64,
}

impl RoundTrip {
    /// Records the time between a call and its answer.
    pub(crate) fn observe(&mut self, sample_ms: u64) {
        let sample_ms = sample_ms as f64;
        self.timeouts = 0;
        self.estimate = Some(match self.estimate {
            None => Estimate { smoothed_ms: sample_ms, variation_ms: sample_ms / 2.0 },
            Some(Estimate { smoothed_ms, variation_ms }) => {
                let error_ms = sample_ms - smoothed_ms;
                Estimate {
                    smoothed_ms: smoothed_ms + SMOOTHING * error_ms,
                    variation_ms: variation_ms
                        + VARIATION_SMOOTHING * (error_ms.abs() - variation_ms),
                }
            }
        });
    }

    /// Records a call that was not answered in time.
    ///
    /// A single one may be lost, and its repeat is to be noticed as soon if it is lost too.
    /// From the second in a row on, the timeouts double.
    pub(crate) fn note_timeout(&mut self) {
        self.timeouts = (self.timeouts + 1).min(MAX_DOUBLINGS);
    }

    /// Returns the timeout of a start or a stop, in milliseconds.
    pub(crate) fn order_timeout_ms(&self) -> u64 {
        let doublings = self.timeouts.saturating_sub(1);
        let timeout_ms = self.expected_ms().max(ORDER_TIMEOUT_MS) << doublings;
        timeout_ms.min(MAX_ORDER_TIMEOUT_MS)
    }

    /// Returns the timeout of a hold beyond its wait, in milliseconds. It is not doubled:
    /// the lease limits it.
    pub(crate) fn hold_timeout_ms(&self) -> u64 {
        self.expected_ms().clamp(HOLD_TIMEOUT_MS, MAX_HOLD_TIMEOUT_MS)
    }

    /// Returns the smoothed round trip, or 0 before the first sample, in milliseconds.
    pub(crate) fn smoothed_ms(&self) -> f64 {
        self.estimate.map_or(0.0, |estimate| estimate.smoothed_ms)
    }

    /// Returns the time within which nearly all answers arrive, in milliseconds.
    fn expected_ms(&self) -> u64 {
        let Some(Estimate { smoothed_ms, variation_ms }) = self.estimate else {
            return 0;
        };
        (smoothed_ms + VARIATIONS * variation_ms).ceil() as u64
    }
}
