//! The client.

use std::time::Duration;

use attohttpc::Session;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};

use crate::record::{AppendResult, InstanceList, RecordPage};

/// The result of a call to the platform.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// The time that a call may take beyond the wait that it asks for.
const CALL_TIMEOUT_MS: u64 = 3_000;

/// The largest number of records in one page.
const PAGE_RECORDS: u32 = 256;

/// A handle to the platform.
#[derive(Debug, Clone)]
pub struct Platform {
    /// The URL in front of every path, without a slash at its end.
    base_url: String,
}

impl Platform {
    /// Creates a handle to the platform at `address`, an IP and port.
    pub fn new(address: &str) -> Self {
        Self { base_url: format!("http://{address}") }
    }

    /// Appends a record to a stream.
    ///
    /// An error does not mean that the append had no effect, since its answer can be lost.
    pub fn append(&self, stream: &str, body: &str) -> Result<AppendResult> {
        let url = format!("{}/streams/{stream}/records", self.base_url);
        let response = session(CALL_TIMEOUT_MS)
            .post(url)
            .text(body)
            .send()
            .context(CallSnafu { what: "append to the log" })?;
        read_json(response, "append to the log")
    }

    /// Reads records of a stream from offset `from` on and waits up to `wait_ms` for one.
    pub fn read(&self, stream: &str, from: u64, wait_ms: u64) -> Result<RecordPage> {
        let url = format!("{}/streams/{stream}/records", self.base_url);
        let response = session(CALL_TIMEOUT_MS + wait_ms)
            .get(url)
            .param("from", from)
            .param("limit", PAGE_RECORDS)
            .param("wait_ms", wait_ms)
            .send()
            .context(CallSnafu { what: "read the log" })?;
        read_json(response, "read the log")
    }

    /// Reads the instance list.
    pub fn instances(&self) -> Result<InstanceList> {
        self.instances_since(0)
    }

    /// Reads the instance list, whose members are left out if `known` is its version.
    ///
    /// At 1,200 workers the members take some 300 KB, and instances read the list every
    /// second.
    pub fn instances_since(&self, known: u64) -> Result<InstanceList> {
        let url = format!("{}/instances", self.base_url);
        let response = session(CALL_TIMEOUT_MS)
            .get(url)
            .param("known", known)
            .send()
            .context(CallSnafu { what: "read the instance list" })?;
        read_json(response, "read the instance list")
    }
}

/// Why a call to the platform gave no answer.
#[derive(Debug, Snafu)]
pub enum Error {
    /// No usable answer arrived.
    #[snafu(display(
        "could not {what}: {source}; check the platform's address and state"
    ))]
    Call {
        /// What was tried.
        what: &'static str,
        /// The cause.
        source: attohttpc::Error,
    },
    /// The platform refused.
    #[snafu(display("could not {what}: status {status}; retry when the platform is up"))]
    Status {
        /// What was tried.
        what: &'static str,
        /// The HTTP status.
        status: u16,
    },
}

/// Prepares a call that takes at most `timeout_ms`.
fn session(timeout_ms: u64) -> Session {
    let mut session = Session::new();
    session.timeout(Duration::from_millis(timeout_ms));
    session.connect_timeout(Duration::from_millis(CALL_TIMEOUT_MS));
    session
}

/// Reads a JSON answer with a status of success.
fn read_json<T: DeserializeOwned>(
    response: attohttpc::Response,
    what: &'static str,
) -> Result<T> {
    match response.status().as_u16() {
        200 => response.json().context(CallSnafu { what }),
        status => StatusSnafu { what, status }.fail(),
    }
}
