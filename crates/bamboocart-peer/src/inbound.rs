//! The receiving side of links.

use std::future::poll_fn;
use std::net::{self, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use crossbeam::channel::TrySendError;
use h2::RecvStream;
use h2::server::{self, SendResponse};
use http::{Method, Request, Response, StatusCode};
use snafu::ensure;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::budget::Reservation;
use crate::disconnect::{
    DisconnectReason, IdleSnafu, NoPrefaceSnafu, NotAMessageSnafu, OversizedSnafu,
    SlowMessageSnafu, TooManyConnectionsSnafu,
};
use crate::identity::PeerIdentity;
use crate::links::Context;
use crate::message::InboundMessage;
use crate::outbound::{MAX_HEADER_BYTES, MESSAGE_PATH};

/// The pause after a failed accept, for example when descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The time in which answers and the reason leave before a connection is closed.
const LINGER: Duration = Duration::from_millis(300);

/// The bytes that a peer may send on a connection before they are read. With the largest
/// number of connections this bounds unread bytes at 64 MiB.
const WINDOW_BYTES: u32 = 65_535;

/// The streams that h2 remembers after it reset them.
const RESET_STREAMS: usize = 32;

/// The ends of streams that wait for their connection's task.
const STREAM_ENDS: usize = 16;

/// Accepts connections until the stop.
pub(crate) async fn accept(listen: net::TcpListener, context: &Arc<Context>) {
    let listen = match TcpListener::from_std(listen) {
        Ok(listen) => listen,
        Err(error) => {
            log::error!("cannot accept links: {error}; restart the instance");
            context.cancel.cancelled().await;
            return;
        }
    };
    let limit = context.settings.max_inbound_connections;
    let places = Arc::new(Semaphore::new(limit));
    loop {
        let accepted = tokio::select! {
            () = context.cancel.cancelled() => return,
            accepted = listen.accept() => accepted,
        };
        let (socket, remote) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("cannot accept a link: {error}; check the process limits");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Ok(place) = Arc::clone(&places).try_acquire_owned() else {
            context.disconnects.add(remote, TooManyConnectionsSnafu { limit }.build());
            continue;
        };
        let context = Arc::clone(context);
        context.tracker.clone().spawn(async move {
            if let Err(cut) = serve(socket, remote, &context).await {
                context.disconnects.add(remote, cut);
            }
            drop(place);
        });
    }
}

/// Serves one connection until it ends or is cut off.
async fn serve(
    socket: TcpStream,
    remote: SocketAddr,
    context: &Arc<Context>,
) -> Result<(), DisconnectReason> {
    let mut connection = shake_hands(socket, context).await?;
    let result = receive_streams(&mut connection, remote, context).await;
    connection.graceful_shutdown();
    let closed = poll_fn(|cx| connection.poll_closed(cx));
    let _ = timeout(LINGER, closed).await;
    result
}

/// Waits for the preface of HTTP/2.
async fn shake_hands(
    socket: TcpStream,
    context: &Context,
) -> Result<server::Connection<TcpStream, Bytes>, DisconnectReason> {
    let settings = &context.settings;
    // Answers are tiny; without this option each could wait for a delayed TCP
    // acknowledgement.
    if let Err(error) = socket.set_nodelay(true) {
        log::debug!("cannot disable send coalescing: {error}");
    }
    let handshake = server::Builder::new()
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .max_concurrent_streams(settings.max_concurrent_streams)
        .max_header_list_size(MAX_HEADER_BYTES)
        .max_concurrent_reset_streams(RESET_STREAMS)
        .max_local_error_reset_streams(Some(RESET_STREAMS))
        .handshake(socket);
    match timeout(settings.connect_timeout(), handshake).await {
        Ok(result) => result.map_err(|source| DisconnectReason::Protocol { source }),
        Err(_) => NoPrefaceSnafu { limit_ms: settings.connect_timeout_ms }.fail(),
    }
}

/// Receives messages until the connection ends or has to be cut off.
async fn receive_streams(
    connection: &mut server::Connection<TcpStream, Bytes>,
    remote: SocketAddr,
    context: &Arc<Context>,
) -> Result<(), DisconnectReason> {
    let limit_ms = context.settings.idle_timeout_ms.saturating_mul(2);
    let limit = Duration::from_millis(limit_ms);
    let (ends, mut ended) = mpsc::channel(STREAM_ENDS);
    let mut idle_at = Instant::now() + limit;
    loop {
        tokio::select! {
            () = context.cancel.cancelled() => return Ok(()),
            () = sleep_until(idle_at) => return IdleSnafu { limit_ms }.fail(),
            Some(end) = ended.recv() => {
                let () = end?;
                idle_at = Instant::now() + limit;
            }
            accepted = connection.accept() => match accepted {
                None => return Ok(()),
                Some(Err(source)) if is_disconnect(&source) => {
                    log::debug!("the link from {remote} ended: {source}");
                    return Ok(());
                }
                Some(Err(source)) => return Err(DisconnectReason::Protocol { source }),
                Some(Ok((request, respond))) => {
                    let ends = ends.clone();
                    let context = Arc::clone(context);
                    context.tracker.clone().spawn(async move {
                        let end = receive(request, respond, &context).await;
                        let _ = ends.send(end).await;
                    });
                }
            }
        }
    }
}

/// Returns whether the error is the end of the connection and no fault of the peer.
fn is_disconnect(error: &h2::Error) -> bool {
    error.is_io() || error.reason() == Some(h2::Reason::NO_ERROR)
}

/// Receives one message and answers it.
async fn receive(
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    context: &Context,
) -> Result<(), DisconnectReason> {
    let result = receive_message(request, context).await;
    let status = match &result {
        Ok(status) => *status,
        Err(DisconnectReason::Oversized { .. }) => StatusCode::PAYLOAD_TOO_LARGE,
        Err(_) => StatusCode::BAD_REQUEST,
    };
    let mut response = Response::new(());
    *response.status_mut() = status;
    *response.headers_mut() = context.headers.clone();
    // The peer may be gone; it then counts the message as unknown.
    if let Err(error) = respond.send_response(response, true) {
        log::debug!("cannot answer a message: {error}");
    }
    result.map(drop)
}

/// Reads a message, passes it on, and returns the status of the answer.
async fn receive_message(
    request: Request<RecvStream>,
    context: &Context,
) -> Result<StatusCode, DisconnectReason> {
    let (head, body) = request.into_parts();
    let is_message = head.method == Method::POST && head.uri.path() == MESSAGE_PATH;
    ensure!(is_message, NotAMessageSnafu { request: head.method });
    let from = PeerIdentity::read(&head.headers)
        .map_err(|source| DisconnectReason::InvalidSender { source })?;
    let limit_ms = context.settings.message_timeout_ms;
    let (message, reservation) =
        match timeout(context.settings.message_timeout(), read(body, context)).await {
            Ok(Ok(whole)) => whole,
            Ok(Err(ReadEnd::Busy)) => return Ok(StatusCode::SERVICE_UNAVAILABLE),
            Ok(Err(ReadEnd::Broken)) => return Ok(StatusCode::BAD_REQUEST),
            Ok(Err(ReadEnd::Oversized)) => {
                let limit = context.settings.max_message_bytes;
                return OversizedSnafu { limit }.fail();
            }
            Err(_) => return SlowMessageSnafu { limit_ms }.fail(),
        };
    let inbound = InboundMessage::counted(from, message, reservation);
    match context.inbound.try_send(inbound) {
        Ok(()) => Ok(StatusCode::OK),
        Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
            Ok(StatusCode::SERVICE_UNAVAILABLE)
        }
    }
}

/// Why a message was not read to its end.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
enum ReadEnd {
    /// The bytes of inbound messages are at their limit.
    Busy,
    /// The stream or its connection ended early.
    Broken,
    /// The message is too large.
    Oversized,
}

/// Reads a whole message within the limits.
async fn read(
    mut body: RecvStream,
    context: &Context,
) -> Result<(Bytes, Reservation), ReadEnd> {
    let mut reservation = context.inbound_budget.reservation();
    let mut message = BytesMut::new();
    while let Some(part) = body.data().await {
        let part = part.map_err(|_| ReadEnd::Broken)?;
        if message.len() + part.len() > context.settings.max_message_bytes {
            return Err(ReadEnd::Oversized);
        }
        if !reservation.grow(part.len()) {
            return Err(ReadEnd::Busy);
        }
        message.extend_from_slice(&part);
        body.flow_control().release_capacity(part.len()).map_err(|_| ReadEnd::Broken)?;
    }
    match body.is_end_stream() {
        true => Ok((message.freeze(), reservation)),
        false => Err(ReadEnd::Broken),
    }
}
