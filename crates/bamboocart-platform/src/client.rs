//! HTTP calls to the platform.

use std::time::Duration;

use attohttpc::Session;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};

use crate::record::{AppendResult, InstanceList, RecordPage};

/// The result of a call to the platform.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// The timeout of a call, to which the wait that it requests is added.
const CALL_TIMEOUT_MS: u64 = 3_000;

/// The maximum number of records in one page.
const MAX_PAGE_RECORDS: u32 = 256;

/// A client of the platform.
#[derive(Debug, Clone)]
pub struct Platform {
    /// The URL that every path is appended to, without a trailing slash.
    base_url: String,
}

impl Platform {
    /// Creates a client for the platform at `address`, an IP address and port.
    pub fn new(address: &str) -> Self {
        Self { base_url: format!("http://{address}") }
    }

    /// Appends a record to a stream.
    ///
    /// An append that fails may have taken effect, since its response can be lost.
    pub fn append(&self, stream: &str, body: &str) -> Result<AppendResult> {
        let url = format!("{}/streams/{stream}/records", self.base_url);
        let response = session(CALL_TIMEOUT_MS)
            .post(url)
            .text(body)
            .send()
            .context(CallSnafu { what: "append to the log" })?;
        read_json(response, "append to the log")
    }

    /// Reads the records of a stream from offset `from` on.
    ///
    /// Waits up to `wait_ms` for a record if there is none yet.
    pub fn read(&self, stream: &str, from: u64, wait_ms: u64) -> Result<RecordPage> {
        let url = format!("{}/streams/{stream}/records", self.base_url);
        let response = session(CALL_TIMEOUT_MS + wait_ms)
            .get(url)
            .param("from", from)
            .param("limit", MAX_PAGE_RECORDS)
            .param("wait_ms", wait_ms)
            .send()
            .context(CallSnafu { what: "read the log" })?;
        read_json(response, "read the log")
    }

    /// Reads the instance list.
    pub fn instances(&self) -> Result<InstanceList> {
        self.instances_since(0)
    }

    /// Reads the instance list, without its entries if `known_version` is current.
    ///
    /// With 1,200 workers the entries take about 300 KB, and every instance reads the
    /// list once a second.
    pub fn instances_since(&self, known_version: u64) -> Result<InstanceList> {
        let url = format!("{}/instances", self.base_url);
        let response = session(CALL_TIMEOUT_MS)
            .get(url)
            .param("known", known_version)
            .send()
            .context(CallSnafu { what: "read the instance list" })?;
        read_json(response, "read the instance list")
    }
}

/// Why a call to the platform failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The platform could not be reached, or its response could not be read.
    #[snafu(display(
        "could not {what}: {source}; check the platform's address and state"
    ))]
    Call {
        /// The operation, as a verb phrase.
        what: &'static str,
        /// The error of the HTTP client.
        source: attohttpc::Error,
    },
    /// The platform answered with an error status.
    #[snafu(display("could not {what}: status {status}; retry when the platform is up"))]
    Status {
        /// The operation, as a verb phrase.
        what: &'static str,
        /// The HTTP status of the response.
        status: u16,
    },
}

/// Creates the settings of a call that takes at most `timeout_ms`.
fn session(timeout_ms: u64) -> Session {
    let mut session = Session::new();
    session.timeout(Duration::from_millis(timeout_ms));
    session.connect_timeout(Duration::from_millis(CALL_TIMEOUT_MS));
    session
}

/// Parses the JSON body of a response with status 200.
fn read_json<T: DeserializeOwned>(
    response: attohttpc::Response,
    what: &'static str,
) -> Result<T> {
    match response.status().as_u16() {
        200 => response.json().context(CallSnafu { what }),
        status => StatusSnafu { what, status }.fail(),
    }
}
