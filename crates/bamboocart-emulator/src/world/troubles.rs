//! What goes wrong, and how it ends.

use bamboocart_jobs::PeerKey;
use rand::Rng;
use rand::rngs::SmallRng;

use super::{Event, MEMBER_TTL_US, World};
use crate::day::Trouble;

impl World<'_> {
    /// Lets something go wrong.
    pub(super) fn trouble(&mut self, number: usize) {
        let trouble = &self.day.troubles[number];
        let mut victims = Vec::new();
        let mut length_ms = 0;
        match *trouble {
            Trouble::Kill { for_ms, count, .. } => {
                victims = self.pick_nodes(count);
                victims.clone().into_iter().for_each(|node| self.kill_node(node));
                self.group_changed(MEMBER_TTL_US);
                length_ms = for_ms;
            }
            Trouble::Freeze { for_ms, count, .. } => {
                victims = self.pick_nodes(count);
                victims.iter().for_each(|&node| self.nodes[node].frozen = true);
                length_ms = for_ms;
            }
            Trouble::CutDomain { for_ms, domain, .. } => {
                self.cut_domain = Some(domain);
                length_ms = for_ms;
            }
            Trouble::StoreAway { for_ms, .. } => {
                self.store_up = false;
                length_ms = for_ms;
            }
            Trouble::LostAppends { for_ms, share, .. } => {
                self.lost_share = share;
                length_ms = for_ms;
            }
            Trouble::Rebalance { .. } => self.group_changed(0),
            Trouble::ResetLinks { .. } => self.reset_links(),
            Trouble::SilentLinks { for_ms, .. } => {
                self.links_silent = true;
                length_ms = for_ms;
            }
            Trouble::CrashMinions { for_ms, count, .. } => {
                victims = self.pick_minions(count);
                for &minion in &victims {
                    for run in self.minions[minion].crash() {
                        self.checks.ended(run, minion);
                    }
                    self.lose_holds(minion);
                }
                length_ms = for_ms;
            }
            Trouble::SlowMinions { for_ms, count, factor, .. } => {
                victims = self.pick_minions(count);
                victims.iter().for_each(|&m| self.minions[m].slow_factor = factor);
                length_ms = for_ms;
            }
            Trouble::HangingMinions { for_ms, count, .. } => {
                victims = self.pick_minions(count);
                victims.iter().for_each(|&m| self.minions[m].hangs = true);
                length_ms = for_ms;
            }
            Trouble::FailingMinions { for_ms, count, .. } => {
                victims = self.pick_minions(count);
                victims.iter().for_each(|&m| self.minions[m].fails = true);
                length_ms = for_ms;
            }
            Trouble::LateOrders { for_ms, share, .. } => {
                self.late_share = share;
                length_ms = for_ms;
            }
            Trouble::Burst { for_ms, factor, .. } => {
                self.burst = factor;
                length_ms = for_ms;
            }
        }
        self.schedule(length_ms * 1_000, Event::Relief(number, victims));
    }

    /// Loses all links.
    pub(super) fn reset_links(&mut self) {
        for node in 0..self.nodes.len() {
            let peers: Vec<PeerKey> = self.nodes[node].links.keys().copied().collect();
            peers.into_iter().for_each(|peer| self.lose_link(node, peer));
            self.after(node);
        }
    }

    /// Ends a trouble.
    pub(super) fn relief(&mut self, number: usize, victims: Vec<usize>) {
        match self.day.troubles[number] {
            Trouble::Kill { .. } => {
                victims.into_iter().for_each(|node| self.start_node(node));
                self.group_changed(20_000);
            }
            Trouble::Freeze { .. } => {
                for node in victims {
                    self.nodes[node].frozen = false;
                    self.schedule(0, Event::Work(node));
                }
            }
            Trouble::CutDomain { .. } => self.cut_domain = None,
            Trouble::StoreAway { .. } => {
                self.store_up = true;
                self.group_changed(20_000);
            }
            // The silent connections are replaced.
            Trouble::SilentLinks { .. } => {
                self.links_silent = false;
                self.reset_links();
            }
            Trouble::CrashMinions { .. } => {
                for minion in victims {
                    self.minions[minion].up = true;
                    self.minions[minion].born_us = self.now_us;
                }
            }
            Trouble::SlowMinions { .. } => {
                victims.iter().for_each(|&m| self.minions[m].slow_factor = 1.0);
            }
            Trouble::HangingMinions { .. } => {
                victims.iter().for_each(|&m| self.minions[m].hangs = false);
            }
            Trouble::FailingMinions { .. } => {
                victims.iter().for_each(|&m| self.minions[m].fails = false);
            }
            Trouble::LateOrders { .. } => self.late_share = 0.0,
            Trouble::LostAppends { .. } => self.lost_share = 0.0,
            Trouble::Burst { .. } => self.burst = 1.0,
            Trouble::Rebalance { .. } | Trouble::ResetLinks { .. } => {}
        }
    }

    /// Picks instances that are up.
    pub(super) fn pick_nodes(&mut self, count: usize) -> Vec<usize> {
        let up: Vec<usize> = (0..self.nodes.len())
            .filter(|&node| self.nodes[node].up && !self.nodes[node].frozen)
            .collect();
        pick(&mut self.rng, up, count)
    }

    /// Picks minions that are up.
    pub(super) fn pick_minions(&mut self, count: usize) -> Vec<usize> {
        let up = (0..self.minions.len()).filter(|&m| self.minions[m].up).collect();
        pick(&mut self.rng, up, count)
    }
}

/// Picks some of many.
fn pick(rng: &mut SmallRng, mut all: Vec<usize>, count: usize) -> Vec<usize> {
    let mut picked = Vec::new();
    while picked.len() < count && !all.is_empty() {
        picked.push(all.swap_remove(rng.random_range(0..all.len())));
    }
    picked
}
