//! Advice: which minions the policy of a queue allows to run a step.
//!
//! Only the platform's advice service can tell, and it answers one call of an instance at
//! a time. Its verdict on a minion for a step never changes, so each minion is named only
//! once. The tickets that permit runs expire and have to be asked for again.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use log::{info, warn};
use serde::{Deserialize, Serialize};

use crate::effect::Effect;
use crate::engine::Engine;
use crate::holder::minion::MinionKey;
use crate::id::{MinionId, OccurrenceRef, SharedStr};
use crate::owner::job::Job;
use crate::placement::capacity_search::SearchState;
use crate::time::Moment;

/// The most minions that one call names; each of them makes the answer slower.
const MAX_CANDIDATES: usize = 30;

/// How many minions are named for each waiting task: some are not allowed, and others
/// have no free capacity when the answer arrives.
const CANDIDATES_PER_TASK: usize = 3;

/// The pause after a call that was rejected or got no answer.
const RETRY_MS: u64 = 100;

/// How long before its expiry a ticket is no longer used.
pub(crate) const TICKET_MARGIN_MS: u64 = 100;

/// The timing of the advice service for one queue.
#[derive(Debug, Copy, Clone, PartialEq, Serialize, Deserialize)]
pub struct AdviceRules {
    /// The base time of an answer.
    pub decision_ms: u64,
    /// The additional time of an answer for each named minion.
    pub per_minion_ms: u64,
    /// How long a ticket is valid.
    pub validity_ms: u64,
}

/// A step of one occurrence of a job.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Ord, PartialOrd)]
pub struct StepRef {
    /// The occurrence of the job.
    pub occurrence: OccurrenceRef,
    /// The index of the step in the job, from 0.
    pub step: u16,
}

/// The number of a call for advice, unique within an engine.
#[derive(Debug, Default, Copy, Clone, Eq, PartialEq)]
pub struct AdviceNumber(pub u64);

/// A request to call the advice service.
#[derive(Debug, Clone)]
pub struct AdviceOrder {
    /// The number of the call, passed back with its answer.
    pub number: AdviceNumber,
    /// The step that has waiting tasks.
    pub step: StepRef,
    /// The minions to ask about.
    pub minions: Vec<MinionId>,
    /// The shortest time that the answer takes.
    pub takes_ms: u64,
}

/// The answer to a call for advice.
#[derive(Debug, Clone)]
pub enum AdviceAnswer {
    /// The minions that may run the step, each with its ticket.
    Allowed(Vec<(MinionId, SharedStr)>),
    /// No answer, or an unusable one.
    Lost,
}

/// The verdicts of the advice service on minions for one step.
#[derive(Debug, Default)]
pub(crate) struct StepAdvice {
    /// The tickets of the allowed minions, with the times until which they are used.
    tickets: BTreeMap<MinionKey, (SharedStr, Moment)>,
    /// The minions that may not run the step.
    denied: BTreeSet<MinionKey>,
}

impl StepAdvice {
    /// Returns the valid ticket for a minion, if there is one.
    pub(crate) fn ticket(&self, minion: MinionKey, now: Moment) -> Option<&SharedStr> {
        let (ticket, until) = self.tickets.get(&minion)?;
        (now < *until).then_some(ticket)
    }

    /// Drops the ticket for a minion that has rejected it.
    pub(crate) fn forget(&mut self, minion: MinionKey) {
        self.tickets.remove(&minion);
    }
}

/// The calls for advice of an instance, of which one at a time is in flight.
#[derive(Debug, Default)]
pub(crate) struct AdviceCalls {
    /// The steps that wait for a call, oldest first.
    waiting: VecDeque<StepRef>,
    /// The call in flight, with the minions that it names.
    in_flight: Option<(AdviceNumber, StepRef, Vec<MinionKey>)>,
    /// The number of the last call.
    last_number: AdviceNumber,
    /// The earliest time of the next call.
    not_before: Moment,
}

impl AdviceCalls {
    /// Queues a call for a step unless one is queued or in flight.
    fn queue(&mut self, step: StepRef) {
        let asked = self.in_flight.as_ref().is_some_and(|(_, asked, _)| *asked == step);
        if !asked && !self.waiting.contains(&step) {
            self.waiting.push_back(step);
        }
    }

    /// Returns when the next call is due, if one is queued and none in flight.
    pub(crate) fn due(&self) -> Option<Moment> {
        (self.in_flight.is_none() && !self.waiting.is_empty()).then_some(self.not_before)
    }
}

impl Engine {
    /// Queues calls for advice on the steps of a job that have waiting tasks.
    pub(crate) fn queue_advice_call(&mut self, id: OccurrenceRef) {
        let Some(job) = self.jobs.get(&id) else { return };
        if job.queue.advice.is_none() {
            return;
        }
        let waiting = job.tasks.iter().filter(|task| task.is_waiting());
        let steps: BTreeSet<u16> = waiting.map(|task| task.step).collect();
        for step in steps {
            self.advice_calls.queue(StepRef { occurrence: id, step });
        }
    }

    /// Sends the next call for advice, if one is due.
    pub(crate) fn drive_advice(&mut self, now: Moment) {
        while self.advice_calls.due().is_some_and(|due| due <= now) {
            let Some(step) = self.advice_calls.waiting.pop_front() else { return };
            let Some(job) = self.jobs.get(&step.occurrence) else { continue };
            let Some(rules) = job.queue.advice else { continue };
            let candidates = self.advice_candidates(job, step.step, now);
            if candidates.is_empty() {
                continue;
            }
            self.advice_calls.last_number.0 += 1;
            let number = self.advice_calls.last_number;
            let id = |&key: &MinionKey| self.minions.arena[key].entry.id.clone();
            let minions: Vec<MinionId> = candidates.iter().map(id).collect();
            let takes_ms = rules.decision_ms + rules.per_minion_ms * minions.len() as u64;
            info!(target: "job", request_id:% = step.occurrence.job, step = step.step,
                minions = minions.len(), takes_ms; "asking for advice on minions");
            self.advice_calls.in_flight = Some((number, step, candidates));
            let order = AdviceOrder { number, step, minions, takes_ms };
            self.effects.push(Effect::Advise(order));
        }
    }

    /// Returns the minions to name for a step, the fastest first: those without a verdict
    /// and those whose tickets have expired.
    fn advice_candidates(&self, job: &Job, step: u16, now: Moment) -> Vec<MinionKey> {
        let advice = job.advice.get(&step);
        let unknown = |key: MinionKey| {
            advice.is_none_or(|advice| {
                !advice.denied.contains(&key) && advice.ticket(key, now).is_none()
            })
        };
        let label = job.steps[usize::from(step)].required_label.as_ref();
        let usable = self.minions.arena.iter().filter(|(key, minion)| {
            let entry = &minion.entry;
            entry.service == job.queue.service
                && minion.is_ready()
                && minion.unlisted.is_none()
                && label.is_none_or(|label| entry.labels.contains(label))
                && unknown(*key)
        });
        let mut usable: Vec<_> =
            usable.map(|(key, minion)| (minion.pace.ratio(), key)).collect();
        usable.sort_by(|(a, _), (b, _)| a.total_cmp(b));
        let waiting = job.tasks.iter().filter(|it| it.step == step && it.is_waiting());
        let count = (waiting.count() * CANDIDATES_PER_TASK).min(MAX_CANDIDATES);
        usable.into_iter().take(count).map(|(_, key)| key).collect()
    }

    /// Handles the answer to a call for advice.
    pub fn advice_answered(
        &mut self,
        now: Moment,
        number: AdviceNumber,
        answer: AdviceAnswer,
    ) {
        let asked = self.advice_calls.in_flight.take_if(|(asked, ..)| *asked == number);
        let Some((_, step, candidates)) = asked else { return };
        let job = self.jobs.get_mut(&step.occurrence);
        match (answer, job) {
            (AdviceAnswer::Allowed(allowed), Some(job)) => {
                let validity_ms = job.queue.advice.map_or(0, |rules| rules.validity_ms);
                let until = now + validity_ms.saturating_sub(TICKET_MARGIN_MS);
                let advice = job.advice.entry(step.step).or_default();
                for (id, ticket) in allowed {
                    if let Some(&key) = self.minions.by_id.get(&id) {
                        advice.tickets.insert(key, (ticket, until));
                    }
                }
                let refused = candidates
                    .into_iter()
                    .filter(|key| !advice.tickets.contains_key(key));
                advice.denied.extend(refused);
                job.search = SearchState::default();
                self.placement_due = true;
            }
            (AdviceAnswer::Allowed(_), None) => {}
            (AdviceAnswer::Lost, _) => {
                warn!(target: "job", request_id:% = step.occurrence.job, step = step.step;
                    "advice call failed; it will be repeated");
                self.advice_calls.not_before = now + RETRY_MS;
                self.advice_calls.queue(step);
            }
        }
        self.advance(now);
    }
}
