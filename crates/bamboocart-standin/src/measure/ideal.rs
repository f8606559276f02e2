//! An ideal schedule, made with complete and current knowledge of all slots.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// The arrival of a request in a recorded run.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// The scheduled time of the first call.
    pub due_us: u64,
    /// The latest time of its answer.
    pub deadline_us: u64,
    /// The run time on a target of speed 1.
    pub run_us: u64,
    /// The rank of the priority, 0 for the highest.
    pub rank: u8,
}

/// A class of slots of equal speed.
#[derive(Debug, Clone, Copy)]
pub struct SlotClass {
    /// The speed factor; a task takes its run time at speed 1 divided by it.
    pub speed: f64,
    /// The number of slots.
    pub count: u32,
}

/// The time at which a request ends in the ideal schedule, or `None` if that is late.
pub type ScheduledEndUs = Option<u64>;

/// Schedules recorded requests on one shared set of slots without any delay.
///
/// A request starts immediately on the fastest free slot. While all slots are taken,
/// requests wait by rank and then by arrival. A request that would miss its deadline on
/// the slot that it gets is dropped and takes no slot.
///
/// `arrivals` must be ordered by time; the result has the same order.
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
    /// The end times of running requests and the classes of their slots, earliest first.
    running: BinaryHeap<Reverse<(u64, usize)>>,
    /// The waiting requests by rank and by position in the arrivals.
    waiting: BTreeMap<(u8, usize), ()>,
    /// The end time of each request, in the order of the arrivals.
    ended: Vec<ScheduledEndUs>,
}

impl Schedule {
    /// Frees the slots of requests that end by a time, and starts waiting ones on them.
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
