//! The targets and whether they take new work.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::stop::{Member, StopSchedule};
use crate::config::Role;
use crate::id::{DomainName, Incarnation, RackName, ServiceName, TargetName};
use crate::time::Timestamp;

/// The number of targets that are known at most; further ones of a list are not added.
pub const MAX_TARGETS: usize = 16_384;

/// The time between two probes of one target.
pub const PROBE_INTERVAL_MS: u64 = 2_000;

/// The probes that one instance sends each second to few targets; those that gave no
/// answer for the longest time come first.
pub const MIN_PROBES_PER_S: usize = 10;

/// The probes that one instance sends each second at most.
///
/// A silent target holds a sender thread for 1 s per probe, and other sends need these
/// threads. Up to 150 targets are reached within 4 s, so that a leaving one gets no new
/// work after 5 s.
pub const MAX_PROBES_PER_S: usize = 40;

/// The silence of a target that was asked, after which it counts as not answering.
const SILENT_MS: u64 = 5_000;

/// The time that a target has to answer a probe.
const ANSWER_MS: u64 = 1_000;

/// The time for which an unanswered probe shows that a target is silent.
const EVIDENCE_MS: u64 = 60_000;

/// The time for which a target is remembered that the list names no more.
const RETIRED_MS: u64 = 600_000;

/// What the list says about a target.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct TargetInfo {
    /// The name.
    pub name: TargetName,
    /// Minion or worker.
    pub role: Role,
    /// The service label.
    pub service: ServiceName,
    /// The failure domain.
    pub domain: DomainName,
    /// The rack, for workers.
    pub rack: Option<RackName>,
    /// The run of its process.
    pub incarnation: Incarnation,
    /// The address for HTTP, as IP and port.
    pub address: Arc<str>,
    /// The tasks that it runs at the same time.
    pub slots: u32,
    /// The connections that it accepts.
    pub connections: u32,
    /// The processors.
    pub cpus: u32,
    /// The memory.
    pub memory_mb: u64,
}

/// How it became known that a target is leaving.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Hash)]
pub enum LeavingSource {
    /// The platform's list says so.
    List,
    /// A stop plan has reached it.
    StopPlan,
    /// It turned a task away.
    TaskRejected,
    /// It said so when it was probed.
    Probe,
}

/// A target.
#[derive(Debug, Clone)]
pub struct Target {
    /// What the list says.
    pub info: TargetInfo,
    /// The first source that said that it is leaving, which is final for its
    /// incarnation.
    pub leaving: Option<LeavingSource>,
    answered_at: Option<Timestamp>,
    /// When it was probed and has not answered since.
    asked_at: Option<Timestamp>,
    probe_at: Timestamp,
    /// Since when the list does not name it.
    retired_at: Option<Timestamp>,
}

impl Target {
    /// Creates a target that the list names.
    fn new(info: TargetInfo) -> Self {
        Self {
            info,
            leaving: None,
            answered_at: None,
            asked_at: None,
            probe_at: Timestamp::default(),
            retired_at: None,
        }
    }

    /// Reports whether the target takes new work.
    pub fn is_serving(&self) -> bool {
        self.leaving.is_none() && self.retired_at.is_none()
    }

    /// Reports whether the target was asked and gives no answers.
    pub(super) fn is_silent(&self, now: Timestamp) -> bool {
        let recent = now.ms_since(self.probe_at) < EVIDENCE_MS;
        let asked = self.asked_at.is_some_and(|at| now.ms_since(at) >= ANSWER_MS);
        let heard = self.answered_at.is_some_and(|at| now.ms_since(at) < SILENT_MS);
        recent && asked && !heard
    }
}

/// The targets by name, each with its latest incarnation.
#[derive(Debug, Default)]
pub struct Targets {
    targets: BTreeMap<TargetName, Target>,
    /// The second in which probes were sent last, and their number.
    probes: (u64, usize),
}

impl Targets {
    /// Returns every target that the list in force names, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Target> {
        self.targets.values().filter(|target| target.retired_at.is_none())
    }

    /// Returns the targets that take new work, by name.
    pub fn serving(&self) -> impl Iterator<Item = &Target> {
        self.targets.values().filter(|target| target.is_serving())
    }

    /// Returns a target, even one that the list names no more.
    pub fn get(&self, name: &TargetName) -> Option<&Target> {
        self.targets.get(name)
    }

    /// Marks an incarnation as leaving and reports whether that is news.
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

    /// Marks the targets that a stop plan has reached and returns the new ones.
    pub(super) fn apply_stops(
        &mut self,
        schedule: &StopSchedule,
        now: Timestamp,
    ) -> Vec<TargetName> {
        let mut left = vec![];
        for turn in schedule.begun(now) {
            let Member::Target(name) = &turn.member else {
                continue;
            };
            let incarnation = self.targets.get(name).map(|it| it.info.incarnation);
            let Some(incarnation) = incarnation.filter(|&it| turn.applies(it, now))
            else {
                continue;
            };
            if self.mark_leaving(name, incarnation, LeavingSource::StopPlan) {
                left.push(name.clone());
            }
        }
        left
    }

    /// Notes that a target answered a send, which shows that it is not silent.
    ///
    /// The answer does not replace a probe: a target that announces that it is leaving may
    /// still accept starts, and a result does not tell.
    pub fn note_send_answer(&mut self, name: &TargetName) {
        if let Some(target) = self.targets.get_mut(name) {
            target.asked_at = None;
        }
    }

    /// Notes that a target answered whether it is leaving.
    pub fn note_answer(&mut self, name: &TargetName, now: Timestamp) {
        if let Some(target) = self.targets.get_mut(name) {
            target.answered_at = Some(now);
            target.asked_at = None;
        }
    }

    /// Notes the answer to a probe and reports whether the target is newly leaving.
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

    /// Reports whether a target has answered its last probe, or can still do so.
    pub fn is_responsive(&self, name: &TargetName, now: Timestamp) -> bool {
        let recent = |at| now.ms_since(at) < EVIDENCE_MS;
        self.targets.get(name).is_some_and(|target| {
            let waits = target.asked_at.is_none_or(|at| now.ms_since(at) < ANSWER_MS);
            target.answered_at.is_some_and(recent) && waits
        })
    }

    /// Returns the targets to probe now and notes that they are probed.
    ///
    /// `asked` selects the targets that are worth a probe. A target that answered within
    /// [`PROBE_INTERVAL_MS`] whether it is leaving is not probed.
    pub(super) fn due_probes(
        &mut self,
        now: Timestamp,
        asked: impl Fn(&TargetInfo) -> bool,
    ) -> Vec<TargetInfo> {
        let second = now.as_ms() / 1_000;
        if self.probes.0 != second {
            self.probes = (second, 0);
        }
        let mut asked: Vec<&mut Target> = self
            .targets
            .values_mut()
            .filter(|target| target.is_serving() && asked(&target.info))
            .collect();
        let per_s = asked.len().div_ceil((PROBE_INTERVAL_MS / 1_000) as usize);
        let per_s = per_s.clamp(MIN_PROBES_PER_S, MAX_PROBES_PER_S);
        let mut due: Vec<&mut Target> = asked
            .drain(..)
            .filter(|target| target.probe_at <= now)
            .filter(|target| {
                target.answered_at.is_none_or(|at| now.ms_since(at) >= PROBE_INTERVAL_MS)
            })
            .collect();
        due.sort_by_key(|target| target.answered_at.max(Some(target.probe_at)));
        due.truncate(per_s.saturating_sub(self.probes.1));
        self.probes.1 += due.len();
        due.into_iter()
            .map(|target| {
                target.probe_at = now.plus_ms(PROBE_INTERVAL_MS);
                target.asked_at = target.asked_at.or(Some(now));
                target.info.clone()
            })
            .collect()
    }

    /// Applies what an accepted list says about a target.
    pub(super) fn list(&mut self, info: TargetInfo, leaving: bool) {
        let name = info.name.clone();
        let incarnation = info.incarnation;
        let full = self.targets.len() >= MAX_TARGETS;
        match self.targets.get_mut(&name) {
            Some(target) if incarnation < target.info.incarnation => return,
            Some(target) if incarnation == target.info.incarnation => {
                target.info = info;
                target.retired_at = None;
            }
            Some(target) => *target = Target::new(info),
            None if full => return,
            None => drop(self.targets.insert(name.clone(), Target::new(info))),
        }
        if leaving {
            self.mark_leaving(&name, incarnation, LeavingSource::List);
        }
    }

    /// Retires the targets that an accepted list does not name.
    ///
    /// They are kept for a while, so that an incarnation that is leaving does not come
    /// back to service when a list names it again.
    pub(super) fn retire(&mut self, now: Timestamp, named: impl Fn(&TargetName) -> bool) {
        self.targets.retain(|name, target| {
            if !named(name) {
                target.retired_at = target.retired_at.or(Some(now));
            }
            target.retired_at.is_none_or(|at| now.ms_since(at) < RETIRED_MS)
        });
    }
}
