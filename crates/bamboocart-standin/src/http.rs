//! A loopback HTTP server on top of `tiny_http`.

use std::io::{self, Read};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::{self, JoinHandle};

use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};
use socket2::{Domain, Socket, Type};
use tiny_http::{Header, Method, Request, Response, Server};

/// The result of starting a server.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// The longest body that is read; the rest is cut off.
const BODY_BYTES_MAX: u64 = 8 * 1024 * 1024;

/// The path of a call without a body that every server answers itself, without content.
pub const PROBE: &str = "/probe";

/// The connections that may wait to be accepted.
const BACKLOG: i32 = 1024;

/// A running server, stopped when it is dropped.
pub struct HttpServer {
    /// The server.
    server: Arc<Server>,
    /// Where it listens.
    address: SocketAddr,
    /// The thread that hands the calls over.
    receiver: Option<JoinHandle<()>>,
}

/// A server that listens and does not serve yet.
pub struct BoundServer {
    /// The server.
    server: Arc<Server>,
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
        let address = listener.local_addr().context(ListenSnafu { port })?;
        let server = Server::from_listener(listener, None)
            .map_err(|e| io::Error::other(e.to_string()))
            .context(ListenSnafu { port })?;
        Ok(Self { server: Arc::new(server), address })
    }

    /// Returns where the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Hands each call to `handle`.
    ///
    /// The calls are handed over by one thread, so `handle` must not block.
    pub fn serve(self, handle: impl Fn(Call) + Send + 'static) -> HttpServer {
        let source = Arc::clone(&self.server);
        let receiver = thread::spawn(move || {
            while let Ok(request) = source.recv() {
                let call = Call { request };
                match call.request.url() {
                    PROBE => call.answer_empty(),
                    _ => handle(call),
                }
            }
        });
        let (server, address) = (self.server, self.address);
        HttpServer { server, address, receiver: Some(receiver) }
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.server.unblock();
        if let Some(receiver) = self.receiver.take() {
            let _ = receiver.join();
        }
    }
}

/// Why a server did not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
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
    /// The request.
    request: Request,
}

impl Call {
    /// Returns the method and the segments of the path.
    pub fn route(&self) -> (Method, Vec<String>) {
        let path = self.request.url().split('?').next().unwrap_or_default();
        let segments = path.split('/').filter(|s| !s.is_empty()).map(str::to_owned);
        (self.request.method().clone(), segments.collect())
    }

    /// Returns a number from the query.
    pub fn number(&self, name: &str) -> Option<u64> {
        let (_, query) = self.request.url().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name)?.1.parse().ok()
    }

    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let header = |h: &&Header| h.field.as_str().as_str().eq_ignore_ascii_case(name);
        Some(self.request.headers().iter().find(header)?.value.as_str())
    }

    /// Reads the body as text.
    pub fn text(&mut self) -> io::Result<String> {
        let mut text = String::new();
        let reader = self.request.as_reader();
        reader.take(BODY_BYTES_MAX).read_to_string(&mut text)?;
        Ok(text)
    }

    /// Reads the body as JSON, or returns what is wrong with it.
    pub fn json<T: DeserializeOwned>(&mut self) -> Result<T, String> {
        let text = self.text().map_err(|e| e.to_string())?;
        serde_json::from_str(&text).map_err(|e| e.to_string())
    }

    /// Answers with JSON.
    pub fn answer(self, status: u16, body: &impl Serialize) {
        let bytes = serde_json::to_vec(body).unwrap_or_default();
        let response = Response::from_data(bytes).with_status_code(status);
        let response = match Header::from_bytes("content-type", "application/json") {
            Ok(header) => response.with_header(header),
            Err(()) => response,
        };
        self.respond(response);
    }

    /// Answers without content.
    fn answer_empty(self) {
        self.respond(Response::empty(204));
    }

    /// Sends a response.
    fn respond(self, response: Response<impl Read>) {
        if let Err(error) = self.request.respond(response) {
            log::debug!("could not answer a call: {error}");
        }
    }

    /// Answers with an error text.
    pub fn fail(self, status: u16, message: &str) {
        self.answer(status, &serde_json::json!({ "message": message }));
    }

    /// Leaves the call without an answer; its connection stays open until the caller ends it.
    pub fn withhold(self) {
        drop(self.request.into_writer());
    }
}
