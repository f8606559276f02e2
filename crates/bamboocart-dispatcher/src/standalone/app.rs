//! The startup, wiring and shutdown of an instance.

use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::thread;

use bamboocart_core::engine::{Engine, Event, Setup};
use bamboocart_core::id::Incarnation;
use bamboocart_core::ownership;
use bamboocart_peer::{LinkSettings, Links, PeerIdentity, StartError};
use bamboocart_platform::Platform;
use bamboocart_telemetry::lines::LineSink;
use bamboocart_telemetry::logs::{self, LogSettings, LogsError};
use bamboocart_telemetry::metrics::{METRICS, MetricsError, install};
use bamboocart_telemetry::recorder::PageRecorder;
use bamboocart_telemetry::trace::{OtlpReporter, Tracer};
use crossbeam::channel::{Sender, bounded};
use snafu::{ResultExt, Snafu};
use tokio_util::sync::CancellationToken;

use crate::standalone::clock::Clock;
use crate::standalone::driver::{self, Outputs};
use crate::standalone::peer_snapshot::PeerSnapshot;
use crate::standalone::peers::PeerLinks;
use crate::standalone::routes::Context;
use crate::standalone::sender::Senders;
use crate::standalone::settings::Settings;
use crate::standalone::signals::StopSignals;
use crate::standalone::spans::PeerSpans;
use crate::standalone::waiters::Waiters;
use crate::standalone::{appender, list_reader, observe, server, stream_reader};

/// The result of running an instance.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// The largest number of events that wait for the engine.
const EVENT_QUEUE_CAPACITY: usize = 65_536;

/// The largest number of records that wait to be appended.
const APPEND_QUEUE_CAPACITY: usize = 256;

/// The largest number of account batches that wait to be appended.
///
/// The engine never has more than one batch in flight.
const ACCOUNT_QUEUE_CAPACITY: usize = 1;

/// The largest number of inbound messages that wait for the engine, and the largest
/// number of waiting delivery reports.
const LINK_QUEUE_CAPACITY: usize = 16_384;

/// The largest number of idle connections that one pool keeps to one target.
const MAX_IDLE_PER_TARGET: usize = 16;

/// The time over which instances spread their configuration snapshots, so that usually
/// only one of them appends one.
const SNAPSHOT_JITTER_MS: u64 = 10_000;

/// An error that prevents an instance from starting or serving.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A listen address could not be bound.
    #[snafu(display("could not listen on {address}: {source}; choose a free address"))]
    Listen {
        /// The address from `--listen` or `--peer-listen`.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A thread, a runtime or a signal handler could not be set up.
    #[snafu(display("could not start: {source}; raise the limits on threads and files"))]
    Start {
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The trace file could not be opened for appending.
    #[snafu(display("could not open {path}: {source}; choose another --trace-file"))]
    TraceFile {
        /// The path from `--trace-file`.
        path: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The links to peers could not be started.
    #[snafu(display("{source}"), context(false))]
    Links {
        /// The error of the link layer, which names the remedy.
        source: StartError,
    },
    /// The logger could not be installed.
    #[snafu(display("{source}"), context(false))]
    Logs {
        /// The error of the logger, which names the remedy.
        source: LogsError,
    },
    /// The metrics recorder could not be installed.
    #[snafu(display("{source}"), context(false))]
    Metrics {
        /// The error of the recorder, which names the remedy.
        source: MetricsError,
    },
}

/// The channels and shared state of an instance.
struct App {
    settings: Settings,
    /// Identifies this run of the process: its start time in microseconds.
    incarnation: Incarnation,
    /// The queue of the engine's events.
    events: Sender<Event>,
    platform: Platform,
    /// Whether the instance admits submissions.
    ready: Arc<AtomicBool>,
    /// Makes the reader of the instance list fetch the whole list again.
    reread_list: Arc<AtomicBool>,
    /// A peer's configuration snapshot for the reader of the configuration stream.
    peer_snapshot: PeerSnapshot,
    waiters: Arc<Waiters>,
    tracer: Tracer,
    /// Ends the process after the open requests are answered.
    stop: CancellationToken,
    /// Ends the process at once.
    halt: CancellationToken,
}

/// Runs an instance until it has drained or is halted.
pub fn run(settings: Settings) -> Result<()> {
    let lines = set_up_output(&settings)?;
    let metrics = install(METRICS)?;
    observe::register();
    let listener = listen(settings.listen)?;
    let peer_listener = listen(settings.peer_listen)?;
    let address = listener.local_addr().context(StartSnafu)?;
    let bound = peer_listener.local_addr().context(StartSnafu)?;
    let peer_address = settings.peer_address.unwrap_or(bound);
    let (events, event_queue) = bounded(EVENT_QUEUE_CAPACITY);
    let clock = Clock::start();
    let app = App {
        incarnation: Incarnation(clock.now().as_us()),
        events,
        platform: Platform::new(&settings.platform.to_string()),
        ready: Arc::default(),
        reread_list: Arc::default(),
        peer_snapshot: PeerSnapshot::default(),
        waiters: Arc::default(),
        tracer: Tracer::new(settings.output.trace_per_10k),
        stop: CancellationToken::new(),
        halt: CancellationToken::new(),
        settings,
    };
    let outputs = app.start_outputs(peer_listener)?;
    let engine = Engine::new(app.engine_setup(peer_address), clock.now());
    let (stop, halt) = (app.stop.clone(), app.halt.clone());
    let engine_thread = thread::Builder::new()
        .name("engine".into())
        .spawn(move || {
            // A process without its engine must end, so that it is replaced. The guards
            // also end it when the engine panics.
            let _guards = [stop.clone().drop_guard(), halt.clone().drop_guard()];
            driver::run(engine, clock, &event_queue, outputs, (&stop, &halt));
        })
        .context(StartSnafu)?;
    app.start_inputs();
    app.handle_signals()?;
    println!("{}", app.addresses_line(address, peer_address));
    let context = Arc::new(app.route_context(metrics, lines));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(StartSnafu)?;
    let serving = server::serve(listener, context, app.stop.clone(), &app.halt);
    let served = runtime.block_on(serving);
    app.halt.cancel();
    if engine_thread.join().is_err() {
        log::error!("the engine thread panicked; report this as a bug");
    }
    fastrace::flush();
    served.context(StartSnafu)
}

impl App {
    /// Starts the threads that execute the engine's effects.
    fn start_outputs(&self, peer_listener: TcpListener) -> Result<Outputs> {
        let holder = format!("{}/{}", self.settings.name, self.incarnation.0);
        let senders = Senders::start(
            self.settings.limits.max_sends,
            MAX_IDLE_PER_TARGET,
            (&holder, self.tracer),
            self.events.clone(),
            self.halt.clone(),
        )
        .context(StartSnafu)?;
        let (appends, append_queue) = bounded(APPEND_QUEUE_CAPACITY);
        let platform = self.platform.clone();
        thread::spawn(move || appender::run(&platform, &append_queue));
        let (account, account_queue) = bounded(ACCOUNT_QUEUE_CAPACITY);
        let (platform, events) = (self.platform.clone(), self.events.clone());
        thread::spawn(move || appender::run_account(&platform, &account_queue, &events));
        Ok(Outputs {
            account,
            waiters: self.waiters.clone(),
            senders,
            appends,
            peers: self.start_links(peer_listener)?,
            ready: self.ready.clone(),
            reread_list: self.reread_list.clone(),
            peer_snapshot: self.peer_snapshot.clone(),
        })
    }

    /// Starts the links to peers and the threads that forward their messages.
    fn start_links(&self, listener: TcpListener) -> Result<PeerLinks> {
        let identity = PeerIdentity {
            instance: self.settings.name.as_str().into(),
            incarnation: self.incarnation,
        };
        let (inbound, inbound_queue) = bounded(LINK_QUEUE_CAPACITY);
        let (reports, report_queue) = bounded(LINK_QUEUE_CAPACITY);
        // The links stop after the engine, which sends its last answers over them.
        let links = Links::start(
            listener,
            LinkSettings::default(),
            identity,
            (inbound, reports),
            &CancellationToken::new(),
        )?;
        let spans = Arc::new(PeerSpans::new(self.tracer));
        Ok(PeerLinks::start(links, (inbound_queue, report_queue), &self.events, spans))
    }

    /// Starts the threads that read from the platform and send events to the engine.
    fn start_inputs(&self) {
        let (platform, events) = (self.platform.clone(), self.events.clone());
        let stop = self.stop.clone();
        let reread = self.reread_list.clone();
        thread::spawn(move || list_reader::run(&platform, &events, &reread, &stop));
        let (platform, events) = (self.platform.clone(), self.events.clone());
        let stop = self.stop.clone();
        let jitter_ms = self.incarnation.0 % SNAPSHOT_JITTER_MS;
        let peer_snapshot = self.peer_snapshot.clone();
        thread::spawn(move || {
            stream_reader::watch_config(
                &platform,
                &events,
                &peer_snapshot,
                jitter_ms,
                &stop,
            );
        });
        let (platform, events) = (self.platform.clone(), self.events.clone());
        let stop = self.stop.clone();
        thread::spawn(move || stream_reader::watch_claims(&platform, &events, &stop));
    }

    /// Handles SIGTERM and SIGINT: the first signal drains, the second ends the process.
    fn handle_signals(&self) -> Result<()> {
        let mut signals = StopSignals::new().context(StartSnafu)?;
        let (events, stop) = (self.events.clone(), self.stop.clone());
        let halt = self.halt.clone();
        thread::spawn(move || {
            if signals.wait().is_ok() && events.send(Event::Drain).is_err() {
                stop.cancel();
            }
            if signals.wait().is_ok() {
                halt.cancel();
                stop.cancel();
            }
        });
        Ok(())
    }

    /// Returns the setup of the engine from the settings.
    fn engine_setup(&self, peer_address: SocketAddr) -> Setup {
        let Settings { limits, policies, .. } = &self.settings;
        Setup {
            instance: self.settings.name.as_str().into(),
            domain: self.settings.failure_domain.as_str().into(),
            incarnation: self.incarnation,
            peer_address: peer_address.to_string().into(),
            seeds: self.settings.seed.iter().map(|it| it.to_string().into()).collect(),
            policy: policies.placement,
            lend: !policies.no_lending,
            eject: !policies.no_ejection,
            hedge: !policies.no_hedges,
            queue_tasks: limits.queue_tasks,
            limits: ownership::RegistryLimits {
                max_open: limits.open_submissions,
                max_entries: limits.remembered_submissions,
                retention_ms: limits.remember_ms,
                ..ownership::RegistryLimits::default()
            },
            claim_horizon: limits.claim_horizon,
            lame_duck_ms: limits.lame_duck_ms,
            seed: self.incarnation.0,
        }
    }

    /// Returns the context of the HTTP routes.
    fn route_context(
        &self,
        metrics: PageRecorder,
        lines: Vec<(&'static str, LineSink)>,
    ) -> Context {
        Context {
            metrics,
            lines,
            tracer: self.tracer,
            ready: self.ready.clone(),
            events: self.events.clone(),
            waiters: self.waiters.clone(),
            max_connections: self.settings.limits.max_connections,
            max_body_bytes: self.settings.limits.max_body_bytes,
        }
    }

    /// Returns the JSON line that tells scripts the addresses of the instance.
    fn addresses_line(
        &self,
        address: SocketAddr,
        peer_address: SocketAddr,
    ) -> serde_json::Value {
        serde_json::json!({
            "instance": self.settings.name,
            "failure_domain": self.settings.failure_domain,
            "incarnation": self.incarnation,
            "address": address,
            "peer_address": peer_address,
        })
    }
}

/// Installs the logger and the trace reporter, and returns their line sinks by name.
fn set_up_output(settings: &Settings) -> Result<Vec<(&'static str, LineSink)>> {
    let output = &settings.output;
    let sink = LineSink::start(std::io::stderr()).context(StartSnafu)?;
    let log_settings = LogSettings { level: output.log_level, format: output.log_format };
    let mut lines = vec![("logs", sink.clone())];
    logs::install(log_settings, sink)?;
    if let Some(path) = &output.trace_file {
        let file = File::options().create(true).append(true).open(path);
        let file = file.context(TraceFileSnafu { path })?;
        let sink = LineSink::start(file).context(StartSnafu)?;
        lines.push(("traces", sink.clone()));
        OtlpReporter::new(sink, "bamboocart-dispatcher", &settings.name).install();
    }
    Ok(lines)
}

/// Binds a listener to an address.
fn listen(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).context(ListenSnafu { address })
}
