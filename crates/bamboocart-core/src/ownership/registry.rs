//! The registry: an owner's table of submissions.

use std::collections::{BTreeMap, HashMap, VecDeque};

use serde::{Deserialize, Serialize};
use slotmap::{SlotMap, new_key_type};
use snafu::Snafu;

use super::Owner;
use super::handover::{CompleteHandover, Draining, HandoverEntry, Right};
use crate::id::{Incarnation, SubmissionId};
use crate::outcome::{Outcome, Refusal};
use crate::time::Timestamp;

/// The maximum number of owners whose rights an instance holds, itself included.
///
/// Beyond it, the right of the predecessor that was adopted first is dropped and the
/// owner of its ids counts as gone.
const MAX_RIGHTS: usize = 64;

new_key_type! {
    /// The key of a submission in the registry of its owner.
    pub struct SubmissionKey;
}

/// A digest of the content of a submission, to detect an id that is reused for other
/// content.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ContentDigest([u8; 16]);

impl ContentDigest {
    /// Computes the digest of the parts of a submission in this order.
    ///
    /// Each part is hashed with its length, so that the boundaries between parts count.
    pub fn of<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut digest = [0; 16];
        hasher.finalize_xof().fill(&mut digest);
        Self(digest)
    }
}

/// The limits of a registry.
#[derive(Debug, Copy, Clone)]
pub struct RegistryLimits {
    /// The maximum number of unfinished submissions; new ones beyond it are refused.
    pub max_open: usize,
    /// The maximum number of entries; the oldest finished ones are evicted beyond it.
    ///
    /// It must exceed `max_open`, so that a refusal can be remembered at any time.
    pub max_entries: usize,
    /// The time for which an answer or refusal is kept.
    pub retention_ms: u64,
    /// How far the time of a key may be ahead of this instance's clock.
    ///
    /// Without this limit, the eviction of the keys of one caller with a fast clock would
    /// raise the watermark past the present for the keys of every caller.
    pub max_key_ahead_ms: u64,
}

impl Default for RegistryLimits {
    fn default() -> Self {
        Self {
            max_open: 75_000,
            max_entries: 100_000,
            retention_ms: 600_000,
            max_key_ahead_ms: 10_000,
        }
    }
}

/// The bounds of an owner's ids outside which an unknown id never runs.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct Watermarks {
    /// The low watermark of tickets: an unknown one with a lower sequence may have been
    /// forgotten and never runs.
    pub tickets_below: u64,
    /// The low watermark of keys: an unknown one with an earlier time may have been
    /// forgotten and never runs.
    pub keys_below_ms: u64,
    /// The number of issued tickets: one with this sequence or a higher one was never
    /// issued. It is `u64::MAX` while the owner still issues tickets.
    pub issued: u64,
}

impl Default for Watermarks {
    fn default() -> Self {
        Self { tickets_below: 0, keys_below_ms: 0, issued: u64::MAX }
    }
}

impl Watermarks {
    /// Reports whether an unknown id must not run: it may have been forgotten, or it was
    /// never issued.
    fn exclude(&self, id: &SubmissionId) -> bool {
        match (id, id.key_time()) {
            (SubmissionId::Ticket(ticket), _) => {
                ticket.sequence < self.tickets_below || ticket.sequence >= self.issued
            }
            (SubmissionId::CallerKey(_), Some(time)) => time.as_ms() < self.keys_below_ms,
            (SubmissionId::CallerKey(_), None) => true,
        }
    }

    /// Raises the watermark past an id whose entry is removed.
    fn raise_past(&mut self, id: &SubmissionId) {
        match (id, id.key_time()) {
            (SubmissionId::Ticket(ticket), _) => {
                self.tickets_below = self.tickets_below.max(ticket.sequence + 1);
            }
            (SubmissionId::CallerKey(_), Some(time)) => {
                self.keys_below_ms = self.keys_below_ms.max(time.as_ms() + 1);
            }
            (SubmissionId::CallerKey(_), None) => {}
        }
    }
}

/// The owners whose submissions an instance may start, with their watermarks.
#[derive(Debug, Clone, Default)]
pub struct Rights {
    watermarks: BTreeMap<Owner, Watermarks>,
    /// The adopted predecessors, in the order of adoption.
    adopted: VecDeque<Owner>,
    /// The latest incarnation of a predecessor whose right was dropped.
    latest_dropped: Option<Incarnation>,
}

impl Rights {
    /// Returns the rights of an instance that may start nothing.
    pub const fn none() -> Self {
        Self {
            watermarks: BTreeMap::new(),
            adopted: VecDeque::new(),
            latest_dropped: None,
        }
    }

    /// Reports whether no submission may be started here.
    pub fn is_empty(&self) -> bool {
        self.watermarks.is_empty()
    }

    /// Reports whether the submissions of an owner may be started here.
    pub fn holds(&self, owner: &Owner) -> bool {
        self.watermarks.contains_key(owner)
    }

    /// Returns the watermarks of an owner, if its right is held here.
    pub fn watermarks(&self, owner: &Owner) -> Option<&Watermarks> {
        self.watermarks.get(owner)
    }

    /// Reports whether an owner may have been adopted before.
    ///
    /// A repeated handover must not restore watermarks from before its first adoption.
    pub(super) fn has_adopted(&self, owner: &Owner) -> bool {
        self.holds(owner) || self.latest_dropped >= Some(owner.incarnation)
    }

    /// Adds the right of a predecessor, and drops the oldest adopted one beyond the
    /// limit.
    fn adopt(&mut self, right: Right) {
        if self.watermarks.len() == MAX_RIGHTS
            && let Some(oldest) = self.adopted.pop_front()
        {
            self.watermarks.remove(&oldest);
            self.latest_dropped = self.latest_dropped.max(Some(oldest.incarnation));
        }
        self.adopted.push_back(right.owner.clone());
        self.watermarks.insert(right.owner, right.watermarks);
    }
}

/// The result of looking up a submission that arrives.
#[derive(Debug)]
pub enum Lookup<'a, S> {
    /// The submission is new: admit or refuse it.
    New(VacantEntry<'a, S>),
    /// The submission is known with the same content: answer from the state of the entry.
    Known(SubmissionKey),
    /// The submission was refused before: repeat the refusal.
    ///
    /// A late copy must not run after its caller got the answer "not run".
    Refused(Refusal),
    /// The id is in use for other content: do not run this content.
    Reused,
    /// The submission may have been known and forgotten: answer "unknown" and never run
    /// it.
    Forgotten,
    /// The time of the key is too far ahead: answer "unknown" and do not run it now.
    ///
    /// The remedy is to correct the caller's clock.
    Early,
    /// This instance does not own the submission: answer "unknown", never run it, and
    /// resolve the id again.
    NotOwned,
    /// The submission is new, but too many are unfinished: refuse it.
    Full(Arrival<'a, S>),
    /// The submission is new, but the instance is draining: refuse it, or drop this
    /// arrival and forward the submission to the successor after the handover.
    ///
    /// Dropping the arrival records nothing.
    Draining(Arrival<'a, S>),
}

/// A submission that is new to the registry and may be admitted.
#[derive(Debug)]
#[must_use]
pub struct VacantEntry<'a, S>(Arrival<'a, S>);

impl<'a, S> VacantEntry<'a, S> {
    /// Admits the submission, which permits its tasks to start.
    pub fn admit(self, state: S) -> SubmissionKey {
        let registry = self.0.registry;
        registry.open += 1;
        registry.insert(Entry {
            id: self.0.id,
            digest: self.0.digest,
            owner: self.0.owner,
            phase: Phase::Open,
            state: Some(state),
        })
    }

    /// Refuses the submission permanently and records the refusal.
    pub fn refuse(self, refusal: Refusal) -> Refusal {
        self.0.refuse(refusal)
    }

    /// Drops the option to admit the submission.
    pub(super) fn into_arrival(self) -> Arrival<'a, S> {
        self.0
    }
}

/// A submission that is new to the registry and cannot be admitted.
#[derive(Debug)]
#[must_use]
pub struct Arrival<'a, S> {
    registry: &'a mut Registry<S>,
    id: SubmissionId,
    digest: ContentDigest,
    owner: Owner,
    now: Timestamp,
}

impl<S> Arrival<'_, S> {
    /// Refuses the submission permanently and records the refusal.
    pub fn refuse(self, refusal: Refusal) -> Refusal {
        let Self { registry, id, digest, owner, now } = self;
        let phase = Phase::Refused(refusal);
        let key = registry.insert(Entry { id, digest, owner, phase, state: None });
        registry.closed.push_back((key, now));
        refusal
    }
}

/// The submissions that an owner has admitted or refused, until they are forgotten.
///
/// `S` is the engine's state of a submission. Whenever an entry is removed, a low
/// watermark of its owner rises past it, so that an id that was known before is never
/// taken for a new one.
#[derive(Debug)]
pub struct Registry<S> {
    me: Owner,
    limits: RegistryLimits,
    rights: Rights,
    entries: SlotMap<SubmissionKey, Entry<S>>,
    index: HashMap<SubmissionId, SubmissionKey>,
    /// The finished entries with the time of their end, oldest first.
    closed: VecDeque<(SubmissionKey, Timestamp)>,
    /// The number of unfinished submissions.
    open: usize,
}

impl<S> Registry<S> {
    /// Creates the empty registry of an incarnation, which holds its own right.
    ///
    /// Panics if `limits.max_open` is not below `limits.max_entries`.
    pub fn new(me: Owner, limits: RegistryLimits) -> Self {
        assert!(
            limits.max_open < limits.max_entries,
            "max_open must be below max_entries, which leaves room for refusals"
        );
        let mut rights = Rights::default();
        rights.watermarks.insert(me.clone(), Watermarks::default());
        Self {
            me,
            limits,
            rights,
            entries: SlotMap::with_key(),
            index: HashMap::new(),
            closed: VecDeque::new(),
            open: 0,
        }
    }

    /// Returns the incarnation that the registry belongs to.
    pub fn me(&self) -> &Owner {
        &self.me
    }

    /// Returns the owners whose submissions may be started here, with their watermarks.
    pub fn rights(&self) -> &Rights {
        &self.rights
    }

    pub(super) fn limits(&self) -> RegistryLimits {
        self.limits
    }

    /// Returns the number of unfinished submissions.
    pub fn open(&self) -> usize {
        self.open
    }

    /// Returns the number of entries, refusals and answers included.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Reports whether the registry holds no entry.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Looks up a submission that arrives under the right of `owner`, as resolved.
    pub fn look_up(
        &mut self,
        id: &SubmissionId,
        owner: &Owner,
        digest: ContentDigest,
        now: Timestamp,
    ) -> Lookup<'_, S> {
        self.expire(now);
        let Some(watermarks) = self.rights.watermarks(owner) else {
            return Lookup::NotOwned;
        };
        if let Some(&key) = self.index.get(id) {
            return self.known_entry(key, digest);
        }
        if watermarks.exclude(id) || self.is_too_old(id, now) {
            return Lookup::Forgotten;
        }
        let latest = now.plus_ms(self.limits.max_key_ahead_ms);
        if id.key_time().is_some_and(|time| time > latest) {
            return Lookup::Early;
        }
        let full = self.open >= self.limits.max_open;
        let (id, owner) = (id.clone(), owner.clone());
        let arrival = Arrival { registry: self, id, digest, owner, now };
        match full {
            true => Lookup::Full(arrival),
            false => Lookup::New(VacantEntry(arrival)),
        }
    }

    /// Returns the key of an admitted submission.
    pub fn find(&self, id: &SubmissionId) -> Option<SubmissionKey> {
        let key = *self.index.get(id)?;
        self.get(key).map(|_| key)
    }

    /// Returns the refusal of a submission that was refused on arrival.
    pub fn refusal(&self, id: &SubmissionId) -> Option<Refusal> {
        match self.entries[*self.index.get(id)?].phase {
            Phase::Refused(refusal) => Some(refusal),
            Phase::Open | Phase::Closed => None,
        }
    }

    /// Returns the id of an admitted or refused submission.
    pub fn id(&self, key: SubmissionKey) -> Option<&SubmissionId> {
        self.entries.get(key).map(|entry| &entry.id)
    }

    /// Returns the engine's state of an admitted submission.
    pub fn get(&self, key: SubmissionKey) -> Option<&S> {
        self.entries.get(key)?.state.as_ref()
    }

    /// Returns the engine's state of an admitted submission for modification.
    pub fn get_mut(&mut self, key: SubmissionKey) -> Option<&mut S> {
        self.entries.get_mut(key)?.state.as_mut()
    }

    /// Marks a submission as answered; its entry is kept for `retention_ms` from now.
    ///
    /// Closing an entry again has no effect.
    pub fn close(&mut self, key: SubmissionKey, now: Timestamp) {
        match self.entries.get_mut(key) {
            Some(entry) if entry.phase == Phase::Open => entry.phase = Phase::Closed,
            _ => return,
        }
        self.open -= 1;
        self.closed.push_back((key, now));
    }

    /// Removes the answers and refusals whose retention time has passed.
    pub fn expire(&mut self, now: Timestamp) {
        while self
            .closed
            .front()
            .is_some_and(|&(_, at)| now.ms_since(at) >= self.limits.retention_ms)
        {
            self.evict_oldest();
        }
    }

    /// Begins a planned stop: admitted submissions continue, and no new ones are
    /// admitted.
    pub fn drain(self) -> Draining<S> {
        Draining::new(self)
    }

    /// Adopts a predecessor's registry and its rights, and returns the number of entries.
    ///
    /// `restore` creates the engine's state from an answer. A handover takes effect only
    /// once, because entries may have been added under its right since.
    pub fn adopt(
        &mut self,
        handover: CompleteHandover,
        now: Timestamp,
        mut restore: impl FnMut(&SubmissionId, Outcome) -> S,
    ) -> Result<usize, AdoptError> {
        if handover.successor != self.me {
            return WrongSuccessorSnafu.fail();
        }
        if self.rights.has_adopted(&handover.from) {
            return AlreadyAdoptedSnafu.fail();
        }
        for right in handover.rights {
            if !self.rights.has_adopted(&right.owner) {
                self.rights.adopt(right);
            }
        }
        let count = handover.entries.len();
        for entry in handover.entries {
            self.restore(entry, now, &mut restore);
        }
        Ok(count)
    }

    /// Creates the registry of an owner whose handover was adopted nowhere.
    pub(super) fn taken_back(
        (me, limits, rights): (Owner, RegistryLimits, Rights),
        entries: impl Iterator<Item = HandoverEntry>,
        now: Timestamp,
        mut restore: impl FnMut(&SubmissionId, Outcome) -> S,
    ) -> Self {
        let mut registry = Self { rights, ..Self::new(me, limits) };
        entries.for_each(|entry| registry.restore(entry, now, &mut restore));
        registry
    }

    /// Inserts an entry that was handed over, unless its id is known.
    fn restore(
        &mut self,
        entry: HandoverEntry,
        now: Timestamp,
        restore: &mut impl FnMut(&SubmissionId, Outcome) -> S,
    ) {
        let HandoverEntry { id, digest, owner, outcome } = entry;
        if self.index.contains_key(&id) {
            return;
        }
        let (phase, state) = match outcome {
            Outcome::Refused(refusal) => (Phase::Refused(refusal), None),
            outcome => (Phase::Closed, Some(restore(&id, outcome))),
        };
        let key = self.insert(Entry { id, digest, owner, phase, state });
        self.closed.push_back((key, now));
    }

    /// Consumes the registry for a handover and returns the owner, the rights and the
    /// entries, oldest finished first.
    pub(super) fn into_handover(
        mut self,
        issued: u64,
        mut outcome: impl FnMut(&SubmissionId, S) -> Outcome,
    ) -> (Owner, Vec<Right>, Vec<HandoverEntry>) {
        if let Some(own) = self.rights.watermarks.get_mut(&self.me) {
            own.issued = issued;
        }
        let closed: Vec<_> = self.closed.drain(..).map(|(key, _)| key).collect();
        let mut entries: Vec<_> =
            closed.into_iter().filter_map(|key| self.entries.remove(key)).collect();
        entries.extend(self.entries.drain().map(|(_, entry)| entry));
        let entries = entries
            .into_iter()
            .filter_map(|Entry { id, digest, owner, phase, state }| {
                let outcome = match (phase, state) {
                    (Phase::Refused(refusal), _) => Outcome::Refused(refusal),
                    (_, state) => outcome(&id, state?),
                };
                Some(HandoverEntry { id, digest, owner, outcome })
            })
            .collect();
        let rights = self
            .rights
            .watermarks
            .into_iter()
            .map(|(owner, watermarks)| Right { owner, watermarks })
            .collect();
        (self.me, rights, entries)
    }

    /// Returns the result of a lookup that found an entry.
    fn known_entry(&self, key: SubmissionKey, digest: ContentDigest) -> Lookup<'_, S> {
        let entry = &self.entries[key];
        match entry.phase {
            _ if entry.digest != digest => Lookup::Reused,
            Phase::Refused(refusal) => Lookup::Refused(refusal),
            Phase::Open | Phase::Closed => Lookup::Known(key),
        }
    }

    /// Reports whether a key is older than the retention time of answers.
    fn is_too_old(&self, id: &SubmissionId, now: Timestamp) -> bool {
        id.key_time().is_some_and(|time| now.ms_since(time) > self.limits.retention_ms)
    }

    /// Inserts an entry, evicting finished ones if the registry is full.
    fn insert(&mut self, entry: Entry<S>) -> SubmissionKey {
        while self.entries.len() >= self.limits.max_entries && !self.closed.is_empty() {
            self.evict_oldest();
        }
        let id = entry.id.clone();
        let key = self.entries.insert(entry);
        self.index.insert(id, key);
        key
    }

    /// Removes the entry that finished first.
    fn evict_oldest(&mut self) {
        let Some((key, _)) = self.closed.pop_front() else {
            return;
        };
        let Some(entry) = self.entries.remove(key) else {
            return;
        };
        self.index.remove(&entry.id);
        if let Some(watermarks) = self.rights.watermarks.get_mut(&entry.owner) {
            watermarks.raise_past(&entry.id);
        }
    }
}

/// The reason why a handover is not adopted.
#[derive(Debug, Clone, Eq, PartialEq, Snafu)]
pub enum AdoptError {
    /// The handover names another successor.
    #[snafu(display("the handover is addressed to another incarnation; drop it"))]
    WrongSuccessor,
    /// The handover was adopted before.
    #[snafu(display("the handover was adopted before; acknowledge it again"))]
    AlreadyAdopted,
}

/// One submission in the registry.
#[derive(Debug)]
struct Entry<S> {
    id: SubmissionId,
    digest: ContentDigest,
    /// The owner under whose right it arrived.
    owner: Owner,
    phase: Phase,
    /// The engine's state, or `None` for a submission that was refused on arrival.
    state: Option<S>,
}

/// The phase of an entry.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
enum Phase {
    /// Admitted and not answered.
    Open,
    /// Answered.
    Closed,
    /// Refused on arrival.
    Refused(Refusal),
}
