//! Prints the speed of the queue and the memory that it needs for each entry.

use std::fs;
use std::time::Instant;

use bamboocart_core::queue::{FairQueue, NewEntry};
use bamboocart_core::time::Timestamp;

/// The number of entries that one instance holds at most.
const ENTRIES: u64 = 200_000;

/// The number of picks that are timed, each with a push or a requeue.
const PICKS: u64 = 2_000_000;

/// The number of customers at the target scale.
const CUSTOMERS: u64 = 46;

fn main() {
    let memory_before = resident_bytes();
    let mut queue = FairQueue::<u64, u16>::new(ENTRIES as usize);
    queue.set_floor(1, 20);
    queue.set_floor(2, 5);
    let pushes = rate(ENTRIES, |key| queue.push(entry(key)).expect("the queue has room"));
    println!("{:.0} pushes/s into an empty queue", pushes);
    let memory = resident_bytes().saturating_sub(memory_before);
    println!("{:.0} bytes per queued entry", memory as f64 / ENTRIES as f64);

    let refilled = rate(PICKS, |turn| {
        queue.pick(|_| true).expect("the queue is never empty");
        queue.push(entry(ENTRIES + turn)).expect("the pick made room");
    });
    println!("{refilled:.0} picks/s at {ENTRIES} entries, each with a push");

    let requeued = rate(PICKS, |turn| {
        let pick =
            queue.pick(|key| !(key ^ turn).is_multiple_of(4)).expect("an entry fits");
        queue.requeue(pick.key, pick.position).expect("the key left the queue");
    });
    println!("{requeued:.0} picks/s with one in four unfit, each with a requeue");

    let drained = rate(ENTRIES, |_| {
        queue.pick(|_| true).expect("entries remain");
    });
    println!("{drained:.0} picks/s while the queue empties");
}

/// Returns an entry whose rank, customer, cost and deadline follow from its key.
fn entry(key: u64) -> NewEntry<u64, u16> {
    let mixed = key.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 20;
    NewEntry {
        key,
        customer: (mixed % CUSTOMERS) as u16,
        weight: 1 + (mixed % 7) as u32,
        rank: (mixed / 64 % 3) as u8,
        cost_us: 50_000 + (mixed % 950_000) as u32,
        start_by: Timestamp::from_us(1_000_000_000 + mixed % 10_000_000),
    }
}

/// Runs `step` `count` times and returns the runs per second.
fn rate(count: u64, mut step: impl FnMut(u64)) -> f64 {
    let start = Instant::now();
    for turn in 0..count {
        step(turn);
    }
    count as f64 / start.elapsed().as_secs_f64()
}

/// Returns the resident memory of this process, or 0 where it cannot be read.
fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|rest| rest.split_whitespace().next()?.parse::<u64>().ok());
    kib.unwrap_or(0) * 1_024
}
