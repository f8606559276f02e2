//! The calls to targets: sends of tasks, stops, leases and probes.

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

use self::client::HttpPool;

/// The idle time after which a connection is no longer used for non-idempotent tasks.
///
/// If the target has silently dropped an idle connection, the outcome of the task becomes
/// "unknown".
const FRESH_IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// The idle time after which a connection is closed.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// The largest number of threads that make calls.
const MAX_THREADS: usize = 4;

/// The number of calls that may wait for a permit beside the open sends; further calls
/// are not made.
const MAX_WAITING_CALLS: usize = 16_384;

/// Makes calls to targets on a thread pool of its own.
pub struct Senders {
    runtime: Handle,
    calls: Arc<CallContext>,
    /// One permit for each call, open or waiting.
    call_permits: Arc<Semaphore>,
    /// One permit for each open send.
    send_permits: Arc<Semaphore>,
    events: Sender<Event>,
}

/// A call to a target.
#[derive(Debug)]
pub enum TargetCall {
    /// Send a task.
    Send(SendOrder),
    /// Acquire, renew or return a lease.
    Lease(LeaseOrder),
    /// Check whether a target is alive and whether it is leaving.
    Probe(ProbeOrder),
    /// Stop a task.
    Stop {
        /// The IP and port of the target.
        address: Arc<str>,
        /// The submission that the task belongs to.
        submission: SubmissionId,
        /// The position of the task in its submission.
        task: TaskIndex,
    },
}

/// The state that all calls share.
struct CallContext {
    /// The pool for idempotent tasks and control calls.
    pooled: HttpPool,
    /// The pool for non-idempotent tasks, which only use recently used connections.
    fresh: HttpPool,
    /// The name under which leases are held: instance and incarnation.
    holder: Arc<str>,
    tracer: Tracer,
    /// The sends that wait for a permit or an answer, at most one for each call permit.
    open_sends: Mutex<HashSet<SendKey>>,
}

/// The key of a send: the address of the target, the submission and the task.
type SendKey = (Arc<str>, SubmissionId, TaskIndex);

impl Senders {
    /// Starts the thread pool, which runs until `halt` is cancelled.
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
            // This does not wait for calls, which may be blocked on the full event queue
            // of an engine that has ended.
            runtime.shutdown_background();
        })?;
        let calls = CallContext {
            pooled: HttpPool::new(POOL_IDLE_TIMEOUT, connections_per_target),
            fresh: HttpPool::new(FRESH_IDLE_TIMEOUT, connections_per_target),
            holder: holder.into(),
            tracer,
            open_sends: Mutex::default(),
        };
        Ok(Self {
            runtime: handle,
            calls: Arc::new(calls),
            call_permits: Arc::new(Semaphore::new(max_sends + MAX_WAITING_CALLS)),
            send_permits: Arc::new(Semaphore::new(max_sends)),
            events,
        })
    }

    /// Starts a call, or returns it if too many are waiting.
    pub fn start_call(&self, call: TargetCall) -> Option<TargetCall> {
        let Ok(call_permit) = self.call_permits.clone().try_acquire_owned() else {
            return Some(call);
        };
        if let TargetCall::Send(order) = &call {
            self.calls.open_sends().insert(key_of(order));
        }
        let (calls, events) = (self.calls.clone(), self.events.clone());
        let send_permits = self.send_permits.clone();
        self.runtime.spawn(async move {
            let _call_permit = call_permit;
            // Control calls need no send permit, since sends last as long as their tasks.
            let _send_permit = match &call {
                TargetCall::Send(_) => send_permits.acquire().await.ok(),
                _ => None,
            };
            if let Some(event) = make_call(&calls, call).await {
                // The send fails only if the engine has ended and needs no answer.
                let _ = events.send(event);
            }
        });
        None
    }
}

impl CallContext {
    /// Locks the table of open sends, which stays usable after a panic in another thread.
    fn open_sends(&self) -> MutexGuard<'_, HashSet<SendKey>> {
        self.open_sends.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Makes a call and returns the event that reports its result, if it has one.
async fn make_call(calls: &CallContext, call: TargetCall) -> Option<Event> {
    match call {
        TargetCall::Send(order) => {
            let (attempt, key) = (order.attempt, key_of(&order));
            let report = run::send(calls, order).await;
            calls.open_sends().remove(&key);
            Some(Event::SendFinished { attempt, report })
        }
        TargetCall::Lease(order) => {
            let grant = control::lease(calls, &order).await;
            Some(Event::LeaseAnswered { target: order.target, grant })
        }
        TargetCall::Probe(order) => control::probe(calls, order).await.map(Event::Probed),
        TargetCall::Stop { address, submission, task } => {
            control::stop(calls, &(address, submission, task)).await;
            None
        }
    }
}

/// Returns the key of a send.
fn key_of(order: &SendOrder) -> SendKey {
    (order.address.clone(), order.submission.clone(), order.task)
}
