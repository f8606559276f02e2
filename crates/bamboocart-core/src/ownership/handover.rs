//! Handover: a draining owner transfers its right to a successor.
//!
//! This is the only transfer of ownership. The states are `Registry` (serving) ->
//! [`Draining`] -> [`HandedOver`]. The last transition consumes the registry, which is
//! the only thing that admits submissions and holds their state, so nothing can be
//! started between the snapshot and the exit. It also fixes the successor: if an owner
//! offered its snapshot to two peers, both could accept it.
//!
//! The only way back is [`HandedOver::take_back`], for a successor that is certain never
//! to get the right.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::registry::{
    ContentDigest, Lookup, Registry, RegistryLimits, Rights, SubmissionKey, Watermarks,
};
use super::{Owner, TicketIssuer};
use crate::id::SubmissionId;
use crate::outcome::{Outcome, Refusal, UnknownCode};
use crate::time::Timestamp;

/// The maximum size of the entries in one part.
///
/// It is below the 1 MiB limit of a message so that the other fields fit.
pub const MAX_PART_BYTES: usize = 960 * 1_024;

/// The maximum number of senders whose parts are collected concurrently.
const MAX_SENDERS: usize = 2;

/// The maximum number of parts in a handover, which bounds the memory of an assembly to
/// 45 MiB per sender.
const MAX_PARTS: u32 = 48;

/// The maximum size of the answers in a handover, which leaves half of the parts for ids.
const MAX_ANSWER_BYTES: usize = MAX_PARTS as usize / 2 * MAX_PART_BYTES;

/// The size up to which an entry is handed over with its answer in any case.
const SMALL_ENTRY_BYTES: usize = 256;

/// The right to start an owner's submissions, with the watermarks of its ids.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct Right {
    /// The owner whose submissions the right covers.
    pub owner: Owner,
    /// The bounds outside which an unknown id must not be taken for a new one.
    pub watermarks: Watermarks,
}

/// A submission in a registry that is handed over.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct HandoverEntry {
    /// The id of the submission.
    pub id: SubmissionId,
    /// The digest of its content, to detect an id that is reused.
    pub digest: ContentDigest,
    /// The owner under whose right it was admitted or refused.
    pub owner: Owner,
    /// The answer for its caller.
    pub outcome: Outcome,
}

/// One part of a handover, which is sent as one message.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct HandoverPart {
    /// The owner that gives up its right.
    pub from: Owner,
    /// The only incarnation that may accept the handover.
    pub successor: Owner,
    /// The position of this part, from 0.
    pub index: u32,
    /// The number of parts in the handover.
    pub total: u32,
    /// The rights that are given up; the first part has all of them.
    pub rights: Vec<Right>,
    /// The submissions in this part, oldest first.
    pub entries: Vec<HandoverEntry>,
}

/// An owner that finishes its admitted submissions and admits no new ones.
#[derive(Debug)]
pub struct Draining<S>(Registry<S>);

impl<S> Draining<S> {
    pub(super) fn new(registry: Registry<S>) -> Self {
        Self(registry)
    }

    /// Returns the owners whose submissions are answered here, with their watermarks.
    pub fn rights(&self) -> &Rights {
        self.0.rights()
    }

    /// Returns the number of unfinished submissions.
    ///
    /// Hand over when it is 0 or when the time to drain has passed.
    pub fn open(&self) -> usize {
        self.0.open()
    }

    /// Returns the number of entries, refusals and answers included.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Reports whether the registry holds no entry.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Looks up a submission that arrives; a new one can only be refused.
    pub fn look_up(
        &mut self,
        id: &SubmissionId,
        owner: &Owner,
        digest: ContentDigest,
        now: Timestamp,
    ) -> Lookup<'_, S> {
        match self.0.look_up(id, owner, digest, now) {
            Lookup::New(vacant) => Lookup::Draining(vacant.into_arrival()),
            other => other,
        }
    }

    /// Returns the key of an admitted submission.
    pub fn find(&self, id: &SubmissionId) -> Option<SubmissionKey> {
        self.0.find(id)
    }

    /// Returns the refusal of a submission that was refused on arrival.
    pub fn refusal(&self, id: &SubmissionId) -> Option<Refusal> {
        self.0.refusal(id)
    }

    /// Returns the engine's state of an admitted submission.
    pub fn get(&self, key: SubmissionKey) -> Option<&S> {
        self.0.get(key)
    }

    /// Returns the engine's state of an admitted submission for modification.
    pub fn get_mut(&mut self, key: SubmissionKey) -> Option<&mut S> {
        self.0.get_mut(key)
    }

    /// Marks a submission as answered; repeating it has no effect.
    pub fn close(&mut self, key: SubmissionKey, now: Timestamp) {
        self.0.close(key, now);
    }

    /// Gives up the right to start anything and creates the snapshot for the successor.
    ///
    /// `outcome` returns the answer of a submission; for an unfinished one, it is the
    /// answer that is true if no further task of it is ever started. Issue no ticket
    /// afterwards: the successor would not know it.
    pub fn hand_over(
        self,
        successor: Owner,
        issuer: &TicketIssuer,
        outcome: impl FnMut(&SubmissionId, S) -> Outcome,
    ) -> HandedOver {
        let (limits, kept_rights) = (self.0.limits(), self.0.rights().clone());
        let (from, rights, entries) = self.0.into_handover(issuer.issued(), outcome);
        let chunks = split_into_parts(entries);
        let total = chunks.len() as u32;
        let mut rights = Some(rights);
        let parts = (0..total)
            .zip(chunks)
            .map(|(index, entries)| HandoverPart {
                from: from.clone(),
                successor: successor.clone(),
                index,
                total,
                rights: rights.take().unwrap_or_default(),
                entries,
            })
            .collect();
        HandedOver { from, successor, limits, rights: kept_rights, parts }
    }
}

/// An owner that has given up its right.
///
/// It no longer answers for its ids, and sends the parts until the successor acknowledges
/// the handover. If the successor fails before that, the owner of the ids counts as gone.
#[derive(Debug)]
pub struct HandedOver {
    from: Owner,
    successor: Owner,
    limits: RegistryLimits,
    rights: Rights,
    parts: Vec<HandoverPart>,
}

impl HandedOver {
    /// Returns the owner that gave up its right.
    pub fn from(&self) -> &Owner {
        &self.from
    }

    /// Returns the only incarnation that may accept the handover.
    pub fn successor(&self) -> &Owner {
        &self.successor
    }

    /// Returns the parts to send; the receiver tolerates duplicates.
    pub fn parts(&self) -> &[HandoverPart] {
        &self.parts
    }

    /// Returns the rights that were given up.
    pub fn rights(&self) -> &Rights {
        &self.rights
    }

    /// Takes the right back in order to hand it over to another successor.
    ///
    /// Only two facts permit this: the successor has declined, or no send of one of the
    /// parts ever left this instance. It is not sufficient that the successor appears to
    /// be dead, because it may have started submissions under the right before, and a
    /// paused process may do so later.
    pub fn take_back<S>(
        self,
        now: Timestamp,
        restore: impl FnMut(&SubmissionId, Outcome) -> S,
    ) -> Draining<S> {
        let entries = self.parts.into_iter().flat_map(|part| part.entries);
        let owner = (self.from, self.limits, self.rights);
        Draining(Registry::taken_back(owner, entries, now, restore))
    }
}

/// A handover whose parts have all arrived.
#[derive(Debug)]
pub struct CompleteHandover {
    pub(super) from: Owner,
    pub(super) successor: Owner,
    pub(super) rights: Vec<Right>,
    pub(super) entries: Vec<HandoverEntry>,
}

impl CompleteHandover {
    /// Returns the owner that gave up its right.
    pub fn from(&self) -> &Owner {
        &self.from
    }

    /// Returns the owners whose submissions the successor may start once it has adopted
    /// the handover.
    pub fn owners(&self) -> impl Iterator<Item = &Owner> {
        self.rights.iter().map(|right| &right.owner)
    }
}

/// The reason why a part of a handover is rejected.
#[derive(Debug, Clone, Eq, PartialEq, Snafu)]
pub enum AcceptError {
    /// The handover was adopted before.
    #[snafu(display("the handover was adopted before; acknowledge it again"))]
    AlreadyAdopted,
    /// The part names another successor.
    #[snafu(display("the part is addressed to another incarnation; drop it"))]
    WrongSuccessor,
    /// The position or the number of parts is out of bounds or differs between parts, or
    /// the first part lacks the sender's own right.
    #[snafu(display("the part is inconsistent with its handover; drop it"))]
    Inconsistent,
    /// Parts of the maximum number of other handovers are being collected.
    #[snafu(display("too many handovers are in progress; send the parts again later"))]
    Busy,
}

/// Collects the parts of handovers to this incarnation.
#[derive(Debug)]
pub struct HandoverAssembly {
    me: Owner,
    senders: BTreeMap<Owner, Vec<Option<HandoverPart>>>,
}

impl HandoverAssembly {
    /// Creates an empty assembly for handovers to this incarnation.
    pub fn new(me: Owner) -> Self {
        Self { me, senders: BTreeMap::new() }
    }

    /// Adds a part and returns the handover if it is complete.
    ///
    /// An incomplete handover is unusable: a missing part may contain an id that was
    /// started. `rights` are those of this incarnation's registry.
    pub fn accept(
        &mut self,
        part: HandoverPart,
        rights: &Rights,
    ) -> Result<Option<CompleteHandover>, AcceptError> {
        if part.successor != self.me {
            return WrongSuccessorSnafu.fail();
        }
        if rights.has_adopted(&part.from) {
            return AlreadyAdoptedSnafu.fail();
        }
        let names_sender = part.rights.iter().any(|right| right.owner == part.from);
        let lacks_right = part.index == 0 && !names_sender;
        if part.index >= part.total || part.total > MAX_PARTS || lacks_right {
            return InconsistentSnafu.fail();
        }
        if !self.senders.contains_key(&part.from) && self.senders.len() == MAX_SENDERS {
            return BusySnafu.fail();
        }
        let from = part.from.clone();
        let slots = self
            .senders
            .entry(from.clone())
            .or_insert_with(|| vec![None; part.total as usize]);
        if slots.len() != part.total as usize {
            return InconsistentSnafu.fail();
        }
        let index = part.index as usize;
        slots[index] = Some(part);
        if slots.iter().any(Option::is_none) {
            return Ok(None);
        }
        let parts = self.senders.remove(&from).unwrap_or_default();
        Ok(Some(self.complete(from, parts)))
    }

    /// Discards the collected parts of a sender that will send no more.
    pub fn forget(&mut self, from: &Owner) {
        self.senders.remove(from);
    }

    fn complete(
        &self,
        from: Owner,
        parts: Vec<Option<HandoverPart>>,
    ) -> CompleteHandover {
        let mut rights = vec![];
        let mut entries = vec![];
        for part in parts.into_iter().flatten() {
            rights.extend(part.rights);
            entries.extend(part.entries);
        }
        CompleteHandover { from, successor: self.me.clone(), rights, entries }
    }
}

/// Splits entries into parts of at most [`MAX_PART_BYTES`] each; there is at least one
/// part.
///
/// The oldest answers beyond [`MAX_ANSWER_BYTES`] and answers larger than a part are
/// replaced by "forgotten", so that their ids stay known as ids that may have run.
fn split_into_parts(mut entries: Vec<HandoverEntry>) -> Vec<Vec<HandoverEntry>> {
    let mut left_bytes = MAX_ANSWER_BYTES;
    for entry in entries.iter_mut().rev() {
        let size = encoded_len(entry);
        if size > SMALL_ENTRY_BYTES && (size > left_bytes || size > MAX_PART_BYTES) {
            entry.outcome = Outcome::Unknown(UnknownCode::Forgotten);
        }
        left_bytes = left_bytes.saturating_sub(encoded_len(entry));
    }
    let mut chunks = vec![];
    let mut chunk = vec![];
    let mut bytes = 0;
    for entry in entries {
        let size = encoded_len(&entry);
        if bytes + size > MAX_PART_BYTES {
            chunks.push(std::mem::take(&mut chunk));
            bytes = 0;
        }
        bytes += size;
        chunk.push(entry);
    }
    chunks.push(chunk);
    chunks
}

/// Returns the size of an entry in a message, or the size of a part if it cannot be
/// encoded.
fn encoded_len(entry: &HandoverEntry) -> usize {
    let mut writer = bincode::enc::write::SizeWriter::default();
    let config = bincode::config::standard();
    match bincode::serde::encode_into_writer(entry, &mut writer, config) {
        Ok(()) => writer.bytes_written,
        Err(_) => MAX_PART_BYTES,
    }
}
