//! Scenarios: the parts of the system, the load from clients, and the faults to inject.
//!
//! The command line and the files call a scenario a day, and its faults troubles.

use bamboocart_jobs::{OverloadPolicy, ParsePolicyError};
use serde::Deserialize;
use snafu::{ResultExt, Snafu};

use crate::fault::Fault;

/// The result of parsing a scenario.
pub type Result<T, E = ScenarioError> = std::result::Result<T, E>;

/// A simulated system with its load and its faults.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// How long clients send new jobs, in milliseconds.
    pub length_ms: u64,
    /// The failure domains, to which faults refer by index.
    pub domains: Vec<Domain>,
    /// The one-way network delay between failure domains, in microseconds.
    pub domain_delay_us: u64,
    /// The ratios of actual to nominal run time, assigned to minions round-robin.
    pub paces: Vec<f64>,
    /// The CPU capacities in thousandths of a core, assigned to minions round-robin.
    pub minion_cpu_millicores: Vec<u32>,
    /// The number of racks, whose names are labels and which are assigned to minions
    /// round-robin.
    #[serde(default = "default_racks")]
    pub racks: usize,
    /// The kinds of jobs that clients send.
    pub kinds: Vec<JobKind>,
    /// The time for which an instance is busy with each input, in microseconds.
    ///
    /// It stands for the wall time that the work takes on the instance's share of a
    /// processor.
    #[serde(default)]
    pub event_cost_us: u64,
    /// Whether clients close a connection on which they have no answer in time, and send
    /// the job again as after any broken connection.
    #[serde(default)]
    pub client_timeouts: bool,
    /// The name of the overload policy of the instances; that of the engine if it is left out.
    #[serde(default)]
    pub overload_policy: Option<String>,
    /// The longest time that a minion takes to end a run after it has accepted the stop,
    /// in milliseconds; each stop takes a drawn time up to it.
    #[serde(default)]
    pub stop_grace_ms: u64,
    /// The speed of the minions' steady clocks, in percent of real time.
    #[serde(default = "default_minion_clock_percent")]
    pub minion_clock_percent: u64,
    /// The links of the instances; none if they carry everything without delay.
    #[serde(default)]
    pub links: Option<Links>,
    /// The faults to inject.
    #[serde(default, rename = "troubles")]
    pub faults: Vec<Fault>,
}

/// The link of each instance, which what it sends and what it receives share.
#[derive(Debug, Copy, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Links {
    /// The rate in megabits per second.
    pub rate_mbps: f64,
    /// The size of the task description of a job, in bytes.
    pub spec_bytes: usize,
}

/// A failure domain with its instances and minions.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Domain {
    /// The name, which its instances and minions report as their failure domain.
    pub name: String,
    /// The number of its instances.
    pub instances: usize,
    /// The number of further instances, which start once a fault adds them.
    #[serde(default)]
    pub spare: usize,
    /// The number of its minions.
    pub minions: usize,
}

/// A kind of job, with the rate and the distribution of its jobs.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobKind {
    /// The name, which is also the name of its queue.
    pub name: String,
    /// The mean rate of new jobs per second over all failure domains; arrivals are a
    /// Poisson process.
    pub jobs_per_s: f64,
    /// The mean number of tasks in a step.
    pub tasks: f64,
    /// The mean run time of a task at nominal speed, in milliseconds.
    pub run_ms: f64,
    /// The mean CPU need of a task, in thousandths of a core.
    pub cpu_millicores: f64,
    /// The score for a job of average size that is answered within its objective.
    pub worth: f64,
    /// The priority of the queue; 0 is served first.
    pub priority: u8,
    /// Whether jobs are stored; clients then poll their state instead of waiting for
    /// them.
    #[serde(default)]
    pub stored: bool,
    /// Whether each task crashes its minion at the end of its run time.
    #[serde(default)]
    pub deadly: bool,
    /// Whether the tasks of a step are gang-scheduled.
    #[serde(default)]
    pub gang: bool,
    /// Whether the tasks of each job require the label of a rack, which is drawn for it.
    #[serde(default)]
    pub needs_rack: bool,
    /// The maximum number of tasks of a step on one minion, if limited.
    #[serde(default)]
    pub max_per_minion: Option<u16>,
    /// The number of steps, each of which depends on the one before.
    #[serde(default = "default_steps")]
    pub steps: u16,
}

/// Returns the speed of the minions' clocks in scenarios that set none.
fn default_minion_clock_percent() -> u64 {
    99
}

/// Returns the number of racks of scenarios that set none.
fn default_racks() -> usize {
    1
}

/// Returns the number of steps of a kind that sets none.
fn default_steps() -> u16 {
    1
}

impl Scenario {
    /// Parses a scenario from TOML.
    ///
    /// Fails on unknown keys, missing keys and values of the wrong type.
    pub fn parse(text: &str) -> Result<Self> {
        let scenario: Self = toml::from_str(text).context(MalformedSnafu)?;
        scenario.policy().context(PolicySnafu)?;
        Ok(scenario)
    }

    /// Returns the overload policy of the instances.
    pub(crate) fn policy(&self) -> Result<OverloadPolicy, ParsePolicyError> {
        let name = self.overload_policy.as_deref();
        name.map_or(Ok(OverloadPolicy::default()), str::parse)
    }
}

/// An error in a scenario.
#[derive(Debug, Snafu)]
pub enum ScenarioError {
    /// The text is not the TOML of a scenario.
    #[snafu(display("invalid scenario: {source}; correct the file"))]
    Malformed {
        /// The position and the reason.
        source: toml::de::Error,
    },
    /// The overload policy does not exist.
    #[snafu(display("invalid scenario: {source}"))]
    Policy {
        /// The unknown name.
        source: ParsePolicyError,
    },
}
