//! The one transfer of ownership: a draining owner gives its right to a successor.
//!
//! `Registry` (serving) -> [`Draining`] -> [`HandedOver`]. The last step consumes the
//! registry, which is the only thing that admits submissions and holds their state, so
//! nothing can be started between the snapshot and the exit. It also fixes the
//! successor: an owner that offered its snapshot to two peers could end up with both.
//!
//! The one way back is [`HandedOver::take_back`], for a successor that certainly never
//! gets the right.

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

/// The size of the entries in one part, below the 1 MiB bound of a message so that its
/// other fields fit.
pub const MAX_PART_BYTES: usize = 960 * 1_024;

/// The senders whose parts are collected at the same time.
const SENDERS: usize = 2;

/// The parts of one handover, which bounds the memory of an assembly to 45 MiB a sender.
const PARTS: u32 = 48;

/// The size of the answers in a handover, which leaves half of the parts for ids.
const ANSWER_BYTES: usize = PARTS as usize / 2 * MAX_PART_BYTES;

/// The size up to which an entry is handed over as it is.
const SMALL_BYTES: usize = 256;

/// The right to an owner's submissions, with the marks that go with it.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct Right {
    /// The owner.
    pub owner: Owner,
    /// The ids that may not be taken for new ones.
    pub watermarks: Watermarks,
}

/// A submission of a registry that is handed over.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct HandoverEntry {
    /// The id.
    pub id: SubmissionId,
    /// The digest of the content.
    pub digest: ContentDigest,
    /// The owner under whose right it was offered.
    pub owner: Owner,
    /// The answer.
    pub outcome: Outcome,
}

/// One message of a handover.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct HandoverPart {
    /// The owner that gives up its right.
    pub from: Owner,
    /// The only incarnation that may accept.
    pub successor: Owner,
    /// The position of the part.
    pub index: u32,
    /// The number of parts.
    pub total: u32,
    /// The rights, all in the first part.
    pub rights: Vec<Right>,
    /// The submissions, oldest first.
    pub entries: Vec<HandoverEntry>,
}

/// An owner that finishes what it has and admits nothing new.
#[derive(Debug)]
pub struct Draining<S>(Registry<S>);

impl<S> Draining<S> {
    /// Begins to drain a registry.
    pub(super) fn new(registry: Registry<S>) -> Self {
        Self(registry)
    }

    /// Returns the owners whose submissions are answered here.
    pub fn rights(&self) -> &Rights {
        self.0.rights()
    }

    /// Returns the number of unfinished submissions; hand over when there are none, or
    /// when the time to drain is over.
    pub fn open(&self) -> usize {
        self.0.open()
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Reports whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Looks at a submission that arrives; a new one can only be refused.
    pub fn look_up(
        &mut self,
        id: &SubmissionId,
        owner: &Owner,
        digest: ContentDigest,
        now: Timestamp,
    ) -> Lookup<'_, S> {
        match self.0.look_up(id, owner, digest, now) {
            Lookup::New(vacancy) => Lookup::Draining(vacancy.into_arrival()),
            other => other,
        }
    }

    /// Returns the key of a submission that was admitted.
    pub fn find(&self, id: &SubmissionId) -> Option<SubmissionKey> {
        self.0.find(id)
    }

    /// Returns the refusal of a submission that was refused on arrival.
    pub fn refusal(&self, id: &SubmissionId) -> Option<Refusal> {
        self.0.refusal(id)
    }

    /// Returns the state of a submission.
    pub fn get(&self, key: SubmissionKey) -> Option<&S> {
        self.0.get(key)
    }

    /// Returns the state of a submission for changing it.
    pub fn get_mut(&mut self, key: SubmissionKey) -> Option<&mut S> {
        self.0.get_mut(key)
    }

    /// Marks a submission as answered.
    pub fn close(&mut self, key: SubmissionKey, now: Timestamp) {
        self.0.close(key, now);
    }

    /// Gives up the right to start anything and produces the snapshot.
    ///
    /// `outcome` returns the answer of a submission; for an unfinished one it says what
    /// is true if none of its further tasks is ever started. The issuer is given up as
    /// well: a ticket issued later would be unknown to the successor.
    pub fn hand_over(
        self,
        successor: Owner,
        issuer: &TicketIssuer,
        outcome: impl FnMut(&SubmissionId, S) -> Outcome,
    ) -> HandedOver {
        let (limits, kept) = (self.0.limits(), self.0.rights().clone());
        let (from, rights, entries) = self.0.into_handover(issuer.issued(), outcome);
        let chunks = chunk(entries);
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
        HandedOver { from, successor, limits, rights: kept, parts }
    }
}

/// An owner that has given up its right.
///
/// It answers nothing for its ids itself, and sends the parts until the successor has
/// acknowledged them. If the successor fails first, the ids count as gone.
#[derive(Debug)]
pub struct HandedOver {
    from: Owner,
    successor: Owner,
    limits: RegistryLimits,
    /// The rights that were given up.
    rights: Rights,
    parts: Vec<HandoverPart>,
}

impl HandedOver {
    /// Returns the owner that gave up its right.
    pub fn from(&self) -> &Owner {
        &self.from
    }

    /// Returns the only incarnation that may accept.
    pub fn successor(&self) -> &Owner {
        &self.successor
    }

    /// Returns the parts; sending one again does no harm.
    pub fn parts(&self) -> &[HandoverPart] {
        &self.parts
    }

    /// Returns the rights that were given up.
    pub fn rights(&self) -> &Rights {
        &self.rights
    }

    /// Takes the right back, for handing it over to another successor.
    ///
    /// Only two facts allow it: the successor has declined, or no send of one of the
    /// parts ever left. That it seems to be dead does not, because it may have started
    /// submissions under the right before, and a paused process may do so later.
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

/// A handover of which every part has arrived.
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

    /// Returns the owners whose submissions the successor may start from now on.
    pub fn owners(&self) -> impl Iterator<Item = &Owner> {
        self.rights.iter().map(|right| &right.owner)
    }
}

/// Why a part is dropped.
#[derive(Debug, Clone, Eq, PartialEq, Snafu)]
pub enum AcceptError {
    /// The handover has taken effect before.
    #[snafu(display("the handover has taken effect before; acknowledge it again"))]
    AlreadyAdopted,
    /// The part names another successor.
    #[snafu(display("the part is meant for another incarnation; drop it"))]
    WrongSuccessor,
    /// The position or the number of parts is out of bounds or differs between parts,
    /// or the first part lacks the sender's own right.
    #[snafu(display("the part does not fit the others of its handover; drop it"))]
    Inconsistent,
    /// Too many handovers are under way.
    #[snafu(display("too many handovers are under way; send the parts again later"))]
    Busy,
}

/// Collects the parts of handovers to this incarnation.
#[derive(Debug)]
pub struct HandoverAssembly {
    me: Owner,
    senders: BTreeMap<Owner, Vec<Option<HandoverPart>>>,
}

impl HandoverAssembly {
    /// Creates the assembly of an incarnation.
    pub fn new(me: Owner) -> Self {
        Self { me, senders: BTreeMap::new() }
    }

    /// Adds a part and returns the handover when it is complete.
    ///
    /// Nothing of an incomplete handover is usable: the missing part may hold an id that
    /// was started. `rights` are those of the own registry.
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
        if part.index >= part.total || part.total > PARTS || lacks_right {
            return InconsistentSnafu.fail();
        }
        if !self.senders.contains_key(&part.from) && self.senders.len() == SENDERS {
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

    /// Drops the parts of a sender that will send no more.
    pub fn forget(&mut self, from: &Owner) {
        self.senders.remove(from);
    }

    /// Joins the parts of a handover.
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

/// Divides entries into parts of at most [`MAX_PART_BYTES`], at least one.
///
/// The oldest answers beyond [`ANSWER_BYTES`] and answers larger than a part are handed
/// over as forgotten, so that their ids stay known as ones that may have run.
fn chunk(mut entries: Vec<HandoverEntry>) -> Vec<Vec<HandoverEntry>> {
    let mut left = ANSWER_BYTES;
    for entry in entries.iter_mut().rev() {
        let size = encoded_len(entry);
        if size > SMALL_BYTES && (size > left || size > MAX_PART_BYTES) {
            entry.outcome = Outcome::Unknown(UnknownCode::Forgotten);
        }
        left = left.saturating_sub(encoded_len(entry));
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

/// Returns the size of an entry in a message.
fn encoded_len(entry: &HandoverEntry) -> usize {
    let mut writer = bincode::enc::write::SizeWriter::default();
    let config = bincode::config::standard();
    match bincode::serde::encode_into_writer(entry, &mut writer, config) {
        Ok(()) => writer.bytes_written,
        Err(_) => MAX_PART_BYTES,
    }
}
