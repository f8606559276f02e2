//! A load of concurrent submissions with bursts of resubmissions, during injected faults.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use bamboocart_core::id::SubmissionId;
use bamboocart_standin::history::Purpose;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use uuid::Uuid;

use super::callers::{Callers, SubmissionSpec};
use super::{CALLER_END_TIMEOUT, join};

/// The stack size of a caller's thread.
const STACK_BYTES: usize = 256 << 10;

/// The description of a load.
#[derive(Debug, Clone)]
pub struct Load {
    /// The number of submissions.
    pub count: usize,
    /// The time over which the first calls are spread at random.
    pub spread_over: Duration,
    /// The request kinds to choose from, each with its number of tasks.
    pub kinds: &'static [(&'static str, usize)],
    /// The longest run time of a task.
    pub max_run_ms: u64,
    /// The share of submissions that are cancelled, from 0 to 1.
    pub cancel_share: f64,
    /// Whether all submissions use caller keys, and none tickets.
    pub keys_only: bool,
    /// The time from the first call of a submission until its last resubmission, to one
    /// instance.
    pub resubmit_after: Duration,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            count: 120,
            spread_over: Duration::from_secs(3),
            kinds: &[
                ("release-order", 1),
                ("release-order", 1),
                ("bay-check", 1),
                ("tag-lookup", 1),
                ("haul-plan", 4),
                ("release-order", 3),
            ],
            max_run_ms: 300,
            cancel_share: 0.1,
            keys_only: false,
            resubmit_after: Duration::from_secs(4),
        }
    }
}

/// A load whose calls are in progress.
pub struct RunningLoad {
    callers: Vec<JoinHandle<()>>,
    /// The longest time from the start to the last call.
    longest: Duration,
}

impl RunningLoad {
    /// Waits until every call has ended, and panics if one takes too long.
    pub fn join(self) {
        let limit = self.longest + CALLER_END_TIMEOUT;
        self.callers.into_iter().for_each(|it| join("a caller's end", limit, it));
    }
}

impl Load {
    /// Starts the load, in which about half of the submissions use tickets of all
    /// instances and the others caller keys.
    ///
    /// Each submission is sent to one instance, soon after to all of them at once, and
    /// later to one again. Some are cancelled in between.
    pub fn start(
        &self,
        seed: u64,
        callers: &Arc<Callers>,
        instances: &[SocketAddr],
    ) -> RunningLoad {
        let mut rng = SmallRng::seed_from_u64(seed);
        let share = self.count.div_ceil(instances.len());
        let mut tickets: Vec<SubmissionId> =
            instances.iter().flat_map(|&at| callers.tickets(at, share)).collect();
        let mut threads = vec![];
        for _ in 0..self.count {
            let ticket = match rng.random() {
                true if !self.keys_only => tickets.pop(),
                _ => None,
            };
            let (kind, tasks) = *self.kinds.choose(&mut rng).unwrap();
            let run_ms: Vec<u64> =
                (0..tasks).map(|_| rng.random_range(1..=self.max_run_ms)).collect();
            let submit_at = self.spread_over.mul_f64(rng.random());
            let resubmit_all_at =
                submit_at + Duration::from_millis(rng.random_range(0..300));
            let cancel_at =
                resubmit_all_at + Duration::from_millis(rng.random_range(0..200));
            let resubmit_at = submit_at + self.resubmit_after;
            let pick = |rng: &mut SmallRng| vec![*instances.choose(rng).unwrap()];
            let mut calls = vec![
                (submit_at, Purpose::Submit, pick(&mut rng)),
                (resubmit_all_at, Purpose::Resubmit, instances.to_vec()),
                (resubmit_at, Purpose::Resubmit, pick(&mut rng)),
            ];
            if rng.random_bool(self.cancel_share) {
                calls.push((cancel_at, Purpose::Cancel, pick(&mut rng)));
            }
            let callers = Arc::clone(callers);
            let caller = move || {
                std::thread::sleep(submit_at);
                let key = || SubmissionId::CallerKey(Uuid::now_v7());
                let spec = SubmissionSpec::new(ticket.unwrap_or_else(key), kind, &run_ms);
                make_calls(&callers, submit_at, &spec, &calls);
            };
            threads.push(spawn_caller(caller));
        }
        RunningLoad { callers: threads, longest: self.spread_over + self.resubmit_after }
    }
}

/// Makes the calls of one submission at their times, without waiting for the answers of
/// earlier ones.
fn make_calls(
    callers: &Arc<Callers>,
    submit_at: Duration,
    spec: &SubmissionSpec,
    calls: &[(Duration, Purpose, Vec<SocketAddr>)],
) {
    let start = |at: &Duration, purpose: Purpose, instance: SocketAddr| {
        let (callers, spec, wait) = (Arc::clone(callers), spec.clone(), *at - submit_at);
        spawn_caller(move || {
            std::thread::sleep(wait);
            match purpose {
                Purpose::Cancel => callers.cancel(instance, &spec),
                _ => callers.submit(instance, &spec, purpose),
            };
        })
    };
    let threads: Vec<_> = calls
        .iter()
        .flat_map(|(at, purpose, instances)| {
            instances.iter().map(move |&instance| start(at, *purpose, instance))
        })
        .collect();
    let last = calls.iter().map(|(at, ..)| *at).max().unwrap_or(submit_at);
    let limit = last - submit_at + CALLER_END_TIMEOUT;
    threads.into_iter().for_each(|it| join("a call's end", limit, it));
}

/// Starts a caller on a thread with a small stack.
pub fn spawn_caller(run: impl FnOnce() + Send + 'static) -> JoinHandle<()> {
    std::thread::Builder::new().stack_size(STACK_BYTES).spawn(run).unwrap()
}
