//! The JSON bodies of the platform's interfaces.

use bamboocart_core::config::Role;
use bamboocart_core::id::{DomainName, Incarnation, InstanceName, RackName, ServiceName};
use serde::{Deserialize, Serialize};

/// The answer to an append.
#[derive(Debug, Copy, Clone, Serialize, Deserialize)]
pub struct AppendResult {
    /// The offset of the new record.
    pub offset: u64,
}

/// One record of a stream.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Record {
    /// The position in the stream.
    pub offset: u64,
    /// The time of the append by the log's clock.
    pub at_ms: u64,
    /// The content.
    pub body: String,
}

/// A run of records of a stream.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RecordPage {
    /// The offset of the oldest record that is still kept.
    pub start: u64,
    /// The offset of the next append.
    pub end: u64,
    /// The time that records are kept.
    pub retention_ms: u64,
    /// The records, oldest first.
    pub records: Vec<Record>,
}

/// The platform's list of instances, workers and minions.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct InstanceList {
    /// A number that grows with each change.
    pub version: u64,
    /// The time that the list describes, by the platform's clock.
    pub as_of_ms: u64,
    /// Whether the caller knows this version, so that the members are left out.
    #[serde(default)]
    pub unchanged: bool,
    /// The members.
    #[serde(default)]
    pub entries: Vec<InstanceEntry>,
}

/// One machine in the list.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct InstanceEntry {
    /// The name.
    pub name: InstanceName,
    /// What the machine is for.
    pub role: Role,
    /// The service label.
    pub service: ServiceName,
    /// The failure domain.
    pub failure_domain: DomainName,
    /// The rack, for workers.
    #[serde(default)]
    pub rack: Option<RackName>,
    /// The address for HTTP, as IP and port.
    pub address: String,
    /// The address for links between instances, as IP and port.
    #[serde(default)]
    pub peer_address: Option<String>,
    /// Whether the machine is leaving.
    pub state: ListState,
    /// The tasks that the machine runs at the same time.
    #[serde(default)]
    pub slots: u32,
    /// The connections that the machine accepts.
    #[serde(default)]
    pub connections: u32,
    /// The processors.
    #[serde(default)]
    pub cpus: u32,
    /// The memory.
    #[serde(default)]
    pub memory_mb: u64,
    /// The run of the machine's process.
    #[serde(default)]
    pub incarnation: Incarnation,
}

/// The state of a machine in the list.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ListState {
    /// In service.
    Live,
    /// On its way out.
    Leaving,
}
