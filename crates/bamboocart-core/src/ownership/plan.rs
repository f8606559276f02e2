//! When an instance claims which ranges.

use std::collections::BTreeMap;

use super::claims::{BACKDATE_MS, Claim, ClaimTable, KeyRange, RANGE_COUNT, RangeSet};
use super::{Horizon, Owner};
use crate::time::Timestamp;

/// The time after its start in which an instance leaves unclaimed ranges to the
/// instances that they are meant for.
const SETTLE_MS: u64 = 5_000;

/// The shortest time between two rounds of appends of one instance.
///
/// Claims of the previous round must be read back in the meantime, otherwise an instance
/// would append the same claims again and again while the log is slow.
pub const APPEND_INTERVAL_MS: u64 = 5_000;

/// Decides when one incarnation appends claims.
#[derive(Debug)]
pub struct Claimer {
    me: Owner,
    horizon: Horizon,
    appended_at: Option<Timestamp>,
}

impl Claimer {
    /// Creates the claimer of an incarnation.
    pub fn new(me: Owner, horizon: Horizon) -> Self {
        Self { me, horizon, appended_at: None }
    }

    /// Returns the claims to append now, at most one for each distinct start.
    ///
    /// `live` holds the instances that seem to be live, leaving ones excluded. It only
    /// decides who tries; the log decides who succeeds, so that differing views cost a
    /// rejected record at worst. A claim counts after it has been read back.
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
        let claims = match table.is_anchored() {
            true => self.due_claims(table, live, now),
            false => vec![self.claim(RangeSet::default(), 0, 0)],
        };
        if !claims.is_empty() {
            self.appended_at = Some(now);
        }
        claims
    }

    /// Returns the claims on ranges that are due.
    fn due_claims(
        &self,
        table: &ClaimTable,
        live: &[Owner],
        now: Timestamp,
    ) -> Vec<Claim> {
        let now_ms = now.as_ms();
        let ahead_ms = now_ms + self.horizon.ms();
        let until_ms = ahead_ms.next_multiple_of(self.horizon.grid_ms());
        let meant = assign(table, &self.me, live);
        let mut by_start: BTreeMap<u64, RangeSet> = BTreeMap::new();
        for range in KeyRange::all() {
            let (holder, end_ms) = table.last(range);
            let meant_for_me = meant[range.index()] == self.me;
            let held = holder == Some(&self.me);
            if self.is_due(held, meant_for_me, end_ms, now_ms) {
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

    /// Reports whether a range whose last claim ends at `end_ms` is to be claimed.
    fn is_due(&self, held: bool, meant_for_me: bool, end_ms: u64, now_ms: u64) -> bool {
        let left_ms = end_ms.saturating_sub(now_ms);
        let started_ms = Timestamp::from_us(self.me.incarnation.0).as_ms();
        match (held, meant_for_me) {
            (true, true) => left_ms < self.horizon.renew_at_ms(),
            (true, false) => left_ms < self.horizon.keep_at_ms(),
            (false, true) => left_ms < self.horizon.take_over_at_ms(),
            (false, false) => {
                left_ms < self.horizon.abandoned_at_ms()
                    && now_ms >= started_ms + SETTLE_MS
            }
        }
    }

    /// Builds a claim of this incarnation.
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

/// Spreads the ranges evenly over the live instances, with few moves.
///
/// Each holder keeps its ranges up to its share; the rest goes to the instances that
/// have less than their share.
fn assign(table: &ClaimTable, me: &Owner, live: &[Owner]) -> Vec<Owner> {
    let mut held: BTreeMap<&Owner, usize> =
        live.iter().chain([me]).map(|owner| (owner, 0)).collect();
    for range in KeyRange::all() {
        if let (Some(holder), _) = table.last(range) {
            held.entry(holder).and_modify(|count| *count += 1);
        }
    }
    let mut room = shares(&held);
    let mut meant: Vec<Option<&Owner>> = KeyRange::all()
        .map(|range| {
            let (holder, _) = table.last(range);
            holder.filter(|&holder| take(&mut room, holder))
        })
        .collect();
    let mut free =
        room.iter().flat_map(|(&owner, &count)| std::iter::repeat_n(owner, count));
    for slot in meant.iter_mut().filter(|slot| slot.is_none()) {
        *slot = free.next();
    }
    meant.into_iter().map(|owner| owner.unwrap_or(me).clone()).collect()
}

/// Returns how many ranges each instance is meant to hold; the largest holders get the
/// remainder of the division.
fn shares<'a>(held: &BTreeMap<&'a Owner, usize>) -> BTreeMap<&'a Owner, usize> {
    let mut order: Vec<_> = held.iter().map(|(&owner, &count)| (owner, count)).collect();
    order.sort_by_key(|&(_, count)| std::cmp::Reverse(count));
    let (share, remainder) = (RANGE_COUNT / order.len(), RANGE_COUNT % order.len());
    order
        .into_iter()
        .enumerate()
        .map(|(place, (owner, _))| (owner, share + usize::from(place < remainder)))
        .collect()
}

/// Takes one range of an instance's share, if any is left.
fn take(room: &mut BTreeMap<&Owner, usize>, owner: &Owner) -> bool {
    match room.get_mut(owner) {
        Some(left) if *left > 0 => {
            *left -= 1;
            true
        }
        _ => false,
    }
}
