//! Compares the fixed cost of a request on a pooled and on a new connection.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bpaf::Bpaf;
use serde_json::{Value, json};

use super::Result;

/// The number of consecutive requests of one client before the next one follows.
const BATCH_REQUESTS: u32 = 500;

/// The timeout of the pooled client with a timeout, which the instances use as well.
const TIMEOUT: Duration = Duration::from_secs(5);

/// The settings of the `client-cost` command.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(cost_settings))]
pub struct CostSettings {
    /// Address of a target
    #[bpaf(argument("IP:PORT"))]
    target: SocketAddr,
    /// Requests by each client
    #[bpaf(argument("N"), fallback(5_000), display_fallback)]
    count: u32,
}

/// Measures the mean time per request of three clients.
///
/// They are pooled, pooled with a timeout, and with a new connection for each request.
/// All send the same requests, one at a time and in alternating batches.
pub fn compare_clients(settings: &CostSettings) -> Result<Value> {
    let url = format!("http://{}/live", settings.target);
    let agent = ureq::Agent::new_with_defaults();
    let with_timeout: ureq::Agent =
        ureq::Agent::config_builder().timeout_global(Some(TIMEOUT)).build().into();
    let (mut pooled_us, mut with_timeout_us, mut unpooled_us) = (0.0, 0.0, 0.0);
    let batches = settings.count.div_ceil(BATCH_REQUESTS);
    for _ in 0..batches {
        let started = Instant::now();
        for _ in 0..BATCH_REQUESTS {
            agent.get(&url).call()?.body_mut().read_json::<Value>()?;
        }
        pooled_us += started.elapsed().as_secs_f64() * 1e6;
        let started = Instant::now();
        for _ in 0..BATCH_REQUESTS {
            with_timeout.get(&url).call()?.body_mut().read_json::<Value>()?;
        }
        with_timeout_us += started.elapsed().as_secs_f64() * 1e6;
        let started = Instant::now();
        for _ in 0..BATCH_REQUESTS {
            attohttpc::get(&url).send()?.json::<Value>()?;
        }
        unpooled_us += started.elapsed().as_secs_f64() * 1e6;
    }
    let count = f64::from(batches * BATCH_REQUESTS);
    Ok(json!({
        "requests": batches * BATCH_REQUESTS,
        "pooled_us": (pooled_us / count).round(),
        "pooled_with_timeout_us": (with_timeout_us / count).round(),
        "connection_per_request_us": (unpooled_us / count).round(),
    }))
}
