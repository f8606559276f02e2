//! The handle that the rest of the process uses.

use std::collections::{HashMap, HashSet};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use bytes::Bytes;
use crossbeam::channel::{Sender, TrySendError};
use http::HeaderMap;
use snafu::{OptionExt, ResultExt, Snafu, ensure};
use tokio::runtime::{Builder, Handle};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::budget::Budget;
use crate::disconnect::{DisconnectCounts, DisconnectLog, DisconnectReason};
use crate::identity::{IdentityError, PeerIdentity};
use crate::inbound;
use crate::message::{
    Delivery, DeliveryReport, InboundMessage, MessageId, NotSentReason, SendPriority,
};
use crate::outbound::{self, Link};
use crate::queue::{OutQueue, Outgoing, PushError};
use crate::settings::LinkSettings;

/// The result of an operation on links.
pub type Result<T, E = SendError> = std::result::Result<T, E>;

/// The pause before a report is offered again to a full channel.
const REPORT_RETRY: Duration = Duration::from_millis(1);

/// The time for the last reports after connections are aborted at a stop.
const STOP_GRACE: Duration = Duration::from_millis(500);

/// The links of this instance to its peers, run by one thread.
///
/// Dropping the value starts a stop in the background; `stop` waits for its end.
#[derive(Debug)]
pub struct Links {
    /// What the thread and the handle share.
    context: Arc<Context>,
    /// Spawns the tasks of new links on the thread's runtime.
    runtime: Handle,
    /// The address that peers connect to.
    local_address: SocketAddr,
    /// The number of the next message.
    next_id: AtomicU64,
    /// The bytes that wait or travel on all links.
    outbound_budget: Arc<Budget>,
    /// The thread, until it is joined.
    thread: Option<JoinHandle<()>>,
}

impl Links {
    /// Starts the thread, which accepts connections on `listen` until `cancel` is set.
    ///
    /// Received messages go to `inbound`; when it is full, the sender is told that the
    /// peer is busy. Every message that `send` accepts leads to one report. While
    /// `reports` is full, links wait with further messages and their queues fill up.
    pub fn start(
        listen: TcpListener,
        settings: LinkSettings,
        identity: PeerIdentity,
        (inbound, reports): (Sender<InboundMessage>, Sender<DeliveryReport>),
        cancel: &CancellationToken,
    ) -> Result<Self, StartError> {
        let headers = identity.headers().context(IdentitySnafu)?;
        let local_address = listen.local_addr().context(StartSnafu)?;
        listen.set_nonblocking(true).context(StartSnafu)?;
        let runtime =
            Builder::new_current_thread().enable_all().build().context(StartSnafu)?;
        let context = Arc::new(Context {
            inbound_budget: Budget::new(settings.max_inbound_bytes),
            settings,
            headers,
            inbound,
            reports,
            disconnects: DisconnectLog::default(),
            cancel: cancel.child_token(),
            abort: CancellationToken::new(),
            tracker: TaskTracker::new(),
            lost_reports: AtomicU64::new(0),
            peers: RwLock::default(),
        });
        let handle = runtime.handle().clone();
        let run_context = Arc::clone(&context);
        let thread = thread::Builder::new()
            .name("links".into())
            .spawn(move || {
                runtime.block_on(run(listen, Arc::clone(&run_context)));
                drop(runtime);
                run_context.close_peers();
            })
            .context(StartSnafu)?;
        Ok(Self {
            outbound_budget: Budget::new(context.settings.max_outbound_bytes),
            context,
            runtime: handle,
            local_address,
            next_id: AtomicU64::new(1),
            thread: Some(thread),
        })
    }

    /// Returns the address that peers connect to.
    pub fn local_address(&self) -> SocketAddr {
        self.local_address
    }

    /// Replaces the set of peers.
    ///
    /// Messages that wait for a removed peer are reported as not sent. Messages that are
    /// under way to it are reported as usual. A new peer's connection is opened with the
    /// first message to it.
    pub fn set_peers(&self, addresses: &[SocketAddr]) {
        let mut peers =
            self.context.peers.write().unwrap_or_else(PoisonError::into_inner);
        if peers.closed {
            return;
        }
        let wanted: HashSet<&SocketAddr> = addresses.iter().collect();
        peers.links.retain(|address, link| {
            let keep = wanted.contains(address);
            if !keep {
                link.cancel.cancel();
            }
            keep
        });
        for &address in addresses {
            peers.links.entry(address).or_insert_with(|| self.open(address));
        }
    }

    /// Queues a message without blocking; an error means that it is not sent.
    pub fn send(
        &self,
        address: SocketAddr,
        priority: SendPriority,
        message: Bytes,
    ) -> Result<MessageId> {
        let settings = &self.context.settings;
        let bytes = message.len();
        ensure!(!self.context.cancel.is_cancelled(), StoppedSnafu);
        ensure!(
            bytes <= settings.max_message_bytes,
            OversizedSnafu { bytes, limit: settings.max_message_bytes }
        );
        let peers = self.context.peers.read().unwrap_or_else(PoisonError::into_inner);
        let link = peers.links.get(&address).context(UnknownPeerSnafu { address })?;
        let mut reservation = self.outbound_budget.reservation();
        ensure!(reservation.grow(bytes), OutboundFullSnafu);
        let id = MessageId(self.next_id.fetch_add(1, Ordering::Relaxed));
        let expires = Instant::now() + settings.queue_timeout();
        let outgoing =
            Outgoing { id, priority, message, expires, _reservation: reservation };
        match link.queue.push(outgoing) {
            Ok(()) => Ok(id),
            Err(PushError::Full) => QueueFullSnafu { address }.fail(),
            Err(PushError::Closed) => UnknownPeerSnafu { address }.fail(),
        }
    }

    /// Returns how often inbound connections were cut off.
    pub fn disconnect_counts(&self) -> DisconnectCounts {
        self.context.disconnects.counts()
    }

    /// Takes the latest cuts, oldest first; only the last 64 are kept.
    pub fn take_disconnects(&self) -> Vec<(SocketAddr, DisconnectReason)> {
        self.context.disconnects.take()
    }

    /// Returns the reports that found their channel full during a stop.
    pub fn lost_reports(&self) -> u64 {
        self.context.lost_reports.load(Ordering::Relaxed)
    }

    /// Stops all links and waits until every message is reported.
    ///
    /// Waiting messages are reported as not sent. Messages under way get the time of one
    /// acknowledgement to settle.
    pub fn stop(mut self) {
        self.context.cancel.cancel();
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::error!("the thread of the links has panicked; report this fault");
        }
    }

    /// Opens the link to a new peer.
    fn open(&self, address: SocketAddr) -> Arc<Link> {
        let context = &self.context;
        let link = Arc::new(Link {
            address,
            queue: OutQueue::new(context.settings.max_queued_messages),
            cancel: context.cancel.child_token(),
        });
        let carrier = outbound::carry(Arc::clone(&link), Arc::clone(context));
        let sweeper = outbound::sweep(Arc::clone(&link), Arc::clone(context));
        context.tracker.spawn_on(carrier, &self.runtime);
        context.tracker.spawn_on(sweeper, &self.runtime);
        link
    }
}

impl Drop for Links {
    fn drop(&mut self) {
        self.context.cancel.cancel();
    }
}

/// Why links cannot be started.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The identity does not fit into headers.
    #[snafu(display("cannot start the links: {source}"))]
    Identity {
        /// The cause.
        source: IdentityError,
    },
    /// The listener, the runtime or the thread failed.
    #[snafu(display(
        "cannot start the links: {source}; check the address and the process limits"
    ))]
    Start {
        /// The cause.
        source: io::Error,
    },
}

/// Why a message was not accepted; it is certainly not sent.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Snafu)]
pub enum SendError {
    /// The address is not a peer.
    #[snafu(display("not sent: {address} is not a peer; set the peers first"))]
    UnknownPeer {
        /// The address.
        address: SocketAddr,
    },
    /// The message is too large.
    #[snafu(display("not sent: {bytes} bytes exceed {limit}; send it in parts"))]
    Oversized {
        /// The size.
        bytes: usize,
        /// The limit.
        limit: usize,
    },
    /// The queue of the link is full.
    #[snafu(display("not sent: the queue to {address} is full; choose another peer"))]
    QueueFull {
        /// The address.
        address: SocketAddr,
    },
    /// The bytes of all links together are at their limit.
    #[snafu(display("not sent: the outbound byte limit is reached; retry later"))]
    OutboundFull,
    /// The links are stopping.
    #[snafu(display("not sent: the links are stopping; use another instance"))]
    Stopped,
}

/// What the tasks of all links share.
#[derive(Debug)]
pub(crate) struct Context {
    /// The limits.
    pub(crate) settings: LinkSettings,
    /// The headers with the identity of this instance.
    pub(crate) headers: HeaderMap,
    /// Takes received messages.
    pub(crate) inbound: Sender<InboundMessage>,
    /// Takes reports.
    reports: Sender<DeliveryReport>,
    /// The bytes of received messages.
    pub(crate) inbound_budget: Arc<Budget>,
    /// The connections that were cut off.
    pub(crate) disconnects: DisconnectLog,
    /// Starts a stop.
    pub(crate) cancel: CancellationToken,
    /// Ends connections that are still open late in a stop.
    pub(crate) abort: CancellationToken,
    /// The tasks to wait for at a stop.
    pub(crate) tracker: TaskTracker,
    /// The reports that found their channel full during a stop.
    lost_reports: AtomicU64,
    /// The links.
    peers: RwLock<Peers>,
}

/// The links by address.
#[derive(Debug, Default)]
struct Peers {
    /// The links.
    links: HashMap<SocketAddr, Arc<Link>>,
    /// Whether the runtime is gone, so that no link can be added.
    closed: bool,
}

impl Context {
    /// Reports a delivery, and waits while the channel is full unless a stop has begun.
    pub(crate) async fn report(
        &self,
        address: SocketAddr,
        id: MessageId,
        delivery: Delivery,
    ) {
        let mut report = DeliveryReport { id, address, delivery };
        while let Err(TrySendError::Full(unsent)) = self.reports.try_send(report) {
            if self.cancel.is_cancelled() {
                self.lost_reports.fetch_add(1, Ordering::Relaxed);
                return;
            }
            report = unsent;
            sleep(REPORT_RETRY).await;
        }
    }

    /// Returns why a closed link does not send.
    pub(crate) fn closed_reason(&self) -> NotSentReason {
        match self.cancel.is_cancelled() {
            true => NotSentReason::Stopped,
            false => NotSentReason::PeerRemoved,
        }
    }

    /// Closes queues whose tasks did not run to their end before the runtime stopped.
    fn close_peers(&self) {
        let mut peers = self.peers.write().unwrap_or_else(PoisonError::into_inner);
        peers.closed = true;
        for (address, link) in peers.links.drain() {
            for message in link.queue.close() {
                let delivery = Delivery::NotSent(NotSentReason::Stopped);
                let report = DeliveryReport { id: message.id, address, delivery };
                if self.reports.try_send(report).is_err() {
                    self.lost_reports.fetch_add(1, Ordering::Relaxed);
                }
            }
        }
    }
}

/// Accepts connections until the stop, then waits for the tasks to settle.
async fn run(listen: TcpListener, context: Arc<Context>) {
    inbound::accept(listen, &context).await;
    context.tracker.close();
    if timeout(context.settings.ack_timeout(), context.tracker.wait()).await.is_err() {
        context.abort.cancel();
        let _ = timeout(STOP_GRACE, context.tracker.wait()).await;
    }
}
