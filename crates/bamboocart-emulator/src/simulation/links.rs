//! The links of instances, which carry a limited rate in both directions together.

use bamboocart_jobs::{Frame, HoldReply};

use super::{Input, Order, Simulation};

/// The bytes of a packet's headers, with those of the frame layer of a stream.
const PACKET_BYTES: usize = 60;

/// The bytes of a start without its task description, with the head of the request.
const START_BYTES: usize = 400;

/// The bytes of a stop, with the head of the request.
const STOP_BYTES: usize = 260;

/// The bytes of a hold, with the head of the request.
const HOLD_BYTES: usize = 200;

/// The bytes of an answer, with its head, but for the rows of a list.
const ANSWER_BYTES: usize = 90;

/// The bytes of a row in the answer to a hold.
const ROW_BYTES: usize = 55;

/// The bytes of a submission without its task description, with the head of the request.
const SUBMISSION_BYTES: usize = 300;

/// The bytes per second of the list of minions that each instance reads, for each minion.
const LIST_BYTES_PER_MINION_S: f64 = 190.0;

/// The part of the rate that the list of minions leaves at least.
const MIN_RATE_SHARE: f64 = 0.05;

impl Simulation<'_> {
    /// Queues bytes on the link of an instance, and returns how long they take to cross it
    /// behind those that are queued already, in microseconds.
    pub(super) fn cross_link_us(&mut self, instance: usize, bytes: usize) -> u64 {
        let Some(links) = self.scenario.links else { return 0 };
        // A megabit per second is a bit per microsecond.
        let list_mbps =
            self.minions.len() as f64 * LIST_BYTES_PER_MINION_S * 8.0 / 1_000_000.0;
        let rate_mbps = links.rate_mbps * self.link_factor;
        let rate_mbps = (rate_mbps - list_mbps).max(rate_mbps * MIN_RATE_SHARE);
        let bytes = bytes + PACKET_BYTES;
        let took_us = (bytes as f64 * 8.0 / rate_mbps).ceil() as u64;
        self.report.link_bytes += bytes as u64;
        let entry = &mut self.instances[instance];
        entry.link_free_us = entry.link_free_us.max(self.now_us) + took_us;
        entry.link_free_us - self.now_us
    }

    /// Returns the size of the task description of a job.
    pub(super) fn spec_bytes(&self) -> usize {
        self.scenario.links.map_or(0, |links| links.spec_bytes)
    }

    /// Returns the size of a submission.
    pub(super) fn submission_bytes(&self) -> usize {
        SUBMISSION_BYTES + self.spec_bytes()
    }
}

/// Returns the encoded size of a frame.
pub(super) fn frame_bytes(frame: &Frame) -> usize {
    let encoded = bincode::serde::encode_to_vec(frame, bincode::config::standard());
    encoded.map_or(0, |bytes| bytes.len())
}

/// Returns the size of a call to a minion.
pub(super) fn call_bytes(order: &Order) -> usize {
    match order {
        Order::Start(order) => START_BYTES + order.spec.len(),
        Order::Stop(_) => STOP_BYTES,
        Order::Hold(_) => HOLD_BYTES,
    }
}

/// Returns the size of the answer to a call.
pub(super) fn answer_bytes(input: &Input) -> usize {
    let rows = match input {
        Input::HoldAnswered(_, _, bamboocart_jobs::HoldAnswer::Reply(reply)) => {
            let HoldReply { active, ended, .. } = reply;
            active.len() + ended.len()
        }
        _ => 0,
    };
    ANSWER_BYTES + rows * ROW_BYTES
}
