//! The command `status`, and the wait until a version is in force.

use std::collections::BTreeMap;
use std::thread;
use std::time::{Duration, Instant};

use bamboocart_core::config::Role;
use bamboocart_core::id::ConfigVersion;
use bamboocart_platform::{ListState, Platform};
use bamboocart_wire::status::{self, PeerState};
use bpaf::Bpaf;
use serde::Serialize;
use serde_json::json;

use crate::error::Result;
use crate::instance::InstanceClient;
use crate::report::{EXIT_CODES, Exit, Report};
use crate::settings::{Common, SettingErrors};

/// The time within which an accepted configuration must be in force everywhere.
const IN_FORCE_TIMEOUT_MS: u64 = 9_000;

/// The timeout of a status call, so that an unresponsive instance does not hide others.
const STATUS_TIMEOUT_MS: u64 = 1_000;

/// The pause between two rounds of status calls.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The number of concurrent status calls; further instances are called in the next batch.
const MAX_CONCURRENT_CALLS: usize = 32;

/// Show the state of an instance, or of all instances on the platform's list
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command("status"), footer(EXIT_CODES))]
pub struct Status {
    /// Settings of every command
    #[bpaf(external(crate::settings::common))]
    pub common: Common,
}

impl Status {
    /// Runs the command.
    pub fn run(&self) -> Result<Report> {
        let mut errors = SettingErrors::default();
        let settings = self.common.check(&mut errors);
        let address = settings.instance.or(settings.platform);
        errors.require("--instance", address);
        errors.finish()?;
        let instances = match (settings.instance, settings.platform) {
            (None, Some(platform)) => {
                live_instances(&Platform::new(&platform.to_string()))?
            }
            (address, _) => {
                address.iter().map(|a| (a.to_string(), a.to_string())).collect()
            }
        };
        let answers = fetch_all(&instances, STATUS_TIMEOUT_MS.min(settings.timeout_ms));
        let known: Vec<_> = answers.values().flatten().collect();
        let silent: Vec<_> =
            answers.iter().filter(|(_, a)| a.is_none()).map(|(name, _)| name).collect();
        let mut lines: Vec<_> =
            known.iter().map(|status| describe_instance(status)).collect();
        if let ([status], Some(_)) = (known.as_slice(), settings.instance) {
            lines.extend(describe_details(status));
        }
        lines.extend(silent.iter().map(|name| format!("{name}: no answer")));
        let exit = if silent.is_empty() { Exit::Done } else { Exit::NoAnswer };
        let json = json!({ "instances": known, "silent": silent });
        Ok(Report::new(exit, json, lines.join("\n")))
    }
}

/// The instances that do and do not have a version in force.
#[derive(Debug, Default, Serialize)]
pub struct Rollout {
    /// The instances that have the version, or a newer one, in force.
    pub ready: Vec<String>,
    /// The other instances, with the version that they last reported, if any.
    pub pending: BTreeMap<String, Option<ConfigVersion>>,
    /// Why the instances could not be listed.
    pub error: Option<String>,
}

impl Rollout {
    /// Returns whether every instance has the version in force.
    pub fn is_complete(&self) -> bool {
        self.pending.is_empty() && self.error.is_none()
    }

    /// Describes the pending instances and the error, one in each line.
    pub fn describe_pending(&self) -> String {
        let line = |(name, version): (&String, &Option<ConfigVersion>)| match version {
            Some(version) => format!("{name} still has version {version}"),
            None => format!("{name} did not answer"),
        };
        let lines = self.pending.iter().map(line).chain(self.error.clone());
        lines.collect::<Vec<_>>().join("\n")
    }
}

/// Waits at most 9 s until every instance has `version` or a newer one in force.
pub fn wait_for_version(platform: &Platform, version: ConfigVersion) -> Rollout {
    let end = Instant::now() + Duration::from_millis(IN_FORCE_TIMEOUT_MS);
    let mut rollout = Rollout::default();
    let mut pending = match live_instances(platform) {
        Ok(instances) if instances.is_empty() => {
            rollout.error = Some("the platform lists no live instance".into());
            return rollout;
        }
        Ok(instances) => instances,
        Err(error) => {
            rollout.error = Some(error.to_string());
            return rollout;
        }
    };
    loop {
        let left = end.saturating_duration_since(Instant::now()).as_millis() as u64;
        let answers = fetch_all(&pending, STATUS_TIMEOUT_MS.min(left.max(1)));
        for (name, answer) in answers {
            let reported = answer.map(|status| status.config_version);
            if reported.is_some_and(|reported| reported >= version) {
                pending.remove(&name);
                rollout.pending.remove(&name);
                rollout.ready.push(name);
            } else {
                let last = rollout.pending.entry(name).or_default();
                *last = reported.or(*last);
            }
        }
        if pending.is_empty() || Instant::now() + POLL_INTERVAL >= end {
            return rollout;
        }
        thread::sleep(POLL_INTERVAL);
    }
}

/// Returns the addresses of all live instances by name.
fn live_instances(platform: &Platform) -> Result<BTreeMap<String, String>> {
    let entries = platform.instances()?.entries.into_iter();
    let is_live = |state| state == ListState::Live;
    Ok(entries
        .filter(|entry| entry.role == Role::Dispatcher && is_live(entry.state))
        .map(|entry| (entry.name.to_string(), entry.address))
        .collect())
}

/// Fetches the status of instances; those that do not answer have none.
fn fetch_all(
    instances: &BTreeMap<String, String>,
    timeout_ms: u64,
) -> BTreeMap<String, Option<status::Status>> {
    let mut answers = BTreeMap::new();
    let all: Vec<_> = instances.iter().collect();
    for batch in all.chunks(MAX_CONCURRENT_CALLS) {
        thread::scope(|scope| {
            let fetch = |address: &String| {
                InstanceClient::at(address.clone(), timeout_ms)
                    .status()
                    .inspect_err(|error| log::info!("{error}"))
                    .ok()
            };
            let calls: Vec<_> = batch
                .iter()
                .map(|(name, address)| (*name, scope.spawn(move || fetch(address))))
                .collect();
            for (name, call) in calls {
                answers.insert(name.clone(), call.join().ok().flatten());
            }
        });
    }
    answers
}

/// Describes an instance in one line.
fn describe_instance(status: &status::Status) -> String {
    let live = status.peers.iter().filter(|peer| peer.state == PeerState::Live);
    let used = status.targets.iter().filter(|target| !target.retired);
    let stale = if status.list_is_stale { ", instance list is stale" } else { "" };
    format!(
        "{} in {}: {}, version {}, {} of {} peers live, {} targets, {} queued, \
         {} running{stale}",
        status.instance,
        status.failure_domain,
        state_name(&status.state),
        status.config_version,
        live.count(),
        status.peers.len(),
        used.count(),
        status.queued,
        status.running
    )
}

/// Describes the target groups and the peers of an instance.
fn describe_details(status: &status::Status) -> Vec<String> {
    let group = |group: &status::GroupStatus| {
        format!(
            "  group {}: {} queued, {} of {} slots free, {} targets ejected",
            group.name, group.queued, group.free_slots, group.slots, group.ejected
        )
    };
    let peer = |peer: &status::PeerStatus| {
        let leaving = if peer.leaving { ", leaving" } else { "" };
        format!(
            "  peer {} in {}: {}{leaving}, version {}",
            peer.name,
            peer.failure_domain,
            state_name(&peer.state),
            peer.config_version
        )
    };
    let groups = status.groups.iter().map(group);
    groups.chain(status.peers.iter().map(peer)).collect()
}

/// Returns the name of a state as in JSON.
fn state_name(state: &impl Serialize) -> String {
    json!(state).as_str().unwrap_or_default().to_owned()
}
