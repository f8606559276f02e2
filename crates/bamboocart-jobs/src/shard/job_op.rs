//! Operations on stored jobs, which any instance forwards to the job's owner.

use serde::{Deserialize, Serialize};

use crate::effect::{Answer, RequestKey};
use crate::id::JobId;
use crate::membership::peer::PeerKey;
use crate::operator::catalog::Queue;
use crate::owner::submission::NewJob;
use crate::time::Moment;

/// An operation on a stored job, which its owner carries out.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum JobOp {
    /// Stores the job.
    Submit {
        /// The queue, as the configuration of the asking instance has it.
        queue: Box<Queue>,
        /// The job as its client submitted it.
        job: Box<NewJob>,
    },
    /// Queries the state of the job.
    State,
    /// Cancels the job.
    Cancel,
}

/// The answer of a job's owner; none if the asked instance is not the owner and has done
/// nothing.
pub type OpReply = Option<Answer>;

/// The instance that waits for the answer to an operation.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub(crate) enum Requester {
    /// This instance.
    Local(OpNumber),
    /// A peer.
    Peer(PeerKey, OpNumber),
}

/// The number of an operation, unique within the instance that asks.
#[derive(
    Debug, Default, Copy, Clone, Eq, PartialEq, Ord, PartialOrd, Serialize, Deserialize,
)]
pub struct OpNumber(pub u64);

/// An operation of this instance that has no answer yet.
#[derive(Debug, Clone)]
pub(crate) struct OpenOp {
    pub(crate) request: RequestKey,
    pub(crate) id: JobId,
    pub(crate) op: JobOp,
    /// When it is sent again. Operations are idempotent: an owner answers a repeated one
    /// as before.
    pub(crate) retry_at: Moment,
    /// When it is given up if it was sent to no owner.
    pub(crate) unsent_until: Moment,
    /// When it is given up in any case.
    pub(crate) until: Moment,
    /// Whether it was sent, so that an owner may have carried it out.
    pub(crate) uncertain: bool,
}

impl OpenOp {
    /// Returns when it is given up, depending on whether it was sent.
    pub(crate) fn ends_at(&self) -> Moment {
        if self.uncertain { self.until } else { self.unsent_until.min(self.until) }
    }
}
