//! The driver of the engine: passes events to it and executes its effects.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bamboocart_core::engine::{Effect, Engine, Event, LeaseOrder, Reply, SendOrder};
use bamboocart_core::target::SendReport;
use bamboocart_core::time::US_PER_MS;
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender};
use tokio_util::sync::CancellationToken;

use crate::standalone::appender::{AccountBatch, Append};
use crate::standalone::clock::Clock;
use crate::standalone::observe;
use crate::standalone::peer_snapshot::PeerSnapshot;
use crate::standalone::peers::PeerLinks;
use crate::standalone::sender::{Senders, TargetCall};
use crate::standalone::waiters::Waiters;

/// The time between two ticks while events arrive without a pause.
const TICK_INTERVAL_MS: u64 = 20;

/// The longest wait for an event before a tick, which does the engine's periodic work.
const MAX_IDLE_MS: u64 = 100;

/// The parts of an instance that execute effects.
pub struct Outputs {
    /// Delivers replies to callers and operators.
    pub waiters: Arc<Waiters>,
    /// Makes calls to targets.
    pub senders: Senders,
    /// The queue of the thread that appends to the log.
    pub appends: Sender<Append>,
    /// The queue of the thread that appends to the account.
    pub account: Sender<AccountBatch>,
    /// Sends messages to peers.
    pub peers: PeerLinks,
    /// Makes the reader of the instance list fetch the whole list again.
    pub reread_list: Arc<AtomicBool>,
    /// A peer's configuration snapshot for the reader of the configuration stream.
    pub peer_snapshot: PeerSnapshot,
    /// Whether the instance admits submissions, which `GET /ready` tells load balancers.
    pub ready: Arc<AtomicBool>,
}

/// Runs the engine until `halt` is cancelled, and cancels `stop` when it is drained.
///
/// A drained engine keeps running, because the last requests may still arrive.
pub fn run(
    mut engine: Engine,
    clock: Clock,
    events: &Receiver<Event>,
    outputs: Outputs,
    (stop, halt): (&CancellationToken, &CancellationToken),
) {
    let mut effects = Vec::new();
    let mut last_tick = clock.now();
    while !halt.is_cancelled() {
        let event = match events.recv_timeout(max_wait(&engine, clock)) {
            Ok(event) => event,
            Err(RecvTimeoutError::Timeout) => Event::Tick,
            Err(RecvTimeoutError::Disconnected) => break,
        };
        let now = clock.now();
        engine.handle(now, event, &mut effects);
        if now.ms_since(last_tick) >= TICK_INTERVAL_MS {
            last_tick = now;
            engine.handle(now, Event::Tick, &mut effects);
        }
        execute_all(&mut engine, clock, &mut effects, &outputs, stop);
    }
    outputs.peers.stop();
}

/// Returns the time until the engine needs a tick if no event arrives.
fn max_wait(engine: &Engine, clock: Clock) -> Duration {
    let idle_us = MAX_IDLE_MS * US_PER_MS;
    let until_due = engine.next_due().map(|at| at.us_since(clock.now()));
    Duration::from_micros(until_due.map_or(idle_us, |us| us.min(idle_us)))
}

/// Executes effects, and the effects of the events that report immediate failures.
fn execute_all(
    engine: &mut Engine,
    clock: Clock,
    effects: &mut Vec<Effect>,
    outputs: &Outputs,
    stop: &CancellationToken,
) {
    let mut follow_ups = Vec::new();
    while !effects.is_empty() {
        for effect in effects.drain(..) {
            follow_ups.extend(execute(effect, outputs, stop));
        }
        for event in follow_ups.drain(..) {
            engine.handle(clock.now(), event, effects);
        }
    }
}

/// Executes one effect and returns the event that reports an immediate failure, if any.
fn execute(effect: Effect, outputs: &Outputs, stop: &CancellationToken) -> Option<Event> {
    match effect {
        Effect::Answer { waiter, reply } => {
            // `GET /metrics` requests the status before it renders the page.
            if matches!(reply, Reply::Status(_)) {
                observe::set_link_cuts(&outputs.peers.disconnect_counts());
            }
            outputs.waiters.reply(waiter, reply);
        }
        Effect::Send(order) => return start_call(outputs, TargetCall::Send(order)),
        Effect::Lease(order) => return start_call(outputs, TargetCall::Lease(order)),
        Effect::Probe(order) => return start_call(outputs, TargetCall::Probe(order)),
        Effect::Stop { address, submission, task } => {
            return start_call(outputs, TargetCall::Stop { address, submission, task });
        }
        Effect::PeerMessage { address, correlation, envelope } => {
            return outputs.peers.send(&address, correlation, &envelope);
        }
        Effect::RereadList => outputs.reread_list.store(true, Ordering::Release),
        Effect::PeersChanged(addresses) => outputs.peers.set_peers(&addresses),
        Effect::EndSpan { peer, correlation } => {
            outputs.peers.end_span(&peer, correlation);
        }
        Effect::Append { stream, body } => {
            if outputs.appends.try_send(Append { stream, body }).is_err() {
                log::warn!(
                    "dropped a record for stream {stream}: the append queue is full \
                     because the log is too slow"
                );
            }
        }
        Effect::AppendAccount { number, text } => {
            if outputs.account.try_send(AccountBatch { number, text }).is_err() {
                return Some(Event::AccountAppended { number, confirmed: false });
            }
        }
        Effect::Ready => outputs.ready.store(true, Ordering::Release),
        Effect::SnapshotReceived(snapshot) => outputs.peer_snapshot.put(*snapshot),
        Effect::ConfigInForce { version } => {
            log::info!("configuration {version} is in force");
        }
        Effect::Warn(text) => log::warn!("{text}"),
        Effect::Info(text) => log::info!("{text}"),
        Effect::Observed(observation) => observe::record(&observation),
        Effect::Leaving => {
            outputs.ready.store(false, Ordering::Release);
            log::info!("draining");
        }
        Effect::Drained => {
            log::info!("drained");
            stop.cancel();
        }
    }
    None
}

/// Starts a call to a target, and returns the event for a call that is not made because
/// too many are waiting.
fn start_call(outputs: &Outputs, call: TargetCall) -> Option<Event> {
    match outputs.senders.start_call(call)? {
        TargetCall::Send(SendOrder { attempt, .. }) => {
            Some(Event::SendFinished { attempt, report: SendReport::NotSent })
        }
        TargetCall::Lease(LeaseOrder { target, .. }) => {
            Some(Event::LeaseAnswered { target, grant: None })
        }
        TargetCall::Stop { .. } | TargetCall::Probe(_) => None,
    }
}
