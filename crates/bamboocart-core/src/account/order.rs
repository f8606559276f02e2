//! Replays the queues of one incarnation and checks the order of its starts.

use std::collections::{BTreeMap, HashMap};

use super::entry::{
    AnswerKind, Entry, Fact, FinishResult, SchedulingParams, StartReason, Subject,
    TaskRange,
};
use super::fault::Fault;
use super::floor::{FloorUse, Floors};
use super::share::{Queue, scaled_cost};
use super::summary::{CustomerTotals, StartTotals};
use super::tasks::{SubmissionTasks, Task, TaskState};
use crate::id::{ConfigVersion, CustomerName, GroupName, SubmissionId, TaskIndex};

/// A replay of the queues of one incarnation from its entries.
///
/// The model is start-time fair queueing (SFQ) for each queue and rank. The start tag of
/// a customer increases by cost / weight at the first start of each task, whatever the
/// reason of the start. When a task of a customer without waiting tasks is admitted, the
/// customer's start tag is raised to the virtual time, which is the highest start tag of
/// a started task.
#[derive(Debug)]
pub(super) struct OrderReplay {
    /// How far a waiting customer may be behind, as a multiple of the sum of the largest
    /// task costs of both customers.
    tolerance: u32,
    /// Whether all earlier entries are known.
    complete: bool,
    queues: HashMap<GroupName, Queue>,
    /// The submissions that are not answered yet.
    submissions: HashMap<SubmissionId, SubmissionTasks>,
    /// The version in force, or `None` until the first change of the configuration.
    config: Option<ConfigVersion>,
    pub(super) starts: StartTotals,
    pub(super) customers: BTreeMap<CustomerName, CustomerTotals>,
}

impl OrderReplay {
    /// Creates a replay that begins with the first entry of an incarnation.
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

    /// Discards the state of the queues, because missing entries may have changed it.
    pub(super) fn forget(&mut self) {
        self.complete = false;
        self.queues.clear();
        self.submissions.clear();
        self.config = None;
    }

    /// Applies an entry and adds the faults that it reveals.
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
                    self.remove_submission(&submission, true, faults);
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

    /// Adds tasks to their queue.
    fn admit(
        &mut self,
        subject: Subject,
        range: TaskRange,
        params: SchedulingParams,
        faults: &mut Vec<Fault>,
    ) {
        let submission = &subject.submission;
        self.totals(&subject.customer).admitted_tasks += u64::from(range.count);
        let queue = self.queues.entry(params.queue.clone()).or_default();
        match queue.last_arrival.replace(params.arrival) {
            Some(previous) if previous > params.arrival => {
                let (submission, arrival) = (submission.clone(), params.arrival);
                faults.push(Fault::ArrivalNotRising { submission, previous, arrival });
            }
            _ => {}
        }
        let tasks = self.submissions.entry(submission.clone()).or_default();
        let admission = tasks.admissions.len();
        let share = queue.share(&params, &subject.customer);
        share.largest_cost = share.largest_cost.max(scaled_cost(&params));
        for offset in 0..range.count {
            let task = TaskIndex(range.first.0.saturating_add(offset));
            if tasks.by_index.contains_key(&task) {
                let submission = submission.clone();
                faults.push(Fault::AdmittedTwice { submission, task });
                continue;
            }
            tasks.by_index.insert(task, Task::waiting(admission));
            queue.add(&params, &subject.customer);
        }
        tasks.admissions.push((subject.customer, params));
    }

    /// Checks a start and removes the task from its queue.
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
            let task = tasks.by_index.get_mut(&index)?;
            let (customer, params) = tasks.admissions.get(task.admission)?;
            Some((task, customer, params))
        });
        let Some((task, customer, params)) = found else {
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
        match task.state {
            TaskState::Queued => {
                let queue = self.queues.entry(params.queue.clone()).or_default();
                queue.count_start(floors, self.config, self.complete);
                if matches!(reason, StartReason::Order | StartReason::Floor) {
                    let rule = (reason, self.tolerance);
                    faults.extend(queue.passed_over(&submission, customer, params, rule));
                }
                if reason == StartReason::Floor {
                    let rank = params.rank;
                    match queue.use_floor(rank) {
                        FloorUse::Allowed => {}
                        FloorUse::Unknown => self.starts.floor_unchecked += 1,
                        FloorUse::Exceeds { percent } => {
                            let submission = submission.clone();
                            faults.push(Fault::FloorExceeded {
                                submission,
                                rank,
                                percent,
                            });
                        }
                    }
                }
                queue.start(params, customer, task.starts == 0);
            }
            TaskState::Withdrawn => {
                let submission = submission.clone();
                faults.push(Fault::NotWaiting { submission, task: index });
            }
            TaskState::Sent if !again => {
                let submission = submission.clone();
                faults.push(Fault::StartedTwice { submission, task: index });
            }
            TaskState::Sent => {}
        }
        task.state = TaskState::Sent;
        task.starts += 1;
        task.running += 1;
        if contradicts {
            let subject = Box::new(subject);
            faults.push(Fault::StartContradictsAdmission { subject, reason });
        }
    }

    /// Ends an attempt; the task is queued again if it certainly never ran.
    fn finish(&mut self, subject: &Subject, index: TaskIndex, result: FinishResult) {
        let Some(tasks) = self.submissions.get_mut(&subject.submission) else {
            return;
        };
        let Some(task) = tasks.by_index.get_mut(&index) else {
            return;
        };
        task.running = task.running.saturating_sub(1);
        task.ran |= result != FinishResult::NotStarted;
        if !matches!(result, FinishResult::Complete | FinishResult::NotStarted) {
            let (_, params) = &tasks.admissions[task.admission];
            self.queues.entry(params.queue.clone()).or_default().may_retry = true;
        }
        let waits_again = task.state == TaskState::Sent && task.running == 0 && !task.ran;
        if waits_again && !tasks.cancelled {
            task.state = TaskState::Queued;
            let (customer, params) = &tasks.admissions[task.admission];
            let queue = self.queues.entry(params.queue.clone()).or_default();
            queue.add(params, customer);
        }
    }

    /// Counts an answer and removes the submission.
    fn answer(&mut self, subject: &Subject, answer: AnswerKind, faults: &mut Vec<Fault>) {
        let totals = self.totals(&subject.customer);
        match answer {
            AnswerKind::Complete => totals.complete += 1,
            _ => totals.other_outcomes += 1,
        }
        let not_run = matches!(answer, AnswerKind::Refused(_));
        self.remove_submission(&subject.submission, not_run, faults);
    }

    /// Checks that a change of the configuration continues from the version in force.
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

    /// Removes a submission, after checking the claim that it was not run.
    fn remove_submission(
        &mut self,
        submission: &SubmissionId,
        not_run: bool,
        faults: &mut Vec<Fault>,
    ) {
        self.withdraw(submission);
        self.check_not_run(submission, not_run, faults);
        self.submissions.remove(submission);
    }

    /// Adds a fault if the answer to the caller said that nothing was run, but a task
    /// may have run.
    fn check_not_run(
        &self,
        submission: &SubmissionId,
        not_run: bool,
        faults: &mut Vec<Fault>,
    ) {
        let tasks = self.submissions.get(submission);
        let may_have_run = tasks.is_some_and(|tasks| {
            tasks.by_index.values().any(|task| task.running > 0 || task.ran)
        });
        if not_run && may_have_run {
            faults.push(Fault::UntrueRefusal { submission: submission.clone() });
        }
    }

    /// Removes a submission's waiting tasks from their queues.
    fn withdraw(&mut self, submission: &SubmissionId) {
        let Some(tasks) = self.submissions.get_mut(submission) else {
            return;
        };
        tasks.cancelled = true;
        for task in tasks.by_index.values_mut() {
            if task.state != TaskState::Queued {
                continue;
            }
            task.state = TaskState::Withdrawn;
            let (customer, params) = &tasks.admissions[task.admission];
            if let Some(queue) = self.queues.get_mut(&params.queue) {
                queue.share(params, customer).remove_task(params.arrival);
            }
        }
    }

    fn totals(&mut self, customer: &CustomerName) -> &mut CustomerTotals {
        self.customers.entry(customer.clone()).or_default()
    }
}
