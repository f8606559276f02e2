//! Replays the queues of one incarnation to check the order of its starts.

use std::collections::{BTreeMap, HashMap};

use super::entry::{
    AnswerKind, Entry, Fact, FinishResult, SchedulingParams, StartReason, Subject,
    TaskRange,
};
use super::fault::Fault;
use super::floor::{Floors, Taken};
use super::share::{Queue, scaled_cost};
use super::summary::{CustomerTotals, StartTotals};
use super::tasks::{Place, Task, Tasks};
use crate::id::{ConfigVersion, CustomerName, GroupName, SubmissionId, TaskIndex};

/// The queues of one incarnation as its entries describe them.
///
/// The model is start-time fair queueing per queue and rank. A customer's tag grows by
/// cost over weight at the first start of each task, whatever the reason of the start. A
/// customer without waiting tasks catches up with the tag of the latest start when one
/// is admitted.
#[derive(Debug)]
pub(super) struct OrderReplay {
    /// How many largest tasks of both customers a share may be behind.
    tolerance: u32,
    /// Whether every earlier admission is known.
    complete: bool,
    /// The queues.
    queues: HashMap<GroupName, Queue>,
    /// The unanswered submissions.
    submissions: HashMap<SubmissionId, Tasks>,
    /// The configuration in force, once it is known.
    config: Option<ConfigVersion>,
    /// The starts by reason.
    pub(super) starts: StartTotals,
    /// The totals by customer.
    pub(super) customers: BTreeMap<CustomerName, CustomerTotals>,
}

impl OrderReplay {
    /// Creates a replay from an incarnation's first entry on.
    pub(super) fn new(tolerance: u32) -> Self {
        Self {
            tolerance,
            complete: true,
            queues: HashMap::new(),
            submissions: HashMap::new(),
            config: None,
            starts: StartTotals::default(),
            customers: BTreeMap::new(),
        }
    }

    /// Forgets what waits, because unknown entries have changed it.
    pub(super) fn forget(&mut self) {
        self.complete = false;
        self.queues.clear();
        self.submissions.clear();
        self.config = None;
    }

    /// Applies an entry and adds the faults that it shows.
    pub(super) fn apply(
        &mut self,
        entry: Entry,
        floors: &Floors,
        faults: &mut Vec<Fault>,
    ) {
        match entry.fact {
            Fact::Admitted { subject, tasks, params } => {
                self.admit(subject, tasks, params, faults);
            }
            Fact::Refused { submission, customer, .. } => {
                self.totals(&customer).refused += 1;
                if let Some(submission) = submission {
                    self.end(&submission, true, faults);
                }
            }
            Fact::Started { subject, task, reason, .. } => {
                self.totals(&subject.customer).starts += 1;
                *self.starts.by_reason.entry(reason).or_default() += 1;
                self.start((subject, task), reason, floors, faults);
            }
            Fact::Finished { subject, task, result, .. } => {
                self.finish(&subject, task, result);
            }
            Fact::Answered { subject, answer } => self.answer(&subject, answer, faults),
            Fact::Cancelled { subject, started } => {
                self.withdraw(&subject.submission);
                self.check_not_run(&subject.submission, !started, faults);
            }
            Fact::PolicyChange { from, to } => self.change_policy(from, to, faults),
            Fact::Gap(_) => self.forget(),
        }
    }

    /// Puts tasks into their queue.
    fn admit(
        &mut self,
        subject: Subject,
        range: TaskRange,
        claim: SchedulingParams,
        faults: &mut Vec<Fault>,
    ) {
        let submission = &subject.submission;
        self.totals(&subject.customer).admitted_tasks += u64::from(range.count);
        let queue = self.queues.entry(claim.queue.clone()).or_default();
        match queue.last_arrival.replace(claim.arrival) {
            Some(previous) if previous > claim.arrival => {
                let (submission, arrival) = (submission.clone(), claim.arrival);
                faults.push(Fault::ArrivalNotRising { submission, previous, arrival });
            }
            _ => {}
        }
        let tasks = self.submissions.entry(submission.clone()).or_default();
        let claim_index = tasks.claims.len();
        let share = queue.share(&claim, &subject.customer);
        share.largest = share.largest.max(scaled_cost(&claim));
        for offset in 0..range.count {
            let task = TaskIndex(range.first.0.saturating_add(offset));
            if tasks.states.contains_key(&task) {
                let submission = submission.clone();
                faults.push(Fault::AdmittedTwice { submission, task });
                continue;
            }
            tasks.states.insert(task, Task::waiting(claim_index));
            queue.add(&claim, &subject.customer);
        }
        tasks.claims.push((subject.customer, claim));
    }

    /// Checks a start and takes the task out of its queue.
    fn start(
        &mut self,
        (subject, index): (Subject, TaskIndex),
        reason: StartReason,
        floors: &Floors,
        faults: &mut Vec<Fault>,
    ) {
        let submission = subject.submission.clone();
        let tasks = self.submissions.get_mut(&submission);
        let found = tasks.and_then(|tasks| {
            let task = tasks.states.get_mut(&index)?;
            let (customer, claim) = tasks.claims.get(task.claim)?;
            Some((task, customer, claim))
        });
        let Some((task, customer, claim)) = found else {
            match self.complete {
                true => faults.push(Fault::NotWaiting { submission, task: index }),
                false => self.starts.unchecked += 1,
            }
            return;
        };
        let again = matches!(reason, StartReason::Retry | StartReason::Hedge);
        let contradicts = *customer != subject.customer
            || again && task.starts == 0
            || reason == StartReason::Requeued && task.starts == 0;
        match task.place {
            Place::Queued => {
                let queue = self.queues.entry(claim.queue.clone()).or_default();
                queue.count_start(floors, self.config, self.complete);
                if matches!(reason, StartReason::Order | StartReason::Floor) {
                    let rule = (reason, self.tolerance);
                    faults.extend(queue.better_claim(&submission, customer, claim, rule));
                }
                if reason == StartReason::Floor {
                    let rank = claim.rank;
                    match queue.take_floor(rank) {
                        Taken::Allowed => {}
                        Taken::Unknown => self.starts.floor_unchecked += 1,
                        Taken::Exceeds { percent } => {
                            let submission = submission.clone();
                            faults.push(Fault::FloorExceeded {
                                submission,
                                rank,
                                percent,
                            });
                        }
                    }
                }
                queue.take(claim, customer, task.starts == 0);
            }
            Place::Withdrawn => {
                let submission = submission.clone();
                faults.push(Fault::NotWaiting { submission, task: index });
            }
            Place::Sent if !again => {
                let submission = submission.clone();
                faults.push(Fault::StartedTwice { submission, task: index });
            }
            Place::Sent => {}
        }
        task.place = Place::Sent;
        task.starts += 1;
        task.running += 1;
        if contradicts {
            let subject = Box::new(subject);
            faults.push(Fault::StartContradictsAdmission { subject, reason });
        }
    }

    /// Ends a send, and lets the task wait again if it certainly never ran.
    fn finish(&mut self, subject: &Subject, index: TaskIndex, result: FinishResult) {
        let Some(tasks) = self.submissions.get_mut(&subject.submission) else {
            return;
        };
        let Some(task) = tasks.states.get_mut(&index) else {
            return;
        };
        task.running = task.running.saturating_sub(1);
        task.ran |= result != FinishResult::NotStarted;
        if !matches!(result, FinishResult::Complete | FinishResult::NotStarted) {
            let (_, claim) = &tasks.claims[task.claim];
            self.queues.entry(claim.queue.clone()).or_default().may_retry = true;
        }
        let waits_again = task.place == Place::Sent && task.running == 0 && !task.ran;
        if waits_again && !tasks.cancelled {
            task.place = Place::Queued;
            let (customer, claim) = &tasks.claims[task.claim];
            let queue = self.queues.entry(claim.queue.clone()).or_default();
            queue.add(claim, customer);
        }
    }

    /// Counts an answer and forgets the submission.
    fn answer(&mut self, subject: &Subject, answer: AnswerKind, faults: &mut Vec<Fault>) {
        let totals = self.totals(&subject.customer);
        match answer {
            AnswerKind::Complete => totals.complete += 1,
            _ => totals.other_outcomes += 1,
        }
        let not_run = matches!(answer, AnswerKind::Refused(_));
        self.end(&subject.submission, not_run, faults);
    }

    /// Checks that policies follow each other.
    fn change_policy(
        &mut self,
        from: ConfigVersion,
        to: ConfigVersion,
        faults: &mut Vec<Fault>,
    ) {
        let in_force = self.config.unwrap_or(from);
        if from != in_force || to <= from {
            faults.push(Fault::PolicyWentBack { from: in_force, to });
        }
        self.config = Some(to);
    }

    /// Forgets a submission.
    fn end(&mut self, submission: &SubmissionId, not_run: bool, faults: &mut Vec<Fault>) {
        self.withdraw(submission);
        self.check_not_run(submission, not_run, faults);
        self.submissions.remove(submission);
    }

    /// Checks an answer that says "not run".
    fn check_not_run(
        &self,
        submission: &SubmissionId,
        not_run: bool,
        faults: &mut Vec<Fault>,
    ) {
        let tasks = self.submissions.get(submission);
        let may_have_run = tasks.is_some_and(|tasks| {
            tasks.states.values().any(|task| task.running > 0 || task.ran)
        });
        if not_run && may_have_run {
            faults.push(Fault::UntrueRefusal { submission: submission.clone() });
        }
    }

    /// Takes a submission's waiting tasks out of their queues.
    fn withdraw(&mut self, submission: &SubmissionId) {
        let Some(tasks) = self.submissions.get_mut(submission) else {
            return;
        };
        tasks.cancelled = true;
        for task in tasks.states.values_mut() {
            if task.place != Place::Queued {
                continue;
            }
            task.place = Place::Withdrawn;
            let (customer, claim) = &tasks.claims[task.claim];
            if let Some(queue) = self.queues.get_mut(&claim.queue) {
                queue.share(claim, customer).remove(claim.arrival);
            }
        }
    }

    /// Returns the totals of a customer.
    fn totals(&mut self, customer: &CustomerName) -> &mut CustomerTotals {
        self.customers.entry(customer.clone()).or_default()
    }
}
