//! When an instance claims which key ranges.

use std::collections::BTreeMap;

use super::claims::{BACKDATE_MS, Claim, ClaimTable, KeyRange, RANGE_COUNT, RangeSet};
use super::{Horizon, Owner};
use crate::time::Timestamp;

/// The time after its start in which an instance does not claim abandoned ranges, which
/// leaves them to the instances that they are assigned to.
const STARTUP_WAIT_MS: u64 = 5_000;

/// The minimum time between two rounds of appends of one instance.
///
/// It gives the claims of the previous round time to be read back. Without it, an
/// instance would append the same claims repeatedly while the log is slow.
pub const APPEND_INTERVAL_MS: u64 = 5_000;

/// Decides when one incarnation appends which claims.
#[derive(Debug)]
pub struct Claimer {
    me: Owner,
    horizon: Horizon,
    appended_at: Option<Timestamp>,
}

impl Claimer {
    /// Creates the claimer of an incarnation that has appended nothing.
    pub fn new(me: Owner, horizon: Horizon) -> Self {
        Self { me, horizon, appended_at: None }
    }

    /// Returns the claims to append now, at most one per distinct start.
    ///
    /// `live` holds the instances that appear to be live and are not leaving. It only
    /// decides which instance tries; the log decides which one succeeds, so differing
    /// views cost a rejected record at worst. A claim is in force once it has been read
    /// back.
    pub fn due(
        &mut self,
        table: &ClaimTable,
        live: &[Owner],
        now: Timestamp,
    ) -> Vec<Claim> {
        let waiting =
            self.appended_at.is_some_and(|at| now.ms_since(at) < APPEND_INTERVAL_MS);
        if waiting {
            return vec![];
        }
        let claims = match table.can_verify() {
            true => self.due_claims(table, live, now),
            false => vec![self.claim(RangeSet::default(), 0, 0)],
        };
        if !claims.is_empty() {
            self.appended_at = Some(now);
        }
        claims
    }

    /// Returns the claims on the ranges that are due, grouped by their start.
    fn due_claims(
        &self,
        table: &ClaimTable,
        live: &[Owner],
        now: Timestamp,
    ) -> Vec<Claim> {
        let now_ms = now.as_ms();
        let ahead_ms = now_ms + self.horizon.ms();
        let until_ms = ahead_ms.next_multiple_of(self.horizon.grid_ms());
        let assigned = assign(table, &self.me, live);
        let mut by_start: BTreeMap<u64, RangeSet> = BTreeMap::new();
        for range in KeyRange::all() {
            let (holder, end_ms) = table.last_claim(range);
            let assigned_to_me = assigned[range.index()] == self.me;
            let held = holder == Some(&self.me);
            if self.is_due(held, assigned_to_me, end_ms, now_ms) {
                let from_ms = end_ms.max(now_ms.saturating_sub(BACKDATE_MS));
                by_start.entry(from_ms).or_default().insert(range);
            }
        }
        by_start
            .into_iter()
            .filter(|&(from_ms, _)| from_ms < until_ms)
            .map(|(from_ms, ranges)| self.claim(ranges, from_ms, until_ms))
            .collect()
    }

    /// Reports whether to claim a range whose last claim ends at `end_ms`.
    fn is_due(&self, held: bool, assigned_to_me: bool, end_ms: u64, now_ms: u64) -> bool {
        let left_ms = end_ms.saturating_sub(now_ms);
        let started_ms = Timestamp::from_us(self.me.incarnation.0).as_ms();
        match (held, assigned_to_me) {
            (true, true) => left_ms < self.horizon.renew_at_ms(),
            (true, false) => left_ms < self.horizon.keep_at_ms(),
            (false, true) => left_ms < self.horizon.take_over_at_ms(),
            (false, false) => {
                left_ms < self.horizon.abandoned_at_ms()
                    && now_ms >= started_ms + STARTUP_WAIT_MS
            }
        }
    }

    fn claim(&self, ranges: RangeSet, from_ms: u64, until_ms: u64) -> Claim {
        Claim {
            ranges,
            instance: self.me.instance.clone(),
            incarnation: self.me.incarnation,
            from_ms,
            until_ms,
        }
    }
}

/// Assigns the ranges evenly to the live instances with few reassignments.
///
/// Each holder keeps its ranges up to its share; the rest goes to the instances that hold
/// less than their share.
fn assign(table: &ClaimTable, me: &Owner, live: &[Owner]) -> Vec<Owner> {
    let mut held: BTreeMap<&Owner, usize> =
        live.iter().chain([me]).map(|owner| (owner, 0)).collect();
    for range in KeyRange::all() {
        if let (Some(holder), _) = table.last_claim(range) {
            held.entry(holder).and_modify(|count| *count += 1);
        }
    }
    let mut left = shares(&held);
    let mut assigned: Vec<Option<&Owner>> = KeyRange::all()
        .map(|range| {
            let (holder, _) = table.last_claim(range);
            holder.filter(|&holder| take_from_share(&mut left, holder))
        })
        .collect();
    let mut spare =
        left.iter().flat_map(|(&owner, &count)| std::iter::repeat_n(owner, count));
    for owner in assigned.iter_mut().filter(|owner| owner.is_none()) {
        *owner = spare.next();
    }
    assigned.into_iter().map(|owner| owner.unwrap_or(me).clone()).collect()
}

/// Returns the number of ranges that each instance should hold; the largest holders get
/// the remainder of the division.
fn shares<'a>(held: &BTreeMap<&'a Owner, usize>) -> BTreeMap<&'a Owner, usize> {
    let mut order: Vec<_> = held.iter().map(|(&owner, &count)| (owner, count)).collect();
    order.sort_by_key(|&(_, count)| std::cmp::Reverse(count));
    let (share, remainder) = (RANGE_COUNT / order.len(), RANGE_COUNT % order.len());
    order
        .into_iter()
        .enumerate()
        .map(|(rank, (owner, _))| (owner, share + usize::from(rank < remainder)))
        .collect()
}

/// Takes one range from what is left of an instance's share, and reports whether there
/// was one.
fn take_from_share(left: &mut BTreeMap<&Owner, usize>, owner: &Owner) -> bool {
    match left.get_mut(owner) {
        Some(count) if *count > 0 => {
            *count -= 1;
            true
        }
        _ => false,
    }
}
