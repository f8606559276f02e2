//! The settings of minions and workers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::str::FromStr;

use bamboocart_core::config::Role;
use bpaf::Bpaf;

/// What all targets have in common.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(fleet_settings))]
pub struct FleetSettings {
    /// Address of the platform that the targets register at
    #[bpaf(argument("IP:PORT"))]
    pub platform: Option<SocketAddr>,
    /// Loopback port of the control interface, 0 for any
    #[bpaf(argument("PORT"), fallback(0), display_fallback)]
    pub control_port: u16,
    /// Number of targets
    #[bpaf(argument("N"), fallback(50), display_fallback)]
    pub count: u32,
    /// Service label
    #[bpaf(argument("NAME"), fallback("float-yard".into()), display_fallback)]
    pub service: String,
    /// Failure domains, over which the targets are spread evenly
    #[bpaf(argument("NAME,..."), fallback(CommaSeparated::single("marka".into())), display_fallback)]
    pub domains: CommaSeparated<String>,
    /// Connections that each target accepts
    #[bpaf(argument("N"), fallback(64), display_fallback)]
    pub connections: u32,
    /// Speed factors, which are given to the targets in turn
    #[bpaf(argument("X,..."), fallback(CommaSeparated::single(1.0)), display_fallback)]
    pub speeds: CommaSeparated<f64>,
    /// Run times of request kinds whose payload states none; 100 for others
    #[bpaf(long("run-ms"), argument("KIND=MS"), many)]
    pub run_ms: Vec<KindRunTime>,
    /// Standard deviation of the logarithm of run times; 0 for fixed ones
    #[bpaf(argument("X"), fallback(0.0), display_fallback)]
    pub spread: f64,
    /// Share of tasks that are stragglers
    #[bpaf(argument("X"), fallback(0.0), display_fallback)]
    pub straggler_share: f64,
    /// Factor by which stragglers take longer
    #[bpaf(argument("X"), fallback(10.0), display_fallback)]
    pub straggler_factor: f64,
    /// Seed of the randomness
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    pub seed: u64,
}

/// The settings of minions.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(minion_settings))]
pub struct MinionSettings {
    /// What all targets have in common.
    #[bpaf(external(fleet_settings))]
    pub fleet: FleetSettings,
    /// Prefix of the names
    #[bpaf(argument("NAME"), fallback("minion".into()), display_fallback)]
    pub prefix: String,
    /// Tasks that each minion runs at the same time
    #[bpaf(argument("N"), fallback(8), display_fallback)]
    pub slots: u32,
}

/// The settings of workers.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(worker_settings))]
pub struct WorkerSettings {
    /// What all targets have in common.
    #[bpaf(external(fleet_settings))]
    pub fleet: FleetSettings,
    /// Prefix of the names
    #[bpaf(argument("NAME"), fallback("worker".into()), display_fallback)]
    pub prefix: String,
    /// Tasks that each worker runs at the same time
    #[bpaf(argument("N"), fallback(16), display_fallback)]
    pub slots: u32,
    /// Processors of each worker
    #[bpaf(argument("N"), fallback(16), display_fallback)]
    pub cpus: u32,
    /// Memory of each worker
    #[bpaf(argument("MB"), fallback(65_536), display_fallback)]
    pub memory_mb: u64,
    /// Workers in one rack
    #[bpaf(argument("N"), fallback(8), display_fallback)]
    pub per_rack: u32,
    /// Lag of the usage report
    #[bpaf(argument("MS"), fallback(1_000), display_fallback)]
    pub usage_lag_ms: u64,
}

/// What distinguishes the fleets.
#[derive(Debug, Clone)]
pub struct TargetSpec {
    /// The role in the instance list.
    pub role: Role,
    /// The prefix of the names.
    pub prefix: String,
    /// The slots of each target.
    pub slots: u32,
    /// The processors of each target.
    pub cpus: u32,
    /// The memory of each target.
    pub memory_mb: u64,
    /// The targets in one rack, if there are racks.
    pub per_rack: Option<u32>,
    /// The lag of the usage report.
    pub usage_lag_ms: u64,
}

impl MinionSettings {
    /// Returns what distinguishes minions.
    pub fn target_spec(&self) -> TargetSpec {
        TargetSpec {
            role: Role::Minion,
            prefix: self.prefix.clone(),
            slots: self.slots,
            cpus: 0,
            memory_mb: 0,
            per_rack: None,
            usage_lag_ms: 0,
        }
    }
}

impl WorkerSettings {
    /// Returns what distinguishes workers.
    pub fn target_spec(&self) -> TargetSpec {
        TargetSpec {
            role: Role::Worker,
            prefix: self.prefix.clone(),
            slots: self.slots,
            cpus: self.cpus,
            memory_mb: self.memory_mb,
            per_rack: Some(self.per_rack.max(1)),
            usage_lag_ms: self.usage_lag_ms,
        }
    }
}

/// A list with at least one entry, written with commas.
#[derive(Debug, Clone)]
pub struct CommaSeparated<T>(Vec<T>);

impl<T> CommaSeparated<T> {
    /// Creates a list of one entry.
    pub fn single(entry: T) -> Self {
        Self(vec![entry])
    }

    /// Returns the entry whose turn it is.
    pub fn get_cyclic(&self, turn: usize) -> &T {
        &self.0[turn % self.0.len()]
    }

    /// Returns the number of entries.
    pub fn count(&self) -> usize {
        self.0.len()
    }

    /// Returns the entries.
    pub fn entries(&self) -> &[T] {
        &self.0
    }
}

impl<T: FromStr> FromStr for CommaSeparated<T> {
    type Err = T::Err;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.split(',').map(T::from_str).collect::<Result<_, _>>().map(Self)
    }
}

impl<T: ToString> std::fmt::Display for CommaSeparated<T> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let entries: Vec<String> = self.0.iter().map(T::to_string).collect();
        f.write_str(&entries.join(","))
    }
}

/// The run time of one request kind.
#[derive(Debug, Clone)]
pub struct KindRunTime {
    /// The request kind.
    pub kind: String,
    /// The run time.
    pub run_ms: f64,
}

impl FromStr for KindRunTime {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let Some((kind, run_ms)) = text.split_once('=') else {
            return Err("expected KIND=MS".into());
        };
        let run_ms = run_ms.parse().map_err(|e| format!("{run_ms} is no number: {e}"))?;
        Ok(Self { kind: kind.into(), run_ms })
    }
}

impl FleetSettings {
    /// Returns the run times by request kind.
    pub fn run_times(&self) -> BTreeMap<String, f64> {
        self.run_ms.iter().map(|entry| (entry.kind.clone(), entry.run_ms)).collect()
    }
}
