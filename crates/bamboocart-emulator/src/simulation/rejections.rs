//! Minions that reject a share of the calls, with any of the answers of the protocol.

use bamboocart_jobs::{HoldAnswer, StartAnswer};
use log::debug;
use rand::Rng;

use super::calls::failed_call;
use super::{Input, MinionCall, Order, Simulation};
use crate::fault::Rejection;

impl Simulation<'_> {
    /// Returns the answer to a call that its minion rejects without doing anything else,
    /// if it does.
    pub(super) fn reject_call(&mut self, call: &MinionCall) -> Option<Input> {
        let minion = &self.minions[call.minion];
        let share = minion.shed_share;
        if share <= 0.0 || !self.rng.random_bool(share) {
            return None;
        }
        // No draw for a single answer, which keeps the outcomes of its scenarios.
        let rejections = &self.minions[call.minion].rejections;
        let rejection = match rejections.len() {
            0 => Rejection::Unhealthy,
            1 => rejections[0],
            count => rejections[self.rng.random_range(0..count)],
        };
        let input = match rejection {
            Rejection::Unhealthy => {
                failed_call(&call.order, StartAnswer::Unhealthy, HoldAnswer::Unhealthy)
            }
            Rejection::WrongIncarnation => {
                let hold_answer = HoldAnswer::WrongIncarnation;
                failed_call(&call.order, StartAnswer::WrongIncarnation, hold_answer)
            }
            Rejection::Malformed => match &call.order {
                Order::Hold(_) => return None,
                order => failed_call(order, StartAnswer::Invalid, HoldAnswer::Lost),
            },
            Rejection::Room => self.reject_new_run(call, StartAnswer::NoRoom)?,
            Rejection::Late => self.reject_new_run(call, StartAnswer::Late)?,
            Rejection::Ticket => self.reject_new_run(call, StartAnswer::BadTicket)?,
        };
        debug!(rejection:? = rejection, order:% = call.order; "call rejected");
        Some(input)
    }

    /// Returns the answer to a start that its minion rejects, unless the run is there, has
    /// ended there or is fenced off, which takes precedence.
    fn reject_new_run(
        &mut self,
        call: &MinionCall,
        answer: StartAnswer,
    ) -> Option<Input> {
        let Order::Start(order) = &call.order else { return None };
        let lease_until_ms =
            (answer == StartAnswer::NoRoom).then_some(order.lease_until_ms);
        let rejected = self.minions[call.minion].reject_start(
            self.now_us,
            order.target.fencing_token,
            order.run,
            lease_until_ms,
        );
        self.schedule_lease_expiry(call.minion);
        rejected.then(|| failed_call(&call.order, answer, HoldAnswer::Lost))
    }
}
