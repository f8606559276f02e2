//! The connections of a server, with the faults that happen below HTTP.
//!
//! A relay in front of each target's HTTP server bounds its connections and can refuse,
//! freeze or silence them, which the server cannot. All relays share one thread.

use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::pin::pin;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::{Semaphore, watch};
use tokio_util::sync::CancellationToken;

use crate::{http, join};

/// The bytes that a relay reads at a time.
const BUFFER_BYTES: usize = 16 * 1024;

/// The pause between attempts to listen again on the port of a server.
const LISTEN_PAUSE: Duration = Duration::from_millis(20);

/// The thread that runs all relays, ended when it is dropped.
pub struct ProxyThread {
    /// The runtime's handle, to open gates with.
    handle: tokio::runtime::Handle,
    /// Ends the thread.
    stop: CancellationToken,
    /// The thread.
    thread: Option<JoinHandle<()>>,
}

/// The switches of one gate.
pub struct FaultProxy {
    /// Where callers connect.
    address: SocketAddr,
    /// The state that the relays watch.
    state: watch::Sender<State>,
}

/// The server behind a gate.
#[derive(Debug, Copy, Clone)]
pub struct Upstream {
    /// Where it listens.
    pub address: SocketAddr,
    /// The number of connections beyond which new ones are closed at once.
    pub max_connections: u32,
}

/// The way to the server behind a gate.
struct Connector {
    /// Where the server listens.
    inner: SocketAddr,
    /// The connections that may be open.
    slots: Arc<Semaphore>,
}

/// The state of a gate.
#[derive(Debug, Copy, Clone, Default)]
struct State {
    /// Whether new connections are refused.
    refuse: bool,
    /// Whether nothing passes until this is over.
    frozen: bool,
    /// Whether the target is dead: no listener and no connections.
    dead: bool,
    /// Connections that were opened under a smaller number carry nothing more.
    epoch: u64,
}

impl ProxyThread {
    /// Starts the thread.
    pub fn start() -> io::Result<Self> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        let stop = CancellationToken::new();
        let stopped = stop.clone();
        let thread = thread::spawn(move || run(&runtime, &stopped));
        Ok(Self { handle, stop, thread: Some(thread) })
    }

    /// Opens a gate on a loopback port, 0 for any, in front of a server.
    pub fn open(&self, port: u16, inner: Upstream) -> io::Result<FaultProxy> {
        let listener = http::listen(port)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let (state, watched) = watch::channel(State::default());
        let connector = Arc::new(Connector {
            inner: inner.address,
            slots: Arc::new(Semaphore::new(inner.max_connections as usize)),
        });
        self.handle.spawn(serve(listener, connector, watched));
        Ok(FaultProxy { address, state })
    }
}

impl Drop for ProxyThread {
    fn drop(&mut self) {
        self.stop.cancel();
        if let Some(thread) = self.thread.take() {
            join::join_or_report("the gates", thread);
        }
    }
}

impl FaultProxy {
    /// Returns where callers connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Refuses or accepts new connections.
    pub fn set_refusing(&self, refuse: bool) {
        self.state.send_modify(|state| state.refuse = refuse);
    }

    /// Holds back or passes on all bytes.
    pub fn set_frozen(&self, frozen: bool) {
        self.state.send_modify(|state| state.frozen = frozen);
    }

    /// Makes the connections that are open now carry nothing more.
    pub fn blackhole_open_connections(&self) {
        self.state.send_modify(|state| state.epoch += 1);
    }

    /// Ends all connections and refuses new ones, or accepts them again.
    pub fn set_dead(&self, dead: bool) {
        self.state.send_modify(|state| state.dead = dead);
    }
}

impl Connector {
    /// Opens a connection to the server.
    async fn open(&self) -> io::Result<TcpStream> {
        let stream = TcpStream::connect(self.inner).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }
}

/// Runs the relays until the stop.
fn run(runtime: &Runtime, stopped: &CancellationToken) {
    runtime.block_on(stopped.cancelled());
}

/// Accepts connections of one gate until the gate is dropped.
async fn serve(
    listener: StdListener,
    connector: Arc<Connector>,
    mut state: watch::Receiver<State>,
) -> io::Result<()> {
    let port = listener.local_addr()?.port();
    let mut listener = Some(TcpListener::from_std(listener)?);
    loop {
        let now = *state.borrow_and_update();
        let closed = now.refuse || now.dead;
        if closed {
            listener = None;
        }
        let changed = match &listener {
            _ if closed => state.changed().await,
            None => {
                listener = listen_again(port).await;
                Ok(())
            }
            Some(open) => tokio::select! {
                changed = state.changed() => changed,
                accepted = open.accept() => {
                    let relay = accepted.map(|(outer, _)| (outer, state.clone()));
                    admit(relay?, &connector);
                    Ok(())
                }
            },
        };
        if changed.is_err() {
            return Ok(());
        }
    }
}

/// Relays a new connection, or closes it if there are too many.
fn admit(
    (outer, state): (TcpStream, watch::Receiver<State>),
    connector: &Arc<Connector>,
) {
    let Ok(slot) = Arc::clone(&connector.slots).try_acquire_owned() else {
        reset(&outer);
        return;
    };
    let connector = Arc::clone(connector);
    tokio::spawn(async move {
        let _slot = slot;
        let relayed = relay(outer, &connector, state).await;
        relayed.inspect_err(|error| log::debug!("a connection ended: {error}"))
    });
}

/// Listens on a port that was in use before, or returns nothing after a pause.
async fn listen_again(port: u16) -> Option<TcpListener> {
    let listener = http::listen(port).and_then(|listener| {
        listener.set_nonblocking(true)?;
        TcpListener::from_std(listener)
    });
    if listener.is_err() {
        tokio::time::sleep(LISTEN_PAUSE).await;
    }
    listener.ok()
}

/// Carries one connection until both sides have closed it or the target is dead.
async fn relay(
    mut outer: TcpStream,
    connector: &Connector,
    state: watch::Receiver<State>,
) -> io::Result<()> {
    let mut dead = state.clone();
    let epoch = state.borrow().epoch;
    let mut inner = connector.open().await?;
    let dead = tokio::select! {
        () = carry(&mut outer, &mut inner, &state, epoch) => false,
        changed = dead.wait_for(|state| state.dead) => changed.is_ok(),
    };
    if dead {
        reset(&outer);
    }
    Ok(())
}

/// Carries both directions of a connection until its end.
async fn carry(
    outer: &mut TcpStream,
    inner: &mut TcpStream,
    state: &watch::Receiver<State>,
    epoch: u64,
) {
    let (outer_read, outer_write) = outer.split();
    let (inner_read, inner_write) = inner.split();
    let mut up = pin!(pump(outer_read, inner_write, state.clone(), epoch));
    let mut down = pin!(pump(inner_read, outer_write, state.clone(), epoch));
    tokio::select! {
        // The end of a silent connection is not passed on to the server, which would
        // keep its side open.
        ended = &mut up => match ended {
            Ok(End::Passed) => drop(down.await),
            Ok(End::Swallowed) | Err(_) => {}
        },
        _ = &mut down => drop(up.await),
    }
}

/// How one direction of a connection ended.
enum End {
    /// The receiver was told.
    Passed,
    /// The connection was silent.
    Swallowed,
}

/// Carries one direction of a connection until its end.
async fn pump(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut state: watch::Receiver<State>,
    epoch: u64,
) -> io::Result<End> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let count = from.read(&mut buffer).await?;
        let passing = state.wait_for(|state| !state.frozen || state.epoch > epoch).await;
        match passing.map(|state| state.epoch > epoch) {
            Err(_) => return Ok(End::Swallowed),
            // A device that lost the connection's state passes on neither data nor its end.
            Ok(true) if count == 0 => return Ok(End::Swallowed),
            Ok(true) => {}
            Ok(false) if count == 0 => return to.shutdown().await.map(|()| End::Passed),
            Ok(false) => to.write_all(&buffer[..count]).await?,
        }
    }
}

/// Makes the close of a connection abrupt, as the end of a process does.
fn reset(stream: &TcpStream) {
    if let Err(error) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        log::debug!("could not prepare a connection reset: {error}");
    }
}
