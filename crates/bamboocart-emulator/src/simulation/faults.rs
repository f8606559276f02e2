//! Fault injection: the start and the end of each fault.

use bamboocart_jobs::{EvacuationRequest, PeerKey};
use rand::Rng;
use rand::rngs::SmallRng;

use super::call_delays::CallDelays;
use super::{COLD_US, Event, MEMBER_TTL_US, Simulation};
use crate::fault::Fault;

impl Simulation<'_> {
    /// Starts a fault of the scenario, and schedules its end.
    pub(super) fn start_fault(&mut self, number: usize) {
        let fault = &self.scenario.faults[number];
        let mut affected = Vec::new();
        let mut length_ms = 0;
        match *fault {
            Fault::Kill { for_ms, count, .. }
            | Fault::KillSeries { for_ms, count, .. } => {
                affected = self.pick_instances(count);
                affected
                    .clone()
                    .into_iter()
                    .for_each(|instance| self.kill_instance(instance));
                self.schedule_group_change(MEMBER_TTL_US);
                length_ms = for_ms;
            }
            Fault::AddInstances { count, .. } => {
                for instance in self.pick_spare_instances(count) {
                    self.start_instance(instance);
                }
                self.schedule_group_change(20_000);
            }
            Fault::Pause { for_ms, count, .. } => {
                affected = self.pick_instances(count);
                affected
                    .iter()
                    .for_each(|&instance| self.instances[instance].paused = true);
                length_ms = for_ms;
            }
            Fault::StallingLoops { for_ms, count, share, max_ms, .. } => {
                affected = self.pick_instances(count);
                for &instance in &affected {
                    let pace = &mut self.instances[instance].pace;
                    (pace.stall_share, pace.max_stall_us) = (share, max_ms * 1_000);
                }
                length_ms = for_ms;
            }
            Fault::SlowLoops { for_ms, count, factor, .. } => {
                affected = self.pick_instances(count);
                for &instance in &affected {
                    self.instances[instance].pace.cost_factor = factor;
                }
                length_ms = for_ms;
            }
            Fault::PartitionDomain { for_ms, domain, .. } => {
                self.partitioned_domain = Some(domain);
                length_ms = for_ms;
            }
            Fault::CutBridge { for_ms, domain, other, .. } => {
                self.cut_bridge = Some((domain, other));
                length_ms = for_ms;
            }
            Fault::Evacuate { for_ms, domain, .. } => {
                self.request(domain, EvacuationRequest::Evacuate);
                length_ms = for_ms;
            }
            Fault::StoreUnavailable { for_ms, .. } => {
                self.store_available = false;
                length_ms = for_ms;
            }
            Fault::StoreRefuses { for_ms, count, .. } => {
                affected = self.pick_instances(count);
                self.set_refused(&affected, true);
                self.schedule_group_change(MEMBER_TTL_US);
                length_ms = for_ms;
            }
            Fault::LostAppendAnswers { for_ms, share, .. } => {
                self.lost_append_share = share;
                length_ms = for_ms;
            }
            Fault::BrokenConnections { share, .. } => self.break_connections(share),
            Fault::Rebalance { .. } => self.schedule_group_change(0),
            Fault::ResetLinks { .. } => self.reset_links(),
            Fault::SilentLinks { for_ms, .. } => {
                self.links_silent = true;
                length_ms = for_ms;
            }
            Fault::FullLinks { for_ms, share, .. } => {
                self.dropped_frame_share = share;
                length_ms = for_ms;
            }
            Fault::CrashMinions { for_ms, count, .. } => {
                affected = self.pick_minions(count);
                affected.iter().for_each(|&minion| self.crash_minion(minion));
                length_ms = for_ms;
            }
            Fault::RestartMinions { max_down_ms, count, .. } => {
                self.restart_minions(count, max_down_ms * 1_000);
            }
            Fault::SlowMinions { for_ms, count, factor, .. } => {
                affected = self.pick_minions(count);
                affected.iter().for_each(|&m| self.minions[m].slow_factor = factor);
                length_ms = for_ms;
            }
            Fault::HangingMinions { for_ms, count, .. } => {
                affected = self.pick_minions(count);
                affected.iter().for_each(|&m| self.minions[m].hangs = true);
                length_ms = for_ms;
            }
            Fault::FailingMinions { for_ms, count, .. } => {
                affected = self.pick_minions(count);
                affected.iter().for_each(|&m| self.minions[m].fails = true);
                length_ms = for_ms;
            }
            Fault::LateOrders { for_ms, share, .. } => {
                self.late_order_share = share;
                length_ms = for_ms;
            }
            Fault::LostAnswers { for_ms, share, .. } => {
                self.lost_answer_share = share;
                length_ms = for_ms;
            }
            Fault::DelayedCalls { for_ms, share, max_ms, .. } => {
                let max_us = max_ms * 1_000;
                self.call_delays = Some(CallDelays { long_share: share, max_us });
                length_ms = for_ms;
            }
            Fault::SheddingMinions { for_ms, count, share, .. } => {
                affected = self.pick_minions(count);
                affected.iter().for_each(|&m| self.minions[m].shed_share = share);
                length_ms = for_ms;
            }
            Fault::RejectingMinions { for_ms, count, share, ref answers, .. } => {
                affected = self.pick_minions(count);
                for &minion in &affected {
                    self.minions[minion].shed_share = share;
                    self.minions[minion].rejections.clone_from(answers);
                }
                length_ms = for_ms;
            }
            Fault::SlowLinks { for_ms, factor, .. } => {
                self.link_factor = factor;
                length_ms = for_ms;
            }
            Fault::Burst { for_ms, factor, .. } => {
                self.load_factor = factor;
                length_ms = for_ms;
            }
        }
        self.schedule(length_ms * 1_000, Event::FaultEnds(number, affected));
    }

    /// Sets whether the store turns some instances away.
    fn set_refused(&mut self, instances: &[usize], refused: bool) {
        for &instance in instances {
            self.instances[instance].refused_by_store = refused;
        }
    }

    /// Makes the minions of a failure domain cold: tasks that start there soon take longer.
    fn cool_minions(&mut self, domain: usize, factor: f64) {
        let cold_until_us = self.now_us + COLD_US;
        let minions = self.minions.iter_mut().filter(|minion| minion.domain == domain);
        for minion in minions.filter(|_| factor > 1.0) {
            (minion.cold_factor, minion.cold_until_us) = (factor, cold_until_us);
        }
    }

    /// Closes all links between instances.
    pub(super) fn reset_links(&mut self) {
        for instance in 0..self.instances.len() {
            if !self.instances[instance].up {
                continue;
            }
            let peers: Vec<PeerKey> =
                self.instances[instance].links.keys().copied().collect();
            peers.into_iter().for_each(|peer| self.lose_link(instance, peer));
            if !self.is_unresponsive(instance) {
                self.process_effects(instance);
            }
        }
    }

    /// Ends a fault for the instances or minions that it affected.
    pub(super) fn end_fault(&mut self, number: usize, affected: Vec<usize>) {
        match self.scenario.faults[number] {
            Fault::Kill { .. } | Fault::KillSeries { .. } => {
                affected.into_iter().for_each(|instance| self.start_instance(instance));
                self.schedule_group_change(20_000);
            }
            Fault::Pause { .. } => {
                for instance in affected {
                    self.instances[instance].paused = false;
                    self.schedule(0, Event::ProcessInput(instance));
                }
            }
            Fault::StallingLoops { .. } => {
                for instance in affected {
                    self.instances[instance].pace.stall_share = 0.0;
                }
            }
            Fault::SlowLoops { .. } => {
                for instance in affected {
                    self.instances[instance].pace.cost_factor = 1;
                }
            }
            Fault::PartitionDomain { .. } => self.partitioned_domain = None,
            Fault::CutBridge { .. } => self.cut_bridge = None,
            Fault::Evacuate { domain, cold_factor, .. } => {
                self.request(domain, EvacuationRequest::TakeBack);
                self.cool_minions(domain, cold_factor);
            }
            Fault::StoreUnavailable { .. } => {
                self.store_available = true;
                self.schedule_group_change(20_000);
            }
            Fault::StoreRefuses { .. } => {
                self.set_refused(&affected, false);
                self.schedule_group_change(20_000);
            }
            // Instances replace connections on which nothing arrived.
            Fault::SilentLinks { .. } => {
                self.links_silent = false;
                self.reset_links();
            }
            Fault::FullLinks { .. } => self.dropped_frame_share = 0.0,
            Fault::CrashMinions { .. } => {
                for minion in affected {
                    self.minions[minion].start_process(self.now_us);
                }
            }
            Fault::SlowMinions { .. } => {
                affected.iter().for_each(|&m| self.minions[m].slow_factor = 1.0);
            }
            Fault::HangingMinions { .. } => {
                affected.iter().for_each(|&m| self.minions[m].hangs = false);
            }
            Fault::FailingMinions { .. } => {
                affected.iter().for_each(|&m| self.minions[m].fails = false);
            }
            Fault::LateOrders { .. } => self.late_order_share = 0.0,
            Fault::LostAnswers { .. } => self.lost_answer_share = 0.0,
            Fault::DelayedCalls { .. } => self.call_delays = None,
            Fault::SheddingMinions { .. } => {
                affected.iter().for_each(|&m| self.minions[m].shed_share = 0.0);
            }
            Fault::RejectingMinions { .. } => {
                for minion in affected {
                    self.minions[minion].shed_share = 0.0;
                    self.minions[minion].rejections.clear();
                }
            }
            Fault::LostAppendAnswers { .. } => self.lost_append_share = 0.0,
            Fault::SlowLinks { .. } => self.link_factor = 1.0,
            Fault::Burst { .. } => self.load_factor = 1.0,
            Fault::Rebalance { .. }
            | Fault::ResetLinks { .. }
            | Fault::RestartMinions { .. }
            | Fault::AddInstances { .. }
            | Fault::BrokenConnections { .. } => {}
        }
    }

    /// Chooses instances at random among those that are up and not paused.
    pub(super) fn pick_instances(&mut self, count: usize) -> Vec<usize> {
        let up: Vec<usize> = (0..self.instances.len())
            .filter(|&instance| {
                self.instances[instance].up && !self.instances[instance].paused
            })
            .collect();
        pick(&mut self.rng, up, count)
    }

    /// Chooses instances at random among those that have never started.
    fn pick_spare_instances(&mut self, count: usize) -> Vec<usize> {
        let spare = (0..self.instances.len()).filter(|&it| self.instances[it].is_spare());
        let spare = spare.collect();
        pick(&mut self.rng, spare, count)
    }

    /// Chooses minions at random among those that are up.
    pub(super) fn pick_minions(&mut self, count: usize) -> Vec<usize> {
        let up = (0..self.minions.len()).filter(|&m| self.minions[m].up).collect();
        pick(&mut self.rng, up, count)
    }
}

/// Chooses up to `count` elements at random, without replacement.
fn pick(rng: &mut SmallRng, mut all: Vec<usize>, count: usize) -> Vec<usize> {
    let mut picked = Vec::new();
    while picked.len() < count && !all.is_empty() {
        picked.push(all.swap_remove(rng.random_range(0..all.len())));
    }
    picked
}
