//! Evacuations of failure domains, which operators request and take back.
//!
//! While an evacuation is in force, no run starts on the minions of the domain; runs that
//! are there go on until they end. The operators' log orders all requests: of two notices
//! about a domain the one with the higher offset counts, whoever has passed it on.

use std::collections::BTreeMap;

use log::{error, info};
use serde::{Deserialize, Serialize};

use crate::engine::Engine;
use crate::id::ServiceName;
use crate::operator::catalog::Catalog;
use crate::time::Moment;

/// Maximum number of failure domains about which notices are kept. When it is reached, a
/// domain that was taken back makes room, or further evacuations are rejected with an error.
const MAX_DOMAINS: usize = 256;

/// A page of the operators' log.
#[derive(Debug, Default)]
pub struct OperatorPage {
    /// The changes of the page; those of a failure domain in the order of their offsets.
    pub changes: Vec<OperatorChange>,
    /// The offset at which the next page begins.
    pub next_offset: u64,
    /// Whether the page holds the newest record of each key, so that an evacuation that it
    /// lacks was taken back.
    pub complete: bool,
}

/// A change that operators have published.
#[derive(Debug, Clone)]
pub enum OperatorChange {
    /// A new configuration.
    Configuration(Box<Catalog>),
    /// An evacuation that was requested or taken back.
    Evacuation(EvacuationNotice),
}

/// A record of the operators' log about the evacuation of a failure domain.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct EvacuationNotice {
    /// The name of the failure domain.
    pub failure_domain: Box<str>,
    /// The offset of the record in the operators' log.
    pub offset: u64,
    /// What the record requests.
    pub request: EvacuationRequest,
}

/// What operators want for a failure domain.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub enum EvacuationRequest {
    /// No run may start there.
    Evacuate,
    /// Runs may start there again.
    TakeBack,
}

/// The state of an evacuation, as operators see it at one instance.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct EvacuationStatus {
    /// The name of the failure domain.
    pub failure_domain: Box<str>,
    /// Whether the evacuation is in force.
    pub in_force: bool,
    /// The number of runs that are left on minions of the domain that this instance holds.
    pub runs: usize,
}

/// Who has passed a notice on to this instance.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
enum Source {
    /// The store.
    Store,
    /// A peer.
    Peer,
}

/// The newest notice about a failure domain.
#[derive(Debug)]
struct Evacuation {
    /// The offset of the notice.
    offset: u64,
    request: EvacuationRequest,
    /// Whether it was logged that no run is left in the domain here.
    empty_logged: bool,
}

/// The evacuations that this instance knows.
#[derive(Debug, Default)]
pub(crate) struct Evacuations {
    by_domain: BTreeMap<Box<str>, Evacuation>,
    /// The offset up to which this instance has read the operators' log itself. Notices from
    /// peers about earlier records tell nothing new.
    read_until: u64,
    /// The number of notices that were accepted. Peers are told those that they may lack.
    revision: u64,
    /// Whether peers may have to be told of notices.
    tell_due: bool,
}

impl Evacuations {
    /// Returns whether no run may start in a failure domain.
    pub(crate) fn is_in_force(&self, failure_domain: &str) -> bool {
        let known = self.by_domain.get(failure_domain);
        known.is_some_and(|known| known.request == EvacuationRequest::Evacuate)
    }

    /// Records that a link was opened, on which no notice was sent yet.
    pub(crate) fn note_link(&mut self) {
        self.tell_due = self.revision > 0;
    }

    /// Records a notice unless it is older than what is known, and returns whether the state
    /// of its domain has changed.
    fn note(&mut self, notice: EvacuationNotice) -> bool {
        let EvacuationNotice { failure_domain, offset, request } = notice;
        let known = self.by_domain.get(&failure_domain);
        if known.is_some_and(|known| known.offset >= offset) {
            return false;
        }
        let before = known.map_or(EvacuationRequest::TakeBack, |known| known.request);
        if known.is_none() && !self.make_room() {
            error!(target: "operator", failure_domain:% = failure_domain,
                limit = MAX_DOMAINS;
                "evacuation rejected: too many are in force; take some back");
            return false;
        }
        let evacuation = Evacuation { offset, request, empty_logged: false };
        self.by_domain.insert(failure_domain, evacuation);
        self.revision += 1;
        self.tell_due = true;
        before != request
    }

    /// Makes room for a domain, if need be by forgetting the one that was taken back first.
    fn make_room(&mut self) -> bool {
        if self.by_domain.len() < MAX_DOMAINS {
            return true;
        }
        let taken_back = self
            .by_domain
            .iter()
            .filter(|(_, known)| known.request == EvacuationRequest::TakeBack);
        let oldest = taken_back.min_by_key(|(_, known)| known.offset);
        let oldest = oldest.map(|(domain, _)| domain.clone());
        oldest.is_some_and(|domain| self.by_domain.remove(&domain).is_some())
    }

    /// Returns notices of the evacuations in force that a complete page of the log up to
    /// `next_offset` lacks, so that they were taken back.
    fn missing_in(&self, page: &OperatorPage) -> Vec<EvacuationNotice> {
        let is_listed = |domain: &str| {
            page.changes.iter().any(|change| match change {
                OperatorChange::Evacuation(notice) => *notice.failure_domain == *domain,
                OperatorChange::Configuration(_) => false,
            })
        };
        // The record that took it back may be any later one up to the end. If there is none,
        // it was written while the page was read, and the next page has it.
        let last_offset = page.next_offset.saturating_sub(1);
        let in_force = self.by_domain.iter().filter(|(domain, known)| {
            known.request == EvacuationRequest::Evacuate
                && known.offset < last_offset
                && !is_listed(domain)
        });
        in_force
            .map(|(domain, _)| EvacuationNotice {
                failure_domain: domain.clone(),
                offset: last_offset,
                request: EvacuationRequest::TakeBack,
            })
            .collect()
    }

    /// Returns all notices.
    fn notices(&self) -> Vec<EvacuationNotice> {
        self.by_domain
            .iter()
            .map(|(domain, known)| EvacuationNotice {
                failure_domain: domain.clone(),
                offset: known.offset,
                request: known.request,
            })
            .collect()
    }
}

impl Engine {
    /// Applies a page of the operators' log.
    ///
    /// A configuration of a version that is not higher than that in force changes nothing,
    /// and neither does a notice that is older than what is known of its failure domain.
    pub fn apply_operator_page(&mut self, now: Moment, page: OperatorPage) {
        let missing = match page.complete {
            true => self.evacuations.missing_in(&page),
            false => Vec::new(),
        };
        let mut notices = Vec::new();
        for change in page.changes {
            match change {
                OperatorChange::Configuration(catalog) => self.set_catalog(*catalog),
                OperatorChange::Evacuation(notice) => notices.push(notice),
            }
        }
        notices.extend(missing);
        let changed = self.note_evacuations(notices, Source::Store);
        let read_until = &mut self.evacuations.read_until;
        *read_until = page.next_offset.max(*read_until);
        if changed {
            self.advance(now);
        }
    }

    /// Applies notices of a peer. Those about records that this instance has read itself
    /// tell nothing new.
    pub(crate) fn evacuations_reported(&mut self, notices: Vec<EvacuationNotice>) {
        let read_until = self.evacuations.read_until;
        let unread = notices.into_iter().filter(|notice| notice.offset >= read_until);
        self.note_evacuations(unread.collect(), Source::Peer);
    }

    /// Records notices, and returns whether the state of any failure domain has changed.
    fn note_evacuations(
        &mut self,
        notices: Vec<EvacuationNotice>,
        source: Source,
    ) -> bool {
        let mut changed = false;
        for notice in notices {
            let EvacuationNotice { failure_domain, offset, request } = notice.clone();
            if !self.evacuations.note(notice) {
                continue;
            }
            changed = true;
            let runs = self.runs_in(&failure_domain);
            match request {
                EvacuationRequest::Evacuate => {
                    info!(target: "operator", failure_domain:% = failure_domain, offset,
                        source:? = source, runs; "evacuation in force");
                }
                EvacuationRequest::TakeBack => {
                    info!(target: "operator", failure_domain:% = failure_domain, offset,
                        source:? = source, runs; "failure domain taken back");
                }
            }
        }
        if changed {
            for minion in self.minions.arena.values_mut() {
                let domain = &minion.entry.failure_domain;
                minion.evacuated = self.evacuations.is_in_force(domain);
            }
            self.choose_neighbours();
            self.capacity_changed();
        }
        changed
    }

    /// Tells peers of the notices that they may lack.
    pub(crate) fn tell_evacuations(&mut self) {
        if !self.evacuations.tell_due {
            return;
        }
        self.evacuations.tell_due = false;
        let revision = self.evacuations.revision;
        let notices = self.evacuations.notices();
        for peer in self.peers.arena.values_mut() {
            peer.tell_evacuations(revision, &notices);
        }
    }

    /// Logs each evacuated failure domain in which no run is left on the minions that this
    /// instance holds.
    pub(crate) fn log_empty_domains(&mut self) {
        let pending = self.evacuations.by_domain.iter().filter(|(_, known)| {
            known.request == EvacuationRequest::Evacuate && !known.empty_logged
        });
        let pending: Vec<Box<str>> = pending.map(|(domain, _)| domain.clone()).collect();
        for domain in pending {
            if self.runs_in(&domain) > 0 {
                continue;
            }
            if let Some(known) = self.evacuations.by_domain.get_mut(&domain) {
                known.empty_logged = true;
                info!(target: "operator", failure_domain:% = domain;
                    "evacuated failure domain has no runs here");
            }
        }
    }

    /// Returns the state of each failure domain that operators have evacuated or taken back.
    pub fn evacuation_status(&self) -> Vec<EvacuationStatus> {
        self.evacuations
            .by_domain
            .iter()
            .map(|(domain, known)| EvacuationStatus {
                failure_domain: domain.clone(),
                in_force: known.request == EvacuationRequest::Evacuate,
                runs: self.runs_in(domain),
            })
            .collect()
    }

    /// Returns whether every minion of a service is in an evacuated failure domain. A service
    /// without minions is not evacuated: some may be listed soon.
    pub(crate) fn is_service_evacuated(&self, service: &ServiceName) -> bool {
        if self.evacuations.by_domain.is_empty() {
            return false;
        }
        let minions = self.minions.arena.values();
        let mut minions = minions.filter(|minion| minion.entry.service == *service);
        let first = minions.next();
        first.is_some_and(|first| first.evacuated && minions.all(|it| it.evacuated))
    }

    /// Returns the number of runs in a failure domain, on minions that this instance holds.
    fn runs_in(&self, failure_domain: &str) -> usize {
        let held = self
            .minions
            .held()
            .filter(|(_, minion, _)| *minion.entry.failure_domain == *failure_domain);
        held.map(|(_, _, held)| held.runs.len()).sum()
    }
}
