//! The HTTP client for calls to targets, with a connection pool.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Client, Error as ClientError};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};
use tokio::time::timeout;

/// The result of a call.
pub type Result<T, E = CallError> = std::result::Result<T, E>;

/// The longest time that a connection attempt to a target may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The largest body of an answer; a larger one counts as truncated.
const MAX_ANSWER_BYTES: usize = 10 << 20;

/// A pool of connections to targets.
#[derive(Clone)]
pub struct HttpPool {
    client: Client<HttpConnector, Full<Bytes>>,
}

/// An error that leaves a call without a usable answer.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// The request could not be built, for example because its URL is invalid.
    #[snafu(display("could not build the request: {source}; report this as a bug"))]
    Request {
        /// The error of the HTTP library.
        source: hyper::http::Error,
    },
    /// The body of the request could not be encoded.
    #[snafu(display("could not encode the body: {source}; report this as a bug"))]
    Body {
        /// The error of the JSON encoder.
        source: serde_json::Error,
    },
    /// The connection failed, or it was closed before the answer.
    ///
    /// The request may have been sent.
    #[snafu(display("{source}; check the target's address and state"))]
    Connection {
        /// The error of the HTTP client.
        source: ClientError,
    },
    /// The body of the answer ended early or is too large.
    #[snafu(display("could not read the answer: {source}; check the target"))]
    Truncated {
        /// The error of the connection or of the size limit.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The target did not answer in time.
    #[snafu(display("no answer after {timeout_ms} ms; check the target"))]
    Timeout {
        /// The time limit of the call.
        timeout_ms: u128,
    },
    /// The body of the answer could not be decoded.
    #[snafu(display(
        "status {status} with an invalid body: {source}; check the target's version"
    ))]
    Unreadable {
        /// The HTTP status of the answer.
        status: StatusCode,
        /// The error of the JSON decoder.
        source: serde_json::Error,
    },
}

impl CallError {
    /// Returns whether the target certainly received no part of the request.
    pub fn is_never_sent(&self) -> bool {
        match self {
            Self::Request { .. } | Self::Body { .. } => true,
            Self::Connection { source } => source.is_connect(),
            Self::Truncated { .. } | Self::Timeout { .. } | Self::Unreadable { .. } => {
                false
            }
        }
    }
}

impl HttpPool {
    /// Creates a pool that closes connections after `idle_timeout` without a request and
    /// keeps at most `max_idle_per_target` idle connections to each target.
    pub fn new(idle_timeout: Duration, max_idle_per_target: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(idle_timeout)
            .pool_max_idle_per_host(max_idle_per_target)
            .pool_timer(TokioTimer::new())
            .build(connector);
        Self { client }
    }

    /// Makes a call and returns the answer, whatever its status.
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Response<Bytes>> {
        match timeout(limit, self.exchange(request)).await {
            Ok(result) => result,
            Err(_) => TimeoutSnafu { timeout_ms: limit.as_millis() }.fail(),
        }
    }

    /// Sends a request and reads the whole answer.
    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Response<Bytes>> {
        let response = self.client.request(request).await.context(ConnectionSnafu)?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
        let body = body.map_err(|source| CallError::Truncated { source })?;
        Ok(Response::from_parts(head, body.to_bytes()))
    }
}

/// Returns a request without a body.
pub fn empty_request(method: Method, url: String) -> Result<Request<Full<Bytes>>> {
    let request = Request::builder().method(method).uri(url);
    request.body(Full::default()).context(RequestSnafu)
}

/// Returns a POST request with a JSON body.
pub fn json_request(url: String, body: &impl Serialize) -> Result<Request<Full<Bytes>>> {
    let body = serde_json::to_vec(body).context(BodySnafu)?;
    let request = Request::post(url)
        .header(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    request.body(Full::from(body)).context(RequestSnafu)
}

/// Decodes the JSON body of an answer.
pub fn decode_json<T: DeserializeOwned>(response: &Response<Bytes>) -> Result<T> {
    let status = response.status();
    serde_json::from_slice(response.body()).context(UnreadableSnafu { status })
}
