//! The thread that runs the engine.

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
use crate::standalone::heard::HeardSnapshot;
use crate::standalone::observe;
use crate::standalone::peers::PeerGate;
use crate::standalone::sender::{Outbound, Senders};
use crate::standalone::waiters::Waiters;

/// The time between two ticks while events arrive.
const TICK_MS: u64 = 20;

/// The longest time without a tick, for the engine's periodic work.
const IDLE_TICK_MS: u64 = 100;

/// What the driver hands work to.
pub struct Outputs {
    /// The callers that wait.
    pub waiters: Arc<Waiters>,
    /// The calls to targets.
    pub senders: Senders,
    /// The thread that appends to the log.
    pub appends: Sender<Append>,
    /// The thread that appends to the account.
    pub account: Sender<AccountBatch>,
    /// The links to peers.
    pub peers: PeerGate,
    /// Tells the reader of the instance list to read all of it.
    pub reread_list: Arc<AtomicBool>,
    /// Holds a peer's snapshot for the reader of the log.
    pub heard: HeardSnapshot,
    /// Whether the instance admits submissions, for the balancer.
    pub ready: Arc<AtomicBool>,
}

/// Runs the engine until `halt` is cancelled, and cancels `stop` when it is drained.
///
/// A drained engine goes on, because the last requests still come in.
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
        let event = match events.recv_timeout(idle_time(&engine, clock)) {
            Ok(event) => event,
            Err(RecvTimeoutError::Timeout) => Event::Tick,
            Err(RecvTimeoutError::Disconnected) => break,
        };
        let now = clock.now();
        engine.handle(now, event, &mut effects);
        if now.ms_since(last_tick) >= TICK_MS {
            last_tick = now;
            engine.handle(now, Event::Tick, &mut effects);
        }
        carry_out(&mut engine, clock, &mut effects, &outputs, stop);
    }
    outputs.peers.stop();
}

/// Returns how long the engine can wait for an event.
fn idle_time(engine: &Engine, clock: Clock) -> Duration {
    let idle_us = IDLE_TICK_MS * US_PER_MS;
    let until_due = engine.next_due().map(|at| at.us_since(clock.now()));
    Duration::from_micros(until_due.map_or(idle_us, |us| us.min(idle_us)))
}

/// Carries out effects, among them those that follow from effects that failed at once.
fn carry_out(
    engine: &mut Engine,
    clock: Clock,
    effects: &mut Vec<Effect>,
    outputs: &Outputs,
    stop: &CancellationToken,
) {
    let mut follow_ups = Vec::new();
    while !effects.is_empty() {
        for effect in effects.drain(..) {
            follow_ups.extend(carry_out_one(effect, outputs, stop));
        }
        for event in follow_ups.drain(..) {
            engine.handle(clock.now(), event, effects);
        }
    }
}

/// Carries out one effect and returns the event that follows at once, if any.
fn carry_out_one(
    effect: Effect,
    outputs: &Outputs,
    stop: &CancellationToken,
) -> Option<Event> {
    match effect {
        Effect::Answer { waiter, reply } => {
            // The page of metrics asks for the status before it is written.
            if matches!(reply, Reply::Status(_)) {
                observe::set_cuts(&outputs.peers.cut_counts());
            }
            outputs.waiters.reply(waiter, reply);
        }
        Effect::Send(order) => return begin(outputs, Outbound::Send(order)),
        Effect::Lease(order) => return begin(outputs, Outbound::Lease(order)),
        Effect::Probe(order) => return begin(outputs, Outbound::Probe(order)),
        Effect::Stop { address, submission, task } => {
            return begin(outputs, Outbound::Stop { address, submission, task });
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
                    "a record for stream {stream} is dropped; the log is too slow"
                );
            }
        }
        Effect::AppendAccount { number, text } => {
            if outputs.account.try_send(AccountBatch { number, text }).is_err() {
                return Some(Event::AccountAppended { number, confirmed: false });
            }
        }
        Effect::Ready => outputs.ready.store(true, Ordering::Release),
        Effect::SnapshotReceived(snapshot) => outputs.heard.put(*snapshot),
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

/// Begins a call and returns what follows if too many are waiting.
fn begin(outputs: &Outputs, call: Outbound) -> Option<Event> {
    match outputs.senders.begin(call)? {
        Outbound::Send(SendOrder { attempt, .. }) => {
            Some(Event::SendFinished { attempt, report: SendReport::NotSent })
        }
        Outbound::Lease(LeaseOrder { target, .. }) => {
            Some(Event::LeaseAnswered { target, grant: None })
        }
        Outbound::Stop { .. } | Outbound::Probe(_) => None,
    }
}
