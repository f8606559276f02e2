//! Registers targets in the instance list of the platform.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use bamboocart_core::id::InstanceName;
use bamboocart_platform::InstanceEntry;
use crossbeam::channel::{self, Receiver, Sender};

use crate::join;

/// The largest number of queued updates; further ones are dropped with a log line.
const MAX_QUEUED_UPDATES: usize = 16_384;

/// The timeout of one call to the platform.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The pause before a failed update is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Sends updates of the instance list in order, retrying each until it succeeds.
pub struct Registrar {
    /// Queues updates; absent without a platform.
    updates: Option<Sender<Update>>,
    /// Set when the registrar is dropped: the next failed update ends the thread.
    stopping: Arc<AtomicBool>,
    /// Absent without a platform.
    thread: Option<JoinHandle<()>>,
}

/// An update of the instance list.
pub enum Update {
    /// Inserts an entry or replaces the one of the same name.
    Put(Box<InstanceEntry>),
    /// Removes the entry of this name.
    Remove(InstanceName),
    /// Signals that all earlier updates have succeeded.
    Flush(Sender<()>),
}

impl Registrar {
    /// Starts the thread that calls the platform; without one, updates are ignored.
    pub fn start(platform: Option<SocketAddr>) -> Self {
        let stopping = Arc::new(AtomicBool::new(false));
        let Some(platform) = platform else {
            return Self { updates: None, stopping, thread: None };
        };
        let (updates, received) = channel::bounded(MAX_QUEUED_UPDATES);
        let stop = Arc::clone(&stopping);
        let thread = thread::spawn(move || run(platform, &received, &stop));
        Self { updates: Some(updates), stopping, thread: Some(thread) }
    }

    /// Queues an update, or drops it with a warning if the queue is full.
    pub fn send(&self, update: Update) {
        let Some(updates) = &self.updates else { return };
        if updates.try_send(update).is_err() {
            log::warn!(
                "instance list update dropped: the queue is full; check the platform"
            );
        }
    }

    /// Waits until all earlier updates have succeeded; returns false after the timeout.
    pub fn flush(&self, timeout: Duration) -> bool {
        let (done, flushed) = channel::bounded(1);
        self.send(Update::Flush(done));
        self.updates.is_none() || flushed.recv_timeout(timeout).is_ok()
    }
}

impl Drop for Registrar {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::Relaxed);
        self.updates = None;
        if let Some(thread) = self.thread.take() {
            join::join_or_report("the registrar", thread);
        }
    }
}

/// Sends updates until the queue is closed.
fn run(platform: SocketAddr, updates: &Receiver<Update>, stopping: &AtomicBool) {
    for update in updates {
        while let Err(error) = call(platform, &update) {
            log::debug!("could not update the instance list: {error}");
            if stopping.load(Ordering::Relaxed) {
                return;
            }
            thread::sleep(RETRY_INTERVAL);
        }
    }
}

/// Sends one update; fails on an error status too.
fn call(platform: SocketAddr, update: &Update) -> attohttpc::Result<()> {
    let url = |name: &InstanceName| format!("http://{platform}/instances/{name}");
    let response = match update {
        Update::Put(entry) => {
            attohttpc::put(url(&entry.name)).timeout(CALL_TIMEOUT).json(entry)?.send()?
        }
        Update::Remove(name) => {
            attohttpc::delete(url(name)).timeout(CALL_TIMEOUT).send()?
        }
        Update::Flush(done) => {
            let _ = done.try_send(());
            return Ok(());
        }
    };
    response.error_for_status().map(|_| ())
}
