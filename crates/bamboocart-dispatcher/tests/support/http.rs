//! HTTP calls to instances and stand-ins.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;

/// The timeout of a call that must be answered.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Makes a call and returns the status and the body of the answer.
///
/// Panics if there is no answer in time.
pub fn call(method: &str, address: SocketAddr, path: &str, body: &Value) -> (u16, Value) {
    let answer = try_call(method, address, path, body, CALL_TIMEOUT);
    answer.unwrap_or_else(|| panic!("{method} {path} at {address} was not answered"))
}

/// Makes a call on a connection of its own, and returns `None` if there is no answer.
///
/// A body that is not JSON becomes `Value::Null`.
pub fn try_call(
    method: &str,
    address: SocketAddr,
    path: &str,
    body: &Value,
    timeout: Duration,
) -> Option<(u16, Value)> {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .timeout_global(Some(timeout))
        .http_status_as_error(false)
        .max_idle_connections(0)
        .build()
        .into();
    let url = format!("http://{address}{path}");
    let response = match method {
        "GET" => agent.get(url).call(),
        "DELETE" => agent.delete(url).call(),
        "PUT" => agent.put(url).send_json(body),
        _ => agent.post(url).send_json(body),
    };
    let mut response = response.ok()?;
    let body = response.body_mut().read_json().unwrap_or(Value::Null);
    Some((response.status().as_u16(), body))
}
