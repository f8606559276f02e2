//! The control interface of a fleet: history, states and fault switches.

use bamboocart_core::id::{DomainName, Incarnation, InstanceName};
use serde::{Deserialize, Serialize};

use crate::http::{Call, Method};

use super::faults::FaultBody;
use super::fleet::Members;

/// The largest number of events in one page of the history.
const MAX_PAGE_EVENTS: usize = 50_000;

/// The state of one target, in the body of `GET /targets`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TargetRow {
    /// The name in the instance list.
    pub name: InstanceName,
    /// The address in the instance list, which may be that of a forwarder.
    pub address: String,
    /// The failure domain that the target is in.
    pub failure_domain: DomainName,
    /// The incarnation, which increases with each restart.
    pub incarnation: Incarnation,
    /// The number of slots.
    pub slots: u32,
    /// The number of slots in use.
    pub busy: u32,
    /// Whether the target has announced that it is leaving.
    pub leaving: bool,
    /// Whether the target was killed by a fault and not restarted yet.
    pub dead: bool,
    /// The number of tasks started since the start of the process.
    pub starts: u64,
    /// The number of sends that were rejected without a start.
    #[serde(rename = "turned_away")]
    pub rejected: u64,
}

/// Routes a call to the control interface.
pub fn serve(members: &Members, mut call: Call) {
    let (method, path) = call.route();
    let path: Vec<&str> = path.iter().map(String::as_str).collect();
    match (&method, path.as_slice()) {
        (&Method::GET, ["history"]) => {
            let limit = call.query_number("limit").unwrap_or(u64::MAX);
            let limit = usize::try_from(limit).unwrap_or(usize::MAX).min(MAX_PAGE_EVENTS);
            let page = members.history(call.query_number("from").unwrap_or(0), limit);
            call.answer(200, &page);
        }
        (&Method::GET, ["targets"]) => call.answer(200, &members.rows()),
        (&Method::POST, ["faults"]) => match call.body_json::<FaultBody>() {
            Ok(body) => {
                let count = members.set_faults(&body);
                call.answer(200, &serde_json::json!({ "targets": count }));
            }
            Err(message) => call.fail(400, &message),
        },
        _ => call.fail(404, "no such path"),
    }
}
