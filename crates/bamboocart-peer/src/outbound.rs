//! The sending side of a link.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use h2::client::{self, ResponseFuture, SendRequest};
use h2::{Reason, SendStream};
use http::{Request, Response, StatusCode};
use snafu::{ResultExt, Snafu};
use tokio::net::TcpStream;
use tokio::sync::{AcquireError, OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, sleep_until, timeout};
use tokio_util::sync::CancellationToken;

use crate::backoff::Backoff;
use crate::identity::PeerIdentity;
use crate::links::Context;
use crate::message::{Delivery, NotSentReason, UnknownReason};
use crate::queue::{OutQueue, Outgoing};

/// The path that messages are posted to.
pub(crate) const MESSAGE_PATH: &str = "/message";

/// The largest header list that either side accepts.
pub(crate) const MAX_HEADER_BYTES: u32 = 4 * 1024;

/// The pause between searches for expired messages.
const SWEEP_INTERVAL: Duration = Duration::from_millis(50);

/// The bytes of one message that h2 buffers beyond the peer's window.
const SEND_BUFFER_BYTES: usize = 64 * 1024;

/// The way to one peer.
#[derive(Debug)]
pub(crate) struct Link {
    /// Where the peer listens.
    pub(crate) address: SocketAddr,
    /// The messages that wait.
    pub(crate) queue: OutQueue,
    /// Ends the link.
    pub(crate) cancel: CancellationToken,
}

/// Sends the messages of a link until the link is cancelled.
pub(crate) async fn carry(link: Arc<Link>, context: Arc<Context>) {
    tokio::select! {
        () = link.cancel.cancelled() => {}
        () = reconnect(&link, &context) => {}
    }
    let reason = context.closed_reason();
    for message in link.queue.close() {
        context.report(link.address, message.id, Delivery::NotSent(reason)).await;
    }
}

/// Reports messages that are displaced or that waited too long, until the link is
/// cancelled and its last such message is reported.
pub(crate) async fn sweep(link: Arc<Link>, context: Arc<Context>) {
    let mut open = true;
    while open {
        open = tokio::select! {
            () = link.cancel.cancelled() => false,
            () = sleep(SWEEP_INTERVAL) => true,
        };
        for message in link.queue.take_displaced() {
            let delivery = Delivery::NotSent(NotSentReason::Displaced);
            context.report(link.address, message.id, delivery).await;
        }
        for message in link.queue.take_expired(Instant::now()) {
            let delivery = Delivery::NotSent(NotSentReason::Expired);
            context.report(link.address, message.id, delivery).await;
        }
    }
}

/// Opens one connection after the other, each when a message waits.
async fn reconnect(link: &Arc<Link>, context: &Arc<Context>) {
    let mut backoff = Backoff::default();
    loop {
        link.queue.ready().await;
        let broken = match Connection::open(link.address, context).await {
            Ok(connection) => {
                let end = feed(link, context, &connection).await;
                if connection.acknowledged.load(Ordering::Relaxed) {
                    backoff.reset();
                    continue;
                }
                end == End::Broken
            }
            Err(error) => {
                log::debug!("no link to {}: {error}", link.address);
                true
            }
        };
        if broken {
            sleep(backoff.next(&context.settings)).await;
        }
    }
}

/// Why a connection gets no more messages.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
enum End {
    /// It carried nothing for too long.
    Idle,
    /// It failed or did not acknowledge a message in time.
    Broken,
}

/// Starts the delivery of waiting messages over one connection.
async fn feed(
    link: &Arc<Link>,
    context: &Arc<Context>,
    connection: &Arc<Connection>,
) -> End {
    loop {
        let permit = tokio::select! {
            // A retired connection must not get a message that has just arrived.
            biased;
            () = connection.retired.cancelled() => return End::Broken,
            () = connection.idle(context.settings.idle_timeout()) => return End::Idle,
            permit = connection.free_stream(&link.queue) => permit,
        };
        let (Ok(permit), Some(message)) = (permit, link.queue.pop()) else {
            continue;
        };
        let delivery = deliver(
            Arc::clone(link),
            Arc::clone(context),
            Arc::clone(connection),
            permit,
            message,
        );
        context.tracker.spawn(delivery);
    }
}

/// Sends one message and reports it, or puts it back if it was certainly not sent.
async fn deliver(
    link: Arc<Link>,
    context: Arc<Context>,
    connection: Arc<Connection>,
    permit: OwnedSemaphorePermit,
    message: Outgoing,
) {
    let mut transfer = Transfer {
        context: &context,
        connection: &connection,
        address: link.address,
        handed_over: false,
    };
    let sent = transfer.run(message.message.clone());
    let attempt = match timeout(context.settings.message_timeout(), sent).await {
        Ok(attempt) => attempt,
        Err(_) => transfer.give_up(UnknownReason::NotAcknowledged),
    };
    drop(connection);
    let (id, delivery) = match attempt {
        Attempt::Settled(delivery) => (message.id, delivery),
        Attempt::Again if message.expires <= Instant::now() => {
            (message.id, Delivery::NotSent(NotSentReason::Expired))
        }
        Attempt::Again => match link.queue.put_back(message) {
            Ok(()) => return,
            Err(message) => (message.id, Delivery::NotSent(context.closed_reason())),
        },
    };
    context.report(link.address, id, delivery).await;
    // Freed after the report, so that a full report channel holds back the link.
    drop(permit);
}

/// An HTTP/2 connection to a peer.
#[derive(Debug)]
struct Connection {
    /// Opens streams.
    sender: SendRequest<Bytes>,
    /// Bounds the streams at the same time.
    streams: Arc<Semaphore>,
    /// Set when the connection gets no more messages.
    retired: CancellationToken,
    /// Whether the connection has carried a message to its end.
    acknowledged: AtomicBool,
    /// When the connection last carried something.
    carried_at: Mutex<Instant>,
}

impl Connection {
    /// Connects to a peer.
    async fn open(
        address: SocketAddr,
        context: &Arc<Context>,
    ) -> Result<Arc<Self>, ConnectError> {
        let settings = &context.settings;
        let handshake = async {
            let socket = TcpStream::connect(address).await.context(SocketSnafu)?;
            socket.set_nodelay(true).context(SocketSnafu)?;
            client::Builder::new()
                .enable_push(false)
                .max_header_list_size(MAX_HEADER_BYTES)
                .max_send_buffer_size(SEND_BUFFER_BYTES)
                .initial_max_send_streams(settings.max_concurrent_streams as usize)
                .handshake(socket)
                .await
                .context(HandshakeSnafu)
        };
        let (sender, driver) = match timeout(settings.connect_timeout(), handshake).await
        {
            Ok(result) => result?,
            Err(_) => {
                return TimeoutSnafu { limit_ms: settings.connect_timeout_ms }.fail();
            }
        };
        let retired = CancellationToken::new();
        context.tracker.spawn(drive(driver, retired.clone(), Arc::clone(context)));
        Ok(Arc::new(Self {
            sender,
            streams: Arc::new(Semaphore::new(settings.max_concurrent_streams as usize)),
            retired,
            acknowledged: AtomicBool::new(false),
            carried_at: Mutex::new(Instant::now()),
        }))
    }

    /// Waits for a message and for a free stream to send it on.
    async fn free_stream(
        &self,
        queue: &OutQueue,
    ) -> Result<OwnedSemaphorePermit, AcquireError> {
        queue.ready().await;
        Arc::clone(&self.streams).acquire_owned().await
    }

    /// Waits until the connection has carried nothing for `limit`.
    async fn idle(&self, limit: Duration) {
        loop {
            let due = *self.carried() + limit;
            if due <= Instant::now() {
                return;
            }
            sleep_until(due.into()).await;
        }
    }

    /// Notes that the connection carries messages.
    fn acknowledge(&self) {
        self.acknowledged.store(true, Ordering::Relaxed);
        *self.carried() = Instant::now();
    }

    /// Locks the time of the last traffic.
    fn carried(&self) -> MutexGuard<'_, Instant> {
        self.carried_at.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Why no connection could be opened.
#[derive(Debug, Snafu)]
enum ConnectError {
    /// TCP failed.
    #[snafu(display("cannot connect: {source}"))]
    Socket {
        /// The cause.
        source: std::io::Error,
    },
    /// HTTP/2 failed.
    #[snafu(display("no HTTP/2: {source}"))]
    Handshake {
        /// The cause.
        source: h2::Error,
    },
    /// The time is up.
    #[snafu(display("no connection within {limit_ms} ms"))]
    Timeout {
        /// The limit.
        limit_ms: u64,
    },
}

/// Runs a connection until it ends, or for the time of one acknowledgement after it
/// retires, in which the other streams may still settle.
async fn drive(
    driver: client::Connection<TcpStream>,
    retired: CancellationToken,
    context: Arc<Context>,
) {
    let grace = async {
        retired.cancelled().await;
        sleep(context.settings.ack_timeout()).await;
    };
    tokio::select! {
        _ = driver => {}
        () = grace => {}
        () = context.abort.cancelled() => {}
    }
    retired.cancel();
}

/// Returns whether the peer reset the stream without processing any of it.
fn is_refusal(error: &h2::Error) -> bool {
    error.is_remote()
        && error.is_reset()
        && error.reason() == Some(Reason::REFUSED_STREAM)
}

/// What one attempt to send a message came to.
#[derive(Debug)]
enum Attempt {
    /// The message is done with.
    Settled(Delivery),
    /// The message was certainly not sent and can use another connection.
    Again,
}

/// The transfer of one message over one stream.
struct Transfer<'a> {
    /// What all links share.
    context: &'a Context,
    /// The connection.
    connection: &'a Connection,
    /// The address of the peer.
    address: SocketAddr,
    /// Whether the end of the message was handed to the connection. Before, the peer
    /// cannot take the message, because it takes only whole ones.
    handed_over: bool,
}

impl Transfer<'_> {
    /// Sends the message and waits for the answer.
    async fn run(&mut self, message: Bytes) -> Attempt {
        let mut sender = self.connection.sender.clone();
        let Ok(request) = self.request(message.len()) else {
            return Attempt::Settled(Delivery::NotSent(NotSentReason::PeerRefused));
        };
        self.handed_over = message.is_empty();
        let Ok((mut response, body)) = sender.send_request(request, self.handed_over)
        else {
            self.handed_over = false;
            return self.give_up(UnknownReason::ConnectionLost);
        };
        if let Some(attempt) = self.send_body(&mut response, body, message).await {
            return attempt;
        }
        match timeout(self.context.settings.ack_timeout(), response).await {
            Ok(answer) => self.settle(answer),
            Err(_) => self.give_up(UnknownReason::NotAcknowledged),
        }
    }

    /// Builds the head of the stream.
    fn request(&self, bytes: usize) -> http::Result<Request<()>> {
        let uri = format!("http://{}{MESSAGE_PATH}", self.address);
        let mut request = Request::post(uri).body(())?;
        *request.headers_mut() = self.context.headers.clone();
        request.headers_mut().insert(http::header::CONTENT_LENGTH, bytes.into());
        Ok(request)
    }

    /// Sends the body as the peer grants room, and returns an end that comes early.
    async fn send_body(
        &mut self,
        response: &mut ResponseFuture,
        mut body: SendStream<Bytes>,
        mut rest: Bytes,
    ) -> Option<Attempt> {
        while !rest.is_empty() {
            body.reserve_capacity(rest.len());
            let room = poll_fn(|cx| body.poll_capacity(cx));
            let room = tokio::select! {
                biased;
                answer = &mut *response => return Some(self.settle(answer)),
                room = timeout(self.context.settings.ack_timeout(), room) => room,
            };
            let Ok(Some(Ok(room))) = room else {
                return Some(self.give_up(UnknownReason::ConnectionLost));
            };
            let part = rest.split_to(room.min(rest.len()));
            if body.send_data(part, rest.is_empty()).is_err() {
                return Some(self.give_up(UnknownReason::ConnectionLost));
            }
            self.handed_over = rest.is_empty();
        }
        None
    }

    /// Interprets the end of the response.
    fn settle(&self, answer: Result<Response<h2::RecvStream>, h2::Error>) -> Attempt {
        let answer = match answer {
            Ok(answer) => answer,
            Err(error) if is_refusal(&error) => {
                return Attempt::Settled(Delivery::NotSent(NotSentReason::PeerBusy));
            }
            Err(_) => return self.give_up(UnknownReason::ConnectionLost),
        };
        let by = PeerIdentity::read(answer.headers());
        let delivery = match (answer.status(), by) {
            (StatusCode::OK, Ok(by)) if self.handed_over => {
                self.connection.acknowledge();
                Delivery::Acknowledged { by }
            }
            (StatusCode::SERVICE_UNAVAILABLE, Ok(_)) => {
                self.connection.acknowledge();
                Delivery::NotSent(NotSentReason::PeerBusy)
            }
            (StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE, Ok(_)) => {
                Delivery::NotSent(NotSentReason::PeerRefused)
            }
            _ => Delivery::Unknown(UnknownReason::UnexpectedResponse),
        };
        Attempt::Settled(delivery)
    }

    /// Retires the connection and returns what is known about the message.
    fn give_up(&self, reason: UnknownReason) -> Attempt {
        self.connection.retired.cancel();
        match self.handed_over {
            true => Attempt::Settled(Delivery::Unknown(reason)),
            false => Attempt::Again,
        }
    }
}
