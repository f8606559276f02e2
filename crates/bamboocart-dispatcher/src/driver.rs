//! The thread that runs the engine.

use std::sync::Arc;
use std::time::Duration;

use bamboocart_core::engine::{Effect, Engine, Event, LeaseOrder, SendOrder};
use bamboocart_core::target::SendReport;
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender};
use tokio_util::sync::CancellationToken;

use crate::clock::Clock;
use crate::sender::Outbound;
use crate::waiters::Waiters;

/// The longest time between two ticks.
const TICK_MS: u64 = 20;

/// What the driver hands work to.
pub struct Outputs {
    /// The callers that wait.
    pub waiters: Arc<Waiters>,
    /// The threads that talk to targets.
    pub outbound: Sender<Outbound>,
}

/// Runs the engine until `stop` is cancelled.
pub fn run(
    mut engine: Engine,
    clock: Clock,
    events: &Receiver<Event>,
    outputs: &Outputs,
    stop: &CancellationToken,
) {
    let mut effects = Vec::new();
    let mut last_tick = clock.now();
    while !stop.is_cancelled() {
        let event = match events.recv_timeout(Duration::from_millis(TICK_MS)) {
            Ok(event) => event,
            Err(RecvTimeoutError::Timeout) => Event::Tick,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        let now = clock.now();
        let tick_due = now.ms_since(last_tick) >= TICK_MS;
        engine.handle(now, event, &mut effects);
        if tick_due {
            last_tick = now;
            engine.handle(now, Event::Tick, &mut effects);
        }
        carry_out(&mut engine, clock, &mut effects, outputs);
    }
}

/// Carries out effects, among them those that follow from effects that failed at once.
fn carry_out(
    engine: &mut Engine,
    clock: Clock,
    effects: &mut Vec<Effect>,
    outputs: &Outputs,
) {
    let mut follow_ups = Vec::new();
    while !effects.is_empty() {
        for effect in effects.drain(..) {
            follow_ups.extend(carry_out_one(effect, outputs));
        }
        for event in follow_ups.drain(..) {
            engine.handle(clock.now(), event, effects);
        }
    }
}

/// Carries out one effect and returns the event that follows at once, if any.
fn carry_out_one(effect: Effect, outputs: &Outputs) -> Option<Event> {
    match effect {
        Effect::Answer { waiter, reply } => {
            outputs.waiters.reply(waiter, reply);
            None
        }
        Effect::Send(order) => hand_over(outputs, Outbound::Send(order)),
        Effect::Lease(order) => hand_over(outputs, Outbound::Lease(order)),
        Effect::Stop { address, submission, task } => {
            hand_over(outputs, Outbound::Stop { address, submission, task })
        }
    }
}

/// Hands work to the sender threads and returns what follows if their queue is full.
fn hand_over(outputs: &Outputs, work: Outbound) -> Option<Event> {
    match outputs.outbound.try_send(work).err()?.into_inner() {
        Outbound::Send(SendOrder { attempt, .. }) => {
            Some(Event::SendFinished { attempt, report: SendReport::NotSent })
        }
        Outbound::Lease(LeaseOrder { target, .. }) => {
            Some(Event::LeaseAnswered { target, grant: None })
        }
        Outbound::Stop { .. } => None,
    }
}
