//! Room that is kept free for more urgent jobs.
//!
//! Tasks are not preempted, so that an order by priority alone lets long tasks of the least
//! urgent jobs take the last room just before an urgent job arrives. Telephone networks know
//! this as trunk reservation: a call of a lower class is taken only while more than a certain
//! number of lines is free. A small reservation is enough, since room frees up all the time.

use std::collections::BTreeMap;

use crate::id::ServiceName;
use crate::resources::Resources;
use crate::time::Moment;

/// How long after a job had to wait for room some is kept free for the next one of its
/// priority. Bursts last seconds.
const SHORTAGE_MS: u64 = 500;

/// The weight of a job in the moving average of the number of tasks.
const WEIGHT: f64 = 0.1;

/// The part of an urgent job's tasks that room is kept free for; the rest gets the room that frees
/// up while it waits.
const RESERVED_SHARE: f64 = 0.5;

/// Maximum number of tasks that room is kept free for.
const MAX_RESERVED_TASKS: u32 = 32;

/// Maximum number of services and priorities whose demand is kept; those that were seen last
/// stay.
const MAX_DEMANDS: usize = 64;

/// What the jobs of a priority need, of those that arrived lately.
#[derive(Debug)]
struct Demand {
    /// The mean number of tasks of the widest step.
    tasks: f64,
    /// The resources that a task of the last job needs.
    need: Resources,
    /// When the last job arrived.
    seen_at: Moment,
    /// When a job last had to wait for room, if one had to.
    short_at: Option<Moment>,
}

/// The demand for which room is kept free, by service and priority.
#[derive(Debug, Default)]
pub struct Headroom {
    demands: BTreeMap<(ServiceName, u8), Demand>,
}

/// Room to be kept free.
#[derive(Debug, Copy, Clone, Eq, PartialEq)]
pub struct Reservation {
    /// The number of tasks.
    pub tasks: u32,
    /// The resources that each of them needs.
    pub need: Resources,
}

impl Headroom {
    /// Records a job that has arrived.
    pub fn note_arrival(
        &mut self,
        service: &ServiceName,
        priority: u8,
        tasks: usize,
        need: Resources,
        now: Moment,
    ) {
        let key = (service.clone(), priority);
        if !self.demands.contains_key(&key) && self.demands.len() >= MAX_DEMANDS {
            let oldest = self.demands.iter().min_by_key(|(_, demand)| demand.seen_at);
            let oldest = oldest.map(|(key, _)| key.clone());
            oldest.and_then(|key| self.demands.remove(&key));
        }
        let new = Demand { tasks: tasks as f64, need, seen_at: now, short_at: None };
        let demand = self.demands.entry(key).or_insert(new);
        demand.tasks += WEIGHT * (tasks as f64 - demand.tasks);
        demand.need = need;
        demand.seen_at = now;
    }

    /// Records that a job that has just arrived has to wait for room.
    pub fn note_shortage(&mut self, service: &ServiceName, priority: u8, now: Moment) {
        if let Some(demand) = self.demands.get_mut(&(service.clone(), priority)) {
            demand.short_at = Some(now);
        }
    }

    /// Returns the room to be kept free from a job of a priority: for a part of one job of
    /// each more urgent priority of the service of which one had to wait lately.
    pub fn reserved_from(
        &self,
        service: &ServiceName,
        priority: u8,
        now: Moment,
    ) -> Option<Reservation> {
        let urgent =
            self.demands.range((service.clone(), 0)..(service.clone(), priority));
        let recent = urgent.map(|(_, demand)| demand);
        let is_short = |at: Moment| now.since(at) <= SHORTAGE_MS;
        let recent = recent.filter(|demand| demand.short_at.is_some_and(is_short));
        let (tasks, need) = recent.fold((0.0, None), |(tasks, need), demand| {
            (tasks + demand.tasks, need.or(Some(demand.need)))
        });
        let tasks = ((tasks * RESERVED_SHARE).ceil() as u32).min(MAX_RESERVED_TASKS);
        need.map(|need| Reservation { tasks, need })
    }
}

impl Reservation {
    /// Returns whether free capacity has room for more tasks than are reserved.
    pub fn is_exceeded_by(self, free: impl Iterator<Item = Resources>) -> bool {
        let mut slots = 0_u32;
        for free in free {
            slots = slots.saturating_add(self.need.times_in(free));
            if slots > self.tasks {
                return true;
            }
        }
        false
    }
}
