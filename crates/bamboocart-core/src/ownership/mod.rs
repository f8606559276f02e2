//! Ownership of submissions: which instance may start which submission.
//!
//! The owner of an id follows from the id and from append-only facts: the issuer that a
//! ticket names, the claims read from the log, and the handovers received completely. No
//! rule here depends on which instances appear to be alive.
//!
//! Only the owner's [`Registry`] can answer "not run" reliably, because an earlier copy
//! of the same id may have reached the owner over another path. An instance that cannot
//! reach or determine the owner answers "unknown".

mod claims;
mod handover;
mod horizon;
mod plan;
mod registry;
mod resolve;
mod stage;
mod ticket;

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};

use crate::id::{Incarnation, InstanceName};

pub use self::claims::{
    BACKDATE_MS, Claim, ClaimRecord, ClaimTable, Coverage, KeyRange, LOG_CLOCK_SLACK_MS,
    MAX_CLAIM_AHEAD_MS, RANGE_COUNT, RangeSet, SkipReason, SkippedRecord,
};
pub use self::handover::{
    AcceptError, CompleteHandover, Draining, HandedOver, HandoverAssembly, HandoverEntry,
    HandoverPart, MAX_PART_BYTES, Right,
};
pub use self::horizon::{Horizon, HorizonError};
pub use self::plan::{APPEND_INTERVAL_MS, Claimer};
pub use self::registry::{
    AdoptError, Arrival, ContentDigest, Lookup, Registry, RegistryLimits, Rights,
    SubmissionKey, VacantEntry, Watermarks,
};
pub use self::resolve::{ResolveContext, Resolved, Successions, resolve};
pub use self::stage::Stage;
pub use self::ticket::TicketIssuer;

/// One run of an instance, which is the unit of ownership.
///
/// Only the owner of a submission may start it.
#[derive(Debug, Clone, Eq, PartialEq, Ord, PartialOrd, Hash, Serialize, Deserialize)]
pub struct Owner {
    /// The name of the instance.
    pub instance: InstanceName,
    /// The run of the instance; a later run has a higher value.
    pub incarnation: Incarnation,
}

impl Owner {
    /// Creates the owner that stands for one run of an instance.
    pub fn new(instance: InstanceName, incarnation: Incarnation) -> Self {
        Self { instance, incarnation }
    }
}

impl Display for Owner {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:x}", self.instance, self.incarnation.0)
    }
}
