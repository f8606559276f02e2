//! A thread that runs actions at given times.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::join;

/// What a timer runs.
type Action = Box<dyn FnOnce() + Send>;

/// Runs actions in the order of their times, in one thread.
///
/// The number of pending actions is bounded by the slots and connections of the targets.
pub struct Timer {
    /// The pending actions.
    shared: Arc<Shared>,
    /// The thread.
    thread: Mutex<Option<JoinHandle<()>>>,
}

/// What the thread and the callers share.
#[derive(Default)]
struct Shared {
    /// The pending actions.
    pending: Mutex<Pending>,
    /// Wakes the thread when an earlier action arrives.
    changed: Condvar,
}

/// The pending actions.
#[derive(Default)]
struct Pending {
    /// The times, with numbers that keep actions of the same time in order.
    order: BinaryHeap<Reverse<(Instant, u64)>>,
    /// The actions by number.
    actions: HashMap<u64, Action>,
    /// The number of the next action.
    next: u64,
    /// Whether the thread has to end.
    stopped: bool,
}

impl Timer {
    /// Starts the thread.
    pub fn start() -> Self {
        let shared = Arc::new(Shared::default());
        let inside = Arc::clone(&shared);
        let thread = thread::spawn(move || run(&inside));
        Self { shared, thread: Mutex::new(Some(thread)) }
    }

    /// Runs an action after a delay.
    pub fn after(&self, delay: Duration, action: impl FnOnce() + Send + 'static) {
        let due = Instant::now() + delay;
        let mut pending = self.shared.lock();
        let number = pending.next;
        pending.next += 1;
        pending.order.push(Reverse((due, number)));
        pending.actions.insert(number, Box::new(action));
        self.shared.changed.notify_one();
    }

    /// Drops the pending actions and ends the thread.
    pub fn stop(&self) {
        let dropped = {
            let mut pending = self.shared.lock();
            pending.stopped = true;
            pending.order.clear();
            std::mem::take(&mut pending.actions)
        };
        drop(dropped);
        self.shared.changed.notify_one();
        let thread = self.thread.lock().expect("no holder of the lock panics").take();
        if let Some(thread) = thread {
            join::join_or_report("the timer", thread);
        }
    }
}

impl Shared {
    /// Locks the pending actions.
    fn lock(&self) -> MutexGuard<'_, Pending> {
        self.pending.lock().expect("no holder of the lock panics")
    }
}

/// Runs actions until the timer is stopped.
fn run(shared: &Shared) {
    let mut pending = shared.lock();
    while !pending.stopped {
        let now = Instant::now();
        let earliest = pending.order.peek().map(|Reverse(entry)| *entry);
        match earliest {
            None => {
                let woken = shared.changed.wait(pending);
                pending = woken.expect("no holder of the lock panics");
            }
            Some((due, _)) if due > now => {
                let woken = shared.changed.wait_timeout(pending, due - now);
                pending = woken.expect("no holder of the lock panics").0;
            }
            Some((_, number)) => {
                pending.order.pop();
                let action = pending.actions.remove(&number);
                drop(pending);
                action.into_iter().for_each(|action| action());
                pending = shared.lock();
            }
        }
    }
}
