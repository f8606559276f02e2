//! The command `status`, and waiting for a version.

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
use crate::instance::Instance;
use crate::report::{EXIT_CODES, Exit, Report};
use crate::settings::{Common, Faults};

/// The time within which an accepted configuration is in force everywhere.
const IN_FORCE_MS: u64 = 9_000;

/// The longest time for one status call, so that a silent instance does not hide others.
const STATUS_MS: u64 = 1_000;

/// The pause between two rounds of status calls.
const ROUND: Duration = Duration::from_millis(100);

/// The status calls that run at the same time; further instances wait for the next batch.
const BATCH: usize = 32;

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
        let mut faults = Faults::default();
        let settings = self.common.check(&mut faults);
        let address = settings.instance.or(settings.platform);
        faults.need("--instance", address);
        faults.finish()?;
        let instances = match (settings.instance, settings.platform) {
            (None, Some(platform)) => instances(&Platform::new(&platform.to_string()))?,
            (address, _) => {
                address.iter().map(|a| (a.to_string(), a.to_string())).collect()
            }
        };
        let answers = ask_all(&instances, STATUS_MS.min(settings.timeout_ms));
        let known: Vec<_> = answers.values().flatten().collect();
        let silent: Vec<_> =
            answers.iter().filter(|(_, a)| a.is_none()).map(|(name, _)| name).collect();
        let mut lines: Vec<_> = known.iter().map(|status| describe(status)).collect();
        if let ([status], Some(_)) = (known.as_slice(), settings.instance) {
            lines.extend(details(status));
        }
        lines.extend(silent.iter().map(|name| format!("{name}: no answer")));
        let exit = if silent.is_empty() { Exit::Done } else { Exit::NoAnswer };
        let json = json!({ "instances": known, "silent": silent });
        Ok(Report::new(exit, json, lines.join("\n")))
    }
}

/// Which instances have a version in force.
#[derive(Debug, Default, Serialize)]
pub struct Spread {
    /// The instances that have it.
    pub ready: Vec<String>,
    /// The others, with the version that they reported last, if any.
    pub pending: BTreeMap<String, Option<ConfigVersion>>,
    /// Why the instances are not known.
    pub error: Option<String>,
}

impl Spread {
    /// Returns whether every instance has the version in force.
    pub fn is_complete(&self) -> bool {
        self.pending.is_empty() && self.error.is_none()
    }

    /// Describes what is missing.
    pub fn missing(&self) -> String {
        let line = |(name, version): (&String, &Option<ConfigVersion>)| match version {
            Some(version) => format!("{name} still has version {version}"),
            None => format!("{name} did not answer"),
        };
        let lines = self.pending.iter().map(line).chain(self.error.clone());
        lines.collect::<Vec<_>>().join("\n")
    }
}

/// Waits until every instance has a version or a newer one in force, at most 9 s.
pub fn wait_for_version(platform: &Platform, version: ConfigVersion) -> Spread {
    let end = Instant::now() + Duration::from_millis(IN_FORCE_MS);
    let mut spread = Spread::default();
    let mut pending = match instances(platform) {
        Ok(instances) if instances.is_empty() => {
            spread.error = Some("the platform lists no live instance".into());
            return spread;
        }
        Ok(instances) => instances,
        Err(error) => {
            spread.error = Some(error.to_string());
            return spread;
        }
    };
    loop {
        let left = end.saturating_duration_since(Instant::now()).as_millis() as u64;
        let answers = ask_all(&pending, STATUS_MS.min(left.max(1)));
        for (name, answer) in answers {
            let reported = answer.map(|status| status.config_version);
            if reported.is_some_and(|reported| reported >= version) {
                pending.remove(&name);
                spread.pending.remove(&name);
                spread.ready.push(name);
            } else {
                let last = spread.pending.entry(name).or_default();
                *last = reported.or(*last);
            }
        }
        if pending.is_empty() || Instant::now() + ROUND >= end {
            return spread;
        }
        thread::sleep(ROUND);
    }
}

/// Returns the addresses by name of all instances that are live.
fn instances(platform: &Platform) -> Result<BTreeMap<String, String>> {
    let entries = platform.instances()?.entries.into_iter();
    let is_live = |state| state == ListState::Live;
    Ok(entries
        .filter(|entry| entry.role == Role::Dispatcher && is_live(entry.state))
        .map(|entry| (entry.name.to_string(), entry.address))
        .collect())
}

/// Asks instances for their status.
fn ask_all(
    instances: &BTreeMap<String, String>,
    timeout_ms: u64,
) -> BTreeMap<String, Option<status::Status>> {
    let mut answers = BTreeMap::new();
    let all: Vec<_> = instances.iter().collect();
    for batch in all.chunks(BATCH) {
        thread::scope(|scope| {
            let ask = |address: &String| {
                Instance::at(address.clone(), timeout_ms)
                    .status()
                    .inspect_err(|error| log::info!("{error}"))
                    .ok()
            };
            let calls: Vec<_> = batch
                .iter()
                .map(|(name, address)| (*name, scope.spawn(move || ask(address))))
                .collect();
            for (name, call) in calls {
                answers.insert(name.clone(), call.join().ok().flatten());
            }
        });
    }
    answers
}

/// Describes an instance in one line.
fn describe(status: &status::Status) -> String {
    let live = status.peers.iter().filter(|peer| peer.state == PeerState::Live);
    let used = status.targets.iter().filter(|target| !target.retired);
    let stale = if status.list_is_stale { ", instance list is stale" } else { "" };
    format!(
        "{} in {}: {}, version {}, {} of {} peers live, {} targets, {} queued, \
         {} running{stale}",
        status.instance,
        status.failure_domain,
        name(&status.state),
        status.config_version,
        live.count(),
        status.peers.len(),
        used.count(),
        status.queued,
        status.running
    )
}

/// Describes the peers and the target groups of an instance.
fn details(status: &status::Status) -> Vec<String> {
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
            name(&peer.state),
            peer.config_version
        )
    };
    let groups = status.groups.iter().map(group);
    groups.chain(status.peers.iter().map(peer)).collect()
}

/// Returns the name of a state as in JSON.
fn name(state: &impl Serialize) -> String {
    json!(state).as_str().unwrap_or_default().to_owned()
}
