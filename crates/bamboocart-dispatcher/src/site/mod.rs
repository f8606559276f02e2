//! An instance on the users' platform: sockets, timers and signals around the engine.
//!
//! Everything runs on one thread. The process gets only a share of a core, so a second
//! thread would not add throughput, and each handoff between threads is charged to it.

mod client_stream;
mod clock;
mod driver;
mod frame_queue;
mod front;
mod job_logs;
mod links;
mod metrics_page;
mod output;
mod probe;
mod signals;
mod store;

use std::env;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use bamboocart_adapter::{SETTINGS_VARIABLE, Settings, SettingsError};
use bamboocart_jobs::{Member, OverloadPolicy, ParsePolicyError};
use bamboocart_telemetry::buffer::LineBuffer;
use bamboocart_telemetry::logs::{self, LogFormat, LogSettings, LogsError};
use bamboocart_telemetry::metrics::MetricsError;
use log::LevelFilter;
use snafu::{OptionExt, ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tokio_util::sync::CancellationToken;

use self::driver::Driver;
use self::metrics_page::MetricsPage;

/// A `Result` whose error defaults to [`SiteError`].
pub type Result<T, E = SiteError> = std::result::Result<T, E>;

/// The environment variable with the name of the overload policy.
const OVERLOAD_VARIABLE: &str = "BAMBOOCART_OVERLOAD";

/// An error that prevents an instance from starting.
#[derive(Debug, Snafu)]
pub enum SiteError {
    /// The environment variable with the path of the settings file is not set.
    #[snafu(display(
        "the environment variable {SETTINGS_VARIABLE} is not set; set it to the path of \
                     the settings file"
    ))]
    NoVariable,
    /// The settings file could not be opened or read.
    #[snafu(display("cannot read {}: {source}; check the path", path.display()))]
    Unreadable {
        /// The path of the settings file, from the environment variable.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The settings file is invalid.
    #[snafu(display("{source}"))]
    Settings {
        /// All faults of the file.
        source: SettingsError,
    },
    /// The overload policy does not exist.
    #[snafu(display("{OVERLOAD_VARIABLE}: {source}"))]
    Overload {
        /// The unknown name.
        source: ParsePolicyError,
    },
    /// The logger could not be installed.
    #[snafu(display("{source}"))]
    Logs {
        /// The error of the logger.
        source: LogsError,
    },
    /// The metrics recorder could not be installed.
    #[snafu(display("{source}"))]
    Metrics {
        /// The error of the recorder.
        source: MetricsError,
    },
    /// A socket, a signal handler, the runtime or the log could not be set up.
    #[snafu(display("cannot {action}: {source}; check addresses and process limits"))]
    Start {
        /// The operation that failed, as a verb phrase for the message.
        action: &'static str,
        /// The error of the operating system.
        source: io::Error,
    },
}

/// Runs an instance until a termination signal stops it.
///
/// Returns an error if the settings, the log, the metrics or a socket cannot be set up.
pub fn run() -> Result<()> {
    let path = env::var_os(SETTINGS_VARIABLE).context(NoVariableSnafu)?;
    let path = PathBuf::from(path);
    let settings = read_settings(&path)?;
    let overload = read_overload_policy()?;
    let lines = output::line_buffer().context(StartSnafu { action: "open the log" })?;
    let log_settings = LogSettings { level: LevelFilter::Info, format: LogFormat::Json };
    logs::install_buffered(log_settings, lines.clone()).context(LogsSnafu)?;
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .context(StartSnafu { action: "start the runtime" })?;
    log::info!(target: "process", instance = settings.node_name.as_str(),
        settings:% = path.display(), overload:? = overload; "instance starts");
    let serve = serve(&path, settings, overload, lines.clone());
    let result = LocalSet::new().block_on(&runtime, serve);
    log::info!(target: "process", ok = result.is_ok(), dropped_lines = lines.dropped();
        "instance stops");
    output::flush(&lines);
    result
}

/// Reads and parses the settings file.
fn read_settings(path: &Path) -> Result<Settings> {
    let text = fs::read_to_string(path).context(UnreadableSnafu { path })?;
    text.parse().context(SettingsSnafu)
}

/// Reads the overload policy from the environment; the default if it is not set.
fn read_overload_policy() -> Result<OverloadPolicy> {
    match env::var(OVERLOAD_VARIABLE) {
        Ok(name) if !name.is_empty() => name.parse().context(OverloadSnafu),
        Ok(_) | Err(_) => Ok(OverloadPolicy::default()),
    }
}

/// Opens the sockets, spawns all tasks and returns after the graceful stop.
async fn serve(
    path: &Path,
    settings: Settings,
    overload: OverloadPolicy,
    lines: LineBuffer,
) -> Result<()> {
    let open = |address, action| links::listen(address).context(StartSnafu { action });
    let peer = open(settings.peer, "listen for peers")?;
    let front = open(settings.front, "listen for clients")?;
    let ready = open(settings.ready, "listen for readiness")?;
    let metrics = open(settings.metrics, "listen for metrics")?;
    let signals =
        signals::Signals::new().context(StartSnafu { action: "watch signals" })?;
    let port = |listener: &TcpListener, action| {
        listener.local_addr().context(StartSnafu { action })
    };
    let member = Member {
        name: settings.node_name.as_str().into(),
        failure_domain: settings.failure_domain.as_str().into(),
        address: port(&peer, "listen for peers")?,
        incarnation: clock::unix_ms(),
    };
    log::info!(target: "process", member:% = member,
        front:% = port(&front, "listen for clients")?,
        ready:% = port(&ready, "listen for readiness")?,
        metrics:% = port(&metrics, "listen for metrics")?; "listening");
    let page = MetricsPage::install(lines.clone()).context(MetricsSnafu)?;
    let cancel = CancellationToken::new();
    let driver = Driver::new(member, &settings, cancel.clone());
    driver.update_engine(|engine, _| engine.set_overload_policy(overload));
    driver.spawn(driver.clone().run_timer());
    driver.spawn(driver.clone().check_stored_jobs());
    driver.spawn(output::flush_periodically(lines));
    driver.spawn(links::accept(driver.clone(), peer));
    driver.spawn(front::accept(driver.clone(), front));
    driver.spawn(probe::accept(driver.clone(), page.clone(), ready));
    driver.spawn(probe::accept(driver.clone(), page, metrics));
    store::spawn_watchers(&driver, &settings);
    signals.run(&driver, path, settings).await;
    cancel.cancel();
    Ok(())
}
