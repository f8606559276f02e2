//! A loopback HTTP server on top of `hyper`.
//!
//! `tiny_http` is not used: it lets calls wait behind connections that stay open, see the
//! test in `tests/http.rs`, and does not limit its connections.

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

/// The longest request body that is read; a call with a longer one gets no answer.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// The number of connections that may wait to be accepted.
const BACKLOG: i32 = 1024;

/// A running server, stopped and joined on drop.
pub struct HttpServer {
    /// Ends the server and its connections when it is cancelled.
    stop: CancellationToken,
    address: SocketAddr,
    /// The thread that calls the handler.
    receiver: Option<JoinHandle<()>>,
}

/// A server that listens but does not accept connections yet.
///
/// Its address is known before its handler has to exist.
pub struct BoundServer {
    listener: TcpListener,
    address: SocketAddr,
}

impl HttpServer {
    /// Starts a server on a loopback port, 0 for any, that passes each call to `handle`.
    ///
    /// One thread runs `handle`, so it must not block.
    pub fn start(port: u16, handle: impl Fn(Call) + Send + 'static) -> Result<Self> {
        Ok(BoundServer::bind(port)?.serve(handle))
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl BoundServer {
    /// Binds a loopback port, 0 for any; fails if it cannot be listened on.
    pub fn bind(port: u16) -> Result<Self> {
        let listener = listen(port).context(ListenSnafu { port })?;
        listener.set_nonblocking(true).context(ListenSnafu { port })?;
        let address = listener.local_addr().context(ListenSnafu { port })?;
        Ok(Self { listener, address })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts to accept connections and passes each call to `handle`.
    ///
    /// One thread runs `handle`, so it must not block.
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
            join::join_or_report("an HTTP server", receiver);
        }
    }
}

/// Returns the runtime that serves the connections of all servers of the process.
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

/// Reads one call, passes it to the handler thread and waits for its answer.
async fn serve_call(
    request: Request<Incoming>,
    calls: Sender<Call>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (parts, body) = request.into_parts();
    let (answer, answered) = oneshot::channel();
    let call = match Limited::new(body, MAX_BODY_BYTES).collect().await {
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
        // A withheld call gets no answer; its connection stays open until the caller
        // closes it.
        Err(_) => std::future::pending().await,
    }
}

/// Why a server could not start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The port cannot be bound or listened on.
    #[snafu(display("could not listen on loopback port {port}: {source}; use port 0"))]
    Listen {
        /// The port that was asked for, 0 for any.
        port: u16,
        /// The error of the operating system.
        source: io::Error,
    },
}

/// Opens a listener on a loopback port, 0 for any.
///
/// Accepted connections inherit `TCP_NODELAY`, so that small segments are sent without
/// delay.
pub fn listen(port: u16) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_tcp_nodelay(true)?;
    socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, port)).into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// One HTTP request that a server has to answer.
pub struct Call {
    method: Method,
    /// The path and the query.
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
    /// Sends the answer; dropping it leaves the call unanswered.
    answer: oneshot::Sender<Response<Full<Bytes>>>,
}

impl Call {
    /// Returns the method and the non-empty segments of the path.
    pub fn route(&self) -> (Method, Vec<String>) {
        let segments = self.uri.path().split('/').filter(|s| !s.is_empty());
        (self.method.clone(), segments.map(str::to_owned).collect())
    }

    /// Returns a parameter of the query as a number, or `None` if it is absent or
    /// invalid.
    pub fn query_number(&self, name: &str) -> Option<u64> {
        let mut pairs = self.uri.query()?.split('&').filter_map(|p| p.split_once('='));
        pairs.find(|(key, _)| *key == name)?.1.parse().ok()
    }

    /// Returns the value of a header, or `None` if it is absent or not visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the body as text; fails if it is not UTF-8.
    pub fn body_text(&mut self) -> io::Result<String> {
        String::from_utf8(self.body.to_vec()).map_err(io::Error::other)
    }

    /// Parses the body as JSON; the error is a text for the caller.
    pub fn body_json<T: DeserializeOwned>(&mut self) -> Result<T, String> {
        serde_json::from_slice(&self.body).map_err(|e| e.to_string())
    }

    /// Answers with an HTTP status and a JSON body.
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

    /// Answers with an HTTP status and an error message as JSON.
    pub fn fail(self, status: u16, message: &str) {
        self.answer(status, &serde_json::json!({ "message": message }));
    }

    /// Leaves the call unanswered; its connection stays open until the caller closes it.
    pub fn withhold(self) {
        drop(self.answer);
    }
}
