//! The fixed cost of a request by a pooled connection and by a connection per request.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bpaf::Bpaf;
use serde_json::{Value, json};

use super::Result;

/// The number of requests of each client before the other one takes its turn.
const TURN: u32 = 500;

/// The timeout of the client that has one, as the instances' client does.
const TIMEOUT: Duration = Duration::from_secs(5);

/// The settings of the comparison.
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

/// Sends the same requests in turn by both clients, one at a time, and returns the time
/// that each takes per request.
pub fn compare_clients(settings: &CostSettings) -> Result<Value> {
    let url = format!("http://{}/live", settings.target);
    let agent = ureq::Agent::new_with_defaults();
    let timed: ureq::Agent =
        ureq::Agent::config_builder().timeout_global(Some(TIMEOUT)).build().into();
    let (mut pooled_us, mut timed_us, mut single_us) = (0.0, 0.0, 0.0);
    let turns = settings.count.div_ceil(TURN);
    for _ in 0..turns {
        let started = Instant::now();
        for _ in 0..TURN {
            agent.get(&url).call()?.body_mut().read_json::<Value>()?;
        }
        pooled_us += started.elapsed().as_secs_f64() * 1e6;
        let started = Instant::now();
        for _ in 0..TURN {
            timed.get(&url).call()?.body_mut().read_json::<Value>()?;
        }
        timed_us += started.elapsed().as_secs_f64() * 1e6;
        let started = Instant::now();
        for _ in 0..TURN {
            attohttpc::get(&url).send()?.json::<Value>()?;
        }
        single_us += started.elapsed().as_secs_f64() * 1e6;
    }
    let count = f64::from(turns * TURN);
    Ok(json!({
        "requests": turns * TURN,
        "pooled_us": (pooled_us / count).round(),
        "pooled_with_timeout_us": (timed_us / count).round(),
        "connection_per_request_us": (single_us / count).round(),
    }))
}
