//! The choice of a target for a task.

use std::collections::BTreeMap;
use std::str::FromStr;

use rand::Rng;
use slotmap::SecondaryMap;
use snafu::Snafu;

use crate::histogram::bucket_of;
use crate::target::TargetKey;

/// The bucket of targets on which a request kind was not measured.
const UNMEASURED: u32 = u32::MAX;

/// How a target is chosen among those with a free slot.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Default)]
pub enum Policy {
    /// The earliest expected finish, and of equals the less loaded of two drawn ones.
    #[default]
    EarliestFinish,
    /// A random one.
    Random,
    /// The fewest slots in use by this instance.
    ShortestQueue,
    /// The less loaded of two drawn ones.
    TwoChoices,
}

/// The name of a policy is not known.
#[derive(Debug, Clone, Eq, PartialEq, Snafu)]
#[snafu(display(
    "unknown placement policy; use earliest-finish, random, shortest-queue or two-choices"
))]
pub struct UnknownPolicy;

impl FromStr for Policy {
    type Err = UnknownPolicy;

    fn from_str(text: &str) -> Result<Self, UnknownPolicy> {
        match text {
            "earliest-finish" => Ok(Self::EarliestFinish),
            "random" => Ok(Self::Random),
            "shortest-queue" => Ok(Self::ShortestQueue),
            "two-choices" => Ok(Self::TwoChoices),
            _ => UnknownPolicySnafu.fail(),
        }
    }
}

/// The slots of the targets of one group, indexed for the choice.
///
/// `K` identifies a request kind. Targets with a free slot are kept in buckets of about
/// equal expected run time (or of equal load), so a choice looks at one or two targets
/// however many there are. There is one row per target and one per pair of target and
/// request kind.
#[derive(Debug, Clone)]
pub struct Placement<K> {
    policy: Policy,
    targets: SecondaryMap<TargetKey, Slots>,
    free_slots: u32,
    free: Ranking,
    kinds: BTreeMap<K, KindRanking>,
}

impl<K: Copy + Ord> Placement<K> {
    /// Creates an empty placement.
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            targets: SecondaryMap::new(),
            free_slots: 0,
            free: Ranking::default(),
            kinds: BTreeMap::new(),
        }
    }

    /// Adds a target, or changes the number of its slots.
    pub fn set_slots(&mut self, target: TargetKey, slots: u32) {
        if !self.targets.contains_key(target) {
            let new = Slots { slots: 0, in_use: 0, usable: true };
            self.targets.insert(target, new);
        }
        self.change(target, |row| row.slots = slots);
    }

    /// Removes a target that has left.
    pub fn remove(&mut self, target: TargetKey) {
        self.change(target, |row| row.usable = false);
        self.targets.remove(target);
        for kind in self.kinds.values_mut() {
            kind.measured.remove(target);
        }
    }

    /// Sets whether a target may be chosen, for example after its ejection.
    pub fn set_usable(&mut self, target: TargetKey, usable: bool) {
        self.change(target, |row| row.usable = usable);
    }

    /// Takes a slot of a target, also beyond the free ones, as a probe or an offer does.
    pub fn acquire(&mut self, target: TargetKey) {
        self.change(target, |row| row.in_use += 1);
    }

    /// Returns a slot of a target.
    pub fn release(&mut self, target: TargetKey) {
        self.change(target, |row| row.in_use = row.in_use.saturating_sub(1));
    }

    /// Returns the number of slots in use on a target.
    pub fn in_use(&self, target: TargetKey) -> u32 {
        self.targets.get(target).map_or(0, |row| row.in_use)
    }

    /// Returns the number of slots that may be taken.
    pub fn free_slots(&self) -> u32 {
        self.free_slots
    }

    /// Sets the run time that is expected where a request kind was not measured.
    pub fn set_prior(&mut self, kind: K, run_us: u64) {
        if self.policy == Policy::EarliestFinish {
            self.kind_mut(kind).prior = bucket_of(run_us);
        }
    }

    /// Sets the run time that is expected on a target.
    pub fn set_expected(&mut self, kind: K, target: TargetKey, run_us: u64) {
        if self.policy != Policy::EarliestFinish || !self.targets.contains_key(target) {
            return;
        }
        let bucket = bucket_of(run_us);
        let free = self.free.contains(target);
        let ranking = self.kind_mut(kind);
        ranking.measured.insert(target, bucket);
        if free {
            ranking.free.set(target, bucket);
        }
    }

    /// Removes a request kind that is no longer in the configuration.
    pub fn forget_kind(&mut self, kind: K) {
        self.kinds.remove(&kind);
    }

    /// Chooses a target with a free slot that is not one of `excluded`.
    ///
    /// The slot is not taken yet. `excluded` is meant for the few targets that the task
    /// was sent to before.
    pub fn pick(
        &self,
        kind: K,
        excluded: &[TargetKey],
        rng: &mut impl Rng,
    ) -> Option<TargetKey> {
        let kind = self.kinds.get(&kind);
        match (self.policy, kind) {
            (Policy::EarliestFinish, Some(kind)) => {
                let mut buckets = kind.buckets();
                buckets.find_map(|bucket| self.draw_two(bucket, excluded, rng))
            }
            (Policy::EarliestFinish, None) | (Policy::TwoChoices, _) => {
                let mut buckets = self.free.buckets.values();
                buckets.find_map(|bucket| self.draw_two(bucket, excluded, rng))
            }
            (Policy::Random | Policy::ShortestQueue, _) => {
                let mut buckets = self.free.buckets.values();
                buckets.find_map(|bucket| draw(bucket, excluded, rng))
            }
        }
    }

    /// Returns the free slots of the targets that are the fastest for any of some request
    /// kinds, at most `limit` targets.
    ///
    /// Policies that do not look at run times return none.
    pub fn fastest(&self, kinds: &[K], limit: usize) -> Vec<(TargetKey, u32)> {
        let rankings = kinds.iter().filter_map(|kind| self.kinds.get(kind));
        let mut ordered: Vec<_> = rankings.map(|it| it.buckets().flatten()).collect();
        let mut found: Vec<(TargetKey, u32)> = vec![];
        for _ in 0..limit {
            for target in ordered.iter_mut().filter_map(Iterator::next) {
                let known = found.iter().any(|(other, _)| other == target);
                if !known && found.len() < limit {
                    let free = self.targets.get(*target).map_or(0, |row| row.free());
                    found.push((*target, free));
                }
            }
        }
        found
    }

    /// Draws two targets and returns the one with the smaller share of slots in use.
    fn draw_two(
        &self,
        bucket: &[TargetKey],
        excluded: &[TargetKey],
        rng: &mut impl Rng,
    ) -> Option<TargetKey> {
        let first = draw(bucket, excluded, rng)?;
        let second = draw(bucket, excluded, rng)?;
        match (self.targets.get(first), self.targets.get(second)) {
            (Some(a), Some(b)) if b.is_less_loaded_than(a) => Some(second),
            _ => Some(first),
        }
    }

    /// Changes the slots of a target and moves it between the buckets.
    fn change(&mut self, target: TargetKey, change: impl FnOnce(&mut Slots)) {
        let Some(row) = self.targets.get_mut(target) else {
            return;
        };
        self.free_slots -= row.free();
        change(row);
        self.free_slots += row.free();
        let row = *row;
        let was_free = self.free.contains(target);
        match (row.free() > 0, self.policy) {
            (true, Policy::ShortestQueue) => self.free.set(target, row.in_use),
            (true, _) if !was_free => {
                self.free.set(target, 0);
                self.kinds.values_mut().for_each(|kind| kind.add(target));
            }
            (false, _) if was_free => {
                self.free.remove(target);
                self.kinds.values_mut().for_each(|kind| kind.free.remove(target));
            }
            _ => {}
        }
    }

    /// Returns the ranking of a request kind and creates it if needed.
    fn kind_mut(&mut self, kind: K) -> &mut KindRanking {
        self.kinds.entry(kind).or_insert_with(|| {
            let mut ranking = KindRanking::default();
            let free = self.free.buckets.values().flatten();
            free.for_each(|&target| ranking.add(target));
            ranking
        })
    }
}

/// The slots of one target.
#[derive(Debug, Copy, Clone)]
struct Slots {
    slots: u32,
    in_use: u32,
    usable: bool,
}

impl Slots {
    /// Returns the number of slots that may be taken.
    fn free(self) -> u32 {
        if self.usable { self.slots.saturating_sub(self.in_use) } else { 0 }
    }

    /// Compares the shares of slots in use.
    fn is_less_loaded_than(self, other: &Self) -> bool {
        let own = u64::from(self.in_use) * u64::from(other.slots);
        own < u64::from(other.in_use) * u64::from(self.slots)
    }
}

/// The free targets in order of their expected run time for one request kind.
#[derive(Debug, Clone, Default)]
struct KindRanking {
    prior: u32,
    measured: SecondaryMap<TargetKey, u32>,
    free: Ranking,
}

impl KindRanking {
    /// Adds a target that has a free slot.
    fn add(&mut self, target: TargetKey) {
        let bucket = self.measured.get(target).copied().unwrap_or(UNMEASURED);
        self.free.set(target, bucket);
    }

    /// Returns the buckets in order, with the unmeasured targets at the prior.
    ///
    /// They come first among equals, so that they get measured.
    fn buckets(&self) -> impl Iterator<Item = &Vec<TargetKey>> {
        let buckets = &self.free.buckets;
        let shorter = buckets.range(..self.prior);
        let unmeasured = buckets.range(UNMEASURED..);
        let others = buckets.range(self.prior..UNMEASURED);
        shorter.chain(unmeasured).chain(others).map(|(_, bucket)| bucket)
    }
}

/// Targets in ordered buckets, with changes and random draws in O(log buckets).
#[derive(Debug, Clone, Default)]
struct Ranking {
    buckets: BTreeMap<u32, Vec<TargetKey>>,
    /// The bucket of each target and its index there.
    places: SecondaryMap<TargetKey, (u32, usize)>,
}

impl Ranking {
    /// Returns whether the target is in a bucket.
    fn contains(&self, target: TargetKey) -> bool {
        self.places.contains_key(target)
    }

    /// Puts a target into a bucket.
    fn set(&mut self, target: TargetKey, bucket: u32) {
        if self.places.get(target).is_some_and(|&(old, _)| old == bucket) {
            return;
        }
        self.remove(target);
        let members = self.buckets.entry(bucket).or_default();
        self.places.insert(target, (bucket, members.len()));
        members.push(target);
    }

    /// Takes a target out of its bucket.
    fn remove(&mut self, target: TargetKey) {
        let Some((bucket, at)) = self.places.remove(target) else {
            return;
        };
        let Some(members) = self.buckets.get_mut(&bucket) else {
            return;
        };
        members.swap_remove(at);
        if let Some(&moved) = members.get(at) {
            self.places.insert(moved, (bucket, at));
        }
        if members.is_empty() {
            self.buckets.remove(&bucket);
        }
    }
}

/// Draws a target that is not excluded.
fn draw(
    bucket: &[TargetKey],
    excluded: &[TargetKey],
    rng: &mut impl Rng,
) -> Option<TargetKey> {
    if bucket.is_empty() {
        return None;
    }
    let start = rng.random_range(0..bucket.len());
    let mut drawn = bucket[start..].iter().chain(&bucket[..start]);
    drawn.find(|target| !excluded.contains(target)).copied()
}
