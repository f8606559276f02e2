//! The claims on caller keys, folded from the log stream `claims`.

use std::collections::VecDeque;
use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};
use snafu::Snafu;
use uuid::Uuid;

use super::Owner;
use crate::id::{Incarnation, InstanceName};
use crate::time::Timestamp;

/// The number of ranges that the hash of a key selects from.
pub const RANGE_COUNT: usize = 64;

/// How far back the first claim of an unclaimed time reaches, for keys that were made
/// shortly before.
pub const BACKDATE_MS: u64 = 60_000;

/// How far a claim may reach beyond the log's time of its append.
///
/// The bound lets a reader of a trimmed log state the latest time that an expired claim
/// can have covered. The difference to the horizon of a claimer allows for clocks that
/// differ between instances and log.
pub const MAX_CLAIM_AHEAD_MS: u64 = 300_000;

/// How far the log's clock may step back without misleading a reader of a trimmed log.
pub const LOG_CLOCK_SLACK_MS: u64 = 30_000;

/// The intervals that are kept for each range; keys of older ones count as past.
const INTERVALS: usize = 256;

/// The ranges and the time of keys that one incarnation claims.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// The ranges; none in a claim that only gives readers a dated record.
    pub ranges: RangeSet,
    /// The claiming instance.
    pub instance: InstanceName,
    /// The claiming run of the instance.
    pub incarnation: Incarnation,
    /// The first time that is claimed.
    pub from_ms: u64,
    /// The first time that is no longer claimed.
    pub until_ms: u64,
}

impl Claim {
    /// Returns the claiming incarnation.
    pub fn owner(&self) -> Owner {
        Owner::new(self.instance.clone(), self.incarnation)
    }

    /// Returns the record body to append.
    pub fn to_body(&self) -> String {
        serde_json::to_string(self).expect("a claim has only plain fields")
    }
}

/// A record of the stream `claims`.
#[derive(Debug, Copy, Clone)]
pub struct ClaimRecord<'a> {
    /// The position in the stream.
    pub offset: u64,
    /// The time of the append by the log's clock.
    pub at_ms: u64,
    /// The content.
    pub body: &'a str,
}

/// One of the ranges that keys are divided into.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Ord, PartialOrd, Hash)]
pub struct KeyRange(u8);

impl KeyRange {
    /// Returns the range of a key.
    pub fn of(key: &Uuid) -> Self {
        Self(blake3::hash(key.as_bytes()).as_bytes()[0] % RANGE_COUNT as u8)
    }

    /// Returns the range with the given number, which is taken modulo [`RANGE_COUNT`].
    pub const fn new(number: u8) -> Self {
        Self(number % RANGE_COUNT as u8)
    }

    /// Returns every range.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..RANGE_COUNT as u8).map(Self)
    }

    /// Returns the position of the range in a table.
    pub const fn index(self) -> usize {
        self.0 as usize
    }
}

/// A set of ranges.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RangeSet(u64);

impl RangeSet {
    /// Every range.
    pub const ALL: Self = Self(u64::MAX);

    /// Reports whether the set holds the range.
    pub const fn contains(self, range: KeyRange) -> bool {
        self.0 >> range.0 & 1 == 1
    }

    /// Adds a range.
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

    /// Returns the ranges in the set.
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

/// A record that the fold passed over, wholly or for some ranges.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct SkippedRecord {
    /// The position of the record.
    pub offset: u64,
    /// What is wrong with it.
    pub reason: SkipReason,
}

impl Display for SkippedRecord {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "claim record {}: {}", self.offset, self.reason)
    }
}

/// Why the fold passed over a record.
#[derive(Debug, Clone, Eq, PartialEq, Snafu)]
pub enum SkipReason {
    /// The body is not a claim.
    #[snafu(display("not a claim; check which program writes to the stream"))]
    Unreadable,
    /// The claimed interval holds no time.
    #[snafu(display("the interval is empty; check the claimer's clock"))]
    Empty,
    /// The claim reaches too far beyond its append.
    #[snafu(display("reaches too far ahead; compare the clocks of claimer and log"))]
    TooFarAhead,
    /// Another claim holds a part of the interval.
    #[snafu(display("{} ranges were claimed before; no action needed", ranges.len()))]
    Overlap {
        /// The ranges that the claim did not get.
        ranges: RangeSet,
    },
    /// Records that could show an earlier claim have expired.
    #[snafu(display(
        "{} ranges cannot be verified after expired records; wait for later claims",
        ranges.len()
    ))]
    Unverified {
        /// The ranges that stay undecided.
        ranges: RangeSet,
    },
}

/// What the claims say about a key.
#[derive(Debug, Clone, Eq, PartialEq)]
pub enum Coverage {
    /// The holder of the claim that covers the key's time.
    By(Owner),
    /// The time is not before the end of any claim that is known or possible.
    Future,
    /// No verified claim covers the time, and later times are or may be claimed.
    Past,
}

/// The claims as folded from the log, the same for every reader of the same records.
///
/// A claim on a range is valid when its start is not below the range's current end. A
/// reader that lacks earlier records knows that end only within bounds: expired records
/// were appended before the first readable one, and no valid claim reaches further than
/// [`MAX_CLAIM_AHEAD_MS`] beyond its append. Such a reader accepts a claim that is valid for
/// every end within the bounds, rejects one that is valid for none, and leaves any other
/// undecided, so that its keys count as past. The first accepted claim of a range makes
/// the bounds exact.
#[derive(Debug)]
pub struct ClaimTable {
    ranges: Vec<RangeClaims>,
    /// The next offset to read.
    next: u64,
    /// Whether the bounds account for every record before `next`.
    anchored: bool,
}

impl Default for ClaimTable {
    fn default() -> Self {
        let ranges = (0..RANGE_COUNT).map(|_| RangeClaims::default()).collect();
        Self { ranges, next: 0, anchored: true }
    }
}

impl ClaimTable {
    /// Returns the offset to read from.
    pub fn next_offset(&self) -> u64 {
        self.next
    }

    /// Folds a page of records and returns the ones that were passed over.
    ///
    /// `start` is the offset of the oldest record that the log still keeps. Records that
    /// were read before are ignored, and missing ones widen the bounds of each range.
    pub fn read(&mut self, start: u64, records: &[ClaimRecord]) -> Vec<SkippedRecord> {
        self.note_start(start);
        let mut faults = vec![];
        for record in records {
            if record.offset < self.next {
                continue;
            }
            self.note_start(record.offset);
            self.anchor(record.at_ms);
            self.next = record.offset + 1;
            faults.extend(
                self.fold(record)
                    .into_iter()
                    .map(|reason| SkippedRecord { offset: record.offset, reason }),
            );
        }
        faults
    }

    /// Returns what the claims say about a key and the time in it.
    pub fn coverage(&self, key: &Uuid, time: Timestamp) -> Coverage {
        let claims = &self.ranges[KeyRange::of(key).index()];
        let time_ms = time.as_ms();
        match claims.holder_at(time_ms) {
            Some(holder) => Coverage::By(holder.clone()),
            None if self.anchored && time_ms >= claims.latest_end_ms => Coverage::Future,
            None => Coverage::Past,
        }
    }

    /// Returns the end of the first of an owner's last claims to end, if it has any.
    pub fn held_until_ms(&self, owner: &Owner) -> Option<u64> {
        let last = KeyRange::all().map(|range| self.last(range));
        last.filter(|(holder, _)| *holder == Some(owner)).map(|(_, end)| end).min()
    }

    /// Returns the holder and the end of the last claim of a range.
    ///
    /// The end is the earliest start of a claim that every reader accepts. There is no
    /// holder when the range is unclaimed or its last claim cannot be verified.
    pub(super) fn last(&self, range: KeyRange) -> (Option<&Owner>, u64) {
        let claims = &self.ranges[range.index()];
        let last = claims
            .intervals
            .back()
            .filter(|interval| interval.until_ms == claims.latest_end_ms)
            .map(|interval| &interval.holder);
        (last, claims.latest_end_ms)
    }

    /// Reports whether any claim can be verified at all; if not, a dated record is
    /// needed first.
    pub(super) fn is_anchored(&self) -> bool {
        self.anchored
    }

    /// Notes that records before `start` cannot be read any more.
    fn note_start(&mut self, start: u64) {
        if start > self.next {
            self.next = start;
            self.anchored = false;
        }
    }

    /// Bounds what unreadable records can have claimed by the first later record.
    fn anchor(&mut self, at_ms: u64) {
        if self.anchored {
            return;
        }
        let bound = at_ms.saturating_add(MAX_CLAIM_AHEAD_MS + LOG_CLOCK_SLACK_MS);
        for range in &mut self.ranges {
            range.latest_end_ms = range.latest_end_ms.max(bound);
        }
        self.anchored = true;
    }

    /// Folds one record.
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

/// The result of folding a claim into one range.
enum Verdict {
    Accepted,
    Overlap,
    Undecided,
}

/// The accepted claims of one range, and the bounds of its current end.
#[derive(Debug, Default)]
struct RangeClaims {
    intervals: VecDeque<Interval>,
    /// The earliest end that the valid claims so far can have.
    earliest_end_ms: u64,
    /// The latest end that the valid claims so far can have.
    latest_end_ms: u64,
}

impl RangeClaims {
    /// Folds one claim.
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

    /// Adds an interval, or extends the last one when it continues it.
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
        if self.intervals.len() > INTERVALS {
            self.intervals.pop_front();
        }
    }

    /// Returns the holder of the claim that covers a time.
    fn holder_at(&self, time_ms: u64) -> Option<&Owner> {
        let next = self.intervals.partition_point(|interval| interval.from_ms <= time_ms);
        self.intervals
            .get(next.checked_sub(1)?)
            .filter(|interval| time_ms < interval.until_ms)
            .map(|interval| &interval.holder)
    }
}

/// An accepted claim of one range.
#[derive(Debug)]
struct Interval {
    from_ms: u64,
    until_ms: u64,
    holder: Owner,
}
