//! The control interface of a fleet.

use bamboocart_core::id::{DomainName, Incarnation, InstanceName};
use serde::{Deserialize, Serialize};

use crate::http::{Call, Method};

use super::faults::FaultBody;
use super::fleet::Members;

/// The largest number of events in one page of the history.
const PAGE_EVENTS_MAX: usize = 50_000;

/// The state of one target, in the body of `GET /targets`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TargetRow {
    /// The name.
    pub name: InstanceName,
    /// The address.
    pub address: String,
    /// The failure domain.
    pub failure_domain: DomainName,
    /// The run of the target's process.
    pub incarnation: Incarnation,
    /// The slots.
    pub slots: u32,
    /// The slots in use.
    pub busy: u32,
    /// Whether the target is leaving.
    pub leaving: bool,
    /// Whether the target is dead.
    pub dead: bool,
    /// The number of starts.
    pub starts: u64,
    /// The number of sends that were turned away.
    #[serde(rename = "turned_away")]
    pub rejected: u64,
}

/// Serves a call to the control interface.
pub fn serve(members: &Members, mut call: Call) {
    let (method, path) = call.route();
    let path: Vec<&str> = path.iter().map(String::as_str).collect();
    match (&method, path.as_slice()) {
        (&Method::GET, ["history"]) => {
            let limit = call.query_number("limit").unwrap_or(u64::MAX);
            let limit = usize::try_from(limit).unwrap_or(usize::MAX).min(PAGE_EVENTS_MAX);
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
