//! HTTP calls to targets over connections that stay open.

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

/// The time that a connection attempt to a target may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The largest body of an answer.
const MAX_ANSWER_BYTES: usize = 10 << 20;

/// Connections to targets that are used again.
#[derive(Clone)]
pub struct Pool {
    client: Client<HttpConnector, Full<Bytes>>,
}

/// Why a call has no usable answer.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// The request could not be written down.
    #[snafu(display("the request cannot be sent: {source}; report this fault"))]
    Request {
        /// The cause.
        source: hyper::http::Error,
    },
    /// The body could not be written down.
    #[snafu(display("the body cannot be written as JSON: {source}; report this fault"))]
    Body {
        /// The cause.
        source: serde_json::Error,
    },
    /// No connection was made, or the connection ended before or after the request.
    #[snafu(display("{source}; check the target's address and state"))]
    Connection {
        /// The cause.
        source: ClientError,
    },
    /// The answer was cut off or is too large.
    #[snafu(display("the answer cannot be read: {source}; check the target"))]
    Cut {
        /// The cause.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The answer took too long.
    #[snafu(display("no answer after {timeout_ms} ms; check the target"))]
    Late {
        /// The time that was allowed.
        timeout_ms: u128,
    },
    /// The answer is not what was expected.
    #[snafu(display(
        "status {status} with an unreadable body: {source}; check the target's version"
    ))]
    Unreadable {
        /// The status of the answer.
        status: StatusCode,
        /// The cause.
        source: serde_json::Error,
    },
}

impl CallError {
    /// Returns whether nothing of the request can have reached the target.
    pub fn is_never_sent(&self) -> bool {
        match self {
            Self::Request { .. } | Self::Body { .. } => true,
            Self::Connection { source } => source.is_connect(),
            Self::Cut { .. } | Self::Late { .. } | Self::Unreadable { .. } => false,
        }
    }
}

impl Pool {
    /// Creates a pool that closes connections which were idle for some time and keeps at
    /// most `per_target` idle ones to each target.
    pub fn new(idle: Duration, per_target: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(idle)
            .pool_max_idle_per_host(per_target)
            .pool_timer(TokioTimer::new())
            .build(connector);
        Self { client }
    }

    /// Makes a call and returns the status and body of the answer, whatever the status.
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Response<Bytes>> {
        match timeout(limit, self.exchange(request)).await {
            Ok(result) => result,
            Err(_) => LateSnafu { timeout_ms: limit.as_millis() }.fail(),
        }
    }

    /// Sends a request and reads its answer.
    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Response<Bytes>> {
        let response = self.client.request(request).await.context(ConnectionSnafu)?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
        let body = body.map_err(|source| CallError::Cut { source })?;
        Ok(Response::from_parts(head, body.to_bytes()))
    }
}

/// Returns a request without a body.
pub fn bare(method: Method, url: String) -> Result<Request<Full<Bytes>>> {
    let request = Request::builder().method(method).uri(url);
    request.body(Full::default()).context(RequestSnafu)
}

/// Returns a request with a JSON body.
pub fn with_json(url: String, body: &impl Serialize) -> Result<Request<Full<Bytes>>> {
    let body = serde_json::to_vec(body).context(BodySnafu)?;
    let request = Request::post(url)
        .header(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    request.body(Full::from(body)).context(RequestSnafu)
}

/// Reads the body of an answer.
pub fn read<T: DeserializeOwned>(response: &Response<Bytes>) -> Result<T> {
    let status = response.status();
    serde_json::from_slice(response.body()).context(UnreadableSnafu { status })
}
