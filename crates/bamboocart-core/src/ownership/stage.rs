//! The life cycle of an owner as one type, for a holder that cannot change its type.

use super::handover::{Draining, HandedOver};
use super::registry::{ContentDigest, Lookup, Registry, Rights, SubmissionKey};
use super::{Owner, TicketIssuer};
use crate::id::SubmissionId;
use crate::outcome::{Outcome, Refusal};
use crate::time::Timestamp;

/// The rights of an owner that has handed over or stopped.
static NO_RIGHTS: Rights = Rights::none();

/// The stage of an owner in its life cycle, from its start to a planned stop.
///
/// Each transition consumes the previous stage; one that does not apply to the stage has
/// no effect.
#[derive(Debug, Default)]
pub enum Stage<S> {
    /// The owner admits submissions.
    Serving(Registry<S>),
    /// The owner finishes its admitted submissions and admits no new ones.
    Draining(Draining<S>),
    /// The owner has given up its right and sends the snapshot to its successor.
    HandedOver(HandedOver),
    /// The successor has the snapshot, or there was no successor.
    #[default]
    Stopped,
}

impl<S> Stage<S> {
    /// Begins a planned stop, see [`Registry::drain`].
    pub fn drain(self) -> Self {
        match self {
            Self::Serving(registry) => Self::Draining(registry.drain()),
            other => other,
        }
    }

    /// Gives up the right to start anything, see [`Draining::hand_over`].
    pub fn hand_over(
        self,
        successor: Owner,
        issuer: &TicketIssuer,
        outcome: impl FnMut(&SubmissionId, S) -> Outcome,
    ) -> Self {
        match self {
            Self::Draining(draining) => {
                Self::HandedOver(draining.hand_over(successor, issuer, outcome))
            }
            other => other,
        }
    }

    /// Takes the right back from a successor that never got it, see
    /// [`HandedOver::take_back`].
    pub fn take_back(
        self,
        now: Timestamp,
        restore: impl FnMut(&SubmissionId, Outcome) -> S,
    ) -> Self {
        match self {
            Self::HandedOver(handed_over) => {
                Self::Draining(handed_over.take_back(now, restore))
            }
            other => other,
        }
    }

    /// Reports whether the right of an owner may have been adopted here at any time.
    ///
    /// A stopping owner declines a handover only if it has not adopted it before, even if
    /// it has handed the right on since.
    pub fn has_adopted(&self, owner: &Owner) -> bool {
        match self {
            Self::HandedOver(handed_over) => handed_over.rights().has_adopted(owner),
            other => other.rights().has_adopted(owner),
        }
    }

    /// Ends a planned stop and drops the registry.
    pub fn stop(self) -> Self {
        match self {
            Self::HandedOver(_) | Self::Draining(_) => Self::Stopped,
            other => other,
        }
    }

    /// Returns the owners whose submissions are answered here, with their watermarks.
    pub fn rights(&self) -> &Rights {
        match self {
            Self::Serving(registry) => registry.rights(),
            Self::Draining(draining) => draining.rights(),
            Self::HandedOver(_) | Self::Stopped => &NO_RIGHTS,
        }
    }

    /// Returns the number of unfinished submissions, 0 after the handover.
    pub fn open(&self) -> usize {
        match self {
            Self::Serving(registry) => registry.open(),
            Self::Draining(draining) => draining.open(),
            Self::HandedOver(_) | Self::Stopped => 0,
        }
    }

    /// Returns the number of entries, refusals and answers included.
    pub fn len(&self) -> usize {
        match self {
            Self::Serving(registry) => registry.len(),
            Self::Draining(draining) => draining.len(),
            Self::HandedOver(_) | Self::Stopped => 0,
        }
    }

    /// Reports whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Looks up a submission that arrives under the right of `owner`, as resolved.
    pub fn look_up(
        &mut self,
        id: &SubmissionId,
        owner: &Owner,
        digest: ContentDigest,
        now: Timestamp,
    ) -> Lookup<'_, S> {
        match self {
            Self::Serving(registry) => registry.look_up(id, owner, digest, now),
            Self::Draining(draining) => draining.look_up(id, owner, digest, now),
            Self::HandedOver(_) | Self::Stopped => Lookup::NotOwned,
        }
    }

    /// Returns the key of an admitted submission.
    pub fn find(&self, id: &SubmissionId) -> Option<SubmissionKey> {
        match self {
            Self::Serving(registry) => registry.find(id),
            Self::Draining(draining) => draining.find(id),
            Self::HandedOver(_) | Self::Stopped => None,
        }
    }

    /// Returns the refusal of a submission that was refused on arrival.
    pub fn refusal(&self, id: &SubmissionId) -> Option<Refusal> {
        match self {
            Self::Serving(registry) => registry.refusal(id),
            Self::Draining(draining) => draining.refusal(id),
            Self::HandedOver(_) | Self::Stopped => None,
        }
    }

    /// Reports whether new submissions may be admitted.
    pub fn is_serving(&self) -> bool {
        matches!(self, Self::Serving(_))
    }

    /// Returns the engine's state of an admitted submission.
    pub fn get(&self, key: SubmissionKey) -> Option<&S> {
        match self {
            Self::Serving(registry) => registry.get(key),
            Self::Draining(draining) => draining.get(key),
            Self::HandedOver(_) | Self::Stopped => None,
        }
    }

    /// Returns the engine's state of an admitted submission for modification.
    pub fn get_mut(&mut self, key: SubmissionKey) -> Option<&mut S> {
        match self {
            Self::Serving(registry) => registry.get_mut(key),
            Self::Draining(draining) => draining.get_mut(key),
            Self::HandedOver(_) | Self::Stopped => None,
        }
    }

    /// Marks a submission as answered; repeating it has no effect.
    pub fn close(&mut self, key: SubmissionKey, now: Timestamp) {
        match self {
            Self::Serving(registry) => registry.close(key, now),
            Self::Draining(draining) => draining.close(key, now),
            Self::HandedOver(_) | Self::Stopped => {}
        }
    }
}
