//! The HTTP server for callers and operators.

use std::convert::Infallible;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

use crate::routes::{Context, route};

/// The time in which the headers of a request must have arrived.
///
/// It also ends connections that stay idle, since the wait for the next request counts.
const HEADER_TIMEOUT_MS: u64 = 15_000;

/// The time that the accept loop waits after an error such as too many open files.
const ACCEPT_RETRY_MS: u64 = 50;

/// The largest size of a request's headers.
const MAX_HEADER_BYTES: usize = 16 << 10;

/// Serves callers until `stop` is cancelled and every open request is answered.
pub async fn serve(
    listener: TcpListener,
    context: Arc<Context>,
    stop: CancellationToken,
) -> std::io::Result<()> {
    listener.set_nonblocking(true)?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let permits = Arc::new(Semaphore::new(context.max_connections));
    loop {
        let permit = tokio::select! {
            permit = permits.clone().acquire_owned() => permit,
            () = stop.cancelled() => return Ok(()),
        };
        let Ok(permit) = permit else { return Ok(()) };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => return Ok(()),
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("could not accept a connection: {error}");
                tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
                continue;
            }
        };
        let (context, stop) = (context.clone(), stop.clone());
        tokio::spawn(async move {
            serve_connection(stream, context, stop).await;
            drop(permit);
        });
    }
}

/// Serves one connection until it ends.
async fn serve_connection(
    stream: tokio::net::TcpStream,
    context: Arc<Context>,
    stop: CancellationToken,
) {
    // Answers are small; without this each waits for the caller's delayed acknowledgement.
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("could not set an option of a connection: {error}");
    }
    let service = service_fn(move |request: Request<Incoming>| {
        let context = context.clone();
        async move { Ok::<Response<Full<Bytes>>, Infallible>(route(&context, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(HEADER_TIMEOUT_MS))
        .max_buf_size(MAX_HEADER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = stop.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!("a connection ended early: {error}");
    }
}
