//! The calls that control targets: probes, leases and stops.

use std::time::Duration;

use bamboocart_core::engine::{LeaseGrant, LeaseOrder, ProbeAnswer, ProbeOrder};
use bamboocart_wire::api::{LeaseAnswer, LeaseBody, TargetStatus};
use hyper::{Method, StatusCode};
use tokio::time::sleep;

use super::client::{Result, decode_json, empty_request, json_request};
use super::{CallContext, SendKey};

/// The longest time that a lease or stop call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The time within which a target must answer a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// The delays before the retries of a stop that reached the target before its task.
///
/// A stop and the send of its task use different connections, so the stop may overtake
/// the task. Without a retry the task would then run to its end although its submission
/// has ended.
const STOP_RETRY_DELAYS_MS: [u64; 6] = [20, 40, 80, 160, 320, 640];

/// The time after which a lease expires unless it is renewed.
const LEASE_TTL_MS: u64 = 10_000;

/// Probes a target, and returns `None` if it does not answer with success.
pub async fn probe(calls: &CallContext, order: ProbeOrder) -> Option<ProbeAnswer> {
    let request =
        empty_request(Method::GET, format!("http://{}/live", order.address)).ok()?;
    let response = calls.pooled.call(request, PROBE_TIMEOUT).await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    let status: TargetStatus = decode_json(&response).ok()?;
    let ProbeOrder { target, incarnation, .. } = order;
    Some(ProbeAnswer { target, incarnation, leaving: status.leaving })
}

/// Acquires, renews or returns a lease of a worker.
///
/// Returns `None` if there is no lease afterwards or the call failed.
pub async fn lease(calls: &CallContext, order: &LeaseOrder) -> Option<LeaseGrant> {
    let address = &order.address;
    let url = match order.held {
        Some(held) if order.slots == 0 => {
            if let Err(error) = return_lease(calls, address, held).await {
                log::debug!("could not return a lease to {address}: {error}");
            }
            return None;
        }
        Some(held) => format!("http://{address}/leases/{}/renew", held.lease),
        None => format!("http://{address}/leases"),
    };
    let body = LeaseBody {
        holder: calls.holder.to_string(),
        slots: order.slots,
        ttl_ms: LEASE_TTL_MS,
    };
    let request = json_request(url, &body).ok()?;
    let response = calls.pooled.call(request, CALL_TIMEOUT).await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    let answer: LeaseAnswer = decode_json(&response).ok()?;
    Some(LeaseGrant {
        lease: answer.lease,
        fencing_token: answer.token,
        slots: answer.slots,
        expires_in_ms: answer.expires_in_ms,
    })
}

/// Returns a lease to its worker, where it would otherwise expire by itself.
async fn return_lease(
    calls: &CallContext,
    address: &str,
    held: LeaseGrant,
) -> Result<()> {
    let url = format!("http://{address}/leases/{}", held.lease);
    calls.pooled.call(empty_request(Method::DELETE, url)?, CALL_TIMEOUT).await?;
    Ok(())
}

/// Requests a target to stop a task.
///
/// The answer to the send of the task tells whether it ran. While that send is open and
/// the target does not know the task, the stop is retried for a short time.
pub async fn stop(calls: &CallContext, key: &SendKey) {
    let mut found = stop_once(calls, key).await;
    for delay_ms in STOP_RETRY_DELAYS_MS {
        if found {
            return;
        }
        sleep(Duration::from_millis(delay_ms)).await;
        if !calls.open_sends().contains(key) {
            return;
        }
        found = stop_once(calls, key).await;
    }
}

/// Requests a target once to stop a task, and returns whether a retry is pointless: the
/// target knew the task, or the call failed.
async fn stop_once(calls: &CallContext, (address, submission, task): &SendKey) -> bool {
    let url = format!("http://{address}/run/{submission}/{}", task.0);
    let call = async {
        calls.pooled.call(empty_request(Method::DELETE, url)?, CALL_TIMEOUT).await
    };
    match call.await {
        Ok(response) => response.status() != StatusCode::NOT_FOUND,
        Err(error) => {
            log::debug!(
                request_id:% = submission; "could not stop task {}: {error}", task.0
            );
            true
        }
    }
}
