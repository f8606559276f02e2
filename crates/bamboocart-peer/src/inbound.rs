//! The server side of links.

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

/// The pause after a failed accept, for example when file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The time for sending pending responses and GOAWAY before a connection is closed.
const CLOSE_GRACE: Duration = Duration::from_millis(300);

/// The flow-control window of a connection and of each stream. With the maximum number of
/// connections it limits unread bytes to 64 MiB.
const WINDOW_BYTES: u32 = 65_535;

/// The number of reset streams whose state h2 keeps.
const MAX_RESET_STREAMS: usize = 32;

/// The capacity of the channel from the streams to the task of their connection.
const STREAM_RESULT_CAPACITY: usize = 16;

/// Accepts connections until the links are stopped.
pub(crate) async fn accept(listen: net::TcpListener, context: &Arc<Context>) {
    let listen = match TcpListener::from_std(listen) {
        Ok(listen) => listen,
        Err(error) => {
            log::error!("cannot accept peers: {error}; restart the instance");
            context.cancel.cancelled().await;
            return;
        }
    };
    let limit = context.settings.max_inbound_connections;
    let permits = Arc::new(Semaphore::new(limit));
    loop {
        let accepted = tokio::select! {
            () = context.cancel.cancelled() => return,
            accepted = listen.accept() => accepted,
        };
        let (socket, remote) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("cannot accept a peer: {error}; check the process limits");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            context.disconnects.add(remote, TooManyConnectionsSnafu { limit }.build());
            continue;
        };
        let context = Arc::clone(context);
        context.tracker.clone().spawn(async move {
            if let Err(reason) = serve(socket, remote, &context).await {
                context.disconnects.add(remote, reason);
            }
            drop(permit);
        });
    }
}

/// Serves one connection until it closes or has to be closed.
async fn serve(
    socket: TcpStream,
    remote: SocketAddr,
    context: &Arc<Context>,
) -> Result<(), DisconnectReason> {
    let mut connection = handshake(socket, context).await?;
    let result = receive_streams(&mut connection, remote, context).await;
    connection.graceful_shutdown();
    let closed = poll_fn(|cx| connection.poll_closed(cx));
    let _ = timeout(CLOSE_GRACE, closed).await;
    result
}

/// Performs the HTTP/2 handshake.
async fn handshake(
    socket: TcpStream,
    context: &Context,
) -> Result<server::Connection<TcpStream, Bytes>, DisconnectReason> {
    let settings = &context.settings;
    // Responses are tiny. Without this option, Nagle's algorithm could hold each of them
    // back until a delayed TCP acknowledgement.
    if let Err(error) = socket.set_nodelay(true) {
        log::debug!("cannot set TCP_NODELAY: {error}");
    }
    let handshake = server::Builder::new()
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .max_concurrent_streams(settings.max_concurrent_streams)
        .max_header_list_size(MAX_HEADER_BYTES)
        .max_concurrent_reset_streams(MAX_RESET_STREAMS)
        .max_local_error_reset_streams(Some(MAX_RESET_STREAMS))
        .handshake(socket);
    match timeout(settings.connect_timeout(), handshake).await {
        Ok(result) => result.map_err(|source| DisconnectReason::Protocol { source }),
        Err(_) => NoPrefaceSnafu { limit_ms: settings.connect_timeout_ms }.fail(),
    }
}

/// Receives messages until the connection closes or violates a limit.
async fn receive_streams(
    connection: &mut server::Connection<TcpStream, Bytes>,
    remote: SocketAddr,
    context: &Arc<Context>,
) -> Result<(), DisconnectReason> {
    let limit_ms = context.settings.idle_timeout_ms.saturating_mul(2);
    let limit = Duration::from_millis(limit_ms);
    let (results, mut finished) = mpsc::channel(STREAM_RESULT_CAPACITY);
    let mut idle_at = Instant::now() + limit;
    loop {
        tokio::select! {
            () = context.cancel.cancelled() => return Ok(()),
            () = sleep_until(idle_at) => return IdleSnafu { limit_ms }.fail(),
            Some(result) = finished.recv() => {
                let () = result?;
                idle_at = Instant::now() + limit;
            }
            accepted = connection.accept() => match accepted {
                None => return Ok(()),
                Some(Err(source)) if is_connection_end(&source) => {
                    log::debug!("the connection from {remote} ended: {source}");
                    return Ok(());
                }
                Some(Err(source)) => return Err(DisconnectReason::Protocol { source }),
                Some(Ok((request, respond))) => {
                    let results = results.clone();
                    let context = Arc::clone(context);
                    context.tracker.clone().spawn(async move {
                        let result = handle_stream(request, respond, &context).await;
                        let _ = results.send(result).await;
                    });
                }
            }
        }
    }
}

/// Returns whether the connection was lost or closed without a protocol violation.
fn is_connection_end(error: &h2::Error) -> bool {
    error.is_io() || error.reason() == Some(h2::Reason::NO_ERROR)
}

/// Receives one message and responds to it.
async fn handle_stream(
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
    // If the peer has disconnected, it reports the delivery as unknown.
    if let Err(error) = respond.send_response(response, true) {
        log::debug!("cannot respond to a message: {error}");
    }
    result.map(drop)
}

/// Reads a message, puts it into the inbound channel, and returns the response status.
async fn receive_message(
    request: Request<RecvStream>,
    context: &Context,
) -> Result<StatusCode, DisconnectReason> {
    let (head, body) = request.into_parts();
    let is_message = head.method == Method::POST && head.uri.path() == MESSAGE_PATH;
    ensure!(is_message, NotAMessageSnafu { method: head.method });
    let from = PeerIdentity::from_headers(&head.headers)
        .map_err(|source| DisconnectReason::InvalidSender { source })?;
    let limit_ms = context.settings.message_timeout_ms;
    let (message, reservation) =
        match timeout(context.settings.message_timeout(), read_body(body, context)).await
        {
            Ok(Ok(whole)) => whole,
            Ok(Err(ReadError::Busy)) => return Ok(StatusCode::SERVICE_UNAVAILABLE),
            Ok(Err(ReadError::Incomplete)) => return Ok(StatusCode::BAD_REQUEST),
            Ok(Err(ReadError::Oversized)) => {
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

/// Why a message was not read completely.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
enum ReadError {
    /// The inbound byte limit is reached.
    Busy,
    /// The stream or its connection ended before the message.
    Incomplete,
    /// The message exceeds the size limit.
    Oversized,
}

/// Reads a complete message within the limits.
async fn read_body(
    mut body: RecvStream,
    context: &Context,
) -> Result<(Bytes, Reservation), ReadError> {
    let mut reservation = context.inbound_budget.reservation();
    let mut message = BytesMut::new();
    while let Some(part) = body.data().await {
        let part = part.map_err(|_| ReadError::Incomplete)?;
        if message.len() + part.len() > context.settings.max_message_bytes {
            return Err(ReadError::Oversized);
        }
        if !reservation.try_grow(part.len()) {
            return Err(ReadError::Busy);
        }
        message.extend_from_slice(&part);
        body.flow_control()
            .release_capacity(part.len())
            .map_err(|_| ReadError::Incomplete)?;
    }
    match body.is_end_stream() {
        true => Ok((message.freeze(), reservation)),
        false => Err(ReadError::Incomplete),
    }
}
