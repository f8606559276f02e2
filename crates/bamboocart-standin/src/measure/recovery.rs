//! Computes the time that a system takes to return to full service after a fault.

/// The length of the periods into which requests are grouped.
const BUCKET_US: u64 = 500_000;

/// The least share of complete answers in full service, relative to before the fault.
const MIN_COMPLETE_SHARE_FACTOR: f64 = 0.98;

/// The largest 90th percentile in full service, relative to before the fault.
const MAX_P90_FACTOR: f64 = 1.5;

/// The response to one request.
#[derive(Debug, Clone, Copy)]
pub struct Response {
    /// The scheduled time of the request's first call.
    pub due_us: u64,
    /// The ratio of response time to ideal; `None` without a complete answer in time.
    pub ratio: Option<f64>,
}

/// The level of service of a period.
struct ServiceLevel {
    /// The share of requests with a complete answer in time.
    share: f64,
    /// The 90th percentile of the ratios of response time to ideal.
    p90: f64,
}

/// Returns the time from a fault to the end of the last period without full service.
///
/// It is 0 if service was full throughout. It is `None` if service was not full in the
/// last period of the run, since the system has not recovered then, or if no request
/// precedes the fault.
pub fn recovery_ms(responses: &[Response], fault_us: u64) -> Option<u64> {
    let before = level(responses.iter().filter(|r| r.due_us < fault_us))?;
    let last_us = responses.iter().map(|r| r.due_us).max()?;
    let buckets = last_us.saturating_sub(fault_us) / BUCKET_US;
    let mut degraded_buckets = 0;
    for bucket in 0..buckets {
        let from_us = fault_us + bucket * BUCKET_US;
        let within = from_us..from_us + BUCKET_US;
        let Some(level) = level(responses.iter().filter(|r| within.contains(&r.due_us)))
        else {
            continue;
        };
        let full = level.share >= before.share * MIN_COMPLETE_SHARE_FACTOR
            && level.p90 <= before.p90 * MAX_P90_FACTOR;
        if !full {
            degraded_buckets = bucket + 1;
        }
    }
    (buckets == 0 || degraded_buckets < buckets)
        .then_some(degraded_buckets * BUCKET_US / 1_000)
}

/// Returns the level of service of a period, or `None` if it has no requests.
fn level<'a>(responses: impl Iterator<Item = &'a Response>) -> Option<ServiceLevel> {
    let responses: Vec<&Response> = responses.collect();
    let mut ratios: Vec<f64> = responses.iter().filter_map(|r| r.ratio).collect();
    ratios.sort_by(f64::total_cmp);
    let p90 = ratios.get(ratios.len() * 9 / 10).copied().unwrap_or(f64::INFINITY);
    let share = ratios.len() as f64 / responses.len() as f64;
    (!responses.is_empty()).then_some(ServiceLevel { share, p90 })
}
