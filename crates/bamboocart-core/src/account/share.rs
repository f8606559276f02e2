//! The waiting tasks of one queue, and what each customer has had of it.

use std::collections::{BTreeMap, HashMap};

use super::entry::{SchedulingParams, StartReason};
use super::fault::Fault;
use super::floor::{FloorCredit, Floors, Taken};
use crate::id::{ConfigVersion, CustomerName, SubmissionId};

/// The parts of a microsecond per unit of weight that shares are counted in, so that
/// rounding does not add up.
const SHARE_SCALE: u128 = 1 << 20;

/// One queue.
#[derive(Debug, Default)]
pub(super) struct Queue {
    /// The arrival number of the last admission.
    pub(super) last_arrival: Option<u64>,
    /// The customers of each rank.
    pub(super) ranks: BTreeMap<u8, Rank>,
    /// Whether a send was lost or failed, so that tasks may wait for a retry unseen.
    pub(super) may_retry: bool,
}

/// The customers of one rank.
#[derive(Debug, Default)]
pub(super) struct Rank {
    /// The tag of the latest start.
    pub(super) latest_tag: u128,
    /// The customers.
    pub(super) shares: HashMap<CustomerName, Share>,
    /// What the floor still allows.
    floor: FloorCredit,
}

impl Rank {
    /// Returns whether a task waits.
    fn is_waiting(&self) -> bool {
        self.shares.values().any(|share| !share.waiting.is_empty())
    }
}

/// What one customer has had and what waits.
#[derive(Debug, Default)]
pub(super) struct Share {
    /// The cost over weight of its starts.
    pub(super) tag: u128,
    /// The largest cost over weight of one of its tasks.
    pub(super) largest: u128,
    /// The number of waiting tasks of each arrival.
    pub(super) waiting: BTreeMap<u64, u32>,
}

impl Share {
    /// Removes one waiting task.
    pub(super) fn remove(&mut self, arrival: u64) {
        if let Some(count) = self.waiting.get_mut(&arrival) {
            *count -= 1;
            if *count == 0 {
                self.waiting.remove(&arrival);
            }
        }
    }
}

impl Queue {
    /// Returns the share that a claim belongs to.
    pub(super) fn share(
        &mut self,
        claim: &SchedulingParams,
        customer: &CustomerName,
    ) -> &mut Share {
        let rank = self.ranks.entry(claim.rank).or_default();
        rank.shares.entry(customer.clone()).or_default()
    }

    /// Adds a waiting task.
    pub(super) fn add(&mut self, claim: &SchedulingParams, customer: &CustomerName) {
        let rank = self.ranks.entry(claim.rank).or_default();
        let share = rank.shares.entry(customer.clone()).or_default();
        if share.waiting.is_empty() {
            share.tag = share.tag.max(rank.latest_tag);
        }
        *share.waiting.entry(claim.arrival).or_default() += 1;
    }

    /// Takes a task that is started, and charges its customer unless that was done.
    pub(super) fn take(
        &mut self,
        claim: &SchedulingParams,
        customer: &CustomerName,
        charge: bool,
    ) {
        let rank = self.ranks.entry(claim.rank).or_default();
        let share = rank.shares.entry(customer.clone()).or_default();
        share.remove(claim.arrival);
        if charge {
            rank.latest_tag = rank.latest_tag.max(share.tag);
            share.tag += scaled_cost(claim);
        }
    }

    /// Counts a start for the floors of the ranks that wait.
    ///
    /// The queue counts starts only while another rank waits as well. This counts more of
    /// them, since tasks that wait for a retry are not seen, and accuses no honest queue.
    pub(super) fn count_start(
        &mut self,
        floors: &Floors,
        version: Option<ConfigVersion>,
        complete: bool,
    ) {
        for (&number, rank) in &mut self.ranks {
            rank.floor.follow(floors.percent(version, number), complete);
            if self.may_retry || rank.is_waiting() {
                rank.floor.count();
            }
        }
    }

    /// Takes a start by the floor of a rank.
    pub(super) fn take_floor(&mut self, rank: u8) -> Taken {
        self.ranks.entry(rank).or_default().floor.take()
    }

    /// Returns the fault if another waiting task should have been started.
    ///
    /// A start by a floor may pass over better ranks, but nothing of its own rank.
    pub(super) fn better_claim(
        &self,
        submission: &SubmissionId,
        customer: &CustomerName,
        claim: &SchedulingParams,
        (reason, tolerance): (StartReason, u32),
    ) -> Option<Fault> {
        let submission = submission.clone();
        let mut better_ranks = self.ranks.range(..claim.rank);
        let waiting_rank = better_ranks
            .find(|(_, rank)| reason != StartReason::Floor && rank.is_waiting());
        if let Some((&waiting_rank, _)) = waiting_rank {
            let rank = claim.rank;
            return Some(Fault::RankPassedOver { submission, rank, waiting_rank });
        }
        let shares = &self.ranks.get(&claim.rank)?.shares;
        let share = shares.get(customer)?;
        match share.waiting.first_key_value() {
            Some((&waiting_arrival, _)) if waiting_arrival < claim.arrival => {
                let arrival = claim.arrival;
                return Some(Fault::ArrivalPassedOver {
                    submission,
                    arrival,
                    waiting_arrival,
                });
            }
            _ => {}
        }
        let allowed = |other: &Share| {
            (share.largest + other.largest).saturating_mul(u128::from(tolerance))
        };
        let behind = |other: &Share| share.tag.saturating_sub(other.tag);
        let (waiting, other) = shares
            .iter()
            .filter(|(_, other)| !other.waiting.is_empty())
            .filter(|(_, other)| behind(other) > allowed(other))
            .max_by_key(|(_, other)| behind(other))?;
        Some(Fault::SharePassedOver {
            submission,
            customer: customer.clone(),
            waiting: waiting.clone(),
            behind_us: unscaled(behind(other)),
            tolerance_us: unscaled(allowed(other)),
        })
    }
}

/// Returns the cost over weight of one task of a claim.
pub(super) fn scaled_cost(claim: &SchedulingParams) -> u128 {
    u128::from(claim.cost_us) * SHARE_SCALE / u128::from(claim.weight.max(1))
}

/// Returns whole microseconds per unit of weight.
fn unscaled(scaled: u128) -> u64 {
    u64::try_from(scaled / SHARE_SCALE).unwrap_or(u64::MAX)
}
