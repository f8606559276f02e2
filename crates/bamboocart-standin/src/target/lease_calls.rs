//! The calls about the leases of a worker.

use std::time::Duration;

use bamboocart_wire::api::{LeaseAnswer, LeaseBody};

use crate::clock;
use crate::http::Call;

use super::faults::LeavingMode;
use super::leases::LeaseGrant;
use super::member::Target;

impl Target {
    /// Grants a lease.
    pub(super) fn grant(&self, call: Call, body: &LeaseBody) {
        let now = clock::now();
        let mut state = self.lock();
        let leaving = state.switches.leaving == Some(LeavingMode::Reject);
        let grant = match leaving {
            true => None,
            false => state.leases.grant(
                now,
                self.entry.slots,
                &body.holder,
                body.slots,
                body.ttl_ms,
            ),
        };
        self.sample(&mut state);
        drop(state);
        match grant {
            Some(grant) => self.answer_grant(call, grant),
            None => {
                let code = if leaving { "leaving" } else { "busy" };
                self.answer(call, 503, serde_json::json!({ "code": code }));
            }
        }
    }

    /// Renews a lease.
    pub(super) fn renew(&self, call: Call, id: &str) {
        let id = id.parse().unwrap_or_default();
        let grant = self.lock().leases.renew(clock::now(), id);
        match grant {
            Some(grant) => self.answer_grant(call, grant),
            None => self.answer(call, 404, serde_json::json!({ "code": "lease" })),
        }
    }

    /// Ends a lease for its holder and stops the tasks under it.
    pub(super) fn release_lease(&self, call: Call, id: &str) {
        let id = id.parse().unwrap_or_default();
        let status = if self.lock().leases.release(id) { 200 } else { 404 };
        self.stop_where("lease", |running| running.lease == Some(id));
        self.answer(call, status, serde_json::json!({}));
    }

    /// Answers with a lease and watches for its lapse.
    fn answer_grant(&self, call: Call, grant: LeaseGrant) {
        let now = clock::now();
        let left = Duration::from_micros(grant.expires.us_since(now));
        self.later(left, Self::end_expired);
        let body = LeaseAnswer {
            lease: grant.lease,
            token: grant.fencing_token,
            slots: grant.slots,
            expires_in_ms: grant.expires.ms_since(now),
        };
        self.answer(call, 200, body);
    }

    /// Ends the leases that have lapsed and stops the tasks under them.
    fn end_expired(&self) {
        let expired = self.lock().leases.take_expired(clock::now());
        for id in expired {
            self.stop_where("lease", |running| running.lease == Some(id));
        }
    }
}
