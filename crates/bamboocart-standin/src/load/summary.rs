//! The measurements of a run.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};

use bamboocart_core::id::KindName;
use serde::{Deserialize, Serialize};

/// The measurements of a run, which are printed as text and as JSON.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Summary {
    /// The time from the first call to the last answer.
    pub elapsed_s: f64,
    /// The number of submissions with at least one call.
    pub submissions: u64,
    /// The number of calls, with resubmissions and cancellations.
    pub calls: u64,
    /// The number of calls that were dropped because the queue of calls was full.
    pub unsent: u64,
    /// The number of submissions with a complete answer.
    pub complete: u64,
    /// The number of submissions with a complete answer within the deadline.
    pub in_time: u64,
    /// The number of submissions completed within the deadline per second.
    pub goodput_per_s: f64,
    /// The number of tasks of complete submissions, each of which needs one start.
    pub needed_starts: u64,
    /// The number of sends to targets, as the answers report it.
    pub attempts: u64,
    /// The ratio of sends to targets to needed starts.
    pub attempts_per_needed_start: f64,
    /// The number of calls without a complete answer, by outcome and code.
    pub codes: BTreeMap<String, u64>,
    /// The number of submissions by the outcome and code of their last answer.
    #[serde(default)]
    pub ends: BTreeMap<String, u64>,
    /// The response times of complete submissions, by request kind.
    pub kinds: BTreeMap<KindName, KindSummary>,
}

/// The response times of one request kind.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct KindSummary {
    /// The number of submissions with a complete answer.
    pub complete: u64,
    /// The ratio of response time to ideal response time.
    pub response_over_ideal: Percentiles,
    /// The response times in ms, from the scheduled time of the first call.
    pub response_ms: Percentiles,
}

/// The reported percentiles of a distribution.
#[derive(Debug, Copy, Clone, Serialize, Deserialize)]
pub struct Percentiles {
    /// The median.
    pub p50: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The 99.9th percentile.
    pub p999: f64,
}

impl Display for Summary {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<20} {:>9} {:>8} {:>8} {:>8} {:>10} {:>10} {:>10}",
            "kind",
            "complete",
            "p50 x",
            "p99 x",
            "p99.9 x",
            "p50 ms",
            "p99 ms",
            "p99.9 ms"
        )?;
        for (kind, row) in &self.kinds {
            let (over, ms) = (row.response_over_ideal, row.response_ms);
            writeln!(
                f,
                "{:<20} {:>9} {:>8.2} {:>8.2} {:>8.2} {:>10.1} {:>10.1} {:>10.1}",
                kind.as_str(),
                row.complete,
                over.p50,
                over.p99,
                over.p999,
                ms.p50,
                ms.p99,
                ms.p999
            )?;
        }
        writeln!(
            f,
            "{} submissions, {} calls, {} unsent in {:.1} s; {} complete, {} in time, \
             goodput {:.1}/s",
            self.submissions,
            self.calls,
            self.unsent,
            self.elapsed_s,
            self.complete,
            self.in_time,
            self.goodput_per_s
        )?;
        writeln!(
            f,
            "{} attempts for {} needed starts: {:.3}",
            self.attempts, self.needed_starts, self.attempts_per_needed_start
        )?;
        for (code, count) in &self.codes {
            writeln!(f, "calls with the answer {code}: {count}")?;
        }
        for (end, count) in &self.ends {
            writeln!(f, "submissions that ended as {end}: {count}")?;
        }
        Ok(())
    }
}
