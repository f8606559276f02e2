//! Which targets of a group are trusted with starts.

use std::collections::BTreeSet;

use rand::Rng;
use slotmap::SecondaryMap;

use crate::target::TargetKey;
use crate::time::{Timestamp, US_PER_MS};

/// The failures in a row that eject a target.
pub const EJECT_CONSECUTIVE_FAILURES: u32 = 3;

/// The starts after which the failure ratio of a target is meaningful.
pub const MIN_RATIO_STARTS: u32 = 10;

/// The failure ratio from which a target is ejected, if that of the others is far lower.
pub const EJECT_FAILURE_RATIO: f64 = 0.3;

/// How many times the others' failure ratio a target's must be to eject it by ratio.
pub const RATIO_OUTLIER_FACTOR: f64 = 3.0;

/// The same for an ejection by failures in a row.
///
/// When every target fails alike, for example because a customer sends faulty tasks, an
/// ejection only takes capacity away. The factor is below 2, so that targets that fail
/// everything are still ejected when they are half of the group.
pub const CONSECUTIVE_OUTLIER_FACTOR: f64 = 1.5;

/// The longest backoff after the first ejection; each further one doubles it.
pub const EJECT_BACKOFF_MS: u64 = 1_000;

/// The bound of the backoff after an ejection.
pub const MAX_EJECT_BACKOFF_MS: u64 = 60_000;

/// The longest backoff after a target was busy; each further time in a row doubles it.
///
/// A tenth of a short task, because a slot may become free at any time.
pub const BUSY_BACKOFF_MS: u64 = 5;

/// The bound of the backoff after a target was busy.
pub const MAX_BUSY_BACKOFF_MS: u64 = 320;

/// The successes in a row that make a target's earlier ejections irrelevant.
pub const BACKOFF_RESET_SUCCESSES: u32 = 16;

/// The weight of a start in the failure ratio.
const RATIO_GAIN: f64 = 0.125;

/// The health of the targets of one group, with one row for each target.
#[derive(Debug, Clone, Default)]
pub struct GroupHealth {
    members: SecondaryMap<TargetKey, Member>,
    /// The number of members that are ejected or being probed.
    ejected: usize,
    /// The sum of the failure ratios of the other members.
    open_ratios: f64,
    /// The ends of the backoffs.
    due: BTreeSet<(Timestamp, TargetKey)>,
    /// The ejections so far, with those that follow a failed probe.
    ejections: u64,
}

/// Whether a target gets starts.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum HealthStatus {
    /// It gets any task.
    Healthy,
    /// It was busy and gets nothing until its backoff ends.
    Busy {
        /// The end of the backoff.
        until: Timestamp,
    },
    /// It is ejected and gets nothing until its backoff ends.
    Ejected {
        /// The end of the backoff.
        until: Timestamp,
    },
    /// It gets one idempotent task as a probe.
    Probation,
    /// It runs a probe and gets nothing else.
    Probing,
}

/// How a start ended, as far as the target's health is concerned.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum StartResult {
    /// The target returned the result.
    Succeeded,
    /// The target failed the task, was lost or could not be reached.
    Failed,
}

impl GroupHealth {
    /// Adds a target that is open.
    pub fn add(&mut self, target: TargetKey) {
        if !self.members.contains_key(target) {
            self.members.insert(target, Member::default());
        }
    }

    /// Removes a target and returns those that are open again because of it.
    ///
    /// They are the ones closest to their return, until at most half of the group is
    /// ejected.
    pub fn remove(&mut self, target: TargetKey) -> Vec<TargetKey> {
        self.set_standing(target, HealthStatus::Healthy);
        if let Some(member) = self.members.remove(target) {
            self.open_ratios -= member.ratio;
        }
        let mut reopened = vec![];
        while self.ejected * 2 > self.members.len() {
            let ejected = self.members.iter().filter(|(_, m)| m.standing.is_ejected());
            let Some((next, _)) = ejected.min_by_key(|(_, m)| m.standing.until()) else {
                break;
            };
            self.reopen(next);
            reopened.push(next);
        }
        reopened
    }

    /// Returns the standing of a target, or `None` for one that is not a member.
    pub fn status(&self, target: TargetKey) -> Option<HealthStatus> {
        self.members.get(target).map(|member| member.standing)
    }

    /// Returns whether a task may start on the target.
    pub fn may_start(&self, target: TargetKey, idempotent: bool) -> bool {
        match self.status(target) {
            Some(HealthStatus::Healthy) => true,
            Some(HealthStatus::Probation) => idempotent,
            _ => false,
        }
    }

    /// Returns the number of targets that are ejected or being probed.
    pub fn ejected(&self) -> usize {
        self.ejected
    }

    /// Returns the ejections so far, with those that follow a failed probe.
    pub fn ejections(&self) -> u64 {
        self.ejections
    }

    /// Notes that a task was sent to a target on probation.
    ///
    /// Its end is reported by [`Self::record_probe`], [`Self::record_busy`] or
    /// [`Self::abandon_probe`].
    pub fn start_probe(&mut self, target: TargetKey) {
        if self.status(target) == Some(HealthStatus::Probation) {
            self.set_standing(target, HealthStatus::Probing);
        }
    }

    /// Notes that a probe was stopped without an answer.
    pub fn abandon_probe(&mut self, target: TargetKey) {
        if self.status(target) == Some(HealthStatus::Probing) {
            self.set_standing(target, HealthStatus::Probation);
        }
    }

    /// Learns from the end of a probe.
    pub fn record_probe(
        &mut self,
        target: TargetKey,
        end: StartResult,
        now: Timestamp,
        rng: &mut impl Rng,
    ) {
        match (self.status(target), end) {
            (Some(HealthStatus::Probing), StartResult::Succeeded) => self.reopen(target),
            (Some(HealthStatus::Probing), StartResult::Failed) => {
                self.eject(target, now, rng)
            }
            _ => self.record(target, end, now, rng),
        }
    }

    /// Learns from the end of a start that was not a probe.
    ///
    /// Ends of starts from before an ejection are ignored.
    pub fn record(
        &mut self,
        target: TargetKey,
        end: StartResult,
        now: Timestamp,
        rng: &mut impl Rng,
    ) {
        let Some(member) = self.members.get_mut(target) else {
            return;
        };
        if member.standing.is_ejected() {
            return;
        }
        self.open_ratios -= member.ratio;
        member.record(end);
        self.open_ratios += member.ratio;
        match end {
            // Its end has freed a slot.
            StartResult::Succeeded => self.set_standing(target, HealthStatus::Healthy),
            StartResult::Failed if self.is_outlier(target) && self.may_eject() => {
                self.eject(target, now, rng);
            }
            StartResult::Failed => {}
        }
    }

    /// Notes that a target turned a task away because it was busy.
    pub fn record_busy(&mut self, target: TargetKey, now: Timestamp, rng: &mut impl Rng) {
        let Some(member) = self.members.get_mut(target) else {
            return;
        };
        let doublings = member.turned_away_in_a_row;
        let until =
            now.plus_us(backoff_us(BUSY_BACKOFF_MS, MAX_BUSY_BACKOFF_MS, doublings, rng));
        let standing = match member.standing {
            HealthStatus::Healthy => HealthStatus::Busy { until },
            HealthStatus::Probing => HealthStatus::Ejected { until },
            // Answers to sends from before the backoff do not extend it.
            _ => return,
        };
        member.turned_away_in_a_row = doublings.saturating_add(1);
        self.set_standing(target, standing);
    }

    /// Ends a backoff that is over and returns its target.
    ///
    /// The target is then open, or on probation if it was ejected.
    pub fn pop_due(&mut self, now: Timestamp) -> Option<TargetKey> {
        let &(until, target) = self.due.first()?;
        if until > now {
            return None;
        }
        let standing = match self.status(target) {
            Some(HealthStatus::Ejected { .. }) => HealthStatus::Probation,
            _ => HealthStatus::Healthy,
        };
        self.set_standing(target, standing);
        Some(target)
    }

    /// Returns the end of the earliest backoff, for setting a timer.
    pub fn next_due(&self) -> Option<Timestamp> {
        self.due.first().map(|&(until, _)| until)
    }

    /// Returns whether another target may be ejected without exceeding half of the group.
    fn may_eject(&self) -> bool {
        (self.ejected + 1) * 2 <= self.members.len()
    }

    /// Returns whether a target fails so much more than the other open ones that it is
    /// the likely cause.
    fn is_outlier(&self, target: TargetKey) -> bool {
        let Some(member) = self.members.get(target) else {
            return false;
        };
        let others = self.members.len().saturating_sub(self.ejected + 1);
        let others_ratio = (self.open_ratios - member.ratio).max(0.0);
        let others_ratio = others_ratio / others.max(1) as f64;
        let by_row = member.failures_in_a_row >= EJECT_CONSECUTIVE_FAILURES
            && member.ratio > others_ratio * CONSECUTIVE_OUTLIER_FACTOR;
        let by_ratio = member.starts >= MIN_RATIO_STARTS
            && member.ratio >= EJECT_FAILURE_RATIO
            && member.ratio > others_ratio * RATIO_OUTLIER_FACTOR;
        by_row || by_ratio
    }

    /// Ejects a target for a backoff that doubles with each ejection.
    fn eject(&mut self, target: TargetKey, now: Timestamp, rng: &mut impl Rng) {
        let Some(member) = self.members.get_mut(target) else {
            return;
        };
        let doublings = member.ejections;
        member.ejections = doublings.saturating_add(1);
        self.ejections += 1;
        let wait_us = backoff_us(EJECT_BACKOFF_MS, MAX_EJECT_BACKOFF_MS, doublings, rng);
        self.set_standing(target, HealthStatus::Ejected { until: now.plus_us(wait_us) });
    }

    /// Opens an ejected target, which the next failure ejects again.
    fn reopen(&mut self, target: TargetKey) {
        if let Some(member) = self.members.get_mut(target) {
            member.failures_in_a_row = EJECT_CONSECUTIVE_FAILURES - 1;
            member.successes_in_a_row = 0;
            member.turned_away_in_a_row = 0;
            member.starts = 0;
            member.ratio = 0.0;
        }
        self.set_standing(target, HealthStatus::Healthy);
    }

    /// Changes the standing of a target and the tables that depend on it.
    fn set_standing(&mut self, target: TargetKey, standing: HealthStatus) {
        let Some(member) = self.members.get_mut(target) else {
            return;
        };
        let old = std::mem::replace(&mut member.standing, standing);
        match (old.is_ejected(), standing.is_ejected()) {
            (false, true) => {
                self.ejected += 1;
                self.open_ratios -= member.ratio;
            }
            (true, false) => {
                self.ejected -= 1;
                self.open_ratios += member.ratio;
            }
            _ => {}
        }
        if let Some(until) = old.until() {
            self.due.remove(&(until, target));
        }
        if let Some(until) = standing.until() {
            self.due.insert((until, target));
        }
    }
}

impl HealthStatus {
    /// Returns whether the target counts as ejected.
    pub const fn is_ejected(self) -> bool {
        matches!(self, Self::Ejected { .. } | Self::Probation | Self::Probing)
    }

    /// Returns the end of the backoff.
    const fn until(self) -> Option<Timestamp> {
        match self {
            Self::Busy { until } | Self::Ejected { until } => Some(until),
            Self::Healthy | Self::Probation | Self::Probing => None,
        }
    }
}

/// What is known of one target.
#[derive(Debug, Clone)]
struct Member {
    standing: HealthStatus,
    starts: u32,
    failures_in_a_row: u32,
    successes_in_a_row: u32,
    turned_away_in_a_row: u32,
    ejections: u32,
    /// The exponentially weighted share of starts that failed.
    ratio: f64,
}

impl Default for Member {
    fn default() -> Self {
        Self {
            standing: HealthStatus::Healthy,
            starts: 0,
            failures_in_a_row: 0,
            successes_in_a_row: 0,
            turned_away_in_a_row: 0,
            ejections: 0,
            ratio: 0.0,
        }
    }
}

impl Member {
    /// Counts a start.
    fn record(&mut self, end: StartResult) {
        self.starts = self.starts.saturating_add(1);
        match end {
            StartResult::Succeeded => {
                self.ratio -= self.ratio * RATIO_GAIN;
                self.failures_in_a_row = 0;
                self.turned_away_in_a_row = 0;
                self.successes_in_a_row = self.successes_in_a_row.saturating_add(1);
            }
            StartResult::Failed => {
                self.ratio += (1.0 - self.ratio) * RATIO_GAIN;
                self.failures_in_a_row = self.failures_in_a_row.saturating_add(1);
                self.successes_in_a_row = 0;
            }
        }
        if self.successes_in_a_row >= BACKOFF_RESET_SUCCESSES {
            self.ejections = 0;
        }
    }
}

/// Returns a backoff between half and all of `base_ms`, doubled up to `max_ms`.
fn backoff_us(base_ms: u64, max_ms: u64, doublings: u32, rng: &mut impl Rng) -> u64 {
    let factor = 1_u64.checked_shl(doublings).unwrap_or(u64::MAX);
    let longest_us = base_ms.saturating_mul(factor).min(max_ms) * US_PER_MS;
    rng.random_range(longest_us / 2..=longest_us)
}
