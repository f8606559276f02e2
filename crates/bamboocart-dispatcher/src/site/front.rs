//! The HTTP server for clients.

use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bamboocart_adapter::{
    ClientRequest, HttpAnswer, RequestError, decode_job, encode_answer, encode_error,
    encode_pending, read_request, timeout_ms,
};
use bamboocart_jobs::{Answer, Submission};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::site::client_stream::ClientStream;
use crate::site::driver::Driver;
use crate::site::metrics_page;

/// The largest number of client connections; further ones are closed immediately.
const MAX_CONNECTIONS: usize = 1_500;

/// The pause after a failed accept, for example when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts client connections; runs until the process stops.
pub async fn accept(driver: Driver, listener: TcpListener) {
    let open: Rc<Cell<usize>> = Rc::default();
    loop {
        match listener.accept().await {
            Ok((stream, _)) if open.get() < MAX_CONNECTIONS => {
                let guard = ConnectionGuard::new(&open);
                driver.spawn(serve(driver.clone(), stream, guard));
            }
            Ok(_) => {
                log::warn!(target: "front", limit = MAX_CONNECTIONS;
                    "connection closed because too many are open");
            }
            Err(error) => {
                log::warn!(target: "front", error:% = error; "cannot accept connections");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Counts a connection as long as it is open.
struct ConnectionGuard(Rc<Cell<usize>>);

impl ConnectionGuard {
    fn new(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self(Rc::clone(open))
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Serves a connection until it closes.
async fn serve(driver: Driver, stream: TcpStream, _guard: ConnectionGuard) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(target: "front", error:% = error; "cannot disable Nagle's algorithm");
    }
    let limits = driver.read_engine(|engine, _| engine.catalog().limits);
    let stream = ClientStream::new(stream);
    let service = service_fn(|request| handle(driver.clone(), stream.clone(), request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(
            limits.header_timeout_ms.max(limits.idle_timeout_ms),
        ))
        .max_buf_size(limits.max_header_bytes.max(8 * 1024))
        .serve_connection(TokioIo::new(stream.clone()), service);
    if let Err(error) = connection.await {
        log::debug!(target: "front", error:% = error; "connection failed");
    }
}

/// Answers a request; errors become responses.
async fn handle(
    driver: Driver,
    client: ClientStream,
    request: Request<Incoming>,
) -> Result<HttpAnswer, Infallible> {
    let mut answer = match route(&driver, &client, request).await {
        Ok(answer) => answer,
        Err(error) => {
            log::info!(target: "front", error:% = error; "request rejected");
            encode_error(&error)
        }
    };
    if driver.is_closing() {
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(answer)
}

/// Executes a request.
async fn route(
    driver: &Driver,
    client: &ClientStream,
    request: Request<Incoming>,
) -> Result<HttpAnswer, RequestError> {
    let catalog = driver.catalog().await;
    let (head, body) = request.into_parts();
    match read_request(&head, &catalog)? {
        ClientRequest::Submit(queue, id) => {
            let limit_bytes = catalog.limits.max_body_bytes;
            let body = read_body(body, limit_bytes).await?;
            let job = decode_job(id, &body)?;
            let timeout_ms = timeout_ms(&head.headers);
            // A process that got no processor time reads the jobs of clients that have left
            // since, and may have sent them to other instances. Nobody reads the answer.
            if client.has_closed() {
                return Ok(encode_answer(Answer::GivenUp));
            }
            let arrived = Instant::now();
            let name = queue.name.clone();
            let answer = driver.request(|engine, now, request| {
                engine.submit(now, Submission { request, queue, job, timeout_ms });
            });
            let answer = answer.await;
            metrics_page::record_answer(&name, answer, arrived.elapsed());
            Ok(encode_answer(answer))
        }
        ClientRequest::State(id) => {
            let timeout_ms = timeout_ms(&head.headers);
            let answer = driver.request(|engine, now, request| {
                engine.query(now, request, id, timeout_ms);
            });
            Ok(encode_answer(answer.await))
        }
        ClientRequest::Cancel(id) => {
            let timeout_ms = timeout_ms(&head.headers);
            let answer = driver.request(|engine, now, request| {
                engine.cancel_request(now, request, id, timeout_ms);
            });
            Ok(encode_answer(answer.await))
        }
        ClientRequest::Pending(queue) => Ok(encode_pending(
            driver.read_engine(|engine, _| engine.pending(&queue.name)),
        )),
    }
}

/// Reads a body of at most `limit_bytes`.
async fn read_body(body: Incoming, limit_bytes: usize) -> Result<Bytes, RequestError> {
    match Limited::new(body, limit_bytes).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            Err(RequestError::TooLarge { limit_bytes })
        }
        Err(_) => Err(RequestError::BodyIncomplete),
    }
}
