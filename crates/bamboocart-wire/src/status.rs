//! The JSON bodies of the operators' interface of an instance.

use bamboocart_core::config::ConfigSet;
use bamboocart_core::id::{
    ConfigVersion, DomainName, GroupName, Incarnation, InstanceName, TargetName,
};
use serde::{Deserialize, Serialize};

/// The answer to `GET /v1/status`.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct StatusBody {
    /// The instance.
    pub instance: InstanceName,
    /// The failure domain of the instance.
    pub failure_domain: DomainName,
    /// The run of the instance's process.
    pub incarnation: Incarnation,
    /// Whether the instance serves or stops.
    pub state: InstanceState,
    /// The configuration in force on the instance.
    pub config_version: ConfigVersion,
    /// The other instances, as this one sees them.
    pub peers: Vec<PeerStatus>,
    /// The targets that this instance uses.
    pub targets: Vec<TargetUse>,
    /// The tasks in the queue.
    pub queued: u64,
    /// The tasks that were sent to targets and have not ended.
    pub running: u64,
}

/// Whether an instance serves or stops.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// It accepts submissions.
    Serving,
    /// It finishes the submissions that it has.
    Draining,
    /// A successor answers for its submissions.
    HandedOver,
    /// It has ended its work.
    Stopped,
}

/// Another instance, as the answering one sees it.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// The peer.
    pub instance: InstanceName,
    /// The run of the peer's process.
    pub incarnation: Incarnation,
    /// Whether messages from the peer arrive.
    pub liveness: Liveness,
    /// The configuration that the peer reported last.
    pub config_version: ConfigVersion,
}

/// Whether messages from a peer arrive.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Liveness {
    /// A message arrived lately.
    Live,
    /// No message has arrived for the suspicion time.
    Suspect,
    /// No message has arrived for the failure time.
    Dead,
}

/// A target that the answering instance uses.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct TargetUse {
    /// The target.
    pub target: TargetName,
    /// The group of the target.
    pub group: GroupName,
    /// Whether the target gets work.
    pub state: TargetState,
    /// The slots of the target.
    pub slots: u32,
    /// The slots that this instance uses.
    pub busy: u32,
}

/// Whether a target gets work.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetState {
    /// It gets work.
    Live,
    /// It gets no work after failures, except for probes.
    Ejected,
    /// It gets no new work because it is stopping.
    Leaving,
}

/// The answer to `GET /v1/config`.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct ConfigBody {
    /// The version in force on the instance.
    pub config_version: ConfigVersion,
    /// The set in force.
    pub set: ConfigSet,
}
