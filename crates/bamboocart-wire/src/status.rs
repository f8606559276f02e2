//! The JSON bodies of an instance's interface for operators.

use bamboocart_core::config::ConfigSet;
use bamboocart_core::id::ConfigVersion;
use serde::{Deserialize, Serialize};

pub use bamboocart_core::engine::{
    GroupStatus, InstanceState, PeerStatus, Status, TargetStatus,
};
pub use bamboocart_core::membership::PeerState;

/// The response to `GET /v1/config`.
#[derive(Debug, Clone, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct ConfigBody {
    /// The version in force on the instance, or 0 if there is none.
    pub config_version: ConfigVersion,
    /// The configuration in force, which is empty if there is none.
    pub set: ConfigSet,
}
