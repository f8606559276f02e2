//! The claims on caller keys in the log, and the tasks that were started under them.

use std::collections::{BTreeMap, BTreeSet};

use bamboocart_core::account::Fact;
use bamboocart_core::engine::CLAIM_STREAM;
use bamboocart_core::id::SubmissionId;
use bamboocart_core::ownership::{Claim, KeyRange, Owner};
use bamboocart_core::time::Timestamp;
use bamboocart_platform::Platform;
use uuid::Uuid;

use super::cluster::Cluster;
use super::run_check::account_batches;

/// The valid claims in the log, evaluated independently of the code under test.
#[derive(Debug, Default)]
pub struct Claims {
    /// The start, end and holder of each claim, by range, in the order of the log.
    by_range: BTreeMap<KeyRange, Vec<(u64, u64, Owner)>>,
}

impl Claims {
    /// Reads the claim stream.
    ///
    /// Panics if records of it have expired.
    pub fn read(cluster: &Cluster) -> Self {
        let platform = Platform::new(&cluster.platform.address().to_string());
        let mut claims = Self::default();
        let mut next = 0;
        loop {
            let page = platform.read(CLAIM_STREAM, next, 0).unwrap();
            assert_eq!(page.start, 0, "claims have expired");
            for record in &page.records {
                claims.add(serde_json::from_str(&record.body).unwrap());
            }
            next = page.records.last().map_or(page.end, |record| record.offset + 1);
            if next >= page.end {
                return claims;
            }
        }
    }

    /// Returns the holder of the claim that covers a key at the time in the key.
    pub fn holder(&self, key: &Uuid) -> Option<&Owner> {
        let time_ms = SubmissionId::CallerKey(*key).key_time()?.as_ms();
        let mut claims = self.by_range.get(&KeyRange::of(key))?.iter();
        let claim = claims.find(|(from, until, _)| (*from..*until).contains(&time_ms));
        claim.map(|(_, _, holder)| holder)
    }

    /// Adds a claim to each of its ranges in which it does not overlap an earlier claim.
    fn add(&mut self, claim: Claim) {
        for range in claim.ranges.iter() {
            let claims = self.by_range.entry(range).or_default();
            if claims.last().is_none_or(|(_, end, _)| claim.from_ms >= *end) {
                claims.push((claim.from_ms, claim.until_ms, claim.owner()));
            }
        }
    }
}

/// Returns the starts of tasks under caller keys that the account records: the time, the
/// owner and the key.
pub fn started_keys(cluster: &Cluster) -> Vec<(Timestamp, Owner, Uuid)> {
    let mut started = vec![];
    for batch in account_batches(cluster) {
        let owner = Owner::new(batch.instance, batch.incarnation);
        for entry in batch.entries {
            if let Fact::Started { subject, .. } = &entry.fact
                && let SubmissionId::CallerKey(key) = subject.submission
            {
                started.push((entry.at, owner.clone(), key));
            }
        }
    }
    started
}

/// The key ranges that one owner held at some time, from which it makes new keys.
#[derive(Debug, Clone)]
pub struct HeldRanges {
    ranges: BTreeSet<KeyRange>,
}

impl HeldRanges {
    /// Finds the ranges that an owner holds now, by a sample of 2,000 new keys.
    pub fn held_by(cluster: &Cluster, owner: &Owner) -> Self {
        let claims = Claims::read(cluster);
        let keys = std::iter::repeat_with(Uuid::now_v7).take(2_000);
        let held = |key: &Uuid| claims.holder(key) == Some(owner);
        Self { ranges: keys.filter(held).map(|key| KeyRange::of(&key)).collect() }
    }

    /// Returns the number of ranges that were found.
    pub fn count(&self) -> usize {
        self.ranges.len()
    }

    /// Makes `count` keys of the present, which go through the ranges in turn.
    pub fn new_keys(&self, count: usize) -> Vec<SubmissionId> {
        let ranges = self.ranges.iter().cycle().take(count);
        let key_in = |range: &KeyRange| {
            let mut keys = std::iter::repeat_with(Uuid::now_v7);
            keys.find(|key| KeyRange::of(key) == *range).expect("the keys do not end")
        };
        ranges.map(|range| SubmissionId::CallerKey(key_in(range))).collect()
    }
}
