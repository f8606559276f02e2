//! Calls to targets.

mod client;
mod control;
mod run;

use std::collections::HashSet;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::available_parallelism;
use std::time::Duration;

use bamboocart_core::engine::{Event, LeaseOrder, ProbeOrder, SendOrder};
use bamboocart_core::id::{SubmissionId, TaskIndex};
use bamboocart_telemetry::trace::Tracer;
use crossbeam::channel::Sender;
use tokio::runtime::{Builder, Handle};
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

use self::client::Pool;

/// The idle time after which a connection is not used for a non-idempotent task.
///
/// A connection that has gone silent would turn the outcome of the task into "unknown".
const FRESH_IDLE: Duration = Duration::from_secs(1);

/// The idle time after which a connection is not used at all.
const POOL_IDLE: Duration = Duration::from_secs(10);

/// The most threads that carry out calls.
const MAX_THREADS: usize = 4;

/// The calls that may wait for others to end; a call beyond them is not made.
const WAITING_CALLS: usize = 16_384;

/// Makes calls to targets on threads of its own.
pub struct Senders {
    runtime: Handle,
    calls: Arc<Calls>,
    /// A permit for each call, whether it is open or waits.
    room: Arc<Semaphore>,
    /// A permit for each open send.
    sends: Arc<Semaphore>,
    events: Sender<Event>,
}

/// A call to a target.
#[derive(Debug)]
pub enum Outbound {
    /// Send a task.
    Send(SendOrder),
    /// Ask for a lease, renew or return one.
    Lease(LeaseOrder),
    /// Ask a target for its state.
    Probe(ProbeOrder),
    /// Stop a task.
    Stop {
        /// The target's address.
        address: Arc<str>,
        /// The submission.
        submission: SubmissionId,
        /// The position of the task in its submission.
        task: TaskIndex,
    },
}

/// What calls share.
struct Calls {
    /// For idempotent tasks and control calls.
    pooled: Pool,
    /// For non-idempotent tasks, which only take connections that were just in use.
    fresh: Pool,
    /// The holder of leases: instance and incarnation.
    holder: Arc<str>,
    /// Starts the spans of sends.
    tracer: Tracer,
    /// The sends whose answer is awaited, at most one for each permit.
    sends: Mutex<HashSet<SendKey>>,
}

/// Identifies a send: the address of the target, the submission and the task.
type SendKey = (Arc<str>, SubmissionId, TaskIndex);

impl Senders {
    /// Starts the threads, which end when `halt` is cancelled.
    ///
    /// At most `max_sends` sends are open at a time.
    pub fn start(
        max_sends: usize,
        connections_per_target: usize,
        (holder, tracer): (&str, Tracer),
        events: Sender<Event>,
        halt: CancellationToken,
    ) -> io::Result<Self> {
        let threads = available_parallelism().map_or(1, usize::from).min(MAX_THREADS);
        let runtime = Builder::new_multi_thread()
            .worker_threads(threads)
            .thread_name("sender")
            .enable_all()
            .build()?;
        let handle = runtime.handle().clone();
        std::thread::Builder::new().name("sender-halt".into()).spawn(move || {
            runtime.block_on(halt.cancelled());
            // A call may wait for room in the queue of an engine that has ended.
            runtime.shutdown_background();
        })?;
        let calls = Calls {
            pooled: Pool::new(POOL_IDLE, connections_per_target),
            fresh: Pool::new(FRESH_IDLE, connections_per_target),
            holder: holder.into(),
            tracer,
            sends: Mutex::default(),
        };
        Ok(Self {
            runtime: handle,
            calls: Arc::new(calls),
            room: Arc::new(Semaphore::new(max_sends + WAITING_CALLS)),
            sends: Arc::new(Semaphore::new(max_sends)),
            events,
        })
    }

    /// Begins a call, or gives it back if too many are waiting.
    pub fn begin(&self, call: Outbound) -> Option<Outbound> {
        let Ok(room) = self.room.clone().try_acquire_owned() else { return Some(call) };
        if let Outbound::Send(order) = &call {
            self.calls.open_sends().insert(key_of(order));
        }
        let (calls, events) = (self.calls.clone(), self.events.clone());
        let sends = self.sends.clone();
        self.runtime.spawn(async move {
            let _room = room;
            // Stops and leases must not wait for sends, which last as long as their tasks.
            let _send = match &call {
                Outbound::Send(_) => sends.acquire().await.ok(),
                _ => None,
            };
            if let Some(event) = carry_out(&calls, call).await {
                // Without an engine nobody needs the answer.
                let _ = events.send(event);
            }
        });
        None
    }
}

impl Calls {
    /// Locks the table of open sends, which stays usable after a panic in another thread.
    fn open_sends(&self) -> MutexGuard<'_, HashSet<SendKey>> {
        self.sends.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Makes a call and returns what the engine has to know.
async fn carry_out(calls: &Calls, call: Outbound) -> Option<Event> {
    match call {
        Outbound::Send(order) => {
            let (attempt, key) = (order.attempt, key_of(&order));
            let report = run::send(calls, order).await;
            calls.open_sends().remove(&key);
            Some(Event::SendFinished { attempt, report })
        }
        Outbound::Lease(order) => {
            let grant = control::lease(calls, &order).await;
            Some(Event::LeaseAnswered { target: order.target, grant })
        }
        Outbound::Probe(order) => control::probe(calls, order).await.map(Event::Probed),
        Outbound::Stop { address, submission, task } => {
            control::stop(calls, &(address, submission, task)).await;
            None
        }
    }
}

/// Returns what identifies a send.
fn key_of(order: &SendOrder) -> SendKey {
    (order.address.clone(), order.submission.clone(), order.task)
}
