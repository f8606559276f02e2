//! The owner's table of submissions.

use std::collections::{BTreeMap, HashMap, VecDeque};

use serde::{Deserialize, Serialize};
use slotmap::{SlotMap, new_key_type};
use snafu::Snafu;

use super::Owner;
use super::handover::{CompleteHandover, Draining, HandoverEntry, Right};
use crate::id::{Incarnation, SubmissionId};
use crate::outcome::{Outcome, Refusal};
use crate::time::Timestamp;

/// The owners that an instance can stand in for, itself included.
///
/// Beyond it, the predecessor that was adopted first is given up and its ids count as
/// gone.
const RIGHTS: usize = 64;

new_key_type! {
    /// The key of a submission in the registry of its owner.
    pub struct SubmissionKey;
}

/// A digest of what a submission asks for, to detect an id that is used twice.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ContentDigest([u8; 16]);

impl ContentDigest {
    /// Computes the digest of the parts of a submission, in this order.
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

/// The bounds of a registry.
#[derive(Debug, Copy, Clone)]
pub struct RegistryLimits {
    /// The unfinished submissions; new ones beyond it are refused.
    pub max_open: usize,
    /// All entries; the oldest finished ones are evicted beyond it. It must be larger
    /// than `open`, so that refusals can be remembered at any time.
    pub max_entries: usize,
    /// The time that an answer is kept.
    pub retention_ms: u64,
    /// How far the time of a key may be ahead of the own clock.
    ///
    /// Without this bound, one caller with a fast clock would raise the low-water time
    /// past the present when its keys are evicted, for the keys of every caller.
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

/// The ids of one owner below which the registry has forgotten entries.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct Watermarks {
    /// Tickets with a lower sequence run only if they are in the registry.
    pub tickets_below: u64,
    /// Keys with an earlier time run only if they are in the registry.
    pub keys_below_ms: u64,
    /// Tickets from this sequence on were never issued.
    pub issued: u64,
}

impl Default for Watermarks {
    fn default() -> Self {
        Self { tickets_below: 0, keys_below_ms: 0, issued: u64::MAX }
    }
}

impl Watermarks {
    /// Reports whether the registry may have forgotten the id.
    fn exclude(&self, id: &SubmissionId) -> bool {
        match (id, id.key_time()) {
            (SubmissionId::Ticket(ticket), _) => {
                ticket.sequence < self.tickets_below || ticket.sequence >= self.issued
            }
            (SubmissionId::CallerKey(_), Some(time)) => time.as_ms() < self.keys_below_ms,
            (SubmissionId::CallerKey(_), None) => true,
        }
    }

    /// Raises the mark past an id that is removed.
    fn forget(&mut self, id: &SubmissionId) {
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

/// The owners whose submissions an instance may start, with their marks.
#[derive(Debug, Clone, Default)]
pub struct Rights {
    watermarks: BTreeMap<Owner, Watermarks>,
    /// The predecessors, in the order of their adoption.
    adopted: VecDeque<Owner>,
    /// The latest incarnation that was given up.
    given_up: Option<Incarnation>,
}

impl Rights {
    /// Returns the rights of an instance that owns nothing.
    pub const fn none() -> Self {
        Self { watermarks: BTreeMap::new(), adopted: VecDeque::new(), given_up: None }
    }

    /// Reports whether nothing may be started here any more.
    pub fn is_empty(&self) -> bool {
        self.watermarks.is_empty()
    }

    /// Reports whether the submissions of an owner may be started here.
    pub fn holds(&self, owner: &Owner) -> bool {
        self.watermarks.contains_key(owner)
    }

    /// Returns the marks of an owner.
    pub fn watermarks(&self, owner: &Owner) -> Option<&Watermarks> {
        self.watermarks.get(owner)
    }

    /// Reports whether an owner may have been adopted before.
    ///
    /// A repeated handover must not bring back marks from before its first adoption.
    pub(super) fn has_adopted(&self, owner: &Owner) -> bool {
        self.holds(owner) || self.given_up >= Some(owner.incarnation)
    }

    /// Adds the right of a predecessor.
    fn adopt(&mut self, right: Right) {
        if self.watermarks.len() == RIGHTS
            && let Some(oldest) = self.adopted.pop_front()
        {
            self.watermarks.remove(&oldest);
            self.given_up = self.given_up.max(Some(oldest.incarnation));
        }
        self.adopted.push_back(right.owner.clone());
        self.watermarks.insert(right.owner, right.watermarks);
    }
}

/// What the registry says about a submission that arrives.
#[derive(Debug)]
pub enum Lookup<'a, S> {
    /// It is new: admit or refuse it.
    New(VacantEntry<'a, S>),
    /// It is known with the same content: give the state or the answer of the entry.
    Known(SubmissionKey),
    /// It was refused before, and the refusal stands. A late copy must not run after
    /// its caller was told "not run".
    Refused(Refusal),
    /// The id is in use for other content: this content is not run.
    Reused,
    /// It may have been known once: "unknown", never run.
    Forgotten,
    /// The time of the key is too far ahead: "unknown", not run now. The remedy is to
    /// correct the caller's clock.
    Early,
    /// This instance does not own it: "unknown", never run. Resolve the id again.
    NotOwned,
    /// It is new, and too many submissions are unfinished: refuse it.
    Full(Arrival<'a, S>),
    /// It is new, and the instance is draining: refuse it, or drop this arrival, which
    /// records nothing, and forward the submission to the successor after the handover.
    Draining(Arrival<'a, S>),
}

/// A submission that is new to the registry and may be admitted.
#[derive(Debug)]
#[must_use]
pub struct VacantEntry<'a, S>(Arrival<'a, S>);

impl<'a, S> VacantEntry<'a, S> {
    /// Admits the submission; only then may its tasks start.
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

    /// Refuses the submission for good and remembers that.
    pub fn refuse(self, refusal: Refusal) -> Refusal {
        self.0.refuse(refusal)
    }

    /// Gives up the possibility to admit.
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
    /// Refuses the submission for good and remembers that.
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
/// `S` is what the engine keeps for a submission. Whenever an entry is removed, a
/// low-water mark of its owner rises past it, so that an id that was known once is never
/// taken for a new one.
#[derive(Debug)]
pub struct Registry<S> {
    me: Owner,
    limits: RegistryLimits,
    rights: Rights,
    entries: SlotMap<SubmissionKey, Entry<S>>,
    index: HashMap<SubmissionId, SubmissionKey>,
    /// The finished entries and their end, oldest first.
    closed: VecDeque<(SubmissionKey, Timestamp)>,
    open: usize,
}

impl<S> Registry<S> {
    /// Creates the registry of an incarnation that has started nothing yet.
    pub fn new(me: Owner, limits: RegistryLimits) -> Self {
        assert!(
            limits.max_open < limits.max_entries,
            "a registry needs room for refusals"
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

    /// Returns the owners whose submissions may be started here.
    pub fn rights(&self) -> &Rights {
        &self.rights
    }

    /// Returns the bounds.
    pub(super) fn limits(&self) -> RegistryLimits {
        self.limits
    }

    /// Returns the number of unfinished submissions.
    pub fn open(&self) -> usize {
        self.open
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Reports whether the registry holds no entry.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Looks at a submission that arrives under the right of `owner`, as resolved.
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
            return self.known(key, digest);
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

    /// Returns the key of a submission that was admitted.
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

    /// Returns the id of an entry.
    pub fn id(&self, key: SubmissionKey) -> Option<&SubmissionId> {
        self.entries.get(key).map(|entry| &entry.id)
    }

    /// Returns the state of a submission.
    pub fn get(&self, key: SubmissionKey) -> Option<&S> {
        self.entries.get(key)?.state.as_ref()
    }

    /// Returns the state of a submission for changing it.
    pub fn get_mut(&mut self, key: SubmissionKey) -> Option<&mut S> {
        self.entries.get_mut(key)?.state.as_mut()
    }

    /// Marks a submission as answered; its entry is kept for `retention_ms` from now.
    ///
    /// Closing an entry again changes nothing.
    pub fn close(&mut self, key: SubmissionKey, now: Timestamp) {
        match self.entries.get_mut(key) {
            Some(entry) if entry.phase == Phase::Open => entry.phase = Phase::Closed,
            _ => return,
        }
        self.open -= 1;
        self.closed.push_back((key, now));
    }

    /// Removes the answers whose time is over.
    pub fn expire(&mut self, now: Timestamp) {
        while self
            .closed
            .front()
            .is_some_and(|&(_, at)| now.ms_since(at) >= self.limits.retention_ms)
        {
            self.evict_oldest();
        }
    }

    /// Begins a planned stop: what is admitted goes on, and nothing new is admitted.
    pub fn drain(self) -> Draining<S> {
        Draining::new(self)
    }

    /// Takes over a predecessor's registry and its right to start.
    ///
    /// `restore` makes the engine's state from an answer. The same handover has an
    /// effect only once, because entries may have been added under its right since.
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

    /// Creates the registry of an owner whose handover had no effect anywhere.
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

    /// Inserts an entry that was handed over.
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

    /// Gives up the registry for a handover: the rights and the entries, oldest first.
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

    /// Returns what an entry means for a submission with its id.
    fn known(&self, key: SubmissionKey, digest: ContentDigest) -> Lookup<'_, S> {
        let entry = &self.entries[key];
        match entry.phase {
            _ if entry.digest != digest => Lookup::Reused,
            Phase::Refused(refusal) => Lookup::Refused(refusal),
            Phase::Open | Phase::Closed => Lookup::Known(key),
        }
    }

    /// Reports whether a key is older than answers are kept.
    fn is_too_old(&self, id: &SubmissionId, now: Timestamp) -> bool {
        id.key_time().is_some_and(|time| now.ms_since(time) > self.limits.retention_ms)
    }

    /// Inserts an entry, after making room for it.
    fn insert(&mut self, entry: Entry<S>) -> SubmissionKey {
        while self.entries.len() >= self.limits.max_entries && !self.closed.is_empty() {
            self.evict_oldest();
        }
        let id = entry.id.clone();
        let key = self.entries.insert(entry);
        self.index.insert(id, key);
        key
    }

    /// Removes the entry that has been finished for the longest time.
    fn evict_oldest(&mut self) {
        let Some((key, _)) = self.closed.pop_front() else {
            return;
        };
        let Some(entry) = self.entries.remove(key) else {
            return;
        };
        self.index.remove(&entry.id);
        if let Some(watermarks) = self.rights.watermarks.get_mut(&entry.owner) {
            watermarks.forget(&entry.id);
        }
    }
}

/// Why a handover has no effect.
#[derive(Debug, Clone, Eq, PartialEq, Snafu)]
pub enum AdoptError {
    /// The handover names another successor.
    #[snafu(display("the handover is meant for another incarnation; drop it"))]
    WrongSuccessor,
    /// The handover has taken effect before.
    #[snafu(display("the handover has taken effect before; acknowledge it again"))]
    AlreadyAdopted,
}

/// One submission of the registry.
#[derive(Debug)]
struct Entry<S> {
    id: SubmissionId,
    digest: ContentDigest,
    /// The owner under whose right it was offered.
    owner: Owner,
    phase: Phase,
    /// The engine's state; none for a submission that was refused on arrival.
    state: Option<S>,
}

/// How far an entry has come.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
enum Phase {
    /// Admitted and not answered.
    Open,
    /// Answered.
    Closed,
    /// Refused on arrival.
    Refused(Refusal),
}
