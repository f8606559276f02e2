//! Registers instances in the instance list of the platform.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;

use bamboocart_core::config::Role;
use bamboocart_core::id::{DomainName, Incarnation, InstanceName};
use bamboocart_platform::{InstanceEntry, ListState};
use bpaf::Bpaf;
use serde::Deserialize;

use super::Result;

/// The settings of the `register` command.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(register_settings))]
pub struct RegisterSettings {
    /// Address of the platform
    #[bpaf(argument("IP:PORT"))]
    platform: SocketAddr,
    /// Files with the line that an instance prints at its start
    #[bpaf(positional("FILE"), some("give the output of at least one instance"))]
    outputs: Vec<PathBuf>,
}

/// The line of JSON that an instance prints at its start.
#[derive(Debug, Deserialize)]
struct StartupLine {
    instance: InstanceName,
    failure_domain: DomainName,
    incarnation: Incarnation,
    address: String,
    peer_address: String,
}

/// Registers the instances of all output files and returns their number.
pub fn register(settings: &RegisterSettings) -> Result<usize> {
    for path in &settings.outputs {
        let text = fs::read_to_string(path)?;
        let line = text.lines().next().ok_or(
            "an output file has no line yet; wait until the instance prints its address",
        )?;
        let startup: StartupLine = serde_json::from_str(line)?;
        let entry = entry(startup);
        let url = format!("http://{}/instances/{}", settings.platform, entry.name);
        attohttpc::put(url).json(&entry)?.send()?.error_for_status()?;
    }
    Ok(settings.outputs.len())
}

/// Returns the entry of an instance in the platform's list, which offers no slots.
fn entry(startup: StartupLine) -> InstanceEntry {
    InstanceEntry {
        name: startup.instance,
        role: Role::Dispatcher,
        service: "bamboocart".into(),
        failure_domain: startup.failure_domain,
        rack: None,
        address: startup.address,
        peer_address: Some(startup.peer_address),
        state: ListState::Live,
        slots: 0,
        connections: 0,
        cpus: 0,
        memory_mb: 0,
        incarnation: startup.incarnation,
    }
}
