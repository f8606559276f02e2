//! Minions whose process ends and is back soon under the same id.

use bamboocart_jobs::{HoldAnswer, StartAnswer};
use log::debug;
use rand::Rng;

use super::calls::failed_call;
use super::{Event, Input, MinionCall, Simulation};
use crate::trace::{self, Source};

/// The longest time until an instance learns from the platform's list that a minion has
/// restarted.
const MAX_LIST_DELAY_US: u64 = 800_000;

impl Simulation<'_> {
    /// Restarts minions, each of which is down for a drawn time.
    pub(super) fn restart_minions(&mut self, count: usize, max_down_us: u64) {
        for minion in self.pick_minions(count) {
            self.break_waiting_holds(minion);
            self.crash_minion(minion);
            self.minions[minion].restarting = true;
            let down_us = self.rng.random_range(0..=max_down_us);
            trace::set_context(self.now_us, Source::Minion(minion));
            debug!(down_ms = down_us / 1_000; "minion process ends");
            self.schedule(down_us, Event::MinionRestarted(minion));
        }
    }

    /// Tells the callers of half of the holds that wait at a minion that their connection
    /// has broken; the others notice nothing until they time out.
    fn break_waiting_holds(&mut self, minion: usize) {
        let waiting = std::mem::take(&mut self.holds);
        for hold in waiting {
            if hold.minion != minion || self.rng.random_bool(0.5) {
                self.holds.push(hold);
                continue;
            }
            let call = hold.call;
            let input = failed_call(&call.order, StartAnswer::Lost, HoldAnswer::Lost);
            self.answer_call(&call, input);
        }
    }

    /// Ends the process of a minion and everything that runs there.
    pub(super) fn crash_minion(&mut self, minion: usize) {
        for run in self.minions[minion].crash() {
            self.checker.note_inactive(run, minion);
        }
        self.time_out_holds(minion);
    }

    /// Starts the new process of a minion, which takes the calls that wait for it.
    pub(super) fn finish_restart(&mut self, minion: usize) {
        self.minions[minion].start_process(self.now_us);
        trace::set_context(self.now_us, Source::Minion(minion));
        debug!("minion process started");
        let entry = self.minion_entry(&self.minions[minion]);
        for instance in 0..self.instances.len() {
            let incarnation = self.instances[instance].incarnation;
            let input = Input::MinionListed(Box::new(entry.clone()));
            let delay_us = self.rng.random_range(0..MAX_LIST_DELAY_US);
            self.schedule(delay_us, Event::Input(instance, incarnation, input));
        }
        let waiting = std::mem::take(&mut self.calls_at_restart);
        let (here, others) = waiting.into_iter().partition(|call| call.minion == minion);
        self.calls_at_restart = others;
        let here: Vec<MinionCall> = here;
        here.into_iter().for_each(|call| self.handle_call(call));
    }

    /// Handles a call that arrives at a minion whose process has ended.
    ///
    /// A call to a restarting minion names it by its id, which it keeps, and may be
    /// refused, be lost, or wait for the new process.
    pub(super) fn handle_call_while_down(&mut self, call: MinionCall) {
        if self.minions[call.minion].restarting {
            match self.rng.random_range(0..3) {
                0 => return self.calls_at_restart.push(call),
                1 => {
                    let (answer, hold_answer) =
                        (StartAnswer::Unhealthy, HoldAnswer::Unhealthy);
                    let input = failed_call(&call.order, answer, hold_answer);
                    return self.answer_call(&call, input);
                }
                _ => {}
            }
        }
        if call.awaits_answer {
            self.time_out_call(call.instance, call.incarnation, &call.order);
        }
    }
}
