//! Registration of targets at the platform.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use bamboocart_core::id::InstanceName;
use bamboocart_platform::InstanceEntry;
use crossbeam::channel::{self, Receiver, Sender};

use crate::join;

/// The largest number of updates that wait; later ones are dropped with a log line.
const UPDATES_MAX: usize = 16_384;

/// The time that a call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The pause before an update is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Sends updates of the instance list in order, again and again until they succeed.
pub struct Registrar {
    /// The updates, absent without a platform.
    updates: Option<Sender<Update>>,
    /// Whether to give up on updates that fail.
    stopping: Arc<AtomicBool>,
    /// The thread.
    thread: Option<JoinHandle<()>>,
}

/// An update of the instance list.
pub enum Update {
    /// Registers or updates an entry.
    Put(Box<InstanceEntry>),
    /// Removes an entry.
    Remove(InstanceName),
    /// Reports that all earlier updates have been sent.
    Flush(Sender<()>),
}

impl Registrar {
    /// Starts the thread that talks to the platform, if there is one.
    pub fn start(platform: Option<SocketAddr>) -> Self {
        let stopping = Arc::new(AtomicBool::new(false));
        let Some(platform) = platform else {
            return Self { updates: None, stopping, thread: None };
        };
        let (updates, received) = channel::bounded(UPDATES_MAX);
        let stop = Arc::clone(&stopping);
        let thread = thread::spawn(move || run(platform, &received, &stop));
        Self { updates: Some(updates), stopping, thread: Some(thread) }
    }

    /// Sends an update.
    pub fn send(&self, update: Update) {
        let Some(updates) = &self.updates else { return };
        if updates.try_send(update).is_err() {
            log::warn!("an update of the instance list was dropped: too many wait");
        }
    }

    /// Waits until all earlier updates have been sent, or the time is over.
    pub fn flush(&self, timeout: Duration) -> bool {
        let (done, wait) = channel::bounded(1);
        self.send(Update::Flush(done));
        self.updates.is_none() || wait.recv_timeout(timeout).is_ok()
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

/// Sends updates until the last sender is gone.
fn run(platform: SocketAddr, updates: &Receiver<Update>, stopping: &AtomicBool) {
    for update in updates {
        while let Err(error) = call(platform, &update) {
            log::debug!("could not update the instance list: {error}");
            if stopping.load(Ordering::Relaxed) {
                return;
            }
            thread::sleep(RETRY_PAUSE);
        }
    }
}

/// Sends one update.
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
