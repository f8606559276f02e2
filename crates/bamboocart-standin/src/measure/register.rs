//! Registration of instances in the platform's list.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;

use bamboocart_core::config::Role;
use bamboocart_core::id::{DomainName, Incarnation, InstanceName};
use bamboocart_platform::{InstanceEntry, ListState};
use bpaf::Bpaf;
use serde::Deserialize;

use super::Result;

/// The settings of the registration.
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

/// The line that an instance prints at its start.
#[derive(Debug, Deserialize)]
struct Described {
    instance: InstanceName,
    failure_domain: DomainName,
    incarnation: Incarnation,
    address: String,
    peer_address: String,
}

/// Registers instances and returns their number.
pub fn register(settings: &RegisterSettings) -> Result<usize> {
    for path in &settings.outputs {
        let text = fs::read_to_string(path)?;
        let line = text.lines().next().ok_or("an instance has printed no address yet")?;
        let described: Described = serde_json::from_str(line)?;
        let entry = entry(described);
        let url = format!("http://{}/instances/{}", settings.platform, entry.name);
        attohttpc::put(url).json(&entry)?.send()?.error_for_status()?;
    }
    Ok(settings.outputs.len())
}

/// Describes an instance in the platform's list.
fn entry(described: Described) -> InstanceEntry {
    InstanceEntry {
        name: described.instance,
        role: Role::Dispatcher,
        service: "bamboocart".into(),
        failure_domain: described.failure_domain,
        rack: None,
        address: described.address,
        peer_address: Some(described.peer_address),
        state: ListState::Live,
        slots: 0,
        connections: 0,
        cpus: 0,
        memory_mb: 0,
        incarnation: described.incarnation,
    }
}
