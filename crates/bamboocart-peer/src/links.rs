//! The handle to all links of an instance.

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
use crate::queue::{OutboundMessage, OutboundQueue, PushError};
use crate::settings::LinkSettings;

/// The result of an operation on links.
pub type Result<T, E = SendError> = std::result::Result<T, E>;

/// The pause before a report is sent again to a full channel.
const REPORT_RETRY: Duration = Duration::from_millis(1);

/// The time for the last reports after a stop has aborted the connections.
const STOP_GRACE: Duration = Duration::from_millis(500);

/// The links of this instance to its peers, which one thread runs.
///
/// Dropping this value stops the links in the background; [`stop`](Self::stop) also
/// waits until they have stopped.
#[derive(Debug)]
pub struct Links {
    /// The state that the thread and this handle share.
    context: Arc<Context>,
    /// The thread's runtime, on which the tasks of new links are spawned.
    runtime: Handle,
    /// The address of the listener.
    local_address: SocketAddr,
    /// The id of the next message.
    next_id: AtomicU64,
    /// The limit on the bytes that all links queue or transmit.
    outbound_budget: Arc<Budget>,
    /// The thread, or none after it is joined.
    thread: Option<JoinHandle<()>>,
}

impl Links {
    /// Starts the thread, which accepts connections on `listen` until `cancel` is set.
    ///
    /// Inbound messages are put into `inbound`; while it is full, senders are answered
    /// that this peer is busy. Every message that `send` accepts leads to one report.
    /// While `reports` is full, links send no further messages and their queues fill up.
    pub fn start(
        listen: TcpListener,
        settings: LinkSettings,
        identity: PeerIdentity,
        (inbound, reports): (Sender<InboundMessage>, Sender<DeliveryReport>),
        cancel: &CancellationToken,
    ) -> Result<Self, StartError> {
        let headers = identity.to_headers().context(IdentitySnafu)?;
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
    /// Messages queued for a removed peer are reported as not sent. Messages in flight to
    /// it are reported as usual. The connection to a new peer is opened when the first
    /// message for it is sent.
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

    /// Queues a message without blocking.
    ///
    /// Fails if the message cannot be queued; it is then definitely not sent.
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
        ensure!(reservation.try_grow(bytes), OutboundFullSnafu);
        let id = MessageId(self.next_id.fetch_add(1, Ordering::Relaxed));
        let expires_at = Instant::now() + settings.queue_timeout();
        let outgoing = OutboundMessage {
            id,
            priority,
            message,
            expires_at,
            _reservation: reservation,
        };
        match link.queue.push(outgoing) {
            Ok(()) => Ok(id),
            Err(PushError::Full) => QueueFullSnafu { address }.fail(),
            Err(PushError::Closed) => UnknownPeerSnafu { address }.fail(),
        }
    }

    /// Returns how many inbound connections this instance closed, by reason.
    pub fn disconnect_counts(&self) -> DisconnectCounts {
        self.context.disconnects.counts()
    }

    /// Removes and returns the most recent disconnects, oldest first, at most 64.
    pub fn take_disconnects(&self) -> Vec<(SocketAddr, DisconnectReason)> {
        self.context.disconnects.take()
    }

    /// Returns the number of reports that were lost to a full channel during a stop.
    pub fn lost_reports(&self) -> u64 {
        self.context.lost_reports.load(Ordering::Relaxed)
    }

    /// Stops all links and waits until every message is reported.
    ///
    /// Queued messages are reported as not sent. Messages in flight have until the
    /// acknowledgement timeout to complete.
    pub fn stop(mut self) {
        self.context.cancel.cancel();
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::error!("the links thread panicked; report this as a bug");
        }
    }

    /// Creates the link to a new peer and spawns its tasks.
    fn open(&self, address: SocketAddr) -> Arc<Link> {
        let context = &self.context;
        let link = Arc::new(Link {
            address,
            queue: OutboundQueue::new(context.settings.max_queued_messages),
            cancel: context.cancel.child_token(),
        });
        let sender = outbound::run_link(Arc::clone(&link), Arc::clone(context));
        let sweeper = outbound::sweep_queue(Arc::clone(&link), Arc::clone(context));
        context.tracker.spawn_on(sender, &self.runtime);
        context.tracker.spawn_on(sweeper, &self.runtime);
        link
    }
}

impl Drop for Links {
    fn drop(&mut self) {
        self.context.cancel.cancel();
    }
}

/// Why the links cannot be started.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The identity cannot be encoded as headers.
    #[snafu(display("cannot start the links: {source}"))]
    Identity {
        /// Which part of the identity is invalid.
        source: IdentityError,
    },
    /// The listener, the runtime or the thread could not be set up.
    #[snafu(display(
        "cannot start the links: {source}; check the address and the process limits"
    ))]
    Start {
        /// The error of the operating system.
        source: io::Error,
    },
}

/// Why a message was not queued; it is definitely not sent.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Snafu)]
pub enum SendError {
    /// The address is not in the set of peers.
    #[snafu(display("not sent: {address} is not a peer; set the peers first"))]
    UnknownPeer {
        /// The address that the message was for.
        address: SocketAddr,
    },
    /// The message exceeds the size limit.
    #[snafu(display("not sent: {bytes} bytes exceed {limit}; send it in parts"))]
    Oversized {
        /// The size of the message, in bytes.
        bytes: usize,
        /// The largest message, in bytes.
        limit: usize,
    },
    /// The queue of the link is full and the message may displace none in it.
    #[snafu(display("not sent: the queue to {address} is full; choose another peer"))]
    QueueFull {
        /// The address of the peer.
        address: SocketAddr,
    },
    /// The outbound byte limit of all links together is reached.
    #[snafu(display("not sent: the outbound byte limit is reached; retry later"))]
    OutboundFull,
    /// The links are shutting down.
    #[snafu(display("not sent: the links are stopping; use another instance"))]
    Stopped,
}

/// The state that the tasks of all links share.
#[derive(Debug)]
pub(crate) struct Context {
    pub(crate) settings: LinkSettings,
    /// The headers that identify this instance.
    pub(crate) headers: HeaderMap,
    /// The channel for inbound messages.
    pub(crate) inbound: Sender<InboundMessage>,
    /// The channel for delivery reports.
    reports: Sender<DeliveryReport>,
    /// The limit on the bytes of inbound messages.
    pub(crate) inbound_budget: Arc<Budget>,
    /// The inbound connections that this instance closed.
    pub(crate) disconnects: DisconnectLog,
    /// Stops the links.
    pub(crate) cancel: CancellationToken,
    /// Aborts the connections that are still open late in a stop.
    pub(crate) abort: CancellationToken,
    /// The tasks that a stop waits for.
    pub(crate) tracker: TaskTracker,
    /// The number of reports that were lost to a full channel during a stop.
    lost_reports: AtomicU64,
    /// The links to the peers.
    peers: RwLock<Peers>,
}

/// The links by address.
#[derive(Debug, Default)]
struct Peers {
    links: HashMap<SocketAddr, Arc<Link>>,
    /// Whether the runtime has ended, so that no link can be added.
    closed: bool,
}

impl Context {
    /// Sends a report, and waits while the channel is full unless the links are stopping.
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

    /// Returns the reason to report for messages of a closed link.
    pub(crate) fn closed_reason(&self) -> NotSentReason {
        match self.cancel.is_cancelled() {
            true => NotSentReason::Stopped,
            false => NotSentReason::PeerRemoved,
        }
    }

    /// Closes the queues whose tasks did not finish before the runtime ended.
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

/// Accepts connections until the links are stopped, then waits for the tasks to finish.
async fn run(listen: TcpListener, context: Arc<Context>) {
    inbound::accept(listen, &context).await;
    context.tracker.close();
    if timeout(context.settings.ack_timeout(), context.tracker.wait()).await.is_err() {
        context.abort.cancel();
        let _ = timeout(STOP_GRACE, context.tracker.wait()).await;
    }
}
