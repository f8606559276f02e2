//! Waits until a system is fully in service.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use bpaf::Bpaf;
use serde_json::Value;

use super::Result;

/// The interval between checks of all instances.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The timeout of a status call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The settings of the `await` command.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(await_settings))]
pub struct AwaitSettings {
    /// Address of an instance; give one flag per instance
    #[bpaf(argument("IP:PORT"), some("give the address of at least one instance"))]
    instance: Vec<SocketAddr>,
    /// Number of targets that must be used by exactly one instance each
    #[bpaf(argument("N"))]
    targets: usize,
    /// Time to wait for
    #[bpaf(argument("S"), fallback(30), display_fallback)]
    timeout_s: u64,
}

/// Waits until a system is fully in service, and returns the time that it took.
///
/// Every instance must serve and see all others as live, and every target must be used by
/// exactly one instance. Returns an error with the missing condition on a timeout.
pub fn await_service(settings: &AwaitSettings) -> Result<Duration> {
    let started = Instant::now();
    while let Err(missing) = check(settings) {
        if started.elapsed() > Duration::from_secs(settings.timeout_s) {
            return Err(format!(
                "the system is not fully in service: {missing}; raise --timeout-s if it \
                 is still starting"
            )
            .into());
        }
        thread::sleep(POLL_INTERVAL);
    }
    Ok(started.elapsed())
}

/// Returns an error with the first condition of full service that does not hold.
fn check(settings: &AwaitSettings) -> Result<()> {
    let mut users: BTreeMap<String, usize> = BTreeMap::new();
    for &instance in &settings.instance {
        let url = format!("http://{instance}/v1/status");
        let status: Value = attohttpc::get(url).timeout(CALL_TIMEOUT).send()?.json()?;
        if status["state"] != "serving" {
            return Err(format!("{instance} is in the state {}", status["state"]).into());
        }
        let is_live = |peer: &&Value| peer["state"] == "live" && peer["leaving"] == false;
        let live = entries(&status, "peers").filter(is_live).count();
        if live + 1 != settings.instance.len() {
            return Err(format!("{instance} sees {live} live peers").into());
        }
        let is_used =
            |target: &&Value| target["retired"] == false && target["slots"] != 0;
        for target in entries(&status, "targets").filter(is_used) {
            let name = target["name"].as_str().unwrap_or_default();
            *users.entry(name.to_owned()).or_default() += 1;
        }
    }
    let used_once = users.values().filter(|&&count| count == 1).count();
    match used_once == settings.targets && users.len() == settings.targets {
        true => Ok(()),
        false => {
            Err(format!("{used_once} targets are used by exactly one instance").into())
        }
    }
}

/// Returns the entries of a list in a status body.
fn entries<'a>(status: &'a Value, name: &str) -> impl Iterator<Item = &'a Value> {
    status[name].as_array().into_iter().flatten()
}
