//! Calls from instances to minions.

use bamboocart_jobs::{
    HoldAnswer, HoldOrder, HoldReply, MinionId, RunEnd, RunRef, StartAnswer, StartOrder,
    StopOrder,
};
use log::debug;
use rand::Rng;

use super::call_delays::answer_timeout_us;
use super::links::{answer_bytes, call_bytes};
use super::{Event, Input, MinionCall, Order, Simulation, WaitingHold};
use crate::minion::HoldOutcome;
use crate::trace::{self, Source};

impl Simulation<'_> {
    /// Sends an order to a minion, which may be late, down or unreachable.
    pub(super) fn send_call(&mut self, instance: usize, id: &MinionId, order: Order) {
        self.report.minion_calls += 1;
        let minion = self.minion_indices[id];
        let incarnation = self.instances[instance].incarnation;
        let path = self
            .path_delay_us(self.instances[instance].domain, self.minions[minion].domain);
        let late =
            self.late_order_share > 0.0 && self.rng.random_bool(self.late_order_share);
        let lost =
            self.lost_answer_share > 0.0 && self.rng.random_bool(self.lost_answer_share);
        let extra_us = self.draw_call_delay_us();
        let timeout_us = answer_timeout_us(&order);
        let extra_us = extra_us + self.cross_link_us(instance, call_bytes(&order));
        let (delay_us, awaits_answer) = match path {
            Some(delay_us) if !late => {
                let delay_us = delay_us + extra_us;
                (delay_us, !lost && delay_us < timeout_us)
            }
            Some(delay_us) => {
                let wait_us = self.rng.random_range(2_000_000..12_000_000);
                (delay_us + wait_us, false)
            }
            None => return self.time_out_call(instance, incarnation, &order),
        };
        let target = &self.minions[minion];
        let unreachable = !target.up && !target.restarting;
        if !awaits_answer || unreachable {
            self.time_out_call(instance, incarnation, &order);
        }
        if awaits_answer && unreachable {
            return;
        }
        let expires_us = self.now_us + timeout_us;
        let call = MinionCall {
            minion,
            instance,
            incarnation,
            order,
            expires_us,
            awaits_answer,
            late,
        };
        self.schedule(delay_us, Event::MinionCall(call));
    }

    /// Schedules the timeout of a call that gets no answer.
    pub(super) fn time_out_call(
        &mut self,
        instance: usize,
        incarnation: u64,
        order: &Order,
    ) {
        let input = failed_call(order, StartAnswer::Lost, HoldAnswer::Lost);
        let delay_us = answer_timeout_us(order);
        self.schedule(delay_us, Event::Input(instance, incarnation, input));
    }

    /// Handles the arrival of a call at a minion.
    pub(super) fn handle_call(&mut self, call: MinionCall) {
        let minion = call.minion;
        if !self.minions[minion].up {
            return self.handle_call_while_down(call);
        }
        trace::set_context(self.now_us, Source::Minion(minion));
        if let Some(input) = self.reject_call(&call) {
            return self.answer_call(&call, input);
        }
        match &call.order {
            Order::Start(order) => {
                let answer = self.start_run(minion, order, call.late);
                self.trace_lease(&call, "start arrived");
                let (key, token) = (order.target.minion, order.target.fencing_token);
                self.answer_call(
                    &call,
                    Input::StartAnswered(key, token, order.run, answer),
                );
            }
            Order::Stop(order) => {
                let token = order.target.fencing_token;
                let (answer, active) = self.minions[minion].stop(token, order.run);
                if active {
                    debug!(run:% = order.run.task, number = order.run.run; "run stopped");
                    self.end_stopped_run(minion, order.run);
                }
                let input =
                    Input::StopAnswered(order.target.minion, token, order.run, answer);
                self.answer_call(&call, input);
            }
            Order::Hold(order) => {
                let token = order.target.fencing_token;
                let outcome = self.minions[minion].hold(
                    self.now_us,
                    token,
                    order.lease_until_ms,
                    order.last_seen,
                );
                self.schedule_lease_expiry(minion);
                if let HoldOutcome::Accepted(confirmed) = &outcome {
                    self.trace_lease(&call, "hold arrived");
                    for end in confirmed {
                        debug!(run:% = end.run.task, number = end.run.run,
                            last_seen = order.last_seen; "end forgotten");
                        if self.is_stored(end.run) {
                            self.checker.note_confirmed_end(self.now_us, end);
                        }
                    }
                }
                let waits =
                    order.wait_ms > 0 && !self.minions[minion].has_unconfirmed_ends();
                match outcome {
                    HoldOutcome::Fenced => {
                        let (key, number) = (order.target.minion, order.number);
                        self.answer_call(
                            &call,
                            Input::HoldAnswered(key, number, HoldAnswer::Fenced),
                        );
                    }
                    HoldOutcome::Accepted(_) if waits && call.awaits_answer => {
                        self.sequence += 1;
                        let number = self.sequence;
                        let limit_us = call.expires_us.saturating_sub(self.now_us);
                        let wait_us = (order.wait_ms * 1_000).min(limit_us);
                        self.holds.push(WaitingHold { number, minion, call });
                        self.schedule(wait_us, Event::HoldTimeout(minion, number));
                    }
                    HoldOutcome::Accepted(_) => self.answer_hold(minion, call),
                }
            }
        }
    }

    /// Starts a run on a minion, and schedules its end unless the minion hangs. A `late` order
    /// is one that the minion carries out seconds after it was sent.
    pub(super) fn start_run(
        &mut self,
        minion: usize,
        order: &StartOrder,
        late: bool,
    ) -> StartAnswer {
        let Some(&job) = self.job_indices.get(&order.run.task.job) else {
            self.checker.note_start(self.now_us, order.run, minion);
            return StartAnswer::Invalid;
        };
        let job = &self.jobs[job];
        let run_ms = job.runs_ms[usize::from(order.run.task.index)];
        let deadly = self.scenario.kinds[job.kind].deadly;
        let rack = job.rack;
        let entry = &mut self.minions[minion];
        let known =
            entry.hold_reply(self.now_us).active.iter().any(|r| r.run == order.run);
        let run_us = (run_ms * entry.run_factor(self.now_us) * 1_000.0) as u64;
        let run_us = (!entry.hangs).then_some(run_us);
        let answer = entry.start(
            self.now_us,
            order.target.fencing_token,
            order.run,
            (job.need, run_us),
            order.lease_until_ms,
        );
        match answer {
            StartAnswer::Started if !known => {
                self.report.runs += 1;
                debug!(run:% = order.run.task, number = order.run.run;
                    "run started");
                self.checker.note_start(self.now_us, order.run, minion);
                let entry = &self.minions[minion];
                if !late {
                    self.checker.note_domain(self.now_us, order.run, entry.domain);
                }
                if rack.is_some_and(|rack| rack != entry.rack) {
                    self.checker.note_wrong_label(self.now_us, order.run);
                }
                let end = match () {
                    () if deadly => RunEnd::Crashed,
                    () if entry.fails => RunEnd::Failed,
                    () => RunEnd::Done,
                };
                let event =
                    Event::RunEnds(minion, entry.process_start_us, order.run, end);
                if let Some(run_us) = run_us {
                    self.schedule(run_us, event);
                }
            }
            StartAnswer::NoRoom => self.report.rejected_starts += 1,
            _ => {}
        }
        // A start that is not taken may have extended the lease too.
        self.schedule_lease_expiry(minion);
        answer
    }

    /// Ends a run whose stop was accepted, after a drawn time up to the scenario's grace.
    fn end_stopped_run(&mut self, minion: usize, run: RunRef) {
        let grace_us = self.scenario.stop_grace_ms * 1_000;
        if grace_us == 0 {
            return self.end_run(minion, run, RunEnd::Void);
        }
        let wait_us = self.rng.random_range(0..=grace_us);
        let process_start_us = self.minions[minion].process_start_us;
        self.schedule(
            wait_us,
            Event::RunEnds(minion, process_start_us, run, RunEnd::Void),
        );
    }

    /// Ends a run on a minion if it is active, and answers the holds that wait for it.
    pub(super) fn end_run(&mut self, minion: usize, run: RunRef, end: RunEnd) {
        if !self.minions[minion].end(self.now_us, run, end) {
            return;
        }
        trace::set_context(self.now_us, Source::Minion(minion));
        debug!(run:% = run.task, number = run.run, end:? = end; "run ended");
        self.checker.note_inactive(run, minion);
        self.checker.note_end(run, end);
        self.answer_waiting_holds(minion);
    }

    /// Logs which instance has sent a call, which runs are active at the minion, and when
    /// their lease expires in virtual time.
    fn trace_lease(&self, call: &MinionCall, message: &str) {
        let minion = &self.minions[call.minion];
        let Some(expires_us) = minion.lease_expires_at_us() else { return };
        debug!(holder:% = Source::Instance(call.instance),
            lease_expires_ms = expires_us / 1_000,
            runs:? = minion.hold_reply(self.now_us).active.iter()
                .map(|active| active.run.task.to_string()).collect::<Vec<_>>();
            "{message}");
    }

    /// Returns whether a run belongs to a stored job.
    fn is_stored(&self, run: RunRef) -> bool {
        self.job_indices.get(&run.task.job).is_some_and(|&job| self.jobs[job].stored)
    }

    /// Schedules a check of the lease of a minion for its current expiry.
    pub(super) fn schedule_lease_expiry(&mut self, minion: usize) {
        if let Some(at_us) = self.minions[minion].lease_expires_at_us() {
            let delay_us = at_us.saturating_sub(self.now_us);
            self.schedule(delay_us, Event::LeaseExpires(minion));
        }
    }

    /// Ends the runs of a minion if its lease has expired.
    pub(super) fn expire_lease(&mut self, minion: usize) {
        trace::set_context(self.now_us, Source::Minion(minion));
        for run in self.minions[minion].expire_lease(self.now_us) {
            debug!(run:% = run.task, number = run.run; "lease expired; run ended");
            self.report.void_runs += 1;
            self.checker.note_inactive(run, minion);
        }
        self.answer_waiting_holds(minion);
    }

    /// Answers the holds that wait at a minion if it has unconfirmed ends.
    pub(super) fn answer_waiting_holds(&mut self, minion: usize) {
        if !self.minions[minion].has_unconfirmed_ends() {
            return;
        }
        while let Some(position) =
            self.holds.iter().position(|hold| hold.minion == minion)
        {
            let hold = self.holds.swap_remove(position);
            self.answer_hold(minion, hold.call);
        }
    }

    /// Schedules the timeouts of the holds that wait at a minion that crashed.
    pub(super) fn time_out_holds(&mut self, minion: usize) {
        while let Some(position) =
            self.holds.iter().position(|hold| hold.minion == minion)
        {
            let call = self.holds.swap_remove(position).call;
            self.time_out_call(call.instance, call.incarnation, &call.order);
        }
    }

    /// Answers a hold with the lists of active runs and unconfirmed ends.
    pub(super) fn answer_hold(&mut self, minion: usize, call: MinionCall) {
        let reply: HoldReply = self.minions[minion].hold_reply(self.now_us);
        if let Order::Hold(order) = &call.order {
            let (key, number) = (order.target.minion, order.number);
            self.answer_call(
                &call,
                Input::HoldAnswered(key, number, HoldAnswer::Reply(reply)),
            );
        }
    }

    /// Sends the answer to a call, if the caller still waits for it.
    ///
    /// If the network is partitioned, the call times out instead, as it does if the answer
    /// would arrive after the caller's time limit.
    pub(super) fn answer_call(&mut self, call: &MinionCall, input: Input) {
        if !call.awaits_answer {
            return;
        }
        let from = self.minions[call.minion].domain;
        match self.path_delay_us(from, self.instances[call.instance].domain) {
            Some(delay_us) => {
                let link_us = self.cross_link_us(call.instance, answer_bytes(&input));
                let delay_us = delay_us + self.draw_call_delay_us() + link_us;
                let limit_us = call.expires_us.saturating_sub(self.now_us);
                let in_time = delay_us <= limit_us;
                let lost = failed_call(&call.order, StartAnswer::Lost, HoldAnswer::Lost);
                let input = if in_time { input } else { lost };
                let event = Event::Input(call.instance, call.incarnation, input);
                self.schedule(delay_us.min(limit_us), event);
            }
            None => self.time_out_call(call.instance, call.incarnation, &call.order),
        }
    }
}

/// Returns the input with which an instance learns that a call has failed: `answer` for a
/// start or a stop, `hold_answer` for a hold.
pub(super) fn failed_call(
    order: &Order,
    answer: StartAnswer,
    hold_answer: HoldAnswer,
) -> Input {
    match order {
        Order::Start(StartOrder { target, run, .. }) => {
            Input::StartAnswered(target.minion, target.fencing_token, *run, answer)
        }
        Order::Stop(StopOrder { target, run }) => {
            Input::StopAnswered(target.minion, target.fencing_token, *run, answer)
        }
        Order::Hold(HoldOrder { target, number, .. }) => {
            Input::HoldAnswered(target.minion, *number, hold_answer)
        }
    }
}
