//! The waiting tasks of a queue, and the share of it that each customer has received.

use std::collections::{BTreeMap, HashMap};

use super::entry::{SchedulingParams, StartReason};
use super::fault::Fault;
use super::floor::{FloorCredit, FloorUse, Floors};
use crate::id::{ConfigVersion, CustomerName, SubmissionId};

/// The fixed-point scale of costs per unit of weight: the parts of a microsecond that are
/// counted, so that rounding errors do not accumulate.
const COST_SCALE: u128 = 1 << 20;

/// The state of one queue in the replay.
#[derive(Debug, Default)]
pub(super) struct Queue {
    /// The arrival number of the last admission.
    pub(super) last_arrival: Option<u64>,
    /// The customers of each rank.
    pub(super) ranks: BTreeMap<u8, Rank>,
    /// Whether an attempt was lost or failed, so that tasks may wait for a retry, which
    /// the account does not show.
    pub(super) may_retry: bool,
}

/// The customers of one rank.
#[derive(Debug, Default)]
pub(super) struct Rank {
    /// The highest start tag of a started task.
    pub(super) virtual_time: u128,
    pub(super) shares: HashMap<CustomerName, Share>,
    /// The credit of the rank's floor.
    floor: FloorCredit,
}

impl Rank {
    /// Returns whether a task of the rank waits.
    fn is_waiting(&self) -> bool {
        self.shares.values().any(|share| !share.waiting.is_empty())
    }
}

/// What one customer has received, and its waiting tasks.
#[derive(Debug, Default)]
pub(super) struct Share {
    /// The start tag of the customer's next task: its accumulated cost per unit of
    /// weight.
    pub(super) start_tag: u128,
    /// The largest cost per unit of weight of one of its tasks.
    pub(super) largest_cost: u128,
    /// The number of waiting tasks by arrival number.
    pub(super) waiting: BTreeMap<u64, u32>,
}

impl Share {
    /// Removes one waiting task.
    pub(super) fn remove_task(&mut self, arrival: u64) {
        if let Some(count) = self.waiting.get_mut(&arrival) {
            *count -= 1;
            if *count == 0 {
                self.waiting.remove(&arrival);
            }
        }
    }
}

impl Queue {
    /// Returns the share of a customer at the rank of an admission.
    pub(super) fn share(
        &mut self,
        params: &SchedulingParams,
        customer: &CustomerName,
    ) -> &mut Share {
        let rank = self.ranks.entry(params.rank).or_default();
        rank.shares.entry(customer.clone()).or_default()
    }

    /// Adds a waiting task.
    pub(super) fn add(&mut self, params: &SchedulingParams, customer: &CustomerName) {
        let rank = self.ranks.entry(params.rank).or_default();
        let share = rank.shares.entry(customer.clone()).or_default();
        if share.waiting.is_empty() {
            share.start_tag = share.start_tag.max(rank.virtual_time);
        }
        *share.waiting.entry(params.arrival).or_default() += 1;
    }

    /// Removes a task that is started, and charges its cost to the customer if `charge`
    /// is set.
    pub(super) fn start(
        &mut self,
        params: &SchedulingParams,
        customer: &CustomerName,
        charge: bool,
    ) {
        let rank = self.ranks.entry(params.rank).or_default();
        let share = rank.shares.entry(customer.clone()).or_default();
        share.remove_task(params.arrival);
        if charge {
            rank.virtual_time = rank.virtual_time.max(share.start_tag);
            share.start_tag += scaled_cost(params);
        }
    }

    /// Adds the credit for a start to the floors of all ranks with waiting tasks.
    ///
    /// The queue counts starts only while another rank waits as well. The replay counts
    /// more of them, because it does not see tasks that wait for a retry; a correct queue
    /// is therefore never reported.
    pub(super) fn count_start(
        &mut self,
        floors: &Floors,
        version: Option<ConfigVersion>,
        complete: bool,
    ) {
        for (&number, rank) in &mut self.ranks {
            rank.floor.set_percent(floors.percent(version, number), complete);
            if self.may_retry || rank.is_waiting() {
                rank.floor.add_credit();
            }
        }
    }

    /// Uses the floor of a rank for a start.
    pub(super) fn use_floor(&mut self, rank: u8) -> FloorUse {
        self.ranks.entry(rank).or_default().floor.use_start()
    }

    /// Returns a fault if another waiting task should have been started instead.
    ///
    /// A start by a floor may pass over better ranks, but must keep the order of its own.
    pub(super) fn passed_over(
        &self,
        submission: &SubmissionId,
        customer: &CustomerName,
        params: &SchedulingParams,
        (reason, tolerance): (StartReason, u32),
    ) -> Option<Fault> {
        let submission = submission.clone();
        let mut better_ranks = self.ranks.range(..params.rank);
        let waiting_rank = better_ranks
            .find(|(_, rank)| reason != StartReason::Floor && rank.is_waiting());
        if let Some((&waiting_rank, _)) = waiting_rank {
            let rank = params.rank;
            return Some(Fault::RankPassedOver { submission, rank, waiting_rank });
        }
        let shares = &self.ranks.get(&params.rank)?.shares;
        let share = shares.get(customer)?;
        match share.waiting.first_key_value() {
            Some((&waiting_arrival, _)) if waiting_arrival < params.arrival => {
                let arrival = params.arrival;
                return Some(Fault::ArrivalPassedOver {
                    submission,
                    arrival,
                    waiting_arrival,
                });
            }
            _ => {}
        }
        let allowed = |other: &Share| {
            (share.largest_cost + other.largest_cost)
                .saturating_mul(u128::from(tolerance))
        };
        let behind = |other: &Share| share.start_tag.saturating_sub(other.start_tag);
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

/// Returns the scaled cost per unit of weight of one task.
pub(super) fn scaled_cost(params: &SchedulingParams) -> u128 {
    u128::from(params.cost_us) * COST_SCALE / u128::from(params.weight.max(1))
}

/// Converts a scaled cost to whole microseconds per unit of weight.
fn unscaled(scaled: u128) -> u64 {
    u64::try_from(scaled / COST_SCALE).unwrap_or(u64::MAX)
}
