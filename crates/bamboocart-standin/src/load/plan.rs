//! The sequence of submissions of a run, which depends only on the settings and the seed.

use bamboocart_core::id::{CustomerName, KindName, TaskIndex};
use bamboocart_wire::api::TaskBody;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::history::task_mark;
use crate::random;

use super::settings::{CustomerMix, KindMix, Settings};

const US_PER_S: f64 = 1_000_000.0;

/// The memory that each task of a job declares, in MB.
const TASK_MEMORY_MB: u64 = 64;

/// The sequence of submissions of a run, with exponential gaps between them.
pub struct Plan {
    settings: Settings,
    /// The request kinds to choose from, of which there is at least one.
    kinds: Vec<KindMix>,
    /// The customers to choose from, of which there is at least one.
    customers: Vec<CustomerMix>,
    /// A text that distinguishes the marks of this run from those of other runs.
    run: String,
    rng: SmallRng,
    /// The number of submissions that were returned so far.
    number: u64,
    /// When the latest submission is due, from the start of the run.
    due_us: f64,
}

/// A submission with its schedule and its tasks.
#[derive(Debug, Clone)]
pub struct PlannedSubmission {
    /// The position in the plan, from 1.
    pub number: u64,
    /// A text that identifies the submission, unique among all runs.
    pub mark: String,
    /// When it is due, from the start of the run.
    pub due_us: u64,
    /// The customer on whose behalf it is sent.
    pub customer: CustomerName,
    /// The request kind of all its tasks.
    pub kind: KindName,
    /// Whether it is sent as a job rather than a request.
    pub job: bool,
    /// The run time of each task at speed 1.
    pub run_ms: Vec<u64>,
    /// The run time that each task declares to the system.
    pub declared_ms: Vec<u64>,
}

impl Plan {
    /// Creates the plan of a run.
    ///
    /// Without kinds or customers in the settings there is one of each; `run` must differ
    /// between runs whose histories are checked together.
    pub fn new(settings: &Settings, run: String) -> Self {
        let mut kinds = settings.kind.clone();
        if kinds.is_empty() {
            kinds.push(KindMix { name: "bay-check".into(), weight: 1.0, run_ms: 100.0 });
        }
        let mut customers = settings.customer.clone();
        if customers.is_empty() {
            customers.push(CustomerMix { name: "float-storage".into(), weight: 1.0 });
        }
        let rng = SmallRng::seed_from_u64(settings.seed);
        let settings = settings.clone();
        Self { settings, kinds, customers, run, rng, number: 0, due_us: 0.0 }
    }

    /// Draws the run time of a task from a lognormal distribution; at least 1 ms.
    fn run_ms(&mut self, median_ms: f64) -> u64 {
        let run_ms = median_ms * random::lognormal(&mut self.rng, self.settings.spread);
        (run_ms.round() as u64).max(1)
    }

    /// Draws the run time that a task declares; at least 1 ms.
    fn declared_ms(&mut self, run_ms: u64) -> u64 {
        let factor = random::lognormal(&mut self.rng, self.settings.declared_spread);
        ((run_ms as f64 * factor).round() as u64).max(1)
    }
}

impl Iterator for Plan {
    type Item = PlannedSubmission;

    fn next(&mut self) -> Option<PlannedSubmission> {
        let interval_us = US_PER_S / self.settings.rate.max(f64::MIN_POSITIVE);
        self.due_us += random::exponential(&mut self.rng) * interval_us;
        let after_end = self.due_us > self.settings.duration_s * US_PER_S;
        if after_end || self.number >= self.settings.count {
            return None;
        }
        self.number += 1;
        let kind = pick(&mut self.rng, &self.kinds, |kind| kind.weight).clone();
        let customer = pick(&mut self.rng, &self.customers, |c| c.weight).name.clone();
        let job = self.rng.random::<f64>() < self.settings.job_share;
        let tasks = match job {
            true => self.rng.random_range(2..=self.settings.job_tasks.max(2)),
            false => 1,
        };
        let run_ms: Vec<u64> = (0..tasks).map(|_| self.run_ms(kind.run_ms)).collect();
        let declared_ms = run_ms.iter().map(|ms| self.declared_ms(*ms)).collect();
        Some(PlannedSubmission {
            number: self.number,
            mark: format!("{}-{}", self.run, self.number),
            due_us: self.due_us as u64,
            customer: customer.into(),
            kind: kind.name.into(),
            job,
            run_ms,
            declared_ms,
        })
    }
}

impl PlannedSubmission {
    /// Returns the number of tasks; 1 for a request.
    pub fn tasks(&self) -> u16 {
        u16::try_from(self.run_ms.len()).unwrap_or(u16::MAX)
    }

    /// Returns the JSON payload of a task with its run time and its mark.
    pub fn payload(&self, task: TaskIndex) -> String {
        let run_ms = self.run_ms[usize::from(task.0)];
        let mark = task_mark(&self.mark, task);
        serde_json::json!({ "run_ms": run_ms, "mark": mark }).to_string()
    }

    /// Returns the tasks in the form of a job's body.
    pub fn task_bodies(&self) -> Vec<TaskBody> {
        let task = |index: u16| TaskBody {
            payload: self.payload(TaskIndex(index)).into(),
            cpus: 1,
            memory_mb: TASK_MEMORY_MB,
            declared_ms: Some(self.declared_ms[usize::from(index)]),
        };
        (0..self.tasks()).map(task).collect()
    }

    /// Returns the response time of an ideal system, which starts all tasks immediately.
    pub fn ideal_us(&self, round_trip_us: u64) -> u64 {
        let longest_ms = self.run_ms.iter().max().copied().unwrap_or(0);
        longest_ms * 1_000 + round_trip_us
    }
}

/// Picks an entry with a probability proportional to its weight.
fn pick<'a, T>(
    rng: &mut SmallRng,
    entries: &'a [T],
    weight: impl Fn(&T) -> f64,
) -> &'a T {
    let total: f64 = entries.iter().map(&weight).sum();
    let mut remaining = rng.random::<f64>() * total;
    let chosen = entries.iter().find(|entry| {
        remaining -= weight(entry);
        remaining < 0.0
    });
    chosen.unwrap_or(&entries[0])
}
