//! Advice: which minions a queue's policy allows to run a step.
//!
//! Only the platform's advice service knows, and it answers one call of an instance at a time.
//! What it says of a step does not change, so that each minion is named once; its tickets
//! expire.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use log::{info, warn};
use serde::{Deserialize, Serialize};

use crate::effect::Effect;
use crate::engine::Engine;
use crate::id::{MinionId, OccurrenceRef, SharedStr};
use crate::job::Job;
use crate::minion::{MinionKey, MinionState};
use crate::time::Moment;

/// The most minions that one call names. Each of them costs time.
const MAX_NAMED: usize = 30;

/// How many minions are named for each task that waits; some are not allowed, and others are
/// full when the answer comes.
const NAMED_PER_TASK: usize = 3;

/// The pause after a call that was not answered, or turned away.
const RETRY_MS: u64 = 100;

/// The time before its end at which a ticket is not used any more.
const TICKET_MARGIN_MS: u64 = 100;

/// How a queue takes advice.
#[derive(Debug, Copy, Clone, PartialEq, Serialize, Deserialize)]
pub struct AdviceRules {
    /// The time that an answer takes.
    pub decision_ms: u64,
    /// The further time for each minion that is named.
    pub per_minion_ms: u64,
    /// How long a ticket is valid.
    pub validity_ms: u64,
}

/// A step of one occurrence of a job.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Ord, PartialOrd)]
pub struct StepRef {
    /// The occurrence.
    pub occurrence: OccurrenceRef,
    /// The number of the step.
    pub step: u16,
}

/// The number of a call for advice, unique for an engine.
#[derive(Debug, Default, Copy, Clone, Eq, PartialEq)]
pub struct AdviceNumber(pub u64);

/// An order to ask for advice.
#[derive(Debug, Clone)]
pub struct AdviceOrder {
    /// The call, which its answer names.
    pub number: AdviceNumber,
    /// The step.
    pub step: StepRef,
    /// The minions that are named.
    pub minions: Vec<MinionId>,
    /// How long the answer takes at least.
    pub takes_ms: u64,
}

/// The answer to a call for advice.
#[derive(Debug, Clone)]
pub enum AdviceAnswer {
    /// The minions that may run the step, with their tickets.
    Allowed(Vec<(MinionId, SharedStr)>),
    /// No answer, or none that can be used.
    Lost,
}

/// What is known of the minions for one step.
#[derive(Debug, Default)]
pub(crate) struct StepAdvice {
    /// The tickets, with their ends.
    tickets: BTreeMap<MinionKey, (SharedStr, Moment)>,
    /// The minions that may not run the step.
    denied: BTreeSet<MinionKey>,
}

impl StepAdvice {
    /// Returns the ticket for a minion, if there is one that is valid.
    pub(crate) fn ticket(&self, minion: MinionKey, now: Moment) -> Option<&SharedStr> {
        let (ticket, until) = self.tickets.get(&minion)?;
        (now < *until).then_some(ticket)
    }

    /// Forgets the ticket for a minion that has rejected it.
    pub(crate) fn forget(&mut self, minion: MinionKey) {
        self.tickets.remove(&minion);
    }
}

/// The calls for advice of an instance.
#[derive(Debug, Default)]
pub(crate) struct AdviceCalls {
    /// The steps that wait for a call, in order.
    waiting: VecDeque<StepRef>,
    /// The call that is under way.
    asked: Option<(AdviceNumber, StepRef, Vec<MinionKey>)>,
    /// The number of the last call.
    last: AdviceNumber,
    /// The next call is not sent before.
    not_before: Moment,
}

impl AdviceCalls {
    /// Lets a step wait for a call, unless it does or one is under way.
    fn want(&mut self, step: StepRef) {
        let asked = self.asked.as_ref().is_some_and(|(_, asked, _)| *asked == step);
        if !asked && !self.waiting.contains(&step) {
            self.waiting.push_back(step);
        }
    }

    /// Returns when a call is due, if one is.
    pub(crate) fn due(&self) -> Option<Moment> {
        (self.asked.is_none() && !self.waiting.is_empty()).then_some(self.not_before)
    }
}

impl Engine {
    /// Lets the steps of a job wait for advice whose tasks wait.
    pub(crate) fn queue_advice_call(&mut self, id: OccurrenceRef) {
        let Some(job) = self.jobs.get(&id) else { return };
        if job.queue.advice.is_none() {
            return;
        }
        let waiting = job.tasks.iter().filter(|task| task.is_waiting());
        let steps: BTreeSet<u16> = waiting.map(|task| task.step).collect();
        for step in steps {
            self.advice_calls.want(StepRef { occurrence: id, step });
        }
    }

    /// Sends the next call for advice, if one is due.
    pub(crate) fn drive_advice(&mut self, now: Moment) {
        while self.advice_calls.due().is_some_and(|due| due <= now) {
            let Some(step) = self.advice_calls.waiting.pop_front() else { return };
            let Some(job) = self.jobs.get(&step.occurrence) else { continue };
            let Some(rules) = job.queue.advice else { continue };
            let named = self.minions_to_name(job, step.step, now);
            if named.is_empty() {
                continue;
            }
            self.advice_calls.last.0 += 1;
            let number = self.advice_calls.last;
            let id = |&key: &MinionKey| self.minions.arena[key].entry.id.clone();
            let minions: Vec<MinionId> = named.iter().map(id).collect();
            let takes_ms = rules.decision_ms + rules.per_minion_ms * minions.len() as u64;
            info!(target: "job", request_id:% = step.occurrence.job, step = step.step,
                minions = minions.len(), takes_ms; "advice is asked for");
            self.advice_calls.asked = Some((number, step, named));
            let order = AdviceOrder { number, step, minions, takes_ms };
            self.effects.push(Effect::Advise(order));
        }
    }

    /// Returns the minions to name for a step, the fastest first: those that have not been
    /// named, or whose tickets have expired.
    fn minions_to_name(&self, job: &Job, step: u16, now: Moment) -> Vec<MinionKey> {
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
                && entry.state == MinionState::Ready
                && minion.unlisted.is_none()
                && label.is_none_or(|label| entry.labels.contains(label))
                && unknown(*key)
        });
        let mut usable: Vec<_> =
            usable.map(|(key, minion)| (minion.pace.ratio(), key)).collect();
        usable.sort_by(|(a, _), (b, _)| a.total_cmp(b));
        let waiting = job.tasks.iter().filter(|it| it.step == step && it.is_waiting());
        let count = (waiting.count() * NAMED_PER_TASK).min(MAX_NAMED);
        usable.into_iter().take(count).map(|(_, key)| key).collect()
    }

    /// Takes the answer to a call for advice.
    pub fn advice_answered(
        &mut self,
        now: Moment,
        number: AdviceNumber,
        answer: AdviceAnswer,
    ) {
        let asked = self.advice_calls.asked.take_if(|(asked, ..)| *asked == number);
        let Some((_, step, named)) = asked else { return };
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
                let refused =
                    named.into_iter().filter(|key| !advice.tickets.contains_key(key));
                advice.denied.extend(refused);
                self.placement_due = true;
            }
            (AdviceAnswer::Allowed(_), None) => {}
            (AdviceAnswer::Lost, _) => {
                warn!(target: "job", request_id:% = step.occurrence.job, step = step.step;
                    "no advice");
                self.advice_calls.not_before = now + RETRY_MS;
                self.advice_calls.want(step);
            }
        }
        self.advance(now);
    }
}
