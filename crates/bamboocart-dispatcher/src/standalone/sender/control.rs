//! Calls to targets beside the sends of tasks.

use std::time::Duration;

use bamboocart_core::engine::{LeaseGrant, LeaseOrder, ProbeAnswer, ProbeOrder};
use bamboocart_wire::api::{LeaseAnswer, LeaseBody, TargetStatus};
use hyper::{Method, StatusCode};
use tokio::time::sleep;

use super::client::{Result, bare, read, with_json};
use super::{Calls, SendKey};

/// The time that a lease or stop call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The time that a target has to answer a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// The pauses before a stop is repeated that came before its task at the target.
///
/// A stop and the send of its task travel on different connections. A stop that overtook
/// the task would let it run to its end although its submission has ended.
const STOP_AGAIN_MS: [u64; 6] = [20, 40, 80, 160, 320, 640];

/// The time without a renewal after which a lease lapses.
const LEASE_TTL_MS: u64 = 10_000;

/// Asks a target for its state.
pub async fn probe(calls: &Calls, order: ProbeOrder) -> Option<ProbeAnswer> {
    let request = bare(Method::GET, format!("http://{}/live", order.address)).ok()?;
    let response = calls.pooled.call(request, PROBE_TIMEOUT).await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    let status: TargetStatus = read(&response).ok()?;
    let ProbeOrder { target, incarnation, .. } = order;
    Some(ProbeAnswer { target, incarnation, leaving: status.leaving })
}

/// Asks a worker for a lease, renews or returns one.
pub async fn lease(calls: &Calls, order: &LeaseOrder) -> Option<LeaseGrant> {
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
    let request = with_json(url, &body).ok()?;
    let response = calls.pooled.call(request, CALL_TIMEOUT).await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    let answer: LeaseAnswer = read(&response).ok()?;
    Some(LeaseGrant {
        lease: answer.lease,
        fencing_token: answer.token,
        slots: answer.slots,
        expires_in_ms: answer.expires_in_ms,
    })
}

/// Returns a lease, which otherwise lapses by itself.
async fn return_lease(calls: &Calls, address: &str, held: LeaseGrant) -> Result<()> {
    let url = format!("http://{address}/leases/{}", held.lease);
    calls.pooled.call(bare(Method::DELETE, url)?, CALL_TIMEOUT).await?;
    Ok(())
}

/// Asks a target to stop a task; the answer to the send tells what came of it.
///
/// The stop is repeated for a short time if the target does not know the task while its
/// send is open.
pub async fn stop(calls: &Calls, key: &SendKey) {
    let mut found = stop_once(calls, key).await;
    for pause_ms in STOP_AGAIN_MS {
        if found {
            return;
        }
        sleep(Duration::from_millis(pause_ms)).await;
        if !calls.open_sends().contains(key) {
            return;
        }
        found = stop_once(calls, key).await;
    }
}

/// Asks a target once to stop a task, and returns whether there is nothing left to stop
/// or no way to do so.
async fn stop_once(calls: &Calls, (address, submission, task): &SendKey) -> bool {
    let url = format!("http://{address}/run/{submission}/{}", task.0);
    let call =
        async { calls.pooled.call(bare(Method::DELETE, url)?, CALL_TIMEOUT).await };
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
