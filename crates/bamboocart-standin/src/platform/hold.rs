//! Appends that are held back until the test releases them.

use std::sync::{Condvar, Mutex, MutexGuard};

/// Holds back the appends to one stream.
#[derive(Debug, Default)]
pub struct Hold {
    state: Mutex<State>,
    /// Wakes held appends after a release.
    released: Condvar,
}

/// The held stream and its appends.
#[derive(Debug, Default)]
struct State {
    /// The only stream whose appends are held; empty for none.
    stream: String,
    /// The held appends, oldest first.
    held: Vec<HeldAppend>,
    /// The number of the next held append.
    next_number: u64,
}

/// An append that waits for its release.
#[derive(Debug)]
struct HeldAppend {
    number: u64,
    /// The body of the record.
    body: String,
}

impl Hold {
    /// Holds the later appends to a stream, or none if its name is empty, and releases
    /// all that are held.
    pub fn set_stream(&self, stream: String) {
        let mut state = self.lock();
        state.stream = stream;
        state.held.clear();
        self.released.notify_all();
    }

    /// Releases held appends, the newest first.
    pub fn release(&self, count: u64) {
        let mut state = self.lock();
        let count = usize::try_from(count).unwrap_or(usize::MAX);
        let kept = state.held.len().saturating_sub(count);
        state.held.truncate(kept);
        self.released.notify_all();
    }

    /// Returns the bodies of the held appends, oldest first.
    pub fn held(&self) -> Vec<String> {
        self.lock().held.iter().map(|append| append.body.clone()).collect()
    }

    /// Blocks until an append to a stream may take effect.
    pub fn wait(&self, stream: &str, body: &str) {
        let mut state = self.lock();
        if state.stream.is_empty() || state.stream != stream {
            return;
        }
        let number = state.next_number;
        state.next_number += 1;
        state.held.push(HeldAppend { number, body: body.to_owned() });
        let is_held = |state: &mut State| state.held.iter().any(|it| it.number == number);
        let waited = self.released.wait_while(state, is_held);
        drop(waited.expect("no holder of the lock panics"));
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}
