//! Calls to minions, as the world carries them out.

use bamboocart_jobs::timing::{HOLD_TIMEOUT_MS, ORDER_TIMEOUT_MS};
use bamboocart_jobs::{
    HoldAnswer, HoldReply, MinionId, RunEnd, RunRef, StartAnswer, StartOrder,
};
use rand::Rng;

use super::{Call, Event, Input, Order, WaitingHold, World};
use crate::minion::HoldOutcome;

impl World<'_> {
    /// Sends a call to a minion.
    pub(super) fn send_call(&mut self, node: usize, id: &MinionId, order: Order) {
        self.report.minion_calls += 1;
        let minion = self.minion_of[id];
        let incarnation = self.nodes[node].incarnation;
        let path = self.path_us(self.nodes[node].domain, self.minions[minion].domain);
        let late = self.late_share > 0.0 && self.rng.random_bool(self.late_share);
        let (delay_us, answered) = match path {
            Some(delay_us) if !late => (delay_us, true),
            Some(delay_us) => {
                let wait_us = self.rng.random_range(2_000_000..12_000_000);
                (delay_us + wait_us, false)
            }
            None => return self.call_lost(node, incarnation, &order),
        };
        if !answered || !self.minions[minion].up {
            self.call_lost(node, incarnation, &order);
        }
        if answered && !self.minions[minion].up {
            return;
        }
        let call = Call { minion, node, incarnation, order, answered };
        self.schedule(delay_us, Event::Call(call));
    }

    /// Lets a call run into its timeout.
    pub(super) fn call_lost(&mut self, node: usize, incarnation: u64, order: &Order) {
        let (wait_ms, input) = match order {
            Order::Start(order) => {
                let target = &order.target;
                let (key, token) = (target.minion, target.fencing_token);
                let input = Input::Start(key, token, order.run, StartAnswer::Lost);
                (ORDER_TIMEOUT_MS, input)
            }
            Order::Stop(order) => {
                let target = &order.target;
                let (key, token) = (target.minion, target.fencing_token);
                let input = Input::Stop(key, token, order.run, StartAnswer::Lost);
                (ORDER_TIMEOUT_MS, input)
            }
            Order::Hold(order) => {
                let (key, number) = (order.target.minion, order.number);
                let wait_ms = order.wait_ms + HOLD_TIMEOUT_MS;
                (wait_ms, Input::Hold(key, number, HoldAnswer::Lost))
            }
        };
        let delay_us = wait_ms * 1_000;
        self.schedule(delay_us, Event::Input(node, incarnation, input));
    }

    /// Lets a minion carry out a call.
    pub(super) fn call(&mut self, call: Call) {
        let minion = call.minion;
        if !self.minions[minion].up {
            if call.answered {
                self.call_lost(call.node, call.incarnation, &call.order);
            }
            return;
        }
        match &call.order {
            Order::Start(order) => {
                let answer = self.start_run(minion, order);
                let (key, token) = (order.target.minion, order.target.fencing_token);
                self.reply(&call, Input::Start(key, token, order.run, answer));
            }
            Order::Stop(order) => {
                let token = order.target.fencing_token;
                let (answer, ended) =
                    self.minions[minion].stop(self.now_us, token, order.run);
                if ended {
                    self.checks.ended(order.run, minion);
                    self.release_holds(minion);
                }
                let input = Input::Stop(order.target.minion, token, order.run, answer);
                self.reply(&call, input);
            }
            Order::Hold(order) => {
                let token = order.target.fencing_token;
                let outcome = self.minions[minion].hold(
                    self.now_us,
                    token,
                    order.lease_until_ms,
                    order.last_seen,
                );
                self.watch_lease(minion);
                if let HoldOutcome::Taken(noted) = &outcome {
                    for end in noted {
                        if self.is_stored(end.run) {
                            self.checks.noted(self.now_us, end);
                        }
                    }
                }
                let waits = order.wait_ms > 0 && !self.minions[minion].has_news();
                match outcome {
                    HoldOutcome::Fenced => {
                        let (key, number) = (order.target.minion, order.number);
                        self.reply(&call, Input::Hold(key, number, HoldAnswer::Fenced));
                    }
                    HoldOutcome::Taken(_) if waits && call.answered => {
                        self.number += 1;
                        let number = self.number;
                        let wait_us = order.wait_ms * 1_000;
                        self.holds.push(WaitingHold { number, minion, call });
                        self.schedule(wait_us, Event::HoldEnds(minion, number));
                    }
                    HoldOutcome::Taken(_) => self.answer_hold(minion, call),
                }
            }
        }
    }

    /// Starts a run on a minion.
    pub(super) fn start_run(&mut self, minion: usize, order: &StartOrder) -> StartAnswer {
        let Some(&job) = self.job_of.get(&order.run.task.job) else {
            self.checks.started(self.now_us, order.run, minion);
            return StartAnswer::Invalid;
        };
        let job = &self.jobs[job];
        let run_ms = job.runs_ms[usize::from(order.run.task.index)];
        let entry = &mut self.minions[minion];
        let known = entry.lists(self.now_us).active.iter().any(|r| r.run == order.run);
        let run_us = (run_ms * entry.pace * entry.slow_factor * 1_000.0) as u64;
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
                self.checks.started(self.now_us, order.run, minion);
                let entry = &self.minions[minion];
                let end = if entry.fails { RunEnd::Failed } else { RunEnd::Done };
                let event = Event::RunEnds(minion, entry.born_us, order.run, end);
                if let Some(run_us) = run_us {
                    self.schedule(run_us, event);
                }
                self.watch_lease(minion);
            }
            StartAnswer::NoRoom => self.report.rejected_starts += 1,
            _ => {}
        }
        answer
    }

    /// Returns whether a run belongs to a stored job.
    fn is_stored(&self, run: RunRef) -> bool {
        self.job_of.get(&run.task.job).is_some_and(|&job| self.jobs[job].stored)
    }

    /// Looks at a minion's lease when it would lapse.
    pub(super) fn watch_lease(&mut self, minion: usize) {
        if let Some(at_us) = self.minions[minion].lapses_at_us() {
            let delay_us = at_us.saturating_sub(self.now_us);
            self.schedule(delay_us, Event::LeaseEnds(minion));
        }
    }

    /// Ends the runs of a minion whose lease has lapsed.
    pub(super) fn lease_ends(&mut self, minion: usize) {
        for run in self.minions[minion].lapse(self.now_us) {
            self.report.void_runs += 1;
            self.checks.ended(run, minion);
        }
        self.release_holds(minion);
    }

    /// Answers the holds that wait for an end.
    pub(super) fn release_holds(&mut self, minion: usize) {
        if !self.minions[minion].has_news() {
            return;
        }
        while let Some(position) =
            self.holds.iter().position(|hold| hold.minion == minion)
        {
            let hold = self.holds.swap_remove(position);
            self.answer_hold(minion, hold.call);
        }
    }

    /// Lets the holds that wait at a minion run into their timeouts.
    pub(super) fn lose_holds(&mut self, minion: usize) {
        while let Some(position) =
            self.holds.iter().position(|hold| hold.minion == minion)
        {
            let call = self.holds.swap_remove(position).call;
            self.call_lost(call.node, call.incarnation, &call.order);
        }
    }

    /// Answers a hold with both lists.
    pub(super) fn answer_hold(&mut self, minion: usize, call: Call) {
        let lists: HoldReply = self.minions[minion].lists(self.now_us);
        if let Order::Hold(order) = &call.order {
            let (key, number) = (order.target.minion, order.number);
            self.reply(&call, Input::Hold(key, number, HoldAnswer::Reply(lists)));
        }
    }

    /// Sends the answer to a call back, if the caller still waits and can be reached.
    pub(super) fn reply(&mut self, call: &Call, input: Input) {
        if !call.answered {
            return;
        }
        let from = self.minions[call.minion].domain;
        match self.path_us(from, self.nodes[call.node].domain) {
            Some(delay_us) => {
                let event = Event::Input(call.node, call.incarnation, input);
                self.schedule(delay_us, event);
            }
            None => self.call_lost(call.node, call.incarnation, &call.order),
        }
    }
}
