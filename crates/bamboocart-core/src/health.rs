//! The health of targets: outlier ejection, probes and backoff.

use std::collections::BTreeSet;

use rand::Rng;
use slotmap::SecondaryMap;

use crate::target::TargetKey;
use crate::time::{Timestamp, US_PER_MS};

/// The number of consecutive failures that eject a target.
pub const EJECT_CONSECUTIVE_FAILURES: u32 = 3;

/// The number of starts before which the failure ratio of a target is not
/// significant.
pub const MIN_RATIO_STARTS: u32 = 10;

/// The failure ratio from which a target is ejected if it exceeds that of the
/// others by the factor [`RATIO_OUTLIER_FACTOR`].
pub const EJECT_FAILURE_RATIO: f64 = 0.3;

/// The multiple of the others' failure ratio that a target has to exceed to be
/// ejected for its failure ratio.
pub const RATIO_OUTLIER_FACTOR: f64 = 3.0;

/// The multiple of the others' failure ratio that a target has to exceed to be
/// ejected for consecutive failures.
///
/// When all targets fail alike, for example because a customer sends faulty tasks, an
/// ejection only removes capacity. The factor is below 2, so that targets that fail all
/// tasks are still ejected when they are half of the group.
pub const CONSECUTIVE_OUTLIER_FACTOR: f64 = 1.5;

/// The longest backoff after the first ejection; each further ejection doubles it.
pub const EJECT_BACKOFF_MS: u64 = 1_000;

/// The upper bound of the backoff after an ejection.
pub const MAX_EJECT_BACKOFF_MS: u64 = 60_000;

/// The longest backoff after a busy answer; each further consecutive one doubles it.
///
/// It is a tenth of a short task's run time, because a slot may become free at any time.
pub const BUSY_BACKOFF_MS: u64 = 5;

/// The upper bound of the backoff after a busy answer.
pub const MAX_BUSY_BACKOFF_MS: u64 = 320;

/// The number of consecutive successes that reset a target's ejection backoff.
pub const BACKOFF_RESET_SUCCESSES: u32 = 16;

/// The weight of the latest start in the exponentially weighted failure ratio.
const FAILURE_RATIO_GAIN: f64 = 0.125;

/// The health of the targets of one group.
///
/// At most half of the group is ejected at any time.
#[derive(Debug, Clone, Default)]
pub struct GroupHealth {
    members: SecondaryMap<TargetKey, Member>,
    /// The number of members that are ejected or being probed.
    ejected: usize,
    /// The sum of the failure ratios of the members that are not counted in `ejected`.
    healthy_ratio_sum: f64,
    /// The ends of all backoffs, for timers.
    due: BTreeSet<(Timestamp, TargetKey)>,
    /// The number of ejections so far, including those that follow a failed probe.
    ejections: u64,
}

/// Whether a target may get tasks.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum HealthStatus {
    /// The target gets any task.
    Healthy,
    /// The target was busy and gets no task until its backoff ends.
    Busy {
        /// The end of the backoff.
        until: Timestamp,
    },
    /// The target is ejected and gets no task until its backoff ends.
    Ejected {
        /// The end of the backoff.
        until: Timestamp,
    },
    /// The backoff after an ejection is over, and the target gets one idempotent task as
    /// a probe.
    Probation,
    /// The target runs a probe and gets no other task.
    Probing,
}

/// The result of a start, as far as it concerns the target's health.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub enum StartResult {
    /// The target returned the result.
    Succeeded,
    /// The target failed the task, was lost or was unreachable.
    Failed,
}

impl GroupHealth {
    /// Adds a healthy target; a known one keeps its status.
    pub fn add(&mut self, target: TargetKey) {
        if !self.members.contains_key(target) {
            self.members.insert(target, Member::default());
        }
    }

    /// Removes a target and returns the targets that become healthy because of it.
    ///
    /// Those with the earliest end of their backoff become healthy until at most half of
    /// the group is ejected.
    pub fn remove(&mut self, target: TargetKey) -> Vec<TargetKey> {
        self.set_status(target, HealthStatus::Healthy);
        if let Some(member) = self.members.remove(target) {
            self.healthy_ratio_sum -= member.failure_ratio;
        }
        let mut restored = vec![];
        while self.ejected * 2 > self.members.len() {
            let ejected = self.members.iter().filter(|(_, m)| m.status.is_ejected());
            let Some((next, _)) = ejected.min_by_key(|(_, m)| m.status.until()) else {
                break;
            };
            self.restore(next);
            restored.push(next);
        }
        restored
    }

    /// Returns the status of a target, or `None` for one that is not a member.
    pub fn status(&self, target: TargetKey) -> Option<HealthStatus> {
        self.members.get(target).map(|member| member.status)
    }

    /// Returns whether a task may start on the target, given whether it is idempotent.
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

    /// Returns the number of ejections so far, including those that follow a failed
    /// probe.
    pub fn ejections(&self) -> u64 {
        self.ejections
    }

    /// Records that a task was sent as a probe to a target on probation.
    ///
    /// Its end is to be reported by [`Self::record_probe`], [`Self::record_busy`] or
    /// [`Self::abandon_probe`].
    pub fn start_probe(&mut self, target: TargetKey) {
        if self.status(target) == Some(HealthStatus::Probation) {
            self.set_status(target, HealthStatus::Probing);
        }
    }

    /// Records that a probe was stopped without an answer.
    pub fn abandon_probe(&mut self, target: TargetKey) {
        if self.status(target) == Some(HealthStatus::Probing) {
            self.set_status(target, HealthStatus::Probation);
        }
    }

    /// Updates the health of a target with the result of a probe.
    pub fn record_probe(
        &mut self,
        target: TargetKey,
        end: StartResult,
        now: Timestamp,
        rng: &mut impl Rng,
    ) {
        match (self.status(target), end) {
            (Some(HealthStatus::Probing), StartResult::Succeeded) => self.restore(target),
            (Some(HealthStatus::Probing), StartResult::Failed) => {
                self.eject(target, now, rng)
            }
            _ => self.record(target, end, now, rng),
        }
    }

    /// Updates the health of a target with the result of a start that was not a probe.
    ///
    /// Results for an ejected target are ignored, because their starts precede the
    /// ejection.
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
        if member.status.is_ejected() {
            return;
        }
        self.healthy_ratio_sum -= member.failure_ratio;
        member.record(end);
        self.healthy_ratio_sum += member.failure_ratio;
        match end {
            // The ended start has freed a slot, so a backoff ends as well.
            StartResult::Succeeded => self.set_status(target, HealthStatus::Healthy),
            StartResult::Failed if self.is_outlier(target) && self.may_eject() => {
                self.eject(target, now, rng);
            }
            StartResult::Failed => {}
        }
    }

    /// Records that a target was busy or refused the connection.
    pub fn record_busy(&mut self, target: TargetKey, now: Timestamp, rng: &mut impl Rng) {
        let Some(member) = self.members.get_mut(target) else {
            return;
        };
        let doublings = member.consecutive_rejections;
        let until =
            now.plus_us(backoff_us(BUSY_BACKOFF_MS, MAX_BUSY_BACKOFF_MS, doublings, rng));
        let status = match member.status {
            HealthStatus::Healthy => HealthStatus::Busy { until },
            HealthStatus::Probing => HealthStatus::Ejected { until },
            // Answers to sends that precede the backoff do not extend it.
            _ => return,
        };
        member.consecutive_rejections = doublings.saturating_add(1);
        self.set_status(target, status);
    }

    /// Ends a backoff that is over by `now` and returns its target.
    ///
    /// The target is then healthy, or on probation if it was ejected.
    pub fn pop_due(&mut self, now: Timestamp) -> Option<TargetKey> {
        let &(until, target) = self.due.first()?;
        if until > now {
            return None;
        }
        let status = match self.status(target) {
            Some(HealthStatus::Ejected { .. }) => HealthStatus::Probation,
            _ => HealthStatus::Healthy,
        };
        self.set_status(target, status);
        Some(target)
    }

    /// Returns the end of the earliest backoff, for setting a timer.
    pub fn next_due(&self) -> Option<Timestamp> {
        self.due.first().map(|&(until, _)| until)
    }

    /// Returns whether another target can be ejected without exceeding half of the group.
    fn may_eject(&self) -> bool {
        (self.ejected + 1) * 2 <= self.members.len()
    }

    /// Returns whether a target fails so much more often than the others that are not
    /// ejected that it is the likely cause.
    fn is_outlier(&self, target: TargetKey) -> bool {
        let Some(member) = self.members.get(target) else {
            return false;
        };
        let others = self.members.len().saturating_sub(self.ejected + 1);
        let others_ratio = (self.healthy_ratio_sum - member.failure_ratio).max(0.0);
        let others_ratio = others_ratio / others.max(1) as f64;
        let by_consecutive = member.consecutive_failures >= EJECT_CONSECUTIVE_FAILURES
            && member.failure_ratio > others_ratio * CONSECUTIVE_OUTLIER_FACTOR;
        let by_ratio = member.starts >= MIN_RATIO_STARTS
            && member.failure_ratio >= EJECT_FAILURE_RATIO
            && member.failure_ratio > others_ratio * RATIO_OUTLIER_FACTOR;
        by_consecutive || by_ratio
    }

    /// Ejects a target; its backoff doubles with each ejection.
    fn eject(&mut self, target: TargetKey, now: Timestamp, rng: &mut impl Rng) {
        let Some(member) = self.members.get_mut(target) else {
            return;
        };
        let doublings = member.ejections;
        member.ejections = doublings.saturating_add(1);
        self.ejections += 1;
        let wait_us = backoff_us(EJECT_BACKOFF_MS, MAX_EJECT_BACKOFF_MS, doublings, rng);
        self.set_status(target, HealthStatus::Ejected { until: now.plus_us(wait_us) });
    }

    /// Makes an ejected target healthy, so that the next failure ejects it again.
    fn restore(&mut self, target: TargetKey) {
        if let Some(member) = self.members.get_mut(target) {
            member.consecutive_failures = EJECT_CONSECUTIVE_FAILURES - 1;
            member.consecutive_successes = 0;
            member.consecutive_rejections = 0;
            member.starts = 0;
            member.failure_ratio = 0.0;
        }
        self.set_status(target, HealthStatus::Healthy);
    }

    /// Changes the status of a target and updates the sums and timers.
    fn set_status(&mut self, target: TargetKey, status: HealthStatus) {
        let Some(member) = self.members.get_mut(target) else {
            return;
        };
        let old = std::mem::replace(&mut member.status, status);
        match (old.is_ejected(), status.is_ejected()) {
            (false, true) => {
                self.ejected += 1;
                self.healthy_ratio_sum -= member.failure_ratio;
            }
            (true, false) => {
                self.ejected -= 1;
                self.healthy_ratio_sum += member.failure_ratio;
            }
            _ => {}
        }
        if let Some(until) = old.until() {
            self.due.remove(&(until, target));
        }
        if let Some(until) = status.until() {
            self.due.insert((until, target));
        }
    }
}

impl HealthStatus {
    /// Returns whether the target counts as ejected, which includes probation and probes.
    pub const fn is_ejected(self) -> bool {
        matches!(self, Self::Ejected { .. } | Self::Probation | Self::Probing)
    }

    /// Returns the end of the backoff, if there is one.
    const fn until(self) -> Option<Timestamp> {
        match self {
            Self::Busy { until } | Self::Ejected { until } => Some(until),
            Self::Healthy | Self::Probation | Self::Probing => None,
        }
    }
}

/// The recent history of one target.
#[derive(Debug, Clone)]
struct Member {
    status: HealthStatus,
    starts: u32,
    consecutive_failures: u32,
    consecutive_successes: u32,
    consecutive_rejections: u32,
    ejections: u32,
    /// The exponentially weighted share of starts that failed.
    failure_ratio: f64,
}

impl Default for Member {
    fn default() -> Self {
        Self {
            status: HealthStatus::Healthy,
            starts: 0,
            consecutive_failures: 0,
            consecutive_successes: 0,
            consecutive_rejections: 0,
            ejections: 0,
            failure_ratio: 0.0,
        }
    }
}

impl Member {
    /// Adds the result of a start.
    fn record(&mut self, end: StartResult) {
        self.starts = self.starts.saturating_add(1);
        match end {
            StartResult::Succeeded => {
                self.failure_ratio -= self.failure_ratio * FAILURE_RATIO_GAIN;
                self.consecutive_failures = 0;
                self.consecutive_rejections = 0;
                self.consecutive_successes = self.consecutive_successes.saturating_add(1);
            }
            StartResult::Failed => {
                self.failure_ratio += (1.0 - self.failure_ratio) * FAILURE_RATIO_GAIN;
                self.consecutive_failures = self.consecutive_failures.saturating_add(1);
                self.consecutive_successes = 0;
            }
        }
        if self.consecutive_successes >= BACKOFF_RESET_SUCCESSES {
            self.ejections = 0;
        }
    }
}

/// Returns a random backoff between half and all of `base_ms` doubled `doublings` times,
/// at most `max_ms`.
fn backoff_us(base_ms: u64, max_ms: u64, doublings: u32, rng: &mut impl Rng) -> u64 {
    let factor = 1_u64.checked_shl(doublings).unwrap_or(u64::MAX);
    let longest_us = base_ms.saturating_mul(factor).min(max_ms) * US_PER_MS;
    rng.random_range(longest_us / 2..=longest_us)
}
