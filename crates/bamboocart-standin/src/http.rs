//! A loopback HTTP server on top of `hyper`.
//!
//! `tiny_http` was used first. It lets calls wait behind connections that stay open, see
//! the test in `tests/http.rs`, and does not bound its connections.

use std::convert::Infallible;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::OnceLock;
use std::thread::{self, JoinHandle};

use bytes::Bytes;
use crossbeam::channel::{Sender, unbounded};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};
use socket2::{Domain, Socket, Type};
use tokio::runtime::{Builder, Handle};
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

use crate::join;

pub use hyper::Method;

/// The result of starting a server.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// The longest body that is read; a longer one ends the connection.
const BODY_BYTES_MAX: usize = 8 * 1024 * 1024;

/// The connections that may wait to be accepted.
const BACKLOG: i32 = 1024;

/// A running server, stopped when it is dropped.
pub struct HttpServer {
    /// Ends the server and its connections.
    stop: CancellationToken,
    /// Where it listens.
    address: SocketAddr,
    /// The thread that hands the calls over.
    receiver: Option<JoinHandle<()>>,
}

/// A server that listens and does not serve yet.
pub struct BoundServer {
    /// The listener.
    listener: TcpListener,
    /// Where it listens.
    address: SocketAddr,
}

impl HttpServer {
    /// Starts a server on a loopback port, 0 for any, that hands each call to `handle`.
    pub fn start(port: u16, handle: impl Fn(Call) + Send + 'static) -> Result<Self> {
        Ok(BoundServer::bind(port)?.serve(handle))
    }

    /// Returns where the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl BoundServer {
    /// Listens on a loopback port, 0 for any.
    pub fn bind(port: u16) -> Result<Self> {
        let listener = listen(port).context(ListenSnafu { port })?;
        listener.set_nonblocking(true).context(ListenSnafu { port })?;
        let address = listener.local_addr().context(ListenSnafu { port })?;
        Ok(Self { listener, address })
    }

    /// Returns where the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Hands each call to `handle`.
    ///
    /// The calls are handed over by one thread, so `handle` must not block.
    pub fn serve(self, handle: impl Fn(Call) + Send + 'static) -> HttpServer {
        let (calls, source) = unbounded::<Call>();
        let stop = CancellationToken::new();
        let receiver = thread::spawn(move || source.iter().for_each(handle));
        runtime().spawn(accept(self.listener, calls, stop.clone()));
        HttpServer { stop, address: self.address, receiver: Some(receiver) }
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.stop.cancel();
        if let Some(receiver) = self.receiver.take() {
            join::join_or_report("a server", receiver);
        }
    }
}

/// Returns the runtime that serves all connections of the process.
fn runtime() -> &'static Handle {
    static RUNTIME: OnceLock<Handle> = OnceLock::new();
    RUNTIME.get_or_init(|| {
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("the process may open another epoll instance");
        let handle = runtime.handle().clone();
        thread::spawn(move || runtime.block_on(std::future::pending::<()>()));
        handle
    })
}

/// Accepts connections until the stop.
async fn accept(listener: TcpListener, calls: Sender<Call>, stop: CancellationToken) {
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => return,
        };
        let Ok((stream, _)) = accepted else { continue };
        let (calls, stop) = (calls.clone(), stop.clone());
        tokio::spawn(async move {
            let service = service_fn(|request| serve_call(request, calls.clone()));
            let connection = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service);
            tokio::select! {
                _ = connection => {}
                () = stop.cancelled() => {}
            }
        });
    }
}

/// Reads one call, hands it over and waits for its answer.
async fn serve_call(
    request: Request<Incoming>,
    calls: Sender<Call>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (parts, body) = request.into_parts();
    let (answer, answered) = oneshot::channel();
    let call = match Limited::new(body, BODY_BYTES_MAX).collect().await {
        Ok(body) => Call {
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body: body.to_bytes(),
            answer,
        },
        Err(_) => return std::future::pending().await,
    };
    if calls.send(call).is_err() {
        return std::future::pending().await;
    }
    match answered.await {
        Ok(response) => Ok(response),
        // A withheld call gets no answer; its connection stays open until the caller ends it.
        Err(_) => std::future::pending().await,
    }
}

/// Why a server did not start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The port cannot be used.
    #[snafu(display("could not listen on loopback port {port}: {source}; use port 0"))]
    Listen {
        /// The port.
        port: u16,
        /// The cause.
        source: io::Error,
    },
}

/// Opens a listener on a loopback port, 0 for any.
///
/// Accepted connections inherit the option that sends small segments without delay.
pub fn listen(port: u16) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_tcp_nodelay(true)?;
    socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, port)).into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// One call to a server.
pub struct Call {
    /// The method.
    method: Method,
    /// The path and query.
    uri: Uri,
    /// The headers.
    headers: HeaderMap,
    /// The body.
    body: Bytes,
    /// Where the answer goes.
    answer: oneshot::Sender<Response<Full<Bytes>>>,
}

impl Call {
    /// Returns the method and the segments of the path.
    pub fn route(&self) -> (Method, Vec<String>) {
        let segments = self.uri.path().split('/').filter(|s| !s.is_empty());
        (self.method.clone(), segments.map(str::to_owned).collect())
    }

    /// Returns a number from the query.
    pub fn query_number(&self, name: &str) -> Option<u64> {
        let mut pairs = self.uri.query()?.split('&').filter_map(|p| p.split_once('='));
        pairs.find(|(key, _)| *key == name)?.1.parse().ok()
    }

    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the body as text.
    pub fn body_text(&mut self) -> io::Result<String> {
        String::from_utf8(self.body.to_vec()).map_err(io::Error::other)
    }

    /// Reads the body as JSON, or returns what is wrong with it.
    pub fn body_json<T: DeserializeOwned>(&mut self) -> Result<T, String> {
        serde_json::from_slice(&self.body).map_err(|e| e.to_string())
    }

    /// Answers with JSON.
    pub fn answer(self, status: u16, body: &impl Serialize) {
        let bytes = serde_json::to_vec(body).unwrap_or_default();
        let mut response = Response::new(Full::new(Bytes::from(bytes)));
        *response.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
        let json = HeaderValue::from_static("application/json");
        response.headers_mut().insert(CONTENT_TYPE, json);
        if self.answer.send(response).is_err() {
            log::debug!("could not answer a call: its connection is closed");
        }
    }

    /// Answers with an error text.
    pub fn fail(self, status: u16, message: &str) {
        self.answer(status, &serde_json::json!({ "message": message }));
    }

    /// Leaves the call without an answer; its connection stays open until the caller ends it.
    pub fn withhold(self) {
        drop(self.answer);
    }
}
