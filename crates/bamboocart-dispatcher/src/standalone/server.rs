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

/// The time in which the headers of a request must have arrived.
///
/// It also ends connections that stay idle, since the wait for the next request counts.
const HEADER_TIMEOUT_MS: u64 = 15_000;

/// The time that the accept loop waits after an error such as too many open files.
const ACCEPT_RETRY_MS: u64 = 50;

/// The largest size of a request's headers.
const MAX_HEADER_BYTES: usize = 16 << 10;

/// The time that open requests have to end after the stop, longer than the longest tasks.
const CLOSE_TIMEOUT_MS: u64 = 30_000;

/// The time after the stop in which a connection without a request may still send one.
const IDLE_CLOSE_MS: u64 = 500;

/// Serves callers until `stop` is cancelled and every open request is answered.
///
/// When `halt` is cancelled, open requests are given up.
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
    // The kernel resets connections that wait when the listener closes. The runtime may
    // not have noticed the latest ones, so the system is asked directly.
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
            log::warn!("{} connections did not end in time", connections.len());
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
    // Answers are small; without this each waits for the caller's delayed acknowledgement.
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("could not set an option of a connection: {error}");
    }
    let busy = Arc::new(AtomicBool::new(false));
    let is_busy = busy.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let (context, busy) = (context.clone(), busy.clone());
        async move {
            let _busy = Busy::begin(&busy);
            let mut answer = route(&context, request).await;
            // Callers that keep connections open learn that they need another one, so
            // that the stop does not close a connection which they are about to use.
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
        () = stop.cancelled() => {
            connection.as_mut().graceful_shutdown();
            let idle = Duration::from_millis(IDLE_CLOSE_MS);
            loop {
                match tokio::time::timeout(idle, connection.as_mut()).await {
                    Ok(result) => break result,
                    Err(_) if is_busy.load(Ordering::Relaxed) => {}
                    Err(_) => return,
                }
            }
        }
    };
    if let Err(error) = result {
        log::debug!("a connection ended early: {error}");
    }
}

/// Marks a connection as having a request until it is dropped.
struct Busy(Arc<AtomicBool>);

impl Busy {
    /// Marks a connection.
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
