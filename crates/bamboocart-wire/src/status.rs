//! The JSON bodies of the operators' interface of an instance.

use bamboocart_core::config::ConfigSet;
use bamboocart_core::id::ConfigVersion;
use serde::{Deserialize, Serialize};

pub use bamboocart_core::engine::{
    GroupStatus, InstanceState, PeerStatus, Status, TargetStatus,
};
pub use bamboocart_core::membership::PeerState;

/// The answer to `GET /v1/config`.
#[derive(Debug, Clone, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct ConfigBody {
    /// The version in force on the instance; 0 for none.
    pub config_version: ConfigVersion,
    /// The set in force, which is empty if there is none.
    pub set: ConfigSet,
}
