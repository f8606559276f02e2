//! Claims on ranges of caller keys, folded from the log stream `claims`.

use std::collections::VecDeque;
use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};
use snafu::Snafu;
use uuid::Uuid;

use super::Owner;
use crate::id::{Incarnation, InstanceName};
use crate::time::Timestamp;

/// The number of ranges into which keys are divided by their hash.
pub const RANGE_COUNT: usize = 64;

/// How far a claim may reach back when the time before it is unclaimed.
///
/// It covers keys that callers generated shortly before the claim.
pub const BACKDATE_MS: u64 = 60_000;

/// How far a claim may reach beyond the time of its append by the log's clock.
///
/// The bound lets a reader of a trimmed log compute the latest time that an expired claim
/// can have covered. It exceeds the longest horizon of a claimer to allow for clock skew
/// between instances and the log.
pub const MAX_CLAIM_AHEAD_MS: u64 = 300_000;

/// How far the log's clock may step back without a reader of a trimmed log computing a
/// wrong bound.
pub const LOG_CLOCK_SLACK_MS: u64 = 30_000;

/// The maximum number of intervals kept per range; keys of older ones count as past.
const MAX_INTERVALS: usize = 256;

/// A claim of one incarnation on the keys of some ranges and of an interval of time.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// The claimed ranges; empty in a claim that only gives readers a dated record.
    pub ranges: RangeSet,
    /// The name of the claiming instance.
    pub instance: InstanceName,
    /// The claiming run of the instance.
    pub incarnation: Incarnation,
    /// The start of the claimed interval, inclusive.
    pub from_ms: u64,
    /// The end of the claimed interval, exclusive.
    pub until_ms: u64,
}

impl Claim {
    /// Returns the claiming incarnation as an owner.
    pub fn owner(&self) -> Owner {
        Owner::new(self.instance.clone(), self.incarnation)
    }

    /// Returns the claim as the JSON body of a log record.
    pub fn to_body(&self) -> String {
        serde_json::to_string(self).expect("a claim has only plain fields")
    }
}

/// A record read from the log stream `claims`.
#[derive(Debug, Copy, Clone)]
pub struct ClaimRecord<'a> {
    /// The offset in the stream.
    pub offset: u64,
    /// The time of the append by the log's clock.
    pub at_ms: u64,
    /// The body, a [`Claim`] as JSON if it is valid.
    pub body: &'a str,
}

/// One of the [`RANGE_COUNT`] ranges into which keys are divided by their hash.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Ord, PartialOrd, Hash)]
pub struct KeyRange(u8);

impl KeyRange {
    /// Returns the range that a key belongs to.
    pub fn of(key: &Uuid) -> Self {
        Self(blake3::hash(key.as_bytes()).as_bytes()[0] % RANGE_COUNT as u8)
    }

    /// Returns the range of a number, taken modulo [`RANGE_COUNT`].
    pub const fn new(number: u8) -> Self {
        Self(number % RANGE_COUNT as u8)
    }

    /// Returns every range in ascending order.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..RANGE_COUNT as u8).map(Self)
    }

    /// Returns the position of the range in a table of [`RANGE_COUNT`] elements.
    pub const fn index(self) -> usize {
        self.0 as usize
    }
}

/// A set of key ranges, as a bit mask.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RangeSet(u64);

impl RangeSet {
    /// The set of every range.
    pub const ALL: Self = Self(u64::MAX);

    /// Reports whether the set holds the range.
    pub const fn contains(self, range: KeyRange) -> bool {
        self.0 >> range.0 & 1 == 1
    }

    /// Adds a range, which has no effect if the set holds it.
    pub const fn insert(&mut self, range: KeyRange) {
        self.0 |= 1 << range.0;
    }

    /// Returns the number of ranges in the set.
    pub const fn len(self) -> usize {
        self.0.count_ones() as usize
    }

    /// Reports whether the set holds no range.
    pub const fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// Returns the ranges in the set in ascending order.
    pub fn iter(self) -> impl Iterator<Item = KeyRange> {
        KeyRange::all().filter(move |&range| self.contains(range))
    }
}

impl FromIterator<KeyRange> for RangeSet {
    fn from_iter<I: IntoIterator<Item = KeyRange>>(ranges: I) -> Self {
        let mut set = Self::default();
        ranges.into_iter().for_each(|range| set.insert(range));
        set
    }
}

/// A record that the fold skipped, entirely or for some ranges.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct SkippedRecord {
    /// The offset of the record.
    pub offset: u64,
    /// Why the record was skipped.
    pub reason: SkipReason,
}

impl Display for SkippedRecord {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "claim record {}: {}", self.offset, self.reason)
    }
}

/// The reason why the fold skipped a record.
#[derive(Debug, Clone, Eq, PartialEq, Snafu)]
pub enum SkipReason {
    /// The body is not a claim.
    #[snafu(display("the body is not a claim; check what else writes to the stream"))]
    Unreadable,
    /// The claimed interval holds no time.
    #[snafu(display("the claimed interval is empty; check the claimer's clock"))]
    Empty,
    /// The claim reaches more than [`MAX_CLAIM_AHEAD_MS`] beyond its append.
    #[snafu(display(
        "the claim reaches too far ahead; compare the clocks of claimer and log"
    ))]
    TooFarAhead,
    /// An earlier claim covers a part of the interval.
    #[snafu(display("{} ranges are already claimed; no action needed", ranges.len()))]
    Overlap {
        /// The ranges that the claim did not get.
        ranges: RangeSet,
    },
    /// Records that may contain an earlier claim have expired.
    #[snafu(display(
        "{} ranges are unverifiable after expired records; wait for later claims",
        ranges.len()
    ))]
    Unverified {
        /// The ranges whose holder stays undecided.
        ranges: RangeSet,
    },
}

/// The holder of a key's time according to the claims.
#[derive(Debug, Clone, Eq, PartialEq)]
pub enum Coverage {
    /// A verified claim of this holder covers the time.
    By(Owner),
    /// The time is at or after the end of every claim that is known or possible.
    Future,
    /// No verified claim covers the time, but later times are or may be claimed.
    Past,
}

/// The claims folded from the log, identical for every reader of the same records.
///
/// A claim on a range is valid if it does not start before the range's current end. A
/// reader without the earlier records knows that end only within bounds: expired records
/// were appended before the first readable one, and no valid claim reaches further than
/// [`MAX_CLAIM_AHEAD_MS`] beyond its append. Such a reader accepts a claim that is valid
/// for every end within the bounds, rejects one that is valid for none, and leaves any
/// other undecided, so that its keys count as past. The first accepted claim of a range
/// makes its bounds exact.
#[derive(Debug)]
pub struct ClaimTable {
    ranges: Vec<RangeClaims>,
    next_offset: u64,
    /// Whether the bounds account for every record before `next_offset`.
    bounds_known: bool,
}

impl Default for ClaimTable {
    fn default() -> Self {
        let ranges = (0..RANGE_COUNT).map(|_| RangeClaims::default()).collect();
        Self { ranges, next_offset: 0, bounds_known: true }
    }
}

impl ClaimTable {
    /// Returns the offset at which to continue reading the log.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Folds a page of records and returns the skipped ones.
    ///
    /// `start` is the offset of the oldest record that the log still has. Records that
    /// were read before are ignored, and missing ones widen the bounds of each range.
    pub fn read(&mut self, start: u64, records: &[ClaimRecord]) -> Vec<SkippedRecord> {
        self.note_log_start(start);
        let mut skipped = vec![];
        for record in records {
            if record.offset < self.next_offset {
                continue;
            }
            self.note_log_start(record.offset);
            self.bound_expired_claims(record.at_ms);
            self.next_offset = record.offset + 1;
            skipped.extend(
                self.fold(record)
                    .into_iter()
                    .map(|reason| SkippedRecord { offset: record.offset, reason }),
            );
        }
        skipped
    }

    /// Returns the holder of a key and the time in it according to the claims.
    pub fn coverage(&self, key: &Uuid, time: Timestamp) -> Coverage {
        let claims = &self.ranges[KeyRange::of(key).index()];
        let time_ms = time.as_ms();
        match claims.holder_at(time_ms) {
            Some(holder) => Coverage::By(holder.clone()),
            None if self.bounds_known && time_ms >= claims.latest_end_ms => {
                Coverage::Future
            }
            None => Coverage::Past,
        }
    }

    /// Returns the earliest end among the ranges that an owner holds, if it holds any.
    pub fn held_until_ms(&self, owner: &Owner) -> Option<u64> {
        let last = KeyRange::all().map(|range| self.last_claim(range));
        last.filter(|(holder, _)| *holder == Some(owner)).map(|(_, end)| end).min()
    }

    /// Returns the holder and the end of the last claim on a range.
    ///
    /// The end is the earliest start of a claim that every reader accepts. There is no
    /// holder if the range is unclaimed or its last claim cannot be verified.
    pub(super) fn last_claim(&self, range: KeyRange) -> (Option<&Owner>, u64) {
        let claims = &self.ranges[range.index()];
        let last = claims
            .intervals
            .back()
            .filter(|interval| interval.until_ms == claims.latest_end_ms)
            .map(|interval| &interval.holder);
        (last, claims.latest_end_ms)
    }

    /// Reports whether a claim can be verified at all; if not, the log must contain a
    /// dated record first.
    pub(super) fn can_verify(&self) -> bool {
        self.bounds_known
    }

    /// Notes that records before `start` have expired.
    fn note_log_start(&mut self, start: u64) {
        if start > self.next_offset {
            self.next_offset = start;
            self.bounds_known = false;
        }
    }

    /// Bounds what expired records can have claimed by the time of the first later one.
    fn bound_expired_claims(&mut self, at_ms: u64) {
        if self.bounds_known {
            return;
        }
        let bound = at_ms.saturating_add(MAX_CLAIM_AHEAD_MS + LOG_CLOCK_SLACK_MS);
        for range in &mut self.ranges {
            range.latest_end_ms = range.latest_end_ms.max(bound);
        }
        self.bounds_known = true;
    }

    /// Folds one record and returns why it was skipped, entirely or for some ranges.
    fn fold(&mut self, record: &ClaimRecord) -> Vec<SkipReason> {
        let Ok(claim) = serde_json::from_str::<Claim>(record.body) else {
            return vec![SkipReason::Unreadable];
        };
        if claim.ranges.is_empty() {
            return vec![];
        }
        if claim.from_ms >= claim.until_ms {
            return vec![SkipReason::Empty];
        }
        if claim.until_ms > record.at_ms.saturating_add(MAX_CLAIM_AHEAD_MS) {
            return vec![SkipReason::TooFarAhead];
        }
        self.fold_claim(&claim)
    }

    /// Folds a claim into each of its ranges.
    fn fold_claim(&mut self, claim: &Claim) -> Vec<SkipReason> {
        let mut overlap = RangeSet::default();
        let mut unverified = RangeSet::default();
        let holder = claim.owner();
        for range in claim.ranges.iter() {
            match self.ranges[range.index()].fold(claim, &holder) {
                Verdict::Accepted => {}
                Verdict::Overlap => overlap.insert(range),
                Verdict::Undecided => unverified.insert(range),
            }
        }
        let mut reasons = vec![];
        if !overlap.is_empty() {
            reasons.push(SkipReason::Overlap { ranges: overlap });
        }
        if !unverified.is_empty() {
            reasons.push(SkipReason::Unverified { ranges: unverified });
        }
        reasons
    }
}

/// The result of folding a claim into one range; see [`ClaimTable`].
enum Verdict {
    Accepted,
    Overlap,
    Undecided,
}

/// The accepted claims on one range, and the bounds of its current end.
#[derive(Debug, Default)]
struct RangeClaims {
    intervals: VecDeque<Interval>,
    /// The lower bound of the end of the valid claims so far.
    earliest_end_ms: u64,
    /// The upper bound of the end of the valid claims so far.
    latest_end_ms: u64,
}

impl RangeClaims {
    fn fold(&mut self, claim: &Claim, holder: &Owner) -> Verdict {
        if claim.from_ms < self.earliest_end_ms {
            return Verdict::Overlap;
        }
        if claim.from_ms < self.latest_end_ms {
            self.latest_end_ms = self.latest_end_ms.max(claim.until_ms);
            return Verdict::Undecided;
        }
        self.push(claim, holder);
        self.earliest_end_ms = claim.until_ms;
        self.latest_end_ms = claim.until_ms;
        Verdict::Accepted
    }

    /// Adds an interval, or extends the last one if the claim continues it.
    fn push(&mut self, claim: &Claim, holder: &Owner) {
        match self.intervals.back_mut() {
            Some(last) if last.until_ms == claim.from_ms && last.holder == *holder => {
                last.until_ms = claim.until_ms;
            }
            _ => self.intervals.push_back(Interval {
                from_ms: claim.from_ms,
                until_ms: claim.until_ms,
                holder: holder.clone(),
            }),
        }
        if self.intervals.len() > MAX_INTERVALS {
            self.intervals.pop_front();
        }
    }

    /// Returns the holder of the accepted claim that covers a time.
    fn holder_at(&self, time_ms: u64) -> Option<&Owner> {
        let next = self.intervals.partition_point(|interval| interval.from_ms <= time_ms);
        self.intervals
            .get(next.checked_sub(1)?)
            .filter(|interval| time_ms < interval.until_ms)
            .map(|interval| &interval.holder)
    }
}

/// An accepted claim on one range, or several that continue each other.
#[derive(Debug)]
struct Interval {
    from_ms: u64,
    until_ms: u64,
    holder: Owner,
}
