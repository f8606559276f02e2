//! Event loops that get too little processor time.

use bamboocart_jobs::{Member, PeerKey};
use log::debug;
use rand::Rng;

use super::{Event, Input, Simulation};
use crate::trace::{self, Source};

/// The shortest stall of an event loop.
const MIN_STALL_US: u64 = 20_000;

/// The number of waiting inputs that doubles the probability of a stall.
const INPUTS_PER_DOUBLING: usize = 8;

/// The largest factor by which waiting inputs raise the probability of a stall.
const MAX_LOAD_FACTOR: usize = 4;

/// The processor time that the event loop of an instance gets.
#[derive(Debug, Copy, Clone)]
pub(super) struct LoopPace {
    /// The probability of a stall before an input while no further inputs wait.
    pub(super) stall_share: f64,
    /// The longest stall.
    pub(super) max_stall_us: u64,
    /// The factor on the time that each input takes.
    pub(super) cost_factor: u64,
    /// The end of the present or last stall.
    pub(super) stalled_until_us: u64,
}

impl Default for LoopPace {
    fn default() -> Self {
        Self { stall_share: 0.0, max_stall_us: 0, cost_factor: 1, stalled_until_us: 0 }
    }
}

impl Simulation<'_> {
    /// Returns whether an instance handles no input at present, although it is up.
    pub(super) fn is_unresponsive(&self, instance: usize) -> bool {
        let entry = &self.instances[instance];
        entry.paused || self.now_us < entry.pace.stalled_until_us
    }

    /// Returns whether the event loop of an instance stalls before its next input.
    ///
    /// A stall begins at random, more often the more inputs wait, and ends after a drawn
    /// time, after which the inputs are handled in their order.
    pub(super) fn stalls(&mut self, instance: usize) -> bool {
        let entry = &self.instances[instance];
        let pace = entry.pace;
        if self.now_us < pace.stalled_until_us {
            return true;
        }
        let load_factor =
            (1 + entry.inbox.len() / INPUTS_PER_DOUBLING).min(MAX_LOAD_FACTOR);
        let share = (pace.stall_share * load_factor as f64).min(1.0);
        if share <= 0.0 || entry.inbox.is_empty() || !self.rng.random_bool(share) {
            return false;
        }
        let longest_us = pace.max_stall_us.max(MIN_STALL_US);
        let stall_us = self.rng.random_range(MIN_STALL_US..=longest_us);
        self.instances[instance].pace.stalled_until_us = self.now_us + stall_us;
        trace::set_context(self.now_us, Source::Instance(instance));
        debug!(stall_ms = stall_us / 1_000; "event loop stalls");
        self.schedule(stall_us, Event::ProcessInput(instance));
        true
    }

    /// Tells an instance the members of the group, after the inputs that wait if it is
    /// unresponsive.
    pub(super) fn update_members(
        &mut self,
        instance: usize,
        incarnation: u64,
        generation: u64,
        members: Vec<Member>,
    ) {
        let entry = &self.instances[instance];
        if !entry.up || entry.incarnation != incarnation {
            return;
        }
        if self.is_unresponsive(instance) {
            let input = Input::Members(generation, members);
            return self.deliver(instance, incarnation, input);
        }
        let now = self.steady_clock(instance);
        trace::set_context(self.now_us, Source::Instance(instance));
        self.instances[instance].engine.set_members(now, generation, &members);
        self.process_effects(instance);
    }

    /// Closes a link, of which only the engine at this end learns, after the inputs that
    /// wait if it is unresponsive.
    pub(super) fn lose_link(&mut self, instance: usize, peer: PeerKey) {
        if let Some(other) = self.instances[instance].links.remove(&peer) {
            trace::set_context(self.now_us, Source::Instance(instance));
            debug!(to:% = Source::Instance(other); "link lost");
        }
        if self.is_unresponsive(instance) {
            let incarnation = self.instances[instance].incarnation;
            return self.deliver(instance, incarnation, Input::LinkLost(peer));
        }
        let now = self.steady_clock(instance);
        self.instances[instance].engine.link_lost(now, peer);
    }
}
