//! Submissions: resolving their owner, and admitting or forwarding them.

use crate::engine::admit::Plan;
use crate::engine::answer::Answer;
use crate::engine::record::{QueuedTask, Record, Requester, SubmissionKey, Task};
use crate::engine::{Effect, Engine, NewSubmission};
use crate::id::SubmissionId;
use crate::message::CallerRequest;
use crate::outcome::{Outcome, Refusal, RefusalCode, UnknownCode};
use crate::ownership::{self, ContentDigest, Lookup, Owner, ResolveContext, Resolved};
use crate::queue::NewEntry;
use crate::time::Timestamp;

/// A submission that this instance owns and offers to its registry.
struct Arrived {
    requester: Requester,
    id: SubmissionId,
    /// The owner under whose right it is offered.
    owner: Owner,
    submission: NewSubmission,
}

impl Engine {
    /// Handles a submission of a caller or of a peer.
    pub(super) fn submit(
        &mut self,
        now: Timestamp,
        requester: Requester,
        submission: NewSubmission,
        effects: &mut Vec<Effect>,
    ) {
        let Some(id) = submission.id.clone() else {
            self.submit_without_id(now, requester, submission, effects);
            return;
        };
        match self.resolve(&id) {
            Resolved::Local(owner) => {
                let arrived = Arrived { requester, id, owner, submission };
                self.submit_owned(now, arrived, effects);
            }
            Resolved::Remote(owner) => {
                let ask = CallerRequest::Submit(Box::new(submission));
                self.forward(now, requester, &owner, ask, effects);
            }
            Resolved::Gone(owner) if self.is_handing_over(&owner) => {
                self.defer(
                    requester,
                    CallerRequest::Submit(Box::new(submission)),
                    effects,
                );
            }
            unresolved => {
                let answer = Answer::unknown(id, unknown_code(&unresolved));
                self.observe_answer(&submission, &answer.outcome, effects);
                self.reply(&requester, answer, submission.want_tickets, effects);
            }
        }
    }

    /// Returns who owns an id.
    pub(super) fn resolve(&self, id: &SubmissionId) -> Resolved {
        let live = |name: &_| self.membership.peers.live_incarnation(name);
        let view = ResolveContext {
            rights: self.ownership.rights(),
            issuer: &self.issuer,
            claims: &self.claims,
            successions: &self.successions,
            live: &live,
        };
        ownership::resolve(id, &view)
    }

    /// Handles a submission that has no id yet, so that no other copy of it exists.
    fn submit_without_id(
        &mut self,
        now: Timestamp,
        requester: Requester,
        mut submission: NewSubmission,
        effects: &mut Vec<Effect>,
    ) {
        if !self.ownership.is_serving()
            && self.forward_to_serving_peer(now, &requester, &submission, effects)
        {
            return;
        }
        match self.plan(now, &submission) {
            Ok(plan) => {
                let id = SubmissionId::Ticket(self.issuer.issue());
                submission.id = Some(id.clone());
                let me = self.me.clone();
                let arrived = Arrived { requester, id, owner: me, submission };
                self.offer(now, arrived, Ok(plan), effects);
            }
            Err(refusal) => {
                self.record_refused(now, None, &submission, refusal);
                let outcome = Outcome::Refused(refusal);
                self.observe_answer(&submission, &outcome, effects);
                let answer = Answer { id: None, outcome, attempts: 0 };
                self.reply(&requester, answer, submission.want_tickets, effects);
            }
        }
    }

    /// Handles a submission that this instance owns.
    fn submit_owned(
        &mut self,
        now: Timestamp,
        arrived: Arrived,
        effects: &mut Vec<Effect>,
    ) {
        if self.should_defer(&arrived.id) {
            let ask = CallerRequest::Submit(Box::new(arrived.submission));
            self.defer(arrived.requester, ask, effects);
            return;
        }
        let plan = self.plan(now, &arrived.submission);
        self.offer(now, arrived, plan, effects);
    }

    /// Admits a submission that the registry does not know, or answers it from the
    /// registry.
    fn offer(
        &mut self,
        now: Timestamp,
        arrived: Arrived,
        plan: Result<Plan, Refusal>,
        effects: &mut Vec<Effect>,
    ) {
        let Arrived { requester, id, owner, submission } = arrived;
        let want = submission.want_tickets;
        let digest = digest(&submission);
        let overloaded = Refusal { code: RefusalCode::Overloaded, retry_after_ms: None };
        let draining = Refusal { code: RefusalCode::Draining, retry_after_ms: None };
        let refused = |refusal| Answer::refused(id.clone(), refusal);
        let (mut fresh, mut repeated) = (false, false);
        let answer = match self.ownership.look_up(&id, &owner, digest, now) {
            Lookup::New(vacancy) => match plan {
                Ok(plan) => {
                    let record = record(&id, submission, &plan, now, requester);
                    let key = vacancy.admit(record);
                    self.accepted(now, key, plan, effects);
                    return;
                }
                Err(refusal) => {
                    fresh = true;
                    refused(vacancy.refuse(refusal))
                }
            },
            Lookup::Known(key) => {
                self.answer_resubmission(key, requester, want, effects);
                return;
            }
            Lookup::Refused(refusal) => {
                repeated = true;
                refused(refusal)
            }
            Lookup::Reused => {
                refused(Refusal { code: RefusalCode::IdReused, retry_after_ms: None })
            }
            Lookup::Forgotten => Answer::unknown(id, UnknownCode::Forgotten),
            Lookup::Early => Answer::unknown(id, UnknownCode::ClockAhead),
            Lookup::Full(arrival) => {
                fresh = true;
                refused(arrival.refuse(overloaded))
            }
            Lookup::Draining(arrival) => {
                fresh = true;
                refused(arrival.refuse(draining))
            }
            Lookup::NotOwned => Answer::unknown(id, UnknownCode::OwnerGone),
        };
        if let (true, Outcome::Refused(refusal)) = (fresh, &answer.outcome) {
            self.record_refused(now, answer.id.clone(), &submission, *refusal);
        }
        if !repeated {
            self.observe_answer(&submission, &answer.outcome, effects);
        }
        self.reply(&requester, answer, want, effects);
    }

    /// Queues the tasks of a submission that was admitted.
    fn accepted(
        &mut self,
        now: Timestamp,
        key: SubmissionKey,
        plan: Plan,
        effects: &mut Vec<Effect>,
    ) {
        let Some(record) = self.ownership.get(key) else { return };
        let (count, deadline) = (record.tasks.len(), record.deadline);
        self.deadlines.insert((deadline, key));
        self.record_admitted(now, key, &plan);
        // The plan has checked the quota with the same arguments.
        if let Some(customer) = self.customers.name(plan.customer).cloned() {
            let _ = self.quotas.admit(&customer, count as u32, now);
        }
        if let Some(group) = self.groups.get_mut(&plan.group) {
            for (task, cost_us) in plan.costs_us.iter().enumerate() {
                let queued = QueuedTask { submission: key, task: task as u16 };
                // The plan has checked that there is room, and the key is new.
                let _ = group.queue.push(NewEntry {
                    key: queued,
                    customer: plan.customer,
                    weight: plan.weight,
                    rank: plan.rank,
                    cost_us: *cost_us,
                    start_by: plan.start_by,
                });
            }
        }
        self.dispatch(now, &plan.group, effects);
    }

    /// Answers a resubmission from its record, or adds it to the waiters.
    fn answer_resubmission(
        &mut self,
        key: SubmissionKey,
        requester: Requester,
        want_tickets: u16,
        effects: &mut Vec<Effect>,
    ) {
        let Some(record) = self.ownership.get_mut(key) else { return };
        let Some(outcome) = record.outcome.clone() else {
            record.waiters.push((requester, want_tickets));
            return;
        };
        let (id, attempts) = (Some(record.id.clone()), record.attempts);
        self.reply(&requester, Answer { id, outcome, attempts }, want_tickets, effects);
    }
}

/// Returns the code of the answer for an id that no reachable instance owns.
pub(super) fn unknown_code(resolved: &Resolved) -> UnknownCode {
    match resolved {
        Resolved::Local(_) | Resolved::Remote(_) | Resolved::Gone(_) => {
            UnknownCode::OwnerGone
        }
        Resolved::Future | Resolved::Past => UnknownCode::NoClaim,
        Resolved::NotIssued => UnknownCode::NeverSeen,
    }
}

/// Creates the record of a submission that is admitted.
fn record(
    id: &SubmissionId,
    submission: NewSubmission,
    plan: &Plan,
    now: Timestamp,
    requester: Requester,
) -> Record {
    let tasks: Vec<Task> = submission.tasks.into_iter().map(Task::queued).collect();
    Record {
        id: id.clone(),
        customer: plan.customer,
        kind: plan.kind,
        group: plan.group.clone(),
        priority: plan.priority.clone(),
        rules: plan.rules,
        unfinished: tasks.len(),
        tasks,
        attempts: 0,
        in_flight: 0,
        started: false,
        config_version: plan.config_version,
        arrived: now,
        deadline: plan.deadline,
        longest_us: 0,
        waiters: vec![(requester, submission.want_tickets)],
        outcome: None,
        traceparent: submission.traceparent,
    }
}

/// Returns the digest of the content of a submission, by which reuse of its id is
/// detected.
fn digest(submission: &NewSubmission) -> ContentDigest {
    let head = [
        submission.customer.as_str().as_bytes(),
        submission.kind.as_str().as_bytes(),
        if submission.job { b"job" } else { b"request" },
    ];
    let payloads = submission.tasks.iter().map(|task| &*task.payload);
    ContentDigest::of(head.into_iter().chain(payloads))
}
