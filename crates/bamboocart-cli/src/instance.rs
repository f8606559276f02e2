//! An HTTP client for instances.

use std::net::SocketAddr;
use std::time::Duration;

use attohttpc::{Method, ProxySettings, RequestBuilder, Response};
use bamboocart_wire::api::{AnswerBody, JobBody, RequestBody};
use bamboocart_wire::status::{ConfigBody, Status};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use snafu::ResultExt;

use crate::error::{InstanceSnafu, Result, StatusSnafu};
use crate::trace::Trace;

/// A client of one instance.
#[derive(Debug, Clone)]
pub struct InstanceClient {
    /// The address, as IP address and port.
    address: String,
    /// The timeout of each call.
    timeout: Duration,
}

impl InstanceClient {
    /// Creates a client for the instance at `address`.
    pub fn new(address: SocketAddr, timeout_ms: u64) -> Self {
        Self::at(address.to_string(), timeout_ms)
    }

    /// Creates a client for an instance whose address is from the platform's list.
    pub fn at(address: String, timeout_ms: u64) -> Self {
        Self { address, timeout: Duration::from_millis(timeout_ms) }
    }

    /// Fetches the status.
    pub fn status(&self) -> Result<Status> {
        self.read_json(self.call(Method::GET, "/v1/status"), "read the status")
    }

    /// Fetches the configuration in force.
    pub fn config(&self) -> Result<ConfigBody> {
        self.read_json(self.call(Method::GET, "/v1/config"), "read the configuration")
    }

    /// Makes the instance drain and stop.
    pub fn drain(&self) -> Result<Value> {
        let what = "start the drain";
        let request = self.call(Method::POST, "/v1/drain");
        let response = self.send(request.text(""), what)?;
        match response.status().as_u16() {
            // The body may be empty, because the status is sufficient.
            200 | 202 | 204 => Ok(response.json().unwrap_or(Value::Null)),
            status => StatusSnafu { what, address: &self.address, status }.fail(),
        }
    }

    /// Submits a request.
    pub fn request(&self, body: &RequestBody, trace: Trace) -> Result<AnswerBody> {
        self.submit("/v1/requests", body, trace)
    }

    /// Submits a job.
    pub fn job(&self, body: &JobBody, trace: Trace) -> Result<AnswerBody> {
        self.submit("/v1/jobs", body, trace)
    }

    /// Cancels a submission.
    pub fn cancel(&self, submission: &str) -> Result<AnswerBody> {
        let path = format!("/v1/submissions/{submission}");
        self.read_answer(
            self.call(Method::DELETE, &path).text(""),
            "cancel the submission",
        )
    }

    /// Sends a submission and reads its answer.
    fn submit(
        &self,
        path: &str,
        body: &impl Serialize,
        trace: Trace,
    ) -> Result<AnswerBody> {
        let what = "submit";
        let request = trace.add_header(self.call(Method::POST, path));
        let request =
            request.json(body).context(InstanceSnafu { what, address: &self.address })?;
        self.read_answer(request, what)
    }

    /// Sends a request and reads the answer, which is the body for every status.
    fn read_answer<B: attohttpc::body::Body>(
        &self,
        request: RequestBuilder<B>,
        what: &'static str,
    ) -> Result<AnswerBody> {
        let response = self.send(request, what)?;
        let status = response.status().as_u16();
        let parsed = response.json();
        match parsed {
            Ok(answer) => Ok(answer),
            Err(_) if status != 200 => {
                StatusSnafu { what, address: &self.address, status }.fail()
            }
            Err(error) => {
                Err(error).context(InstanceSnafu { what, address: &self.address })
            }
        }
    }

    /// Sends a request and reads the JSON body of a response with status 200.
    fn read_json<T: DeserializeOwned>(
        &self,
        request: RequestBuilder,
        what: &'static str,
    ) -> Result<T> {
        let response = self.send(request, what)?;
        match response.status().as_u16() {
            200 => {
                response.json().context(InstanceSnafu { what, address: &self.address })
            }
            status => StatusSnafu { what, address: &self.address, status }.fail(),
        }
    }

    /// Sends a request and returns the response.
    fn send<B: attohttpc::body::Body>(
        &self,
        request: RequestBuilder<B>,
        what: &'static str,
    ) -> Result<Response> {
        request.send().context(InstanceSnafu { what, address: &self.address })
    }

    /// Creates a request; instances are called by address, never through a proxy.
    fn call(&self, method: Method, path: &str) -> RequestBuilder {
        RequestBuilder::new(method, format!("http://{}{path}", self.address))
            .proxy_settings(ProxySettings::builder().build())
            .connect_timeout(self.timeout)
            .timeout(self.timeout)
    }
}
