//! The configuration of tests, and how they publish it.

use std::net::SocketAddr;
use std::time::Instant;

use bamboocart_core::config::{
    ApplyResult, CONFIG_STREAM, ConfigRecord, ConfigReplay, ConfigSet, Publication,
    PublicationId, SourceFile, check,
};
use bamboocart_core::id::ConfigVersion;
use bamboocart_core::time::Timestamp;
use bamboocart_platform::Platform;
use uuid::Uuid;

use super::RECOVERY_TIMEOUT;
use super::http::try_call;

/// A configuration with two services, one on minions and one on workers.
///
/// `bay-check` is idempotent and may be resent, and `tag-lookup` may also be hedged.
/// `release-order` and `haul-plan` are not idempotent.
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

/// Returns the configuration set that tests start from.
pub fn base_config() -> ConfigSet {
    check(&[SourceFile { name: "base.toml", text: BASE }])
        .expect("the set passes the check")
}

/// Returns the text of the base configuration with another weight of its quota.
pub fn config_text(weight: u32) -> String {
    BASE.replace("weight = 1\n", &format!("weight = {weight}\n"))
}

/// Publishes a configuration set on top of the version that is in force in the log.
///
/// An append without an answer counts as published, since it may have taken effect.
pub fn publish(address: SocketAddr, set: &ConfigSet) {
    let platform = Platform::new(&address.to_string());
    let publication = Publication {
        publication: PublicationId(Uuid::now_v7()),
        base: version_in_log(&platform),
        set: set.clone(),
    };
    let body = ConfigRecord::Publish(publication).to_body();
    if let Err(error) = platform.append(CONFIG_STREAM, &body) {
        eprintln!("the publication was not acknowledged: {error}");
    }
}

/// Returns the version that is in force after all records in the log.
fn version_in_log(platform: &Platform) -> ConfigVersion {
    let mut replay = ConfigReplay::new();
    let start = Instant::now();
    loop {
        assert!(
            start.elapsed() < RECOVERY_TIMEOUT,
            "the log was not read within {RECOVERY_TIMEOUT:?}"
        );
        let page = platform.read(CONFIG_STREAM, replay.next_offset(), 0);
        let page = page.expect("the log can be read before a publication");
        replay.set_log_start(page.start);
        for record in &page.records {
            let at = Timestamp::from_ms(record.at_ms);
            if let ApplyResult::Rewind { .. } =
                replay.apply(record.offset, at, &record.body)
            {
                break;
            }
        }
        if replay.next_offset() >= page.end {
            return replay.version();
        }
    }
}

/// Puts an entry into the platform's list, and panics if the platform does not accept it.
pub fn register(platform: SocketAddr, entry: &bamboocart_platform::InstanceEntry) {
    let body = serde_json::to_value(entry).expect("an entry has a JSON form");
    let path = format!("/instances/{}", entry.name);
    let answer = try_call("PUT", platform, &path, &body, super::RECOVERY_TIMEOUT);
    assert_eq!(answer.map(|a| a.0), Some(200), "{} was not registered", entry.name);
}
