//! A client for instances.

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

/// A handle to an instance.
#[derive(Debug, Clone)]
pub struct Instance {
    /// The address.
    address: String,
    /// The time that a call may take.
    timeout: Duration,
}

impl Instance {
    /// Creates a handle to the instance at `address`.
    pub fn new(address: SocketAddr, timeout_ms: u64) -> Self {
        Self::at(address.to_string(), timeout_ms)
    }

    /// Creates a handle to the instance at an address from the platform's list.
    pub fn at(address: String, timeout_ms: u64) -> Self {
        Self { address, timeout: Duration::from_millis(timeout_ms) }
    }

    /// Reads the status.
    pub fn status(&self) -> Result<Status> {
        self.read(self.call(Method::GET, "/v1/status"), "read the status")
    }

    /// Reads the configuration in force.
    pub fn config(&self) -> Result<ConfigBody> {
        self.read(self.call(Method::GET, "/v1/config"), "read the configuration")
    }

    /// Asks the instance to finish its work and stop.
    pub fn drain(&self) -> Result<Value> {
        let what = "start the drain";
        let request = self.call(Method::POST, "/v1/drain");
        let response = self.send(request.text(""), what)?;
        match response.status().as_u16() {
            // The answer may be empty, since the status says what matters.
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
        self.answer(self.call(Method::DELETE, &path).text(""), "cancel the submission")
    }

    /// Sends a body and reads the answer of the submission.
    fn submit(
        &self,
        path: &str,
        body: &impl Serialize,
        trace: Trace,
    ) -> Result<AnswerBody> {
        let what = "submit";
        let request = trace.mark(self.call(Method::POST, path));
        let request =
            request.json(body).context(InstanceSnafu { what, address: &self.address })?;
        self.answer(request, what)
    }

    /// Reads an answer, which has a body with every status.
    fn answer<B: attohttpc::body::Body>(
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

    /// Reads a JSON answer with a status of success.
    fn read<T: DeserializeOwned>(
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

    /// Sends a request.
    fn send<B: attohttpc::body::Body>(
        &self,
        request: RequestBuilder<B>,
        what: &'static str,
    ) -> Result<Response> {
        request.send().context(InstanceSnafu { what, address: &self.address })
    }

    /// Prepares a call; instances are called by address, never through a proxy.
    fn call(&self, method: Method, path: &str) -> RequestBuilder {
        RequestBuilder::new(method, format!("http://{}{path}", self.address))
            .proxy_settings(ProxySettings::builder().build())
            .connect_timeout(self.timeout)
            .timeout(self.timeout)
    }
}
