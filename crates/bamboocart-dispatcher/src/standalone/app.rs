//! The parts of an instance and how they are joined.

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
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use snafu::{ResultExt, Snafu};
use tokio_util::sync::CancellationToken;

use crate::standalone::clock::Clock;
use crate::standalone::driver::{self, Outputs};
use crate::standalone::heard::HeardSnapshot;
use crate::standalone::peers::PeerGate;
use crate::standalone::routes::Context;
use crate::standalone::sender::Senders;
use crate::standalone::settings::Settings;
use crate::standalone::spans::PeerSpans;
use crate::standalone::waiters::Waiters;
use crate::standalone::{appender, follower, lister, observe, server};

/// The result of running an instance.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// The bound on events that wait for the engine.
const EVENT_QUEUE: usize = 65_536;

/// The bound on records that wait to be appended.
const APPEND_QUEUE: usize = 256;

/// The bound on batches of the account that wait; the engine has one under way.
const ACCOUNT_QUEUE: usize = 1;

/// The bound on messages and reports of links that wait for the engine.
const LINK_QUEUE: usize = 16_384;

/// The idle connections of an instance to one target.
const CONNECTIONS_PER_TARGET: usize = 16;

/// The span over which instances spread the snapshots of the configuration.
const SNAPSHOT_JITTER_MS: u64 = 10_000;

/// Why an instance could not run.
#[derive(Debug, Snafu)]
pub enum Error {
    /// An address is not to be had.
    #[snafu(display("could not listen on {address}: {source}; choose a free address"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// A thread, a runtime or a signal handler could not be set up.
    #[snafu(display("could not start: {source}; raise the limits on threads and files"))]
    Start {
        /// The cause.
        source: std::io::Error,
    },
    /// The file for spans cannot be written.
    #[snafu(display("could not open {path}: {source}; choose another --trace-file"))]
    TraceFile {
        /// The path.
        path: String,
        /// The cause.
        source: std::io::Error,
    },
    /// The links could not be started.
    #[snafu(display("{source}"), context(false))]
    Links {
        /// The cause.
        source: StartError,
    },
    /// The logs could not be set up.
    #[snafu(display("{source}"), context(false))]
    Logs {
        /// The cause.
        source: LogsError,
    },
    /// The metrics could not be set up.
    #[snafu(display("{source}"), context(false))]
    Metrics {
        /// The cause.
        source: MetricsError,
    },
}

/// The channels and shared state of an instance.
struct Parts {
    /// The settings.
    settings: Settings,
    /// The run of this process.
    incarnation: Incarnation,
    /// The engine's events.
    events: Sender<Event>,
    /// The platform.
    platform: Platform,
    /// Whether the instance admits submissions.
    ready: Arc<AtomicBool>,
    /// Tells the reader of the instance list to read all of it.
    reread_list: Arc<AtomicBool>,
    /// Holds a peer's snapshot for the reader of the log.
    heard: HeardSnapshot,
    /// The callers that wait.
    waiters: Arc<Waiters>,
    /// Starts spans.
    tracer: Tracer,
    /// Ends the process after the open requests.
    stop: CancellationToken,
    /// Ends the process at once.
    halt: CancellationToken,
}

/// Runs an instance until it is told to stop.
pub fn run(settings: Settings) -> Result<()> {
    let lines = set_up_output(&settings)?;
    let metrics = install(METRICS)?;
    observe::register();
    let listener = listen(settings.listen)?;
    let peer_listener = listen(settings.peer_listen)?;
    let address = listener.local_addr().context(StartSnafu)?;
    let bound = peer_listener.local_addr().context(StartSnafu)?;
    let peer_address = settings.peer_address.unwrap_or(bound);
    let (events, event_queue) = bounded(EVENT_QUEUE);
    let clock = Clock::start();
    let parts = Parts {
        incarnation: Incarnation(clock.now().as_us()),
        events,
        platform: Platform::new(&settings.platform.to_string()),
        ready: Arc::default(),
        reread_list: Arc::default(),
        heard: HeardSnapshot::default(),
        waiters: Arc::default(),
        tracer: Tracer::new(settings.output.trace_per_10k),
        stop: CancellationToken::new(),
        halt: CancellationToken::new(),
        settings,
    };
    let outputs = parts.start_outputs(peer_listener)?;
    let engine = Engine::new(parts.setup(peer_address), clock.now());
    let (stop, halt) = (parts.stop.clone(), parts.halt.clone());
    let engine_thread = thread::Builder::new()
        .name("engine".into())
        .spawn(move || {
            // Without its engine the process must end, also when the engine panics, so
            // that it is replaced.
            let _ends = [stop.clone().drop_guard(), halt.clone().drop_guard()];
            driver::run(engine, clock, &event_queue, outputs, (&stop, &halt));
        })
        .context(StartSnafu)?;
    parts.start_inputs();
    parts.watch_signals()?;
    println!("{}", parts.describe(address, peer_address));
    let context = Arc::new(parts.context(metrics, lines));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(StartSnafu)?;
    let serving = server::serve(listener, context, parts.stop.clone(), &parts.halt);
    let served = runtime.block_on(serving);
    parts.halt.cancel();
    if engine_thread.join().is_err() {
        log::error!("the engine has panicked; report this fault");
    }
    fastrace::flush();
    served.context(StartSnafu)
}

impl Parts {
    /// Starts what carries out the engine's effects.
    fn start_outputs(&self, peer_listener: TcpListener) -> Result<Outputs> {
        let holder = format!("{}/{}", self.settings.name, self.incarnation.0);
        let senders = Senders::start(
            self.settings.limits.max_sends,
            CONNECTIONS_PER_TARGET,
            (&holder, self.tracer),
            self.events.clone(),
            self.halt.clone(),
        )
        .context(StartSnafu)?;
        let (appends, append_queue) = bounded(APPEND_QUEUE);
        let platform = self.platform.clone();
        thread::spawn(move || appender::run(&platform, &append_queue));
        let (account, account_queue) = bounded(ACCOUNT_QUEUE);
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
            heard: self.heard.clone(),
        })
    }

    /// Starts the links to peers.
    fn start_links(&self, listener: TcpListener) -> Result<PeerGate> {
        let identity = PeerIdentity {
            instance: self.settings.name.as_str().into(),
            incarnation: self.incarnation,
        };
        let (inbound, inbound_queue) = bounded(LINK_QUEUE);
        let (reports, report_queue) = bounded(LINK_QUEUE);
        // The links stop after the engine, which sends its last answers over them.
        let links = Links::start(
            listener,
            LinkSettings::default(),
            identity,
            (inbound, reports),
            &CancellationToken::new(),
        )?;
        let spans = Arc::new(PeerSpans::new(self.tracer));
        Ok(PeerGate::start(links, (inbound_queue, report_queue), &self.events, spans))
    }

    /// Starts what tells the engine about the platform.
    fn start_inputs(&self) {
        let (platform, events) = (self.platform.clone(), self.events.clone());
        let stop = self.stop.clone();
        let reread = self.reread_list.clone();
        thread::spawn(move || lister::run(&platform, &events, &reread, &stop));
        let (platform, events) = (self.platform.clone(), self.events.clone());
        let stop = self.stop.clone();
        let jitter_ms = self.incarnation.0 % SNAPSHOT_JITTER_MS;
        let heard = self.heard.clone();
        thread::spawn(move || {
            follower::follow_config(&platform, &events, &heard, jitter_ms, &stop);
        });
        let (platform, events) = (self.platform.clone(), self.events.clone());
        let stop = self.stop.clone();
        thread::spawn(move || follower::follow_claims(&platform, &events, &stop));
    }

    /// Drains at the first signal to terminate and stops at the second.
    fn watch_signals(&self) -> Result<()> {
        let mut signals = Signals::new([SIGTERM, SIGINT]).context(StartSnafu)?;
        let (events, stop) = (self.events.clone(), self.stop.clone());
        let halt = self.halt.clone();
        thread::spawn(move || {
            let mut pending = signals.forever();
            if pending.next().is_some() && events.send(Event::Drain).is_err() {
                stop.cancel();
            }
            if pending.next().is_some() {
                halt.cancel();
                stop.cancel();
            }
        });
        Ok(())
    }

    /// Returns what the engine is told.
    fn setup(&self, peer_address: SocketAddr) -> Setup {
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

    /// Returns what the routes need.
    fn context(
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

    /// Returns the line that tells scripts where the instance listens.
    fn describe(
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

/// Sets up logs and traces, and returns the outputs by name.
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

/// Listens on an address.
fn listen(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).context(ListenSnafu { address })
}
