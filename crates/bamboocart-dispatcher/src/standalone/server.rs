//! The HTTP server for callers and operators.

use std::convert::Infallible;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::standalone::routes::{Context, route};

/// The time within which the headers of a request must arrive.
///
/// It also closes idle connections, because the wait for the next request counts.
const HEADER_TIMEOUT_MS: u64 = 15_000;

/// The delay of the accept loop after an error, for example too many open files.
const ACCEPT_RETRY_MS: u64 = 50;

/// The largest total size of a request's headers.
const MAX_HEADER_BYTES: usize = 16 << 10;

/// The time that open requests have to finish after the stop, which is longer than the
/// longest task.
const CLOSE_TIMEOUT_MS: u64 = 30_000;

/// The time after the stop within which an idle connection may still send a request.
const IDLE_CLOSE_MS: u64 = 500;

/// Serves callers until `stop` is cancelled and every open request is answered.
///
/// When `halt` is cancelled or `CLOSE_TIMEOUT_MS` is over, open requests are dropped.
pub async fn serve(
    listener: TcpListener,
    context: Arc<Context>,
    stop: CancellationToken,
    halt: &CancellationToken,
) -> std::io::Result<()> {
    listener.set_nonblocking(true)?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let connections = TaskTracker::new();
    accept_until_stop(&listener, &context, &stop, &connections).await;
    // The kernel resets connections that wait in the backlog when the listener closes.
    // The runtime may not have seen the latest ones, so they are accepted directly.
    let listener = listener.into_std()?;
    while let Ok((stream, _)) = listener.accept() {
        stream.set_nonblocking(true)?;
        let stream = tokio::net::TcpStream::from_std(stream)?;
        connections.spawn(serve_connection(stream, context.clone(), stop.clone()));
    }
    drop(listener);
    connections.close();
    let timeout = Duration::from_millis(CLOSE_TIMEOUT_MS);
    tokio::select! {
        () = connections.wait() => {}
        () = halt.cancelled() => {}
        () = tokio::time::sleep(timeout) => {
            log::warn!("closing {} connections after the timeout", connections.len());
        }
    }
    Ok(())
}

/// Accepts connections until `stop` is cancelled.
async fn accept_until_stop(
    listener: &tokio::net::TcpListener,
    context: &Arc<Context>,
    stop: &CancellationToken,
    connections: &TaskTracker,
) {
    let permits = Arc::new(Semaphore::new(context.max_connections));
    loop {
        let permit = tokio::select! {
            permit = permits.clone().acquire_owned() => permit,
            () = stop.cancelled() => return,
        };
        let Ok(permit) = permit else { return };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => return,
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
        connections.spawn(async move {
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
    // Answers are small. With Nagle's algorithm each would wait for the caller's delayed
    // acknowledgement.
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("could not set TCP_NODELAY on a connection: {error}");
    }
    let busy = Arc::new(AtomicBool::new(false));
    let is_busy = busy.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let (context, busy) = (context.clone(), busy.clone());
        async move {
            let _busy = Busy::begin(&busy);
            let mut answer = route(&context, request).await;
            // Tells callers with persistent connections to open another one, so that the
            // stop does not close a connection that they are about to use.
            if !context.ready.load(Ordering::Acquire) {
                let close = HeaderValue::from_static("close");
                answer.headers_mut().insert(CONNECTION, close);
            }
            Ok::<Response<Full<Bytes>>, Infallible>(answer)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(HEADER_TIMEOUT_MS))
        .max_buf_size(MAX_HEADER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = stop.cancelled() => match finish_connection(connection, &is_busy).await {
            Some(result) => result,
            None => return,
        },
    };
    if let Err(error) = result {
        log::debug!("a connection failed: {error}");
    }
}

/// Serves a connection after the stop until it ends, and returns `None` if no request is
/// in progress on it for [`IDLE_CLOSE_MS`].
///
/// A request may have reached the connection without being read yet. A graceful shutdown
/// of `hyper` would drop it, since it closes idle and new connections at once. It is not
/// needed either: readiness has ended, so every answer closes its connection.
async fn finish_connection(
    mut connection: impl Future<Output = hyper::Result<()>> + Unpin,
    is_busy: &AtomicBool,
) -> Option<hyper::Result<()>> {
    let idle = Duration::from_millis(IDLE_CLOSE_MS);
    loop {
        match tokio::time::timeout(idle, &mut connection).await {
            Ok(result) => return Some(result),
            Err(_) if is_busy.load(Ordering::Relaxed) => {}
            Err(_) => return None,
        }
    }
}

/// Marks a connection as busy with a request until it is dropped.
struct Busy(Arc<AtomicBool>);

impl Busy {
    /// Marks a connection as busy.
    fn begin(busy: &Arc<AtomicBool>) -> Self {
        busy.store(true, Ordering::Relaxed);
        Self(busy.clone())
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.store(false, Ordering::Relaxed);
    }
}
