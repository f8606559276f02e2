//! The quotas of customers: start rates with bursts, and tasks in flight.
//!
//! Every instance enforces its share of a quota, which is the quota divided by the number
//! of instances that it considers live.

use std::collections::BTreeMap;

use snafu::Snafu;

use crate::config::Quota;
use crate::id::CustomerName;
use crate::time::{Timestamp, US_PER_MS};

/// The result of a quota check.
pub type Result<T, E = QuotaError> = std::result::Result<T, E>;

/// The suggested time to wait before a retry when too many tasks are in flight.
///
/// Most tasks run for 50 ms to 1 s, so some have ended by then.
pub const IN_FLIGHT_RETRY_MS: u64 = 250;

/// The microtokens in a token, which pays for one start.
///
/// At one start per second, one microtoken accrues each microsecond.
const MICROTOKENS_PER_TOKEN: i64 = 1_000_000;

/// The quotas of all customers on this instance, with one token bucket for each.
#[derive(Debug, Clone)]
pub struct QuotaTable {
    live_instances: u32,
    buckets: BTreeMap<CustomerName, Bucket>,
}

/// The reason for not admitting the tasks of a submission.
#[derive(Debug, Copy, Clone, Eq, PartialEq, Snafu)]
pub enum QuotaError {
    /// The configuration has no quota for the customer.
    #[snafu(display("the customer has no quota; publish one"))]
    UnknownCustomer,
    /// The job exceeds the whole burst or in-flight limit, or the start rate is 0.
    #[snafu(display("the job exceeds the quota's burst or in-flight limit; split it"))]
    TooLarge,
    /// The customer has used up its start rate and burst.
    #[snafu(display("the start rate is used up; retry after {retry_after_ms} ms"))]
    Rate {
        /// The time until the tasks can be admitted if no others are.
        retry_after_ms: u64,
    },
    /// The customer has too many unfinished tasks.
    #[snafu(display("too many tasks in flight; retry after {retry_after_ms} ms"))]
    InFlight {
        /// The time within which some tasks are likely to end.
        retry_after_ms: u64,
    },
}

impl Default for QuotaTable {
    fn default() -> Self {
        Self { live_instances: 1, buckets: BTreeMap::new() }
    }
}

impl QuotaTable {
    /// Applies the quotas of a configuration.
    ///
    /// Customers that remain keep their tokens and their count of tasks in flight; new
    /// ones start with a full burst.
    pub fn configure(&mut self, quotas: &BTreeMap<CustomerName, Quota>, now: Timestamp) {
        for (customer, bucket) in &mut self.buckets {
            bucket.refill(self.live_instances, now);
            bucket.quota = quotas.get(customer).cloned();
        }
        // A removed customer keeps its bucket while it has tasks in flight.
        self.buckets.retain(|_, bucket| bucket.quota.is_some() || bucket.in_flight > 0);
        for (customer, quota) in quotas {
            let new = || Bucket::full(quota.clone(), self.live_instances, now);
            self.buckets.entry(customer.clone()).or_insert_with(new);
        }
    }

    /// Sets the number of instances that share the quotas; 0 counts as 1.
    pub fn set_live_instances(&mut self, live_instances: u32, now: Timestamp) {
        for bucket in self.buckets.values_mut() {
            bucket.refill(self.live_instances, now);
        }
        self.live_instances = live_instances.max(1);
    }

    /// Checks whether all tasks of a job could be admitted at once.
    ///
    /// A job that is larger than this instance's share, but not than the whole quota, is
    /// admitted when the share is unused. Its tokens are then a debt that is paid back
    /// before the next admission, so the average start rate holds. The in-flight limit
    /// can be exceeded by one such job on each instance.
    pub fn check(
        &mut self,
        customer: &CustomerName,
        tasks: u32,
        now: Timestamp,
    ) -> Result<()> {
        let live_instances = self.live_instances;
        let bucket = self.buckets.get_mut(customer);
        let bucket = bucket.ok_or(QuotaError::UnknownCustomer)?;
        bucket.refill(live_instances, now);
        bucket.check(tasks, live_instances)
    }

    /// Admits all tasks of a job or none.
    pub fn admit(
        &mut self,
        customer: &CustomerName,
        tasks: u32,
        now: Timestamp,
    ) -> Result<()> {
        self.check(customer, tasks, now)?;
        if let Some(bucket) = self.buckets.get_mut(customer) {
            bucket.microtokens -= i64::from(tasks) * MICROTOKENS_PER_TOKEN;
            bucket.in_flight = bucket.in_flight.saturating_add(tasks);
        }
        Ok(())
    }

    /// Records that admitted tasks have ended, whether they were started or not.
    pub fn finish(&mut self, customer: &CustomerName, tasks: u32) {
        let Some(bucket) = self.buckets.get_mut(customer) else {
            return;
        };
        bucket.in_flight = bucket.in_flight.saturating_sub(tasks);
        if bucket.in_flight == 0 && bucket.quota.is_none() {
            self.buckets.remove(customer);
        }
    }

    /// Returns the number of admitted tasks that have not ended.
    pub fn in_flight(&self, customer: &CustomerName) -> u32 {
        self.buckets.get(customer).map_or(0, |bucket| bucket.in_flight)
    }
}

impl QuotaError {
    /// Returns the time after which a retry may succeed, or `None` if it cannot before
    /// the quota or the job changes.
    pub const fn retry_after_ms(self) -> Option<u64> {
        match self {
            Self::UnknownCustomer | Self::TooLarge => None,
            Self::Rate { retry_after_ms } | Self::InFlight { retry_after_ms } => {
                Some(retry_after_ms)
            }
        }
    }
}

/// The token bucket and the unfinished tasks of one customer.
#[derive(Debug, Clone)]
struct Bucket {
    /// The quota, or `None` if it was removed while tasks were in flight.
    quota: Option<Quota>,
    /// The balance, which is negative after a job larger than this instance's burst.
    microtokens: i64,
    /// The fraction of a microtoken that the last refill left over, as the numerator over
    /// the number of instances.
    remainder: u64,
    refilled_at: Timestamp,
    in_flight: u32,
}

impl Bucket {
    /// Creates a bucket with a full burst.
    fn full(quota: Quota, live_instances: u32, now: Timestamp) -> Self {
        let microtokens = to_microtokens(instance_share(quota.burst, live_instances));
        Self {
            quota: Some(quota),
            microtokens,
            remainder: 0,
            refilled_at: now,
            in_flight: 0,
        }
    }

    /// Adds the tokens that have accrued since the last refill, up to the burst.
    fn refill(&mut self, live_instances: u32, now: Timestamp) {
        let elapsed_us = now.us_since(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        let Some(quota) = &self.quota else {
            return;
        };
        let divisor = u64::from(live_instances);
        let accrued = elapsed_us
            .saturating_mul(u64::from(quota.starts_per_s))
            .saturating_add(self.remainder);
        // After a change of the divisor, the old remainder is worth a few microtokens at
        // most.
        self.remainder = accrued % divisor;
        let full = to_microtokens(instance_share(quota.burst, live_instances));
        let microtokens = i64::try_from(accrued / divisor).unwrap_or(i64::MAX);
        self.microtokens = self.microtokens.saturating_add(microtokens).min(full);
    }

    /// Checks whether `tasks` fit into this instance's share.
    fn check(&self, tasks: u32, live_instances: u32) -> Result<()> {
        let quota = self.quota.as_ref().ok_or(QuotaError::UnknownCustomer)?;
        if tasks > quota.burst || tasks > quota.in_flight || quota.starts_per_s == 0 {
            return TooLargeSnafu.fail();
        }
        let in_flight_share = instance_share(quota.in_flight, live_instances);
        if self.in_flight > 0 && self.in_flight.saturating_add(tasks) > in_flight_share {
            return InFlightSnafu { retry_after_ms: IN_FLIGHT_RETRY_MS }.fail();
        }
        let needed =
            to_microtokens(tasks.min(instance_share(quota.burst, live_instances)));
        let missing = u64::try_from(needed - self.microtokens).unwrap_or(0);
        if missing == 0 {
            return Ok(());
        }
        let wait_us = missing
            .saturating_mul(u64::from(live_instances))
            .saturating_sub(self.remainder)
            .div_ceil(u64::from(quota.starts_per_s));
        RateSnafu { retry_after_ms: wait_us.div_ceil(US_PER_MS) }.fail()
    }
}

/// Returns this instance's share of a limit.
///
/// It is at least 1, because small quotas would be unusable otherwise.
fn instance_share(limit: u32, live_instances: u32) -> u32 {
    limit.div_ceil(live_instances).max(1)
}

/// Converts tokens to microtokens.
fn to_microtokens(tokens: u32) -> i64 {
    i64::from(tokens) * MICROTOKENS_PER_TOKEN
}
