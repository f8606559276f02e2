//! The JSON bodies of the platform's interfaces.

use bamboocart_core::config::Role;
use bamboocart_core::id::{DomainName, Incarnation, InstanceName, RackName, ServiceName};
use serde::{Deserialize, Serialize};

/// The response to an append.
#[derive(Debug, Copy, Clone, Serialize, Deserialize)]
pub struct AppendResult {
    /// The offset of the new record.
    pub offset: u64,
}

/// One record of a stream.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Record {
    /// The position of the record in its stream.
    pub offset: u64,
    /// The time of the append by the log's clock, in milliseconds.
    pub at_ms: u64,
    /// The content of the record.
    pub body: String,
}

/// Consecutive records of a stream.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RecordPage {
    /// The offset of the oldest record that is still retained.
    pub start: u64,
    /// The offset that the next appended record will have.
    pub end: u64,
    /// The time for which records are retained, in milliseconds.
    pub retention_ms: u64,
    /// The records, oldest first.
    pub records: Vec<Record>,
}

/// The platform's list of instances, workers and minions.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct InstanceList {
    /// The version of the list, which grows with each change.
    pub version: u64,
    /// The time at which the list was current by the platform's clock, in milliseconds.
    pub as_of_ms: u64,
    /// Whether the caller has this version already, so that the entries are omitted.
    #[serde(default)]
    pub unchanged: bool,
    /// The machines.
    #[serde(default)]
    pub entries: Vec<InstanceEntry>,
}

/// One machine in the list.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct InstanceEntry {
    /// The name, unique within the list.
    pub name: InstanceName,
    /// Whether the machine is an instance, a worker or a minion.
    pub role: Role,
    /// The service that the machine belongs to.
    pub service: ServiceName,
    /// The failure domain that the machine is in.
    pub failure_domain: DomainName,
    /// The rack of a worker.
    #[serde(default)]
    pub rack: Option<RackName>,
    /// The address for HTTP, as IP address and port.
    pub address: String,
    /// The address for links between instances, as IP address and port.
    #[serde(default)]
    pub peer_address: Option<String>,
    /// Whether the machine is in service or leaving.
    pub state: ListState,
    /// The number of tasks that the machine runs concurrently.
    #[serde(default)]
    pub slots: u32,
    /// The number of connections that the machine accepts.
    #[serde(default)]
    pub connections: u32,
    /// The number of processors.
    #[serde(default)]
    pub cpus: u32,
    /// The amount of memory, in MB.
    #[serde(default)]
    pub memory_mb: u64,
    /// The incarnation of the machine's process.
    #[serde(default)]
    pub incarnation: Incarnation,
}

/// The state of a machine in the list.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ListState {
    /// The machine is in service.
    Live,
    /// The machine is leaving and takes no new work.
    Leaving,
}
