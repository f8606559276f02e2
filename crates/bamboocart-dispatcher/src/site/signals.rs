//! Signals, and the stop of the process.

use std::io;
use std::time::Duration;

use bamboocart_adapter::Settings;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::sleep;

use crate::site::shell::Shell;
use crate::site::store;

/// The time that the jobs of clients that wait need at the end of a stop.
const FINISH_MS: u64 = 1_600;

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

/// Stops gracefully: no new connections, then no minions, then only jobs that are short
/// enough, on the minions of peers.
///
/// New requests are served for as long as the grace period allows. The balancer notices only
/// after two probes a second apart that the instance is not ready, and goes on sending
/// clients where fewer than half of a failure domain's instances are.
async fn stop(shell: &Shell, settings: &Settings) {
    log::info!(target: "process", requests = shell.open_requests(); "stop begins");
    shell.set_not_ready();
    let serve_on_ms = settings.grace_ms.saturating_sub(FINISH_MS + RESERVE_MS);
    sleep(Duration::from_millis(serve_on_ms)).await;
    shell.event(|engine, now| {
        engine.drain(now + FINISH_MS);
        engine.leave(now);
    });
    store::leave(shell, settings).await;
    shell.await_requests(Duration::from_millis(FINISH_MS)).await;
    // Lets the last answers and frames leave.
    sleep(Duration::from_millis(50)).await;
}
