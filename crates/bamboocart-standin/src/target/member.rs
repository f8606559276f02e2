//! One target: a minion or a worker.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, Weak};
use std::time::Duration;

use bamboocart_core::config::Role;
use bamboocart_core::id::{Incarnation, SubmissionId, TaskIndex};
use bamboocart_platform::InstanceEntry;
use bamboocart_wire::api::{LeaseBody, RunAnswer, RunBody, TargetStatus};
use serde::Serialize;

use crate::clock;
use crate::fault_proxy::FaultProxy;
use crate::history::{EventKind, RunId};
use crate::http::{Call, Method};

use super::control::TargetRow;
use super::faults::{LeavingMode, Switches};
use super::journal::Journal;
use super::leases::Leases;
use super::registrar::Registrar;
use super::run_time::{self, RunTimes};
use super::timer::Timer;
use super::usage::{Usage, UsageBody};

/// A running minion or worker.
pub struct Target {
    /// The target itself, for delayed actions.
    weak_self: Weak<Self>,
    /// The list entry; its `state` and `incarnation` are those at the start.
    pub(super) entry: InstanceEntry,
    /// The time by which the usage report lags.
    usage_lag_ms: u64,
    /// The proxy that all connections go through.
    pub(super) proxy: FaultProxy,
    pub(super) shared: Arc<Shared>,
    state: Mutex<State>,
}

/// The state that all targets of a process share.
pub struct Shared {
    /// The history of all targets.
    pub journal: Journal,
    /// Runs the ends of tasks, delayed answers and the expiry of leases.
    pub timer: Timer,
    /// Sends the list entries of the targets to the platform.
    pub registrar: Registrar,
}

/// The mutable state of a target.
pub(super) struct State {
    /// The current incarnation, changed by a restart.
    pub(super) incarnation: Incarnation,
    /// The running tasks by run number.
    pub(super) running: HashMap<u64, RunningTask>,
    /// The number of the next run.
    next_run: u64,
    run_times: RunTimes,
    /// The fault switches that change answers.
    pub(super) switches: Switches,
    /// Whether the target was killed and not restarted yet.
    pub(super) dead: bool,
    /// The leases, used by workers only.
    pub(super) leases: Leases,
    /// The usage, reported by workers only.
    usage: Usage,
    /// The number of tasks started so far.
    starts: u64,
    /// The number of sends that were rejected.
    rejected: u64,
}

/// A running task.
pub(super) struct RunningTask {
    /// The ids of the run, as recorded in the history.
    run: RunId,
    /// The id of the lease that it runs under, on a worker.
    pub(super) lease: Option<u64>,
    /// The call that is answered with the result.
    pub(super) call: Call,
    /// The result, in JSON.
    result: String,
}

/// The result of a task, which names the task so that mismatched answers can be detected.
#[derive(Debug, Serialize)]
struct ResultText<'a> {
    submission: &'a SubmissionId,
    /// The index of the task in its submission.
    task: TaskIndex,
    /// The text of the payload that the result repeats.
    #[serde(skip_serializing_if = "Option::is_none")]
    mark: Option<String>,
    run_ms: u64,
}

/// The code that tells the caller why a target did not start a task.
type RejectCode = &'static str;

impl Target {
    /// Creates a target behind a proxy.
    pub fn new(
        entry: InstanceEntry,
        usage_lag_ms: u64,
        run_times: RunTimes,
        proxy: FaultProxy,
        shared: Arc<Shared>,
    ) -> Arc<Self> {
        let state = Mutex::new(State {
            incarnation: entry.incarnation,
            running: HashMap::new(),
            next_run: 0,
            run_times,
            switches: Switches::default(),
            dead: false,
            leases: Leases::default(),
            usage: Usage::default(),
            starts: 0,
            rejected: 0,
        });
        Arc::new_cyclic(|weak_self| Self {
            weak_self: weak_self.clone(),
            entry,
            usage_lag_ms,
            proxy,
            shared,
            state,
        })
    }

    /// Routes a call; leases and usage exist on workers only.
    pub fn serve(&self, mut call: Call) {
        let (method, path) = call.route();
        let path: Vec<&str> = path.iter().map(String::as_str).collect();
        let worker = self.entry.role == Role::Worker;
        match (&method, path.as_slice()) {
            (&Method::POST, ["run"]) => match call.body_json::<RunBody>() {
                Ok(body) => self.run(call, body),
                Err(message) => call.fail(400, &message),
            },
            (&Method::DELETE, ["run", submission, task]) => {
                self.stop(call, submission, task);
            }
            (&Method::GET, ["live"]) => {
                let status = self.status();
                self.answer(call, 200, status);
            }
            (&Method::POST, ["leases"]) if worker => {
                match call.body_json::<LeaseBody>() {
                    Ok(body) => self.grant(call, &body),
                    Err(message) => call.fail(400, &message),
                }
            }
            (&Method::POST, ["leases", id, "renew"]) if worker => self.renew(call, id),
            (&Method::DELETE, ["leases", id]) if worker => self.release_lease(call, id),
            (&Method::GET, ["usage"]) if worker => {
                let report = self.lock().usage.report(clock::now(), self.usage_lag_ms);
                self.answer(call, 200, report);
            }
            _ => call.fail(404, "no such path"),
        }
    }

    /// Returns the state of the target for the control interface.
    pub fn row(&self) -> TargetRow {
        let state = self.lock();
        TargetRow {
            name: self.entry.name.clone(),
            address: self.entry.address.clone(),
            failure_domain: self.entry.failure_domain.clone(),
            incarnation: state.incarnation,
            slots: self.entry.slots,
            busy: state.busy_slots(),
            leaving: state.switches.leaving.is_some(),
            dead: state.dead,
            starts: state.starts,
            rejected: state.rejected,
        }
    }

    /// Starts a task or rejects it.
    fn run(&self, call: Call, body: RunBody) {
        let hints = run_time::hints(&body.payload);
        let mut state = self.lock();
        if state.dead {
            return call.withhold();
        }
        let run = RunId {
            submission: body.submission,
            task: body.task,
            attempt: body.attempt,
            kind: body.kind,
            mark: hints.mark.as_deref().map(Into::into),
        };
        let proof = body.lease.map(|proof| (proof.lease, proof.token));
        if let Err(code) = self.admit(&state, proof) {
            state.rejected += 1;
            drop(state);
            let body = answer_body(&run, false, Some(code), None);
            return self.answer(call, 503, body);
        }
        self.shared.journal.record(&self.entry.name, EventKind::Started, Some(&run));
        state.starts += 1;
        if state.switches.fail_all {
            drop(state);
            self.shared.journal.record(&self.entry.name, EventKind::Failed, Some(&run));
            let body = answer_body(&run, true, Some("failed"), None);
            return self.answer_run(call, 500, body);
        }
        let run_time = state.run_times.draw(run.kind.as_str(), &hints);
        let result = ResultText {
            submission: &run.submission,
            task: run.task,
            mark: hints.mark,
            run_ms: u64::try_from(run_time.as_millis()).unwrap_or(u64::MAX),
        };
        let result = serde_json::to_string(&result).unwrap_or_default();
        let number = state.next_run;
        state.next_run += 1;
        let lease = proof.map(|(lease, _)| lease);
        state.running.insert(number, RunningTask { run, lease, call, result });
        self.record_usage(&mut state);
        drop(state);
        self.run_after(run_time, move |target| target.finish(number));
    }

    /// Checks whether a task may start, given the lease and fencing token that it
    /// presents.
    fn admit(&self, state: &State, proof: Option<(u64, u64)>) -> Result<(), RejectCode> {
        if state.switches.leaving == Some(LeavingMode::Reject) {
            return Err("leaving");
        }
        if self.entry.role == Role::Worker {
            let (lease, token) = proof.ok_or("lease")?;
            let slots = state.leases.slots_for(clock::now(), lease, token);
            let slots = slots.ok_or("lease")?;
            let under_lease = state.running.values().filter(|r| r.lease == Some(lease));
            if under_lease.count() >= slots as usize {
                return Err("busy");
            }
        }
        match state.busy_slots() < self.entry.slots {
            true => Ok(()),
            false => Err("busy"),
        }
    }

    /// Ends a task and answers with its result, unless it was stopped before.
    fn finish(&self, number: u64) {
        let mut state = self.lock();
        let Some(ended) = state.running.remove(&number) else { return };
        self.record_usage(&mut state);
        drop(state);
        self.shared.journal.record(
            &self.entry.name,
            EventKind::Finished,
            Some(&ended.run),
        );
        let body = answer_body(&ended.run, true, None, Some(ended.result));
        self.answer_run(ended.call, 200, body);
    }

    /// Stops all runs of a task at the request of its caller.
    fn stop(&self, call: Call, submission: &str, task: &str) {
        let is_selected = |running: &RunningTask| {
            running.run.submission.to_string() == submission
                && running.run.task.0.to_string() == task
        };
        let stopped = self.stop_where("stopped", is_selected);
        let status = if stopped == 0 { 404 } else { 200 };
        self.answer(call, status, serde_json::json!({ "stopped": stopped }));
    }

    /// Stops all tasks that meet a condition, answers them with `code` and returns their
    /// number.
    pub(super) fn stop_where(
        &self,
        code: &str,
        condition: impl Fn(&RunningTask) -> bool,
    ) -> usize {
        let mut state = self.lock();
        let stopped: Vec<RunningTask> = state
            .running
            .extract_if(|_, running| condition(running))
            .map(|e| e.1)
            .collect();
        self.record_usage(&mut state);
        drop(state);
        let count = stopped.len();
        for ended in stopped {
            self.shared.journal.record(
                &self.entry.name,
                EventKind::Stopped,
                Some(&ended.run),
            );
            let body = answer_body(&ended.run, true, Some(code), None);
            self.answer_run(ended.call, 500, body);
        }
        count
    }

    /// Returns the body of `GET /live`.
    fn status(&self) -> TargetStatus {
        let state = self.lock();
        TargetStatus {
            leaving: state.switches.leaving.is_some(),
            slots: self.entry.slots,
            busy: state.busy_slots(),
        }
    }

    /// Answers the call that sent a task, unless such answers are dropped.
    fn answer_run(&self, call: Call, status: u16, body: RunAnswer) {
        let dropped = self.lock().switches.drop_answer;
        match dropped {
            true => call.withhold(),
            false => self.answer(call, status, body),
        }
    }

    /// Answers a call, after the delay of the fault switch.
    pub(super) fn answer(
        &self,
        call: Call,
        status: u16,
        body: impl Serialize + Send + 'static,
    ) {
        let delay_ms = self.lock().switches.delay_ms;
        match delay_ms {
            0 => call.answer(status, &body),
            _ => self.run_after(Duration::from_millis(delay_ms), move |_| {
                call.answer(status, &body);
            }),
        }
    }

    /// Runs an action after a delay, if the target still exists then.
    pub(super) fn run_after(
        &self,
        delay: Duration,
        action: impl FnOnce(&Self) + Send + 'static,
    ) {
        let weak_self = self.weak_self.clone();
        self.shared.timer.after(delay, move || {
            if let Some(target) = weak_self.upgrade() {
                action(&target);
            }
        });
    }

    /// Records the current usage, on workers only.
    pub(super) fn record_usage(&self, state: &mut State) {
        if self.entry.role != Role::Worker {
            return;
        }
        let sample = UsageBody {
            as_of_ms: clock::now().as_ms(),
            slots: self.entry.slots,
            busy: state.busy_slots(),
            leased: state.leases.leased_slots(),
        };
        state.usage.add(sample);
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

impl State {
    /// Returns the number of slots in use.
    fn busy_slots(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }
}

/// Creates the body of the answer to `POST /run`.
fn answer_body(
    run: &RunId,
    started: bool,
    code: Option<&str>,
    result: Option<String>,
) -> RunAnswer {
    RunAnswer {
        submission: run.submission.clone(),
        task: run.task,
        attempt: run.attempt,
        started,
        code: code.map(str::to_owned),
        result: result.map(Into::into),
    }
}
