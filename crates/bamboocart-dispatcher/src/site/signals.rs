//! Signals, and the stop of the process.

use std::io;
use std::path::Path;
use std::time::Duration;

use bamboocart_adapter::Settings;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::{Instant, sleep, sleep_until};

use crate::site::driver::Driver;
use crate::site::{read_settings, store};

/// The time at the end of a stop in which the instance holds no minions any more; its jobs
/// end on those of peers.
const NO_MINIONS_MS: u64 = 1_600;

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

    /// Waits for a termination signal, then stops gracefully. A hang-up lets the settings be
    /// read again.
    pub async fn run(mut self, driver: &Driver, path: &Path, mut settings: Settings) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => break,
                _ = self.interrupt.recv() => break,
                _ = self.hangup.recv() => reload(path, &mut settings),
            }
        }
        stop(driver, &settings).await;
    }
}

/// Reads the settings again. The grace period counts at once, the rest at the next start.
fn reload(path: &Path, settings: &mut Settings) {
    match read_settings(path) {
        Ok(read) => {
            let changed = read != *settings;
            let restart = settings.changed_restart_fields(&read).join(",");
            log::info!(target: "process", changed, grace_ms = read.grace_ms,
                next_start = restart; "reload");
            settings.grace_ms = read.grace_ms;
        }
        Err(error) => {
            log::error!(target: "process", error:% = error;
                "reload failed; the settings stay as they were");
        }
    }
}

/// Stops gracefully: no new connections, then only jobs that can end in time, then no
/// minions, then no jobs.
///
/// New requests are served for as long as the grace period allows. The balancer notices only
/// after two probes a second apart that the instance is not ready, and goes on sending
/// clients where fewer than half of a failure domain's instances are.
async fn stop(driver: &Driver, settings: &Settings) {
    log::info!(target: "process", requests = driver.open_requests(); "stop begins");
    driver.start_closing();
    let began = Instant::now();
    let serve_ms = settings.grace_ms.saturating_sub(RESERVE_MS);
    let drain_after_ms = serve_ms / 2;
    sleep(Duration::from_millis(drain_after_ms)).await;
    driver.update_engine(|engine, now| engine.drain(now + (serve_ms - drain_after_ms)));
    let leave_after_ms = serve_ms.saturating_sub(NO_MINIONS_MS).max(drain_after_ms);
    sleep_until(began + Duration::from_millis(leave_after_ms)).await;
    driver.update_engine(|engine, now| engine.leave(now));
    store::leave_group(driver, settings).await;
    let end = began + Duration::from_millis(serve_ms);
    driver.await_requests(end.saturating_duration_since(Instant::now())).await;
    // Requests that come from now on are refused, while the last answers and frames leave.
    driver.update_engine(|engine, now| engine.drain(now));
    sleep(Duration::from_millis(50)).await;
}
