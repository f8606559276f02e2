//! Days: what a system consists of, what clients send, and what goes wrong.

use serde::Deserialize;
use snafu::{ResultExt, Snafu};

/// The result of reading a day.
pub type Result<T, E = ScenarioError> = std::result::Result<T, E>;

/// A day.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// How long clients send jobs.
    pub length_ms: u64,
    /// The failure domains.
    pub domains: Vec<Domain>,
    /// The delay between failure domains, one way.
    pub domain_delay_us: u64,
    /// The speeds of minions, as the run time over the nominal one, dealt out in turn.
    pub paces: Vec<f64>,
    /// The processors of minions, in thousandths of a core, dealt out in turn.
    pub minion_cpu_millicores: Vec<u32>,
    /// The kinds of jobs.
    pub kinds: Vec<JobKind>,
    /// The processor time that an event takes, as wall time on an instance's share.
    #[serde(default)]
    pub event_cost_us: u64,
    /// What goes wrong.
    #[serde(default, rename = "troubles")]
    pub faults: Vec<Fault>,
}

/// A failure domain.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Domain {
    /// The name.
    pub name: String,
    /// The number of its instances.
    pub instances: usize,
    /// The number of its minions.
    pub minions: usize,
}

/// A kind of job.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobKind {
    /// The name.
    pub name: String,
    /// The jobs in a second, over all failure domains.
    pub jobs_per_s: f64,
    /// The mean number of tasks.
    pub tasks: f64,
    /// The mean run time of a task at nominal speed.
    pub run_ms: f64,
    /// The mean processors of a task, in thousandths of a core.
    pub cpu_millicores: f64,
    /// What a job is worth that is answered within its objective.
    pub worth: f64,
    /// The rank of the queue; 0 comes first.
    pub priority: u8,
    /// Whether jobs are stored, and clients ask for their state.
    #[serde(default)]
    pub stored: bool,
    /// Whether the tasks of a step work only together.
    #[serde(default)]
    pub gang: bool,
    /// The number of steps, each of which follows the one before.
    #[serde(default = "one")]
    pub steps: u16,
}

/// The steps of jobs that name no number.
fn one() -> u16 {
    1
}

/// Something that goes wrong at a time from the start of the day.
#[derive(Debug, Clone, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// Instances are killed and start again.
    Kill {
        /// When.
        at_ms: u64,
        /// How long they are away.
        for_ms: u64,
        /// How many.
        count: usize,
    },
    /// Instances stand still and go on.
    #[serde(rename = "freeze")]
    Pause {
        /// When.
        at_ms: u64,
        /// For how long.
        for_ms: u64,
        /// How many.
        count: usize,
    },
    /// A failure domain is cut off from the others; the store stays reachable.
    #[serde(rename = "cut_domain")]
    PartitionDomain {
        /// When.
        at_ms: u64,
        /// For how long.
        for_ms: u64,
        /// The number of the failure domain.
        domain: usize,
    },
    /// The store does not answer; no instance hears of changes of the group.
    #[serde(rename = "store_away")]
    StoreUnavailable {
        /// When.
        at_ms: u64,
        /// For how long.
        for_ms: u64,
    },
    /// Appends to logs are carried out and not answered.
    #[serde(rename = "lost_appends")]
    LostAppendAnswers {
        /// When.
        at_ms: u64,
        /// For how long.
        for_ms: u64,
        /// The share of the appends.
        share: f64,
    },
    /// The group deals all members out anew, as if each had joined again.
    Rebalance {
        /// When.
        at_ms: u64,
    },
    /// Links between instances are reset, and what travels on them is lost.
    ResetLinks {
        /// When.
        at_ms: u64,
    },
    /// Instances and their peers do not hear each other for a while.
    SilentLinks {
        /// When.
        at_ms: u64,
        /// For how long.
        for_ms: u64,
    },
    /// Minions crash and start again.
    CrashMinions {
        /// When.
        at_ms: u64,
        /// How long they are away.
        for_ms: u64,
        /// How many.
        count: usize,
    },
    /// Minions work several times as long.
    SlowMinions {
        /// When.
        at_ms: u64,
        /// For how long.
        for_ms: u64,
        /// How many.
        count: usize,
        /// How many times as long.
        factor: f64,
    },
    /// Tasks on minions stand still.
    HangingMinions {
        /// When.
        at_ms: u64,
        /// For how long.
        for_ms: u64,
        /// How many.
        count: usize,
    },
    /// Minions fail what they start.
    FailingMinions {
        /// When.
        at_ms: u64,
        /// For how long.
        for_ms: u64,
        /// How many.
        count: usize,
    },
    /// Orders to minions get no answer and are carried out seconds later.
    LateOrders {
        /// When.
        at_ms: u64,
        /// For how long.
        for_ms: u64,
        /// The share of the orders.
        share: f64,
    },
    /// Clients send more.
    Burst {
        /// When.
        at_ms: u64,
        /// For how long.
        for_ms: u64,
        /// How many times as much.
        factor: f64,
    },
}

impl Scenario {
    /// Reads a day from TOML.
    pub fn parse(text: &str) -> Result<Self> {
        toml::from_str(text).context(ScenarioSnafu)
    }
}

/// Why a day cannot be read.
#[derive(Debug, Snafu)]
#[snafu(display("the day cannot be read: {source}; correct the file"))]
pub struct ScenarioError {
    /// The cause.
    source: toml::de::Error,
}
