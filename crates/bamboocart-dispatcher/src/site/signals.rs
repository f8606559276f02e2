//! Signals, and the stop of the process.

use std::io;
use std::time::Duration;

use bamboocart_adapter::Settings;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::sleep;

use crate::site::shell::Shell;
use crate::site::store;

/// The time after a termination signal in which new requests are still served, because the
/// balancer notices after two probes a second apart that the instance is not ready.
const SERVE_ON: Duration = Duration::from_millis(2_400);

/// The time that is left for the kernel and the log at the end of the grace period.
const RESERVE_MS: u64 = 700;

/// The signals that the process reacts to.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Begins to watch.
    pub fn new() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for a termination signal, then stops gracefully.
    pub async fn run(mut self, shell: &Shell, settings: &Settings) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => break,
                _ = self.interrupt.recv() => break,
                _ = self.hangup.recv() => {
                    log::info!(target: "process", changed = false; "reload");
                }
            }
        }
        stop(shell, settings).await;
    }
}

/// Stops gracefully: no new connections, then no minions, then no new jobs.
async fn stop(shell: &Shell, settings: &Settings) {
    log::info!(target: "process", requests = shell.open_requests(); "stop begins");
    shell.set_not_ready();
    sleep(SERVE_ON).await;
    shell.event(|engine, now| {
        engine.drain();
        engine.leave(now);
    });
    store::leave(shell, settings).await;
    let used_ms = SERVE_ON.as_millis() as u64 + RESERVE_MS;
    let left_ms = settings.grace_ms.saturating_sub(used_ms);
    shell.await_requests(Duration::from_millis(left_ms)).await;
    // Lets the last answers and frames leave.
    sleep(Duration::from_millis(50)).await;
}
