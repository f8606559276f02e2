//! Signal handling and the graceful stop.

use std::io;
use std::path::Path;
use std::time::Duration;

use bamboocart_adapter::Settings;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::{Instant, sleep, sleep_until};

use crate::site::driver::Driver;
use crate::site::{read_settings, store};

/// The time at the end of a stop in which the instance holds no minions. Its remaining
/// jobs end on minions that peers hold.
const NO_MINIONS_MS: u64 = 1_600;

/// The time for sending the last answers and frames, a part of [`RESERVE_MS`].
const LAST_ANSWERS: Duration = Duration::from_millis(200);

/// The end of the grace period, which is reserved for the kernel and for flushing the
/// log.
const RESERVE_MS: u64 = 700;

/// The signals that the process handles: TERM and INT stop it, HUP reloads its settings.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Installs the handlers; signals that arrive before [`Signals::run`] are not lost.
    pub fn new() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for a termination signal, then stops gracefully.
    ///
    /// Until then, each SIGHUP reloads the settings from `path`.
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

/// Reloads the settings. A new grace period applies at once, the rest at the next start.
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
                "reload failed; the previous settings stay in force");
        }
    }
}

/// Stops gracefully in phases: readiness probes fail, then only jobs that can end in time
/// are admitted, then all minions are released, and at last all new jobs are refused.
///
/// New requests are served as long as the grace period allows. The load balancer detects
/// only after two probes, one second apart, that the instance is not ready, and it keeps
/// sending clients if fewer than half of the instances of a failure domain are ready.
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
    // New requests are refused while the last answers and frames are sent.
    driver.update_engine(|engine, now| engine.drain(now));
    driver.give_up_requests();
    sleep(LAST_ANSWERS).await;
}
