//! What a scheduler with complete and current knowledge would achieve.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// One request of a recorded run.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// When it was due.
    pub due_us: u64,
    /// When its answer was needed.
    pub deadline_us: u64,
    /// Its run time on a target of speed 1.
    pub run_us: u64,
    /// The rank of its priority, 0 for the highest.
    pub rank: u8,
}

/// Slots of equal speed.
#[derive(Debug, Clone, Copy)]
pub struct SlotClass {
    /// The factor by which they are faster than speed 1.
    pub speed: f64,
    /// Their number.
    pub count: u32,
}

/// When a request ends in the ideal schedule, or `None` if it cannot end in time.
pub type ScheduledEndUs = Option<u64>;

/// Schedules recorded requests on one shared set of slots without any delay.
///
/// A request starts at once on the fastest free slot. While all slots are taken, requests
/// wait by rank and then by arrival. A request that would not end in time on the slot that
/// it gets is dropped and takes no slot. The result has the order of the arguments; `arrivals` must be
/// ordered by time.
pub fn schedule(arrivals: &[Arrival], slots: &[SlotClass]) -> Vec<ScheduledEndUs> {
    let mut classes = slots.to_vec();
    classes.sort_by(|a, b| b.speed.total_cmp(&a.speed));
    let mut schedule = Schedule {
        free: classes.iter().map(|class| class.count).collect(),
        classes,
        running: BinaryHeap::new(),
        waiting: BTreeMap::new(),
        ended: vec![None; arrivals.len()],
    };
    for (index, arrival) in arrivals.iter().enumerate() {
        schedule.release_until(arrival.due_us, arrivals);
        schedule.waiting.insert((arrival.rank, index), ());
        schedule.start(arrival.due_us, arrivals);
    }
    schedule.release_until(u64::MAX, arrivals);
    schedule.ended
}

/// The state of the ideal schedule.
struct Schedule {
    /// The classes of slots, fastest first.
    classes: Vec<SlotClass>,
    /// The free slots of each class.
    free: Vec<u32>,
    /// The ends of running requests and the classes of their slots.
    running: BinaryHeap<Reverse<(u64, usize)>>,
    /// The waiting requests by rank and position.
    waiting: BTreeMap<(u8, usize), ()>,
    /// The ends of requests.
    ended: Vec<ScheduledEndUs>,
}

impl Schedule {
    /// Frees the slots of requests that end by a time, and starts others on them.
    fn release_until(&mut self, until_us: u64, arrivals: &[Arrival]) {
        while let Some(&Reverse((at_us, class))) = self.running.peek() {
            if at_us > until_us {
                return;
            }
            self.running.pop();
            self.free[class] += 1;
            self.start(at_us, arrivals);
        }
    }

    /// Starts waiting requests while there are free slots.
    fn start(&mut self, now_us: u64, arrivals: &[Arrival]) {
        while let Some(class) = self.free.iter().position(|&free| free > 0) {
            let Some(((_, index), ())) = self.waiting.pop_first() else { return };
            let arrival = arrivals[index];
            let end_on =
                |slots: &SlotClass| now_us + (arrival.run_us as f64 / slots.speed) as u64;
            let end_us = end_on(&self.classes[class]);
            if end_us > arrival.deadline_us {
                continue;
            }
            self.free[class] -= 1;
            self.running.push(Reverse((end_us, class)));
            self.ended[index] = Some(end_us);
        }
    }
}
