//! The parts of an instance and how they are joined.

use std::net::TcpListener;
use std::sync::Arc;
use std::thread;

use bamboocart_core::engine::{Engine, Identity};
use bamboocart_core::id::Incarnation;
use bamboocart_platform::Platform;
use crossbeam::channel::bounded;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use snafu::{ResultExt, Snafu};
use tokio_util::sync::CancellationToken;

use crate::clock::Clock;
use crate::driver::{self, Outputs};
use crate::routes::Context;
use crate::settings::Settings;
use crate::waiters::Waiters;
use crate::{follower, lister, sender, server};

/// The result of running an instance.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// The bound on events that wait for the engine.
const EVENT_QUEUE: usize = 65_536;

/// The bound on sends that wait for a thread.
const SEND_QUEUE: usize = 16_384;

/// The connections of an instance to one target.
const CONNECTIONS_PER_TARGET: usize = 16;

/// Why an instance could not run.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The address for callers is not to be had.
    #[snafu(display("could not listen on {address}: {source}; choose a free --listen"))]
    Listen {
        /// The address.
        address: std::net::SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// A thread, a runtime or a signal handler could not be set up.
    #[snafu(display("could not start: {source}; raise the limits on threads and files"))]
    Start {
        /// The cause.
        source: std::io::Error,
    },
}

/// Runs an instance until it is told to stop.
pub fn run(settings: Settings) -> Result<()> {
    let address = settings.listen;
    let listener = TcpListener::bind(address).context(ListenSnafu { address })?;
    let local = listener.local_addr().context(ListenSnafu { address })?;
    let clock = Clock::start();
    let identity = Identity {
        instance: settings.name.as_str().into(),
        domain: settings.failure_domain.as_str().into(),
        incarnation: Incarnation(clock.now().as_us()),
    };
    let holder = format!("{}/{}", identity.instance, identity.incarnation.0);
    let stop = CancellationToken::new();
    let platform = Platform::new(&settings.platform.to_string());
    let waiters = Arc::new(Waiters::default());
    let (events, event_queue) = bounded(EVENT_QUEUE);
    let (outbound, outbound_queue) = bounded(SEND_QUEUE);

    sender::start(
        settings.send_threads,
        CONNECTIONS_PER_TARGET,
        &holder,
        &outbound_queue,
        &events,
    )
    .context(StartSnafu)?;
    let outputs = Outputs { waiters: waiters.clone(), outbound };
    let engine = Engine::new(identity);
    let engine_stop = stop.clone();
    thread::spawn(move || {
        driver::run(engine, clock, &event_queue, &outputs, &engine_stop);
    });
    let (list_platform, list_events, list_stop) =
        (platform.clone(), events.clone(), stop.clone());
    thread::spawn(move || lister::run(&list_platform, &list_events, &list_stop));
    let (log_events, log_stop) = (events.clone(), stop.clone());
    thread::spawn(move || follower::run(&platform, &log_events, &log_stop));
    watch_signals(stop.clone())?;

    println!("{}", serde_json::json!({ "instance": settings.name, "address": local }));
    let context = Arc::new(Context {
        events,
        waiters,
        max_connections: settings.max_connections,
        max_body_bytes: settings.max_body_bytes,
    });
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(StartSnafu)?;
    runtime.block_on(server::serve(listener, context, stop)).context(StartSnafu)
}

/// Cancels `stop` at the first signal to terminate.
fn watch_signals(stop: CancellationToken) -> Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT]).context(StartSnafu)?;
    thread::spawn(move || {
        if signals.forever().next().is_some() {
            stop.cancel();
        }
    });
    Ok(())
}
