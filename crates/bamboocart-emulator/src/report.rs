//! The outcome of a day.

use std::fmt::{self, Display, Formatter};

/// The outcome of a day.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// The outcomes of the kinds of jobs.
    pub kinds: Vec<KindReport>,
    /// The rules that were broken.
    pub violations: Vec<String>,
    /// The starts that minions rejected for want of room.
    pub rejected_starts: u64,
    /// The runs that ended without a result.
    pub void_runs: u64,
    /// The runs that began.
    pub runs: u64,
    /// The frames between instances.
    pub frames: u64,
    /// The calls to minions.
    pub minion_calls: u64,
    /// The appends to logs.
    pub appends: u64,
}

/// The outcome of a kind of job.
#[derive(Debug, Clone, Default)]
pub struct KindReport {
    /// The name.
    pub name: String,
    /// The jobs that were sent.
    pub sent: u64,
    /// The jobs that were answered within their objective.
    pub in_time: u64,
    /// The jobs that were answered later.
    pub late: u64,
    /// The jobs that were refused.
    pub refused: u64,
    /// What was earned.
    pub earned: f64,
    /// What could have been earned.
    pub max_earned: f64,
    /// The times to completed answers.
    pub latencies_ms: Vec<u64>,
}

impl Report {
    /// Returns the share of the worth that was earned.
    pub fn credit(&self) -> f64 {
        let earned: f64 = self.kinds.iter().map(|kind| kind.earned).sum();
        let max_earned: f64 = self.kinds.iter().map(|kind| kind.max_earned).sum();
        earned / max_earned.max(f64::MIN_POSITIVE)
    }
}

impl KindReport {
    /// Returns a quantile of the times to completed answers.
    pub fn latency_ms(&self, quantile: f64) -> u64 {
        let mut sorted = self.latencies_ms.clone();
        sorted.sort_unstable();
        let position = (sorted.len().saturating_sub(1)) as f64 * quantile;
        sorted.get(position as usize).copied().unwrap_or(0)
    }
}

impl Display for Report {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "credit {:.3}, broken rules {}",
            self.credit(),
            self.violations.len()
        )?;
        writeln!(
            f,
            "runs {}, void {}, rejected starts {}, calls to minions {}, frames {}, \
             appends {}",
            self.runs,
            self.void_runs,
            self.rejected_starts,
            self.minion_calls,
            self.frames,
            self.appends
        )?;
        for kind in &self.kinds {
            writeln!(
                f,
                "{:16} sent {:6} in time {:6} late {:5} refused {:5} credit {:.3} \
                 p50 {} ms p99 {} ms",
                kind.name,
                kind.sent,
                kind.in_time,
                kind.late,
                kind.refused,
                kind.earned / kind.max_earned.max(f64::MIN_POSITIVE),
                kind.latency_ms(0.5),
                kind.latency_ms(0.99)
            )?;
        }
        for violation in self.violations.iter().take(10) {
            writeln!(f, "BROKEN {violation}")?;
        }
        Ok(())
    }
}
