//! A run of a load with a fault.

use std::sync::Arc;
use std::time::Duration;

use super::callers::Callers;
use super::cluster::{Cluster, ClusterSettings};
use super::load::Load;
use super::run_check::{Summary, check_run};
use super::{sleep, test_length, test_seed};

/// Injects a fault and ends it, and returns the instances that kept their state.
pub type Fault = fn(&mut Cluster, u64) -> Vec<usize>;

/// A run of a load with a fault.
pub struct FaultRun {
    /// The seed of the first round.
    pub seed: u64,
    /// What is submitted.
    pub load: Load,
    /// The system.
    pub cluster: ClusterSettings,
    /// The fault, which begins one second after the load.
    pub fault: Fault,
}

impl FaultRun {
    /// Describes a run of the usual load.
    pub fn new(seed: u64, fault: Fault) -> Self {
        let cluster = ClusterSettings::default();
        Self { seed, load: Load::default(), cluster, fault }
    }

    /// Runs the load with the fault on new systems, once or as often as the environment
    /// says, and fails the test when a history shows a violation or full service does
    /// not return in time. Returns the counts of the last round.
    pub fn run(&self) -> Summary {
        let seed = test_seed(self.seed);
        let rounds = (0..test_length()).map(|round| self.round(seed + round * 1_000));
        rounds.reduce(|_, last| last).expect("there is at least one round")
    }

    /// Runs the load once.
    fn round(&self, seed: u64) -> Summary {
        println!("seed {seed}");
        let mut cluster = Cluster::start(self.cluster.clone());
        cluster.wait_for_claims();
        let callers: Arc<Callers> = Callers::new();
        let load = self.load.start(seed, &callers, &cluster.addresses());
        sleep(Duration::from_secs(1));
        let live = (self.fault)(&mut cluster, seed);
        let running = cluster.running();
        cluster.wait_for_service_of(&running);
        load.join();
        let summary = check_run(&cluster, &callers, &live);
        println!("{summary:#?}");
        let complete = summary.with_code("complete");
        assert!(complete >= self.load.count, "the system hardly served: {summary:?}");
        summary
    }
}
