//! The target table: which targets take new work, and when to probe them.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::stop::{Member, StopSchedule};
use crate::config::Role;
use crate::id::{DomainName, Incarnation, RackName, ServiceName, TargetName};
use crate::time::Timestamp;

/// The maximum number of known targets; further ones in a list are not added.
pub const MAX_TARGETS: usize = 16_384;

/// The minimum time between two probes of one target.
pub const PROBE_INTERVAL_MS: u64 = 2_000;

/// The probes per second that one instance may send even if it has few targets to probe.
///
/// The targets that have not answered for the longest time come first.
pub const MIN_PROBES_PER_S: usize = 10;

/// The maximum number of probes that one instance sends per second.
///
/// A silent target blocks a sender thread for 1 s per probe, and other sends need these
/// threads. At this rate, up to 150 targets are probed within 4 s, so a leaving target
/// gets no new work after 5 s.
pub const MAX_PROBES_PER_S: usize = 40;

/// The time since the last answer after which a target with an unanswered probe is
/// silent.
const SILENT_MS: u64 = 5_000;

/// The time that a target has to answer a probe.
const PROBE_TIMEOUT_MS: u64 = 1_000;

/// The time for which the result of a probe, answered or not, is valid evidence.
const PROBE_VALIDITY_MS: u64 = 60_000;

/// The time for which a target is kept after it has disappeared from the list.
const RETIRED_RETENTION_MS: u64 = 600_000;

/// The description of a target in the list.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct TargetInfo {
    /// The name, which stays the same across restarts.
    pub name: TargetName,
    /// Whether it is a minion or a worker.
    pub role: Role,
    /// The value of its service label.
    pub service: ServiceName,
    /// The failure domain in which it runs.
    pub domain: DomainName,
    /// The rack of a worker.
    pub rack: Option<RackName>,
    /// The run of its process; a later run has a higher value.
    pub incarnation: Incarnation,
    /// The HTTP address, as IP address and port.
    pub address: Arc<str>,
    /// The maximum number of tasks that it runs concurrently.
    pub slots: u32,
    /// The maximum number of connections that it accepts.
    pub connections: u32,
    /// The number of its processors.
    pub cpus: u32,
    /// The size of its memory.
    pub memory_mb: u64,
}

/// The source from which it is known that a target is leaving.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Hash)]
pub enum LeavingSource {
    /// The platform's list marks it as leaving.
    List,
    /// Its scheduled stop of a stop plan has begun.
    StopPlan,
    /// It rejected a task because it is leaving.
    TaskRejected,
    /// It answered a probe that it is leaving.
    Probe,
}

/// A known target, with what is known about its latest incarnation.
#[derive(Debug, Clone)]
pub struct Target {
    /// The description in the last list that named it.
    pub info: TargetInfo,
    /// The first source that reported it as leaving; never reset for an incarnation.
    pub leaving: Option<LeavingSource>,
    answered_at: Option<Timestamp>,
    /// When the first probe was sent that it has not answered.
    unanswered_since: Option<Timestamp>,
    /// The earliest time of the next probe.
    next_probe_at: Timestamp,
    /// Since when the list in force does not name it.
    retired_at: Option<Timestamp>,
}

impl Target {
    fn new(info: TargetInfo) -> Self {
        Self {
            info,
            leaving: None,
            answered_at: None,
            unanswered_since: None,
            next_probe_at: Timestamp::default(),
            retired_at: None,
        }
    }

    /// Reports whether the target takes new work: it is listed and not leaving.
    pub fn is_serving(&self) -> bool {
        self.leaving.is_none() && self.retired_at.is_none()
    }

    /// Reports whether the target has been probed recently and does not answer.
    pub(super) fn is_silent(&self, now: Timestamp) -> bool {
        let recent = now.ms_since(self.next_probe_at) < PROBE_VALIDITY_MS;
        let timed_out =
            self.unanswered_since.is_some_and(|at| now.ms_since(at) >= PROBE_TIMEOUT_MS);
        let answered = self.answered_at.is_some_and(|at| now.ms_since(at) < SILENT_MS);
        recent && timed_out && !answered
    }
}

/// The targets by name, each in its latest incarnation.
#[derive(Debug, Default)]
pub struct Targets {
    targets: BTreeMap<TargetName, Target>,
    /// The second in which probes were last sent, and the number of probes in it.
    probes: (u64, usize),
}

impl Targets {
    /// Returns every target that the list in force names, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = &Target> {
        self.targets.values().filter(|target| target.retired_at.is_none())
    }

    /// Returns the targets that take new work, ordered by name.
    pub fn serving(&self) -> impl Iterator<Item = &Target> {
        self.targets.values().filter(|target| target.is_serving())
    }

    /// Returns a known target, even if the list no longer names it.
    pub fn get(&self, name: &TargetName) -> Option<&Target> {
        self.targets.get(name)
    }

    /// Marks an incarnation as leaving and reports whether it is newly so.
    pub fn mark_leaving(
        &mut self,
        name: &TargetName,
        incarnation: Incarnation,
        source: LeavingSource,
    ) -> bool {
        match self.targets.get_mut(name) {
            Some(target)
                if target.info.incarnation == incarnation && target.leaving.is_none() =>
            {
                target.leaving = Some(source);
                true
            }
            _ => false,
        }
    }

    /// Marks the targets whose scheduled stop has begun as leaving.
    ///
    /// Returns those that are newly leaving.
    pub(super) fn apply_stops(
        &mut self,
        schedule: &StopSchedule,
        now: Timestamp,
    ) -> Vec<TargetName> {
        let mut left = vec![];
        for stop in schedule.begun(now) {
            let Member::Target(name) = &stop.member else {
                continue;
            };
            let incarnation = self.targets.get(name).map(|it| it.info.incarnation);
            let Some(incarnation) = incarnation.filter(|&it| stop.applies(it, now))
            else {
                continue;
            };
            if self.mark_leaving(name, incarnation, LeavingSource::StopPlan) {
                left.push(name.clone());
            }
        }
        left
    }

    /// Records that a target answered a send, which shows that it is not silent.
    ///
    /// The answer does not replace a probe: a leaving target may still accept starts, and
    /// the result of a task does not reveal that it is leaving.
    pub fn note_send_answer(&mut self, name: &TargetName) {
        if let Some(target) = self.targets.get_mut(name) {
            target.unanswered_since = None;
        }
    }

    /// Records that a target answered whether it is leaving.
    pub fn note_answer(&mut self, name: &TargetName, now: Timestamp) {
        if let Some(target) = self.targets.get_mut(name) {
            target.answered_at = Some(now);
            target.unanswered_since = None;
        }
    }

    /// Records the answer to a probe and reports whether the target is newly leaving.
    pub fn note_probe_answer(
        &mut self,
        name: &TargetName,
        incarnation: Incarnation,
        leaving: bool,
        now: Timestamp,
    ) -> bool {
        self.note_answer(name, now);
        leaving && self.mark_leaving(name, incarnation, LeavingSource::Probe)
    }

    /// Reports whether a target has answered within the last 60 s and has no probe that
    /// timed out since.
    pub fn is_responsive(&self, name: &TargetName, now: Timestamp) -> bool {
        let recent = |at| now.ms_since(at) < PROBE_VALIDITY_MS;
        self.targets.get(name).is_some_and(|target| {
            let in_time = target
                .unanswered_since
                .is_none_or(|at| now.ms_since(at) < PROBE_TIMEOUT_MS);
            target.answered_at.is_some_and(recent) && in_time
        })
    }

    /// Returns the targets to probe now and records the probes as sent.
    ///
    /// `needs_probe` selects the candidates. A target that answered within
    /// [`PROBE_INTERVAL_MS`] whether it is leaving is not probed.
    pub(super) fn due_probes(
        &mut self,
        now: Timestamp,
        needs_probe: impl Fn(&TargetInfo) -> bool,
    ) -> Vec<TargetInfo> {
        let second = now.as_ms() / 1_000;
        if self.probes.0 != second {
            self.probes = (second, 0);
        }
        let mut candidates: Vec<&mut Target> = self
            .targets
            .values_mut()
            .filter(|target| target.is_serving() && needs_probe(&target.info))
            .collect();
        let per_s = candidates.len().div_ceil((PROBE_INTERVAL_MS / 1_000) as usize);
        let per_s = per_s.clamp(MIN_PROBES_PER_S, MAX_PROBES_PER_S);
        let mut due: Vec<&mut Target> = candidates
            .drain(..)
            .filter(|target| target.next_probe_at <= now)
            .filter(|target| {
                target.answered_at.is_none_or(|at| now.ms_since(at) >= PROBE_INTERVAL_MS)
            })
            .collect();
        due.sort_by_key(|target| target.answered_at.max(Some(target.next_probe_at)));
        due.truncate(per_s.saturating_sub(self.probes.1));
        self.probes.1 += due.len();
        due.into_iter()
            .map(|target| {
                target.next_probe_at = now.plus_ms(PROBE_INTERVAL_MS);
                target.unanswered_since = target.unanswered_since.or(Some(now));
                target.info.clone()
            })
            .collect()
    }

    /// Applies the description of a target in an accepted list.
    ///
    /// A description of an earlier incarnation is ignored.
    pub(super) fn apply_listed(&mut self, info: TargetInfo, leaving: bool) {
        let name = info.name.clone();
        let incarnation = info.incarnation;
        let is_full = self.targets.len() >= MAX_TARGETS;
        match self.targets.get_mut(&name) {
            Some(target) if incarnation < target.info.incarnation => return,
            Some(target) if incarnation == target.info.incarnation => {
                target.info = info;
                target.retired_at = None;
            }
            Some(target) => *target = Target::new(info),
            None if is_full => return,
            None => drop(self.targets.insert(name.clone(), Target::new(info))),
        }
        if leaving {
            self.mark_leaving(&name, incarnation, LeavingSource::List);
        }
    }

    /// Retires the targets that an accepted list does not name.
    ///
    /// They are kept for 10 minutes, so that an incarnation that is leaving does not
    /// return to service when a later list names it again.
    pub(super) fn retire(&mut self, now: Timestamp, named: impl Fn(&TargetName) -> bool) {
        self.targets.retain(|name, target| {
            if !named(name) {
                target.retired_at = target.retired_at.or(Some(now));
            }
            target.retired_at.is_none_or(|at| now.ms_since(at) < RETIRED_RETENTION_MS)
        });
    }
}
