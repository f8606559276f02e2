//! Outcomes of days over seeds, as they are kept to compare versions.

use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::{fs, result};

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::report::Report;

/// The result of keeping outcomes.
pub type Result<T, E = OutcomeError> = result::Result<T, E>;

/// The outcomes of days by their names.
#[derive(Debug, Clone, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Outcomes {
    /// The outcomes of each day by seed.
    #[serde(rename = "days")]
    pub scenarios: BTreeMap<String, BTreeMap<u64, Outcome>>,
}

/// What is kept of a report.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// The share of the worth that was earned, in millionths.
    pub credit_ppm: u64,
    /// The rules that were broken.
    #[serde(rename = "broken")]
    pub violations: usize,
    /// The frames between instances.
    pub frames: u64,
    /// The calls to minions.
    pub minion_calls: u64,
    /// The times in which 99 % of the jobs of each kind were answered.
    pub p99_ms: BTreeMap<String, u64>,
}

/// Why outcomes cannot be kept or read.
#[derive(Debug, Snafu)]
pub enum OutcomeError {
    /// The file cannot be read or written.
    #[snafu(display("cannot use {}: {source}; check the path", path.display()))]
    File {
        /// The path.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The file has no outcomes.
    #[snafu(display("{} has no outcomes: {source}; write it with --save", path.display()))]
    Format {
        /// The path.
        path: PathBuf,
        /// The cause.
        source: serde_json::Error,
    },
}

impl Outcomes {
    /// Adds the report of a day with a seed.
    pub fn add(&mut self, scenario: &str, seed: u64, report: &Report) {
        let kinds = report.kinds.iter();
        let outcome = Outcome {
            credit_ppm: (report.credit() * 1e6).round() as u64,
            violations: report.violations.len(),
            frames: report.frames,
            minion_calls: report.minion_calls,
            p99_ms: kinds.map(|it| (it.name.clone(), it.latency_ms(0.99))).collect(),
        };
        self.scenarios.entry(scenario.to_owned()).or_default().insert(seed, outcome);
    }

    /// Reads outcomes from a file.
    pub fn read(path: &Path) -> Result<Self> {
        let text = fs::read_to_string(path).context(FileSnafu { path })?;
        serde_json::from_str(&text).context(FormatSnafu { path })
    }

    /// Writes the outcomes to a file.
    pub fn write(&self, path: &Path) -> Result<()> {
        let text = serde_json::to_string_pretty(self).context(FormatSnafu { path })?;
        fs::write(path, text).context(FileSnafu { path })
    }
}
