//! The client side of a link.

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
use crate::queue::{OutboundMessage, OutboundQueue};

/// The path of the POST request that carries a message.
pub(crate) const MESSAGE_PATH: &str = "/message";

/// The maximum size of a header list that either side accepts.
pub(crate) const MAX_HEADER_BYTES: u32 = 4 * 1024;

/// How often a queue is checked for expired and displaced messages.
const SWEEP_INTERVAL: Duration = Duration::from_millis(50);

/// The bytes of one message that h2 buffers beyond the peer's flow-control window.
const SEND_BUFFER_BYTES: usize = 64 * 1024;

/// The outbound link to one peer.
#[derive(Debug)]
pub(crate) struct Link {
    /// The address that the peer listens on.
    pub(crate) address: SocketAddr,
    /// The messages that are not yet being sent.
    pub(crate) queue: OutboundQueue,
    /// Stops the tasks of the link.
    pub(crate) cancel: CancellationToken,
}

/// Sends queued messages until the link is cancelled, then reports the rest as not sent.
pub(crate) async fn run_link(link: Arc<Link>, context: Arc<Context>) {
    tokio::select! {
        () = link.cancel.cancelled() => {}
        () = reconnect(&link, &context) => {}
    }
    let reason = context.closed_reason();
    for message in link.queue.close() {
        context.report(link.address, message.id, Delivery::NotSent(reason)).await;
    }
}

/// Reports displaced and expired messages until the link is cancelled.
///
/// It checks the queue one last time after the cancellation.
pub(crate) async fn sweep_queue(link: Arc<Link>, context: Arc<Context>) {
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

/// Opens one connection after another, each as soon as a message is queued.
async fn reconnect(link: &Arc<Link>, context: &Arc<Context>) {
    let mut backoff = Backoff::default();
    loop {
        link.queue.wait_nonempty().await;
        let failed = match Connection::open(link.address, context).await {
            Ok(connection) => {
                let retired = send_queued(link, context, &connection).await;
                if connection.answered.load(Ordering::Relaxed) {
                    backoff.reset();
                    continue;
                }
                retired == End::Failed
            }
            Err(error) => {
                log::debug!("cannot connect to peer {}: {error}", link.address);
                true
            }
        };
        if failed {
            sleep(backoff.next(&context.settings)).await;
        }
    }
}

/// Why a connection is used for no more messages.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
enum End {
    /// The idle timeout expired.
    Idle,
    /// The connection failed or did not acknowledge a message in time.
    Failed,
}

/// Sends queued messages over a connection until it is retired or idle.
async fn send_queued(
    link: &Arc<Link>,
    context: &Arc<Context>,
    connection: &Arc<Connection>,
) -> End {
    loop {
        let permit = tokio::select! {
            // A retired connection must not be used for a message that was just queued.
            biased;
            () = connection.retired.cancelled() => return End::Failed,
            () = connection.idle(context.settings.idle_timeout()) => return End::Idle,
            permit = connection.acquire_stream(&link.queue) => permit,
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

/// Sends one message and reports the result, or requeues the message if it was not sent.
async fn deliver(
    link: Arc<Link>,
    context: Arc<Context>,
    connection: Arc<Connection>,
    permit: OwnedSemaphorePermit,
    message: OutboundMessage,
) {
    let mut transfer = Transfer {
        context: &context,
        connection: &connection,
        address: link.address,
        end_passed: false,
    };
    let sent = transfer.send(message.message.clone());
    let attempt = match timeout(context.settings.message_timeout(), sent).await {
        Ok(attempt) => attempt,
        Err(_) => transfer.abandon(UnknownReason::NotAcknowledged),
    };
    drop(connection);
    let (id, delivery) = match attempt {
        AttemptResult::Done(delivery) => (message.id, delivery),
        AttemptResult::Retry if message.expires_at <= Instant::now() => {
            (message.id, Delivery::NotSent(NotSentReason::Expired))
        }
        AttemptResult::Retry => match link.queue.put_back(message) {
            Ok(()) => return,
            Err(message) => (message.id, Delivery::NotSent(context.closed_reason())),
        },
    };
    context.report(link.address, id, delivery).await;
    // Released after the report, so that a full report channel applies backpressure.
    drop(permit);
}

/// An HTTP/2 connection to a peer.
#[derive(Debug)]
struct Connection {
    /// The handle that opens streams.
    sender: SendRequest<Bytes>,
    /// Limits the concurrent streams.
    streams: Arc<Semaphore>,
    /// Cancelled when the connection must not be used for further messages.
    retired: CancellationToken,
    /// Whether the peer has acknowledged a message or answered that it is busy.
    answered: AtomicBool,
    /// When the peer last gave such an answer, or when the connection was opened.
    last_activity: Mutex<Instant>,
}

impl Connection {
    /// Connects to a peer and spawns the task that drives the connection.
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
            answered: AtomicBool::new(false),
            last_activity: Mutex::new(Instant::now()),
        }))
    }

    /// Waits for a queued message and for a free stream to send it on.
    async fn acquire_stream(
        &self,
        queue: &OutboundQueue,
    ) -> Result<OwnedSemaphorePermit, AcquireError> {
        queue.wait_nonempty().await;
        Arc::clone(&self.streams).acquire_owned().await
    }

    /// Waits until the connection has been idle for `limit`.
    async fn idle(&self, limit: Duration) {
        loop {
            let due = *self.last_activity() + limit;
            if due <= Instant::now() {
                return;
            }
            sleep_until(due.into()).await;
        }
    }

    /// Records that the peer acknowledged a message or answered that it is busy.
    fn note_answer(&self) {
        self.answered.store(true, Ordering::Relaxed);
        *self.last_activity() = Instant::now();
    }

    /// Locks the time of the last activity.
    fn last_activity(&self) -> MutexGuard<'_, Instant> {
        self.last_activity.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Why no connection could be opened.
#[derive(Debug, Snafu)]
enum ConnectError {
    /// The TCP connection failed.
    #[snafu(display("TCP error: {source}"))]
    Socket { source: std::io::Error },
    /// The HTTP/2 handshake failed.
    #[snafu(display("HTTP/2 handshake failed: {source}"))]
    Handshake { source: h2::Error },
    /// The connect timeout expired.
    #[snafu(display("no connection within {limit_ms} ms"))]
    Timeout {
        /// The connect timeout.
        limit_ms: u64,
    },
}

/// Drives a connection until it closes, or until the acknowledgement timeout has passed
/// since it was retired, so that its other streams can still complete.
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

/// Returns whether the peer reset the stream before it processed any of it.
fn is_refusal(error: &h2::Error) -> bool {
    error.is_remote()
        && error.is_reset()
        && error.reason() == Some(Reason::REFUSED_STREAM)
}

/// The result of one attempt to send a message.
#[derive(Debug)]
enum AttemptResult {
    /// The delivery is decided and can be reported.
    Done(Delivery),
    /// The message was definitely not sent and can be sent over another connection.
    Retry,
}

/// The transfer of one message over one stream.
struct Transfer<'a> {
    /// The state that all links share.
    context: &'a Context,
    /// The connection that the stream belongs to.
    connection: &'a Connection,
    address: SocketAddr,
    /// Whether the end of the message was passed to the connection. Until then the peer
    /// cannot accept the message, because it accepts only complete ones.
    end_passed: bool,
}

impl Transfer<'_> {
    /// Sends the message and waits for the response.
    async fn send(&mut self, message: Bytes) -> AttemptResult {
        let mut sender = self.connection.sender.clone();
        let Ok(request) = self.request(message.len()) else {
            return AttemptResult::Done(Delivery::NotSent(NotSentReason::PeerRefused));
        };
        self.end_passed = message.is_empty();
        let Ok((mut response, body)) = sender.send_request(request, self.end_passed)
        else {
            self.end_passed = false;
            return self.abandon(UnknownReason::ConnectionLost);
        };
        if let Some(attempt) = self.send_body(&mut response, body, message).await {
            return attempt;
        }
        match timeout(self.context.settings.ack_timeout(), response).await {
            Ok(answer) => self.read_response(answer),
            Err(_) => self.abandon(UnknownReason::NotAcknowledged),
        }
    }

    /// Builds the request head.
    fn request(&self, bytes: usize) -> http::Result<Request<()>> {
        let uri = format!("http://{}{MESSAGE_PATH}", self.address);
        let mut request = Request::post(uri).body(())?;
        *request.headers_mut() = self.context.headers.clone();
        request.headers_mut().insert(http::header::CONTENT_LENGTH, bytes.into());
        Ok(request)
    }

    /// Sends the body as flow control permits.
    ///
    /// Returns a result if the stream ends before the whole body is sent.
    async fn send_body(
        &mut self,
        response: &mut ResponseFuture,
        mut body: SendStream<Bytes>,
        mut rest: Bytes,
    ) -> Option<AttemptResult> {
        while !rest.is_empty() {
            body.reserve_capacity(rest.len());
            let room = poll_fn(|cx| body.poll_capacity(cx));
            let room = tokio::select! {
                biased;
                answer = &mut *response => return Some(self.read_response(answer)),
                room = timeout(self.context.settings.ack_timeout(), room) => room,
            };
            let Ok(Some(Ok(room))) = room else {
                return Some(self.abandon(UnknownReason::ConnectionLost));
            };
            let part = rest.split_to(room.min(rest.len()));
            if body.send_data(part, rest.is_empty()).is_err() {
                return Some(self.abandon(UnknownReason::ConnectionLost));
            }
            self.end_passed = rest.is_empty();
        }
        None
    }

    /// Derives the delivery from the response or from the error of the stream.
    fn read_response(
        &self,
        answer: Result<Response<h2::RecvStream>, h2::Error>,
    ) -> AttemptResult {
        let answer = match answer {
            Ok(answer) => answer,
            Err(error) if is_refusal(&error) => {
                return AttemptResult::Done(Delivery::NotSent(NotSentReason::PeerBusy));
            }
            Err(_) => return self.abandon(UnknownReason::ConnectionLost),
        };
        let by = PeerIdentity::from_headers(answer.headers());
        let delivery = match (answer.status(), by) {
            (StatusCode::OK, Ok(by)) if self.end_passed => {
                self.connection.note_answer();
                Delivery::Acknowledged { by }
            }
            (StatusCode::SERVICE_UNAVAILABLE, Ok(_)) => {
                self.connection.note_answer();
                Delivery::NotSent(NotSentReason::PeerBusy)
            }
            (StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE, Ok(_)) => {
                Delivery::NotSent(NotSentReason::PeerRefused)
            }
            _ => Delivery::Unknown(UnknownReason::UnexpectedResponse),
        };
        AttemptResult::Done(delivery)
    }

    /// Retires the connection; the message can be retried unless all of it was passed on.
    fn abandon(&self, reason: UnknownReason) -> AttemptResult {
        self.connection.retired.cancel();
        match self.end_passed {
            true => AttemptResult::Done(Delivery::Unknown(reason)),
            false => AttemptResult::Retry,
        }
    }
}
