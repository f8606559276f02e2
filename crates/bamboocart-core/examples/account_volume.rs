//! Measures the size and the CPU time of the account per task start.
//!
//! One instance with 1,500 starts/s serves four customers on 25 targets. The load
//! consists of jobs of 240 tasks, eight of which run at the same time, or of single
//! requests with tickets or with caller keys. Batches are formed as the engine forms
//! them.

use std::collections::VecDeque;
use std::fs;

use bamboocart_core::account::{
    AccountWriter, AnswerKind, Fact, FinishResult, MAX_BATCH_ENTRIES, SchedulingParams,
    StartReason, Subject, TaskRange,
};
use bamboocart_core::id::{
    Attempt, ConfigVersion, Incarnation, SubmissionId, TaskIndex, Ticket,
};
use bamboocart_core::time::Timestamp;
use uuid::Uuid;

/// The start time of the process.
const START_MS: u64 = 1_800_000_000_000;

/// The time between two starts.
const START_INTERVAL_US: u64 = 667;

/// The number of tasks that run at the same time, which is that of the sender threads.
const MAX_RUNNING: usize = 512;

/// The number of jobs whose tasks start in turn.
const CONCURRENT_JOBS: u64 = 8;

/// The number of starts in a run.
const STARTS: u64 = 200_000;

/// The time after which a batch is formed.
const BATCH_INTERVAL_US: u64 = 500_000;

/// A load to measure.
#[derive(Debug, Copy, Clone)]
struct Load {
    /// The label in the output.
    name: &'static str,
    /// The number of tasks in a submission.
    tasks: u16,
    /// Whether callers send idempotency keys instead of using tickets.
    caller_keys: bool,
}

/// A run of a load, with the size of its account.
struct Run {
    load: Load,
    writer: AccountWriter,
    now: Timestamp,
    formed_at: Timestamp,
    bytes: u64,
    batches: u64,
}

impl Run {
    /// Records an entry, and forms a batch if one is due.
    fn record(&mut self, fact: Fact) {
        self.writer.record(self.now, fact);
        let waited_us = self.now.us_since(self.formed_at);
        if waited_us >= BATCH_INTERVAL_US || self.writer.buffered() >= MAX_BATCH_ENTRIES {
            self.append_batch();
        }
    }

    /// Forms a batch, counts its size and confirms its append.
    fn append_batch(&mut self) {
        if let Some(batch) = self.writer.next_batch(self.now) {
            self.bytes += batch.text.len() as u64;
            self.batches += 1;
            self.writer.confirm_append(batch.number);
        }
        self.formed_at = self.now;
    }

    /// Admits a submission.
    fn admit(&mut self, number: u64) {
        let params = SchedulingParams {
            queue: "yard-workers".into(),
            rank: (number % 3) as u8,
            weight: 10,
            cost_us: 150_000 + pseudo_random(number) % 200_000,
            arrival: number * u64::from(self.load.tasks),
        };
        let tasks = TaskRange { first: TaskIndex(0), count: self.load.tasks };
        let subject = self.subject(number);
        self.record(Fact::Admitted { subject, tasks, params });
    }

    fn subject(&self, number: u64) -> Subject {
        let (first, second) = (pseudo_random(number), pseudo_random(!number));
        let submission = match self.load.caller_keys {
            true => SubmissionId::CallerKey(Uuid::from_u64_pair(
                0x0194_F3A0_0000_7000 | first >> 52,
                second | 1 << 63,
            )),
            false => SubmissionId::Ticket(Ticket {
                domain: "marka".into(),
                instance: "entry-1".into(),
                incarnation: Incarnation(START_MS * 1_000),
                sequence: number,
            }),
        };
        let customer = format!("zarqa-parade-committee-{}", number % 4);
        Subject {
            submission,
            customer: customer.into(),
            kind: "route-layout".into(),
            config: ConfigVersion(861),
        }
    }

    /// Ends a task, and answers its submission after the last task.
    fn finish(&mut self, (number, task): (u64, u16), ended: &mut VecDeque<u16>) {
        let subject = self.subject(number);
        let (task, attempt) = (TaskIndex(task), Attempt(1));
        let result = FinishResult::Complete;
        self.record(Fact::Finished { subject, task, attempt, result });
        let slot = &mut ended[(number % CONCURRENT_JOBS) as usize];
        *slot += 1;
        if slot.is_multiple_of(self.load.tasks) {
            let subject = self.subject(number);
            self.record(Fact::Answered { subject, answer: AnswerKind::Complete });
        }
    }
}

/// Returns a pseudo-random number, by hashing `number`.
fn pseudo_random(number: u64) -> u64 {
    let mixed = (number ^ number >> 31).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    (mixed ^ mixed >> 29).wrapping_mul(0xBF58_476D_1CE4_E5B9) ^ mixed >> 32
}

/// Returns the CPU time of this thread, or 0 if the kernel does not report it.
fn thread_ns() -> u64 {
    let text = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    text.split(' ').next().and_then(|ns| ns.parse().ok()).unwrap_or(0)
}

/// Runs a load; entries are only recorded if `record` is set, to measure the overhead of
/// the loop itself.
fn run(load: Load, record: bool) -> Run {
    let start = Timestamp::from_ms(START_MS);
    let writer = AccountWriter::new("entry-1".into(), Incarnation(START_MS * 1_000));
    let mut run =
        Run { load, writer, now: start, formed_at: start, bytes: 0, batches: 0 };
    let mut running = VecDeque::new();
    let mut ended = VecDeque::from(vec![0; CONCURRENT_JOBS as usize]);
    let tasks = u64::from(load.tasks);
    for start in 0..STARTS {
        run.now = run.now.plus_us(START_INTERVAL_US + pseudo_random(start) % 50);
        let (round, place) =
            (start / (CONCURRENT_JOBS * tasks), start % (CONCURRENT_JOBS * tasks));
        // Tasks of a job start close together, because slots become free in bursts.
        let (task, job) = (place / CONCURRENT_JOBS, place % CONCURRENT_JOBS);
        let number = round * CONCURRENT_JOBS + job;
        if !record {
            std::hint::black_box(run.subject(number));
            std::hint::black_box(run.subject(number));
            continue;
        }
        if task == 0 {
            run.admit(number);
        }
        let fact = Fact::Started {
            subject: run.subject(number),
            task: TaskIndex(task as u16),
            attempt: Attempt(1),
            target: format!("worker-{}", pseudo_random(start) % 25).into(),
            reason: StartReason::Order,
        };
        run.record(fact);
        running.push_back((number, task as u16));
        if running.len() > MAX_RUNNING {
            let first = pseudo_random(start) as usize % 8;
            let task = running.remove(first).unwrap_or_default();
            run.finish(task, &mut ended);
        }
    }
    run.append_batch();
    run
}

fn main() {
    let loads = [
        Load { name: "jobs of 240 tasks", tasks: 240, caller_keys: false },
        Load { name: "requests, tickets", tasks: 1, caller_keys: false },
        Load { name: "requests, keys of callers", tasks: 1, caller_keys: true },
    ];
    println!("| load | bytes per start | batches | us of CPU time per start |");
    println!("|---|---|---|---|");
    for load in loads {
        let before = thread_ns();
        run(load, false);
        let between = thread_ns();
        let run = run(load, true);
        let used_ns = (thread_ns() - between).saturating_sub(between - before);
        println!(
            "| {} | {:.1} | {} | {:.2} |",
            load.name,
            run.bytes as f64 / STARTS as f64,
            run.batches,
            used_ns as f64 / 1e3 / STARTS as f64
        );
    }
}
