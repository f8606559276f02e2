//! Waits until a system is in full service.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use bpaf::Bpaf;
use serde_json::Value;

use super::Result;

/// The pause between two looks at the instances.
const POLL: Duration = Duration::from_millis(50);

/// The time that an instance may take to tell its state.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The settings of the wait.
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

/// Waits until every instance serves, knows all others, and every target is used once.
pub fn await_service(settings: &AwaitSettings) -> Result<Duration> {
    let started = Instant::now();
    while let Err(lack) = check(settings) {
        if started.elapsed() > Duration::from_secs(settings.timeout_s) {
            return Err(format!("no full service: {lack}").into());
        }
        thread::sleep(POLL);
    }
    Ok(started.elapsed())
}

/// Returns what is missing for full service.
fn check(settings: &AwaitSettings) -> Result<()> {
    let mut users: BTreeMap<String, usize> = BTreeMap::new();
    for &instance in &settings.instance {
        let url = format!("http://{instance}/v1/status");
        let status: Value = attohttpc::get(url).timeout(CALL_TIMEOUT).send()?.json()?;
        if status["state"] != "serving" {
            return Err(format!("{instance} is {}", status["state"]).into());
        }
        let is_live = |peer: &&Value| peer["state"] == "live" && peer["leaving"] == false;
        let live = rows(&status, "peers").filter(is_live).count();
        if live + 1 != settings.instance.len() {
            return Err(format!("{instance} sees {live} live peers").into());
        }
        let is_used =
            |target: &&Value| target["retired"] == false && target["slots"] != 0;
        for target in rows(&status, "targets").filter(is_used) {
            let name = target["name"].as_str().unwrap_or_default();
            *users.entry(name.to_owned()).or_default() += 1;
        }
    }
    let used_once = users.values().filter(|&&count| count == 1).count();
    match used_once == settings.targets && users.len() == settings.targets {
        true => Ok(()),
        false => Err(format!("{used_once} targets are used by one instance").into()),
    }
}

/// Returns the rows of a list in a status.
fn rows<'a>(status: &'a Value, name: &str) -> impl Iterator<Item = &'a Value> {
    status[name].as_array().into_iter().flatten()
}
