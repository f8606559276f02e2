//! One minion or worker.

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

/// One target.
pub struct Target {
    /// The target itself, for actions that outlast a call.
    this: Weak<Self>,
    /// What is fixed, with the address and state at the start.
    pub(super) entry: InstanceEntry,
    /// The lag of the usage report.
    usage_lag_ms: u64,
    /// The connections.
    pub(super) proxy: FaultProxy,
    /// What all targets of the process share.
    pub(super) shared: Arc<Shared>,
    /// What changes.
    state: Mutex<State>,
}

/// What all targets of a process share.
pub struct Shared {
    /// The history.
    pub journal: Journal,
    /// Runs the ends of tasks, delayed answers and the lapses of leases.
    pub timer: Timer,
    /// The connection to the platform's list.
    pub registrar: Registrar,
}

/// What changes in a target.
pub(super) struct State {
    /// The run of the target's process.
    pub(super) incarnation: Incarnation,
    /// The tasks that are running.
    pub(super) running: HashMap<u64, Running>,
    /// The number of the next run.
    next_run: u64,
    /// The run times.
    run_times: RunTimes,
    /// The fault switches.
    pub(super) switches: Switches,
    /// Whether the target is dead.
    pub(super) dead: bool,
    /// The leases, used by workers only.
    pub(super) leases: Leases,
    /// The usage, reported by workers only.
    usage: Usage,
    /// The number of starts.
    starts: u64,
    /// The number of sends that were turned away.
    rejected: u64,
}

/// A task that is running.
pub(super) struct Running {
    /// What runs.
    run: RunId,
    /// The lease that it runs under, on a worker.
    pub(super) lease: Option<u64>,
    /// The call that waits for the result.
    pub(super) call: Call,
    /// The result.
    result: String,
}

/// The result of a task, which names the task so that crossed answers can be seen.
#[derive(Debug, Serialize)]
struct ResultText<'a> {
    /// The submission.
    submission: &'a SubmissionId,
    /// The position of the task.
    task: TaskIndex,
    /// The text of the payload that the result repeats.
    #[serde(skip_serializing_if = "Option::is_none")]
    mark: Option<String>,
    /// The run time.
    run_ms: u64,
}

/// Why a target does not start a task.
type RejectCode = &'static str;

impl Target {
    /// Creates a target behind a gate.
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
        Arc::new_cyclic(|this| Self {
            this: this.clone(),
            entry,
            usage_lag_ms,
            proxy,
            shared,
            state,
        })
    }

    /// Serves a call.
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

    /// Describes the target for the control interface.
    pub fn row(&self) -> TargetRow {
        let state = self.lock();
        TargetRow {
            name: self.entry.name.clone(),
            address: self.entry.address.clone(),
            failure_domain: self.entry.failure_domain.clone(),
            incarnation: state.incarnation,
            slots: self.entry.slots,
            busy: state.busy(),
            leaving: state.switches.leaving.is_some(),
            dead: state.dead,
            starts: state.starts,
            rejected: state.rejected,
        }
    }

    /// Starts a task or turns it away.
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
        state.running.insert(number, Running { run, lease, call, result });
        self.sample(&mut state);
        drop(state);
        self.later(run_time, move |target| target.finish(number));
    }

    /// Checks whether a task may start.
    fn admit(&self, state: &State, proof: Option<(u64, u64)>) -> Result<(), RejectCode> {
        if state.switches.leaving == Some(LeavingMode::Reject) {
            return Err("leaving");
        }
        if self.entry.role == Role::Worker {
            let (lease, token) = proof.ok_or("lease")?;
            let slots = state.leases.slots_for(clock::now(), lease, token);
            let slots = slots.ok_or("lease")?;
            let under = state.running.values().filter(|r| r.lease == Some(lease));
            if under.count() >= slots as usize {
                return Err("busy");
            }
        }
        match state.busy() < self.entry.slots {
            true => Ok(()),
            false => Err("busy"),
        }
    }

    /// Ends a task with its result.
    fn finish(&self, number: u64) {
        let mut state = self.lock();
        let Some(ended) = state.running.remove(&number) else { return };
        self.sample(&mut state);
        drop(state);
        self.shared.journal.record(
            &self.entry.name,
            EventKind::Finished,
            Some(&ended.run),
        );
        let body = answer_body(&ended.run, true, None, Some(ended.result));
        self.answer_run(ended.call, 200, body);
    }

    /// Stops a task for its caller.
    fn stop(&self, call: Call, submission: &str, task: &str) {
        let is_meant = |running: &Running| {
            running.run.submission.to_string() == submission
                && running.run.task.0.to_string() == task
        };
        let stopped = self.stop_where("stopped", is_meant);
        let status = if stopped == 0 { 404 } else { 200 };
        self.answer(call, status, serde_json::json!({ "stopped": stopped }));
    }

    /// Stops all tasks that meet a condition and returns their number.
    pub(super) fn stop_where(
        &self,
        code: &str,
        condition: impl Fn(&Running) -> bool,
    ) -> usize {
        let mut state = self.lock();
        let stopped: Vec<Running> = state
            .running
            .extract_if(|_, running| condition(running))
            .map(|e| e.1)
            .collect();
        self.sample(&mut state);
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

    /// Returns the state of the target.
    fn status(&self) -> TargetStatus {
        let state = self.lock();
        TargetStatus {
            leaving: state.switches.leaving.is_some(),
            slots: self.entry.slots,
            busy: state.busy(),
        }
    }

    /// Answers a send of a task, unless its answer is to be dropped.
    fn answer_run(&self, call: Call, status: u16, body: RunAnswer) {
        let dropped = self.lock().switches.drop_answer;
        match dropped {
            true => call.withhold(),
            false => self.answer(call, status, body),
        }
    }

    /// Answers a call after the delay that is set.
    pub(super) fn answer(
        &self,
        call: Call,
        status: u16,
        body: impl Serialize + Send + 'static,
    ) {
        let delay_ms = self.lock().switches.delay_ms;
        match delay_ms {
            0 => call.answer(status, &body),
            _ => self.later(Duration::from_millis(delay_ms), move |_| {
                call.answer(status, &body);
            }),
        }
    }

    /// Does something after a delay, if the target still exists then.
    pub(super) fn later(
        &self,
        delay: Duration,
        action: impl FnOnce(&Self) + Send + 'static,
    ) {
        let this = self.this.clone();
        self.shared.timer.after(delay, move || {
            if let Some(target) = this.upgrade() {
                action(&target);
            }
        });
    }

    /// Adds a sample to the usage report of a worker.
    pub(super) fn sample(&self, state: &mut State) {
        if self.entry.role != Role::Worker {
            return;
        }
        let sample = UsageBody {
            as_of_ms: clock::now().as_ms(),
            slots: self.entry.slots,
            busy: state.busy(),
            leased: state.leases.leased_slots(),
        };
        state.usage.add(sample);
    }

    /// Locks the state.
    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

impl State {
    /// Returns the number of slots in use.
    fn busy(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }
}

/// Creates the answer to a send.
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
