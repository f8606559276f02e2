//! The stages of an instance's life and what it owns in each.

use crate::engine::record::{Record, SubmissionKey};
use crate::id::SubmissionId;
use crate::outcome::Refusal;
use crate::ownership::{
    ContentDigest, Draining, HandedOver, Offer, Owner, Registry, Rights,
};
use crate::time::Timestamp;

/// The registry in the stage that it is in.
#[derive(Debug)]
pub enum Tenure {
    /// Submissions are admitted.
    Serving(Registry<Record>),
    /// Admitted submissions are finished, and no new ones are admitted.
    Draining(Draining<Record>),
    /// Everything was handed over to a successor.
    HandedOver(HandedOver),
    /// The step between two stages, never seen outside `drain`.
    Moving,
}

impl Tenure {
    /// Looks at a submission that arrives, or returns `None` after the handover.
    pub fn offer(
        &mut self,
        id: &SubmissionId,
        owner: &Owner,
        digest: ContentDigest,
        now: Timestamp,
    ) -> Option<Offer<'_, Record>> {
        match self {
            Self::Serving(registry) => Some(registry.offer(id, owner, digest, now)),
            Self::Draining(registry) => Some(registry.offer(id, owner, digest, now)),
            Self::HandedOver(_) | Self::Moving => None,
        }
    }

    /// Returns the owners whose submissions are answered here.
    pub fn rights(&self) -> Option<&Rights> {
        match self {
            Self::Serving(registry) => Some(registry.rights()),
            Self::Draining(registry) => Some(registry.rights()),
            Self::HandedOver(_) | Self::Moving => None,
        }
    }

    /// Returns the key of a submission that was admitted.
    pub fn find(&self, id: &SubmissionId) -> Option<SubmissionKey> {
        match self {
            Self::Serving(registry) => registry.find(id),
            Self::Draining(registry) => registry.find(id),
            Self::HandedOver(_) | Self::Moving => None,
        }
    }

    /// Returns the refusal of a submission that was refused on arrival.
    pub fn refusal(&self, id: &SubmissionId) -> Option<Refusal> {
        match self {
            Self::Serving(registry) => registry.refusal(id),
            Self::Draining(registry) => registry.refusal(id),
            Self::HandedOver(_) | Self::Moving => None,
        }
    }

    /// Returns the record of a submission.
    pub fn get(&self, key: SubmissionKey) -> Option<&Record> {
        match self {
            Self::Serving(registry) => registry.get(key),
            Self::Draining(registry) => registry.get(key),
            Self::HandedOver(_) | Self::Moving => None,
        }
    }

    /// Returns the record of a submission for changing it.
    pub fn get_mut(&mut self, key: SubmissionKey) -> Option<&mut Record> {
        match self {
            Self::Serving(registry) => registry.get_mut(key),
            Self::Draining(registry) => registry.get_mut(key),
            Self::HandedOver(_) | Self::Moving => None,
        }
    }

    /// Marks a submission as answered.
    pub fn close(&mut self, key: SubmissionKey, now: Timestamp) {
        match self {
            Self::Serving(registry) => registry.close(key, now),
            Self::Draining(registry) => registry.close(key, now),
            Self::HandedOver(_) | Self::Moving => {}
        }
    }

    /// Returns the number of unfinished submissions.
    pub fn open(&self) -> usize {
        match self {
            Self::Serving(registry) => registry.open(),
            Self::Draining(registry) => registry.open(),
            Self::HandedOver(_) | Self::Moving => 0,
        }
    }

    /// Reports whether submissions are admitted.
    pub fn is_serving(&self) -> bool {
        matches!(self, Self::Serving(_))
    }
}
