//! The configuration that tests publish.

use std::net::SocketAddr;

use bamboocart_core::config::ConfigSet;

use super::http::try_call;

/// Two services, one on minions and one on workers.
///
/// `bay-check` may be resent, `tag-lookup` may also be hedged, `release-order` and
/// `haul-plan` may not be repeated.
const BASE: &str = r#"
[service.float-yard]
target_group = "minions"
slots = 8
connections = 64

[service.yard-work]
target_group = "workers"
slots = 16
connections = 64

[priority.release]
rank = 0

[priority.usual]
rank = 1
floor_percent = 10

[request_kind.release-order]
service = "float-yard"
priority = "release"
deadline_ms = 5000
shortest_run_ms = 1
longest_run_ms = 2000

[request_kind.bay-check]
service = "float-yard"
priority = "usual"
idempotent = true
resend = "budgeted"
deadline_ms = 5000
shortest_run_ms = 1
longest_run_ms = 2000

[request_kind.tag-lookup]
service = "float-yard"
priority = "usual"
idempotent = true
resend = "budgeted"
hedge = true
deadline_ms = 5000
shortest_run_ms = 1
longest_run_ms = 2000

[request_kind.haul-plan]
service = "yard-work"
priority = "usual"
deadline_ms = 8000
shortest_run_ms = 1
longest_run_ms = 2000

[target_group.minions]
role = "minion"
service = "float-yard"
failure_domains = ["marka", "sahab", "qastal"]

[target_group.workers]
role = "worker"
service = "yard-work"
failure_domains = ["marka", "sahab", "qastal"]
cpus = 16
memory_mb = 65536

[quota.float-storage]
weight = 1
starts_per_s = 100000
burst = 100000
in_flight = 100000
"#;

/// Returns the set that tests start from.
pub fn base_config() -> ConfigSet {
    toml::from_str(BASE).expect("the text is a configuration set")
}

/// Publishes a set, in the one place that knows the records of the stream `config`.
///
/// An append without an answer counts as published, since it may have taken effect.
pub fn publish(platform: SocketAddr, set: &ConfigSet) {
    let text = toml::to_string(set).expect("a configuration set has a text form");
    let agent = ureq::Agent::new_with_defaults();
    let url = format!("http://{platform}/streams/config/records");
    if let Err(error) = agent.post(url).send(text) {
        eprintln!("the publication was not acknowledged: {error}");
    }
}

/// Registers an entry in the platform's list.
pub fn register(platform: SocketAddr, entry: &bamboocart_platform::InstanceEntry) {
    let body = serde_json::to_value(entry).expect("an entry has a JSON form");
    let path = format!("/instances/{}", entry.name);
    let answer = try_call("PUT", platform, &path, &body, super::RECOVERY);
    assert_eq!(answer.map(|a| a.0), Some(200), "{} was not registered", entry.name);
}
