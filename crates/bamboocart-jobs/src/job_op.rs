//! What clients ask the owner of a stored job, through any instance.

use serde::{Deserialize, Serialize};

use crate::catalog::Queue;
use crate::effect::{Answer, RequestKey};
use crate::id::JobId;
use crate::peer::PeerKey;
use crate::submission::NewJob;
use crate::time::Moment;

/// What is asked of the owner of a stored job.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum JobOp {
    /// To store the job.
    Submit {
        /// The queue.
        queue: Box<Queue>,
        /// The job.
        job: Box<NewJob>,
    },
    /// To tell its state.
    State,
    /// To cancel it.
    Cancel,
}

/// The answer of an owner; none from an instance that is not the owner, which has done
/// nothing.
pub type OpReply = Option<Answer>;

/// Who waits for an owner's answer.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub(crate) enum Requester {
    /// An operation of this instance.
    Local(OpNumber),
    /// An operation of a peer.
    Peer(PeerKey, OpNumber),
}

/// The number of an operation, unique for the instance that asks.
#[derive(
    Debug, Default, Copy, Clone, Eq, PartialEq, Ord, PartialOrd, Serialize, Deserialize,
)]
pub struct OpNumber(pub u64);

/// An operation of this instance that has no answer yet.
#[derive(Debug, Clone)]
pub(crate) struct OpenOp {
    /// The client's request.
    pub(crate) request: RequestKey,
    /// The job.
    pub(crate) id: JobId,
    /// What is asked.
    pub(crate) op: JobOp,
    /// When it is sent again; owners answer an operation that comes again as before.
    pub(crate) retry_at: Moment,
    /// When it is given up if no owner could be asked.
    pub(crate) unsent_until: Moment,
    /// When it is given up.
    pub(crate) until: Moment,
    /// Whether an owner may have carried it out.
    pub(crate) uncertain: bool,
}

impl OpenOp {
    /// Returns when it is given up as things stand.
    pub(crate) fn ends_at(&self) -> Moment {
        if self.uncertain { self.until } else { self.unsent_until.min(self.until) }
    }
}
