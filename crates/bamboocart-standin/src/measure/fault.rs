//! Sets the fault switches of a running stand-in.

use std::net::SocketAddr;

use bpaf::Bpaf;

use super::Result;

/// The settings of the `fault` command.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(fault_settings))]
pub struct FaultSettings {
    /// Control address of minions or workers, or address of the platform
    #[bpaf(argument("IP:PORT"))]
    at: SocketAddr,
    /// Fault switches as JSON
    #[bpaf(positional("JSON"))]
    body: String,
}

/// Sends fault switches to a stand-in and returns its answer.
pub fn set_fault(settings: &FaultSettings) -> Result<serde_json::Value> {
    let body: serde_json::Value = serde_json::from_str(&settings.body)?;
    let url = format!("http://{}/faults", settings.at);
    Ok(attohttpc::post(url).json(&body)?.send()?.error_for_status()?.json()?)
}
