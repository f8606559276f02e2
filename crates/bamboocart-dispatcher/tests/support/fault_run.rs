//! Runs of a load during which a fault is injected.

use std::sync::Arc;
use std::time::Duration;

use super::callers::Callers;
use super::cluster::{Cluster, ClusterSettings};
use super::load::Load;
use super::run_check::{Summary, check_run};
use super::{sleep, test_length, test_seed};

/// A function that injects a fault, ends it, and returns the indices of the instances
/// that kept their state. Its second argument is the seed of the round.
pub type Fault = fn(&mut Cluster, u64) -> Vec<usize>;

/// The description of a run of a load with an injected fault.
pub struct FaultRun {
    /// The seed of the first round, unless the environment sets another.
    pub seed: u64,
    /// The load to submit.
    pub load: Load,
    /// The system, which is started anew for each round.
    pub cluster: ClusterSettings,
    /// The fault, which is injected one second after the start of the load.
    pub fault: Fault,
}

impl FaultRun {
    /// Describes a run with the default load and system.
    pub fn new(seed: u64, fault: Fault) -> Self {
        let cluster = ClusterSettings::default();
        Self { seed, load: Load::default(), cluster, fault }
    }

    /// Runs as many rounds as the environment asks for, by default one, and returns the
    /// counts of the last one.
    ///
    /// Panics if a history shows a violation or full service does not return in time.
    pub fn run(&self) -> Summary {
        let seed = test_seed(self.seed);
        let rounds = (0..test_length()).map(|round| self.round(seed + round * 1_000));
        rounds.reduce(|_, last| last).expect("there is at least one round")
    }

    /// Runs the load with the fault once, on a new system.
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
        assert!(complete >= self.load.count, "too few complete answers: {summary:?}");
        summary
    }
}
