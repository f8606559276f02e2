//! Measures the bytes and the processor time of the account for each start.
//!
//! One instance at 1,500 starts/s serves four customers on 25 targets, in jobs of 240
//! tasks of which eight run at the same time, or in single requests, under tickets or
//! under keys of callers. Batches are formed as the engine does it.

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

/// The start of the process.
const START_MS: u64 = 1_800_000_000_000;

/// The time between two starts.
const STEP_US: u64 = 667;

/// The tasks that run at the same time, as 512 sender threads allow.
const RUNNING: usize = 512;

/// The jobs whose tasks start in turn.
const JOBS: u64 = 8;

/// The starts of a run.
const STARTS: u64 = 200_000;

/// The time after which a batch is formed.
const BATCH_EVERY_US: u64 = 500_000;

/// A kind of load.
#[derive(Debug, Copy, Clone)]
struct Load {
    /// Its name.
    name: &'static str,
    /// The tasks of a submission.
    tasks: u16,
    /// Whether callers bring keys.
    keys: bool,
}

/// The account and what was measured of it.
struct Run {
    load: Load,
    chain: AccountWriter,
    now: Timestamp,
    formed_at: Timestamp,
    bytes: u64,
    batches: u64,
}

impl Run {
    /// Records an entry, and forms a batch if one is due.
    fn record(&mut self, fact: Fact) {
        self.chain.record(self.now, fact);
        let waited_us = self.now.us_since(self.formed_at);
        if waited_us >= BATCH_EVERY_US || self.chain.buffered() >= MAX_BATCH_ENTRIES {
            self.form();
        }
    }

    /// Forms a batch and confirms it.
    fn form(&mut self) {
        if let Some(batch) = self.chain.next_batch(self.now) {
            self.bytes += batch.text.len() as u64;
            self.batches += 1;
            self.chain.confirm_append(batch.number);
        }
        self.formed_at = self.now;
    }

    /// Admits a submission.
    fn admit(&mut self, number: u64) {
        let params = SchedulingParams {
            queue: "yard-workers".into(),
            rank: (number % 3) as u8,
            weight: 10,
            cost_us: 150_000 + scatter(number) % 200_000,
            arrival: number * u64::from(self.load.tasks),
        };
        let tasks = TaskRange { first: TaskIndex(0), count: self.load.tasks };
        let subject = self.subject(number);
        self.record(Fact::Admitted { subject, tasks, params });
    }

    /// Describes a submission.
    fn subject(&self, number: u64) -> Subject {
        let (first, second) = (scatter(number), scatter(!number));
        let submission = match self.load.keys {
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

    /// Ends a task, and its submission with the last one.
    fn finish(&mut self, (number, task): (u64, u16), ended: &mut VecDeque<u16>) {
        let subject = self.subject(number);
        let (task, attempt) = (TaskIndex(task), Attempt(1));
        let result = FinishResult::Complete;
        self.record(Fact::Finished { subject, task, attempt, result });
        let slot = &mut ended[(number % JOBS) as usize];
        *slot += 1;
        if slot.is_multiple_of(self.load.tasks) {
            let subject = self.subject(number);
            self.record(Fact::Answered { subject, answer: AnswerKind::Complete });
        }
    }
}

/// Returns a number that looks random.
fn scatter(number: u64) -> u64 {
    let mixed = (number ^ number >> 31).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    (mixed ^ mixed >> 29).wrapping_mul(0xBF58_476D_1CE4_E5B9) ^ mixed >> 32
}

/// Returns the processor time of this thread.
fn thread_ns() -> u64 {
    let text = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    text.split(' ').next().and_then(|ns| ns.parse().ok()).unwrap_or(0)
}

/// Runs a load and returns its run, with the records of the facts if `record` is set.
fn run(load: Load, record: bool) -> Run {
    let start = Timestamp::from_ms(START_MS);
    let chain = AccountWriter::new("entry-1".into(), Incarnation(START_MS * 1_000));
    let mut run = Run { load, chain, now: start, formed_at: start, bytes: 0, batches: 0 };
    let mut running = VecDeque::new();
    let mut ended = VecDeque::from(vec![0; JOBS as usize]);
    let tasks = u64::from(load.tasks);
    for start in 0..STARTS {
        run.now = run.now.plus_us(STEP_US + scatter(start) % 50);
        let (round, place) = (start / (JOBS * tasks), start % (JOBS * tasks));
        // Some tasks of one job start together, as free slots come in bursts.
        let (task, job) = (place / JOBS, place % JOBS);
        let number = round * JOBS + job;
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
            target: format!("worker-{}", scatter(start) % 25).into(),
            reason: StartReason::Order,
        };
        run.record(fact);
        running.push_back((number, task as u16));
        if running.len() > RUNNING {
            let first = scatter(start) as usize % 8;
            let task = running.remove(first).unwrap_or_default();
            run.finish(task, &mut ended);
        }
    }
    run.form();
    run
}

fn main() {
    let loads = [
        Load { name: "jobs of 240 tasks", tasks: 240, keys: false },
        Load { name: "requests, tickets", tasks: 1, keys: false },
        Load { name: "requests, keys of callers", tasks: 1, keys: true },
    ];
    println!("| load | bytes per start | batches | us of processor time per start |");
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
