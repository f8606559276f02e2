//! How long a system takes to return to full service after a fault.

/// The time over which requests are taken together.
const BUCKET_US: u64 = 500_000;

/// The share of the complete answers before the fault that counts as full service.
const FULL_SHARE: f64 = 0.98;

/// The factor of the 90th percentile before the fault up to which service is full.
const FULL_RATIO: f64 = 1.5;

/// The response to one request.
#[derive(Debug, Clone, Copy)]
pub struct Response {
    /// When the request was due.
    pub due_us: u64,
    /// The response time over the ideal, or nothing without a complete answer in time.
    pub ratio: Option<f64>,
}

/// What the requests of a period have in common.
struct Level {
    /// The share of complete answers.
    share: f64,
    /// The 90th percentile of response times over the ideal.
    p90: f64,
}

/// Returns the time from a fault to the last period of less than full service.
///
/// It is 0 if service was full throughout, and `None` if it was not full at the end of
/// the run or if no request precedes the fault.
pub fn recovery_ms(responses: &[Response], fault_us: u64) -> Option<u64> {
    let before = level(responses.iter().filter(|r| r.due_us < fault_us))?;
    let last_us = responses.iter().map(|r| r.due_us).max()?;
    let buckets = last_us.saturating_sub(fault_us) / BUCKET_US;
    let mut recovered = 0;
    for bucket in 0..buckets {
        let from_us = fault_us + bucket * BUCKET_US;
        let within = from_us..from_us + BUCKET_US;
        let Some(level) = level(responses.iter().filter(|r| within.contains(&r.due_us)))
        else {
            continue;
        };
        let full = level.share >= before.share * FULL_SHARE
            && level.p90 <= before.p90 * FULL_RATIO;
        if !full {
            recovered = bucket + 1;
        }
    }
    (buckets == 0 || recovered < buckets).then_some(recovered * BUCKET_US / 1_000)
}

/// Summarises the requests of a period, if there are any.
fn level<'a>(responses: impl Iterator<Item = &'a Response>) -> Option<Level> {
    let responses: Vec<&Response> = responses.collect();
    let mut ratios: Vec<f64> = responses.iter().filter_map(|r| r.ratio).collect();
    ratios.sort_by(f64::total_cmp);
    let p90 = ratios.get(ratios.len() * 9 / 10).copied().unwrap_or(f64::INFINITY);
    let share = ratios.len() as f64 / responses.len() as f64;
    (!responses.is_empty()).then_some(Level { share, p90 })
}
