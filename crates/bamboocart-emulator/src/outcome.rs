//! Outcomes of scenarios over seeds, stored as JSON to compare versions.

use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::{fs, result};

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::report::Report;

/// The result of reading or writing outcomes.
pub type Result<T, E = OutcomeError> = result::Result<T, E>;

/// The outcomes of scenarios by name.
#[derive(Debug, Clone, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Outcomes {
    /// The outcomes of each scenario by seed.
    #[serde(rename = "days")]
    pub scenarios: BTreeMap<String, BTreeMap<u64, Outcome>>,
}

/// The figures of a report that are stored.
#[derive(Debug, Clone, Eq, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// The share of the possible score that was earned, in millionths.
    pub credit_ppm: u64,
    /// The number of violations of invariants.
    #[serde(rename = "broken")]
    pub violations: usize,
    /// The number of frames between instances.
    pub frames: u64,
    /// The number of calls to minions.
    pub minion_calls: u64,
    /// The 99th percentile of the response times of each kind of job.
    pub p99_ms: BTreeMap<String, u64>,
}

/// An error while reading or writing outcomes.
#[derive(Debug, Snafu)]
pub enum OutcomeError {
    /// The file cannot be read or written.
    #[snafu(display("cannot read or write {}: {source}; check the path", path.display()))]
    File {
        /// The path of the file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The file does not contain outcomes in JSON.
    #[snafu(display("{} has no outcomes: {source}; write it with --save", path.display()))]
    Format {
        /// The path of the file.
        path: PathBuf,
        /// The position and the reason.
        source: serde_json::Error,
    },
}

impl Outcomes {
    /// Adds the report of a scenario with a seed, and replaces an earlier one.
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

    /// Reads outcomes from a JSON file.
    ///
    /// Fails if the file cannot be read or has another format.
    pub fn read(path: &Path) -> Result<Self> {
        let text = fs::read_to_string(path).context(FileSnafu { path })?;
        serde_json::from_str(&text).context(FormatSnafu { path })
    }

    /// Writes the outcomes to a JSON file, and replaces an existing one.
    pub fn write(&self, path: &Path) -> Result<()> {
        let text = serde_json::to_string_pretty(self).context(FormatSnafu { path })?;
        fs::write(path, text).context(FileSnafu { path })
    }
}
